"""Tests of the query for keys without a known outcome."""

import dataclasses

from hickoryweir.claims import commands, machine, queries, snapshots

NOW_S = 1_000_000.0
CLAIM = commands.Claim("school", "key-1", NOW_S, b"d", "attempt-1", "till-1", "vm-1@7")
OTHER = dataclasses.replace(CLAIM, key="key-2", attempt_id="attempt-2")


def run(state, *given):
    for index, command in enumerate(given, 1):
        machine.apply(state, command, index, NOW_S + index)
    return state


def end(claim, outcome):
    return commands.RecordOutcome(
        claim.account, claim.key, claim.issued_at_s, claim.attempt_id, outcome
    )


def read(state, keys_max_count=10):
    return queries.answer(state, queries.ReadOpenKeys(keys_max_count), NOW_S + 60)


def test_key_in_progress_is_listed_with_its_router_and_age():
    found = read(run(machine.initial_state(), CLAIM))
    expected = queries.OpenKey(
        "school", "key-1", True, "vm-1@7", "till-1", NOW_S + 1, 59.0
    )
    assert found == queries.OpenKeysRead((expected,), 1)


def test_unknown_outcome_stays_listed_until_an_answer_is_recorded():
    state = run(machine.initial_state(), CLAIM, end(CLAIM, commands.Unknown("cut")))
    (found,) = read(state).keys
    assert not found.is_in_progress
    run(state, end(CLAIM, commands.Answered(200, "text/plain", b"ok")))
    assert read(state) == queries.OpenKeysRead((), 0)


def test_released_and_expired_keys_are_not_listed():
    state = run(machine.initial_state(), CLAIM, end(CLAIM, commands.NotRun("no")))
    assert read(state).total_count == 0
    run(state, OTHER)
    late_s = NOW_S + 2 * machine.RETENTION_S
    machine.apply(state, dataclasses.replace(CLAIM, key="late"), 9, late_s)
    assert [key for _, key in state.open_keys] == []


def test_list_is_bounded_and_gives_the_total_count():
    found = read(run(machine.initial_state(), CLAIM, OTHER), keys_max_count=1)
    assert [each.key for each in found.keys] == ["key-1"]
    assert found.total_count == 2


def test_snapshot_preserves_the_list():
    state = run(machine.initial_state(), CLAIM, OTHER)
    assert read(snapshots.load(snapshots.dump(state))) == read(state)
