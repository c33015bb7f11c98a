"""Streams that are taken up at a router which missed that a new version was served."""

import asyncio
import contextlib
import json
import signal
import sys

import pytest

from hickoryweir.entry.tests import test_processes as processes
from hickoryweir.entry.tests import test_stream_versions as streams
from hickoryweir.testing import proxies, waiting

# Clients whose first router is lost come to this one next.
FIRST_HOST, OUT_OF_STEP_HOST, _ = streams.ROUTER_HOSTS
STREAMS_COUNT = 12
# The list reaches a router that is in step within this time.
LISTED_S = 1.1
BEGIN_TIMEOUT_S = 5.0


class Site(streams.Site):
    """A site with links between the middle router and all that tells it of versions."""

    def __init__(self, folder):
        super().__init__(folder)
        self.links = []

    async def start_process(self, role, host):
        """Start a process, the middle router behind its links."""
        if role != "router" or host != OUT_OF_STEP_HOST:
            return await super().start_process(role, host)
        ports = {}
        for replica in processes.HOSTS:
            link = await proxies.start_proxy(
                replica, self.values["peer_port"], host=replica
            )
            self.links.append(link)
            ports[replica] = link.port
        list_host, _, list_port = self.values["list_address"].partition(":")
        link = await proxies.start_proxy(list_host, int(list_port))
        self.links.append(link)
        address = f"{proxies.HOST}:{link.port}"
        values = self.values | {"role": role, "host": host, "list_address": address}
        path = self.folder / f"{role}-{host}.ini"
        path.write_text(processes.SETTINGS.format(folder=self.folder / host, **values))
        ports_path = self.folder / f"{role}-{host}.json"
        ports_path.write_text(json.dumps(ports))
        module = "hickoryweir.entry.tests.linked_router"
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", module, str(path), str(ports_path)),
            stdout=(self.folder / f"{role}-{host}.log").open("wb"),
        )
        self.started.append(process)
        return process

    def cut(self, has_questions_cut):
        """Hold back what reaches the middle router, and what it asks if this is cut."""
        for link in self.links:
            proxies.set_relaying(link.backward, False)
            proxies.set_relaying(link.forward, not has_questions_cut)

    def begin_at(self, host, count):
        """Begin streams at one router."""
        for _ in range(count):
            name = f"c{len(self.clients)}"
            client = streams.Client(self.session, self.values["port"], name, host)
            self.clients.append(client)
            self.tasks.append(asyncio.create_task(client.run()))

    async def wait_until_begun(self):
        """Wait until each stream has its first event."""
        await waiting.wait_until(
            lambda: all(client.versions for client in self.clients), BEGIN_TIMEOUT_S
        )

    async def lose_first_router(self):
        """Let the clients of the first router take their streams up elsewhere."""
        self.routers[FIRST_HOST].kill()
        await self.routers[FIRST_HOST].wait()


@contextlib.asynccontextmanager
async def run_site(folder):
    site = Site(folder)
    try:
        await site.start()
        yield site
    finally:
        await site.close()


@pytest.mark.parametrize("has_questions_cut", [True, False], ids=["whole", "one way"])
def test_router_that_is_cut_off_does_not_join_streams_of_a_version_it_does_not_know(
    tmp_path, has_questions_cut
):
    async def main():
        async with run_site(tmp_path) as site:
            await asyncio.sleep(streams.LIST_READ_S)
            site.cut(has_questions_cut)
            site.listed = site.entries
            await asyncio.sleep(LISTED_S)
            site.begin_at(FIRST_HOST, STREAMS_COUNT)
            await site.wait_until_begun()
            began = [set(client.versions) for client in site.clients]
            await site.lose_first_router()
            await asyncio.gather(*site.tasks)
            return site, began

    site, began = asyncio.run(main())
    assert {"v2"} in began
    assert not site.mixed_streams()


def test_router_that_was_suspended_does_not_join_streams_of_a_version_that_left(
    tmp_path,
):
    async def main():
        async with run_site(tmp_path) as site:
            await asyncio.sleep(streams.LIST_READ_S)
            suspended = site.routers[OUT_OF_STEP_HOST]
            suspended.send_signal(signal.SIGSTOP)
            site.listed = site.entries
            await asyncio.sleep(LISTED_S)
            site.begin_at(FIRST_HOST, STREAMS_COUNT)
            await site.wait_until_begun()
            site.listed = site.entries[:2]
            began = [set(client.versions) for client in site.clients]
            await asyncio.sleep(LISTED_S)
            suspended.send_signal(signal.SIGCONT)
            await site.lose_first_router()
            await asyncio.gather(*site.tasks)
            return site, began

    site, began = asyncio.run(main())
    assert {"v2"} in began
    assert not site.mixed_streams()
