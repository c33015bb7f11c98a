"""The routers' side of the feeds: one task for each replica.

A router applies a table only if its version is higher than the current one, and a
server list only if it was read later, so that a replica that lags or is partitioned
cannot restore an older one.
"""

import asyncio
import dataclasses
import functools
from collections.abc import Callable

from returns import result

from hickoryweir import background, clocks
from hickoryweir.discovery import listing
from hickoryweir.feeds import messages
from hickoryweir.observability import logs
from hickoryweir.replicas import wire
from hickoryweir.routes import store
from hickoryweir.streams import connections, handshake, hub

# Four heartbeats; fewer would time out replicas that are merely slow.
HEARTBEAT_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.7
RETRY_MIN_S = 0.1
# A replica that has started acknowledges no table before its routers are back.
RETRY_MAX_S = 0.4
# Time in which a replica completes the handshake of one router.
HANDSHAKE_S = 0.0007
# A table of a few hundred routes takes about 10 ms to cross an availability zone.
# Another replica is asked in time for an acknowledgement that waits for this router.
TABLE_REQUEST_TIMEOUT_S = 0.2
# Batches the many requests that a crash loses within milliseconds in one message.
REPORT_DELAY_S = 0.02
# One more than needed, in case one of the replicas is failing.
REPORT_REPLICAS_COUNT = 2
MAX_LOGGED_LENGTH = 200


@dataclasses.dataclass(slots=True)
class View:
    """A router's merged view of all replicas.

    Attributes
    ----------
    table_version : int
        Version of the current table.
    announced_version : int
        Highest version that any replica has announced.
    servers : listing.ServerList or None
        The most recently read list.
    routers_count : int
        Subscribed routers, as reported by the latest heartbeat.
    has_leader : bool
        Whether the sender of the latest heartbeat is the leader or has contact with
        one.
    leader_heard_at_s : float
        When the leader last sent a heartbeat, on :func:`clocks.boottime_s`.
    replicas_count : int
        Members of the replicated log; the seeds until a replica knows them.
    """

    table_version: int = store.NO_VERSION
    announced_version: int = store.NO_VERSION
    servers: listing.ServerList | None = None
    routers_count: int = 1
    has_leader: bool = False
    leader_heard_at_s: float = float("-inf")
    replicas_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class TableAsked:
    """A request for the table of a replica."""

    connection: connections.Connection


@dataclasses.dataclass(frozen=True, slots=True)
class Callbacks:
    """Handlers of the router for updates.

    Attributes
    ----------
    on_table : callable
        Called with a version and encoded table; returns whether it was applied.
    on_servers : callable
        Called with a new server list.
    may_fetch : callable
        Returns whether tables may be fetched from any replica yet.
    on_lost : callable
        Called with requests that other routers lost.
    on_completed : callable
        Called with requests that had been lost, and completed at another router.
    on_loads : callable
        Called with the summed load of all routers and newly sent prompt parts.
    on_origins : callable
        Called with streams that a replica was asked for.
    on_listed_versions : callable
        Called with software versions that were listed lately.
    on_evidence : callable
        Called with evidence on parts of prompts that crash servers.
    on_trial : callable
        Called with a blocked part of which one request may be sent.
    on_limits : callable
        Called with limits that servers name.
    on_grants : callable
        Called with grants to send to such servers.
    on_relays : callable
        Called with a replica's address and the routers that may relay requests.
    on_speeds : callable
        Called with what all routers know of servers' speed.
    greet : callable
        Returns the messages to send to a replica at the start of its connection.
    on_work : callable
        Called with the summed work of client accounts while capacity is short.
    """

    on_table: Callable[[int, bytes], bool]
    on_servers: Callable[[listing.ServerList], None]
    may_fetch: Callable[[], bool]
    on_lost: Callable[[messages.RequestsLost], None] = lambda lost: None
    on_loads: Callable[[messages.TotalLoads], None] = lambda loads: None
    on_origins: Callable[[messages.StreamOrigins], None] = lambda origins: None
    on_listed_versions: Callable[[messages.ListedVersions], None] = lambda listed: None
    on_evidence: Callable[[messages.CrashEvidence], None] = lambda evidence: None
    on_trial: Callable[[messages.PartTrial], None] = lambda trial: None
    on_limits: Callable[[messages.ServerLimits], None] = lambda limits: None
    on_grants: Callable[[messages.SendGrants], None] = lambda grants: None
    on_completed: Callable[[messages.RequestsCompleted], None] = lambda completed: None
    greet: Callable[[], list] = list
    on_relays: Callable[[str, messages.RelayRouters], None] = lambda address, relays: (
        None
    )
    on_speeds: Callable[[messages.TotalSpeeds], None] = lambda speeds: None
    on_work: Callable[[messages.TotalWork], None] = lambda total: None


