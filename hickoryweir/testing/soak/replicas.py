"""Runs the soak test of replicas: ``bin/soak replicas --seed N --rounds M``.

In each round three replicas and some routers start anew, and faults follow from the
round's seed: writes that are refused, links that go silent, and others beside.  After
the last one a change must be acknowledged, with each replica paused in turn too.  With
``--loses-disk`` each round ends its faults with the loss of a disk while all other
replicas are killed.  The exit code is 1 if a promise was broken.
"""

import asyncio
import collections
import contextlib
import dataclasses
import functools
import multiprocessing
import pathlib
import random
import signal
import tempfile
import time
from collections.abc import Iterable
from concurrent import futures
from typing import Annotated

import aiohttp
import cappa

from hickoryweir.testing import promises
from hickoryweir.testing.soak import (
    callers,
    faults,
    oracle,
    replica_events,
    replica_oracle,
    stops,
)
from hickoryweir.testing.soak import cluster as clusters

# Operators try another replica after this time without a response.
ATTEMPT_TIMEOUT_S = 1.0
CHANGE_INTERVAL_S, RETRY_INTERVAL_S = 0.1, 0.05
# Beyond the bound, to tell a late recovery from none.
RECOVERY_LIMIT_S = 2 * replica_oracle.RECOVERY_BOUND_S
# Time in which a replica that was paused is heard again.
RESUMED_S = 1.5
# Beside load, the processes of all rounds take long to start at once.
START_TIMEOUT_S = 120.0
NETWORKS_COUNT = 256
# From the moment at which a change is sent until the disk is lost.
LOSS_MIN_S, LOSS_MAX_S = 0.005, 0.4
# Each process starts again within this time.
RELAUNCH_MAX_S = 1.5
LEAVING_SHARE = 0.5
# Delays of the soak's own event loop, and so of the proxies, that are shown.
DELAY_CHECK_S, DELAY_SHOWN_S = 0.02, 0.1
ALL = "all"
SHOWN_LINES_COUNT = 12
COMMAND = (
    "bin/soak replicas --seed {seed} --rounds 1 --faults {faults} --routers {routers}"
)


