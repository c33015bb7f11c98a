"""Callers and routers of a simulated run, and the effects of policy actions."""

import dataclasses
import random

from hickoryweir.load import arrivals, deployments, scenarios, simulated_engines
from hickoryweir.outcomes import refusals
from hickoryweir.policy import actions, events
from hickoryweir.testing import engine_model

TICK_PERIOD_S = 0.25
CLAIM_DURATION_S = 0.004
CONNECT_TIMEOUT_S = 1.0
MIN_RETRY_BUDGET_S = 0.2


@dataclasses.dataclass(slots=True)
class Caller:
    """One caller, from its first send to its answer or final refusal.

    Attributes
    ----------
    sends_count : int
        How often the call was sent to a router.
    runs_count : int
        How many attempts an engine started.
    """

    plan: arrivals.PlannedCall
    deadline_s: float
    sends_count: int = 0
    first_token_s: float | None = None
    completed_s: float | None = None
    refusal_reasons: list[refusals.Reason] = dataclasses.field(default_factory=list)
    failure_reason: refusals.Reason | None = None
    runs_count: int = 0
    delivered_tokens: int = 0


@dataclasses.dataclass(slots=True)
class Router:
    """One router VM: its policy state and open attempts.

    Attributes
    ----------
    attempts : dict of (str, int) to str
        Backend server of each open attempt, by request id and attempt number.
    resume_tokens : dict of str to int
        Tokens from ended attempts of a request that a new attempt can resume from.
    """

    name: str
    zone: str
    policy_state: object
    attempts: dict[tuple[str, int], str] = dataclasses.field(default_factory=dict)
    resume_tokens: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Run:
    """State of one simulated run."""

    scenario: scenarios.Scenario
    deployment: deployments.Deployment
    policy: simulated_engines.Policy
    clock: simulated_engines.Clock
    random: random.Random
    engines: dict[str, simulated_engines.Engine]
    routers: list[Router]
    callers: list[Caller]
    isolated_zone: str = ""
    callers_by_request: dict[str, Caller] = dataclasses.field(default_factory=dict)
    wasted_tokens: dict[str, int] = dataclasses.field(default_factory=dict)


def can_reach(run: Run, zone: str, other_zone: str) -> bool:
    """Return whether two zones can reach each other."""
    return zone == other_zone or run.isolated_zone not in (zone, other_zone)


# Callers


def send(run: Run, caller: Caller) -> None:
    """Send a call to a random router; the caller leaves after its deadline."""
    router = run.random.choice(run.routers)
    caller.sends_count += 1
    plan = caller.plan
    request_id = f"{plan.number}.{caller.sends_count}"
    run.callers_by_request[request_id] = caller
    event = events.Arrived(
        request_id,
        plan.class_name,
        plan.account,
        plan.input_tokens,
        None,
        plan.prefix_digests,
        None,
        plan.fingerprint,
        caller.deadline_s,
    )
    handle_event(run, router, event)
    if request_id in run.callers_by_request:
        at_s = caller.deadline_s + TICK_PERIOD_S
        simulated_engines.call_at(
            run.clock, at_s, lambda: _abandon(run, router, request_id)
        )


def _abandon(run: Run, router: Router, request_id: str) -> None:
    if run.callers_by_request.pop(request_id, None) is not None:
        cancel_attempts(run, router, request_id, "caller_left")
        _discard_resume_tokens(run, router, request_id, "caller_left")
        handle_event(run, router, events.Withdrawn(request_id))


def _handle_refusal(run: Run, router: Router, action: actions.Refuse) -> None:
    caller = run.callers_by_request.pop(action.request_id, None)
    if caller is None:
        return
    refusal = action.refusal
    cancel_attempts(run, router, action.request_id, str(refusal.reason))
    _discard_resume_tokens(run, router, action.request_id, str(refusal.reason))
    caller.refusal_reasons.append(refusal.reason)
    retry_at_s = run.clock.now_s + (refusal.retry_after_s or 0.0)
    is_repeatable = refusal.ran is refusals.Ran.NO or _is_idempotent(run, caller)
    if (
        refusal.retry_after_s is None
        or not is_repeatable
        or retry_at_s > caller.deadline_s - MIN_RETRY_BUDGET_S
    ):
        caller.failure_reason = refusal.reason
        return
    simulated_engines.call_at(run.clock, retry_at_s, lambda: send(run, caller))


def _is_idempotent(run: Run, caller: Caller) -> bool:
    return next(
        item.idempotent
        for item in run.deployment.configuration.classes
        if item.name == caller.plan.class_name
    )


# Routers


def handle_event(run: Run, router: Router, event: events.Event) -> None:
    """Pass an event to a router's policy and carry out the resulting actions."""
    for action in run.policy.handle(router.policy_state, event, run.clock.now_s):
        match action:
            case actions.Dispatch():
                _dispatch(run, router, action)
            case actions.CancelAttempt(request_id, attempt):
                _cancel_attempt(
                    run, router, (request_id, attempt), "cancelled", keeps_tokens=True
                )
            case actions.Refuse():
                _handle_refusal(run, router, action)


def _dispatch(run: Run, router: Router, action: actions.Dispatch) -> None:
    key = (action.request_id, action.attempt)
    router.attempts[key] = action.backend_server
    engine = run.engines[action.backend_server]
    delay_s = simulated_engines.LINK_DELAY_S
    caller = run.callers_by_request.get(action.request_id)
    if caller is not None and not _is_idempotent(run, caller):
        delay_s += CLAIM_DURATION_S
    if not can_reach(run, router.zone, engine.backend_server.availability_zone):
        cause = events.FailureCause.CONNECT_REFUSED
        at_s = run.clock.now_s + CONNECT_TIMEOUT_S
        simulated_engines.call_at(
            run.clock,
            at_s,
            lambda: fail_attempt(run, router, key, cause, refusals.Ran.NO, 0),
        )
        return
    at_s = run.clock.now_s + delay_s
    simulated_engines.call_at(
        run.clock, at_s, lambda: _start_attempt(run, router, key, action)
    )


