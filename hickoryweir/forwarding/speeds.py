"""A router's view of its servers' speed: records, reports and describes it.

The decisions are in :mod:`hickoryweir.forwarding_policy.server_speed` and
:mod:`hickoryweir.forwarding_policy.service_rates`.  Nothing is recorded, sent or used
for a service none of whose servers announces its slowness.
"""

import dataclasses

from hickoryweir import clocks
from hickoryweir.feeds import messages
from hickoryweir.feeds import speeds as speed_messages
from hickoryweir.forwarding import contexts, header_codec, server_pool, speed_state
from hickoryweir.forwarding_policy import (
    prefill_interference,
    prompt_placement,
    server_speed,
    service_rates,
)

# Servers announce their slowness in each response; after this time without one, they
# count as announcing nothing.
ANNOUNCED_WITHIN_S = 30.0
# Later, other requests than the announced ones run at a server.
ANNOUNCED_REQUESTS_FRESH_S = 0.3
# Rates in force follow the learned ones beyond this difference, so that the sets of
# sensitive routes do not alternate.
RATE_CHANGE_SHARE = 0.15
# An event that took longer to write waits for its client rather than for its server.
WRITE_MAX_S = 0.002
# Bounds the gauges by server; the slowest servers are shown.
MAX_GAUGES_COUNT = 100
MAX_DESCRIBED_COUNT = 3
EVENT_END = b"\n\n"


def record_head(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    load: header_codec.AnnouncedLoad | None,
) -> None:
    """Record the load that a response announces, if it includes the slowness."""
    if load is None or not server_speed.is_plausible(load.slowness):
        return
    now_s = clocks.boottime_s()
    state = _state_of(context.forwarder, context.service_name)
    state.announced_at_s = now_s
    view.announced_at_s = now_s
    view.announced_requests_count = load.running_count + load.waiting_count
    expected = server_speed.estimate(view.speed, view.others_speed, now_s)
    state.samples = service_rates.add_forecast(state.samples, expected, load.slowness)
    view.speed = server_speed.add_announced(view.speed, load.slowness, now_s)


def _state_of(forwarder: contexts.Forwarder, name: str) -> speed_state.ServiceSpeed:
    return forwarder.speeds.setdefault(name, speed_state.ServiceSpeed())


def announces(forwarder: contexts.Forwarder, service_name: str) -> bool:
    """Return whether servers of a service announce their slowness."""
    state = forwarder.speeds.get(service_name)
    if state is None:
        return False
    return clocks.boottime_s() - state.announced_at_s < ANNOUNCED_WITHIN_S


def rates_of(
    forwarder: contexts.Forwarder, service_name: str
) -> prefill_interference.Rates:
    """Return the rates in force for a service."""
    if not announces(forwarder, service_name):
        return prefill_interference.DEFAULT_RATES
    return forwarder.speeds[service_name].rates


def slowness_of(
    forwarder: contexts.Forwarder, view: server_pool.ServerView, now_s: float
) -> float:
    """Return the slowness that a server is expected to have."""
    estimate = server_speed.estimate(view.speed, view.others_speed, now_s)
    state = forwarder.speeds.get(view.listed.service_name)
    return 1.0 if state is None else estimate**state.forecast_share


def requests_count(view: server_pool.ServerView, known_count: int) -> int:
    """Return the requests at a server, given those that the routers know of.

    A server may have announced more, such as those of a router whose report is late.
    """
    if clocks.boottime_s() - view.announced_at_s > ANNOUNCED_REQUESTS_FRESH_S:
        return known_count
    since_count = sum(
        request.sent_at_s > view.announced_at_s for request in view.in_flight.values()
    )
    return max(known_count, view.announced_requests_count + since_count)


def _tokens_per_event_count(context: contexts.RequestContext) -> int:
    service = context.forwarder.route_index.services.get(context.service_name)
    return 0 if service is None else service.tokens_per_event_count


