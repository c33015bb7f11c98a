"""Choice of the backend server for a request, and admission of prompts.

Passes the router's view of the servers to the pure functions in
:mod:`hickoryweir.forwarding_policy.prompt_placement` and
:mod:`hickoryweir.forwarding_policy.prompt_admission`.
"""

import dataclasses
import math
import time

from hickoryweir import clocks
from hickoryweir.forwarding import (
    account_sharing,
    contexts,
    header_codec,
    memory_room,
    resumption,
    server_pool,
    speeds,
)
from hickoryweir.forwarding_policy import (
    prefill_interference,
    prompt_admission,
    prompt_placement,
    server_limits,
    server_notices,
    server_speed,
)

# Below 1: other routers' requests of the last tenths of a second are not counted yet.
FULL_SLOTS_SHARE = 0.8
ISOLATED_KINDS = frozenset(
    {
        prefill_interference.PromptKind.SENSITIVE,
        prefill_interference.PromptKind.TOLERANT,
    }
)
# Route priorities that the urgency of an account's prompts distinguishes.
URGENCY_STEPS_COUNT = 3


def choose_server(
    context: contexts.RequestContext,
) -> prompt_placement.Placement | None:
    """Return the server for the next attempt; None if all were tried."""
    return place(context, find_candidates(context))


def find_candidates(
    context: contexts.RequestContext,
) -> list[prompt_placement.Candidate]:
    """Return the servers that the next attempt may be placed on."""
    forwarder = context.forwarder
    parts = _parts_of(context)
    views = _without_yielded_grants(context, untried_servers(context))
    now_s = time.monotonic()
    outlier_ids = server_pool.find_outliers(views, now_s)
    candidates = [
        _make_candidate(forwarder, view, parts, outlier_ids, now_s) for view in views
    ]
    return _mark_room(context, views, candidates)


def place(
    context: contexts.RequestContext, candidates: list[prompt_placement.Candidate]
) -> prompt_placement.Placement | None:
    """Return the best of the candidates; None if there is none."""
    forwarder, prompt = context.forwarder, context.metadata.prompt
    parts, now_s = _parts_of(context), time.monotonic()
    if not parts:
        salt = context.metadata.request_id
        return prompt_placement.choose_least_loaded(candidates, salt)
    kind = _prompt_kind(context)
    return prompt_placement.choose_for_prompt(
        candidates,
        shared_parts(parts)[-1].part_id,
        prompt.input_tokens_count,
        sum(part.tokens_count for part in parts[:-1]),
        forwarder.settings.long_prompt_share,
        _max_backlog_s(context),
        kind,
        _quiet_count(context, candidates, now_s) if kind in ISOLATED_KINDS else None,
        speeds.rates_of(forwarder, context.service_name),
        speeds.pause_target_of(context),
        context.metadata.request_id,
    )


def _parts_of(
    context: contexts.RequestContext,
) -> tuple[header_codec.PromptPart, ...]:
    prompt = context.metadata.prompt
    return () if prompt is None else prompt.parts


def _mark_room(
    context: contexts.RequestContext,
    views: list[server_pool.ServerView],
    candidates: list[prompt_placement.Candidate],
) -> list[prompt_placement.Candidate]:
    """Return the candidates, marked where memory has no room for the request."""
    with_room = memory_room.with_room(context, views)
    if len(with_room) == len(views):
        return candidates
    ids = {view.listed.server_id for view in with_room}
    return [
        dataclasses.replace(item, has_room=item.server_id in ids) for item in candidates
    ]


def untried_servers(
    context: contexts.RequestContext,
) -> list[server_pool.ServerView]:
    """Return the available servers that may get the next attempt."""
    return [
        view
        for view in resumption.eligible_servers(context)
        if view.listed.server_id not in context.tried_server_ids
    ]


def servers_with_room(
    context: contexts.RequestContext,
) -> list[server_pool.ServerView]:
    """Return the servers that may get the next attempt now."""
    return memory_room.with_room(context, untried_servers(context))


