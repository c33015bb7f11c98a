"""Measure the replicated log, with one subcommand for each measurement.

``python -m hickoryweir.measures.replicas latency`` (or ``throughput``, ``failover``,
``restart``).  The proposed commands are claims; the replicas are separate processes on
loopback.
"""

import asyncio
import dataclasses
import itertools
import os
import statistics
import tempfile
import time
from typing import Annotated

import cappa
import uvloop
from hdrh import histogram
from returns import result

from hickoryweir.claims import commands
from hickoryweir.measures import replicas_cluster
from hickoryweir.replicas import (
    files,
    machine,
    messages,
    raft,
    records,
    storage,
)
from hickoryweir.streams import codec

MAX_LATENCY_US = 60_000_000
PROPOSE_TIMEOUT_S = 0.5
PAYLOAD_DIGEST = b"d" * 32
BATCH_ENTRIES_COUNT = 100
MEMBERSHIP = messages.Membership((messages.Member("a~1", "", "zone-a", True),))


def make_claims():
    """Yield claims with distinct keys without end."""
    prefix = os.urandom(4).hex()
    for number in itertools.count():
        name = f"{prefix}-{number}"
        account = f"account-{number % 10}"
        yield commands.Claim(
            account,
            f"key-{name}",
            time.time(),
            PAYLOAD_DIGEST,
            f"attempt-{name}",
            "top-up-1",
            "vm-1",
        )


async def _propose_for(log, claims, duration_s, timings, counts) -> None:
    deadline_s = time.monotonic() + duration_s
    while time.monotonic() < deadline_s:
        started_s = time.monotonic()
        outcome = await log.propose(next(claims), 5.0)
        timings.record_value((time.monotonic() - started_s) * 1e6)
        counts["failed" if isinstance(outcome, result.Failure) else "done"] += 1


async def _run_proposers(log, tasks_count, duration_s):
    claims = make_claims()
    timings = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    counts = {"done": 0, "failed": 0}
    started_s = time.monotonic()
    await asyncio.gather(
        *[
            _propose_for(log, claims, duration_s, timings, counts)
            for _ in range(tasks_count)
        ]
    )
    return timings, counts, time.monotonic() - started_s


def _format_latency(timings) -> str:
    p50_ms = timings.get_value_at_percentile(50) / 1000
    p99_ms = timings.get_value_at_percentile(99) / 1000
    return f"p50 {p50_ms:.2f} ms, p99 {p99_ms:.2f} ms"


async def _latency(folder: str, command: "Latency") -> None:
    async with replicas_cluster.run_cluster(folder, command.delay_ms / 1000) as cluster:
        probe = cluster.make_client()
        await probe.wait_until_ready(replicas_cluster.START_TIMEOUT_S)
        leader_name = probe.leader_name
        await probe.close()
        for location, local_name in (("leader's", leader_name), ("another", "")):
            log = cluster.make_client(local_name)
            await _run_proposers(log, 1, 1.0)
            timings, counts, _ = await _run_proposers(log, 1, command.seconds)
            print(
                f"router in {location} zone, {command.delay_ms} ms between zones"
                f" one way: {_format_latency(timings)} ({counts['done']} done,"
                f" {counts['failed']} failed)"
            )
            await log.close()


async def _throughput(folder: str, command: "Throughput") -> None:
    async with replicas_cluster.run_cluster(folder, command.delay_ms / 1000) as cluster:
        log = cluster.make_client()
        await _run_proposers(log, command.tasks, 1.0)
        before = {item.member_id: item for item in await log.status()}
        timings, counts, claims_per_s = await _load_from_processes(cluster, command)
        after = await log.status()
        print(
            f"{command.clients} routers, {command.tasks} proposing tasks each:"
            f" {claims_per_s:.0f} claims/s, {_format_latency(timings)},"
            f" {counts['failed']} failed"
        )
        for status in after:
            previous = before[status.member_id]
            entries_count = max(1, status.last_index - previous.last_index)
            syncs = (status.sync_count - previous.sync_count) / entries_count
            size_bytes = status.written_size_bytes - previous.written_size_bytes
            print(
                f"{status.role}: {syncs:.3f} fsyncs per claim,"
                f" {size_bytes / entries_count:.0f} bytes per record"
            )
        await log.close()


