"""Router and replica processes while a server names a limit for all of them together.

The bound is a sum over all routers.
"""

import asyncio
import collections
import contextlib
import itertools
import random

import aiohttp
import pytest
from aiohttp import web

from hickoryweir.entry.tests import test_processes as processes
from hickoryweir.forwarding import headers

ROUTER_HOSTS = tuple(f"127.0.0.{number}" for number in range(4, 10))
SERVERS_COUNT = 4
# None, so that calls don't wait for each other.
CONNECTIONS_LIMIT = 0
CALL_INTERVAL_S = 0.02
# Routers have this long to heed a limit that a server has just named.
PROPAGATION_S = 3.0
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_MORE_COUNT = 5
LIMITED_S = 9.0
FREE_S = 6.0
TABLE = """
[table]
version = 1

[service app]

[route read]
host = site.example
path_prefix = /read/
services = app
execution = idempotent
timeout_s = 3
target_latency_s = 0.4
max_attempts_count = 2
allows_anonymous = yes
"""


class Server:
    """A server that names a limit, and the times at which requests reached it."""

    def __init__(self, name):
        self.name = name
        self.limit = None
        self.address = ""
        self.reached_at_s = []

    @property
    def entry(self):
        """Return its entry in the list of servers."""
        return {"id": self.name, "service": "app", "address": self.address}

    async def start(self):
        """Start to listen."""
        port = await processes.start_server(processes.HOSTS[0], self._answer)
        self.address = f"{processes.HOSTS[0]}:{port}"

    async def _answer(self, request):
        self.reached_at_s.append(asyncio.get_running_loop().time())
        given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
        if self.limit is not None:
            given[headers.LIMIT] = f"{self.limit:g}"
        await asyncio.sleep(0.02)
        return web.Response(text="whole", headers=given)

    def reached_count(self, from_s, to_s):
        """Return the requests that came in a span of time."""
        return sum(from_s <= at_s < to_s for at_s in self.reached_at_s)

    def most_in_window(self, from_s, to_s):
        """Return the most requests that came within `WINDOW_S` in a span of time."""
        starts = [at_s for at_s in self.reached_at_s if from_s <= at_s < to_s]
        return max(
            (self.reached_count(at_s, min(at_s + WINDOW_S, to_s)) for at_s in starts),
            default=0,
        )


async def call(session, url, number, statuses):
    """Send one request, and count its status."""
    sent = {"Host": "site.example", headers.REQUEST_ID: f"r-{number}"}
    try:
        async with session.get(url, headers=sent) as response:
            await response.read()
            statuses[response.status] += 1
    except aiohttp.ClientError:
        statuses["broken off"] += 1


async def send_until_cancelled(session, port, statuses):
    """Send requests to random routers."""
    chosen = random.Random(36)
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            url = f"http://{chosen.choice(ROUTER_HOSTS)}:{port}/read/x"
            group.create_task(call(session, url, number, statuses))
            await asyncio.sleep(CALL_INTERVAL_S)


@contextlib.asynccontextmanager
async def run_site(folder, servers):
    """Run three replicas and six routers; yield session, ports and processes."""

    async def list_servers(request):
        return web.json_response({"servers": [server.entry for server in servers]})

    list_port = await processes.start_server(processes.HOSTS[0], list_servers)
    values = processes.make_values(list_port)
    started = {}
    try:
        for role, hosts in (("replica", processes.HOSTS), ("router", ROUTER_HOSTS)):
            for host in hosts:
                started[host] = await processes.start_process(
                    folder, f"{role}-{host}", role=role, host=host, **values
                )
        connector = aiohttp.TCPConnector(limit=CONNECTIONS_LIMIT)
        async with aiohttp.ClientSession(connector=connector) as session:

            async def put():
                url = f"http://{processes.HOSTS[0]}:{values['port']}/table"
                async with session.put(url, data=TABLE) as response:
                    return response.status

            async def are_ready():
                for host in ROUTER_HOSTS:
                    url = f"http://{host}:{values['ready_port']}/"
                    async with session.get(url) as response:
                        if response.status != 200:
                            return False
                return True

            await processes.wait_for_result(put, 200)
            await processes.wait_for_result(are_ready, True)
            yield session, values, started
    finally:
        for process in started.values():
            if process.returncode is None:
                process.kill()
            await process.wait()


def allowed_count(limit):
    return ALLOWED_FACTOR * limit * WINDOW_S + ALLOWED_MORE_COUNT


@pytest.mark.parametrize(("limit", "kills_replica"), [(1.0, False), (5.0, True)])
def test_server_gets_no_more_than_its_limit_from_all_routers_and_most_of_it(
    tmp_path, limit, kills_replica
):
    async def main():
        servers = [Server(f"s{number}") for number in range(SERVERS_COUNT)]
        for server in servers:
            await server.start()
        limited, statuses = servers[0], collections.Counter()
        loop = asyncio.get_running_loop()
        async with run_site(tmp_path, servers) as (session, values, started):
            port = values["port"]
            sending = asyncio.create_task(send_until_cancelled(session, port, statuses))
            await asyncio.sleep(1.0)
            limited.limit, named_s = limit, loop.time()
            await asyncio.sleep(PROPAGATION_S)
            if kills_replica:
                started[processes.HOSTS[0]].kill()
            await asyncio.sleep(LIMITED_S)
            limited.limit, ended_s = None, loop.time()
            await asyncio.sleep(FREE_S)
            sending.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sending
        bound_s = named_s + PROPAGATION_S
        most = limited.most_in_window(bound_s, ended_s)
        used = limited.reached_count(bound_s, ended_s) / (ended_s - bound_s)
        free = limited.reached_count(ended_s + FREE_S - 2.0, ended_s + FREE_S) / 2.0
        return most, used, free, statuses

    most, used, free, statuses = asyncio.run(main())
    assert most <= allowed_count(limit)
    assert used >= limit / 2
    # A quarter of 50 requests a second is its share without a limit.
    assert free >= 6.0
    assert statuses[200] >= 0.99 * statuses.total()


def test_server_that_names_a_limit_of_zero_is_found_again_when_it_takes_requests(
    tmp_path,
):
    async def main():
        servers = [Server("s0")]
        await servers[0].start()
        loop = asyncio.get_running_loop()
        statuses = collections.Counter()
        async with run_site(tmp_path, servers) as (session, values, _):
            port = values["port"]
            servers[0].limit = 0.0
            sending = asyncio.create_task(send_until_cancelled(session, port, statuses))
            await asyncio.sleep(PROPAGATION_S)
            from_s = loop.time()
            await asyncio.sleep(LIMITED_S)
            servers[0].limit, to_s = None, loop.time()
            await asyncio.sleep(LIMITED_S)
            sending.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sending
            end_s = loop.time()
        most = servers[0].most_in_window(from_s, to_s)
        return most, servers[0].reached_count(end_s - 1.0, end_s)

    most, returned_count = asyncio.run(main())
    assert most <= allowed_count(0.0)
    assert returned_count >= 25
