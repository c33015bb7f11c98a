"""Requests that crash the backend servers that run them.

Answers one request that takes a server down each time its caller sends it again, at
whatever router.  Each router notes on which servers a request was lost, hears of the
others' losses, and refuses the request once it has been lost on several.  A request
that ends well anywhere is cleared, which is how an innocent one that only stood
beside a crash goes on.
"""

import collections
import dataclasses

import xxhash

# Fewer would hit neighbours of a crash; three servers are the most it may cost.
MAX_SERVERS_COUNT = 3
# Callers send again within seconds; servers that crash are back by then.
RETENTION_S = 120.0
MAX_REQUESTS_COUNT = 2_048


@dataclasses.dataclass(slots=True)
class CrashCounts:
    """Servers on which requests were lost, with the time, oldest request first."""

    servers: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )


def fingerprint(key: str, method: str, target: str, body: bytes) -> int:
    """Return what the same request of the same caller has in common."""
    digest = xxhash.xxh64(f"{key}\n{method}\n{target}\n".encode())
    digest.update(body)
    return digest.intdigest()


def record_loss(
    counts: CrashCounts, request: int, server_id: str, now_s: float
) -> None:
    """Note that a request was lost on a server.

    Examples
    --------
    >>> counts = CrashCounts()
    >>> for server_id in ("a", "a", "b"):
    ...     record_loss(counts, 7, server_id, 0.0)
    >>> is_blocked(counts, 7, 1.0)
    False
    >>> record_loss(counts, 7, "c", 1.0)
    >>> is_blocked(counts, 7, 2.0)
    True
    >>> clear(counts, 7)
    >>> is_blocked(counts, 7, 2.0)
    False
    """
    counts.servers.setdefault(request, {})[server_id] = now_s
    counts.servers.move_to_end(request)
    while len(counts.servers) > MAX_REQUESTS_COUNT:
        counts.servers.popitem(last=False)


def clear(counts: CrashCounts, request: int) -> None:
    """Forget a request that ended well."""
    counts.servers.pop(request, None)


def is_blocked(counts: CrashCounts, request: int, now_s: float) -> bool:
    """Return whether a request was lost on so many servers that it is refused."""
    servers = counts.servers.get(request)
    if servers is None:
        return False
    oldest_s = now_s - RETENTION_S
    fresh_count = sum(lost_s > oldest_s for lost_s in servers.values())
    return fresh_count >= MAX_SERVERS_COUNT
