"""Callers and routers of a simulated run, and what each action leads to."""

import dataclasses
import random

from hickoryweir.load import arrivals, deployments, scenarios, world
from hickoryweir.outcomes import refusals
from hickoryweir.policy import actions, events
from hickoryweir.testing import engine_model

TICK_S = 0.25
CLAIM_S = 0.004
CONNECT_TIMEOUT_S = 1.0
GIVE_UP_BEFORE_DEADLINE_S = 0.2


@dataclasses.dataclass(slots=True)
class Caller:
    """One caller from its first send to its answer or its last refusal."""

    plan: arrivals.Plan
    deadline_s: float
    tries: int = 0
    first_token_s: float | None = None
    done_s: float | None = None
    reasons: list[refusals.Reason] = dataclasses.field(default_factory=list)
    failed: refusals.Reason | None = None
    runs: int = 0
    delivered: int = 0


@dataclasses.dataclass(slots=True)
class Router:
    """One router VM: its policy state and the attempts it carries."""

    name: str
    zone: str
    core: object
    attempts: dict[tuple[str, int], str] = dataclasses.field(default_factory=dict)
    kept: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Run:
    """Everything of one run."""

    scenario: scenarios.Scenario
    site: deployments.Deployment
    policy: world.Policy
    clock: world.Clock
    random: random.Random
    engines: dict[str, world.Engine]
    routers: list[Router]
    callers: list[Caller]
    cut_zone: str = ""
    owners: dict[str, Caller] = dataclasses.field(default_factory=dict)
    wasted: dict[str, int] = dataclasses.field(default_factory=dict)


def reaches(run: Run, zone: str, other: str) -> bool:
    """Return whether two zones can talk to each other."""
    return zone == other or run.cut_zone not in (zone, other)


# Callers


def send(run: Run, caller: Caller) -> None:
    """Send a caller's call to a router, and leave at the deadline."""
    router = run.random.choice(run.routers)
    caller.tries += 1
    plan = caller.plan
    request_id = f"{plan.number}.{caller.tries}"
    run.owners[request_id] = caller
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
    feed(run, router, event)
    if request_id in run.owners:
        at_s = caller.deadline_s + TICK_S
        world.call_at(run.clock, at_s, lambda: _leave(run, router, request_id))


def _leave(run: Run, router: Router, request_id: str) -> None:
    if run.owners.pop(request_id, None) is not None:
        cancel_all(run, router, request_id, "caller_left")
        _drop_kept(run, router, request_id, "caller_left")
        feed(run, router, events.Withdrawn(request_id))


def _refused(run: Run, router: Router, action: actions.Refuse) -> None:
    caller = run.owners.pop(action.request_id, None)
    if caller is None:
        return
    refusal = action.refusal
    cancel_all(run, router, action.request_id, str(refusal.reason))
    _drop_kept(run, router, action.request_id, str(refusal.reason))
    caller.reasons.append(refusal.reason)
    again_s = run.clock.now_s + (refusal.retry_after_s or 0.0)
    repeatable = refusal.ran is refusals.Ran.NO or _idempotent(run, caller)
    if (
        refusal.retry_after_s is None
        or not repeatable
        or again_s > caller.deadline_s - GIVE_UP_BEFORE_DEADLINE_S
    ):
        caller.failed = refusal.reason
        return
    world.call_at(run.clock, again_s, lambda: send(run, caller))


def _idempotent(run: Run, caller: Caller) -> bool:
    return next(
        item.idempotent
        for item in run.site.configuration.classes
        if item.name == caller.plan.class_name
    )


# Routers


def feed(run: Run, router: Router, event: events.Event) -> None:
    """Give a router's policy an event and carry out its actions."""
    for action in run.policy.handle(router.core, event, run.clock.now_s):
        match action:
            case actions.Dispatch():
                _dispatch(run, router, action)
            case actions.CancelAttempt(request_id, attempt):
                _cancel(run, router, (request_id, attempt), "cancelled", keep=True)
            case actions.Refuse():
                _refused(run, router, action)


def _dispatch(run: Run, router: Router, action: actions.Dispatch) -> None:
    key = (action.request_id, action.attempt)
    router.attempts[key] = action.backend_server
    engine = run.engines[action.backend_server]
    delay_s = world.LINK_S
    caller = run.owners.get(action.request_id)
    if caller is not None and not _idempotent(run, caller):
        delay_s += CLAIM_S
    if not reaches(run, router.zone, engine.backend.availability_zone):
        cause = events.FailureCause.CONNECT_REFUSED
        at_s = run.clock.now_s + CONNECT_TIMEOUT_S
        world.call_at(
            run.clock,
            at_s,
            lambda: fail(run, router, key, cause, refusals.Ran.NO, 0),
        )
        return
    at_s = run.clock.now_s + delay_s
    world.call_at(run.clock, at_s, lambda: _begin(run, router, key, action))


