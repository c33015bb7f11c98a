"""Tests of the gateway against a fake log that loses replies and its quorum."""

import asyncio
import dataclasses

import pytest
from returns import result

from hickoryweir.claims import commands, gateway, keys, machine, verdicts
from hickoryweir.outcomes import refusals

LOG_START_S = 1_000_000.0
DEADLINE_S = 5.0
KEY = keys.Key("t0001000000-0123456789abcdef", LOG_START_S)
CALL = gateway.Call("school", KEY, b"digest")
ANSWER = commands.Answered(200, "application/json", b'{"charged": 1}')
NO_LEADER = verdicts.Unavailable("no leader", False, 1.0)
REPLY_LOST = verdicts.Unavailable("timed out", True, 1.0)


@dataclasses.dataclass
class FakeLog:
    """A log with its own clock; ``faults`` holds one fault per proposal.

    A fault is ``"lost"`` (the command is not applied), ``"reply lost"`` (it is
    applied), ``"late"`` (it is applied by :func:`deliver_late`), ``"no leader"``
    or ``""`` (none).
    """

    state: machine.State = dataclasses.field(default_factory=machine.initial_state)
    now_s: float = 0.0
    index: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)
    late: list[commands.Command] = dataclasses.field(default_factory=list)


def apply(log, command):
    log.index += 1
    return machine.apply(log.state, command, log.index, LOG_START_S + log.now_s)


def deliver_late(log):
    return [apply(log, command) for command in log.late]


def make_router(log, name, is_gone=lambda router: False):
    async def propose(command, timeout_s):
        await asyncio.sleep(0)
        fault = log.faults.pop(0) if log.faults else ""
        if fault == "no leader":
            return result.Failure(NO_LEADER)
        if fault == "late":
            log.late.append(command)
        if fault == "reply lost":
            apply(log, command)
        if fault:
            log.now_s += timeout_s
            return result.Failure(REPLY_LOST)
        return result.Success(apply(log, command))

    async def sleep(delay_s):
        log.now_s += delay_s
        await asyncio.sleep(0)

    return gateway.make_gateway(
        propose, lambda: log.now_s, name, sleep, is_gone=is_gone
    )


def claim(router, log, call=CALL):
    return router.claim(call, "till-1", log.now_s + DEADLINE_S)


def run(main):
    return asyncio.run(main)


def test_resend_at_another_router_gets_the_stored_answer():
    async def main():
        log = FakeLog()
        one, two = make_router(log, "vm-1"), make_router(log, "vm-2")
        permit = (await claim(one, log)).unwrap()
        await one.finish(permit, ANSWER)
        return (await claim(two, log)).unwrap()

    stored = gateway.StoredAnswer(200, "application/json", ANSWER.body)
    assert run(main()) == stored


def test_call_without_quorum_is_refused_at_once_and_changes_nothing():
    async def main():
        log = FakeLog(faults=["no leader"])
        refusal = (await claim(make_router(log, "vm-1"), log)).failure()
        return refusal, log.now_s, log.index

    refusal, now_s, index = run(main())
    assert refusal.reason is refusals.Reason.NO_QUORUM
    assert refusal.ran is refusals.Ran.NO
    assert (now_s, index) == (0.0, 0)


def test_claim_is_proposed_again_after_a_lost_reply_and_gives_the_same_permit():
    async def main():
        log = FakeLog(faults=["reply lost"])
        return (await claim(make_router(log, "vm-1"), log)).unwrap()

    assert run(main()).fencing_token == 1


@pytest.mark.parametrize("fault", ["lost", "reply lost", "late"])
def test_claim_without_verdict_releases_the_key_for_the_resend(fault):
    async def main():
        log = FakeLog(faults=[fault] * 3 + ["no leader"])
        one = make_router(log, "vm-1")
        refusal = (await claim(one, log)).failure()
        assert await one.close(1.0) == 0
        late = deliver_late(log)
        resend = await claim(make_router(log, "vm-2"), log)
        return refusal, late, resend

    refusal, late, resend = run(main())
    assert refusal.ran is refusals.Ran.NO
    assert not any(isinstance(verdict, verdicts.Granted) for verdict in late)
    assert isinstance(resend.unwrap(), gateway.Permit)


def test_caller_that_disconnects_while_claiming_releases_the_key():
    async def main():
        log = FakeLog(faults=["reply lost"])
        one = make_router(log, "vm-1")
        task = asyncio.ensure_future(claim(one, log))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert await one.close(1.0) == 0
        return (await claim(make_router(log, "vm-2"), log)).unwrap()

    assert isinstance(run(main()), gateway.Permit)


