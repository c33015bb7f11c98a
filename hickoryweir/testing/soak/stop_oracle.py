"""Checks promises around planned stops from what clients and servers recorded."""

import dataclasses
import signal

from hickoryweir.forwarding import errors
from hickoryweir.testing import promises
from hickoryweir.testing.soak import stop_clients, stop_records

# Statuses with which a router promises that the request was not executed.
NOT_RUN_STATUSES = (408, 421, 429, 503)
LATE_WORK_S = stop_records.GRACE_S * 5 / 6
EXCUSED_SENT_S = 3.0
LOSS_SLACK_S = 0.2
PLANNED_WORK_END_S = stop_records.GRACE_S + 1.0
# Answers that a server completed so long before the end are lost by no delay of a
# loaded computer.
READY_MARGIN_S = 3.0
READY_S = stop_records.CONNECTIONS_CLOSE_S - READY_MARGIN_S
SLOW_READERS = ("slow reader", "few bytes")
ENDS_CLEAN = "a planned stop ends clean"
CUT_OFF = "a planned stop cuts nothing off"
GIVEN_UP = "a planned stop waits for servers until the last sixth of the grace"
UNDELIVERED = "a ready answer is delivered"
# Broken by a delay at single stops, but by no delay at most of them.
COUNTED_PROMISES = (ENDS_CLEAN, CUT_OFF, UNDELIVERED)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A violation, and the request that shows it if there is one.

    Attributes
    ----------
    is_timed : bool
        Whether a delay of a loaded computer could have caused it.
    """

    violation: promises.Violation
    target: stop_records.Target
    request: stop_records.Request | None = None
    is_timed: bool = False


def find_violations(targets: list[stop_records.Target]) -> list[Finding]:
    """Return the violations of all stops of a round."""
    findings = []
    for target in targets:
        findings += check_exit(target)
        for request in target.requests:
            findings += check_request(target, request)
    return findings


def check_exit(target: stop_records.Target) -> list[Finding]:
    """Check that a process ended by itself, clean and within the grace."""
    findings = []
    if target.exit_code != 0 and not was_unused(target):
        detail = f"{target.host} ended with {target.exit_code}"
        violation = promises.Violation(ENDS_CLEAN, detail)
        findings.append(Finding(violation, target, is_timed=was_killed(target)))
    if target.exit_s is None or target.exit_s > stop_records.GRACE_S:
        detail = f"{target.host} ended at {target.exit_s} s"
        violation = promises.Violation("a planned stop ends within the grace", detail)
        findings.append(Finding(violation, target, is_timed=True))
    return findings


def was_unused(target: stop_records.Target) -> bool:
    """Return whether SIGTERM ended a process before it had a handler or a port."""
    return target.exit_code == -signal.SIGTERM and not target.requests


def was_killed(target: stop_records.Target) -> bool:
    """Return whether the soak killed a process that took too long to end."""
    return target.exit_code == -signal.SIGKILL


def check_request(
    target: stop_records.Target, request: stop_records.Request
) -> list[Finding]:
    """Check the answer to one request and its executions."""
    attempts = target.attempts.get(request.request_id, [])
    runs_count = sum(attempt.run_s is not None for attempt in attempts)
    broken = []
    if request.kind == "once" and runs_count > 1:
        broken.append("at most once")
    if request.status in NOT_RUN_STATUSES and runs_count:
        broken.append("not run is true")
    if was_given_up_early(request):
        broken.append(GIVEN_UP)
    if request.end == stop_clients.NO_ANSWER or not request.is_correct:
        broken.append("each caller gets its own whole answer")
    detail = describe(target, request)
    findings = [
        Finding(promises.Violation(promise, detail), target, request)
        for promise in broken
    ]
    return findings + check_loss(target, request)


def was_given_up_early(request: stop_records.Request) -> bool:
    """Return whether a stopping router gave a request up long before its end.

    No request of the soak reaches its deadline within the grace.
    """
    is_given_up = request.reason == errors.Reason.STOPPED_UNANSWERED
    return is_given_up and request.ended_s < LATE_WORK_S


def check_loss(
    target: stop_records.Target, request: stop_records.Request
) -> list[Finding]:
    """Check that a request without a complete answer has an excuse."""
    if request.is_whole or find_excuse(target, request):
        return []
    promise = UNDELIVERED if was_ready(target, request) else CUT_OFF
    violation = promises.Violation(promise, describe(target, request))
    return [Finding(violation, target, request, is_timed(target, request))]


def is_timed(target: stop_records.Target, request: stop_records.Request) -> bool:
    """Return whether a delay of a loaded computer could have lost a request."""
    if was_ready(target, request):
        return request.behaviour in SLOW_READERS
    if request.ended_s > READY_S:
        return True
    # A connection that ends long before the others was not in need of time.
    is_passed_on = request.request_id in target.attempts
    waited_s = request.ended_s - request.last_byte_s
    return not is_passed_on and waited_s <= READY_MARGIN_S


def was_ready(target: stop_records.Target, request: stop_records.Request) -> bool:
    """Return whether a server completed the answer well before the end of the stop."""
    return any(
        attempt.finished_s is not None
        and attempt.finished_s - target.signal_s <= READY_S
        for attempt in target.attempts.get(request.request_id, [])
    )


def find_excuse(target: stop_records.Target, request: stop_records.Request) -> str:
    """Return why a request without a complete answer is not lost, or an empty text."""
    if request.left:
        return "the client left"
    if request.last_byte_s is None:
        return "not sent completely"
    if not request.end:
        return "the client was still reading"
    if is_outside_stop(target, request):
        return "outside the planned stop"
    attempts = target.attempts.get(request.request_id, [])
    if not attempts:
        return _excuse_not_passed_on(target, request)
    if any(attempt.broke_off for attempt in attempts):
        return "the server broke off"
    was_at_work = request.ended_s >= LATE_WORK_S and any(
        _was_at_work_late(target, attempt) for attempt in attempts
    )
    if was_at_work and request.last_byte_s <= EXCUSED_SENT_S:
        return "the server was at work in the last sixth of the grace"
    return ""


def is_outside_stop(target: stop_records.Target, request: stop_records.Request) -> bool:
    """Return whether a request ended before the signal or came to the successor."""
    if target.exit_s is not None and request.sent_s > target.exit_s:
        return True
    is_late = request.last_byte_s > PLANNED_WORK_END_S
    return is_late or request.ended_s < stop_records.SIGNAL_S


def _excuse_not_passed_on(target, request: stop_records.Request) -> str:
    before = request.before
    if was_read_ahead(request) and not before.is_whole and find_excuse(target, before):
        # HTTP/1.1 has no place for an answer behind one that has no end.
        return "behind an answer that has an excuse"
    is_reset = request.end in ("ConnectionResetError", "BrokenPipeError")
    if is_reset and before is not None and not before.is_whole:
        # A stopping router leaves it in the kernel until the one before it has ended.
        return (
            "not read: reset with unread bytes" if find_excuse(target, before) else ""
        )
    if request.ended_s - request.last_byte_s <= LOSS_SLACK_S:
        return "not passed on and within the slack"
    return ""


def was_read_ahead(request: stop_records.Request) -> bool:
    """Return whether a request may have been read while another one was served.

    A stopping router reads no further once the request before has been received.
    """
    if request.before is None or request.before.last_byte_s is None:
        return False
    held_from_s = max(stop_records.SIGNAL_S, request.before.last_byte_s)
    return request.last_byte_s <= held_from_s + LOSS_SLACK_S


def _was_at_work_late(target, attempt: stop_records.Attempt) -> bool:
    if attempt.run_s is None:
        return False
    if attempt.finished_s is None:
        return True
    return attempt.finished_s - target.signal_s >= LATE_WORK_S


def describe(target: stop_records.Target, request: stop_records.Request) -> str:
    """Return one line on a request."""
    sent_s = f"{request.sent_s:.3f}"
    if request.last_byte_s is not None:
        sent_s += f" to {request.last_byte_s:.3f}"
    attempts_count = len(target.attempts.get(request.request_id, []))
    end = request.end or "open"
    return (
        f"{request.request_id}, {request.kind}, {request.behaviour}: sent {sent_s}, "
        f"passed on {attempts_count} times, status {request.status or 'none'}, "
        f"{request.received_bytes} bytes, {end} at {request.ended_s:.3f}"
    )


def untimed(findings: list[Finding], stops_count: int) -> list[Finding]:
    """Return the findings that no delay of a loaded computer can have caused.

    Requests that a stop cut off at its last moment, and processes that were killed,
    count if more than half of the stops show some: a delay of that moment at most stops
    is no accident.
    """
    kept = [finding for finding in findings if not finding.is_timed]
    delayed = [
        finding
        for finding in findings
        if finding.is_timed and finding.violation.promise in COUNTED_PROMISES
    ]
    if 2 * len({id(finding.target) for finding in delayed}) > stops_count:
        kept += delayed
    return kept
