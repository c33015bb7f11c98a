"""Router and replica processes while a part of prompts crashes each server it reaches.

The bounds are sums over all routers.
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
SERVERS_COUNT = 5
EVENTS_COUNT = 5
EVENT_INTERVAL_S = 0.02
HEAD_TO_CRASH_S = 0.03
RESTART_AFTER_S = 1.0
CRASHING_PART = "c0ffee"
HEALTH_PATH = "/health"
CRASHING_INTERVAL_S = 0.15
SOUND_INTERVAL_S = 0.02
SUBJECTS_COUNT = 12
# Routers have this long to tell each other after the fifth crash.
PROPAGATION_S = 3.0
CRASHES_COUNT = 5
ALLOWED_MORE_COUNT = 3
BEFORE_S = 2.0
AFTER_S = 4.0
TABLE = """
[table]
version = 1

[service llm]

[route chat]
host = site.example
path_prefix = /chat/
services = llm
execution = resumable_stream
is_stream = yes
has_prompt = yes
timeout_s = 6
target_latency_s = 0.4
target_gap_s = 0.3
max_attempts_count = 2
allows_anonymous = yes
"""


class Fleet:
    """Servers that a part of prompts crashes, and what they have seen."""

    def __init__(self, events_before_crash_count):
        self._events_before_crash_count = events_before_crash_count
        self._names = (f"s{number}" for number in itertools.count())
        self._tasks = set()
        self.listed = []
        self.crashed_at_s = []
        self.reached_at_s = []

    async def start_server(self):
        """Start a server and list it."""
        name = next(self._names)

        async def handle(request):
            return await self._serve(request, entry, server, listener)

        server = web.Server(handle, access_log=None)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, processes.HOSTS[0], 0)
        port = listener.sockets[0].getsockname()[1]
        address = f"{processes.HOSTS[0]}:{port}"
        entry = {"id": name, "service": "llm", "address": address}
        self.listed.append(entry)

    async def list_servers(self, request):
        """Return the list of servers."""
        return web.json_response({"servers": self.listed})

    async def _serve(self, request, entry, server, listener):
        response = web.StreamResponse()
        if request.path == HEALTH_PATH and entry in self.listed:
            return response
        with contextlib.suppress(aiohttp.ClientConnectionResetError):
            response = await self._answer(request, entry, server, listener)
        return response

    async def _answer(self, request, entry, server, listener):
        now_s = asyncio.get_running_loop().time()
        is_crashing = CRASHING_PART in request.headers.get(headers.PROMPT, "")
        if is_crashing:
            self.reached_at_s.append(now_s)
        if entry not in self.listed:
            # The connection was accepted in the loop iteration in which it crashed.
            request.transport.abort()
            return web.Response()
        given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
        response = web.StreamResponse(headers=given)
        await response.prepare(request)
        count = self._events_before_crash_count if is_crashing else EVENTS_COUNT
        first = int(request.headers.get(headers.LAST_EVENT_ID, "0")) + 1
        for number in range(first, first + count):
            await asyncio.sleep(EVENT_INTERVAL_S)
            await response.write(b"id: %d\ndata: x\n\n" % number)
        if is_crashing:
            await asyncio.sleep(HEAD_TO_CRASH_S)
            self._crash(entry, server, listener)
        return response

    def _crash(self, entry, server, listener):
        """End a server with all its connections, and start another one later."""
        if entry not in self.listed:
            return
        self.crashed_at_s.append(asyncio.get_running_loop().time())
        self.listed.remove(entry)
        listener.close()
        for connection in server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        task = asyncio.create_task(self._start_later())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start_later(self):
        await asyncio.sleep(RESTART_AFTER_S)
        await self.start_server()

    def reached_later_count(self):
        """Return the crashing requests that came after the fifth crash was known."""
        if len(self.crashed_at_s) < CRASHES_COUNT:
            return 0
        known_s = self.crashed_at_s[CRASHES_COUNT - 1] + PROPAGATION_S
        return sum(at_s > known_s for at_s in self.reached_at_s)


class Site:
    """Three replicas, six routers and clients of them."""

    def __init__(self, folder, values, session):
        self._folder, self._values = folder, values
        self._session = session
        self._numbers = itertools.count()
        self._random = random.Random(36)
        self._calls = set()
        self.processes = {}

    async def start(self, role, host):
        """Start a process."""
        self.processes[host] = await processes.start_process(
            self._folder, f"{role}-{host}", role=role, host=host, **self._values
        )

    async def start_all(self):
        """Start all processes, and return once every router serves."""
        for host in processes.HOSTS:
            await self.start("replica", host)
        for host in ROUTER_HOSTS:
            await self.start("router", host)
        await processes.wait_for_result(self._put, 200)
        for host in ROUTER_HOSTS:
            await self.wait_until_ready(host)

    async def kill(self, hosts):
        """Kill processes without notice."""
        for host in hosts:
            self.processes[host].kill()
            await self.processes[host].wait()

    async def _put(self):
        url = f"http://{processes.HOSTS[0]}:{self._values['port']}/table"
        async with self._session.put(url, data=TABLE) as response:
            return response.status

    async def wait_until_ready(self, host):
        """Return once a router says that it is ready."""

        async def attempt():
            url = f"http://{host}:{self._values['ready_port']}/"
            async with self._session.get(url) as response:
                return response.status

        await processes.wait_for_result(attempt, 200)

    def url_of(self, host):
        """Return where a router takes requests with prompts."""
        return f"http://{host}:{self._values['port']}/chat/x"

    async def _call(self, middle_part, statuses):
        number = next(self._numbers)
        sent = {
            "Host": "site.example",
            headers.REQUEST_ID: f"r-{number}",
            headers.PROMPT: f"m;100;10;common:40,{middle_part}:40,own{number}:20",
        }
        url = self.url_of(self._random.choice(ROUTER_HOSTS))
        try:
            async with self._session.post(
                url, headers=sent, data=str(number)
            ) as response:
                await response.read()
                statuses[response.status] += 1
        except aiohttp.ClientError:
            statuses["broken off"] += 1

    async def send(self, duration_s, has_crashing):
        """Send requests; return the statuses of sound and of crashing ones."""
        sound, crashing = collections.Counter(), collections.Counter()
        loop = asyncio.get_running_loop()
        end_s = next_crashing_s = loop.time()
        end_s += duration_s
        tasks = []
        while loop.time() < end_s:
            subject = f"subject{self._random.randrange(SUBJECTS_COUNT)}"
            tasks.append(asyncio.create_task(self._call(subject, sound)))
            if has_crashing and loop.time() >= next_crashing_s:
                next_crashing_s += CRASHING_INTERVAL_S
                tasks.append(asyncio.create_task(self._call(CRASHING_PART, crashing)))
            await asyncio.sleep(SOUND_INTERVAL_S)
        await asyncio.gather(*tasks)
        return sound, crashing


@contextlib.asynccontextmanager
async def run_site(folder, fleet):
    """Run the processes and servers."""
    for _ in range(SERVERS_COUNT):
        await fleet.start_server()
    list_port = await processes.start_server(processes.HOSTS[0], fleet.list_servers)
    values = processes.make_values(list_port)
    async with aiohttp.ClientSession() as session:
        site = Site(folder, values, session)
        try:
            await site.start_all()
            yield site
        finally:
            for process in site.processes.values():
                if process.returncode is None:
                    process.kill()
                await process.wait()


def begun_share(statuses):
    return statuses[200] / statuses.total()


def run(folder, scenario, events_before_crash_count=0):
    async def main():
        fleet = Fleet(events_before_crash_count)
        async with run_site(folder, fleet) as site:
            return fleet, await scenario(site, fleet)

    return asyncio.run(main())


def test_crashed_server_answers_nothing_on_a_connection_that_it_still_has():
    """Guards against whole answers to a crashing part, which show that it is sound."""

    async def call(session, fleet):
        (entry,) = fleet.listed
        sent = {
            headers.REQUEST_ID: "r-1",
            headers.PROMPT: f"m;100;10;common:40,{CRASHING_PART}:40,own:20",
        }
        url = f"http://{entry['address']}/chat/x"
        # As for a connection that was being accepted when the server crashed.
        fleet.listed.clear()
        async with session.post(url, headers=sent) as response:
            return await response.read()

    async def main():
        fleet = Fleet(0)
        await fleet.start_server()
        async with aiohttp.ClientSession() as session:
            with pytest.raises(aiohttp.ClientError):
                await call(session, fleet)
        return fleet

    fleet = asyncio.run(main())
    assert (len(fleet.reached_at_s), fleet.crashed_at_s) == (1, [])


@pytest.mark.parametrize("events_before_crash_count", [0, 1])
def test_part_that_crashes_servers_is_sent_to_few_more_and_sound_requests_begin(
    tmp_path, events_before_crash_count
):
    async def scenario(site, fleet):
        before, _ = await site.send(BEFORE_S, False)
        await site.send(2 * PROPAGATION_S, True)
        after, _ = await site.send(AFTER_S, True)
        return before, after

    fleet, (before, after) = run(tmp_path, scenario, events_before_crash_count)
    assert fleet.reached_later_count() <= ALLOWED_MORE_COUNT
    assert begun_share(after) >= begun_share(before) / 2


@pytest.mark.parametrize("killed", [ROUTER_HOSTS, processes.HOSTS + ROUTER_HOSTS])
def test_part_that_crashes_servers_stays_known_after_processes_were_killed(
    tmp_path, killed
):
    async def scenario(site, fleet):
        await site.send(2 * PROPAGATION_S, True)
        first_count = len(fleet.crashed_at_s)
        await site.kill(killed)
        for host in killed:
            role = "replica" if host in processes.HOSTS else "router"
            await site.start(role, host)
        for host in ROUTER_HOSTS:
            await site.wait_until_ready(host)
        sound, _ = await site.send(AFTER_S, True)
        return first_count, sound

    fleet, (first_count, sound) = run(tmp_path, scenario)
    assert first_count
    assert fleet.reached_later_count() <= ALLOWED_MORE_COUNT
    assert len(fleet.crashed_at_s) - first_count <= ALLOWED_MORE_COUNT
    assert begun_share(sound) >= 0.5
