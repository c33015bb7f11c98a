"""Handling of one client request: admission, attempts and response.

A :class:`~hickoryweir.forwarding.contexts.Forwarder` holds the state of the router.
:func:`serve` is cancelled when the client disconnects, which aborts the attempt at the
backend server as well.
"""

import asyncio
import dataclasses
import functools
import math
import time
from collections.abc import Awaitable

import aiohttp
from aiohttp import web

from hickoryweir import clocks
from hickoryweir.engines import framing
from hickoryweir.forwarding import (
    account_sharing,
    admission,
    contexts,
    crashes,
    errors,
    exchange,
    header_codec,
    held_bytes,
    limits,
    loss_checks,
    memory_room,
    notices,
    open_requests,
    probing,
    relay_messages,
    relaying,
    responses,
    resumption,
    room,
    router_load,
    server_pool,
    server_reachability,
    server_selection,
    service_demand,
    silent_connections,
    sockets,
    speeds,
)
from hickoryweir.forwarding_policy import (
    crash_counts,
    next_attempts,
    prompt_placement,
    retry_budget,
    router_shares,
    stop_admission,
)
from hickoryweir.observability import latencies, logs
from hickoryweir.routes import model

# Replicas send the table within a second of the election of their first leader.
NO_TABLE_RETRY_AFTER_S = 1.0
# Other routers take the request at once.
STOPPING_RETRY_AFTER_S = 0.1
RETRY_AFTERS_S = {
    errors.Reason.NO_TABLE: NO_TABLE_RETRY_AFTER_S,
    errors.Reason.CRASHES_SERVERS: crash_counts.TRIAL_AFTER_S,
    errors.Reason.STOPPING: STOPPING_RETRY_AFTER_S,
    errors.Reason.BUFFERS_FULL: held_bytes.RETRY_AFTER_S,
    errors.Reason.ROUTER_FULL: router_load.RETRY_AFTER_S,
}
# The same as the backoff after a server's first failure.
UNREACHABLE_RETRY_AFTER_S = 0.5
# A failed connection does not count as an attempt, but each takes time.
MAX_UNSENT_COUNT = 4


async def serve(
    forwarder: contexts.Forwarder,
    request: web.BaseRequest,
    open_request: open_requests.OpenRequest,
    relayed: relay_messages.RelayedRequest | None = None,
) -> web.StreamResponse:
    """Return the final response to a request, which may already be partly sent.

    Parameters
    ----------
    forwarder : contexts.Forwarder
        State of the router.
    request : web.BaseRequest
        The request.
    open_request : open_requests.OpenRequest
        Record of it.
    relayed : relay_messages.RelayedRequest, optional
        What another router says of it that has relayed it to this one.
    """
    try:
        async with asyncio.timeout(None) as open_request.timer:
            response = await _serve(forwarder, request, open_request, relayed)
    except TimeoutError:
        response = _stop_failure(forwarder, open_request)
    # A client whose response has not announced the close may send another request.
    if not response.prepared and contexts.is_last_on_connection(forwarder, request):
        response.force_close()
    return response


async def _serve(
    forwarder: contexts.Forwarder,
    request: web.BaseRequest,
    open_request: open_requests.OpenRequest,
    relayed: relay_messages.RelayedRequest | None,
) -> web.StreamResponse:
    metadata = forwarder.codec.parse_request(request.headers)
    if relayed is not None:
        metadata = dataclasses.replace(
            metadata,
            time_left_s=relayed.time_left_s,
            last_event_id=relayed.last_event_id,
        )
    open_request.request_id = metadata.request_id
    admitted = await admission.admit(
        forwarder, request, metadata, relayed, open_request
    )
    if isinstance(admitted, errors.Reason):
        if admitted in (errors.Reason.BUFFERS_FULL, errors.Reason.ROUTER_FULL):
            return _refuse_without_capacity(forwarder, open_request, admitted)
        detail = open_request.shortage
        return refuse(forwarder, metadata.request_id, admitted, detail=detail)
    refusal = _refuse_blocked(admitted)
    if refusal is not None:
        return refusal
    router_load.count_passed(forwarder, len(admitted.body), 0)
    open_requests.admit(open_request, admitted)
    if relayed is None:
        _leave_next_unread(forwarder, request, admitted)
    memory_room.record_size(admitted)
    if relayed is None:
        budget = _budget(forwarder, admitted.service_name)
        retry_budget.record_request(budget, time.monotonic())
    forwarder.metrics.open_requests.inc()
    try:
        async with asyncio.timeout(admitted.time_left_s):
            return await _attempt_all(admitted)
    except TimeoutError:
        return _deadline_failure(admitted)
    finally:
        forwarder.metrics.open_requests.dec()


