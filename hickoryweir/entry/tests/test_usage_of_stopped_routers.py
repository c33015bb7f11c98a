"""Usage reports after planned stops of routers and replicas."""

import asyncio
import signal
import time

from hickoryweir.entry.tests import duty_processes
from hickoryweir.testing import duty_platform

STOPPED_HOST = duty_processes.ROUTER_HOSTS[0]
# After the start of a window, so that no request is near its edge.
WINDOW_MARGIN_S = 0.3
# Longer than the interval at which counts are sent.
COUNTED_S = 0.6
LONG_WINDOW_S = 20.0
CATCH_UP_S = 1.5


async def stop_router_under_load(site):
    """Stop a router as planned while it serves; return the window of its requests."""
    window_s = duty_processes.WINDOW_S
    number = duty_processes.current_window() + 1
    await asyncio.sleep(number * window_s - time.time() + WINDOW_MARGIN_S)
    load = asyncio.create_task(site.load(120.0, (STOPPED_HOST,), 0.01))
    await asyncio.sleep(COUNTED_S)
    site.signal(STOPPED_HOST, signal.SIGTERM)
    assert await site.processes[STOPPED_HOST].wait() == 0
    load.cancel()
    await asyncio.gather(load, return_exceptions=True)
    return number


async def check_report(site, number):
    """Check that the report of a window has all requests that the server began."""
    await site.wait_for_window(number)
    reported = duty_platform.accepted_usage(site.platform)[number]
    assert reported == site.began_in(number)


def test_router_that_stops_as_planned_loses_no_count(tmp_path):
    async def main():
        async with duty_processes.run_site(tmp_path) as site:
            await site.holder()
            await check_report(site, await stop_router_under_load(site))

    asyncio.run(main())


def test_replicas_that_restart_in_turn_lose_no_count_of_a_stopped_router(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(duty_processes, "WINDOW_S", LONG_WINDOW_S)

    async def main():
        async with duty_processes.run_site(tmp_path) as site:
            leader = await site.holder()
            number = await stop_router_under_load(site)
            others = [host for host in duty_processes.REPLICA_HOSTS if host != leader]
            for host in (*others, leader):
                site.signal(host, signal.SIGTERM)
                assert await site.processes[host].wait() == 0
                await site.start(host, "replica")
                await asyncio.sleep(CATCH_UP_S)
            await check_report(site, number)

    asyncio.run(main())
