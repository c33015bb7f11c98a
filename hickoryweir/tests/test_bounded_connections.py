"""What clients send without end at any HTTP port, and unusual requests that end."""

import asyncio
import contextlib
import time
from unittest import mock

import pytest
from aiohttp import web

from hickoryweir import bounded_connections, parsing_turns
from hickoryweir.entry import metrics_port
from hickoryweir.forwarding import server
from hickoryweir.forwarding.tests import sites
from hickoryweir.observability import forwarding_metrics
from hickoryweir.testing import client_floods, floods

CLOSED_AFTER_S = 3.0
PIPELINED_COUNT = 300
BODY_SIZE_BYTES = 20_000
SLOW_S = 1.0
EMPTY_LINES = b"\r\n" * 32_768
# Of the event loop, at most.
READ_SIZE_BYTES = 256 * 1024
# What the sockets of both ends hold.
BUFFERS_SIZE_BYTES = 16 * 1024 * 1024
# Largely the same for reads of each size.
MAX_COST_FACTOR = 1.6
FORMS = [
    name
    for name, form in client_floods.FORMS.items()
    if not form.is_work and name not in ("medium_fields_that_wait", "small_chunks")
]


async def echo(request):
    return web.Response(body=await request.read())


@contextlib.asynccontextmanager
async def run_server():
    made = bounded_connections.BoundedServer(echo, access_log=None)
    listener = await asyncio.get_running_loop().create_server(made, sites.HOST, 0)
    async with listener:
        yield listener.sockets[0].getsockname()[1]


@contextlib.asynccontextmanager
async def run_application():
    app = web.Application()
    app.router.add_route("*", "/sound/x", echo)
    runner = bounded_connections.BoundedRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, sites.HOST, 0).start()
    try:
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()


@contextlib.asynccontextmanager
async def run_readiness():
    async with sites.run_site([]) as site:
        yield await server.start_readiness(site.forwarder, sites.HOST, 0)


@contextlib.asynccontextmanager
async def run_metrics():
    made = forwarding_metrics.make_metrics()
    yield await metrics_port.start(made, sites.HOST, 0)


@contextlib.asynccontextmanager
async def run_router():
    async with sites.run_site([sites.answering()]) as site:
        yield site.port


PORTS = {
    "server": run_server,
    "application": run_application,
    "readiness": run_readiness,
    "metrics": run_metrics,
    "clients": run_router,
}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("port_name", PORTS)
def test_client_that_sends_without_end_is_disconnected(port_name, form):
    async def main():
        async with PORTS[port_name]() as port:
            now_s = client_floods.time.monotonic()
            end_s = now_s + 2 * CLOSED_AFTER_S
            await client_floods._send_once(
                sites.HOST, port, client_floods.FORMS[form], end_s
            )
            return client_floods.time.monotonic() - now_s

    assert asyncio.run(main()) < CLOSED_AFTER_S


async def exchange(port, sent, end):
    """Send bytes at once; return what is received up to a number of these ends."""
    reader, writer = await asyncio.open_connection(sites.HOST, port)
    writer.write(sent)
    received = b""
    async with asyncio.timeout(sites.WAIT_S):
        while received.count(end) < sent.count(b"HTTP/1.1\r\n"):
            received += await reader.read(65536)
    writer.close()
    return received