def _leave_next_unread(
    forwarder: contexts.Forwarder,
    request: web.BaseRequest,
    context: contexts.RequestContext,
) -> None:
    """Leave the next request unread while a stop could cut the stream before it."""
    unread_s = stop_admission.unread_time_s(
        context.route.is_stream, context.time_left_s, forwarder.stop_time_s
    )
    if unread_s > 0.0 and not forwarder.is_draining:
        request.protocol.hold_next(unread_s)


def _refuse_without_capacity(
    forwarder: contexts.Forwarder,
    open_request: open_requests.OpenRequest,
    reason: errors.Reason,
) -> web.Response:
    """Return the refusal of a request for which this router has no capacity."""
    detail = open_request.shortage
    if reason is errors.Reason.BUFFERS_FULL:
        detail = held_bytes.describe(forwarder, open_request.held.account_name)
    return refuse(forwarder, open_request.request_id, reason, detail=detail)


def _refuse_blocked(context: contexts.RequestContext) -> web.Response | None:
    """Return the refusal of a request with a part that crashes servers."""
    forwarder, prompt = context.forwarder, context.metadata.prompt
    part_id = crashes.find_blocked(forwarder, context.service_name, prompt)
    if part_id is None:
        return None
    detail = crashes.record_refusal(forwarder, part_id)
    reason, name = errors.Reason.CRASHES_SERVERS, context.route.name
    return refuse(forwarder, context.metadata.request_id, reason, None, name, detail)


def refuse(
    forwarder: contexts.Forwarder,
    request_id: str,
    reason: errors.Reason,
    retry_after_s: float | None = None,
    route_name: str = "",
    detail: str | None = None,
) -> web.Response:
    """Return, log and count an error response of the router."""
    forwarder.metrics.answers.labels(route_name, reason.value).inc()
    route_index = forwarder.route_index
    version = None if route_index is None else route_index.table.version
    fields = logs.Fields(
        request_id=request_id,
        class_name=route_name or None,
        reason=reason.value,
        version=version,
        detail=detail,
    )
    logs.info("request answered by the router", fields)
    if retry_after_s is None:
        retry_after_s = RETRY_AFTERS_S.get(reason)
    return errors.make_response(reason, request_id, retry_after_s)


def _budget(forwarder: contexts.Forwarder, service_name: str) -> retry_budget.Budget:
    found = forwarder.budgets.get(service_name)
    if found is None:
        found = retry_budget.Budget(forwarder.settings.budget)
        forwarder.budgets[service_name] = found
    return found


