"""Tests of the shutdown of a router's port, and of its readiness."""

import asyncio

import aiohttp
import uvloop
from aiohttp import web

from hickoryweir.forwarding import headers, server
from hickoryweir.forwarding.tests import sites
from hickoryweir.observability import latencies
from hickoryweir.routes.tests import tables

HOST = sites.HOST


def test_stop_lets_an_open_request_end_and_closes_idle_connections():
    release = asyncio.Event()

    async def delayed(request, body):
        await release.wait()
        return await sites.answering()(request, body)

    async def main():
        async with sites.run_site([delayed]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            call = asyncio.create_task(site.call())
            await sites.wait_until(lambda: site.backends[0].seen)
            stopping = asyncio.create_task(server.stop(site.running, 5.0))
            async with asyncio.timeout(2.0):
                idle_end = await reader.read()
            writer.close()
            release.set()
            status, given, body = await call
            await stopping
            return idle_end, status, body

    assert asyncio.run(main()) == (b"", 200, b"whole")


def test_draining_router_closes_connections_after_their_response():
    async def main():
        async with sites.run_site([sites.answering()]) as site:
            site.forwarder.is_draining = True
            return (await site.call())[1].get("Connection")

    assert asyncio.run(main()) == "close"


def test_readiness_follows_table_and_draining():
    async def ask(port):
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{HOST}:{port}/readiness") as response,
        ):
            return response.status

    async def main():
        async with sites.run_site([]) as site:
            forwarder = site.forwarder
            port = await server.start_readiness(forwarder, HOST, 0)
            found = [await ask(port)]
            forwarder.is_draining = True
            found.append(await ask(port))
            forwarder.is_draining, forwarder.route_index = False, None
            found.append(await ask(port))
            return found

    assert asyncio.run(main()) == [200, 503, 503]


def test_request_that_arrives_as_the_port_closes_is_answered():
    head = "POST /chat/x HTTP/1.1\r\nHost: site.example\r\nContent-Length: 0\r\n\r\n"

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            await site.call()
            await sites.wait_until(lambda: not site.running.server.connections)
            reader, writer = await asyncio.open_connection(HOST, site.port)
            await sites.wait_until(lambda: site.running.server.connections)
            (connection,) = site.running.server.connections
            connection.data_received(head.encode())
            # After one iteration the request is queued and its handler not started.
            await asyncio.sleep(0)
            await server.stop(site.running, 1.0)
            response = await reader.read()
            writer.close()
            return response, site.forwarder.last_attempt_number

    # uvloop as in production: its order of events exposes the fault.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        response, attempts_count = runner.run(main())
    assert response.startswith(b"HTTP/1.1 200 ")
    assert response.endswith(b"whole")
    assert attempts_count == 2


def test_stop_logs_each_aborted_request_and_what_it_waits_for(caplog):
    async def stalled(request, body):
        response = web.StreamResponse(headers={headers.REQUEST_ID: "r-7"})
        await response.prepare(request)
        await response.write(b"id: 4\ndata: x\n\n")
        await asyncio.sleep(sites.WAIT_S)

    async def main():
        routes = (sites.resumable_route(),)
        async with sites.run_site([stalled], routes) as site:
            call = asyncio.create_task(site.call(given={headers.REQUEST_ID: "r-7"}))
            await sites.wait_until(lambda: site.backends[0].seen)
            await server.stop(site.running, 0.3)
            await asyncio.gather(call, return_exceptions=True)

    with caplog.at_level("INFO"):
        asyncio.run(main())
    entries = [record.args[0] for record in caplog.records if record.args]
    aborted = [
        entry.fields
        for entry in entries
        if entry.message == "request aborted by the stop"
    ]
    assert [fields.request_id for fields in aborted] == ["r-7"]
    assert aborted[0].backend_server == "s0"
    assert "waits for the end of the stream" in aborted[0].detail
    assert "at event 4" in aborted[0].detail


def test_stop_logs_requests_queued_behind_an_aborted_stream(caplog):
    head = "GET /chat/x HTTP/1.1\r\nHost: site.example\r\n{}: {}\r\n\r\n"

    async def stalled(request, body):
        response = web.StreamResponse(headers={headers.REQUEST_ID: "r-1"})
        await response.prepare(request)
        await response.write(b"id: 1\ndata: x\n\n")
        await asyncio.sleep(sites.WAIT_S)

    async def main():
        routes = (sites.resumable_route(),)
        async with sites.run_site([stalled], routes) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(head.format(headers.REQUEST_ID, "r-1").encode())
            await reader.readuntil(b"data: x")
            writer.write(head.format(headers.REQUEST_ID, "r-2").encode())
            await asyncio.sleep(0.1)
            await server.stop(site.running, 0.3)
            writer.close()

    with caplog.at_level("INFO"):
        asyncio.run(main())
    entries = [record.args[0] for record in caplog.records if record.args]
    aborted = [
        entry.fields.request_id
        for entry in entries
        if entry.message == "request aborted by the stop"
    ]
    assert aborted == ["r-1", "r-2"]


def test_stop_answers_a_request_that_no_server_has_answered():
    async def silent(request, body):
        await asyncio.sleep(sites.WAIT_S)

    async def main():
        async with sites.run_site([silent]) as site:
            call = asyncio.create_task(site.call())
            await sites.wait_until(lambda: site.backends[0].seen)
            await server.stop(site.running, 0.5)
            return await call

    status, given, body = asyncio.run(main())
    assert (status, body) == (502, b"stopped_unanswered\n")
    assert given["Connection"] == "close"


