"""Connections on which routers tell replicas their counts, and learn the true time.

They are separate from the feeds, so that replicas or routers of an older build refuse
or omit them while their feeds work as before.
"""

import asyncio
import contextlib
import functools
from collections.abc import Callable

from returns import result

from hickoryweir import background, clocks
from hickoryweir.duties import true_time, usage_counts, usage_reporter, usage_sums
from hickoryweir.feeds import messages
from hickoryweir.observability import logs
from hickoryweir.replicas import wire
from hickoryweir.streams import connections, handshake, hub

# A killed router loses what it has counted since the last message.
SEND_INTERVAL_S = 0.25
# Of all routers together, at each replica, which takes 4% of a core with 24 accounts.
MAX_MESSAGES_PER_S = 600.0
TRUE_TIME_INTERVAL_S = 1.0
CONNECT_TIMEOUT_S = 0.7
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0
# An older build refuses the connection, and logs each attempt.
REFUSED_RETRY_S = 5.0


class Receiver:
    """The replica's side.

    Parameters
    ----------
    reporter : usage_reporter.Reporter
        Receives counts and clocks.
    is_leader : callable
        Returns whether this replica is the leader, whose true time counts.
    """

    def __init__(
        self, reporter: usage_reporter.Reporter, is_leader: Callable[[], bool]
    ) -> None:
        self._reporter = reporter
        self._is_leader = is_leader
        self._connections: set[connections.Connection] = set()

    async def serve(self, connection: connections.Connection) -> None:
        """Serve one router until it disconnects."""
        self._connections.add(connection)
        try:
            while True:
                message = (await connection.receive()).value_or(None)
                if message is None:
                    return
                if not isinstance(message, messages.UsageCounts):
                    _log_absurd(connection, f"a {type(message).__name__}")
                    return
                if not true_time.is_plausible(message.wall_s):
                    _log_absurd(connection, f"time of day {message.wall_s:g}")
                    return
                now_s = clocks.boottime_s()
                reporter = self._reporter
                is_new = message.process_id not in reporter.sums.processes
                true_time.add_sample(
                    reporter.clock, message.process_id, message.wall_s, now_s
                )
                usage_sums.add(reporter.sums, message, now_s)
                if is_new:
                    self._offer_time([connection])
        finally:
            self._connections.discard(connection)

    async def run(self) -> None:
        """Tell the true time while this replica is the leader, until cancelled."""
        while True:
            self._offer_time(list(self._connections))
            await asyncio.sleep(TRUE_TIME_INTERVAL_S)

    def _offer_time(self, receivers: list[connections.Connection]) -> None:
        true_s = usage_reporter.true_s(self._reporter, clocks.boottime_s())
        if true_s is None or not self._is_leader():
            return
        message = messages.TrueTime(true_s)
        for connection in receivers:
            connection.offer(message)


