"""Tests of races between the stop of a router's port and the requests on it."""

import asyncio
import time

from aiohttp import web

from hickoryweir.forwarding import (
    exchange,
    headers,
    open_requests,
    server,
)
from hickoryweir.forwarding.tests import sites

HOST = sites.HOST
HEAD = "GET /chat/{0} HTTP/1.1\r\nHost: site.example\r\n{1}: r-{0}\r\n\r\n"


def make_head(number: int) -> bytes:
    """Return a request without a body."""
    return HEAD.format(number, headers.REQUEST_ID).encode()


async def stream_one_event(request, release):
    """Send a stream of one event that ends on release."""
    request_id = request.headers[headers.REQUEST_ID]
    response = web.StreamResponse(headers={headers.REQUEST_ID: request_id})
    await response.prepare(request)
    await response.write(b"id: 1\ndata: " + request_id.encode() + b"\n\n")
    await release.wait()
    return response


def test_request_given_up_as_its_stream_starts_gets_no_second_response(monkeypatch):
    gate, release = asyncio.Event(), asyncio.Event()
    send, give_up = exchange.send, open_requests.give_up

    async def send_and_wait(*arguments):
        outcome = await send(*arguments)
        await gate.wait()
        return outcome

    def start_and_give_up(request):
        # The head of the response is handled in the iteration of the give-up.
        gate.set()
        give_up(request)

    monkeypatch.setattr(exchange, "send", send_and_wait)
    monkeypatch.setattr(open_requests, "give_up", start_and_give_up)

    async def main():
        routes = (sites.resumable_route(),)

        async def answer(request, body):
            return await stream_one_event(request, release)

        async with sites.run_site([answer], routes) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(make_head(1))
            await sites.wait_until(lambda: site.backends[0].seen)
            await asyncio.sleep(0.1)
            await server.stop(site.running, 0.5)
            response = await reader.read()
            writer.close()
            release.set()
            return response

    response = asyncio.run(main())
    assert b"data: r-1" in response
    assert response.count(b"HTTP/1.1") == 1


def test_stop_answers_unanswered_requests_after_a_stall_of_the_event_loop():
    async def silent(request, body):
        await asyncio.sleep(sites.WAIT_S)

    async def main():
        async with sites.run_site([silent]) as site:
            call = asyncio.create_task(site.call())
            await sites.wait_until(lambda: site.backends[0].seen)
            stopping = asyncio.create_task(server.stop(site.running, 1.0))
            # Longer than the margin in which requests are given up.
            asyncio.get_running_loop().call_later(0.7, time.sleep, 0.4)
            status, _, body = await call
            await stopping
            return status, body

    assert asyncio.run(main()) == (502, b"stopped_unanswered\n")
