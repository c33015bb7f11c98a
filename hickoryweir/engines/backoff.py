"""Waits between polls: exponential after failures, spread by the peer's name.

Examples
--------
>>> wait_s(1.0, 8.0, 0, "a")
1.0
>>> 4.0 < wait_s(1.0, 8.0, 9, "a") <= 8.0
True
"""

import zlib

MAX_EXPONENT = 16
JITTER_STEPS_COUNT = 1024


def wait_s(
    interval_s: float, max_wait_s: float, failures_count: int, name: str
) -> float:
    """Return how long to wait before the next try.

    Parameters
    ----------
    interval_s : float
        Wait after a success.
    max_wait_s : float
        Bound of the wait after many failures.
    failures_count : int
        Failures since the last success.
    name : str
        Of the peer; spreads the tries, the same at each run.

    Returns
    -------
    float
        Seconds.
    """
    if failures_count == 0:
        return interval_s
    exponent = min(failures_count, MAX_EXPONENT)
    bound_s = min(max_wait_s, interval_s * 2.0**exponent)
    jitter_steps = zlib.crc32(f"{name}:{failures_count}".encode()) % JITTER_STEPS_COUNT
    return bound_s * (1.0 - jitter_steps / JITTER_STEPS_COUNT / 2.0)
