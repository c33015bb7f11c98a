"""A router's view of the backend servers: list, own requests and others' load.

A router's own requests are known exactly; the list and the other routers' loads lag.
"""

import dataclasses
import math
import time
from collections.abc import Iterable

from hickoryweir import clocks
from hickoryweir.discovery import listing
from hickoryweir.feeds import messages
from hickoryweir.forwarding import header_codec, server_memory
from hickoryweir.forwarding_policy import (
    doubling,
    grey_servers,
    listed_entries,
    rejection_limits,
    router_shares,
    server_limits,
    server_notices,
    server_speed,
    unreachable_servers,
)

# A restart takes seconds; half a second is enough after a mere connection reset.
SUSPECT_MIN_S = 0.5
SUSPECT_MAX_S = 4.0
# Ten reporting intervals; after that the sender or the link counts as lost.
OTHERS_STALE_AFTER_S = 1.0
# Shared parts are thousands of tokens long, so an engine caches fewer than this.
MAX_PARTS_COUNT = 512
# A new router knows the parts in use within this time; engines cache them longer.
ANNOUNCE_PARTS_INTERVAL_S = 5.0

# Sooner, refused requests would only meet the same overload.
ROOM_RETRY_AFTER_S = 0.5

# Servers whose notices are kept, more than any list has.
MAX_NOTICES_COUNT = 20_000
MAX_INCARNATIONS_COUNT = 4
# Longer than the lag of a list, so that a stale one does not undo an announcement.
NOTICES_RETENTION_S = 600.0
UNKNOWN_START_MS = 0

# Decaying counts are sent in tenths, so that they are integers on the wire.
TENTHS = 10
NO_LOAD = messages.ServerLoad("", 0, 0)


@dataclasses.dataclass(slots=True)
class InFlightRequest:
    """A request of this router that is in progress at a server.

    Attributes
    ----------
    uncached_tokens_count : int
        Tokens of its prompt that the server must prefill.
    sent_at_s : float
        When it was sent, on :func:`clocks.boottime_s`.
    expected_wait_s : float
        Time until the first event, as expected when it was sent; 0 if unknown.
    event_at_s : float or None
        When its last event arrived, on :func:`clocks.boottime_s`; None if its client
        did not read that one at once.
    memory_tokens_count : int
        Tokens that it takes in the server's memory.
    """

    uncached_tokens_count: int
    started_s: float
    has_first_event: bool = False
    sent_at_s: float = dataclasses.field(default_factory=lambda: clocks.boottime_s())
    expected_wait_s: float = 0.0
    event_at_s: float | None = None
    memory_tokens_count: int = 0


