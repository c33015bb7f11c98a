"""Event streams through a router over loopback sockets."""

import asyncio

import pytest
from aiohttp import ClientError, web

from hickoryweir.forwarding import headers
from hickoryweir.forwarding.tests import sites
from hickoryweir.routes import model
from hickoryweir.routes.tests import tables

EVENTS_COUNT = 5


def make_event(number):
    return b"id: %d\ndata: text %d\n\n" % (number, number)


def streaming(break_after=None, half=b""):
    """Return a server that streams events, or breaks off after one of them."""

    async def answer(request, body):
        reply = web.StreamResponse(headers={headers.REQUEST_ID: "r-1"})
        reply.enable_chunked_encoding()
        await reply.prepare(request)
        first = int(request.headers.get(headers.LAST_EVENT_ID, "0")) + 1
        for number in range(first, EVENTS_COUNT + 1):
            if break_after is not None and number > break_after:
                await reply.write(half)
                await asyncio.sleep(0.05)
                request.transport.abort()
                return reply
            await reply.write(make_event(number))
            await asyncio.sleep(0.002)
        await reply.write_eof()
        return reply

    return answer


def in_turn(*answers):
    """Return a function that answers each request with the next of `answers`."""
    left = list(answers)

    async def answer(request, body):
        return await left.pop(0)(request, body)

    return answer


WHOLE = b"".join(make_event(number) for number in range(1, EVENTS_COUNT + 1))


def run(answers, scenario, route):
    async def main():
        async with sites.run_site(answers, routes=(route,)) as site:
            return await scenario(site)

    return asyncio.run(main())


async def call(site):
    status, _, body = await site.call()
    return status, body, sum(len(backend.seen) for backend in site.backends)


def test_stream_passes_whole():
    assert run([streaming()], call, sites.resumable_route()) == (200, WHOLE, 1)


@pytest.mark.parametrize("half", [b"", b"id: 3\nda"])
def test_broken_stream_goes_on_at_another_server(half):
    answer = in_turn(streaming(break_after=2, half=half), streaming())
    found = run([answer, answer], call, sites.resumable_route())
    assert found == (200, WHOLE, 2)


def test_stream_that_breaks_before_its_first_event_starts_again():
    answer = in_turn(streaming(break_after=0), streaming())
    found = run([answer, answer], call, sites.resumable_route())
    assert found == (200, WHOLE, 2)


def test_stream_that_runs_once_is_broken_off_visibly():
    route = tables.make_route(
        allows_anonymous=True,
        is_stream=True,
        execution=model.Execution.AT_MOST_ONCE,
    )

    async def scenario(site):
        with pytest.raises(ClientError):
            await site.call()
        return sum(len(backend.seen) for backend in site.backends)

    answers = [streaming(break_after=2), streaming(break_after=2)]
    assert run(answers, scenario, route) == 1


def test_client_may_resume_by_itself():
    async def scenario(site):
        return (await site.call(given={headers.LAST_EVENT_ID: "3"}))[2]

    tail = make_event(4) + make_event(5)
    assert run([streaming()], scenario, sites.resumable_route()) == tail


def unframed(ends_well):
    """Return a server whose answer ends with its connection."""

    async def answer(request, body):
        transport = request.transport
        head = f"HTTP/1.1 200 OK\r\n{headers.REQUEST_ID}: r-1\r\n\r\n"
        transport.write(head.encode() + WHOLE)
        await asyncio.sleep(0.05)
        if ends_well:
            transport.close()
        else:
            transport.abort()
        await asyncio.sleep(1.0)
        return web.Response()

    return answer


def test_answer_without_a_length_ends_with_its_connection():
    found = run([unframed(True)], call, tables.make_route(allows_anonymous=True))
    assert found == (200, WHOLE, 1)
