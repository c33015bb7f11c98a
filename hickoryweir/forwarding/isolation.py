"""Whether a router reaches any backend server, told to operators when it changes."""

from hickoryweir import clocks
from hickoryweir.forwarding import contexts, server_reachability
from hickoryweir.observability import logs


def update(forwarder: contexts.Forwarder) -> None:
    """Log and count when the router loses its last server, and when one is back."""
    pool = forwarder.pool
    is_isolated = server_reachability.reaches_none(pool)
    if is_isolated == pool.is_isolated:
        return
    pool.is_isolated = is_isolated
    change = "begun" if is_isolated else "ended"
    forwarder.metrics.isolations.labels(change).inc()
    reachable_count = sum(not view.is_unreachable for view in pool.servers.values())
    heard_s = clocks.boottime_s() - pool.heard_at_s
    detail = (
        f"{reachable_count} of {len(pool.servers)} servers can be reached, "
        f"last heard {heard_s:.2f} s ago"
    )
    logs.warning("isolated from all servers", logs.Fields(reason=change, detail=detail))
