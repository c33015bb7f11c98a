"""The oracle of planned stops reports each planted fault, and no excused request."""

import random

import pytest

from hickoryweir.testing.soak import (
    stop_clients,
    stop_delays,
    stop_oracle,
    stop_records,
)

RAN = stop_records.Attempt("s0", 1.0, 1.0)
QUEUED = stop_records.Attempt("s0", 1.0)
FINISHED_EARLY = stop_records.Attempt("s0", 1.0, 1.0, 4.0)
FINISHED_LATER = stop_records.Attempt("s0", 1.0, 1.0, 5.0)
BROKE_OFF = stop_records.Attempt("s0", 1.0, 1.0, broke_off=True)


def make_target(*attempts):
    """Return a router whose process ended as planned after one request."""
    by_request = {"r-1": list(attempts)} if attempts else {}
    target = stop_records.Target("127.0.0.1", 1, 0.0, random.Random(1), by_request)
    target.exit_s, target.exit_code = 7.5, 0
    return target


def make_request(**changes):
    """Return a request whose connection ends closed at the end of a stop."""
    fields = {"sent_s": 1.0, "last_byte_s": 1.0, "ended_s": 7.4, "end": "closed"}
    fields |= {"behaviour": "keep", "router": "127.0.0.1", "plan": stop_records.Plan()}
    return stop_records.Request("r-1", **fields | changes)


def find_promises(target, request):
    findings = stop_oracle.check_request(target, request)
    return [finding.violation.promise for finding in findings]


@pytest.mark.parametrize(
    ("attempts", "changes"),
    [
        ([QUEUED], {}),
        ([stop_records.Attempt("s0", 3.1, 3.1)], {"last_byte_s": 3.1}),
        ([], {}),
        ([], {"end": "TimeoutError"}),
        ([], {"end": "ConnectionResetError"}),
        ([RAN], {"ended_s": 5.0}),
        ([QUEUED], {"end": "ConnectionResetError"}),
        ([RAN], {"has_ended_sending": True, "ended_s": 5.0}),
    ],
)
def test_lost_answer_is_reported(attempts, changes):
    target, request = make_target(*attempts), make_request(**changes)
    assert stop_oracle.find_excuse(target, request) == ""
    assert find_promises(target, request) == [stop_oracle.CUT_OFF]


@pytest.mark.parametrize(
    ("attempts", "changes"),
    [
        ([RAN], {}),
        ([BROKE_OFF], {"ended_s": 3.0}),
        ([], {"last_byte_s": 7.3}),
        ([], {"last_byte_s": 7.3, "end": "ConnectionResetError"}),
        ([], {"last_byte_s": None}),
        ([QUEUED], {"left": True}),
        ([RAN], {"has_ended_sending": True, "kind": "stream", "ended_s": 3.0}),
        ([QUEUED], {"ended_s": -0.5}),
        ([QUEUED], {"sent_s": 7.6, "last_byte_s": 7.7, "ended_s": 8.0}),
        ([FINISHED_EARLY], {"end": ""}),
    ],
)
def test_excused(attempts, changes):
    target, request = make_target(*attempts), make_request(**changes)
    assert stop_oracle.find_excuse(target, request)
    assert find_promises(target, request) == []


def test_request_behind_an_answer_is_lost_unless_that_answer_has_an_excuse():
    first = make_request(sent_s=-1.0, last_byte_s=-1.0)
    second = make_request(before=first, sent_s=-0.5, last_byte_s=-0.5)
    second.request_id = "r-2"
    assert stop_oracle.find_excuse(make_target(RAN), second)
    assert find_promises(make_target(QUEUED), second) == [stop_oracle.CUT_OFF]
    first.is_whole = True
    assert find_promises(make_target(RAN), second) == [stop_oracle.CUT_OFF]


@pytest.mark.parametrize(
    ("first_s", "second_s", "end", "promises"),
    [
        (-1.0, 0.1, "closed", []),
        (-1.0, 0.3, "closed", [stop_oracle.CUT_OFF]),
        (-1.0, 0.3, "ConnectionResetError", []),
        (2.0, 2.1, "closed", []),
        (2.0, 2.3, "closed", [stop_oracle.CUT_OFF]),
    ],
)
def test_request_that_a_stopping_router_reads_behind_another_is_reported(
    first_s, second_s, end, promises
):
    first = make_request(sent_s=first_s, last_byte_s=first_s)
    second = make_request(before=first, sent_s=second_s, last_byte_s=second_s, end=end)
    second.request_id = "r-2"
    assert find_promises(make_target(RAN), second) == promises


