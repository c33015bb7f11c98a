"""The operators' interface for parts of prompts that are blocked."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web

from hickoryweir.entry import parts_app
from hickoryweir.feeds import messages, publisher
from hickoryweir.streams import handshake, hub
from hickoryweir.testing import running

KEY = ("llm", "bad")
CRASHES = tuple(messages.PartCrash(f"s{number}", 1.0 + number) for number in range(3))


@contextlib.asynccontextmanager
async def run_app():
    """Run the interface of a replica that knows of one blocked part."""
    async with aiohttp.ClientSession() as session:
        peer_hub = hub.make_hub(handshake.Identity("test", "a", "z"), running.HOST, 0)
        feed = publisher.make_publisher(peer_hub, lambda: None, session, None)
        part = messages.PartEvidence(*KEY, CRASHES, (1, 2), (), None, None)
        feed.add_evidence([messages.CrashEvidence((part,))])
        app = web.Application()
        parts_app.add_routes(app, feed)
        server = await running.start(app)
        yield server.url + parts_app.PATH, session
        await server.stop()


def test_blocked_parts_are_listed_with_their_crashes():
    async def main():
        async with run_app() as (url, session), session.get(url) as response:
            return await response.json()

    (found,) = asyncio.run(main())
    assert (found["service"], found["part"]) == KEY
    assert [crash["server"] for crash in found["crashes"]] == ["s2", "s1", "s0"]


def test_operator_releases_a_blocked_part_once():
    async def main():
        async with run_app() as (url, session):
            statuses = []
            for _ in range(2):
                async with session.delete(f"{url}/llm/bad") as response:
                    statuses.append(response.status)
            async with session.get(url) as response:
                return statuses, await response.json()

    assert asyncio.run(main()) == ([204, 404], [])
