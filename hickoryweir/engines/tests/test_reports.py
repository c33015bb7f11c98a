"""Tests of load reports, cache events and probes with the stand-in engine."""

import asyncio
import contextlib

import pytest

from hickoryweir.discovery import decisions
from hickoryweir.engines import reports
from hickoryweir.engines.tests import benches
from hickoryweir.policy import events

FAST_SETTINGS = reports.ReportSettings(
    interval_s=0.005, longest_wait_s=0.01, timeout_s=2.0, down_after_count=2
)


@contextlib.asynccontextmanager
async def polled_reports(bench):
    queue = asyncio.Queue()
    watcher = reports.make_watcher(bench.session, queue.put_nowait, FAST_SETTINGS)
    reports.update(watcher, (bench.server,))
    try:
        yield queue
    finally:
        await reports.close(watcher)


async def next_message(queue, kind):
    while True:
        message = await queue.get()
        if isinstance(message, kind):
            return message


def test_load_is_reported():
    async def test():
        async with benches.engine_bench() as bench, polled_reports(bench) as queue:
            call = benches.make_call(stand_in_output_tokens=1_000_000)
            stream = (await bench.open(call)).unwrap()
            while (await next_message(queue, events.LoadReported)).running != 1:
                pass
            await stream.close()

    asyncio.run(test())


@pytest.mark.parametrize("number", ["9" * 400, "9" * 5000, "1e300", "1e999", "-1"])
@pytest.mark.parametrize("name", ["running", "waiting", "last_sequence", "sequence"])
def test_report_with_an_absurd_count_is_no_report(name, number):
    # Integers without a bound have no float, so that decisions on them would fail.
    event = '{"sequence": 1}'.replace("1", number if name == "sequence" else "1")
    counts = {"running": "1", "waiting": "1", "last_sequence": "1"} | {name: number}
    fields = ",".join(f'"{key}":{value}' for key, value in counts.items())
    body = f'{{"cache_used_share":0.5,"age_s":0,"events":[{event}],{fields}}}'
    is_load = name in ("running", "waiting")
    document = reports.LoadDocument if is_load else reports.CacheEventsDocument
    with pytest.raises(ValueError, match="validation error"):
        document.model_validate_json(body)


def test_cache_events_come_once_and_in_order():
    async def test():
        async with benches.engine_bench() as bench, polled_reports(bench) as queue:
            for number in range(3):
                content = f"{number}" * 600
                message = {"role": "user", "content": content}
                call = benches.make_call(f"r{number}", messages=[message])
                await benches.read_all((await bench.open(call)).unwrap())
            found = [await next_message(queue, events.CacheChanged) for _ in range(3)]
        assert [event.sequence for event in found] == [1, 2, 3]
        assert all(len(event.stored) == 2 for event in found)

    asyncio.run(test())


def test_crash_and_restart_are_reported():
    async def test():
        async with benches.engine_bench() as bench, polled_reports(bench) as queue:
            await next_message(queue, events.LoadReported)
            await bench.served.crash()
            down = await next_message(queue, decisions.Probed)
            await bench.served.restart()
            up = await next_message(queue, decisions.Probed)
        assert (down.up, up.up) == (False, True)

    asyncio.run(test())


def test_removed_server_is_no_longer_polled():
    async def test():
        async with benches.engine_bench() as bench:
            watcher = reports.make_watcher(bench.session, lambda _: None, FAST_SETTINGS)
            reports.update(watcher, (bench.server,))
            reports.update(watcher, ())
            assert watcher.tasks == {}

    asyncio.run(test())
