"""Requests that wait in a router when it stops, or when their route changes."""

import asyncio

import pytest
import uvloop

from hickoryweir.forwarding import headers, resumption, server, server_pool
from hickoryweir.forwarding.tests import sites
from hickoryweir.routes import matching, model
from hickoryweir.routes.tests import tables

GRACE_S = 1.5


def run(main):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())


class Busy:
    """A server that names a limit of rejections and answers on release."""

    def __init__(self):
        self.release = asyncio.Event()
        self.calls_count = 0

    async def answer(self, request, body):
        """Answer the first request at once, and the others on release."""
        self.calls_count += 1
        if self.calls_count > 1:
            await self.release.wait()
        limit = {headers.MAX_REJECTIONS: "1"}
        return await sites.answering(**limit)(request, body)


async def fill(site, busy):
    """Send requests until one waits in the router; return those calls."""
    # Of eight slots, one router in eight uses one.
    site.forwarder.pool.routers_count = 8
    await site.call()
    calls = [asyncio.create_task(site.call()) for _ in range(3)]

    def is_waiting():
        waiting = site.forwarder.waiting.get("app")
        return waiting is not None and waiting.urgencies

    await sites.wait_until(is_waiting)
    await sites.wait_until(lambda: busy.calls_count > 1)
    return calls


def replace_table(site, routes):
    """Bring a table with routes to another service into force."""
    services = (tables.make_service("other"),)
    index = matching.make_index(tables.make_table(routes, (), 2, services))
    resumption.apply_table(site.forwarder, index)
    server_pool.update_services(site.forwarder.pool, ["other"])
    site.forwarder.wait_bounds.clear()


def make_route(**changes):
    return tables.make_route(
        allows_anonymous=True, timeout_s=20.0, target_latency_s=20.0, **changes
    )


def test_requests_that_wait_for_room_when_a_stop_begins_are_answered():
    async def main():
        busy = Busy()
        async with sites.run_site([busy.answer], (make_route(),)) as site:
            calls = await fill(site, busy)
            await server.stop(site.running, GRACE_S)
            found = await asyncio.gather(*calls)
            busy.release.set()
            return busy.calls_count, found

    calls_count, found = run(main)
    # The first call has ended; those at the server may have run.
    assert sorted(status for status, _, _ in found) == [502] * (calls_count - 1) + [
        503
    ] * (4 - calls_count)


@pytest.mark.parametrize("change", ["removed", "moved"])
def test_requests_that_wait_when_their_route_changes_are_answered(change):
    async def main():
        busy = Busy()
        async with sites.run_site([busy.answer], (make_route(),)) as site:
            calls = await fill(site, busy)
            destinations = (model.Destination("other", 1),)
            names = {"removed": "other", "moved": "chat"}
            route = make_route(
                name=names[change],
                prefix=f"/{names[change]}/",
                destinations=destinations,
            )
            replace_table(site, (route,))
            await asyncio.sleep(0.1)
            busy.release.set()
            found = await asyncio.gather(*calls)
            return busy.calls_count, found

    calls_count, found = run(main)
    statuses = [status for status, _, _ in found]
    assert statuses.count(200) >= calls_count - 1
    assert set(statuses) <= {200, 503}