def _begin(
    run: Run, router: Router, key: tuple[str, int], dispatch: actions.Dispatch
) -> None:
    caller = run.owners.get(key[0])
    if key not in router.attempts or caller is None:
        return
    engine = run.engines[router.attempts[key]]
    if not world.is_up(engine, run.clock.now_s):
        cause = events.FailureCause.CONNECT_REFUSED
        fail(run, router, key, cause, refusals.Ran.NO, 0)
        return
    plan = caller.plan
    caller.runs += 1
    kept = router.kept.get(key[0], 0) if dispatch.resume else 0
    call = engine_model.Submit(
        engine_key(router, key),
        dispatch.priority,
        plan.input_tokens,
        max(plan.output_tokens, kept + 1),
        plan.prefix_digests,
        kept,
    )
    world.submit(run.clock, engine, call, _sequence(run, router, key, plan, kept))


def engine_key(router: Router, key: tuple[str, int]) -> str:
    """Return an attempt's name inside its engine."""
    return f"{router.name}/{key[0]}/{key[1]}"


def _sequence(
    run: Run, router: Router, key: tuple[str, int], plan: arrivals.Plan, kept: int
) -> world.Sequence:
    def first_token(at_s: float) -> None:
        if _linked(run, router, key):
            caller = run.owners.get(key[0])
            if caller is not None and caller.first_token_s is None:
                caller.first_token_s = at_s + world.LINK_S
            feed(run, router, events.Progressed(*key, 1))

    def finished(at_s: float) -> None:
        if _linked(run, router, key):
            _finish(run, router, key, kept, at_s + world.LINK_S)

    def crashed(tokens: int) -> None:
        cause = events.FailureCause.CRASHED
        fail(run, router, key, cause, refusals.Ran.MAYBE, tokens)

    return world.Sequence(
        kept,
        first_token,
        finished,
        crashed,
        plan.crash_s,
        max(plan.output_tokens, kept + 1),
    )


def _linked(run: Run, router: Router, key: tuple[str, int]) -> bool:
    name = router.attempts.get(key)
    if name is None:
        return False
    return reaches(run, router.zone, run.engines[name].backend.availability_zone)


def _finish(
    run: Run, router: Router, key: tuple[str, int], kept: int, at_s: float
) -> None:
    del router.attempts[key]
    caller = run.owners.pop(key[0], None)
    tokens = 0
    if caller is not None:
        tokens = max(1, caller.plan.output_tokens - kept)
        caller.done_s = at_s
        caller.delivered = caller.plan.output_tokens
    cancel_all(run, router, key[0], "hedge")
    extra = router.kept.pop(key[0], 0) - kept
    waste(run, "not_resumed", extra)
    feed(run, router, events.Completed(*key, tokens))


def fail(
    run: Run,
    router: Router,
    key: tuple[str, int],
    cause: events.FailureCause,
    ran: refusals.Ran,
    tokens: int,
) -> None:
    """End an attempt without its answer; its tokens are kept for a resume."""
    if router.attempts.pop(key, None) is None:
        return
    if _other_attempts(router, key[0]) or key[0] not in run.owners:
        waste(run, str(cause), tokens)
    else:
        router.kept[key[0]] = router.kept.get(key[0], 0) + tokens
    feed(run, router, events.AttemptFailed(*key, cause, ran, tokens))


def _other_attempts(router: Router, request_id: str) -> list[tuple[str, int]]:
    return [key for key in router.attempts if key[0] == request_id]


def _cancel(
    run: Run, router: Router, key: tuple[str, int], cause: str, keep: bool
) -> None:
    name = router.attempts.pop(key, None)
    if name is None:
        return
    tokens = world.cancel(run.clock, run.engines[name], engine_key(router, key))
    if keep and not _other_attempts(router, key[0]):
        router.kept[key[0]] = router.kept.get(key[0], 0) + tokens
    else:
        waste(run, "hedge" if keep else cause, tokens)


def cancel_all(run: Run, router: Router, request_id: str, cause: str) -> None:
    """Cancel every attempt of a call."""
    for key in _other_attempts(router, request_id):
        _cancel(run, router, key, cause, keep=False)


def _drop_kept(run: Run, router: Router, request_id: str, cause: str) -> None:
    waste(run, cause, router.kept.pop(request_id, 0))


def waste(run: Run, cause: str, tokens: int) -> None:
    """Count tokens that no caller will use."""
    if tokens > 0:
        run.wasted[cause] = run.wasted.get(cause, 0) + tokens
