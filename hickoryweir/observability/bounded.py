"""A text stream that never blocks its writer and bounds what goes through it.

Lines wait in a bounded queue for a thread that writes them.  Lines above the rate, or
for which the queue has no room, are dropped and counted; the count is written as a
line of its own as soon as there is room again.
"""

import json
import queue
import threading
import time
from typing import TextIO

# A router at its peak decides on some fifty requests a second; four lines for each.
MAX_LINES_PER_S = 200.0
# Two seconds of the peak rate at once, such as when a backend server is lost.
BURST_LINES_COUNT = 400.0
QUEUE_LINES_COUNT = 2_000
# What is queued is written in milliseconds; a reader that stands still is left.
CLOSE_TIMEOUT_S = 0.2


class BoundedStream:
    """Made by :func:`make_stream`; used as a log handler's stream.

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
        """Do nothing; the thread flushes."""

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Wait until what is queued has been written, for so long at most."""
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
                # Nobody reads the logs any more; serving goes on without them.
                self._drop()


def make_stream(target: TextIO) -> BoundedStream:
    """Return a bounded stream before another one."""
    return BoundedStream(target)
