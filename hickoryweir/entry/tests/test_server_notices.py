"""Router and replica processes while backend servers leave, pause and are replaced."""

import asyncio
import collections

import aiohttp
from aiohttp import web

from hickoryweir.entry.tests import test_processes as processes
from hickoryweir.forwarding import headers
from hickoryweir.testing.soak import backends

SERVERS_COUNT = 3
CALLERS_COUNT = 4
CALL_INTERVAL_S = 0.01
# The list still has a server as ready for this time after it has said that it leaves.
LIST_LAG_S = 1.0
PAUSE_S = 1.5
# A router has this long to heed a pause; two requests may cross it after that.
PAUSE_SLACK_S = 0.5
ALLOWED_IN_PAUSE_COUNT = 2


async def call_repeatedly(session, port, name, statuses) -> None:
    """Send requests until cancelled, and count their statuses."""
    number = 0
    while True:
        number += 1
        sent = {"Host": "site.example", headers.REQUEST_ID: f"{name}-{number}"}
        url = f"http://{processes.ROUTER_HOST}:{port}/balance/7"
        async with session.get(url, headers=sent) as response:
            is_whole = await response.text() == backends.make_body(f"{name}-{number}")
            statuses[response.status, is_whole] += 1
        await asyncio.sleep(CALL_INTERVAL_S)


async def replace_in_series(servers, listed):
    """Replace each server, and let one of the others pause meanwhile."""
    for number, leaving in enumerate(servers[:SERVERS_COUNT]):
        successor = await backends.start(f"server-{SERVERS_COUNT + number}")
        servers.append(successor)
        listed.append(successor)
        leaving.is_leaving = True
        servers[number + 1].pause_s = PAUSE_S
        await asyncio.sleep(LIST_LAG_S)
        listed.remove(leaving)
        await asyncio.sleep(PAUSE_S)


def test_servers_that_leave_or_pause_in_series_get_nothing_and_callers_are_served(
    tmp_path,
):
    async def main():
        servers = [await backends.start(f"server-{n}") for n in range(SERVERS_COUNT)]
        listed = list(servers)
        statuses = collections.Counter()

        async def list_servers(request):
            return web.json_response(backends.list_document(listed))

        list_port = await processes.start_server(processes.HOSTS[0], list_servers)
        values = processes.make_values(list_port)
        port, ready_port = values["port"], values["ready_port"]
        started = [
            await processes.start_process(
                tmp_path, f"{role}-{host}", role=role, host=host, **values
            )
            for role, host in (
                *(("replica", host) for host in processes.HOSTS),
                ("router", processes.ROUTER_HOST),
            )
        ]
        table = processes.EXAMPLE.read_text().replace("app:9, app2:1", "app")
        try:
            async with aiohttp.ClientSession() as session:

                async def put():
                    url = f"http://{processes.HOSTS[0]}:{port}/table"
                    async with session.put(url, data=table) as response:
                        return response.status

                async def is_ready():
                    url = f"http://{processes.ROUTER_HOST}:{ready_port}/"
                    async with session.get(url) as response:
                        return response.status

                await processes.wait_for_result(put, 200)
                await processes.wait_for_result(is_ready, 200)
                callers = [
                    asyncio.create_task(
                        call_repeatedly(session, port, f"c{number}", statuses)
                    )
                    for number in range(CALLERS_COUNT)
                ]
                await asyncio.sleep(LIST_LAG_S)
                await replace_in_series(servers, listed)
                for caller in callers:
                    caller.cancel()
                ends = await asyncio.gather(*callers, return_exceptions=True)
        finally:
            for process in started:
                process.kill()
                await process.wait()
        return servers, statuses, ends

    servers, statuses, ends = asyncio.run(main())
    assert all(isinstance(end, asyncio.CancelledError) for end in ends)
    assert set(statuses) == {(200, True)}
    for server in servers:
        if server.left_s is not None:
            late = [at_s for at_s in server.received_s if at_s > server.left_s + 0.5]
            assert not late
        if server.paused_s is not None:
            begin_s, end_s = server.paused_s + PAUSE_SLACK_S, server.paused_s + PAUSE_S
            within = [at_s for at_s in server.received_s if begin_s < at_s < end_s]
            assert len(within) <= ALLOWED_IN_PAUSE_COUNT
    assert sum(server.left_s is not None for server in servers) == SERVERS_COUNT
    assert sum(server.paused_s is not None for server in servers) == SERVERS_COUNT
