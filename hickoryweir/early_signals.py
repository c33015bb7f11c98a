"""What signals do while a process still starts.

Imports and the reading of settings take half a second.  Until the event loop has its
own handlers, SIGHUP would end the process by default; it says that settings have
changed, and these are only just being read.  SIGTERM ends the process at once: it has
not begun anything.  This module imports nothing that takes time.
"""

import os
import signal


def install_handlers() -> None:
    """Ignore SIGHUP and end clean on SIGTERM, until other handlers are set."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit_cleanly)


def _exit_cleanly(number: int, frame: object) -> None:
    os._exit(0)
