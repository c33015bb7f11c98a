"""Room in the memory of a server, shared by all routers.

A server crashes if the requests that it holds exceed its memory, so what all routers
have sent must never add up to more.  A router knows its own requests exactly and the
others' as a sum that is a few tenths of a second old.  What the others have sent since
is bounded because every router keeps the same rule:

- where an equal part of the room that the sums leave is at least as large as nearly all
  requests, what a router has sent within the age of the sums, and that the others may
  not know yet, stays within this part;
- elsewhere, a router may send a request if it is among those whose turn it is at the
  server.  These are as many as may all send one without filling the room, and turns go
  around the routers with the time.

Without recent sums a router keeps all its requests at a server within its equal part of
the whole memory.  Times are of a steady clock.
"""

import dataclasses
import math

import xxhash

# For what servers add themselves, such as blocks that are filled in part.
MARGIN_SHARE = 0.08
# Loads are announced and summed every 0.1 s, and take a few milliseconds to arrive;
# a stall of the event loop of a router with half a core adds to that.
UNSEEN_S = 0.4
SUM_INTERVAL_S = 0.1
# Ten sums; after that the sender or the link counts as lost.
STALE_AFTER_S = 1.0
# At least as long as a request stays unseen, so that no more than two turns overlap.
TURN_S = 0.5
# Turns of a server pass on by this part of the routers at a time, so that those of two
# turns, which overlap while requests are unseen, are hardly more than those of one.
STEP_SHARE = 1 / 32
# Standard deviations by which the requests of all holders may exceed their mean.
DEVIATIONS_COUNT = 3.0
# Nearly all requests are smaller than the mean and this many standard deviations.
LARGE_DEVIATIONS_COUNT = 2.0
# Weight of the newest request in the sizes that are expected of others.
SIZE_LEARNING_RATE = 0.05
# A server may hold the requests of a router that was killed for as long.
DEPARTED_S = 4.0
# Length of turns without recent sums; longer than the requests of a turn run.
STALE_TURN_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """What a router knows of the tokens that a server holds.

    Attributes
    ----------
    capacity_tokens_count : int
        Tokens that fit into the server's memory.
    own_tokens_count : int
        Those of this router's requests there.
    unseen_tokens_count : int
        Those of its requests that were sent after :func:`unseen_from_s`.
    others_tokens_count : int
        Those of the other routers' requests, as of the last sums.
    others_age_s : float
        Age of the sums.
    """

    capacity_tokens_count: int
    own_tokens_count: int
    unseen_tokens_count: int
    others_tokens_count: int
    others_age_s: float


def unseen_from_s(now_s: float, summed_at_s: float) -> float:
    """Return since when the others may not know a router's requests.

    Where sums are late, the others have not heard of newer requests either.

    Examples
    --------
    >>> round(unseen_from_s(10.0, 9.95), 3), round(unseen_from_s(10.0, 9.2), 3)
    (9.6, 8.9)
    """
    return min(now_s, summed_at_s + SUM_INTERVAL_S) - UNSEEN_S


def request_tokens_count(input_tokens_count: int, max_output_tokens_count: int) -> int:
    """Return the tokens that a request takes in a server's memory.

    Examples
    --------
    >>> request_tokens_count(17_020, 119)
    17139
    """
    return input_tokens_count + max_output_tokens_count


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """Mean of the tokens that requests take, and of their square."""

    mean: float = 0.0
    mean_square: float = 0.0


def learn_sizes(sizes: Sizes, tokens_count: int) -> Sizes:
    """Return the sizes after another request.

    Examples
    --------
    >>> learn_sizes(learn_sizes(Sizes(), 100), 100)
    Sizes(mean=100.0, mean_square=10000.0)
    """
    if not sizes.mean:
        return Sizes(float(tokens_count), float(tokens_count) ** 2)
    rate = SIZE_LEARNING_RATE
    return Sizes(
        sizes.mean + rate * (tokens_count - sizes.mean),
        sizes.mean_square + rate * (tokens_count**2 - sizes.mean_square),
    )


def large_tokens_count(sizes: Sizes, tokens_count: int) -> float:
    """Return how many tokens nearly all requests take at most, with this one.

    Examples
    --------
    >>> large_tokens_count(Sizes(100.0, 10_400.0), 120)
    140.0
    >>> large_tokens_count(Sizes(100.0, 10_400.0), 200)
    200
    """
    variance = max(0.0, sizes.mean_square - sizes.mean**2)
    return max(tokens_count, sizes.mean + LARGE_DEVIATIONS_COUNT * math.sqrt(variance))


