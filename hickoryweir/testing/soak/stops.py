"""Runs the soak test of planned stops: ``bin/soak stops --seed N --rounds M``.

In each round every router gets SIGTERM while raw clients keep using it, among other
events that overlap; its successor starts right after the exit.  The exit code is 1 if
a promise was broken.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from typing import Annotated

import cappa
from aiohttp import web

from hickoryweir.testing import links, promises, waiting
from hickoryweir.testing.demo import entry_vms
from hickoryweir.testing.soak import (
    callers,
    stop_backends,
    stop_clients,
    stop_delays,
    stop_early,
    stop_events,
    stop_floods,
    stop_moves,
    stop_oracle,
    stop_records,
    stop_timelines,
    stop_uploads,
    wire,
)
from hickoryweir.testing.soak import cluster as clusters

HOST = "127.0.0.1"
REPLICAS_COUNT = 3
# Time from the start of a round until its first signal.
ROUND_LEAD_S = stop_clients.LEAD_S + 0.2
KILL_AFTER_S = stop_records.GRACE_S + 30.0
SHOWN_COUNT = 10
BUSY_LOOP = "while True: pass"
FIRST_VERSION = 1
MS_PER_S = 1000.0
TABLE = """[table]
version = {version}

[service app]
slots_count = 64

[route once]
host = soak.example
path_prefix = /once/
services = app
execution = at_most_once
timeout_s = 30
max_attempts_count = 3
allows_anonymous = yes

[route stream]
host = soak.example
path_prefix = /stream/
services = app
execution = resumable_stream
is_stream = yes
timeout_s = 30
max_attempts_count = 3
allows_anonymous = yes

