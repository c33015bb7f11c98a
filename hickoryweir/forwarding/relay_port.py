"""The port on which a router relays requests of other routers.

It takes nothing on trust that a client could not send as well: the relay reads the key,
finds the route, checks all limits and chooses the server with its own table.  A request
without a message of a router gets this router's state as a relay.
"""

from aiohttp import web

from hickoryweir.forwarding import (
    contexts,
    errors,
    forwarder,
    open_requests,
    relay_messages,
    server,
    server_pool,
)
from hickoryweir.forwarding_policy import relays
from hickoryweir.observability import logs
from hickoryweir.streams import codec


async def start(
    router: contexts.Forwarder, host: str, port: int
) -> server.RunningServer:
    """Listen for other routers.

    Raises
    ------
    OSError
        The address is in use.
    """
    return await server.start(router, host, port, serve, "other routers")


async def serve(
    router: contexts.Forwarder,
    request: web.BaseRequest,
    open_request: open_requests.OpenRequest,
) -> web.StreamResponse:
    """Return the response to a relayed request, or this router's state."""
    relayed = relay_messages.read_request(request.headers)
    if relayed is None:
        return web.Response(body=codec.encode(make_status(router)))
    if router.relays.relayed_count >= relays.MAX_RELAYED_COUNT:
        request_id = router.codec.parse_request(request.headers).request_id
        reason = errors.Reason.RELAY_FULL
        response = forwarder.refuse(router, request_id, reason)
    else:
        router.relays.relayed_count += 1
        try:
            response = await forwarder.serve(router, request, open_request, relayed)
        finally:
            router.relays.relayed_count -= 1
    _report(router, open_request, relayed, response)
    if not response.prepared and relay_messages.HEADER not in response.headers:
        context = open_request.context
        sent_count = 0 if context is None else context.sent_count
        reason = response.get(errors.REASON_KEY, "")
        reply = relay_messages.RelayReply(relayed.hop_id, str(reason), sent_count)
        relay_messages.write(response.headers, reply)
    return response


def make_status(router: contexts.Forwarder) -> relay_messages.RelayStatus:
    """Return which services this router reaches; none while it takes no requests."""
    open_count = router.relays.relayed_count
    if router.is_draining or router.route_index is None:
        return relay_messages.RelayStatus((), open_count)
    services = tuple(
        name
        for name in router.pool.by_service
        if any(
            not view.is_unreachable
            for view in server_pool.available_servers(router.pool, name)
        )
    )
    return relay_messages.RelayStatus(services, open_count)


def _report(
    router: contexts.Forwarder,
    open_request: open_requests.OpenRequest,
    relayed: relay_messages.RelayedRequest,
    response: web.StreamResponse,
) -> None:
    reason = str(response.get(errors.REASON_KEY, "")) or "passed_on"
    router.metrics.relayed.labels("received", reason).inc()
    detail = f"status {response.status}, {relayed.time_left_s:.2f} s were left"
    fields = logs.Fields(
        request_id=open_request.request_id,
        reason=reason,
        peer=relayed.sender,
        detail=detail,
    )
    logs.info("request relayed for another router", fields)