@dataclasses.dataclass(slots=True)
class ServerView:
    """A backend server and its state as known to this router.

    Attributes
    ----------
    in_flight : dict
        Own requests there, by attempt number.
    suspect_until_s : float
        Until when the server is avoided after failures.
    lost_at_s : float
        When a response of it was last lost, on :func:`clocks.boottime_s`.
    is_unreachable : bool
        Whether the server is avoided until a probe reaches it.
    must_respond : bool
        Whether an unreachable server is so until it responds; otherwise an accepted
        connection is enough.
    probes_count : int
        Failed probes since it became unreachable.
    next_probe_s : float
        When the next probe is due.
    verified_at_s : float
        When it last accepted a probe, on :func:`clocks.boottime_s`.
    asked_at_s : float
        When it was last asked to respond to a probe, likewise.
    slot_asked_at_s : float
        When it was last asked for a slot by a health check, on :func:`time.monotonic`.
    served_check_at_s : float
        When it was asked for the last one that it passed, likewise.
    parts : dict
        Time of the last use of prompt parts sent there, by part id, least recent first.
    parts_announced_s : dict
        When a shared part was last announced, by this or another router, by part id.
    unannounced_parts : dict
        Ids of shared parts still to be announced to the other routers.
    is_misdirected : bool
        Whether another incarnation of the server responded.
    notices : server_notices.Notices
        What the server has said of itself.
    grants : server_limits.Grants
        Rights to send requests to it while it names a limit.
    room : rejection_limits.Room
        What its rejections show of its room.
    limit_reported_at_s : float
        Observation of its limit that the replicas were told last.
    others_requests_count, others_backlog_tokens_count : int
        Requests of the other routers there, and their prompt tokens still to prefill,
        as of `others_updated_s`.
    announced_load : messages.ServerLoad
        This router's load there as it was last announced.
    outcomes, others_outcomes : grey_servers.ResponseCounts
        Responses and failures of the last seconds, of this router and the others.
    speed, others_speed : server_speed.Speed
        What this router knows of its slowness, and the others.
    sent_speed : server_speed.Speed
        What this router has last reported to the others.
    announced_at_s : float
        When a response last announced its slowness, on :func:`clocks.boottime_s`.
    usable_since_s : float
        When it was first listed, or reached again, on :func:`clocks.boottime_s`.
    announced_requests_count : int
        Requests that ran and waited there according to that response.
    memory : server_memory.Memory
        What all routers' requests take of its memory.
    """

    listed: listing.BackendServer
    in_flight: dict[int, InFlightRequest] = dataclasses.field(default_factory=dict)
    failures_count: int = 0
    suspect_until_s: float = 0.0
    lost_at_s: float = float("-inf")
    is_unreachable: bool = False
    must_respond: bool = False
    probes_count: int = 0
    next_probe_s: float = 0.0
    verified_at_s: float = float("-inf")
    asked_at_s: float = float("-inf")
    slot_asked_at_s: float = float("-inf")
    served_check_at_s: float = float("-inf")
    parts: dict[str, float] = dataclasses.field(default_factory=dict)
    parts_announced_s: dict[str, float] = dataclasses.field(default_factory=dict)
    unannounced_parts: dict[str, None] = dataclasses.field(default_factory=dict)
    is_misdirected: bool = False
    notices: server_notices.Notices = server_notices.NO_NOTICES
    grants: server_limits.Grants = dataclasses.field(
        default_factory=server_limits.Grants
    )
    room: rejection_limits.Room = dataclasses.field(
        default_factory=rejection_limits.Room
    )
    limit_reported_at_s: float = float("-inf")
    others_requests_count: int = 0
    others_backlog_tokens_count: int = 0
    others_updated_s: float = float("-inf")
    announced_load: messages.ServerLoad = NO_LOAD
    outcomes: grey_servers.ResponseCounts = grey_servers.ResponseCounts()
    others_outcomes: grey_servers.ResponseCounts = grey_servers.ResponseCounts()
    speed: server_speed.Speed = server_speed.NO_SPEED
    others_speed: server_speed.Speed = server_speed.NO_SPEED
    sent_speed: server_speed.Speed = server_speed.NO_SPEED
    announced_at_s: float = float("-inf")
    announced_requests_count: int = 0
    usable_since_s: float = dataclasses.field(
        default_factory=lambda: clocks.boottime_s()
    )
    memory: server_memory.Memory = dataclasses.field(
        default_factory=server_memory.Memory
    )


@dataclasses.dataclass(slots=True)
class Pool:
    """All servers in the list, by id.

    Attributes
    ----------
    notices : dict
        What servers have said, by id and address and then by start time; kept when a
        server is missing from a list, since an older list may follow.
    missing_since_s : dict
        Since when lists lack a server that has said something, by id and address.
    departed : dict
        Servers with requests in flight that the list lacks, by id.
    heard_at_s : float
        When any server last sent a byte, on :func:`clocks.boottime_s`.
    reached_at_s : float
        When any server last sent a byte or accepted a probe, likewise.
    silent_failures : list
        Connections that were accepted and brought no byte.
    failed_at_s : float
        When a connection to a server last failed, on :func:`clocks.boottime_s`.
    is_isolated : bool
        Whether no server could be reached when that was last checked.
    max_rejections : dict
        How many rejections servers bear, by service; services without are left out.
    memory_tokens_counts : dict
        Tokens that fit into an engine's memory, by service.
    own_host : str
        Host of this router.
    routers_count : int
        Routers that share the servers.
    position, summed_count : int
        Position of this router among those whose loads are summed, and their number; 0
        before the first sum.
    traffic : router_shares.Traffic
        Open requests of this router and of all of them.
    found : listing.ServerList or None
        The list as it was read, with the entries that are not in force.
    services : listed_entries.NamedServices
        Services that tables name.
    """

    servers: dict[str, ServerView] = dataclasses.field(default_factory=dict)
    by_service: dict[str, list[ServerView]] = dataclasses.field(default_factory=dict)
    by_address: dict[str, ServerView] = dataclasses.field(default_factory=dict)
    connect_failures: list[unreachable_servers.Failure] = dataclasses.field(
        default_factory=list
    )
    notices: dict[tuple[str, str], dict[int, server_notices.Notices]] = (
        dataclasses.field(default_factory=dict)
    )
    missing_since_s: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    departed: dict[str, ServerView] = dataclasses.field(default_factory=dict)
    heard_at_s: float = float("-inf")
    reached_at_s: float = float("-inf")
    silent_failures: list[unreachable_servers.Failure] = dataclasses.field(
        default_factory=list
    )
    failed_at_s: float = float("-inf")
    is_isolated: bool = False
    max_rejections: dict[str, rejection_limits.RejectionLimit] = dataclasses.field(
        default_factory=dict
    )
    memory_tokens_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    own_host: str = ""
    routers_count: int = 1
    position: int = 0
    summed_count: int = 0
    traffic: router_shares.Traffic = router_shares.NO_TRAFFIC
    found: listing.ServerList | None = None
    services: listed_entries.NamedServices = listed_entries.NO_TABLE


