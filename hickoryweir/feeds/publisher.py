"""The replicas' side of the feeds: heartbeats, tables and the server list."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

import aiohttp
from returns import result

from hickoryweir import background, clocks
from hickoryweir.discovery import list_reader, listing, version_log
from hickoryweir.feeds import (
    account_work,
    confirmations,
    demand,
    evidence,
    limits,
    losses,
    messages,
    speeds,
    versions,
)
from hickoryweir.forwarding_policy import (
    crash_counts,
    crashing_parts,
    relays,
    server_room,
    stream_versions,
)
from hickoryweir.observability import logs
from hickoryweir.replicas import wire
from hickoryweir.routes import store
from hickoryweir.streams import connections, handshake, hub

# Routers time out a replica after four intervals without a heartbeat.
HEARTBEAT_INTERVAL_S = 0.5
# Upper bound of the delay before a new table version is announced to routers.
STATUS_POLL_INTERVAL_S = 0.03
# Three reads fit into 3 s, the shortest notice of a server that leaves.
LIST_READ_INTERVAL_S = 0.8
DEFAULT_READS_PER_S = 10.0
# A tenth of the duration of a request; halving it would double the traffic.
LOADS_INTERVAL_S = 0.1
# Samples of speeds decay with a time constant of 0.5 s.
SPEEDS_INTERVAL_S = 0.2
# Routers stop sending speeds when their servers no longer announce any.
SPEEDS_RETENTION_S = 10.0
# Half of the time after which routers treat the sums as stale and use only a small
# part of servers' memory.
LOADS_REFRESH_INTERVAL_S = 0.5
# Grants of a server with ten requests a second are issued one at a time.
GRANTS_INTERVAL_S = 0.1
# A third of the time constant of the counts.
WORK_INTERVAL_S = 0.2
TRIALS_INTERVAL_S = 0.5
RELAYS_INTERVAL_S = 0.5
# Random ids from a range this large do not collide between successive leaders.
LIST_IDS_COUNT = 1 << 48
MAX_LOGGED_LENGTH = 200
# Sums over 1 << 23 routers fit into a message.
MAX_LOAD_COUNT = 1 << 40


@dataclasses.dataclass(frozen=True, slots=True)
class LogStatus:
    """Snapshot of a replica's view of the replicated log."""

    stored: store.StoredTable
    is_leader: bool
    has_leader: bool
    replicas: tuple[wire.ReplicaAddress, ...]