[route short]
host = soak.example
path_prefix = /short/
services = app
execution = resumable_stream
is_stream = yes
timeout_s = 30
max_attempts_count = 3
allows_anonymous = yes
"""


@dataclasses.dataclass
class Stops:
    """Stop routers under load from raw clients among other events; check promises."""

    seed: Annotated[int, cappa.Arg(long=True, help="Seed of the first round.")] = 1
    rounds: Annotated[
        int, cappa.Arg(long=True, help="Number of rounds; each has the next seed.")
    ] = 1
    routers: Annotated[int, cappa.Arg(long=True, help="Number of routers.")] = 3
    servers: Annotated[int, cappa.Arg(long=True, help="Backend servers.")] = 3
    clients: Annotated[int, cappa.Arg(long=True, help="Clients per router.")] = 40
    behaviours: Annotated[
        str, cappa.Arg(long=True, help="Names of clients' behaviours, by commas.")
    ] = ""
    busy: Annotated[
        int, cappa.Arg(long=True, help="Busy processes beside, for want of time.")
    ] = 0
    floods: Annotated[
        int,
        cappa.Arg(long=True, help="Floods by backend servers per router and round."),
    ] = 0
    starts: Annotated[
        bool,
        cappa.Arg(
            long=True,
            help="Open most routers' ports before their imports, stop routers that "
            "start, and pause processes around moments of their stops.",
        ),
    ] = False
    senders: Annotated[
        int, cappa.Arg(long=True, help="Floods by clients per router and round.")
    ] = 0
    uploads: Annotated[
        int, cappa.Arg(long=True, help="Clients per router that upload large bodies.")
    ] = 0
    moves: Annotated[
        bool,
        cappa.Arg(
            long=True,
            help="Tables around the stops that move routes and change the idle time.",
        ),
    ] = False
    delay_ms: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Clients connect through a link with this delay each way, a number "
            "or a range as 1-5 from which each connection draws.",
        ),
    ] = ""
    early: Annotated[
        int,
        cappa.Arg(
            long=True,
            help="Clients per router whose uploads servers answer before the end.",
        ),
    ] = 0
    limits: Annotated[
        bool,
        cappa.Arg(
            long=True,
            help="Limit routers' processors around their stops, with second signals.",
        ),
    ] = False
    full_logs: Annotated[
        bool,
        cappa.Arg(long=True, help="Routers' logs are pipes that nobody reads."),
    ] = False
    entry: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Script that runs all processes, with its formats beside it, such as "
            "platform/main.py; not beside --floods.",
        ),
    ] = ""
    logs: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Folder for the logs.")
    ] = None

    @property
    def delays_s(self) -> tuple[float, float] | None:
        """Return the bounds of the delays of links, or None without links."""
        if not self.delay_ms:
            return None
        low, _, high = self.delay_ms.partition("-")
        return float(low) / MS_PER_S, float(high or low) / MS_PER_S

    @property
    def has_floods(self) -> bool:
        """Return whether routers are judged by their memory beside floods."""
        return any((self.floods, self.senders, self.uploads))


@dataclasses.dataclass(slots=True)
class Site:
    """The processes and backend servers of a run, and what was seen of them.

    Attributes
    ----------
    attempts : dict
        Arrivals at backend servers by request id.
    table : str
        Text of the table but for its version.
    moves_routes : bool
        Whether tables move routes and change the idle time.
    table_version : int
        The newest version sent.
    delays : Recorder
        When the processes and the soak itself were not scheduled.
    replica_targets : list of Target
        The replicas that were stopped; nobody uses them.
    links_loop : asyncio.AbstractEventLoop or None
        Of the links; None without any.
    router_links : dict
        Links to routers in a round, by host.
    links_seen : Counter
        What the links of all rounds have passed on.
    links_late_s : float
        Longest time by which one of them was late.
    kept_losses : list of Finding
        Requests on kept connections without an answer, of all rounds.
    ends, uploads, excused : collections.Counter
        Requests by status, excuse or promise broken, uploads by form and end, and
        violations by promise that the run's own figures excuse.
    """

    cluster: clusters.Cluster
    servers: list[stop_backends.Backend]
    attempts: dict[str, list[stop_records.Attempt]]
    table: str = TABLE
    moves_routes: bool = False
    table_version: int = FIRST_VERSION
    stops_count: int = 0
    events_count: int = 0
    peak_mb: float = 0.0
    delays: stop_delays.Recorder = dataclasses.field(
        default_factory=stop_delays.Recorder
    )
    links_loop: asyncio.AbstractEventLoop | None = None
    router_links: dict[str, links.Link] = dataclasses.field(default_factory=dict)
    links_seen: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    links_late_s: float = 0.0
    replica_targets: list[stop_records.Target] = dataclasses.field(default_factory=list)
    kept_losses: list[stop_oracle.Finding] = dataclasses.field(default_factory=list)
    excused: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    ends: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    uploads: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


async def run(options: Stops) -> list[stop_oracle.Finding]:
    """Run all rounds, print the violations, and return them."""
    findings = []
    busy = start_busy_processes(options.busy)
    async with contextlib.AsyncExitStack() as stack:
        folder = options.logs or pathlib.Path(
            stack.enter_context(
                tempfile.TemporaryDirectory(prefix="hickoryweir-stops-")
            )
        )
        site = await make_site(folder, options, stack)
        if options.delays_s:
            site.links_loop = stack.enter_context(links.run())
        recording = asyncio.create_task(record_delays(site))
        try:
            await start_processes(site.cluster, site.table)
            for number in range(options.rounds):
                seed = options.seed + number
                async with open_links(site, options, seed):
                    findings += await run_round(site, options, seed)
        finally:
            recording.cancel()
            end_processes(site.cluster, busy)
    late, excused = stop_oracle.split(check_replicas(site))
    show_excused(site, excused)
    findings += late
    findings += stop_oracle.check_kept(site.kept_losses)
    report(site, options, findings)
    return findings


async def record_delays(site: Site) -> None:
    """Record when the processes of a run are not scheduled."""

    def list_pids() -> list[int]:
        members = (*site.cluster.replicas, *site.cluster.routers)
        processes = (member.process for member in members)
        return [process.pid for process in processes if process is not None]

    await stop_delays.record(site.delays, list_pids)


def start_busy_processes(count: int) -> list[subprocess.Popen]:
    """Start processes that leave little processor time to the others."""
    return [subprocess.Popen([sys.executable, "-c", BUSY_LOOP]) for _ in range(count)]


def end_processes(cluster: clusters.Cluster, busy: list[subprocess.Popen]) -> None:
    """Kill the processes that still run."""
    members = (*cluster.routers, *cluster.replicas)
    for process in (*(member.process for member in members), *busy):
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()


async def make_site(
    folder: pathlib.Path, options: Stops, stack: contextlib.AsyncExitStack
) -> Site:
    """Start backend servers, and return them with the processes to be started."""
    formats = wire.load(options.entry)
    if options.entry and options.floods:
        raise ValueError("servers that send without end have the project's own formats")
    attempts: dict[str, list[stop_records.Attempt]] = {}
    servers = [
        await stop_backends.start(f"s{number}", attempts, formats, options.early > 0)
        for number in range(options.servers)
    ]
    entries = [
        {"id": item.server_id, "service": "app", "address": f"{HOST}:{item.port}"}
        for item in servers
    ]
    if options.senders:
        entries += [
            entry | {"id": f"sound-{entry['id']}", "service": stop_floods.SOUND_SERVICE}
            for entry in entries
        ]
    if options.moves:
        entries = stop_moves.add_entries(entries)
    if options.floods:
        entries += await stack.enter_async_context(stop_floods.run_servers())
    list_address = await start_list(lambda: entries, formats)
    cluster = make_cluster(folder, options.routers, list_address, formats=formats)
    for member in cluster.routers:
        member.has_full_pipe = options.full_logs
    if options.starts and not options.entry:
        # The others are started by the command line.
        for member in cluster.routers[::2]:
            member.opens_early = True
    site = Site(cluster, servers, attempts)
    if options.moves:
        site.table, site.moves_routes = stop_moves.add_service(site.table), True
    if options.has_floods:
        cluster.values["memory_mb"] = stop_floods.MEMORY_MB
        site.table += stop_floods.make_table()
    return site


async def start_processes(cluster: clusters.Cluster, table: str) -> None:
    """Start replicas and routers, and put the first version of a table."""
    for member in (*cluster.replicas, *cluster.routers):
        member.folder.mkdir(parents=True)
        clusters.write_settings(cluster, member)
        clusters.launch(member)
    text = table.format(version=FIRST_VERSION)
    async with callers.make_session(callers.OPERATOR_TIMEOUT_S) as session:
        for _ in range(round(clusters.READY_TIMEOUT_S / clusters.POLL_INTERVAL_S)):
            if await put_table(session, cluster, text):
                break
            await asyncio.sleep(clusters.POLL_INTERVAL_S)


async def start_list(
    get_entries: Callable[[], list[dict]], formats: wire.Formats = wire.OWN
) -> str:
    """Serve the current list of backend servers; return its address."""

    async def list_servers(request: web.BaseRequest) -> web.Response:
        return web.json_response(formats.make_list(get_entries()))

    listener = await asyncio.get_running_loop().create_server(
        web.Server(list_servers, access_log=None), HOST, 0
    )
    return f"{HOST}:{listener.sockets[0].getsockname()[1]}"


def make_cluster(
    folder: pathlib.Path,
    routers_count: int,
    list_address: str,
    networks: tuple[str, str] = ("127.0.5", "127.0.6"),
    formats: wire.Formats = wire.OWN,
) -> clusters.Cluster:
    """Return the processes of a run, replicas and routers in a network each.

    They are not started yet.
    """
    hosts = [f"{networks[0]}.{number + 1}" for number in range(REPLICAS_COUNT)]
    ports = [entry_vms.free_port() for _ in range(4)]
    names = ("port", "ready_port", "peer_port", "metrics_port")
    values = dict(zip(names, ports, strict=True)) | {
        "seeds": ", ".join(f"{host}:{ports[0]}" for host in hosts),
        "list_address": list_address,
        "grace_s": stop_records.GRACE_S,
        "extra_count": 100,
    }
    replicas = [clusters.Member("replica", host, folder / host) for host in hosts]
    routers = [
        clusters.Member(
            "router", f"{networks[1]}.{number + 1}", folder / f"router-{number}"
        )
        for number in range(routers_count)
    ]
    for member in (*replicas, *routers):
        member.entry = formats.entry
    return clusters.Cluster(replicas, routers, [], values, formats=formats)


async def put_next_table(session, site: Site) -> bool:
    """Send the next version to a replica that answers; return whether one did."""
    site.table_version += 1
    table = site.table.format(version=site.table_version)
    if site.moves_routes:
        table = stop_moves.move(table, site.table_version)
    return await put_table(session, site.cluster, table)


async def put_table(session, cluster: clusters.Cluster, table: str) -> bool:
    """Send a table to a replica that answers; return whether one did."""
    for member in cluster.replicas:
        url = f"http://{member.host}:{cluster.port}{cluster.formats.put_path}"
        body = cluster.formats.make_table(table)
        with contextlib.suppress(*callers.CONNECTION_ERRORS):
            async with session.request(
                cluster.formats.put_method, url, data=body
            ) as reply:
                if reply.status == 200:
                    return True
    return False


async def run_round(site: Site, options: Stops, seed: int) -> list[stop_oracle.Finding]:
    """Stop each router once among the events of a seed; print what was broken."""
    cluster = site.cluster
    findings = await check_ready(site, seed)
    generator = random.Random(seed)
    events = stop_events.draw(
        generator, len(cluster.routers), len(cluster.replicas), len(site.servers)
    )
    start_s = time.monotonic() + ROUND_LEAD_S
    if options.floods:
        events = stop_floods.draw(
            generator, events, options.floods, len(cluster.replicas)
        )
    events = stop_floods.draw_senders(generator, events, options.senders)
    stops = [event for event in events if event.kind == stop_events.TERMINATE]
    targets = [make_target(site, event, start_s, seed) for event in stops]
    drawn_apart = draw_starts(seed, stops) if options.starts else []
    starts = [event for event in drawn_apart if event.kind == stop_events.START_STOP]
    events += [event for event in drawn_apart if event not in starts]
    if options.moves:
        events += stop_moves.draw(seed, stops)
    if options.limits:
        events += stop_events.draw_limits(random.Random(f"{seed} limits"), stops)
    # A request that is lost in a kill is not lost in a planned stop.
    indexes = {event.index for event in starts}
    events = [
        event
        for event in events
        if event.kind != stop_floods.KILL_ROUTER or event.index not in indexes
    ]
    killed = {event.index for event in events if event.kind == stop_floods.KILL_ROUTER}
    for event, target in zip(stops, targets, strict=True):
        target.kills_successor = event.index in killed
    processes = [member.process for member in cluster.routers]
    others = [
        asyncio.create_task(carry_out(site, event, start_s, processes))
        for event in events
        if event.kind != stop_events.TERMINATE
    ]
    peaks_mb: dict[str, float] = {}
    watching = asyncio.create_task(stop_floods.watch_memory(cluster, peaks_mb))
    start_targets = await asyncio.gather(
        *(
            stop_router(site, event, target, options, starts)
            for event, target in zip(stops, targets, strict=True)
        )
    )
    targets += itertools.chain.from_iterable(start_targets)
    await asyncio.gather(*others)
    watching.cancel()
    findings += stop_oracle.find_violations(targets)
    if options.has_floods:
        findings += stop_floods.check(cluster, targets, peaks_mb)
        findings += stop_uploads.check(targets)
        site.peak_mb = max(site.peak_mb, *peaks_mb.values())
    findings += stop_early.check(targets)
    findings, excused = stop_oracle.split(findings)
    show(site, options, findings, events, start_s)
    show_excused(site, excused)
    site.kept_losses += stop_oracle.list_kept_losses(targets)
    count_ends(site, targets)
    site.stops_count += len(targets)
    site.events_count += len(events)
    site.attempts.clear()
    return findings


@contextlib.asynccontextmanager
async def open_links(site: Site, options: Stops, seed: int) -> AsyncIterator[None]:
    """Link the clients of a round to the routers, if the options say so."""
    if options.delays_s is None:
        yield
        return
    async with contextlib.AsyncExitStack() as stack:
        for member in site.cluster.routers:
            link = links.open_link(
                site.links_loop,
                member.host,
                site.cluster.port,
                options.delays_s,
                f"{seed} link {member.host}",
            )
            site.router_links[member.host] = await stack.enter_async_context(link)
        yield
        for link in site.router_links.values():
            site.links_seen["connections"] += link.connections_count
            site.links_seen["resets"] += link.resets_count
            site.links_seen["bytes overtaken by resets"] += link.dropped_size_bytes
            site.links_late_s = max(site.links_late_s, link.late_s)
    site.router_links.clear()


def draw_starts(seed: int, stops: list[stop_events.Event]) -> list[stop_events.Event]:
    """Return pauses and stops of successors, which change no other event of a seed."""
    generator = random.Random(f"{seed} starts")
    starts = stop_events.draw_start_stops(generator, stops)
    return starts + stop_events.draw_pauses(generator, stops)


async def check_ready(site: Site, seed: int) -> list[stop_oracle.Finding]:
    """Wait until all routers are ready; return a finding for each that isn't."""
    cluster = site.cluster
    async with callers.make_session(callers.OPERATOR_TIMEOUT_S) as session:
        are_ready = await asyncio.gather(
            *(
                clusters.wait_until_ready(session, cluster, member)
                for member in cluster.routers
            )
        )
    findings = []
    for member, is_ready in zip(cluster.routers, are_ready, strict=True):
        if not is_ready:
            target = stop_records.Target(
                member.host, cluster.port, 0.0, random.Random(seed), {}, seed
            )
            violation = promises.Violation("a router becomes ready", member.host)
            findings.append(stop_oracle.Finding(violation, target))
    return findings


