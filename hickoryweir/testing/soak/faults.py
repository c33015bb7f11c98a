"""Random, possibly overlapping faults injected into the processes from outside."""

import asyncio
import contextlib
import dataclasses
import random
import resource
import signal
import time
from collections.abc import Awaitable, Callable

from hickoryweir.testing import proxies
from hickoryweir.testing.soak import backends
from hickoryweir.testing.soak import cluster as clusters

FAULT_INTERVAL_MIN_S, FAULT_INTERVAL_MAX_S = 0.3, 2.0
FAULT_DURATION_MIN_S, FAULT_DURATION_MAX_S = 0.5, 3.0
# Time in which a restarted replica, even with an empty folder, rejoins and catches up.
REPLICA_RECOVERY_S = 6.0
LINK_DELAY_S = 0.2
SUSPENDED_MAX_S, RESUMED_S = 0.2, 0.02
ACKNOWLEDGEMENT_TIMEOUT_S = 5.0
# Whether a link is disturbed towards the process that listens, and away from it.
DIRECTIONS = ((True, True), (True, False), (False, True))


@dataclasses.dataclass(frozen=True, slots=True)
class InjectedFault:
    """Kind, target and interval of one injected fault, and what was drawn besides."""

    kind: str
    target: str
    began_s: float
    ended_s: float
    detail: str = ""


@dataclasses.dataclass(slots=True)
class FaultContext:
    """State shared by the fault injectors, and the faults injected so far.

    Attributes
    ----------
    replica_lock : asyncio.Lock
        Held while a replica is down or recovering, because the group tolerates the
        loss of only one.
    acknowledged : asyncio.Event
        Set by the operator at each acknowledgement of a table.
    busy_hosts : set of str
        Hosts that a fault currently affects.
    """

    cluster: clusters.Cluster
    generator: random.Random
    replica_lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    acknowledged: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    busy_hosts: set[str] = dataclasses.field(default_factory=set)
    injected: list[InjectedFault] = dataclasses.field(default_factory=list)


# A fault for a duration; returns what it has drawn, if that is worth showing.
MemberFault = Callable[[FaultContext, clusters.Member, float], Awaitable[str | None]]


async def kill(
    context: FaultContext, member: clusters.Member, duration_s: float
) -> None:
    """Kill a process and restart it."""
    clusters.kill(member)
    await asyncio.sleep(duration_s)
    clusters.launch(member)


async def wipe(
    context: FaultContext, member: clusters.Member, duration_s: float
) -> None:
    """Kill a replica, empty its data folder and restart it."""
    clusters.kill(member)
    clusters.wipe(member)
    await asyncio.sleep(duration_s)
    clusters.launch(member)


async def pause(
    context: FaultContext, member: clusters.Member, duration_s: float
) -> None:
    """Suspend a process temporarily."""
    member.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    member.process.send_signal(signal.SIGCONT)


async def stop(
    context: FaultContext, member: clusters.Member, duration_s: float
) -> None:
    """Stop a process gracefully and restart it."""
    await clusters.stop(context.cluster, member)
    await asyncio.sleep(duration_s)
    clusters.launch(member)


async def leave(
    context: FaultContext, member: clusters.Member, duration_s: float
) -> None:
    """Stop a process gracefully and for good."""
    await clusters.stop(context.cluster, member)


async def reload(
    context: FaultContext, member: clusters.Member, duration_s: float
) -> None:
    """Change the settings file, at random with a SIGHUP, and change it back."""
    clusters.write_settings(context.cluster, member, extra_count=7)
    if context.generator.random() < 0.5:
        clusters.reload(context.cluster, member)
    await asyncio.sleep(duration_s)
    clusters.write_settings(context.cluster, member)


async def cut_off(
    context: FaultContext, member: clusters.Member, duration_s: float
) -> None:
    """Block a process's connections to the replicas, in one or both directions."""
    forward, backward = context.generator.choice(DIRECTIONS)
    links = clusters.links_of(context.cluster, member)
    for proxy in links:
        proxies.set_relaying(proxy.forward, not forward)
        proxies.set_relaying(proxy.backward, not backward)
    await asyncio.sleep(duration_s)
    for proxy in links:
        restore_link(proxy)


