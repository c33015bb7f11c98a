"""The clock for ages and deadlines that include time suspended."""

import time


def boottime_s() -> float:
    """Return the seconds since boot, including time suspended.

    ``time.monotonic`` stops while the machine is suspended: after a resume, ages
    measured with it are too low and deadlines pass too late.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
