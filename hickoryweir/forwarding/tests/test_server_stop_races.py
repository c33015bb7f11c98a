"""Tests of races between the stop of a router's port and the requests on it."""

import asyncio
import socket
import threading
import time

import pytest
import uvloop
from aiohttp import web

from hickoryweir.forwarding import (
    exchange,
    forwarder,
    headers,
    open_requests,
    server,
)
from hickoryweir.forwarding.tests import sites
from hickoryweir.observability import latencies
from hickoryweir.routes.tests import tables

HOST = sites.HOST
HEAD = "GET /chat/{0} HTTP/1.1\r\nHost: site.example\r\n{1}: r-{0}\r\n{2}\r\n"
# Of a request that a router takes during its stop.
SHORT_TIME = f"{headers.TIME_LEFT}: 1.0\r\n"


def make_head(number: int, more: str = "") -> bytes:
    """Return a request without a body."""
    return HEAD.format(number, headers.REQUEST_ID, more).encode()


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


def test_request_read_as_a_kept_stream_ends_is_answered_by_a_stop(monkeypatch):
    release = asyncio.Event()
    serve = forwarder.serve

    async def serve_before_more_data(router, request, open_request):
        response = await serve(router, request, open_request)
        if request.path == "/chat/1":
            # uvloop reads between the return of the handler and its caller's step.
            asyncio.get_running_loop().call_soon(
                request.protocol.data_received, make_head(2, SHORT_TIME)
            )
        return response

    monkeypatch.setattr(forwarder, "serve", serve_before_more_data)

    async def main():
        async def answer(request, body):
            return await stream_one_event(request, release)

        routes = (sites.resumable_route(),)
        async with sites.run_site([answer], routes) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(make_head(1))
            head = await reader.readuntil(b"data: r-1")
            stopping = asyncio.create_task(server.stop(site.running, 2.0))
            await asyncio.sleep(0.1)
            release.set()
            rest = await reader.read()
            writer.close()
            await stopping
            return head, rest

    head, rest = asyncio.run(main())
    assert b"Connection: close" not in head
    assert b"data: r-2" in rest


def test_stop_receives_the_rest_of_a_request_that_began_behind_another():
    release = asyncio.Event()

    async def main():
        async def answer(request, body):
            return await stream_one_event(request, release)

        routes = (sites.resumable_route(),)
        async with sites.run_site([answer], routes) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(make_head(1))
            await reader.readuntil(b"data: r-1")
            second = make_head(2, SHORT_TIME)
            writer.write(second[:20])
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(server.stop(site.running, 2.0))
            await asyncio.sleep(0.1)
            release.set()
            await reader.readuntil(b"0\r\n\r\n")
            # Longer than the interval at which a stop closes idle connections.
            await asyncio.sleep(0.2)
            writer.write(second[20:])
            rest = await reader.read()
            writer.close()
            await stopping
            return rest

    assert b"data: r-2" in asyncio.run(main())


def test_request_on_a_connection_opened_before_the_port_closes_is_answered():
    """Guards against a close that crosses the first request on a connection."""

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            stopping = asyncio.create_task(server.stop(site.running, 3.0))
            await asyncio.sleep(2 * server.STOP_CHECK_INTERVAL_S)
            writer.write(make_head(1))
            response = await reader.read()
            writer.close()
            await stopping
            return response

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(main()).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("iterations_count", range(5))
def test_connection_accepted_as_the_port_closes_is_not_served_after_the_stop(
    iterations_count,
):
    async def main():
        async with sites.run_site([sites.answering()]) as site:
            site.forwarder.metrics.latencies.record(
                "chat", latencies.Interval.ANSWER, 0.1
            )
            sock = socket.create_connection((HOST, site.port))
            sock.sendall(make_head(1))
            for _ in range(iterations_count):
                await asyncio.sleep(0)
            await server.stop(site.running, 1.0)
            attempts_count = site.forwarder.last_attempt_number
            # The process goes on for as long as it closes its other parts.
            await asyncio.sleep(0.3)
            sock.close()
            return attempts_count, site.forwarder.last_attempt_number

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        at_stop_count, later_count = runner.run(main())
    assert later_count == at_stop_count


def test_complete_request_behind_a_slow_reader_is_no_slow_header():
    text = "x" * 3_000_000

    async def main():
        async with sites.run_site([sites.answering(text=text)]) as site:
            reader, writer = await sites.open_slow_reader(site.port)
            writer.write(make_head(1))
            await sites.wait_until(lambda: site.backends[0].seen)
            await asyncio.sleep(0.3)
            writer.write(make_head(2))
            stopping = asyncio.create_task(server.stop(site.running, 6.0))
            # Longer than the limit on the time that headers take.
            await asyncio.sleep(4.2)
            response = await reader.read()
            writer.close()
            await stopping
            return response

    response = asyncio.run(main())
    assert response.count(b"HTTP/1.1 200 ") == 2
    assert response.count(b"x") >= 2 * len(text)