def update_services(pool: Pool, names: Iterable[str]) -> None:
    """Use the entries of the services that a new table names."""
    services = listed_entries.record_table(pool.services, names, clocks.boottime_s())
    is_changed = services != pool.services
    pool.services = services
    if is_changed and pool.found is not None:
        _select_servers(pool, pool.found)


def update_servers(pool: Pool, found: listing.ServerList) -> None:
    """Replace the list; keep the state of servers that stay and did not restart."""
    pool.found = found
    _forget_notices(pool, found)
    _select_servers(pool, found)


def _select_servers(pool: Pool, found: listing.ServerList) -> None:
    """Replace the servers by those of the entries that are in force."""
    is_first_list = not pool.servers
    servers = {}
    known_entries = {
        server_id: view.listed
        for server_id, view in (pool.departed | pool.servers).items()
    }
    selected = listed_entries.select(found.servers, pool.services, known_entries)
    for listed in selected:
        known = pool.servers.get(listed.server_id) or pool.departed.get(
            listed.server_id
        )
        is_same = (
            known is not None
            and known.listed.address == listed.address
            and known.listed.started_at_ms == listed.started_at_ms
        )
        _identify_notices(pool, listed)
        view = known if is_same else ServerView(listed)
        view.notices = notices_of(pool, listed)
        view.listed = listed
        if is_first_list:
            # New to this router only, which has just started.
            view.usable_since_s = float("-inf")
        servers[listed.server_id] = view
    pool.departed = {
        server_id: view
        for server_id, view in (pool.departed | pool.servers).items()
        if server_id not in servers and view.in_flight
    }
    pool.servers = servers
    pool.by_service = {}
    for view in servers.values():
        pool.by_service.setdefault(view.listed.service_name, []).append(view)
    pool.by_address = {view.listed.address: view for view in servers.values()}


def _forget_notices(pool: Pool, found: listing.ServerList) -> None:
    """Forget what servers have said that lists have lacked for long."""
    now_s = clocks.boottime_s()
    listed_keys = {(listed.server_id, listed.address) for listed in found.servers}
    for key in list(pool.notices):
        since_s = pool.missing_since_s.get(key, now_s)
        if now_s - since_s > NOTICES_RETENTION_S:
            del pool.notices[key]
        elif key not in listed_keys:
            pool.missing_since_s.setdefault(key, now_s)
        if key in listed_keys or key not in pool.notices:
            pool.missing_since_s.pop(key, None)


def notices_of(pool: Pool, listed: listing.BackendServer) -> server_notices.Notices:
    """Return what an incarnation of a server has said.

    Where the list gives no start time, or one before the newest that has said anything,
    that newest one is meant, since the list is older than its notices.
    """
    by_start = pool.notices.get((listed.server_id, listed.address), {})
    start_ms = _meant_start_ms(by_start, listed)
    return by_start.get(start_ms, server_notices.NO_NOTICES)


