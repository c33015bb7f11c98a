"""Runs the soak test of servers in need: ``bin/soak servers --seed N --minutes M``.

Servers crash on parts of prompts, name limits, ask for pauses and leave, while routers
and replicas are killed, paused, stopped and reloaded.  The exit code is 1 if a promise
was broken.
"""

import asyncio
import collections
import dataclasses
import itertools
import pathlib
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Annotated

import aiohttp
import cappa

from hickoryweir.forwarding import headers
from hickoryweir.testing import promises
from hickoryweir.testing.soak import (
    callers,
    faults,
    notice_oracle,
    notice_servers,
    stops,
)
from hickoryweir.testing.soak import cluster as clusters

SERVERS_COUNT = 7
# Servers that say nothing of themselves, so that requests can be served.
MIN_SOUND_SERVERS_COUNT = 4
LIMITS_PER_S = (0.0, 0.5, 2.0, 10.0)
NOTICE_MIN_S, NOTICE_MAX_S = 4.0, 12.0
PAUSE_MIN_S, PAUSE_MAX_S = 1.0, 6.0
QUIET_S = 4.0
SOUND_INTERVAL_S = 0.025
CRASHING_INTERVAL_S = 0.2
MAX_CRASHING_PARTS_COUNT = 3
SUBJECTS_COUNT = 12
SHOWN_COUNT = 20
TABLE = """[table]
version = {version}

[service llm]
slots_count = 64

[route chat]
host = soak.example
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


@dataclasses.dataclass
class Servers:
    """Let servers crash on prompts, name limits, pause and leave; check promises."""

    seed: Annotated[
        int, cappa.Arg(long=True, help="Seed of the random generators.")
    ] = 1
    minutes: Annotated[float, cappa.Arg(long=True, help="Duration in minutes.")] = 1.0
    routers: Annotated[int, cappa.Arg(long=True, help="Number of routers.")] = 6
    logs: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Folder for the logs.")
    ] = None


@dataclasses.dataclass(slots=True, eq=False)
class Site:
    """Processes, servers and what the clients saw."""

    cluster: clusters.Cluster
    fleet: notice_servers.Fleet
    generator: random.Random
    calls: list[notice_oracle.Call] = dataclasses.field(default_factory=list)
    numbers: itertools.count = dataclasses.field(default_factory=itertools.count)


Event = Callable[[Site, faults.FaultContext], Awaitable[None]]


async def run(options: Servers) -> list[promises.Violation]:
    """Run one soak test, print a summary, and return every violation."""
    with tempfile.TemporaryDirectory(prefix="hickoryweir-servers-") as temporary:
        site = await make_site(options, options.logs or pathlib.Path(temporary))
        context = faults.FaultContext(site.cluster, random.Random(options.seed))
        try:
            await stops.start_processes(site.cluster, TABLE)
            await play(site, context, options)
        finally:
            stops.end_processes(site.cluster, [])
    violations = notice_oracle.find_violations(site.fleet, site.calls, context.injected)
    report(site, options, context, violations)
    return violations


async def make_site(options: Servers, folder: pathlib.Path) -> Site:
    """Start the servers; return them with the processes to be started."""
    fleet = notice_servers.Fleet()
    for _ in range(SERVERS_COUNT):
        await notice_servers.start_server(fleet)
    list_address = await stops.start_list(lambda: fleet.listed)
    cluster = stops.make_cluster(folder, options.routers, list_address)
    return Site(cluster, fleet, random.Random(options.seed))


async def play(site: Site, context: faults.FaultContext, options: Servers) -> None:
    """Send requests, quietly at first, then beside events."""
    async with callers.make_session(callers.CALL_TIMEOUT_S) as session:
        for router in site.cluster.routers:
            await clusters.wait_until_ready(session, site.cluster, router)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        sending = asyncio.create_task(send_requests(site, session))
        await asyncio.sleep(QUIET_S)
        await draw_events(site, context, options.minutes)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)


async def draw_events(site: Site, context: faults.FaultContext, minutes: float) -> None:
    """Start events as tasks for some minutes, then wait for their ends."""
    until_s = time.monotonic() + minutes * 60.0
    tasks = set()
    while time.monotonic() < until_s:
        event = site.generator.choice(EVENTS)
        tasks.add(asyncio.create_task(event(site, context)))
        interval_s = site.generator.uniform(
            faults.FAULT_INTERVAL_MIN_S, faults.FAULT_INTERVAL_MAX_S
        )
        await asyncio.sleep(interval_s)
    await asyncio.gather(*tasks)


async def disturb_router(site: Site, context: faults.FaultContext) -> None:
    """Kill, pause, stop or reload a router."""
    await faults.disturb_router(context)


async def disturb_replica(site: Site, context: faults.FaultContext) -> None:
    """Kill, pause, stop, wipe or reload a replica."""
    await faults.disturb_replica(context)


async def add_crashing_part(site: Site, context: faults.FaultContext) -> None:
    """Let servers crash on another part from now on."""
    parts = site.fleet.crashing_part_ids
    if len(parts) < MAX_CRASHING_PARTS_COUNT:
        parts.add(f"bad{len(parts)}x")


def find_sound_server(site: Site) -> notice_servers.Server | None:
    """Return a server that says nothing of itself, if there are enough others."""
    sound = [item for item in site.fleet.servers if not item.has_trouble]
    if len(sound) <= MIN_SOUND_SERVERS_COUNT:
        return None
    return site.generator.choice(sound)


async def name_limit(site: Site, context: faults.FaultContext) -> None:
    """Let a server name a limit for some seconds."""
    server = find_sound_server(site)
    if server is not None:
        server.limit_per_s = site.generator.choice(LIMITS_PER_S)
        await asyncio.sleep(site.generator.uniform(NOTICE_MIN_S, NOTICE_MAX_S))
        notice_servers.end_limit(site.fleet, server)


async def ask_for_pause(site: Site, context: faults.FaultContext) -> None:
    """Let a server turn requests away and ask for a pause."""
    server = find_sound_server(site)
    if server is not None:
        server.pause_s = site.generator.uniform(PAUSE_MIN_S, PAUSE_MAX_S)
        await asyncio.sleep(server.pause_s)
        server.pause_s = 0.0


async def leave(site: Site, context: faults.FaultContext) -> None:
    """Let a server leave, and another one take its place."""
    server = find_sound_server(site)
    if server is not None:
        duration_s = site.generator.uniform(NOTICE_MIN_S, NOTICE_MAX_S)
        await notice_servers.leave(site.fleet, server, duration_s)


EVENTS: tuple[Event, ...] = (
    disturb_router,
    disturb_router,
    disturb_replica,
    add_crashing_part,
    name_limit,
    name_limit,
    ask_for_pause,
    leave,
)


async def send_requests(site: Site, session: aiohttp.ClientSession) -> None:
    """Send sound requests and ones with each crashing part, until cancelled."""
    tasks: set[asyncio.Task] = set()
    next_crashing_s = time.monotonic()
    try:
        while True:
            subject = f"subject{site.generator.randrange(SUBJECTS_COUNT)}"
            tasks.add(asyncio.create_task(send(site, session, subject, "")))
            if time.monotonic() >= next_crashing_s:
                next_crashing_s += CRASHING_INTERVAL_S
                for part_id in sorted(site.fleet.crashing_part_ids):
                    call = send(site, session, part_id, part_id)
                    tasks.add(asyncio.create_task(call))
            await asyncio.sleep(SOUND_INTERVAL_S)
            tasks = {task for task in tasks if not task.done()}
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def send(
    site: Site, session: aiohttp.ClientSession, middle_part_id: str, part_id: str
) -> None:
    """Send a request that equals no other one, and record how it began."""
    number = next(site.numbers)
    host = site.generator.choice(site.cluster.routers).host
    request_id = f"{host}-{number}"
    given = {
        "Host": "soak.example",
        headers.REQUEST_ID: request_id,
        headers.PROMPT: f"m;100;10;all:40,{middle_part_id}:40,own{number}:20",
    }
    url = f"http://{host}:{site.cluster.port}/chat/x"
    started_s, has_begun = time.monotonic(), False
    timeout = aiohttp.ClientTimeout(total=callers.CALL_TIMEOUT_S)
    try:
        async with session.post(
            url, headers=given, data=str(number), timeout=timeout
        ) as response:
            has_begun = response.status == 200
            await response.read()
    except callers.CONNECTION_ERRORS:
        # A router is down, or broke the response off; `has_begun` tells.
        pass
    site.calls.append(notice_oracle.Call(request_id, part_id, started_s, has_begun))


def report(
    site: Site,
    options: Servers,
    context: faults.FaultContext,
    violations: list[promises.Violation],
) -> None:
    """Print a summary of the run and its first violations."""
    fleet = site.fleet
    kinds = collections.Counter(item.kind for item in context.injected)
    print("faults:", ", ".join(f"{kind} {n}" for kind, n in sorted(kinds.items())))
    crashes = collections.Counter(part_id for part_id, _ in fleet.crashes)
    print("crashes:", ", ".join(f"{part} {n}" for part, n in sorted(crashes.items())))
    begun = [call.has_begun for call in site.calls if not call.part_id]
    print(
        f"seed {options.seed}: {len(site.calls)} calls, {sum(begun)} of {len(begun)} "
        f"sound ones begun, {len(fleet.limits)} limits, {len(fleet.pauses)} pauses, "
        f"{len(fleet.leavings)} told of leaving servers, {len(violations)} violations"
    )
    for violation in violations[:SHOWN_COUNT]:
        print(f"BROKEN: {violation.promise}: {violation.detail}")


def main() -> None:
    """Run from the command line."""
    violations = asyncio.run(run(cappa.parse(Servers)))
    raise SystemExit(1 if violations else 0)


if __name__ == "__main__":
    main()
