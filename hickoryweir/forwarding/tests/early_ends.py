"""Backend servers whose responses end while their request is still being written."""

import asyncio
import contextlib
import dataclasses
import socket
import struct
import time

import aiohttp
import uvloop
from hypothesis import strategies as st

from hickoryweir.forwarding import headers
from hickoryweir.forwarding.tests import raw_responses, sites

REQUEST_ID = f"{headers.REQUEST_ID}: r-1\r\n".encode()
HEAD = b"HTTP/1.1 200 OK\r\n" + REQUEST_ID
RECEIVE_BUFFER_SIZE_BYTES = 4_096
RESET = struct.pack("ii", 1, 0)
TIMEOUT_S = 10.0
# Of an attempt whose end is doubtful.
LIMIT_S = 3.0
EVENT = b"id: 1\ndata: a\n\n"


def reset(sock):
    """Reset a connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


async def discard(sock, for_s=TIMEOUT_S, pace_s=0.0):
    """Read until the end of the connection, or for some time."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(for_s):
            while True:
                if not await loop.sock_recv(sock, 65_536):
                    return
                await asyncio.sleep(pace_s)


def make_listener():
    """Return a listener whose connections take little ahead of their reader."""
    listener = socket.create_server((sites.HOST, 0))
    # Inherited by its connections.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE_BYTES)
    listener.setblocking(False)
    return listener


@contextlib.asynccontextmanager
async def run_server(responses):
    """Run a server whose connections each take the next of some functions.

    ``respond(sock)`` is called with the socket once the head of a request has come.
    """
    loop, left, seen = asyncio.get_running_loop(), list(responses), []
    listener = make_listener()
    tasks = set()

    async def handle(sock):
        with sock, contextlib.suppress(ConnectionError):
            received = await loop.sock_recv(sock, 1_024)
            if received.startswith(sites.HEALTH_CHECK):
                await loop.sock_sendall(sock, sites.HEALTHY)
                return
            seen.append(received)
            await left.pop(0)(sock)

    async def accept():
        while True:
            sock, _ = await loop.sock_accept(listener)
            task = asyncio.create_task(handle(sock))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    accepting = asyncio.create_task(accept())
    address = f"{sites.HOST}:{listener.getsockname()[1]}"
    try:
        yield sites.Backend("s0", address, None, seen)
    finally:
        accepting.cancel()
        await asyncio.gather(accepting, *tasks, return_exceptions=True)
        listener.close()


def respond(head, body, end):
    """Return a function that sends a response, then ends the connection."""

    async def answer(sock):
        await asyncio.get_running_loop().sock_sendall(sock, head + b"\r\n" + body)
        await end(sock)

    return answer


def resets_after(delay_s):
    """Return an end by a FIN, and a reset after a delay."""

    async def end(sock):
        sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(delay_s)
        reset(sock)

    return end


def closes_after(delay_s):
    """Return an end by a FIN, then by a close with bytes unread."""

    async def end(sock):
        sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(delay_s)

    return end


async def closes_when_read(sock):
    """Read a few parts, and close while more of the request follows."""
    for _ in range(3):
        await asyncio.get_running_loop().sock_recv(sock, RECEIVE_BUFFER_SIZE_BYTES)


def reads_on(pace_s):
    """Return an end by a FIN after which the request is read to its end."""

    async def end(sock):
        sock.shutdown(socket.SHUT_WR)
        await discard(sock, pace_s=pace_s)

    return end


ENDS = {
    "reset": resets_after(0.0),
    "reset_later": resets_after(0.3),
    "closed": closes_after(0.0),
    "closed_later": closes_after(0.1),
    "closed_when_read": closes_when_read,
}


def reads_some(parts_count, pace_s):
    """Return an end by a FIN after which a part of the request is read."""

    async def end(sock):
        sock.shutdown(socket.SHUT_WR)
        for _ in range(parts_count):
            await asyncio.get_running_loop().sock_recv(sock, RECEIVE_BUFFER_SIZE_BYTES)
            await asyncio.sleep(pace_s)

    return end


@dataclasses.dataclass(frozen=True, slots=True)
class Draw:
    """A response beside an upload, and how its server ends.

    Attributes
    ----------
    end_kind : str
        Key of :func:`make_end`.
    events_count : int
        Size of the part; an event has 15 bytes.
    parts_count : int
        Parts of the request that are read, where the end reads some.
    """

    status: str
    version: str
    end_kind: str
    events_count: int
    upload_size_bytes: int
    delay_s: float
    pace_s: float
    parts_count: int
    is_stream: bool


def make_end(draw):
    """Return the end of a draw."""
    match draw.end_kind:
        case "reset":
            return resets_after(draw.delay_s)
        case "closed":
            return closes_after(draw.delay_s)
        case "closed_when_read":
            return closes_when_read
        case "reads_some":
            return reads_some(draw.parts_count, draw.pace_s)
        case "reads_on":
            # Many more parts than of the others.
            return reads_on(draw.pace_s / 10)


INVALID_STATUSES = ("000 X", "000", "099 X", "101 Switching", "600 X", "999 X")
DRAWS = st.builds(
    Draw,
    status=st.sampled_from(("200 OK",) * 6 + ("413 X",) * 2 + INVALID_STATUSES),
    version=st.sampled_from(["1.1", "1.0"]),
    end_kind=st.sampled_from(
        ["reset", "closed", "closed_when_read", "reads_some", "reads_on"]
    ),
    events_count=st.one_of(st.sampled_from([0, 1, 5_000]), st.integers(0, 5_000)),
    # More than is read, and than the kernel takes ahead of the server.
    upload_size_bytes=st.integers(200_000, 2_000_000),
    # Both together stay below the wait for a reset.
    delay_s=st.floats(0.0, 0.4),
    pace_s=st.floats(0.0, 0.02),
    parts_count=st.integers(1, 15),
    is_stream=st.booleans(),
)


async def _call_twice(draw):
    """Call while the server ends early, then while it answers well."""
    route = sites.at_most_once_route(is_stream=draw.is_stream, timeout_s=TIMEOUT_S)
    head = f"HTTP/{draw.version} {draw.status}\r\n".encode() + REQUEST_ID
    length = b"Content-Length: %d\r\n" % len(raw_responses.WHOLE)
    responses = [
        respond(head, EVENT * draw.events_count, make_end(draw)),
        respond(HEAD + length, raw_responses.WHOLE, closes_after(0.0)),
    ]
    async with (
        sites.run_site([], routes=(route,)) as site,
        run_server(responses) as backend,
    ):
        sites.list_servers(site.forwarder, [backend])
        started_s = time.monotonic()
        try:
            found = (await site.call(data=b"x" * draw.upload_size_bytes))[::2]
        except aiohttp.ClientPayloadError:
            found = (None, b"")
        elapsed_s = time.monotonic() - started_s
        return found, elapsed_s, (await site.call())[::2], len(backend.seen)


def check(draw):
    """Check that only a sound end is passed on, and spoils no later response."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        (status, body), elapsed_s, later, sent_count = runner.run(_call_twice(draw))
    if draw.status in INVALID_STATUSES:
        assert (status, body) == (502, b"outcome_unknown\n")
    elif draw.end_kind != "reads_on":
        assert status is None or (status, body) == (502, b"outcome_unknown\n")
    elif draw.events_count or not draw.is_stream or draw.status != "200 OK":
        assert (status, body) == (int(draw.status[:3]), EVENT * draw.events_count)
    assert elapsed_s < LIMIT_S
    assert (later, sent_count) == ((200, raw_responses.WHOLE), 2)
