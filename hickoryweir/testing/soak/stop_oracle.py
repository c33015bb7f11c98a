"""Checks promises around planned stops from what clients and servers recorded."""

import dataclasses
import http
import signal

from hickoryweir.forwarding import errors
from hickoryweir.testing import promises
from hickoryweir.testing.soak import stop_clients, stop_delays, stop_records

# Statuses with which a router promises that the request was not executed.
NOT_RUN_STATUSES = (408, 421, 429, 503)
LATE_WORK_S = stop_records.GRACE_S * 5 / 6
EXCUSED_SENT_S = 3.0
LOSS_SLACK_S = 0.2
# A replica that has a processor ends sooner than that.
REPLICA_STOP_S = 1.0
PLANNED_WORK_END_S = stop_records.GRACE_S + 1.0
ENDS_CLEAN = "a planned stop ends clean"
CUT_OFF = "a planned stop cuts nothing off"
OWN_ERROR = "a router answers no request with an error of its own"
GIVEN_UP = "a planned stop waits for servers until the last sixth of the grace"
UNDELIVERED = "a ready answer is delivered"
KEPT = "at most three requests on kept connections get no answer in a run"
KEPT_LOSSES_MAX = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Lateness:
    """The span in which a process had to do something; times relative to the signal.

    Attributes
    ----------
    allowed_s : float
        Within this time of being scheduled it would have to be done.
    is_exit : bool
        Whether the soak takes no part in it but for noticing its end.
    work_s : float
        After its start, an exit needs the process from this time on.
    """

    from_s: float
    to_s: float
    allowed_s: float
    is_exit: bool = False
    work_s: float = 0.0

    @property
    def needed_s(self) -> float:
        """Return for how long a process must not have been scheduled for an excuse."""
        span_s = self.to_s - self.from_s
        return span_s - self.allowed_s if span_s > self.allowed_s else span_s


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A violation, and the request that shows it if there is one.

    Attributes
    ----------
    lateness : Lateness or None
        What a process that is not scheduled could be late with; None if no delay is
        an excuse.
    """

    violation: promises.Violation
    target: stop_records.Target
    request: stop_records.Request | None = None
    lateness: Lateness | None = None


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
    findings, lateness = [], None
    end_s = stop_records.GRACE_S + target.signal_delay_s
    if target.exit_s is not None and target.exit_s > end_s:
        work_s = stop_records.CONNECTIONS_CLOSE_S + target.signal_delay_s
        lateness = Lateness(
            target.signal_delay_s, target.exit_s, stop_records.GRACE_S, True, work_s
        )
    if target.exit_code != 0 and not was_unused(target):
        detail = f"{target.host} ended with {target.exit_code}"
        violation = promises.Violation(ENDS_CLEAN, detail)
        excusable = lateness if was_killed(target) else None
        findings.append(Finding(violation, target, lateness=excusable))
    if target.exit_s is None or target.exit_s > end_s:
        detail = (
            f"{target.host} ended at {target.exit_s} s, "
            f"SIGTERM sent at {target.signal_delay_s:.3f} s"
        )
        violation = promises.Violation("a planned stop ends within the grace", detail)
        findings.append(Finding(violation, target, lateness=lateness))
    return findings


def check_replica_exit(target: stop_records.Target, code: int) -> Finding:
    """Return the violation of a replica that didn't end clean.

    The soak kills it some time after its signal.
    """
    violation = promises.Violation(ENDS_CLEAN, f"{target.host} ended with {code}")
    lateness = None
    if target.exit_s is not None and was_killed(target):
        lateness = Lateness(stop_records.SIGNAL_S, target.exit_s, REPLICA_STOP_S, True)
    return Finding(violation, target, lateness=lateness)


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
    if request.status == http.HTTPStatus.INTERNAL_SERVER_ERROR:
        broken.append(OWN_ERROR)
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
    return [Finding(violation, target, request, find_lateness(target, request))]


def find_lateness(
    target: stop_records.Target, request: stop_records.Request
) -> Lateness | None:
    """Return what a router that is not scheduled could be late with at a lost request.

    It is to read a request, to take no request that lasts longer than the grace, to
    deliver an answer that a server has completed, or to answer by itself in the last
    sixth of the grace.
    """
    attempts = target.attempts.get(request.request_id, [])
    if not attempts:
        return Lateness(request.last_byte_s, request.ended_s, LOSS_SLACK_S)
    if was_at_work_late(target, request):
        sent_s = request.last_byte_s
        return Lateness(stop_records.SIGNAL_S, sent_s, EXCUSED_SENT_S)
    from_s = LATE_WORK_S
    finished = [item.finished_s for item in attempts if item.finished_s is not None]
    if finished:
        from_s = min(finished) - target.signal_s
    if request.ended_s <= from_s:
        return None
    return Lateness(from_s, request.ended_s, LOSS_SLACK_S)


def find_evidence(finding: Finding) -> str:
    """Return the figures that excuse a finding, or an empty text.

    They show that the process, or the soak as its client and server, was not scheduled
    for as long as the violation needs.
    """
    lateness = finding.lateness
    if lateness is None or sum_delays_s(finding) < lateness.needed_s:
        return ""
    return describe_delays(finding)


def sum_delays_s(finding: Finding) -> float:
    """Return how long the processes were not scheduled in the span of a finding."""
    return stop_delays.sum_s(list_gaps(finding), *_find_span_s(finding))


def describe_delays(finding: Finding) -> str:
    """Return the figures on delays that are judged at a finding that has a span."""
    lateness = finding.lateness
    causes = stop_delays.describe(list_gaps(finding), *_find_span_s(finding))
    return (
        f"not scheduled for {sum_delays_s(finding):.3f} s from {lateness.from_s:.3f} "
        f"to {lateness.to_s:.3f} s, {lateness.needed_s:.3f} s needed: "
        f"{causes or 'no delay'}"
    )


def _find_span_s(finding: Finding) -> tuple[float, float]:
    signal_s, lateness = finding.target.signal_s, finding.lateness
    return signal_s + lateness.from_s, signal_s + lateness.to_s


def list_gaps(finding: Finding) -> list[stop_delays.Gap]:
    """Return the gaps that can have made a process late.

    At an exit the soak's own count only where it saw the exit.  A stopping router only
    waits between the signal and the end of open connections.
    """
    target, lateness = finding.target, finding.lateness
    if not lateness.is_exit:
        return target.gaps + target.soak_gaps
    from_s, exit_s = _find_span_s(finding)
    gaps = stop_delays.list_around(target.soak_gaps, exit_s)
    gaps += stop_delays.list_around(target.gaps, from_s)
    work_s = target.signal_s + lateness.work_s
    for gap in target.gaps:
        if gap.to_s > work_s:
            gaps.append(dataclasses.replace(gap, from_s=max(gap.from_s, work_s)))
    return gaps


def split(findings: list[Finding]) -> tuple[list[Finding], list[tuple[Finding, str]]]:
    """Return the findings that count, and those with evidence that excuses them."""
    judged = [(finding, find_evidence(finding)) for finding in findings]
    counted = [finding for finding, evidence in judged if not evidence]
    return counted, [(finding, evidence) for finding, evidence in judged if evidence]


def was_ready(target: stop_records.Target, request: stop_records.Request) -> bool:
    """Return whether a server completed the answer before the last sixth."""
    return any(
        attempt.finished_s is not None
        and attempt.finished_s - target.signal_s < LATE_WORK_S
        for attempt in target.attempts.get(request.request_id, [])
    )


def list_kept_losses(targets: list[stop_records.Target]) -> list[Finding]:
    """Return the requests on kept connections that count towards their limit."""
    return [
        Finding(promises.Violation(KEPT, describe(target, request)), target, request)
        for target in targets
        for request in target.requests
        if is_kept_loss(target, request)
    ]


def is_kept_loss(target: stop_records.Target, request: stop_records.Request) -> bool:
    """Return whether a router closed a kept connection on a request it passed on."""
    if target.kills_successor and is_to_successor(target, request):
        return False
    attempts = target.attempts.get(request.request_id, [])
    was_closed = bool(request.end) and not request.status and not has_left(request)
    is_sound = bool(attempts) and not any(attempt.broke_off for attempt in attempts)
    return request.is_kept and was_closed and is_sound


def check_kept(losses: list[Finding]) -> list[Finding]:
    """Return the losses of a run on kept connections if there are too many."""
    return losses if len(losses) > KEPT_LOSSES_MAX else []


def find_excuse(target: stop_records.Target, request: stop_records.Request) -> str:
    """Return why a request without a complete answer is not lost, or an empty text."""
    if has_left(request):
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
    is_early = request.last_byte_s <= EXCUSED_SENT_S
    if is_early and was_at_work_late(target, request):
        return "the server was at work in the last sixth of the grace"
    return ""


def has_left(request: stop_records.Request) -> bool:
    """Return whether a router may take a request's client for one that has left.

    A call that runs at most once is answered although its client has ended its sending
    side.
    """
    return request.left or (request.has_ended_sending and request.kind != "once")


def is_outside_stop(target: stop_records.Target, request: stop_records.Request) -> bool:
    """Return whether a request ended before the signal or came to the successor."""
    if is_to_successor(target, request):
        return True
    is_late = request.last_byte_s > PLANNED_WORK_END_S
    return is_late or request.ended_s < stop_records.SIGNAL_S


def is_to_successor(target: stop_records.Target, request: stop_records.Request) -> bool:
    """Return whether a request was sent after the exit of the stopped process."""
    return target.exit_s is not None and request.sent_s > target.exit_s


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


def was_at_work_late(
    target: stop_records.Target, request: stop_records.Request
) -> bool:
    """Return whether a server worked on a request in the last sixth of the grace."""
    attempts = target.attempts.get(request.request_id, [])
    return request.ended_s >= LATE_WORK_S and any(
        _is_attempt_late(target, attempt) for attempt in attempts
    )


def _is_attempt_late(target, attempt: stop_records.Attempt) -> bool:
    if attempt.run_s is None:
        return False
    ended_s = attempt.left_s if attempt.finished_s is None else attempt.finished_s
    return ended_s is None or ended_s - target.signal_s >= LATE_WORK_S


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