@dataclasses.dataclass
class Replicas:
    """Refuse writes and silence links, among other faults; check the recovery."""

    seed: Annotated[int, cappa.Arg(long=True, help="Seed of the first round.")] = 1
    rounds: Annotated[
        int, cappa.Arg(long=True, help="Number of rounds; each has the next seed.")
    ] = 1
    faults: Annotated[
        str,
        cappa.Arg(long=True, help="By commas: refused, silent, others; or all."),
    ] = ALL
    routers: Annotated[int, cappa.Arg(long=True, help="Number of routers.")] = 2
    spares: Annotated[
        int, cappa.Arg(long=True, help="Replicas beside the three seeds.")
    ] = 0
    loses_disk: Annotated[
        bool,
        cappa.Arg(long=True, help="Kill all replicas at the end, and empty one."),
    ] = False
    parallel: Annotated[int, cappa.Arg(long=True, help="Rounds at a time.")] = 1
    logs: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Folder for the logs.")
    ] = None


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """The processes and the seed of a round, and what an operator saw of them.

    Attributes
    ----------
    locks : dict
        Held while a fault affects the process of a host.
    delays_s : list of (float, float)
        When the soak's own event loop was late, and by how much.
    """

    seed: int
    cluster: clusters.Cluster
    session: aiohttp.ClientSession
    observations: callers.Observations = dataclasses.field(
        default_factory=callers.Observations
    )
    recovery: replica_oracle.Recovery = dataclasses.field(
        default_factory=replica_oracle.Recovery
    )
    locks: dict[str, asyncio.Lock] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(asyncio.Lock)
    )
    delays_s: list[tuple[float, float]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The seed of a round, what was seen after its faults, and the violations."""

    seed: int
    recovery: replica_oracle.Recovery
    violations: list[promises.Violation]


def run(options: Replicas) -> list[Outcome]:
    """Play all rounds, some at a time in processes of their own; print the outcomes."""
    seeds = range(options.seed, options.seed + options.rounds)
    with tempfile.TemporaryDirectory(prefix="hickoryweir-replicas-") as temporary:
        play_seed = functools.partial(
            play_in_folder, options, options.logs or pathlib.Path(temporary)
        )
        if options.parallel == 1:
            outcomes = [play_seed(seed) for seed in seeds]
        else:
            # The proxies of a round must not wait for the processes of another.
            context = multiprocessing.get_context("spawn")
            with futures.ProcessPoolExecutor(options.parallel, context) as executor:
                outcomes = list(executor.map(play_seed, seeds))
    report(options, outcomes)
    return outcomes


def play_in_folder(options: Replicas, folder: pathlib.Path, seed: int) -> Outcome:
    """Play the round of a seed with its own event loop and folder."""
    return asyncio.run(play(options, seed, folder / f"seed-{seed}"))


async def play(options: Replicas, seed: int, folder: pathlib.Path) -> Outcome:
    """Play the round of a seed with processes of its own."""
    list_address = await stops.start_list(list)
    number = seed % NETWORKS_COUNT
    networks = (f"127.1.{number}", f"127.2.{number}")
    cluster = stops.make_cluster(folder, options.routers, list_address, networks)
    for number in range(options.spares):
        host = f"{networks[0]}.{len(cluster.replicas) + 1}"
        cluster.replicas.append(
            clusters.Member("replica", host, folder / f"spare-{number}")
        )
    async with callers.make_session(ATTEMPT_TIMEOUT_S) as session:
        current = Round(seed, cluster, session)
        context = faults.FaultContext(cluster, random.Random(seed))
        try:
            await start(current)
            began_s = time.monotonic()
            polling = callers.poll_versions(cluster, current.observations)
            tasks = [
                asyncio.create_task(polling),
                asyncio.create_task(watch_delays(current)),
            ]
            ended_s = await play_faults(options, current, context)
            if options.loses_disk:
                ended_s = await lose_disk(options, current, context)
            await check_recovery(current, context, ended_s)
            await end_tasks(tasks)
        finally:
            stops.end_processes(cluster, [])
    violations = replica_oracle.find_violations(current.recovery, current.observations)
    outcome = Outcome(seed, current.recovery, violations)
    show(options, current, context, outcome, began_s)
    return outcome


async def start(current: Round) -> None:
    """Start the processes; return once a first table is in force at the routers.

    Raises
    ------
    TimeoutError
        It is not within `START_TIMEOUT_S`.
    """
    cluster = current.cluster
    for member in (*cluster.replicas, *cluster.routers):
        member.folder.mkdir(parents=True)
        clusters.write_settings(cluster, member)
        await clusters.make_links(cluster, member)
        clusters.launch(member)
    until_s = time.monotonic() + START_TIMEOUT_S
    are_taken = await asyncio.gather(
        *(change(current, replica.host, 1, until_s) for replica in cluster.replicas)
    )
    if not all(are_taken) or not await wait_for_routers(current, 1, until_s):
        raise TimeoutError(f"seed {current.seed}: no table at the start: {are_taken}")


async def watch_delays(current: Round) -> None:
    """Record when the soak's own event loop is late, until cancelled."""
    while True:
        due_s = time.monotonic() + DELAY_CHECK_S
        await asyncio.sleep(DELAY_CHECK_S)
        late_s = time.monotonic() - due_s
        if late_s > DELAY_SHOWN_S:
            current.delays_s.append((due_s, late_s))


async def play_faults(
    options: Replicas, current: Round, context: faults.FaultContext
) -> float:
    """Inject the round's faults while tables change; return when the last one ended."""
    cluster = current.cluster
    events = replica_events.draw(
        random.Random(current.seed),
        choose_groups(options),
        len(cluster.replicas),
        len(cluster.routers),
    )
    operating = asyncio.create_task(replace_tables(current))
    began_s = time.monotonic()
    await asyncio.gather(
        *(
            carry_out(current, context, event, began_s, number)
            for number, event in enumerate(events)
        )
    )
    ended_s = time.monotonic()
    await end_tasks([operating])
    return ended_s


async def lose_disk(
    options: Replicas, current: Round, context: faults.FaultContext
) -> float:
    """Empty a disk while all replicas are killed; return when they listen again.

    It is right after a change was sent, acknowledged or not.  Beside a spare replica,
    another one may have been stopped for good before.
    """
    cluster, generator = current.cluster, random.Random(f"{current.seed}-loss")
    await asyncio.sleep(faults.REPLICA_RECOVERY_S)
    if options.spares and generator.random() < LEAVING_SHARE:
        leaving = generator.choice(cluster.replicas)
        await faults.inject(context, leaving, faults.leave, 0.0)
        cluster.replicas.remove(leaving)
    asked = generator.choice(cluster.replicas)
    version = newest_version(current) + 2
    sending = asyncio.create_task(put(current, asked.host, version))
    await asyncio.sleep(generator.uniform(LOSS_MIN_S, LOSS_MAX_S))
    for replica in cluster.replicas:
        clusters.kill(replica)
    emptied = generator.choice(cluster.replicas)
    await sending
    delays_s = {
        replica.host: generator.uniform(0.0, RELAUNCH_MAX_S)
        for replica in cluster.replicas
    }
    clusters.wipe(emptied)

    async def relaunch(replica: clusters.Member) -> None:
        await asyncio.sleep(delays_s[replica.host])
        clusters.launch(replica)
        await wait_until_serving(current, replica)

    lost_s = time.monotonic()
    await asyncio.gather(*(relaunch(replica) for replica in cluster.replicas))
    ended_s = time.monotonic()
    for replica in cluster.replicas:
        kind = "lost disk" if replica is emptied else "kill"
        context.injected.append(
            faults.InjectedFault(kind, replica.host, lost_s, ended_s)
        )
    return ended_s


async def end_tasks(tasks: list[asyncio.Task]) -> None:
    """Cancel tasks until they end, and raise what ended them earlier.

    A cancellation at the moment of a request's timeout may be taken for the timeout.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=ATTEMPT_TIMEOUT_S)
    for task in tasks:
        if not task.cancelled():
            task.result()


def choose_groups(options: Replicas) -> tuple[str, ...]:
    """Return the groups of faults that the arguments name."""
    if options.faults == ALL:
        return tuple(replica_events.GROUPS)
    return tuple(options.faults.split(","))


async def carry_out(
    current: Round,
    context: faults.FaultContext,
    event: replica_events.Event,
    began_s: float,
    number: int,
) -> None:
    """Inject the fault of an event at its time; its draws follow from its number."""
    await asyncio.sleep(max(0.0, began_s + event.at_s - time.monotonic()))
    cluster = current.cluster
    member = (*cluster.replicas, *cluster.routers)[event.number]
    own = dataclasses.replace(
        context, generator=random.Random(f"{current.seed}-{number}")
    )
    async with contextlib.AsyncExitStack() as stack:
        # Faults may take longer than drawn, such as a planned stop.
        if event.fault in replica_events.SINGLE:
            await stack.enter_async_context(context.replica_lock)
        if event.fault not in replica_events.IMMEDIATE:
            await stack.enter_async_context(current.locks[member.host])
        await faults.inject(own, member, event.fault, event.duration_s)
        if event.fault in replica_events.RESTARTS:
            await wait_until_serving(current, member)


async def wait_until_serving(current: Round, member: clusters.Member) -> None:
    """Wait until a process that starts listens, which may take long beside load."""
    port = current.cluster.values["metrics_port"]
    until_s = time.monotonic() + clusters.READY_TIMEOUT_S
    while time.monotonic() < until_s:
        try:
            _, writer = await asyncio.open_connection(member.host, port)
        except OSError:
            await asyncio.sleep(RETRY_INTERVAL_S)
            continue
        writer.close()
        return


async def replace_tables(current: Round) -> None:
    """Replace the table by the next version at random replicas until cancelled."""
    generator = random.Random(current.seed)
    version = 2
    while True:
        host = generator.choice(current.cluster.replicas).host
        if await put(current, host, version):
            version += 1
            await asyncio.sleep(CHANGE_INTERVAL_S)
        else:
            await asyncio.sleep(RETRY_INTERVAL_S)


async def put(current: Round, host: str, version: int) -> bool:
    """Send a table to a replica; record whether it is acknowledged, and return it."""
    is_taken = await callers.put_table_to(
        current.session, current.cluster, version, host
    )
    if is_taken:
        current.observations.accepted.append((version, time.monotonic()))
    return is_taken


async def change(current: Round, host: str, version: int, until_s: float) -> bool:
    """Send a table to a replica until it is acknowledged; return whether it was."""
    while time.monotonic() < until_s:
        if await put(current, host, version):
            return True
        await asyncio.sleep(RETRY_INTERVAL_S)
    return False


async def check_recovery(
    current: Round, context: faults.FaultContext, ended_s: float
) -> None:
    """Record what an operator sees after the last fault."""
    cluster, recovery = current.cluster, current.recovery
    record_ended(current)
    recovery.began_s = ended_s
    recovery.newest_version = newest_version(current)
    await asyncio.gather(
        *(read_and_change(current, replica, ended_s) for replica in cluster.replicas)
    )
    heard_s = ended_s + replica_oracle.RECOVERY_BOUND_S
    recovery.expected_version = newest_version(current)
    in_force_s = max(heard_s, time.monotonic() + oracle.IN_FORCE_S)
    await wait_for_routers(current, recovery.expected_version, in_force_s)
    if all(at_s is not None for at_s in recovery.acknowledged_s.values()):
        wiped_s = [
            item.ended_s
            for item in context.injected
            if item.kind in ("wipe", "lost disk")
        ]
        caught_up_s = max(wiped_s, default=0.0) + faults.REPLICA_RECOVERY_S
        await asyncio.sleep(max(heard_s, caught_up_s) - time.monotonic())
        for replica in cluster.replicas:
            await pause(current, replica)
    record_ended(current)


def record_ended(current: Round) -> None:
    """Record the processes that have ended by themselves, once each."""
    cluster, ended = current.cluster, current.recovery.ended
    for member in (*cluster.replicas, *cluster.routers):
        code = member.process.poll()
        if code is not None and (member.host, code) not in ended:
            ended.append((member.host, code))


def newest_version(current: Round) -> int:
    """Return the highest acknowledged version."""
    return max(version for version, _ in current.observations.accepted)


async def read_and_change(
    current: Round, replica: clusters.Member, ended_s: float
) -> None:
    """Read the table of a replica until it answers, then change it likewise."""
    host, recovery = replica.host, current.recovery
    recovery.acknowledged_s[host] = None
    until_s = ended_s + RECOVERY_LIMIT_S
    recovery.read_versions[host] = await read(current, replica, until_s)
    # The next version may be stored without an acknowledgement.
    if await change(current, host, recovery.newest_version + 2, until_s):
        recovery.acknowledged_s[host] = time.monotonic() - ended_s


async def read(current: Round, replica: clusters.Member, until_s: float) -> int | None:
    """Read the newest table's version from a replica until it answers."""
    seen = callers.Observations()
    while not seen.read_back and time.monotonic() < until_s:
        await callers.read_replica(current.session, current.cluster, seen, replica)
        await asyncio.sleep(RETRY_INTERVAL_S)
    current.observations.read_back += seen.read_back
    return seen.read_back[0].version if seen.read_back else None


async def read_routers(current: Round) -> dict[str, int]:
    """Return the version in force at each router; 0 if it doesn't answer."""
    cluster, seen = current.cluster, callers.Observations()
    await asyncio.gather(
        *(
            callers.read_router(current.session, cluster, seen, router)
            for router in cluster.routers
        )
    )
    versions = {router.host: 0 for router in cluster.routers}
    return versions | {reading.host: reading.version for reading in seen.in_force}


async def wait_for_routers(current: Round, version: int, until_s: float) -> bool:
    """Wait for a version at all routers; record theirs, return whether they have it."""
    while True:
        versions = await read_routers(current)
        current.recovery.versions = versions
        if min(versions.values()) >= version or time.monotonic() > until_s:
            return min(versions.values()) >= version
        await asyncio.sleep(RETRY_INTERVAL_S)


async def pause(current: Round, replica: clusters.Member) -> None:
    """Suspend a replica until one of the others has acknowledged a change."""
    version = newest_version(current) + 2
    began_s = time.monotonic()
    until_s = began_s + RECOVERY_LIMIT_S
    replica.process.send_signal(signal.SIGSTOP)
    tasks = [
        asyncio.create_task(change(current, other.host, version, until_s))
        for other in current.cluster.replicas
        if other is not replica
    ]
    is_taken = False
    for answer in asyncio.as_completed(tasks):
        is_taken = await answer
        if is_taken:
            break
    took_s = time.monotonic() - began_s
    await end_tasks(tasks)
    replica.process.send_signal(signal.SIGCONT)
    current.recovery.pairs_s[replica.host] = took_s if is_taken else None
    current.recovery.paused_s[replica.host] = began_s
    await asyncio.sleep(RESUMED_S)


def show(
    options: Replicas,
    current: Round,
    context: faults.FaultContext,
    outcome: Outcome,
    began_s: float,
) -> None:
    """Print a line on a round, and if a promise was broken all that led to it."""
    recovery, observations = outcome.recovery, current.observations
    slowest_s = {
        "each replica": recovery.acknowledged_s,
        "without one": recovery.pairs_s,
    }
    print(
        f"seed {current.seed}: {len(context.injected)} faults, "
        f"{len(observations.accepted)} changes, "
        f"first {describe([recovery.first_s])} after the last fault, "
        + ", ".join(
            f"{name} {describe(times_s.values())}"
            for name, times_s in slowest_s.items()
        )
        + f", {len(outcome.violations)} violations",
        flush=True,
    )
    if not outcome.violations:
        return
    for violation in outcome.violations:
        print(f"BROKEN: {violation.promise}: {violation.detail}")
    lines = [
        (
            item.began_s,
            f"{item.kind} {item.target} {item.detail}, to {item.ended_s - began_s:.3f}",
        )
        for item in context.injected
    ]
    lines += [
        (at_s, f"own loop late by {late_s:.3f} s") for at_s, late_s in current.delays_s
    ]
    lines.append((recovery.began_s, "last fault has ended"))
    lines += [(at_s, f"pause {host}") for host, at_s in recovery.paused_s.items()]
    for at_s, text in sorted(lines):
        print(f"  {at_s - began_s:7.3f} {text}")
    for member in current.cluster.replicas:
        print(f"  log of {member.host}, without its operators' requests")
        log = (member.folder / "log").read_text(errors="replace")
        lines = [line for line in log.splitlines() if '"message": "table' not in line]
        print("\n".join(f"    {line}" for line in lines[-SHOWN_LINES_COUNT:]))
    command = COMMAND.format(
        seed=current.seed, faults=options.faults, routers=options.routers
    )
    command += f" --spares {options.spares}"
    command += " --loses-disk" * options.loses_disk
    print(f"  again: {command}", flush=True)


def describe(times_s: Iterable[float | None]) -> str:
    """Return the longest of some times; "never" if one is unknown."""
    known_s = list(times_s)
    if None in known_s or not known_s:
        return "never" if known_s else "not asked"
    return f"{max(known_s):.2f} s"


def report(options: Replicas, outcomes: list[Outcome]) -> None:
    """Print a summary of the run."""
    firsts_s = [outcome.recovery.first_s for outcome in outcomes]
    in_time_s = [at_s for at_s in firsts_s if not replica_oracle.is_late(at_s)]
    broken = [outcome.seed for outcome in outcomes if outcome.violations]
    print(
        f"faults {options.faults}, {len(outcomes)} rounds from seed {options.seed}: "
        f"a change acknowledged in time in {len(in_time_s)}, "
        f"after {describe(in_time_s)} at most; "
        f"violations in {len(broken)}: {', '.join(map(str, broken)) or 'none'}"
    )


def main() -> None:
    """Run from the command line."""
    outcomes = run(cappa.parse(Replicas))
    raise SystemExit(1 if any(outcome.violations for outcome in outcomes) else 0)


if __name__ == "__main__":
    main()