def test_stop_logs_a_complete_response_that_its_client_has_not_read(caplog):
    async def main():
        async with sites.run_site([sites.answering(text="x" * 3_000_000)]) as site:
            reader, writer = await sites.open_slow_reader(site.port)
            writer.write(make_head(1))
            await sites.wait_until(lambda: site.backends[0].seen)
            await asyncio.sleep(0.3)
            await server.stop(site.running, 0.5)
            writer.transport.abort()

    with caplog.at_level("INFO"):
        asyncio.run(main())
    entries = [record.args[0] for record in caplog.records if record.args]
    aborted = [
        entry.fields.request_id
        for entry in entries
        if entry.message == "request aborted by the stop"
    ]
    assert aborted == ["r-1"]


def test_stopping_router_forwards_a_short_request_whose_body_came_slowly():
    head = "POST /chat/1 HTTP/1.1\r\nHost: site.example\r\nContent-Length: 9\r\n\r\n"

    async def main():
        routes = (tables.make_route(allows_anonymous=True, timeout_s=30.0),)
        async with sites.run_site([sites.answering()], routes) as site:
            record = site.forwarder.metrics.latencies.record
            record("chat", latencies.Interval.ANSWER, 0.1)
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(f"{head}half".encode())
            await sites.wait_until(lambda: site.forwarder.open_requests)
            (request,) = site.forwarder.open_requests.values()
            request.received_at_s -= 5.0
            stopping = asyncio.create_task(server.stop(site.running, 4.8))
            await asyncio.sleep(0.1)
            writer.write(b" more")
            response = await reader.read()
            writer.close()
            await stopping
            return response

    assert asyncio.run(main()).startswith(b"HTTP/1.1 200 ")


def test_stopping_router_forwards_short_requests_beside_one_stuck_request():
    release = asyncio.Event()

    async def answer(request, body):
        if request.path == "/chat/stuck":
            await release.wait()
        return await sites.answering()(request, body)

    async def main():
        routes = (tables.make_route(allows_anonymous=True, timeout_s=30.0),)
        async with sites.run_site([answer], routes) as site:
            for _ in range(200):
                site.forwarder.metrics.latencies.record(
                    "chat", latencies.Interval.ANSWER, 0.1
                )
            stuck = asyncio.create_task(site.call(path="/chat/stuck"))
            await sites.wait_until(lambda: site.backends[0].seen)
            (request,) = site.forwarder.open_requests.values()
            request.received_at_s -= 8.0
            server.begin_stop(site.forwarder, 7.4)
            statuses = [(await site.call())[0] for _ in range(5)]
            release.set()
            await stuck
            return statuses

    assert asyncio.run(main()) == [200] * 5


def test_connection_kept_by_a_stream_serves_the_next_request_while_the_port_is_open():
    release = asyncio.Event()

    async def main():
        async def answer(request, body):
            return await stream_one_event(request, release)

        routes = (sites.resumable_route(),)
        async with sites.run_site([answer], routes) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(make_head(1))
            head = await reader.readuntil(b"data: r-1")
            server.begin_stop(site.forwarder, 5.0)
            release.set()
            await reader.readuntil(b"0\r\n\r\n")
            writer.write(make_head(2))
            try:
                rest = await reader.read()
            except ConnectionError:
                rest = b""
            writer.close()
            return head, rest

    head, rest = asyncio.run(main())
    assert b"Connection: close" not in head
    assert rest.startswith(b"HTTP/1.1 200 ")
    assert b"Connection: close" in rest


async def start_stream(site):
    """Send request 1; return its connection once the stream has begun."""
    reader, writer = await asyncio.open_connection(HOST, site.port)
    writer.write(make_head(1))
    await reader.readuntil(b"data: r-1")
    return reader, writer


def test_request_sent_in_a_stop_behind_a_stream_that_outlives_it_is_not_read(caplog):
    release = asyncio.Event()

    async def main():
        async def answer(request, body):
            return await stream_one_event(request, release)

        async with sites.run_site([answer], (sites.resumable_route(),)) as site:
            reader, writer = await start_stream(site)
            stopping = asyncio.create_task(server.stop(site.running, 1.0))
            await asyncio.sleep(0.1)
            writer.write(make_head(2))
            # A reset tells the client that the router left bytes unread.
            with pytest.raises(ConnectionResetError):
                await reader.read()
            await stopping
            release.set()
            writer.close()

    runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
    with caplog.at_level("INFO"), runner:
        runner.run(main())
    entries = [record.args[0] for record in caplog.records if record.args]
    assert "queued behind another request" not in [
        entry.fields.detail for entry in entries
    ]


