"""Admission control: refuses calls that can't finish by their deadline.

A refusal carries an estimate of when to retry.  A queued call is served after
all calls of higher tiers, so low tiers miss their deadlines first and are
refused first.  Calls that have already missed their first-token target don't
delay calls that can still meet theirs.
"""

from hickoryweir.configuration import model
from hickoryweir.outcomes import refusals
from hickoryweir.policy import (
    events,
    lengths,
    limits,
    noticed_servers,
    placement,
    poison,
    queues,
    state,
)

# Cost of an input token, in output tokens.
INPUT_TOKEN_COST = 0.05
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 60.0
# Largest random extension of a retry-after time, as a share of it.
RETRY_AFTER_JITTER = 0.5
RATE_MIN_COST_PER_S = 1e-3
# Quantile of the output lengths that stands for a long answer.
LONG_ANSWER_QUANTILE = 0.75
# With this many expected service times left, a queued call is kept in any case.
AMPLE_TIME_FACTOR = 4.0


def cost_of(
    core: state.Core, arrived: events.Arrived, request_class: model.RequestClass
) -> float:
    """Return the expected cost of a call, in output tokens (1 for services)."""
    if request_class.target is model.Target.SERVICE:
        return 1.0
    output = lengths.expected(core.queues[request_class.name].lengths)
    if arrived.max_output_tokens is not None:
        output = min(output, float(arrived.max_output_tokens))
    return max(1.0, output + INPUT_TOKEN_COST * arrived.input_tokens)


def service_s(core: state.Core, pool: state.Pool, call: state.Call) -> float:
    """Return the expected service time of a call, without queueing."""
    return call.cost / class_rate(core, pool, call.request_class)


def long_service_s(core: state.Core, pool: state.Pool, call: state.Call) -> float:
    """Return the service time of a call whose answer is long."""
    if pool.target is model.Target.SERVICE:
        return service_s(core, pool, call)
    histogram = core.queues[call.request_class.name].lengths
    output = lengths.quantile(histogram, LONG_ANSWER_QUANTILE)
    if call.arrived.max_output_tokens is not None:
        output = min(output, float(call.arrived.max_output_tokens))
    cost = output + INPUT_TOKEN_COST * call.arrived.input_tokens
    return cost / class_rate(core, pool, call.request_class)


def class_rate(
    core: state.Core, pool: state.Pool, request_class: model.RequestClass
) -> float:
    """Return the service rate of one call of a class, in cost per second.

    It is kept per class because engines run low tiers more slowly.
    """
    return core.queues[request_class.name].slot_cost_per_s or pool.slot_cost_per_s


def drain_rate(core: state.Core, pool: state.Pool, now_s: float) -> float:
    """Return the rate at which a pool serves this router's calls, in cost/s."""
    own = 0
    for name in pool.subset:
        server = core.servers[name]
        if placement.is_usable(server, now_s):
            own += len(server.calls)
    return max(1, own) * pool.slot_cost_per_s


def expected_wait_s(
    core: state.Core, pool: state.Pool, name: str, now_s: float
) -> float:
    """Return the expected queueing time of a new call of a class at this router."""
    limited_rate_per_s = noticed_servers.limited_rate_per_s(core, pool)
    if limited_rate_per_s is not None:
        return _calls_ahead_count(core, pool, name) / limited_rate_per_s
    cost_ahead = 0.0
    for other in pool.class_names:
        cost_ahead += core.queues[other].cost
        if other == name:
            break
    queue = core.queues[name]
    cost_ahead -= queue.late_cost
    if cost_ahead <= 0.0:
        return 0.0
    rate = drain_rate(core, pool, now_s)
    wait_s = cost_ahead / rate
    floor = queue.request_class.floor_share
    if floor > 0 and core.settings.mechanisms.floor_shares:
        wait_s = min(wait_s, (queue.cost - queue.late_cost + 1.0) / (floor * rate))
    return wait_s


def _calls_ahead_count(core: state.Core, pool: state.Pool, name: str) -> int:
    count = 0
    for other in pool.class_names:
        count += core.queues[other].length
        if other == name:
            break
    return count


