"""Admission: refuse at once what would miss its target, with a wait worth obeying."""

from hickoryweir.configuration import model
from hickoryweir.outcomes import refusals
from hickoryweir.policy import lengths, limits, placement, queues, state

INPUT_COST = 0.05
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 60.0
RETRY_AFTER_JITTER = 0.5


def cost_of(core: state.Core, arrived, request_class: model.RequestClass) -> float:
    """Return the expected cost of a call, in output tokens (1 for services)."""
    if request_class.target is model.Target.SERVICE:
        return 1.0
    output = lengths.expected(core.queues[request_class.name].lengths)
    if arrived.max_output_tokens is not None:
        output = min(output, float(arrived.max_output_tokens))
    return max(1.0, output + INPUT_COST * arrived.input_tokens)


def drain_rate(core: state.Core, pool: state.Pool, now_s: float) -> float:
    """Return the cost per second that this router gets done in a pool."""
    own = 0
    for name in pool.subset:
        server = core.servers[name]
        if placement.usable(server, now_s):
            own += len(server.calls)
    return max(1, own) * pool.cost_per_slot_s


def expected_wait_s(core: state.Core, pool: state.Pool, name: str, now_s: float):
    """Return how long a new call of a class would wait at this router."""
    ahead = 0.0
    for other in pool.class_names:
        ahead += core.queues[other].cost
        if other == name:
            break
    if ahead == 0.0:
        return 0.0
    rate = drain_rate(core, pool, now_s)
    queue = core.queues[name]
    wait_s = ahead / rate
    floor = queue.request_class.floor_share
    if floor > 0 and core.settings.mechanisms.floor_shares:
        wait_s = min(wait_s, (queue.cost + 1.0) / (floor * rate))
    return wait_s


def retry_after_s(core: state.Core, wait_s: float) -> float:
    """Return a wait for the caller, spread so that callers don't return at once."""
    base = min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
    return base * (1.0 + RETRY_AFTER_JITTER * core.random.random())


def check(
    core: state.Core, pool: state.Pool, call: state.Call, now_s: float
) -> refusals.Refusal | None:
    """Return why a new call is refused, or None if it is taken in."""
    request_class = call.request_class
    arrived = call.arrived
    if arrived.fingerprint in core.quarantined:
        return refusals.make_refusal(
            refusals.Reason.QUARANTINED, "this request made backend servers crash"
        )
    if not any(placement.usable(core.servers[n], now_s) for n in pool.subset):
        return refusals.make_refusal(
            refusals.Reason.NO_BACKEND_SERVER,
            f"no backend server is available for {pool.name}",
            retry_after_s(core, 1.0),
        )
    queue = core.queues[request_class.name]
    if queue.length >= request_class.max_queue_length:
        wait_s = expected_wait_s(core, pool, request_class.name, now_s)
        return refusals.make_refusal(
            refusals.Reason.QUEUE_FULL,
            f"the queue of class {request_class.name} is full",
            retry_after_s(core, wait_s),
        )
    return _late(core, pool, call, now_s) or limits.check(
        core.accounts[arrived.account], now_s
    )


def _late(
    core: state.Core, pool: state.Pool, call: state.Call, now_s: float
) -> refusals.Refusal | None:
    if not core.settings.mechanisms.admission:
        return None
    if all(core.queues[name].length == 0 for name in pool.class_names):
        return None
    name = call.request_class.name
    wait_s = expected_wait_s(core, pool, name, now_s)
    service_s = call.cost / pool.cost_per_slot_s
    if now_s + wait_s + service_s > call.arrived.deadline_s:
        return refusals.make_refusal(
            refusals.Reason.DEADLINE_UNREACHABLE,
            f"class {name} would wait about {wait_s:.1f} s",
            retry_after_s(core, wait_s),
        )
    return None


def take_in(core: state.Core, call: state.Call) -> None:
    """Count a call that was taken in."""
    core.accounts[call.arrived.account].calls += 1
    core.calls[call.arrived.request_id] = call
    queues.push(core, call)
