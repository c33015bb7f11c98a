"""A router's part in keeping the limits that servers name.

The decisions are in :mod:`hickoryweir.forwarding_policy.server_limits`.
"""

from hickoryweir import clocks
from hickoryweir.feeds import messages
from hickoryweir.forwarding import contexts, server_pool
from hickoryweir.forwarding_policy import server_limits, server_notices
from hickoryweir.observability import logs

# Tells the replicas that a server goes on naming its limit.
REPORT_INTERVAL_S = 1.0


def report(
    forwarder: contexts.Forwarder,
    view: server_pool.ServerView,
    known: server_notices.Notices,
    notices: server_notices.Notices,
) -> None:
    """Tell the replicas what a response says of its server's limit, if it is news."""
    if notices.limit_at_s <= known.limit_at_s:
        return
    is_same = notices.limit_per_s == known.limit_per_s
    unreported_s = notices.limit_at_s - view.limit_reported_at_s
    if is_same and unreported_s < REPORT_INTERVAL_S:
        return
    view.limit_reported_at_s = notices.limit_at_s
    found = _make_limit(view, notices)
    forwarder.report_limits(messages.ServerLimits((found,)))


def _make_limit(
    view: server_pool.ServerView, notices: server_notices.Notices
) -> messages.ServerLimit:
    listed = view.listed
    return messages.ServerLimit(
        listed.server_id,
        listed.address,
        listed.started_at_ms,
        notices.limit_per_s,
        clocks.boottime_s() - notices.limit_at_s,
    )


def make_greeting(forwarder: contexts.Forwarder) -> list[messages.ServerLimits]:
    """Return the limits to tell a replica that may have restarted."""
    found = tuple(
        _make_limit(view, view.notices)
        for view in server_pool.limited_servers(forwarder.pool)
    )
    return [messages.ServerLimits(found)] if found else []


def apply_limits(forwarder: contexts.Forwarder, message: messages.ServerLimits) -> None:
    """Apply limits that servers have named to other routers."""
    now_s = clocks.boottime_s()
    for item in message.limits:
        view = _find(forwarder, item)
        if view is None:
            continue
        at_s = now_s - item.age_s
        known = view.notices
        notices = server_notices.record_limit(known, item.per_s, at_s, at_s)
        if notices != known:
            server_pool.record_notices(forwarder.pool, view, notices)


def apply_grants(forwarder: contexts.Forwarder, message: messages.SendGrants) -> None:
    """Add grants that the leading replica has issued to this router."""
    now_s = clocks.boottime_s()
    for item in message.grants:
        view = _find(forwarder, item)
        if view is not None:
            server_limits.add_grants(view.grants, item.requests_count, now_s)
            _count(forwarder, view, "received", item.requests_count)


def _find(
    forwarder: contexts.Forwarder,
    item: messages.ServerLimit | messages.ServerGrant,
) -> server_pool.ServerView | None:
    view = forwarder.pool.servers.get(item.server_id)
    if view is None or view.listed.address != item.address:
        return None
    is_same = view.listed.started_at_ms == item.started_at_ms
    return view if is_same else None


def add_own_shares(forwarder: contexts.Forwarder, leader_heard_at_s: float) -> None:
    """Grant this router its share of each limit while it knows of no leader.

    A limit of which nothing was heard for long ends, as it does at the replicas.
    """
    now_s = clocks.boottime_s()
    for view in server_pool.limited_servers(forwarder.pool):
        if now_s - view.notices.limit_at_s >= server_limits.LIMIT_RETENTION_S:
            ended = server_notices.record_limit(view.notices, None, now_s, now_s)
            server_pool.record_notices(forwarder.pool, view, ended)
            continue
        server_limits.add_own_share(
            view.grants,
            view.notices.limit_per_s,
            forwarder.routers_count,
            leader_heard_at_s,
            now_s,
            forwarder.generator.random(),
        )


def use_grant(
    forwarder: contexts.Forwarder, view: server_pool.ServerView, request_id: str
) -> None:
    """Use a grant for a request to a server, if the server names a limit."""
    if not server_notices.is_limited(view.notices):
        return
    left_count = len(view.grants.expires_at_s) - 1
    server_limits.use_grant(view.grants, clocks.boottime_s())
    _count(forwarder, view, "used", 1)
    fields = logs.Fields(
        request_id=request_id,
        backend_server=view.listed.server_id,
        detail=f"limit {view.notices.limit_per_s:g} a second, {left_count} grants left",
    )
    logs.info("grant used", fields)


def _count(
    forwarder: contexts.Forwarder,
    view: server_pool.ServerView,
    kind: str,
    count: int,
) -> None:
    forwarder.metrics.grants.labels(view.listed.service_name, kind).inc(count)
