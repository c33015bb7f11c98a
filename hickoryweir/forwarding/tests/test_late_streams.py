"""Streams whose requests reach a stopping router after its port has closed."""

import asyncio
import contextlib

import pytest
import uvloop
from aiohttp import web

from hickoryweir.forwarding import headers, server
from hickoryweir.forwarding.tests import sites
from hickoryweir.observability import latencies
from hickoryweir.routes.tests import tables

GRACE_S = 2.0
FIRST_STREAM_S = 0.4
LONG_STREAM_S = 4.0
EVENT_INTERVAL_S = 0.1
TIMEOUT_S = 30.0
# Servers have to be told within half a second that a client has left.
NOTICED_WITHIN_S = 0.4
LAST_EVENT = b"id: 3\n"
LAST_CHUNK = b"\r\n0\r\n\r\n"


def make_head(path, time_left_s=None):
    """Return a request without a body."""
    lines = [f"GET /chat/{path} HTTP/1.1", "Host: site.example"]
    lines.append(f"{headers.REQUEST_ID}: r-{path}")
    if time_left_s is not None:
        lines.append(f"{headers.TIME_LEFT}: {time_left_s}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def send_events(request, duration_s):
    """Send an event in each interval until the time is over."""
    given = {
        headers.REQUEST_ID: request.headers[headers.REQUEST_ID],
        "Content-Type": "text/event-stream",
    }
    response = web.StreamResponse(headers=given)
    await response.prepare(request)
    for number in range(round(duration_s / EVENT_INTERVAL_S)):
        await response.write(f"id: {number}\ndata: x\n\n".encode())
        await asyncio.sleep(EVENT_INTERVAL_S)
    return response


async def answer(request, body):
    """Send a stream that is as long as the path says."""
    is_long = request.path.endswith("long")
    return await send_events(request, LONG_STREAM_S if is_long else FIRST_STREAM_S)


async def call_after_the_port_closed(path, known_count, time_left_s=None):
    """Return what a client gets that calls again on the connection of a stream."""
    route = tables.make_route(
        allows_anonymous=True, is_stream=True, timeout_s=TIMEOUT_S
    )
    async with sites.run_site([answer], (route,)) as site:
        for _ in range(known_count):
            site.forwarder.metrics.latencies.record(
                route.name, latencies.Interval.ANSWER, FIRST_STREAM_S
            )
        reader, writer = await asyncio.open_connection(sites.HOST, site.port)
        writer.write(make_head("first"))
        await reader.readuntil(b"data: x")
        stopping = asyncio.create_task(server.stop(site.running, GRACE_S))
        await reader.readuntil(LAST_EVENT)
        # Sent before the first stream ends, the request does not cross a close.
        writer.write(make_head(path, time_left_s))
        await reader.readuntil(LAST_CHUNK)
        received = await reader.read()
        writer.close()
        await stopping
        return received


def run(main):
    """Run a coroutine on the event loop of the processes."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)


@pytest.mark.parametrize("known_count", [1, 200])
def test_stream_that_comes_after_the_port_closed_is_not_cut_at_the_end(known_count):
    received = run(call_after_the_port_closed("long", known_count))
    is_refused = received.startswith(b"HTTP/1.1 503 ") and b"stopping" in received
    assert is_refused or received.endswith(LAST_CHUNK)


def test_stream_that_comes_after_the_port_closed_is_served_if_its_deadline_is_near():
    received = run(call_after_the_port_closed("short", 0, time_left_s=1.0))
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.endswith(LAST_CHUNK)


@contextlib.asynccontextmanager
async def stream_with_requests_behind(count, behind=b"", time_left_s=None):
    """Yield a site, a stream's connection and its client, which has sent more."""
    route = tables.make_route(
        allows_anonymous=True, is_stream=True, timeout_s=TIMEOUT_S
    )
    async with sites.run_site([answer], (route,)) as site:
        site.forwarder.stop_time_s = GRACE_S
        reader, writer = await asyncio.open_connection(sites.HOST, site.port)
        writer.write(make_head("long", time_left_s))
        await reader.readuntil(b"data: x")
        for _ in range(count):
            writer.write(behind or make_head("short"))
        (connection,) = site.running.server.connections
        await asyncio.sleep(EVENT_INTERVAL_S)
        yield site, connection, reader, writer
        writer.close()


UPLOAD = (
    b"POST /chat/up HTTP/1.1\r\nHost: site.example\r\nContent-Length: 200000\r\n\r\n"
)


@pytest.mark.parametrize("signals_count", [1, 2])
@pytest.mark.parametrize("behind", [b"", UPLOAD + bytes(200_000)])
@pytest.mark.parametrize("count", [1, 2, 5])
def test_request_behind_a_stream_that_outlasts_a_stop_is_answered_or_left_unread(
    count, behind, signals_count
):
    # Guards against requests that were read and are dropped with the stream's end.
    async def main():
        async with stream_with_requests_behind(count, behind) as running:
            site, connection, reader, _ = running
            was_read = connection.queued_requests_count > 0
            stopping = asyncio.create_task(server.stop(site.running, GRACE_S))
            for _ in range(signals_count - 1):
                await asyncio.sleep(EVENT_INTERVAL_S)
                server.begin_stop(site.forwarder, GRACE_S - EVENT_INTERVAL_S)
            try:
                received = await reader.read()
            except ConnectionResetError:
                # The kernel resets a connection that is closed with unread bytes.
                received = None
            await stopping
            return was_read, received

    was_read, received = run(main())
    is_left_unread = not was_read and received is None
    assert is_left_unread or b"HTTP/1.1 " in received


@pytest.mark.parametrize("count", [1, 2, 5])
def test_requests_behind_a_stream_are_answered_without_a_stop(count):
    async def main():
        async with stream_with_requests_behind(count) as (_, connection, reader, _):
            was_unread = connection.has_unread
            for _ in range(count):
                await reader.readuntil(LAST_CHUNK)
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200 ")
            await reader.readuntil(LAST_CHUNK)
            return was_unread

    assert run(main())


def test_request_behind_a_stream_is_read_once_no_stop_could_cut_the_stream():
    async def main():
        time_left_s = GRACE_S + 1.0
        async with stream_with_requests_behind(1, b"", time_left_s) as running:
            _, connection, reader, _ = running
            was_unread = connection.has_unread
            while not connection.queued_requests_count:
                await reader.readuntil(b"data: x")
            return was_unread

    assert run(main())


def test_request_behind_a_stream_whose_deadline_is_within_a_stop_is_read():
    async def main():
        async with stream_with_requests_behind(1, b"", GRACE_S) as running:
            _, connection, _, _ = running
            return connection.queued_requests_count

    assert run(main()) == 1


@pytest.mark.parametrize("count", [0, 1])
def test_client_that_leaves_during_a_stream_is_noticed_while_the_next_is_unread(count):
    async def main():
        async with stream_with_requests_behind(count) as (site, _, _, writer):
            writer.close()
            await asyncio.sleep(NOTICED_WITHIN_S)
            return len(site.forwarder.open_requests)

    assert run(main()) == 0
