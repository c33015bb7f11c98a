"""The oracle of planned stops reports each planted fault, and no excused request."""

import random

import pytest

from hickoryweir.testing.soak import stop_clients, stop_oracle, stop_records

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
        ([FINISHED_LATER], {}),
        ([stop_records.Attempt("s0", 3.1, 3.1)], {"last_byte_s": 3.1}),
        ([], {}),
        ([], {"end": "TimeoutError"}),
        ([], {"end": "ConnectionResetError"}),
        ([RAN], {"ended_s": 5.0}),
        ([QUEUED], {"end": "ConnectionResetError"}),
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


def test_ready_answer_that_is_not_delivered_is_reported():
    findings = stop_oracle.check_request(make_target(FINISHED_EARLY), make_request())
    assert [item.violation.promise for item in findings] == [stop_oracle.UNDELIVERED]
    assert not findings[0].is_timed


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
    assert not any(finding.is_timed for finding in findings)


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


def test_untimed_verdict_counts_requests_cut_off_at_most_stops():
    def cut_off(count):
        return [
            finding
            for _ in range(count)
            for finding in stop_oracle.check_request(
                make_target(QUEUED), make_request()
            )
        ]

    assert stop_oracle.untimed(cut_off(3), 6) == []
    assert len(stop_oracle.untimed(cut_off(4), 6)) == 4


def test_untimed_verdict_keeps_what_no_delay_can_cause():
    target = make_target(FINISHED_EARLY)
    target.exit_s, target.exit_code = 9.0, 1
    target.requests.append(make_request())
    findings = stop_oracle.untimed(stop_oracle.find_violations([target]), 6)
    assert [finding.violation.promise for finding in findings] == [
        "a planned stop ends clean",
        stop_oracle.UNDELIVERED,
    ]


@pytest.mark.parametrize(
    ("attempts", "changes", "count"),
    [
        ([QUEUED], {"ended_s": 4.0}, 1),
        ([QUEUED], {"ended_s": 7.4}, 0),
        ([], {"ended_s": 4.3}, 1),
        ([], {"ended_s": 3.5}, 0),
        ([FINISHED_EARLY], {"behaviour": "slow reader"}, 0),
    ],
)
def test_untimed_verdict_keeps_connections_that_end_long_before_the_stop(
    attempts, changes, count
):
    target, request = make_target(*attempts), make_request(**changes)
    findings = stop_oracle.check_request(target, request)
    assert len(findings) == 1
    assert len(stop_oracle.untimed(findings, 6)) == count


def test_untimed_verdict_counts_processes_killed_at_most_stops():
    def kill(count):
        targets = [make_target() for _ in range(count)]
        for target in targets:
            target.exit_code = -9
        return stop_oracle.find_violations(targets)

    assert stop_oracle.untimed(kill(3), 6) == []
    assert len(stop_oracle.untimed(kill(4), 6)) == 4


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
