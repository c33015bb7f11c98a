"""Polling delays: exponential backoff after failures, with deterministic jitter.

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
    """Return the delay before the next poll.

    Parameters
    ----------
    interval_s : float
        Delay after a success.
    max_wait_s : float
        Maximum delay after failures.
    failures_count : int
        Consecutive failures.
    name : str
        Name of the peer, which seeds the jitter; the same input gives the same delay.

    Returns
    -------
    float
        Delay in seconds.
    """
    if failures_count == 0:
        return interval_s
    exponent = min(failures_count, MAX_EXPONENT)
    delay_s = min(max_wait_s, interval_s * 2.0**exponent)
    jitter_steps = zlib.crc32(f"{name}:{failures_count}".encode()) % JITTER_STEPS_COUNT
    return delay_s * (1.0 - jitter_steps / JITTER_STEPS_COUNT / 2.0)
