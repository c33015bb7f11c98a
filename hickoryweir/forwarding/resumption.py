"""Keeps each stream at the software version that began it.

The decisions are in :mod:`hickoryweir.forwarding_policy.stream_versions`.
"""

import asyncio
import contextlib
from collections.abc import Iterator

from hickoryweir import clocks
from hickoryweir.discovery import listing
from hickoryweir.feeds import messages, versions
from hickoryweir.forwarding import contexts, errors, server_pool
from hickoryweir.forwarding_policy import stream_versions
from hickoryweir.observability import logs
from hickoryweir.routes import matching, model

# A replica answers within milliseconds; its link may be slow.
ORIGIN_WAIT_S = 0.2
CHECK_INTERVAL_S = 0.02
# A list shows a restart after its lag of about a second.
RESTART_LISTED_AFTER_S = 2.0


def lifetime_s(forwarder: contexts.Forwarder, service_name: str) -> float:
    """Return how long streams of a service may be resumed after their beginning."""
    known_s = forwarder.stream_lifetimes_s.get(service_name)
    if known_s is not None:
        return known_s
    routes = forwarder.route_index.table.routes
    found_s = stream_versions.lifetime_s(routes, service_name)
    forwarder.stream_lifetimes_s[service_name] = found_s
    return found_s


def eligible_servers(context: contexts.RequestContext) -> list[server_pool.ServerView]:
    """Return the available servers of the software version that binds a request.

    A stream begins only at versions that other routers can find out about.  A server
    that may have restarted since the list was read may run another version than the
    list says, under the same id.
    """
    forwarder, name = context.forwarder, context.service_name
    available = server_pool.available_servers(forwarder.pool, name)
    if context.stream_version is None:
        return _servers_to_begin_at(context, available)
    has_several = has_several_versions(forwarder, name)
    return [
        view
        for view in available
        if view.listed.software_version == context.stream_version
        and not (has_several and _may_have_restarted(forwarder, view))
    ]


def _servers_to_begin_at(
    context: contexts.RequestContext, available: list[server_pool.ServerView]
) -> list[server_pool.ServerView]:
    forwarder = context.forwarder
    if forwarder.read_versions is None or not _is_resumable(context.route):
        return available
    name, now_s = context.service_name, clocks.boottime_s()
    versions = {view.listed.software_version for view in available}
    usable = {
        version
        for version in versions
        if stream_versions.may_begin(
            forwarder.known_streams,
            (name, version),
            now_s,
            now_s - forwarder.list_read_at_s,
        )
    }
    return [view for view in available if view.listed.software_version in usable]


def _may_have_restarted(
    forwarder: contexts.Forwarder, view: server_pool.ServerView
) -> bool:
    return forwarder.list_read_at_s < view.lost_at_s + RESTART_LISTED_AFTER_S


def _is_resumable(route: model.Route) -> bool:
    return stream_versions.is_resumable(route)


async def admit(context: contexts.RequestContext) -> errors.Reason | None:
    """Bind a stream that a client resumes to its software version.

    Returns
    -------
    Reason or None
        Why the stream can't be resumed; None if it can, or if the request begins one.
    """
    if not context.last_event_id or not _is_resumable(context.route):
        return None
    decision = _decide(context, None)
    if isinstance(decision, stream_versions.Unknown):
        decision = await _ask(context)
    _report(context, decision)
    if isinstance(decision, stream_versions.Unknown):
        return errors.Reason.VERSION_UNKNOWN
    context.stream_version = decision.version
    return None


async def _ask(
    context: contexts.RequestContext,
) -> stream_versions.Resumption | stream_versions.Unknown:
    """Ask the replicas where a stream began, and which versions are recorded.

    Decides by what they say in time; the log ends a read by itself.
    """
    forwarder = context.forwarder
    forwarder.ask_origins(tuple(_keys_by_service(context).values()))
    reading = asyncio.create_task(_read_versions(forwarder))
    give_up_s = clocks.boottime_s() + ORIGIN_WAIT_S
    try:
        while True:
            await asyncio.wait([reading], timeout=CHECK_INTERVAL_S)
            recorded = reading.result() if reading.done() else None
            decision = _decide(context, recorded)
            is_known = isinstance(decision, stream_versions.Resumption)
            is_late = clocks.boottime_s() >= give_up_s
            if is_known or (is_late and reading.done()):
                return decision
            if reading.done():
                await asyncio.sleep(CHECK_INTERVAL_S)
    finally:
        reading.cancel()


async def _read_versions(
    forwarder: contexts.Forwarder,
) -> frozenset[tuple[str, str]] | None:
    """Return the recorded versions; without a log to read, those that are listed."""
    if forwarder.read_versions is None:
        return forwarder.listed_versions
    return await forwarder.read_versions()


