"""Planned stops of router processes, and the requests that they lose.

``python -m hickoryweir.testing.soak.stops --seed N --rounds M`` starts replicas and,
in each round, routers that get SIGTERM while raw clients keep using them.  A request is
lost if the router has read it and its connection ends without a complete answer; see
:func:`find_excuse` for the exceptions.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import tempfile
import time
from typing import Annotated

import cappa
from aiohttp import web

from hickoryweir.forwarding import headers
from hickoryweir.testing import waiting
from hickoryweir.testing.demo import entry_vms
from hickoryweir.testing.soak import callers, stop_clients
from hickoryweir.testing.soak import cluster as clusters

HOST = "127.0.0.1"
LATE_WORK_S = stop_clients.GRACE_S * 5 / 6
EXCUSED_SENT_S = 3.0
LOSS_SLACK_S = 0.2
SERVERS_COUNT = 3
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
"""


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts over all stops of a run.

    Attributes
    ----------
    lost : collections.Counter
        Lost requests by client and by how far they came.
    logged : collections.Counter
        Lost requests by whether the router's log names them.
    aborted : collections.Counter
        Stops by the number of requests that the router says it aborted.
    """

    lost: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    logged: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    aborted: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


async def start_backend(
    records: dict[str, stop_clients.BackendRecord], is_silent: bool
) -> str:
    """Start a backend server that follows the plan in each request's header."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers[headers.REQUEST_ID]
        plan = stop_clients.Plan(
            **json.loads(request.headers[stop_clients.PLAN_HEADER])
        )
        record = records.setdefault(request_id, stop_clients.BackendRecord())
        record.received_s.append(time.monotonic())
        await request.read()
        await asyncio.sleep(
            2 * stop_clients.CLIENT_END_S if is_silent else plan.queue_s
        )
        echoed = {headers.REQUEST_ID: request_id}
        if plan.refuses:
            return web.Response(status=503, headers=echoed | {headers.NOT_RUN: "1"})
        record.run_s = time.monotonic()
        if "/stream/" in request.raw_path:
            with contextlib.suppress(ConnectionError):
                response = await send_stream(request, plan, echoed, record)
                record.finished_s = time.monotonic()
                return response
            return web.Response()
        await asyncio.sleep(plan.work_s)
        record.finished_s = time.monotonic()
        return web.Response(body=b"x" * plan.size_bytes, headers=echoed)

    server = web.Server(handle, access_log=None, handler_cancellation=True)
    listener = await asyncio.get_running_loop().create_server(server, HOST, 0)
    return f"{HOST}:{listener.sockets[0].getsockname()[1]}"


