"""Plays whole days on processes: ``bin/soak days --seed N --days M``.

Routers are added and stop as planned, and replicas are lost and replaced while the
operator changes the table, backend servers come and go, and clients keep calling; a
final fault ends the day.  The exit code is 1 if a promise was broken.
"""

import asyncio
import collections
import dataclasses
import pathlib
import random
import tempfile
import time
from typing import Annotated

import cappa

from hickoryweir.testing import promises
from hickoryweir.testing.soak import (
    callers,
    day_clients,
    day_events,
    day_losses,
    day_oracle,
    day_plays,
    faults,
    replicas,
    stop_backends,
    stop_clients,
    stop_events,
    stop_records,
    stops,
    wire,
)
from hickoryweir.testing.soak import cluster as clusters

ROUTERS_COUNT, SERVERS_COUNT, CLIENTS_COUNT = 3, 4, 6
SPAN_S = 36.0
NETWORKS_COUNT = 256
ZONES = ("a", "b", "c")
ATTEMPT_TIMEOUT_S = 1.0


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
    entry: Annotated[
        str,
        cappa.Arg(long=True, help="Script that runs all processes, see stops."),
    ] = ""
    logs: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Folder for the logs.")
    ] = None


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
        recording = asyncio.create_task(stops.record_delays(play.site))
        try:
            await start(play)
            await play_events(play, day)
        finally:
            recording.cancel()
            stops.end_processes(play.cluster, [])
    violations = day_oracle.find_violations(play.record)
    show(options, play, day, violations)
    return violations


async def make_play(options: Days, seed: int, folder, session) -> day_plays.Play:
    """Return a day's processes, which are not started yet, and its servers."""
    attempts: dict[str, list[stop_records.Attempt]] = {}
    formats = wire.load(options.entry)
    servers = [
        await stop_backends.start(f"s{number}", attempts, formats)
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
        await stops.start_list(lambda: entries, formats),
        (f"127.3.{number}", f"127.4.{number}"),
        formats,
    )
    for members in (cluster.replicas, cluster.routers):
        for index, member in enumerate(members):
            member.zone = ZONES[index % len(ZONES)]
            member.has_slow_disk = member in cluster.replicas
    site = stops.Site(cluster, servers, attempts, day_plays.TABLE)
    current = replicas.Round(seed, cluster, session)
    record = day_oracle.Record(
        current.observations,
        exit_codes=cluster.exit_codes,
        ended=current.recovery.ended,
        replicas=[member.host for member in cluster.replicas],
    )
    return day_plays.Play(seed, options.clients, site, entries, current, record)


async def start(play: day_plays.Play) -> None:
    """Start all processes; return once the routers are ready."""
    await stops.start_processes(play.cluster, day_plays.TABLE)
    if findings := await stops.check_ready(play.site, play.seed):
        raise TimeoutError(f"seed {play.seed}: {findings[0].violation}")
    for replica in play.cluster.replicas:
        await replicas.wait_until_serving(play.current, replica)
    play.cluster.values["bootstrap"] = "no"
    await asyncio.sleep(day_events.CATCH_UP_S)


async def play_events(play: day_plays.Play, day: day_events.Day) -> None:
    """Play all events and the final fault under load."""
    play.began_s = time.monotonic()
    operating = asyncio.create_task(day_plays.operate(play, day.changes))
    polling = callers.poll_versions(play.cluster, play.record.observations)
    tasks = [asyncio.create_task(polling), asyncio.create_task(day_plays.watch(play))]
    for router in play.cluster.routers:
        tasks += start_clients(play, router)
    added = enumerate(day.additions, len(day.stops))
    await asyncio.gather(
        in_series(play, day.losses, day_losses.lose),
        in_series(play, day.slow_disks, day_losses.slow_disk),
        in_series(play, day.servers, disturb),
        in_series(play, day.reloads, reload),
        *(stop_router(play, event, n) for n, event in enumerate(day.stops)),
        *(add_router(play, event, n, tasks) for n, event in added),
    )
    await day_losses.lose(play, day.last_loss)
    await asyncio.sleep(day.final.duration_s)
    await replicas.end_tasks([operating])
    await day_losses.play_final(play, day.final)
    await replicas.end_tasks(tasks)


def start_clients(play: day_plays.Play, router: clusters.Member) -> list[asyncio.Task]:
    """Start clients that use a router through the rest of the day."""
    target = day_clients.make_target(play, router)
    play.record.clients.append(target)
    return [
        asyncio.create_task(day_clients.keep_calling(target, number))
        for number in range(play.clients_count)
    ]


async def in_series(
    play: day_plays.Play, events: list[stop_events.Event], carry_out
) -> None:
    """Bring events about at their times, each after the end of the one before."""
    for event in events:
        await day_plays.sleep_until(play, event.at_s)
        await carry_out(play, event)


