"""Plays whole days on processes: ``bin/soak days --seed N --days M``.

Routers stop as planned and replicas are lost and replaced while the operator changes
the table, backend servers come and go, and clients keep calling; a final fault ends the
day.  The exit code is 1 if a promise was broken.
"""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import random
import tempfile
import time
from typing import Annotated

import aiohttp
import cappa

from hickoryweir.testing import promises
from hickoryweir.testing.soak import (
    callers,
    day_clients,
    day_events,
    day_oracle,
    faults,
    replicas,
    stop_backends,
    stop_events,
    stop_records,
    stops,
)
from hickoryweir.testing.soak import cluster as clusters

ROUTERS_COUNT, SERVERS_COUNT, CLIENTS_COUNT = 3, 4, 6
SPAN_S = 36.0
NETWORKS_COUNT = 256
ZONES = ("a", "b", "c")
ATTEMPT_TIMEOUT_S = 1.0
REPEATS_COUNT = 5
RETRY_INTERVAL_S = 0.05
# A change is acknowledged within this time with one replica lost.
ACKNOWLEDGED_S = 12.0
RELAUNCH_MAX_S = 0.8
SAMPLE_INTERVAL_S = 0.25
NS_PER_S = 1e9
TABLE = (
    stops.TABLE
    + """
[route safe]
host = soak.example
path_prefix = /safe/
services = app
execution = idempotent
timeout_s = 30
max_attempts_count = 3
allows_anonymous = yes
"""
)


@dataclasses.dataclass
class Days:
    """Play whole days of stops, losses, changes and a final fault; check promises."""

    seed: Annotated[int, cappa.Arg(long=True, help="Seed of the first day.")] = 1
    days: Annotated[
        int, cappa.Arg(long=True, help="Number of days; each has the next seed.")
    ] = 1
    span: Annotated[
        float, cappa.Arg(long=True, help="Seconds from the start to the last loss.")
    ] = SPAN_S
    routers: Annotated[int, cappa.Arg(long=True, help="Routers.")] = ROUTERS_COUNT
    servers: Annotated[int, cappa.Arg(long=True, help="Servers.")] = SERVERS_COUNT
    clients: Annotated[
        int, cappa.Arg(long=True, help="Clients per router, and per stop.")
    ] = CLIENTS_COUNT
    logs: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Folder for the logs.")
    ] = None


@dataclasses.dataclass(slots=True)
class Play:
    """The processes of a day and what is seen of them.

    Attributes
    ----------
    entries : list of dict
        The current list of backend servers.
    gone : list of Member
        Replicas that never return.
    version : int
        The newest version sent.
    """

    options: Days
    seed: int
    site: stops.Site
    entries: list[dict]
    session: aiohttp.ClientSession
    record: day_oracle.Record
    began_s: float = 0.0
    gone: list[clusters.Member] = dataclasses.field(default_factory=list)
    version: int = stops.FIRST_VERSION

    @property
    def cluster(self) -> clusters.Cluster:
        """Return the processes."""
        return self.site.cluster


def run(options: Days) -> list[promises.Violation]:
    """Play all days and return the violations."""
    found = []
    with tempfile.TemporaryDirectory(prefix="hickoryweir-days-") as temporary:
        for seed in range(options.seed, options.seed + options.days):
            folder = (options.logs or pathlib.Path(temporary)) / f"seed-{seed}"
            found += asyncio.run(play_day(options, seed, folder))
    return found


async def play_day(
    options: Days, seed: int, folder: pathlib.Path
) -> list[promises.Violation]:
    """Play the day of a seed with processes of its own; print and return violations."""
    async with callers.make_session(ATTEMPT_TIMEOUT_S) as session:
        play = await make_play(options, seed, folder, session)
        day = day_events.draw(seed, options.span, options.routers, options.servers)
        try:
            await start(play)
            await play_events(play, day)
        finally:
            stops.end_processes(play.cluster, [])
    violations = day_oracle.find_violations(play.record)
    show(play, day, violations)
    return violations


