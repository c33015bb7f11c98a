"""Measure the control overhead: ``python -m hickoryweir.measures.idle``.

Two entry VMs, one of them the only replica, poll the load of a number of stand-in
engines and get no calls.  Their processor time and memory are the overhead of the
control plane.
"""

import asyncio
import dataclasses
import pathlib
import tempfile
import time
from typing import Annotated

import cappa

from hickoryweir.measures import daemon
from hickoryweir.testing.demo import entry_vms

SETTLE_S = 5.0
SERVER_TEMPLATE = """\
[backend-server engine-{number}]
runs = model
serves = assistant
url = {url}
availability_zone = a
provider = p
calls_at_once = 16
tokens_per_s = 50
checks_order_numbers = yes

"""


@dataclasses.dataclass
class MeasureIdle:
    """Show the processor time and memory of entry VMs without calls."""

    engines: Annotated[
        list[int], cappa.Arg(long=True, help="Numbers of engines to poll.")
    ] = dataclasses.field(default_factory=lambda: [10, 100, 1000])
    duration_s: Annotated[
        float, cappa.Arg(long=True, help="Duration of each measurement.")
    ] = 20.0


def make_answers(engine_url: str, count: int) -> str:
    """Return an answers file with many engines, all served by one stand-in."""
    start = daemon.ANSWERS_TEMPLATE.index("[backend-server")
    end = daemon.ANSWERS_TEMPLATE.index("[account")
    servers = "".join(
        SERVER_TEMPLATE.format(number=number, url=f"{engine_url}/{number}")
        for number in range(1, count + 1)
    )
    return daemon.ANSWERS_TEMPLATE[:start] + servers + daemon.ANSWERS_TEMPLATE[end:]


def make_vms(folder: pathlib.Path) -> tuple[entry_vms.EntryVm, ...]:
    """Return a replica and a router of one availability zone."""
    (first,) = entry_vms.make_entry_vms(("a",), folder, 0)
    (second,) = entry_vms.make_entry_vms(("a",), folder, 0)
    router = dataclasses.replace(
        second, name="a-2", folder=folder / "a-2", is_replica=False
    )
    return first, router


async def measure_engine_count(engine_url: str, count: int, duration_s: float) -> None:
    """Print the rows for one number of engines."""
    with tempfile.TemporaryDirectory(prefix="hickoryweir-idle-") as folder:
        vms = make_vms(pathlib.Path(folder))
        entry_vms.write_settings(vms)
        running = [entry_vms.start(vm) for vm in vms]
        try:
            await daemon.submit_configuration(vms[0], make_answers(engine_url, count))
            await asyncio.sleep(SETTLE_S)
            before = [
                daemon.read_usage(vm_process.process.pid) for vm_process in running
            ]
            started_s = time.monotonic()
            await asyncio.sleep(duration_s)
            elapsed_s = time.monotonic() - started_s
            after = [
                daemon.read_usage(vm_process.process.pid) for vm_process in running
            ]
        finally:
            for vm_process in running:
                entry_vms.stop(vm_process)
    for vm, first, last in zip(vms, before, after, strict=True):
        processor_share = (last.processor_s - first.processor_s) / elapsed_s
        resident_mib = last.resident_size_bytes / 2**20
        role = "replica and router" if vm.is_replica else "router"
        print(
            f"{count:5d} engines, {role:18}: {processor_share:7.2%} of a core, "
            f"{resident_mib:6.1f} MiB resident",
            flush=True,
        )


async def run(arguments: MeasureIdle) -> None:
    """Print a row for each number of engines."""
    port = entry_vms.free_port()
    engine = daemon.start_engine(port, 0.0)
    try:
        for count in arguments.engines:
            url = f"http://{entry_vms.HOST}:{port}"
            await measure_engine_count(url, count, arguments.duration_s)
    finally:
        engine.terminate()
        engine.wait()


def main() -> None:
    """Run from the command line."""
    asyncio.run(run(cappa.parse(MeasureIdle)))


if __name__ == "__main__":
    main()
