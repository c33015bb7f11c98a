"""Requests of an application whose server stops after a stall of the event loop."""

import asyncio

import pytest
import uvloop
from aiohttp import web

from hickoryweir import bounded_connections, graceful_stop
from hickoryweir.testing import stalls

HOST = "127.0.0.1"
REQUEST = b"PUT /table HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
LIMIT_S = 1.5
CONNECT_S = 0.1
FIRST_BYTE_DELAY_S = 0.1
DURATION_S = 0.3


async def start(duration_s=0.0):
    """Serve an application that answers after a time; return its runner and address."""

    async def answer(request):
        await request.read()
        await asyncio.sleep(duration_s)
        return web.Response(text="whole")

    app = web.Application()
    app.router.add_put("/table", answer)
    graceful_stop.track(app)
    runner = bounded_connections.BoundedRunner(
        app, access_log=None, shutdown_timeout=graceful_stop.SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    await web.TCPSite(runner, HOST, 0).start()
    return runner, runner.addresses[0]


def run(main):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())


@pytest.mark.parametrize("connects_early", [False, True])
def test_request_received_in_a_stall_before_the_port_closes_is_answered(connects_early):
    async def main():
        runner, address = await start()
        client = stalls.Client(address, REQUEST, connects_early)
        await asyncio.sleep(CONNECT_S)
        with stalls.stall(client):
            await asyncio.sleep(stalls.STALL_S / 2)
            await graceful_stop.stop(runner, LIMIT_S)
        return await client.receive()

    assert run(main).endswith(b"whole")


def test_request_whose_response_falls_into_a_stall_past_the_limit_is_answered():
    async def main():
        limit_s = 2 * stalls.STALL_S
        runner, address = await start(duration_s=limit_s)
        client = stalls.Client(address, REQUEST, connects_early=True)
        client.send()
        await asyncio.sleep(CONNECT_S)
        stopping = asyncio.create_task(graceful_stop.stop(runner, limit_s))
        await asyncio.sleep(limit_s - stalls.STALL_S / 2)
        with stalls.stall(client):
            await stopping
        return await client.receive()

    assert run(main).endswith(b"whole")


def test_request_received_in_a_stall_longer_than_the_limit_is_answered():
    async def main():
        runner, address = await start()
        client = stalls.Client(address, REQUEST, connects_early=True)
        await asyncio.sleep(CONNECT_S)
        stopping = asyncio.create_task(graceful_stop.stop(runner, stalls.STALL_S / 2))
        await asyncio.sleep(0)
        with stalls.stall(client):
            await stopping
        return await client.receive()

    assert run(main).endswith(b"whole")


def test_request_on_a_connection_opened_before_the_port_closes_is_answered():
    """Guards against a close that crosses the first request on a connection."""

    async def main():
        runner, address = await start()
        reader, writer = await asyncio.open_connection(*address)
        stopping = asyncio.create_task(graceful_stop.stop(runner, LIMIT_S))
        await asyncio.sleep(FIRST_BYTE_DELAY_S)
        writer.write(REQUEST)
        received = await reader.read()
        writer.close()
        await stopping
        return received

    assert run(main).endswith(b"whole")


def test_request_pipelined_behind_another_is_answered_during_a_stop():
    """Guards against a last response that discards the request behind it."""

    async def main():
        runner, address = await start(duration_s=DURATION_S)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(2 * REQUEST)
        await asyncio.sleep(CONNECT_S)
        await graceful_stop.stop(runner, LIMIT_S)
        received = await reader.read()
        writer.close()
        return received

    assert run(main).count(b"whole") == 2


@pytest.mark.parametrize("is_kept", [False, True])
def test_request_received_in_a_stall_before_its_connection_was_idle_too_long(is_kept):
    """Guards against a reset of a request that came before the idle timeout."""
    last = REQUEST.replace(b"Host: x\r\n", b"Host: x\r\nConnection: close\r\n")

    async def main():
        async def answer(request):
            return web.Response(text="whole")

        app = web.Application()
        app.router.add_put("/table", answer)
        runner = bounded_connections.BoundedRunner(
            app, access_log=None, keepalive_timeout=stalls.STALL_S
        )
        await runner.setup()
        await web.TCPSite(runner, HOST, 0).start()
        client = stalls.Client(runner.addresses[0], last, True)
        if is_kept:
            await asyncio.to_thread(client.exchange, REQUEST, b"whole")
        await asyncio.sleep(stalls.STALL_S / 2)
        with stalls.stall(client):
            return await client.receive()

    assert run(main).endswith(b"whole")
