"""Deterministic core of a peer router: versions, zone reports and digests.

:func:`step` handles one event and returns actions; the node
(:mod:`hickoryweir.routers.node`) performs the I/O.  A router accepts only versions
higher than the one it holds.  After a start it becomes ready once it has in force
at least the version that a linearizable read of the log returned or, if the log
can't be reached, the highest version in force at a ready router of its zone.
"""

import collections
import dataclasses

from returns import result

from hickoryweir.claims import holders
from hickoryweir.configuration import commands
from hickoryweir.routers import (
    acknowledgements,
    digests,
    events,
    messages,
    topology,
    versions,
)

HEARTBEAT_INTERVAL_S = 2.0
PULL_TIMEOUT_S = 1.0
DIAL_RETRY_S = 2.0
LOG_READ_WAIT_S = 3.0
WATCH_DURATION_S = 10.0


@dataclasses.dataclass(slots=True)
class Link:
    """State of the link to one peer.

    ``announcement`` is the peer's last one; ``watched_until_s`` is the time until
    which zone reports are sent to the peer.
    """

    announcement: messages.Announce | None = None
    watched_until_s: float = float("-inf")
    digest_credit_bytes: float = 0.0
    sent_digests: dict[str, tuple[int, int]] = dataclasses.field(default_factory=dict)
    sent_digests_at_s: dict[str, float] = dataclasses.field(default_factory=dict)
    sent_reports: dict[tuple[str, str], tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class State:
    """State of one router; created by :func:`make_state`."""

    layout: topology.Layout
    incarnation: int
    started_at_s: float
    held: versions.Published | None = None
    version_deltas: tuple[versions.VersionDelta, ...] = ()
    in_force_version: int = 0
    is_ready: bool = False
    confirmed_version: int | None = None
    links: dict[str, Link] = dataclasses.field(default_factory=dict)
    unreachable_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    pull_until_s: float = float("-inf")
    heartbeat_at_s: float = float("-inf")
    watching_until_s: float = float("-inf")
    zone_reports: acknowledgements.State = dataclasses.field(
        default_factory=acknowledgements.State
    )
    peer_digests: digests.State = dataclasses.field(default_factory=digests.State)
    counts: collections.Counter = dataclasses.field(default_factory=collections.Counter)


def make_state(
    local: topology.Member,
    members: tuple[topology.Member, ...],
    incarnation: int,
    now_s: float,
) -> State:
    """Return the initial state of a router.

    Parameters
    ----------
    local : Member
        This process.
    members : tuple of Member
        All processes, this one included.
    incarnation : int
        Increases with each start.
    now_s : float
        Monotonic time.
    """
    return State(topology.make_layout(local, members), incarnation, now_s)


def _unreachable(state: State, now_s: float) -> frozenset[str]:
    return frozenset(
        name for name, until_s in state.unreachable_until_s.items() if until_s > now_s
    )


def wanted_peers(state: State, now_s: float) -> tuple[str, ...]:
    """Return the peers to which the node keeps an outgoing connection."""
    return topology.wanted_peers(state.layout, _unreachable(state, now_s), now_s)


def is_gone(state: State, holder: holders.Holder, now_s: float) -> bool:
    """Return whether a router's process is known to have ended.

    A call that is sent again after its router was killed is then answered at once,
    instead of waiting for that router until the caller's deadline.
    """
    if holder.router == state.layout.local.name:
        return 0 < holder.incarnation < state.incarnation
    uptime_s = now_s - state.started_at_s
    return digests.is_gone(state.peer_digests, state.layout, holder, uptime_s)


def step(state: State, event: events.Event, now_s: float) -> list[events.Action]:
    """Handle one event.

    Parameters
    ----------
    state : State
        Modified in place.
    event : Event
        The event to handle.
    now_s : float
        Monotonic time.

    Returns
    -------
    list of Action
        Actions for the node to execute, in order.
    """
    match event:
        case events.Received():
            return _receive(state, event.peer, event.message, now_s)
        case events.LinkOpened():
            state.links[event.peer] = Link()
            state.unreachable_until_s.pop(event.peer, None)
            return [events.Send(event.peer, _announce(state))]
        case events.LinkClosed():
            state.links.pop(event.peer, None)
            return []
        case events.DialFailed():
            state.unreachable_until_s[event.peer] = now_s + DIAL_RETRY_S
            return []
        case events.LogRead():
            return _handle_log_read(state, event)
        case events.Adopted():
            return _handle_adopted(state, event.version, now_s)
        case events.LocalDigest():
            digests.add_local(
                state.peer_digests, event.digest, state.incarnation, now_s
            )
            return []
        case events.WatchRequested():
            return _request_reports(state, now_s)
        case events.Ticked():
            return _tick(state, now_s)


def zone_reports(state: State, now_s: float) -> tuple[messages.ZoneReport, ...]:
    """Return the most complete live report of each zone, sorted by zone."""
    _update_own_report(state, now_s)
    return acknowledgements.best_reports(state.zone_reports, now_s)


def _announce(state: State) -> messages.Announce:
    held_version = state.held.version if state.held else 0
    return messages.Announce(
        state.incarnation, held_version, state.in_force_version, state.is_ready
    )


def _announce_all(state: State) -> list[events.Action]:
    message = _announce(state)
    return [events.Send(peer, message) for peer in state.links]


def _receive(state, peer, message, now_s):
    link = state.links.get(peer)
    if link is None:
        state.counts["message_without_link"] += 1
        return []
    match message:
        case messages.Announce():
            return _handle_announce(state, link, peer, message, now_s)
        case messages.Pull():
            return _handle_pull(state, peer, message)
        case messages.Update():
            return _handle_update(state, peer, message, now_s)
        case messages.Reports():
            acknowledgements.merge_reports(state.zone_reports, message.reports, now_s)
            return []
        case messages.Watch():
            link.watched_until_s = now_s + WATCH_DURATION_S
            return _request_reports(state, now_s)
        case messages.Digests():
            digests.record_received(link, message.digests)
            new_digests = digests.merge(
                state.peer_digests, message.digests, state.layout, now_s
            )
            return [events.DeliverDigest(digest) for digest in new_digests]
    state.counts["message_unexpected"] += 1
    return []


def _handle_announce(state, link, peer, message, now_s):
    link.announcement = message
    acknowledgements.record_announcement(state.zone_reports, peer, message, now_s)
    actions: list[events.Action] = []
    preferred = topology.preferred_relay(state.layout, state.links)
    if preferred in (None, peer) or peer not in state.layout.zone_names:
        actions += _pull_if_newer(state, peer, message, now_s)
    return actions + _update_readiness(state, now_s)


def _pull_if_newer(state, peer, message, now_s):
    held_version = state.held.version if state.held else 0
    if message.held_version <= held_version or now_s < state.pull_until_s:
        return []
    state.pull_until_s = now_s + PULL_TIMEOUT_S
    return [events.Send(peer, messages.Pull(held_version))]


def _handle_pull(state, peer, message):
    if state.held is None or state.held.version <= message.known_version:
        return [events.Send(peer, _announce(state))]
    update = versions.make_update(
        state.held, state.version_deltas, message.known_version
    )
    state.counts["delta_sent" if update.base_version else "text_sent"] += 1
    return [events.Send(peer, update)]


def _handle_update(state, peer, update, now_s):
    state.pull_until_s = float("-inf")
    if state.held is not None and update.version <= state.held.version:
        state.counts["update_not_newer"] += 1
        return []
    published = versions.apply_update(state.held, update)
    if not isinstance(published, result.Success):
        state.counts["update_mismatched"] += 1
        state.pull_until_s = now_s + PULL_TIMEOUT_S
        return [events.Send(peer, messages.Pull(0))]
    return _store_version(state, published.unwrap())


def _store_version(state, published):
    state.version_deltas = versions.append_delta(
        state.version_deltas, state.held, published
    )
    state.held = published
    return [events.Adopt(published), *_announce_all(state)]


def _handle_log_read(state, event):
    published = event.published
    if event.is_confirmed:
        version = published.version if published else 0
        state.confirmed_version = max(state.confirmed_version or 0, version)
    if published is None:
        return []
    if state.held is not None and published.version <= state.held.version:
        return []
    return _store_version(state, published)


def _handle_adopted(state, version, now_s):
    state.in_force_version = max(state.in_force_version, version)
    _update_readiness(state, now_s)
    return _announce_all(state)


def _update_readiness(state, now_s):
    if state.is_ready or state.in_force_version == 0:
        return []
    target_version = _min_ready_version(state, now_s)
    if target_version is None or state.in_force_version < target_version:
        return []
    state.is_ready = True
    return _announce_all(state)


def _min_ready_version(state, now_s):
    """Return the lowest version with which this router may become ready, if known."""
    if state.confirmed_version is not None:
        return state.confirmed_version
    if now_s - state.started_at_s < LOG_READ_WAIT_S:
        return None
    ready_versions = [
        link.announcement.in_force_version
        for peer, link in state.links.items()
        if peer in state.layout.zone_names
        and link.announcement is not None
        and link.announcement.is_ready
    ]
    return max(ready_versions, default=None)


def _request_reports(state, now_s):
    if now_s < state.watching_until_s - WATCH_DURATION_S / 2:
        return []
    state.watching_until_s = now_s + WATCH_DURATION_S
    return [events.Send(peer, messages.Watch()) for peer in state.links]


def _tick(state, now_s):
    actions: list[events.Action] = []
    if now_s >= state.heartbeat_at_s + HEARTBEAT_INTERVAL_S:
        state.heartbeat_at_s = now_s
        actions += _announce_all(state)
    actions += _update_readiness(state, now_s)
    actions += _retry_pull(state, now_s)
    actions += _send_reports(state, now_s)
    expired, batches = digests.tick(state.peer_digests, state, now_s)
    actions += [events.DeliverDigest(digest) for digest in expired]
    actions += [events.Send(peer, messages.Digests(batch)) for peer, batch in batches]
    return actions


def _retry_pull(state, now_s):
    for peer, link in state.links.items():
        if link.announcement is not None:
            actions = _pull_if_newer(state, peer, link.announcement, now_s)
            if actions:
                return actions
    return []


def _update_own_report(state, now_s):
    own = acknowledgements.Announcement(
        state.incarnation, state.in_force_version, state.is_ready, now_s
    )
    stopped = frozenset(
        stop.name
        for stop in (state.held.running_stops if state.held else ())
        if stop.kind is commands.SubjectKind.ENTRY_VM
    )
    acknowledgements.update_own_report(
        state.zone_reports, state.layout, state.incarnation, own, stopped, now_s
    )


def _send_reports(state, now_s):
    if state.layout.local.name in topology.relays(
        state.layout, _unreachable(state, now_s)
    ):
        _update_own_report(state, now_s)
    live = acknowledgements.live_reports(state.zone_reports, now_s)
    actions = []
    for peer, link in state.links.items():
        if peer not in state.layout.sources and link.watched_until_s <= now_s:
            continue
        unsent = [
            each for each in live if _is_unsent(link, each) and each.computed_by != peer
        ]
        for report in unsent:
            key = (report.availability_zone, report.computed_by)
            link.sent_reports[key] = (report.incarnation, report.sequence)
        if unsent:
            actions.append(events.Send(peer, messages.Reports(tuple(unsent))))
    return actions


def _is_unsent(link, report):
    key = (report.availability_zone, report.computed_by)
    sent = link.sent_reports.get(key, (-1, -1))
    return (report.incarnation, report.sequence) > sent
