"""Graceful shutdown of one entry VM: calls in flight end before the process does.

1. Readiness is withdrawn, and calls are still served for the balancer's lag.
2. New connections are no longer accepted, and calls in flight end, up to a limit.
   Those that are still open then get their final refusal.
3. The replica transfers leadership, and the process exits: with code 0, or with
   code 3 if calls were still in flight at the limit.
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

MESSAGE = "this entry VM is shutting down"
REFUSAL = refusals.make_refusal(refusals.Reason.DRAINING, MESSAGE, RETRY_AFTER_S)


@dataclasses.dataclass(slots=True)
class Drain:
    """Whether a graceful shutdown has begun."""

    begun: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Steps:
    """The daemon's operations that a shutdown calls.

    Attributes
    ----------
    stop_listening : function
        Stops accepting connections.
    in_flight : function
        Returns the calls in flight, also those that are still being received.
    refuse_calls : function
        Gives each call that is still open its final refusal.
    stop : function
        Closes the remaining components and transfers leadership.
    """

    stop_listening: Callable[[], object]
    in_flight: Callable[[], Collection[asyncio.Task]]
    refuse_calls: Callable[[], None]
    stop: Callable[[], Awaitable[None]]


async def run(drain: Drain, limits: settings.Drain, steps: Steps) -> int:
    """Shut down gracefully.

    Parameters
    ----------
    drain : Drain
        Marked as begun at once.
    limits : settings.Drain
        The balancer's lag and the time limit for calls in flight.
    steps : Steps
        The daemon's operations.

    Returns
    -------
    int
        0, or 3 if calls were still in flight at the limit.
    """
    drain.begun = True
    logs.info("draining", logs.Fields(detail=f"{len(steps.in_flight())} in flight"))
    await asyncio.sleep(limits.balancer_lag_s)
    steps.stop_listening()
    # Calls that the kernel had received are in flight after this.
    await asyncio.sleep(POLL_INTERVAL_S)
    ended = await wait_until_empty(steps.in_flight, limits.limit_s)
    if not ended:
        fields = logs.Fields(detail=f"{len(steps.in_flight())} cut off")
        logs.error("drain limit reached", fields)
        steps.refuse_calls()
    await steps.stop()
    logs.info("stopped")
    return EXIT_CLEAN if ended else EXIT_CUT_OFF


async def wait_until_empty(
    in_flight: Callable[[], Collection[asyncio.Task]], limit_s: float
) -> bool:
    """Return whether all tasks ended within the limit."""
    until_s = time.monotonic() + limit_s
    while in_flight():
        if time.monotonic() >= until_s:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True