class Publisher:
    """Sends the feeds to the routers; created by :func:`make_publisher`.

    Attributes
    ----------
    source : listing.Source
        Source of the server list.
    list_reader : list_reader.ListReader
        State of the reads of the list, which keep to its rate.
    suspect_parts : crashing_parts.CrashingParts
        What the routers report of parts of prompts that crash servers.
    crashes : crash_counts.CrashCounts
        What the routers report of lost requests.
    on_evidence : callable
        Called after either has changed.
    demand : demand.DemandKeeper
        What the routers report of their requests by service.
    confirmations : confirmations.Confirmations
        Which table each router has in force.
    skipped_entries : listing.SkippedEntries
        Counts unusable entries of the server list.
    version_recorder : version_log.Recorder or None
        Records the versions of each list before the routers get it.
    """

    def __init__(
        self,
        get_log_status: Callable[[], LogStatus],
        session: aiohttp.ClientSession,
        source: listing.Source,
        reads_per_s: float,
    ) -> None:
        self._get_log_status = get_log_status
        self._session = session
        self.source = source
        self.list_reader = list_reader.make_reader(reads_per_s)
        self._subscribers: dict[connections.Connection, str] = {}
        self._servers: listing.ServerList | None = None
        self._list_id = 0
        self._loads: dict[connections.Connection, tuple[messages.ServerLoad, ...]] = {}
        self._loads_changed = False
        self._speeds: dict[
            connections.Connection, tuple[messages.RouterSpeeds, float]
        ] = {}
        # Routers that read the messages and fields of this version.
        self._later_versions: set[connections.Connection] = set()
        self._departed_loads: list[tuple[float, tuple[messages.ServerLoad, ...]]] = []
        self._parts: dict[str, dict[str, None]] = {}
        self._versions = stream_versions.StreamVersions()
        self._limits = limits.LimitKeeper()
        self._work = account_work.WorkKeeper()
        self.suspect_parts = crashing_parts.CrashingParts()
        self.crashes = crash_counts.CrashCounts()
        self.demand = demand.DemandKeeper()
        self.confirmations = confirmations.make_confirmations()
        self.skipped_entries = listing.SkippedEntries()
        self.on_evidence: Callable[[], None] = lambda: None
        self.version_recorder: version_log.Recorder | None = None
        self.registrations: list[hub.Registration] = []
        self._evidence_sender = evidence.Sender(
            self.suspect_parts, self._send_to_subscribers
        )

    def close(self) -> None:
        """End all connections, so that routers turn to other replicas at once."""
        for registration in self.registrations:
            registration.close()

    async def serve_confirmed(self, connection: connections.Connection) -> None:
        """Serve one router that confirms tables until it disconnects."""
        self.confirmations.add(connection)
        try:
            await self.serve(connection)
        finally:
            self.confirmations.remove(connection)

    async def serve(self, connection: connections.Connection) -> None:
        """Serve one router until it disconnects."""
        self._end_silent_feeds(connection.peer.process_name)
        self._subscribers[connection] = connection.peer.process_name
        # Before the list, with which a router starts to serve.
        self._send_versions(connection)
        self._send_evidence(connection)
        self._send_servers([connection])
        connection.offer(self._make_heartbeat(self._get_log_status()))
        try:
            while True:
                message = (await connection.receive()).value_or(None)
                if not self._handle(connection, message):
                    return
        finally:
            del self._subscribers[connection]
            self._speeds.pop(connection, None)
            self._later_versions.discard(connection)
            self._keep_departed(self._loads.pop(connection, ()))
            self._loads_changed = True
            self._work.remove(connection)

    def _end_silent_feeds(self, process_name: str) -> None:
        """End former feeds of a router that has opened another."""
        for connection, name in list(self._subscribers.items()):
            if name == process_name and connection.silent_s:
                connection.abort()

    def _handle(self, connection: connections.Connection, message: object) -> bool:
        """Handle a message of a router; return whether routers may send such ones."""
        match message:
            case messages.TableRequest():
                stored = self._get_log_status().stored
                connection.offer(
                    messages.TableContent(stored.version, stored.compressed)
                )
            case messages.TableInForce():
                self.confirmations.confirm(connection, message.version)
            case messages.RequestsLost() | messages.RequestsCompleted():
                if self.add_losses([message]):
                    self._relay(message, connection)
            case messages.CrashEvidence():
                self.add_evidence([message])
            case messages.ServerLimits():
                self._limits.add(message)
            case messages.RouterWork():
                self._work.add(connection, message, clocks.boottime_s())
            case messages.StreamOrigins():
                self._add_origins(message)
            case messages.OriginsRequest():
                self._send_origins(connection, message.keys)
            case messages.ListedVersions():
                versions.add_listed_versions(self._versions, message)
            case messages.ServiceDemand():
                self.demand.add(message, clocks.boottime_s())
            case messages.RouterLoads():
                self._add_loads(connection, message.loads)
                merge_parts(self._parts, message.parts)
            case messages.RouterSpeeds():
                self._speeds[connection] = message, clocks.boottime_s()
            case _:
                return False
        return True

    def _add_loads(
        self,
        connection: connections.Connection,
        loads: tuple[messages.ServerLoad, ...],
    ) -> None:
        if messages.VERSION_MARK in loads:
            self._later_versions.add(connection)
        kept = tuple(load for load in loads if is_plausible(load))
        if len(kept) < len(loads):
            absurd = next(load for load in loads if not is_plausible(load))
            name = connection.peer.process_name
            fields = logs.Fields(peer=name, detail=repr(absurd)[:MAX_LOGGED_LENGTH])
            logs.warning("absurd loads ignored", fields)
        self._loads[connection] = tuple(
            load for load in kept if load != messages.VERSION_MARK
        )
        self._loads_changed = True

    def _add_origins(self, message: messages.StreamOrigins) -> None:
        origin = versions.make_origin(message, versions.ORIGINS_RETENTION_S)
        for key in message.keys:
            stream_versions.record_origin(self._versions, key, origin)

    def _send_origins(
        self, connection: connections.Connection, keys: tuple[int, ...]
    ) -> None:
        known = self._versions.origins
        found = [(key, known[key]) for key in keys if key in known]
        for message in versions.make_stream_origins(found):
            connection.offer(message)

    def _send_versions(self, connection: connections.Connection) -> None:
        """Send a new subscriber the versions in use if a service has several."""
        listed = versions.make_listed_versions(
            self._versions, versions.ORIGINS_RETENTION_S
        )
        if listed.versions:
            connection.offer(listed)

    def _send_evidence(self, connection: connections.Connection) -> None:
        """Send a new subscriber the parts and requests that others have reported."""
        state = self.suspect_parts
        keys = evidence.shared_keys(state)
        now_s = clocks.boottime_s()
        for message in evidence.make_messages(state, keys, now_s):
            connection.offer(message)
        for message in losses.make_messages(self.crashes, now_s):
            connection.offer(message)

    def restore(
        self, saved: list[messages.CrashEvidence | messages.RequestsLost]
    ) -> None:
        """Add what was known before a restart."""
        self.add_evidence(
            [item for item in saved if isinstance(item, messages.CrashEvidence)]
        )
        self.add_losses(
            [item for item in saved if isinstance(item, messages.RequestsLost)]
        )

    def add_losses(
        self, found: list[messages.RequestsLost | messages.RequestsCompleted]
    ) -> bool:
        """Record lost and completed requests; return whether any of it is news."""
        now_s = clocks.boottime_s()
        is_news = False
        for message in found:
            if isinstance(message, messages.RequestsCompleted):
                is_news |= losses.record_completed(self.crashes, message, now_s)
            elif losses.record_lost(self.crashes, message, now_s):
                is_news = True
                if losses.are_worth_saving(self.crashes, message):
                    self.on_evidence()
        return is_news

    def add_evidence(self, found: list[messages.CrashEvidence]) -> None:
        """Merge evidence, and tell the routers what concerns several crashes."""
        state, now_s = self.suspect_parts, clocks.boottime_s()
        changed = [
            key for message in found for key in evidence.merge(state, message, now_s)
        ]
        shared = [
            key
            for key in changed
            if key in state.evidence
            and crashing_parts.is_shared_evidence(state.evidence[key])
        ]
        if not shared:
            return
        self._evidence_sender.add(shared)
        crashing_parts.remove_expired(state, now_s)
        change = crashing_parts.update_blocked(state)
        for key in change.blocked:
            logs.info(
                "prompt part blocked", logs.Fields(detail=f"{key[1]} at {key[0]}")
            )
        self.on_evidence()

    def release_part(self, key: crashing_parts.PartKey) -> bool:
        """Release a blocked part at all routers; return whether it was blocked."""
        state = self.suspect_parts
        if not crashing_parts.release(state, key, clocks.boottime_s()):
            return False
        crashing_parts.update_blocked(state)
        detail = f"{key[1]} at {key[0]}"
        logs.warning(
            "prompt part released", logs.Fields(reason="operator", detail=detail)
        )
        self._evidence_sender.add([key])
        self.on_evidence()
        return True

    @property
    def servers(self) -> listing.ServerList | None:
        """Return the list of servers while this replica is the leader."""
        return self._servers

    def zone_loads(self) -> list[tuple[str, tuple[messages.ServerLoad, ...]]]:
        """Return the zone and the load of each connected router."""
        return [
            (connection.peer.availability_zone, self._loads.get(connection, ()))
            for connection in self._subscribers
        ]

    def _send_to_subscribers(self, message: object) -> None:
        for connection in list(self._subscribers):
            connection.offer(message)

    def _relay(
        self,
        message: messages.RequestsLost | messages.RequestsCompleted,
        sender: connections.Connection,
    ) -> None:
        for connection in list(self._subscribers):
            if connection is not sender:
                connection.offer(message)

    async def run(self) -> None:
        """Send heartbeats and, while this replica is leader, read the server list.

        Runs until cancelled.
        """
        loops = (
            self._read_list_while_leader,
            self._send_loads,
            self._send_speeds,
            self._send_limits,
            self._send_work,
            self._send_trials,
            self._send_relays,
        )
        tasks = [
            asyncio.create_task(background.keep_running(loop.__name__, loop))
            for loop in loops
        ]
        try:
            await background.keep_running("_send_heartbeats", self._send_heartbeats)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _keep_departed(self, loads: tuple[messages.ServerLoad, ...]) -> None:
        """Keep for a while the tokens that a router has left in servers' memory."""
        held = tuple(
            messages.ServerLoad(load.server_id, 0, 0, 0, 0, load.memory_tokens_count)
            for load in loads
            if load.memory_tokens_count
        )
        if held:
            until_s = clocks.boottime_s() + server_room.DEPARTED_S
            self._departed_loads.append((until_s, held))

    async def _send_loads(self) -> None:
        loop, sent_s = asyncio.get_running_loop(), float("-inf")
        while True:
            await asyncio.sleep(LOADS_INTERVAL_S)
            is_due = loop.time() - sent_s >= LOADS_REFRESH_INTERVAL_S
            if (self._loads_changed or is_due) and self._servers is not None:
                sent_s = loop.time()
                self._send_total_loads()

    def _send_total_loads(self) -> None:
        """Send the summed loads to all routers."""
        self._loads_changed = False
        now_s = clocks.boottime_s()
        kept = [item for item in self._departed_loads if item[0] > now_s]
        if len(kept) < len(self._departed_loads):
            self._loads_changed = True
        self._departed_loads = kept
        names = sorted(set(self._subscribers.values()))
        reported = {
            self._subscribers[router]
            for router in self._later_versions
            if router in self._loads
        }
        sums = sum_loads([*self._loads.values(), *(loads for _, loads in kept)])
        parts = make_server_parts(self._parts)
        message = messages.TotalLoads(sums, parts, len(names), len(reported))
        self._parts.clear()
        plain = connections.make_frame(
            messages.TotalLoads(messages.without_memory(sums), parts)
        )
        positions = {name: position for position, name in enumerate(names)}
        for connection, name in list(self._subscribers.items()):
            if connection in self._later_versions:
                connection.offer(dataclasses.replace(message, position=positions[name]))
            else:
                connection.offer_frame(plain)

    async def _send_speeds(self) -> None:
        """Send the sums of servers' speeds to the routers that send theirs.

        Routers of an older version can't read them, and send none.
        """
        while True:
            await asyncio.sleep(SPEEDS_INTERVAL_S)
            if not self._speeds or self._servers is None:
                continue
            now_s = clocks.boottime_s()
            self._speeds = {
                connection: report
                for connection, report in self._speeds.items()
                if now_s - report[1] < SPEEDS_RETENTION_S
            }
            message = speeds.sum_speeds(list(self._speeds.values()), now_s)
            for connection in list(self._speeds):
                connection.offer(message)

    async def _send_limits(self) -> None:
        """Tell the routers servers' limits and, while leader, issue grants."""
        while True:
            await asyncio.sleep(GRANTS_INTERVAL_S)
            message = self._limits.due_message()
            if message is not None:
                self._send_to_subscribers(message)
            if not self._get_log_status().is_leader:
                self._limits.stop_issuing()
                continue
            receivers = list(self._subscribers)
            weights = [self._weight(connection) for connection in receivers]
            for position, grants in self._limits.issue(weights).items():
                receivers[position].offer(grants)

    async def _send_work(self) -> None:
        """While leader, tell the routers the work of accounts where room is short."""
        while True:
            await asyncio.sleep(WORK_INTERVAL_S)
            if not self._get_log_status().is_leader:
                continue
            message = self._work.total(clocks.boottime_s())
            if message is None:
                continue
            # Encoded once: a sum over 350 accounts has 15 kB, for 1,400 routers.
            frame = connections.make_frame(message)
            for connection in list(self._later_versions):
                connection.offer_frame(frame)

    async def _send_trials(self) -> None:
        """While leader, let routers try a request with a part that is blocked."""
        while True:
            await asyncio.sleep(TRIALS_INTERVAL_S)
            receivers = list(self._subscribers)
            if not receivers or not self._get_log_status().is_leader:
                continue
            due = crashing_parts.due_trials(self.suspect_parts, clocks.boottime_s())
            weights = [self._weight(connection) for connection in receivers]
            for key in due:
                (receiver,) = random.choices(receivers, weights)
                receiver.offer(messages.PartTrial(*key))
                detail = f"{key[1]} at {key[0]}"
                fields = logs.Fields(peer=receiver.peer.process_name, detail=detail)
                logs.info("trial of a blocked prompt part", fields)
            if due:
                self._evidence_sender.add(due)
                self.on_evidence()

    async def _send_relays(self) -> None:
        """Tell each router the others that may relay its requests, on changes."""
        sent: dict[connections.Connection, messages.RelayRouters] = {}
        known: set[connections.Connection] = set()
        while True:
            await asyncio.sleep(RELAYS_INTERVAL_S)
            current = set(self._subscribers)
            if current == known:
                continue
            known = current
            found = make_relay_routers(list(known))
            for connection, message in found.items():
                if sent.get(connection) != message:
                    connection.offer(message)
            sent = found

    def _weight(self, connection: connections.Connection) -> float:
        """Return a router's load; one without load may get its first request."""
        loads = self._loads.get(connection, ())
        return 1.0 + sum(load.requests_count for load in loads)

    async def _send_heartbeats(self) -> None:
        loop = asyncio.get_running_loop()
        sent, sent_s = (store.NO_VERSION, False), 0.0
        while True:
            log_status = self._get_log_status()
            current = (log_status.stored.version, log_status.has_leader)
            is_due = loop.time() - sent_s >= HEARTBEAT_INTERVAL_S
            if is_due or current != sent:
                sent, sent_s = current, loop.time()
                heartbeat = self._make_heartbeat(log_status)
                for connection in list(self._subscribers):
                    connection.offer(heartbeat)
            await asyncio.sleep(STATUS_POLL_INTERVAL_S)

    def _make_heartbeat(self, log_status: LogStatus) -> messages.Heartbeat:
        age_s = 0.0
        if self._servers is not None:
            age_s = clocks.boottime_s() - self._servers.read_at_s
        return messages.Heartbeat(
            log_status.stored.version,
            log_status.has_leader,
            len(set(self._subscribers.values())),
            self._list_id if self._servers is not None else 0,
            age_s,
            log_status.replicas,
            log_status.is_leader,
        )

    async def _read_list_while_leader(self) -> None:
        was_leader = False
        while True:
            is_leader = self._get_log_status().is_leader
            if is_leader != was_leader:
                state = "begins" if is_leader else "ends"
                logs.info("reading the list of servers", logs.Fields(reason=state))
                was_leader = is_leader
                if self.version_recorder is not None:
                    self.version_recorder.begin_term()
                # Loads of an earlier term would count as those of all routers.
                self._loads.clear()
            if not is_leader:
                self._servers = None
                await asyncio.sleep(STATUS_POLL_INTERVAL_S)
                continue
            await self._read_list()
            pause_s = list_reader.next_pause_s(self.list_reader, LIST_READ_INTERVAL_S)
            await asyncio.sleep(pause_s)

    async def _read_list(self) -> None:
        outcome = await list_reader.read(
            self.list_reader, self._session, self.source, self._servers
        )
        if isinstance(outcome, result.Failure):
            logs.warning(
                "reading the list of servers failed",
                logs.Fields(reason=outcome.failure()),
            )
            return
        server_list = outcome.unwrap()
        self.skipped_entries.record(server_list)
        if self.version_recorder is not None:
            await self.version_recorder.record_new(server_list)
        previous = self._servers
        self._servers = server_list
        stream_versions.record_listed(
            self._versions, listing.versions_of(server_list), server_list.read_at_s
        )
        if previous is None or previous.servers != server_list.servers:
            self._list_id = random.randrange(1, LIST_IDS_COUNT)
            self._send_servers(list(self._subscribers))
        if self.version_recorder is not None:
            await self.version_recorder.refresh(server_list)

    def _send_servers(self, receivers: list[connections.Connection]) -> None:
        if self._servers is None:
            return
        age_s = clocks.boottime_s() - self._servers.read_at_s
        servers = tuple(listing.without_plans(item) for item in self._servers.servers)
        message = messages.ServerListUpdate(self._list_id, age_s, servers)
        for connection in receivers:
            connection.offer(message)


