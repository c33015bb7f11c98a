"""Tests of each transition of the claims state machine."""

import dataclasses

from hickoryweir.claims import commands, machine, snapshots, verdicts

NOW_S = 1_000_000.0
FIRST = commands.Claim("school", "key", NOW_S, b"digest", "a1", "till-1", "vm-1")
SECOND = dataclasses.replace(FIRST, attempt_id="a2", router="vm-2")
THIRD = dataclasses.replace(FIRST, attempt_id="a3", router="vm-3")
ANSWER = commands.Answered(200, "application/json", b"{}")


def make_log(limits=None):
    state = machine.initial_state(limits)
    index = 0

    def run(command, time_s=NOW_S):
        nonlocal index
        index += 1
        return machine.apply(state, command, index, time_s)

    return state, run


def record(claim, outcome):
    return commands.RecordOutcome(
        claim.account, claim.key, claim.issued_at_s, claim.attempt_id, outcome
    )


def test_same_attempt_gets_the_same_verdict():
    _, run = make_log()
    assert run(FIRST) == run(FIRST) == verdicts.Granted(1)


def test_other_attempt_finds_the_holder_in_progress():
    _, run = make_log()
    run(FIRST)
    in_progress = verdicts.InProgress("vm-1", NOW_S, 3.0, FIRST.attempt_id)
    assert run(SECOND, NOW_S + 3) == in_progress


def test_other_attempt_gets_the_stored_answer():
    _, run = make_log()
    run(FIRST)
    assert run(record(FIRST, ANSWER)) == verdicts.Recorded()
    assert run(SECOND) == verdicts.Done(200, "application/json", b"{}")


def test_other_body_is_a_mismatch():
    _, run = make_log()
    run(FIRST)
    other = dataclasses.replace(SECOND, body_digest=b"other")
    assert run(other) == verdicts.DigestMismatch()


def test_not_run_releases_the_key_for_another_attempt():
    _, run = make_log()
    run(FIRST)
    run(record(FIRST, commands.NotRun("connection refused")))
    assert run(SECOND) == verdicts.Granted(3)


def test_not_run_of_another_attempt_does_not_release_the_key():
    _, run = make_log()
    run(FIRST)
    run(record(SECOND, commands.NotRun("gave up")))
    assert isinstance(run(THIRD), verdicts.InProgress)


def test_released_attempt_gets_no_second_grant():
    _, run = make_log()
    run(FIRST)
    run(record(FIRST, commands.NotRun("connection refused")))
    assert run(FIRST) == verdicts.AttemptReleased()
    run(SECOND)
    run(record(SECOND, commands.NotRun("connection refused")))
    assert run(FIRST) == verdicts.AttemptReleased()


def test_claim_that_arrives_after_its_own_release_is_refused():
    _, run = make_log()
    assert run(record(FIRST, commands.NotRun("reply lost"))) == verdicts.Recorded()
    assert run(FIRST) == verdicts.AttemptReleased()
    assert isinstance(run(SECOND), verdicts.Granted)


def test_call_with_unknown_outcome_is_never_run_again():
    _, run = make_log()
    run(FIRST)
    run(record(FIRST, commands.Unknown("connection lost")))
    assert run(SECOND) == run(FIRST) == verdicts.OutcomeUnknown()
    not_run = record(FIRST, commands.NotRun("changed its mind"))
    assert run(not_run) == verdicts.OutcomeFixed()
    assert run(SECOND) == verdicts.OutcomeUnknown()


def test_holder_may_still_answer_after_unknown():
    _, run = make_log()
    run(FIRST)
    run(record(FIRST, commands.Unknown("timeout")))
    assert run(record(FIRST, ANSWER)) == verdicts.Recorded()
    assert isinstance(run(SECOND), verdicts.Done)


def test_answer_of_another_attempt_is_not_stored():
    _, run = make_log()
    run(FIRST)
    assert run(record(SECOND, ANSWER)) == verdicts.NotHolder()
    assert isinstance(run(SECOND), verdicts.InProgress)


