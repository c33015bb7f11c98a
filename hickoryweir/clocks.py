"""The clock for ages and deadlines that must count a suspension of the machine."""

import time


def boottime_s() -> float:
    """Return seconds since the machine's start, suspensions included.

    ``time.monotonic`` stands still while the machine is suspended, so an age taken
    with it would be too young and a deadline too late afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
