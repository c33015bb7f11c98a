"""Open connections to servers that go silent for good, while new ones work."""

import asyncio
import contextlib
import dataclasses
import itertools
import time

import aiohttp
import pytest
from aiohttp import web

from hickoryweir.forwarding import headers
from hickoryweir.forwarding.tests import sites, test_streams
from hickoryweir.routes import model
from hickoryweir.routes.tests import tables
from hickoryweir.testing import proxies

KEPT_COUNT = 4
TIMEOUT_S = 3.0
TARGET_S = 0.3
# A late response, still before the time at which another server is tried.
SLOW_S = 1.4
EVENTS_COUNT = 3
NUMBERS = itertools.count()
ROUTE_CHANGES = {
    "allows_anonymous": True,
    "timeout_s": TIMEOUT_S,
    "target_latency_s": TARGET_S,
}
ROUTES = (
    tables.make_route(**ROUTE_CHANGES),
    sites.at_most_once_route(
        name="charge",
        prefix="/charge/",
        timeout_s=TIMEOUT_S,
        target_latency_s=TARGET_S,
    ),
    tables.make_route(
        name="stream",
        prefix="/stream/",
        is_stream=True,
        execution=model.Execution.RESUMABLE_STREAM,
        **ROUTE_CHANGES,
    ),
)


@dataclasses.dataclass
class LinkedSite:
    """A router that reaches each server through a link."""

    site: sites.Site
    links: list[proxies.Proxy]


def silence(linked, **directions):
    """Let all open connections to the servers go silent."""
    for link in linked.links:
        proxies.silence_open(link, **directions)


@contextlib.asynccontextmanager
async def run_linked(servers_count):
    """Run a router that keeps several connections to each server."""
    arrived, is_full = [], asyncio.Event()

    async def answer(request, body):
        arrived.append(request)
        if len(arrived) >= servers_count * KEPT_COUNT:
            is_full.set()
        await is_full.wait()
        if request.path.startswith("/stream/"):
            return await stream(request)
        return await sites.answering()(request, body)

    async with (
        sites.run_site([answer] * servers_count, routes=ROUTES) as site,
        contextlib.AsyncExitStack() as stack,
    ):
        links = [
            await stack.enter_async_context(proxies.run_proxy(backend.address))
            for backend in site.backends
        ]
        reached = [
            dataclasses.replace(backend, address=link.address)
            for backend, link in zip(site.backends, links, strict=True)
        ]
        sites.list_servers(site.forwarder, reached)
        found = await asyncio.gather(
            *(call(site) for _ in range(servers_count * KEPT_COUNT))
        )
        assert {status for status, _ in found} == {200}
        assert [link.accepted_count for link in links] == [KEPT_COUNT] * servers_count
        yield LinkedSite(site, links)


async def stream(request):
    """Send events as a server does."""
    response = web.StreamResponse(
        headers={
            headers.REQUEST_ID: request.headers[headers.REQUEST_ID],
            "Content-Type": "text/event-stream",
        }
    )
    await response.prepare(request)
    for number in range(EVENTS_COUNT):
        await response.write(test_streams.make_event(number + 1))
    await response.write_eof()
    return response


async def call(site, path="/chat/x"):
    """Send a request with an id of its own; return its status and its duration."""
    started_s = time.monotonic()
    status, _, _ = await site.call(
        path=path, given={headers.REQUEST_ID: f"r-{next(NUMBERS)}"}
    )
    return status, time.monotonic() - started_s


DIRECTIONS = [
    pytest.param({}, id="both"),
    pytest.param({"backward": False}, id="towards the server"),
    pytest.param({"forward": False}, id="towards the router"),
]


@pytest.mark.parametrize("directions", DIRECTIONS)
def test_silent_connections_cost_one_request_and_not_one_each(directions):
    """Guards against a pool of silent connections that loses as many requests."""

    async def main():
        async with run_linked(1) as linked:
            silence(linked, **directions)
            await call(linked.site)
            found = [await call(linked.site) for _ in range(KEPT_COUNT)]
            return found, proxies.open_silent_count(linked.links[0])

    found, open_count = asyncio.run(main())
    assert [status for status, _ in found] == [200] * KEPT_COUNT
    assert max(duration_s for _, duration_s in found) < TARGET_S
    assert open_count == 0


