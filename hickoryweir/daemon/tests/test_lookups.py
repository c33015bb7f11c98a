"""What a service says of calls whose outcome is not known."""

import asyncio

from returns import result

from hickoryweir.callers import ports
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
NOT_YET = result.Success(service_calls.LookedUp(refusals.Ran.MAYBE, None))
RAN = result.Success(service_calls.LookedUp(refusals.Ran.YES, None))
KEPT = result.Success(
    service_calls.LookedUp(
        refusals.Ran.YES, service_calls.ServiceAnswer(201, (), b"done")
    )
)


def resolve(end, *replies):
    """Return the resolved end and how many questions were left."""
    left = list(replies)

    async def ask():
        return left.pop(0) if len(left) > 1 else left[0]

    limit_s = 0.05 if replies and replies[-1] is not KEPT else 60.0
    resolved = lookups.resolve(end, ask, limit_s=limit_s, first_wait_s=0.001)
    return asyncio.run(resolved)


def test_answer_is_found_after_the_service_comes_back():
    end = resolve(fakes.MAYBE_RUN, DOWN, NOT_YET, KEPT)
    assert end.answer == ports.Answer(201, "application/octet-stream", b"done")


def test_service_that_keeps_no_answer_tells_that_it_ran():
    assert resolve(fakes.MAYBE_RUN, RAN).ran is refusals.Ran.YES


def test_service_that_says_not_ran_leaves_the_outcome_unknown():
    assert resolve(fakes.MAYBE_RUN, NOT_YET).ran is refusals.Ran.MAYBE


def test_certain_ends_are_not_asked_about():
    finished = calls.Finished(ports.Answer(200, "text/plain", b""), 0)
    assert resolve(fakes.NOT_RUN) is fakes.NOT_RUN
    assert resolve(finished) is finished
