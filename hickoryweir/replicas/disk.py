"""The task that owns the data folder.

Actions are queued in order; one write and one sync cover all queued stores (group
commit).  Messages that must not be sent before a sync are queued between them.
"""

import asyncio
import concurrent.futures
import dataclasses
from collections.abc import Callable

from absl import logging
from returns import result

from hickoryweir.replicas import messages, quorums, records, storage
from hickoryweir.replicas import state as states

# A sync takes milliseconds; one that takes longer than this has stalled.
CLOSE_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LocalSnapshot:
    """Store a snapshot of this replica; discard entries up to `compact_index`."""

    taken: states.SnapshotTaken
    compact_index: int
    term: int
    voted_for: str


Work = states.Store | states.SaveSnapshot | states.Send | LocalSnapshot


class DiskWriter:
    """Executes storage actions in order, in a thread of its own."""

    def __init__(
        self,
        opened: storage.Storage,
        send: Callable[[messages.Envelope], None],
        notify: Callable[[states.Event], None],
    ) -> None:
        self.storage = opened
        self._send = send
        self._notify = notify
        self._work: list[Work] = []
        self._wake = asyncio.Event()
        self._busy = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix="replica-files"
        )
        self._task = asyncio.get_running_loop().create_task(self._run())
        self._task.add_done_callback(self._on_done)

    def submit(self, work: Work) -> None:
        """Queue an action; a message is sent at once if nothing is queued before it."""
        # Nobody would execute it, and closing would wait for it.
        if self.storage.failure is not None or self._task.done():
            return
        if isinstance(work, states.Send) and not self._busy and not self._work:
            self._send(work.envelope)
            return
        self._work.append(work)
        self._idle.clear()
        self._wake.set()

    async def close(self, timeout_s: float | None = CLOSE_TIMEOUT_S) -> None:
        """Finish queued actions and close the folder.

        If the disk stalls for `timeout_s`, the folder is left open; None waits for it.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            logging.warning(
                "disk did not finish writing in time; the data folder stays open"
            )
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        if self._idle.is_set():
            self._executor.shutdown()
            try:
                storage.close(self.storage)
            except OSError as error:
                # What was acknowledged has been synced.
                logging.error("closing the data folder failed: %s", error)
        else:
            self._executor.shutdown(wait=False)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._work:
                work, self._work = self._work, []
                self._busy = True
                outcome = await loop.run_in_executor(
                    self._executor, execute, self.storage, work
                )
                self._busy = False
                if isinstance(outcome, result.Failure):
                    logging.error(
                        "write to the data folder failed: %s", outcome.failure()
                    )
                    self._notify(states.StorageFailed())
                    self._idle.set()
                    return
                self._report(work)
            self._idle.set()

    def _on_done(self, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is None:
            return
        logging.error("writing to the data folder ended by %r", task.exception())
        self._notify(states.StorageFailed())
        self._idle.set()

    def _report(self, work: list[Work]) -> None:
        for item in work:
            if isinstance(item, states.Send):
                self._send(item.envelope)
            elif isinstance(item, LocalSnapshot):
                self._notify(item.taken)
        persisted = make_persisted(work)
        if persisted is not None:
            self._notify(persisted)


def make_snapshot_metadata(state: states.State, time_s: float) -> messages.Snapshot:
    """Return a snapshot of the applied index without its data."""
    index = state.applied_index
    membership = quorums.membership_at(state, index)
    return messages.Snapshot(index, state.log.term_at(index), membership, time_s, b"")


def make_local_snapshot(
    state: states.State, snapshot: messages.Snapshot, keep_count: int
) -> LocalSnapshot:
    """Return the action that stores a snapshot with the current term and vote."""
    taken = states.SnapshotTaken(snapshot, keep_count)
    compact_index = snapshot.index - keep_count
    return LocalSnapshot(taken, compact_index, state.term, state.voted_for)


def execute(
    opened: storage.Storage, work: list[Work]
) -> result.Result[None, records.StorageFailure]:
    """Execute storage actions in order, merging adjacent stores.

    Parameters
    ----------
    opened : storage.Storage
        The folder.
    work : list
        Actions; the caller sends the messages among them.
    """
    merged = None
    outcome = result.Success(None)
    for item in work:
        if isinstance(item, states.Store):
            merged = merge_stores(merged, item)
        elif not isinstance(item, states.Send):
            outcome = _append(opened, merged).bind(
                lambda _, item=item: _save(opened, item)
            )
            merged = None
        if isinstance(outcome, result.Failure):
            return outcome
    return _append(opened, merged)


def merge_stores(first: states.Store | None, second: states.Store) -> states.Store:
    """Return one store with the effect of both in order.

    Examples
    --------
    >>> merge_stores(states.Store(1, "", ()), states.Store(2, "a", ()))
    Store(term=2, voted_for='a', entries=())
    """
    if first is None or not first.entries:
        return second
    if not second.entries:
        return states.Store(second.term, second.voted_for, first.entries)
    keep_count = max(0, second.entries[0].index - first.entries[0].index)
    entries = first.entries[:keep_count] + second.entries
    return states.Store(second.term, second.voted_for, entries)


def _append(
    opened: storage.Storage, store: states.Store | None
) -> result.Result[None, records.StorageFailure]:
    if store is None:
        return result.Success(None)
    batch = records.Batch(store.term, store.voted_for, store.entries)
    return storage.append(opened, batch)


def _save(
    opened: storage.Storage, item: states.SaveSnapshot | LocalSnapshot
) -> result.Result[None, records.StorageFailure]:
    if isinstance(item, LocalSnapshot):
        batch = records.Batch(item.term, item.voted_for, ())
        return storage.save_snapshot(opened, item.taken.snapshot).bind(
            lambda _: storage.compact(opened, item.compact_index, batch)
        )
    snapshot = item.snapshot
    reset = records.Batch(item.term, item.voted_for, (), snapshot.index, snapshot.term)
    return (
        storage.save_snapshot(opened, snapshot)
        .bind(lambda _: storage.append(opened, reset))
        .bind(lambda _: storage.compact(opened, snapshot.index, reset))
    )


def make_persisted(work: list[Work]) -> states.Persisted | None:
    """Return the event for what `work` has made durable; None if nothing."""
    term = 0
    last_index = last_term = 0
    for item in work:
        if isinstance(item, states.Store | states.SaveSnapshot):
            term = item.term
        if isinstance(item, states.Store) and item.entries:
            last_index, last_term = item.entries[-1].index, item.entries[-1].term
        elif isinstance(item, states.SaveSnapshot):
            last_index, last_term = item.snapshot.index, item.snapshot.term
    if not term:
        return None
    return states.Persisted(term, last_index, last_term)
