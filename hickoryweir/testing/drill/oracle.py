"""Checks the promises against what callers, backend servers and operators observed."""

import collections

from hickoryweir.outcomes import refusals
from hickoryweir.testing import promises
from hickoryweir.testing.drill import cluster as clusters
from hickoryweir.testing.drill import faults, workload

CONNECTION_TOLERANCE_S = 3.0
DEADLINE_TOLERANCE_S = 3.0


def find_violations(
    cluster: clusters.Cluster,
    context: faults.FaultContext,
    observations: workload.Observations,
    executions: dict[str, int],
) -> list[promises.Violation]:
    """Return every violation of a promise.

    Parameters
    ----------
    cluster : clusters.Cluster
        Observed configuration versions and exit codes.
    context : faults.FaultContext
        Intervals with expected connection errors, and violations already detected.
    observations : workload.Observations
        Observations of callers and operators.
    executions : dict
        Number of executions by idempotency key, counted by the plain services.

    Returns
    -------
    list of Violation
        Empty if no promise was broken.
    """
    violations = [
        promises.Violation(promise, detail) for promise, detail in context.violations
    ]
    violations += find_repeated_executions(executions)
    for history in observations.histories:
        violations += check_history(history, executions)
    violations += find_lost_connections(context, observations)
    violations += find_late_replies(context, observations)
    violations += find_version_reverts(cluster)
    violations += find_outdated_vms(cluster, observations)
    violations += [
        promises.Violation("a planned stop is graceful", f"exit code {code}")
        for code in cluster.exit_codes
        if code != 0
    ]
    return violations


def find_repeated_executions(executions: dict[str, int]) -> list[promises.Violation]:
    """Return a violation for each key that was executed more than once."""
    return [
        promises.Violation(
            "non-idempotent work runs at most once", f"{key} ran {count} times"
        )
        for key, count in executions.items()
        if count > 1
    ]


def check_history(
    history: workload.History, executions: dict[str, int]
) -> list[promises.Violation]:
    """Return the violations of one call."""
    violations = []
    plan = history.plan
    replies = [
        exchange.reply for exchange in history.exchanges if exchange.reply is not None
    ]
    violations += [
        promises.Violation("each caller gets its own whole answer", plan.request_id)
        for reply in replies
        if reply.answered and not reply.is_correct
    ]
    if not plan.key:
        return violations
    count = executions.get(plan.key, 0)
    if history.answered and count != 1:
        violations.append(
            promises.Violation("an answer means that it ran", f"{plan.key}: {count}")
        )
    all_not_run = len(replies) == len(history.exchanges) and all(
        reply.ran == refusals.Ran.NO for reply in replies
    )
    if replies and all_not_run and count:
        violations.append(
            promises.Violation("'not run' is true", f"{plan.key} ran {count} times")
        )
    if any(reply.reason == refusals.Reason.SHED for reply in replies):
        violations.append(
            promises.Violation("a top-up or booking is never shed", plan.request_id)
        )
    return violations


def find_lost_connections(
    context: faults.FaultContext, observations: workload.Observations
) -> list[promises.Violation]:
    """Return the lost connections that no fault explains."""
    violations = []
    for history in observations.histories:
        for exchange in history.exchanges:
            lost = exchange.failure not in ("", workload.CALLER_TIMED_OUT)
            if lost and not is_expected(context, exchange):
                detail = (
                    f"{history.plan.request_id}: {exchange.failure} at {exchange.url}"
                )
                violations.append(promises.Violation("no request is cut off", detail))
    return violations


def find_late_replies(
    context: faults.FaultContext, observations: workload.Observations
) -> list[promises.Violation]:
    """Return the exchanges that ended too long after their class's deadline."""
    violations = []
    for history in observations.histories:
        deadline_s = history.plan.request_class.deadline_s
        for exchange in history.exchanges:
            took_s = exchange.ended_at_s - exchange.sent_at_s
            late = took_s > deadline_s + DEADLINE_TOLERANCE_S
            if late and not is_expected(context, exchange):
                detail = f"{history.plan.request_id}: {took_s:.1f} s at {exchange.url}"
                violations.append(
                    promises.Violation("a final answer by the deadline", detail)
                )
    return violations


def is_expected(context: faults.FaultContext, exchange: workload.Exchange) -> bool:
    """Return whether a fault explains a lost connection or a late reply."""
    return any(
        window.url == exchange.url
        and window.since_s - CONNECTION_TOLERANCE_S <= exchange.ended_at_s
        and exchange.sent_at_s <= window.until_s + CONNECTION_TOLERANCE_S
        for window in context.windows
    )


def find_version_reverts(cluster: clusters.Cluster) -> list[promises.Violation]:
    """Return the entry VMs whose configuration version decreased."""
    return [
        promises.Violation(
            "an accepted configuration never reverts", f"{name}: {versions}"
        )
        for name, versions in cluster.versions.items()
        if versions != sorted(versions)
    ]


def find_outdated_vms(
    cluster: clusters.Cluster, observations: workload.Observations
) -> list[promises.Violation]:
    """Return the entry VMs whose last version is older than the newest accepted."""
    newest = max(observations.accepted, default=0)
    return [
        promises.Violation(
            "an accepted configuration is in force", f"{name}: {versions[-1:]}"
        )
        for name, versions in cluster.versions.items()
        if not versions or versions[-1] < newest
    ]


def summarize(observations: workload.Observations) -> dict[str, collections.Counter]:
    """Return the number of calls by class and outcome."""
    counts: dict[str, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    for history in observations.histories:
        name = history.plan.request_class.name
        last = history.exchanges[-1] if history.exchanges else None
        if history.answered:
            counts[name]["answered"] += 1
        elif last is None:
            counts[name]["never sent"] += 1
        else:
            counts[name][last.reply.reason if last.reply else last.failure] += 1
    return counts


def longest_waits_s(observations: workload.Observations) -> dict[str, float]:
    """Return by class the longest time from a call's first send to its last reply."""
    waits: dict[str, float] = collections.defaultdict(float)
    for history in observations.histories:
        if history.exchanges:
            name = history.plan.request_class.name
            waited_s = history.exchanges[-1].ended_at_s - history.exchanges[0].sent_at_s
            waits[name] = max(waits[name], waited_s)
    return waits