async def delay_links(
    context: FaultContext, member: clusters.Member, duration_s: float
) -> None:
    """Delay each part of a process's connections to the replicas differently."""
    links = clusters.links_of(context.cluster, member)
    for proxy in links:
        proxy.delay_s = context.generator.uniform(0.0, LINK_DELAY_S)
    await asyncio.sleep(duration_s)
    for proxy in links:
        restore_link(proxy)


async def reset_links(
    context: FaultContext, member: clusters.Member, duration_s: float
) -> None:
    """Reset a process's connections to the replicas."""
    for proxy in clusters.links_of(context.cluster, member):
        proxies.reset_all(proxy)


async def refuse_writes(
    context: FaultContext, member: clusters.Member, duration_s: float
) -> None:
    """Let a process's writes to files fail temporarily, as on a full disk."""
    process, limit = member.process, resource.RLIMIT_FSIZE
    soft, hard = resource.prlimit(process.pid, limit)
    resource.prlimit(process.pid, limit, (0, hard))
    await asyncio.sleep(duration_s)
    if process.poll() is None:
        resource.prlimit(process.pid, limit, (soft, hard))


async def silence_link(
    context: FaultContext, member: clusters.Member, duration_s: float
) -> str:
    """Let a process's open connections to one replica go silent for good."""
    proxy = context.generator.choice(list(member.links.values()))
    return _silence(context, [proxy]) + f", to {proxy.target_host}"


async def silence_links(
    context: FaultContext, member: clusters.Member, duration_s: float
) -> str:
    """Let a process's open connections to and from the others go silent for good."""
    return _silence(context, clusters.links_of(context.cluster, member))


async def silence_all(
    context: FaultContext, member: clusters.Member, duration_s: float
) -> str:
    """Let all processes' open connections to replicas go silent for good."""
    cluster = context.cluster
    members = (*cluster.replicas, *cluster.routers)
    return _silence(context, [item for each in members for item in each.links.values()])


def _silence(context: FaultContext, links: list[proxies.Proxy]) -> str:
    forward, backward = context.generator.choice(DIRECTIONS)
    for proxy in links:
        proxies.silence_open(proxy, forward, backward)
    count = sum(len(proxy.relayed) for proxy in links)
    return f"{count} connections, to listeners {forward}, from them {backward}"


async def slow_down(
    context: FaultContext, member: clusters.Member, duration_s: float
) -> None:
    """Suspend a process in short turns, as on a VM with too little processor time."""
    until_s = time.monotonic() + duration_s
    while time.monotonic() < until_s:
        member.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(context.generator.uniform(0.02, SUSPENDED_MAX_S))
        member.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(RESUMED_S)


LINK_FAULTS: tuple[MemberFault, ...] = (
    *(cut_off, delay_links, reset_links),
    *(silence_link, silence_links),
)
ROUTER_FAULTS: tuple[MemberFault, ...] = (
    *(kill, pause, stop, stop, reload, slow_down),
    *LINK_FAULTS,
)
REPLICA_FAULTS: tuple[MemberFault, ...] = (
    *(kill, pause, stop, wipe, reload, slow_down),
    *(refuse_writes, refuse_writes, silence_all, silence_all),
    *LINK_FAULTS,
)


async def disturb_router(context: FaultContext) -> None:
    """Inject a fault into a router that has none."""
    available = [
        item for item in context.cluster.routers if item.host not in context.busy_hosts
    ]
    # At least one router always stays without a fault, so that callers can find one.
    if len(available) > 1:
        fault = context.generator.choice(ROUTER_FAULTS)
        await _change(context, context.generator.choice(available), fault)


async def disturb_replica(context: FaultContext) -> None:
    """Inject a fault into a replica, and wait until the group has recovered."""
    if context.replica_lock.locked():
        return
    async with context.replica_lock:
        fault = context.generator.choice(REPLICA_FAULTS)
        await _change(
            context, context.generator.choice(context.cluster.replicas), fault
        )
        await asyncio.sleep(REPLICA_RECOVERY_S)