async def make_play(options: Days, seed: int, folder, session) -> Play:
    """Return a day's processes, which are not started yet, and its servers."""
    attempts: dict[str, list[stop_records.Attempt]] = {}
    servers = [
        await stop_backends.start(f"s{number}", attempts)
        for number in range(options.servers)
    ]
    entries = [
        {
            "id": item.server_id,
            "service": "app",
            "address": f"{stops.HOST}:{item.port}",
        }
        for item in servers
    ]
    number = seed % NETWORKS_COUNT
    cluster = stops.make_cluster(
        folder,
        options.routers,
        await stops.start_list(lambda: entries),
        (f"127.3.{number}", f"127.4.{number}"),
    )
    for members in (cluster.replicas, cluster.routers):
        for index, member in enumerate(members):
            member.zone = ZONES[index % len(ZONES)]
    site = stops.Site(cluster, servers, attempts, TABLE)
    record = day_oracle.Record(callers.Observations(), exit_codes=cluster.exit_codes)
    record.replicas += [member.host for member in cluster.replicas]
    return Play(options, seed, site, entries, session, record)


async def start(play: Play) -> None:
    """Start all processes; return once the routers are ready."""
    await stops.start_processes(play.cluster, TABLE)
    if findings := await stops.check_ready(play.site, play.seed):
        raise TimeoutError(f"seed {play.seed}: {findings[0].violation}")
    for replica in play.cluster.replicas:
        await replicas.wait_until_serving(play, replica)
    play.cluster.values["bootstrap"] = "no"
    await asyncio.sleep(day_events.CATCH_UP_S)


async def play_events(play: Play, day: day_events.Day) -> None:
    """Play all events and the final fault under load."""
    play.began_s = time.monotonic()
    operating = asyncio.create_task(operate(play, day.changes))
    polling = callers.poll_versions(play.cluster, play.record.observations)
    tasks = [asyncio.create_task(polling), asyncio.create_task(watch(play))]
    for router in play.cluster.routers:
        target = day_clients.make_target(play, router)
        play.record.clients.append(target)
        tasks += [
            asyncio.create_task(day_clients.keep_calling(target, number))
            for number in range(play.options.clients)
        ]
    await asyncio.gather(
        in_series(play, day.losses, lose),
        in_series(play, day.servers, disturb),
        in_series(play, day.reloads, reload),
        *(stop_router(play, event, n) for n, event in enumerate(day.stops)),
    )
    await lose(play, day.last_loss)
    await asyncio.sleep(day.final.duration_s)
    await replicas.end_tasks([operating])
    await play_final(play, day.final)
    await replicas.end_tasks(tasks)


async def in_series(play: Play, events: list[stop_events.Event], carry_out) -> None:
    """Bring events about at their times, each after the end of the one before."""
    for event in events:
        await sleep_until(play, event.at_s)
        await carry_out(play, event)


async def sleep_until(play: Play, at_s: float) -> None:
    """Sleep until a time of the day."""
    await asyncio.sleep(max(0.0, play.began_s + at_s - time.monotonic()))


async def lose(play: Play, event: stop_events.Event) -> None:
    """Lose a replica; return once as many as before count again."""
    cluster = play.cluster
    member = cluster.replicas[event.index]
    began_s = time.monotonic()
    if event.kind in day_events.SUCCESSIONS:
        await succeed(play, member)
        await asyncio.sleep(event.duration_s)
    cluster.replicas.remove(member)
    if event.kind in (day_events.REPLACE, day_events.RESTART):
        await clusters.stop(cluster, member)
    else:
        clusters.kill(member)
    if event.kind in day_events.SUCCESSIONS:
        play.gone.append(member)
        point_to_replicas(play)
    else:
        if event.kind == day_events.EMPTY:
            clusters.wipe(member)
        await asyncio.sleep(event.duration_s)
        clusters.write_settings(cluster, member)
        await launch(play, member)
        cluster.replicas.insert(event.index, member)
        await asyncio.sleep(day_events.CATCH_UP_S)
    ended_s = time.monotonic()
    play.record.injected.append(
        faults.InjectedFault(event.kind, member.host, began_s, ended_s)
    )


async def succeed(play: Play, member: clusters.Member) -> None:
    """Start the successor of a replica in its zone; return once it counts."""
    cluster = play.cluster
    network = member.host.rpartition(".")[0]
    number = len(cluster.replicas) + len(play.gone) + 1
    host = f"{network}.{number}"
    successor = clusters.Member(
        "replica", host, member.folder.parent / host, zone=member.zone
    )
    successor.folder.mkdir()
    clusters.write_settings(cluster, successor)
    await launch(play, successor)
    cluster.replicas.append(successor)
    play.record.replicas.append(host)
    await asyncio.sleep(day_events.CATCH_UP_S)


