"""Equal requests that crash servers, beside restarts of real processes."""

import asyncio

import aiohttp
import pytest

from hickoryweir.entry.tests import test_crashing_parts as parts
from hickoryweir.entry.tests import test_processes as processes
from hickoryweir.forwarding import headers

BLOCKING_CRASHES_COUNT = 3
ALLOWED_MORE_COUNT = 3
SEND_INTERVAL_S = 0.1
ROUTERS_IN_TURN = [[host] for host in parts.ROUTER_HOSTS]
ALL_AT_ONCE = [[*processes.HOSTS, *parts.ROUTER_HOSTS]]
# The last part of a prompt belongs to one request, so nothing is known of it.
SENT = {
    "Host": "site.example",
    headers.PROMPT: f"m;60;10;common:40,{parts.CRASHING_PART}:20",
}


async def send_again_and_again(site, session):
    """Send the same request to one router after the other until cancelled."""
    number = 0
    while True:
        number += 1
        host = parts.ROUTER_HOSTS[number % len(parts.ROUTER_HOSTS)]
        given = SENT | {headers.REQUEST_ID: f"same-{number}"}
        try:
            async with session.post(
                site.url_of(host), headers=given, data="same"
            ) as response:
                await response.read()
        except aiohttp.ClientError:
            # The router is down, or broke the response off.
            pass
        await asyncio.sleep(SEND_INTERVAL_S)


@pytest.mark.parametrize("groups", [ROUTERS_IN_TURN, ALL_AT_ONCE])
def test_equal_requests_that_crash_servers_stay_known_over_restarts(tmp_path, groups):
    async def scenario(site, fleet):
        async with aiohttp.ClientSession() as session:
            sending = asyncio.create_task(send_again_and_again(site, session))
            await asyncio.sleep(parts.PROPAGATION_S)
            for group in groups:
                await site.kill(group)
                for host in group:
                    role = "replica" if host in processes.HOSTS else "router"
                    await site.start(role, host)
                for host in set(group) & set(parts.ROUTER_HOSTS):
                    await site.wait_until_ready(host)
                await asyncio.sleep(len(parts.ROUTER_HOSTS) * SEND_INTERVAL_S)
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    fleet, _ = parts.run(tmp_path, scenario)
    assert len(fleet.crashed_at_s) >= BLOCKING_CRASHES_COUNT
    known_s = fleet.crashed_at_s[BLOCKING_CRASHES_COUNT - 1] + parts.PROPAGATION_S
    later_count = sum(at_s > known_s for at_s in fleet.reached_at_s)
    assert later_count <= ALLOWED_MORE_COUNT
