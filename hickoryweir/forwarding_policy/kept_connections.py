"""For how long idle connections to servers are kept, and how many of them.

Servers state their idle timeout in whole seconds.  It begins when a server has sent its
response, before the router has read it; a request sent as the server closes is lost.
"""

import re

TIMEOUT_PATTERN = re.compile(r"(?:^|[,;\s])timeout\s*=\s*\"?(\d{1,6})", re.IGNORECASE)
# Without a statement: below the idle timeouts of 10 s and more that are usual.
UNSTATED_MAX_IDLE_S = 8.0
# Longer, and a connection to a server that has vanished is kept for too long.
MAX_IDLE_S = 120.0
# Rounding to whole seconds, and the time until a response is read and noticed.
MARGIN_S = 1.5
# Of a timeout that is hardly longer than the margin, this part is used.
MIN_SHARE = 0.25


def parse_idle_timeout(value: str) -> int | None:
    """Return the idle timeout in a ``Keep-Alive`` header; None if it states none.

    Examples
    --------
    >>> parse_idle_timeout("timeout=30"), parse_idle_timeout("max=5, Timeout=7")
    (30, 7)
    >>> parse_idle_timeout("max=5"), parse_idle_timeout("timeout=-1")
    (None, None)
    """
    found = TIMEOUT_PATTERN.search(value)
    return None if found is None else int(found[1])


def max_idle_s(idle_timeout_s: float | None) -> float:
    """Return for how long a connection is kept whose server states a timeout.

    Examples
    --------
    >>> max_idle_s(None), max_idle_s(30), max_idle_s(1), max_idle_s(100_000)
    (8.0, 28.5, 0.25, 120.0)
    """
    if idle_timeout_s is None:
        return UNSTATED_MAX_IDLE_S
    kept_s = max(idle_timeout_s - MARGIN_S, MIN_SHARE * idle_timeout_s)
    return min(kept_s, MAX_IDLE_S)
