"""Faults that are drawn by a seed and brought about from outside, also overlapping."""

import asyncio
import dataclasses
import random
import signal
import time
from collections.abc import Awaitable, Callable

from hickoryweir.testing import proxies
from hickoryweir.testing.soak import site as sites

GAP_MIN_S, GAP_MAX_S = 0.3, 2.0
HOLD_MIN_S, HOLD_MAX_S = 0.5, 3.0
# A replica that starts again has joined and caught up; one that was emptied, too.
REPLICA_RECOVERY_S = 6.0
LINK_DELAY_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """What was done to whom, and from when to when."""

    kind: str
    target: str
    began_s: float
    ended_s: float


@dataclasses.dataclass(slots=True)
class Drawn:
    """The seed's draws, and what they have brought about.

    Attributes
    ----------
    replica_lock : asyncio.Lock
        Held while a replica is lost or comes back: the group bears one loss.
    busy : set of str
        Members that have a fault at the moment.
    """

    site: sites.Site
    random: random.Random
    replica_lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    busy: set[str] = dataclasses.field(default_factory=set)
    done: list[Disturbance] = dataclasses.field(default_factory=list)


Change = Callable[[Drawn, sites.Member, float], Awaitable[None]]


async def kill(drawn: Drawn, member: sites.Member, hold_s: float) -> None:
    """Kill a process and start it again."""
    sites.kill(member)
    await asyncio.sleep(hold_s)
    sites.launch(member)


async def wipe(drawn: Drawn, member: sites.Member, hold_s: float) -> None:
    """Kill a replica, empty its folder and start it again."""
    sites.kill(member)
    sites.wipe(member)
    await asyncio.sleep(hold_s)
    sites.launch(member)


async def pause(drawn: Drawn, member: sites.Member, hold_s: float) -> None:
    """Let a process stand still."""
    member.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(hold_s)
    member.process.send_signal(signal.SIGCONT)


async def stop(drawn: Drawn, member: sites.Member, hold_s: float) -> None:
    """Stop a process as planned and start it again."""
    await sites.stop(drawn.site, member)
    await asyncio.sleep(hold_s)
    sites.launch(member)


async def reload(drawn: Drawn, member: sites.Member, hold_s: float) -> None:
    """Change the settings, with and without a signal, and back."""
    sites.write_settings(drawn.site, member, extra_count=7)
    if drawn.random.random() < 0.5:
        member.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(hold_s)
    sites.write_settings(drawn.site, member)


ROUTER_CHANGES: tuple[Change, ...] = (kill, pause, stop, stop, reload)
REPLICA_CHANGES: tuple[Change, ...] = (kill, pause, stop, wipe, reload)


async def disturb_router(drawn: Drawn) -> None:
    """Do something to a router that has no fault yet."""
    free = [item for item in drawn.site.routers if item.host not in drawn.busy]
    # One router at least is always left alone, so that callers find one.
    if len(free) > 1:
        change = drawn.random.choice(ROUTER_CHANGES)
        await _change(drawn, drawn.random.choice(free), change)


async def disturb_replica(drawn: Drawn) -> None:
    """Do something to a replica, and wait until the group is whole again."""
    if drawn.replica_lock.locked():
        return
    async with drawn.replica_lock:
        change = drawn.random.choice(REPLICA_CHANGES)
        await _change(drawn, drawn.random.choice(drawn.site.replicas), change)
        await asyncio.sleep(REPLICA_RECOVERY_S)


async def _change(drawn: Drawn, member: sites.Member, change: Change) -> None:
    drawn.busy.add(member.host)
    began_s = time.monotonic()
    hold_s = drawn.random.uniform(HOLD_MIN_S, HOLD_MAX_S)
    try:
        await change(drawn, member, hold_s)
    finally:
        _note(drawn, change.__name__, member.host, began_s)
        drawn.busy.discard(member.host)


async def disturb_server(drawn: Drawn) -> None:
    """Let a backend server refuse, cut its answers, or be slow."""
    server = drawn.random.choice(drawn.site.servers)
    began_s = time.monotonic()
    server.fault = drawn.random.choice(("refuse", "cut", "slow"))
    kind = server.fault
    await asyncio.sleep(drawn.random.uniform(HOLD_MIN_S, HOLD_MAX_S))
    server.fault = ""
    _note(drawn, kind, server.server_id, began_s)


async def disturb_link(drawn: Drawn) -> None:
    """Delay, silence (both ways or one) or reset the connections of a server."""
    server = drawn.random.choice(drawn.site.servers)
    proxy, began_s = server.proxy, time.monotonic()
    kind = drawn.random.choice(("delay", "silence", "one_way", "reset"))
    if kind == "reset":
        proxies.reset_all(proxy)
    if kind == "delay":
        proxy.delay_s = LINK_DELAY_S
    if kind in ("silence", "one_way"):
        proxies.set_relaying(proxy.backward, enabled=False)
    if kind == "silence":
        proxies.set_relaying(proxy.forward, enabled=False)
    await asyncio.sleep(drawn.random.uniform(HOLD_MIN_S, HOLD_MAX_S))
    mend_link(proxy)
    _note(drawn, kind, server.server_id, began_s)


def mend_link(proxy: proxies.Proxy) -> None:
    """Let everything pass at once."""
    proxy.delay_s = 0.0
    proxies.set_relaying(proxy.forward, enabled=True)
    proxies.set_relaying(proxy.backward, enabled=True)


def _note(drawn: Drawn, kind: str, target: str, began_s: float) -> None:
    drawn.done.append(Disturbance(kind, target, began_s, time.monotonic()))


FAULTS = (disturb_router, disturb_router, disturb_replica, disturb_server, disturb_link)


async def draw(drawn: Drawn, until_s: float) -> None:
    """Bring faults about, each as its own task, until the time is up; then mend."""
    tasks = set()
    while time.monotonic() < until_s:
        task = asyncio.create_task(drawn.random.choice(FAULTS)(drawn))
        tasks.add(task)
        await asyncio.sleep(drawn.random.uniform(GAP_MIN_S, GAP_MAX_S))
    await asyncio.gather(*tasks)
    for server in drawn.site.servers:
        server.fault = ""
        mend_link(server.proxy)
