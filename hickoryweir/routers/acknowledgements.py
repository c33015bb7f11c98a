"""Which versions are in force in which availability zone.

Relays hear the routers of their zone and report for it; sources pass the reports
on.  Reports and routers that are no longer heard age out.
"""

import dataclasses

from hickoryweir.routers import messages, topology

LOST_S = 10.0
REFRESH_S = 2.0
MAX_NAMED_COUNT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """What a router last announced, and when."""

    incarnation: int
    in_force_version: int
    is_ready: bool
    at_s: float


@dataclasses.dataclass(slots=True)
class State:
    """Routers heard directly, and reports by zone and relay."""

    heard: dict[str, Heard] = dataclasses.field(default_factory=dict)
    reports: dict[tuple[str, str], tuple[messages.ZoneReport, float]] = (
        dataclasses.field(default_factory=dict)
    )
    sequence: int = 0


def hear(state: State, peer: str, message: messages.Announce, now_s: float) -> None:
    """Take a router's announcement."""
    state.heard[peer] = Heard(
        message.incarnation, message.in_force_version, message.is_ready, now_s
    )


def take(state: State, reports: tuple[messages.ZoneReport, ...], now_s: float) -> None:
    """Take reports from another router; older ones are ignored."""
    for report in reports:
        key = (report.availability_zone, report.computed_by)
        known = state.reports.get(key)
        if report.age_s >= LOST_S:
            continue
        if known is None or _order(report) > _order(known[0]):
            state.reports[key] = (report, now_s - report.age_s)


def _order(report: messages.ZoneReport) -> tuple[int, int]:
    return report.incarnation, report.sequence


def compute(
    state: State,
    layout: topology.Layout,
    incarnation: int,
    own: Heard,
    stopped: frozenset[str],
    now_s: float,
) -> None:
    """Renew this router's report of its own zone if it changed or grew old.

    Parameters
    ----------
    state : State
        Changed in place.
    layout : topology.Layout
        This router, and the others of its zone.
    incarnation : int
        This router's.
    own : Heard
        What this router has in force.
    stopped : frozenset of str
        Routers under a planned stop; they are not expected.
    now_s : float
        Monotonic time.
    """
    name = layout.me.name
    zone = layout.me.availability_zone
    expected = [peer for peer in layout.relay_order if peer not in stopped]
    heard = {name: own}
    for peer in layout.inside:
        if peer in stopped:
            continue
        each = state.heard.get(peer)
        if each is not None and now_s - each.at_s < LOST_S:
            heard[peer] = each
    numbers = [each.in_force_version for each in heard.values()]
    highest = max(numbers)
    lagging = [n for n, each in heard.items() if each.in_force_version < highest]
    missing = [each for each in expected if each not in heard]
    report = messages.ZoneReport(
        zone,
        name,
        incarnation,
        state.sequence + 1,
        min(numbers),
        len(heard),
        len(expected),
        tuple(sorted(lagging)[:MAX_NAMED_COUNT]),
        tuple(sorted(missing)[:MAX_NAMED_COUNT]),
    )
    known = state.reports.get((zone, name))
    if known is not None and now_s - known[1] < REFRESH_S:
        same = dataclasses.replace(known[0], sequence=report.sequence) == report
        if same:
            return
    state.sequence += 1
    state.reports[(zone, name)] = (report, now_s)


def live(state: State, now_s: float) -> tuple[messages.ZoneReport, ...]:
    """Return the reports that are not too old, with their age; drop the others."""
    for key, (_, at_s) in list(state.reports.items()):
        if now_s - at_s >= LOST_S:
            del state.reports[key]
    return tuple(
        dataclasses.replace(report, age_s=now_s - at_s)
        for report, at_s in state.reports.values()
    )


def best(state: State, now_s: float) -> tuple[messages.ZoneReport, ...]:
    """Return for each zone the live report that knows most, sorted by zone."""
    chosen: dict[str, messages.ZoneReport] = {}
    for report in live(state, now_s):
        known = chosen.get(report.availability_zone)
        if known is None or _knowledge(report) > _knowledge(known):
            chosen[report.availability_zone] = report
    return tuple(chosen[zone] for zone in sorted(chosen))


def _knowledge(report: messages.ZoneReport) -> tuple[int, int]:
    return report.live_count, report.in_force_version


def is_in_force(report: messages.ZoneReport, version: int) -> bool:
    """Return whether a version is in force at every router of the zone."""
    return not report.missing and report.in_force_version >= version
