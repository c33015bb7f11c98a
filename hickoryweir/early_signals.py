"""Signal handlers for the start of a process.

Imports and reading the settings take half a second.  Until the event loop installs its
own handlers, SIGHUP would end the process by default; it announces changed settings,
which are only being read at this point, so it is ignored.  SIGTERM ends the process at
once, unless clients can connect already: the process then goes on starting, and begins
its stop as soon as it can answer them.  This module imports nothing that loads slowly.
"""

import os
import signal
import time


class _Stop:
    """Whether SIGTERM waits for the end of the start, and when it came."""

    def __init__(self) -> None:
        self.is_deferred = False
        self.requested_at_s: float | None = None


_stop = _Stop()


def install_handlers() -> None:
    """Ignore SIGHUP and exit with code 0 on SIGTERM until handlers are replaced."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _handle_sigterm)


def defer_stop() -> None:
    """Only record a SIGTERM from here on, since clients wait for their responses."""
    _stop.is_deferred = True


def stop_requested_at_s() -> float | None:
    """Return when a deferred SIGTERM came, in seconds since boot; None without one."""
    return _stop.requested_at_s


def _handle_sigterm(number: int, frame: object) -> None:
    if not _stop.is_deferred:
        os._exit(0)
    if _stop.requested_at_s is None:
        _stop.requested_at_s = time.clock_gettime(time.CLOCK_BOOTTIME)