async def _attempt_all(context: contexts.RequestContext) -> web.StreamResponse:
    unresumable = None
    if context.stream_version is None:
        unresumable = await resumption.admit(context)
    if unresumable is not None:
        return _final_failure(context, unresumable)
    reason = errors.Reason.NO_SERVER
    has_turn = False
    while True:
        if context.client_request.protocol.has_ended_sending:
            # It is at no server, and none begins it for a client that may have left.
            return _final_failure(context, reason)
        if not context.may_have_run and not can_end(context):
            context.retry_after_s = STOPPING_RETRY_AFTER_S
            return _final_failure(context, errors.Reason.STOPPING)
        relay = await relaying.find(context)
        placement = None
        if has_turn or not room.must_wait(context):
            placement = server_selection.choose_server(context)
        if placement is None and relay is None:
            has_turn = await room.wait(context)
            if has_turn:
                continue
            return _refuse_without_server(context, reason)
        if not _reserve_attempt(context):
            return _final_failure(context, reason)
        if relay is not None:
            outcome = await relaying.attempt(context, relay)
        else:
            context.placement = placement
            if not context.sent_count and _is_overloaded(context):
                return _final_failure(context, errors.Reason.OVERLOADED)
            if not context.sent_count:
                service_demand.record_sent(context)
            outcome = await _attempt(context, placement)
        if isinstance(outcome, web.StreamResponse):
            _record_forwarded(context)
            return outcome
        reason = outcome
        if relay is not None and reason in relaying.FINAL_REASONS:
            return _final_failure(context, reason)
        await loss_checks.wait_for_decision(context.forwarder, context.fingerprint)
        if crashes.is_suspect(context):
            await asyncio.sleep(crashes.REPORTS_WAIT_S)


def _is_overloaded(context: contexts.RequestContext) -> bool:
    """Return whether the chosen server has too much to do for a prompt."""
    context.retry_after_s = server_selection.overload_retry_after_s(
        context, context.placement
    )
    return context.retry_after_s is not None


def _refuse_without_server(
    context: contexts.RequestContext, reason: errors.Reason
) -> web.StreamResponse:
    """Return the final response to a request for which no server is left."""
    server_selection.record_refusal(context)
    return _final_failure(context, find_refusal(context, reason))


def find_refusal(
    context: contexts.RequestContext, reason: errors.Reason
) -> errors.Reason:
    """Return why a request without a server is refused, and set when to come back."""
    forwarder, name = context.forwarder, context.service_name
    if not server_pool.available_servers(forwarder.pool, name):
        after_s = server_pool.available_after_s(forwarder.pool, name)
        if after_s is not None:
            context.retry_after_s = after_s
            reason = errors.Reason.SERVERS_PAUSED
    elif context.stream_version is not None and not context.sent_count:
        reason = errors.Reason.VERSION_UNAVAILABLE
    elif not context.sent_count and memory_room.is_full(context):
        reason = errors.Reason.SERVERS_FULL
    return reason


def can_end(context: contexts.RequestContext) -> bool:
    """Return whether a request is expected to end before the router stops."""
    forwarder = context.forwarder
    if forwarder.stops_at_s is None:
        return True
    left_s = forwarder.stops_at_s - clocks.boottime_s()
    duration_s = None
    closed_s = forwarder.port_closed_s
    if context.relayed is not None:
        # The router that sent it can send it through another one at once.
        closed_s = forwarder.stop_began_s
    if stop_admission.may_outlast_stop(
        context.route.is_stream, context.admitted_s, closed_s
    ):
        duration_s = _expected_duration_s(context, left_s)
    return stop_admission.can_end(left_s, context.time_left_s, duration_s)


def _expected_duration_s(
    context: contexts.RequestContext, left_s: float
) -> float | None:
    """Return within which time nearly all requests of a route end; None if unknown.

    Parameters
    ----------
    context : contexts.RequestContext
        A request of the route.
    left_s : float
        Time until the router stops.
    """
    forwarder, now_s = context.forwarder, clocks.boottime_s()
    name = context.route.name
    long_open_count = sum(
        other.context is not None
        and other.context is not context
        and other.context.route.name == name
        and now_s - other.admitted_at_s > left_s
        for other in forwarder.open_requests.values()
    )
    durations, interval = forwarder.metrics.latencies, latencies.Interval.ANSWER
    quantile = stop_admission.quantile_to_end(
        durations.count(name, interval), long_open_count
    )
    if quantile is None:
        return None
    return durations.quantile_s(name, interval, quantile)


