"""Streams to clients of HTTP/1.0, whose end is that of their connection."""

import asyncio
import contextlib
import socket

import uvloop

from hickoryweir.forwarding import headers, server, slow_readers
from hickoryweir.forwarding.tests import sites, test_late_streams
from hickoryweir.routes.tests import tables

GRACE_S = 0.5
TIMEOUT_S = 30.0
SOCKET_BUFFER_SIZE_BYTES = 4_096
LARGE_EVENT = b"data: " + b"x" * 500_000 + b"\n\n"


def run(main):
    """Run a coroutine on the event loop of the processes."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)


def make_head(path):
    """Return a request of HTTP/1.0."""
    lines = [f"GET /chat/{path} HTTP/1.0", "Host: site.example"]
    lines.append(f"{headers.REQUEST_ID}: r-1")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@contextlib.asynccontextmanager
async def run_site(answer):
    """Run a router whose route has streams, and whose clients' sockets hold little."""
    route = tables.make_route(
        allows_anonymous=True, is_stream=True, timeout_s=TIMEOUT_S
    )
    async with sites.run_site([answer], (route,)) as site:
        for listening in site.running.listener.sockets:
            listening.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_SIZE_BYTES
            )
        yield site


async def open_client(site, path):
    """Send a request on a blocking socket, which reports resets behind bytes."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_SIZE_BYTES)
    client.settimeout(sites.WAIT_S)
    await asyncio.to_thread(client.connect, (sites.HOST, site.port))
    client.sendall(make_head(path))
    return client


def read_all(client):
    """Return what a client receives, and whether a reset ends it."""
    received = b""
    with client:
        try:
            while chunk := client.recv(SOCKET_BUFFER_SIZE_BYTES):
                received += chunk
        except ConnectionResetError:
            return received, True
    return received, False


def test_stream_that_a_stop_cuts_does_not_end_as_whole():
    async def main():
        async with run_site(test_late_streams.answer) as site:
            client = await open_client(site, "long")
            reading = asyncio.create_task(asyncio.to_thread(read_all, client))
            await sites.wait_until(lambda: site.forwarder.open_requests)
            await server.stop(site.running, GRACE_S)
            return await reading

    received, is_reset = run(main())
    assert b"id: 0\n" in received
    assert is_reset


def test_stream_of_a_client_that_is_disconnected_as_stalled_does_not_end_as_whole():
    async def main():
        async with run_site(sites.answering(text=LARGE_EVENT.decode())) as site:
            client = await open_client(site, "x")
            connections = site.running.server.connections
            await sites.wait_until(
                lambda: any(c.unsent_size_bytes for c in connections)
            )
            for connection in list(connections):
                slow_readers.disconnect(site.forwarder, connection)
            return await asyncio.to_thread(read_all, client)

    _, is_reset = run(main())
    assert is_reset


def test_whole_stream_reaches_a_slow_reader():
    async def main():
        async with run_site(sites.answering(text=LARGE_EVENT.decode())) as site:
            client = await open_client(site, "x")
            return await asyncio.to_thread(read_all, client)

    received, is_reset = run(main())
    assert received.endswith(LARGE_EVENT)
    assert not is_reset
