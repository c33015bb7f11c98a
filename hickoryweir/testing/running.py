"""Run a stand-in in the calling process, on a loopback port.

Examples
--------
>>> import asyncio
>>> from aiohttp import web
>>> async def main():
...     server = await start(web.Application())
...     await server.stop()
...     return server.url.startswith("http://127.0.0.1:")
>>> asyncio.run(main())
True
"""

import dataclasses
import socket

from aiohttp import web

HOST = "127.0.0.1"
SHUTDOWN_TIMEOUT_S = 0.1
BACKLOG = 1024


@dataclasses.dataclass(slots=True)
class RunningServer:
    """A running stand-in; it keeps its port across restarts.

    Attributes
    ----------
    runner : web.AppRunner
        Runs the application.
    site : web.BaseSite or None
        The listener; None after a crash.
    port : int
        TCP port.
    reserved : socket.socket or None
        Keeps the port from other sockets after a crash.
    """

    runner: web.AppRunner
    site: web.BaseSite | None
    port: int
    reserved: socket.socket | None = None

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{HOST}:{self.port}"

    async def crash(self) -> None:
        """Abort every connection and refuse new ones, as when the process is lost."""
        if self.site is not None:
            await self.site.stop()
            self.site = None
            self.reserved = bind_port(HOST, self.port)
        drop_connections(self.runner)

    async def restart(self) -> None:
        """Listen again on the same port."""
        await self.crash()
        self.site = web.SockSite(self.runner, self.reserved, backlog=BACKLOG)
        self.reserved = None
        await self.site.start()

    async def stop(self) -> None:
        """Abort every connection and shut the runner down."""
        drop_connections(self.runner)
        await self.runner.cleanup()
        if self.reserved is not None:
            self.reserved.close()


def bind_port(host: str, port: int) -> socket.socket:
    """Return a socket that has a port and refuses connections until it listens."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, port))
    return bound


def drop_connections(runner: web.AppRunner) -> None:
    """Abort every connection of a runner without a response."""
    if runner.server is None:
        return
    for connection in list(runner.server.connections):
        if connection.transport is not None:
            connection.transport.abort()


async def start(app: web.Application, port: int = 0) -> RunningServer:
    """Serve an application on the loopback address.

    Parameters
    ----------
    app : web.Application
        Application to serve.
    port : int, optional
        TCP port; 0 selects a free one.

    Returns
    -------
    RunningServer
        The running server; stop it with its ``stop`` method.
    """
    runner = web.AppRunner(
        app, handler_cancellation=True, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    site = web.TCPSite(runner, HOST, port, backlog=BACKLOG)
    await site.start()
    return RunningServer(runner, site, runner.addresses[0][1])