def pause_target_of(context: contexts.RequestContext) -> prompt_placement.PauseTarget:
    """Return the target for the pauses of a request's stream."""
    return prompt_placement.PauseTarget(
        context.route.target_gap_s,
        _tokens_per_event_count(context),
        context.route.target_latency_s,
    )


def record_events(
    context: contexts.RequestContext, view: server_pool.ServerView, events: bytes
) -> None:
    """Record the times of the first event, and between events, of an attempt.

    Called before the events are written to the client.
    """
    forwarder, in_flight = context.forwarder, context.in_flight
    if context.uses_relay or context.metadata.prompt is None:
        return
    if not announces(forwarder, context.service_name):
        return
    now_s = clocks.boottime_s()
    if not in_flight.has_first_event:
        _record_first_event(context, view, now_s)
    elif in_flight.event_at_s is not None:
        count = max(1, events.count(EVENT_END))
        _record_pause(context, view, (now_s - in_flight.event_at_s) / count, now_s)
    in_flight.event_at_s = now_s


def record_written(context: contexts.RequestContext) -> None:
    """Record that events were written; a slow client hides the time of the next."""
    in_flight = context.in_flight
    if in_flight.event_at_s is None:
        return
    if clocks.boottime_s() - in_flight.event_at_s > WRITE_MAX_S:
        in_flight.event_at_s = None


def _record_first_event(
    context: contexts.RequestContext, view: server_pool.ServerView, now_s: float
) -> None:
    placement = context.placement
    state = _state_of(context.forwarder, context.service_name)
    tokens_per_event_count = _tokens_per_event_count(context)
    measured_s = now_s - context.in_flight.sent_at_s
    sample = server_speed.measure_first_event(
        state.rates,
        placement.uncached_tokens_count,
        placement.backlog_tokens_count,
        tokens_per_event_count,
        measured_s,
    )
    if sample is not None:
        view.speed = server_speed.add_measured(view.speed, sample, now_s)
    if not placement.backlog_tokens_count:
        known = server_speed.estimate_announced(view.speed, view.others_speed, now_s)
        state.samples = service_rates.add_prompt(
            state.samples,
            placement.uncached_tokens_count,
            measured_s / known,
            tokens_per_event_count,
            state.rates,
        )


def _record_pause(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    pause_s: float,
    now_s: float,
) -> None:
    state = _state_of(context.forwarder, context.service_name)
    tokens_per_event_count = _tokens_per_event_count(context)
    if not tokens_per_event_count:
        return
    known = server_speed.estimate_announced(view.speed, view.others_speed, now_s)
    state.samples = service_rates.add_step(
        state.samples, pause_s / tokens_per_event_count / known
    )
    sample = server_speed.measure_pause(state.rates, tokens_per_event_count, pause_s)
    if sample is not None:
        view.speed = server_speed.add_measured(view.speed, sample, now_s)


def own_speeds(forwarder: contexts.Forwarder) -> messages.RouterSpeeds | None:
    """Return the speeds and samples to report; None without announced slowness."""
    names = [name for name in forwarder.speeds if announces(forwarder, name)]
    if not names:
        return None
    known = {
        server_id: view.speed
        for server_id, view in forwarder.pool.servers.items()
        if view.speed is not server_speed.NO_SPEED
    }
    return messages.RouterSpeeds(
        speed_messages.make_speeds(known, clocks.boottime_s()),
        tuple(
            speed_messages.make_samples(name, forwarder.speeds[name].samples)
            for name in names[: speed_messages.MAX_SERVICES_COUNT]
        ),
    )


def record_sent(forwarder: contexts.Forwarder, sent: messages.RouterSpeeds) -> None:
    """Record what was sent, to subtract it from the sum of all routers."""
    now_s = clocks.boottime_s()
    by_id = {item.server_id: item for item in sent.speeds}
    for server_id, view in forwarder.pool.servers.items():
        item = by_id.get(server_id)
        view.sent_speed = server_speed.NO_SPEED
        if item is not None:
            view.sent_speed = speed_messages.read_speed(item, now_s)


