"""Heads of requests that a router keeps before it can answer them."""

import asyncio
import re

import pytest

from hickoryweir.forwarding import headers
from hickoryweir.forwarding.tests import sites

START = "GET /chat/{0} HTTP/1.1\r\nHost: site.example\r\n" + headers.REQUEST_ID
START += ": r-{0}\r\n"
# Many times the limit on all fields, each within that on a line.
FIELD = "X-{0}: " + "y" * 15_000 + "\r\n"
FIELDS_COUNT = 100
HEADS_COUNT = 20
MAX_QUEUED_SIZE_BYTES = 1_000_000


def make_large_head(number, has_end):
    fields = "".join(FIELD.format(index) for index in range(FIELDS_COUNT))
    return (START.format(number) + fields + "\r\n" * has_end).encode()


@pytest.mark.parametrize("has_end", [True, False])
def test_large_heads_behind_a_slow_request_are_not_kept(has_end):
    """Guards against memory that one client's pipelined heads take from all others."""
    most_size_bytes = 0

    async def main():
        release = asyncio.Event()

        async def answer(request, body):
            await release.wait()
            return await sites.answering()(request, body)

        # A request that may run again is sent twice if its server is silent for long.
        async with sites.run_site([answer], (sites.at_most_once_route(),)) as site:
            reader, writer = await asyncio.open_connection(sites.HOST, site.port)
            writer.write((START.format(1) + "\r\n").encode())
            await sites.wait_until(lambda: site.backends[0].seen)
            (connection,) = site.running.server.connections

            async def watch():
                nonlocal most_size_bytes
                while True:
                    kept = sum(
                        len(name) + len(value)
                        for fields in connection.queued_headers
                        for name, value in fields.items()
                    )
                    most_size_bytes = max(most_size_bytes, kept)
                    await asyncio.sleep(0.001)

            watching = asyncio.create_task(watch())
            for number in range(HEADS_COUNT):
                writer.write(make_large_head(number, has_end))
            await writer.drain()
            await asyncio.sleep(0.2)
            release.set()
            received = await reader.read()
            watching.cancel()
            writer.close()
            return received, len(site.backends[0].seen)

    received, seen_count = asyncio.run(main())
    assert most_size_bytes < MAX_QUEUED_SIZE_BYTES
    statuses = re.findall(rb"HTTP/1\.[01] (\d+)", received)
    assert (statuses, seen_count) == ([b"200", b"431"], 1)
