"""Tests of the budgets of streams."""

import heapq

import pytest

from hickoryweir.forwarding_policy import stream_pacing

EVENT = b"id: 12\ndata: " + b"x" * 280 + b"\n\n"
PIECE_SIZE_BYTES = stream_pacing.PIECE_SIZE_BYTES
# The largest streams of the soak of planned stops.
LARGE_STREAM_SIZE_BYTES = 4 * stream_pacing.MIB
FLOODS = {
    "comments": b": ping\n\n",
    "blank lines": b"\n",
    "events": b"data: x\n\n",
    "one line": b"x",
}


def pieces_of(data):
    starts = range(0, len(data), PIECE_SIZE_BYTES)
    return [data[start : start + PIECE_SIZE_BYTES] for start in starts]


def send(stream, shared, data, now_s):
    """Return when a stream's bytes have passed, all received at `now_s`."""
    for piece in pieces_of(data):
        work_bytes = stream_pacing.work_of(piece)
        now_s += stream_pacing.take(stream, shared, work_bytes, now_s)
    return now_s


def test_many_tokens_at_once_are_not_held_back():
    shared = stream_pacing.SharedBudget()
    streams = [stream_pacing.StreamBudget(0.0) for _ in range(40)]
    for number in range(100):
        now_s = number * 0.05
        for stream in streams:
            assert send(stream, shared, 64 * EVENT, now_s) == now_s
    assert all(stream.excess_bytes == 0.0 for stream in streams)


@pytest.mark.parametrize("data", [b"x" * 1024 * 1024 + b"\n\n", 5_000 * EVENT])
def test_large_event_and_catch_up_are_not_held_back_alone(data):
    stream, shared = stream_pacing.StreamBudget(0.0), stream_pacing.SharedBudget()
    assert send(stream, shared, data, 1.0) == 1.0
    assert stream_pacing.find_exceeded(stream) is None


@pytest.mark.parametrize("data", [b"x" * 1024 * 1024 + b"\n\n", 5_000 * EVENT])
def test_large_event_and_catch_up_are_not_given_up_beside_floods(data):
    """Guards against sound streams that end because of faulty ones."""
    stream, shared = stream_pacing.StreamBudget(0.0), stream_pacing.SharedBudget()
    now_s = 0.0
    for piece in pieces_of(data):
        for _ in range(40):
            flood = stream_pacing.StreamBudget(now_s, left_bytes=0.0)
            stream_pacing.take(flood, shared, 9 * PIECE_SIZE_BYTES, now_s)
        work_bytes = stream_pacing.work_of(piece)
        now_s += stream_pacing.take(stream, shared, work_bytes, now_s)
        assert stream_pacing.find_exceeded(stream) is None


@pytest.mark.parametrize("count", [4, 40])
@pytest.mark.parametrize("unit", FLOODS.values(), ids=FLOODS)
def test_large_stream_gets_an_equal_part_of_the_shared_rate(unit, count):
    """Guards against a sound stream that waits for the work of faulty ones."""
    shared, piece = stream_pacing.SharedBudget(), (unit * PIECE_SIZE_BYTES)
    work_bytes = stream_pacing.work_of(piece[:PIECE_SIZE_BYTES])
    sound, left_bytes = stream_pacing.StreamBudget(0.0), LARGE_STREAM_SIZE_BYTES
    due = [
        (0.0, number, stream_pacing.StreamBudget(0.0, 0.0)) for number in range(count)
    ]
    due.append((0.0, count, sound))
    while True:
        now_s, number, stream = heapq.heappop(due)
        is_sound = stream is sound
        wait_s = stream_pacing.take(
            stream, shared, PIECE_SIZE_BYTES if is_sound else work_bytes, now_s
        )
        if is_sound:
            assert stream_pacing.find_exceeded(stream) is None
            left_bytes -= PIECE_SIZE_BYTES
            if left_bytes <= 0:
                break
        elif stream_pacing.find_exceeded(stream) is not None:
            # Its client calls again.
            stream = stream_pacing.StreamBudget(now_s + wait_s)
        heapq.heappush(due, (now_s + max(1e-4, wait_s), number, stream))
    part_bytes_per_s = stream_pacing.SHARED_RATE_BYTES_PER_S / (count + 1)
    assert now_s <= LARGE_STREAM_SIZE_BYTES / part_bytes_per_s


