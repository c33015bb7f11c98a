"""Work for client bytes that take much time and bring little or no content.

Such bytes of all connections share one part of the event loop's time, so that they take
none from other clients; the connections are not read meanwhile.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

INTERVAL_S = 0.01


@dataclasses.dataclass(slots=True)
class ParsingTurns:
    """Connections that wait for their turn; shared by those of one server.

    Attributes
    ----------
    interval_s : float
        Time between turns.
    waiting : collections.deque of callable
        Functions that parse one part; each returns whether more is left.
    """

    interval_s: float = INTERVAL_S
    waiting: collections.deque[Callable[[], bool]] = dataclasses.field(
        default_factory=collections.deque
    )
    _is_scheduled: bool = False


def add(turns: ParsingTurns, parse_part: Callable[[], bool]) -> None:
    """Call a function in turn with those of other connections until none is left."""
    turns.waiting.append(parse_part)
    _schedule(turns)


def _schedule(turns: ParsingTurns) -> None:
    if turns.waiting and not turns._is_scheduled:
        turns._is_scheduled = True
        asyncio.get_running_loop().call_later(turns.interval_s, _run_turn, turns)


def _run_turn(turns: ParsingTurns) -> None:
    turns._is_scheduled = False
    parse_part = turns.waiting.popleft()
    try:
        if parse_part():
            turns.waiting.append(parse_part)
    finally:
        _schedule(turns)
