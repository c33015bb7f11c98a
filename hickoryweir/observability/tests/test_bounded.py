"""Tests of the bounded log stream."""

import io
import json
import threading

from hickoryweir.observability import bounded


class BlockedTarget(io.StringIO):
    """A target whose writes block until it is released."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        """Block until released, then write."""
        self.released.wait()
        return super().write(text)


def test_lines_come_out_in_order():
    target = io.StringIO()
    stream = bounded.make_stream(target)
    for number in range(5):
        stream.write(f"{number}\n")
    stream.close(5.0)
    assert target.getvalue() == "0\n1\n2\n3\n4\n"


def test_lines_above_the_rate_are_dropped_and_counted():
    now_s = [0.0]
    target = io.StringIO()
    stream = bounded.BoundedStream(target, lambda: now_s[0])
    for _ in range(500):
        stream.write("line\n")
    assert stream.dropped_count == 100
    now_s[0] = 1.0
    stream.write("last\n")
    stream.close(5.0)
    lines = target.getvalue().splitlines()
    assert json.loads(lines[-2])["count"] == 100
    assert lines[-1] == "last"


def test_blocked_reader_never_blocks_the_writer():
    target = BlockedTarget()
    now_s = [0.0]

    def clock():
        now_s[0] += 1.0
        return now_s[0]

    stream = bounded.BoundedStream(target, clock)
    for _ in range(2 * bounded.QUEUE_LINES_COUNT):
        stream.write("line\n")
    assert stream.dropped_count >= bounded.QUEUE_LINES_COUNT - 1
    target.released.set()
    stream.close(5.0)