@pytest.mark.parametrize("attempt", [FINISHED_EARLY, FINISHED_LATER])
def test_ready_answer_that_is_not_delivered_is_reported(attempt):
    findings = stop_oracle.check_request(make_target(attempt), make_request())
    assert [item.violation.promise for item in findings] == [stop_oracle.UNDELIVERED]
    assert stop_oracle.split(findings) == (findings, [])


def test_error_of_a_routers_own_is_reported():
    failed = make_request(status=500, is_whole=True, end="whole")
    assert find_promises(make_target(RAN), failed) == [stop_oracle.OWN_ERROR]


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_false_not_run_is_reported(status):
    refused = make_request(status=status, is_whole=True, end="whole")
    assert find_promises(make_target(RAN), refused) == ["not run is true"]
    assert find_promises(make_target(QUEUED), refused) == []


@pytest.mark.parametrize(
    ("reason", "ended_s", "promises"),
    [
        ("stopped_unanswered", 2.65, [stop_oracle.GIVEN_UP]),
        ("stopped_unanswered", 7.2, []),
        ("outcome_unknown", 2.65, []),
    ],
)
def test_request_that_a_stop_gives_up_long_before_its_end_is_reported(
    reason, ended_s, promises
):
    changes = {"status": 502, "is_whole": True, "end": "whole", "reason": reason}
    request = make_request(ended_s=ended_s, **changes)
    findings = stop_oracle.check_request(make_target(RAN), request)
    assert [finding.violation.promise for finding in findings] == promises
    assert not any(finding.lateness for finding in findings)


def test_second_execution_is_reported():
    answered = make_request(status=200, is_whole=True, end="whole")
    target = make_target(BROKE_OFF, FINISHED_EARLY)
    assert find_promises(target, answered) == ["at most once"]
    assert find_promises(make_target(QUEUED, FINISHED_EARLY), answered) == []
    stream = make_request(kind="stream", status=200, is_whole=True, end="whole")
    assert find_promises(target, stream) == []


def test_wrong_body_and_bytes_that_are_no_answer_are_reported():
    promise = "each caller gets its own whole answer"
    wrong = make_request(status=200, is_whole=True, is_correct=False, end="whole")
    assert find_promises(make_target(FINISHED_EARLY), wrong) == [promise]
    garbled = make_request(end=stop_clients.NO_ANSWER)
    assert promise in find_promises(make_target(FINISHED_EARLY), garbled)


@pytest.mark.parametrize(
    ("exit_code", "exit_s", "promise"),
    [
        (1, 7.5, "a planned stop ends clean"),
        (-9, 7.5, "a planned stop ends clean"),
        (0, 8.2, "a planned stop ends within the grace"),
    ],
)
def test_exit_code_and_late_exit_are_reported(exit_code, exit_s, promise):
    target = make_target()
    assert stop_oracle.find_violations([target]) == []
    target.exit_code, target.exit_s = exit_code, exit_s
    findings = stop_oracle.find_violations([target])
    assert [finding.violation.promise for finding in findings] == [promise]


def add_gaps(target, *spans, cause=stop_delays.RUN_DELAY):
    """Record spans in which a router was not scheduled."""
    target.gaps += [stop_delays.Gap(*span, cause) for span in spans]


def count_lost(target, request):
    """Return how many findings count, beside the evidence of the run."""
    counted, excused = stop_oracle.split(stop_oracle.check_request(target, request))
    assert len(counted) + len(excused) == 1
    return len(counted)


@pytest.mark.parametrize(
    ("attempts", "changes"),
    [
        ([QUEUED], {}),
        ([QUEUED], {"ended_s": 4.0}),
        ([], {"ended_s": 4.3}),
        ([], {"ended_s": 3.5}),
        ([], {"ended_s": 1.21}),
        ([FINISHED_EARLY], {"behaviour": "slow reader"}),
        ([FINISHED_LATER], {}),
    ],
)
def test_single_loss_without_evidence_counts(attempts, changes):
    assert count_lost(make_target(*attempts), make_request(**changes)) == 1


