"""The faults of a round of ``bin/soak replicas``, drawn from its seed."""

import dataclasses
import random

from hickoryweir.testing.soak import faults

# Faults begin within this time, and the last ends soon after.
FAULTS_S = 6.0
INTERVAL_MIN_S, INTERVAL_MAX_S = 0.05, 1.2
DURATION_MIN_S, DURATION_MAX_S = 0.3, 1.5
REFUSED: tuple[faults.MemberFault, ...] = (faults.refuse_writes,)
SILENT: tuple[faults.MemberFault, ...] = (
    *(faults.silence_link, faults.silence_links, faults.silence_all),
)
OTHERS: tuple[faults.MemberFault, ...] = (
    *(faults.kill, faults.wipe, faults.pause, faults.stop),
    *(faults.cut_off, faults.reset_links, faults.slow_down),
)
# Have ended once the process listens again.
RESTARTS = (faults.kill, faults.wipe, faults.stop)
GROUPS = {"refused": REFUSED, "silent": SILENT, "others": OTHERS}
# Replicas only; never two at once.
SINGLE = (faults.refuse_writes,)
# Replicas only; once in a round, since the next disk may be lost only after a recovery.
ONCE = (faults.wipe,)
# Take no time, so they come in the middle of other faults of the same process.
IMMEDIATE = (*SILENT, faults.reset_links)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A fault of a process, whose number counts replicas first and then routers."""

    at_s: float
    fault: faults.MemberFault
    number: int
    duration_s: float

    @property
    def end_s(self) -> float:
        """Return when the fault ends."""
        return self.at_s + self.duration_s


def draw(
    generator: random.Random,
    groups: tuple[str, ...],
    replicas_count: int,
    routers_count: int,
) -> list[Event]:
    """Return the events of a round in the order of their times."""
    events: list[Event] = []
    at_s = 0.0
    while at_s < FAULTS_S:
        fault = generator.choice(GROUPS[generator.choice(groups)])
        has_routers = fault not in (*SINGLE, *ONCE)
        number = generator.randrange(replicas_count + routers_count * has_routers)
        duration_s = generator.uniform(DURATION_MIN_S, DURATION_MAX_S)
        if fault in IMMEDIATE:
            duration_s = 0.0
        event = Event(at_s, fault, number, duration_s)
        if not any(_excludes(earlier, event) for earlier in events):
            events.append(event)
        at_s += generator.uniform(INTERVAL_MIN_S, INTERVAL_MAX_S)
    return events


def _excludes(earlier: Event, event: Event) -> bool:
    """Return whether an event can't follow an earlier one."""
    is_same = earlier.fault is event.fault
    if is_same and event.fault in ONCE:
        return True
    if earlier.end_s <= event.at_s:
        return False
    if is_same and event.fault in SINGLE:
        return True
    return earlier.number == event.number and event.fault not in IMMEDIATE