async def disturb(play: day_plays.Play, event: stop_events.Event) -> None:
    """Let a backend server leave the list for a time, or disturb it."""
    if event.kind == day_events.LEAVE:
        entry = play.entries.pop(event.index)
        await asyncio.sleep(event.duration_s)
        play.entries.insert(event.index, entry)
        return
    server = play.site.servers[event.index]
    await stop_backends.disturb(server, event.kind, event.duration_s)


async def reload(play: day_plays.Play, event: stop_events.Event) -> None:
    """Change a router's settings and send it SIGHUP."""
    process = play.cluster.routers[event.index].process
    stop_events.signal_router(play.cluster, event, process)


async def stop_router(
    play: day_plays.Play, event: stop_events.Event, number: int
) -> None:
    """Stop a router as planned under further clients, and start it again."""
    target = stops.make_target(play.site, event, play.began_s, play.seed)
    target.prefix = f"stop-{number}-"
    target.generator = random.Random(f"{play.seed} stop {number}")
    options = stops.Stops(clients=play.clients_count)
    await stops.stop_router(play.site, event, target, options, [])
    play.record.stops.append(target)
    ended_s = target.signal_s + target.exit_s
    play.record.injected.append(
        faults.InjectedFault("stop", target.host, target.signal_s, ended_s)
    )


async def add_router(
    play: day_plays.Play, event: stop_events.Event, number: int, tasks: list
) -> None:
    """Start a further router and clients of it; stop it as planned some time later.

    Parameters
    ----------
    number : int
        Number of its stop.
    tasks : list of Task
        Gets the clients.
    """
    await day_plays.sleep_until(play, event.at_s)
    cluster, index = play.cluster, len(play.cluster.routers)
    first = cluster.routers[0]
    host = f"{first.host.rpartition('.')[0]}.{index + 1}"
    folder = first.folder.parent / f"router-{index}"
    zone = ZONES[index % len(ZONES)]
    member = clusters.Member("router", host, folder, zone=zone, entry=first.entry)
    cluster.routers.append(member)
    folder.mkdir()
    clusters.write_settings(cluster, member)
    clusters.launch(member)
    play.record.injected.append(
        faults.InjectedFault(event.kind, host, member.started_s, member.started_s)
    )
    if not await clusters.wait_until_ready(play.current.session, cluster, member):
        play.record.unready.append(host)
    tasks += start_clients(play, member)
    await asyncio.sleep(event.duration_s)
    at_s = time.monotonic() - play.began_s + stop_clients.LEAD_S
    stop = stop_events.Event(at_s, stop_events.TERMINATE, index)
    await stop_router(play, stop, number)


def show(
    options: Days, play: day_plays.Play, day: day_events.Day, violations: list
) -> None:
    """Print a line on a day, and if a promise was broken all that led to it."""
    record = play.record
    requests = [
        request
        for target in (*record.clients, *record.stops)
        for request in target.requests
    ]
    statuses = collections.Counter(item.status or item.end for item in requests)
    print(
        f"seed {play.seed}: {len(requests)} requests {dict(statuses)}, "
        f"{len(record.stops)} stops, {len(day.losses) + 1} losses, "
        f"{len(day.slow_disks)} slow disks, "
        f"{len(day.additions)} routers added, "
        f"{len(record.observations.accepted)} changes, "
        f"{day.last_loss.kind} then {day.final.kind} {day.final.duration_s:.2f} s "
        f"later, reads {record.final_reads}, processes waited for up to "
        f"{day_oracle.longest_wait_s(record):.2f} s, {len(violations)} violations",
        flush=True,
    )
    for finding, evidence in record.excused:
        violation = finding.violation
        print(f"EXCUSED: {violation.promise}: {violation.detail}: {evidence}")
    if not violations:
        return
    for violation in violations[: stops.SHOWN_COUNT]:
        print(f"BROKEN: {violation.promise}: {violation.detail}")
    frozen = day_oracle.find_frozen(record)
    for item in sorted(record.injected + frozen, key=lambda item: item.began_s):
        print(
            f"  {item.began_s - play.began_s:7.3f} to "
            f"{item.ended_s - play.began_s:7.3f} "
            f"{item.kind} {item.target} {item.detail}"
        )
    print(
        f"  again: bin/soak days --seed {play.seed} --span {options.span} "
        f"--routers {options.routers} --servers {options.servers} "
        f"--clients {options.clients}"
        + (f" --entry {options.entry}" if options.entry else ""),
        flush=True,
    )


def main() -> None:
    """Run from the command line."""
    violations = run(cappa.parse(Days))
    raise SystemExit(1 if violations else 0)


if __name__ == "__main__":
    main()