def make_target(
    site: Site, event: stop_events.Event, start_s: float, seed: int
) -> stop_records.Target:
    """Return the clients' view of a router that is to be stopped."""
    host = site.cluster.routers[event.index].host
    return stop_records.Target(
        host,
        site.cluster.port,
        start_s + event.at_s,
        random.Random(f"{seed}-{event.index}"),
        site.attempts,
        seed,
        link_port=site.router_links[host].port if host in site.router_links else None,
        soak_gaps=site.delays.of(os.getpid()),
        formats=site.cluster.formats,
    )


async def stop_router(
    site: Site,
    event: stop_events.Event,
    target: stop_records.Target,
    options: Stops,
    starts: list[stop_events.Event],
) -> list[stop_records.Target]:
    """Stop a router under load from its clients, and start its successor.

    Returns
    -------
    list of Target
        The clients' view of successors that were stopped while they started.
    """
    cluster = site.cluster
    member = cluster.routers[event.index]
    names = list(stop_clients.BEHAVIOURS)
    if options.behaviours:
        names = options.behaviours.split(",")
    await stop_clients.sleep_until(target, -stop_clients.LEAD_S)
    chosen = [target.generator.choice(names) for _ in range(options.clients)]
    if options.has_floods:
        chosen += [stop_floods.JUDGED_BEHAVIOUR] * stop_floods.JUDGED_CLIENTS_COUNT
    tasks = [
        asyncio.create_task(stop_clients.BEHAVIOURS[name](target)) for name in chosen
    ]
    tasks += [
        asyncio.create_task(stop_uploads.upload_repeatedly(target))
        for _ in range(options.uploads)
    ]
    tasks += [
        asyncio.create_task(stop_early.upload_repeatedly(target, number))
        for number in range(options.early)
    ]
    await stop_clients.sleep_until(target, stop_records.SIGNAL_S)
    target.gaps = site.delays.of(member.process.pid)
    target.signal_delay_s = max(0.0, target.now_s())
    stop_events.signal_router(cluster, event, member.process)
    await await_exit(site, member, target)
    clusters.write_settings(cluster, member)
    clusters.launch(member)
    start_targets = [
        await stop_starting_router(site, start, target.seed, options)
        for start in starts
        if start.index == event.index
    ]
    _, pending = await asyncio.wait(
        tasks, timeout=max(0.0, stop_clients.CLIENT_END_S - target.now_s())
    )
    for task in pending:
        task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        # The router refuses connections once its port is closed.
        if isinstance(outcome, Exception) and not isinstance(outcome, OSError):
            raise outcome
    return start_targets