@pytest.mark.parametrize("size_bytes", [1, 3, 20])
def test_body_in_small_chunks_arrives_whole(size_bytes):
    body = bytes(range(97, 117)) * (BODY_SIZE_BYTES // 20)
    parts = [
        body[start : start + size_bytes] for start in range(0, len(body), size_bytes)
    ]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    sent = client_floods.CHUNKED + chunks + b"0\r\n\r\n"

    async def main():
        async with run_server() as port:
            return await exchange(port, sent, body)

    assert asyncio.run(main()).endswith(body)


def test_pipelined_requests_of_one_segment_are_all_answered_in_order():
    bodies = [b"body-%03d." % number for number in range(PIPELINED_COUNT)]
    sent = b"".join(
        client_floods.POST + b"Content-Length: %d\r\n\r\n" % len(body) + body
        for body in bodies
    )

    async def main():
        async with run_server() as port:
            return await exchange(port, sent, b"body-")

    received = asyncio.run(main())
    assert [part[:4] for part in received.split(b"body-")[1:]] == [
        body[5:] for body in bodies
    ]


def test_pipelined_requests_in_small_chunks_are_all_answered():
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in b"x" * 3000)
    sent = (client_floods.CHUNKED + chunks + b"0\r\n\r\n") * 20

    async def main():
        async with run_server() as port:
            return await exchange(port, sent, b"x" * 3000)

    assert asyncio.run(main()).count(b"200 OK") == 20


def test_lost_connection_holds_nothing_of_a_body_that_was_not_read():
    """Guards against refused uploads that fill the memory after their connections."""
    contents = []

    async def refuse(request):
        contents.append(request.content)
        await asyncio.sleep(0.1)
        response = web.Response(status=503)
        response.force_close()
        return response

    async def main():
        made = bounded_connections.BoundedServer(
            refuse, access_log=None, lingering_time=0
        )
        loop = asyncio.get_running_loop()
        async with await loop.create_server(made, sites.HOST, 0) as listener:
            port = listener.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection(sites.HOST, port)
            fields = b"Content-Length: 1000000\r\n\r\n"
            writer.write(client_floods.POST + fields + b"x" * BODY_SIZE_BYTES)
            await reader.read()
            writer.close()
            await sites.wait_until(lambda: not made.connections)

    asyncio.run(main())
    assert contents[0].total_bytes == BODY_SIZE_BYTES
    assert not contents[0]._buffer


def test_bytes_after_an_error_take_no_time_from_other_connections():
    """Guards against reads without end while a request before the error is served."""

    async def serve_slowly(request):
        await asyncio.sleep(SLOW_S)
        return web.Response()

    async def main():
        made = bounded_connections.BoundedServer(serve_slowly, access_log=None)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(made, sites.HOST, 0)
        sent_size_bytes = 0
        async with listener:
            port = listener.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection(sites.HOST, port)
            writer.write(client_floods.GET + b"\r\n")
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(CLOSED_AFTER_S):
                    while True:
                        writer.write(EMPTY_LINES)
                        await writer.drain()
                        sent_size_bytes += len(EMPTY_LINES)
            writer.transport.abort()
        return sent_size_bytes

    # The response to the error is followed by a time in which the client may read it.
    open_s = SLOW_S + bounded_connections.LINGERING_S
    turns_count = open_s / parsing_turns.INTERVAL_S
    assert asyncio.run(main()) < turns_count * READ_SIZE_BYTES + BUFFERS_SIZE_BYTES


def test_chunks_cost_no_more_in_large_reads_than_in_small_ones():
    """Guards against a search of a whole read for each of its parts."""
    body = floods.CHUNK * 256
    head = client_floods.CHUNKED

    def receive(loop, size_bytes):
        connection = bounded_connections.BoundedConnection(
            web.Server(echo),
            parsing_turns.ParsingTurns(),
            loop=loop,
            read_bufsize=len(body),
        )
        connection.connection_made(mock.Mock(spec=asyncio.Transport))
        connection.data_received(head)
        began_s = time.process_time()
        for start in range(0, len(body), size_bytes):
            connection.data_received(body[start : start + size_bytes])
        took_s = time.process_time() - began_s
        assert connection._last_payload.total_bytes == 256 * 0x4000
        return took_s

    async def main():
        loop = asyncio.get_running_loop()
        small_size_bytes = bounded_connections.CHUNKED_PART_SIZE_BYTES
        return [
            min(receive(loop, size_bytes) for _ in range(5))
            for size_bytes in (small_size_bytes, READ_SIZE_BYTES)
        ]

    small_s, large_s = asyncio.run(main())
    assert large_s < MAX_COST_FACTOR * small_s