def apply_total(forwarder: contexts.Forwarder, total: messages.TotalSpeeds) -> None:
    """Store what the other routers know, and learn the rates from all samples."""
    now_s = clocks.boottime_s()
    by_id = {item.server_id: item for item in total.speeds}
    for server_id, view in forwarder.pool.servers.items():
        item = by_id.get(server_id)
        if item is None:
            view.others_speed = server_speed.NO_SPEED
            continue
        known = speed_messages.read_speed(item, now_s)
        view.others_speed = server_speed.subtract(known, view.sent_speed, now_s)
        if view.others_speed.announced.weight:
            state = _state_of(forwarder, view.listed.service_name)
            state.announced_at_s = now_s
    for item in total.samples[: speed_messages.MAX_SERVICES_COUNT]:
        if item.service_name in forwarder.speeds:
            _learn(forwarder, item.service_name, speed_messages.read_samples(item))


def _learn(
    forwarder: contexts.Forwarder, name: str, samples: service_rates.Histograms
) -> None:
    """Put learned rates into force where they differ clearly from those in force."""
    state, learned = forwarder.speeds[name], service_rates.learn(samples)
    state.forecast_share = service_rates.forecast_share(samples)
    ratio = learned.prefill_tokens_per_s / state.rates.prefill_tokens_per_s
    is_near = 1.0 / (1.0 + RATE_CHANGE_SHARE) < ratio < 1.0 + RATE_CHANGE_SHARE
    if is_near and learned.is_learned == state.rates.is_learned:
        state.rates = dataclasses.replace(state.rates, step_s=learned.step_s)
        return
    state.rates = learned
    # Which streams are sensitive depends on the rates.
    forwarder.sensitive_routes.pop(name, None)


def describe(context: contexts.RequestContext) -> str:
    """Return the speeds, ages and costs that were compared, for a log line."""
    name, placement = context.service_name, context.placement
    if not announces(context.forwarder, name) or context.metadata.prompt is None:
        return ""
    others = " ".join(
        f"{item.server_id} {item.slowness:.2f} {item.cost_s:.3f} s"
        for item in placement.compared[:MAX_DESCRIBED_COUNT]
    )
    view = context.forwarder.pool.servers.get(placement.server_id)
    age_s = float("inf")
    if view is not None:
        age_s = clocks.boottime_s() - view.announced_at_s
    rates = rates_of(context.forwarder, name)
    return (
        f", slowness {placement.slowness:.2f}, own figure {age_s:.1f} s old, "
        f"cost {placement.cost_s:.3f} s, others {others or 'none'}, "
        f"{rates.prefill_tokens_per_s / 1_000:.0f} tokens/ms"
    )


def remove_stale_rates(forwarder: contexts.Forwarder) -> None:
    """Return to the default rates where servers no longer announce their slowness."""
    for name, state in forwarder.speeds.items():
        if state.rates.is_learned and not announces(forwarder, name):
            state.rates = prefill_interference.DEFAULT_RATES
            forwarder.sensitive_routes.pop(name, None)


def update_gauges(forwarder: contexts.Forwarder) -> None:
    """Set the gauges of the slowest servers' slowness and of the learned rates."""
    gauge, now_s = forwarder.metrics.server_slowness, clocks.boottime_s()
    found = [
        (slowness_of(forwarder, view, now_s), server_id)
        for server_id, view in forwarder.pool.servers.items()
        if announces(forwarder, view.listed.service_name)
    ]
    gauge.clear()
    for slowness, server_id in sorted(found, reverse=True)[:MAX_GAUGES_COUNT]:
        gauge.labels(server_id).set(slowness)
    rates = forwarder.metrics.prefill_rate
    rates.clear()
    for name in forwarder.speeds:
        if announces(forwarder, name):
            rate = rates_of(forwarder, name).prefill_tokens_per_s
            rates.labels(name).set(rate)
