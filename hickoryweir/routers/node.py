"""I/O of a peer router: connections, clock and queues around the core.

One task owns the state of the core and handles events from one queue, the inbox.
Connections add the messages they receive to the inbox, and a dial task maintains
the outgoing connections that the core requests.
"""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import Awaitable, Callable

from absl import logging
from returns import result

from hickoryweir import background
from hickoryweir.claims import holders
from hickoryweir.configuration import model, parse, settings, stops
from hickoryweir.policy import events as policy_events
from hickoryweir.routers import core, events, messages, topology, versions
from hickoryweir.streams import connections, handshake, hub, tls

TICK_S = 0.1
DIAL_CHECK_S = 0.25
LINK_IDLE_TIMEOUT_S = 3 * core.HEARTBEAT_INTERVAL_S
LOG_READ_TIMEOUT_S = 2.0
LOG_READ_RETRY_S = 0.5
LOG_READ_INTERVAL_S = 30.0
MAX_INBOX_EVENTS_COUNT = 4096
CONFIGURATION_NAME = "configuration in force"

ReadLog = Callable[[float], Awaitable[result.Result[versions.Published | None, object]]]


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """A version in force at this router."""

    version: int
    configuration: model.Configuration
    running_stops: tuple[stops.Stop, ...]


class Node:
    """A peer router; created by :func:`make_node`.

    Attributes
    ----------
    ready : asyncio.Event
        Set once this router may serve clients.
    in_force : InForce or None
        The version in force at this router.
    configuration_queue, digest_queue : asyncio.Queue
        Receive each :class:`InForce`, and the digests of other routers.
    """

    def __init__(
        self,
        process_settings: settings.Settings,
        router_hub: hub.Hub,
        read_log: ReadLog,
        configuration_queue: asyncio.Queue,
        digest_queue: asyncio.Queue,
        now: Callable[[], float],
    ) -> None:
        self.ready = asyncio.Event()
        self.in_force: InForce | None = None
        self._hub = router_hub
        self._read_log = read_log
        self.configuration_queue = configuration_queue
        self.digest_queue = digest_queue
        self._now = now
        self._addresses = {each.name: each for each in process_settings.other_processes}
        self._tls_files = make_tls_files(process_settings.peers)
        self._state = core.make_state(
            _own_member(process_settings),
            _members(process_settings),
            time.time_ns() // 1_000_000,
            now(),
        )
        self._section_cache = parse.EMPTY_CACHE
        self._inbox: asyncio.Queue[events.Event] = asyncio.Queue(MAX_INBOX_EVENTS_COUNT)
        self._connections: dict[str, list[connections.Connection]] = {}
        self._dial_tasks: dict[str, asyncio.Task] = {}
        self._tasks: list[asyncio.Task] = []
        self._registration: hub.Registration | None = None

    @property
    def state(self) -> core.State:
        """Return the state of the core; callers must not modify it."""
        return self._state

    def start(self) -> None:
        """Start the tasks; the owner of the hub starts the hub."""
        self._registration = self._hub.register(handshake.Purpose.ROUTER, self._serve)
        for work in (self._run, self._tick, self._dial, self._poll_log):
            running = background.keep_running(f"router {work.__name__}", work)
            self._tasks.append(asyncio.create_task(running))

    async def close(self) -> None:
        """Abort all connections of this node and cancel all tasks."""
        if self._registration is not None:
            self._registration.close()
        tasks = [*self._tasks, *self._dial_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for opened in list(self._connections.values()):
            for connection in opened:
                connection.abort()

    def offer_version(self, published: versions.Published | None) -> None:
        """Accept a committed version from the replica in this process."""
        self._enqueue(events.LogRead(published, is_confirmed=False))

    async def confirm(self, version: int) -> None:
        """Report a version of `configuration_queue` as applied by this process."""
        await self._inbox.put(events.Adopted(version))

    def offer_digest(self, digest: policy_events.PeerDigestReceived) -> None:
        """Accept the digest of this router's own policy core."""
        self._enqueue(events.LocalDigest(digest))

    def watch(self) -> None:
        """Request zone reports from the other routers for a limited time."""
        self._enqueue(events.WatchRequested())

    @property
    def holder(self) -> holders.Holder:
        """Return the name and incarnation of this process."""
        return holders.Holder(self._state.layout.local.name, self._state.incarnation)

    def is_gone(self, holder: holders.Holder) -> bool:
        """Return whether a router's process is known to have ended."""
        return core.is_gone(self._state, holder, self._now())

    def zone_reports(self) -> tuple[messages.ZoneReport, ...]:
        """Return the most complete report of each availability zone."""
        return core.zone_reports(self._state, self._now())

    def _enqueue(self, event: events.Event) -> None:
        try:
            self._inbox.put_nowait(event)
        except asyncio.QueueFull:
            self._state.counts["inbox_full"] += 1

    async def _run(self) -> None:
        while True:
            event = await self._inbox.get()
            for action in core.step(self._state, event, self._now()):
                self._execute(action)
            if self._state.is_ready:
                self.ready.set()

    def _execute(self, action: events.Action) -> None:
        match action:
            case events.Send():
                self._send(action.peer, action.message)
            case events.Adopt():
                self._adopt(action.published)
            case events.DeliverDigest():
                self._deliver_digest(action.digest)

    def _send(self, peer: str, message: messages.Message) -> None:
        opened = self._connections.get(peer)
        if not opened:
            return
        if not isinstance(opened[-1].offer(message), result.Success):
            self._state.counts["send_failed"] += 1

    def _adopt(self, published: versions.Published) -> None:
        parsed = parse.parse_canonical(
            published.text, published.digest, CONFIGURATION_NAME, self._section_cache
        )
        if not isinstance(parsed, result.Success):
            self._state.counts["configuration_unreadable"] += 1
            logging.error(
                "can't put version %d in force: %s", published.version, parsed.failure()
            )
            return
        configuration, self._section_cache = parsed.unwrap()
        self.in_force = InForce(
            published.version, configuration, published.running_stops
        )
        self.configuration_queue.put_nowait(self.in_force)

    def _deliver_digest(self, digest: policy_events.PeerDigestReceived) -> None:
        try:
            self.digest_queue.put_nowait(digest)
        except asyncio.QueueFull:
            self._state.counts["digest_queue_full"] += 1

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._enqueue(events.Ticked())

    async def _poll_log(self) -> None:
        while True:
            read = await self._read_log(LOG_READ_TIMEOUT_S)
            if isinstance(read, result.Success):
                await self._inbox.put(events.LogRead(read.unwrap(), True))
                await asyncio.sleep(LOG_READ_INTERVAL_S)
            else:
                await asyncio.sleep(LOG_READ_RETRY_S)

    async def _dial(self) -> None:
        while True:
            wanted = core.wanted_peers(self._state, self._now())
            for name in wanted:
                if name not in self._dial_tasks and name in self._addresses:
                    self._dial_tasks[name] = asyncio.create_task(self._dial_one(name))
            for name in self._dial_tasks.keys() - set(wanted):
                self._dial_tasks[name].cancel()
            await asyncio.sleep(DIAL_CHECK_S)

    async def _dial_one(self, name: str) -> None:
        address = self._addresses[name]
        try:
            opened = await hub.connect(
                self._hub.identity,
                address.host,
                address.port,
                handshake.Purpose.ROUTER,
                self._tls_files,
            )
            if isinstance(opened, result.Success):
                await self._serve(opened.unwrap())
            else:
                self._enqueue(events.DialFailed(name))
                await asyncio.sleep(core.DIAL_RETRY_S)
        finally:
            self._dial_tasks.pop(name, None)

    async def _serve(self, connection: connections.Connection) -> None:
        peer = connection.peer.process_name
        opened = self._connections.setdefault(peer, [])
        opened.append(connection)
        try:
            await self._inbox.put(events.LinkOpened(peer))
            while True:
                async with asyncio.timeout(LINK_IDLE_TIMEOUT_S):
                    received = await connection.receive()
                if not isinstance(received, result.Success):
                    return
                await self._inbox.put(events.Received(peer, received.unwrap()))
        except TimeoutError:
            self._state.counts["link_idle"] += 1
        finally:
            connection.abort()
            with contextlib.suppress(ValueError):
                opened.remove(connection)
            if not opened:
                self._connections.pop(peer, None)
                self._enqueue(events.LinkClosed(peer))


def make_tls_files(peers: settings.Peers) -> tls.TlsFiles | None:
    """Return the TLS files of the port for peers; None if it uses plain text."""
    if peers.plain_text:
        return None
    return tls.TlsFiles(
        str(peers.certificate_file), str(peers.key_file), str(peers.authority_file)
    )


def _own_member(process_settings: settings.Settings) -> topology.Member:
    process = process_settings.process
    is_replica = settings.Role.REPLICA in process.roles
    return topology.Member(process.name, process.availability_zone, is_replica)


def _members(process_settings: settings.Settings) -> tuple[topology.Member, ...]:
    others = tuple(
        topology.Member(
            each.name, each.availability_zone, settings.Role.REPLICA in each.roles
        )
        for each in process_settings.other_processes
    )
    return (_own_member(process_settings), *others)


def count_members(process_settings: settings.Settings) -> int:
    """Return the number of processes of the cluster."""
    return len(_members(process_settings))


def make_node(
    process_settings: settings.Settings,
    router_hub: hub.Hub,
    read_log: ReadLog,
    configuration_queue: asyncio.Queue,
    digest_queue: asyncio.Queue,
    now: Callable[[], float] = time.monotonic,
) -> Node:
    """Return a peer router that has not started.

    Parameters
    ----------
    process_settings : settings.Settings
        Settings of this process.
    router_hub : hub.Hub
        The listening port; its owner starts and closes it.
    read_log : callable
        ``read_log(timeout_s)`` returns the committed version by a linearizable read.
    configuration_queue : asyncio.Queue
        Receives each :class:`InForce`, whose version is reported to others once
        ``confirm`` was called; must be unbounded.
    digest_queue : asyncio.Queue
        Receives ``PeerDigestReceived`` events of other routers.
    now : callable, optional
        Monotonic clock.

    Returns
    -------
    Node
        ``start`` must be called in a running event loop.
    """
    return Node(
        process_settings, router_hub, read_log, configuration_queue, digest_queue, now
    )
