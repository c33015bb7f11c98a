"""A router that reaches no server sends requests through another one."""

import asyncio
import contextlib
import dataclasses
import time

import aiohttp
import multidict
import pytest
from aiohttp import web

from hickoryweir import clocks
from hickoryweir.forwarding import (
    headers,
    relay_messages,
    relay_pool,
    relay_port,
    server,
    server_pool,
    server_reachability,
)
from hickoryweir.forwarding.tests import sites, test_streams
from hickoryweir.forwarding_policy import relays, server_notices
from hickoryweir.routes import model
from hickoryweir.routes.tests import tables
from hickoryweir.testing import proxies
from hickoryweir.testing.demo import entry_vms

KEY = "demo-key"


@dataclasses.dataclass
class Pair:
    """A router that reaches no server, and one that relays for it."""

    near: sites.Site
    far: sites.Site
    relay: server.RunningServer


def cut_off(site):
    """Make a router's servers unreachable, as after failed connections."""
    pool = site.forwarder.pool
    for view in pool.servers.values():
        address = f"{sites.HOST}:{entry_vms.free_port()}"
        view.listed = dataclasses.replace(view.listed, address=address)
        server_reachability.record_unreachable(pool, view, "a", time.monotonic())


def introduce(site, relay):
    """Name a router's relay, as replicas do."""
    pool = site.forwarder.relays
    pool.port = relay.listener.sockets[0].getsockname()[1]
    relay_pool.update_named(pool, "replica", (relays.Router(sites.HOST, "a"),))


@contextlib.asynccontextmanager
async def run_pair(answers, routes=None, **options):
    async with (
        sites.run_site(answers, routes, **options) as near,
        sites.run_site(answers, routes, **options) as far,
    ):
        relay = await relay_port.start(far.forwarder, sites.HOST, 0)
        cut_off(near)
        introduce(near, relay)
        yield Pair(near, far, relay)
        await server.stop(relay, 0.1)


def runs_count(site):
    return sum(len(backend.seen) for backend in site.backends)


async def stream_events(request, count, interval_s):
    response = web.StreamResponse(
        headers={
            headers.REQUEST_ID: request.headers[headers.REQUEST_ID],
            "Content-Type": "text/event-stream",
        }
    )
    await response.prepare(request)
    for number in range(1, count + 1):
        await response.write(f"id: {number}\ndata: x\n\n".encode())
        await asyncio.sleep(interval_s)
    await response.write_eof()
    return response


def test_plain_request_is_relayed_whole_and_without_its_message():
    async def main():
        async with run_pair([sites.answering()]) as pair:
            found = await pair.near.call(data=b"abc")
            (request, body), *_ = pair.far.backends[0].seen
            return found, dict(request.headers), body

    (status, given, text), sent, body = asyncio.run(main())
    assert (status, text, body) == (200, b"whole", b"abc")
    assert relay_messages.HEADER not in given
    assert relay_messages.HEADER not in sent
    assert sent[headers.SERVER_ID] == "s0"


def test_relayed_request_never_meets_a_silent_connection():
    """Guards against a request that waits on a connection kept from an earlier one."""

    async def main():
        async with run_pair([sites.answering()]) as pair:
            pool = pair.near.forwarder.relays
            target_address = f"{sites.HOST}:{pool.port}"
            async with proxies.run_proxy(target_address) as link:
                pool.port = int(link.address.rpartition(":")[2])
                pool.by_host.clear()
                relay_pool.update_named(
                    pool, "replica", (relays.Router(sites.HOST, "a"),)
                )
                found = []
                for number in range(4):
                    given = {headers.REQUEST_ID: f"r-{number}"}
                    started_s = time.monotonic()
                    status = (await pair.near.call(given=given))[0]
                    found.append((status, time.monotonic() - started_s < 0.5))
                    proxies.silence_open(link)
                await sites.wait_until(lambda: not proxies.open_silent_count(link))
                return found

    assert asyncio.run(main()) == [(200, True)] * 4


def test_events_of_a_relayed_stream_are_forwarded_as_they_come():
    async def answer(request, body):
        return await stream_events(request, 4, 0.1)

    async def main():
        async with run_pair([answer], (sites.resumable_route(),)) as pair:
            url = f"http://{sites.HOST}:{pair.near.port}/chat/x"
            sent = {"Host": "site.example", headers.REQUEST_ID: "r-1"}
            times_s = []
            async with pair.near.client.post(url, headers=sent) as response:
                async for chunk in response.content.iter_any():
                    times_s.append(time.monotonic())
                    assert chunk.count(b"data:") <= 1
            return times_s

    times_s = asyncio.run(main())
    assert len(times_s) == 4
    assert times_s[-1] - times_s[0] > 0.25


