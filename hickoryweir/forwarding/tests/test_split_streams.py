"""Streams that clients resume on a route that is split between two services."""

import asyncio
import contextlib
import dataclasses

import pytest

from hickoryweir import clocks
from hickoryweir.discovery import listing
from hickoryweir.feeds import messages
from hickoryweir.forwarding import resumption, server_pool
from hickoryweir.forwarding.tests import sites, test_stream_versions
from hickoryweir.forwarding_policy import stream_versions
from hickoryweir.routes import matching, model
from hickoryweir.routes.tests import tables

SERVICES = ("app", "app2")
TRIES_COUNT = 8
# Weight of a service that gets nearly all requests.
MOST = 1_000_000_000


def make_index(*weights, version=1):
    """Return the index of a table whose route is split by weights."""
    destinations = tuple(
        model.Destination(name, weight)
        for name, weight in zip(SERVICES, weights, strict=False)
    )
    route = dataclasses.replace(sites.resumable_route(), destinations=destinations)
    services = [tables.make_service(name) for name in SERVICES]
    return matching.make_index(
        tables.make_table((route,), version=version, services=services)
    )


@contextlib.asynccontextmanager
async def run_site(*weights):
    """Run a router with a server of each service, whose events name the service."""
    answers = [test_stream_versions.serving(name) for name in SERVICES]
    routes = (sites.resumable_route(),)
    async with sites.run_site(answers, routes, versions=("v1", "v1")) as site:
        forwarder = site.forwarder
        forwarder.route_index = make_index(*weights)
        server_pool.update_services(forwarder.pool, list(SERVICES))
        servers = tuple(
            listing.BackendServer(
                f"s-{name}",
                name,
                backend.address,
                "a",
                listing.ServerState.READY,
                8,
                0.0,
                software_version="v1",
            )
            for name, backend in zip(SERVICES, site.backends, strict=True)
        )
        found = listing.ServerList(servers, clocks.boottime_s())
        server_pool.update_servers(forwarder.pool, found)
        resumption.apply_list(forwarder, found)
        yield site


async def take_up(site, stream_id):
    """Take a stream up several times; return statuses, and services that went on."""
    found = [
        await test_stream_versions.take_up(site, stream_id, request_id=f"r-{number}")
        for number in range(10, 10 + TRIES_COUNT)
    ]
    lines = (test_stream_versions.versions_in(body) for _, _, body in found)
    names = {line.removeprefix(b"data: ").decode() for item in lines for line in item}
    return {status for status, _, _ in found}, names


def runs_count(site):
    return sum(len(backend.seen) for backend in site.backends)


@pytest.mark.parametrize("weights", [(1, 1), (99, 1), (1, 0)])
def test_unknown_stream_of_a_split_route_is_refused_and_not_run(weights):
    """Guards against a stream that goes on with the events of another service."""

    async def main():
        async with run_site(*weights) as site:
            return await take_up(site, "r-unknown"), runs_count(site)

    assert asyncio.run(main()) == (({503}, set()), 0)


def test_stream_of_a_split_route_goes_on_where_it_began_at_another_router():
    """Guards against a split that only the router knows which began the stream."""
    told = []

    async def main():
        async with run_site(MOST, 1) as first, run_site(1, MOST) as second:
            first.forwarder.report_origin = lambda *origin: told.append(origin)

            def ask_origins(keys):
                for name, version, key in told:
                    if key in keys:
                        message = messages.StreamOrigins(name, version, (key,))
                        resumption.apply_origins(second.forwarder, message)

            second.forwarder.ask_origins = ask_origins
            _, _, body = await first.call()
            (began,) = test_stream_versions.versions_in(body)
            return began.removeprefix(b"data: ").decode(), await take_up(second, "r-1")

    began, (statuses, names) = asyncio.run(main())
    assert (statuses, names) == ({200}, {began})


def test_stream_goes_on_where_it_began_before_its_route_was_split():
    """Guards against a change of the table that lets other routers guess."""
    told = []

    async def main():
        async with run_site(1) as site:
            site.forwarder.report_origin = lambda *origin: told.append(origin)
            await site.call()
            assert told == []
            resumption.apply_table(site.forwarder, make_index(1, 99, version=2))
            return await take_up(site, "r-1")

    assert asyncio.run(main()) == ({200}, {"app"})
    assert told[0] == ("app", "v1", stream_versions.stream_key("app", "", "r-1"))


def test_stream_of_a_service_that_its_route_no_longer_uses_is_refused():
    """Guards against a resumption at the service that is left."""

    async def main():
        async with run_site(1, 0) as site:
            await site.call()
            count = runs_count(site)
            resumption.apply_table(site.forwarder, make_index(0, 1, version=2))
            return await take_up(site, "r-1"), runs_count(site) - count

    assert asyncio.run(main()) == (({503}, set()), 0)


def test_unknown_stream_of_a_route_with_one_service_goes_on():
    """Guards against refusals on routes that are not split."""

    async def main():
        async with run_site(1) as site:
            return await take_up(site, "r-unknown")

    assert asyncio.run(main()) == ({200}, {"app"})
