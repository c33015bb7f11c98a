"""Equal requests beside servers that fail half of them, with real processes."""

import asyncio
import collections
import contextlib
import itertools
import random

import aiohttp
import pytest
from aiohttp import web

from hickoryweir.entry.tests import test_processes as processes
from hickoryweir.forwarding import errors, headers

ROUTER_HOST = processes.ROUTER_HOST
SERVERS_COUNT = 4
FAULTY_SHARE = 0.5
CLIENTS_COUNT = 12
DURATION_S = 20.0
PAUSE_S = 0.2
EVENTS_COUNT = 10
EVENT_INTERVAL_S = 0.05
MUTE_MIN_S, MUTE_MAX_S = 1.0, 4.0
MAX_REFUSED_SHARE = 0.02
TABLE = """
[table]
version = 1

[service llm]

[route stream]
host = site.example
path_prefix = /stream/
services = llm
execution = resumable_stream
is_stream = yes
timeout_s = 8
target_latency_s = 0.4
target_gap_s = 0.3
max_attempts_count = 2
allows_anonymous = yes

[route plain]
host = site.example
path_prefix = /plain/
services = llm
execution = at_most_once
timeout_s = 8
target_latency_s = 0.4
max_attempts_count = 2
allows_anonymous = yes
"""


class FaultySite:
    """Servers that fail half of the requests, and never end."""

    def __init__(self, faults):
        self._faults = faults
        self._random = random.Random(72)
        self.listed = []

    async def start(self):
        """Start and list the servers."""
        for number in range(SERVERS_COUNT):
            host = processes.HOSTS[0]
            port = await processes.start_server(host, self._serve)
            address = f"{host}:{port}"
            entry = {"id": f"s{number}", "service": "llm", "address": address}
            self.listed.append(entry)

    async def list_servers(self, request):
        """Return the list of servers."""
        return web.json_response({"servers": self.listed})

    async def _serve(self, request):
        if request.path == "/health":
            return web.Response()
        response = web.Response()
        with contextlib.suppress(aiohttp.ClientConnectionResetError):
            response = await self._answer(request)
        return response

    async def _answer(self, request):
        await request.read()
        fault = None
        if self._random.random() < FAULTY_SHARE:
            fault = self._random.choice(self._faults)
        if fault == "mute":
            await asyncio.sleep(self._random.uniform(MUTE_MIN_S, MUTE_MAX_S))
        if fault in ("mute", "reset"):
            request.transport.abort()
            return web.Response()
        given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
        response = web.StreamResponse(headers=given)
        await response.prepare(request)
        first = int(request.headers.get(headers.LAST_EVENT_ID, "0")) + 1
        for number in range(first, EVENTS_COUNT + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            await response.write(b"id: %d\ndata: x\n\n" % number)
            if fault == "broken_off" and number > EVENTS_COUNT // 2:
                request.transport.abort()
                return response
        return response


async def send_equal_requests(session, url, seen):
    """Send equal requests until the time is up, and count what came of them."""
    numbers = itertools.count()
    end_s = asyncio.get_running_loop().time() + DURATION_S

    async def call():
        given = {"Host": "site.example", headers.REQUEST_ID: f"r-{next(numbers)}"}
        async with session.post(url, headers=given, data="hello") as response:
            body = await response.text()
            is_refused = errors.Reason.CRASHES_SERVERS.value in body
            return "refused" if is_refused else str(response.status)

    async def run_client():
        while asyncio.get_running_loop().time() < end_s:
            try:
                seen[await call()] += 1
            except aiohttp.ClientError:
                seen["broken off"] += 1
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(run_client() for _ in range(CLIENTS_COUNT)))


async def run(folder, path, faults):
    """Run a router and three replicas; return what came of the requests."""
    site = FaultySite(faults)
    await site.start()
    list_port = await processes.start_server(processes.HOSTS[0], site.list_servers)
    values = processes.make_values(list_port)
    roles = [*(("replica", host) for host in processes.HOSTS), ("router", ROUTER_HOST)]
    running, seen = [], collections.Counter()
    try:
        for role, host in roles:
            name = f"{role}-{host}"
            running.append(
                await processes.start_process(
                    folder, name, role=role, host=host, **values
                )
            )
        async with aiohttp.ClientSession() as session:
            await wait_until_ready(session, values)
            url = f"http://{ROUTER_HOST}:{values['port']}{path}"
            await send_equal_requests(session, url, seen)
    finally:
        for process in running:
            process.kill()
            await process.wait()
    return seen


async def wait_until_ready(session, values):
    """Put the table, and return once the router serves."""

    async def put():
        url = f"http://{processes.HOSTS[0]}:{values['port']}/table"
        async with session.put(url, data=TABLE) as response:
            return response.status

    async def ask():
        url = f"http://{ROUTER_HOST}:{values['ready_port']}/"
        async with session.get(url) as response:
            return response.status

    await processes.wait_for_result(put, 200)
    await processes.wait_for_result(ask, 200)


FAULTS = [("reset",), ("broken_off",), ("mute",), ("reset", "broken_off", "mute")]


@pytest.mark.parametrize("path", ["/stream/x", "/plain/x"])
@pytest.mark.parametrize("faults", FAULTS, ids="+".join)
def test_equal_requests_beside_faulty_servers_are_not_refused(tmp_path, path, faults):
    """Guards against faults of a server that are taken for crashes by a request."""
    seen = asyncio.run(run(tmp_path, path, faults))
    assert seen["200"], seen
    assert seen["refused"] <= MAX_REFUSED_SHARE * seen.total(), seen