async def stop_starting_router(
    site: Site, event: stop_events.Event, seed: int, options: Stops
) -> stop_records.Target:
    """Stop a router that has just been started, and start its successor."""
    member = site.cluster.routers[event.index]
    at_start = dataclasses.replace(event, at_s=0.0)
    signal_s = member.started_s + event.duration_s
    target = make_target(site, at_start, signal_s, seed)
    target.prefix = "start-"
    tasks = [
        asyncio.create_task(stop_clients.use_from_the_start(target))
        for _ in range(options.clients)
    ]
    await stop_clients.sleep_until(target, stop_records.SIGNAL_S)
    target.gaps = site.delays.of(member.process.pid)
    target.signal_delay_s = max(0.0, target.now_s())
    stop_events.signal_router(site.cluster, event, member.process)
    await await_exit(site, member, target)
    # Clients see the end of their connections meanwhile.
    await asyncio.sleep(stop_oracle.LOSS_SLACK_S)
    for task in tasks:
        task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome
    clusters.launch(member)
    return target


async def await_exit(
    site: Site, member: clusters.Member, target: stop_records.Target
) -> None:
    """Wait for the end of a stopped process; kill it long after the grace."""
    process = member.process
    with contextlib.suppress(TimeoutError):
        await waiting.wait_until(
            lambda: stop_delays.has_ended(process.pid), KILL_AFTER_S
        )
    target.exit_s = round(target.now_s(), 3)
    # Its figures are gone once it has been waited for.
    stop_delays.sample(site.delays, process.pid)
    if process.poll() is None:
        process.kill()
        process.wait()
    target.exit_code = process.poll()


