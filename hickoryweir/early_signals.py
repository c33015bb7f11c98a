"""Signal handlers for the start of a process, before its event loop runs.

Imports and reading the settings take half a second, and many times that on a VM that
has little processor time.  Until the event loop installs its own handlers, SIGHUP would
end the process by default; it announces changed settings, which are only being read at
this point, so it is ignored.  SIGTERM and SIGINT end the process at once, since no work
has started.  This module imports nothing that loads slowly.
"""

import os
import signal
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class _Exit:
    """What a signal to stop does before the process ends."""

    def __init__(self) -> None:
        self.prepare: Callable[[], None] | None = None


_exit = _Exit()


def install_handlers() -> None:
    """Ignore SIGHUP and exit with code 0 on a stop until handlers are replaced."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in STOP_SIGNALS:
        signal.signal(number, _exit_cleanly)


def call_before_exit(prepare: Callable[[], None]) -> None:
    """Call a function when a signal to stop comes, before the process ends."""
    _exit.prepare = prepare


def ignore_stop() -> None:
    """Ignore signals to stop from here on, in a process that is about to end."""
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def _exit_cleanly(number: int, frame: object) -> None:
    ignore_stop()
    try:
        if _exit.prepare is not None:
            _exit.prepare()
    finally:
        os._exit(0)