def _meant_start_ms(
    by_start: dict[int, server_notices.Notices], listed: listing.BackendServer
) -> int:
    return max(listed.started_at_ms, max(by_start, default=UNKNOWN_START_MS))


def _identify_notices(pool: Pool, listed: listing.BackendServer) -> None:
    """Assign notices of an incarnation of unknown start to the first known start."""
    by_start = pool.notices.get((listed.server_id, listed.address), {})
    if UNKNOWN_START_MS in by_start and listed.started_at_ms != UNKNOWN_START_MS:
        by_start[listed.started_at_ms] = by_start.pop(UNKNOWN_START_MS)


def record_notices(
    pool: Pool, view: ServerView, notices: server_notices.Notices
) -> None:
    """Store what a server has said, for this and later lists."""
    view.notices = notices
    listed = view.listed
    key = (listed.server_id, listed.address)
    by_start = pool.notices.pop(key, {})
    if listed.started_at_ms == UNKNOWN_START_MS:
        by_start[_meant_start_ms(by_start, listed)] = notices
    else:
        by_start[listed.started_at_ms] = notices
    while len(by_start) > MAX_INCARNATIONS_COUNT:
        del by_start[min(by_start)]
    pool.notices[key] = by_start
    while len(pool.notices) > MAX_NOTICES_COUNT:
        del pool.notices[next(iter(pool.notices))]
    current = pool.servers.get(listed.server_id)
    if current is not None and current is not view:
        # A newer list has replaced the view that the request was sent with.
        _identify_notices(pool, current.listed)
        current.notices = notices_of(pool, current.listed)


def available_servers(pool: Pool, service_name: str) -> list[ServerView]:
    """Return the servers of a service that accept new requests."""
    now_s = clocks.boottime_s()
    return [
        view
        for view in pool.by_service.get(service_name, ())
        if is_usable(view)
        and (view.notices is server_notices.NO_NOTICES or _accepts(view, now_s))
        and (service_name not in pool.max_rejections or _has_room(pool, view, now_s))
    ]


def _has_room(pool: Pool, view: ServerView, now_s: float) -> bool:
    """Return whether a server that bears few rejections has room for a request."""
    if now_s < view.room.blocked_until_s:
        return False
    own_count = len(view.in_flight)
    slots_count = rejection_limits.current_slots_count(
        view.room, view.listed.slots_count or pool.routers_count, now_s
    )
    others_count = requests_count(view, time.monotonic()) - own_count
    key = f"{pool.own_host} {view.listed.server_id}"
    if not rejection_limits.has_room(
        slots_count, pool.routers_count, own_count, others_count, key
    ):
        return False
    capacity = pool.memory_tokens_counts.get(view.listed.service_name, 0)
    own_tokens_count = sum(
        request.uncached_tokens_count for request in view.in_flight.values()
    )
    return rejection_limits.has_memory(capacity, pool.routers_count, own_tokens_count)


def _accepts(view: ServerView, now_s: float) -> bool:
    """Return whether what a server has said allows another request now."""
    if not server_notices.accepts(view.notices, _unanswered_count(view), now_s):
        return False
    if not server_notices.is_limited(view.notices):
        return True
    return server_limits.has_grant(view.grants, now_s)


def _unanswered_count(view: ServerView) -> int:
    """Return the requests sent since a server's pause that it has not answered."""
    return sum(
        not request.has_first_event and request.sent_at_s >= view.notices.paused_until_s
        for request in view.in_flight.values()
    )


def is_usable(view: ServerView) -> bool:
    """Return whether the list and the server's last response allow its use."""
    is_ready = view.listed.state is listing.ServerState.READY
    return is_ready and not view.is_misdirected


def available_after_s(pool: Pool, service_name: str) -> float | None:
    """Return when a service without available servers may have one again.

    Returns
    -------
    float or None
        Seconds until the first pause of its servers ends; None if none has asked for
        one.
    """
    now_s = clocks.boottime_s()
    usable = [view for view in pool.by_service.get(service_name, ()) if is_usable(view)]
    waits_s = [
        server_notices.accepts_after_s(view.notices, now_s)
        for view in usable
        if not server_notices.is_limited(view.notices)
    ]
    limits_per_s = [
        view.notices.limit_per_s
        for view in usable
        if server_notices.is_limited(view.notices)
        and view.notices.leaving_since_s is None
    ]
    if limits_per_s:
        least_s = server_notices.RETURN_RETRY_AFTER_S
        waits_s.append(server_limits.retry_after_s(limits_per_s, least_s))
    if service_name in pool.max_rejections:
        waits_s = [max(wait_s, ROOM_RETRY_AFTER_S) for wait_s in waits_s]
    shortest_s = min(waits_s, default=math.inf)
    return None if math.isinf(shortest_s) else shortest_s


