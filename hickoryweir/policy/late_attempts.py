"""Late attempts: hedging before the first token, migration after it.

A hedge is a second attempt while the first still runs; the attempt with the first
token is kept.  A stalled or slow stream is cancelled and resumed on another server
after the tokens already sent.  Both apply to idempotent calls only, and hedges
have a budget.
"""

from hickoryweir.policy import actions, attempts, lengths, placement, poison, state

# Hedges per arrival.
HEDGE_BUDGET_SHARE = 0.05
HEDGE_CREDIT_MAX = 5.0
# Share of the first-token target after which a call is hedged.
HEDGE_AFTER_TARGET_SHARE = 0.5
# Time without a token after which a stream is migrated.
STALLED_AFTER_S = 2.0
# A server without progress for this long, on so many older calls, is paused.
UNRESPONSIVE_AFTER_S = 1.5
UNRESPONSIVE_CALLS_COUNT = 2
DOWN_S = 2.0
# Least ratio of the remaining time here to that after a migration.
MIGRATION_MIN_SPEEDUP = 2.0
MIGRATION_COST_S = 0.5


def add_credit(core: state.Core) -> None:
    """Add the hedging credit of one arrival."""
    core.hedge_credit = min(HEDGE_CREDIT_MAX, core.hedge_credit + HEDGE_BUDGET_SHARE)


def review(core: state.Core, now_s: float) -> list[actions.Action]:
    """Hedge or migrate late attempts; called at each tick."""
    result: list[actions.Action] = []
    for server in core.servers.values():
        if server.calls:
            _mark_unresponsive(server, now_s)
            for call in list(server.calls.values()):
                result += _review_call(core, server, call, now_s)
    return result


def _mark_unresponsive(server: state.Server, now_s: float) -> None:
    """Pause dispatch to a server whose calls made no progress for too long."""
    if now_s - server.last_progress_s < UNRESPONSIVE_AFTER_S:
        return
    stalled_count = sum(
        attempt.started_s < now_s - UNRESPONSIVE_AFTER_S
        for call in server.calls.values()
        for attempt in call.attempts.values()
        if attempt.server == server.backend.name
    )
    if stalled_count >= UNRESPONSIVE_CALLS_COUNT:
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
    if request_class.retries and _should_migrate(core, server, call, attempt, now_s):
        return _migrate(core, call, attempt, now_s)
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
    hedge_delay_s = HEDGE_AFTER_TARGET_SHARE * request_class.first_token_target_s
    if now_s - attempt.started_s < hedge_delay_s:
        return []
    name = _find_other_server(core, call, attempt, now_s)
    if name is None:
        return []
    core.hedge_credit -= 1.0
    call.hedged = True
    return [attempts.start(core, call, name, now_s, attempt.priority, hedge=True)]


def _find_other_server(
    core: state.Core, call: state.Call, attempt: state.Attempt, now_s: float
) -> str | None:
    """Return another server with free slots, so that no call is preempted."""
    pool = state.pool_of(core, call.request_class)
    candidates = [
        item
        for item in placement.candidates(core, pool, call, now_s, top=False)
        if item.name != attempt.server
    ]
    if not candidates:
        return None
    return min(candidates, key=lambda item: (item.load_share, item.name)).name


def _should_migrate(
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
    remaining_tokens = lengths.remaining(
        queue.lengths, call.resume_tokens + attempt.tokens
    )
    pool = state.pool_of(core, call.request_class)
    stay_s = remaining_tokens * server.speed.between_tokens_s
    migrate_s = MIGRATION_COST_S + remaining_tokens / pool.slot_cost_per_s
    return stay_s > MIGRATION_MIN_SPEEDUP * migrate_s


def _migrate(
    core: state.Core, call: state.Call, attempt: state.Attempt, now_s: float
) -> list[actions.Action]:
    name = _find_other_server(core, call, attempt, now_s)
    if name is None:
        return []
    result: list[actions.Action] = [attempts.cancel(core, call, attempt, now_s)]
    call.resume_tokens += attempt.tokens
    core.counters.migrations += 1
    result.append(attempts.start(core, call, name, now_s, attempt.priority))
    return result
