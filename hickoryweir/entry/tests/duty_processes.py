"""Replica and router processes with duties, before a stand-in of the infrastructure."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys
import time

import aiohttp
from aiohttp import web

from hickoryweir.forwarding import headers
from hickoryweir.testing import duty_platform, waiting
from hickoryweir.testing.demo import entry_vms

REPLICA_HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
ROUTER_HOSTS = ("127.0.0.4", "127.0.0.5", "127.0.0.6")
START_TIMEOUT_S = 60.0
# Those of the deployments; the tolerance is a share of the requests of a window.
WINDOW_S = 5.0
DUE_S = 10.0
LEASE_S = 3.0
CALLS_PER_S = 10
TABLE = """
[table]
version = 1

[service app]

[route charge]
host = site.example
path_prefix = /
services = app
execution = idempotent
timeout_s = 2
target_latency_s = 0.3

[account large]
keys = key-large

[account small]
keys = key-small
"""
SETTINGS = """
[process]
role = {role}
host = {host}
availability_zone = a
peer_port = {peer_port}
seeds = {seeds}

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

[duties]
names = usage_reporting
calls_per_s = {calls_per_s}
checks_fencing = {checks_fencing}
lease_ms = {lease_ms}
usage_window_s = {window_s}
usage_due_s = {due_s}
"""


@dataclasses.dataclass(slots=True)
class Site:
    """The processes, the stand-in, and the requests that the server began."""

    folder: pathlib.Path
    values: dict
    platform: duty_platform.Platform
    session: aiohttp.ClientSession
    processes: dict[str, asyncio.subprocess.Process]
    began: list[tuple[float, str]]

    def url(self, host, path):
        """Return a URL at the clients' or operators' port of a process."""
        return f"http://{host}:{self.values['port']}{path}"

    async def start(self, host, role):
        """Start a process; its clock follows the file `HOST.offset`."""
        path = self.folder / f"{host}.ini"
        text = SETTINGS.format(
            role=role, host=host, folder=self.folder / host, **self.values
        )
        path.write_text(text)
        offset_path = self.folder / f"{host}.offset"
        offset_path.touch()
        with (self.folder / f"{host}.log").open("ab") as log:
            self.processes[host] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "hickoryweir.entry.tests.jumping_clock"),
                *(str(path), str(offset_path)),
                stdout=log,
                stderr=log,
            )

    def set_clock(self, host, offset_s):
        """Let the time of day of a process jump."""
        path = self.folder / f"{host}.offset"
        temporary = path.with_suffix(".new")
        temporary.write_text(str(offset_s))
        os.replace(temporary, path)

    async def call(self, host, account_name="large"):
        """Send a request to a router, and return the status."""
        sent = {
            "Host": "site.example",
            "Authorization": f"Bearer key-{account_name}",
            headers.REQUEST_ID: os.urandom(8).hex(),
        }
        url = self.url(host, "/x")
        async with self.session.get(url, headers=sent) as response:
            await response.read()
            return response.status

    async def describe(self, host):
        """Return the duties as a replica describes them."""
        async with self.session.get(self.url(host, "/duties")) as response:
            return await response.json()

    async def wait_until_serving(self, host):
        """Wait until a replica that was started answers."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with asyncio.timeout(0.5):
                        await self.describe(host)
                        return
                await asyncio.sleep(0.1)

    async def holder(self):
        """Return the replica that may make calls, once there is one."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                for host in REPLICA_HOSTS:
                    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                        async with asyncio.timeout(0.5):
                            if (await self.describe(host))["may_call"]:
                                return host
                await asyncio.sleep(0.1)

    def signal(self, host, number):
        """Send a signal to a process."""
        self.processes[host].send_signal(number)

    async def load(self, duration_s, hosts, pause_s=0.03):
        """Send requests of both accounts to the routers in turn."""
        end_s = time.monotonic() + duration_s
        count = 0
        while time.monotonic() < end_s:
            host = hosts[count % len(hosts)]
            account_name = "small" if count % 5 == 0 else "large"
            with contextlib.suppress(aiohttp.ClientError):
                await self.call(host, account_name)
            count += 1
            await asyncio.sleep(pause_s)

    def began_in(self, number):
        """Return the requests that the server began in a window, by account."""
        counts = {}
        for began_s, account_name in self.began:
            if int(began_s // WINDOW_S) == number:
                counts[account_name] = counts.get(account_name, 0) + 1
        return counts

    async def wait_for_window(self, number):
        """Wait until the report of a window was accepted."""
        await waiting.wait_until(
            lambda: number in duty_platform.accepted_usage(self.platform),
            START_TIMEOUT_S,
        )

    def violations(self):
        """Return the rules that the calls broke."""
        return duty_platform.find_violations(self.platform, LEASE_S, CALLS_PER_S)


def current_window():
    """Return the number of the window in progress."""
    return int(time.time() // WINDOW_S)


async def _start_app(app, host):
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, host, 0)
    await site.start()
    return runner, site._server.sockets[0].getsockname()[1]


@contextlib.asynccontextmanager
async def run_site(folder, routers_count=2, *, checks_fencing=True):
    """Run all processes with a table in force; yield the site."""
    began = []
    platform = duty_platform.Platform(checks_fencing)

    async def answer(request):
        began.append((time.time(), request.headers[headers.ACCOUNT_NAME]))
        request_id = request.headers.get(headers.REQUEST_ID, "")
        return web.Response(text="done", headers={headers.REQUEST_ID: request_id})

    async def list_servers(request):
        address = f"127.0.0.1:{backend_port}"
        entry = {"id": "app-1", "service": "app", "address": address}
        return web.json_response({"servers": [entry]})

    backend = web.Application()
    backend.router.add_route("*", "/{tail:.*}", answer)
    infrastructure = web.Application()
    infrastructure.router.add_get("/servers", list_servers)
    duty_platform.add_routes(infrastructure, platform)
    backend_runner, backend_port = await _start_app(backend, "127.0.0.1")
    platform_runner, list_port = await _start_app(infrastructure, "127.0.0.1")
    ports = {n: entry_vms.free_port() for n in ("port", "ready_port", "peer_port")}
    values = ports | {
        "list_address": f"127.0.0.1:{list_port}",
        "seeds": ", ".join(f"{host}:1" for host in REPLICA_HOSTS),
        "calls_per_s": CALLS_PER_S,
        "checks_fencing": "yes" if checks_fencing else "no",
        "lease_ms": LEASE_S * 1000,
        "window_s": WINDOW_S,
        "due_s": DUE_S,
    }
    async with aiohttp.ClientSession() as session:
        site = Site(folder, values, platform, session, {}, began)
        try:
            for host in REPLICA_HOSTS:
                await site.start(host, "replica")
            routers = ROUTER_HOSTS[:routers_count]
            for host in routers:
                await site.start(host, "router")
            await _put_table(site)
            for host in routers:
                await _wait_until_serving(site, host)
            yield site
        finally:
            for process in site.processes.values():
                if process.returncode is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
            await platform_runner.cleanup()
            await backend_runner.cleanup()


async def _put_table(site):
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                url = site.url(REPLICA_HOSTS[0], "/table")
                async with site.session.put(url, data=TABLE) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.1)


async def _wait_until_serving(site, host):
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                if await site.call(host) == 200:
                    return
            await asyncio.sleep(0.1)


def read_log(site, host):
    """Return the log entries of a process."""
    lines = (site.folder / f"{host}.log").read_text().splitlines()
    return [json.loads(line) for line in lines if line.startswith("{")]
