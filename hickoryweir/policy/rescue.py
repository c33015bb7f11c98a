"""Attempts that are late or stuck: hedge before the first token, move after it.

A hedge is a second attempt while the first still runs; the first token wins.
A stalled or crawling stream is cancelled and goes on elsewhere from the tokens
already sent.  Both are for idempotent calls only and have a budget.
"""

from hickoryweir.policy import actions, attempts, lengths, placement, poison, state

HEDGE_BUDGET_SHARE = 0.05
HEDGE_CREDIT_MAX = 5.0
HEDGE_AFTER_TARGET_SHARE = 0.5
STALLED_AFTER_S = 2.0
SILENT_AFTER_S = 1.5
SILENT_CALLS_COUNT = 2
DOWN_S = 2.0
MOVE_GAIN = 2.0
MOVE_COST_S = 0.5


def earn(core: state.Core) -> None:
    """Earn hedging credit with one arrival."""
    core.hedge_credit = min(HEDGE_CREDIT_MAX, core.hedge_credit + HEDGE_BUDGET_SHARE)


def review(core: state.Core, now_s: float) -> list[actions.Action]:
    """Look for late and stuck attempts; called at each tick."""
    done: list[actions.Action] = []
    for server in core.servers.values():
        if server.calls:
            _mark_silent(server, now_s)
            for call in list(server.calls.values()):
                done += _review_call(core, server, call, now_s)
    return done


def _mark_silent(server: state.Server, now_s: float) -> None:
    """Keep new work off a server from which nothing came for too long."""
    if now_s - server.progressed_s < SILENT_AFTER_S:
        return
    old = sum(
        attempt.started_s < now_s - SILENT_AFTER_S
        for call in server.calls.values()
        for attempt in call.attempts.values()
        if attempt.server == server.backend.name
    )
    if old >= SILENT_CALLS_COUNT:
        server.down_until_s = max(server.down_until_s, now_s + DOWN_S)


def _review_call(
    core: state.Core, server: state.Server, call: state.Call, now_s: float
) -> list[actions.Action]:
    request_class = call.request_class
    if not request_class.idempotent or len(call.attempts) != 1:
        return []
    (attempt,) = call.attempts.values()
    if attempt.first_token_s is None:
        return _hedge(core, call, attempt, now_s)
    if request_class.retries and _should_move(core, server, call, attempt, now_s):
        return _move(core, call, attempt, now_s)
    return []


def _hedge(
    core: state.Core, call: state.Call, attempt: state.Attempt, now_s: float
) -> list[actions.Action]:
    request_class = call.request_class
    if not core.settings.mechanisms.hedging or not request_class.hedging:
        return []
    if (
        call.hedged
        or core.hedge_credit < 1.0
        or poison.is_isolated(core, call.arrived.fingerprint)
    ):
        return []
    patience_s = HEDGE_AFTER_TARGET_SHARE * request_class.first_token_target_s
    if now_s - attempt.started_s < patience_s:
        return []
    name = _elsewhere(core, call, attempt, now_s)
    if name is None:
        return []
    core.hedge_credit -= 1.0
    call.hedged = True
    return [attempts.start(core, call, name, now_s, attempt.priority, hedge=True)]


def _elsewhere(
    core: state.Core, call: state.Call, attempt: state.Attempt, now_s: float
) -> str | None:
    """Return another server with free slots, so that no one is pushed aside."""
    pool = state.pool_of(core, call.request_class)
    found = [
        item
        for item in placement.candidates(core, pool, call, now_s, top=False)
        if item.name != attempt.server
    ]
    if not found:
        return None
    return min(found, key=lambda item: (item.load_share, item.name)).name


def _should_move(
    core: state.Core,
    server: state.Server,
    call: state.Call,
    attempt: state.Attempt,
    now_s: float,
) -> bool:
    mechanisms = core.settings.mechanisms
    if not (mechanisms.stragglers and mechanisms.resume):
        return False
    if now_s - attempt.last_token_s >= STALLED_AFTER_S:
        return True
    if not server.speed.ejected or server.speed.between_tokens_s is None:
        return False
    queue = core.queues[call.request_class.name]
    left = lengths.remaining(queue.lengths, call.tokens_kept + attempt.tokens)
    pool = state.pool_of(core, call.request_class)
    here_s = left * server.speed.between_tokens_s
    there_s = MOVE_COST_S + left / pool.cost_per_slot_s
    return here_s > MOVE_GAIN * there_s


def _move(
    core: state.Core, call: state.Call, attempt: state.Attempt, now_s: float
) -> list[actions.Action]:
    name = _elsewhere(core, call, attempt, now_s)
    if name is None:
        return []
    done: list[actions.Action] = [attempts.cancel(core, call, attempt, now_s)]
    call.tokens_kept += attempt.tokens
    core.counters.migrations += 1
    done.append(attempts.start(core, call, name, now_s, attempt.priority))
    return done