@pytest.mark.parametrize("directions", DIRECTIONS)
@pytest.mark.parametrize("path", ["/chat/x", "/stream/x"])
def test_request_that_may_run_again_survives_silent_connections(path, directions):
    """Guards against a client that waits to its deadline for a silent connection."""

    async def main():
        async with run_linked(2) as linked:
            silence(linked, **directions)
            return await call(linked.site, path)

    status, duration_s = asyncio.run(main())
    assert status == 200
    assert duration_s < 0.75 * TIMEOUT_S


@pytest.mark.parametrize("directions", DIRECTIONS)
def test_at_most_once_request_on_a_silent_connection_is_not_sent_again(directions):
    """Guards against a second run of a request whose first send may have arrived."""

    async def main():
        async with run_linked(2) as linked:
            silence(linked, **directions)
            charges = [(await call(linked.site, "/charge/x"))[0] for _ in range(3)]
            runs = [
                request.headers[headers.REQUEST_ID]
                for backend in linked.site.backends
                for request, _ in backend.seen
                if request.path.startswith("/charge/")
            ]
            return charges, runs

    statuses, runs = asyncio.run(main())
    assert statuses[0] in (502, 504)
    assert statuses[1:] == [200, 200]
    assert len(runs) == len(set(runs))


@pytest.mark.parametrize("path", ["/chat/x", "/stream/x", "/charge/x"])
def test_slow_response_on_a_sound_connection_is_not_given_up(path):
    """Guards against a late response that is lost to a second send of its request."""
    arrived = []

    async def answer(request, body):
        if request.path != "/health":
            arrived.append(request)
            await asyncio.sleep(SLOW_S if len(arrived) == 1 else TIMEOUT_S)
        if request.path.startswith("/stream/"):
            return await stream(request)
        return await sites.answering()(request, body)

    async def main():
        async with sites.run_site([answer], routes=ROUTES) as site:
            return await call(site, path)

    status, duration_s = asyncio.run(main())
    assert status == 200
    assert duration_s < SLOW_S + TARGET_S
    assert len(arrived) == (1 if path == "/charge/x" else 2)


@pytest.mark.parametrize("directions", DIRECTIONS[::2])
def test_stream_that_goes_silent_after_an_event_ends_truncated(directions):
    """Guards against a stream without its end that looks complete, or never ends."""
    event = test_streams.make_event(1)

    async def answer(request, body):
        response = web.StreamResponse(
            headers={headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
        )
        await response.prepare(request)
        await response.write(event)
        await asyncio.sleep(TARGET_S)
        return response

    async def main():
        async with (
            sites.run_site([answer], routes=ROUTES) as site,
            proxies.run_proxy(site.backends[0].address) as link,
        ):
            reached = dataclasses.replace(site.backends[0], address=link.address)
            sites.list_servers(site.forwarder, [reached])
            asyncio.get_running_loop().call_later(
                TARGET_S / 2, lambda: proxies.silence_open(link, **directions)
            )
            started_s = time.monotonic()
            with pytest.raises(aiohttp.ClientPayloadError):
                await call(site, "/stream/x")
            await sites.wait_until(lambda: not proxies.open_silent_count(link))
            return time.monotonic() - started_s

    assert TIMEOUT_S - 0.1 < asyncio.run(main()) < TIMEOUT_S + 1.0


def test_second_send_is_answered_although_the_first_connection_was_lost():
    """Guards against an error of the router in place of a response that came."""

    async def main():
        arrived, release = [], asyncio.Event()

        async def answer(request, body):
            arrived.append(request)
            if len(arrived) > 1:
                await release.wait()
            return await sites.answering()(request, body)

        async with (
            sites.run_site([answer], routes=ROUTES) as site,
            proxies.run_proxy(site.backends[0].address) as link,
        ):
            reached = dataclasses.replace(site.backends[0], address=link.address)
            sites.list_servers(site.forwarder, [reached])
            assert (await call(site))[0] == 200
            proxies.silence_open(link)
            silent_writers = set(link.writers)
            calling = asyncio.create_task(call(site))
            await sites.wait_until(lambda: len(arrived) > 1)
            for writer in silent_writers:
                writer.transport.abort()
            # The router notices the end of the first connection.
            await asyncio.sleep(0.1)
            release.set()
            return await calling

    status, _ = asyncio.run(main())
    assert status == 200