async def _load_from_processes(cluster, command: "Throughput"):
    addresses = cluster.addresses()
    address_list = ",".join(f"{item.name}={item.port}" for item in addresses)
    arguments = ("load", address_list, str(command.tasks), str(command.seconds))
    pipe = asyncio.subprocess.PIPE
    processes = [
        await replicas_cluster.start_process(*arguments, stdout=pipe)
        for _ in range(command.clients)
    ]
    timings = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    counts = {"done": 0, "failed": 0}
    claims_per_s = 0.0
    for process in processes:
        output, _ = await process.communicate()
        done_count, failed_count, duration_s, encoded = output.decode().split()
        counts["done"] += int(done_count)
        counts["failed"] += int(failed_count)
        claims_per_s += int(done_count) / float(duration_s)
        timings.decode_and_add(encoded)
    return timings, counts, claims_per_s


async def _run_load(command: "Load") -> None:
    addresses = replicas_cluster.parse_addresses(command.replicas)
    log = replicas_cluster.make_client(addresses)
    await log.wait_until_ready(replicas_cluster.START_TIMEOUT_S)
    timings, counts, duration_s = await _run_proposers(
        log, command.tasks, command.seconds
    )
    print(counts["done"], counts["failed"], duration_s, timings.encode().decode())
    await log.close()


async def _time_until_committed(log, claims, started_s: float) -> float:
    while True:
        outcome = await log.propose(next(claims), PROPOSE_TIMEOUT_S)
        if isinstance(outcome, result.Success):
            return time.monotonic() - started_s
        await asyncio.sleep(0.01)


async def _failover(folder: str, command: "Failover") -> None:
    outages_s = []
    for number in range(command.rounds):
        data_folder = os.path.join(folder, str(number))
        async with replicas_cluster.run_cluster(data_folder, 0.001) as cluster:
            log = cluster.make_client()
            claims = make_claims()
            await _run_proposers(log, 1, 1.0)
            name = log.leader_name
            started_s = time.monotonic()
            if command.how == "crash":
                cluster.kill(name)
            else:
                cluster.suspend(name)
            outages_s.append(await _time_until_committed(log, claims, started_s))
            await log.close()
    print(
        f"{command.how}: {command.rounds} rounds, until the next commit:"
        f" median {statistics.median(outages_s):.2f} s, max {max(outages_s):.2f} s"
    )


def _write_log(folder: str, command: "Restart") -> None:
    opened = storage.open_folder(
        files.make_files(), folder, "measurement", "", "a"
    ).unwrap()
    claims = make_claims()
    state_machine = machine.make_machine((replicas_cluster.CLAIMS,))
    base = messages.Snapshot(1, 1, MEMBERSHIP, 0.0, b"")
    storage.save_snapshot(opened.storage, base).unwrap()
    storage.append(opened.storage, records.Batch(1, "", (), 1, 1)).unwrap()
    for first_index in range(2, command.entries + 2, BATCH_ENTRIES_COUNT):
        count = min(BATCH_ENTRIES_COUNT, command.entries + 2 - first_index)
        entries = tuple(
            messages.Entry(
                first_index + offset,
                1,
                messages.EntryKind.COMMAND,
                time.time(),
                codec.encode(next(claims)),
            )
            for offset in range(count)
        )
        for entry in entries:
            machine.apply(state_machine, entry)
        storage.append(opened.storage, records.Batch(1, "a~1", entries)).unwrap()
    if command.snapshot:
        index = command.entries + 1
        data = machine.dump(state_machine)
        snapshot = messages.Snapshot(index, 1, MEMBERSHIP, 0.0, data)
        storage.save_snapshot(opened.storage, snapshot).unwrap()
        storage.compact(opened.storage, index, records.Batch(1, "a~1", ())).unwrap()
    storage.close(opened.storage)


def _time_restart(folder: str) -> float:
    started_s = time.monotonic()
    opened = storage.open_folder(
        files.make_files(), folder, "measurement", "", "a"
    ).unwrap()
    recovered = opened.recovered
    state_machine = machine.make_machine((replicas_cluster.CLAIMS,))
    raft.make_state(
        recovered.identity.member_id,
        0.0,
        snapshot=recovered.snapshot,
        entries=tuple(recovered.entries),
    )
    machine.load(state_machine, recovered.snapshot.data)
    for entry in recovered.entries:
        machine.apply(state_machine, entry)
    duration_s = time.monotonic() - started_s
    storage.close(opened.storage)
    return duration_s


