"""Checks what reached servers that crash, name limits, pause or leave.

Bounds are sums over all routers but those that a fault holds up or made anew: a router
counts as calm from `CONTACT_S` after its last fault.
"""

import collections
import dataclasses

from hickoryweir.testing import promises
from hickoryweir.testing.soak import faults, notice_servers

# Processes have this long to tell each other.
CONTACT_S = 3.0
KNOWN_CRASHES_COUNT = 5
ALLOWED_AFTER_CRASHES_COUNT = 3
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_MORE_COUNT = 5
PAUSE_SLACK_S = 0.5
ALLOWED_IN_PAUSE_COUNT = 2
MIN_CALLS_COUNT = 20
MIN_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A client's request; `has_begun` says whether its response did with success."""

    request_id: str
    part_id: str
    started_s: float
    has_begun: bool

    @property
    def router(self) -> str:
        """Return the router that it was sent to."""
        return notice_servers.router_of(self.request_id)


def is_calm(
    injected: list[faults.InjectedFault], router: str, from_s: float, until_s: float
) -> bool:
    """Return whether a router had no fault in a time, nor shortly before."""
    return not any(
        item.target == router
        and item.began_s <= until_s
        and item.ended_s + CONTACT_S >= from_s
        for item in injected
    )


def find_violations(
    fleet: notice_servers.Fleet,
    calls: list[Call],
    injected: list[faults.InjectedFault],
) -> list[promises.Violation]:
    """Return every violation of a promise."""
    return [
        *find_sent_after_crashes(fleet, injected),
        *find_over_limits(fleet, injected),
        *find_sent_in_pauses(fleet, injected),
        *find_sent_to_leaving(fleet, calls, injected),
        *find_unserved(fleet, calls, injected),
    ]


def find_sent_after_crashes(fleet, injected) -> list[promises.Violation]:
    """Check that a part that ended five servers is sent to hardly any more."""
    crashes = collections.defaultdict(list)
    for part_id, at_s in fleet.crashes:
        crashes[part_id].append(at_s)
    violations = []
    for part_id, times_s in crashes.items():
        if len(times_s) < KNOWN_CRASHES_COUNT:
            continue
        known_s = sorted(times_s)[KNOWN_CRASHES_COUNT - 1] + CONTACT_S
        later = [
            item
            for item in fleet.arrivals
            if item.part_id == part_id
            and item.at_s > known_s
            and is_calm(injected, item.router, item.at_s, item.at_s)
        ]
        if len(later) > ALLOWED_AFTER_CRASHES_COUNT:
            detail = f"{part_id}: {len(times_s)} crashes, then {len(later)} requests"
            violations.append(
                promises.Violation("a crashing part reaches few servers", detail)
            )
    return violations


def find_over_limits(fleet, injected) -> list[promises.Violation]:
    """Check that servers get about as much as the limits that they name."""
    violations = []
    for notice in fleet.limits:
        times_s = [
            item.at_s
            for item in fleet.arrivals
            if item.server_id == notice.server_id
            and notice.began_s + CONTACT_S <= item.at_s <= notice.ended_s
            and is_calm(injected, item.router, item.at_s, item.at_s)
        ]
        most_count = count_in_window(times_s, LIMIT_WINDOW_S)
        allowed_count = (
            LIMIT_FACTOR * LIMIT_WINDOW_S * notice.limit_per_s + LIMIT_MORE_COUNT
        )
        if most_count > allowed_count:
            detail = f"{most_count} requests in 4 s, allowed {allowed_count}: {notice}"
            violations.append(promises.Violation("a limit is kept", detail))
    return violations


def count_in_window(times_s: list[float], window_s: float) -> int:
    """Return the most times that lie in a window.

    Examples
    --------
    >>> count_in_window([1.0, 2.0, 4.5, 5.5], 4.0), count_in_window([], 4.0)
    (3, 0)
    """
    return max(
        (sum(at_s <= other < at_s + window_s for other in times_s) for at_s in times_s),
        default=0,
    )


def find_sent_in_pauses(fleet, injected) -> list[promises.Violation]:
    """Check that a server gets nothing from a router that it asked for a pause."""
    violations = []
    for notice in fleet.pauses:
        if not is_calm(injected, notice.router, notice.began_s, notice.ended_s):
            continue
        count = sum(
            item.server_id == notice.server_id
            and item.router == notice.router
            and notice.began_s + PAUSE_SLACK_S < item.at_s < notice.ended_s
            for item in fleet.arrivals
        )
        if count > ALLOWED_IN_PAUSE_COUNT:
            detail = f"{count} requests: {notice}"
            violations.append(promises.Violation("a pause is kept", detail))
    return violations


def find_sent_to_leaving(fleet, calls, injected) -> list[promises.Violation]:
    """Check that a router sends nothing new to a server that told it that it leaves."""
    started_s = {call.request_id: call.started_s for call in calls}
    return [
        promises.Violation("a leaving server gets no new work", f"{item}: {notice}")
        for notice in fleet.leavings
        for item in fleet.arrivals
        if item.server_id == notice.server_id
        and item.router == notice.router
        and started_s.get(item.request_id, 0.0) > notice.began_s + CONTACT_S
        and is_calm(injected, item.router, notice.began_s, item.at_s)
    ]


def find_unserved(fleet, calls, injected) -> list[promises.Violation]:
    """Check that sound requests begin half as often as before any crash, or more."""
    if not fleet.crashes:
        return []
    first_s = min(at_s for _, at_s in fleet.crashes)
    sound = [
        call
        for call in calls
        if not call.part_id
        and is_calm(injected, call.router, call.started_s, call.started_s)
    ]
    before = [call.has_begun for call in sound if call.started_s < first_s]
    after = [
        call.has_begun for call in sound if call.started_s > first_s + 2 * CONTACT_S
    ]
    if min(len(before), len(after)) < MIN_CALLS_COUNT:
        return []
    shares = [sum(begun) / len(begun) for begun in (before, after)]
    if shares[1] >= MIN_SHARE * shares[0]:
        return []
    detail = f"{shares[1]:.2f} begin, {shares[0]:.2f} before"
    return [promises.Violation("sound requests are served beside crashes", detail)]
