"""Handling of failed attempts: a retry, or a final refusal.

A non-idempotent call is retried only if the failed attempt certainly did not
run.  An idempotent call continues after the tokens already sent.  Retries that
start from the beginning use the retry budget.
"""

from hickoryweir.outcomes import refusals
from hickoryweir.policy import (
    actions,
    affinity,
    attempts,
    events,
    poison,
    queues,
    state,
    stragglers,
)

MAX_RETRIES = 4
# Retries per arrival.
RETRY_BUDGET_SHARE = 0.1
RETRY_CREDIT_MAX = 20.0
# Bounds of the exponential backoff after a crash or a refused connection.
DOWN_MIN_S = 0.5
DOWN_MAX_S = 15.0
# Weight of a new sample in the moving average of the time to the first token.
FIRST_TOKEN_SMOOTHING = 0.05
SERVER_FAULTS = frozenset(
    {events.FailureCause.CONNECT_REFUSED, events.FailureCause.CRASHED}
)


def add_credit(core: state.Core) -> None:
    """Add the retry credit of one arrival."""
    core.retry_credit = min(RETRY_CREDIT_MAX, core.retry_credit + RETRY_BUDGET_SHARE)


def progressed(
    core: state.Core,
    call: state.Call,
    attempt: state.Attempt,
    output_tokens: int,
    now_s: float,
) -> list[actions.Action]:
    """Record an attempt's tokens; its first token cancels the other attempts."""
    new_tokens = output_tokens - attempt.tokens
    if new_tokens <= 0:
        return []
    server = core.servers.get(attempt.server)
    is_first = attempt.first_token_s is None
    if server is not None:
        server.last_progress_s = server.last_heard_s = now_s
        server.failures_in_row = 0
        if not is_first:
            gap_s = now_s - attempt.last_token_s
            stragglers.observe(core, server, gap_s / new_tokens, now_s)
    attempt.tokens = output_tokens
    attempt.last_token_s = now_s
    poison.progressed(core, call, attempt, now_s)
    if not is_first:
        return []
    attempt.first_token_s = now_s
    pool = state.pool_of(core, call.request_class)
    waited_s = now_s - attempt.started_s
    pool.first_token_s += FIRST_TOKEN_SMOOTHING * (waited_s - pool.first_token_s)
    return cancel_others(core, call, attempt, now_s)


def cancel_others(
    core: state.Core, call: state.Call, winner: state.Attempt, now_s: float
) -> list[actions.Action]:
    """Cancel every attempt but one."""
    losers = [item for item in call.attempts.values() if item is not winner]
    for item in losers:
        attempts.count_wasted(core, "hedge", item.tokens)
    return [attempts.cancel(core, call, item, now_s) for item in losers]


def succeeded(
    core: state.Core, call: state.Call, attempt: state.Attempt, now_s: float
) -> None:
    """Record that a backend server finished an answer."""
    poison.clear(core, call, attempt, now_s)
    server = core.servers.get(attempt.server)
    if server is not None:
        server.failures_in_row = 0
        server.down_until_s = 0.0
        server.last_progress_s = now_s


def failed(
    core: state.Core,
    pool: state.Pool,
    call: state.Call,
    attempt: state.Attempt,
    event: events.AttemptFailed,
    now_s: float,
) -> list[actions.Action]:
    """End a failed attempt, and retry or refuse its call."""
    attempt.tokens = event.output_tokens
    server = core.servers.get(attempt.server)
    if server is not None:
        _record_fault(core, server, call, attempt, event.cause, now_s)
    attempts.end(core, call, attempt, now_s)
    if event.ran is not refusals.Ran.NO:
        call.ran = refusals.Ran.MAYBE
    call.avoided_servers.add(attempt.server)
    if call.attempts:
        attempts.count_wasted(core, event.cause, attempt.tokens)
        return []
    return _retry_or_refuse(core, pool, call, attempt, event, now_s)


def _record_fault(
    core: state.Core,
    server: state.Server,
    call: state.Call,
    attempt: state.Attempt,
    cause: events.FailureCause,
    now_s: float,
) -> None:
    """Pause dispatch to a crashed backend server, with exponential backoff."""
    if cause not in SERVER_FAULTS:
        return
    if server.down_until_s <= now_s:
        server.failures_in_row += 1
        pause_s = DOWN_MIN_S * 2 ** min(server.failures_in_row - 1, 8)
        server.down_until_s = now_s + min(pause_s, DOWN_MAX_S)
        poison.record_crash(core, server)
        affinity.clear(server)
    if cause is events.FailureCause.CRASHED:
        poison.record_crashed_call(core, server, call, attempt, now_s)


def _retry_or_refuse(
    core: state.Core,
    pool: state.Pool,
    call: state.Call,
    attempt: state.Attempt,
    event: events.AttemptFailed,
    now_s: float,
) -> list[actions.Action]:
    """Queue a call for another attempt, or refuse it."""
    refusal = _final_refusal(core, call, event)
    if core.settings.mechanisms.resume:
        call.resume_tokens += attempt.tokens
    else:
        attempts.count_wasted(core, event.cause, attempt.tokens)
    if refusal is not None:
        return attempts.refuse(core, call, refusal, now_s)
    call.retries += 1
    core.retry_credit -= call.resume_tokens == 0
    call.earliest_dispatch_s = now_s + poison.QUARANTINE_PROPAGATION_S * bool(
        core.peers
    )
    core.counters.retries[event.cause, call.request_class.name] += 1
    if len(call.avoided_servers) >= len(pool.subset):
        call.avoided_servers.clear()
    queues.push(core, call)
    return []


def _final_refusal(
    core: state.Core, call: state.Call, event: events.AttemptFailed
) -> refusals.Refusal | None:
    request_class = call.request_class
    if not request_class.idempotent and event.ran is not refusals.Ran.NO:
        return refusals.make_refusal(
            refusals.Reason.OUTCOME_UNKNOWN,
            "the backend server failed after the call was sent",
            ran=refusals.Ran.MAYBE,
        )
    if poison.is_refused(core, call):
        return poison.refusal(call.ran)
    may_retry = request_class.retries or event.ran is refusals.Ran.NO
    is_restart = call.resume_tokens == 0
    is_over_budget = is_restart and core.retry_credit < 1.0
    if not may_retry or call.retries >= MAX_RETRIES or is_over_budget:
        return refusals.make_refusal(
            refusals.Reason.RETRIES_EXHAUSTED,
            f"the last attempt ended with {event.cause}",
            1.0,
            call.ran,
        )
    return None
