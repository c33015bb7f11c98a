"""The processes of the soak test: replicas and routers, each with its settings file."""

import asyncio
import contextlib
import dataclasses
import fcntl
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time
from typing import BinaryIO

import aiohttp
from aiohttp import web

from hickoryweir.testing import proxies
from hickoryweir.testing.demo import entry_vms
from hickoryweir.testing.soak import backends, wire

REPLICAS_COUNT = 4
SEEDS_COUNT = 3
SERVERS_COUNT = 4
ZONE = "a"
GRACE_S = 5.0
EXIT_TIMEOUT_S = GRACE_S + 3.0
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
PIPE_SIZE_BYTES = 4096
# Names the settings file for entry points without arguments.
SETTINGS_VARIABLE = "HICKORYWEIR_SETTINGS"
# A process that starts serves within this time.
EARLY_S = 1.0
SETTINGS = """[process]
role = {role}
host = {host}
availability_zone = {zone}
peer_port = {peer_port}
metrics_port = {metrics_port}
seeds = {seeds}

[ports]
clients = {clients}
readiness = {host}:{ready_port}
operators = {operators}

[replica]
data_folder = {folder}
bootstrap = {bootstrap}
is_in_fault_budget = {is_in_fault_budget}
tolerated_losses_count = {tolerated_losses_count}

[discovery]
address = {list_address}

[retries]
extra_count = {extra_count}

[shutdown]
grace_s = {grace_s}

[vm]
memory_mb = {memory_mb}
"""


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """A replica or router process, which listens on its own loopback address.

    Attributes
    ----------
    process : subprocess.Popen or None
        None while it is stopped deliberately.
    started_s : float
        When the process was started, on the steady clock.
    log_start_bytes : int
        Size of the log when it was started.
    links : dict
        The proxies before the replicas by host, through which it connects to them;
        none if it connects to them itself.
    opens_early : bool
        Whether it opens the clients' port before its imports.
    has_slow_disk : bool
        Whether the soak can make its disk slow.
    zone : str
        Its availability zone.
    entry : Path or None
        Script that runs it; None for the project's command line.
    has_full_pipe : bool
        Whether its standard output is a pipe that nobody reads.
    pipe : int or None
        The end of that pipe to read from, open as long as the process runs.
    """

    role: str
    host: str
    folder: pathlib.Path
    process: subprocess.Popen | None = None
    started_s: float = 0.0
    log_start_bytes: int = 0
    links: dict[str, proxies.Proxy] = dataclasses.field(default_factory=dict)
    opens_early: bool = False
    has_slow_disk: bool = False
    zone: str = ZONE
    entry: pathlib.Path | None = None
    has_full_pipe: bool = False
    pipe: int | None = None

    @property
    def links_path(self) -> pathlib.Path:
        """Return the path of the file with the ports of its proxies."""
        return self.folder / "links.json"

    @property
    def settings_path(self) -> pathlib.Path:
        """Return the path of its settings file."""
        return self.folder / "settings.ini"

    @property
    def sync_delay_path(self) -> pathlib.Path:
        """Return the path of the file with the delay of its syncs, if there is one."""
        return self.folder / "sync-delay"


@dataclasses.dataclass(slots=True, eq=False)
class Cluster:
    """The processes and backend servers of the soak test, and the settings' values.

    Attributes
    ----------
    exit_codes : list of (str, int)
        Hosts whose processes were stopped, with their exit codes.
    early_reloads : list of (str, float)
        Hosts whose processes got SIGHUP while they started, with their ages in seconds.
    early_stops : list of (str, float)
        Hosts whose processes SIGTERM ended before they had handlers, with their ages.
    formats : Formats
        Formats of all processes.
    """

    replicas: list[Member]
    routers: list[Member]
    servers: list[backends.Backend]
    values: dict
    exit_codes: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    early_reloads: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    early_stops: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    formats: wire.Formats = wire.OWN

    @property
    def port(self) -> int:
        """Return the port for callers on routers and for operators on replicas."""
        return self.values["port"]


