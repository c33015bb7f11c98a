"""How many waiting requests start in one iteration of the event loop.

Requests that arrive together, as those of clients that all failed and come back at
once, would otherwise take each of their steps together, and every other request would
wait for all of them at each of its own steps.
"""

# Requests do not wait for many iterations that are long for other reasons.
MIN_RATE_PER_S = 250
# After a stall of the event loop.
MAX_COUNT = 4


def due_count(elapsed_s: float) -> int:
    """Return how many of the waiting requests start.

    Parameters
    ----------
    elapsed_s : float
        Time since the iteration in which others were started.

    Examples
    --------
    >>> [due_count(elapsed_s) for elapsed_s in (0.0, 0.001, 0.008, 1.0)]
    [1, 1, 2, 4]
    """
    return min(MAX_COUNT, max(1, int(elapsed_s * MIN_RATE_PER_S)))
