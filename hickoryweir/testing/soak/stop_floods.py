"""Floods in the soak of planned stops: servers and clients that send without end.

Each form of :data:`hickoryweir.testing.floods.FORMS` has a service of its own, so that
the clients that call it choose its form.  Clients that send without end are those of
:data:`hickoryweir.testing.client_floods.FORMS`.  Routers are watched for their memory.
"""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import re
import subprocess
import sys
from collections.abc import AsyncIterator

from hickoryweir.testing import client_floods, floods, promises
from hickoryweir.testing.soak import cluster as clusters
from hickoryweir.testing.soak import stop_delays, stop_events, stop_oracle, stop_records

HOST = "127.0.0.1"
MEMORY_MB = 150
WATCH_INTERVAL_S = 0.05
FLOOD, KILL_REPLICA, KILL_ROUTER = "flood", "kill of a replica", "kill of a router"
SENDERS = "senders of"
CLIENTS_COUNTS = (4, 40)
# Whole requests without end are work, which leaves others less of the router's time.
WORK_CLIENTS_COUNT = 4
SOUND_SERVICE = "sound"
DURATION_MIN_S, DURATION_MAX_S = 3.0, 8.0
# A flood is under way when the clients of a stop send their first requests.
EARLIEST_S = -2.0
# Clients beside the drawn ones, whose streams last 0.4 s each.
JUDGED_BEHAVIOUR, JUDGED_CLIENTS_COUNT = "steady", 8
SERVED_WITHIN_S = 2.0
MIN_SERVED_SHARE = 0.9
WITHIN_MEMORY = "a router stays within its memory"
GOES_ON = "no process ends by itself"
ANSWERED = "requests beside floods are answered"
SERVICE = """
[service {name}]

[route {name}]
host = site.example
path_prefix = /{name}/
services = {name}
execution = at_most_once
is_stream = {is_stream}
timeout_s = 4
allows_anonymous = yes
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Flood(stop_events.Event):
    """Clients that call a flooding server through the router with the number `index`.

    Attributes
    ----------
    reads : bool
        Whether the clients read what they get.
    """

    form: str = ""
    clients_count: int = 0
    reads: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Sending(stop_events.Event):
    """Clients that send to the router with the number `index` without end."""

    form: str = ""
    clients_count: int = 0


def make_table() -> str:
    """Return the services and routes of all forms, to be added to a table."""
    return SERVICE.format(name=SOUND_SERVICE, is_stream="no") + "".join(
        SERVICE.format(name=name_of(name), is_stream="yes" if form.is_stream else "no")
        for name, form in floods.FORMS.items()
    )


def name_of(form: str) -> str:
    """Return the name of the service and the route of a form."""
    return f"flood-{form.replace('_', '-')}"


def draw(
    generator: random.Random,
    events: list[stop_events.Event],
    floods_count: int,
    replicas_count: int,
) -> list[stop_events.Event]:
    """Return the events of a round with floods of each router, and kills."""
    found = list(events)
    stops = [event for event in events if event.kind == stop_events.TERMINATE]
    for stop in stops:
        for form in generator.sample(list(floods.FORMS), floods_count):
            found.append(
                Flood(
                    stop.at_s + generator.uniform(EARLIEST_S, 2.0),
                    f"{FLOOD} {form}",
                    stop.index,
                    generator.uniform(DURATION_MIN_S, DURATION_MAX_S),
                    form,
                    generator.choice(CLIENTS_COUNTS),
                    generator.random() < 0.8,
                )
            )
    stopped = {
        event.index for event in events if event.kind == stop_events.STOP_REPLICA
    }
    index = generator.choice(sorted(set(range(replicas_count)) - stopped))
    at_s, duration_s = generator.uniform(0.0, 5.0), generator.uniform(0.1, 2.0)
    found.append(stop_events.Event(at_s, KILL_REPLICA, index, duration_s))
    for stop in stops:
        at_s = stop.at_s + stop_records.GRACE_S + generator.uniform(0.2, 1.5)
        found.append(stop_events.Event(at_s, KILL_ROUTER, stop.index))
    return sorted(found, key=lambda event: event.at_s)


def draw_senders(
    generator: random.Random, events: list[stop_events.Event], forms_count: int
) -> list[stop_events.Event]:
    """Return the events of a round with clients that send to each router."""
    found = list(events)
    for stop in events:
        if stop.kind != stop_events.TERMINATE:
            continue
        for name in generator.sample(list(client_floods.FORMS), forms_count):
            count = generator.choice(CLIENTS_COUNTS)
            if client_floods.FORMS[name].is_work:
                count = WORK_CLIENTS_COUNT
            at_s = stop.at_s + generator.uniform(EARLIEST_S, 2.0)
            duration_s = generator.uniform(DURATION_MIN_S, DURATION_MAX_S)
            kind = f"{SENDERS} {name}"
            found.append(Sending(at_s, kind, stop.index, duration_s, name, count))
    return sorted(found, key=lambda event: event.at_s)


@contextlib.asynccontextmanager
async def run_servers() -> AsyncIterator[list[dict]]:
    """Run a flooding server of each form; yield their entries of the list."""
    process = await _run_floods("serve", HOST, stdout=asyncio.subprocess.PIPE)
    try:
        ports = json.loads(await process.stdout.readline())
        yield [
            {
                "id": name_of(form),
                "service": name_of(form),
                "address": f"{HOST}:{port}",
            }
            for form, port in ports.items()
        ]
    finally:
        process.kill()
        await process.wait()


async def _run_floods(*arguments: str, stdout=None) -> asyncio.subprocess.Process:
    return await _run("hickoryweir.testing.floods", *arguments, stdout=stdout)


async def _run(module: str, *arguments: str, stdout=None) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", module, *arguments),
        stdin=asyncio.subprocess.PIPE,
        stdout=stdout,
    )


async def call(cluster: clusters.Cluster, flood: Flood) -> None:
    """Call the flooding server of an event until its time is over."""
    process = await _run_floods(
        "call",
        cluster.routers[flood.index].host,
        str(cluster.port),
        f"/{name_of(flood.form)}/x",
        str(flood.clients_count),
        str(flood.duration_s),
        "yes" if flood.reads else "no",
    )
    await _await_end(process)


async def send(cluster: clusters.Cluster, sending: Sending) -> None:
    """Send what an event says until its time is over."""
    process = await _run(
        "hickoryweir.testing.client_floods",
        cluster.routers[sending.index].host,
        str(cluster.port),
        sending.form,
        str(sending.clients_count),
        str(sending.duration_s),
    )
    await _await_end(process)


async def _await_end(process: asyncio.subprocess.Process) -> None:
    try:
        await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def kill_replica(cluster: clusters.Cluster, event: stop_events.Event) -> None:
    """Kill a replica and start it again."""
    member = cluster.replicas[event.index]
    clusters.kill(member)
    await asyncio.sleep(event.duration_s)
    clusters.launch(member)


def kill_successor(
    cluster: clusters.Cluster, event: stop_events.Event, stopped: subprocess.Popen
) -> None:
    """Kill the successor of a stopped router's process and start it again."""
    member = cluster.routers[event.index]
    if member.process is not stopped:
        clusters.kill(member)
        clusters.launch(member)


