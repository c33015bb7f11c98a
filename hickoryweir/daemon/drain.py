"""Graceful shutdown of one entry VM: no request is cut off.

The order is: readiness goes off; the balancer's lag passes while calls are
still served; no more connections are accepted; calls in flight end; the
replica hands over leadership; the process ends with code 0.
"""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable, Collection

from hickoryweir.configuration import settings
from hickoryweir.observability import logs
from hickoryweir.outcomes import refusals

POLL_INTERVAL_S = 0.05
RETRY_AFTER_S = 1.0
EXIT_CLEAN = 0
EXIT_CUT_OFF = 3

REFUSAL = refusals.make_refusal(
    refusals.Reason.DRAINING, "this entry VM is shutting down", RETRY_AFTER_S
)


@dataclasses.dataclass(slots=True)
class Drain:
    """Whether a graceful shutdown has begun."""

    begun: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Steps:
    """What a shutdown does to the daemon.

    Attributes
    ----------
    stop_listening : function
        Accepts no more connections.
    in_flight : collection
        Calls in flight; empty when all have ended.
    stop : function
        Closes all that is left, and hands over leadership.
    """

    stop_listening: Callable[[], None]
    in_flight: Collection[asyncio.Task]
    stop: Callable[[], Awaitable[None]]


async def run(drain: Drain, limits: settings.Drain, steps: Steps) -> int:
    """Shut down gracefully.

    Parameters
    ----------
    drain : Drain
        Marked as begun at once.
    limits : settings.Drain
        The balancer's lag and the longest wait for calls in flight.
    steps : Steps
        What to do to the daemon.

    Returns
    -------
    int
        0, or 3 if calls were still in flight at the limit.
    """
    drain.begun = True
    logs.info("draining", logs.Fields(detail=f"{len(steps.in_flight)} in flight"))
    await asyncio.sleep(limits.balancer_lag_s)
    steps.stop_listening()
    ended = await wait_until_empty(steps.in_flight, limits.limit_s)
    if not ended:
        fields = logs.Fields(detail=f"{len(steps.in_flight)} cut off")
        logs.error("drain limit reached", fields)
    await steps.stop()
    logs.info("stopped")
    return EXIT_CLEAN if ended else EXIT_CUT_OFF


async def wait_until_empty(tasks: Collection[asyncio.Task], limit_s: float) -> bool:
    """Return True once no task is left, or False at the limit."""
    until_s = time.monotonic() + limit_s
    while tasks:
        if time.monotonic() >= until_s:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True