def _keys_by_service(context: contexts.RequestContext) -> dict[str, int]:
    """Return the stream's key at each service where it can have begun.

    A service without weight may have had one when the stream began.
    """
    stream_id = context.metadata.resumed_stream_id
    return {
        item.service_name: _key(context, item.service_name, stream_id)
        for item in context.route.destinations
    }


def _decide(
    context: contexts.RequestContext, recorded: frozenset[tuple[str, str]] | None
) -> stream_versions.Resumption | stream_versions.Unknown:
    """Decide for the service where a stream began; it may go on at no other."""
    forwarder, state = context.forwarder, context.forwarder.known_streams
    refresh_versions(forwarder)
    now_s = clocks.boottime_s()
    keys = _keys_by_service(context)
    began_at = [
        name
        for name, key in keys.items()
        if key in state.origins and state.origins[key].expires_at_s > now_s
    ]
    name = began_at[0] if began_at else context.service_name
    is_known = len(began_at) == 1 or len(keys) == 1
    if not is_known or not _uses_service(context.route, name):
        return stream_versions.Unknown(_versions_in_use(context, tuple(keys)))
    context.service_name = name
    key = keys[name]
    alive_s = lifetime_s(forwarder, name)
    list_age_s = now_s - forwarder.list_read_at_s
    return stream_versions.decide(
        state, name, key, now_s, alive_s, list_age_s, recorded
    )


