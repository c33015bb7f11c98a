"""Runs a router or replica process until SIGTERM or SIGINT."""

import asyncio
import importlib
import pathlib
import signal
import sys

import aiomisc
from returns import result

from hickoryweir import early_listener, early_signals, process_exit
from hickoryweir.entry import adapters, reloading, settings
from hickoryweir.observability import bounded, logs

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_INVALID_SETTINGS = 2
EXIT_NOT_STARTED = 4


def serve(path: pathlib.Path, site_adapters: adapters.Adapters) -> int:
    """Run the process that a settings file describes, and end it after a clean stop.

    Parameters
    ----------
    path : pathlib.Path
        INI file, see :mod:`hickoryweir.entry.settings`.
    site_adapters : adapters.Adapters
        External formats.

    Returns
    -------
    int
        Exit code: 2 for invalid settings, 4 if an operating system error, such as a
        port in use, prevented the start.
    """
    stream = bounded.make_stream(sys.stdout)
    logs.configure("info", stream)
    try:
        return _serve(path, site_adapters, stream)
    finally:
        # Another stop would cut the refusals short.
        early_signals.ignore_stop()
        refused_count = early_listener.refuse_waiting()
        if refused_count:
            detail = f"{refused_count} requests refused"
            logs.warning("ended before it served", logs.Fields(detail=detail))
        stream.close()


def _serve(
    path: pathlib.Path,
    site_adapters: adapters.Adapters,
    stream: bounded.BoundedStream,
) -> int:
    loaded = settings.load(path)
    if isinstance(loaded, result.Failure):
        logs.error("invalid settings", logs.Fields(detail=str(loaded.failure())))
        return EXIT_INVALID_SETTINGS
    entry_settings = loaded.unwrap()
    try:
        with aiomisc.entrypoint(log_config=False, catch_signals=()) as loop:
            loop.run_until_complete(_run(path, entry_settings, site_adapters))
            stream.close()
            # Closing the loop would restore the default actions of signals.
            process_exit.exit_at_once(0)
    except OSError as error:
        logs.error("process could not be started", logs.Fields(detail=str(error)))
        return EXIT_NOT_STARTED


async def _run(
    path: pathlib.Path,
    entry_settings: settings.EntrySettings,
    site_adapters: adapters.Adapters,
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    # Until the event loop runs again, only the early handlers act on a signal.
    process = _make_process(entry_settings, site_adapters)
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, _request_stop, stop, number)
    watcher = reloading.Watcher(path, entry_settings, process.apply_settings)
    loop.add_signal_handler(signal.SIGHUP, watcher.reload_requested.set)
    watching = asyncio.create_task(watcher.run())
    try:
        await process.run(stop)
    finally:
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)


def _request_stop(stop: asyncio.Event, number: signal.Signals) -> None:
    repeated = "repeated" if stop.is_set() else None
    logs.info("stop requested", logs.Fields(reason=number.name, detail=repeated))
    stop.set()


def _make_process(
    entry_settings: settings.EntrySettings, site_adapters: adapters.Adapters
):
    """Create the router or replica.

    Only the module of its role is imported, since the imports of both take a quarter
    more of the time until the process serves.
    """
    if entry_settings.process.role is settings.Role.REPLICA:
        role_module = importlib.import_module("hickoryweir.entry.replica")
        return role_module.Replica(entry_settings, site_adapters)
    role_module = importlib.import_module("hickoryweir.entry.router")
    return role_module.Router(entry_settings, site_adapters)
