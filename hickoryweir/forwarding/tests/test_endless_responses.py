"""Tests of backend servers that send bytes without end until the router closes."""

import asyncio

import aiohttp
import pytest

from hickoryweir.forwarding import headers
from hickoryweir.forwarding.tests import sites

HEAD = f"HTTP/1.1 200 OK\r\n{headers.REQUEST_ID}: r-1\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK_SIZE_BYTES = 16 * 1024
# The route's timeout is 2 s; a server like these is recognized long before.
LIMIT_S = 1.5
# Far beyond any bound, so that a router that reads on is noticed.
MAX_SENT_SIZE_BYTES = 64 * 1024 * 1024
BLOCK = b"x" * BLOCK_SIZE_BYTES

RESPONSES = {
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "header": (HEAD + b"X-Long: ", BLOCK),
    "headers": (HEAD, b"X-Header: value\r\n" * 1000),
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 500),
    "chunk extension": (CHUNKED + b"5;", BLOCK),
    "chunk size": (CHUNKED, b"0" * BLOCK_SIZE_BYTES),
    "trailers": (CHUNKED + b"0\r\n", b"X-Trailer: value\r\n" * 1000),
    "body": (HEAD + b"\r\n", BLOCK),
    "no head": (b"", BLOCK),
}


async def send_until_closed(writer, head, block):
    """Return how many bytes of repeated `block` were sent before the router closed."""
    sent_size_bytes = 0
    try:
        writer.write(head)
        while sent_size_bytes < MAX_SENT_SIZE_BYTES:
            writer.write(block)
            await writer.drain()
            sent_size_bytes += len(block)
    except ConnectionError:
        pass
    writer.close()
    return sent_size_bytes


async def call(route, head, block):
    """Return the client's outcome, its time, and how much the server could send."""
    sent = asyncio.get_running_loop().create_future()

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        sent.set_result(await send_until_closed(writer, head, block))

    listener = await asyncio.start_server(handle, sites.HOST, 0)
    address = f"{sites.HOST}:{listener.sockets[0].getsockname()[1]}"
    backend = sites.Backend("s0", address, listener, [])
    loop = asyncio.get_running_loop()
    async with sites.run_site([], routes=(route,)) as site, listener:
        sites.list_servers(site.forwarder, [backend])
        started_s = loop.time()
        try:
            outcome, _, _ = await site.call()
        except aiohttp.ClientError as error:
            outcome = type(error).__name__
        elapsed_s = loop.time() - started_s
        return outcome, elapsed_s, await asyncio.wait_for(sent, sites.WAIT_S)


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("part", RESPONSES)
def test_response_without_end_is_given_up_at_its_bound(part, is_stream):
    route = sites.at_most_once_route(is_stream=is_stream)
    outcome, elapsed_s, sent_size_bytes = asyncio.run(call(route, *RESPONSES[part]))
    assert outcome in (502, "ClientPayloadError")
    assert elapsed_s < LIMIT_S
    assert sent_size_bytes < MAX_SENT_SIZE_BYTES
