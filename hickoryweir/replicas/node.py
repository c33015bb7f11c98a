"""A running replica: connects the Raft core to sockets, files and the state machine.

One task owns the core, the state machine and the pending requests.  It drains its
event queue at once, so that concurrent proposals share one append.
:class:`~hickoryweir.replicas.disk.DiskWriter` owns the files and
:class:`~hickoryweir.replicas.links.Links` the connections to other replicas.
"""

import asyncio
import collections
import contextlib
import dataclasses
import functools
import math
import secrets
import time
import traceback
from collections.abc import Coroutine

from absl import logging
from returns import result

from hickoryweir.observability import logs
from hickoryweir.replicas import (
    automation,
    bootstrap,
    links,
    machine,
    messages,
    raft,
    records,
    relays,
    requests,
    schedules,
    storage,
    wire,
)
from hickoryweir.replicas import disk as disks
from hickoryweir.replicas import files as file_operations
from hickoryweir.replicas import state as states
from hickoryweir.streams import connections, handshake, hub, tls

TICK_INTERVAL_S = 0.025
TRANSFER_TIMEOUT_S = 2.0
# The voter that was chosen may have gone silent a moment before.
TRANSFER_RETRY_INTERVAL_S = 0.1
MAX_LOGGED_LENGTH = 200


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one replica.

    Attributes
    ----------
    identity : handshake.Identity
        Cluster, name and zone of this process.
    data_folder : str
        Path of the data folder.
    replicas : tuple of wire.ReplicaAddress
        The initial members of a new cluster, this replica included.
    bootstrap : bool
        Whether a folder that is created now may bootstrap a cluster with them, also
        after later restarts.
    group : str
        Name of the replicated log.
    files : tls.TlsFiles or None
        Mutual TLS between replicas if given.
    snapshot_entries_count, snapshot_log_size_bytes : int
        Numbers of entries and of bytes of commands after which a snapshot is taken.
    keep_entries_count : int
        Entries kept before a snapshot, so that a replica behind by no more needs no
        snapshot.
    voters_wanted_count : int
        Number of voters that the leader maintains automatically; 0 leaves membership
        changes to operators.
    detects_copies : bool
        See :func:`hickoryweir.replicas.storage.open_folder`.
    """

    identity: handshake.Identity
    data_folder: str
    replicas: tuple[wire.ReplicaAddress, ...]
    bootstrap: bool = False
    group: str = ""
    files: tls.TlsFiles | None = None
    timing: states.Timing = states.Timing()
    snapshot_entries_count: int = 20_000
    snapshot_log_size_bytes: int = 32 * 1024 * 1024
    keep_entries_count: int = 2_000
    voters_wanted_count: int = 0
    detects_copies: bool = True


class Node:
    """A replica; made by :func:`make_node`.

    Attributes
    ----------
    state : state.State
        The core's state; read-only for callers.
    machine : machine.Machine
        The state machine; read-only for callers.
    incoming_counts : collections.Counter
        Number of open connections that each other replica has opened to this one.
    """

    def __init__(
        self,
        settings: NodeSettings,
        peer_hub: hub.Hub,
        submachines: tuple[machine.Submachine, ...],
        files: file_operations.Files,
    ) -> None:
        self.settings = settings
        self.machine = machine.make_machine(submachines)
        self.state: states.State | None = None
        self.failure: records.StorageFailure | None = None
        self._heard_at_s: dict[str, float] = {}
        self._replica_connections: set[connections.Connection] = set()
        self.incoming_counts: collections.Counter[str] = collections.Counter()
        self._files = files
        self._initial_replicas: tuple[wire.ReplicaAddress, ...] = ()
        self._disk: disks.DiskWriter | None = None
        self._links = links.Links(
            settings.identity, settings.group, settings.files, self._serve_replica
        )
        self._relays = relays.Relays(settings.identity, settings.files, settings.group)
        self._queue: asyncio.Queue = asyncio.Queue()
        self._request_table = requests.RequestTable()
        self._tasks: set[asyncio.Task] = set()
        self._leadership_ended = asyncio.Event()
        self._left_at_s: dict[str, float] = {}
        self._yielded_at_s: dict[str, float] = {}
        self._hub = peer_hub
        self._registrations: list[hub.Registration] = []
        self._snapshot_task: asyncio.Task | None = None
        self._schedule = schedules.SnapshotSchedule(
            settings.snapshot_entries_count,
            settings.snapshot_log_size_bytes,
            settings.identity.process_name,
        )

    async def start(self) -> result.Result[None, records.StorageFailure]:
        """Recover the data folder and start; a failure leaves the folder unchanged."""
        identity = self.settings.identity
        initial_replicas = self.settings.replicas if self.settings.bootstrap else ()
        outcome = await asyncio.get_running_loop().run_in_executor(
            None,
            functools.partial(
                storage.open_folder,
                detects_copies=self.settings.detects_copies,
                initial_replicas=initial_replicas,
            ),
            self._files,
            self.settings.data_folder,
            identity.cluster_id,
            self.settings.group,
            identity.process_name,
        )
        if isinstance(outcome, result.Failure):
            self.failure = outcome.failure()
            logging.error("cannot open data folder: %s", self.failure)
            return outcome
        opened = outcome.unwrap()
        self._disk = disks.DiskWriter(
            opened.storage, self._links.send, self._queue.put_nowait
        )
        self._recover(opened)
        self._links.update(self.state.membership, self.state.member_id)
        self._start_task(self._run())
        self._start_task(self._tick())
        if self._initial_replicas:
            self._start_task(self._bootstrap())
        self._register_handlers()
        return result.Success(None)

    def _register_handlers(self) -> None:
        handlers = {
            handshake.Purpose.REPLICA: self._serve_incoming,
            handshake.Purpose.CLIENT: self._serve_client,
        }
        self._registrations = [
            self._hub.register(purpose, handler, self.settings.group)
            for purpose, handler in handlers.items()
        ]

    def silent_s(self, replica_name: str, now_s: float) -> float:
        """Return for how long nothing of another replica has arrived.

        Replies to probes count, as followers exchange nothing else while there is a
        leader.  Infinite if nothing has arrived since the data folder was opened.
        """
        ages_s = [
            connection.silent_s
            for connection in self._replica_connections
            if connection.peer.process_name == replica_name
        ]
        heard_at_s = self._heard_at_s.get(replica_name, -math.inf)
        return min(now_s - heard_at_s, *ages_s, math.inf)

    @property
    def yielding_ids(self) -> frozenset[str]:
        """Return the members that vote only where others are missing."""
        return _recent_ids(
            self._yielded_at_s, time.monotonic(), automation.YIELDS_FOR_S
        )

    def _close_registrations(self) -> None:
        for registration in self._registrations:
            registration.close()

    def _start_task(self, coroutine: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._on_task_done)
        self._tasks.add(task)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        """Fail the replica if a task ended by an error, so that it is restarted."""
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        frames = traceback.extract_tb(task.exception().__traceback__)
        fields = logs.Fields(
            reason=repr(task.exception())[:MAX_LOGGED_LENGTH],
            detail=f"{frames[-1].name}, line {frames[-1].lineno}",
        )
        logs.error("replica failed by an error of the program", fields)
        now_s = time.monotonic()
        for action in raft.fail(self.state):
            self._execute(action, now_s)
        requests.refuse_appended(self._request_table, self.state, now_s)
        self._close_registrations()

    async def stop(self, disk_timeout_s: float | None = disks.CLOSE_TIMEOUT_S) -> None:
        """Transfer leadership, finish pending writes and stop.

        Parameters
        ----------
        disk_timeout_s : float or None
            For how long a write that hangs is waited for.  None waits until it ends,
            as is needed before the folder is opened again.
        """
        await self.transfer_leadership()
        if self.state is not None:
            requests.refuse_appended(self._request_table, self.state, time.monotonic())
        # From here on nothing reads the queue.
        self._close_registrations()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._links.close()
        await self._relays.close()
        if self._disk is not None:
            await self._disk.close(disk_timeout_s)
            self._disk = None

    async def transfer_leadership(self) -> None:
        """Let another voter lead; return once one does or after a time limit."""
        state = self.state
        is_leader = state is not None and state.role is states.Role.LEADER
        if is_leader and len(state.membership.voter_ids) > 1:
            self._leadership_ended.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                    while not self._leadership_ended.is_set():
                        self._queue.put_nowait(states.TransferRequested(""))
                        await self._wait_until_leadership_ended()

    async def _wait_until_leadership_ended(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TRANSFER_RETRY_INTERVAL_S):
                await self._leadership_ended.wait()

    def _recover(self, opened: storage.OpenedFolder) -> None:
        found = opened.recovered
        self._initial_replicas = found.initial_replicas
        self.state = raft.make_state(
            found.identity.member_id,
            time.monotonic(),
            secrets.randbits(64),
            self.settings.timing,
            found.term,
            found.voted_for,
            found.snapshot,
            tuple(found.entries),
        )
        if found.snapshot is not None:
            machine.load(self.machine, found.snapshot.data)
            self._schedule.record_snapshot(found.snapshot.index)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._queue.put_nowait(states.Ticked())

    async def _bootstrap(self) -> None:
        await bootstrap.bootstrap_cluster(
            self.settings.identity,
            self.settings.group,
            self.settings.files,
            self._initial_replicas,
            lambda: self.state,
            self._queue.put_nowait,
        )

    async def _serve_incoming(self, connection: connections.Connection) -> None:
        """Serve a connection that another replica has opened."""
        name = connection.peer.process_name
        self.incoming_counts[name] += 1
        try:
            await self._serve_replica(connection)
        finally:
            self.incoming_counts[name] -= 1

    async def _serve_replica(self, connection: connections.Connection) -> None:
        """Receive on a connection with another replica, whichever has opened it."""
        name = connection.peer.process_name
        self._replica_connections.add(connection)
        try:
            while True:
                message = (await connection.receive()).value_or(None)
                if message is None:
                    return
                if isinstance(message, wire.BootstrapRequest):
                    self._queue.put_nowait(states.Bootstrapped(message.membership))
                elif isinstance(message, messages.Envelope):
                    if messages.replica_name_of(message.from_id) != name:
                        return
                    self._heard_at_s[name] = time.monotonic()
                    self._links.add_incoming(message.from_id, connection)
                    self._queue.put_nowait(states.Received(message))
        finally:
            self._replica_connections.discard(connection)
            self._links.remove_incoming(connection)

    async def _serve_client(self, connection: connections.Connection) -> None:
        while True:
            message = (await connection.receive()).value_or(None)
            if message is None or not hasattr(message, "request_id"):
                return
            self._queue.put_nowait(requests.PendingRequest(connection, message))

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            items = [await self._queue.get()]
            while not self._queue.empty():
                items.append(self._queue.get_nowait())
            now_s = time.monotonic()
            proposals = []
            for item in items:
                self._handle(item, proposals, now_s)
            self._manage_members(now_s)
            self._propose(proposals, now_s)
            applied_index = self.state.applied_index
            requests.serve_reads(self._request_table, self.machine, applied_index)
            requests.serve_watches(self._request_table, self.machine, self.state, now_s)
            if applied_index < self.state.commit_index:
                loop.call_soon(self._queue.put_nowait, states.Ticked())

    def _handle(self, item: object, proposals: list, now_s: float) -> None:
        if not isinstance(item, requests.PendingRequest):
            self._step(item, now_s)
            return
        match item.request:
            case wire.ProposeRequest():
                proposals.append(item)
            case wire.ReadRequest():
                self._read(item, now_s)
            case wire.WatchRequest():
                self._request_table.watches.append(requests.make_watch(item, now_s))
            case wire.StatusRequest():
                zone = self.settings.identity.availability_zone
                opened = self._disk.storage
                may_bootstrap = bool(self._initial_replicas)
                requests.respond_with_status(
                    item, self.state, zone, opened, may_bootstrap, now_s
                )
            case wire.ChangeRequest():
                self._change(item, now_s)
            case wire.RelayRequest():
                self._relay(item, proposals, now_s)

    def _relay(
        self, pending: requests.PendingRequest, proposals: list, now_s: float
    ) -> None:
        leader = self.state.membership.find(self.state.leader_id)
        if leader is None:
            requests.refuse(pending, wire.NotServedReason.NOT_LEADER, self.state, now_s)
        elif leader.member_id == self.state.member_id:
            self._handle(requests.unwrap_relayed(pending), proposals, now_s)
        else:
            self._relays.forward(pending, leader)

    def _step(self, event: states.Event, now_s: float) -> list[states.Action]:
        """Pass an event to the core; return its actions, which have been executed."""
        was_leader = self.state.role is states.Role.LEADER
        term = self.state.term
        leader_id = self.state.leader_id
        previous = self.state.membership
        actions = raft.step(self.state, event, now_s)
        for action in actions:
            self._execute(action, now_s)
        is_same_leader = (
            self.state.role is states.Role.LEADER and self.state.term == term
        )
        if was_leader and not is_same_leader:
            requests.refuse_appended(self._request_table, self.state, now_s)
            self._leadership_ended.set()
        if self.state.leader_id != leader_id:
            self._relays.on_leader_change(self.state.leader_id)
        if self.state.membership is not previous:
            self._links.update(self.state.membership, self.state.member_id)
        return actions

    def _execute(self, action: states.Action, now_s: float) -> None:
        match action:
            case states.Send():
                if action.durable:
                    self._disk.submit(action)
                else:
                    self._links.send(action.envelope)
            case states.Store():
                self._disk.submit(action)
            case states.SaveSnapshot():
                machine.load(self.machine, action.snapshot.data)
                self._schedule.record_snapshot(action.snapshot.index)
                self._disk.submit(action)
            case states.Apply():
                self._apply(action)
            case states.ReadReady():
                pending = self._request_table.reads.pop(action.read_id)
                self._request_table.ready_reads.append((action.index, pending))
            case states.ReadRefused():
                pending = self._request_table.reads.pop(action.read_id)
                not_leader = wire.NotServedReason.NOT_LEADER
                requests.refuse(pending, not_leader, self.state, now_s)

    def _apply(self, action: states.Apply) -> None:
        size_bytes = requests.apply_entries(
            self._request_table, self.machine, action.entries
        )
        self._schedule.record_applied(size_bytes)
        self._snapshot_if_due()

    def _snapshot_if_due(self) -> None:
        index = self.state.applied_index
        is_idle = self._snapshot_task is None or self._snapshot_task.done()
        if is_idle and self._schedule.is_due(index):
            self._schedule.record_snapshot(index)
            self._snapshot_task = self._start_task(self._take_snapshot())

    async def _take_snapshot(self) -> None:
        finish = machine.prepare_dump(self.machine)
        metadata = disks.make_snapshot_metadata(self.state, self.machine.time_s)
        data = await asyncio.get_running_loop().run_in_executor(None, finish)
        snapshot = dataclasses.replace(metadata, data=data)
        keep_count = self.settings.keep_entries_count
        self._disk.submit(disks.make_local_snapshot(self.state, snapshot, keep_count))

    def _propose(self, proposals: list[requests.PendingRequest], now_s: float) -> None:
        if not proposals:
            return
        if not raft.can_propose(self.state):
            for pending in proposals:
                not_leader = wire.NotServedReason.NOT_LEADER
                requests.refuse(pending, not_leader, self.state, now_s)
            return
        admitted = requests.admit(self._request_table, proposals, self.state, now_s)
        first_index = self.state.log.last_index + 1
        for offset, pending in enumerate(admitted):
            self._request_table.commands[first_index + offset] = pending
        payloads = tuple(pending.request.command for pending in admitted)
        self._step(states.Proposed(payloads, time.time()), now_s)

    def _read(self, pending: requests.PendingRequest, now_s: float) -> None:
        if pending.request.stale:
            index = self.state.applied_index
            requests.respond_to_query(pending, self.machine, index)
            return
        read_id = self._request_table.next_read_id
        self._request_table.next_read_id += 1
        self._request_table.reads[read_id] = pending
        self._step(states.ReadRequested(read_id), now_s)

    def _change(self, pending: requests.PendingRequest, now_s: float) -> None:
        index = self.state.log.last_index + 1
        request_id = pending.request.request_id
        if pending.request.change is wire.Change.LEAVE:
            answer = self._record_leaving(pending.request.member.member_id, now_s)
            pending.connection.offer(wire.ChangeAnswered(request_id, answer))
            return
        if pending.request.change is wire.Change.YIELD:
            answer = self._record_yielding(pending.request.member.member_id, now_s)
            pending.connection.offer(wire.ChangeAnswered(request_id, answer))
            return
        refusal = self._change_members(pending.request, now_s)
        if not refusal and pending.request.change is not wire.Change.TRANSFER:
            self._request_table.changes[index] = pending
            return
        pending.connection.offer(wire.ChangeAnswered(request_id, refusal))

    def _change_members(self, request: wire.ChangeRequest, now_s: float) -> str:
        """Start a membership change; return the reason of a refusal, or empty text."""
        event = requests.make_change_event(request, time.time())
        refusals = [
            action
            for action in self._step(event, now_s)
            if isinstance(action, states.ChangeRefused)
        ]
        return refusals[0].reason.value if refusals else ""

    def _record_leaving(self, member_id: str, now_s: float) -> str:
        self._left_at_s[member_id] = now_s
        return automation.answer_leaving(
            self.state, member_id, self.settings.voters_wanted_count, now_s
        )

    def _record_yielding(self, member_id: str, now_s: float) -> str:
        self._yielded_at_s[member_id] = now_s
        if self.state.role is not states.Role.LEADER:
            return states.ChangeRefusal.NOT_LEADER.value
        return ""

    def _manage_members(self, now_s: float) -> None:
        wanted_count = self.settings.voters_wanted_count
        if not wanted_count or self.state.role is not states.Role.LEADER:
            return
        leaving_ids = _recent_ids(self._left_at_s, now_s, automation.LEAVING_FOR_S)
        views = automation.view_members(
            self.state, now_s, leaving_ids, self.yielding_ids
        )
        request = automation.next_change(views, self.state.member_id, wanted_count)
        if request is None:
            return
        refusal = self._change_members(request, now_s)
        if not refusal:
            fields = logs.Fields(
                reason=request.change.value, peer=request.member.member_id
            )
            logs.info("changing the members", fields)


def _recent_ids(
    at_s: dict[str, float], now_s: float, duration_s: float
) -> frozenset[str]:
    """Return the ids of which a time is not longer ago; remove the others."""
    for member_id in [
        key for key, seen_s in at_s.items() if now_s - seen_s > duration_s
    ]:
        del at_s[member_id]
    return frozenset(at_s)


def make_node(
    settings: NodeSettings,
    peer_hub: hub.Hub,
    submachines: tuple[machine.Submachine, ...],
    files: file_operations.Files | None = None,
) -> Node:
    """Return a replica that is not started.

    Parameters
    ----------
    settings : NodeSettings
        Settings.
    peer_hub : hub.Hub
        Accepts peer connections while the replica is started; the caller starts and
        closes it.
    submachines : tuple of machine.Submachine
        Parts of the replicated state machine.
    files : files.Files, optional
        Replaces the real file system, for tests.
    """
    return Node(settings, peer_hub, submachines, files or file_operations.make_files())