@pytest.mark.parametrize("count", [1, 4, 40, 400])
@pytest.mark.parametrize("unit", FLOODS.values(), ids=FLOODS)
def test_floods_share_a_bounded_rate(unit, count):
    """Guards against streams that take the thread of a router together."""
    piece = (unit * PIECE_SIZE_BYTES)[:PIECE_SIZE_BYTES]
    work_bytes = stream_pacing.work_of(piece)
    shared = stream_pacing.SharedBudget()
    due = [(0.0, stream_pacing.StreamBudget(0.0)) for _ in range(count)]
    for_s, total_bytes = 4.0, 0
    while due:
        left = []
        for now_s, stream in due:
            total_bytes += work_bytes
            held_back_s = stream_pacing.take(stream, shared, work_bytes, now_s)
            if now_s + held_back_s < for_s:
                left.append((now_s + max(1e-4, held_back_s), stream))
        due = sorted(left, key=lambda item: item[0])
    allowed_bytes = (
        stream_pacing.SHARED_BURST_BYTES
        + stream_pacing.SHARED_RATE_BYTES_PER_S * for_s
        + count * (stream_pacing.STREAM_BURST_BYTES + 2 * work_bytes)
    )
    assert total_bytes <= allowed_bytes


@pytest.mark.parametrize("unit", FLOODS.values(), ids=FLOODS)
def test_flood_is_given_up(unit):
    stream, shared = stream_pacing.StreamBudget(0.0), stream_pacing.SharedBudget()
    piece, now_s, bound = (unit * PIECE_SIZE_BYTES)[:PIECE_SIZE_BYTES], 0.0, None
    while bound is None and now_s < 60.0:
        has_fields = unit not in (FLOODS["comments"], FLOODS["blank lines"])
        stream_pacing.record_complete(stream, len(piece), has_fields)
        work_bytes = stream_pacing.work_of(piece)
        now_s += stream_pacing.take(stream, shared, work_bytes, now_s)
        bound = stream_pacing.find_exceeded(stream)
    expected = {
        "events": stream_pacing.Bound.EXCESS,
        "one line": stream_pacing.Bound.EXCESS,
    }
    names = {unit: name for name, unit in FLOODS.items()}
    assert bound is expected.get(names[unit], stream_pacing.Bound.WITHOUT_EVENT)
    assert now_s < 1.0


def test_budget_does_not_refill_while_a_stream_is_held_back():
    stream, shared = stream_pacing.StreamBudget(0.0, 0.0), stream_pacing.SharedBudget()
    stream_pacing.take(stream, shared, stream_pacing.SHARED_BURST_BYTES, 0.0)
    held_back_s = stream_pacing.take(
        stream, shared, stream_pacing.SHARED_RATE_BYTES_PER_S, 0.0
    )
    stream_pacing.take(stream, shared, PIECE_SIZE_BYTES, held_back_s)
    assert stream.left_bytes == 0.0
    assert stream.excess_bytes > stream_pacing.SHARED_RATE_BYTES_PER_S


def test_piece_larger_than_the_whole_budget_is_excess():
    """Guards against a budget that stays full beside pieces that never fit into it."""
    stream, shared = stream_pacing.StreamBudget(0.0), stream_pacing.SharedBudget()
    for number in range(3):
        work_bytes = stream_pacing.STREAM_BURST_BYTES + 1
        stream_pacing.take(stream, shared, work_bytes, 0.001 * number)
    assert stream.excess_bytes > stream_pacing.STREAM_BURST_BYTES


def test_keep_alive_comments_beside_events_are_no_excess():
    stream = stream_pacing.StreamBudget(0.0)
    for number in range(100_000):
        stream_pacing.record_complete(stream, 8, has_fields=number % 1_000 == 0)
    assert stream_pacing.find_exceeded(stream) is None
