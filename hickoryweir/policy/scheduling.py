"""Dispatch of queued calls while there is capacity, and refusal of late ones."""

import heapq

from hickoryweir.outcomes import refusals
from hickoryweir.policy import (
    actions,
    admission,
    attempts,
    load,
    placement,
    poison,
    queues,
    state,
)


def serve_all(core: state.Core, now_s: float) -> list[actions.Action]:
    """Dispatch queued calls of every pool."""
    result: list[actions.Action] = []
    for pool in core.pools.values():
        result += serve(core, pool, now_s)
    return result


def serve_server(
    core: state.Core, server: state.Server, now_s: float
) -> list[actions.Action]:
    """Dispatch queued calls of the pools that a backend server belongs to."""
    result: list[actions.Action] = []
    for name in server.backend.serves:
        pool = core.pools.get((server.backend.target, name))
        if pool is not None:
            result += serve(core, pool, now_s)
    return result


def serve(core: state.Core, pool: state.Pool, now_s: float) -> list[actions.Action]:
    """Dispatch queued calls of a pool while there is capacity."""
    result: list[actions.Action] = []
    if pool.suspects:
        result += _serve_suspects(core, pool, now_s)
    while any(core.queues[name].length for name in pool.class_names):
        action = _serve_one(core, pool, now_s)
        if action is None:
            break
        result.append(action)
    return result


def _serve_one(
    core: state.Core, pool: state.Pool, now_s: float
) -> actions.Action | None:
    for queue in queues.service_order(core, pool, now_s):
        call = queues.head(core, queue, now_s)
        if call is None:
            continue
        refusal = admission.check_queued(core, pool, call, now_s)
        if refusal is not None:
            (action,) = attempts.refuse(core, call, refusal, now_s)
            return action
        top = placement.is_top(core, pool, queue.request_class)
        credit = not top and queues.has_credit(core, queue, now_s)
        name = placement.choose(core, pool, call, now_s, top or credit)
        if name is None:
            continue
        queues.pop(core, queue, call, now_s)
        queues.update_credits(core, pool, call, now_s)
        return attempts.start(
            core, call, name, now_s, priority(core, pool, call, credit)
        )
    return None


def priority(core: state.Core, pool: state.Pool, call: state.Call, credit: bool) -> int:
    """Return the priority sent to the engine.

    It is the tier of the call's class, or the pool's top tier if the call is served
    on its class's floor credit.
    """
    if credit:
        return core.queues[pool.class_names[0]].request_class.tier
    return call.request_class.tier


def _serve_suspects(
    core: state.Core, pool: state.Pool, now_s: float
) -> list[actions.Action]:
    """Dispatch isolated suspects, each to a server that runs no other suspect."""
    result: list[actions.Action] = []
    free_servers = placement.servers_without_suspects(core, pool, now_s)
    assigned = poison.assign_servers(core, pool, free_servers)
    waiting, pool.suspects = pool.suspects, []
    for call in waiting:
        if not call.queued:
            continue
        if _isolation_has_ended(core, call, now_s):
            queues.remove(core, call)
            queues.push(core, call, isolate=False)
            continue
        name = _server_for_suspect(core, pool, call, assigned, now_s)
        if name is None:
            pool.suspects.append(call)
            continue
        del assigned[call.arrived.fingerprint]
        queues.remove(core, call)
        queues.update_credits(core, pool, call, now_s)
        tier = call.request_class.tier
        result.append(attempts.start(core, call, name, now_s, tier))
    return result


def _isolation_has_ended(core: state.Core, call: state.Call, now_s: float) -> bool:
    """Return whether a call no longer needs a server without other suspects."""
    fingerprint = call.arrived.fingerprint
    if not poison.is_isolated(core, fingerprint):
        return True
    suspect = core.suspects.get(fingerprint)
    if suspect is None or suspect.crashes > 1:
        return False
    return now_s > suspect.seen_s + poison.ISOLATION_MAX_S


def _server_for_suspect(
    core: state.Core,
    pool: state.Pool,
    call: state.Call,
    assigned: dict[str, str],
    now_s: float,
) -> str | None:
    fingerprint = call.arrived.fingerprint
    name = assigned.get(fingerprint)
    if name is None or now_s < call.earliest_dispatch_s:
        return None
    if fingerprint in core.running or fingerprint in core.peer_placed:
        return None
    if poison.is_reserved_for_peer(core, pool, fingerprint):
        return None
    top = placement.is_top(core, pool, call.request_class)
    server = core.servers[name]
    occupied = load.occupancy(server, now_s)
    return name if placement.has_capacity(core, pool, server, top, occupied) else None


def expire(core: state.Core, now_s: float) -> list[actions.Action]:
    """Refuse calls whose deadline has passed."""
    result: list[actions.Action] = []
    while core.deadlines and core.deadlines[0][0] <= now_s:
        _, request_id = heapq.heappop(core.deadlines)
        call = core.calls.get(request_id)
        if call is None or call.arrived.deadline_s > now_s:
            continue
        pool = state.pool_of(core, call.request_class)
        wait_s = admission.expected_wait_s(core, pool, call.request_class.name, now_s)
        refusal = refusals.make_refusal(
            refusals.Reason.DEADLINE_EXCEEDED,
            "the deadline passed before the answer was complete",
            admission.retry_after_s(core, wait_s),
            attempts.ran(call),
        )
        result += attempts.refuse(core, call, refusal, now_s)
    return result


def shed_late(core: state.Core, now_s: float) -> list[actions.Action]:
    """Refuse late calls that can't finish in time at their class's service rate."""
    result: list[actions.Action] = []
    if not core.settings.mechanisms.admission:
        return result
    for queue in core.queues.values():
        while True:
            call = queues.late_head(core, queue)
            if call is None or not admission.misses_deadline(core, queue, call, now_s):
                break
            refusal = admission.shed(core, queue, now_s)
            result += attempts.refuse(core, call, refusal, now_s)
    return result
