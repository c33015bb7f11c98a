"""Which listed servers may be reclaimed (spot servers).

The list may state the kind.  Otherwise servers that were listed before the first order
are ordinary, and a new one is a spot server while its zone has fewer than were ordered.
If servers of both kinds boot at once, that may be wrong; the numbers of both kinds are
therefore kept in line with the orders, which are certain.
"""

import dataclasses

from hickoryweir.discovery import listing
from hickoryweir.forwarding_policy import order_state

# A list may lack a server for a while, and a server may restart under another id.
RETENTION_S = 60.0
# A server that was returned may be listed as ready for so long.
LIST_LAG_S = 2.5


@dataclasses.dataclass(slots=True)
class KnownServer:
    """Kind of a server that has been listed.

    Attributes
    ----------
    listed_at_s : float
        When it was last listed.
    is_inferred : bool
        Whether the list does not state the kind.
    """

    is_spot: bool
    listed_at_s: float
    is_inferred: bool


@dataclasses.dataclass(slots=True)
class Kinds:
    """Kinds of the listed servers, by id and by address.

    Attributes
    ----------
    ordered : dict
        Numbers ordered lately with the time, by zone and kind.
    """

    by_id: dict[str, KnownServer] = dataclasses.field(default_factory=dict)
    by_address: dict[str, KnownServer] = dataclasses.field(default_factory=dict)
    ordered: dict[tuple[str, bool], list[tuple[float, int]]] = dataclasses.field(
        default_factory=dict
    )


def count_servers(
    kinds: Kinds,
    servers: tuple[listing.BackendServer, ...],
    subjects: tuple[order_state.Subject, ...],
    now_s: float,
) -> tuple[order_state.ZoneServers, ...]:
    """Return the servers of one service by zone and kind, and record new ones.

    Parameters
    ----------
    kinds : Kinds
        What is known of the service's servers; updated.
    servers : tuple of listing.BackendServer
        Listed servers of the service.
    subjects : tuple of order_state.Subject
        Numbers ordered so far; empty before the first decision.
    now_s : float
        Time of the list.
    """
    _identify(kinds, servers, subjects, now_s)
    _record_ordered(kinds, subjects, now_s)
    for zone in {subject.availability_zone for subject in subjects}:
        _reconcile(kinds, servers, zone)
    counts: dict[tuple[str, bool], list[int]] = {}
    for server in servers:
        key = (server.availability_zone, kinds.by_id[server.server_id].is_spot)
        found = counts.setdefault(key, [0, 0])
        found[0 if _is_staying(server) else 1] += 1
    return tuple(
        order_state.ZoneServers(zone, is_spot, *found)
        for (zone, is_spot), found in sorted(counts.items())
    )


def _is_staying(server: listing.BackendServer) -> bool:
    return server.state is listing.ServerState.READY and server.leaves_ms is None


def _identify(
    kinds: Kinds,
    servers: tuple[listing.BackendServer, ...],
    subjects: tuple[order_state.Subject, ...],
    now_s: float,
) -> None:
    """Record each server's kind, inferred from the ordered numbers if not known."""
    ordered = {
        item.availability_zone: item.ordered_count for item in subjects if item.is_spot
    }
    spot_counts: dict[str, int] = {}
    unknown = []
    for server in servers:
        zone = server.availability_zone
        is_spot = _known_kind(kinds, server)
        if is_spot is None:
            unknown.append(server)
            continue
        _record(kinds, server, is_spot, now_s)
        if is_spot and _is_staying(server):
            spot_counts[zone] = spot_counts.get(zone, 0) + 1
    # The ordinary servers are the oldest, since new ones are mostly spot servers.
    unknown.sort(key=lambda server: server.started_at_ms, reverse=True)
    for server in unknown:
        zone = server.availability_zone
        is_spot = spot_counts.get(zone, 0) < ordered.get(zone, 0)
        if is_spot and _is_staying(server):
            spot_counts[zone] = spot_counts.get(zone, 0) + 1
        _record(kinds, server, is_spot, now_s)
    _drop_expired(kinds, now_s)


def _drop_expired(kinds: Kinds, now_s: float) -> None:
    for known in (kinds.by_id, kinds.by_address):
        for name in [
            name
            for name, item in known.items()
            if now_s - item.listed_at_s > RETENTION_S
        ]:
            del known[name]


def _record_ordered(
    kinds: Kinds, subjects: tuple[order_state.Subject, ...], now_s: float
) -> None:
    for subject in subjects:
        key = (subject.availability_zone, subject.is_spot)
        earlier = kinds.ordered.get(key, [])
        recent = [item for item in earlier if now_s - item[0] <= LIST_LAG_S]
        kinds.ordered[key] = [*recent, (now_s, subject.ordered_count)]


def _reconcile(
    kinds: Kinds, servers: tuple[listing.BackendServer, ...], zone: str
) -> None:
    """Change the kind of inferred servers of which a zone has more than ordered."""
    for is_spot in (False, True):
        ready = [
            server
            for server in servers
            if server.availability_zone == zone and _is_staying(server)
        ]
        counts = {True: 0, False: 0}
        for server in ready:
            counts[kinds.by_id[server.server_id].is_spot] += 1
        numbers = [count for _, count in kinds.ordered.get((zone, is_spot), ())]
        others = [count for _, count in kinds.ordered.get((zone, not is_spot), ())]
        excess_count = min(
            counts[is_spot] - max(numbers, default=0),
            (others[-1] if others else 0) - counts[not is_spot],
        )
        candidates = [
            server
            for server in ready
            if kinds.by_id[server.server_id].is_spot == is_spot
            and kinds.by_id[server.server_id].is_inferred
        ]
        # The newest ordinary servers, or the oldest spot servers.
        candidates.sort(key=lambda server: server.started_at_ms, reverse=not is_spot)
        for server in candidates[: max(0, excess_count)]:
            known = kinds.by_id[server.server_id]
            _record(kinds, server, not is_spot, known.listed_at_s)


def _known_kind(kinds: Kinds, server: listing.BackendServer) -> bool | None:
    if server.is_spot is not None:
        return server.is_spot
    found = kinds.by_id.get(server.server_id) or kinds.by_address.get(server.address)
    return None if found is None else found.is_spot


def _record(
    kinds: Kinds, server: listing.BackendServer, is_spot: bool, now_s: float
) -> None:
    known = KnownServer(is_spot, now_s, server.is_spot is None)
    kinds.by_id[server.server_id] = known
    kinds.by_address[server.address] = known
