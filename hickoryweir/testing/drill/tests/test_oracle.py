"""The drill's oracle reports each kind of violation."""

import random

from hickoryweir.callers.tests import fakes
from hickoryweir.configuration import model
from hickoryweir.testing.demo import burst
from hickoryweir.testing.drill import cluster as clusters
from hickoryweir.testing.drill import faults, oracle, workload

URL = "http://127.0.0.1:1"
ANSWERED = burst.Reply(True, True, 0.0, "", "", None)
WRONG_ANSWER = burst.Reply(True, False, 0.0, "", "", None)
NOT_RUN = burst.Reply(False, False, 0.0, "no_quorum", "no", 1.0)
SHED = burst.Reply(False, False, 0.0, "shed", "no", 1.0)


def make_history(*replies):
    request_class = fakes.make_class("top-up", model.Target.SERVICE, "top-ups", False)
    plan = burst.Plan(0.0, "call-1", request_class, "school", "key-1", URL)
    exchanges = [workload.Exchange(URL, 10.0, 11.0, reply, "") for reply in replies]
    return workload.History(plan, exchanges)


def make_cluster(versions=None, exit_codes=()):
    return clusters.Cluster(
        (), (), (), {}, set(), versions or {"vm-1": [1, 2]}, list(exit_codes)
    )


def find_broken_promises(
    histories=(), executions=None, windows=(), accepted=(), **cluster
):
    cluster_state = make_cluster(**cluster)
    context = faults.FaultContext(
        cluster_state, random.Random(1), list(windows), [], set()
    )
    observations = workload.Observations(list(histories), list(accepted))
    violations = oracle.find_violations(
        cluster_state, context, observations, executions or {}
    )
    return [violation.promise for violation in violations]


def test_a_call_that_ran_once_and_was_answered_is_no_violation():
    assert find_broken_promises([make_history(ANSWERED)], {"key-1": 1}) == []


def test_a_key_that_ran_twice_is_reported():
    assert "non-idempotent work runs at most once" in find_broken_promises(
        executions={"k": 2}
    )


def test_an_answer_without_an_execution_is_reported():
    broken_promises = find_broken_promises([make_history(ANSWERED)], {})
    assert broken_promises == ["an answer means that it ran"]


def test_an_answer_to_another_call_is_reported():
    broken_promises = find_broken_promises([make_history(WRONG_ANSWER)], {"key-1": 1})
    assert broken_promises == ["each caller gets its own whole answer"]


def test_a_false_not_run_is_reported():
    assert find_broken_promises([make_history(NOT_RUN)], {"key-1": 1}) == [
        "'not run' is true"
    ]


def test_a_true_not_run_is_no_violation():
    assert find_broken_promises([make_history(NOT_RUN)], {}) == []


def test_a_shed_top_up_is_reported():
    assert find_broken_promises([make_history(SHED)]) == [
        "a top-up or booking is never shed"
    ]


def lost_history():
    history = make_history()
    history.exchanges.append(
        workload.Exchange(URL, 10.0, 11.0, None, "ServerDisconnected")
    )
    return history


def test_a_connection_lost_without_a_fault_is_reported():
    assert find_broken_promises([lost_history()]) == ["no request is cut off"]


def test_a_connection_lost_during_a_fault_is_no_violation():
    window = clusters.FaultWindow(URL, 9.0, 12.0)
    assert find_broken_promises([lost_history()], windows=[window]) == []


def test_an_answer_long_after_the_deadline_is_reported():
    history = make_history()
    history.exchanges.append(workload.Exchange(URL, 10.0, 20.0, NOT_RUN, ""))
    assert find_broken_promises([history]) == ["a final answer by the deadline"]


def test_a_call_that_its_caller_timed_out_is_no_violation():
    history = make_history()
    history.exchanges.append(
        workload.Exchange(URL, 10.0, 11.0, None, workload.CALLER_TIMED_OUT)
    )
    assert find_broken_promises([history]) == []


def test_a_decreasing_version_is_reported():
    broken_promises = find_broken_promises(versions={"vm-1": [1, 2, 1, 2]})
    assert broken_promises == ["an accepted configuration never reverts"]


def test_an_accepted_version_not_in_force_is_reported():
    broken_promises = find_broken_promises(versions={"vm-1": [1]}, accepted=[2])
    assert broken_promises == ["an accepted configuration is in force"]


def test_a_stop_with_an_exit_code_is_reported():
    assert find_broken_promises(exit_codes=[3]) == ["a planned stop is graceful"]