async def watch_memory(cluster: clusters.Cluster, peaks_mb: dict[str, float]) -> None:
    """Record the largest resident size of each router's processes, without end."""
    while True:
        for member in cluster.routers:
            peak_mb = max(peaks_mb.get(member.host, 0.0), read_peak_mb(member))
            peaks_mb[member.host] = peak_mb
        await asyncio.sleep(WATCH_INTERVAL_S)


def read_peak_mb(member: clusters.Member) -> float:
    """Return the largest resident size of a member's process, 0 without one."""
    if member.process is None:
        return 0.0
    with contextlib.suppress(OSError):
        path = pathlib.Path(f"/proc/{member.process.pid}/status")
        found = re.search(r"VmHWM:\s+(\d+) kB", path.read_text())
        if found is not None:
            return int(found[1]) / 1024
    return 0.0


def check(
    cluster: clusters.Cluster,
    targets: list[stop_records.Target],
    peaks_mb: dict[str, float],
) -> list[stop_oracle.Finding]:
    """Check the memory of routers, that all processes run, and others' requests."""
    by_host = {target.host: target for target in targets}
    broken = [
        (WITHIN_MEMORY, host, f"{host} had {peak_mb:.0f} MB of {MEMORY_MB}")
        for host, peak_mb in peaks_mb.items()
        if peak_mb >= MEMORY_MB
    ]
    for member in (*cluster.routers, *cluster.replicas):
        if member.process is None or member.process.poll() is not None:
            broken.append((GOES_ON, member.host, f"{member.host} does not run"))
    findings = [
        stop_oracle.Finding(
            promises.Violation(promise, detail), by_host.get(host, targets[0])
        )
        for promise, host, detail in broken
    ]
    return findings + check_answers(targets)


def check_answers(targets: list[stop_records.Target]) -> list[stop_oracle.Finding]:
    """Check that routers serve the short streams of steady clients in time."""
    findings = []
    for target in targets:
        judged = [item for item in target.requests if _is_judged(target, item)]
        served_count = sum(_is_served(target, item) for item in judged)
        if served_count < MIN_SERVED_SHARE * len(judged):
            detail = f"{target.host}: {served_count} of {len(judged)}"
            violation = promises.Violation(ANSWERED, detail)
            findings.append(stop_oracle.Finding(violation, target))
    return findings


def _is_judged(target: stop_records.Target, request: stop_records.Request) -> bool:
    """Return whether no backend server delayed a steady client's request."""
    if request.behaviour != JUDGED_BEHAVIOUR or request.last_byte_s is None:
        return False
    return all(
        attempt.finished_s is not None
        and attempt.finished_s - attempt.received_s < SERVED_WITHIN_S / 2
        for attempt in target.attempts.get(request.request_id, [])
    )


def _is_served(target: stop_records.Target, request: stop_records.Request) -> bool:
    """Return whether a request was served in time, beside evidence of delays."""
    if not request.is_whole or request.status != 200:
        return False
    took_s = request.ended_s - request.sent_s
    if took_s >= SERVED_WITHIN_S:
        from_s, to_s = (
            target.signal_s + at for at in (request.sent_s, request.ended_s)
        )
        took_s -= stop_delays.sum_s(target.gaps + target.soak_gaps, from_s, to_s)
    return took_s < SERVED_WITHIN_S
