"""Admission of a client request: route, client account, capacity and body."""

import asyncio

from aiohttp import web

from hickoryweir import clocks
from hickoryweir.forwarding import (
    contexts,
    errors,
    header_codec,
    held_bytes,
    loss_checks,
    open_requests,
    relay_messages,
    request_starts,
    requests,
    router_load,
)
from hickoryweir.forwarding_policy import crash_counts
from hickoryweir.forwarding_policy import held_bytes as held_bytes_policy
from hickoryweir.observability import logs
from hickoryweir.routes import matching, model

# After a start of all processes, routers listen this long before the first table.
START_WAIT_MAX_S = 0.6
# Leaves time to answer, or to come back to another router.
START_WAIT_SHARE = 0.5


async def admit(
    forwarder: contexts.Forwarder,
    request: web.BaseRequest,
    metadata: header_codec.RequestMetadata,
    relayed: relay_messages.RelayedRequest | None,
    open_request: open_requests.OpenRequest,
) -> contexts.RequestContext | errors.Reason:
    """Return the context of a request that may be forwarded, or why it may not.

    Parameters
    ----------
    forwarder : contexts.Forwarder
        State of the router.
    request : web.BaseRequest
        The request, whose body is read.
    metadata : header_codec.RequestMetadata
        What its headers say.
    relayed : relay_messages.RelayedRequest or None
        What the router that relayed it to this one says of it.
    open_request : open_requests.OpenRequest
        Record of it, in which the bytes held for it are counted.
    """
    started_s = clocks.boottime_s()
    if not forwarder.started.is_set():
        await _wait_for_start(forwarder, metadata)
    route_index = forwarder.route_index
    if route_index is None:
        return errors.Reason.NO_TABLE
    if relayed is not None and route_index.table.version < relayed.table_version:
        return errors.Reason.NO_TABLE
    if relayed is None and _has_large_headers(route_index, request):
        return errors.Reason.HEADERS_TOO_LARGE
    route = _find_route(route_index, request)
    if isinstance(route, errors.Reason):
        return route
    account = route_index.accounts_by_key.get(metadata.key) if metadata.key else None
    if account is None and requires_account(route_index, route):
        return errors.Reason.KEY_UNKNOWN
    account_name = None if account is None else account.name
    await request_starts.wait(forwarder.starting, (route.name, account_name))
    timeout_s = _wait_s(route, metadata)
    refusal = _find_shortage(
        forwarder, request, open_request, route, account, timeout_s
    )
    if refusal is not None:
        return refusal
    body = await _read_body(forwarder, request, open_request, timeout_s)
    if isinstance(body, errors.Reason):
        return body
    fingerprint = crash_counts.fingerprint(
        metadata.key, request.method, request.raw_path, body
    )
    if await _crashes_servers(forwarder, open_request, fingerprint):
        return errors.Reason.CRASHES_SERVERS
    max_attempts_count = route.max_attempts_count
    if relayed is not None:
        max_attempts_count = min(max_attempts_count, relayed.attempts_count)
    return contexts.RequestContext(
        forwarder=forwarder,
        client_request=request,
        metadata=metadata,
        route=route,
        service_name=_choose_service(forwarder, route, relayed),
        account=account,
        body=body,
        fingerprint=fingerprint,
        started_s=started_s,
        deadline_s=started_s + timeout_s,
        last_event_id=metadata.last_event_id,
        stream_version=None if relayed is None else relayed.stream_version,
        max_attempts_count=max_attempts_count,
        relayed=relayed,
    )


async def _crashes_servers(
    forwarder: contexts.Forwarder,
    open_request: open_requests.OpenRequest,
    fingerprint: int,
) -> bool:
    """Return whether equal requests crash servers; say in the record what shows it."""
    await loss_checks.wait_for_decision(forwarder, fingerprint)
    counts, now_s = forwarder.crashes, clocks.boottime_s()
    if not crash_counts.is_blocked(counts, fingerprint, now_s):
        if crash_counts.record_admission(counts, fingerprint, now_s):
            detail = crash_counts.describe(counts, fingerprint, now_s)
            logs.info("trial of a blocked request", logs.Fields(detail=detail))
        return False
    crash_counts.record_refusal(counts, fingerprint, now_s)
    open_request.shortage = crash_counts.describe(counts, fingerprint, now_s)
    return True


