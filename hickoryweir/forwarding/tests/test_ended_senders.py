"""Clients that end their sending side before they have their response."""

import asyncio
import contextlib

import pytest
import uvloop
from aiohttp import web

from hickoryweir.forwarding import headers, server
from hickoryweir.forwarding.tests import sites
from hickoryweir.routes.tests import tables

REQUEST = (
    f"POST /chat/x HTTP/1.1\r\nHost: site.example\r\n{headers.REQUEST_ID}: r-1\r\n"
    "Content-Length: 1\r\n\r\nx"
).encode()
# Longer than the interval in which a client is noticed that has left.
RUN_S = 0.3
LIMIT_S = 3.0
STOPPABLE = {
    "plain": tables.make_route(allows_anonymous=True),
    "stream": tables.make_route(allows_anonymous=True, is_stream=True),
    "resumable": sites.resumable_route(),
    "stream_once": sites.at_most_once_route(is_stream=True),
}


def run(main):
    """Run a coroutine on the event loop of the processes."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)


@contextlib.asynccontextmanager
async def run_slow_site(route):
    """Run a router whose server takes a while; yield it and what became of its runs."""
    ends = []

    async def answer(request, body):
        try:
            await asyncio.sleep(RUN_S)
        except asyncio.CancelledError:
            ends.append("stopped")
            raise
        ends.append("finished")
        return await sites.answering()(request, body)

    async with sites.run_site([answer], (route,)) as site:
        yield site, ends


async def send_and_end(site):
    """Send a request, and end the sending side once it is at its server."""
    reader, writer = await asyncio.open_connection(sites.HOST, site.port)
    writer.write(REQUEST)
    await sites.wait_until(lambda: site.backends[0].seen)
    writer.write_eof()
    return reader, writer


@pytest.mark.parametrize("stops", [False, True])
def test_call_that_runs_at_most_once_is_answered_after_its_client_ended_sending(stops):
    async def main():
        async with run_slow_site(sites.at_most_once_route()) as (site, ends):
            stopping = None
            reader, writer = await send_and_end(site)
            if stops:
                stopping = asyncio.create_task(server.stop(site.running, LIMIT_S))
            async with asyncio.timeout(LIMIT_S):
                received = await reader.read()
            writer.close()
            if stopping is not None:
                await stopping
            return received, ends

    received, ends = run(main())
    assert received.startswith(b"HTTP/1.1 200 OK\r\n")
    assert received.endswith(b"whole")
    assert ends == ["finished"]


@pytest.mark.parametrize("kind", STOPPABLE)
def test_request_that_can_be_stopped_ends_when_its_client_ends_sending(kind):
    async def main():
        async with run_slow_site(STOPPABLE[kind]) as (site, _):
            reader, writer = await send_and_end(site)
            async with asyncio.timeout(RUN_S / 2):
                received = await reader.read()
            writer.close()
            await sites.wait_until(lambda: not site.forwarder.open_requests)
            return received

    assert run(main()) == b""


def test_call_that_was_not_sent_is_not_run_after_its_client_ended_sending():
    async def main():
        async with run_slow_site(sites.at_most_once_route()) as (site, _):
            reader, writer = await asyncio.open_connection(sites.HOST, site.port)
            writer.write(REQUEST[:-1])
            await sites.wait_until(lambda: site.forwarder.open_requests)
            writer.write_eof()
            async with asyncio.timeout(LIMIT_S):
                received = await reader.read()
            writer.close()
            await asyncio.sleep(RUN_S)
            return received, len(site.backends[0].seen)

    received, seen_count = run(main())
    assert not received.startswith(b"HTTP/1.1 200")
    assert seen_count == 0


def test_connection_of_a_client_that_has_closed_ends_with_its_call():
    async def main():
        async with run_slow_site(sites.at_most_once_route()) as (site, ends):
            _, writer = await send_and_end(site)
            writer.close()
            await sites.wait_until(lambda: ends)
            await sites.wait_until(lambda: not site.running.server.connections)
            return ends

    assert run(main()) == ["finished"]


def test_call_that_was_refused_is_not_sent_on_after_its_client_ended_sending():
    async def refuse(request, body):
        await asyncio.sleep(RUN_S)
        given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
        return web.Response(status=503, headers=given | {headers.NOT_RUN: "1"})

    async def main():
        route = sites.at_most_once_route()
        async with sites.run_site([refuse, refuse], (route,)) as site:
            seen = [backend.seen for backend in site.backends]
            reader, writer = await asyncio.open_connection(sites.HOST, site.port)
            writer.write(REQUEST)
            await sites.wait_until(lambda: any(seen))
            writer.write_eof()
            async with asyncio.timeout(LIMIT_S):
                received = await reader.read()
            writer.close()
            await asyncio.sleep(RUN_S)
            return received, sum(map(len, seen))

    received, seen_count = run(main())
    assert received.startswith(b"HTTP/1.1 503 ")
    assert seen_count == 1