async def carry_out(
    site: Site,
    event: stop_events.Event,
    start_s: float,
    processes: list[subprocess.Popen],
) -> None:
    """Bring about an event other than a planned stop of a router at its time.

    Parameters
    ----------
    processes : list of Popen
        Of the routers at the start of the round; signals are not for the successors.
    """
    await asyncio.sleep(max(0.0, start_s + event.at_s - time.monotonic()))
    if event.kind == stop_events.REPLACE_TABLE:
        async with callers.make_session(callers.OPERATOR_TIMEOUT_S) as session:
            await put_next_table(session, site)
    elif event.kind == stop_events.STOP_REPLICA:
        await stop_replica(site, event)
    elif event.kind == stop_floods.KILL_REPLICA:
        await stop_floods.kill_replica(site.cluster, event)
    elif event.kind == stop_floods.KILL_ROUTER:
        stop_floods.kill_successor(site.cluster, event, processes[event.index])
    elif isinstance(event, stop_floods.Flood):
        await stop_floods.call(site.cluster, event)
    elif event.kind == stop_events.PAUSE:
        process = processes[event.index]
        await stop_events.pause_router(process, event, site.delays.of(process.pid))
    elif event.kind == stop_events.LIMIT:
        process = processes[event.index]
        share = random.Random(f"{event}").choice(stop_events.LIMITED_SHARES)
        gaps = site.delays.of(process.pid)
        await stop_events.limit_router(process, event, gaps, share)
    elif isinstance(event, stop_floods.Sending):
        await stop_floods.send(site.cluster, event)
    elif event.kind in stop_backends.FAULTS:
        backend = site.servers[event.index]
        await stop_backends.disturb(backend, event.kind, event.duration_s)
    else:
        stop_events.signal_router(site.cluster, event, processes[event.index])