class Sender:
    """The router's side: a connection to each replica.

    Parameters
    ----------
    identity : handshake.Identity
        Identity of the router.
    counts : usage_counts.State
        Its counts.
    get_replicas : callable
        Returns the replicas by address.
    get_routers_count : callable, optional
        Returns the number of routers, which lowers the rate of messages.
    read_wall_s : callable, optional
        Returns the time of day of this process.
    """

    def __init__(
        self,
        identity: handshake.Identity,
        counts: usage_counts.State,
        get_replicas: Callable[[], dict[str, wire.ReplicaAddress]],
        get_routers_count: Callable[[], int] = lambda: 1,
        read_wall_s: Callable[[], float] = lambda: clocks.wall_s(),
    ) -> None:
        self._identity = identity
        self._counts = counts
        self._get_replicas = get_replicas
        self._get_routers_count = get_routers_count
        self._read_wall_s = read_wall_s
        self._tasks: dict[str, asyncio.Task] = {}
        self._connected: set[asyncio.Task] = set()
        self._is_ending = asyncio.Event()

    def count(self, account_name: str) -> None:
        """Count a request that a server began now."""
        now_s = clocks.boottime_s()
        usage_counts.record(self._counts, account_name, now_s, self._read_wall_s())

    async def run(self) -> None:
        """Keep connections to all replicas, until cancelled."""
        try:
            while True:
                true_time.record_progress(
                    self._counts.leader_clock, clocks.boottime_s()
                )
                for address, replica in list(self._get_replicas().items()):
                    if address not in self._tasks:
                        task = asyncio.create_task(
                            background.keep_running(
                                f"usage to {address}",
                                functools.partial(self._follow, replica),
                            )
                        )
                        self._tasks[address] = task
                await asyncio.sleep(SEND_INTERVAL_S)
        finally:
            for task in self._tasks.values():
                task.cancel()
            await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    async def finish(self, timeout_s: float) -> None:
        """Send the last counts, and wait until the replicas have received them.

        Parameters
        ----------
        timeout_s : float
            For how long to wait at most.
        """
        self._is_ending.set()
        if not self._connected:
            return
        _, unconfirmed = await asyncio.wait(set(self._connected), timeout=timeout_s)
        if unconfirmed:
            fields = logs.Fields(detail=f"{len(unconfirmed)} replicas")
            logs.warning("last counts of usage not confirmed", fields)

    async def _follow(self, replica: wire.ReplicaAddress) -> None:
        retry_s = RETRY_MIN_S
        while not self._is_ending.is_set():
            outcome = await hub.connect(
                self._identity,
                replica.host,
                replica.port,
                handshake.Purpose.USAGE,
                None,
                CONNECT_TIMEOUT_S,
            )
            connection = outcome.value_or(None)
            if connection is not None:
                retry_s = RETRY_MIN_S
                logs.info("usage sent to a replica", logs.Fields(peer=replica.address))
                reason = None
                task = asyncio.current_task()
                self._connected.add(task)
                try:
                    await self._serve(connection)
                except Exception as error:
                    # After an unexpected error, the counts go over a new connection.
                    reason = repr(error)
                finally:
                    self._connected.discard(task)
                fields = logs.Fields(peer=replica.address, reason=reason)
                logs.info("usage no longer sent to a replica", fields)
            elif outcome.failure().reason is hub.ConnectReason.REFUSED:
                retry_s = REFUSED_RETRY_S
            await self._pause(retry_s)
            retry_s = min(2 * retry_s, RETRY_MAX_S)

    async def _serve(self, connection: connections.Connection) -> None:
        sending = asyncio.create_task(self._send(connection))
        try:
            while True:
                message = (await connection.receive()).value_or(None)
                if message is None:
                    return
                if isinstance(message, messages.TrueTime):
                    if not true_time.is_plausible(message.true_s):
                        _log_absurd(connection, f"true time {message.true_s:g}")
                        return
                    now_s = clocks.boottime_s()
                    usage_counts.set_offset(
                        self._counts, message.true_s, now_s, self._read_wall_s()
                    )
        finally:
            sending.cancel()
            (outcome,) = await asyncio.gather(sending, return_exceptions=True)
            if isinstance(outcome, Exception):
                fields = logs.Fields(
                    peer=connection.peer.process_name, reason=repr(outcome)
                )
                logs.error("sending of usage failed", fields)
            connection.abort()

    async def _send(self, connection: connections.Connection) -> None:
        """Send all kept counts first, then changes, until the connection ends."""
        sent_count, sent_window, was_sent = 0, -1, True
        while not connection.is_closed:
            is_last = self._is_ending.is_set()
            counts = self._counts
            message = usage_counts.make_message(
                counts, sent_count, clocks.boottime_s(), self._read_wall_s()
            )
            if message.windows or message.open_window != sent_window:
                # What was not queued is part of the next message.
                queued = connection.offer(message)
                if isinstance(queued, result.Success):
                    sent_count, sent_window = counts.changes_count, message.open_window
                elif was_sent:
                    _log_not_queued(connection, repr(queued.failure()))
                was_sent = isinstance(queued, result.Success)
            if is_last:
                connection.end_sending()
                return
            await self._pause(interval_s(self._get_routers_count()))

    async def _pause(self, time_s: float) -> None:
        """Wait for a time, or until the last counts are to be sent."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(time_s):
                await self._is_ending.wait()


def _log_not_queued(connection: connections.Connection, reason: str) -> None:
    fields = logs.Fields(peer=connection.peer.process_name, reason=reason)
    logs.warning("counts of usage not queued", fields)


def _log_absurd(connection: connections.Connection, detail: str) -> None:
    fields = logs.Fields(peer=connection.peer.process_name, detail=detail)
    logs.warning("absurd message closes its connection", fields)


def interval_s(routers_count: int) -> float:
    """Return the time between messages of a router.

    Examples
    --------
    >>> [interval_s(count) for count in (1, 88, 1404)]
    [0.25, 0.25, 2.34]
    """
    return max(SEND_INTERVAL_S, routers_count / MAX_MESSAGES_PER_S)
