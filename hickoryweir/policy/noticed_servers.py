"""What backend servers say of themselves, in the policy core of `serve`.

The decisions are those of :mod:`hickoryweir.forwarding_policy.server_notices` and
:mod:`hickoryweir.forwarding_policy.server_limits`.  Routers have no leader that could
issue grants to them, so each sends its equal share of a server's limit, beginning at a
random moment; digests tell the limits.  A grant that no call uses in time expires.
"""

from hickoryweir.forwarding_policy import (
    rejection_limits,
    server_limits,
    server_notices,
)
from hickoryweir.policy import events, state

# Time of a leader that was never heard.
NO_LEADER_S = float("-inf")
# A server that is gone for longer has been replaced under its name.
LEAVING_RETENTION_S = 600.0
MAX_SHARED_LIMITS_COUNT = 10

# Server, requests a second, and seconds since the server last named them.
SharedLimit = tuple[str, float, float]


def record(core: state.Core, event: events.ServerNoticed, now_s: float) -> None:
    """Record what the head of a response says of its server."""
    server = core.servers.get(event.backend_server)
    if server is None:
        return
    _record_rejections(server, event, now_s)
    notices = server.notices
    if event.limit_per_s is not None or not event.has_limit:
        notices = server_notices.record_limit(
            notices, event.limit_per_s, now_s, event.sent_at_s
        )
    if event.is_leaving:
        notices = server_notices.record_leaving(notices, now_s)
    if event.pause_s:
        notices = server_notices.record_pause(notices, event.pause_s, now_s)
    elif event.has_served:
        notices = server_notices.record_response(notices, event.sent_at_s, now_s)
    _set_notices(core, server, notices)


def _set_notices(
    core: state.Core, server: state.Server, notices: server_notices.Notices
) -> None:
    server.notices = notices
    if notices is not server_notices.NO_NOTICES:
        core.noticed.add(server.backend.name)


def forget(core: state.Core, server: state.Server) -> None:
    """Forget what an incarnation of a server has said."""
    server.notices = server_notices.NO_NOTICES
    core.noticed.discard(server.backend.name)


def _noticed_servers(core: state.Core) -> list[state.Server]:
    core.noticed &= core.servers.keys()
    return [core.servers[name] for name in sorted(core.noticed)]


def accepts(server: state.Server, now_s: float) -> bool:
    """Return whether a server neither leaves nor asked for a pause."""
    if server.notices is server_notices.NO_NOTICES:
        return True
    return server_notices.accepts(server.notices, len(server.calls), now_s)


def may_send(core: state.Core, server: state.Server, now_s: float) -> bool:
    """Return whether the limits that a server may have named allow a call now."""
    if server.rejection_limit is not None and not _has_room(core, server, now_s):
        return False
    if not server_notices.is_limited(server.notices):
        return True
    return server_limits.has_grant(server.grants, now_s)


def _has_room(core: state.Core, server: state.Server, now_s: float) -> bool:
    """Return whether a server that bears few rejections has room for a call."""
    if now_s < server.room.blocked_until_s:
        return False
    slots_count = rejection_limits.current_slots_count(
        server.room, server.backend.max_concurrency, now_s
    )
    return rejection_limits.has_room(
        slots_count,
        core.settings.routers_count,
        len(server.calls),
        server.peers_running,
        f"{core.settings.router} {server.backend.name}",
    )


def _record_rejections(
    server: state.Server, event: events.ServerNoticed, now_s: float
) -> None:
    """Record how many rejections a server bears, and a rejection."""
    known, named = server.rejection_limit, event.max_rejections_per_s
    if named is not None:
        server.rejection_limit = rejection_limits.RejectionLimit(named, now_s)
    elif (
        known is not None
        and not event.has_max_rejections
        and rejection_limits.has_ended(known, event.sent_at_s)
    ):
        server.rejection_limit = None
    if event.is_rejected and server.rejection_limit is not None:
        calls_count = len(server.calls) + server.peers_running
        rejection_limits.record_rejection(server.room, calls_count, now_s)


def record_sent(server: state.Server, now_s: float) -> None:
    """Use a grant for a call, if the server names a limit."""
    if server_notices.is_limited(server.notices):
        server_limits.use_grant(server.grants, now_s)


def review(core: state.Core, now_s: float) -> None:
    """Add this router's shares of limits, and forget what servers said long ago."""
    for server in _noticed_servers(core):
        leaving_s = server.notices.leaving_since_s
        if leaving_s is not None and now_s - leaving_s >= LEAVING_RETENTION_S:
            forget(core, server)
        elif server_notices.is_limited(server.notices):
            _review_limit(core, server, now_s)


def _review_limit(core: state.Core, server: state.Server, now_s: float) -> None:
    notices = server.notices
    if now_s - notices.limit_at_s >= server_limits.LIMIT_RETENTION_S:
        server.notices = server_notices.record_limit(notices, None, now_s, now_s)
        return
    server_limits.add_own_share(
        server.grants,
        notices.limit_per_s,
        core.settings.routers_count,
        NO_LEADER_S,
        now_s,
        core.random.random(),
    )


def limited_rate_per_s(core: state.Core, pool: state.Pool) -> float | None:
    """Return this router's share of the limits if all servers of a pool name one."""
    if not core.noticed:
        return None
    notices = [core.servers[name].notices for name in pool.subset]
    if not notices or not all(map(server_notices.is_limited, notices)):
        return None
    limit_per_s = sum(
        max(server_limits.MIN_RATE_PER_S, item.limit_per_s) for item in notices
    )
    return server_limits.OWN_SHARE * limit_per_s / core.settings.routers_count


def accepts_after_s(core: state.Core, pool: state.Pool, now_s: float) -> float:
    """Return when the first server of a pool may take a call again."""
    return min(
        (
            server_notices.accepts_after_s(core.servers[name].notices, now_s)
            for name in pool.subset
        ),
        default=0.0,
    )


def shared_limits(core: state.Core, now_s: float) -> tuple[SharedLimit, ...]:
    """Return the limits that servers named to this router or others, for a digest."""
    found = [
        (server.backend.name, server.notices.limit_per_s, _limit_age_s(server, now_s))
        for server in _noticed_servers(core)
        if server_notices.is_limited(server.notices)
    ]
    latest = sorted(found, key=lambda item: item[2])[:MAX_SHARED_LIMITS_COUNT]
    return tuple(sorted(latest))


def _limit_age_s(server: state.Server, now_s: float) -> float:
    return now_s - server.notices.limit_at_s


def merge(core: state.Core, limits: tuple[SharedLimit, ...], now_s: float) -> None:
    """Record the limits that another router tells."""
    for name, limit_per_s, age_s in limits:
        server = core.servers.get(name)
        if server is not None:
            at_s = now_s - age_s
            notices = server_notices.record_limit(
                server.notices, limit_per_s, at_s, at_s
            )
            _set_notices(core, server, notices)