def retry_after_s(core: state.Core, wait_s: float) -> float:
    """Return a retry-after time, with jitter so that callers don't retry together."""
    base = min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
    return base * (1.0 + RETRY_AFTER_JITTER * core.random.random())


def check(
    core: state.Core, pool: state.Pool, call: state.Call, now_s: float
) -> refusals.Refusal | None:
    """Return the refusal of a new call, or None if it is admitted."""
    if poison.is_refused(core, call):
        return poison.refusal()
    if not any(placement.is_usable(core.servers[n], now_s) for n in pool.subset):
        wait_s = noticed_servers.accepts_after_s(core, pool, now_s)
        return refusals.make_refusal(
            refusals.Reason.NO_BACKEND_SERVER,
            f"no backend server is available for {pool.name}",
            retry_after_s(core, max(1.0, min(wait_s, RETRY_AFTER_MAX_S))),
        )
    return _check_capacity(core, pool, call, now_s) or limits.check(
        core.accounts[call.arrived.account], now_s
    )


def _check_capacity(
    core: state.Core, pool: state.Pool, call: state.Call, now_s: float
) -> refusals.Refusal | None:
    request_class = call.request_class
    queue = core.queues[request_class.name]
    if queue.length == 0 and not core.settings.mechanisms.admission:
        return None
    wait_s = expected_wait_s(core, pool, request_class.name, now_s)
    if queue.length >= request_class.max_queue_length:
        return refusals.make_refusal(
            refusals.Reason.QUEUE_FULL,
            f"the queue of class {request_class.name} is full",
            retry_after_s(core, wait_s),
        )
    if not core.settings.mechanisms.admission:
        return None
    if now_s + wait_s + service_s(core, pool, call) > call.arrived.deadline_s:
        return refusals.make_refusal(
            refusals.Reason.DEADLINE_UNREACHABLE,
            f"class {request_class.name} would wait about {wait_s:.1f} s",
            retry_after_s(core, wait_s),
        )
    return None


def check_queued(
    core: state.Core, pool: state.Pool, call: state.Call, now_s: float
) -> refusals.Refusal | None:
    """Return the refusal of a queued call that is quarantined or can't finish in time.

    Return None if the call stays in the queue.
    """
    if poison.is_refused(core, call):
        return poison.refusal(call.ran)
    if not core.settings.mechanisms.admission or call.next_attempt > 1:
        return None
    time_left_s = call.arrived.deadline_s - now_s
    if AMPLE_TIME_FACTOR * service_s(core, pool, call) <= time_left_s:
        return None
    if long_service_s(core, pool, call) <= time_left_s:
        return None
    queue = core.queues[call.request_class.name]
    return shed(core, queue, now_s)


def misses_deadline(
    core: state.Core, queue: state.ClassQueue, call: state.Call, now_s: float
) -> bool:
    """Return whether a late call can't finish in time behind its class's late calls."""
    pool = state.pool_of(core, queue.request_class)
    floor = queue.request_class.floor_share * drain_rate(core, pool, now_s)
    rate = max(queues.served_rate(queue, now_s), floor, RATE_MIN_COST_PER_S)
    time_left_s = call.arrived.deadline_s - now_s - service_s(core, pool, call)
    return queue.late_cost / rate > time_left_s


def shed(core: state.Core, queue: state.ClassQueue, now_s: float) -> refusals.Refusal:
    """Return the refusal of a call that is shed because its class is over capacity."""
    pool = state.pool_of(core, queue.request_class)
    wait_s = queue.cost / drain_rate(core, pool, now_s)
    return refusals.make_refusal(
        refusals.Reason.SHED,
        f"class {queue.request_class.name} is over capacity",
        retry_after_s(core, wait_s),
    )


def admit(core: state.Core, call: state.Call) -> None:
    """Register and queue an admitted call."""
    core.accounts[call.arrived.account].calls += 1
    core.calls[call.arrived.request_id] = call
    queues.push(core, call)