async def stop_replica(site: Site, event: stop_events.Event) -> None:
    """Restart a replica as planned, and record its stop."""
    member = site.cluster.replicas[event.index]
    process = member.process
    target = stop_records.Target(
        member.host, site.cluster.port, time.monotonic(), random.Random(0), {}
    )
    target.gaps = site.delays.of(process.pid)
    target.soak_gaps = site.delays.of(os.getpid())
    site.replica_targets.append(target)
    await clusters.stop(site.cluster, member)
    target.exit_s, target.exit_code = target.now_s(), process.returncode
    await asyncio.sleep(event.duration_s)
    clusters.launch(member)


def check_replicas(site: Site) -> list[stop_oracle.Finding]:
    """Check the exit codes of the replicas that were stopped."""
    findings = []
    for host, code in site.cluster.exit_codes:
        if code != 0:
            target = stop_records.Target(
                host, site.cluster.port, 0.0, random.Random(0), {}
            )
            for stopped in site.replica_targets:
                if (stopped.host, stopped.exit_code) == (host, code):
                    target = stopped
            findings.append(stop_oracle.check_replica_exit(target, code))
    return findings


def count_ends(site: Site, targets: list[stop_records.Target]) -> None:
    """Count the requests by how they ended."""
    for target in targets:
        for request in target.requests:
            end = f"status {request.status}"
            if not request.is_whole:
                end = stop_oracle.find_excuse(target, request) or "LOST"
            site.ends[end] += 1
    site.uploads.update(stop_uploads.count_ends(targets))