def test_router_killed_after_its_claim_blocks_the_key():
    async def main():
        log = FakeLog()
        await claim(make_router(log, "vm-1"), log)
        refusal = (await claim(make_router(log, "vm-2"), log)).failure()
        return refusal, log.now_s

    refusal, now_s = run(main())
    assert refusal.reason is refusals.Reason.ATTEMPT_IN_PROGRESS
    assert refusal.ran is refusals.Ran.MAYBE
    assert 0 < now_s <= DEADLINE_S


def test_stale_claim_is_not_waited_for():
    async def main():
        log = FakeLog()
        await claim(make_router(log, "vm-1"), log)
        log.now_s = started_s = 2 * gateway.STALE_CLAIM_AGE_S
        refusal = (await claim(make_router(log, "vm-2"), log)).failure()
        return refusal.reason, log.now_s - started_s

    assert run(main()) == (refusals.Reason.ATTEMPT_IN_PROGRESS, 0.0)


def test_answer_recorded_before_its_router_was_killed_is_served_by_others():
    async def main():
        log = FakeLog(faults=["", "reply lost"])
        one = make_router(log, "vm-1")
        permit = (await claim(one, log)).unwrap()
        await one.finish(permit, ANSWER)
        return (await claim(make_router(log, "vm-2"), log)).unwrap()

    assert run(main()).body == ANSWER.body


def test_paused_holder_that_resumes_is_still_the_only_one():
    async def main():
        log = FakeLog()
        one, two = make_router(log, "vm-1"), make_router(log, "vm-2")
        permit = (await claim(one, log)).unwrap()
        log.now_s += 600.0
        refused = (await claim(two, log)).failure()
        recorded = await one.finish(permit, ANSWER)
        return refused.ran, recorded, (await claim(two, log)).unwrap()

    ran, recorded, stored = run(main())
    assert ran is refusals.Ran.MAYBE
    assert recorded.unwrap() == verdicts.Recorded()
    assert stored.body == ANSWER.body


def test_grant_after_the_deadline_is_released():
    async def main():
        log = FakeLog(faults=["reply lost"])
        one = make_router(log, "vm-1")
        refusal = (await one.claim(CALL, "till-1", 0.0)).failure()
        await one.close(1.0)
        return refusal.ran, (await claim(make_router(log, "vm-2"), log)).unwrap()

    ran, permit = run(main())
    assert ran is refusals.Ran.NO
    assert isinstance(permit, gateway.Permit)


def test_service_that_crashes_after_running_is_never_run_again():
    async def main():
        log = FakeLog()
        one, two = make_router(log, "vm-1"), make_router(log, "vm-2")
        permit = (await claim(one, log)).unwrap()
        await one.finish(permit, commands.Unknown("connection lost"))
        return (await claim(two, log)).failure()

    refusal = run(main())
    assert refusal.reason is refusals.Reason.OUTCOME_UNKNOWN
    assert refusal.ran is refusals.Ran.MAYBE


def test_waiting_resend_gets_the_answer_once_recorded():
    async def main():
        log = FakeLog()
        one, two = make_router(log, "vm-1"), make_router(log, "vm-2")
        permit = (await claim(one, log)).unwrap()
        resend = asyncio.ensure_future(claim(two, log))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await one.finish(permit, ANSWER)
        return (await resend).unwrap()

    assert run(main()).body == ANSWER.body


def test_waiting_resend_runs_the_call_when_the_holder_did_not():
    async def main():
        log = FakeLog()
        one, two = make_router(log, "vm-1"), make_router(log, "vm-2")
        permit = (await claim(one, log)).unwrap()
        resend = asyncio.ensure_future(claim(two, log))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await one.finish(permit, commands.NotRun("connection refused"))
        return permit, (await resend).unwrap()

    first, second = run(main())
    assert second.fencing_token > first.fencing_token


def test_concurrent_duplicates_at_many_routers_get_one_permit():
    async def main():
        log = FakeLog()
        routers = [make_router(log, f"vm-{number}") for number in range(6)]
        outcomes = await asyncio.gather(*(claim(router, log) for router in routers))
        return [each for each in outcomes if isinstance(each, result.Success)]

    assert len(run(main())) == 1