def test_key_stays_held_throughout_the_retention():
    _, run = make_log()
    run(FIRST)
    later_s = NOW_S + machine.RETENTION_S - 1
    assert isinstance(run(SECOND, later_s), verdicts.InProgress)


def test_key_past_its_retention_is_refused_and_its_record_dropped():
    state, run = make_log()
    run(FIRST)
    run(record(FIRST, ANSWER))
    later_s = NOW_S + machine.RETENTION_S
    assert run(SECOND, later_s) == verdicts.KeyExpired()
    assert state.accounts["school"].records == {}
    assert state.accounts["school"].answers_size_bytes == 0


def test_longer_retention_does_not_revive_a_dropped_key():
    _, run = make_log()
    run(FIRST)
    later_s = NOW_S + machine.RETENTION_S
    run(commands.SetRetention(10 * machine.RETENTION_S, 1), later_s)
    assert run(SECOND, later_s) == verdicts.KeyExpired()


def test_retention_of_an_older_configuration_is_ignored():
    _, run = make_log()
    run(commands.SetRetention(50.0, 7))
    assert run(commands.SetRetention(90.0, 6)) == verdicts.RetentionSet(50.0)


def test_untimed_key_is_refused_forever_after_its_retention():
    state, run = make_log()
    untimed = dataclasses.replace(FIRST, issued_at_s=None)
    run(untimed)
    later_s = NOW_S + 1000 * machine.RETENTION_S
    again = dataclasses.replace(untimed, attempt_id="a9")
    assert run(again, later_s) == verdicts.KeyExpired()
    assert state.accounts["school"].records == {}


def test_key_from_the_future_is_refused():
    _, run = make_log()
    early_s = NOW_S - machine.CLOCK_AHEAD_MAX_S - 7
    assert run(FIRST, early_s) == verdicts.KeyFromFuture(machine.CLOCK_AHEAD_MAX_S + 7)


def test_claim_on_a_full_account_is_refused_and_existing_records_stay():
    _, run = make_log(machine.Limits(account_records_max=1))
    run(FIRST)
    other_key = dataclasses.replace(SECOND, key="other")
    assert run(other_key) == verdicts.AccountFull(untimed=False)
    other_account = dataclasses.replace(other_key, account="hospital")
    assert isinstance(run(other_account), verdicts.Granted)
    assert isinstance(run(SECOND), verdicts.InProgress)


def test_untimed_keys_have_a_limit_of_their_own():
    _, run = make_log(machine.Limits(account_untimed_max=1))
    run(dataclasses.replace(FIRST, issued_at_s=None))
    refused = dataclasses.replace(SECOND, key="other", issued_at_s=None)
    assert run(refused) == verdicts.AccountFull(untimed=True)
    assert isinstance(run(dataclasses.replace(FIRST, key="third")), verdicts.Granted)


def test_large_answer_keeps_status_and_digest():
    _, run = make_log(machine.Limits(answer_max_bytes=1))
    run(FIRST)
    run(record(FIRST, ANSWER))
    verdict = run(SECOND)
    assert isinstance(verdict, verdicts.DoneNotKept)
    assert verdict.status == 200


def test_key_is_refused_after_too_many_released_attempts():
    _, run = make_log()
    for number in range(machine.RELEASED_ATTEMPTS_MAX):
        attempt = dataclasses.replace(FIRST, attempt_id=f"n{number}")
        assert isinstance(run(attempt), verdicts.Granted)
        run(record(attempt, commands.NotRun("connection refused")))
    assert run(SECOND) == verdicts.AttemptsExhausted()


def test_snapshot_contains_the_whole_state():
    state, run = make_log()
    run(FIRST)
    run(record(FIRST, ANSWER))
    run(dataclasses.replace(SECOND, key="u", issued_at_s=None))
    run(record(THIRD, commands.NotRun("gave up")))
    run(commands.SetRetention(5.0, 1), NOW_S + 6)
    loaded = snapshots.load(snapshots.dump(state))
    assert loaded == state
    assert snapshots.dump(loaded) == snapshots.dump(state)