def show(site, options, findings, events, start_s) -> None:
    """Print the first violations of a round with their time lines."""
    members = (*site.cluster.replicas, *site.cluster.routers)
    logs = [member.folder / "log" for member in members]
    arguments = (
        f"--routers {options.routers} --servers {options.servers} "
        f"--clients {options.clients}"
    )
    if options.behaviours:
        arguments += f" --behaviours {options.behaviours}"
    if options.floods:
        arguments += f" --floods {options.floods}"
    if options.senders:
        arguments += f" --senders {options.senders}"
    if options.uploads:
        arguments += f" --uploads {options.uploads}"
    if options.busy:
        arguments += f" --busy {options.busy}"
    if options.starts:
        arguments += " --starts"
    if options.moves:
        arguments += " --moves"
    if options.delay_ms:
        arguments += f" --delay-ms {options.delay_ms}"
    if options.early:
        arguments += f" --early {options.early}"
    if options.limits:
        arguments += " --limits"
    if options.full_logs:
        arguments += " --full-logs"
    if options.entry:
        arguments += f" --entry {options.entry}"
    for finding in findings[:SHOWN_COUNT]:
        lines = stop_timelines.make_lines(finding, events, start_s, logs, arguments)
        print("\n".join(lines), flush=True)


def show_excused(site: Site, excused: list[tuple[stop_oracle.Finding, str]]) -> None:
    """Print what the run's own figures excuse, with these figures, and count it."""
    for finding, evidence in excused:
        violation = finding.violation
        site.excused[violation.promise] += 1
        print(f"EXCUSED: {violation.promise}: {violation.detail}: {evidence}")


def report(site: Site, options: Stops, findings: list[stop_oracle.Finding]) -> None:
    """Print a summary of the run."""
    for end, count in sorted(site.ends.items()):
        print(f"{count:6} {end}")
    promises_broken = collections.Counter(
        finding.violation.promise for finding in findings
    )
    for promise, count in promises_broken.items():
        print(f"BROKEN {count} times: {promise}")
    for promise, count in site.excused.items():
        print(f"excused {count} times by its figures: {promise}")
    print(
        f"{len(site.kept_losses)} requests on kept connections without an answer "
        f"(at most {stop_oracle.KEPT_LOSSES_MAX})"
    )
    for end, count in sorted(site.uploads.items()):
        print(f"{count:6} uploads of {end}")
    if options.has_floods:
        print(f"peak of a router {site.peak_mb:.0f} MB of {stop_floods.MEMORY_MB}")
    if options.delays_s:
        seen = ", ".join(f"{count} {name}" for name, count in site.links_seen.items())
        print(f"links: {seen}, late by {site.links_late_s:.3f} s at most")
    last_seed = options.seed + options.rounds - 1
    print(
        f"seeds {options.seed} to {last_seed}: {site.ends.total()} requests, "
        f"{site.stops_count} stops, {site.events_count} events, "
        f"{len(findings)} violations"
    )


def main() -> None:
    """Run from the command line."""
    findings = asyncio.run(run(cappa.parse(Stops)))
    raise SystemExit(1 if findings else 0)


if __name__ == "__main__":
    main()