def test_outcome_is_recorded_in_the_background_after_the_quorum_is_back():
    async def main():
        log = FakeLog()
        one = make_router(log, "vm-1")
        permit = (await claim(one, log)).unwrap()
        log.faults = ["no leader"] * 8
        finished = await one.finish(permit, ANSWER)
        assert await one.close(1.0) == 0
        return finished, (await claim(make_router(log, "vm-2"), log)).unwrap()

    finished, stored = run(main())
    assert finished.failure() == NO_LEADER
    assert stored.body == ANSWER.body


def test_call_with_an_answer_too_large_to_store_is_reported_as_run():
    async def main():
        log = FakeLog()
        one = make_router(log, "vm-1")
        permit = (await claim(one, log)).unwrap()
        body = bytes(gateway.ANSWER_MAX_BYTES + 1)
        await one.finish(permit, commands.Answered(200, "text/plain", body))
        return (await claim(make_router(log, "vm-2"), log)).failure()

    assert run(main()).ran is refusals.Ran.YES


def test_abandoned_attempt_is_never_run_again():
    async def main():
        log = FakeLog()
        one = make_router(log, "vm-1")
        one.abandon((await claim(one, log)).unwrap(), "caller left")
        assert await one.close(1.0) == 0
        return (await claim(make_router(log, "vm-2"), log)).failure()

    assert run(main()).reason is refusals.Reason.OUTCOME_UNKNOWN


def test_resend_is_answered_at_once_when_its_router_is_gone():
    async def main():
        log = FakeLog()
        await claim(make_router(log, "vm-1@1"), log)
        two = make_router(log, "vm-2@1", is_gone=lambda router: router == "vm-1@1")
        refusal = (await claim(two, log)).failure()
        return refusal, log.now_s, await two.close(1.0)

    refusal, now_s, given_up = run(main())
    assert refusal.reason is refusals.Reason.OUTCOME_UNKNOWN
    assert refusal.ran is refusals.Ran.MAYBE
    assert (now_s, given_up) == (0.0, 0)


def test_resend_waits_for_a_router_that_is_not_gone():
    async def main():
        log = FakeLog()
        await claim(make_router(log, "vm-1@2"), log)
        two = make_router(log, "vm-2@1", is_gone=lambda router: router == "vm-1@1")
        refusal = (await claim(two, log)).failure()
        return refusal, log.now_s

    refusal, now_s = run(main())
    assert refusal.reason is refusals.Reason.ATTEMPT_IN_PROGRESS
    assert now_s > 0.5 * DEADLINE_S


def test_router_presumed_gone_can_record_its_answer_but_not_release_the_key():
    async def main():
        log = FakeLog()
        one = make_router(log, "vm-1@1")
        permit = (await claim(one, log)).unwrap()
        two = make_router(log, "vm-2@1", is_gone=lambda router: router == "vm-1@1")
        await claim(two, log)
        freed = (await one.finish(permit, commands.NotRun("not sent"))).unwrap()
        refusal = (await claim(two, log)).failure()
        await one.finish(permit, ANSWER)
        return freed, refusal, (await claim(two, log)).unwrap()

    freed, refusal, stored = run(main())
    assert freed == verdicts.OutcomeFixed()
    assert refusal.reason is refusals.Reason.OUTCOME_UNKNOWN
    assert stored == gateway.StoredAnswer(200, "application/json", ANSWER.body)


def test_resend_runs_if_the_gone_router_had_released_the_key_meanwhile():
    async def main():
        log = FakeLog()
        one = make_router(log, "vm-1@1")
        permit = (await claim(one, log)).unwrap()
        release = gateway._outcome_command(permit, commands.NotRun("not sent"))

        def is_gone(router):
            apply(log, release)
            return True

        two = make_router(log, "vm-2@1", is_gone)
        granted = (await claim(two, log)).unwrap()
        await two.close(1.0)
        recorded = await two.finish(granted, ANSWER)
        return granted, recorded.unwrap()

    granted, recorded = run(main())
    assert isinstance(granted, gateway.Permit)
    assert recorded == verdicts.Recorded()


def test_resend_waits_while_the_unknown_outcome_cannot_be_recorded():
    async def main():
        log = FakeLog()
        await claim(make_router(log, "vm-1@1"), log)
        log.faults = ["", "no leader", "", "no leader", "", ""]
        two = make_router(log, "vm-2@1", is_gone=lambda router: True)
        refusal = (await claim(two, log)).failure()
        return refusal, log.now_s

    refusal, now_s = run(main())
    assert refusal.reason is refusals.Reason.OUTCOME_UNKNOWN
    assert 0 < now_s < 1