def _record_forwarded(context: contexts.RequestContext) -> None:
    metrics = context.forwarder.metrics
    name = context.route.name
    metrics.answers.labels(name, "passed_on").inc()
    answer_s = clocks.boottime_s() - context.started_s
    metrics.latencies.record(name, latencies.Interval.ANSWER, answer_s)


def _reserve_attempt(context: contexts.RequestContext) -> bool:
    """Return whether another attempt is allowed; a retry is taken from the budget."""
    route = context.route
    if context.unsent_count > MAX_UNSENT_COUNT:
        return False
    if not context.sent_count:
        return True
    ran = next_attempts.Ran.MAYBE if context.may_have_run else next_attempts.Ran.NO
    if context.sent_count >= context.max_attempts_count or not context.can_resume:
        return False
    if not next_attempts.may_run_again(route.execution, ran):
        return False
    if not next_attempts.is_worth_sending(route, context.time_left_s):
        return False
    if crashes.is_blocked(context):
        return False
    return _acquire_retry(context)


def _acquire_retry(context: contexts.RequestContext) -> bool:
    """Return whether the retry budget of a request's service allows another send."""
    forwarder = context.forwarder
    budget = _budget(forwarder, context.service_name)
    taken = retry_budget.try_acquire(
        budget,
        forwarder.routers_count,
        time.monotonic(),
        router_shares.part(forwarder.pool.traffic),
    )
    allowed = "yes" if taken else "no"
    forwarder.metrics.second_sends.labels(context.service_name, allowed).inc()
    return taken


async def _attempt(
    context: contexts.RequestContext, placement: prompt_placement.Placement
) -> web.StreamResponse | errors.Reason:
    forwarder = context.forwarder
    view = forwarder.pool.servers[placement.server_id]
    context.tried_server_ids.add(view.listed.server_id)
    limits.use_grant(forwarder, view, context.metadata.request_id)
    context.own_requests_count = len(view.in_flight)
    number = forwarder.last_attempt_number = forwarder.last_attempt_number + 1
    now_s = time.monotonic()
    context.in_flight = server_pool.InFlightRequest(
        placement.uncached_tokens_count,
        now_s,
        expected_wait_s=server_selection.expected_wait_s(context),
        memory_tokens_count=memory_room.tokens_count(context),
    )
    view.in_flight[number] = context.in_flight
    if context.metadata.prompt is not None:
        server_pool.record_parts(view, context.metadata.prompt.parts, now_s)
    try:
        return await _forward_once(context, view)
    except asyncio.CancelledError:
        waited_s = time.monotonic() - now_s
        if not context.has_response_head:
            _log_attempt(context, view, "Ended", _describe_end(context))
        if not context.has_response_head and next_attempts.is_unresponsive(
            context.route, waited_s
        ):
            server_pool.record_failed_response(view, now_s + waited_s)
        raise
    finally:
        view.in_flight.pop(number, None)


def _describe_end(context: contexts.RequestContext) -> str:
    """Return why an attempt was given up before its response."""
    if context.time_left_s <= 0:
        return "no answer in the client's time"
    connection = context.client_request.protocol
    if connection.client_transport is not None:
        return "the router stops"
    if connection.has_ended_sending:
        return "the client has ended its sending side"
    return "the client has reset its connection"