def test_relayed_stream_does_not_end_as_complete_by_a_response_without_content():
    """Guards against a truncated stream that looks whole to its client."""
    answers = [test_streams.streaming(break_after=2), sites.answering(204, None)]

    async def main():
        in_turn = test_streams.answering_in_turn(*answers)
        async with run_pair([in_turn] * 2, (sites.resumable_route(),)) as pair:
            await pair.near.call()

    with pytest.raises(aiohttp.ClientPayloadError):
        asyncio.run(main())


def test_request_is_refused_at_once_when_all_routers_are_cut_off():
    async def main():
        async with run_pair([sites.answering()]) as pair:
            relay = await relay_port.start(pair.near.forwarder, sites.HOST, 0)
            cut_off(pair.far)
            introduce(pair.far, relay)
            started_s = time.monotonic()
            found = []
            for number in range(10):
                site = (pair.near, pair.far)[number % 2]
                found.append((await site.call())[0])
            took_s = time.monotonic() - started_s
            await server.stop(relay, 0.1)
            return found, took_s

    found, took_s = asyncio.run(main())
    assert found == [503] * 10
    assert took_s < 2.0


def test_request_is_never_relayed_twice_when_each_router_believes_in_the_other():
    async def main():
        async with run_pair([sites.answering()]) as pair:
            relay = await relay_port.start(pair.near.forwarder, sites.HOST, 0)
            cut_off(pair.far)
            introduce(pair.far, relay)
            for site in (pair.near, pair.far):
                site.forwarder.relays.wanted_until_s = clocks.boottime_s() + 60.0
                for known in site.forwarder.relays.by_host.values():
                    status = relay_messages.RelayStatus(("app",), 0)
                    relay_pool.record_status(known, status, clocks.boottime_s())
                    known.asked_at_s = clocks.boottime_s() + 60.0
            status, given, _ = await pair.near.call()
            sent = pair.near.forwarder.metrics.relayed.labels("sent", "NotRun")
            back = pair.far.forwarder.metrics.relayed.labels("sent", "NotRun")
            await server.stop(relay, 0.1)
            counts = (sent._value.get(), back._value.get())
            return status, given["Retry-After"], counts

    status, retry_after, counts = asyncio.run(main())
    assert status == 503
    assert float(retry_after) > 0
    assert counts == (1, 0)


def test_at_most_once_request_runs_once_when_the_relay_ends_its_connection():
    async def main():
        async def answer(request, body):
            for connection in list(pair.relay.server.connections):
                connection.client_transport.abort()
            await asyncio.sleep(0.05)
            return await sites.answering()(request, body)

        async with run_pair([answer, answer], (sites.at_most_once_route(),)) as pair:
            status, _, _ = await pair.near.call()
            await asyncio.sleep(0.3)
            return status, runs_count(pair.far) + runs_count(pair.near)

    assert asyncio.run(main()) == (502, 1)


@pytest.mark.parametrize("reason", ["503", "closed"])
def test_relayed_request_that_no_server_has_run_is_refused_as_not_run(reason):
    async def main():
        async def refuse(request, body):
            if reason == "closed":
                request.transport.abort()
            given = {headers.REQUEST_ID: "r-1", headers.NOT_RUN: "1"}
            return web.Response(status=503, headers=given)

        async with run_pair([refuse], (sites.at_most_once_route(),)) as pair:
            return (await pair.near.call())[0]

    assert asyncio.run(main()) == (503 if reason == "503" else 502)


def test_relay_checks_the_key_of_a_request_with_a_forged_message():
    routes = (tables.make_route(),)
    accounts = (model.ClientAccount("parents", (KEY,), 1),)

    async def main():
        async with run_pair([sites.answering()], routes, accounts=accounts) as pair:
            port = pair.relay.listener.sockets[0].getsockname()[1]
            given = multidict.CIMultiDict()
            message = relay_messages.RelayedRequest(
                "1", "10.0.0.1", 5.0, 0, "app", 9, "", None
            )
            relay_messages.write(given, message)
            found = []
            for key in ("wrong", KEY):
                sent = {"Host": "site.example", headers.REQUEST_ID: "r-1"}
                sent |= dict(given) | {"Authorization": f"Bearer {key}"}
                url = f"http://{sites.HOST}:{port}/chat/x"
                async with pair.far.client.post(url, headers=sent) as response:
                    found.append(response.status)
            sent = {"Authorization": f"Bearer {KEY}"}
            found.append((await pair.near.call(given=sent))[0])
            sent = {"Authorization": "Bearer wrong"} | dict(given)
            found.append((await pair.near.call(given=sent))[0])
            return found, runs_count(pair.far)

    assert asyncio.run(main()) == ([401, 200, 200, 401], 2)