def test_request_sent_in_a_stop_behind_a_stream_is_answered_after_it():
    release = asyncio.Event()

    async def main():
        async def answer(request, body):
            return await stream_one_event(request, release)

        async with sites.run_site([answer], (sites.resumable_route(),)) as site:
            reader, writer = await start_stream(site)
            stopping = asyncio.create_task(server.stop(site.running, 3.0))
            await asyncio.sleep(0.1)
            writer.write(make_head(2))
            await asyncio.sleep(0.2)
            release.set()
            rest = await reader.read()
            writer.close()
            await stopping
            return rest

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        rest = runner.run(main())
    assert b"data: r-2" in rest


@pytest.mark.parametrize("has_next", [False, True])
def test_request_of_a_client_that_leaves_during_a_stop_is_ended(has_next):
    async def silent(request, body):
        await asyncio.sleep(sites.WAIT_S)

    async def main():
        async with sites.run_site([silent]) as site:
            _, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(make_head(1))
            await sites.wait_until(lambda: site.backends[0].seen)
            stopping = asyncio.create_task(server.stop(site.running, 4.0))
            await asyncio.sleep(0.1)
            if has_next:
                writer.write(make_head(2))
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.3)
            open_count = len(site.forwarder.open_requests)
            await stopping
            return open_count

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(main()) == 0


def test_answer_during_a_stop_is_not_discarded_by_an_unread_request():
    text = "x" * 200_000

    async def main():
        async def answer(request, body):
            await asyncio.sleep(0.3)
            return await sites.answering(text=text)(request, body)

        async with sites.run_site([answer]) as site:
            reader, writer = await sites.open_slow_reader(site.port)
            writer.write(make_head(1))
            await sites.wait_until(lambda: site.backends[0].seen)
            stopping = asyncio.create_task(server.stop(site.running, 4.0))
            await asyncio.sleep(0.1)
            writer.write(make_head(2))
            response = await reader.read()
            writer.close()
            await stopping
            return response

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        response = runner.run(main())
    assert response.count(b"HTTP/1.1 200 ") == 2
    assert response.count(b"x") >= 2 * len(text)


@pytest.mark.parametrize("iterations_count", range(5))
def test_stop_answers_requests_that_it_gave_up_before_a_stall_of_the_event_loop(
    monkeypatch, iterations_count
):
    give_up, release = open_requests.give_up, asyncio.Event()

    def stall(iterations_left_count):
        if iterations_left_count:
            loop = asyncio.get_running_loop()
            loop.call_soon(stall, iterations_left_count - 1)
            return
        # Longer than the margin in which the final responses are written.
        time.sleep(0.4)

    def give_up_and_stall(request):
        asyncio.get_running_loop().call_soon(stall, iterations_count)
        give_up(request)

    monkeypatch.setattr(open_requests, "give_up", give_up_and_stall)

    async def silent(request, body):
        await release.wait()

    async def main():
        async with sites.run_site([silent]) as site:
            call = asyncio.create_task(site.call())
            # Until the router asks the server whether it has a slot.
            await sites.wait_until(lambda: len(site.backends[0].seen) > 1)
            await server.stop(site.running, 0.5)
            response = await call
            release.set()
            return response

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        status, _, body = runner.run(main())
    assert (status, body) == (502, b"stopped_unanswered\n")


def respond_after(listener, delay_s):
    """Answer one request on a thread, which a stall of the event loop does not stop."""
    connection, _ = listener.accept()
    connection.recv(65_536)
    time.sleep(delay_s)
    head = f"HTTP/1.1 200 OK\r\n{headers.REQUEST_ID}: r-1\r\nContent-Length: 5\r\n\r\n"
    connection.sendall(f"{head}whole".encode())
    connection.close()


@pytest.mark.parametrize("began_s", [0.30, 0.31, 0.32, 0.33, 0.34])
def test_response_that_arrives_during_a_stall_of_a_stopping_router_is_delivered(
    began_s,
):
    async def main(listener):
        async with sites.run_site([]) as site:
            address = f"{HOST}:{listener.getsockname()[1]}"
            sites.list_servers(site.forwarder, [sites.Backend("s0", address, None, [])])
            call = asyncio.create_task(site.call())
            await sites.wait_until(lambda: site.forwarder.open_requests)
            # From before the response until after requests are given up.
            asyncio.get_running_loop().call_later(began_s, time.sleep, 0.6)
            await server.stop(site.running, 1.0)
            return await call

    with socket.create_server((HOST, 0)) as listener:
        thread = threading.Thread(target=respond_after, args=(listener, 0.6))
        thread.start()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            status, _, body = runner.run(main(listener))
        thread.join()
    assert (status, body) == (200, b"whole")