def is_plausible(load: messages.ServerLoad) -> bool:
    """Return whether sums of such loads fit into a message.

    Examples
    --------
    >>> is_plausible(messages.ServerLoad("a", 1, 100))
    True
    >>> is_plausible(messages.ServerLoad("a", 1 << 63, 100))
    False
    """
    _, *counts = dataclasses.astuple(load)
    return all(0 <= count <= MAX_LOAD_COUNT for count in counts)


def sum_loads(
    reports: list[tuple[messages.ServerLoad, ...]],
) -> tuple[messages.ServerLoad, ...]:
    """Return the sum of several routers' loads for each server.

    Examples
    --------
    >>> first = (messages.ServerLoad("a", 1, 100),)
    >>> second = (messages.ServerLoad("a", 2, 0), messages.ServerLoad("b", 1, 5))
    >>> [tuple(dataclasses.astuple(load)) for load in sum_loads([first, second])]
    [('a', 3, 100, 0, 0, 0), ('b', 1, 5, 0, 0, 0)]
    """
    sums: dict[str, list[int]] = {}
    for report in reports:
        for load in report:
            totals = sums.setdefault(load.server_id, [0, 0, 0, 0, 0])
            totals[0] += load.requests_count
            totals[1] += load.backlog_tokens_count
            totals[2] += load.responses_count
            totals[3] += load.failures_count
            totals[4] += load.memory_tokens_count
    return tuple(messages.ServerLoad(name, *counts) for name, counts in sums.items())


