"""Signal handlers for the start and the end of a process.

Imports and reading the settings take half a second.  Until the event loop installs its
own handlers, SIGHUP would end the process by default; it announces changed settings,
which are only being read at this point, so it is ignored.  SIGTERM ends the process at
once, since no work has started.  The event loop removes its handlers when it is closed,
and the process then still needs a moment.  This module imports nothing that loads
slowly.
"""

import os
import signal
import typing

if typing.TYPE_CHECKING:
    import asyncio


def install_handlers() -> None:
    """Ignore SIGHUP and exit with code 0 on SIGTERM until handlers are replaced."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit_cleanly)


def ignore_until_exit(loop: "asyncio.AbstractEventLoop") -> None:
    """Ignore SIGHUP, SIGTERM and SIGINT, so that the exit code stays the stop's."""
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _exit_cleanly(number: int, frame: object) -> None:
    os._exit(0)
