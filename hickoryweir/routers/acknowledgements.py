"""Reports on which version is in force in each availability zone.

Relays aggregate the announcements of their zone's routers into zone reports, and
sources forward these to other routers.  Announcements and reports expire after
:data:`REPORT_TIMEOUT_S`.
"""

import dataclasses

from hickoryweir.routers import messages, topology

REPORT_TIMEOUT_S = 10.0
REFRESH_INTERVAL_S = 2.0
MAX_LISTED_COUNT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """The last announcement of a router, with the time of its receipt."""

    incarnation: int
    in_force_version: int
    is_ready: bool
    received_at_s: float


@dataclasses.dataclass(slots=True)
class State:
    """Announcements by router, and reports by zone and relay."""

    announcements: dict[str, Announcement] = dataclasses.field(default_factory=dict)
    reports: dict[tuple[str, str], tuple[messages.ZoneReport, float]] = (
        dataclasses.field(default_factory=dict)
    )
    sequence: int = 0


def record_announcement(
    state: State, peer: str, message: messages.Announce, now_s: float
) -> None:
    """Record a router's announcement."""
    state.announcements[peer] = Announcement(
        message.incarnation, message.in_force_version, message.is_ready, now_s
    )


def merge_reports(
    state: State, reports: tuple[messages.ZoneReport, ...], now_s: float
) -> None:
    """Merge reports from another router; stale ones are ignored."""
    for report in reports:
        key = (report.availability_zone, report.computed_by)
        previous = state.reports.get(key)
        if report.age_s >= REPORT_TIMEOUT_S:
            continue
        if previous is None or _sequence_key(report) > _sequence_key(previous[0]):
            state.reports[key] = (report, now_s - report.age_s)


def _sequence_key(report: messages.ZoneReport) -> tuple[int, int]:
    return report.incarnation, report.sequence


def update_own_report(
    state: State,
    layout: topology.Layout,
    incarnation: int,
    own: Announcement,
    stopped: frozenset[str],
    now_s: float,
) -> None:
    """Update this router's report of its own zone if it changed or needs a refresh.

    Parameters
    ----------
    state : State
        Modified in place.
    layout : topology.Layout
        Topology as seen by this router.
    incarnation : int
        Incarnation of this router.
    own : Announcement
        Announcement of this router itself.
    stopped : frozenset of str
        Routers under a planned stop; they do not count as expected or missing.
    now_s : float
        Monotonic time.
    """
    name = layout.local.name
    zone = layout.local.availability_zone
    expected = [peer for peer in layout.relay_order if peer not in stopped]
    live_routers = {name: own}
    for peer in layout.zone_peers:
        if peer in stopped:
            continue
        each = state.announcements.get(peer)
        if each is not None and now_s - each.received_at_s < REPORT_TIMEOUT_S:
            live_routers[peer] = each
    in_force_versions = [each.in_force_version for each in live_routers.values()]
    highest = max(in_force_versions)
    lagging = [
        peer for peer, each in live_routers.items() if each.in_force_version < highest
    ]
    missing = [peer for peer in expected if peer not in live_routers]
    report = messages.ZoneReport(
        zone,
        name,
        incarnation,
        state.sequence + 1,
        min(in_force_versions),
        len(live_routers),
        len(expected),
        tuple(sorted(lagging)[:MAX_LISTED_COUNT]),
        tuple(sorted(missing)[:MAX_LISTED_COUNT]),
    )
    previous = state.reports.get((zone, name))
    if previous is not None and now_s - previous[1] < REFRESH_INTERVAL_S:
        is_unchanged = (
            dataclasses.replace(previous[0], sequence=report.sequence) == report
        )
        if is_unchanged:
            return
    state.sequence += 1
    state.reports[(zone, name)] = (report, now_s)


def live_reports(state: State, now_s: float) -> tuple[messages.ZoneReport, ...]:
    """Remove expired reports and return the others with their current age."""
    for key, (_, at_s) in list(state.reports.items()):
        if now_s - at_s >= REPORT_TIMEOUT_S:
            del state.reports[key]
    return tuple(
        dataclasses.replace(report, age_s=now_s - at_s)
        for report, at_s in state.reports.values()
    )


def best_reports(state: State, now_s: float) -> tuple[messages.ZoneReport, ...]:
    """Return the most complete live report of each zone, sorted by zone.

    It is the one with the most live routers, then with the highest version.
    """
    chosen: dict[str, messages.ZoneReport] = {}
    for report in live_reports(state, now_s):
        previous = chosen.get(report.availability_zone)
        if previous is None or _completeness(report) > _completeness(previous):
            chosen[report.availability_zone] = report
    return tuple(chosen[zone] for zone in sorted(chosen))


def _completeness(report: messages.ZoneReport) -> tuple[int, int]:
    return report.live_count, report.in_force_version


def is_in_force(report: messages.ZoneReport, version: int) -> bool:
    """Return whether a version is in force at every router of the zone."""
    return not report.missing and report.in_force_version >= version
