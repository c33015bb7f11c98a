"""Time of day from the clocks of many processes, robust against some that jump.

Each process tells its time of day.  The receiver takes the offset from its own
:func:`hickoryweir.clocks.boottime_s`; a delay makes the offset smaller, so that the
largest of a source's recent offsets had the smallest delay.  An offset that is smaller
by more than any usual delay means that the source's clock was set back.  A stall of the
receiver delays the messages of all sources; those that it receives right after one are
not used.  The time of day is the median over all sources.

Examples
--------
>>> state = State()
>>> for source, wall_s in (("a", 1000.0), ("b", 1000.2), ("c", 1007.0)):
...     add_sample(state, source, wall_s, 10.0)
>>> round(offset_s(state, 11.0), 3)
990.2
"""

import collections
import dataclasses
import statistics

# Fewer can't outvote one that jumps.
MIN_SOURCES_COUNT = 3
# Longer than a process is usually frozen or a network partitioned.
SAMPLE_RETENTION_S = 20.0
MAX_SAMPLES_COUNT = 16
# Messages take milliseconds; a retransmission takes at least 0.2 s.
MAX_DELAY_S = 0.5
# The receiver reports its progress every 0.1 s.
STALL_S = 0.5
# Messages that waited during a stall are received at once after it.
IGNORED_AFTER_STALL_S = 0.3
MAX_SOURCES_COUNT = 4096
# Year 5138; the numbers of later windows would not fit into a message.
MAX_WALL_S = 1e11


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Offset between a source's time of day and the receiver's boot time."""

    received_at_s: float
    offset_s: float


@dataclasses.dataclass(slots=True)
class State:
    """Recent samples by source, the largest offset of a source first.

    Attributes
    ----------
    progressed_at_s : float or None
        When the receiver last reported progress; None if it never does.
    ignores_until_s : float
        Until when messages may have waited during a stall.
    kept_offset_s : float or None
        The last median of enough sources, which is used while there are fewer.
    """

    samples: dict[str, collections.deque[Sample]] = dataclasses.field(
        default_factory=dict
    )
    progressed_at_s: float | None = None
    ignores_until_s: float = float("-inf")
    kept_offset_s: float | None = None


def record_progress(state: State, now_s: float) -> None:
    """Record that the receiver runs, so that stalls of it are noticed."""
    _notice_stall(state, now_s)
    state.progressed_at_s = now_s


def _notice_stall(state: State, now_s: float) -> None:
    last_s = state.progressed_at_s
    if last_s is not None and now_s - last_s > STALL_S:
        state.ignores_until_s = now_s + IGNORED_AFTER_STALL_S


def is_plausible(wall_s: float) -> bool:
    """Return whether a time of day can be one.

    Examples
    --------
    >>> [is_plausible(wall_s) for wall_s in (1.7e9, -1.0, 1e300, float("nan"))]
    [True, False, False, False]
    """
    return 0.0 <= wall_s <= MAX_WALL_S


def add_sample(state: State, source: str, wall_s: float, now_s: float) -> None:
    """Add what a source told of its clock; too many sources drop the oldest one."""
    _notice_stall(state, now_s)
    if now_s < state.ignores_until_s or not is_plausible(wall_s):
        return
    samples = state.samples.pop(source, None)
    if samples is None:
        samples = collections.deque(maxlen=MAX_SAMPLES_COUNT)
        if len(state.samples) >= MAX_SOURCES_COUNT:
            del state.samples[next(iter(state.samples))]
    # Re-inserted, so that the source that was silent for longest comes first.
    state.samples[source] = samples
    sample = Sample(now_s, wall_s - now_s)
    if samples and sample.offset_s < samples[0].offset_s - MAX_DELAY_S:
        samples.clear()
    while samples and samples[-1].offset_s <= sample.offset_s:
        samples.pop()
    if len(samples) == MAX_SAMPLES_COUNT:
        samples.pop()
    samples.append(sample)


def offset_s(state: State, now_s: float) -> float | None:
    """Return the time of day minus the boot time; None without samples."""
    offsets_s = []
    for source in list(state.samples):
        samples = state.samples[source]
        while samples and now_s - samples[0].received_at_s > SAMPLE_RETENTION_S:
            samples.popleft()
        if samples:
            offsets_s.append(samples[0].offset_s)
        else:
            del state.samples[source]
    if len(offsets_s) >= MIN_SOURCES_COUNT:
        state.kept_offset_s = statistics.median_low(offsets_s)
    if state.kept_offset_s is not None:
        return state.kept_offset_s
    return statistics.median_low(offsets_s) if offsets_s else None
