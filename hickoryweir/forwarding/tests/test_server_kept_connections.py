"""Tests of kept connections after requests with bodies."""

import asyncio

import pytest

from hickoryweir.forwarding import headers, server
from hickoryweir.forwarding.tests import sites

HOST = sites.HOST
HEAD = f"POST /chat/1 HTTP/1.1\r\nHost: site.example\r\n{headers.REQUEST_ID}: r-1\r\n"
SIZED = (HEAD + "Content-Length: 4\r\n\r\n").encode()
CHUNKED = (HEAD + "Transfer-Encoding: chunked\r\n\r\n").encode()
# Longer than the header timeout of 3 s, shorter than the idle timeout of 15 s.
IDLE_S = 4.5
SEGMENTS = [
    (SIZED + b"body",),
    (SIZED, b"body"),
    (SIZED, b"bo", b"dy"),
    (CHUNKED, b"4\r\nbody\r\n0\r\n\r\n"),
]


async def post_on_kept_connection(site, segments):
    """Send a request and read its response; return the connection's streams."""
    reader, writer = await asyncio.open_connection(HOST, site.port)
    for segment in segments:
        writer.write(segment)
        await asyncio.sleep(0.05)
    assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(len(b"whole"))
    return reader, writer


@pytest.mark.parametrize("segments", SEGMENTS)
def test_stop_closes_an_idle_connection_that_had_a_request_with_a_body(segments):
    async def main():
        async with sites.run_site([sites.answering()]) as site:
            _, writer = await post_on_kept_connection(site, segments)
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            await server.stop(site.running, 2.0)
            writer.close()
            return loop.time() - started_s

    assert asyncio.run(main()) < 0.5


def test_idle_connection_that_had_a_request_with_a_body_is_kept():
    async def main():
        async with sites.run_site([sites.answering()]) as site:
            reader, writer = await post_on_kept_connection(site, (SIZED + b"body",))
            await asyncio.sleep(IDLE_S)
            writer.write(SIZED + b"body")
            second = await reader.read(100)
            writer.close()
            return second

    assert b" 200 " in asyncio.run(main())
