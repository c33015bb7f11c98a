"""Tests that any bytes from a backend server lead to a typed result."""

import asyncio
import contextlib
import socket
import time

import aiohttp
import hypothesis
import pytest
import uvloop
from hypothesis import strategies as st
from returns import result

from hickoryweir.engines import calls, client, framing, reads, reports, sessions
from hickoryweir.engines.tests import benches
from hickoryweir.outcomes import refusals
from hickoryweir.services import calls as service_calls
from hickoryweir.services import client as service_client

TIMEOUTS = calls.EngineTimeouts(connect_timeout_s=5.0, read_timeout_s=5.0)
STEPS_BEFORE_STALL_COUNT = 3
FUZZ = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150
)
RESPONSE_HEADS = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n",
        b"HTTP/1.1 503 X\r\nX-Not-Run: true\r\n",
        b"HTTP/1.1 429 X\r\nX-Not-Run: true\r\nX-Request-Id: other\r\n",
        b"HTTP/1.1 302 X\r\nLocation: /elsewhere\r\n",
        b"HTTP/1.1 99999 \xff\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/0.9",
        b"",
    ]
)
HEADER_FIELDS = st.sampled_from(
    [
        b"Content-Length: 5\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        b"Content-Type: \x00;;=\r\n",
        b"Content-Encoding: gzip\r\n",
        b"Set-Cookie: \xff=;=\r\n",
        b"X: " + b"y" * 20_000 + b"\r\n",
        b"no colon\r\n",
    ]
)
BODIES = st.one_of(
    st.binary(max_size=60),
    st.sampled_from(
        [
            b"5\r\nhello\r\n0\r\n\r\n",
            b"fffffffffffffffff\r\n",
            b"data: [DONE]\n\n",
            b'{"id":"r1","usage":{"completion_tokens":"x"}}',
            b"[" * 100_000,
        ]
    ),
)
ANSWERS = st.builds(
    lambda head, fields, body: head + b"".join(fields) + b"\r\n" + body,
    RESPONSE_HEADS,
    st.lists(HEADER_FIELDS, max_size=1),
    BODIES,
)


async def call_all(response):
    """Return the results of each kind of request to a server with this response."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    listener = await asyncio.start_server(serve, benches.running.HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    server = benches.make_server(f"http://{benches.running.HOST}:{port}")
    post = service_calls.ServiceCall("r1", "POST", "/a", "", (), b"x", "k")
    async with sessions.make_session() as session:
        opened = await client.open_stream(
            session, server, benches.make_call(), TIMEOUTS
        )
        if isinstance(opened.value_or(None), client.EngineStream):
            _, opened = await benches.read_all(opened.unwrap())
        non_streaming = benches.make_call(stream=False)
        results = [
            opened,
            await client.complete(session, server, non_streaming, TIMEOUTS),
            await service_client.forward(session, server, post),
        ]
        read = await reads.read_document(
            session, server.url, reports.LoadDocument, TIMEOUTS.read_timeout_s
        )
    listener.close()
    return results, read


@hypothesis.given(ANSWERS)
@FUZZ
def test_malformed_response_neither_raises_nor_counts_as_not_run(answer):
    results, read = asyncio.run(call_all(answer))
    failures = [
        outcome.failure()
        for outcome in results
        if not isinstance(outcome, result.Success)
    ]
    assert all(failure.ran is refusals.Ran.MAYBE for failure in failures)
    assert not isinstance(read, result.Success)


@pytest.mark.parametrize("stream", [True, False])
def test_endless_response_is_rejected_as_too_large(monkeypatch, stream):
    monkeypatch.setattr(client, "MAX_RESPONSE_SIZE_BYTES", 100_000)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        kind = b"text/event-stream" if stream else b"application/json"
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: %b\r\n\r\n" % kind)
        try:
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(b"x" * 10_000)
                    await writer.drain()
        finally:
            writer.close()

    async def test():
        listener = await asyncio.start_server(serve, benches.running.HOST, 0)
        port = listener.sockets[0].getsockname()[1]
        server = benches.make_server(f"http://{benches.running.HOST}:{port}")
        async with sessions.make_session() as session:
            call = benches.make_call(stream=stream)
            if not stream:
                return await client.complete(session, server, call, TIMEOUTS)
            opened = await client.open_stream(session, server, call, TIMEOUTS)
            return (await benches.read_all(opened.unwrap()))[1]

    assert "too large" in asyncio.run(test()).failure().message


def test_slow_reader_pauses_the_connection():
    async def test():
        async with benches.engine_bench() as bench:
            call = benches.make_call(stand_in_output_tokens=40_000)
            stream = (await bench.open(call)).unwrap()
            await benches.wait_until(lambda: is_paused(stream))
            held_bytes = stream.response.content.total_bytes
            await stream.close()
        assert held_bytes <= 4 * sessions.READ_BUFFER_SIZE_BYTES

    asyncio.run(test())


def is_paused(stream):
    transport = stream.response.connection.transport
    return not transport.is_reading()


@pytest.mark.parametrize("loop_factory", [None, uvloop.new_event_loop])
def test_connect_that_is_cancelled_closes_no_other_connections_descriptor(
    loop_factory,
):
    """A descriptor that is closed twice may belong to another connection by then."""
    made = []

    def make_socket(address_info):
        made.append(socket.socket(*address_info[:3]))
        return made[-1]

    async def main():
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        connector = framing.ResponseConnector(socket_factory=make_socket)
        async with sessions.make_session(connector=connector) as session:
            for steps_count in range(12):
                call = asyncio.ensure_future(session.get(f"http://127.0.0.1:{port}/"))
                for _ in range(steps_count):
                    await asyncio.sleep(0)
                call.cancel()
                await asyncio.gather(call, return_exceptions=True)
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.05)
        listener.close()
        return [sock.fileno() for sock in made]

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        descriptors = runner.run(main())
    assert descriptors
    assert set(descriptors) == {-1}


@pytest.mark.parametrize("loop_factory", [None, uvloop.new_event_loop])
def test_connect_that_ended_during_a_stall_of_the_event_loop_is_used(loop_factory):
    timeout = aiohttp.ClientTimeout(sock_connect=0.1)

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    async def main():
        listener = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        async with sessions.make_session() as session:
            url = f"http://127.0.0.1:{port}/"
            call = asyncio.ensure_future(session.get(url, timeout=timeout))
            # The connect has begun by then, and the timeout passes during the stall.
            for _ in range(STEPS_BEFORE_STALL_COUNT):
                await asyncio.sleep(0)
            time.sleep(0.3)  # noqa: ASYNC251
            response = await call
            status = response.status
            response.close()
        listener.close()
        return status

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        assert runner.run(main()) == 200
