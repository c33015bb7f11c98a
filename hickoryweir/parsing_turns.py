"""Work for client bytes that take much time and bring little or no content.

Such bytes of all connections share one part of the event loop's time, so that they take
none from other clients; the connections are not read meanwhile.
"""

import asyncio
import collections
import dataclasses
import time
from collections.abc import Callable

INTERVAL_S = 0.01
# Of the event loop's time; the rest is left to other requests.
MAX_SHARE = 0.4
MAX_PAUSE_S = 0.05
# What a read brings is parsed in the next iteration, and handled in the one after it.
ITERATIONS_COUNT = 2


@dataclasses.dataclass(slots=True)
class ParsingTurns:
    """Connections that wait for their turn; shared by those of one server.

    Attributes
    ----------
    interval_s : float
        Least time between turns.
    waiting : collections.deque of callable
        Functions that parse one part; each returns whether more is left.
    """

    interval_s: float = INTERVAL_S
    waiting: collections.deque[Callable[[], bool]] = dataclasses.field(
        default_factory=collections.deque
    )
    _is_scheduled: bool = False


def pause_s(took_s: float, interval_s: float) -> float:
    """Return the time from the end of a turn to the next one.

    This answers bodies that come faster than a small or busy VM can handle beside
    other requests: the longer a turn takes there, the fewer there are.

    Parameters
    ----------
    took_s : float
        Time that the turn took.
    interval_s : float
        Least time between turns.

    Examples
    --------
    >>> [round(pause_s(took_s, 0.01), 6) for took_s in (0.001, 0.02, 1.0)]
    [0.01, 0.03, 0.05]
    """
    share_pause_s = took_s * (1.0 - MAX_SHARE) / MAX_SHARE
    return min(MAX_PAUSE_S, max(interval_s, share_pause_s))


def add(turns: ParsingTurns, parse_part: Callable[[], bool]) -> None:
    """Call a function in turn with those of other connections until none is left."""
    turns.waiting.append(parse_part)
    if not turns._is_scheduled:
        turns._is_scheduled = True
        _schedule(turns, turns.interval_s)


def _schedule(turns: ParsingTurns, delay_s: float) -> None:
    asyncio.get_running_loop().call_later(delay_s, _run_turn, turns)


def _run_turn(turns: ParsingTurns) -> None:
    began_s = time.monotonic()
    parse_part = turns.waiting.popleft()
    try:
        if parse_part():
            turns.waiting.append(parse_part)
    finally:
        _end_turn(turns, began_s, ITERATIONS_COUNT)


def _end_turn(turns: ParsingTurns, began_s: float, iterations_count: int) -> None:
    """Schedule the next turn after some iterations, whose time counts as well."""
    if iterations_count:
        loop = asyncio.get_running_loop()
        loop.call_soon(_end_turn, turns, began_s, iterations_count - 1)
    elif turns.waiting:
        _schedule(turns, pause_s(time.monotonic() - began_s, turns.interval_s))
    else:
        turns._is_scheduled = False
