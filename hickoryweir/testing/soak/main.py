"""Runs the soak test: ``bin/soak --seed N --minutes M``.

The exit code is 1 if a promise was broken.
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
from hickoryweir.testing.soak import callers, faults, oracle
from hickoryweir.testing.soak import cluster as clusters

ROUTERS_COUNT = 3
CALLERS_COUNT = 8
S_PER_MINUTE = 60.0
# Routers adopt a new version within seconds; the margin is for a loaded machine.
RECOVERY_TIMEOUT_S = 30.0
SHOWN_COUNT = 20


@dataclasses.dataclass
class Soak:
    """Inject random faults under load from callers and an operator; check promises."""

    seed: Annotated[
        int, cappa.Arg(long=True, help="Seed of the random generators.")
    ] = 1
    minutes: Annotated[float, cappa.Arg(long=True, help="Duration in minutes.")] = 1.0
    routers: Annotated[
        int, cappa.Arg(long=True, help="Number of router processes.")
    ] = ROUTERS_COUNT
    callers: Annotated[
        int, cappa.Arg(long=True, help="Number of concurrent callers.")
    ] = CALLERS_COUNT
    logs: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Folder for the logs.")
    ] = None


async def run(soak: Soak) -> list[promises.Violation]:
    """Run one soak test, print a summary, and return every violation."""
    with tempfile.TemporaryDirectory(prefix="hickoryweir-soak-") as temporary:
        folder = soak.logs or pathlib.Path(temporary)
        cluster = await clusters.start_cluster(folder, soak.routers, has_links=True)
        try:
            observations, context, unrecovered = await run_workload(soak, cluster)
        finally:
            await clusters.stop_all(cluster)
    runs = collections.Counter()
    for server in cluster.servers:
        runs.update(server.runs)
    violations = (
        oracle.find_violations(observations, runs, context.injected, cluster.exit_codes)
        + unrecovered
    )
    report(soak, observations, context, violations)
    return violations


async def run_workload(
    soak: Soak, cluster: clusters.Cluster
) -> tuple[callers.Observations, faults.FaultContext, list[promises.Violation]]:
    """Run callers, the operator and faults; then end the faults and check recovery."""
    generator = random.Random(soak.seed)
    observations = callers.Observations()
    context = faults.FaultContext(
        cluster, random.Random(soak.seed), acknowledged=observations.acknowledged
    )
    operating = asyncio.create_task(
        callers.replace_tables(cluster, observations, generator)
    )
    async with callers.make_session(callers.CALL_TIMEOUT_S) as session:
        for router in cluster.routers:
            await clusters.wait_until_ready(session, cluster, router)
    tasks = [asyncio.create_task(callers.poll_versions(cluster, observations))]
    for number in range(soak.callers):
        name, caller_generator = f"c{number}", random.Random(soak.seed * 1000 + number)
        calling = callers.send_calls(name, cluster, observations, caller_generator)
        tasks.append(asyncio.create_task(calling))
    await faults.draw(context, time.monotonic() + soak.minutes * S_PER_MINUTE)
    operating.cancel()
    unrecovered = await check_recovery(cluster, observations)
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(operating, *tasks, return_exceptions=True)
    for failure in results:
        if isinstance(failure, Exception):
            raise failure
    return observations, context, unrecovered


async def check_recovery(
    cluster: clusters.Cluster, observations: callers.Observations
) -> list[promises.Violation]:
    """Return the violations that remain at `RECOVERY_TIMEOUT_S` after the faults."""
    expected_version = max((version for version, _ in observations.accepted), default=0)
    until_s = time.monotonic() + RECOVERY_TIMEOUT_S
    while True:
        violations = await _check_recovery_once(cluster, expected_version)
        if not violations or time.monotonic() > until_s:
            return violations
        await asyncio.sleep(1.0)


async def _check_recovery_once(
    cluster: clusters.Cluster, expected_version: int
) -> list[promises.Violation]:
    last = callers.Observations()
    calls = []
    async with callers.make_session(callers.CALL_TIMEOUT_S) as session:
        for router in cluster.routers:
            await callers.read_router(session, cluster, last, router)
            for kind in callers.KINDS:
                name = f"last-{router.host}-{time.monotonic_ns()}"
                calls.append(await callers.send(session, cluster, router, kind, name))
    versions = {router.host: 0 for router in cluster.routers}
    versions.update({reading.host: reading.version for reading in last.in_force})
    return oracle.find_unrecovered(versions, expected_version, calls)


def report(
    soak: Soak,
    observations: callers.Observations,
    context: faults.FaultContext,
    violations: list[promises.Violation],
) -> None:
    """Print a summary of the run and its first violations."""
    ends = collections.Counter(
        (call.kind, call.status or call.error) for call in observations.calls
    )
    for (kind, end), count in sorted(ends.items(), key=str):
        print(f"{kind}: {end}: {count}")
    kinds = collections.Counter(item.kind for item in context.injected)
    print("faults:", ", ".join(f"{kind} {n}" for kind, n in sorted(kinds.items())))
    for host, age_s in context.cluster.early_reloads:
        print(f"SIGHUP {1000 * age_s:.1f} ms after the start of {host}")
    for host, age_s in context.cluster.early_stops:
        print(f"SIGTERM {1000 * age_s:.1f} ms after the start of {host} ended it")
    print(
        f"seed {soak.seed}: {len(observations.calls)} calls, "
        f"{len(observations.accepted)} tables, "
        f"{len(observations.read_back)} read back, {len(context.injected)} faults, "
        f"{len(violations)} violations"
    )
    for violation in violations[:SHOWN_COUNT]:
        print(f"BROKEN: {violation.promise}: {violation.detail}")


def main() -> None:
    """Run from the command line."""
    violations = asyncio.run(run(cappa.parse(Soak)))
    raise SystemExit(1 if violations else 0)


if __name__ == "__main__":
    main()