def point_to_replicas(play: Play) -> None:
    """Name the replicas that count in all settings, for the next starts and SIGHUPs."""
    cluster = play.cluster
    cluster.values["seeds"] = ", ".join(
        f"{replica.host}:{cluster.port}" for replica in cluster.replicas
    )
    for member in (*cluster.replicas, *cluster.routers):
        clusters.write_settings(cluster, member)


async def launch(play: Play, member: clusters.Member) -> None:
    """Start a replica; return once it listens."""
    clusters.launch(member)
    await replicas.wait_until_serving(play, member)


async def disturb(play: Play, event: stop_events.Event) -> None:
    """Let a backend server leave the list for a time, or disturb it."""
    if event.kind == day_events.LEAVE:
        entry = play.entries.pop(event.index)
        await asyncio.sleep(event.duration_s)
        play.entries.insert(event.index, entry)
        return
    server = play.site.servers[event.index]
    await stop_backends.disturb(server, event.kind, event.duration_s)


async def reload(play: Play, event: stop_events.Event) -> None:
    """Change a router's settings and send it SIGHUP."""
    process = play.cluster.routers[event.index].process
    stop_events.signal_router(play.cluster, event, process)


async def stop_router(play: Play, event: stop_events.Event, number: int) -> None:
    """Stop a router as planned under further clients, and start it again."""
    target = stops.make_target(play.site, event, play.began_s, play.seed)
    target.prefix = f"stop-{number}-"
    target.generator = random.Random(f"{play.seed} stop {number}")
    options = stops.Stops(clients=play.options.clients)
    await stops.stop_router(play.site, event, target, options, [])
    play.record.stops.append(target)
    ended_s = target.signal_s + target.exit_s
    play.record.injected.append(
        faults.InjectedFault("stop", target.host, target.signal_s, ended_s)
    )


async def operate(play: Play, events: list[stop_events.Event]) -> None:
    """Change the table as drawn, and go on changing it until cancelled."""
    for event in events:
        await sleep_until(play, event.at_s)
        await change(play, event)
    generator = random.Random(f"{play.seed} operator")
    while True:
        index = generator.randrange(day_events.REPLICAS_COUNT)
        await change(play, stop_events.Event(0.0, day_events.CHANGE, index))
        await asyncio.sleep(RETRY_INTERVAL_S)


async def change(play: Play, event: stop_events.Event) -> None:
    """Send the next version, two at once, or one again whose response is lost."""
    play.version += 1
    if event.kind == day_events.RACE:
        play.version += 1
        older, newer = play.version - 1, play.version
        await asyncio.gather(
            put(play, event.index, older), put(play, event.index + 1, newer)
        )
        return
    if event.kind == day_events.REPEAT:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(event.duration_s):
                await put(play, event.index, play.version)
    for number in range(REPEATS_COUNT):
        if await put(play, event.index + number, play.version):
            return
        await asyncio.sleep(RETRY_INTERVAL_S)


async def put(play: Play, index: int, version: int) -> bool:
    """Send a version to a replica; record whether it is acknowledged, and return it."""
    running = play.cluster.replicas
    host = running[index % len(running)].host
    is_taken = await callers.put_table_to(
        play.session, play.cluster, version, host, TABLE
    )
    if is_taken:
        play.record.observations.accepted.append((version, time.monotonic()))
    return is_taken


async def play_final(play: Play, event: stop_events.Event) -> None:
    """Bring the final fault about right after an acknowledgement; read the table."""
    cluster, record = play.cluster, play.record
    record_ended(play)
    until_s = time.monotonic() + ACKNOWLEDGED_S
    play.version += 1
    index = event.index
    while not await put(play, index, play.version):
        if time.monotonic() > until_s:
            return
        index += 1
    record.final_s = time.monotonic()
    record.final_version = play.version
    killed = list(cluster.replicas)
    if event.kind != day_events.FINAL_DISK:
        killed += cluster.routers
    for member in killed:
        member.process.kill()
    for member in killed:
        clusters.kill(member)
    if event.kind != day_events.FINAL_KILL:
        clusters.wipe(cluster.replicas[event.index])
    generator = random.Random(f"{play.seed} relaunch")
    delays_s = [generator.uniform(0.0, RELAUNCH_MAX_S) for _ in killed]
    await asyncio.gather(
        *(relaunch(play, *each) for each in zip(killed, delays_s, strict=True))
    )
    ended_s = time.monotonic()
    record.injected += [
        faults.InjectedFault(event.kind, member.host, record.final_s, ended_s)
        for member in killed
    ]
    await asyncio.gather(*(read(play, member, ended_s) for member in cluster.replicas))
    await asyncio.sleep(day_clients.REST_S)
    record_ended(play)