async def start_cluster(
    folder: pathlib.Path,
    routers_count: int,
    has_links: bool = False,
    replica_zones: tuple[str, ...] = (ZONE,) * REPLICAS_COUNT,
    started_count: int = REPLICAS_COUNT,
    tolerated_losses_count: int = 1,
) -> Cluster:
    """Start backend servers, replicas and routers, without waiting for readiness.

    With `has_links`, the processes connect to replicas through proxies.  Of the
    replicas, which are in the zones of `replica_zones`, the first `started_count` are
    started.
    """
    servers = [await backends.start(f"s{number}") for number in range(SERVERS_COUNT)]

    async def list_servers(request: web.BaseRequest) -> web.Response:
        return web.json_response(backends.list_document(servers))

    listing = web.Server(list_servers, access_log=None)
    listener = await asyncio.get_running_loop().create_server(listing, proxies.HOST, 0)
    port, ready_port, peer_port, metrics_port = (
        entry_vms.free_port() for _ in range(4)
    )
    hosts = [f"127.0.2.{number + 1}" for number in range(len(replica_zones))]
    values = {
        "port": port,
        "ready_port": ready_port,
        "peer_port": peer_port,
        "metrics_port": metrics_port,
        "seeds": ", ".join(f"{host}:{port}" for host in hosts[:SEEDS_COUNT]),
        "list_address": f"{proxies.HOST}:{listener.sockets[0].getsockname()[1]}",
        "grace_s": GRACE_S,
        "extra_count": 100,
        "tolerated_losses_count": tolerated_losses_count,
    }
    replicas = [
        Member("replica", host, folder / host, zone=zone)
        for host, zone in zip(hosts, replica_zones, strict=True)
    ]
    routers = [
        Member("router", f"127.0.3.{number + 1}", folder / f"router-{number + 1}")
        for number in range(routers_count)
    ]
    cluster = Cluster(replicas, routers, servers, values)
    for member in (*replicas, *routers):
        member.folder.mkdir(parents=True)
        write_settings(cluster, member)
        if has_links:
            await make_links(cluster, member)
        if member not in replicas[started_count:]:
            launch(member)
    return cluster


async def make_links(cluster: Cluster, member: Member) -> None:
    """Start the proxies through which a member connects to the other replicas."""
    port = cluster.values["peer_port"]
    for replica in cluster.replicas:
        if replica is not member:
            member.links[replica.host] = await proxies.start_proxy(replica.host, port)
    ports = {host: proxy.port for host, proxy in member.links.items()}
    member.links_path.write_text(json.dumps(ports))


def links_of(cluster: Cluster, member: Member) -> list[proxies.Proxy]:
    """Return the proxies of a member's connections to and from the other processes."""
    links = list(member.links.values())
    for other in (*cluster.replicas, *cluster.routers):
        if member.host in other.links:
            links.append(other.links[member.host])
    return links


def write_settings(cluster: Cluster, member: Member, **changes) -> None:
    """Write a member's settings file."""
    values = {"memory_mb": 0, "is_in_fault_budget": "yes", "bootstrap": "yes"}
    values |= {"tolerated_losses_count": 1} | cluster.values
    values |= {"zone": member.zone} | changes
    address = f"{member.host}:{values['port']}"
    values |= {"clients": address, "operators": address}
    if member.entry is not None:
        # An entry point opens the clients' port of any role.
        values["operators" if member.role == "router" else "clients"] = ""
    text = SETTINGS.format(
        role=member.role, host=member.host, folder=member.folder / "data", **values
    )
    member.settings_path.write_text(text)


def launch(member: Member) -> None:
    """Start a member's process, appending to its log file.

    As under a supervisor, it inherits that SIGHUP is ignored, since the interpreter
    starts before the process can set a handler.
    """
    former = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        _launch(member)
    finally:
        signal.signal(signal.SIGHUP, former)
    member.started_s = time.monotonic()


def _launch(member: Member) -> None:
    environment = os.environ | {SETTINGS_VARIABLE: str(member.settings_path)}
    # Output is buffered as by default; its locks are part of what is played.
    environment.pop("PYTHONUNBUFFERED", None)
    with contextlib.ExitStack() as stack:
        log = stack.enter_context((member.folder / "log").open("ab"))
        member.log_start_bytes = log.tell()
        output = log
        if member.has_full_pipe:
            output = stack.enter_context(_open_pipe(member))
        member.process = subprocess.Popen(
            [sys.executable, *_program(member)],
            stdout=output,
            stderr=log,
            env=environment,
        )


