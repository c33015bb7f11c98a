"""The holder's task that decides windows of usage and reports them.

The counts of a window are decided in the replicated log before the first report, so
that a later holder repeats the same counts.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from returns import result

from hickoryweir import clocks
from hickoryweir.duties import (
    calls,
    duty_metrics,
    holder,
    machine,
    permission,
    true_time,
    usage_plan,
    usage_sums,
)
from hickoryweir.feeds import messages
from hickoryweir.observability import logs

INTERVAL_S = 0.1
DECISION_TIMEOUT_S = 1.0
# The rate limit applies as well.
RETRY_AFTER_S = 0.25


@dataclasses.dataclass(slots=True)
class Reporter:
    """State of usage reporting on one replica.

    Attributes
    ----------
    clock : true_time.State
        Clocks of all processes heard.
    sums : usage_sums.State
        The routers' counts.
    has_table : callable
        Returns whether the replica has applied a table.
    first_window : int or None
        The first window to report; None before the first table.
    listens_since_s : float
        When the replica began to listen to routers.
    accepted : set of int
        Windows whose reports were accepted, and which the log does not know yet.
    given_up : set of int
        Decided windows that are too old to be reported, and have a log line already.
    """

    settings: usage_plan.Settings
    duty_holder: holder.Holder
    caller: calls.Caller
    metrics: duty_metrics.DutyMetrics
    has_table: Callable[[], bool]
    listens_since_s: float
    clock: true_time.State = dataclasses.field(default_factory=true_time.State)
    sums: usage_sums.State = dataclasses.field(default_factory=usage_sums.State)
    first_window: int | None = None
    accepted: set[int] = dataclasses.field(default_factory=set)
    given_up: set[int] = dataclasses.field(default_factory=set)


def true_s(reporter: Reporter, now_s: float) -> float | None:
    """Return the true time, or None if no clock was read yet."""
    offset_s = true_time.offset_s(reporter.clock, now_s)
    return None if offset_s is None else now_s + offset_s


async def decide(reporter: Reporter, read_wall_s: Callable[[], float]) -> None:
    """Decide windows while this replica is the holder, until cancelled.

    Parameters
    ----------
    reporter : Reporter
        State of usage reporting.
    read_wall_s : callable
        Returns the time of day of this process.
    """
    while True:
        now_s = clocks.boottime_s()
        true_time.record_progress(reporter.clock, now_s)
        true_time.add_sample(reporter.clock, "", read_wall_s(), now_s)
        time_s = true_s(reporter, now_s)
        if time_s is None:
            await asyncio.sleep(INTERVAL_S)
            continue
        _find_first_window(reporter, time_s)
        oldest = usage_plan.oldest_window(reporter.settings, time_s)
        usage_sums.remove_before(reporter.sums, oldest)
        if reporter.first_window is not None:
            await _decide_due(reporter, time_s)
        await asyncio.sleep(INTERVAL_S)


async def report(reporter: Reporter) -> None:
    """Report decided windows while this replica is the holder, until cancelled."""
    while True:
        time_s = true_s(reporter, clocks.boottime_s())
        if time_s is not None:
            await _report_next(reporter, time_s)
        await asyncio.sleep(INTERVAL_S)


def _find_first_window(reporter: Reporter, time_s: float) -> None:
    """Begin with the window of the first table, or with the first one with counts."""
    if reporter.first_window is None and reporter.has_table():
        reporter.first_window = usage_plan.window_at(reporter.settings, time_s)
    counted = usage_sums.first_window(reporter.sums)
    logged = holder.logged_state(reporter.duty_holder).windows
    known = [number for number in (counted, min(logged, default=None)) if number]
    if reporter.first_window is not None and known:
        reporter.first_window = min(reporter.first_window, *known)


async def _decide_due(reporter: Reporter, time_s: float) -> None:
    settings, now_s = reporter.settings, clocks.boottime_s()
    logged = holder.logged_state(reporter.duty_holder)
    for number in usage_plan.open_windows(settings, time_s, reporter.first_window):
        token = permission.current_token(reporter.duty_holder.state, now_s)
        if token is None:
            return
        if number in logged.windows or number < logged.forgotten_before:
            continue
        # The log may have decided it while an older build ran on this replica.
        if usage_plan.end_s(settings, number) <= logged.began_at_s:
            continue
        waited_for_count = usage_sums.waits_for(reporter.sums, number, now_s)
        listened_s = now_s - reporter.listens_since_s
        if usage_plan.must_decide(
            settings, number, time_s, waited_for_count, listened_s
        ):
            await _decide(reporter, number, token, waited_for_count, time_s)


async def _decide(
    reporter: Reporter,
    number: int,
    token: int,
    waited_for_count: int,
    time_s: float,
) -> None:
    """Have the log decide a window; the log keeps an earlier decision."""
    window = messages.WindowCounts(number, usage_sums.sum_window(reporter.sums, number))
    accepted = tuple(sorted(reporter.accepted))
    command = machine.DecideUsage(token, window, accepted)
    outcome = await reporter.duty_holder.log.propose(command, DECISION_TIMEOUT_S)
    verdict = outcome.value_or(None)
    detail = _describe_window(reporter, window, waited_for_count, time_s)
    if isinstance(verdict, machine.UsageVerdict) and verdict.newest_token == token:
        reporter.accepted.difference_update(accepted)
        reporter.metrics.last_window.set(number)
        fields = logs.Fields(version=token, detail=detail)
        logs.info("window of usage decided", fields)
        return
    if isinstance(outcome, result.Failure):
        reason = outcome.failure().reason.value
    elif isinstance(verdict, machine.UsageVerdict):
        reason = f"the newest token is {verdict.newest_token}"
        holder.give_up(reporter.duty_holder, token, reason)
    else:
        reason = str(verdict)
    fields = logs.Fields(version=token, reason=reason, detail=detail)
    logs.warning("window of usage not decided", fields)


def _describe_window(
    reporter: Reporter,
    window: messages.WindowCounts,
    waited_for_count: int,
    time_s: float,
) -> str:
    after_s = time_s - usage_plan.end_s(reporter.settings, window.window_number)
    total_count = sum(account.requests_count for account in window.accounts)
    return (
        f"window {window.window_number}, {after_s:.2f} s after its end, "
        f"{total_count} requests of {len(window.accounts)} accounts "
        f"at {len(reporter.sums.processes)} routers, "
        f"{waited_for_count} of them incomplete, "
        f"{len(reporter.clock.samples)} clocks"
    )


async def _report_next(reporter: Reporter, time_s: float) -> None:
    """Report the most urgent decided window that was not accepted yet."""
    settings = reporter.settings
    logged = holder.logged_state(reporter.duty_holder)
    reporter.accepted.intersection_update(logged.windows)
    done = reporter.accepted | logged.accepted
    oldest = usage_plan.oldest_window(settings, time_s)
    _count_given_up(reporter, [n for n in logged.windows if n < oldest], done)
    numbers = [n for n in logged.windows if n >= oldest and n not in done]
    permitted = permission.permission_at(
        reporter.duty_holder.state, clocks.boottime_s()
    )
    if not numbers or permitted is None:
        return
    number = usage_plan.order_reports(settings, numbers, time_s)[0]
    window = logged.windows[number]
    counts = tuple(
        (account.account_name, account.requests_count) for account in window.accounts
    )
    outcome = await reporter.caller.send(calls.UsageReport(number, counts))
    if outcome is not calls.Outcome.ACCEPTED:
        await asyncio.sleep(RETRY_AFTER_S)
        return
    _record_accepted(reporter, number)


def _record_accepted(reporter: Reporter, number: int) -> None:
    reporter.accepted.add(number)
    accepted_s = true_s(reporter, clocks.boottime_s())
    if accepted_s is None:
        # The clock was lost during the call, after a suspension for instance.
        reporter.metrics.reports.labels("unknown").inc()
        fields = logs.Fields(reason="unknown_time", detail=f"window {number}")
        logs.warning("window of usage reported", fields)
        return
    after_s = accepted_s - usage_plan.end_s(reporter.settings, number)
    kind = "on_time" if after_s <= reporter.settings.due_s else "late"
    reporter.metrics.reports.labels(kind).inc()
    detail = f"window {number}, {after_s:.2f} s after its end"
    write = logs.info if kind == "on_time" else logs.warning
    write("window of usage reported", logs.Fields(reason=kind, detail=detail))


def _count_given_up(reporter: Reporter, numbers: list[int], done: set[int]) -> None:
    """Count and log, once, the decided windows that are too old to be reported."""
    now_s = clocks.boottime_s()
    if permission.current_token(reporter.duty_holder.state, now_s) is None:
        return
    for number in set(numbers) - done - reporter.given_up:
        reporter.metrics.reports.labels("given_up").inc()
        logs.warning("window of usage given up", logs.Fields(detail=f"window {number}"))
    reporter.given_up = set(numbers)
