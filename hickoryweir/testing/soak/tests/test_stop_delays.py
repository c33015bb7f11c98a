"""Evidence that a process was not scheduled: its size, its place and its causes."""

import asyncio
import contextlib
import os
import subprocess
import sys
import time

import pytest

from hickoryweir.testing.soak import stop_delays


@pytest.mark.parametrize(
    ("spans", "covered_s"),
    [
        ([], 0.0),
        ([(0.0, 0.9), (2.1, 3.0)], 0.0),
        ([(0.0, 9.0)], 1.0),
        ([(1.2, 1.5), (1.4, 1.6), (1.2, 1.3)], 0.4),
        ([(1.8, 2.5), (0.5, 1.1)], 0.3),
    ],
)
def test_delays_outside_a_span_and_overlaps_are_not_counted(spans, covered_s):
    gaps = [stop_delays.Gap(*span, "x") for span in spans]
    assert stop_delays.sum_s(gaps, 1.0, 2.0) == pytest.approx(covered_s)


def test_wait_of_a_process_is_placed_before_the_sample_that_shows_it():
    recorder = stop_delays.Recorder()
    for run_delay_s, now_s in ((5.0, 10.0), (5.0, 10.02), (5.8, 11.0), (5.8, 11.02)):
        stop_delays.note_run_delay(
            recorder, 7, run_delay_s, now_s, stop_delays.RUN_DELAY
        )
    [gap] = recorder.of(7)
    assert (gap.from_s, gap.to_s) == pytest.approx((10.2, 11.0))


def test_process_that_has_ended_has_no_run_delay():
    assert stop_delays.read_run_delay_s(2**22 + 1) is None
    assert stop_delays.read_run_delay_s(os.getpid()) >= 0.0


def test_process_that_has_ended_keeps_its_figures_until_it_is_waited_for():
    with subprocess.Popen([sys.executable, "-c", ""]) as process:
        while not stop_delays.has_ended(process.pid):
            time.sleep(0.01)
        assert stop_delays.read_run_delay_s(process.pid) > 0.0
        assert process.poll() == 0
        assert stop_delays.has_ended(process.pid)


def test_loop_delay_of_the_soak_is_recorded():
    recorder = stop_delays.Recorder()

    async def hold_up():
        recording = asyncio.create_task(stop_delays.record(recorder, list))
        await asyncio.sleep(2 * stop_delays.SAMPLE_INTERVAL_S)
        asyncio.get_running_loop().call_soon(time.sleep, 0.3)
        await asyncio.sleep(2 * stop_delays.SAMPLE_INTERVAL_S)
        recording.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await recording

    asyncio.run(hold_up())
    gaps = recorder.of(os.getpid())
    held_up = [gap for gap in gaps if gap.cause == stop_delays.SOAK_LOOP_DELAY]
    assert sum(gap.to_s - gap.from_s for gap in held_up) >= 0.25
