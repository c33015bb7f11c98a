"""Token bucket over bytes, as pure functions on an immutable value.

Examples
--------
>>> bucket = make_bucket(rate_bytes_per_s=10.0, capacity_bytes=100.0, now_s=0.0)
>>> bucket, granted = take(bucket, 100.0, now_s=0.0)
>>> granted, take(bucket, 50.0, now_s=1.0)[1], ready_at_s(bucket, 50.0)
(True, False, 5.0)
"""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """State of a token bucket: it held ``available_bytes`` at ``updated_at_s``."""

    rate_bytes_per_s: float
    capacity_bytes: float
    available_bytes: float
    updated_at_s: float


def make_bucket(rate_bytes_per_s: float, capacity_bytes: float, now_s: float) -> Bucket:
    """Return a full bucket."""
    return Bucket(rate_bytes_per_s, capacity_bytes, capacity_bytes, now_s)


def take(bucket: Bucket, size_bytes: float, now_s: float) -> tuple[Bucket, bool]:
    """Refill the bucket and take bytes from it if it holds enough.

    A request above the capacity is granted when the bucket is full and makes its
    level negative, so that large loads are delayed but possible.  A bucket
    without capacity grants nothing.

    Parameters
    ----------
    bucket : Bucket
        Current state.
    size_bytes : float
        Requested bytes.
    now_s : float
        Monotonic time; a time before the last update adds no bytes.

    Returns
    -------
    tuple of Bucket and bool
        New state, and whether the bytes were granted.
    """
    elapsed_s = max(0.0, now_s - bucket.updated_at_s)
    refilled_bytes = bucket.available_bytes + elapsed_s * bucket.rate_bytes_per_s
    remaining_bytes = min(bucket.capacity_bytes, refilled_bytes)
    can_grant = bucket.capacity_bytes > 0.0 or size_bytes <= 0.0
    granted = can_grant and remaining_bytes >= min(size_bytes, bucket.capacity_bytes)
    if granted:
        remaining_bytes -= size_bytes
    updated_at_s = max(now_s, bucket.updated_at_s)
    after = dataclasses.replace(
        bucket, available_bytes=remaining_bytes, updated_at_s=updated_at_s
    )
    return after, granted


def ready_at_s(bucket: Bucket, size_bytes: float) -> float:
    """Return the time at which the bytes can be taken if nothing else is taken."""
    shortfall_bytes = min(size_bytes, bucket.capacity_bytes) - bucket.available_bytes
    if shortfall_bytes <= 0.0:
        return bucket.updated_at_s
    if bucket.rate_bytes_per_s <= 0.0:
        return math.inf
    return bucket.updated_at_s + shortfall_bytes / bucket.rate_bytes_per_s