def _without_yielded_grants(
    context: contexts.RequestContext, views: list[server_pool.ServerView]
) -> list[server_pool.ServerView]:
    """Leave out limited servers whose grants are left to more urgent requests."""
    free = [view for view in views if not server_notices.is_limited(view.notices)]
    if len(free) == len(views):
        return views
    yielding = context.forwarder.yielding.get(context.service_name)
    urgency, now_s = urgency_of(context), clocks.boottime_s()
    if yielding is None or not server_limits.must_yield(yielding, urgency, now_s):
        return views
    return free


def record_refusal(context: contexts.RequestContext) -> None:
    """Record that no server took a request, for the grants of limited ones."""
    forwarder, name = context.forwarder, context.service_name
    views = forwarder.pool.by_service.get(name, ())
    if any(server_notices.is_limited(view.notices) for view in views):
        yielding = forwarder.yielding.setdefault(name, server_limits.Yielding())
        urgency, now_s = urgency_of(context), clocks.boottime_s()
        server_limits.record_refusal(yielding, urgency, now_s)


def shared_parts(
    parts: tuple[header_codec.PromptPart, ...],
) -> tuple[header_codec.PromptPart, ...]:
    """Return the parts that other requests share; the last one is the affinity key.

    The last part of a prompt belongs to this request alone, unless it is the only one.
    """
    return parts[:-1] or parts


def _make_candidate(
    forwarder: contexts.Forwarder,
    view: server_pool.ServerView,
    parts: tuple[header_codec.PromptPart, ...],
    outlier_ids: frozenset[str],
    now_s: float,
) -> prompt_placement.Candidate:
    zone = forwarder.settings.availability_zone
    requests_count = server_pool.requests_count(view, now_s)
    slowness = 1.0
    if speeds.announces(forwarder, view.listed.service_name):
        requests_count = speeds.requests_count(view, requests_count)
        boottime_s = clocks.boottime_s()
        slowness = speeds.slowness_of(forwarder, view, boottime_s)
        # A new server counts as slower, so that not all requests go there at once.
        slowness *= server_speed.ramp_factor(boottime_s - view.usable_since_s)
    return prompt_placement.Candidate(
        server_id=view.listed.server_id,
        requests_count=requests_count,
        backlog_tokens_count=server_pool.backlog_tokens_count(view, now_s),
        cached_tokens_count=server_pool.cached_tokens_count(view, parts),
        is_full=_is_full(view.listed.slots_count, requests_count),
        is_suspect=view.is_unreachable
        or view.suspect_until_s > now_s
        or view.listed.server_id in outlier_ids,
        is_near=view.listed.availability_zone == zone,
        started_at_ms=view.listed.started_at_ms,
        slowness=slowness,
    )


def _is_full(slots_count: int, requests_count: int) -> bool:
    """Return whether a server's slots are in use; False if their number is unknown.

    Examples
    --------
    >>> _is_full(64, 52), _is_full(64, 40), _is_full(0, 40)
    (True, False, False)
    """
    return slots_count > 0 and requests_count >= FULL_SLOTS_SHARE * slots_count


def overload_retry_after_s(
    context: contexts.RequestContext, placement: prompt_placement.Placement
) -> float | None:
    """Return the time after which to retry a prompt; None if it is admitted now.

    The verdict is counted for the prompt's account.
    """
    if context.metadata.prompt is None:
        return None
    wait_s = predict_wait_s(context, placement)
    allowed_s = max_wait_s(context)
    is_admitted = wait_s <= allowed_s
    account_sharing.record(context, is_admitted, wait_s)
    if is_admitted:
        return None
    least_s = prompt_admission.retry_after_s(wait_s, allowed_s)
    return account_sharing.retry_after_s(context, least_s)


