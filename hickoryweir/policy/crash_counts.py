"""Requests that crash the backend servers that run them.

Handles a request that crashes a server each time its caller sends it again, at any
router.  Each router records the servers on which a request was lost, receives the
losses seen by other routers, and refuses the request once it has been lost on several
servers.  A request that completes anywhere is cleared, so a request that was merely in
flight at a crash is not refused.
"""

import collections
import dataclasses

import xxhash

# A lower limit would refuse requests that were merely in flight at a crash; a poison
# request crashes at most three servers.
MAX_SERVERS_COUNT = 3
# Callers resend within seconds, and crashed servers have restarted by then.
RETENTION_S = 120.0
MAX_REQUESTS_COUNT = 2_048


@dataclasses.dataclass(slots=True)
class CrashCounts:
    """Servers and times at which each request was lost, oldest request first."""

    servers: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )


def fingerprint(key: str, method: str, target: str, body: bytes) -> int:
    """Return a hash that is equal for equal requests of one caller."""
    digest = xxhash.xxh64(f"{key}\n{method}\n{target}\n".encode())
    digest.update(body)
    return digest.intdigest()


def record_loss(
    counts: CrashCounts, request: int, server_id: str, now_s: float
) -> None:
    """Record that a request was lost on a server.

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
    """Clear a request that completed."""
    counts.servers.pop(request, None)


def is_blocked(counts: CrashCounts, request: int, now_s: float) -> bool:
    """Return whether a request is refused because it was lost on too many servers."""
    servers = counts.servers.get(request)
    if servers is None:
        return False
    oldest_s = now_s - RETENTION_S
    fresh_count = sum(lost_s > oldest_s for lost_s in servers.values())
    return fresh_count >= MAX_SERVERS_COUNT