@pytest.mark.parametrize(
    ("attempts", "changes", "span", "count"),
    [
        ([], {"ended_s": 1.9}, (1.1, 1.85), 0),
        ([], {"ended_s": 1.9}, (1.1, 1.75), 1),
        ([], {"ended_s": 1.9}, (0.0, 1.65), 1),
        ([QUEUED], {}, (6.6, 7.3), 0),
        ([QUEUED], {}, (6.6, 7.1), 1),
        ([QUEUED], {}, (0.0, 6.6), 1),
        ([QUEUED], {"ended_s": 5.0}, (0.0, 9.0), 1),
        ([RAN], {"ended_s": 6.6}, (0.0, 9.0), 1),
        ([QUEUED], {"ended_s": 6.8}, (6.7, 6.79), 1),
        ([QUEUED], {"ended_s": 6.8}, (6.6, 6.8), 0),
        ([FINISHED_EARLY], {}, (4.1, 7.35), 0),
        ([FINISHED_EARLY], {}, (4.1, 7.2), 1),
        ([FINISHED_EARLY], {"behaviour": "slow reader"}, (4.1, 7.2), 1),
    ],
)
def test_loss_is_excused_only_by_all_the_delay_that_it_needs(
    attempts, changes, span, count
):
    target, request = make_target(*attempts), make_request(**changes)
    add_gaps(target, span)
    assert count_lost(target, request) == count


def test_answer_in_the_last_sixth_of_a_late_request_needs_a_delay_before_the_request():
    """Guards against requests taken on late that no answer can reach."""
    attempt = stop_records.Attempt("s0", 3.1, 3.1, 7.3)
    target, request = make_target(attempt), make_request(last_byte_s=3.1)
    add_gaps(target, (0.0, 0.09), (3.1, 9.0))
    assert count_lost(target, request) == 1
    add_gaps(target, (0.09, 0.11))
    assert count_lost(target, request) == 0


@pytest.mark.parametrize(
    "cause", [stop_delays.SOAK_LOOP_DELAY, stop_delays.SOAK_RUN_DELAY]
)
def test_delay_of_the_soak_itself_is_evidence_and_counts_once_beside_the_routers(cause):
    target, request = make_target(), make_request(ended_s=1.9)
    target.soak_gaps.append(stop_delays.Gap(1.0, 1.4, cause))
    add_gaps(target, (1.0, 1.4), cause=stop_delays.STOPPED)
    assert count_lost(target, request) == 1
    target.soak_gaps.append(stop_delays.Gap(1.5, 1.9, cause))
    assert count_lost(target, request) == 0


def test_excuse_names_its_figures():
    target = make_target()
    add_gaps(target, (1.1, 1.85))
    add_gaps(target, (1.2, 1.3), cause=stop_delays.STOPPED)
    [finding] = stop_oracle.check_request(target, make_request(ended_s=1.9))
    assert stop_oracle.find_evidence(finding) == (
        "not scheduled for 0.750 s from 1.000 to 1.900 s, 0.700 s needed: "
        "run delay 0.750 s, stopped by the soak 0.100 s"
    )


@pytest.mark.parametrize(
    ("exit_code", "exit_s", "span", "count"),
    [
        (0, 8.2, None, 1),
        (0, 8.2, (7.9, 8.15), 0),
        (0, 8.2, (7.9, 8.05), 1),
        (0, 8.2, (5.0, 7.5), 1),
        (0, 8.2, (0.1, 7.3), 1),
        (0, 8.2, (-0.4, 0.3), 0),
        (0, 8.2, (-0.4, 0.1), 1),
        (1, 7.5, (0.0, 9.0), 1),
        (-9, 7.5, (0.0, 9.0), 1),
        (-9, 38.0, None, 2),
        (-9, 38.0, (7.4, 37.0), 2),
        (-9, 38.0, (7.4, 37.6), 0),
        (1, 8.2, (7.9, 8.15), 1),
    ],
)
def test_late_exit_is_excused_only_by_a_delay_as_long(exit_code, exit_s, span, count):
    target = make_target()
    target.exit_code, target.exit_s = exit_code, exit_s
    add_gaps(target, *([span] if span else []))
    counted, _ = stop_oracle.split(stop_oracle.find_violations([target]))
    assert len(counted) == count