def make_relay_routers(
    subscribers: list[connections.Connection],
) -> dict[connections.Connection, messages.RelayRouters]:
    """Return the routers that each subscriber may use as relays."""
    routers = {
        connection: relays.Router(
            connection.peer.process_name, connection.peer.availability_zone
        )
        for connection in subscribers
    }
    assigned = relays.assign(list(set(routers.values())))
    return {
        connection: messages.RelayRouters(
            tuple(
                messages.RelayRouter(other.host, other.availability_zone)
                for other in assigned[router]
            )
        )
        for connection, router in routers.items()
    }


def merge_parts(
    known: dict[str, dict[str, None]], updates: tuple[messages.ServerParts, ...]
) -> None:
    """Add the parts that one router sent to `known`, without duplicates."""
    for item in updates:
        known_ids = known.setdefault(item.server_id, {})
        known_ids.update(dict.fromkeys(item.part_ids))


def make_server_parts(
    known: dict[str, dict[str, None]],
) -> tuple[messages.ServerParts, ...]:
    """Convert the collected parts to messages.

    Examples
    --------
    >>> known = {}
    >>> merge_parts(known, (messages.ServerParts("a", ("1", "2")),))
    >>> merge_parts(known, (messages.ServerParts("a", ("2", "3")),))
    >>> [dataclasses.astuple(item) for item in make_server_parts(known)]
    [('a', ('1', '2', '3'))]
    """
    return tuple(messages.ServerParts(name, tuple(ids)) for name, ids in known.items())


def make_publisher(
    peer_hub: hub.Hub,
    get_log_status: Callable[[], LogStatus],
    session: aiohttp.ClientSession,
    source: listing.Source,
    reads_per_s: float = DEFAULT_READS_PER_S,
) -> Publisher:
    """Create a publisher and register its handlers with the hub.

    Parameters
    ----------
    peer_hub : hub.Hub
        Accepts peer connections for this process.
    get_log_status : callable
        Returns the replica's current view of the replicated log.
    session : aiohttp.ClientSession
        Session for reading the server list.
    source : listing.Source
        Source of the server list.
    reads_per_s : float, optional
        The most pages of the list that may be read in any second.
    """
    publisher = Publisher(get_log_status, session, source, reads_per_s)
    feed = handshake.Purpose.FEED
    # Routers of earlier versions follow a feed without confirmations.
    publisher.registrations = [
        peer_hub.register(feed, publisher.serve),
        peer_hub.register(feed, publisher.serve_confirmed, messages.CONFIRMED_FEED),
    ]
    return publisher