def _open_pipe(member: Member) -> BinaryIO:
    """Return the end to write to of a small pipe, which the first lines fill."""
    if member.pipe is not None:
        os.close(member.pipe)
    member.pipe, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, PIPE_SIZE_BYTES)
    return open(writing, "wb")


def _program(member: Member) -> tuple[str, ...]:
    """Return the interpreter's arguments for a member."""
    settings_path = str(member.settings_path)
    if member.links:
        program = "hickoryweir.testing.linked_process"
        return "-m", program, settings_path, str(member.links_path)
    if member.opens_early:
        return "-m", "hickoryweir.testing.early_process", settings_path
    if member.has_slow_disk:
        program = "hickoryweir.testing.slow_disk_process"
        own = ("hickoryweir", "forward", settings_path)
        command = own if member.entry is None else (str(member.entry),)
        return "-m", program, str(member.sync_delay_path), *command
    if member.entry is not None:
        return (str(member.entry),)
    return "-m", "hickoryweir", "forward", settings_path


def reload(cluster: Cluster, member: Member) -> None:
    """Send SIGHUP to a member, at any age of its process."""
    age_s = time.monotonic() - member.started_s
    if age_s < EARLY_S:
        cluster.early_reloads.append((member.host, age_s))
    member.process.send_signal(signal.SIGHUP)


def kill(member: Member) -> None:
    """Kill a member's process with SIGKILL."""
    member.process.kill()
    member.process.wait()
    member.process = None


def delay_syncs(member: Member, delay_s: float) -> None:
    """Make each sync of a replica take longer; 0 makes its disk sound."""
    if delay_s:
        new_path = member.sync_delay_path.with_suffix(".new")
        new_path.write_text(str(delay_s))
        new_path.rename(member.sync_delay_path)
    else:
        member.sync_delay_path.unlink(missing_ok=True)


def wipe(member: Member) -> None:
    """Empty the data folder of a member that is down."""
    shutil.rmtree(member.folder / "data", ignore_errors=True)


async def stop(cluster: Cluster, member: Member) -> None:
    """Stop a member with SIGTERM and record its exit code.

    The interpreter starts before a process can set a handler.  SIGTERM then ends it by
    its default action, before it has written a line or done anything else.
    """
    process = member.process
    age_s = time.monotonic() - member.started_s
    process.send_signal(signal.SIGTERM)
    try:
        code = await asyncio.to_thread(process.wait, EXIT_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        code = -signal.SIGKILL
        process.kill()
        process.wait()
    has_begun = (member.folder / "log").stat().st_size > member.log_start_bytes
    if code == -signal.SIGTERM and age_s < EARLY_S and not has_begun:
        cluster.early_stops.append((member.host, age_s))
    else:
        cluster.exit_codes.append((member.host, code))
    member.process = None


async def is_ready(
    session: aiohttp.ClientSession, cluster: Cluster, member: Member
) -> bool:
    """Return whether a router reports that it is ready for requests."""
    url = f"http://{member.host}:{cluster.values['ready_port']}/"
    try:
        async with session.get(url) as reply:
            return reply.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def wait_until_ready(
    session: aiohttp.ClientSession, cluster: Cluster, member: Member
) -> bool:
    """Wait up to `READY_TIMEOUT_S` for a router; return whether it became ready."""
    for _ in range(round(READY_TIMEOUT_S / POLL_INTERVAL_S)):
        if await is_ready(session, cluster, member):
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return False


async def stop_all(cluster: Cluster) -> None:
    """Stop every process and close the backend servers' listeners."""
    running = [item for item in (*cluster.routers, *cluster.replicas) if item.process]
    for member in running:
        member.process.send_signal(signal.SIGCONT)
    await asyncio.gather(*(stop(cluster, member) for member in running))
    for server in cluster.servers:
        server.proxy.server.close()
        server.listener.close()
