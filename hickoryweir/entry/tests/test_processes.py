"""Three replica processes and a router process, with the project's own formats."""

import asyncio
import contextlib
import pathlib
import signal
import sys

import aiohttp
from aiohttp import web

from hickoryweir.forwarding import headers
from hickoryweir.testing.demo import entry_vms

HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
ROUTER_HOST = "127.0.0.4"
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0
EXAMPLE = pathlib.Path(__file__).parents[3] / "examples/forwarding/table.ini"
SETTINGS = """
[process]
role = {role}
host = {host}
availability_zone = a
peer_port = {peer_port}
seeds = 127.0.0.1:1, 127.0.0.2:1, 127.0.0.3:1

[ports]
clients = {host}:{port}
readiness = {host}:{ready_port}
operators = {host}:{port}

[replica]
data_folder = {folder}
bootstrap = yes

[discovery]
address = {list_address}

[shutdown]
grace_s = 4
"""


async def start_server(host, handle):
    server = web.Server(handle, access_log=None)
    listener = await asyncio.get_running_loop().create_server(server, host, 0)
    return listener.sockets[0].getsockname()[1]


async def answer(request):
    reply_headers = {headers.REQUEST_ID: request.headers.get(headers.REQUEST_ID, "")}
    return web.Response(text="balance", headers=reply_headers)


def make_values(list_port):
    """Return the ports of all processes and the address of the list, for `SETTINGS`."""
    names = ("port", "ready_port", "peer_port")
    ports = {name: entry_vms.free_port() for name in names}
    return ports | {"list_address": f"{HOSTS[0]}:{list_port}"}


async def start_process(folder, name, **values):
    path = folder / f"{name}.ini"
    path.write_text(SETTINGS.format(folder=folder / name, **values))
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "hickoryweir", "forward", str(path)),
        stdout=(folder / f"{name}.log").open("wb"),
    )


@contextlib.asynccontextmanager
async def run_processes(folder):
    """Run replicas and a router; yield their processes and ports."""
    backend_port = await start_server("127.0.0.1", answer)
    entries = [
        {"id": f"{name}-1", "service": name, "address": f"127.0.0.1:{backend_port}"}
        for name in ("app", "app2", "llm")
    ]

    async def list_servers(request):
        return web.json_response({"servers": entries})

    list_port = await start_server("127.0.0.1", list_servers)
    values = make_values(list_port)
    port, ready_port = values["port"], values["ready_port"]
    processes = {}
    try:
        for host in HOSTS:
            name = f"replica-{host}"
            processes[host] = await start_process(
                folder, name, role="replica", host=host, **values
            )
        processes["router"] = await start_process(
            folder, "router", role="router", host=ROUTER_HOST, **values
        )
        yield processes, port, ready_port
    finally:
        for process in processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()


async def wait_for_result(attempt, expected):
    """Repeat `attempt` until it returns `expected`."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                found = await attempt()
                if found == expected:
                    return
            await asyncio.sleep(0.1)


def test_table_is_put_served_and_survives_a_lost_replica(tmp_path):
    async def scenario(session, processes, port, ready_port):
        table = EXAMPLE.read_text()

        async def put(host, text):
            url = f"http://{host}:{port}/table"
            async with session.put(url, data=text) as response:
                return response.status

        async def read(host):
            async with session.get(f"http://{host}:{port}/table") as response:
                return await response.text()

        async def is_ready():
            async with session.get(f"http://{ROUTER_HOST}:{ready_port}/") as response:
                return response.status

        async def call(path):
            sent = {"Host": "site.example", headers.REQUEST_ID: "r-1"}
            url = f"http://{ROUTER_HOST}:{port}{path}"
            async with session.get(url, headers=sent) as response:
                return response.status, await response.text()

        await wait_for_result(lambda: put(HOSTS[0], table), 200)
        assert (
            await put(HOSTS[1], table.replace("services = llm", "services = x")) == 400
        )
        await wait_for_result(is_ready, 200)
        await wait_for_result(lambda: call("/balance/7"), (200, "balance"))
        assert (await call("/charge/7"))[0] == 401
        processes[HOSTS[0]].kill()
        newer = table.replace("version = 1", "version = 2").replace(
            "/balance/", "/saldo/"
        )
        await wait_for_result(lambda: put(HOSTS[1], newer), 200)
        await wait_for_result(lambda: read(HOSTS[2]), newer)
        await wait_for_result(lambda: call("/saldo/7"), (200, "balance"))
        assert (await call("/balance/7"))[0] == 404
        processes["router"].send_signal(signal.SIGTERM)
        await wait_for_result(is_ready_refused(is_ready), True)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await processes["router"].wait()

    def is_ready_refused(is_ready):
        async def attempt():
            try:
                return await is_ready() == 503
            except aiohttp.ClientConnectionError:
                return True

        return attempt

    async def main():
        async with (
            aiohttp.ClientSession() as session,
            run_processes(tmp_path) as (processes, port, ready_port),
        ):
            return await scenario(session, processes, port, ready_port)

    assert asyncio.run(main()) == 0
