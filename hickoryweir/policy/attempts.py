"""State changes at the start and end of attempts and calls."""

from hickoryweir.outcomes import refusals
from hickoryweir.policy import (
    actions,
    affinity,
    load,
    noticed_servers,
    poison,
    queues,
    state,
)


def start(
    core: state.Core,
    call: state.Call,
    server_name: str,
    now_s: float,
    priority: int,
    hedge: bool = False,
) -> actions.Dispatch:
    """Start an attempt and return its dispatch action."""
    server = core.servers[server_name]
    number = call.next_attempt
    call.next_attempt += 1
    attempt = state.Attempt(number, server_name, now_s, priority, hedge)
    attempt.last_token_s = now_s
    call.attempts[number] = attempt
    noticed_servers.record_sent(server, now_s)
    _occupy_slot(core, server, call, attempt, now_s)
    resume = call.resume_tokens > 0
    core.counters.dispatches += 1
    core.counters.resumes += resume
    core.counters.hedges += hedge
    return actions.Dispatch(
        call.arrived.request_id, number, server_name, resume, hedge, priority
    )


def _occupy_slot(
    core: state.Core,
    server: state.Server,
    call: state.Call,
    attempt: state.Attempt,
    now_s: float,
) -> None:
    if not server.calls:
        server.last_progress_s = now_s
    server.calls[call.arrived.request_id] = call
    server.top_calls += _is_top(core, call, attempt)
    if poison.is_isolated(core, call.arrived.fingerprint):
        server.suspects.add(call.arrived.fingerprint)
    core.running[call.arrived.fingerprint] += 1
    affinity.record_sent(core, server, call)
    load.record_in_flight(server, now_s)


def _is_top(core: state.Core, call: state.Call, attempt: state.Attempt) -> bool:
    pool = state.pool_of(core, call.request_class)
    top = core.queues[pool.class_names[0]].request_class.tier
    return attempt.priority <= top


def end(
    core: state.Core, call: state.Call, attempt: state.Attempt, now_s: float
) -> None:
    """End an attempt and release its slot."""
    del call.attempts[attempt.number]
    fingerprint = call.arrived.fingerprint
    core.running[fingerprint] -= 1
    if core.running[fingerprint] <= 0:
        del core.running[fingerprint]
    server = core.servers.get(attempt.server)
    if server is None or server.calls.pop(call.arrived.request_id, None) is None:
        return
    server.top_calls = max(0, server.top_calls - _is_top(core, call, attempt))
    server.suspects.discard(call.arrived.fingerprint)
    state.pool_of(core, call.request_class).last_freed = server
    load.record_in_flight(server, now_s)


def count_wasted(core: state.Core, cause: str, tokens: int) -> None:
    """Count output tokens that are discarded."""
    if tokens > 0:
        core.counters.wasted_tokens[cause] += tokens


def cancel(
    core: state.Core, call: state.Call, attempt: state.Attempt, now_s: float
) -> actions.CancelAttempt:
    """Cancel an attempt and return its cancel action."""
    end(core, call, attempt, now_s)
    return actions.CancelAttempt(call.arrived.request_id, attempt.number)


def release(core: state.Core, call: state.Call, now_s: float) -> None:
    """Remove a call from the core and release its attempts and queue entry."""
    for attempt in list(call.attempts.values()):
        end(core, call, attempt, now_s)
    if call.queued:
        queues.remove(core, call)
    del core.calls[call.arrived.request_id]
    core.accounts[call.arrived.account].calls -= 1


def refuse(
    core: state.Core, call: state.Call, refusal: refusals.Refusal, now_s: float
) -> list[actions.Action]:
    """End a call with a refusal; running idempotent attempts are cancelled."""
    result: list[actions.Action] = []
    tokens = call.resume_tokens + sum(item.tokens for item in call.attempts.values())
    if call.request_class.idempotent:
        result += [
            cancel(core, call, item, now_s) for item in [*call.attempts.values()]
        ]
    core.counters.refusals[refusal.reason, call.request_class.name] += 1
    count_wasted(core, refusal.reason, tokens)
    release(core, call, now_s)
    result.append(actions.Refuse(call.arrived.request_id, refusal))
    return result


def ran(call: state.Call) -> refusals.Ran:
    """Return whether a call that ends now may have been executed."""
    if call.attempts and call.ran is refusals.Ran.NO:
        return refusals.Ran.MAYBE
    return call.ran
