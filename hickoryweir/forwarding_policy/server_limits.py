"""Limits that backend servers name, shared by all routers.

Answers the load of many routers, each with a small part of the traffic, in front of a
server that takes a few requests a second in all.  Equal shares would give each router a
request in many seconds, and one request of each at once may be more than the limit.  So
the leading replica issues the right to send one request, a grant, at the rate of the
limit, to routers chosen by their load.  A grant that is not used in time expires, so
that a router which is stopped, frozen or partitioned holds no more than a second of the
limit.  A router that knows of no leader for some seconds sends its equal share.

Times are on a clock that includes time suspended.
"""

import bisect
import dataclasses
import itertools
import random
from collections.abc import Sequence

# Used in time by a router with a request a second.
GRANT_LIFETIME_S = 1.0
# Finds out in time that a server with a limit of 0 takes requests again.
MIN_RATE_PER_S = 0.2
# A server that takes more has no limit in effect; grants are drawn and kept one by one.
MAX_RATE_PER_S = 10_000.0
# A second's grants, and those that were not issued in time.
MAX_GRANTS_COUNT = 20_000
# Grants that were not issued in time, as a share of a second's.
BURST_SHARE = 0.2
# Longer than the `Retry-After` that refused requests are given.
YIELD_S = 2.0
# One in so many requests uses a grant although more urgent ones wait.
FLOOR_EVERY_COUNT = 4
# An election takes about a second.
LEADER_TIMEOUT_S = 3.0
# Routers without a leader do not take turns, so some of their requests come together.
OWN_SHARE = 0.7
# A server that named a limit is asked again long before.
LIMIT_RETENTION_S = 600.0
MAX_LIMITS_COUNT = 20_000

# Identifier, address and start time of an incarnation of a server.
ServerKey = tuple[str, str, int]


@dataclasses.dataclass(slots=True)
class Bucket:
    """Grants that may be issued, as a token bucket; empty at first."""

    updated_s: float
    grants: float = 0.0


def take_grants(bucket: Bucket, limit_per_s: float, now_s: float) -> int:
    """Return the number of grants to issue now.

    Examples
    --------
    >>> bucket = Bucket(10.0)
    >>> [take_grants(bucket, 4.0, 10.0 + 0.125 * step) for step in range(5)]
    [0, 0, 1, 0, 1]
    >>> take_grants(bucket, 10.0, 60.0), take_grants(bucket, 0.0, 64.0)
    (3, 0)
    """
    rate_per_s = _usable_rate(limit_per_s)
    elapsed_s = max(0.0, now_s - bucket.updated_s)
    burst = 1.0 + BURST_SHARE * rate_per_s
    bucket.grants = min(burst, bucket.grants + rate_per_s * elapsed_s)
    bucket.updated_s = now_s
    count = int(bucket.grants)
    bucket.grants -= count
    return count


def _usable_rate(limit_per_s: float) -> float:
    return min(max(MIN_RATE_PER_S, limit_per_s), MAX_RATE_PER_S)


@dataclasses.dataclass(slots=True)
class Limit:
    """What a server said last; `per_s` is None once it names no limit any more."""

    per_s: float | None
    at_s: float


@dataclasses.dataclass(slots=True)
class Limits:
    """The limits that a replica knows, with the grants it may issue, by server."""

    known: dict[ServerKey, Limit] = dataclasses.field(default_factory=dict)
    buckets: dict[ServerKey, Bucket] = dataclasses.field(default_factory=dict)


def record(limits: Limits, key: ServerKey, found: Limit) -> bool:
    """Record what a router was told; return whether the limit has changed.

    Examples
    --------
    >>> limits, key = Limits(), ("s", "h:1", 0)
    >>> record(limits, key, Limit(2.0, 5.0)), record(limits, key, Limit(2.0, 6.0))
    (True, False)
    >>> record(limits, key, Limit(None, 5.5)), record(limits, key, Limit(None, 7.0))
    (False, True)
    """
    known = limits.known.get(key)
    if known is not None and found.at_s <= known.at_s:
        return False
    limits.known[key] = found
    if len(limits.known) > MAX_LIMITS_COUNT:
        del limits.known[next(iter(limits.known))]
    return found.per_s != (None if known is None else known.per_s)


def remove_expired(limits: Limits, now_s: float) -> None:
    """Forget servers of which nothing was heard for long."""
    limits.known = {
        key: limit
        for key, limit in limits.known.items()
        if now_s - limit.at_s < LIMIT_RETENTION_S
    }


def in_force(limits: Limits) -> dict[ServerKey, float]:
    """Return the limits that servers name now."""
    return {
        key: limit.per_s
        for key, limit in limits.known.items()
        if limit.per_s is not None
    }


