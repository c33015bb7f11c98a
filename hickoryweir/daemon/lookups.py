"""Asks a plain service what became of a call whose outcome is not known.

A service that crashed after it ran a call often comes back, and may tell the call's
answer by its idempotency key.  Until then the claim stays with its attempt, so the
call can't run again.
"""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable

from returns import result

from hickoryweir.callers import ports
from hickoryweir.daemon import calls
from hickoryweir.outcomes import refusals
from hickoryweir.services import calls as service_calls

LIMIT_S = 15.0
FIRST_WAIT_S = 0.1
LONGEST_WAIT_S = 2.0

Ask = Callable[
    [],
    Awaitable[result.Result[service_calls.LookedUp, service_calls.ServiceFailure]],
]


async def resolve(
    end: calls.AttemptEnd,
    ask: Ask,
    limit_s: float = LIMIT_S,
    first_wait_s: float = FIRST_WAIT_S,
) -> calls.AttemptEnd:
    """Return an attempt's end with what the service says of it.

    Parameters
    ----------
    end : calls.AttemptEnd
        How the attempt ended; only a failure that may have run is asked about.
    ask : function
        Asks the service once.
    limit_s : float, optional
        Time for all questions together.
    first_wait_s : float, optional
        Wait before the second question; it doubles from then on.

    Returns
    -------
    calls.AttemptEnd
        Finished if the service knows the answer.
    """
    if not isinstance(end, calls.Failed) or end.ran is not refusals.Ran.MAYBE:
        return end
    deadline_s = time.monotonic() + limit_s
    wait_s = first_wait_s
    while True:
        looked = (await ask()).value_or(None)
        if looked is not None and looked.answer is not None:
            return finish(looked.answer)
        if looked is not None and looked.ran is refusals.Ran.YES:
            end = dataclasses.replace(end, ran=refusals.Ran.YES)
        if time.monotonic() + wait_s > deadline_s:
            return end
        await asyncio.sleep(wait_s)
        wait_s = min(2.0 * wait_s, LONGEST_WAIT_S)


def finish(answer: service_calls.ServiceAnswer) -> calls.Finished:
    """Return a looked up answer as the end of an attempt."""
    return calls.Finished(
        ports.Answer(answer.status, answer.content_type, answer.body), 0
    )
