"""The driver of calls: attempts, retries, deadlines and disconnects."""

import asyncio

import pytest
from returns import result

from hickoryweir.daemon import driver
from hickoryweir.daemon.tests import fakes
from hickoryweir.outcomes import refusals

LIMIT_S = 20


def drive(script, request):
    """Return the outcome of one call."""

    async def run():
        async with (
            fakes.running_driver(script) as call_driver,
            asyncio.timeout(LIMIT_S),
        ):
            outcome = await driver.run(call_driver, request, fakes.make_sink(request))
            await fakes.wait_until_idle(call_driver)
            return outcome

    return asyncio.run(run())


def test_a_call_gets_the_answer_of_its_attempt():
    script = fakes.Script([fakes.ANSWER])
    outcome = drive(script, fakes.make_request("balance"))
    assert outcome.unwrap().body == b"done"
    assert len(script.dispatches) == 1


def test_an_attempt_that_did_not_run_is_retried_on_another_server():
    script = fakes.Script([fakes.NOT_RUN, fakes.ANSWER])
    outcome = drive(script, fakes.make_request("balance"))
    assert isinstance(outcome, result.Success)
    assert len(set(script.dispatches)) == 2


def test_a_non_idempotent_attempt_that_did_not_run_is_retried():
    script = fakes.Script([fakes.NOT_RUN, fakes.ANSWER])
    outcome = drive(script, fakes.make_request("top-up"))
    assert isinstance(outcome, result.Success)
    assert len(script.dispatches) == 2


def test_a_non_idempotent_attempt_that_may_have_run_is_not_retried():
    script = fakes.Script([fakes.MAYBE_RUN, fakes.ANSWER])
    refusal = drive(script, fakes.make_request("top-up")).failure()
    assert refusal.reason is refusals.Reason.OUTCOME_UNKNOWN
    assert refusal.ran is refusals.Ran.MAYBE
    assert len(script.dispatches) == 1


def test_a_call_past_its_deadline_gets_a_final_refusal():
    script = fakes.Script([None])
    refusal = drive(script, fakes.make_request("balance", deadline_s=1.5)).failure()
    assert refusal.reason is refusals.Reason.DEADLINE_EXCEEDED
    assert refusal.ran is refusals.Ran.MAYBE
    assert script.cancelled == 1


def test_a_non_idempotent_attempt_goes_on_after_the_deadline():
    async def run():
        script = fakes.Script([None])
        request = fakes.make_request("top-up", deadline_s=1.5)
        async with (
            fakes.running_driver(script) as call_driver,
            asyncio.timeout(LIMIT_S),
        ):
            outcome = await driver.run(call_driver, request, fakes.make_sink(request))
            still_running = len(call_driver.tasks) > 0
            script.gate.set()
            await fakes.wait_until_idle(call_driver)
        return outcome, still_running, script

    outcome, still_running, script = asyncio.run(run())
    assert outcome.failure().reason is refusals.Reason.OUTCOME_UNKNOWN
    assert outcome.failure().ran is refusals.Ran.MAYBE
    assert still_running
    assert script.finished == [fakes.ANSWER]
    assert script.cancelled == 0


def disconnect_during(class_name):
    """Return the script after the caller of a running call has disconnected."""

    async def run():
        script = fakes.Script([None])
        request = fakes.make_request(class_name)
        async with (
            fakes.running_driver(script) as call_driver,
            asyncio.timeout(LIMIT_S),
        ):
            served = asyncio.create_task(
                driver.run(call_driver, request, fakes.make_sink(request))
            )
            await script.started.wait()
            served.cancel()
            with pytest.raises(asyncio.CancelledError):
                await served
            script.gate.set()
            await fakes.wait_until_idle(call_driver)
            return script

    return asyncio.run(run())


def test_a_caller_that_leaves_cancels_an_idempotent_attempt():
    script = disconnect_during("balance")
    assert script.cancelled == 1


def test_a_caller_that_leaves_does_not_cancel_a_non_idempotent_attempt():
    script = disconnect_during("top-up")
    assert script.cancelled == 0
    assert script.finished == [fakes.ANSWER]
