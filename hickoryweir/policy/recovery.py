"""What follows a failed attempt: another attempt, or the truth to the caller.

A call that is not idempotent is tried again only if the failed attempt
certainly did not run.  An idempotent call goes on from the tokens already
sent, within the retry budget.
"""

from hickoryweir.outcomes import refusals
from hickoryweir.policy import actions, attempts, events, queues, state

MAX_RETRIES = 4
DOWN_MIN_S = 0.5
DOWN_MAX_S = 15.0
SERVER_FAULTS = frozenset(
    {events.FailureCause.CONNECT_REFUSED, events.FailureCause.CRASHED}
)


def progressed(
    core: state.Core,
    call: state.Call,
    attempt: state.Attempt,
    output_tokens: int,
    now_s: float,
) -> list[actions.Action]:
    """Note an attempt's tokens; its first token ends the other attempts."""
    attempt.tokens = output_tokens
    attempt.last_token_s = now_s
    if attempt.first_token_s is None:
        attempt.first_token_s = now_s
        return cancel_others(core, call, attempt, now_s)
    return []


def cancel_others(
    core: state.Core, call: state.Call, winner: state.Attempt, now_s: float
) -> list[actions.Action]:
    """Cancel every attempt but one."""
    losers = [item for item in call.attempts.values() if item is not winner]
    for item in losers:
        attempts.waste(core, "hedge", item.tokens)
    return [attempts.cancel(core, call, item, now_s) for item in losers]


def succeeded(core: state.Core, attempt: state.Attempt) -> None:
    """Note that a backend server finished an answer."""
    server = core.servers.get(attempt.server)
    if server is not None:
        server.failures_in_row = 0
        server.down_until_s = 0.0


def failed(
    core: state.Core,
    pool: state.Pool,
    call: state.Call,
    attempt: state.Attempt,
    event: events.AttemptFailed,
    now_s: float,
) -> list[actions.Action]:
    """End a failed attempt and decide what becomes of its call."""
    attempt.tokens = event.output_tokens
    attempts.end(core, call, attempt, now_s)
    note_fault(core, attempt.server, event.cause, now_s)
    if event.ran is not refusals.Ran.NO:
        call.ran = refusals.Ran.MAYBE
    call.avoid.add(attempt.server)
    if call.attempts:
        attempts.waste(core, event.cause, attempt.tokens)
        return []
    return retry_or_refuse(core, pool, call, attempt, event, now_s)


def note_fault(
    core: state.Core, name: str, cause: events.FailureCause, now_s: float
) -> None:
    """Keep new work off a backend server that crashed, longer each time."""
    server = core.servers.get(name)
    if server is None or cause not in SERVER_FAULTS:
        return
    if server.down_until_s <= now_s:
        server.failures_in_row += 1
        pause_s = DOWN_MIN_S * 2 ** min(server.failures_in_row - 1, 8)
        server.down_until_s = now_s + min(pause_s, DOWN_MAX_S)


def retry_or_refuse(
    core: state.Core,
    pool: state.Pool,
    call: state.Call,
    attempt: state.Attempt,
    event: events.AttemptFailed,
    now_s: float,
) -> list[actions.Action]:
    """Queue a call for another attempt, or give its final refusal."""
    idempotent = call.request_class.idempotent
    if not idempotent and event.ran is not refusals.Ran.NO:
        refusal = refusals.make_refusal(
            refusals.Reason.OUTCOME_UNKNOWN,
            "the backend server failed after the call was sent",
            ran=refusals.Ran.MAYBE,
        )
        return attempts.refuse(core, call, refusal, now_s)
    if call.retries >= MAX_RETRIES or (idempotent and not call.request_class.retries):
        refusal = refusals.make_refusal(
            refusals.Reason.RETRIES_EXHAUSTED,
            f"the last attempt ended with {event.cause}",
            1.0,
            call.ran,
        )
        return attempts.refuse(core, call, refusal, now_s)
    call.retries += 1
    core.counters.retries[event.cause, call.request_class.name] += 1
    if core.settings.mechanisms.resume:
        call.tokens_kept += attempt.tokens
    else:
        attempts.waste(core, event.cause, attempt.tokens)
    if len(call.avoid) >= len(pool.subset):
        call.avoid.clear()
    queues.push(core, call)
    return []
