"""Tests that the soak's servers break responses off and that its oracle notices."""

import asyncio
import collections

import aiohttp
import pytest

from hickoryweir.forwarding.tests import sites
from hickoryweir.testing.soak import backends, callers, oracle

WHOLE = b"".join(
    backends.make_event("r-1", number) for number in range(backends.EVENTS_COUNT)
)


async def call(kind, fault, count=2):
    """Call a router whose first chosen server breaks its response off.

    Returns the status, the body and how often that server ran the request.
    """
    async with sites.run_site([], routes=(sites.resumable_route(),)) as site:
        servers = [await backends.start(f"server-{number}") for number in range(count)]
        # The router chooses the first of equally loaded servers for this request.
        broken = servers[0]
        broken.fault = fault
        sites.list_servers(site.forwarder, servers)
        try:
            status, _, body = await site.call("GET", f"/chat/{kind}/x", timeout=5.0)
            return status, body, broken.runs["r-1"]
        finally:
            for server in servers:
                server.listener.close()
                server.proxy.server.close()


@pytest.mark.parametrize("fault", backends.TRUNCATIONS)
def test_stream_that_the_only_server_breaks_off_is_not_taken_for_whole(fault):
    try:
        status, body, _ = asyncio.run(call("stream", fault, count=1))
    except aiohttp.ClientPayloadError:
        return
    assert (status, WHOLE in body) == (502, False)


@pytest.mark.parametrize("fault", backends.TRUNCATIONS)
def test_stream_that_one_server_breaks_off_is_whole(fault):
    assert asyncio.run(call("stream", fault)) == (200, WHOLE, 1)


def test_oracle_finds_a_truncated_stream_that_a_caller_took_for_whole():
    truncated = callers.Call("stream", "r-1", "127.0.0.1", 1.0, 2.0, 200)
    found = oracle.check_calls([truncated], collections.Counter({"r-1": 1}))
    assert [item.promise for item in found] == ["each caller gets its own whole answer"]