def test_stop_answers_a_request_whose_body_is_incomplete():
    head = "POST /chat/x HTTP/1.1\r\nHost: site.example\r\nContent-Length: 9\r\n\r\n"

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(f"{head}half".encode())
            await sites.wait_until(lambda: site.forwarder.open_requests)
            await server.stop(site.running, 0.5)
            response = await reader.read()
            writer.close()
            return response, site.forwarder.last_attempt_number

    response, attempts_count = asyncio.run(main())
    assert response.startswith(b"HTTP/1.1 503 ")
    assert response.endswith(b"stopping\n")
    assert b"\r\nRetry-After: " in response
    assert attempts_count == 0


def test_body_that_arrives_after_the_port_closed_is_read():
    head = "POST /chat/x HTTP/1.1\r\nHost: site.example\r\nContent-Length: 9\r\n\r\n"

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(f"{head}half".encode())
            await sites.wait_until(lambda: site.forwarder.open_requests)
            stopping = asyncio.create_task(server.stop(site.running, 3.0))
            await sites.wait_until(lambda: not site.running.listener.is_serving())
            writer.write(b" more")
            response = await reader.read()
            writer.close()
            await stopping
            return response, [body for _, body in site.backends[0].seen]

    response, bodies = asyncio.run(main())
    assert response.startswith(b"HTTP/1.1 200 ")
    assert bodies == [b"half more"]


def test_stop_waits_for_a_slow_reader_of_a_complete_response():
    text = "x" * 3_000_000

    async def main():
        async with sites.run_site([sites.answering(text=text)]) as site:
            reader, writer = await sites.open_slow_reader(site.port)
            writer.write(b"GET /chat/x HTTP/1.1\r\nHost: site.example\r\n\r\n")
            await sites.wait_until(lambda: site.backends[0].seen)
            # Longer than the response takes to pass from the router to its sockets.
            await asyncio.sleep(0.3)
            stopping = asyncio.create_task(server.stop(site.running, 5.0))
            await asyncio.sleep(0.3)
            is_stopped_early = stopping.done()
            response = await reader.read()
            writer.close()
            await stopping
            return is_stopped_early, len(response.partition(b"\r\n\r\n")[2])

    assert asyncio.run(main()) == (False, len(text))


def test_request_queued_behind_an_open_stream_is_answered_by_a_stop():
    head = "GET /chat/{} HTTP/1.1\r\nHost: site.example\r\n{}: r-{}\r\n{}\r\n"
    short_time = f"{headers.TIME_LEFT}: 1.0\r\n"
    release = asyncio.Event()

    async def stream(request, body):
        request_id = request.headers[headers.REQUEST_ID]
        response = web.StreamResponse(headers={headers.REQUEST_ID: request_id})
        await response.prepare(request)
        await response.write(b"id: 1\ndata: " + request_id.encode() + b"\n\n")
        await release.wait()
        return response

    async def main():
        routes = (sites.resumable_route(),)
        async with sites.run_site([stream], routes) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(head.format(1, headers.REQUEST_ID, 1, "").encode())
            await reader.readuntil(b"data: r-1")
            writer.write(head.format(2, headers.REQUEST_ID, 2, short_time).encode())
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(server.stop(site.running, 2.0))
            await asyncio.sleep(0.1)
            release.set()
            rest = await reader.read()
            writer.close()
            await stopping
            return rest

    rest = asyncio.run(main())
    assert b"data: r-2" in rest
    assert rest.endswith(b"0\r\n\r\n")
    assert rest.count(b"Connection: close") == 1


def test_stopping_router_refuses_only_requests_that_cannot_end_in_time():
    async def main():
        routes = (
            tables.make_route(allows_anonymous=True, timeout_s=30.0),
            tables.make_route("new", "/new/", allows_anonymous=True, timeout_s=30.0),
            tables.make_route("long", "/long/", allows_anonymous=True, timeout_s=30.0),
            tables.make_route("due", "/due/", allows_anonymous=True, timeout_s=0.5),
        )
        async with sites.run_site([sites.answering()], routes) as site:
            record = site.forwarder.metrics.latencies.record
            record("chat", latencies.Interval.ANSWER, 0.5)
            record("long", latencies.Interval.ANSWER, 5.0)
            server.begin_stop(site.forwarder, 2.0)
            return {
                name: await site.call(path=f"/{name}/x")
                for name in ("chat", "new", "long", "due")
            }

    found = asyncio.run(main())
    statuses = {name: status for name, (status, _, _) in found.items()}
    assert statuses == {"chat": 200, "new": 503, "long": 503, "due": 200}
    assert found["long"][2] == b"stopping\n"
    assert float(found["long"][1]["Retry-After"]) < 1.0


def test_client_that_waits_for_100_continue_is_told_to_go_on():
    head = (
        "POST /chat/x HTTP/1.1\r\nHost: site.example\r\n"
        "Content-Length: 4\r\nExpect: 100-continue\r\n\r\n"
    )

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(head.encode())
            async with asyncio.timeout(sites.WAIT_S):
                interim = await reader.readuntil(b"\r\n\r\n")
            writer.write(b"body")
            response = await reader.readuntil(b"whole")
            writer.close()
            return interim, response, [body for _, body in site.backends[0].seen]

    interim, response, bodies = asyncio.run(main())
    assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
    assert response.startswith(b"HTTP/1.1 200 ")
    assert bodies == [b"body"]


def test_refused_request_is_not_told_to_send_its_body():
    head = (
        "POST /elsewhere/x HTTP/1.1\r\nHost: site.example\r\n"
        "Content-Length: 4\r\nExpect: 100-continue\r\n\r\n"
    )

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(head.encode())
            response = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return response

    assert asyncio.run(main()).startswith(b"HTTP/1.1 404 ")
