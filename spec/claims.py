"""Model of claims on one idempotency key.

The replicated log is modelled as a single sequence of applied commands, which
:mod:`spec.replication` justifies.  Once sent, a command may be applied at any later
time, any number of times, or never.  A process that takes no step stands for one
that is paused, crashed or partitioned.  Names follow
:mod:`hickoryweir.claims.machine`.

Examples
--------
>>> import minicheck
>>> checked = minicheck.check_safety(make_model(attempt_count=1))
>>> checked["exhaustive"], checked["properties"]["runs_at_most_once"]["holds"]
(True, True)
"""

import enum
import typing
from collections.abc import Iterator

import minicheck

from hickoryweir.claims import machine

NO_HOLDER = -1


class Mutation(enum.StrEnum):
    """Protocol faults; the checker must find a counterexample to each."""

    LEASE_EXPIRY_FREES_HOLDER = "lease_expiry_frees_holder"
    RELEASE_BY_ANOTHER_ATTEMPT = "release_by_another_attempt"
    RELEASED_ATTEMPT_GRANTED = "released_attempt_granted"
    UNKNOWN_RUNS_AGAIN = "unknown_runs_again"
    EXPIRED_KEY_RUNS_AGAIN = "expired_key_runs_again"
    DISPATCH_BEFORE_GRANT = "dispatch_before_grant"
    NOT_RUN_SAID_AFTER_DISPATCH = "not_run_said_after_dispatch"


class Phase(enum.IntEnum):
    """Progress of an attempt at its router."""

    IDLE = 0
    CLAIMING = 1
    PERMITTED = 2
    DISPATCHED = 3
    ENDED = 4


class Sent(enum.IntFlag):
    """Commands and replies of an attempt that have been sent."""

    NOTHING = 0
    CLAIM = 1
    GRANT = 2
    NOT_RUN = 4
    ANSWER = 8
    UNKNOWN = 16


class Attempt(typing.NamedTuple):
    """One attempt: its phase, its messages, and whether its call ran."""

    phase: Phase = Phase.IDLE
    sent: Sent = Sent.NOTHING
    ran: bool = False
    reported_not_run: bool = False


class State(typing.NamedTuple):
    """The record of the key, and all attempts to claim it."""

    status: machine.Status
    holder: int
    released: frozenset[int]
    expired: bool
    attempts: tuple[Attempt, ...]


Step = tuple[str, State]


def make_model(
    attempt_count: int = 3, mutation: Mutation | None = None
) -> minicheck.Protocol:
    """Return the model of ``attempt_count`` attempts to claim one key."""
    initial = State(
        machine.Status.RELEASED,
        NO_HOLDER,
        frozenset(),
        False,
        (Attempt(),) * attempt_count,
    )

    def transitions(packed: tuple) -> list[Step]:
        state = State(*packed)
        steps = [*_log_steps(state, mutation)]
        for number, attempt in enumerate(state.attempts):
            steps += _process_steps(state, number, attempt, mutation)
        return steps

    return minicheck.Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=transitions,
        invariants={
            "runs_at_most_once": _runs_at_most_once,
            "not_run_is_true": _not_run_is_true,
            "released_attempt_holds_nothing": _released_holds_nothing,
        },
    )


def _runs_at_most_once(state: dict) -> bool:
    return sum(attempt.ran for attempt in state["attempts"]) <= 1


def _not_run_is_true(state: dict) -> bool:
    return not any(
        attempt.ran and attempt.reported_not_run for attempt in state["attempts"]
    )


def _released_holds_nothing(state: dict) -> bool:
    return state["holder"] not in state["released"]