async def lose_replicas(context: FaultContext) -> None:
    """Kill all replicas right after an acknowledgement, and restart them."""
    if context.replica_lock.locked():
        return
    async with context.replica_lock:
        replicas = context.cluster.replicas
        context.acknowledged.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ACKNOWLEDGEMENT_TIMEOUT_S):
                await context.acknowledged.wait()
        began_s = time.monotonic()
        for replica in replicas:
            clusters.kill(replica)
        await asyncio.sleep(
            context.generator.uniform(FAULT_DURATION_MIN_S, FAULT_DURATION_MAX_S)
        )
        for replica in replicas:
            clusters.launch(replica)
            _record_fault(context, "kill", replica.host, began_s)
        await asyncio.sleep(REPLICA_RECOVERY_S)


async def _change(
    context: FaultContext, member: clusters.Member, fault: MemberFault
) -> None:
    context.busy_hosts.add(member.host)
    duration_s = context.generator.uniform(FAULT_DURATION_MIN_S, FAULT_DURATION_MAX_S)
    try:
        await inject(context, member, fault, duration_s)
    finally:
        context.busy_hosts.discard(member.host)


async def inject(
    context: FaultContext,
    member: clusters.Member,
    fault: MemberFault,
    duration_s: float,
) -> None:
    """Inject a fault into a process and record it."""
    began_s, detail = time.monotonic(), None
    try:
        detail = await fault(context, member, duration_s)
    finally:
        _record_fault(context, fault.__name__, member.host, began_s, detail or "")


async def disturb_server(context: FaultContext) -> None:
    """Make a backend server refuse requests, truncate its answers, or be slow."""
    server = context.generator.choice(context.cluster.servers)
    began_s = time.monotonic()
    faults = ("refuse", "slow", *backends.TRUNCATIONS)
    server.fault = context.generator.choice(faults)
    kind = server.fault
    await asyncio.sleep(
        context.generator.uniform(FAULT_DURATION_MIN_S, FAULT_DURATION_MAX_S)
    )
    server.fault = ""
    _record_fault(context, kind, server.server_id, began_s)


async def disturb_link(context: FaultContext) -> None:
    """Delay, block (in one or both directions) or reset a server's connections."""
    server = context.generator.choice(context.cluster.servers)
    proxy, began_s = server.proxy, time.monotonic()
    kind = context.generator.choice(("delay", "silence", "one_way", "reset"))
    if kind == "reset":
        proxies.reset_all(proxy)
    if kind == "delay":
        proxy.delay_s = LINK_DELAY_S
    if kind in ("silence", "one_way"):
        proxies.set_relaying(proxy.backward, enabled=False)
    if kind == "silence":
        proxies.set_relaying(proxy.forward, enabled=False)
    await asyncio.sleep(
        context.generator.uniform(FAULT_DURATION_MIN_S, FAULT_DURATION_MAX_S)
    )
    restore_link(proxy)
    _record_fault(context, kind, server.server_id, began_s)


def restore_link(proxy: proxies.Proxy) -> None:
    """Remove the delay and the blocks of a proxy."""
    proxy.delay_s = 0.0
    proxies.set_relaying(proxy.forward, enabled=True)
    proxies.set_relaying(proxy.backward, enabled=True)


def _record_fault(
    context: FaultContext, kind: str, target: str, began_s: float, detail: str = ""
) -> None:
    ended_s = time.monotonic()
    context.injected.append(InjectedFault(kind, target, began_s, ended_s, detail))


FAULTS = (
    *(disturb_router, disturb_router, disturb_replica, lose_replicas),
    *(disturb_server, disturb_link),
)


async def draw(context: FaultContext, until_s: float) -> None:
    """Start faults as concurrent tasks until `until_s`; then end all of them."""
    tasks = set()
    while time.monotonic() < until_s:
        task = asyncio.create_task(context.generator.choice(FAULTS)(context))
        tasks.add(task)
        await asyncio.sleep(
            context.generator.uniform(FAULT_INTERVAL_MIN_S, FAULT_INTERVAL_MAX_S)
        )
    await asyncio.gather(*tasks)
    for server in context.cluster.servers:
        server.fault = ""
        restore_link(server.proxy)
