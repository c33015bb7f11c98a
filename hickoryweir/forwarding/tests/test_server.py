"""Stopping a router's port, and the balancer's questions."""

import asyncio

import aiohttp

from hickoryweir.forwarding import server
from hickoryweir.forwarding.tests import sites

HOST = sites.HOST


def test_stop_lets_an_open_request_end_and_closes_idle_connections():
    release = asyncio.Event()

    async def held(request, body):
        await release.wait()
        return await sites.answering()(request, body)

    async def main():
        async with sites.run_site([held]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            call = asyncio.create_task(site.call())
            await sites.wait_until(lambda: site.backends[0].seen)
            stopping = asyncio.create_task(server.stop(site.running, 5.0))
            async with asyncio.timeout(2.0):
                idle_end = await reader.read()
            writer.close()
            release.set()
            status, given, body = await call
            await stopping
            return idle_end, status, body

    assert asyncio.run(main()) == (b"", 200, b"whole")


def test_draining_router_closes_connections_after_their_answer():
    async def main():
        async with sites.run_site([sites.answering()]) as site:
            site.forwarder.is_draining = True
            return (await site.call())[1].get("Connection")

    assert asyncio.run(main()) == "close"


def test_readiness_follows_table_and_draining():
    async def ask(port):
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{HOST}:{port}/readiness") as reply,
        ):
            return reply.status

    async def main():
        async with sites.run_site([]) as site:
            made = site.forwarder
            port = await server.start_readiness(made, HOST, 0)
            found = [await ask(port)]
            made.is_draining = True
            found.append(await ask(port))
            made.is_draining, made.directory = False, None
            found.append(await ask(port))
            return found

    assert asyncio.run(main()) == [200, 503, 503]
