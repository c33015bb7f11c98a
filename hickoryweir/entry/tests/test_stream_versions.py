"""Router and replica processes while servers of two software versions serve streams."""

import asyncio
import collections
import itertools

import aiohttp
from aiohttp import web

from hickoryweir.entry.tests import test_processes as processes
from hickoryweir.forwarding import headers

ROUTER_HOSTS = ("127.0.0.4", "127.0.0.5", "127.0.0.6")
EVENTS_COUNT = 30
EVENT_INTERVAL_S = 0.04
STREAMS_COUNT = 36
# The list is read every 0.8 s.
LIST_READ_S = 1.2
CLIENT_DEADLINE_S = 6.0
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
timeout_s = 6
target_latency_s = 0.4
target_gap_s = 0.3
max_attempts_count = 2
allows_anonymous = yes
"""


def serving(version):
    """Return a handler whose events name the software version that wrote them."""

    async def answer(request):
        given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
        response = web.StreamResponse(headers=given)
        await response.prepare(request)
        first = int(request.headers.get(headers.LAST_EVENT_ID, "0")) + 1
        for number in range(first, EVENTS_COUNT + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            await response.write(b"id: %d\ndata: %b\n\n" % (number, version.encode()))
        return response

    return answer


class Client:
    """A client that takes its stream up at other routers until it is whole."""

    def __init__(self, session, port, name, first_host):
        hosts = itertools.cycle(ROUTER_HOSTS)
        self._hosts = itertools.dropwhile(lambda host: host != first_host, hosts)
        self._session, self._port, self._name = session, port, name
        self._stream_id = ""
        self.last_id = 0
        self.versions = set()
        self.outcomes = collections.Counter()

    async def run(self):
        """Send tries until the stream is whole or the deadline has passed."""
        try:
            async with asyncio.timeout(CLIENT_DEADLINE_S):
                for number in itertools.count():
                    await self._try(f"{self._name}-{number}", next(self._hosts))
                    if self.last_id == EVENTS_COUNT:
                        return
        except TimeoutError:
            self.outcomes["given up"] += 1

    async def _try(self, request_id, host):
        given = {"Host": "site.example", headers.REQUEST_ID: request_id}
        is_resumed = self.last_id > 0
        if is_resumed:
            given[headers.LAST_EVENT_ID] = str(self.last_id)
            given[headers.RESUMED_STREAM_ID] = self._stream_id
        url = f"http://{host}:{self._port}/chat/x"
        try:
            async with self._session.get(url, headers=given) as response:
                if response.status != 200:
                    self.outcomes["refused" if is_resumed else "not begun"] += 1
                    await asyncio.sleep(float(response.headers["Retry-After"]))
                    return
                if is_resumed:
                    self.outcomes["goes on"] += 1
                await self._read(response, request_id)
        except aiohttp.ClientError:
            await asyncio.sleep(EVENT_INTERVAL_S)

    async def _read(self, response, request_id):
        async for line in response.content:
            name, _, value = line.strip().partition(b": ")
            if name == b"id":
                assert int(value) == self.last_id + 1
                self.last_id = int(value)
                self._stream_id = self._stream_id or request_id
            elif name == b"data":
                self.versions.add(value.decode())


async def start_servers(versions):
    """Start a server for each version; return its entries in the list."""
    entries = []
    for number, version in enumerate(versions):
        port = await processes.start_server(processes.HOSTS[0], serving(version))
        address = f"{processes.HOSTS[0]}:{port}"
        entries.append(
            {
                "id": f"s{number}",
                "service": "llm",
                "address": address,
                "software_version": version,
            }
        )
    return entries


def test_streams_of_killed_routers_go_on_at_their_software_version(tmp_path):
    async def main():
        entries = await start_servers(["v1", "v1", "v2", "v2"])
        listed = entries[:2]

        async def list_servers(request):
            return web.json_response({"servers": listed})

        list_port = await processes.start_server(processes.HOSTS[0], list_servers)
        values = processes.make_values(list_port)
        port, ready_port = values["port"], values["ready_port"]

        async def start(role, host):
            name = f"{role}-{host}"
            return await processes.start_process(
                tmp_path, name, role=role, host=host, **values
            )

        replicas = [await start("replica", host) for host in processes.HOSTS]
        routers = {host: await start("router", host) for host in ROUTER_HOSTS}
        started = [*replicas, *routers.values()]
        try:
            async with aiohttp.ClientSession() as session:

                async def put():
                    url = f"http://{processes.HOSTS[0]}:{port}/table"
                    async with session.put(url, data=TABLE) as response:
                        return response.status

                async def is_ready(host):
                    async with session.get(f"http://{host}:{ready_port}/") as response:
                        return response.status

                await processes.wait_for_result(put, 200)
                for host in ROUTER_HOSTS:
                    await processes.wait_for_result(
                        lambda host=host: is_ready(host), 200
                    )
                clients, tasks = [], []

                def begin_streams(count):
                    for number in range(count):
                        name, host = f"c{len(clients)}", ROUTER_HOSTS[number % 3]
                        clients.append(Client(session, port, name, host))
                        tasks.append(asyncio.create_task(clients[-1].run()))

                # Some streams begin before the second version is listed.
                begin_streams(STREAMS_COUNT // 3)
                listed.extend(entries[2:])
                await asyncio.sleep(LIST_READ_S)
                begin_streams(STREAMS_COUNT // 3)
                await asyncio.sleep(LIST_READ_S / 2)
                routers[ROUTER_HOSTS[0]].kill()
                begin_streams(STREAMS_COUNT // 3)
                started.append(await start("router", ROUTER_HOSTS[0]))
                await asyncio.sleep(LIST_READ_S / 2)
                routers[ROUTER_HOSTS[1]].kill()
                await asyncio.gather(*tasks)
        finally:
            for process in started:
                if process.returncode is None:
                    process.kill()
                await process.wait()
        return clients

    clients = asyncio.run(main())
    assert not [client.versions for client in clients if len(client.versions) != 1]
    outcomes = sum((client.outcomes for client in clients), collections.Counter())
    assert outcomes["goes on"] >= 12
    assert outcomes["goes on"] > outcomes["refused"]
    assert not outcomes["given up"]
