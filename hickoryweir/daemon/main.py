"""Runs the daemon of one entry VM under aiomisc until it is signalled to stop.

SIGTERM and SIGINT start a graceful shutdown (:mod:`hickoryweir.daemon.drain`).
"""

import asyncio
import os
import signal

import aiomisc

from hickoryweir import process_exit
from hickoryweir.configuration import settings
from hickoryweir.daemon import components, process
from hickoryweir.observability import logs

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_NOT_STARTED = 4


class RouterService(aiomisc.Service):
    """Adapts the daemon to aiomisc's entrypoint."""

    settings: settings.Settings
    running: components.Process | None = None

    async def start(self) -> None:
        """Start all components of the process."""
        self.running = await process.start(self.settings)

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the process, unless a graceful shutdown has closed it."""
        if self.running is not None:
            await process.stop(self.running)


def serve(process_settings: settings.Settings) -> int:
    """Run the daemon until a signal, then drain and end the process.

    Parameters
    ----------
    process_settings : settings.Settings
        Checked settings.

    Returns
    -------
    int
        Exit code: 4 if the daemon could not be started.  Otherwise the process ends
        with 0 after a clean shutdown, or 3 if calls were cut off at the drain's limit.
    """
    logs.configure(str(process_settings.logging.level))
    service = RouterService(settings=process_settings)
    try:
        with aiomisc.entrypoint(service, log_config=False, catch_signals=()) as loop:
            code = loop.run_until_complete(run(service))
            # Closing the loop would restore the default actions of signals.
            process_exit.exit_at_once(code)
    except OSError as error:
        logs.error("daemon could not be started", logs.Fields(detail=str(error)))
        return EXIT_NOT_STARTED


async def run(service: RouterService) -> int:
    """Wait for a signal or a planned stop, and shut down gracefully."""
    stop = service.running.stop_requested
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    logs.info("serving", logs.Fields(detail=f"pid {os.getpid()}"))
    await stop.wait()
    return await process.drain_and_stop(service.running)
