"""Room at backend servers that fail when they must reject many requests.

Answers an overload of servers that bear only a few rejections a second, of all routers
together, so that one rejected request of each router is already too many.  Each router
keeps its requests at such a server within an equal share of the slots, which needs no
message and no room to wait.  Where there are more routers than slots, a hash decides
who has a share, and the others send one request while the server is known to be half
free.  A rejection shows less room than thought: the share shrinks, and grows again
slowly.

Times are on a clock that includes time suspended.
"""

import dataclasses
import math

import xxhash

# A limit is named in all responses; without one in this time it has ended.
ENDED_AFTER_S = 1.0
# A server that rejects gets nothing from this router for as long.
BLOCKED_S = 1.0
SHRINK_FACTOR = 0.7
# Slots by which the room grows in each second without a rejection.
GROWTH_PER_S = 0.5
# The rest holds parts that other requests use, and what running ones generate.
PROMPT_MEMORY_SHARE = 0.7
# Loads of other routers are a few tenths of a second old.
HALF_FREE_SHARE = 0.5
HASH_RANGE = 1 << 64


@dataclasses.dataclass(slots=True)
class RejectionLimit:
    """How many rejections a second the servers of a service bear."""

    max_per_s: float
    named_at_s: float


def has_ended(limit: RejectionLimit, sent_at_s: float) -> bool:
    """Return whether a response without a limit ends it.

    Examples
    --------
    >>> limit = RejectionLimit(1.0, 10.0)
    >>> has_ended(limit, 10.5), has_ended(limit, 11.0)
    (False, True)
    """
    return sent_at_s - limit.named_at_s >= ENDED_AFTER_S


@dataclasses.dataclass(slots=True)
class Room:
    """What this router has learned of the room at one server.

    Attributes
    ----------
    slots_count : float
        Requests of all routers that the server takes; infinite until it rejects one.
    updated_s : float
        When that was estimated.
    blocked_until_s : float
        Until when it gets no request of this router.
    """

    slots_count: float = math.inf
    updated_s: float = 0.0
    blocked_until_s: float = float("-inf")


def record_rejection(room: Room, requests_count: int, now_s: float) -> None:
    """Record that a server with `requests_count` known requests has rejected one.

    Examples
    --------
    >>> room = Room()
    >>> record_rejection(room, 10, 5.0)
    >>> room.slots_count, current_slots_count(room, 64, 9.0), room.blocked_until_s
    (7.0, 9.0, 6.0)
    """
    known = min(current_slots_count(room, math.inf, now_s), float(requests_count))
    room.slots_count = max(1.0, SHRINK_FACTOR * known)
    room.updated_s = now_s
    room.blocked_until_s = now_s + BLOCKED_S


def current_slots_count(room: Room, slots_count: float, now_s: float) -> float:
    """Return the requests that a server with so many slots takes now."""
    if math.isinf(room.slots_count):
        return slots_count
    grown = room.slots_count + GROWTH_PER_S * (now_s - room.updated_s)
    return min(slots_count, grown)


def has_room(
    slots_count: float,
    routers_count: int,
    own_count: int,
    others_count: int,
    holder_key: str,
) -> bool:
    """Return whether a router may send another request to a server.

    Parameters
    ----------
    slots_count : float
        Requests of all routers that the server takes.
    routers_count : int
        Routers that share them.
    own_count, others_count : int
        Requests there of this router, and of the others as far as it knows.
    holder_key : str
        Names the router and the server.

    Examples
    --------
    >>> [has_room(13, 6, own_count, 11, "r s") for own_count in (0, 1, 2)]
    [True, True, False]
    >>> sum(has_room(6, 60, 0, 4, f"{number} s") for number in range(60)) <= 9
    True
    >>> has_room(6, 60, 0, 1, "r s"), has_room(6, 60, 1, 1, "r s")
    (True, False)
    """
    share = slots_count / max(1, routers_count)
    if share >= 1.0:
        return own_count < int(share)
    if own_count:
        return False
    if others_count < HALF_FREE_SHARE * slots_count:
        return True
    return xxhash.xxh64_intdigest(holder_key.encode()) < share * HASH_RANGE


def has_memory(
    capacity_tokens_count: int, routers_count: int, own_tokens_count: int
) -> bool:
    """Return whether a router's share of an engine's memory takes another prompt.

    Examples
    --------
    >>> has_memory(360_000, 6, 41_000), has_memory(360_000, 6, 43_000)
    (True, False)
    >>> has_memory(0, 6, 43_000), has_memory(10, 6, 0)
    (True, True)
    """
    if not capacity_tokens_count or not own_tokens_count:
        return True
    share = PROMPT_MEMORY_SHARE * capacity_tokens_count / max(1, routers_count)
    return own_tokens_count < share


@dataclasses.dataclass(slots=True)
class Waiting:
    """Requests that wait at this router for room at a service, with their urgencies."""

    urgencies: dict[int, int] = dataclasses.field(default_factory=dict)
    last_number: int = 0


# Bounds the memory for waiting requests.
MAX_WAITING_COUNT = 64
# As long as a request may wait in a server's own queue without being late.
MAX_WAIT_SHARE = 0.25


def begin_wait(waiting: Waiting, urgency: int) -> int | None:
    """Add a request; return its number, None if too many wait."""
    if len(waiting.urgencies) >= MAX_WAITING_COUNT:
        return None
    waiting.last_number += 1
    waiting.urgencies[waiting.last_number] = urgency
    return waiting.last_number


def is_next(waiting: Waiting, number: int) -> bool:
    """Return whether a request is the first of the most urgent ones.

    Examples
    --------
    >>> waiting = Waiting()
    >>> numbers = [begin_wait(waiting, urgency) for urgency in (3, 0, 0)]
    >>> [is_next(waiting, number) for number in numbers]
    [False, True, False]
    """
    first = min(waiting.urgencies.items(), key=lambda item: (item[1], item[0]))
    return first[0] == number


def has_more_urgent(waiting: Waiting, urgency: int) -> bool:
    """Return whether a request that is as urgent or more waits already."""
    return any(other <= urgency for other in waiting.urgencies.values())