async def send_stream(request, plan, echoed, record) -> web.StreamResponse:
    """Send ten events over the duration of the run."""
    response = web.StreamResponse(
        headers=echoed | {"Content-Type": "text/event-stream"}
    )
    await response.prepare(request)
    for number in range(10):
        if number == 5:
            await asyncio.sleep(plan.silence_s)
            if plan.breaks:
                record.broke_off = True
                request.transport.abort()
        data = b"x" * (plan.size_bytes // 10)
        await response.write(b"id: %d\ndata: " % number + data + b"\n\n")
        await asyncio.sleep(plan.work_s / 10)
    await response.write_eof()
    return response


def find_excuse(target: stop_clients.Target, request: stop_clients.Request) -> str:
    """Return why a request without a complete answer is not lost, or an empty text."""
    if request.left:
        return "the client left"
    if request.last_byte_s is None:
        return "not sent completely"
    if (
        request.last_byte_s > stop_clients.GRACE_S + 1.0
        or request.ended_s < stop_clients.SIGNAL_S
    ):
        return "outside the planned stop"
    record = target.records.get(request.request_id)
    if record is None:
        if request.end != "closed":
            return "not read: reset with unread bytes"
        if request.ended_s - request.last_byte_s <= LOSS_SLACK_S:
            return "not passed on and within the slack"
        return ""
    if record.broke_off:
        return "the server broke off"
    was_at_work = (
        record.run_s is not None
        and (
            record.finished_s is None
            or record.finished_s - target.signal_s >= LATE_WORK_S
        )
        and request.ended_s >= LATE_WORK_S
    )
    if was_at_work and request.last_byte_s <= EXCUSED_SENT_S:
        return "the server was at work in the last sixth of the grace"
    return ""


def describe(target: stop_clients.Target, request: stop_clients.Request) -> str:
    """Return one line on a request without a complete answer."""
    record = target.records.get(request.request_id)
    seen = "not passed on"
    if record is not None:
        times = (record.received_s[0], record.run_s, record.finished_s)
        relative = [
            None if at is None else round(at - target.signal_s, 3) for at in times
        ]
        seen = "backend received/ran/finished {}/{}/{}".format(*relative)
    last_s = None if request.last_byte_s is None else round(request.last_byte_s, 3)
    return (
        f"{request.behaviour}: sent {request.sent_s:.3f} to {last_s}, "
        f"{seen}, status {request.status}, {request.received_bytes} bytes, "
        f"{request.end} at {request.ended_s:.3f}; {request.plan}"
    )


async def stop_router(
    cluster, member, options, generator, records
) -> tuple[stop_clients.Target, str]:
    """Start a router, stop it under load; return its clients' view and its log."""
    clusters.launch(member)
    async with callers.make_session(5.0) as session:
        await clusters.wait_until_ready(session, cluster, member)
    signal_s = time.monotonic() + stop_clients.LEAD_S + 0.2
    target = stop_clients.Target(
        member.host, cluster.port, signal_s, generator, records
    )
    names = (
        options.behaviours.split(",")
        if options.behaviours
        else list(stop_clients.BEHAVIOURS)
    )
    tasks = [
        asyncio.create_task(stop_clients.BEHAVIOURS[generator.choice(names)](target))
        for _ in range(options.clients)
    ]
    await stop_clients.sleep_until(target, stop_clients.SIGNAL_S)
    log_start = (member.folder / "log").stat().st_size
    member.process.send_signal(signal.SIGTERM)
    disturbing = asyncio.create_task(disturb(cluster, member, target, options.disturb))
    with contextlib.suppress(TimeoutError):
        await waiting.wait_until(
            lambda: member.process.poll() is not None, stop_clients.CLIENT_END_S
        )
    exit_s = target.now_s()
    _, pending = await asyncio.wait(
        tasks, timeout=stop_clients.CLIENT_END_S - target.now_s()
    )
    for task in (*pending, disturbing):
        task.cancel()
    await asyncio.gather(*tasks, disturbing, return_exceptions=True)
    log = (member.folder / "log").read_bytes()[log_start:].decode()
    print(f"{member.host} exit {member.process.poll()} at {exit_s:.2f} s", flush=True)
    return target, log


async def disturb(cluster, member, target, kind: str) -> None:
    """Send a second signal or a new table during the stop."""
    if kind == "term":
        await stop_clients.sleep_until(target, target.generator.uniform(0.0, 7.0))
        member.process.send_signal(signal.SIGTERM)
    while kind == "terms" and member.process.poll() is None:
        member.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.01)
    if kind == "reload":
        await stop_clients.sleep_until(target, target.generator.uniform(0.0, 5.0))
        clusters.write_settings(
            cluster, member, extra_count=101, grace_s=stop_clients.GRACE_S
        )
        member.process.send_signal(signal.SIGHUP)
    if kind == "table":
        async with callers.make_session(3.0) as session:
            for version in range(2, 9):
                await stop_clients.sleep_until(target, float(version - 2))
                await put_table(session, cluster, int(time.time() * 10) + version)


async def put_table(session, cluster, version: int) -> bool:
    """Send a table to the first replica; return whether it was acknowledged."""
    url = f"http://{cluster.replicas[0].host}:{cluster.port}/table"
    try:
        async with session.put(url, data=TABLE.format(version=version)) as reply:
            return reply.status == 200
    except callers.CONNECTION_ERRORS:
        return False


@dataclasses.dataclass
class Stops:
    """Stop routers under load and print the requests that were lost."""

    seed: Annotated[int, cappa.Arg(long=True, help="Seed.")] = 1
    rounds: Annotated[int, cappa.Arg(long=True, help="Number of rounds.")] = 1
    routers: Annotated[int, cappa.Arg(long=True, help="Routers per round.")] = 3
    clients: Annotated[int, cappa.Arg(long=True, help="Clients per router.")] = 40
    behaviours: Annotated[str, cappa.Arg(long=True, help="Names of clients.")] = ""
    silent: Annotated[
        bool, cappa.Arg(long=True, help="One backend server never answers.")
    ] = False
    disturb: Annotated[str, cappa.Arg(long=True, help="term, reload or table.")] = ""


