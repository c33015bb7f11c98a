"""Start and end of attempts and calls: the bookkeeping behind every action."""

from hickoryweir.outcomes import refusals
from hickoryweir.policy import actions, load, queues, state


def start(
    core: state.Core,
    call: state.Call,
    server_name: str,
    now_s: float,
    hedge: bool = False,
) -> actions.Dispatch:
    """Start an attempt and return the action for it."""
    server = core.servers[server_name]
    attempt = state.Attempt(call.next_attempt, server_name, now_s, hedge)
    call.next_attempt += 1
    call.attempts[attempt.number] = attempt
    server.calls[call.arrived.request_id] = call
    load.note_in_flight(server, now_s)
    resume = call.tokens_kept > 0
    core.counters.dispatches += 1
    core.counters.resumes += resume
    core.counters.hedges += hedge
    return actions.Dispatch(
        call.arrived.request_id, attempt.number, server_name, resume, hedge
    )


def end(
    core: state.Core, call: state.Call, attempt: state.Attempt, now_s: float
) -> None:
    """Release what an attempt holds."""
    del call.attempts[attempt.number]
    server = core.servers.get(attempt.server)
    if server is not None:
        server.calls.pop(call.arrived.request_id, None)
        load.note_in_flight(server, now_s)


def waste(core: state.Core, cause: str, tokens: int) -> None:
    """Count output tokens that no caller will use."""
    if tokens > 0:
        core.counters.wasted_tokens[cause] += tokens


def cancel(
    core: state.Core, call: state.Call, attempt: state.Attempt, now_s: float
) -> actions.CancelAttempt:
    """Cancel an attempt and return the action for it."""
    end(core, call, attempt, now_s)
    return actions.CancelAttempt(call.arrived.request_id, attempt.number)


def forget(core: state.Core, call: state.Call, now_s: float) -> None:
    """Release everything that a call holds."""
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
    done: list[actions.Action] = []
    if call.request_class.idempotent:
        done += [cancel(core, call, item, now_s) for item in [*call.attempts.values()]]
    core.counters.refusals[refusal.reason, call.request_class.name] += 1
    waste(core, refusal.reason, call.tokens_kept)
    forget(core, call, now_s)
    done.append(actions.Refuse(call.arrived.request_id, refusal))
    return done


def ran(call: state.Call) -> refusals.Ran:
    """Return what is known about execution of a call that ends now."""
    if call.attempts and call.ran is refusals.Ran.NO:
        return refusals.Ran.MAYBE
    return call.ran
