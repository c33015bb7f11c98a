"""Closes of connections whose client may still send while it reads its last response.

A byte that reaches a closed connection makes the kernel reset it and drop what it still
had to deliver.  So the sending side is shut down first, and what the client sends is
discarded until it closes, within the bounds here.
"""

import dataclasses

CHECK_INTERVAL_S = 0.25
# Time in which a response reaches its client once what is in front of that, or its
# kernel, has acknowledged it.
ARRIVAL_TIME_S = 0.25
# Time without an acknowledged byte after which a client counts as gone.
STALL_TIMEOUT_S = 5.0
MAX_TIME_S = 60.0
# Further connections are closed at once.
MAX_CONNECTIONS_COUNT = 1024
MAX_DISCARDED_SIZE_BYTES = 1024 * 1024


@dataclasses.dataclass(slots=True)
class Lingering:
    """How many connections of a server linger."""

    connections_count: int = 0


@dataclasses.dataclass(slots=True)
class Close:
    """The close of one connection.

    Attributes
    ----------
    began_s, progressed_at_s : float
        Loop times of its begin, and of the last check that saw progress.
    pending_size_bytes : int
        What the client had not acknowledged at that check.
    discarded_size_bytes : int
        What the client has sent since the begin.
    """

    began_s: float
    progressed_at_s: float
    pending_size_bytes: int
    discarded_size_bytes: int = 0


def is_over(close: Close, pending_size_bytes: int, now_s: float) -> bool:
    """Record what is pending; return whether to wait for the client no longer.

    Parameters
    ----------
    close : Close
        The close; updated.
    pending_size_bytes : int
        Bytes of the response, and its end, that the client has not acknowledged.
    now_s : float
        Loop time.

    Examples
    --------
    >>> close = Close(0.0, 0.0, 9)
    >>> [is_over(close, size, now_s) for size, now_s in ((9, 4.0), (5, 6.0), (0, 7.0))]
    [False, False, True]
    """
    if pending_size_bytes == 0:
        return True
    if pending_size_bytes < close.pending_size_bytes:
        close.pending_size_bytes = pending_size_bytes
        close.progressed_at_s = now_s
    is_stalled = now_s - close.progressed_at_s >= STALL_TIMEOUT_S
    return is_stalled or now_s - close.began_s >= MAX_TIME_S
