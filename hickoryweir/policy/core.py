"""The policy core of one router: a deterministic state machine.

The core maps each event to a list of actions.  It reads no clock, does no I/O
and draws random numbers only from a seeded generator, so the daemon, the tests
and the load tool run the same code.  :func:`make_core` creates the state, and
:func:`handle` applies one event.

Each call ends exactly once: the daemon reports ``Completed`` or ``Withdrawn``,
or the core returns ``Refuse``.

Examples
--------
>>> from hickoryweir.policy import examples
>>> core = make_core(settings.CoreSettings("router-1", "a"), examples.small())
>>> result = handle(core, examples.arrival("r1"), 0.0)
>>> [type(action).__name__ for action in result]
['Dispatch']
>>> handle(core, events.Completed("r1", 1, 30), 1.0)
[]
"""

import heapq
import random

from hickoryweir.configuration import model
from hickoryweir.outcomes import refusals
from hickoryweir.policy import (
    actions,
    admission,
    affinity,
    attempts,
    digests,
    events,
    late_attempts,
    lengths,
    load,
    noticed_servers,
    poison,
    providers,
    recovery,
    scheduling,
    settings,
    state,
    stragglers,
    topology,
)

# Lower bound that keeps the rate of an attempt finite.
ATTEMPT_DURATION_MIN_S = 0.001
# Weight of a new sample in the moving averages of the service rates.
RATE_SMOOTHING = 0.05


def make_core(
    core_settings: settings.CoreSettings, configuration: model.Configuration
) -> state.Core:
    """Return the initial state of a core.

    Parameters
    ----------
    core_settings : settings.CoreSettings
        Identity of this router, and the seed.
    configuration : model.Configuration
        Configuration in force.

    Returns
    -------
    state.Core
        State to pass to :func:`handle`.
    """
    generator = random.Random(f"{core_settings.router}/{core_settings.seed}")
    core = state.Core(core_settings, configuration, 0, generator)
    topology.install(core, configuration)
    return core


def handle(core: state.Core, event: events.Event, now_s: float) -> list[actions.Action]:
    """Apply one event and return the actions that it causes.

    Parameters
    ----------
    core : state.Core
        State of the router, modified in place.
    event : events.Event
        The event to apply.
    now_s : float
        Monotonic time, not before that of the previous event.

    Returns
    -------
    list of actions.Action
        Actions in the order in which the daemon executes them.
    """
    return HANDLERS[type(event)](core, event, now_s)


def _arrived(core: state.Core, event: events.Arrived, now_s: float):
    request_class = core.classes[event.class_name]
    core.counters.arrivals[event.class_name] += 1
    pool = state.pool_of(core, request_class)
    cost = admission.cost_of(core, event, request_class)
    call = state.Call(event, request_class, now_s, cost)
    refusal = admission.check(core, pool, call, now_s)
    if refusal is not None:
        core.counters.refusals[refusal.reason, event.class_name] += 1
        return [actions.Refuse(event.request_id, refusal)]
    recovery.add_credit(core)
    late_attempts.add_credit(core)
    call.provider = providers.choose(core, call)
    call.earliest_dispatch_s = poison.earliest_dispatch_s(
        core, event.fingerprint, now_s
    )
    admission.admit(core, call)
    heapq.heappush(core.deadlines, (event.deadline_s, event.request_id))
    return scheduling.serve(core, pool, now_s)


def _progressed(core: state.Core, event: events.Progressed, now_s: float):
    call = core.calls.get(event.request_id)
    attempt = call.attempts.get(event.attempt) if call else None
    if attempt is None:
        return []
    return recovery.progressed(core, call, attempt, event.output_tokens, now_s)


def _completed(core: state.Core, event: events.Completed, now_s: float):
    call = core.calls.get(event.request_id)
    attempt = call.attempts.get(event.attempt) if call else None
    if attempt is None:
        return []
    pool = state.pool_of(core, call.request_class)
    result = recovery.cancel_others(core, call, attempt, now_s)
    _update_estimates(core, pool, call, attempt, event.output_tokens, now_s)
    attempts.release(core, call, now_s)
    return result + scheduling.serve(core, pool, now_s)


def _update_estimates(
    core: state.Core,
    pool: state.Pool,
    call: state.Call,
    attempt: state.Attempt,
    output_tokens: int,
    now_s: float,
) -> None:
    recovery.succeeded(core, call, attempt, now_s)
    core.counters.completions[call.request_class.name] += 1
    core.counters.output_tokens += output_tokens
    core.accounts[call.arrived.account].token_bucket -= output_tokens
    cost = 1.0
    if pool.target is model.Target.MODEL:
        queue = core.queues[call.request_class.name]
        lengths.observe(queue.lengths, call.resume_tokens + output_tokens)
        cost = output_tokens + admission.INPUT_TOKEN_COST * call.arrived.input_tokens
    rate = cost / max(ATTEMPT_DURATION_MIN_S, now_s - attempt.started_s)
    pool.slot_cost_per_s += RATE_SMOOTHING * (rate - pool.slot_cost_per_s)
    queue = core.queues[call.request_class.name]
    previous_rate = queue.slot_cost_per_s or pool.slot_cost_per_s
    queue.slot_cost_per_s = previous_rate + RATE_SMOOTHING * (rate - previous_rate)
    _update_attainment(core, call, attempt, now_s)


