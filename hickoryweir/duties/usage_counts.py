"""Counts of requests that servers began, by window and account, on one router.

Counts are cumulative.  Each change has a number, so that a connection can be sent just
the counts that changed since its last message, and all of them when it is new.

Examples
--------
>>> state = make_state("p1", window_s=5.0)
>>> set_offset(state, 1000.0, 3.0, 1003.0)
>>> record(state, "a", 4.0, 1004.0)
>>> message = make_message(state, 0, 4.0, 1004.0)
>>> message.open_window, message.windows[0].window_number
(200, 200)
>>> make_message(state, state.changes_count, 4.0, 1004.0).windows
()
"""

import dataclasses
import math

from hickoryweir.duties import true_time
from hickoryweir.feeds import messages

# Longer than the time after a window's end in which it is decided, so that each new
# connection gets all counts that are still needed.
KEPT_S = 75.0
# After a smaller correction back, requests stay in the open window, since replicas may
# have decided the one before.
RESET_AFTER_S = 1.0
# Source of all received true times: only one replica sends them at a time.
LEADER = "leader"


@dataclasses.dataclass(slots=True)
class Count:
    """A count, and the number of its last change."""

    requests_count: int = 0
    change_number: int = 0


@dataclasses.dataclass(slots=True)
class Window:
    """Counts of a window by account, and the number of the last change."""

    accounts: dict[str, Count] = dataclasses.field(default_factory=dict)
    change_number: int = 0


@dataclasses.dataclass(slots=True)
class State:
    """Counts of a router.

    Attributes
    ----------
    offset_s : float or None
        True time minus boot time; None before the first, when the own clock counts.
    leader_clock : true_time.State
        True times that were received; the one with the smallest delay counts.
    open_window : int
        The window that requests are counted in.
    """

    process_id: str
    window_s: float
    offset_s: float | None = None
    leader_clock: true_time.State = dataclasses.field(default_factory=true_time.State)
    open_window: int = 0
    windows: dict[int, Window] = dataclasses.field(default_factory=dict)
    changes_count: int = 0


def make_state(process_id: str, window_s: float) -> State:
    """Return the state without counts."""
    return State(process_id, window_s)


def set_offset(state: State, true_s: float, now_s: float, wall_s: float) -> None:
    """Set the clock by the true time received at `now_s`."""
    before_s = wall_s if state.offset_s is None else now_s + state.offset_s
    true_time.add_sample(state.leader_clock, LEADER, true_s, now_s)
    state.offset_s = true_time.offset_s(state.leader_clock, now_s)
    if state.offset_s is None:
        return
    if abs(now_s + state.offset_s - before_s) > RESET_AFTER_S:
        state.open_window = 0


def update_window(state: State, now_s: float, wall_s: float) -> int:
    """Begin the window that is due at `now_s`, and return its number."""
    true_s = wall_s if state.offset_s is None else now_s + state.offset_s
    number = math.floor(true_s / state.window_s)
    if number > state.open_window:
        state.open_window = number
        kept_count = math.ceil(KEPT_S / state.window_s)
        for old in [key for key in state.windows if key < number - kept_count]:
            del state.windows[old]
    return state.open_window


def record(state: State, account_name: str, now_s: float, wall_s: float) -> None:
    """Count a request that a server began at `now_s`."""
    number = update_window(state, now_s, wall_s)
    state.changes_count += 1
    window = state.windows.setdefault(number, Window())
    count = window.accounts.setdefault(account_name, Count())
    count.requests_count += 1
    count.change_number = window.change_number = state.changes_count


def make_message(
    state: State, sent_changes_count: int, now_s: float, wall_s: float
) -> messages.UsageCounts:
    """Return the counts that changed after a number of changes."""
    open_window = update_window(state, now_s, wall_s)
    windows = []
    for number, window in state.windows.items():
        if window.change_number <= sent_changes_count:
            continue
        accounts = tuple(
            messages.AccountCount(name, count.requests_count)
            for name, count in window.accounts.items()
            if count.change_number > sent_changes_count
        )
        windows.append(messages.WindowCounts(number, accounts))
    return messages.UsageCounts(state.process_id, wall_s, open_window, tuple(windows))
