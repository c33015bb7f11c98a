"""The end of a process that has closed everything.

The interpreter's teardown takes a quarter of a second of processor time.  A process
that is stopped has only its grace, and on a loaded entry VM this is most of the rest.
"""

import contextlib
import os
import sys
import threading
from typing import NoReturn

# A flush blocks as long as nobody reads a full pipe.
FLUSH_TIMEOUT_S = 0.1


def exit_at_once(code: int) -> NoReturn:
    """End the process without the interpreter's teardown.

    A thread that waits for the reader of the standard output holds a lock that flushing
    needs, so that the end does not wait for it.
    """
    try:
        flushing = threading.Thread(target=_flush, daemon=True)
        flushing.start()
        flushing.join(FLUSH_TIMEOUT_S)
    finally:
        os._exit(code)


def _flush() -> None:
    for stream in (sys.stdout, sys.stderr):
        # The reader may be gone.
        with contextlib.suppress(OSError, ValueError):
            stream.flush()
