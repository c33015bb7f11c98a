"""Records what backend servers say of themselves in their responses.

The decisions are in :mod:`hickoryweir.forwarding_policy.server_notices`.
"""

import collections

from hickoryweir import clocks
from hickoryweir.discovery import listing
from hickoryweir.forwarding import (
    contexts,
    header_codec,
    limits,
    responses,
    room,
    server_pool,
    server_reachability,
    speeds,
)
from hickoryweir.forwarding_policy import server_notices
from hickoryweir.observability import logs


def record(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    status: int,
    metadata: header_codec.ResponseMetadata,
) -> None:
    """Record the notices of a response's head, and whether the server has served."""
    server_reachability.record_heard(context.forwarder.pool)
    if metadata.is_misdirected:
        # Another incarnation responded; what it says does not concern this one.
        return
    if metadata.ignored_notice:
        _report(context, view, "ignored", metadata.ignored_notice)
    room.record(context, view, metadata)
    speeds.record_head(context, view, metadata.server_load)
    now_s = clocks.boottime_s()
    known = notices = server_pool.notices_of(context.forwarder.pool, view.listed)
    if metadata.limit_per_s is not None or not metadata.has_limit:
        notices = server_notices.record_limit(
            notices, metadata.limit_per_s, now_s, context.in_flight.sent_at_s
        )
        _report_limit(context, view, known, notices)
    if metadata.is_leaving:
        notices = server_notices.record_leaving(notices, now_s)
        if known.leaving_since_s is None:
            _report(context, view, "leaving", _describe_list(context, view, now_s))
    if metadata.pause_s:
        notices = server_notices.record_pause(notices, metadata.pause_s, now_s)
        asked = f"{metadata.pause_s:g} s, {_describe_list(context, view, now_s)}"
        _report(context, view, "pause", asked)
    elif not metadata.is_not_run and status < responses.FIRST_FAILURE_STATUS:
        sent_at_s = context.in_flight.sent_at_s
        notices = server_notices.record_response(notices, sent_at_s, now_s)
        if known.responses_count == 0 and notices.responses_count == 1:
            after_s = now_s - known.paused_until_s
            _report(context, view, "return", f"{after_s:.3f} s after its pause")
    if notices != known:
        server_pool.record_notices(context.forwarder.pool, view, notices)


def _report_limit(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    known: server_notices.Notices,
    notices: server_notices.Notices,
) -> None:
    limits.report(context.forwarder, view, known, notices)
    if notices.limit_per_s == known.limit_per_s:
        return
    if server_notices.is_limited(notices):
        _report(context, view, "limit", f"{notices.limit_per_s:g} a second")
    else:
        named_s = notices.limit_at_s - known.limit_at_s
        _report(context, view, "limit_end", f"last named {named_s:.3f} s ago")


def _describe_list(
    context: contexts.RequestContext, view: server_pool.ServerView, now_s: float
) -> str:
    list_age_s = now_s - context.forwarder.list_read_at_s
    return f"{view.listed.state} in a list {list_age_s:.2f} s old"


def _report(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    kind: str,
    detail: str,
) -> None:
    forwarder = context.forwarder
    forwarder.metrics.notices.labels(context.service_name, kind).inc()
    fields = logs.Fields(
        request_id=context.metadata.request_id,
        backend_server=view.listed.server_id,
        reason=kind,
        detail=detail,
    )
    logs.info("notice of a server", fields)


def update_gauges(forwarder: contexts.Forwarder) -> None:
    """Set the gauge of servers by service and state."""
    now_s = clocks.boottime_s()
    counts = collections.Counter(
        (view.listed.service_name, _describe_state(view, now_s))
        for view in forwarder.pool.servers.values()
    )
    gauge = forwarder.metrics.servers
    gauge.clear()
    for (service_name, state), count in counts.items():
        gauge.labels(service_name, state).set(count)


def _describe_state(view: server_pool.ServerView, now_s: float) -> str:
    if view.notices.leaving_since_s is not None:
        return "leaving"
    if view.listed.state is not listing.ServerState.READY:
        return "draining"
    if server_notices.is_paused(view.notices, now_s):
        return "paused"
    if server_notices.is_limited(view.notices):
        return "limited"
    if server_notices.is_returning(view.notices, now_s):
        return "returning"
    return "ready"