async def run(options: Stops) -> Tally:
    """Run all rounds."""
    with tempfile.TemporaryDirectory(prefix="hickoryweir-stops-") as temporary:
        cluster, records = await start(pathlib.Path(temporary), options)
        tally = Tally()
        try:
            for number in range(options.rounds):
                seed = options.seed + number
                outcomes = await asyncio.gather(
                    *(
                        stop_router(
                            cluster,
                            member,
                            options,
                            random.Random(f"{seed}-{index}"),
                            records,
                        )
                        for index, member in enumerate(cluster.routers)
                    )
                )
                for outcome in outcomes:
                    report(tally, seed, *outcome)
                records.clear()
        finally:
            for member in (*cluster.routers, *cluster.replicas):
                if member.process is not None and member.process.poll() is None:
                    member.process.kill()
                    member.process.wait()
    return tally


async def start(folder, options) -> tuple[clusters.Cluster, dict]:
    """Start backend servers and three replicas, and put the table."""
    records: dict[str, stop_clients.BackendRecord] = {}
    addresses = [
        await start_backend(records, options.silent and not number)
        for number in range(SERVERS_COUNT)
    ]
    entries = [
        {"id": f"s{number}", "service": "app", "address": address}
        for number, address in enumerate(addresses)
    ]

    async def list_servers(request: web.BaseRequest) -> web.Response:
        return web.json_response({"servers": entries})

    listener = await asyncio.get_running_loop().create_server(
        web.Server(list_servers, access_log=None), HOST, 0
    )
    hosts = [f"127.0.5.{number + 1}" for number in range(3)]
    ports = [entry_vms.free_port() for _ in range(4)]
    names = ("port", "ready_port", "peer_port", "metrics_port")
    values = dict(zip(names, ports, strict=True)) | {
        "zone": clusters.ZONE,
        "seeds": ", ".join(f"{host}:{ports[0]}" for host in hosts),
        "list_address": f"{HOST}:{listener.sockets[0].getsockname()[1]}",
        "grace_s": stop_clients.GRACE_S,
        "extra_count": 100,
    }
    replicas = [clusters.Member("replica", host, folder / host) for host in hosts]
    routers = [
        clusters.Member("router", f"127.0.6.{number + 1}", folder / f"r{number}")
        for number in range(options.routers)
    ]
    cluster = clusters.Cluster(replicas, routers, [], values)
    for member in (*replicas, *routers):
        member.folder.mkdir(parents=True)
        clusters.write_settings(cluster, member)
    for member in replicas:
        clusters.launch(member)
    async with callers.make_session(callers.OPERATOR_TIMEOUT_S) as session:
        for _ in range(round(clusters.READY_TIMEOUT_S / clusters.POLL_INTERVAL_S)):
            if await put_table(session, cluster, 1):
                break
            await asyncio.sleep(clusters.POLL_INTERVAL_S)
    return cluster, records


def classify(target: stop_clients.Target, request: stop_clients.Request) -> str:
    """Return the behaviour of the client and how far a lost request came."""
    record = target.records.get(request.request_id)
    state = "not passed on"
    if record is not None:
        state = "queued" if record.run_s is None else "running"
        if record.finished_s is not None:
            state = "finished"
    return f"{request.behaviour}, {state}, status {request.status or 'none'}"


def report(tally: Tally, seed: int, target: stop_clients.Target, log: str) -> None:
    """Print what happened at one stop and add it to the tally."""
    counts = collections.Counter()
    for request in target.requests:
        if request.is_whole:
            counts[f"whole {request.status}"] += 1
            continue
        excuse = find_excuse(target, request)
        counts[excuse or "LOST"] += 1
        if not excuse:
            is_named = f'"{request.request_id}"' in log
            tally.lost[classify(target, request)] += 1
            tally.logged["named" if is_named else "not named"] += 1
            print(f"LOST seed {seed} {describe(target, request)}")
    print(f"seed {seed} {target.host}: {dict(counts)}")
    for line in log.splitlines():
        if "aborted" in line:
            tally.aborted[json.loads(line)["detail"]] += 1
        if "ERROR" in line or "Traceback" in line:
            print("  log:", line)


def main() -> None:
    """Run from the command line."""
    options = cappa.parse(Stops)
    tally = asyncio.run(run(options))
    for name, count in sorted(tally.lost.items()):
        print(f"{count} lost: {name}")
    print(f"log lines of lost requests: {dict(tally.logged)}")
    print(f"{tally.lost.total()} lost; aborted by stop: {dict(tally.aborted)}")
    raise SystemExit(1 if tally.lost else 0)


if __name__ == "__main__":
    main()
