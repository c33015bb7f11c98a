"""Requests that reach a router while a stall of its event loop lasts."""

import asyncio
import dataclasses

import pytest
import uvloop

from hickoryweir.forwarding import server
from hickoryweir.forwarding.tests import sites, test_late_streams
from hickoryweir.routes import matching
from hickoryweir.routes.tests import tables
from hickoryweir.testing import stalls

REQUEST = b"GET /chat/x HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\r\n"
CONNECT_S = 0.1
GRACE_S = 3.0
SIGNAL_DELAY_S = 1.0


def use_idle_timeout(forwarder, idle_timeout_s):
    """Bring a table with another idle timeout into force."""
    table = forwarder.route_index.table
    limits = dataclasses.replace(table.limits, idle_timeout_s=idle_timeout_s)
    changed = dataclasses.replace(table, limits=limits)
    forwarder.route_index = matching.make_index(changed)


@pytest.mark.parametrize("connects_early", [False, True])
def test_stop_answers_requests_received_in_a_stall_before_the_port_closes(
    connects_early,
):
    async def main():
        async with sites.run_site([sites.answering()]) as site:
            client = stalls.Client((sites.HOST, site.port), REQUEST, connects_early)
            await asyncio.sleep(CONNECT_S)
            with stalls.stall(client):
                await asyncio.sleep(stalls.STALL_S / 2)
                await server.stop(site.running, GRACE_S)
            return await client.receive()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(main()).startswith(b"HTTP/1.1 200 OK\r\n")


def test_stop_answers_requests_received_in_a_stall_after_the_port_closed():
    async def main():
        async with sites.run_site([sites.answering()]) as site:
            client = stalls.Client((sites.HOST, site.port), REQUEST, True)
            await asyncio.sleep(CONNECT_S)
            stopping = asyncio.create_task(server.stop(site.running, GRACE_S))
            await asyncio.sleep(server.STOP_CHECK_INTERVAL_S / 2)
            with stalls.stall(client):
                await stopping
            return await client.receive()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(main()).startswith(b"HTTP/1.1 200 OK\r\n")


def test_head_that_has_begun_is_received_beyond_the_idle_time():
    """Guards against a close of an idle connection that cuts a request's head."""
    first = REQUEST.replace(b"Connection: close\r\n", b"")

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            use_idle_timeout(site.forwarder, stalls.STALL_S)
            reader, writer = await asyncio.open_connection(sites.HOST, site.port)
            writer.write(first)
            await reader.readuntil(b"whole")
            await asyncio.sleep(0.8 * stalls.STALL_S)
            writer.write(REQUEST[:20])
            await asyncio.sleep(0.4 * stalls.STALL_S)
            writer.write(REQUEST[20:])
            return await reader.read()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(main()).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("is_kept", [False, True])
def test_request_received_in_a_stall_before_its_connection_was_idle_too_long(is_kept):
    """Guards against a reset of a request that came before the idle timeout."""
    first = REQUEST.replace(b"Connection: close\r\n", b"")

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            use_idle_timeout(site.forwarder, stalls.STALL_S)
            client = stalls.Client((sites.HOST, site.port), REQUEST, True)
            if is_kept:
                await asyncio.to_thread(client.exchange, first, b"whole")
            await asyncio.sleep(stalls.STALL_S / 2)
            with stalls.stall(client):
                return await client.receive()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(main()).startswith(b"HTTP/1.1 200 OK\r\n")


def test_calls_are_answered_earlier_after_a_late_signal_and_streams_go_on():
    async def answer(request, body):
        if request.path.endswith("call"):
            await asyncio.sleep(2 * GRACE_S)
        return await test_late_streams.send_events(request, 2 * GRACE_S)

    async def measure(site, path):
        """Return when a response ends, and how it begins."""
        reader, writer = await asyncio.open_connection(sites.HOST, site.port)
        writer.write(test_late_streams.make_head(path))
        received = await reader.read()
        writer.close()
        return asyncio.get_running_loop().time(), received

    async def main():
        routes = (
            tables.make_route(
                "call", "/chat/call", allows_anonymous=True, timeout_s=4 * GRACE_S
            ),
            tables.make_route(
                allows_anonymous=True, is_stream=True, timeout_s=4 * GRACE_S
            ),
        )
        async with sites.run_site([answer], routes) as site:
            reading = [
                asyncio.create_task(measure(site, path)) for path in ("call", "long")
            ]
            await sites.wait_until(lambda: len(site.backends[0].seen) == 2)
            began_s = asyncio.get_running_loop().time()
            await server.stop(site.running, GRACE_S, SIGNAL_DELAY_S)
            (call_s, call), (stream_s, _) = await asyncio.gather(*reading)
            return call_s - began_s, call, stream_s - began_s

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        call_s, call, stream_s = runner.run(main())
    assert call.startswith(b"HTTP/1.1 502 ")
    assert call_s < GRACE_S - SIGNAL_DELAY_S
    assert stream_s > GRACE_S - server.ANSWER_MARGIN_S
