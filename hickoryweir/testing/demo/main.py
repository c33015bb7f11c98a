"""Runs the demonstration and checks its outcome: ``bin/demo [kitamori|tamworth]``.

Exit code 0 means that every call got a complete answer of its own, no
non-idempotent key was executed more than once, each answered one exactly once, and
every entry VM shut down gracefully.
"""

import asyncio
import collections
import dataclasses
import pathlib
import signal
import tempfile
import time
from typing import Annotated

import aiohttp
import cappa
from returns import result

from hickoryweir.configuration import change_ids, generator, model
from hickoryweir.operators import client, documents
from hickoryweir.testing.demo import burst, entry_vms, stand_ins

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
FIRST_PORT = 8101
READY_TIMEOUT_S = 30.0
READY_INTERVAL_S = 0.1
SEED = 7
# Exit code that shells report for a process terminated by SIGTERM.
EXIT_TERMINATED = 128 + signal.SIGTERM
SUBMIT_ATTEMPTS_COUNT = 120
SUBMIT_INTERVAL_S = 0.25


@dataclasses.dataclass
class Demo:
    """Run three entry VMs and stand-ins on loopback and send a mixed burst."""

    deployment: Annotated[
        str, cappa.Arg(help="Example deployment: kitamori or tamworth.")
    ] = "kitamori"
    calls: Annotated[
        int, cappa.Arg(long=True, help="Number of calls in the burst.")
    ] = 200
    duration_s: Annotated[
        float, cappa.Arg(long=True, help="Duration of the burst in seconds.")
    ] = 4.0
    keep: Annotated[
        bool, cappa.Arg(long=True, help="Continue serving until Ctrl-C.")
    ] = False


def print_line(text: str) -> None:
    """Print a line without buffering."""
    print(text, flush=True)


def load_answers(deployment: str) -> str:
    """Return the text of an example's answers file.

    Raises
    ------
    cappa.Exit
        There is no such example.
    """
    path = EXAMPLES / deployment / "answers.ini"
    if not path.is_file():
        raise cappa.Exit(f"no example named {deployment}", code=2)
    return path.read_text()


def generate(answers_text: str) -> model.Configuration:
    """Return the configuration for an example's answers.

    Raises
    ------
    cappa.Exit
        The answers are invalid.
    """
    generated = generator.generate_text(answers_text, "answers.ini")
    if not isinstance(generated, result.Success):
        raise cappa.Exit(str(generated.failure()), code=2)
    return generated.unwrap()


async def run(demo: Demo) -> int:
    """Run the demonstration; return its exit code."""
    answers_text = load_answers(demo.deployment)
    configuration = generate(answers_text)
    print_line(f"generated the configuration of {configuration.customer}")
    servers = await stand_ins.start_all(configuration)
    answers_text = stand_ins.replace_urls(answers_text, servers)
    print_line(f"started {len(servers)} stand-ins")
    zones = tuple(
        sorted({each.availability_zone for each in configuration.backend_servers})
    )
    with tempfile.TemporaryDirectory(prefix="hickoryweir-demo-") as folder:
        vms = entry_vms.make_entry_vms(zones, pathlib.Path(folder), FIRST_PORT)
        entry_vms.write_settings(vms)
        running = [entry_vms.start(vm) for vm in vms]
        try:
            outcomes = await run_burst(demo, answers_text, vms)
        finally:
            print_line("stopping the entry VMs")
            codes = await asyncio.gather(
                *(asyncio.to_thread(entry_vms.stop, vm) for vm in running)
            )
        if outcomes is None or any(codes):
            show_logs(vms)
    await stand_ins.stop_all(servers)
    if outcomes is None:
        print_line("BROKEN: the entry VMs did not become ready")
        return 1
    return report(outcomes, stand_ins.count_executions(servers), codes)


async def run_until_stopped(demo: Demo) -> int:
    """Run the demonstration; on SIGTERM stop it and its processes, as on Ctrl-C."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run(demo)


async def run_burst(
    demo: Demo,
    answers_text: str,
    vms: tuple[entry_vms.EntryVm, ...],
) -> list[burst.Outcome] | None:
    """Submit the configuration and send the burst; None if not ready in time."""
    print_line(f"started entry VMs {', '.join(vm.name for vm in vms)}")
    if not await submit(answers_text, vms) or not await wait_until_ready(vms):
        return None
    urls = tuple(vm.callers_url for vm in vms)
    print_line(f"ready: {' '.join(urls)}")
    configuration = generate(answers_text)
    plans = burst.make_plans(configuration, urls, demo.calls, demo.duration_s, SEED)
    print_line(f"sending {len(plans)} calls over {demo.duration_s} s")
    outcomes = await burst.send_all(plans)
    if demo.keep:
        print_line("serving until Ctrl-C")
        await asyncio.Event().wait()
    return outcomes


async def submit(answers_text: str, vms: tuple[entry_vms.EntryVm, ...]) -> bool:
    """Submit the answers through the operators' API, retrying until accepted."""
    access = client.Access(
        tuple(vm.operators_url for vm in vms), entry_vms.OPERATOR_KEY
    )
    change_id = change_ids.make(time.time())
    body = {"change_id": change_id, "answers": answers_text, "summary": "demo"}
    accepted = documents.AcceptedDocument
    for _ in range(SUBMIT_ATTEMPTS_COUNT):
        response = await client.request(access, "POST", "/changes", accepted, body)
        if isinstance(response, result.Success):
            change = response.unwrap()
            zones = ", ".join(describe_zone(zone) for zone in change.zones)
            print_line(f"accepted as version {change.version}: {zones}")
            return True
        await asyncio.sleep(SUBMIT_INTERVAL_S)
    print_line(f"BROKEN: not accepted: {response.failure()}")
    return False