def fitting_count(sizes: Sizes, free_tokens_count: int) -> int:
    """Return how many requests of unknown sizes fit in all likelihood, at least 1.

    Examples
    --------
    >>> fitting_count(Sizes(100.0, 10_000.0), 1_050)
    10
    >>> fitting_count(Sizes(9_000.0, 123e6), 534_000)
    44
    >>> fitting_count(Sizes(9_000.0, 123e6), 35_000), fitting_count(Sizes(), 35_000)
    (1, 1)
    """
    if not sizes.mean:
        return 1
    variance = max(0.0, sizes.mean_square - sizes.mean**2)
    spread = DEVIATIONS_COUNT * math.sqrt(variance)
    # Positive root of: mean * root ** 2 + spread * root = free.
    root = (math.sqrt(spread**2 + 4.0 * sizes.mean * free_tokens_count) - spread) / (
        2.0 * sizes.mean
    )
    return max(1, int(root**2))


@dataclasses.dataclass(frozen=True, slots=True)
class Turns:
    """What decides which routers may send to a server that has little room.

    Attributes
    ----------
    routers_count : int
        Routers that share the servers.
    position : int or None
        Position of this router among them; None if it is not known.
    router_name : str
        Name of this router, which takes the place of an unknown position.
    now_s : float
        The time of day, which all routers share closely enough.
    sizes : Sizes
        Tokens of requests to the service.
    """

    routers_count: int
    position: int | None
    router_name: str
    now_s: float
    sizes: Sizes


def has_room(
    known: Known,
    tokens_count: int,
    turns: Turns,
    server_id: str,
) -> bool:
    """Return whether a router may send a request to a server now.

    Parameters
    ----------
    known : Known
        What is known of the server.
    tokens_count : int
        Tokens that the request takes there.
    turns : Turns
        The routers' turns.
    server_id : str
        Name of the server, whose turns begin with another router than at others.

    Examples
    --------
    One router of four has a quarter of what is left for its unseen requests:

    >>> known = Known(100_000, 0, 0, 55_000, 0.1)
    >>> turns = Turns(4, 0, "r", 0.0, Sizes(4e3, 16e6))
    >>> [has_room(known, count, turns, "s") for count in (9_000, 40_001)]
    [True, False]

    With many routers, no more may send than there is room for:

    >>> def count_holders(turn):
    ...     now_s = turn * TURN_S
    ...     every = [Turns(88, place, "r", now_s, turns.sizes) for place in range(88)]
    ...     return sum(has_room(known, 4_000, own, "s") for own in every)
    >>> [count_holders(turn) for turn in range(3)]
    [7, 7, 7]

    Without recent sums, only the equal part of the whole is used:

    >>> known = Known(100_000, 0, 0, 0, 3.0)
    >>> [has_room(known, count, turns, "s") for count in (23_000, 96_000)]
    [True, False]
    """
    usable = int((1.0 - MARGIN_SHARE) * known.capacity_tokens_count)
    if known.others_age_s >= STALE_AFTER_S:
        return _has_part_of_whole(known, usable, tokens_count, turns, server_id)
    free = max(0, usable - known.own_tokens_count - known.others_tokens_count)
    if tokens_count > free:
        return False
    # Requests that the others can't know yet are part of what is left for all.
    part = (free + known.unseen_tokens_count) / max(1, turns.routers_count)
    unseen = known.unseen_tokens_count + tokens_count
    if part >= large_tokens_count(turns.sizes, tokens_count):
        return unseen <= part
    if known.unseen_tokens_count:
        count = fitting_count(turns.sizes, free + known.unseen_tokens_count)
        # One request each where holders are many, since their number counts on that.
        allowed = turns.sizes.mean
        if count <= _step(turns):
            allowed = (free + known.unseen_tokens_count) / count
        if unseen > allowed:
            return False
    return _has_turn(free, turns, server_id, TURN_S)


def _step(turns: Turns) -> int:
    """Return by how many routers turns pass on at a time."""
    return max(1, int(STEP_SHARE * turns.routers_count))


def _has_part_of_whole(
    known: Known, usable: int, tokens_count: int, turns: Turns, server_id: str
) -> bool:
    """Return whether a request fits into a router's part of the whole memory.

    If the part is smaller than a request, routers take turns that are longer than the
    requests of the turn before run.
    """
    part = usable / max(1, turns.routers_count)
    if part >= large_tokens_count(turns.sizes, tokens_count):
        return known.own_tokens_count + tokens_count <= part
    if known.own_tokens_count or tokens_count > usable:
        return False
    return _has_turn(usable, turns, server_id, STALE_TURN_S)


def _has_turn(free: int, turns: Turns, server_id: str, turn_s: float) -> bool:
    """Return whether a router is among the holders of a server's current turn."""
    turn = int(turns.now_s / turn_s)
    count = fitting_count(turns.sizes, free)
    step = _step(turns)
    # Holders of a turn and the one before are no more than fit.
    holders_count = count - step if count > step else count * (turn % 2)
    first = xxhash.xxh64_intdigest(server_id.encode()) + turn * step
    place = turns.position
    if place is None:
        place = xxhash.xxh64_intdigest(turns.router_name.encode())
    return (place - first) % max(1, turns.routers_count) < holders_count