async def _forward_once(
    context: contexts.RequestContext, view: server_pool.ServerView
) -> web.StreamResponse | errors.Reason:
    forwarder = context.forwarder
    is_at_most_once = context.route.execution is model.Execution.AT_MOST_ONCE
    session = (
        forwarder.at_most_once_session
        if is_at_most_once
        else forwarder.retryable_session
    )
    context.sent_count += 1
    context.has_response_head = False
    context.events_began_s, context.has_progressed = None, False
    context.attempt_version = view.listed.software_version
    router_load.count_passed(forwarder, 0, len(context.body))
    outcome = await _send(context, session, view)
    now_s = time.monotonic()
    _log_attempt(context, view, type(outcome).__name__, getattr(outcome, "reason", ""))
    match outcome:
        case exchange.NotSent():
            context.sent_count -= 1
            context.unsent_count += 1
            probing.record_unreachable(forwarder, view)
            return errors.Reason.SERVER_UNREACHABLE
        case exchange.NotRun():
            if outcome.metadata.is_misdirected:
                view.is_misdirected = True
            return errors.Reason.SERVER_REFUSED
        case exchange.Lost():
            responses.count_end(context, framing.End.NO_HEAD)
            context.may_have_run = True
            if not _may_be_partition(context, outcome):
                server_id = view.listed.server_id
                crashes.record_loss(context, server_id, outcome.is_connection_end)
            server_pool.record_failed_response(view, now_s)
            return errors.Reason.OUTCOME_UNKNOWN
        case exchange.Answered():
            context.has_response_head = True
            return await responses.forward_response(context, view, outcome)


def _may_be_partition(context: contexts.RequestContext, lost: exchange.Lost) -> bool:
    """Return whether a loss says nothing of the server, since none is heard.

    A server that crashes on a request ends the connection, and others go on responding.
    """
    pool = context.forwarder.pool
    if pool.heard_at_s >= context.in_flight.sent_at_s:
        return False
    return not lost.is_connection_end or server_reachability.reaches_none(pool)


async def _send(
    context: contexts.RequestContext,
    session: aiohttp.ClientSession,
    view: server_pool.ServerView,
) -> exchange.Outcome:
    forwarder = context.forwarder
    untried_count = min(
        len(server_selection.untried_servers(context)),
        context.max_attempts_count - context.sent_count,
    )
    timeout_s = next_attempts.response_timeout_s(
        context.route, untried_count, context.time_left_s
    )

    def send_once() -> Awaitable[exchange.Outcome]:
        return exchange.send(
            session,
            _make_backend_request(context, view),
            forwarder.codec,
            functools.partial(notices.record, context, view),
        )

    sending = silent_connections.send(
        context, view, send_once, functools.partial(_reserve_second_send, context)
    )
    limit_s = sockets.NO_IDLE_S if context.needs_new_connection else math.inf
    token = sockets.max_reused_idle_s.set(limit_s)
    try:
        async with asyncio.timeout(
            timeout_s if timeout_s < context.time_left_s else None
        ):
            return await sending
    except TimeoutError:
        context.needs_new_connection = True
        return exchange.Lost("no response within the attempt's timeout")
    finally:
        sockets.max_reused_idle_s.reset(token)


def _reserve_second_send(context: contexts.RequestContext) -> bool:
    """Return whether a request may be sent once more before its first send has ended.

    Its server counts once, but the second send is taken from the retry budget.
    """
    if context.route.execution is model.Execution.AT_MOST_ONCE:
        return False
    if not next_attempts.is_worth_sending(context.route, context.time_left_s):
        return False
    if crashes.is_blocked(context) or not _acquire_retry(context):
        return False
    router_load.count_passed(context.forwarder, 0, len(context.body))
    return True


def _make_backend_request(
    context: contexts.RequestContext, view: server_pool.ServerView
) -> exchange.BackendRequest:
    account = context.account
    router_metadata = header_codec.RouterMetadata(
        server_id=view.listed.server_id,
        account_name="" if account is None else account.name,
        time_left_s=context.time_left_s,
        urgency=server_selection.urgency_of(context)
        if context.route.has_prompt
        else None,
        last_event_id=context.last_event_id,
    )
    return exchange.BackendRequest(
        method=context.client_request.method,
        address=view.listed.address,
        target=context.client_request.raw_path,
        headers=context.forwarder.codec.make_request_headers(
            context.client_request.headers, router_metadata
        ),
        body=context.body,
        request_id=context.metadata.request_id,
    )