def _update_attainment(
    core: state.Core, call: state.Call, attempt: state.Attempt, now_s: float
) -> None:
    server = core.servers.get(attempt.server)
    if server is None:
        return
    request_class = call.request_class
    first_s = (attempt.first_token_s or now_s) - attempt.started_s
    met = first_s <= request_class.first_token_target_s
    met = met and now_s - attempt.started_s <= request_class.answer_target_s
    providers.observe(core, call, server.backend.provider, met, now_s)


def _attempt_failed(core: state.Core, event: events.AttemptFailed, now_s: float):
    call = core.calls.get(event.request_id)
    attempt = call.attempts.get(event.attempt) if call else None
    if attempt is None:
        return []
    pool = state.pool_of(core, call.request_class)
    result = recovery.failed(core, pool, call, attempt, event, now_s)
    return result + scheduling.serve(core, pool, now_s)


def _withdrawn(core: state.Core, event: events.Withdrawn, now_s: float):
    call = core.calls.get(event.request_id)
    if call is None:
        return []
    pool = state.pool_of(core, call.request_class)
    tokens = call.resume_tokens + sum(item.tokens for item in call.attempts.values())
    attempts.count_wasted(core, refusals.Reason.CALLER_LEFT, tokens)
    attempts.release(core, call, now_s)
    return scheduling.serve(core, pool, now_s)


def _load_reported(core: state.Core, event: events.LoadReported, now_s: float):
    server = core.servers.get(event.backend_server)
    if server is None:
        return []
    if server.report is not None:
        server.report_interval_s = now_s - server.last_report_s
    server.last_report_s = server.last_heard_s = now_s
    for name in server.backend.serves:
        pool = core.pools.get((server.backend.target, name))
        if pool is not None:
            pool.last_heard_s = now_s
    load.apply_report(core, server, event)
    return scheduling.serve_server(core, server, now_s)


def _cache_changed(core: state.Core, event: events.CacheChanged, now_s: float):
    server = core.servers.get(event.backend_server)
    if server is not None:
        affinity.apply(server, event)
    return []


def _server_state_changed(
    core: state.Core, event: events.ServerStateChanged, now_s: float
):
    server = core.servers.get(event.backend_server)
    if server is None:
        return []
    if event.state is events.ServerState.LIVE:
        server.down_until_s = 0.0
        if server.state is events.ServerState.GONE:
            # Another incarnation has started under the same name.
            noticed_servers.forget(core, server)
    server.state = event.state
    return scheduling.serve_server(core, server, now_s)


def _server_noticed(core: state.Core, event: events.ServerNoticed, now_s: float):
    server = core.servers.get(event.backend_server)
    if server is None:
        return []
    known = server.notices
    noticed_servers.record(core, event, now_s)
    if server.notices is known:
        return []
    return scheduling.serve_server(core, server, now_s)


def _configuration_changed(
    core: state.Core, event: events.ConfigurationChanged, now_s: float
):
    if event.version <= core.version:
        return []
    core.version = event.version
    topology.install(core, event.configuration)
    return scheduling.serve_all(core, now_s)


def _peer_digest(core: state.Core, event: events.PeerDigestReceived, now_s: float):
    if event.router == core.settings.router:
        return []
    result = digests.apply(core, event, now_s)
    return result + scheduling.serve_all(core, now_s)


def _ticked(core: state.Core, event: events.Ticked, now_s: float):
    digests.remove_expired(core, now_s)
    poison.remove_expired(core, now_s)
    noticed_servers.review(core, now_s)
    for pool in core.pools.values():
        stragglers.review(core, pool, now_s)
    result = scheduling.expire(core, now_s)
    result += late_attempts.review(core, now_s)
    result += scheduling.serve_all(core, now_s)
    return result + scheduling.shed_late(core, now_s)


HANDLERS = {
    events.Arrived: _arrived,
    events.Progressed: _progressed,
    events.Completed: _completed,
    events.AttemptFailed: _attempt_failed,
    events.Withdrawn: _withdrawn,
    events.LoadReported: _load_reported,
    events.CacheChanged: _cache_changed,
    events.ServerStateChanged: _server_state_changed,
    events.ServerNoticed: _server_noticed,
    events.ConfigurationChanged: _configuration_changed,
    events.PeerDigestReceived: _peer_digest,
    events.Ticked: _ticked,
}