def limited_servers(pool: Pool) -> list[ServerView]:
    """Return the listed servers that name a limit."""
    return [
        view
        for view in pool.servers.values()
        if server_notices.is_limited(view.notices)
    ]


def record_failure(view: ServerView, now_s: float) -> None:
    """Avoid a server for a while, with exponential backoff on consecutive failures."""
    view.failures_count += 1
    view.suspect_until_s = now_s + doubling.pause_s(
        SUSPECT_MIN_S, SUSPECT_MAX_S, view.failures_count - 1
    )


def record_success(view: ServerView) -> None:
    """Reset the backoff of earlier failures."""
    view.failures_count = 0
    view.suspect_until_s = 0.0
    view.is_unreachable = view.must_respond = False


def requests_count(view: ServerView, now_s: float) -> int:
    """Return the known number of requests of all routers at a server."""
    others_count = view.others_requests_count if _has_recent_loads(view, now_s) else 0
    return len(view.in_flight) + others_count


def backlog_tokens_count(view: ServerView, now_s: float) -> int:
    """Return the prompt tokens of all routers that a server still has to prefill."""
    others_count = (
        view.others_backlog_tokens_count if _has_recent_loads(view, now_s) else 0
    )
    return own_backlog_tokens_count(view) + others_count


def own_backlog_tokens_count(view: ServerView) -> int:
    """Return the prompt tokens of this router's requests without a first event."""
    return sum(
        request.uncached_tokens_count
        for request in view.in_flight.values()
        if not request.has_first_event
    )


def _has_recent_loads(view: ServerView, now_s: float) -> bool:
    return now_s - view.others_updated_s < OTHERS_STALE_AFTER_S


def cached_tokens_count(
    view: ServerView, parts: tuple[header_codec.PromptPart, ...]
) -> int:
    """Return the tokens of the leading parts that any router sent to the server."""
    found = 0
    for part in parts:
        if part.part_id not in view.parts:
            break
        found += part.tokens_count
    return found


def record_parts(
    view: ServerView, parts: tuple[header_codec.PromptPart, ...], now_s: float
) -> None:
    """Record the parts of a prompt sent to a server, and mark shared ones as due."""
    _store_parts(view, [part.part_id for part in parts], now_s)
    # The last part belongs to this request alone.
    for part in parts[:-1]:
        announced_s = view.parts_announced_s.get(part.part_id, float("-inf"))
        if now_s - announced_s >= ANNOUNCE_PARTS_INTERVAL_S:
            view.unannounced_parts[part.part_id] = None


def _store_parts(view: ServerView, part_ids: Iterable[str], now_s: float) -> None:
    for part_id in part_ids:
        view.parts.pop(part_id, None)
        view.parts[part_id] = now_s
    while len(view.parts) > MAX_PARTS_COUNT:
        dropped = next(iter(view.parts))
        del view.parts[dropped]
        view.parts_announced_s.pop(dropped, None)
        view.unannounced_parts.pop(dropped, None)


def unannounced_parts(pool: Pool) -> tuple[messages.ServerParts, ...]:
    """Return the shared parts still to be announced to the other routers."""
    return tuple(
        messages.ServerParts(server_id, tuple(view.unannounced_parts))
        for server_id, view in pool.servers.items()
        if view.unannounced_parts
    )


def record_parts_announced(pool: Pool, now_s: float) -> None:
    """Record that all shared parts were announced to the other routers."""
    for view in pool.servers.values():
        view.parts_announced_s.update(dict.fromkeys(view.unannounced_parts, now_s))
        view.unannounced_parts.clear()


def add_announced_parts(
    pool: Pool, announced: tuple[messages.ServerParts, ...], now_s: float
) -> None:
    """Store the parts that other routers announced as sent to servers."""
    for server_parts in announced:
        view = pool.servers.get(server_parts.server_id)
        if view is not None:
            _store_parts(view, server_parts.part_ids, now_s)
            view.parts_announced_s.update(dict.fromkeys(server_parts.part_ids, now_s))