def _versions_in_use(
    context: contexts.RequestContext, service_names: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the versions in use at services, with the names of these."""
    forwarder, now_s = context.forwarder, clocks.boottime_s()
    return tuple(
        f"{version or 'unnamed'} of {name}"
        for name in service_names
        for version in stream_versions.versions_in_use(
            forwarder.known_streams, name, now_s, lifetime_s(forwarder, name)
        )
    )


def _uses_service(route: model.Route, service_name: str) -> bool:
    """Return whether a route sends requests to a service."""
    return any(
        item.weight and item.service_name == service_name for item in route.destinations
    )


def _key(context: contexts.RequestContext, service_name: str, stream_id: str) -> int:
    account_name = "" if context.account is None else context.account.name
    return stream_versions.stream_key(service_name, account_name, stream_id)


def _report(
    context: contexts.RequestContext,
    decision: stream_versions.Resumption | stream_versions.Unknown,
) -> None:
    if isinstance(decision, stream_versions.Unknown):
        outcome = "refused"
        known = ", ".join(decision.versions) or "none known"
        detail = f"service or version not known, in use: {known}"
    else:
        outcome = "resumed"
        version = decision.version or "unknown"
        detail = f"version {version}, {decision.source}, {decision.age_s:.2f} s old"
    _count(context, outcome)
    fields = logs.Fields(
        request_id=context.metadata.request_id,
        class_name=context.route.name,
        reason=outcome,
        detail=f"stream {context.metadata.resumed_stream_id[:64] or 'unnamed'} "
        f"after event {context.last_event_id[:64]}: {detail}",
    )
    logs.info("stream resumption decided", fields)


def _count(context: contexts.RequestContext, outcome: str) -> None:
    context.forwarder.metrics.resumptions.labels(context.service_name, outcome).inc()


def record_first_event(context: contexts.RequestContext) -> None:
    """Record the version of an attempt whose first event is about to be forwarded.

    A resumed stream is known by the request that began it, and by this one.
    """
    if context.stream_version is None:
        context.stream_version = context.attempt_version
    if not _is_resumable(context.route):
        return
    if context.metadata.last_event_id:
        _record(context, context.metadata.resumed_stream_id)
    _record(context, context.metadata.request_id)


def _record(context: contexts.RequestContext, stream_id: str) -> None:
    if not stream_id:
        return
    forwarder, name = context.forwarder, context.service_name
    now_s = clocks.boottime_s()
    origin = stream_versions.Origin(
        name,
        context.stream_version,
        stream_versions.Source.OWN,
        now_s,
        now_s + lifetime_s(forwarder, name),
    )
    key = _key(context, name, stream_id)
    if stream_versions.record_origin(forwarder.known_streams, key, origin):
        _announce(forwarder, key, origin, is_split=len(context.route.destinations) > 1)


def _announce(
    forwarder: contexts.Forwarder,
    key: int,
    origin: stream_versions.Origin,
    *,
    is_split: bool = False,
) -> None:
    """Tell the replicas where a stream began if other routers can't infer it."""
    if origin.version is None:
        return
    if is_split or has_several_versions(forwarder, origin.service_name):
        forwarder.report_origin(origin.service_name, origin.version, key)


def apply_table(
    forwarder: contexts.Forwarder, route_index: matching.RouteIndex
) -> None:
    """Put a table in force; announce the streams of services that share a route now."""
    earlier = forwarder.route_index
    known = frozenset() if earlier is None else _split_services(earlier.table)
    forwarder.route_index = route_index
    forwarder.stream_lifetimes_s.clear()
    split = _split_services(route_index.table) - known
    for key, origin in own_origins(forwarder):
        if origin.service_name in split:
            _announce(forwarder, key, origin, is_split=True)


def _split_services(table: model.RoutingTable) -> frozenset[str]:
    """Return the services that share a route of resumable streams with another one."""
    return frozenset(
        item.service_name
        for route in table.routes
        if _is_resumable(route) and len(route.destinations) > 1
        for item in route.destinations
    )


def apply_list(forwarder: contexts.Forwarder, server_list: listing.ServerList) -> bool:
    """Record the versions in a list; return whether they differ from the last one's."""
    listed = listing.versions_of(server_list)
    refresh_versions(forwarder)
    with _announcing_earlier_streams(forwarder):
        stream_versions.record_listed(
            forwarder.known_streams, listed, server_list.read_at_s
        )
    stream_versions.replace_listed(
        forwarder.known_streams,
        listed,
        server_list.read_at_s,
        forwarder.list_read_at_s,
    )
    has_changed = listed != forwarder.listed_versions
    forwarder.listed_versions = listed
    forwarder.list_read_at_s = server_list.read_at_s
    return has_changed


def unrecorded_versions(forwarder: contexts.Forwarder) -> frozenset[tuple[str, str]]:
    """Return the listed versions that are not known to be recorded in the log."""
    return stream_versions.unrecorded(forwarder.known_streams)


def apply_recorded(
    forwarder: contexts.Forwarder, pairs: frozenset[tuple[str, str]]
) -> None:
    """Let streams begin at versions that were recorded while they were listed."""
    state = forwarder.known_streams
    state.recorded |= pairs & state.listed_since_s.keys()


def refresh_versions(forwarder: contexts.Forwarder) -> None:
    """Record that the versions of the list in force were in its last read as well.

    A list that is read again without a change is not applied again.
    """
    stream_versions.record_listed(
        forwarder.known_streams, forwarder.listed_versions, forwarder.list_read_at_s
    )


def apply_listed_versions(
    forwarder: contexts.Forwarder, message: messages.ListedVersions
) -> None:
    """Record versions that other processes have seen in a list."""
    with _announcing_earlier_streams(forwarder):
        versions.add_listed_versions(forwarder.known_streams, message)


@contextlib.contextmanager
def _announcing_earlier_streams(forwarder: contexts.Forwarder) -> Iterator[None]:
    """Announce this router's streams of services that get a second version."""
    state = forwarder.known_streams
    names = {origin.service_name for origin in state.origins.values()}
    single = {name for name in names if not has_several_versions(forwarder, name)}
    yield
    for key, origin in own_origins(forwarder):
        if origin.service_name in single:
            _announce(forwarder, key, origin)


def own_origins(
    forwarder: contexts.Forwarder,
) -> list[tuple[int, stream_versions.Origin]]:
    """Return the streams that began at this router and may still be resumed."""
    now_s = clocks.boottime_s()
    return [
        (key, origin)
        for key, origin in forwarder.known_streams.origins.items()
        if origin.source is stream_versions.Source.OWN and origin.expires_at_s > now_s
    ]


def split_origins(
    forwarder: contexts.Forwarder,
) -> list[tuple[int, stream_versions.Origin]]:
    """Return the own streams of services that share a route with another service."""
    if forwarder.route_index is None:
        return []
    split = _split_services(forwarder.route_index.table)
    return [
        (key, origin)
        for key, origin in own_origins(forwarder)
        if origin.service_name in split
    ]


def apply_origins(
    forwarder: contexts.Forwarder, message: messages.StreamOrigins
) -> None:
    """Record where streams began that a replica was asked for."""
    if forwarder.route_index is None:
        alive_s = versions.ORIGINS_RETENTION_S
    else:
        alive_s = lifetime_s(forwarder, message.service_name)
    origin = versions.make_origin(message, alive_s)
    for key in message.keys:
        stream_versions.record_origin(forwarder.known_streams, key, origin)


def has_several_versions(forwarder: contexts.Forwarder, service_name: str) -> bool:
    """Return whether streams that are still alive may have begun at two versions."""
    if forwarder.route_index is None:
        return False
    refresh_versions(forwarder)
    in_use = stream_versions.versions_in_use(
        forwarder.known_streams,
        service_name,
        clocks.boottime_s(),
        lifetime_s(forwarder, service_name),
    )
    return len(in_use) > 1
