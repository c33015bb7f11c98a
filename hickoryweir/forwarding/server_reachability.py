"""Servers that can't be reached: failed connections, silent servers, and probes.

The decisions are in :mod:`hickoryweir.forwarding_policy.unreachable_servers`.
"""

import random

from hickoryweir import clocks
from hickoryweir.forwarding import server_pool
from hickoryweir.forwarding_policy import unreachable_servers


def record_unreachable(
    pool: server_pool.Pool, view: server_pool.ServerView, own_zone: str, now_s: float
) -> frozenset[str]:
    """Avoid a server, and a zone that seems partitioned, until probes reach them.

    Returns
    -------
    frozenset of str
        The zones whose servers are avoided by this failure.
    """
    pool.connect_failures = _add_failure(pool.connect_failures, view, now_s)
    pool.failed_at_s = clocks.boottime_s()
    zones = unreachable_servers.find_partitioned_zones(
        pool.connect_failures, own_zone, now_s
    )
    all_zones = _all_zones(pool)
    reached_at_s = now_s - (pool.failed_at_s - pool.reached_at_s)
    if unreachable_servers.is_isolated(
        pool.connect_failures, all_zones, reached_at_s, now_s
    ):
        zones = all_zones
    _mark_unreachable(view, now_s)
    for other in pool.servers.values():
        if other.listed.availability_zone in zones:
            _mark_unreachable(other, now_s)
    return zones


def record_silent(
    pool: server_pool.Pool, view: server_pool.ServerView, now_s: float
) -> bool:
    """Record that a server accepted a connection and sent no byte on it.

    Returns
    -------
    bool
        Whether all servers are avoided now, since none is heard.
    """
    pool.silent_failures = _add_failure(pool.silent_failures, view, now_s)
    pool.failed_at_s = clocks.boottime_s()
    heard_at_s = now_s - (pool.failed_at_s - pool.heard_at_s)
    failures = [*pool.connect_failures, *pool.silent_failures]
    if not unreachable_servers.is_isolated(
        failures, _all_zones(pool), heard_at_s, now_s
    ):
        return False
    for other in pool.servers.values():
        _mark_unreachable(other, now_s)
        other.must_respond = True
    return True


def _add_failure(
    failures: list[unreachable_servers.Failure],
    view: server_pool.ServerView,
    now_s: float,
) -> list[unreachable_servers.Failure]:
    """Return the recent failures and one more, of a server."""
    listed = view.listed
    failure = unreachable_servers.Failure(
        listed.server_id, listed.availability_zone, now_s
    )
    oldest_s = now_s - unreachable_servers.WINDOW_S
    return [*(item for item in failures if item.at_s >= oldest_s), failure]


def _all_zones(pool: server_pool.Pool) -> frozenset[str]:
    return frozenset(view.listed.availability_zone for view in pool.servers.values())


def _mark_unreachable(view: server_pool.ServerView, now_s: float) -> None:
    if not view.is_unreachable:
        view.is_unreachable = True
        view.probes_count = 0
        view.next_probe_s = now_s


def reaches_none(pool: server_pool.Pool) -> bool:
    """Return whether there are servers in the list, and none can be reached."""
    return bool(pool.servers) and all(
        view.is_unreachable for view in pool.servers.values()
    )


def servers_to_verify(pool: server_pool.Pool) -> list[server_pool.ServerView]:
    """Return the servers to probe because none has been reached for a while.

    These are servers that owe a response, and all others once a connection has failed
    since any server was reached.
    """
    now_s = clocks.boottime_s()
    if now_s - pool.reached_at_s < unreachable_servers.QUIET_S:
        return []
    has_failed = pool.failed_at_s > pool.reached_at_s
    return [
        view
        for view in pool.servers.values()
        if _may_be_probed(view)
        and now_s - view.verified_at_s >= unreachable_servers.VERIFY_INTERVAL_S
        and (has_failed or _owes_response(view, now_s))
    ]


def servers_to_ask(pool: server_pool.Pool) -> list[server_pool.ServerView]:
    """Return the servers to ask for a response because none has been heard for long.

    These are servers that owe a response or have lost one since any server was heard,
    and all others once a connection has failed since then.
    """
    now_s = clocks.boottime_s()
    has_failed = pool.failed_at_s > pool.heard_at_s
    is_silent = now_s - pool.heard_at_s >= unreachable_servers.SILENT_AFTER_S
    return [
        view
        for view in pool.servers.values()
        if _may_be_probed(view)
        and now_s - view.asked_at_s >= unreachable_servers.VERIFY_INTERVAL_S
        and (
            has_failed
            or view.lost_at_s > pool.heard_at_s
            or (is_silent and _owes_response(view, now_s))
        )
    ]


def _may_be_probed(view: server_pool.ServerView) -> bool:
    return not view.is_unreachable and view.notices.leaving_since_s is None


def _owes_response(view: server_pool.ServerView, now_s: float) -> bool:
    """Return whether a request has waited for clearly longer than was expected."""
    return any(
        now_s - request.sent_at_s
        >= unreachable_servers.QUIET_S + 2 * request.expected_wait_s
        for request in view.in_flight.values()
    )


def due_probes(pool: server_pool.Pool, now_s: float) -> list[server_pool.ServerView]:
    """Return the unreachable servers whose next probe is due."""
    return [
        view
        for view in pool.servers.values()
        if view.is_unreachable
        and view.next_probe_s <= now_s
        and view.notices.leaving_since_s is None
    ]


def record_failed_probe(
    view: server_pool.ServerView, now_s: float, generator: random.Random
) -> None:
    """Schedule the next probe of a server."""
    view.next_probe_s = unreachable_servers.next_probe_s(
        view.probes_count, now_s, generator
    )
    view.probes_count += 1


def record_reachable(view: server_pool.ServerView) -> None:
    """Give a server requests again."""
    view.is_unreachable = view.must_respond = False
    view.usable_since_s = clocks.boottime_s()
    view.failures_count = 0
    view.suspect_until_s = 0.0


def record_heard(pool: server_pool.Pool) -> None:
    """Record that a server has sent a byte."""
    pool.heard_at_s = pool.reached_at_s = clocks.boottime_s()
