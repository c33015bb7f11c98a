"""Sends requests through another router while this one reaches no server for them.

The choice of the router is in :mod:`hickoryweir.forwarding_policy.relays`.  A request
is relayed once at most: a relay sends it to a backend server or refuses it.  Each
relayed request has a connection of its own, which no earlier request can have left
unusable.
"""

import asyncio
import functools

import aiohttp

from hickoryweir import clocks
from hickoryweir.engines import client, sessions
from hickoryweir.forwarding import (
    contexts,
    errors,
    exchange,
    header_codec,
    relay_messages,
    relay_pool,
    responses,
    server_pool,
)
from hickoryweir.forwarding_policy import next_attempts, relays, server_notices
from hickoryweir.observability import logs
from hickoryweir.streams import codec

# One failed server is common; two at once suggest a partition.
MIN_UNREACHABLE_COUNT = 2
# Two relays that fail at once point to the servers.
MAX_RELAYS_COUNT = 2
STATUS_INTERVAL_S = 0.5
STATUS_TIMEOUT_S = 0.25
# The names of a thousand services, each as long as it may be.
MAX_STATUS_SIZE_BYTES = 256 * 1024
CHECK_INTERVAL_S = 0.05
# A round trip between zones many times over.
FIRST_STATUS_WAIT_S = 0.1
# Another relay may take a request that was refused because of the relay itself.
RELAY_REASONS = frozenset(
    {
        errors.Reason.NO_TABLE,
        errors.Reason.NO_SERVER,
        errors.Reason.SERVER_UNREACHABLE,
        errors.Reason.STOPPING,
        errors.Reason.RELAY_FULL,
        errors.Reason.BUFFERS_FULL,
        errors.Reason.ROUTER_FULL,
    }
)
# The relay decided with all that it knows; another one would decide alike.
FINAL_REASONS = errors.NOT_RUN_REASONS - RELAY_REASONS


async def find(context: contexts.RequestContext) -> relay_pool.Relay | None:
    """Return the router to send the next attempt through; None to use a server."""
    if not is_needed(context):
        return None
    pool, now_s = context.forwarder.relays, clocks.boottime_s()
    if pool.wanted_until_s <= now_s - relays.FRESH_S:
        pool.wanted_since_s = now_s
        ask_due(context.forwarder)
    pool.wanted_until_s = now_s + relay_pool.WANTED_S
    while True:
        relay = choose(context)
        left_s = pool.wanted_since_s + FIRST_STATUS_WAIT_S - clocks.boottime_s()
        if relay is not None or left_s <= 0.0 or not pool.tasks:
            return relay
        await asyncio.wait(
            set(pool.tasks), timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )


def choose(context: contexts.RequestContext) -> relay_pool.Relay | None:
    """Return the router to relay a request; None if none is known to have room."""
    forwarder = context.forwarder
    return relay_pool.choose(
        forwarder.relays,
        context.service_name,
        forwarder.settings.availability_zone,
        context.tried_relays,
        clocks.boottime_s(),
    )


def is_needed(context: contexts.RequestContext) -> bool:
    """Return whether the servers of a request can't be reached from here.

    One that can be reached, but is paused, limited or full, is no reason for a relay.
    """
    if context.relayed is not None or len(context.tried_relays) >= MAX_RELAYS_COUNT:
        return False
    if context.unsent_count >= MIN_UNREACHABLE_COUNT:
        return True
    untried = [
        view
        for view in context.forwarder.pool.by_service.get(context.service_name, ())
        if server_pool.is_usable(view)
        and view.listed.server_id not in context.tried_server_ids
    ]
    return bool(untried) and all(view.is_unreachable for view in untried)


async def attempt(
    context: contexts.RequestContext, relay: relay_pool.Relay
) -> responses.ForwardingResult:
    """Send a request through another router, and forward the response."""
    context.tried_relays.add(relay.router.host)
    context.sent_count += 1
    context.has_response_head = False
    context.events_began_s, context.has_progressed = None, False
    context.attempt_version = ""
    context.in_flight = server_pool.InFlightRequest(0, clocks.boottime_s())
    context.uses_relay = True
    relay.open_count += 1
    try:
        return await _attempt(context, relay)
    finally:
        context.uses_relay = False


async def _attempt(
    context: contexts.RequestContext, relay: relay_pool.Relay
) -> responses.ForwardingResult:
    forwarder = context.forwarder
    hop_id = f"{forwarder.generator.getrandbits(64):016x}"
    outcome = await _send(context, relay, hop_id)
    _report(context, relay, outcome)
    match outcome:
        case exchange.NotSent():
            context.sent_count -= 1
            context.unsent_count += 1
            relay.heard_at_s = float("-inf")
            return errors.Reason.SERVER_UNREACHABLE
        case exchange.NotRun():
            return _record_refusal(context, relay, outcome.metadata)
        case exchange.Lost():
            context.may_have_run = True
            relay.heard_at_s = float("-inf")
            return errors.Reason.OUTCOME_UNKNOWN
        case exchange.Answered():
            context.has_response_head = True
            return await responses.forward_response(context, relay.view, outcome)


def _record_refusal(
    context: contexts.RequestContext,
    relay: relay_pool.Relay,
    metadata: header_codec.ResponseMetadata,
) -> errors.Reason:
    """Record that a relay refused a request, and return its reason."""
    reply = metadata.relay_reply
    # The relay has sent it to as many servers instead of this router.
    context.sent_count += reply.sent_count - 1
    context.unsent_count += 1
    context.retry_after_s = metadata.pause_s
    reason = errors.Reason(reply.reason)
    if reason in RELAY_REASONS:
        relay_pool.record_unusable(relay, context.service_name)
    return reason


