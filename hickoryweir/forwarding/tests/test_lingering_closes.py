"""Closes of connections whose client sends more while it reads the last response."""

import asyncio
import time

import pytest
import uvloop

from hickoryweir.forwarding import headers, lingering, server
from hickoryweir.forwarding.tests import sites
from hickoryweir.testing import links

HOST = sites.HOST
HEAD = "GET /chat/{0} HTTP/1.1\r\nHost: site.example\r\n{1}: r-{0}\r\n\r\n"
# More than fits into the client's window.
RESPONSE_SIZE_BYTES = 200_000
READ_SIZE_BYTES = 4_096
READ_INTERVAL_S = 0.002
RESPONSE_DELAY_S = 0.3
STOP_TIME_S = 10.0
MAX_STOP_TIME_S = 4.0
# Of bytes on the way to the client; the others, and resets, are at once.
LINK_DELAY_S = 0.4


def make_head(number: int) -> bytes:
    """Return a request without a body."""
    return HEAD.format(number, headers.REQUEST_ID).encode()


async def send_on(writer, sends: bool) -> None:
    """Send requests until the connection is lost, or nothing."""
    while sends and not writer.is_closing():
        writer.write(make_head(2))
        await asyncio.sleep(READ_INTERVAL_S)


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


class Delays:
    """Stands for a generator; the target's bytes are delayed, and the client's not."""

    def __init__(self):
        self.delays_s = [0.0, LINK_DELAY_S]

    def uniform(self, low_s, high_s):
        """Return the next delay."""
        return self.delays_s.pop(0)


def test_request_that_crosses_an_idle_close_does_not_reset_the_response_before_it():
    async def main():
        with links.run() as loop:
            async with (
                sites.run_site([sites.answering(text="answer")]) as site,
                links.open_link(loop, HOST, site.port, (0.0, 0.0), "") as link,
            ):
                link.generator = Delays()
                reader, writer = await asyncio.open_connection(HOST, link.port)
                assert await reader.readexactly(1) == links.CONNECTED
                writer.write(make_head(1))
                # The link has acknowledged the response, and the client not seen it.
                await sites.wait_until(lambda: any(side.held for side in link.sides))
                stopping = asyncio.create_task(server.stop(site.running, 3.0))
                await sites.wait_until(lambda: link.silent_sides)
                writer.write(make_head(2))
                received = await reader.read()
                writer.close()
                await stopping
                return received

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        received = runner.run(main())
    assert received.endswith(b"answer")


@pytest.mark.parametrize(
    "later", [b"\r\n", make_head(2)], ids=["empty_line", "request"]
)
def test_bytes_after_a_response_that_closes_do_not_cut_it_off(later):
    answer = sites.answering(text="x" * RESPONSE_SIZE_BYTES)
    head = make_head(1).replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")

    async def main():
        async with sites.run_site([answer]) as site:
            reader, writer = await sites.open_slow_reader(site.port)
            writer.write(head)
            await sites.wait_until(lambda: site.backends[0].seen)
            await asyncio.sleep(RESPONSE_DELAY_S)
            writer.write(later)
            received = await read_slowly(reader)
            writer.close()
            return received, len(site.backends[0].seen)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        received, requests_count = runner.run(main())
    assert received.count(b"x") >= RESPONSE_SIZE_BYTES
    assert requests_count == 1


def test_a_stop_waits_for_the_response_that_an_idle_client_still_reads():
    answer = sites.answering(text="x" * RESPONSE_SIZE_BYTES)

    async def main():
        async with sites.run_site([answer]) as site:
            reader, writer = await sites.open_slow_reader(site.port)
            writer.write(make_head(1))
            await sites.wait_until(lambda: site.backends[0].seen)
            await asyncio.sleep(RESPONSE_DELAY_S)
            stopping = asyncio.create_task(server.stop(site.running, STOP_TIME_S))
            await asyncio.sleep(RESPONSE_DELAY_S)
            is_early = stopping.done()
            writer.write(make_head(2))
            received = await read_slowly(reader)
            writer.close()
            await stopping
            return received, is_early, len(site.backends[0].seen)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        received, is_early, requests_count = runner.run(main())
    assert received.count(b"x") >= RESPONSE_SIZE_BYTES
    assert not is_early
    assert requests_count == 1


@pytest.mark.parametrize("sends", [False, True])
def test_a_client_that_never_closes_does_not_hold_up_a_stop(sends):
    async def main():
        async with sites.run_site([sites.answering()]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            server.begin_stop(site.forwarder, STOP_TIME_S)
            writer.write(make_head(1))
            await reader.read()
            sending = asyncio.create_task(send_on(writer, sends))
            began_s = time.monotonic()
            await server.stop(site.running, STOP_TIME_S)
            took_s = time.monotonic() - began_s
            sending.cancel()
            writer.transport.abort()
            return took_s, len(site.backends[0].seen)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        took_s, requests_count = runner.run(main())
    assert took_s < MAX_STOP_TIME_S
    assert requests_count == 1


def test_lingering_connections_are_bounded_in_number(monkeypatch):
    monkeypatch.setattr(lingering, "MAX_CONNECTIONS_COUNT", 2)

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            server.begin_stop(site.forwarder, STOP_TIME_S)
            opened = [await asyncio.open_connection(HOST, site.port) for _ in range(5)]
            for number, (reader, writer) in enumerate(opened):
                writer.write(make_head(number))
                await reader.read()
            left_count = len(site.running.server.connections)
            for _, writer in opened:
                writer.close()
            await sites.wait_until(lambda: not site.running.server.connections)
            return left_count

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(main()) == 2


def test_bytes_that_are_discarded_after_a_close_are_bounded(monkeypatch):
    monkeypatch.setattr(lingering, "MAX_DISCARDED_SIZE_BYTES", 1_000)
    monkeypatch.setattr(lingering, "CHECK_INTERVAL_S", 60.0)

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            server.begin_stop(site.forwarder, STOP_TIME_S)
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(make_head(1))
            await reader.read()
            assert len(site.running.server.connections) == 1
            writer.write(b"x" * 1_001)
            await sites.wait_until(lambda: not site.running.server.connections)
            writer.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())


def test_stop_that_ends_before_a_response_is_acknowledged_says_so(caplog):
    answer = sites.answering(text="x" * RESPONSE_SIZE_BYTES)

    async def main():
        async with sites.run_site([answer]) as site:
            _, writer = await sites.open_slow_reader(site.port)
            writer.write(
                make_head(1).replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
            )
            await sites.wait_until(lambda: site.backends[0].seen)
            await asyncio.sleep(RESPONSE_DELAY_S)
            (connection,) = site.running.server.connections
            assert connection.pending_size_bytes > connection.unsent_size_bytes == 0
            await server.stop(site.running, RESPONSE_DELAY_S)
            writer.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
    assert "stopped before clients had acknowledged responses" in caplog.text
    assert "stopped with open requests" not in caplog.text
