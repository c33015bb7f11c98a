"""The listening socket of the operators' port."""

import asyncio
import dataclasses

from aiohttp import web

from hickoryweir.callers import server as callers_server
from hickoryweir.configuration import settings

SHUTDOWN_TIMEOUT_S = 5.0
RELOAD_INTERVAL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunningServer:
    """A listening operators' port."""

    runner: web.AppRunner
    host: str
    port: int
    tasks: tuple[asyncio.Task, ...] = ()


async def start(
    app: web.Application,
    limits: settings.Operators,
    reload_interval_s: float = RELOAD_INTERVAL_S,
) -> RunningServer:
    """Listen on the operators' port.

    Parameters
    ----------
    app : web.Application
        From :func:`hickoryweir.operators.app.make_app`.
    limits : settings.Operators
        Address and certificate files; changed files are loaded again.
    reload_interval_s : float, optional
        How often the files are looked at.

    Returns
    -------
    RunningServer
        To be given to :func:`stop`.

    Raises
    ------
    OSError
        The port is taken or a certificate file can't be read.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
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
    """Stop listening and end the requests that are running."""
    for task in running.tasks:
        task.cancel()
    await running.runner.cleanup()