def _log_attempt(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    kind: str,
    detail: str,
) -> None:
    forwarder = context.forwarder
    forwarder.metrics.attempts.labels(context.service_name, kind).inc()
    age_s = clocks.boottime_s() - forwarder.list_read_at_s
    lost_parts = ""
    if kind == exchange.Lost.__name__:
        lost_parts = f", {contexts.describe_parts(context)}"
    logs.info(
        "request sent",
        logs.Fields(
            request_id=context.metadata.request_id,
            class_name=context.route.name,
            reason=f"{kind}: {detail}" if detail else kind,
            backend_server=view.listed.server_id,
            attempt=context.sent_count,
            version=forwarder.route_index.table.version,
            duration_s=round(clocks.boottime_s() - context.started_s, 4),
            detail=f"list {age_s:.2f} s old, {_describe_placement(context)}"
            f"{_describe_resumption(context, view)}{lost_parts}",
        ),
    )


def _describe_resumption(
    context: contexts.RequestContext, view: server_pool.ServerView
) -> str:
    """Return which stream an attempt resumes, and on which software version."""
    if not context.last_event_id:
        return ""
    version = view.listed.software_version or "unknown"
    stream_id = context.metadata.resumed_stream_id or context.metadata.request_id
    return f", resumes {stream_id} on version {version}"


def _describe_placement(context: contexts.RequestContext) -> str:
    """Return a description of the inputs to the choice of the current server."""
    text = f"{context.own_requests_count} own requests there"
    if context.metadata.prompt is None:
        return text
    chosen = context.placement
    shared = server_selection.shared_parts(context.metadata.prompt.parts)
    part_id = shared[-1].part_id if shared else "none"
    return (
        f"{text}, urgency {server_selection.urgency_of(context)}, part {part_id}, "
        f"{chosen.uncached_tokens_count} tokens to read after "
        f"{chosen.backlog_tokens_count} of others{speeds.describe(context)}"
    )


def _final_failure(
    context: contexts.RequestContext, reason: errors.Reason
) -> web.StreamResponse:
    """Return the final response to a request that no server answered completely."""
    if context.stream_response is not None:
        return responses.abort_response(context)
    if context.failed_response is not None:
        return context.failed_response
    retry_after_s = None
    if context.may_have_run:
        reason = errors.Reason.OUTCOME_UNKNOWN
    else:
        retry_after_s = context.retry_after_s or UNREACHABLE_RETRY_AFTER_S
        service_demand.record_refused(context, reason)
    request_id = context.metadata.request_id
    name = context.route.name
    detail = None
    if reason is errors.Reason.OVERLOADED and context.placement is not None:
        # A relay that refuses has logged its own placement.
        detail = _describe_overload(context, retry_after_s)
    return refuse(context.forwarder, request_id, reason, retry_after_s, name, detail)


def _describe_overload(context: contexts.RequestContext, retry_after_s: float) -> str:
    """Return a description of why a prompt is refused as overload."""
    least = context.placement
    return (
        f"{least.backlog_tokens_count} tokens to read before it at "
        f"{least.server_id}, urgency {server_selection.urgency_of(context)}, "
        f"back in {retry_after_s:.1f} s{account_sharing.describe(context)}"
    )


def _stop_failure(
    forwarder: contexts.Forwarder, open_request: open_requests.OpenRequest
) -> web.Response:
    """Return the final response to a request that the stop of the router ended."""
    context = open_request.context
    request_id = open_request.request_id
    if context is not None and context.stream_response is not None:
        # The stream began after the stop had decided to give up.
        return responses.abort_response(context)
    if context is None or not (context.sent_count or context.may_have_run):
        return refuse(forwarder, request_id, errors.Reason.STOPPING)
    name = context.route.name
    reason = errors.Reason.STOPPED_UNANSWERED
    return refuse(forwarder, request_id, reason, None, name)


def _deadline_failure(context: contexts.RequestContext) -> web.StreamResponse:
    if context.stream_response is not None:
        return responses.abort_response(context)
    reason = errors.Reason.TIMED_OUT
    request_id = context.metadata.request_id
    name = context.route.name
    return refuse(context.forwarder, request_id, reason, None, name)
