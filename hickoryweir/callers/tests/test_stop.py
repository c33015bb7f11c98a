"""Requests in progress while the callers' HTTP server stops, over real connections."""

import asyncio
import json
import socket
import time
from concurrent import futures

import pytest
import uvloop
from returns import result

from hickoryweir.callers import interface, server
from hickoryweir.callers.tests import exchanges, fakes
from hickoryweir.outcomes import refusals
from hickoryweir.testing import stalls

HOST = "127.0.0.1"
CHAT_PATH = b"/v1/chat/completions"
CHAT_BODY = json.dumps(fakes.CHAT).encode()
# Smaller than the answer, so that a part of it stays in the process.
SOCKET_BUFFER_SIZE_BYTES = 4_096
ANSWER_SIZE_BYTES = 40_000
REST_DELAY_S = 0.2
# Shorter than the timeout of a body, which would also end the request.
STOP_TIMEOUT_S = 8.0


def test_body_that_arrives_during_a_stop_is_not_discarded():
    request = exchanges.make_request(CHAT_PATH, CHAT_BODY)

    async def run():
        running = await server.start(fakes.make_daemon())
        reader, writer = await asyncio.open_connection(HOST, running.port)
        writer.write(request[:-10])
        await asyncio.sleep(REST_DELAY_S)
        stopping = asyncio.create_task(server.stop(running))
        await asyncio.sleep(REST_DELAY_S)
        writer.write(request[-10:])
        received = await exchanges.receive(reader, exchanges.RESPONSE_TIMEOUT_S)
        await stopping
        writer.close()
        return received

    assert [status for status, _ in exchanges.parse(asyncio.run(run()))] == [200]


def test_complete_answer_reaches_a_slow_reader_before_the_stop_ends():
    async def answer(call, sink):
        body = b"x" * ANSWER_SIZE_BYTES
        return result.Success(interface.Response(200, "text/plain", body))

    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_SIZE_BYTES)

    def read_slowly():
        received = b""
        while chunk := client.recv(1_024):
            received += chunk
            time.sleep(0.01)
        return received

    async def run():
        loop = asyncio.get_running_loop()
        running = await server.start(fakes.make_daemon(answer))
        running.listener.sockets[0].setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_SIZE_BYTES
        )
        await loop.run_in_executor(None, client.connect, (HOST, running.port))
        client.sendall(exchanges.make_request(CHAT_PATH, CHAT_BODY))
        await asyncio.sleep(REST_DELAY_S)
        reading = threads.submit(read_slowly)
        await server.stop(running)
        return reading

    # uvloop as in production: it closes the connections when the loop is closed.
    with client, futures.ThreadPoolExecutor(1) as threads:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            reading = runner.run(run())
        received = reading.result(exchanges.RESPONSE_TIMEOUT_S)
    ((status, body),) = exchanges.parse(received)
    assert (status, len(body)) == (200, ANSWER_SIZE_BYTES)


def test_stop_ends_in_time_while_a_call_never_ends():
    async def never_answer(call, sink):
        await asyncio.sleep(3_600.0)

    async def run():
        running = await server.start(fakes.make_daemon(never_answer))
        reader, writer = await asyncio.open_connection(HOST, running.port)
        writer.write(exchanges.make_request(CHAT_PATH, CHAT_BODY))
        await asyncio.sleep(REST_DELAY_S)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await server.stop(running)
        writer.close()

    asyncio.run(run())


def test_call_pipelined_behind_another_is_answered_during_a_stop():
    """Guards against a last response that discards the call behind it."""
    draining = refusals.make_refusal(refusals.Reason.DRAINING, "draining")
    state = {"refusal": None}
    first = exchanges.make_request(
        CHAT_PATH, CHAT_BODY, headers={b"Connection": b"keep-alive"}
    )

    async def answer(call, sink):
        await asyncio.sleep(2 * REST_DELAY_S)
        return result.Success(interface.Response(200, "text/plain", b"whole"))

    async def run():
        daemon = fakes.make_daemon(answer, not_ready=lambda: state["refusal"])
        running = await server.start(daemon)
        reader, writer = await asyncio.open_connection(HOST, running.port)
        writer.write(first + exchanges.make_request(CHAT_PATH, CHAT_BODY))
        await asyncio.sleep(REST_DELAY_S)
        state["refusal"] = draining
        await server.stop(running)
        received = await exchanges.receive(reader, exchanges.RESPONSE_TIMEOUT_S)
        writer.close()
        return received

    statuses = [status for status, _ in exchanges.parse(asyncio.run(run()))]
    assert statuses == [200, 200]


@pytest.mark.parametrize("connects_early", [False, True])
def test_call_received_in_a_stall_before_the_port_closes_is_answered(connects_early):
    request = exchanges.make_request(CHAT_PATH, CHAT_BODY)

    async def run():
        running = await server.start(fakes.make_daemon())
        client = stalls.Client((HOST, running.port), request, connects_early)
        await asyncio.sleep(REST_DELAY_S)
        with stalls.stall(client):
            await asyncio.sleep(stalls.STALL_S / 2)
            await server.stop(running)
        return await client.receive()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        received = runner.run(run())
    assert [status for status, _ in exchanges.parse(received)] == [200]
