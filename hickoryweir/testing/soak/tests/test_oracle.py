"""The soak test's oracle reports each kind of violation, and none in a correct run."""

import collections
import dataclasses

from hickoryweir.testing.soak import callers, faults, oracle

ANSWERED = callers.Call("once", "r-1", "127.0.3.1", 10.0, 11.0, 200, is_correct=True)
LOST = dataclasses.replace(
    ANSWERED, status=0, is_correct=False, error="ServerDisconnected"
)
RAN = collections.Counter({"r-1": 1})
STOP = faults.InjectedFault("stop", "127.0.3.1", 9.0, 12.0)
KILL = dataclasses.replace(STOP, kind="kill")


def find_broken_promises(call, runs, injected=()):
    observations = callers.Observations(calls=[call])
    return [
        item.promise
        for item in oracle.find_violations(observations, runs, list(injected), [])
    ]


def test_correct_call_is_no_violation():
    assert find_broken_promises(ANSWERED, RAN) == []


def test_answer_of_another_request_is_reported():
    wrong = dataclasses.replace(ANSWERED, is_correct=False)
    assert find_broken_promises(wrong, RAN) == ["each caller gets its own whole answer"]


def test_false_not_run_is_reported():
    refused = dataclasses.replace(ANSWERED, status=503, is_correct=False)
    assert find_broken_promises(refused, RAN) == ["not run is true"]
    assert find_broken_promises(refused, collections.Counter()) == []


def test_second_execution_is_reported():
    assert find_broken_promises(ANSWERED, collections.Counter({"r-1": 2})) == [
        "at most once"
    ]


def test_answer_cut_off_by_a_planned_stop_is_reported():
    assert find_broken_promises(LOST, RAN, [STOP]) == [
        "a planned stop cuts nothing off"
    ]


def test_answer_lost_to_a_kill_of_its_router_is_allowed():
    assert find_broken_promises(LOST, RAN, [KILL]) == []
    elsewhere = dataclasses.replace(KILL, target="127.0.3.2")
    assert find_broken_promises(LOST, RAN, [elsewhere]) != []


def test_connection_lost_before_the_execution_is_allowed():
    assert find_broken_promises(LOST, collections.Counter(), [STOP]) == []


def test_older_table_read_back_after_an_acknowledgement_is_reported():
    observations = callers.Observations(accepted=[(7, 5.0)])
    observations.read_back = [callers.VersionReading("127.0.2.1", 1, 4.0, 6)]
    assert oracle.find_stale_reads(observations) == []
    observations.read_back = [callers.VersionReading("127.0.2.1", 1, 6.0, 6)]
    assert len(oracle.find_stale_reads(observations)) == 1


def test_version_that_decreases_within_one_process_is_reported():
    first = callers.VersionReading("127.0.3.1", 1, 1.0, 7)
    older = dataclasses.replace(first, version=6)
    assert len(oracle.find_reverted([first, older])) == 1
    restarted = dataclasses.replace(older, process_id=2)
    assert oracle.find_reverted([first, restarted]) == []


def test_stop_with_an_exit_code_is_reported():
    observations = callers.Observations()
    violations = oracle.find_violations(
        observations, collections.Counter(), [], [("127.0.3.1", -9)]
    )
    assert [item.promise for item in violations] == ["a planned stop ends clean"]


def test_router_with_an_old_version_and_a_call_that_still_fails_are_reported():
    versions = {"127.0.3.1": 6, "127.0.3.2": 7}
    violations = oracle.find_unrecovered(versions, 7, [ANSWERED, LOST])
    assert [item.promise for item in violations] == [
        "an accepted table is in force everywhere",
        "all is served again",
    ]


def find_late_tables(version, asked_s, injected=()):
    """Return the promises that a reading breaks; version 5 was acknowledged at 10 s."""
    reading = callers.VersionReading("127.0.3.1", 1, asked_s, version)
    observations = callers.Observations(accepted=[(5, 10.0)], in_force=[reading])
    return [item.promise for item in oracle.find_late(observations, list(injected))]


def test_acknowledged_table_that_is_not_in_force_in_time_is_reported():
    late = ["an acknowledged table is in force"]
    assert find_late_tables(4, 13.0) == late
    assert find_late_tables(5, 13.0) == []
    assert find_late_tables(4, 11.0) == []


def test_loss_of_replicas_is_no_excuse_for_a_late_table():
    lost = faults.InjectedFault("kill", "127.0.2.1", 10.1, 14.0)
    cut = faults.InjectedFault("cut_off", "127.0.2.1", 9.0, 12.0)
    assert find_late_tables(4, 13.0, [lost]) != []
    assert find_late_tables(4, 13.0, [cut]) == []
    assert find_late_tables(4, 16.0, [cut]) != []
    assert find_late_tables(4, 13.0, [KILL]) == []