class Subscriber:
    """Follows the replicas' feeds; created by :func:`make_subscriber`.

    Attributes
    ----------
    followed : dict
        The replicas that are followed, by address.
    """

    def __init__(
        self,
        identity: handshake.Identity,
        replicas: tuple[wire.ReplicaAddress, ...],
        callbacks: Callbacks,
    ) -> None:
        self.view = View(replicas_count=len(replicas))
        self._identity = identity
        self._callbacks = callbacks
        self.followed: dict[str, wire.ReplicaAddress] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._initial_replicas = replicas
        # The version that each connected replica has announced.
        self._announced: dict[connections.Connection, int] = {}
        self._asked: TableAsked | None = None
        self._confirming: set[connections.Connection] = set()
        self._list_id = 0
        self._open_connections: list[connections.Connection] = []
        self._lost: dict[str, list[tuple[int, float]]] = {}
        self._completed_fingerprints: list[int] = []
        self._list_reader: connections.Connection | None = None
        # The replica whose sums have shown that it reads the messages of this version.
        self._later_replica: connections.Connection | None = None
        self._origins: dict[tuple[str, str], list[int]] = {}

    async def run(self) -> None:
        """Follow the initial replicas and all members they report, until cancelled."""
        self.follow(self._initial_replicas)
        try:
            await asyncio.Event().wait()
        finally:
            for task in self._tasks.values():
                task.cancel()
            await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def follow(self, replicas: tuple[wire.ReplicaAddress, ...]) -> None:
        """Start following replicas that are not followed yet."""
        for replica in replicas:
            if replica.address not in self._tasks:
                work = functools.partial(self._follow, replica)
                name = f"following {replica.address}"
                task = asyncio.create_task(background.keep_running(name, work))
                self._tasks[replica.address] = task
                self.followed[replica.address] = replica

    def apply_table(self, stored: store.StoredTable) -> None:
        """Apply a table if it is newer than the current one."""
        if stored.version <= self.view.table_version:
            return
        if self._callbacks.on_table(stored.version, store.read_content(stored)):
            self.view.table_version = stored.version
            for connection in self._confirming:
                connection.offer(messages.TableInForce(stored.version))

    def report_lost(self, server_id: str, fingerprint: int, lost_s: float) -> None:
        """Report a lost request to the other routers, batched with subsequent ones."""
        if not self._lost:
            asyncio.get_running_loop().call_later(REPORT_DELAY_S, self._send_lost)
        self._lost.setdefault(server_id, []).append((fingerprint, lost_s))

    def report_completed(self, fingerprint: int) -> None:
        """Report that a request which had been lost has completed, batched likewise."""
        if not self._completed_fingerprints:
            asyncio.get_running_loop().call_later(REPORT_DELAY_S, self._send_completed)
        self._completed_fingerprints.append(fingerprint)

    def report_origin(self, service_name: str, software_version: str, key: int) -> None:
        """Tell all replicas where a stream began, batched with subsequent ones.

        Replicas don't pass it on, and the stream may outlast several of them.
        """
        if not self._origins:
            asyncio.get_running_loop().call_later(REPORT_DELAY_S, self._send_origins)
        pair = (service_name, software_version)
        self._origins.setdefault(pair, []).append(key)

    def _send_origins(self) -> None:
        origins, self._origins = self._origins, {}
        for pair, keys in origins.items():
            self.send_to_all(messages.StreamOrigins(*pair, tuple(keys)))

    def ask_origins(self, keys: tuple[int, ...]) -> None:
        """Ask all replicas where streams began."""
        self.send_to_all(messages.OriginsRequest(keys))

    def send_to_all(self, message: object) -> None:
        """Send a message to all replicas that are connected."""
        for connection in self._open_connections:
            connection.offer(message)

    def send_loads(self, loads: messages.RouterLoads) -> bool:
        """Send loads to the replica that sums them; return whether there is one."""
        if self.list_reader is None:
            return False
        sent = loads.loads
        if not self._reads_later_messages(self._list_reader):
            sent = messages.without_memory(sent)
        sent = (*sent, messages.VERSION_MARK)
        self._list_reader.offer(dataclasses.replace(loads, loads=sent))
        return True

    def send_to_leader(
        self,
        message: messages.RouterSpeeds | messages.RouterWork | messages.ServiceDemand,
    ) -> bool:
        """Send a message that earlier versions of replicas don't know to the leader.

        Returns
        -------
        bool
            Whether there is a leader that reads it.
        """
        reader = self.list_reader
        if reader is None or not self._reads_later_messages(reader):
            return False
        reader.offer(message)
        return True

    def _reads_later_messages(self, connection: connections.Connection) -> bool:
        """Return whether a replica has shown that it is not of an earlier version.

        Earlier ones close a connection on which an unknown message comes.
        """
        return connection is self._later_replica

    @property
    def list_reader(self) -> connections.Connection | None:
        """Return the connection to the replica that reads the list, the leader."""
        if self._list_reader is None or self._list_reader.is_closed:
            return None
        return self._list_reader

    @property
    def reached_count(self) -> int:
        """Return the number of connected replicas that have sent a heartbeat."""
        return len(self._announced)

    def _send_lost(self) -> None:
        lost, self._lost = self._lost, {}
        now_s = clocks.boottime_s()
        for server_id, pairs in lost.items():
            fingerprints = tuple(fingerprint for fingerprint, _ in pairs)
            age_s = now_s - max(lost_s for _, lost_s in pairs)
            self._send_to_some(messages.RequestsLost(server_id, fingerprints, age_s))

    def _send_completed(self) -> None:
        completed, self._completed_fingerprints = self._completed_fingerprints, []
        self._send_to_some(messages.RequestsCompleted(tuple(completed), 0.0))

    def _send_to_some(self, message: object) -> None:
        """Send a message to replicas that pass it on, or that are asked together."""
        for connection in self._open_connections[:REPORT_REPLICAS_COUNT]:
            connection.offer(message)

    async def _follow(self, replica: wire.ReplicaAddress) -> None:
        retry_s = RETRY_MIN_S
        was_reachable = True
        while True:
            outcome = await self._connect(replica, messages.CONFIRMED_FEED)
            if _is_earlier_version(outcome):
                outcome = await self._connect(replica, "")
                confirms = False
            else:
                confirms = True
            connection = outcome.value_or(None)
            if connection is not None:
                logs.info("replica followed", logs.Fields(peer=replica.address))
                was_reachable, retry_s = True, RETRY_MIN_S
                if confirms:
                    self._confirming.add(connection)
                reason = await self._receive(replica, connection)
                logs.warning(
                    "replica lost", logs.Fields(peer=replica.address, reason=reason)
                )
            elif was_reachable:
                was_reachable = False
                reason = outcome.failure().reason.value
                fields = logs.Fields(peer=replica.address, reason=reason)
                logs.warning("replica not reached", fields)
            await asyncio.sleep(retry_s)
            longest_s = max(RETRY_MAX_S, self.view.routers_count * HANDSHAKE_S)
            retry_s = min(2 * retry_s, longest_s)

    async def _connect(self, replica: wire.ReplicaAddress, group: str) -> hub.Connected:
        return await hub.connect(
            self._identity,
            replica.host,
            replica.port,
            handshake.Purpose.FEED,
            None,
            CONNECT_TIMEOUT_S,
            group,
        )

    async def _receive(
        self, replica: wire.ReplicaAddress, connection: connections.Connection
    ) -> str:
        self._open_connections.append(connection)
        try:
            for message in self._make_greeting(connection):
                connection.offer(message)
            while True:
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                    received = await connection.receive()
                message = received.value_or(None)
                if message is None:
                    return received.failure().value
                try:
                    if isinstance(message, messages.RelayRouters):
                        self._callbacks.on_relays(replica.address, message)
                    else:
                        self._handle(connection, message)
                except Exception as error:
                    # One message must not end the following of a replica.
                    name = type(message).__name__
                    return f"{name} not handled: {error!r}"[:MAX_LOGGED_LENGTH]
        except TimeoutError:
            return "silent"
        finally:
            self._open_connections.remove(connection)
            self._confirming.discard(connection)
            self._announced.pop(connection, None)
            connection.abort()
            self._ask_for_table()

    def _make_greeting(self, connection: connections.Connection) -> list:
        """Return the messages to send to a replica first."""
        greeting = self._callbacks.greet()
        version = self.view.table_version
        if connection in self._confirming and version > store.NO_VERSION:
            return [messages.TableInForce(version), *greeting]
        return greeting

    def _handle(self, connection: connections.Connection, message: object) -> None:
        match message:
            case messages.Heartbeat():
                self._handle_heartbeat(connection, message)
            case messages.TableContent():
                self._handle_table(connection, message)
            case messages.ServerListUpdate():
                self._handle_server_list(message)
            case messages.TotalLoads():
                if message.routers_count:
                    self._later_replica = connection
                self._callbacks.on_loads(message)
            case messages.TotalSpeeds():
                self._callbacks.on_speeds(message)
            case messages.TotalWork():
                self._callbacks.on_work(message)
            case messages.StreamOrigins():
                self._callbacks.on_origins(message)
            case messages.ListedVersions():
                self._callbacks.on_listed_versions(message)
            case messages.CrashEvidence():
                self._callbacks.on_evidence(message)
            case messages.PartTrial():
                self._callbacks.on_trial(message)
            case messages.ServerLimits():
                self._callbacks.on_limits(message)
            case messages.SendGrants():
                self._callbacks.on_grants(message)
            case messages.RequestsLost():
                self._callbacks.on_lost(message)
            case messages.RequestsCompleted():
                self._callbacks.on_completed(message)

    def _handle_heartbeat(
        self, connection: connections.Connection, heartbeat: messages.Heartbeat
    ) -> None:
        view = self.view
        view.has_leader = heartbeat.has_leader
        view.routers_count = max(1, heartbeat.routers_count)
        if heartbeat.is_leader:
            view.leader_heard_at_s = clocks.boottime_s()
        view.announced_version = max(view.announced_version, heartbeat.table_version)
        self.follow(heartbeat.replicas)
        if heartbeat.replicas:
            view.replicas_count = len(heartbeat.replicas)
        if heartbeat.list_id:
            self._list_reader = connection
        if heartbeat.list_id and heartbeat.list_id == self._list_id:
            read_at_s = clocks.boottime_s() - max(0.0, heartbeat.list_age_s)
            if read_at_s > view.servers.read_at_s:
                view.servers = dataclasses.replace(view.servers, read_at_s=read_at_s)
        self._announced[connection] = heartbeat.table_version
        self._ask_for_table()

    def _handle_table(
        self, connection: connections.Connection, message: messages.TableContent
    ) -> None:
        if self._asked is not None and self._asked.connection is connection:
            self._asked = None
        if self._callbacks.may_fetch():
            self.apply_table(store.StoredTable(message.version, message.compressed))
        if self._announced.get(connection, store.NO_VERSION) > self.view.table_version:
            # The same response again would not help: wait for its next announcement.
            self._announced[connection] = self.view.table_version
        # Announcements that came meanwhile.
        self._ask_for_table()

    def _ask_for_table(self) -> None:
        """Ask a replica for a newer table that it has announced.

        One replica is asked at a time, and another one if it is lost or does not
        respond within `TABLE_REQUEST_TIMEOUT_S`.
        """
        announced = [
            connection
            for connection, version in self._announced.items()
            if version > self.view.table_version
        ]
        if not announced or not self._callbacks.may_fetch():
            return
        if self._asked is not None and self._asked.connection in announced:
            return
        self._asked = asked = TableAsked(announced[0])
        asked.connection.offer(messages.TableRequest())
        loop = asyncio.get_running_loop()
        loop.call_later(TABLE_REQUEST_TIMEOUT_S, self._give_up, asked)

    def _give_up(self, asked: TableAsked) -> None:
        """Ask another replica if one has not responded; the same after all others."""
        if self._asked is not asked:
            return
        self._asked = None
        connection = asked.connection
        if connection in self._announced:
            self._announced[connection] = self._announced.pop(connection)
        self._ask_for_table()

    def _handle_server_list(self, message: messages.ServerListUpdate) -> None:
        # A negative age would make the list newer than all later ones.
        read_at_s = clocks.boottime_s() - max(0.0, message.age_s)
        self.apply_list(listing.ServerList(message.servers, read_at_s))
        if self.view.servers.read_at_s == read_at_s:
            self._list_id = message.list_id

    def apply_list(self, server_list: listing.ServerList) -> None:
        """Apply a server list if it was read later than the current one."""
        current = self.view.servers
        if current is not None and server_list.read_at_s <= current.read_at_s:
            return
        self.view.servers = server_list
        self._list_id = 0
        self._callbacks.on_servers(server_list)


def _is_earlier_version(outcome: hub.Connected) -> bool:
    """Return whether a replica knows no confirmations of tables."""
    if not isinstance(outcome, result.Failure):
        return False
    return outcome.failure().refusal is handshake.RefusalReason.WRONG_GROUP


def make_subscriber(
    identity: handshake.Identity,
    replicas: tuple[wire.ReplicaAddress, ...],
    callbacks: Callbacks,
) -> Subscriber:
    """Create a subscriber that follows no replica until it runs.

    Parameters
    ----------
    identity : handshake.Identity
        Identity of this router.
    replicas : tuple of ReplicaAddress
        Initial replicas; the other members are learned from their heartbeats.
    callbacks : Callbacks
        Handlers for updates.
    """
    return Subscriber(identity, replicas, callbacks)
