"""Signals at the end of a process.

The event loop restores the default handlers when it is closed, and the process then
still needs a moment until it exits.
"""

import asyncio
import signal

NUMBERS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def ignore_until_exit(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore further signals, so that the exit code stays that of the stop."""
    for number in NUMBERS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
