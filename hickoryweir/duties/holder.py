"""The task that claims duties while this process's replica leads the replicated log."""

import asyncio
import dataclasses
import uuid
from collections.abc import Callable

from returns import result

from hickoryweir import clocks
from hickoryweir.duties import calls, duty_metrics, machine, permission
from hickoryweir.observability import logs
from hickoryweir.replicas import client, leader_lease, node

OBSERVATION_INTERVAL_S = 0.05
CLAIM_TIMEOUT_S = 1.0
# While the infrastructure is silent, each call ends in a new claim.
CLAIM_INTERVAL_S = 0.25


@dataclasses.dataclass(slots=True)
class Holder:
    """The holder's state on one replica, and what it is derived from.

    Attributes
    ----------
    state : permission.State
        What this replica knows of its permission to make calls.
    get_node : callable
        Returns the replica's node, which is replaced after a disk failure.
    last_reason : str
        Why the next claim is made, for its log line.
    logged_holder : machine.Holder or None
        The newest holder in the log for which a log line was written.
    read_true_s : callable
        Returns the true time as far as known; None if no clock was read yet.
    """

    state: permission.State
    get_node: Callable[[], node.Node]
    log: client.Client
    metrics: duty_metrics.DutyMetrics
    last_reason: str = "elected"
    logged_holder: machine.Holder | None = None
    read_true_s: Callable[[], float | None] = lambda: None


def make_holder(
    name: str,
    rules: permission.Rules,
    get_node: Callable[[], node.Node],
    log: client.Client,
    metrics: duty_metrics.DutyMetrics,
) -> Holder:
    """Return the state of a replica that has claimed nothing."""
    return Holder(permission.State(name, rules), get_node, log, metrics)


def make_holding(holder: Holder) -> calls.Holding:
    """Return the functions by which a caller uses this replica's token."""
    return calls.Holding(
        permission=lambda: permission.permission_at(holder.state, clocks.boottime_s()),
        give_up=lambda token, reason: give_up(holder, token, reason),
    )


def give_up(holder: Holder, token: int, reason: str) -> None:
    """End the use of a token; the task then claims a new one."""
    permission.give_up(holder.state, token)
    holder.last_reason = reason
    logs.info("duty token given up", logs.Fields(version=token, reason=reason))


def logged_state(holder: Holder) -> machine.State:
    """Return the submachine's state on this replica."""
    return holder.get_node().machine.states[machine.NAME]


async def run(holder: Holder) -> None:
    """Observe the replica, and claim whenever there is reason to, until cancelled."""
    claim_task: asyncio.Task | None = None
    try:
        while True:
            observe(holder)
            is_idle = claim_task is None or claim_task.done()
            leadership = permission.needs_claim(holder.state, clocks.boottime_s())
            if is_idle and leadership is not None:
                claim_task = asyncio.create_task(_claim(holder, leadership))
            await asyncio.sleep(OBSERVATION_INTERVAL_S)
    finally:
        if claim_task is not None:
            claim_task.cancel()
            await asyncio.gather(claim_task, return_exceptions=True)


def observe(holder: Holder) -> None:
    """Update the state from the replica's node."""
    current = holder.get_node()
    if current.state is None:
        holder.state.lease = leader_lease.NO_LEASE
        holder.state.claim = None
        return
    now_s = clocks.boottime_s()
    logged = logged_state(holder)
    observation = leader_lease.make_observation(current.state, now_s)
    permission.observe(holder.state, observation, logged.holders, logged.token)
    may_call = permission.permission_at(holder.state, now_s) is not None
    holder.metrics.is_holder.set(int(may_call))
    holder.metrics.token.set(logged.token)
    newest = logged.holders[-1] if logged.holders else None
    if newest != holder.logged_holder:
        holder.logged_holder = newest
        fields = logs.Fields(
            peer=newest.name if newest else None, version=newest and newest.token
        )
        logs.info("holder of duties changed", fields)


async def _claim(holder: Holder, leadership: leader_lease.Leadership) -> None:
    """Claim until there is a verdict, or until the leadership has ended."""
    true_s = holder.read_true_s() or 0.0
    command = machine.ClaimDuties(holder.state.name, uuid.uuid4().hex, true_s)
    while permission.needs_claim(holder.state, clocks.boottime_s()) == leadership:
        started_s = clocks.boottime_s()
        outcome = await holder.log.propose(command, CLAIM_TIMEOUT_S)
        now_s = clocks.boottime_s()
        kind, reason = _record_outcome(holder, outcome, leadership, now_s)
        holder.metrics.claims.labels(kind).inc()
        verdict = outcome.value_or(None)
        _log_claim(holder, leadership, verdict, kind, reason, now_s - started_s)
        if kind != "failed":
            holder.last_reason = "elected"
        await asyncio.sleep(CLAIM_INTERVAL_S)
        if kind != "failed":
            return


def _record_outcome(
    holder: Holder,
    outcome: result.Result[object, client.Unavailable],
    leadership: leader_lease.Leadership,
    now_s: float,
) -> tuple[str, str]:
    """Record the outcome of a proposed claim; return its kind and reason."""
    verdict = outcome.value_or(None)
    if isinstance(outcome, result.Failure):
        return "failed", outcome.failure().reason.value
    if not isinstance(verdict, machine.ClaimVerdict):
        return "failed", str(verdict)
    if permission.record_claim(holder.state, verdict, leadership, now_s):
        return "granted", holder.last_reason
    return "unused", "leadership has ended, or there is a newer claim"


def _log_claim(
    holder: Holder,
    leadership: leader_lease.Leadership,
    verdict: machine.ClaimVerdict | object | None,
    kind: str,
    reason: str,
    duration_s: float,
) -> None:
    now_s = clocks.boottime_s()
    token, names = None, "unknown"
    if isinstance(verdict, machine.ClaimVerdict):
        token = verdict.token
        names = " ".join(f"{item.name}:{item.token}" for item in verdict.holders[-3:])
    claim = holder.state.claim
    wait_s = max(0.0, claim.allowed_from_s - now_s) if claim is not None else 0.0
    lease_age_s = now_s - holder.state.lease.confirmed_at_s
    fields = logs.Fields(
        reason=reason,
        version=token,
        duration_s=round(duration_s, 4),
        detail=f"term {leadership.term}, leads for "
        f"{now_s - leadership.elected_at_s:.2f} s, lease confirmed {lease_age_s:.2f} s "
        f"ago, holders {names}, calls in {wait_s:.2f} s",
    )
    write = logs.info if kind == "granted" else logs.warning
    write(f"claim of duties {kind}", fields)
