"""Clocks: for ages and deadlines that include time suspended, and the time of day."""

import time


def boottime_s() -> float:
    """Return the seconds since boot, including time suspended.

    ``time.monotonic`` stops while the machine is suspended: after a resume, ages
    measured with it are too low and deadlines pass too late.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return this process's time of day, in seconds since the epoch; it may jump."""
    return time.time()
