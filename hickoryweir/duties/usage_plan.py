"""Which windows of usage to decide and to report now.

A window is decided when each router that was heard lately has completed it, and some
time before it is due at the latest.  Windows that ended long ago are given up.
"""

import dataclasses
import math

# Leaves time for a call without a response, a new claim and a second call.
DECISION_MARGIN_S = 2.0
GIVEN_UP_AFTER_S = 60.0
# Routers reconnect within about 1 s after a start of a replica.
LISTENING_GRACE_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Length of a window, and the time after its end until its report is due."""

    window_s: float
    due_s: float

    @property
    def decision_s(self) -> float:
        """Return the time after a window's end by which it is decided at the latest."""
        return max(self.due_s / 2, self.due_s - DECISION_MARGIN_S)

    @property
    def given_up_s(self) -> float:
        """Return the time after a window's end from which it is not reported."""
        return max(GIVEN_UP_AFTER_S, 2 * self.due_s)


def window_at(settings: Settings, true_s: float) -> int:
    """Return the number of the window at a time."""
    return math.floor(true_s / settings.window_s)


def end_s(settings: Settings, number: int) -> float:
    """Return when a window ends."""
    return (number + 1) * settings.window_s


def oldest_window(settings: Settings, true_s: float) -> int:
    """Return the first window that is not given up.

    Examples
    --------
    >>> oldest_window(Settings(5.0, 10.0), 1000.0)
    187
    """
    return math.floor((true_s - settings.given_up_s) / settings.window_s) - 1


def open_windows(settings: Settings, true_s: float, first_number: int) -> range:
    """Return the windows that have ended, from the first one that is reported.

    Examples
    --------
    >>> open_windows(Settings(5.0, 10.0), 1000.0, 195)
    range(195, 200)
    """
    first = max(first_number, oldest_window(settings, true_s))
    return range(first, window_at(settings, true_s))


def must_decide(
    settings: Settings,
    number: int,
    true_s: float,
    waited_for_count: int,
    listened_s: float,
) -> bool:
    """Return whether to decide a window that has ended.

    Parameters
    ----------
    settings : Settings
        Length and due time of windows.
    number : int
        The window.
    true_s : float
        True time.
    waited_for_count : int
        Routers heard lately that have not completed it.
    listened_s : float
        For how long this replica has heard routers.

    Examples
    --------
    >>> settings = Settings(5.0, 10.0)
    >>> [must_decide(settings, 1, 10.5, count, 60.0) for count in (0, 1)]
    [True, False]
    >>> must_decide(settings, 1, 18.0, 1, 60.0)
    True
    >>> must_decide(settings, 1, 18.0, 0, 1.0)
    False
    """
    if listened_s < LISTENING_GRACE_S:
        # The routers' counts, and any clock but the replica's own, may be missing yet.
        return False
    is_late = true_s >= end_s(settings, number) + settings.decision_s
    return is_late or waited_for_count == 0


def order_reports(settings: Settings, numbers: list[int], true_s: float) -> list[int]:
    """Return windows in the order of their reports: those not late yet come first.

    Examples
    --------
    >>> order_reports(Settings(5.0, 10.0), [190, 191, 198, 197], 1000.0)
    [197, 198, 190, 191]
    """
    late_before_s = true_s - settings.due_s
    return sorted(
        numbers, key=lambda number: (end_s(settings, number) < late_before_s, number)
    )
