"""Pauses that double with each failure in a row."""

# 2 ** 64 seconds is beyond any pause; far higher powers have no float.
MAX_DOUBLINGS_COUNT = 64


def pause_s(first_s: float, longest_s: float, doublings_count: int) -> float:
    """Return a first pause doubled a number of times, up to the longest one.

    Examples
    --------
    >>> [pause_s(0.5, 4.0, count) for count in (0, 1, 2, 3, 4, 5000)]
    [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]
    """
    factor = 2 ** min(max(0, doublings_count), MAX_DOUBLINGS_COUNT)
    return min(first_s * factor, longest_s)
