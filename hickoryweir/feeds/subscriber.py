"""The routers' side of the feeds: one task for each replica.

A router takes a table only if its version is above the one in force, and a list of
servers only if it was read later, so a replica that lags or is cut off can't bring
an older one back.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from hickoryweir import clocks
from hickoryweir.discovery import listing
from hickoryweir.feeds import messages
from hickoryweir.observability import logs
from hickoryweir.replicas import wire
from hickoryweir.routes import store
from hickoryweir.streams import connections, handshake, hub

# Four beats: fewer would take a slow replica for a silent one.
HEARTBEAT_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.7
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0
# A table of a few hundred routes crosses a zone in some ten milliseconds.
TABLE_REQUEST_TIMEOUT_S = 0.4
# A crash loses many requests within milliseconds; one message tells of them.
REPORT_DELAY_S = 0.02
# One more than needed, for a replica that is just being lost.
REPORT_REPLICAS_COUNT = 2


@dataclasses.dataclass(slots=True)
class View:
    """What a router has learned from all replicas together.

    Attributes
    ----------
    table_version : int
        Version of the table in force.
    announced_version : int
        Highest version that any replica told of.
    servers : listing.ServerList or None
        The list that was read last.
    routers_count : int
        Routers that the replica heard last counts.
    has_leader : bool
        Whether the replica heard last leads or hears a leader.
    """

    table_version: int = store.NO_VERSION
    announced_version: int = store.NO_VERSION
    servers: listing.ServerList | None = None
    routers_count: int = 1
    has_leader: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Callbacks:
    """What the router does with news.

    Attributes
    ----------
    on_table : callable
        Takes a version and bytes; returns whether the table is now in force.
    on_servers : callable
        Takes a new list of servers.
    may_fetch : callable
        Returns whether tables may be taken from any replica yet.
    on_lost : callable
        Takes a server and fingerprints of requests that another router lost there.
    on_loads : callable
        Takes what all routers together have at the servers, and news of the parts
        that these were given.
    """

    on_table: Callable[[int, bytes], bool]
    on_servers: Callable[[listing.ServerList], None]
    may_fetch: Callable[[], bool]
    on_lost: Callable[[str, tuple[int, ...]], None] = lambda server_id, lost: None
    on_loads: Callable[[messages.TotalLoads], None] = lambda loads: None


class Subscriber:
    """Made by :func:`make_subscriber`; :meth:`run` follows until cancelled."""

    def __init__(
        self,
        identity: handshake.Identity,
        replicas: tuple[wire.ReplicaAddress, ...],
        callbacks: Callbacks,
    ) -> None:
        self.view = View()
        self._identity = identity
        self._callbacks = callbacks
        self._tasks: dict[str, asyncio.Task] = {}
        self._initial_replicas = replicas
        self._requested_at_s = 0.0
        self._list_id = 0
        self._open_connections: list[connections.Connection] = []
        self._lost_fingerprints: dict[str, list[int]] = {}
        self._list_reader: connections.Connection | None = None

    async def run(self) -> None:
        """Follow the given replicas and all that these name."""
        self.follow(self._initial_replicas)
        try:
            await asyncio.Event().wait()
        finally:
            for task in self._tasks.values():
                task.cancel()
            await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def follow(self, replicas: tuple[wire.ReplicaAddress, ...]) -> None:
        """Begin to follow replicas that are not followed yet."""
        for replica in replicas:
            if replica.address not in self._tasks:
                task = asyncio.create_task(self._follow(replica))
                self._tasks[replica.address] = task

    def apply_table(self, stored: store.StoredTable) -> None:
        """Put a table in force if it is newer than the one that is."""
        if stored.version <= self.view.table_version:
            return
        if self._callbacks.on_table(stored.version, store.read_content(stored)):
            self.view.table_version = stored.version

    def report_lost(self, server_id: str, fingerprint: int) -> None:
        """Tell the other routers of a lost request, together with the next ones."""
        if not self._lost_fingerprints:
            asyncio.get_running_loop().call_later(REPORT_DELAY_S, self._send_lost)
        self._lost_fingerprints.setdefault(server_id, []).append(fingerprint)

    def send_loads(self, own: messages.RouterLoads) -> bool:
        """Tell the replica that adds the loads up; return whether there is one."""
        if self._list_reader is None or self._list_reader.is_closed:
            return False
        self._list_reader.offer(own)
        return True

    def _send_lost(self) -> None:
        lost, self._lost_fingerprints = self._lost_fingerprints, {}
        for server_id, fingerprints in lost.items():
            message = messages.RequestsLost(server_id, tuple(fingerprints))
            for connection in self._open_connections[:REPORT_REPLICAS_COUNT]:
                connection.offer(message)

    async def _follow(self, replica: wire.ReplicaAddress) -> None:
        retry_s = RETRY_MIN_S
        was_reachable = True
        while True:
            outcome = await hub.connect(
                self._identity,
                replica.host,
                replica.port,
                handshake.Purpose.FEED,
                None,
                CONNECT_TIMEOUT_S,
            )
            connection = outcome.value_or(None)
            if connection is not None:
                logs.info("replica followed", logs.Fields(peer=replica.address))
                was_reachable, retry_s = True, RETRY_MIN_S
                reason = await self._receive(connection)
                logs.warning(
                    "replica lost", logs.Fields(peer=replica.address, reason=reason)
                )
            elif was_reachable:
                was_reachable = False
                reason = outcome.failure().reason.value
                fields = logs.Fields(peer=replica.address, reason=reason)
                logs.warning("replica not reached", fields)
            await asyncio.sleep(retry_s)
            retry_s = min(2 * retry_s, RETRY_MAX_S)

    async def _receive(self, connection: connections.Connection) -> str:
        self._open_connections.append(connection)
        try:
            while True:
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                    received = await connection.receive()
                message = received.value_or(None)
                if message is None:
                    return received.failure().value
                self._handle(connection, message)
        except TimeoutError:
            return "silent"
        finally:
            self._open_connections.remove(connection)
            connection.abort()

    def _handle(self, connection: connections.Connection, message: object) -> None:
        match message:
            case messages.Heartbeat():
                self._handle_heartbeat(connection, message)
            case messages.TableContent():
                self._requested_at_s = 0.0
                stored = store.StoredTable(message.version, message.compressed)
                if self._callbacks.may_fetch():
                    self.apply_table(stored)
            case messages.ServerListUpdate():
                self._handle_server_list(message)
            case messages.TotalLoads():
                self._callbacks.on_loads(message)
            case messages.RequestsLost():
                self._callbacks.on_lost(message.server_id, message.fingerprints)

    def _handle_heartbeat(
        self, connection: connections.Connection, heartbeat: messages.Heartbeat
    ) -> None:
        view = self.view
        view.has_leader = heartbeat.has_leader
        view.routers_count = max(1, heartbeat.routers_count)
        view.announced_version = max(view.announced_version, heartbeat.table_version)
        self.follow(heartbeat.replicas)
        if heartbeat.list_id:
            self._list_reader = connection
        if heartbeat.list_id and heartbeat.list_id == self._list_id:
            read_at_s = clocks.elapsed_s() - heartbeat.list_age_s
            if read_at_s > view.servers.read_at_s:
                view.servers = dataclasses.replace(view.servers, read_at_s=read_at_s)
        now_s = asyncio.get_running_loop().time()
        is_newer = heartbeat.table_version > view.table_version
        is_pending = now_s - self._requested_at_s < TABLE_REQUEST_TIMEOUT_S
        if is_newer and self._callbacks.may_fetch() and not is_pending:
            self._requested_at_s = now_s
            connection.offer(messages.TableRequest())

    def _handle_server_list(self, message: messages.ServerListUpdate) -> None:
        read_at_s = clocks.elapsed_s() - message.age_s
        self.apply_list(listing.ServerList(message.servers, read_at_s))
        if self.view.servers.read_at_s == read_at_s:
            self._list_id = message.list_id

    def apply_list(self, server_list: listing.ServerList) -> None:
        """Take a list of servers that was read later than the one known."""
        known = self.view.servers
        if known is not None and server_list.read_at_s <= known.read_at_s:
            return
        self.view.servers = server_list
        self._list_id = 0
        self._callbacks.on_servers(server_list)


def make_subscriber(
    identity: handshake.Identity,
    replicas: tuple[wire.ReplicaAddress, ...],
    callbacks: Callbacks,
) -> Subscriber:
    """Return a subscriber that follows nothing yet.

    Parameters
    ----------
    identity : handshake.Identity
        Who this router is.
    replicas : tuple of ReplicaAddress
        Replicas to begin with; the others are learned from them.
    callbacks : Callbacks
        What is done with news.
    """
    return Subscriber(identity, replicas, callbacks)
