"""Backend servers of the soak test; they count executions and can inject faults."""

import asyncio
import collections
import dataclasses
import hashlib
import time

from aiohttp import web

from hickoryweir.forwarding import headers
from hickoryweir.testing import proxies

# Ways in which a response is broken off; ``unframed`` ends it by a clean close.
TRUNCATIONS = ("cut", "unframed", "malformed", "endless")
ENDLESS_BLOCK = b"x" * 16_384
EVENTS_COUNT = 20
EVENT_INTERVAL_S = 0.03
EXECUTION_S = 0.02
SLOW_EXECUTION_S = 1.0
# Makes a body larger than one TCP segment, so that it can be truncated.
BODY_REPEATS_COUNT = 60


@dataclasses.dataclass(slots=True, eq=False)
class Backend:
    """One backend server behind a proxy.

    Attributes
    ----------
    runs : collections.Counter
        Number of executions by request id.
    fault : str
        Active fault: ``refuse``, ``slow``, one of `TRUNCATIONS`, or empty if there is
        none.
    is_leaving : bool
        Whether it says on all its responses that it leaves.
    pause_s : float
        Pause that it asks for once, by turning the next request away; 0 for none.
    received_s : list of float
        Times of all requests, on the monotonic clock.
    left_s, paused_s : float or None
        When it first said that it leaves, or asked for a pause.
    """

    server_id: str
    proxy: proxies.Proxy
    listener: asyncio.Server
    runs: collections.Counter
    fault: str = ""
    is_leaving: bool = False
    pause_s: float = 0.0
    received_s: list[float] = dataclasses.field(default_factory=list)
    left_s: float | None = None
    paused_s: float | None = None

    @property
    def address(self) -> str:
        """Return the address of its proxy."""
        return f"{proxies.HOST}:{self.proxy.port}"


def make_body(request_id: str) -> str:
    """Return the only correct answer to a request."""
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    return f"{request_id} " + digest * BODY_REPEATS_COUNT


def make_event(request_id: str, number: int) -> bytes:
    """Return one event of the only correct stream."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


async def start(server_id: str) -> Backend:
    """Start a backend server and its proxy."""
    started: list[Backend] = []

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        try:
            await request.read()
            return await _answer(started[0], request)
        except ConnectionError:
            # The router closed the connection, or the injected fault aborted it.
            return web.Response()

    server = web.Server(handle, access_log=None)
    listener = await asyncio.get_running_loop().create_server(server, proxies.HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    proxy = await proxies.start_proxy(proxies.HOST, port)
    started.append(Backend(server_id, proxy, listener, collections.Counter()))
    return started[0]


def _give_notice(backend: Backend) -> dict[str, str]:
    """Return the headers by which a server says that it leaves or wants a pause."""
    now_s = time.monotonic()
    backend.received_s.append(now_s)
    given = {}
    if backend.is_leaving:
        backend.left_s = backend.left_s or now_s
        given[headers.LEAVING] = "1"
    if backend.pause_s:
        given |= {headers.NOT_RUN: "1", "Retry-After": str(backend.pause_s)}
        backend.pause_s, backend.paused_s = 0.0, now_s
    return given


async def _answer(backend: Backend, request: web.BaseRequest) -> web.StreamResponse:
    request_id = request.headers.get(headers.REQUEST_ID, "")
    echoed = {headers.REQUEST_ID: request_id} | _give_notice(backend)
    if "Retry-After" in echoed:
        return web.Response(status=503, headers=echoed)
    if backend.fault == "refuse":
        return web.Response(status=503, headers=echoed | {headers.NOT_RUN: "1"})
    backend.runs[request_id] += 1
    await asyncio.sleep(SLOW_EXECUTION_S if backend.fault == "slow" else EXECUTION_S)
    if "/stream/" in request.raw_path:
        return await _stream(backend, request, request_id)
    if backend.fault in ("malformed", "endless"):
        return await _break_off(backend, request, request_id, b"")
    if backend.fault in TRUNCATIONS:
        request.transport.abort()
    return web.Response(text=make_body(request_id), headers=echoed)


async def _break_off(
    backend: Backend, request: web.BaseRequest, request_id: str, body: bytes
) -> web.StreamResponse:
    """Send a part of a response and break it off in the way of the active fault."""
    fault, transport = backend.fault, request.transport
    framing = "" if fault == "unframed" else "Transfer-Encoding: chunked\r\n"
    head = (
        f"HTTP/1.1 200 OK\r\n{headers.REQUEST_ID}: {request_id}\r\n"
        f"Content-Type: text/event-stream\r\n{framing}\r\n"
    )
    chunk = b"%x\r\n%b\r\n" % (len(body), body) if framing and body else body
    transport.write(head.encode() + chunk)
    await asyncio.sleep(EVENT_INTERVAL_S)
    if fault == "unframed":
        transport.write(b"data: ")
    elif fault == "malformed":
        transport.write(b"zz\r\n")
    else:
        transport.write(b"5;")
        while not transport.is_closing():
            transport.write(ENDLESS_BLOCK)
            await asyncio.sleep(EVENT_INTERVAL_S)
    transport.close()
    return web.Response()


async def _stream(
    backend: Backend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    last = request.headers.get(headers.LAST_EVENT_ID, "")
    first = int(last) + 1 if last.isdecimal() else 0
    if backend.fault in TRUNCATIONS[1:]:
        numbers = range(first, (first + EVENTS_COUNT) // 2)
        body = b"".join(make_event(request_id, number) for number in numbers)
        return await _break_off(backend, request, request_id, body)
    sent_headers = {headers.REQUEST_ID: request_id, "Content-Type": "text/event-stream"}
    response = web.StreamResponse(headers=sent_headers)
    await response.prepare(request)
    for number in range(first, EVENTS_COUNT):
        if backend.fault == "cut" and number == EVENTS_COUNT // 2:
            request.transport.abort()
        await response.write(make_event(request_id, number))
        await asyncio.sleep(EVENT_INTERVAL_S)
    await response.write_eof()
    return response


def list_document(servers: list[Backend]) -> dict:
    """Return the list of backend servers in hickoryweir's own JSON format."""
    entries = [
        {
            "id": backend.server_id,
            "service": "app",
            "address": backend.address,
            "availability_zone": "a",
            "slots_count": 64,
        }
        for backend in servers
    ]
    return {"servers": entries}
