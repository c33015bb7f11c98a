"""HTTP port on which a process serves its metrics as text.

A router also answers operators' questions there.
"""

import asyncio
import types
from collections.abc import Callable, Mapping

from aiohttp import web

from hickoryweir import bounded_connections
from hickoryweir.observability import forwarding_metrics, metrics

PATH = "/metrics"

Answer = Callable[[web.BaseRequest], web.Response]


async def start(
    process_metrics: forwarding_metrics.ForwardingMetrics,
    host: str,
    port: int,
    answers: Mapping[str, Answer] = types.MappingProxyType({}),
) -> int:
    """Serve metrics until the process ends; return the port in use.

    Parameters
    ----------
    process_metrics : forwarding_metrics.ForwardingMetrics
        The metrics.
    host, port : str, int
        Address to listen at.
    answers : mapping of str to callable, optional
        Functions that return the response to a GET request, by path.

    Raises
    ------
    OSError
        The port is already in use.
    """

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.method == "GET" and request.path in answers:
            return answers[request.path](request)
        if request.path != PATH:
            return web.Response(status=404)
        headers = {"Content-Type": metrics.CONTENT_TYPE}
        return web.Response(
            body=forwarding_metrics.expose(process_metrics), headers=headers
        )

    server = bounded_connections.BoundedServer(handle, access_log=None)
    listener = await asyncio.get_running_loop().create_server(server, host, port)
    return listener.sockets[0].getsockname()[1]