async def relaunch(play: Play, member: clusters.Member, delay_s: float) -> None:
    """Start a killed process again after a time."""
    await asyncio.sleep(delay_s)
    clusters.write_settings(play.cluster, member)
    await launch(play, member)


async def read(play: Play, replica: clusters.Member, ended_s: float) -> None:
    """Read the table from a replica until it answers; record the version."""
    seen, until_s = callers.Observations(), ended_s + day_oracle.FINAL_READ_S
    while not seen.read_back and time.monotonic() < until_s:
        await callers.read_replica(play.session, play.cluster, seen, replica)
        await asyncio.sleep(RETRY_INTERVAL_S)
    versions = [reading.version for reading in seen.read_back]
    play.record.final_reads[replica.host] = versions[0] if versions else None


def record_ended(play: Play) -> None:
    """Record the processes that have ended by themselves, once each."""
    for member in (*play.cluster.replicas, *play.cluster.routers):
        code = member.process.poll()
        if code is not None and (member.host, code) not in play.record.ended:
            play.record.ended.append((member.host, code))


async def watch(play: Play) -> None:
    """Record for how long processes and the soak itself wait, until cancelled."""
    former: dict[int, float] = {}
    at_s = time.monotonic()
    while True:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        began_s, at_s = at_s, time.monotonic()
        waits = {"": at_s - began_s - SAMPLE_INTERVAL_S}
        for member in (*play.cluster.replicas, *play.cluster.routers):
            if member.process is not None and member.process.poll() is None:
                process_id = member.process.pid
                total_s = read_waited_s(process_id)
                waits[member.host] = total_s - former.get(process_id, 0.0)
                former[process_id] = total_s
        play.record.delays += [
            day_oracle.Delay(host, began_s, at_s, waited_s)
            for host, waited_s in waits.items()
        ]


def read_waited_s(process_id: int) -> float:
    """Return for how long a process has been ready to run without a processor."""
    text = pathlib.Path(f"/proc/{process_id}/schedstat").read_text()
    return int(text.split()[1]) / NS_PER_S


def show(play: Play, day: day_events.Day, violations: list) -> None:
    """Print a line on a day, and if a promise was broken all that led to it."""
    record, options = play.record, play.options
    requests = [
        request
        for target in (*record.clients, *record.stops)
        for request in target.requests
    ]
    statuses = collections.Counter(item.status or item.end for item in requests)
    print(
        f"seed {play.seed}: {len(requests)} requests {dict(statuses)}, "
        f"{len(record.stops)} stops, {len(day.losses) + 1} losses, "
        f"{len(record.observations.accepted)} changes, "
        f"{day.last_loss.kind} then {day.final.kind} {day.final.duration_s:.2f} s "
        f"later, reads {record.final_reads}, {len(violations)} violations",
        flush=True,
    )
    if not violations:
        return
    for violation in violations[: stops.SHOWN_COUNT]:
        print(f"BROKEN: {violation.promise}: {violation.detail}")
    for item in sorted(record.injected, key=lambda item: item.began_s):
        print(
            f"  {item.began_s - play.began_s:7.3f} to "
            f"{item.ended_s - play.began_s:7.3f} {item.kind} {item.target}"
        )
    print(
        f"  again: bin/soak days --seed {play.seed} --span {options.span} "
        f"--routers {options.routers} --servers {options.servers} "
        f"--clients {options.clients}",
        flush=True,
    )


def main() -> None:
    """Run from the command line."""
    violations = run(cappa.parse(Days))
    raise SystemExit(1 if violations else 0)


if __name__ == "__main__":
    main()