@pytest.mark.parametrize(
    ("span", "count"), [((7.5, 7.9), 1), ((7.9, 8.05), 1), ((8.05, 8.2), 0)]
)
def test_delay_of_the_soak_excuses_a_late_exit_only_where_it_saw_it_late(span, count):
    target = make_target()
    target.exit_s = 8.1
    target.soak_gaps.append(stop_delays.Gap(*span, stop_delays.SOAK_LOOP_DELAY))
    add_gaps(target, (7.4, 7.46))
    counted, _ = stop_oracle.split(stop_oracle.find_violations([target]))
    assert len(counted) == count


@pytest.mark.parametrize(("delay_s", "count"), [(0.0, 1), (0.05, 1), (0.15, 0)])
def test_grace_runs_from_the_moment_at_which_the_signal_was_sent(delay_s, count):
    target = make_target()
    target.exit_s, target.signal_delay_s = 8.1, delay_s
    assert len(stop_oracle.find_violations([target])) == count


@pytest.mark.parametrize(
    ("code", "span", "count"),
    [(-9, None, 1), (-9, (0.5, 7.6), 0), (-9, (0.5, 7.4), 1), (1, (0.0, 9.0), 1)],
)
def test_killed_replica_is_excused_only_by_a_delay_as_long(code, span, count):
    target = make_target()
    target.exit_code, target.exit_s = code, 8.0
    add_gaps(target, *([span] if span else []))
    counted, _ = stop_oracle.split([stop_oracle.check_replica_exit(target, code)])
    assert len(counted) == count


def test_broken_promises_beside_losses_have_no_excuse():
    target = make_target(BROKE_OFF, FINISHED_EARLY)
    add_gaps(target, (-9.0, 99.0))
    ended = {"is_whole": True, "end": "whole"}
    for changes in ({"status": 503}, {"status": 200, "is_correct": False}):
        request = make_request(**ended, **changes)
        findings = stop_oracle.check_request(target, request)
        assert len(findings) == 2
        assert stop_oracle.split(findings) == (findings, [])


def test_server_that_lost_its_request_before_the_last_sixth_was_not_at_work_in_it():
    attempt = stop_records.Attempt("s0", 1.0, 1.0, left_s=5.0)
    assert find_promises(make_target(attempt), make_request()) == [stop_oracle.CUT_OFF]
    attempt = stop_records.Attempt("s0", 1.0, 1.0, left_s=7.4)
    assert find_promises(make_target(attempt), make_request()) == []


def test_more_than_three_kept_connections_in_a_run_without_an_answer_are_reported():
    lost = make_request(is_kept=True)
    target = make_target(RAN)
    target.requests += [lost] * 3
    losses = stop_oracle.list_kept_losses([target])
    assert (len(losses), stop_oracle.check_kept(losses)) == (3, [])
    losses += stop_oracle.list_kept_losses([target])[:1]
    assert stop_oracle.check_kept(losses) == losses


@pytest.mark.parametrize(
    ("attempts", "changes", "is_counted"),
    [
        ([RAN], {}, True),
        ([RAN], {"ended_s": -0.5}, True),
        ([RAN], {"sent_s": 7.6}, True),
        ([RAN], {"is_kept": False}, False),
        ([], {}, False),
        ([BROKE_OFF], {}, False),
        ([RAN], {"status": 200}, False),
        ([RAN], {"left": True}, False),
        ([RAN], {"end": ""}, False),
    ],
)
def test_loss_on_a_kept_connection_counts_at_any_time(attempts, changes, is_counted):
    request = make_request(**{"is_kept": True} | changes)
    assert stop_oracle.is_kept_loss(make_target(*attempts), request) is is_counted


def test_loss_on_a_kept_connection_to_a_killed_successor_does_not_count():
    target = make_target(RAN)
    target.kills_successor = True
    assert not stop_oracle.is_kept_loss(target, make_request(is_kept=True, sent_s=7.6))
    assert stop_oracle.is_kept_loss(target, make_request(is_kept=True, sent_s=7.4))


@pytest.mark.parametrize(
    ("exit_code", "requests", "is_found"),
    [(-15, [], False), (-15, [make_request(left=True)], True), (1, [], True)],
)
def test_process_that_sigterm_ends_has_served_nobody(exit_code, requests, is_found):
    target = make_target()
    target.exit_code = exit_code
    target.requests += requests
    promises = [item.violation.promise for item in stop_oracle.check_exit(target)]
    assert promises == [stop_oracle.ENDS_CLEAN] * is_found
