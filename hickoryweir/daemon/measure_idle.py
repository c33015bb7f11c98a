"""Measures what control costs: ``python -m hickoryweir.daemon.measure_idle``.

One entry VM (router and single replica) follows a number of engines that answer
load reports at once and serve nothing else.  The processor time, memory and
bytes that it uses without a single call are what control costs.
"""

import asyncio
import dataclasses
import pathlib
import tempfile
import time
from typing import Annotated

import cappa

from hickoryweir.daemon import measure
from hickoryweir.testing.demo import entry_vms

SETTLE_S = 5.0
SERVER = """\
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
    """Show processor time, memory and bytes of an entry VM without calls."""

    engines: Annotated[
        list[int], cappa.Arg(long=True, help="Numbers of engines to follow.")
    ] = dataclasses.field(default_factory=lambda: [10, 100, 1000])
    duration_s: Annotated[
        float, cappa.Arg(long=True, help="Length of each measurement.")
    ] = 20.0


def make_answers(engine_url: str, count: int) -> str:
    """Return answers with many engines, all of them one stand-in."""
    start = measure.ANSWERS.index("[backend-server")
    end = measure.ANSWERS.index("[account")
    servers = "".join(
        SERVER.format(number=number, url=f"{engine_url}/{number}")
        for number in range(1, count + 1)
    )
    return measure.ANSWERS[:start] + servers + measure.ANSWERS[end:]


def loopback_size_bytes() -> int:
    """Return the bytes that loopback has carried so far."""
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        name, _, counts = line.partition(":")
        if name.strip() == "lo":
            return int(counts.split()[0])
    return 0


async def measure_one(engine_url: str, count: int, duration_s: float) -> None:
    """Print the row for one number of engines."""
    with tempfile.TemporaryDirectory(prefix="hickoryweir-idle-") as folder:
        vms = entry_vms.make_entry_vms(("a",), pathlib.Path(folder), 0)
        entry_vms.write_settings(vms)
        running = entry_vms.start(vms[0])
        try:
            await measure.submit(vms[0], make_answers(engine_url, count))
            await asyncio.sleep(SETTLE_S)
            pid = running.process.pid
            before, bytes_before = measure.read_usage(pid), loopback_size_bytes()
            started_s = time.monotonic()
            await asyncio.sleep(duration_s)
            elapsed_s = time.monotonic() - started_s
            after, bytes_after = measure.read_usage(pid), loopback_size_bytes()
        finally:
            entry_vms.stop(running)
    share = (after.processor_s - before.processor_s) / elapsed_s
    resident_mib = after.resident_size_bytes / 2**20
    rate_kb = (bytes_after - bytes_before) / elapsed_s / 1000
    print(
        f"{count:5d} engines: {share:7.2%} of a core, {resident_mib:6.1f} MiB "
        f"resident, {rate_kb:8.1f} KB/s on loopback in all",
        flush=True,
    )


async def run(arguments: MeasureIdle) -> None:
    """Print a row for each number of engines."""
    port = entry_vms.free_port()
    engine = measure.start_engine(port, 0.0)
    try:
        for count in arguments.engines:
            url = f"http://{entry_vms.HOST}:{port}"
            await measure_one(url, count, arguments.duration_s)
    finally:
        engine.terminate()
        engine.wait()


def main() -> None:
    """Run from the command line."""
    asyncio.run(run(cappa.parse(MeasureIdle)))


if __name__ == "__main__":
    main()