def describe_zone(zone: documents.ZoneState) -> str:
    """Return a description of one availability zone's state."""
    return f"{zone.availability_zone} {'in force' if zone.is_in_force else 'pending'}"


async def wait_until_ready(vms: tuple[entry_vms.EntryVm, ...]) -> bool:
    """Return whether every entry VM became ready within `READY_TIMEOUT_S`."""
    async with aiohttp.ClientSession() as session:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                for vm in vms:
                    await wait_for_vm(session, vm)
        except TimeoutError:
            return False
    return True


async def wait_for_vm(session: aiohttp.ClientSession, vm: entry_vms.EntryVm) -> None:
    """Poll an entry VM until it is ready."""
    while True:
        if await is_ready(session, vm):
            return
        await asyncio.sleep(READY_INTERVAL_S)


async def is_ready(session: aiohttp.ClientSession, vm: entry_vms.EntryVm) -> bool:
    """Return whether an entry VM reports that it is ready."""
    try:
        async with session.get(vm.callers_url + "/readyz") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


def show_logs(vms: tuple[entry_vms.EntryVm, ...]) -> None:
    """Print the end of each entry VM's log."""
    for vm in vms:
        log = vm.folder / "log.jsonl"
        lines = log.read_text().splitlines()[-20:] if log.is_file() else []
        print_line(f"--- log of {vm.name}")
        for line in lines:
            print_line(line)


def report(
    outcomes: list[burst.Outcome], executions: dict[str, int], codes: list[int]
) -> int:
    """Print a table by class and the violations; return the exit code."""
    by_class = collections.defaultdict(list)
    for outcome in outcomes:
        by_class[outcome.plan.request_class.name].append(outcome)
    print_line("")
    print_line(
        f"{'class':22} {'calls':>6} {'answered':>9} {'own':>5} {'attainment':>11}"
    )
    for name, class_outcomes in sorted(by_class.items()):
        print_line(format_row(name, class_outcomes))
    reasons = collections.Counter(
        reason for outcome in outcomes for reason in outcome.refusals
    )
    print_line(f"refusals: {dict(reasons) or 'none'}")
    violations = find_violations(outcomes, executions, codes)
    for text in violations:
        print_line(f"BROKEN: {text}")
    keys_count = sum(1 for count in executions.values() if count == 1)
    print_line(
        f"non-idempotent keys that ran exactly once: {keys_count} of {len(executions)}"
    )
    print_line(
        "every promise kept" if not violations else f"{len(violations)} promises broken"
    )
    return 1 if violations else 0


def format_row(name: str, outcomes: list[burst.Outcome]) -> str:
    """Return the table row of one class."""
    answered = sum(outcome.answered for outcome in outcomes)
    correct = sum(outcome.is_correct for outcome in outcomes)
    met = sum(met_target(outcome) for outcome in outcomes)
    share = met / len(outcomes)
    return f"{name:22} {len(outcomes):>6} {answered:>9} {correct:>5} {share:>10.1%}"


def met_target(outcome: burst.Outcome) -> bool:
    """Return whether a call was answered within its class's latency target."""
    request_class = outcome.plan.request_class
    if not outcome.answered:
        return False
    if request_class.target is model.Target.MODEL and request_class.idempotent:
        return outcome.first_token_s <= request_class.first_token_target_s
    return outcome.answer_s <= request_class.answer_target_s


def find_violations(
    outcomes: list[burst.Outcome], executions: dict[str, int], codes: list[int]
) -> list[str]:
    """Return one line for each violation of a promise."""
    violations = []
    for outcome in outcomes:
        plan = outcome.plan
        if outcome.answered and not outcome.is_correct:
            violations.append(
                f"{plan.request_id}: the answer is incomplete or another call's"
            )
        if plan.key and outcome.answered and executions.get(plan.key, 0) != 1:
            violations.append(
                f"{plan.key}: answered, but executed {executions.get(plan.key)} times"
            )
        if not outcome.answered:
            reasons = ", ".join(outcome.refusals)
            violations.append(f"{plan.request_id}: no answer after {reasons}")
    for key, count in executions.items():
        if count > 1:
            violations.append(f"{key}: ran {count} times")
    for code in codes:
        if code != 0:
            violations.append(f"an entry VM exited with code {code}")
    return violations


def main() -> None:
    """Run the demonstration from the command line."""
    demo = cappa.parse(Demo)
    try:
        code = asyncio.run(run_until_stopped(demo))
    except asyncio.CancelledError:
        code = EXIT_TERMINATED
    raise SystemExit(code)


if __name__ == "__main__":
    main()
