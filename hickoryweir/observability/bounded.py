"""A rate-limited text stream that never blocks its writer.

Lines wait in a bounded queue for a thread that writes them.  Lines that exceed the rate
limit or find the queue full are dropped and counted; the count is written as a line of
its own as soon as a line is accepted again.
"""

import json
import queue
import threading
import time
from typing import TextIO

# A router handles about 50 requests/s at peak load, with 4 lines per request.
MAX_LINES_PER_S = 200.0
# 2 s of the peak rate, such as when a backend server is lost.
BURST_LINES_COUNT = 400.0
QUEUE_LINES_COUNT = 2_000
# A full queue is written in milliseconds; a blocked reader is not waited for.
CLOSE_TIMEOUT_S = 0.2


class BoundedStream:
    """Stream for a log handler; created by :func:`make_stream`.

    Attributes
    ----------
    dropped_count : int
        Lines dropped so far.
    """

    def __init__(self, target: TextIO, clock=time.monotonic) -> None:
        self.dropped_count = 0
        self._target = target
        self._clock = clock
        self._queue: queue.Queue[str | None] = queue.Queue(QUEUE_LINES_COUNT)
        self._tokens = BURST_LINES_COUNT
        self._refilled_s = clock()
        self._unreported_count = 0
        self._thread = threading.Thread(target=self._write_queued, daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Queue a line, or drop and count it."""
        if not self._take_token():
            self._drop()
            return len(text)
        try:
            if self._unreported_count:
                self._queue.put_nowait(self._make_drop_notice())
                self._unreported_count = 0
            self._queue.put_nowait(text)
        except queue.Full:
            self._drop()
        return len(text)

    def flush(self) -> None:
        """Do nothing, since the writer thread flushes."""

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Wait up to `timeout_s` until the queued lines have been written."""
        try:
            self._queue.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self._thread.join(timeout_s)

    def _take_token(self) -> bool:
        now_s = self._clock()
        refill = (now_s - self._refilled_s) * MAX_LINES_PER_S
        self._tokens = min(BURST_LINES_COUNT, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _drop(self) -> None:
        self.dropped_count += 1
        self._unreported_count += 1

    def _make_drop_notice(self) -> str:
        line = {"level": "WARNING", "message": "log lines dropped"}
        return json.dumps(line | {"count": self._unreported_count}) + "\n"

    def _write_queued(self) -> None:
        while True:
            text = self._queue.get()
            if text is None:
                return
            try:
                self._target.write(text)
                if self._queue.empty():
                    self._target.flush()
            except (OSError, ValueError):
                # The reader has closed the stream; the process continues without logs.
                self._drop()


def make_stream(target: TextIO) -> BoundedStream:
    """Return a bounded stream that writes to another stream."""
    return BoundedStream(target)
