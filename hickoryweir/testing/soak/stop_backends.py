"""Backend servers that follow the plan in each request's header, and their faults."""

import asyncio
import contextlib
import dataclasses
import json
import socket
import struct
import time

from aiohttp import web

from hickoryweir.testing import running
from hickoryweir.testing.soak import stop_records, wire

HOST = "127.0.0.1"
# So that the kernel does not acknowledge what the server has not read.
RECEIVE_BUFFER_SIZE_BYTES = 4096
RESET = struct.pack("ii", 1, 0)
PLAN_HEADER = "X-Plan"
FAULTS = ("refuse", "silent", "gone")
# Responses before the request has been read: a part, then a FIN and a reset; a whole
# one that a FIN or a length ends, whose server reads on.
PART, WHOLE, LENGTH = "part", "whole", "length"
EARLY_ENDS = (PART, WHOLE, LENGTH)


@dataclasses.dataclass(slots=True, eq=False)
class Backend:
    """A backend server on a port of its own.

    Attributes
    ----------
    refuses : bool
        Whether it states of each new request that it did not run it.
    awake : asyncio.Event
        Cleared while the server neither starts a request nor sends a byte.
    open_attempts : dict
        Arrivals that have not ended.
    has_small_buffer : bool
        Whether its kernel takes little of a request before the server reads it.
    """

    server_id: str
    attempts: dict[str, list[stop_records.Attempt]]
    refuses: bool = False
    awake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    open_attempts: dict = dataclasses.field(default_factory=dict)
    server: web.Server | None = None
    listener: asyncio.Server | None = None
    port: int = 0
    formats: wire.Formats = wire.OWN
    has_small_buffer: bool = False


async def start(
    server_id: str,
    attempts: dict,
    formats: wire.Formats = wire.OWN,
    has_small_buffer: bool = False,
) -> Backend:
    """Return a listening backend server."""
    backend = Backend(
        server_id, attempts, formats=formats, has_small_buffer=has_small_buffer
    )
    backend.awake.set()

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        return await _serve(backend, request)

    backend.server = web.Server(handle, access_log=None, handler_cancellation=True)
    await _listen(backend, running.bind_port(HOST, 0))
    return backend


async def _listen(backend: Backend, bound: socket.socket) -> None:
    backend.port = bound.getsockname()[1]
    if backend.has_small_buffer:
        # Inherited by its connections.
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE_BYTES)
    loop = asyncio.get_running_loop()
    backend.listener = await loop.create_server(backend.server, sock=bound)


async def _serve(backend: Backend, request: web.BaseRequest) -> web.StreamResponse:
    """Record the arrival and answer as planned."""
    if backend.formats.request_id not in request.headers:
        # A health check.
        return web.Response(status=503 if backend.refuses else 200)
    request_id = request.headers[backend.formats.request_id]
    plan = stop_records.Plan(**json.loads(request.headers.get(PLAN_HEADER, "{}")))
    attempt = stop_records.Attempt(backend.server_id, time.monotonic())
    backend.attempts.setdefault(request_id, []).append(attempt)
    backend.open_attempts[id(attempt)] = attempt
    try:
        return await _answer(backend, request, request_id, plan, attempt)
    finally:
        attempt.left_s = time.monotonic()
        backend.open_attempts.pop(id(attempt))


async def _answer(backend, request, request_id, plan, attempt) -> web.StreamResponse:
    if plan.early:
        return await _answer_early(backend, request, request_id, plan, attempt)
    while await request.content.readany():
        pass
    await asyncio.sleep(plan.queue_s)
    await backend.awake.wait()
    echoed = {backend.formats.request_id: request_id}
    if plan.refuses or backend.refuses:
        return web.Response(status=503, headers=echoed | {backend.formats.not_run: "1"})
    attempt.run_s = time.monotonic()
    if request.path.split("/")[1] in stop_records.STREAM_KINDS:
        return await _send_stream(backend, request, request_id, plan, attempt)
    await asyncio.sleep(plan.work_s)
    await backend.awake.wait()
    attempt.finished_s = time.monotonic()
    body = stop_records.make_body(request_id, plan.size_bytes)
    return web.Response(body=body, headers=echoed)


async def _answer_early(
    backend, request, request_id, plan, attempt
) -> web.StreamResponse:
    """Answer beside the upload, and end the connection; see `EARLY_ENDS`."""
    transport = request.transport
    if plan.early == PART:
        # A response to a request that has been read is not early.
        transport.pause_reading()
    await asyncio.sleep(plan.work_s)
    await backend.awake.wait()
    attempt.run_s = time.monotonic()
    body = stop_records.make_body(request_id, plan.size_bytes)
    lines = ["HTTP/1.1 200 OK", f"{backend.formats.request_id}: {request_id}"]
    if plan.early == LENGTH:
        lines.append(f"Content-Length: {len(body)}")
    if plan.early == PART:
        attempt.broke_off = True
        body = body[: len(body) // 2]
    with contextlib.suppress(OSError, RuntimeError):
        transport.write("\r\n".join((*lines, "\r\n")).encode() + body)
        if plan.early != LENGTH:
            transport.write_eof()
        if plan.early == PART:
            await asyncio.sleep(plan.silence_s)
        else:
            attempt.finished_s = time.monotonic()
            while await request.content.readany():
                pass
    if plan.early == PART:
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    transport.abort()
    raise asyncio.CancelledError


async def _send_stream(
    backend, request, request_id, plan, attempt
) -> web.StreamResponse:
    """Send the events after the last one that the client has, over the run's time."""
    first = int(request.headers.get(backend.formats.last_event_id, "-1")) + 1
    given = {
        backend.formats.request_id: request_id,
        "Content-Type": "text/event-stream",
    }
    response = web.StreamResponse(headers=given)
    with contextlib.suppress(ConnectionError):
        await response.prepare(request)
        for number in range(first, stop_records.EVENTS_COUNT):
            if number == stop_records.EVENTS_COUNT // 2:
                await asyncio.sleep(plan.silence_s)
                if plan.breaks:
                    attempt.broke_off = True
                    request.transport.abort()
            await backend.awake.wait()
            await response.write(stop_records.make_event(request_id, plan, number))
            await asyncio.sleep(plan.work_s / stop_records.EVENTS_COUNT)
        await response.write_eof()
        attempt.finished_s = time.monotonic()
    return response


async def disturb(backend: Backend, fault: str, duration_s: float) -> None:
    """Let a server refuse, fall silent or go away; it is sound again afterwards."""
    if fault == "refuse":
        backend.refuses = True
        await asyncio.sleep(duration_s)
        backend.refuses = False
    elif fault == "silent":
        backend.awake.clear()
        await asyncio.sleep(duration_s)
        backend.awake.set()
    else:
        backend.listener.close()
        # No connection of another process may take the port meanwhile.
        bound = running.bind_port(HOST, backend.port)
        for attempt in backend.open_attempts.values():
            attempt.broke_off = True
        for connection in list(backend.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await asyncio.sleep(duration_s)
        await _listen(backend, bound)
