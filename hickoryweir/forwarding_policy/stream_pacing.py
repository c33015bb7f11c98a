"""Paces the streams of backend servers that send more than any engine produces.

Answers the load of servers that send comments, blank lines, events or one long line as
fast as they can: one thread forwards all streams of a router, so a few of them would
take it from all other requests.

Work is counted in bytes, plus a fixed number of bytes for each line.  Each stream has a
budget of work that refills with time, except while the stream is held back.  Beyond
it, all streams of a router share a second budget, one piece at a time.  A piece with
few lines waits only for an equal part of it, so that a large event or a long catch-up
of a sound server passes beside floods of lines.  A stream that goes on in this way, or
sends much without any event, is given up.
"""

import dataclasses
import enum
import heapq

KIB = 1024
MIB = 1024 * KIB
# What a stream may bring in one turn of the event loop.
PIECE_SIZE_BYTES = 16 * KIB
# Parsing at clients and relays costs about as much for a line as for this many bytes.
LINE_WORK_BYTES = 32
# Of a piece with few lines, or of a small one.
CHEAP_WORK_BYTES = 2 * PIECE_SIZE_BYTES
# More than a thousand events of a few hundred bytes each second.
STREAM_RATE_BYTES_PER_S = 512 * KIB
STREAM_BURST_BYTES = 128 * KIB
# A small part of one thread's time.
SHARED_RATE_BYTES_PER_S = 16 * MIB
# One of the largest events passes at once.
SHARED_BURST_BYTES = 2 * MIB
# Tens of thousands of events in a row.
MAX_EXCESS_BYTES = 8 * MIB
MAX_HELD_BACK_S = 5.0
# A stream with less excess may be held back for long only because of many others.
MIN_HELD_BACK_EXCESS_BYTES = 2 * MIB
# Days of short keep-alive comments.
MAX_EVENTLESS_SIZE_BYTES = 128 * KIB


class Bound(enum.StrEnum):
    """A bound that ends a stream."""

    EVENT_SIZE = "event size"
    WITHOUT_EVENT = "bytes without an event"
    EXCESS = "more than engines produce"
    HELD_BACK = "held back for long"


@dataclasses.dataclass(slots=True)
class SharedBudget:
    """Work for all streams of a router that are beyond their own budgets.

    Attributes
    ----------
    used_until_s : float
        When the work that was granted so far is paid for.
    held_until_s : list of float
        A heap of when the streams that are held back go on.
    """

    used_until_s: float = float("-inf")
    held_until_s: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class StreamBudget:
    """Work of one response.

    Attributes
    ----------
    refilled_at_s : float
        Time up to which the budget has been refilled.
    left_bytes : float
        Work that is left.
    excess_bytes, held_back_s : float
        Work beyond the budget and the time it was held back for, since the budget was
        last full; for a piece with few lines, without the time of other streams.
    eventless_size_bytes : int
        Bytes of comments and blank lines since the last event.
    """

    refilled_at_s: float
    left_bytes: float = STREAM_BURST_BYTES
    excess_bytes: float = 0.0
    held_back_s: float = 0.0
    eventless_size_bytes: int = 0


def work_of(piece: bytes, counts_lines: bool = True) -> int:
    r"""Return the work that a piece of a stream causes.

    Examples
    --------
    >>> work_of(b"data: x" + bytes([10, 10])) - 2 * LINE_WORK_BYTES
    9
    >>> work_of(b"data: x" + bytes([10, 10]), counts_lines=False)
    9
    """
    if not counts_lines:
        return len(piece)
    # A search ends much faster than a count.
    ends = [end for end in (b"\n", b"\r") if end in piece]
    lines_count = max(map(piece.count, ends), default=0)
    return len(piece) + LINE_WORK_BYTES * lines_count


def take(
    stream: StreamBudget, shared: SharedBudget, work_bytes: int, now_s: float
) -> float:
    """Count the work of a piece; return for how long to hold the stream back after it.

    Examples
    --------
    >>> stream, shared = StreamBudget(0.0), SharedBudget()
    >>> take(stream, shared, STREAM_BURST_BYTES, 0.0)
    0.0
    >>> take(stream, shared, SHARED_BURST_BYTES, 0.0)
    0.0
    >>> take(stream, shared, SHARED_RATE_BYTES_PER_S, 0.0)
    1.0
    """
    _refill(stream, now_s)
    if stream.left_bytes >= work_bytes:
        stream.left_bytes -= work_bytes
        return 0.0
    work_bytes -= stream.left_bytes
    stream.left_bytes = 0.0
    burst_s = SHARED_BURST_BYTES / SHARED_RATE_BYTES_PER_S
    used_until_s = max(shared.used_until_s, now_s - burst_s)
    shared.used_until_s = used_until_s + work_bytes / SHARED_RATE_BYTES_PER_S
    held_back_s = own_held_back_s = max(0.0, shared.used_until_s - now_s)
    if held_back_s:
        if work_bytes <= CHEAP_WORK_BYTES:
            own_held_back_s = work_bytes / SHARED_RATE_BYTES_PER_S
            streams_count = _held_back_count(shared, now_s) + 1
            held_back_s = min(held_back_s, streams_count * own_held_back_s)
        heapq.heappush(shared.held_until_s, now_s + held_back_s)
    stream.refilled_at_s = now_s + held_back_s
    stream.excess_bytes += work_bytes
    stream.held_back_s += min(held_back_s, own_held_back_s)
    return held_back_s


def _held_back_count(shared: SharedBudget, now_s: float) -> int:
    """Return how many streams are held back."""
    while shared.held_until_s and shared.held_until_s[0] <= now_s:
        heapq.heappop(shared.held_until_s)
    return len(shared.held_until_s)


def _refill(stream: StreamBudget, now_s: float) -> None:
    elapsed_s = max(0.0, now_s - stream.refilled_at_s)
    stream.refilled_at_s = max(now_s, stream.refilled_at_s)
    stream.left_bytes += elapsed_s * STREAM_RATE_BYTES_PER_S
    if stream.left_bytes >= STREAM_BURST_BYTES:
        stream.left_bytes = STREAM_BURST_BYTES
        stream.excess_bytes = stream.held_back_s = 0.0


def record_complete(stream: StreamBudget, size_bytes: int, has_fields: bool) -> None:
    """Count whole events, comments and blank lines that a piece completes."""
    if has_fields:
        stream.eventless_size_bytes = 0
    else:
        stream.eventless_size_bytes += size_bytes


def find_exceeded(stream: StreamBudget) -> Bound | None:
    """Return the bound beyond which a stream of events is given up; None within all.

    Examples
    --------
    >>> find_exceeded(StreamBudget(0.0, excess_bytes=MAX_EXCESS_BYTES + 1))
    <Bound.EXCESS: 'more than engines produce'>
    >>> find_exceeded(StreamBudget(0.0, held_back_s=60.0)) is None
    True
    """
    if stream.eventless_size_bytes > MAX_EVENTLESS_SIZE_BYTES:
        return Bound.WITHOUT_EVENT
    if stream.excess_bytes > MAX_EXCESS_BYTES:
        return Bound.EXCESS
    is_held_back = stream.held_back_s > MAX_HELD_BACK_S
    if is_held_back and stream.excess_bytes > MIN_HELD_BACK_EXCESS_BYTES:
        return Bound.HELD_BACK
    return None
