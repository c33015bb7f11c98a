"""Looks up the outcome of a call at its plain service when it is not known.

A service that crashed after running a call often recovers and may return the call's
stored answer by its idempotency key.  Meanwhile the attempt keeps its claim, so the
call can't run again.
"""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable

from returns import result

from hickoryweir.callers import interface
from hickoryweir.daemon import calls
from hickoryweir.outcomes import refusals
from hickoryweir.services import calls as service_calls

TOTAL_TIMEOUT_S = 15.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0

LookUp = Callable[
    [],
    Awaitable[result.Result[service_calls.LookupResult, service_calls.ServiceFailure]],
]


async def resolve(
    end: calls.AttemptEnd,
    look_up: LookUp,
    timeout_s: float = TOTAL_TIMEOUT_S,
    initial_backoff_s: float = INITIAL_BACKOFF_S,
) -> calls.AttemptEnd:
    """Look up an attempt's outcome until it is known or time runs out.

    Parameters
    ----------
    end : calls.AttemptEnd
        How the attempt ended; only a failure that may have run is looked up.
    look_up : function
        Sends one look-up to the service.
    timeout_s : float, optional
        Time limit for all look-ups together.
    initial_backoff_s : float, optional
        Wait before the second look-up; it doubles each time up to `MAX_BACKOFF_S`.

    Returns
    -------
    calls.AttemptEnd
        `calls.Finished` if the service returned the answer; else `end`, whose `ran`
        is YES if the service confirmed that the call ran.
    """
    if not isinstance(end, calls.Failed) or end.ran is not refusals.Ran.MAYBE:
        return end
    deadline_s = time.monotonic() + timeout_s
    backoff_s = initial_backoff_s
    while True:
        found = (await look_up()).value_or(None)
        if found is not None and found.answer is not None:
            return make_finished(found.answer)
        if found is not None and found.ran is refusals.Ran.YES:
            end = dataclasses.replace(end, ran=refusals.Ran.YES)
        if time.monotonic() + backoff_s > deadline_s:
            return end
        await asyncio.sleep(backoff_s)
        backoff_s = min(2.0 * backoff_s, MAX_BACKOFF_S)


def make_finished(response: service_calls.ServiceResponse) -> calls.Finished:
    """Return the attempt end for an answer that was looked up."""
    return calls.Finished(
        interface.Response(response.status, response.content_type, response.body), 0
    )
