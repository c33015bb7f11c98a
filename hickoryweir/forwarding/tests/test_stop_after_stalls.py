"""Requests that reach a router's port while a stall of its event loop lasts."""

import asyncio

import pytest
import uvloop

from hickoryweir.forwarding import server
from hickoryweir.forwarding.tests import sites
from hickoryweir.testing import stalls

REQUEST = b"GET /chat/x HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\r\n"
CONNECT_S = 0.1
GRACE_S = 3.0


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
