"""Open requests of an HTTP application, which end before its server stops.

aiohttp's own shutdown discards the rest of a body that is still being received, and
does not wait until responses have left the process.
"""

import asyncio
import dataclasses

from aiohttp import web

from hickoryweir import bounded_connections, listening

CHECK_INTERVAL_S = 0.02
# aiohttp waits twice: for a handler, and for its cancellation.
SHUTDOWN_TIMEOUT_S = 0.5


@dataclasses.dataclass(slots=True)
class OpenRequests:
    """Tasks of an application's open requests, and whether its server stops."""

    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)
    is_stopping: bool = False


OPEN_REQUESTS = web.AppKey("open_requests", OpenRequests)


def track(app: web.Application) -> None:
    """Record an application's open requests in `app[OPEN_REQUESTS]`."""
    app[OPEN_REQUESTS] = OpenRequests()
    app.middlewares.insert(0, _record)


@web.middleware
async def _record(request: web.Request, handler) -> web.StreamResponse:
    opened, task = request.app[OPEN_REQUESTS], asyncio.current_task()
    opened.tasks.add(task)
    try:
        response = await handler(request)
    finally:
        opened.tasks.discard(task)
    if opened.is_stopping and is_last_on_connection(request):
        # The client then sends its next request elsewhere, and none is lost.
        response.force_close()
    return response


def is_last_on_connection(request: web.Request) -> bool:
    """Return whether no other request was received on a request's connection."""
    return not request.protocol.has_request


async def stop(runner: web.AppRunner, limit_s: float) -> None:
    """Stop listening, let open requests end within `limit_s`, and close connections.

    Requests count as open from the moment at which the kernel has received a byte, and
    so does a connection that was opened a short time ago.

    Parameters
    ----------
    runner : web.AppRunner
        Runs an application with :func:`track` on a server whose connections are
        :class:`.bounded_connections.BoundedConnection`; its shutdown timeout should
        be `SHUTDOWN_TIMEOUT_S`.
    limit_s : float
        Maximum time until all requests have been received, handled and answered.
    """
    runner.app[OPEN_REQUESTS].is_stopping = True
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_s
    for site in list(runner.sites):
        context = site._ssl_context
        opening = listening.close(site._server, runner.server, context)
        if context is None:
            # A client may never complete a handshake.
            await asyncio.gather(*opening)
        await site.stop()
    # Connections that were accepted before are in the server's list after this.
    await asyncio.sleep(CHECK_INTERVAL_S)
    while _has_open_requests(runner):
        if loop.time() >= end_s:
            break
        await asyncio.sleep(CHECK_INTERVAL_S)
    await runner.cleanup()


def _has_open_requests(runner: web.AppRunner) -> bool:
    """Return whether a request is open or a response is not fully sent."""
    if runner.app[OPEN_REQUESTS].tasks:
        return True
    return any(_is_open(connection) for connection in runner.server.connections)


def _is_open(connection: bounded_connections.BoundedConnection) -> bool:
    transport = connection.transport
    if transport is None:
        return False
    # A connection that is closing is in the list until its last byte is sent.
    is_sending = transport.is_closing() or transport.get_write_buffer_size() > 0
    return is_sending or connection.has_request or connection.is_new
