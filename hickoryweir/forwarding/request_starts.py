"""Starts requests that arrive together one after the other.

Routes and client accounts take turns, so that a burst of one delays no other.

``forwarding_policy/start_pacing.py`` decides how many start in an iteration of the
event loop.
"""

import asyncio
import collections
import dataclasses
import time
from collections.abc import Hashable

from hickoryweir.forwarding_policy import start_pacing


@dataclasses.dataclass(slots=True)
class RequestStarts:
    """Requests that wait to start.

    Attributes
    ----------
    waiting : dict
        Futures in the order of arrival, by source; the next source to start one comes
        first.  A future is done once its request may start, or its handler has ended.
    started_at_s : float
        Monotonic time of the iteration in which a request last started.
    is_scheduled : bool
        Whether the next iteration starts waiting requests.
    """

    waiting: dict[Hashable, collections.deque[asyncio.Future]] = dataclasses.field(
        default_factory=dict
    )
    started_at_s: float = float("-inf")
    is_scheduled: bool = False


async def wait(starts: RequestStarts, source: Hashable) -> None:
    """Return in the iteration of the event loop in which a request may start.

    Parameters
    ----------
    starts : RequestStarts
        Requests that wait.
    source : hashable
        What the request shares with those that it takes turns with as one.
    """
    if not starts.is_scheduled:
        _schedule(starts)
        return
    started = asyncio.get_running_loop().create_future()
    starts.waiting.setdefault(source, collections.deque()).append(started)
    await started


def _schedule(starts: RequestStarts) -> None:
    starts.is_scheduled, starts.started_at_s = True, time.monotonic()
    asyncio.get_running_loop().call_soon(_start_due, starts)


def _start_due(starts: RequestStarts) -> None:
    """Start some of the requests that wait; the next iteration starts others."""
    starts.is_scheduled = False
    count = start_pacing.due_count(time.monotonic() - starts.started_at_s)
    while starts.waiting and count:
        started = _take_next(starts.waiting)
        if not started.done():
            started.set_result(None)
            count -= 1
            if not starts.is_scheduled:
                _schedule(starts)


def _take_next(waiting: dict[Hashable, collections.deque]) -> asyncio.Future:
    """Remove the oldest request of the next source, which then comes last."""
    source = next(iter(waiting))
    of_source = waiting.pop(source)
    taken = of_source.popleft()
    if of_source:
        waiting[source] = of_source
    return taken
