"""Token bucket that keeps the calls of all VMs within one rate.

The rate is split into a steady part and a burst, so that no second has more calls than
the limit.  A new bucket is empty, since an earlier process may just have used its own.

Examples
--------
>>> bucket = make_bucket(10.0, 0.0)
>>> round(acquire(bucket, 0.0), 3)
0.125
>>> [acquire(bucket, 1.0) for _ in range(2)], round(acquire(bucket, 1.0), 3)
([0.0, 0.0], 0.125)
"""

import dataclasses

# The rest of the limit is the burst: a full bucket adds its burst to a second's steady
# rate, and the sum must not exceed the limit.
STEADY_SHARE = 0.8
# After a wait of exactly the returned time, the sum of the increments may be below 1.
ROUNDING_ERROR = 1e-6


@dataclasses.dataclass(slots=True)
class Bucket:
    """State of a token bucket.

    Attributes
    ----------
    max_tokens : float
        The burst.
    """

    rate_per_s: float
    max_tokens: float
    tokens: float
    updated_at_s: float


def make_bucket(calls_per_s: float, now_s: float) -> Bucket:
    """Return an empty bucket for a limit on the calls in any second."""
    burst = max(1.0, (1 - STEADY_SHARE) * calls_per_s)
    return Bucket(STEADY_SHARE * calls_per_s, burst, 0.0, now_s)


def acquire(bucket: Bucket, now_s: float) -> float:
    """Take a token and return 0, or return the seconds until there is one."""
    elapsed_s = max(0.0, now_s - bucket.updated_at_s)
    bucket.updated_at_s = now_s
    tokens = bucket.tokens + elapsed_s * bucket.rate_per_s
    bucket.tokens = min(bucket.max_tokens, tokens)
    if bucket.tokens >= 1 - ROUNDING_ERROR:
        bucket.tokens = max(0.0, bucket.tokens - 1)
        return 0.0
    return (1 - bucket.tokens) / bucket.rate_per_s