def issue(
    limits: Limits,
    weights: Sequence[float],
    now_s: float,
    generator: random.Random,
) -> dict[ServerKey, dict[int, int]]:
    """Return the grants to issue now: how many to which router, for each server.

    Parameters
    ----------
    limits : Limits
        The limits.
    weights : sequence of float
        The routers' loads.
    now_s : float
        Current time.
    generator : random.Random
        Chooses the routers.
    """
    current = in_force(limits)
    limits.buckets = {key: limits.buckets.get(key) or Bucket(now_s) for key in current}
    if not weights:
        return {}
    cumulated = list(itertools.accumulate(weights))
    issued: dict[ServerKey, dict[int, int]] = {}
    for key, limit_per_s in current.items():
        for _ in range(take_grants(limits.buckets[key], limit_per_s, now_s)):
            at = generator.uniform(0.0, cumulated[-1])
            router = min(bisect.bisect_right(cumulated, at), len(cumulated) - 1)
            counts = issued.setdefault(key, {})
            counts[router] = counts.get(router, 0) + 1
    return issued


@dataclasses.dataclass(slots=True)
class Grants:
    """A router's rights to send to one server.

    Attributes
    ----------
    expires_at_s : list of float
        When each unused grant expires, soonest first.
    bucket : Bucket or None
        The router's own share while it knows of no leader; None otherwise.
    """

    expires_at_s: list[float] = dataclasses.field(default_factory=list)
    bucket: Bucket | None = None


def add_grants(grants: Grants, count: int, now_s: float) -> None:
    """Add grants, up to :data:`MAX_GRANTS_COUNT`.

    Examples
    --------
    >>> grants = Grants()
    >>> add_grants(grants, 2, 10.0)
    >>> use_grant(grants, 10.5), has_grant(grants, 10.9), use_grant(grants, 11.1)
    (True, True, False)
    """
    room_count = MAX_GRANTS_COUNT - len(grants.expires_at_s)
    added = [now_s + GRANT_LIFETIME_S] * min(count, max(0, room_count))
    grants.expires_at_s.extend(added)


def has_grant(grants: Grants, now_s: float) -> bool:
    """Return whether a request may be sent; drop the grants that have expired."""
    while grants.expires_at_s and grants.expires_at_s[0] <= now_s:
        grants.expires_at_s.pop(0)
    return bool(grants.expires_at_s)


def use_grant(grants: Grants, now_s: float) -> bool:
    """Use a grant for a request; return whether there was one."""
    is_granted = has_grant(grants, now_s)
    if is_granted:
        grants.expires_at_s.pop(0)
    return is_granted


def add_own_share(
    grants: Grants,
    limit_per_s: float,
    routers_count: int,
    leader_heard_at_s: float,
    now_s: float,
    phase: float,
) -> None:
    """Grant a router its equal share of a limit while it knows of no leader.

    All routers may lose the leader at one time; their `phase`, a random number from 0
    to 1, keeps their first shares apart.
    """
    if now_s - leader_heard_at_s < LEADER_TIMEOUT_S:
        grants.bucket = None
        return
    if grants.bucket is None:
        grants.bucket = Bucket(now_s, phase)
    rate_per_s = OWN_SHARE * _usable_rate(limit_per_s)
    share_per_s = rate_per_s / max(1, routers_count)
    elapsed_s = now_s - grants.bucket.updated_s
    grants.bucket.updated_s = now_s
    grants.bucket.grants += share_per_s * elapsed_s
    count = int(grants.bucket.grants)
    grants.bucket.grants -= count
    add_grants(grants, count, now_s)


@dataclasses.dataclass(slots=True)
class Yielding:
    """Requests that found no grant at a service, for those that are less urgent.

    Attributes
    ----------
    refused_at_s : dict
        When a request of an urgency was last refused.
    yielded_count : int
        Requests that have left a grant to a more urgent one.
    """

    refused_at_s: dict[int, float] = dataclasses.field(default_factory=dict)
    yielded_count: int = 0


def record_refusal(yielding: Yielding, urgency: int, now_s: float) -> None:
    """Record that a request was refused for want of a grant."""
    yielding.refused_at_s[urgency] = now_s


def must_yield(yielding: Yielding, urgency: int, now_s: float) -> bool:
    """Return whether a request leaves its grant to more urgent ones that come back.

    So that no urgency starves, some requests use a grant all the same.

    Examples
    --------
    >>> yielding = Yielding()
    >>> record_refusal(yielding, 1, 10.0)
    >>> must_yield(yielding, 0, 10.5), must_yield(yielding, 3, 12.5)
    (False, False)
    >>> [must_yield(yielding, 3, 10.5) for _ in range(4)]
    [True, True, True, False]
    """
    oldest_s = now_s - YIELD_S
    if not any(
        at_s > oldest_s and other < urgency
        for other, at_s in yielding.refused_at_s.items()
    ):
        return False
    yielding.yielded_count += 1
    return yielding.yielded_count % FLOOR_EVERY_COUNT != 0


def retry_after_s(limits_per_s: Sequence[float], least_s: float) -> float:
    """Return when to come back to a service whose servers all name a limit.

    Examples
    --------
    >>> retry_after_s([0.5, 1.5], 0.2), retry_after_s([50.0], 0.2)
    (0.5, 0.2)
    """
    rate_per_s = sum(max(MIN_RATE_PER_S, limit) for limit in limits_per_s)
    return max(least_s, 1.0 / rate_per_s)
