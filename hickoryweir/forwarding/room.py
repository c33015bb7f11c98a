"""A router's part in sparing servers that fail when they reject many requests.

The decisions are in :mod:`hickoryweir.forwarding_policy.rejection_limits`.
"""

import asyncio
import time

from hickoryweir import clocks
from hickoryweir.forwarding import (
    contexts,
    header_codec,
    memory_room,
    server_pool,
    server_selection,
)
from hickoryweir.forwarding_policy import rejection_limits
from hickoryweir.observability import logs

CHECK_INTERVAL_S = 0.01


def record(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    metadata: header_codec.ResponseMetadata,
) -> None:
    """Record what a response says of the rejections that its server bears."""
    forwarder, name = context.forwarder, context.service_name
    known_limits, now_s = forwarder.pool.max_rejections, clocks.boottime_s()
    known, named = known_limits.get(name), metadata.max_rejections_per_s
    if named is not None:
        known_limits[name] = rejection_limits.RejectionLimit(named, now_s)
        if known is None or known.max_per_s != named:
            _report(context, view, "begun", f"{named:g} rejections a second")
    elif (
        known is not None
        and not metadata.has_max_rejections
        and rejection_limits.has_ended(known, context.in_flight.sent_at_s)
    ):
        del known_limits[name]
        _report(context, view, "ended", "a later response names none")
    if metadata.is_not_run and name in known_limits:
        count = server_pool.requests_count(view, time.monotonic())
        rejection_limits.record_rejection(view.room, count, now_s)
        room = f"room {view.room.slots_count:.1f} of {view.listed.slots_count}"
        _report(context, view, "rejected", f"{count} requests known, {room}")


def _report(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    kind: str,
    detail: str,
) -> None:
    metrics, name = context.forwarder.metrics, context.service_name
    metrics.rejection_limits.labels(name, kind).inc()
    fields = logs.Fields(
        request_id=context.metadata.request_id,
        backend_server=view.listed.server_id,
        reason=kind,
        detail=detail,
    )
    logs.info("rejection limit of a service", fields)


def may_wait(context: contexts.RequestContext) -> bool:
    """Return whether a request without a server may wait for one that has room."""
    if context.service_name in context.forwarder.pool.max_rejections:
        return True
    return memory_room.is_bounded(context) and bool(
        server_selection.untried_servers(context)
    )


async def wait(context: contexts.RequestContext) -> bool:
    """Wait until a server has room for a request; return whether one has."""
    forwarder, name = context.forwarder, context.service_name
    if not may_wait(context):
        return False
    waiting = forwarder.waiting.setdefault(name, rejection_limits.Waiting())
    urgency = server_selection.urgency_of(context)
    number = rejection_limits.begin_wait(waiting, urgency)
    if number is None:
        return False
    share = rejection_limits.MAX_WAIT_SHARE
    end_s = context.started_s + share * context.route.target_latency_s
    try:
        while clocks.boottime_s() < end_s:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if rejection_limits.is_next(
                waiting, number
            ) and server_selection.servers_with_room(context):
                return True
        return False
    finally:
        del waiting.urgencies[number]


def must_wait(context: contexts.RequestContext) -> bool:
    """Return whether requests that are as urgent as this one wait already."""
    forwarder, name = context.forwarder, context.service_name
    waiting = forwarder.waiting.get(name)
    if waiting is None or not waiting.urgencies:
        return False
    if name not in forwarder.pool.max_rejections and not memory_room.is_bounded(
        context
    ):
        # The others wait for room in servers' memory, of which this one needs none.
        return False
    urgency = server_selection.urgency_of(context)
    return rejection_limits.has_more_urgent(waiting, urgency)
