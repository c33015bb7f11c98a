"""HTTP port on which a process serves its metrics as text."""

import asyncio

from aiohttp import web

from hickoryweir.observability import forwarding_metrics, metrics

PATH = "/metrics"


async def start(
    process_metrics: forwarding_metrics.ForwardingMetrics, host: str, port: int
) -> int:
    """Serve metrics until the process ends; return the port in use.

    Raises
    ------
    OSError
        The port is already in use.
    """

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path != PATH:
            return web.Response(status=404)
        headers = {"Content-Type": metrics.CONTENT_TYPE}
        return web.Response(
            body=forwarding_metrics.expose(process_metrics), headers=headers
        )

    server = web.Server(handle, access_log=None)
    listener = await asyncio.get_running_loop().create_server(server, host, port)
    return listener.sockets[0].getsockname()[1]
