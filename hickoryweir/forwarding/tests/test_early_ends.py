"""Responses without a length that end while their request is still being written."""

import asyncio
import contextlib
import socket
import struct
import time

import aiohttp
import pytest
import uvloop

from hickoryweir.forwarding import headers
from hickoryweir.forwarding.tests import sites
from hickoryweir.routes.tests import tables

REQUEST_ID = f"{headers.REQUEST_ID}: r-1\r\n".encode()
HEAD = b"HTTP/1.1 200 OK\r\n" + REQUEST_ID
# Less and more than the buffers of the router's end hold.
UPLOADS = {"400_kb": b"x" * 400_000, "4_mb": b"x" * 4_000_000}
RECEIVE_BUFFER_SIZE_BYTES = 4_096
EVENT = b"id: 1\ndata: a\n\n"
RESET = struct.pack("ii", 1, 0)
PARTS = {"empty": b"", "short": EVENT, "long": EVENT * 5_000}
TIMEOUT_S = 10.0
# Of an attempt whose end is doubtful.
LIMIT_S = 3.0


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


@contextlib.asynccontextmanager
async def run_server(responses):
    """Run a server whose connections each take the next of some functions.

    ``respond(sock)`` is called with the socket once the head of a request has come.
    """
    loop, left, seen = asyncio.get_running_loop(), list(responses), []
    listener = socket.create_server((sites.HOST, 0))
    # Inherited by its connections.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE_BYTES)
    listener.setblocking(False)
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
STREAM = tables.make_route(
    allows_anonymous=True, is_stream=True, timeout_s=TIMEOUT_S, max_attempts_count=3
)
PLAIN = tables.make_route(
    allows_anonymous=True, timeout_s=TIMEOUT_S, max_attempts_count=3
)
ONCE = sites.at_most_once_route(timeout_s=TIMEOUT_S)


def call(route, responses, body):
    """Return status, body, duration and how often a call was sent.

    The status is None if the response was broken off.
    """

    async def main():
        async with (
            sites.run_site([], routes=(route,)) as site,
            run_server(responses) as backend,
        ):
            sites.list_servers(site.forwarder, [backend])
            started_s = time.monotonic()
            try:
                status, _, received = await site.call(data=body)
            except aiohttp.ClientPayloadError:
                status, received = None, b""
            elapsed_s = time.monotonic() - started_s
            return status, received, elapsed_s, len(backend.seen)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())


@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("part", PARTS)
def test_part_of_a_response_beside_an_upload_is_an_unknown_outcome(part, end, upload):
    status, received, elapsed_s, sent_count = call(
        ONCE, [respond(HEAD, PARTS[part], ENDS[end])], UPLOADS[upload]
    )
    assert (status, received, sent_count) == (502, b"outcome_unknown\n", 1)
    assert elapsed_s < LIMIT_S


@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("part", ["short", "long"])
def test_part_of_a_stream_beside_an_upload_is_broken_off(part, end, upload):
    status, _, elapsed_s, _ = call(
        STREAM, [respond(HEAD, PARTS[part], ENDS[end])], UPLOADS[upload]
    )
    assert status is None
    assert elapsed_s < LIMIT_S


@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("status", ["200 OK", "413 X"])
@pytest.mark.parametrize("pace_s", [0.0, 0.002])
@pytest.mark.parametrize("part", PARTS)
def test_response_of_a_server_that_reads_on_after_its_end_is_whole(
    part, pace_s, status, upload
):
    head = HEAD.replace(b"200 OK", status.encode())
    found = call(ONCE, [respond(head, PARTS[part], reads_on(pace_s))], UPLOADS[upload])
    assert found[:2] == (int(status[:3]), PARTS[part])


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("part", PARTS)
def test_response_with_a_length_beside_an_upload_is_whole(part, end):
    body = PARTS[part]
    head = HEAD + b"Content-Length: %d\r\n" % len(body)

    async def end_when_sent(sock):
        # A reset discards what the router has not read.
        await asyncio.sleep(0.2)
        await ENDS[end](sock)

    found = call(ONCE, [respond(head, body, end_when_sent)], UPLOADS["400_kb"])
    assert found[:2] == (200, body)


@pytest.mark.parametrize("status", [204, 304])
def test_response_without_a_body_beside_an_upload_is_whole(status):
    head = HEAD.replace(b"200 OK", b"%d X" % status)

    async def end_when_sent(sock):
        await asyncio.sleep(0.2)
        reset(sock)

    found = call(ONCE, [respond(head, b"", end_when_sent)], UPLOADS["400_kb"])
    assert found[:2] == (status, b"")


def test_response_without_a_length_to_a_request_that_was_read_does_not_wait():
    async def close(sock):
        sock.shutdown(socket.SHUT_WR)

    status, received, elapsed_s, _ = call(ONCE, [respond(HEAD, EVENT, close)], b"x")
    assert (status, received) == (200, EVENT)
    assert elapsed_s < 0.3