def own_loads(pool: Pool, now_s: float) -> tuple[messages.ServerLoad, ...]:
    """Return this router's load of each server, without servers that have none."""
    return tuple(
        load
        for server_id, view in pool.servers.items()
        if (load := _own_load(server_id, view, now_s)).requests_count
        or load.responses_count >= TENTHS
    )


def _own_load(server_id: str, view: ServerView, now_s: float) -> messages.ServerLoad:
    outcomes = grey_servers.decay(view.outcomes, now_s)
    return messages.ServerLoad(
        server_id,
        len(view.in_flight),
        own_backlog_tokens_count(view),
        round(TENTHS * outcomes.responses),
        round(TENTHS * outcomes.failures),
        own_memory_tokens_count(view),
    )


def own_memory_tokens_count(view: ServerView) -> int:
    """Return the tokens that this router's requests take in a server's memory."""
    return sum(request.memory_tokens_count for request in view.in_flight.values())


def record_loads_announced(pool: Pool, loads: tuple[messages.ServerLoad, ...]) -> None:
    """Record the announced loads, to subtract them from the sum of all routers."""
    announced = {load.server_id: load for load in loads}
    now_s = time.monotonic()
    for server_id, view in pool.servers.items():
        view.announced_load = announced.get(server_id, NO_LOAD)
        server_memory.record_announced(
            view.memory, view.announced_load.memory_tokens_count, now_s
        )


def update_loads(
    pool: Pool, loads: tuple[messages.ServerLoad, ...], now_s: float
) -> None:
    """Store the sum of all routers' loads, less this router's announced load."""
    summed = {load.server_id: load for load in loads}
    for server_id, view in pool.servers.items():
        load, announced = summed.get(server_id, NO_LOAD), view.announced_load
        view.others_requests_count = max(
            0, load.requests_count - announced.requests_count
        )
        view.others_backlog_tokens_count = max(
            0, load.backlog_tokens_count - announced.backlog_tokens_count
        )
        view.others_outcomes = grey_servers.ResponseCounts(
            max(0, load.responses_count - announced.responses_count) / TENTHS,
            max(0, load.failures_count - announced.failures_count) / TENTHS,
            now_s,
        )
        view.others_updated_s = now_s


def update_memory(pool: Pool, total: messages.TotalLoads, now_s: float) -> None:
    """Store what the other routers' requests take of servers' memory.

    The position of this router and its share of the traffic follow from the same sums.
    Sums that lack the load of a router, and those of earlier versions, are ignored.
    """
    if not total.routers_count or total.reported_count < total.routers_count:
        return
    pool.position, pool.summed_count = total.position, total.routers_count
    own_count = sum(
        view.announced_load.requests_count for view in pool.servers.values()
    )
    total_count = sum(load.requests_count for load in total.loads)
    pool.traffic = router_shares.record(pool.traffic, own_count, total_count, now_s)
    summed = {load.server_id: load.memory_tokens_count for load in total.loads}
    for server_id, view in pool.servers.items():
        server_memory.record_sum(view.memory, summed.get(server_id, 0), now_s)


def record_response(view: ServerView, failed: bool, now_s: float) -> None:
    """Record a response, or a failure to respond, of a server."""
    view.outcomes = grey_servers.record_response(view.outcomes, failed, now_s)


def record_failed_response(view: ServerView, now_s: float) -> None:
    """Record a lost request or truncated response, and avoid the server."""
    view.lost_at_s = clocks.boottime_s()
    record_failure(view, now_s)
    record_response(view, True, now_s)


def find_outliers(views: list[ServerView], now_s: float) -> frozenset[str]:
    """Return the ids of servers with a clearly higher failure rate than the others."""
    counts_by_server = {}
    for view in views:
        own = grey_servers.decay(view.outcomes, now_s)
        others = grey_servers.decay(view.others_outcomes, now_s)
        counts_by_server[view.listed.server_id] = grey_servers.ResponseCounts(
            own.responses + others.responses, own.failures + others.failures, now_s
        )
    return grey_servers.ejected_servers(counts_by_server)
