"""The cluster under test: entry VMs, the links between them, and the stand-ins."""

import asyncio
import dataclasses
import pathlib
import signal
import time

import aiohttp

from hickoryweir.testing.demo import entry_vms, stand_ins
from hickoryweir.testing.drill import links

LINK_DELAY_S = 0.001
VMS_PER_ZONE = 2
POLL_INTERVAL_S = 0.2
POLL_TIMEOUT_S = 1.0
BALANCER_LAG_S = POLL_INTERVAL_S + 2 * POLL_TIMEOUT_S
RESTART_TIMEOUT_S = 15.0


@dataclasses.dataclass(slots=True, eq=False)
class Cluster:
    """The processes, links and stand-ins of a drill.

    Attributes
    ----------
    running : dict
        Running processes by the name of their entry VM.
    ready : set of str
        Callers' URLs that the load balancer sends to; lags behind the entry VMs'
        readiness by the polling interval, as a real balancer's list does.
    versions : dict
        Configuration versions reported by each entry VM while ready, in the order
        of polling.
    exit_codes : list of int
        Exit codes of graceful stops.
    """

    vms: tuple[entry_vms.EntryVm, ...]
    links: tuple[links.Link, ...]
    servers: tuple[stand_ins.StandIn, ...]
    running: dict[str, entry_vms.RunningVm]
    ready: set[str]
    versions: dict[str, list[int]]
    exit_codes: list[int]


async def start_cluster(
    zones: tuple[str, ...],
    servers: tuple[stand_ins.StandIn, ...],
    folder: pathlib.Path,
) -> Cluster:
    """Start two entry VMs in each zone, of which the first is a replica."""
    vms = tuple(
        entry_vms.EntryVm(
            name=f"{zone}-{number}",
            availability_zone=zone,
            callers_port=entry_vms.free_port(),
            operators_port=entry_vms.free_port(),
            peers_port=entry_vms.free_port(),
            folder=folder / f"{zone}-{number}",
            is_replica=number == 1,
            balancer_lag_s=BALANCER_LAG_S,
        )
        for zone in zones
        for number in range(1, VMS_PER_ZONE + 1)
    )
    opened = await asyncio.gather(
        *(
            links.open_link(source, destination, LINK_DELAY_S)
            for source in vms
            for destination in vms
            if source is not destination
        )
    )
    ports = {
        (link.source.name, link.destination.name): link.proxy.port for link in opened
    }
    entry_vms.write_settings(
        vms, lambda source, destination: ports[(source.name, destination.name)]
    )
    running = {vm.name: entry_vms.start(vm) for vm in vms}
    versions = {vm.name: [] for vm in vms}
    return Cluster(vms, tuple(opened), servers, running, set(), versions, [])


async def poll_readiness(cluster: Cluster) -> None:
    """Keep the balancer's list and the versions up to date until cancelled."""
    timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            await asyncio.gather(
                *(poll_entry_vm(session, cluster, vm) for vm in cluster.vms)
            )
            await asyncio.sleep(POLL_INTERVAL_S)


async def poll_entry_vm(
    session: aiohttp.ClientSession, cluster: Cluster, vm: entry_vms.EntryVm
) -> None:
    """Poll the readiness and the configuration version of one entry VM."""
    try:
        async with session.get(vm.callers_url + "/readyz") as response:
            is_ready = response.status == 200
        async with session.get(vm.callers_url + "/status") as response:
            version = (await response.json())["configuration_version"]
    except (aiohttp.ClientError, TimeoutError):
        is_ready = False
    if not is_ready:
        cluster.ready.discard(vm.callers_url)
        return
    cluster.ready.add(vm.callers_url)
    cluster.versions[vm.name].append(version)


def kill(cluster: Cluster, name: str) -> None:
    """Kill an entry VM's process with SIGKILL."""
    running = cluster.running.pop(name)
    running.process.kill()
    running.process.wait()


def suspend(cluster: Cluster, name: str) -> None:
    """Suspend an entry VM's process with SIGSTOP."""
    cluster.running[name].process.send_signal(signal.SIGSTOP)


def resume(cluster: Cluster, name: str) -> None:
    """Resume a suspended process with SIGCONT."""
    cluster.running[name].process.send_signal(signal.SIGCONT)


def restart(cluster: Cluster, name: str) -> None:
    """Start an entry VM's process again with its existing data folder."""
    vm = next(vm for vm in cluster.vms if vm.name == name)
    cluster.running[name] = entry_vms.start(vm)


async def wait_until_ready(cluster: Cluster, vm: entry_vms.EntryVm) -> None:
    """Wait up to `RESTART_TIMEOUT_S` until an entry VM is in the balancer's list."""
    until_s = now_s() + RESTART_TIMEOUT_S
    while now_s() < until_s:
        if vm.callers_url in cluster.ready:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def stop_gracefully(cluster: Cluster, name: str) -> None:
    """Stop an entry VM with SIGTERM and record its exit code."""
    running = cluster.running.pop(name)
    code = await asyncio.to_thread(entry_vms.stop, running)
    cluster.exit_codes.append(code)


async def stop_all(cluster: Cluster) -> None:
    """Stop every entry VM, link and stand-in."""
    names = list(cluster.running)
    for name in names:
        resume(cluster, name)
    await asyncio.gather(*(stop_gracefully(cluster, name) for name in names))
    for link in cluster.links:
        link.proxy.server.close()
    await stand_ins.stop_all(cluster.servers)


@dataclasses.dataclass(frozen=True, slots=True)
class FaultWindow:
    """A time interval in which connection errors at an entry VM are expected."""

    url: str
    since_s: float
    until_s: float


def now_s() -> float:
    """Return the monotonic time that all times of the drill refer to."""
    return time.monotonic()