def _process_steps(
    state: State, number: int, attempt: Attempt, mutation: Mutation | None
) -> Iterator[Step]:
    def step(label: str, **changes: object) -> Step:
        changed = attempt._replace(**changes)
        attempts = (*state.attempts[:number], changed, *state.attempts[number + 1 :])
        return f"{label}({number})", state._replace(attempts=attempts)

    sent = attempt.sent
    skips_grant = mutation is Mutation.DISPATCH_BEFORE_GRANT
    match attempt.phase:
        case Phase.IDLE:
            yield step("propose", phase=Phase.CLAIMING, sent=sent | Sent.CLAIM)
        case Phase.CLAIMING:
            if sent & Sent.GRANT or skips_grant:
                yield step("receive_grant", phase=Phase.PERMITTED)
            yield step(
                "give_up",
                phase=Phase.ENDED,
                sent=sent | Sent.NOT_RUN,
                reported_not_run=True,
            )
        case Phase.PERMITTED:
            yield step("dispatch", phase=Phase.DISPATCHED)
            yield step(
                "connect_refused",
                phase=Phase.ENDED,
                sent=sent | Sent.NOT_RUN,
                reported_not_run=True,
            )
        case Phase.DISPATCHED:
            if attempt.ran:
                yield step("answer", phase=Phase.ENDED, sent=sent | Sent.ANSWER)
            yield step("lose_connection", phase=Phase.ENDED, sent=sent | Sent.UNKNOWN)
            if mutation is Mutation.NOT_RUN_SAID_AFTER_DISPATCH:
                yield step(
                    "report_not_run",
                    phase=Phase.ENDED,
                    sent=sent | Sent.NOT_RUN,
                    reported_not_run=True,
                )
    if sent & Sent.UNKNOWN and attempt.ran and not sent & Sent.ANSWER:
        yield step("late_answer", sent=sent | Sent.ANSWER)
    dispatched = attempt.phase is Phase.DISPATCHED or sent & Sent.UNKNOWN
    if dispatched and not attempt.ran:
        yield step("run", ran=True)


def _log_steps(state: State, mutation: Mutation | None) -> Iterator[Step]:
    for number, attempt in enumerate(state.attempts):
        if attempt.sent & Sent.CLAIM:
            yield f"apply_claim({number})", apply_claim(state, number, mutation)
        if attempt.sent & Sent.NOT_RUN:
            yield f"apply_not_run({number})", apply_not_run(state, number, mutation)
        if attempt.sent & Sent.ANSWER:
            yield f"apply_answer({number})", apply_answer(state, number)
        if attempt.sent & Sent.UNKNOWN:
            yield f"apply_unknown({number})", apply_unknown(state, number, mutation)
    yield "expire", expire(state, mutation)
    if mutation is Mutation.LEASE_EXPIRY_FREES_HOLDER:
        yield "lease_expires", _release_key(state)


def _release_key(state: State) -> State:
    if state.status is not machine.Status.IN_PROGRESS:
        return state
    return state._replace(status=machine.Status.RELEASED, holder=NO_HOLDER)


def apply_claim(state: State, number: int, mutation: Mutation | None = None) -> State:
    """Apply the claim of attempt ``number``; if it holds the key, send a grant."""
    if state.expired:
        return state
    checks_released = mutation is not Mutation.RELEASED_ATTEMPT_GRANTED
    if state.status is machine.Status.RELEASED:
        if checks_released and number in state.released:
            return state
        state = state._replace(status=machine.Status.IN_PROGRESS, holder=number)
    if state.status is machine.Status.IN_PROGRESS and state.holder == number:
        attempt = state.attempts[number]
        granted = attempt._replace(sent=attempt.sent | Sent.GRANT)
        attempts = (*state.attempts[:number], granted, *state.attempts[number + 1 :])
        return state._replace(attempts=attempts)
    return state


def apply_not_run(state: State, number: int, mutation: Mutation | None = None) -> State:
    """Apply the outcome "did not run" of attempt ``number``."""
    if state.expired or state.status not in (
        machine.Status.RELEASED,
        machine.Status.IN_PROGRESS,
    ):
        return state
    released = state._replace(released=state.released | {number})
    if state.holder == number or mutation is Mutation.RELEASE_BY_ANOTHER_ATTEMPT:
        return _release_key(released)
    return released


def apply_answer(state: State, number: int) -> State:
    """Apply the answer of attempt ``number``."""
    if state.holder != number:
        return state
    return state._replace(status=machine.Status.DONE)


def apply_unknown(state: State, number: int, mutation: Mutation | None = None) -> State:
    """Apply the outcome "unknown" of attempt ``number``: it may have run."""
    if state.holder != number or state.status is not machine.Status.IN_PROGRESS:
        return state
    if mutation is Mutation.UNKNOWN_RUNS_AGAIN:
        return _release_key(state)
    return state._replace(status=machine.Status.UNKNOWN)


def expire(state: State, mutation: Mutation | None = None) -> State:
    """Expire the key: its record is dropped and later claims are refused."""
    refused = mutation is not Mutation.EXPIRED_KEY_RUNS_AGAIN
    return state._replace(
        status=machine.Status.RELEASED,
        holder=NO_HOLDER,
        released=frozenset(),
        expired=refused,
    )
