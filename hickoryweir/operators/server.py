"""The operators' HTTP server."""

import asyncio
import dataclasses

from aiohttp import web

from hickoryweir import bounded_connections, graceful_stop
from hickoryweir.callers import server as callers_server
from hickoryweir.configuration import settings

STOP_LIMIT_S = 5.0
RELOAD_INTERVAL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunningServer:
    """A running HTTP server for operators."""

    runner: web.AppRunner
    host: str
    port: int
    tasks: tuple[asyncio.Task, ...] = ()


async def start(
    app: web.Application,
    limits: settings.Operators,
    reload_interval_s: float = RELOAD_INTERVAL_S,
) -> RunningServer:
    """Start the operators' HTTP server.

    Parameters
    ----------
    app : web.Application
        From :func:`hickoryweir.operators.app.make_app`.
    limits : settings.Operators
        Address and certificate files; changed files are reloaded.
    reload_interval_s : float, optional
        Interval of the checks for changed files.

    Returns
    -------
    RunningServer
        Argument of :func:`stop`.

    Raises
    ------
    OSError
        The port is in use or a certificate file can't be read.
    """
    graceful_stop.track(app)
    runner = bounded_connections.BoundedRunner(
        app, access_log=None, shutdown_timeout=graceful_stop.SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    context = None
    tasks = ()
    if not limits.plain_text:
        context = callers_server.make_tls_context(
            limits.certificate_file, limits.key_file
        )
        reloader = callers_server.reload_on_change(context, limits, reload_interval_s)
        tasks = (asyncio.create_task(reloader),)
    site = web.TCPSite(runner, limits.host, limits.port, ssl_context=context)
    await site.start()
    host, port = runner.addresses[0][:2]
    return RunningServer(runner, host, port, tasks)


async def stop(running: RunningServer) -> None:
    """Let open requests end within `STOP_LIMIT_S` and close all connections."""
    for task in running.tasks:
        task.cancel()
    await graceful_stop.stop(running.runner, STOP_LIMIT_S)