def test_relay_with_an_older_table_refuses_a_request():
    async def main():
        async with run_pair([sites.answering()]) as pair:
            index = pair.near.forwarder.route_index
            newer = dataclasses.replace(index.table, version=index.table.version + 1)
            pair.near.forwarder.route_index = dataclasses.replace(index, table=newer)
            status = (await pair.near.call())[0]
            return status, runs_count(pair.far)

    assert asyncio.run(main()) == (503, 0)


def test_client_that_leaves_ends_its_relayed_request_at_the_server():
    async def main():
        ended = asyncio.Event()
        transports = []

        async def answer(request, body):
            transports.append(request.transport)
            await ended.wait()
            return web.Response()

        async with run_pair([answer]) as pair:
            calling = asyncio.create_task(pair.near.call())
            await sites.wait_until(lambda: transports)
            calling.cancel()
            async with asyncio.timeout(0.5):
                await sites.wait_until(transports[0].is_closing)
            ended.set()

    asyncio.run(main())


def test_planned_stop_of_a_relay_answers_what_it_relays():
    async def main():
        async def answer(request, body):
            await asyncio.sleep(0.5)
            return await sites.answering()(request, body)

        async with run_pair([answer]) as pair:
            calling = asyncio.create_task(pair.near.call())
            await sites.wait_until(lambda: runs_count(pair.far))
            await server.stop(pair.relay, 2.0)
            return (await calling)[0]

    assert asyncio.run(main()) == 200


def test_stream_that_could_outlast_the_stop_of_its_relay_is_not_cut():
    async def answer(request, body):
        count = 30 if request.path.endswith("long") else 1
        return await stream_events(request, count, 0.1)

    async def main():
        route = tables.make_route(allows_anonymous=True, is_stream=True, timeout_s=30.0)
        async with run_pair([answer], (route,)) as pair:
            await pair.near.call(path="/chat/short", given={headers.REQUEST_ID: "r-0"})
            # The router that sends it has not heard of the stop.
            server.begin_stop(pair.far.forwarder, 1.0)
            calling = asyncio.create_task(pair.near.call(path="/chat/long"))
            await asyncio.sleep(0.1)
            await server.stop(pair.relay, 0.9)
            return (await calling)[0], runs_count(pair.far)

    assert asyncio.run(main()) == (503, 1)


def test_stopping_or_full_relay_is_not_used():
    async def main():
        found = []
        async with run_pair([sites.answering()]) as pair:
            pair.far.forwarder.relays.relayed_count = relays.MAX_RELAYED_COUNT
            found.append((await pair.near.call())[0])
            pair.far.forwarder.relays.relayed_count = 0
            pair.near.forwarder.relays.wanted_until_s = 0.0
            await asyncio.sleep(0.6)
            found.append((await pair.near.call())[0])
            pair.far.forwarder.is_draining = True
            await asyncio.sleep(relays.FRESH_S)
            pair.near.forwarder.relays.wanted_until_s = 0.0
            found.append((await pair.near.call())[0])
            pair.far.forwarder.is_draining = False
        return found

    assert asyncio.run(main()) == [503, 200, 503]


def test_pause_binds_the_relay_and_leaving_binds_both():
    async def answer(request, body):
        given = {headers.REQUEST_ID: "r-1", headers.LEAVING: "1"}
        return web.Response(headers=given)

    async def refuse(request, body):
        given = {headers.REQUEST_ID: "r-1", headers.NOT_RUN: "1", "Retry-After": "5"}
        return web.Response(status=503, headers=given)

    async def main():
        found = []
        for behaviour in (answer, refuse):
            async with run_pair([behaviour]) as pair:
                await pair.near.call()
                for site in (pair.near, pair.far):
                    notices = site.forwarder.pool.servers["s0"].notices
                    is_leaving = notices.leaving_since_s is not None
                    found.append((is_leaving, notices.paused_until_s > 0.0))
        return found

    assert asyncio.run(main()) == [
        (True, False),
        (True, False),
        (False, False),
        (False, True),
    ]


def test_pause_of_a_reachable_server_is_not_passed_by_through_a_relay():
    async def main():
        async with run_pair([sites.answering()] * 2) as pair:
            pool = pair.near.forwarder.pool
            view = pool.servers["s1"]
            server_reachability.record_reachable(view)
            paused = server_notices.record_pause(view.notices, 5.0, clocks.boottime_s())
            server_pool.record_notices(pool, view, paused)
            status = (await pair.near.call())[0]
            return status, runs_count(pair.far)

    assert asyncio.run(main()) == (503, 0)
