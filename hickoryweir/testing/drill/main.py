"""Runs fault-injection drills: ``bin/drill --seed N --minutes M``.

Random faults are injected singly and in pairs while callers and operators send
requests.  After all faults have ended, the oracle checks every promise.
"""

import asyncio
import dataclasses
import pathlib
import random
import tempfile
from typing import Annotated

import cappa

from hickoryweir.testing import promises
from hickoryweir.testing.demo import main as demo
from hickoryweir.testing.demo import stand_ins
from hickoryweir.testing.drill import api_faults, faults, oracle, workload
from hickoryweir.testing.drill import cluster as clusters

FAULT_INTERVAL_S = 1.0
PAIR_PROBABILITY = 0.4
RECOVERY_S = 12.0
READY_TIMEOUT_S = 30.0
S_PER_MINUTE = 60.0


@dataclasses.dataclass
class Drill:
    """Inject faults while callers and operators send requests; check the promises."""

    seed: Annotated[
        int, cappa.Arg(long=True, help="Seed of the random generators.")
    ] = 1
    minutes: Annotated[float, cappa.Arg(long=True, help="Duration in minutes.")] = 1.0
    deployment: Annotated[
        str, cappa.Arg(long=True, help="Name of the example deployment.")
    ] = "kitamori"
    only: Annotated[
        str, cappa.Arg(long=True, help="Name of the only fault to inject.")
    ] = ""
    logs: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Folder for the logs.")
    ] = None


async def run(drill: Drill) -> int:
    """Run one drill; return the exit code, 1 if a promise was broken."""
    text = demo.load_answers(drill.deployment)
    servers = await stand_ins.start_all(demo.generate(text))
    text = stand_ins.replace_urls(text, servers)
    zones = tuple(sorted({each.server.availability_zone for each in servers}))
    with tempfile.TemporaryDirectory(prefix="hickoryweir-drill-") as temporary:
        folder = drill.logs or pathlib.Path(temporary)
        cluster = await clusters.start_cluster(zones, servers, folder)
        try:
            return await run_with_cluster(drill, cluster, text)
        finally:
            await clusters.stop_all(cluster)


async def run_with_cluster(
    drill: Drill, cluster: clusters.Cluster, answers_text: str
) -> int:
    """Run the drill in a started cluster; return the exit code."""
    if not await demo.submit(answers_text, cluster.vms):
        return 1
    poller = asyncio.create_task(clusters.poll_readiness(cluster))
    await wait_until_ready(cluster)
    observations = workload.Observations([], [])
    generator = random.Random(drill.seed)
    context = faults.FaultContext(cluster, random.Random(drill.seed + 1), [], [], set())
    until_s = clusters.now_s() + drill.minutes * S_PER_MINUTE
    configuration = demo.generate(answers_text)
    context.configuration = configuration
    traffic = asyncio.gather(
        workload.run_callers(cluster, configuration, observations, generator, until_s),
        workload.run_operators(cluster, answers_text, observations, generator, until_s),
    )
    await inject_faults(drill, context, until_s)
    await traffic
    await asyncio.sleep(RECOVERY_S)
    poller.cancel()
    executions = stand_ins.count_executions(cluster.servers)
    violations = oracle.find_violations(cluster, context, observations, executions)
    report(drill, context, observations, violations)
    return 1 if violations else 0


async def wait_until_ready(cluster: clusters.Cluster) -> None:
    """Wait until every entry VM is in the balancer's list."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            if len(cluster.ready) == len(cluster.vms):
                return
            await asyncio.sleep(clusters.POLL_INTERVAL_S)


async def inject_faults(
    drill: Drill, context: faults.FaultContext, until_s: float
) -> None:
    """Inject faults, one or two at a time, until `until_s`."""
    available = (*faults.FAULTS, api_faults.send_poison, api_faults.stop_backend_server)
    choices = [fault for fault in available if drill.only in ("", fault.__name__)]
    while clusters.now_s() < until_s:
        count = 2 if context.generator.random() < PAIR_PROBABILITY else 1
        chosen = context.generator.choices(choices, k=count)
        context.fault_names.append(" and ".join(fault.__name__ for fault in chosen))
        context.is_only_fault = count == 1
        demo.print_line(f"fault: {context.fault_names[-1]}")
        await asyncio.gather(*(fault(context) for fault in chosen))
        await asyncio.sleep(FAULT_INTERVAL_S)


def report(
    drill: Drill,
    context: faults.FaultContext,
    observations: workload.Observations,
    violations: list[promises.Violation],
) -> None:
    """Print a summary of the drill and its first violations."""
    waits_s = oracle.longest_waits_s(observations)
    for name, counts in sorted(oracle.summarize(observations).items()):
        demo.print_line(f"{name}: {dict(counts)}, longest wait {waits_s[name]:.1f} s")
    demo.print_line(
        f"seed {drill.seed}: {len(observations.histories)} calls, "
        f"{len(observations.accepted)} changes accepted, "
        f"{len(context.fault_names)} faults drawn, {len(violations)} violations"
    )
    for violation in violations[:20]:
        demo.print_line(f"BROKEN: {violation.promise}: {violation.detail}")


def main() -> None:
    """Run from the command line."""
    raise SystemExit(asyncio.run(run(cappa.parse(Drill))))


if __name__ == "__main__":
    main()
