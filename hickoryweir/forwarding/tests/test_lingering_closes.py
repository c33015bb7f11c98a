"""Closes of connections whose client sends more while it reads the last response."""

import asyncio

import pytest
import uvloop

from hickoryweir.forwarding import headers, server
from hickoryweir.forwarding.tests import sites

HOST = sites.HOST
HEAD = "GET /chat/{0} HTTP/1.1\r\nHost: site.example\r\n{1}: r-{0}\r\n\r\n"
# More than fits into the client's window.
RESPONSE_SIZE_BYTES = 200_000
READ_SIZE_BYTES = 4_096
READ_INTERVAL_S = 0.002
RESPONSE_DELAY_S = 0.3


def make_head(number: int) -> bytes:
    """Return a request without a body."""
    return HEAD.format(number, headers.REQUEST_ID).encode()


async def read_slowly(reader) -> bytes:
    """Return what is received until the connection ends."""
    received = b""
    try:
        while chunk := await reader.read(READ_SIZE_BYTES):
            received += chunk
            await asyncio.sleep(READ_INTERVAL_S)
    except ConnectionError:
        return received
    return received


@pytest.mark.parametrize(
    "later",
    [b"", b"\r\n", make_head(2)],
    ids=["nothing", "empty_line", "request"],
)
def test_bytes_that_cross_the_last_response_of_a_stop_do_not_cut_it_off(later):
    answer = sites.answering(text="x" * RESPONSE_SIZE_BYTES)

    async def main():
        async with sites.run_site([answer]) as site:
            reader, writer = await sites.open_slow_reader(site.port)
            server.begin_stop(site.forwarder, 4.0)
            writer.write(make_head(1))
            await sites.wait_until(lambda: site.backends[0].seen)
            await asyncio.sleep(RESPONSE_DELAY_S)
            # The client has not read yet that its connection ends.
            writer.write(later)
            stopping = asyncio.create_task(server.stop(site.running, 3.0))
            received = await read_slowly(reader)
            writer.close()
            await stopping
            return received

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        received = runner.run(main())
    assert received.count(b"x") >= RESPONSE_SIZE_BYTES
