"""Look-ups of calls whose outcome is not known."""

import asyncio

from returns import result

from hickoryweir.callers import interface
from hickoryweir.daemon import calls, lookups
from hickoryweir.daemon.tests import fakes
from hickoryweir.outcomes import refusals
from hickoryweir.policy import events
from hickoryweir.services import calls as service_calls

DOWN = result.Failure(
    service_calls.ServiceFailure(
        events.FailureCause.CONNECT_REFUSED, refusals.Ran.NO, "down"
    )
)
NOT_KNOWN = result.Success(service_calls.LookupResult(refusals.Ran.MAYBE, None))
RAN = result.Success(service_calls.LookupResult(refusals.Ran.YES, None))
STORED = result.Success(
    service_calls.LookupResult(
        refusals.Ran.YES, service_calls.ServiceResponse(201, (), b"done")
    )
)


def resolve(end, *results):
    """Return the end after look-ups that get these results, the last one repeatedly."""
    remaining = list(results)

    async def look_up():
        return remaining.pop(0) if len(remaining) > 1 else remaining[0]

    timeout_s = 0.05 if results and results[-1] is not STORED else 60.0
    resolved = lookups.resolve(
        end, look_up, timeout_s=timeout_s, initial_backoff_s=0.001
    )
    return asyncio.run(resolved)


def test_answer_is_found_after_the_service_comes_back():
    end = resolve(fakes.MAYBE_RUN, DOWN, NOT_KNOWN, STORED)
    assert end.answer == interface.Response(201, "application/octet-stream", b"done")


def test_service_without_a_stored_answer_confirms_that_it_ran():
    assert resolve(fakes.MAYBE_RUN, RAN).ran is refusals.Ran.YES


def test_service_that_does_not_know_the_call_leaves_the_outcome_unknown():
    assert resolve(fakes.MAYBE_RUN, NOT_KNOWN).ran is refusals.Ran.MAYBE


def test_known_outcomes_are_not_looked_up():
    finished = calls.Finished(interface.Response(200, "text/plain", b""), 0)
    assert resolve(fakes.NOT_RUN) is fakes.NOT_RUN
    assert resolve(finished) is finished
