"""Kept connections that go silent for good, while new ones work."""

import asyncio
import contextlib
import itertools

import pytest
from aiohttp import web
from returns import result

from hickoryweir.discovery import listing, poller
from hickoryweir.engines import calls, client, orders, reads, reports, sessions
from hickoryweir.engines.tests import benches
from hickoryweir.policy import events
from hickoryweir.services import calls as service_calls
from hickoryweir.services import client as service_client
from hickoryweir.testing import proxies, running
from hickoryweir.weights import client as weights_client

KEPT_COUNT = 4
TIMEOUT_S = 0.4
NUMBERS = itertools.count()
DIRECTIONS = [
    pytest.param({}, id="both"),
    pytest.param({"backward": False}, id="towards the server"),
    pytest.param({"forward": False}, id="towards the client"),
]


@contextlib.asynccontextmanager
async def run_link(session):
    """Run a server that all readers understand, behind a link with kept connections."""
    arrived, is_full = [], asyncio.Event()

    async def answer(request):
        arrived.append(request.path)
        if len(arrived) >= KEPT_COUNT:
            is_full.set()
        await is_full.wait()
        request_id = request.headers.get("X-Request-Id", "")
        body = {
            "rate_bytes_per_s": 1.0,
            "available_bytes": 1.0,
            "version": 1,
            "vms": [],
            "status": "ok",
            "id": request_id,
        }
        return web.json_response(body, headers={"X-Request-Id": request_id})

    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", answer)
    served = await running.start(app)
    try:
        target_address = served.url.removeprefix("http://")
        async with proxies.run_proxy(target_address) as link:
            url = f"http://{link.address}"
            await asyncio.gather(
                *(reads.read_bytes(session, url, TIMEOUT_S) for _ in range(KEPT_COUNT))
            )
            yield link, url, arrived
    finally:
        await served.stop()


async def read_document(session, url):
    read = await reads.read_bytes(session, f"{url}/load", TIMEOUT_S)
    return isinstance(read, result.Success)


async def probe_service(session, url):
    server = benches.make_server(url)
    settings = reports.ReportSettings(timeout_s=TIMEOUT_S)
    watcher = reports.make_watcher(session, lambda message: None, settings)
    return await reports.probe(watcher, server)


async def read_vms(session, url):
    read = await poller.fetch(session, url, TIMEOUT_S)
    return isinstance(read, result.Success)


async def read_rate(session, url):
    read = await weights_client.fetch_rate(session, url, TIMEOUT_S)
    return isinstance(read, result.Success)


async def read_list(session, url):
    source = listing.Source(
        lambda token: f"{url}/instances",
        lambda body: result.Success(listing.Page((), None)),
    )
    return isinstance(await listing.read_all(session, source), result.Success)


async def call_engine(session, url):
    call = calls.EngineCall(f"r{next(NUMBERS)}", "/v1/completions", b"{}", False, 0)
    timeouts = calls.EngineTimeouts(read_timeout_s=TIMEOUT_S)
    server = benches.make_server(url)
    found = await client.complete(session, server, call, timeouts)
    if not isinstance(found, result.Success):
        assert found.failure().cause is events.FailureCause.TIMED_OUT
    return isinstance(found, result.Success)


@pytest.mark.parametrize("directions", DIRECTIONS)
@pytest.mark.parametrize(
    "read",
    [read_document, probe_service, read_vms, read_rate, read_list, call_engine],
)
def test_silent_connections_cost_one_read_and_not_one_each(read, directions):
    """Guards against a sound server that counts as down for as many reads."""

    async def main():
        async with (
            sessions.make_session(keeps_connections=True) as session,
            run_link(session) as (link, url, _),
        ):
            assert link.accepted_count == KEPT_COUNT
            proxies.silence_open(link, **directions)
            has_read = [await read(session, url) for _ in range(3)]
            return has_read, proxies.open_silent_count(link)

    assert asyncio.run(main()) == ([False, True, True], 0)


def test_each_call_to_a_service_has_a_connection_of_its_own():
    """Guards against a call whose outcome is unknown since its connection is silent."""

    async def call_service(session, url, number):
        call = service_calls.ServiceCall(
            f"r{number}", "POST", "/pay", "", (), b"{}", f"k{number}"
        )
        server = benches.make_server(url)
        forwarded = await service_client.forward(session, server, call)
        return isinstance(forwarded, result.Success)

    async def main():
        async with (
            sessions.make_session() as session,
            run_link(session) as (link, url, arrived),
        ):
            has_run = []
            for number in range(3):
                has_run.append(await call_service(session, url, number))
                proxies.silence_open(link)
            return has_run, arrived.count("/pay")

    assert asyncio.run(main()) == ([True] * 3, 3)


def test_order_is_not_sent_over_a_silent_connection():
    """Guards against an engine without orders for as long as a load may take."""

    async def main():
        async with (
            sessions.make_session(keeps_connections=True) as session,
            run_link(session) as (link, url, arrived),
        ):
            proxies.silence_open(link)
            order = orders.Order("1/2", "engine-1", 1, orders.OrderKind.LOAD_MODEL)
            server = benches.make_server(url)
            await orders.send(session, server, order, lambda: True, TIMEOUT_S)
            return arrived.count("/orders")

    assert asyncio.run(main()) == 1