async def _send(
    context: contexts.RequestContext, relay: relay_pool.Relay, hop_id: str
) -> exchange.Outcome:
    forwarder = context.forwarder
    timeout_s = next_attempts.response_timeout_s(
        context.route,
        context.max_attempts_count - context.sent_count,
        context.time_left_s,
    )
    sending = exchange.send(
        forwarder.at_most_once_session,
        _make_request(context, relay, hop_id),
        _make_codec(forwarder.codec),
        functools.partial(_record_head, context),
    )
    if timeout_s >= context.time_left_s:
        return await sending
    try:
        async with asyncio.timeout(timeout_s):
            return await sending
    except TimeoutError:
        return exchange.Lost("no response within the attempt's timeout")


def _make_request(
    context: contexts.RequestContext, relay: relay_pool.Relay, hop_id: str
) -> exchange.BackendRequest:
    forwarder, request = context.forwarder, context.client_request
    headers = header_codec.end_to_end_headers(
        request.headers, responses.NOTHING_DROPPED
    )
    message = relay_messages.RelayedRequest(
        hop_id=hop_id,
        sender=forwarder.relays.own_host,
        time_left_s=context.time_left_s,
        table_version=forwarder.route_index.table.version,
        service_name=context.service_name,
        attempts_count=context.max_attempts_count - context.sent_count + 1,
        last_event_id=context.last_event_id,
        stream_version=context.stream_version,
    )
    relay_messages.write(headers, message)
    return exchange.BackendRequest(
        method=request.method,
        address=relay.address,
        target=request.raw_path,
        headers=headers,
        body=context.body,
        request_id=hop_id,
    )


def _make_codec(site_codec: header_codec.HeaderCodec) -> header_codec.HeaderCodec:
    """Return a codec whose responses are those of relays."""

    def parse_response(status, headers) -> header_codec.ResponseMetadata:
        reply = relay_messages.read_reply(headers)
        if reply is None:
            return header_codec.ResponseMetadata("", False, False)
        refused = reply.reason in errors.NOT_RUN_REASONS
        parsed = site_codec.parse_response(status, headers)
        return header_codec.ResponseMetadata(
            request_id=reply.hop_id,
            is_not_run=refused,
            is_misdirected=False,
            is_leaving=parsed.is_leaving,
            pause_s=parsed.pause_s,
            relay_reply=reply,
        )

    return header_codec.HeaderCodec(
        site_codec.parse_request, site_codec.make_request_headers, parse_response
    )


def _record_head(
    context: contexts.RequestContext,
    status: int,
    metadata: header_codec.ResponseMetadata,
) -> None:
    """Record the server that responded, and whether it leaves.

    A pause and a limit concern the relay, which sent the request to the server.
    """
    reply = metadata.relay_reply
    context.attempt_version = reply.software_version
    pool = context.forwarder.pool
    view = pool.servers.get(reply.server_id)
    if metadata.is_leaving and view is not None:
        notices = server_notices.record_leaving(view.notices, clocks.boottime_s())
        server_pool.record_notices(pool, view, notices)


def _report(
    context: contexts.RequestContext,
    relay: relay_pool.Relay,
    outcome: exchange.Outcome,
) -> None:
    kind = type(outcome).__name__
    detail = getattr(outcome, "reason", "")
    if isinstance(outcome, exchange.NotRun):
        detail = outcome.metadata.relay_reply.reason
    context.forwarder.metrics.relayed.labels("sent", kind).inc()
    age_s = clocks.boottime_s() - relay.heard_at_s
    fields = logs.Fields(
        request_id=context.metadata.request_id,
        class_name=context.route.name,
        reason=f"{kind}: {detail}" if detail else kind,
        peer=relay.address,
        attempt=context.sent_count,
        duration_s=round(clocks.boottime_s() - context.started_s, 4),
        detail=f"{context.unsent_count} servers or relays not reached, "
        f"its state {age_s:.2f} s old, {relay.open_count} relayed there",
    )
    logs.info("request sent through another router", fields)


async def run(forwarder: contexts.Forwarder) -> None:
    """Ask the relays for their state while they are needed, until cancelled."""
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        if clocks.boottime_s() < forwarder.relays.wanted_until_s:
            ask_due(forwarder)


def ask_due(forwarder: contexts.Forwarder) -> None:
    """Ask the relays that have not been asked for a while."""
    now_s = clocks.boottime_s()
    for relay in forwarder.relays.by_host.values():
        if now_s - relay.asked_at_s >= STATUS_INTERVAL_S:
            relay.asked_at_s = now_s
            task = asyncio.create_task(_ask(forwarder, relay))
            forwarder.relays.tasks.add(task)
            task.add_done_callback(forwarder.relays.tasks.discard)


async def _ask(forwarder: contexts.Forwarder, relay: relay_pool.Relay) -> None:
    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
    asked_at_s = relay.asked_at_s
    try:
        async with forwarder.at_most_once_session.get(
            f"http://{relay.address}/", timeout=timeout
        ) as response:
            content = await client.read_body(response, MAX_STATUS_SIZE_BYTES)
    except (
        aiohttp.ClientError,
        OSError,
        TimeoutError,
        sessions.ConnectionLostError,
    ):
        # It is not used once what it said last is too old.
        return
    if content is None:
        fields = logs.Fields(peer=relay.address, reason="too large")
        logs.warning("state of a relay not read", fields)
        return
    status = codec.decode(content).value_or(None)
    if isinstance(status, relay_messages.RelayStatus):
        relay_pool.record_status(relay, status, asked_at_s)
