"""Outlier detection for servers that fail some requests but pass health checks.

Handles grey failure [1]_: a passed health check says little, so servers are judged by
the recent responses that all routers got from them.  A server is ejected while it fails
clearly more often than the others of its service, and returns as its counts decay.
At most a fixed share of the servers is ejected.

References
----------
.. [1] P. Huang et al., "Gray failure: the Achilles' heel of cloud-scale systems",
   HotOS 2017.
"""

import dataclasses

# A burst of failures counts half as much three seconds later.
HALF_LIFE_S = 3.0
# Fewer failures may be due to chance.
MIN_FAILURES = 3.0
# Some requests fail at any server; twice the failure share of the others is above
# that level.
SHARE_RATIO = 2.0
MIN_SHARE = 0.25
# Ejecting more servers would overload the others.
MAX_EJECTED_SHARE = 0.34


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseCounts:
    """Exponentially decayed counts of a server's responses and failures."""

    responses: float = 0.0
    failures: float = 0.0
    at_s: float = 0.0


def decay(counts: ResponseCounts, now_s: float) -> ResponseCounts:
    """Return counts decayed to the time `now_s`.

    Examples
    --------
    >>> decay(ResponseCounts(8.0, 4.0, 0.0), 2 * HALF_LIFE_S)
    ResponseCounts(responses=2.0, failures=1.0, at_s=6.0)
    """
    factor = 0.5 ** (max(0.0, now_s - counts.at_s) / HALF_LIFE_S)
    return ResponseCounts(counts.responses * factor, counts.failures * factor, now_s)


def record_response(
    counts: ResponseCounts, failed: bool, now_s: float
) -> ResponseCounts:
    """Return counts with one more response."""
    decayed = decay(counts, now_s)
    return ResponseCounts(decayed.responses + 1.0, decayed.failures + failed, now_s)


def ejected_servers(counts_by_server: dict[str, ResponseCounts]) -> frozenset[str]:
    """Return the servers of one service that are ejected from it.

    Examples
    --------
    >>> healthy = {name: ResponseCounts(20.0, 3.0) for name in "abcd"}
    >>> ejected_servers(healthy | {"e": ResponseCounts(20.0, 9.0)})
    frozenset({'e'})
    >>> ejected_servers(healthy)
    frozenset()
    """
    if len(counts_by_server) < 2:
        return frozenset()
    all_responses = sum(counts.responses for counts in counts_by_server.values())
    all_failures = sum(counts.failures for counts in counts_by_server.values())
    found = []
    for name, counts in counts_by_server.items():
        share = counts.failures / max(1.0, counts.responses)
        others_responses = max(1.0, all_responses - counts.responses)
        others_share = (all_failures - counts.failures) / others_responses
        is_worse = share > max(MIN_SHARE, SHARE_RATIO * others_share)
        if counts.failures >= MIN_FAILURES and is_worse:
            found.append((share, name))
    limit = int(MAX_EJECTED_SHARE * len(counts_by_server))
    return frozenset(name for _, name in sorted(found, reverse=True)[:limit])