def predict_wait_s(
    context: contexts.RequestContext, placement: prompt_placement.Placement
) -> float:
    """Return how long a server is expected to prefill other prompts first."""
    return prompt_admission.predict_wait_s(
        placement.backlog_tokens_count, _prefill_factor(context)
    )


def expected_wait_s(context: contexts.RequestContext) -> float:
    """Return the expected time to the first event at the chosen server."""
    placement = context.placement
    tokens_count = placement.backlog_tokens_count + placement.uncached_tokens_count
    return prompt_admission.predict_wait_s(tokens_count, _prefill_factor(context))


def _max_backlog_s(context: contexts.RequestContext) -> float:
    """Return the longest predicted prefill of a backlog at which a prompt is admitted.

    The prediction is by the rates that placement uses.
    """
    if speeds.rates_of(context.forwarder, context.service_name).is_learned:
        return max_wait_s(context)
    return max_wait_s(context) / _prefill_factor(context)


def _prefill_factor(context: contexts.RequestContext) -> float:
    rates = speeds.rates_of(context.forwarder, context.service_name)
    if rates.is_learned:
        return prompt_placement.PREFILL_TOKENS_PER_S / rates.prefill_tokens_per_s
    return context.forwarder.prefill_factors.get(context.service_name, 1.0)


def max_wait_s(context: contexts.RequestContext) -> float:
    """Return the longest wait at which a prompt is admitted; infinite if unlimited."""
    forwarder, name = context.forwarder, context.service_name
    bounds = forwarder.wait_bounds.get(name)
    if bounds is None:
        bounds = prompt_admission.make_wait_bounds(forwarder.route_index.table, name)
        forwarder.wait_bounds[name] = bounds
    account = context.account
    account_priority = None if account is None else account.priority
    priority = context.route.priority
    factor = account_sharing.decide(context).factor
    limit_s = prompt_admission.limit_s(bounds, priority, account_priority, factor)
    return limit_s or math.inf


def _prompt_kind(
    context: contexts.RequestContext,
) -> prefill_interference.PromptKind:
    forwarder, name = context.forwarder, context.service_name
    routes = forwarder.sensitive_routes.get(name)
    if routes is None:
        table = forwarder.route_index.table
        rates = speeds.rates_of(forwarder, name)
        routes = prefill_interference.find_sensitive_routes(table, name, rates)
        forwarder.sensitive_routes[name] = routes
    tokens_count = context.metadata.prompt.input_tokens_count
    return prefill_interference.classify(routes, context.route.name, tokens_count)


def _quiet_count(
    context: contexts.RequestContext,
    candidates: list[prompt_placement.Candidate],
    now_s: float,
) -> int:
    """Return the number of quiet servers, adapted to their load."""
    sets, name = context.forwarder.quiet_sets, context.service_name
    ordered = prompt_placement.order_for_quiet(candidates)
    service = context.forwarder.route_index.services.get(name)
    sets[name] = prefill_interference.resize_quiet_set(
        sets.get(name, prefill_interference.QuietSet()),
        tuple(item.requests_count for item in ordered),
        0 if service is None else service.slots_count,
        now_s,
        speeds.rates_of(context.forwarder, name),
    )
    return sets[name].servers_count


def urgency_of(context: contexts.RequestContext) -> int:
    """Return the urgency that engines order a prompt by; 0 is the most urgent.

    The client account's priority goes first and the route's orders the prompts of
    accounts with equal priority.

    Examples
    --------
    >>> [combine_priorities(account, route) for account in (0, 1) for route in (0, 2)]
    [0, 2, 3, 5]
    """
    account, priority = context.account, context.route.priority
    if account is not None and account.priority is not None:
        return combine_priorities(account.priority, priority)
    return combine_priorities(priority, priority)


def combine_priorities(first: int, second: int) -> int:
    """Return a number that orders by `first`, then by `second`."""
    return URGENCY_STEPS_COUNT * first + min(second, URGENCY_STEPS_COUNT - 1)
