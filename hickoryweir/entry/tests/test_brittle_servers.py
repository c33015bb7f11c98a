"""Router processes before servers that fail when they must reject many requests."""

import asyncio
import collections
import contextlib
import itertools
import random

import pytest
from aiohttp import web

from hickoryweir.entry.tests import test_processes as processes
from hickoryweir.entry.tests import test_server_limits as limits
from hickoryweir.forwarding import headers
from hickoryweir.testing.demo import entry_vms

SERVERS_COUNT = 3
SLOTS_COUNT = 6
RUN_S = 0.2
# Requests that a server lets wait, at first and once its room has shrunk.
QUEUE_COUNT = 6
DOWN_S = 2.0
SOUND_S = 2.0
# Routers have this long to heed what servers have just said of themselves.
CONTACT_S = 3.0
MEASURED_S = 8.0
CAPACITY_PER_S = SERVERS_COUNT * SLOTS_COUNT / RUN_S
# Of the time of the slots, once the room has shrunk.
USED_SHARE = 0.9
MAX_REJECTIONS = "X-Server-Max-Rejections"
TABLE = limits.TABLE.replace("[service app]", "[service app]\nslots_count = 6")


class Server:
    """Runs a few requests, lets a few wait, and fails if it rejects too many."""

    def __init__(self, name):
        self.name = name
        self.incarnation = 0
        self.max_rejections = None
        self.queue_count = QUEUE_COUNT
        self.open_count = 0
        self.slots = asyncio.Semaphore(SLOTS_COUNT)
        self.rejected_at_s = collections.deque()
        self.falls_at_s = []
        self.served_at_s = []
        self.port = entry_vms.free_port()
        self.listener = None
        self.is_down = False
        # Servers fail only once routers have had the time to heed them.
        self.is_armed = False
        self.web_server = web.Server(self._answer, access_log=None)

    @property
    def entry(self):
        """Return its entry in the list of servers."""
        return {
            "id": f"{self.name}-{self.incarnation}",
            "service": "app",
            "address": f"{processes.HOSTS[0]}:{self.port}",
            "slots_count": SLOTS_COUNT,
        }

    async def start(self):
        """Start to listen."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            self.web_server, processes.HOSTS[0], self.port
        )

    def _headers(self, request):
        given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
        if self.max_rejections is not None:
            given[MAX_REJECTIONS] = str(self.max_rejections)
        return given

    async def _answer(self, request):
        if self.open_count >= SLOTS_COUNT + self.queue_count:
            self._record_rejection()
            given = self._headers(request) | {headers.NOT_RUN: "1"}
            return web.Response(status=503, headers=given)
        self.open_count += 1
        try:
            async with self.slots:
                await asyncio.sleep(RUN_S)
        finally:
            self.open_count -= 1
        self.served_at_s.append(asyncio.get_running_loop().time())
        return web.Response(text="whole", headers=self._headers(request))

    def _record_rejection(self):
        now_s = asyncio.get_running_loop().time()
        self.rejected_at_s.append(now_s)
        while self.rejected_at_s[0] <= now_s - 1.0:
            self.rejected_at_s.popleft()
        limit = self.max_rejections
        has_fallen = limit is not None and len(self.rejected_at_s) > limit
        if has_fallen and self.is_armed and not self.is_down:
            self.is_down = True
            self.falls_at_s.append(now_s)
            self.rejected_at_s.clear()
            asyncio.get_running_loop().create_task(self._fall())

    async def _fall(self):
        self.listener.close()
        for connection in list(self.web_server.connections):
            connection.force_close()
        await asyncio.sleep(DOWN_S)
        self.incarnation += 1
        await self.start()
        self.is_down = False


async def send_until_cancelled(session, port, rate_per_s, statuses):
    """Send requests to random routers at a rate."""
    chosen, loop = random.Random(40), asyncio.get_running_loop()
    started_s = loop.time()
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            host = chosen.choice(limits.ROUTER_HOSTS)
            url = f"http://{host}:{port}/read/x{number}"
            group.create_task(limits.call(session, url, number, statuses))
            # Sleeps end late beside load; the schedule keeps the rate.
            await asyncio.sleep(started_s + (number + 1) / rate_per_s - loop.time())


@pytest.mark.parametrize("max_rejections", [1, 3])
def test_brittle_servers_do_not_fail_under_overload_and_stay_busy(
    tmp_path, monkeypatch, max_rejections
):
    monkeypatch.setattr(limits, "TABLE", TABLE)

    async def main():
        servers = [Server(f"s{number}") for number in range(SERVERS_COUNT)]
        for server in servers:
            await server.start()
        loop, statuses = asyncio.get_running_loop(), collections.Counter()
        async with limits.run_site(tmp_path, servers) as (
            session,
            values,
            _,
        ):
            rate_per_s = 2.0 * CAPACITY_PER_S
            sending = asyncio.create_task(
                send_until_cancelled(session, values["port"], rate_per_s, statuses)
            )
            await asyncio.sleep(SOUND_S)
            for server in servers:
                server.max_rejections = max_rejections
            await asyncio.sleep(CONTACT_S)
            for server in servers:
                server.queue_count = 0
                server.is_armed = True
            from_s = loop.time() + 1.0
            await asyncio.sleep(1.0 + MEASURED_S)
            sending.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sending
        served_count = sum(
            from_s <= at_s < from_s + MEASURED_S
            for server in servers
            for at_s in server.served_at_s
        )
        falls_count = sum(len(server.falls_at_s) for server in servers)
        share = served_count / (MEASURED_S * CAPACITY_PER_S)
        return falls_count, share, statuses

    falls_count, share, statuses = asyncio.run(main())
    # Two, and a tenth of the servers.
    assert falls_count <= 2 + SERVERS_COUNT / 10, statuses
    assert share >= USED_SHARE, (falls_count, statuses)
