"""Which router relays a request for one that reaches no backend server itself.

Answers a network partition between a router and all servers of a service, while clients
and the other routers still reach both.  A relay in the same availability zone is
preferred, since bytes between zones cost, unless it has clearly more to do than others.
Knowledge of relays is refreshed while it is needed, and too old to use soon after; a
relay that is stopped, frozen or cut off as well drops out by that alone.
"""

import bisect
import dataclasses

import xxhash

# Three refreshes; a relay that answered none of them is frozen or lost.
FRESH_S = 1.5
# A relay in the own zone may have this many more open requests than one elsewhere.
SAME_ZONE_ADVANTAGE_COUNT = 8
# Enough to reach some while all routers of a zone are cut off.
RELAYS_COUNT = 12
OTHER_ZONES_COUNT = 8
# Leaves most of a router's memory and connections to its own clients.
MAX_RELAYED_COUNT = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Router:
    """A router as the replicas know it."""

    host: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """What is known of a router that may relay a request.

    Attributes
    ----------
    services : frozenset of str
        Services of which it reaches a server.
    open_count : int
        Requests that it relays, and those sent to it since it said so.
    heard_at_s : float
        When it said so, on any clock.
    """

    router: Router
    services: frozenset[str]
    open_count: int
    heard_at_s: float


def choose(
    candidates: list[Candidate], service_name: str, own_zone: str, now_s: float
) -> Candidate | None:
    """Return the router to relay a request to a service; None if there is none.

    Examples
    --------
    >>> def make(host, zone, open_count=0, heard_at_s=0.0):
    ...     return Candidate(
    ...         Router(host, zone), frozenset({"app"}), open_count, heard_at_s
    ...     )
    >>> known = [make("1", "a", 8), make("2", "b", 0), make("3", "b", 2)]
    >>> choose(known, "app", "a", 1.0).router.host
    '1'
    >>> choose(known, "app", "b", 1.0).router.host
    '2'
    >>> choose([make("1", "a", 9), known[1]], "app", "a", 1.0).router.host
    '2'
    >>> choose(known, "app", "a", 2.0), choose(known, "llm", "a", 1.0)
    (None, None)
    """

    def cost(candidate: Candidate) -> tuple[int, str]:
        is_near = candidate.router.availability_zone == own_zone
        distance_count = 0 if is_near else SAME_ZONE_ADVANTAGE_COUNT
        return candidate.open_count + distance_count, candidate.router.host

    usable = [
        candidate
        for candidate in candidates
        if service_name in candidate.services
        and candidate.open_count < MAX_RELAYED_COUNT
        and now_s - candidate.heard_at_s < FRESH_S
    ]
    return min(usable, key=cost, default=None)


def assign(routers: list[Router]) -> dict[Router, tuple[Router, ...]]:
    """Return which other routers each may use as relays.

    Each gets the next ones in a ring of hashes, so that every router is known to about
    as many others, and a change concerns few of them.

    Examples
    --------
    >>> routers = [Router("1", "a"), Router("2", "a"), Router("3", "b")]
    >>> sorted(router.host for router in assign(routers)[routers[1]])
    ['1', '3']
    >>> many = [Router(f"{number:03}", "abc"[number % 3]) for number in range(300)]
    >>> {len(found) for found in assign(many).values()}
    {12}
    >>> fewer = assign(many[1:])
    >>> sum(fewer[router] != assign(many)[router] for router in many[1:]) <= 30
    True
    """
    by_zone: dict[str, list[Router]] = {}
    for router in sorted(routers, key=_ring_key):
        by_zone.setdefault(router.availability_zone, []).append(router)
    assigned = {}
    for zone, own in by_zone.items():
        others = [
            router
            for name, members in sorted(by_zone.items())
            if name != zone
            for router in members
        ]
        others.sort(key=_ring_key)
        for position, router in enumerate(own):
            far_count = min(OTHER_ZONES_COUNT, len(others))
            near_count = min(RELAYS_COUNT - far_count, len(own) - 1)
            near = _following(own, position + 1, near_count)
            start = bisect.bisect(others, _ring_key(router), key=_ring_key)
            far = _following(others, start, far_count)
            assigned[router] = near + far
    return assigned


def _ring_key(router: Router) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(router.host.encode()), router.host


def _following(ring: list[Router], start: int, count: int) -> tuple[Router, ...]:
    return tuple(ring[(start + offset) % len(ring)] for offset in range(count))
