"""Servers that crash on a part of prompts."""

import asyncio

import aiohttp
import pytest

from hickoryweir.forwarding import headers
from hickoryweir.testing.soak import notice_servers

PROMPT = {headers.PROMPT: "m;100;10;all:40,bad:40,own:20"}


async def call(session, port, **more):
    url = f"http://{notice_servers.HOST}:{port}/chat/x"
    given = PROMPT | {headers.REQUEST_ID: "127.0.6.1-1"} | more
    async with session.post(url, headers=given) as response:
        return await response.read()


def test_ended_server_answers_nothing_on_a_connection_that_it_still_has():
    async def main():
        fleet = notice_servers.Fleet()
        await notice_servers.start_server(fleet)
        (server,) = fleet.servers
        async with aiohttp.ClientSession() as session:
            assert await call(session, server.port)
            # As for a connection that was being accepted when the server ended.
            fleet.servers.remove(server)
            fleet.crashing_part_ids.add("bad")
            with pytest.raises(aiohttp.ClientError):
                await call(session, server.port)
        server.listener.close()
        return fleet.arrivals, fleet.crashes

    arrivals, crashes = asyncio.run(main())
    assert (len(arrivals), crashes) == (1, [])


def test_server_crashes_once_on_the_part_and_another_one_starts(monkeypatch):
    monkeypatch.setattr(notice_servers, "LIST_LAG_S", 0.01)
    monkeypatch.setattr(notice_servers, "RESTART_S", 0.02)

    async def main():
        fleet = notice_servers.Fleet(crashing_part_ids={"bad"})
        await notice_servers.start_server(fleet)
        port = fleet.servers[0].port
        async with aiohttp.ClientSession() as session:
            ends = await asyncio.gather(
                *(call(session, port) for _ in range(3)), return_exceptions=True
            )
        await asyncio.gather(*fleet.tasks)
        for server in fleet.servers:
            server.listener.close()
        return ends, fleet

    ends, fleet = asyncio.run(main())
    assert all(isinstance(end, aiohttp.ClientError) for end in ends)
    assert [part_id for part_id, _ in fleet.crashes] == ["bad"]
    assert [server.server_id for server in fleet.servers] == ["s1"]
    assert [entry["id"] for entry in fleet.listed] == ["s1"]