def _start_attempt(
    run: Run, router: Router, key: tuple[str, int], dispatch: actions.Dispatch
) -> None:
    caller = run.callers_by_request.get(key[0])
    if key not in router.attempts or caller is None:
        return
    engine = run.engines[router.attempts[key]]
    if not simulated_engines.is_up(engine, run.clock.now_s):
        cause = events.FailureCause.CONNECT_REFUSED
        fail_attempt(run, router, key, cause, refusals.Ran.NO, 0)
        return
    plan = caller.plan
    caller.runs_count += 1
    resumed_tokens = router.resume_tokens.get(key[0], 0) if dispatch.resume else 0
    call = engine_model.Submit(
        engine_request_id(router, key),
        dispatch.priority,
        plan.input_tokens,
        max(plan.output_tokens, resumed_tokens + 1),
        plan.prefix_digests,
        resumed_tokens,
    )
    simulated_engines.submit(
        run.clock, engine, call, _make_sequence(run, router, key, plan, resumed_tokens)
    )


def engine_request_id(router: Router, key: tuple[str, int]) -> str:
    """Return the request id of an attempt inside its engine."""
    return f"{router.name}/{key[0]}/{key[1]}"


def _make_sequence(
    run: Run,
    router: Router,
    key: tuple[str, int],
    plan: arrivals.PlannedCall,
    resumed_tokens: int,
) -> simulated_engines.Sequence:
    def on_first_token(at_s: float) -> None:
        if _is_connected(run, router, key):
            caller = run.callers_by_request.get(key[0])
            if caller is not None and caller.first_token_s is None:
                caller.first_token_s = at_s + simulated_engines.LINK_DELAY_S
            handle_event(run, router, events.Progressed(*key, 1))

    def on_finished(at_s: float) -> None:
        if _is_connected(run, router, key):
            _complete_attempt(
                run, router, key, resumed_tokens, at_s + simulated_engines.LINK_DELAY_S
            )

    def on_crashed(tokens: int) -> None:
        cause = events.FailureCause.CRASHED
        fail_attempt(run, router, key, cause, refusals.Ran.MAYBE, tokens)

    return simulated_engines.Sequence(
        resumed_tokens,
        on_first_token,
        on_finished,
        on_crashed,
        plan.crash_downtime_s,
        max(plan.output_tokens, resumed_tokens + 1),
    )


def _is_connected(run: Run, router: Router, key: tuple[str, int]) -> bool:
    name = router.attempts.get(key)
    if name is None:
        return False
    return can_reach(
        run, router.zone, run.engines[name].backend_server.availability_zone
    )


def _complete_attempt(
    run: Run, router: Router, key: tuple[str, int], resumed_tokens: int, at_s: float
) -> None:
    del router.attempts[key]
    caller = run.callers_by_request.pop(key[0], None)
    tokens = 0
    if caller is not None:
        tokens = max(1, caller.plan.output_tokens - resumed_tokens)
        caller.completed_s = at_s
        caller.delivered_tokens = caller.plan.output_tokens
    cancel_attempts(run, router, key[0], "hedge")
    unused_tokens = router.resume_tokens.pop(key[0], 0) - resumed_tokens
    count_wasted_tokens(run, "not_resumed", unused_tokens)
    handle_event(run, router, events.Completed(*key, tokens))


def fail_attempt(
    run: Run,
    router: Router,
    key: tuple[str, int],
    cause: events.FailureCause,
    ran: refusals.Ran,
    tokens: int,
) -> None:
    """Fail an attempt; keep its tokens for a resume, or count them as wasted."""
    if router.attempts.pop(key, None) is None:
        return
    if _open_attempts(router, key[0]) or key[0] not in run.callers_by_request:
        count_wasted_tokens(run, str(cause), tokens)
    else:
        router.resume_tokens[key[0]] = router.resume_tokens.get(key[0], 0) + tokens
    handle_event(run, router, events.AttemptFailed(*key, cause, ran, tokens))


def _open_attempts(router: Router, request_id: str) -> list[tuple[str, int]]:
    return [key for key in router.attempts if key[0] == request_id]


def _cancel_attempt(
    run: Run, router: Router, key: tuple[str, int], cause: str, keeps_tokens: bool
) -> None:
    name = router.attempts.pop(key, None)
    if name is None:
        return
    tokens = simulated_engines.cancel(
        run.clock, run.engines[name], engine_request_id(router, key)
    )
    if keeps_tokens and not _open_attempts(router, key[0]):
        router.resume_tokens[key[0]] = router.resume_tokens.get(key[0], 0) + tokens
    else:
        count_wasted_tokens(run, "hedge" if keeps_tokens else cause, tokens)


def cancel_attempts(run: Run, router: Router, request_id: str, cause: str) -> None:
    """Cancel all open attempts of a call."""
    for key in _open_attempts(router, request_id):
        _cancel_attempt(run, router, key, cause, keeps_tokens=False)


def _discard_resume_tokens(
    run: Run, router: Router, request_id: str, cause: str
) -> None:
    count_wasted_tokens(run, cause, router.resume_tokens.pop(request_id, 0))


def count_wasted_tokens(run: Run, cause: str, tokens: int) -> None:
    """Count generated tokens that no caller uses, by cause."""
    if tokens > 0:
        run.wasted_tokens[cause] = run.wasted_tokens.get(cause, 0) + tokens
