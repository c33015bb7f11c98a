"""When processes around planned stops were not scheduled, as evidence for excuses."""

import asyncio
import dataclasses
import os
import pathlib
import time
from collections.abc import Callable, Iterable

SAMPLE_INTERVAL_S = 0.02
# Shorter delays of the soak's event loop are its usual work.
LOOP_DELAY_MIN_S = 0.1
NS_PER_S = 1e9
RUN_DELAY, STOPPED = "run delay", "stopped by the soak"
SOAK_RUN_DELAY, SOAK_LOOP_DELAY = "run delay of the soak", "loop delay of the soak"


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """A span of the event loop's time in which a process did not run."""

    from_s: float
    to_s: float
    cause: str


@dataclasses.dataclass(slots=True)
class Recorder:
    """What was seen of the processes of a run.

    Attributes
    ----------
    run_delays_s : dict
        The last run delay of each process by its id, as the kernel sums it up.
    gaps : dict
        Gaps by process id.
    """

    run_delays_s: dict[int, float] = dataclasses.field(default_factory=dict)
    gaps: dict[int, list[Gap]] = dataclasses.field(default_factory=dict)

    def of(self, pid: int) -> list[Gap]:
        """Return the gaps of a process, a list that grows."""
        return self.gaps.setdefault(pid, [])


def read_run_delay_s(pid: int) -> float | None:
    """Return how long a process's main thread has waited for a processor so far."""
    try:
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    except OSError:
        return None
    return int(text.split()[1]) / NS_PER_S


def note_run_delay(
    recorder: Recorder, pid: int, run_delay_s: float, now_s: float, cause: str
) -> None:
    """Add the gap between the last sample of a process and this one.

    The kernel adds a wait at its end, so that a gap may begin before the last sample.
    """
    grown_s = run_delay_s - recorder.run_delays_s.get(pid, run_delay_s)
    recorder.run_delays_s[pid] = run_delay_s
    if grown_s > 0.0:
        recorder.of(pid).append(Gap(now_s - grown_s, now_s, cause))


async def record(recorder: Recorder, list_pids: Callable[[], Iterable[int]]) -> None:
    """Sample the processes and the soak itself until cancelled."""
    own_pid = os.getpid()
    while True:
        due_s = time.monotonic() + SAMPLE_INTERVAL_S
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        now_s = time.monotonic()
        if now_s - due_s >= LOOP_DELAY_MIN_S:
            recorder.of(own_pid).append(Gap(due_s, now_s, SOAK_LOOP_DELAY))
        for pid in (own_pid, *list_pids()):
            sample(recorder, pid)


def sample(recorder: Recorder, pid: int) -> None:
    """Read the run delay of a process, which may have ended, and note it."""
    run_delay_s = read_run_delay_s(pid)
    if run_delay_s is not None:
        cause = SOAK_RUN_DELAY if pid == os.getpid() else RUN_DELAY
        note_run_delay(recorder, pid, run_delay_s, time.monotonic(), cause)


def has_ended(pid: int) -> bool:
    """Return whether a child process has ended, without waiting for it."""
    options = os.WEXITED | os.WNOHANG | os.WNOWAIT
    try:
        return os.waitid(os.P_PID, pid, options) is not None
    except ChildProcessError:
        return True


def sum_s(gaps: Iterable[Gap], from_s: float, to_s: float) -> float:
    """Return how much of a span gaps cover; overlaps count once.

    Examples
    --------
    >>> sum_s([Gap(0.0, 2.0, "x"), Gap(1.0, 3.0, "y"), Gap(5.0, 9.0, "x")], 0.5, 6.0)
    3.5
    """
    covered_s, reached_s = 0.0, from_s
    for gap in sorted(gaps, key=lambda gap: gap.from_s):
        end_s = min(gap.to_s, to_s)
        covered_s += max(0.0, end_s - max(gap.from_s, reached_s))
        reached_s = max(reached_s, end_s)
    return covered_s


def list_around(gaps: list[Gap], at_s: float) -> list[Gap]:
    """Return the gaps that a moment falls into, or nearly.

    Examples
    --------
    >>> list_around([Gap(1.0, 2.0, "x"), Gap(3.0, 4.0, "x")], 4.01)
    [Gap(from_s=3.0, to_s=4.0, cause='x')]
    """
    return [
        gap
        for gap in gaps
        if gap.from_s - SAMPLE_INTERVAL_S <= at_s <= gap.to_s + SAMPLE_INTERVAL_S
    ]


def describe(gaps: list[Gap], from_s: float, to_s: float) -> str:
    """Return the sum of the gaps in a span for each cause."""
    texts = []
    for cause in (RUN_DELAY, STOPPED, SOAK_RUN_DELAY, SOAK_LOOP_DELAY):
        duration_s = sum_s((gap for gap in gaps if gap.cause == cause), from_s, to_s)
        if duration_s:
            texts.append(f"{cause} {duration_s:.3f} s")
    return ", ".join(texts)