async def _restart(folder: str, command: "Restart") -> None:
    data_folder = os.path.join(folder, "a")
    _write_log(data_folder, command)
    size_bytes = sum(item.stat().st_size for item in os.scandir(data_folder))
    durations_s = [_time_restart(data_folder) for _ in range(command.rounds)]
    kind = "with" if command.snapshot else "without"
    print(
        f"{command.entries} claims {kind} snapshot, {size_bytes / 1e6:.1f} MB:"
        f" median {statistics.median(durations_s):.3f} s until the state is recovered"
    )


def _run(coroutine) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(coroutine)


Folder = Annotated[str, cappa.Arg(long=True, help="Parent of the data folders.")]
DelayMs = Annotated[float, cappa.Arg(long=True, help="One-way delay between zones.")]
Duration = Annotated[float, cappa.Arg(long=True, help="Duration.")]


@cappa.command(help="Latency of single claims.")
@dataclasses.dataclass
class Latency:
    """Arguments of ``latency``."""

    delay_ms: DelayMs = 1.0
    seconds: Duration = 5.0
    folder: Folder = ""


@cappa.command(help="Claims per second under load.")
@dataclasses.dataclass
class Throughput:
    """Arguments of ``throughput``."""

    tasks: Annotated[int, cappa.Arg(long=True, help="Tasks per router.")] = 64
    clients: Annotated[int, cappa.Arg(long=True, help="Routers.")] = 4
    delay_ms: DelayMs = 1.0
    seconds: Duration = 5.0
    folder: Folder = ""


@cappa.command(help="Time from the loss of the leader to the next commit.")
@dataclasses.dataclass
class Failover:
    """Arguments of ``failover``."""

    how: Annotated[
        str, cappa.Arg(long=True, help="crash, or silent for a suspended process")
    ] = "crash"
    rounds: Annotated[int, cappa.Arg(long=True, help="Rounds.")] = 5
    folder: Folder = ""


@cappa.command(help="Time to recover from a data folder.")
@dataclasses.dataclass
class Restart:
    """Arguments of ``restart``."""

    entries: Annotated[int, cappa.Arg(long=True, help="Claims in the log.")] = 1000
    snapshot: Annotated[bool, cappa.Arg(long=True, help="Take a snapshot.")] = False
    rounds: Annotated[int, cappa.Arg(long=True, help="Rounds.")] = 3
    folder: Folder = ""


@cappa.command(help="Run one replica; started by the other subcommands.")
@dataclasses.dataclass
class Replica:
    """Arguments of ``replica``."""

    name: str
    port: int
    folder: str
    replicas: str


@cappa.command(help="Generate the load of one router; started by throughput.")
@dataclasses.dataclass
class Load:
    """Arguments of ``load``."""

    replicas: str
    tasks: int
    seconds: float


@cappa.command(help="Run the delay proxies; started by the other subcommands.")
@dataclasses.dataclass
class Delays:
    """Arguments of ``delays``."""

    delay_s: float
    ports: str


@cappa.command(name="measure", help="Measure the replicated log.")
@dataclasses.dataclass
class Measure:
    """Arguments of the command line."""

    command: cappa.Subcommands[
        Latency | Throughput | Failover | Restart | Replica | Load | Delays
    ]


MEASUREMENTS = {
    Latency: _latency,
    Throughput: _throughput,
    Failover: _failover,
    Restart: _restart,
}


def main() -> None:
    """Run the measurement that the command line names."""
    command = cappa.parse(Measure).command
    match command:
        case Replica(name, port, folder, replicas):
            _run(replicas_cluster.run_replica(name, port, folder, replicas))
        case Load():
            _run(_run_load(command))
        case Delays(delay_s, ports):
            _run(replicas_cluster.run_delay_proxies(delay_s, ports))
        case _:
            with tempfile.TemporaryDirectory(dir=command.folder or None) as folder:
                _run(MEASUREMENTS[type(command)](folder, command))


if __name__ == "__main__":
    main()
