"""Signal handlers for the start of a process.

Imports and reading the settings take half a second.  Until the event loop installs its
own handlers, SIGHUP would end the process by default; it announces changed settings,
which are only being read at this point, so it is ignored.  SIGTERM ends the process at
once, since no work has started.  This module imports nothing that loads slowly.
"""

import os
import signal


def install_handlers() -> None:
    """Ignore SIGHUP and exit with code 0 on SIGTERM until handlers are replaced."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit_cleanly)


def _exit_cleanly(number: int, frame: object) -> None:
    os._exit(0)