def requires_account(route_index: matching.RouteIndex, route: model.Route) -> bool:
    """Return whether requests on a route need the key of a client account."""
    table = route_index.table
    checks_keys = table.checks_keys or bool(table.accounts)
    return checks_keys and not route.allows_anonymous


def _find_shortage(
    forwarder: contexts.Forwarder,
    request: web.BaseRequest,
    open_request: open_requests.OpenRequest,
    route: model.Route,
    account: model.ClientAccount | None,
    timeout_s: float,
) -> errors.Reason | None:
    """Return which capacity this router lacks for a request; None if it has enough."""
    refusal = held_bytes.find_refusal(
        forwarder, open_request, route, account, request.content_length or 0
    )
    if refusal is not None:
        return refusal
    open_request.shortage = router_load.find_refusal(
        forwarder, open_request, route, account, timeout_s
    )
    return None if open_request.shortage is None else errors.Reason.ROUTER_FULL


async def _read_body(
    forwarder: contexts.Forwarder,
    request: web.BaseRequest,
    open_request: open_requests.OpenRequest,
    timeout_s: float,
) -> bytes | errors.Reason:
    """Return the complete body, or why the request is refused."""
    wait_until_s = asyncio.get_running_loop().time()
    wait_until_s += held_bytes_policy.BODY_WAIT_SHARE * timeout_s

    async def reserve(read_size_bytes: int, size_bytes: int) -> bool:
        if forwarder.held_limits is None or forwarder.held_limits.divides_accounts:
            open_request.held.body_size_bytes = read_size_bytes
            return held_bytes.has_room_for_body(forwarder, open_request)
        has_room = await held_bytes.reserve_body(
            forwarder,
            open_request,
            request,
            size_bytes,
            wait_until_s,
        )
        # Until then, it counts towards what bodies hold that wait.
        open_request.held.body_size_bytes = read_size_bytes
        return has_room

    max_size_bytes = forwarder.route_index.table.limits.max_body_size_bytes
    body = await requests.read_body(request, max_size_bytes, reserve)
    if not isinstance(body, errors.Reason):
        held_bytes.end_body(open_request)
    return body


def _choose_service(
    forwarder: contexts.Forwarder,
    route: model.Route,
    relayed: relay_messages.RelayedRequest | None,
) -> str:
    """Return the service for a request, the sender's if the route still allows it."""
    allowed = {item.service_name for item in route.destinations if item.weight}
    if relayed is not None and relayed.service_name in allowed:
        return relayed.service_name
    return matching.choose_service(route, forwarder.generator)


def _has_large_headers(
    route_index: matching.RouteIndex, request: web.BaseRequest
) -> bool:
    """Return whether the header fields of a request exceed the table's limit.

    Only names and values count, so that no client that keeps to the limit is refused.
    """
    size_bytes = sum(len(name) + len(value) for name, value in request.raw_headers)
    return size_bytes > route_index.table.limits.max_header_size_bytes


def _find_route(
    route_index: matching.RouteIndex, request: web.BaseRequest
) -> model.Route | errors.Reason:
    path = requests.path_of(request.raw_path)
    if path is None or not request.host:
        return errors.Reason.REQUEST_INVALID
    host = request.host.partition(":")[0]
    return matching.find_route(route_index, host, path) or errors.Reason.NO_ROUTE


def _wait_s(route: model.Route, metadata: header_codec.RequestMetadata) -> float:
    """Return how long a client waits for the final response."""
    if metadata.time_left_s is None:
        return route.timeout_s
    return min(route.timeout_s, metadata.time_left_s)


async def _wait_for_start(
    forwarder: contexts.Forwarder, metadata: header_codec.RequestMetadata
) -> None:
    """Wait for the first table and list of servers, for a bounded time.

    A request that is refused instead comes back after the table is there, but later
    than its target.
    """
    timeout_s = START_WAIT_MAX_S
    if metadata.time_left_s is not None:
        timeout_s = min(timeout_s, START_WAIT_SHARE * metadata.time_left_s)
    try:
        async with asyncio.timeout(timeout_s):
            await forwarder.started.wait()
    except TimeoutError:
        fields = logs.Fields(
            request_id=metadata.request_id, duration_s=round(timeout_s, 3)
        )
        logs.info("no table or list of servers in time", fields)
