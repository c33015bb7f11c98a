"""Shows when a router nears the memory of its VM, or its event loop runs late."""

import asyncio
import dataclasses
import itertools

from hickoryweir import clocks
from hickoryweir.forwarding import contexts, held_bytes, open_requests
from hickoryweir.observability import logs

CHECK_INTERVAL_S = 0.1
# What is held is summed over all open requests, so less often.
CHECKS_BETWEEN_SUMS_COUNT = 5
# The gauge of the longest turn covers one to two windows.
WINDOW_S = 5.0
# Several times what a router that serves at its full rate needs for one turn.
LATE_S = 0.25
# Above it, a process is near the limit at which it is killed.
HIGH_MEMORY_SHARE = 0.85
# Bounds the lines of a router that stays late or large.
LOG_INTERVAL_S = 2.0


@dataclasses.dataclass(slots=True)
class LongestTurn:
    """Longest time by which the event loop ran late, over the last windows.

    Attributes
    ----------
    current_s, previous_s : float
        Longest delay of the current window, and of the one before it.
    window_began_s : float
        Loop time at which the current window began.
    """

    current_s: float = 0.0
    previous_s: float = 0.0
    window_began_s: float = 0.0

    def record(self, late_s: float, now_s: float) -> float:
        """Record a delay; return the longest one of the last windows.

        Examples
        --------
        >>> longest = LongestTurn()
        >>> [longest.record(late_s, at_s) for late_s, at_s in ((0.3, 1), (0.1, 2))]
        [0.3, 0.3]
        >>> longest.record(0.1, 6), longest.record(0.0, 12), longest.record(0.0, 18)
        (0.3, 0.1, 0.0)
        """
        if now_s - self.window_began_s >= WINDOW_S:
            self.previous_s, self.current_s = self.current_s, 0.0
            self.window_began_s = now_s
        self.current_s = max(self.current_s, late_s)
        return max(self.current_s, self.previous_s)


@dataclasses.dataclass(slots=True)
class Stalls:
    """When the event loop last ran, on :func:`clocks.boottime_s`.

    Attributes
    ----------
    checked_s, before_s : float or None
        The last check, and the one before it; None before the first one.
    """

    checked_s: float | None = None
    before_s: float | None = None

    def record(self, now_s: float) -> None:
        """Record a check."""
        self.before_s, self.checked_s = self.checked_s, now_s

    def earliest_s(self, now_s: float) -> float:
        """Return since when something may have waited that the loop sees now.

        Examples
        --------
        >>> stalls = Stalls()
        >>> stalls.earliest_s(9.0)
        9.0
        >>> stalls.record(9.0)
        >>> stalls.earliest_s(9.25), stalls.earliest_s(10.5)
        (9.25, 9.0)
        >>> stalls.record(10.5)
        >>> stalls.earliest_s(10.5), stalls.earliest_s(10.75)
        (9.0, 10.75)
        """
        if self.checked_s is None:
            return now_s
        if now_s - self.checked_s >= CHECK_INTERVAL_S + LATE_S:
            return self.checked_s
        # A check that ends a stall may come first.
        if self.before_s is None or now_s - self.checked_s >= CHECK_INTERVAL_S:
            return now_s
        was_late = self.checked_s - self.before_s >= CHECK_INTERVAL_S + LATE_S
        return self.before_s if was_late else now_s


async def run(forwarder: contexts.Forwarder, stalls: Stalls | None = None) -> None:
    """Measure until cancelled; record in `stalls` when the event loop runs."""
    stalls = stalls or Stalls()
    loop = asyncio.get_running_loop()
    longest, logged_at_s = LongestTurn(), float("-inf")
    for check_number in itertools.count():
        due_s = loop.time() + CHECK_INTERVAL_S
        await asyncio.sleep(CHECK_INTERVAL_S)
        now_s = loop.time()
        late_s = max(0.0, now_s - due_s)
        stalls.record(clocks.boottime_s())
        resident_size_bytes = held_bytes.resident_size_bytes()
        metrics = forwarder.metrics
        metrics.longest_turn_s.set(longest.record(late_s, now_s))
        metrics.resident_size_bytes.set(resident_size_bytes)
        if check_number % CHECKS_BETWEEN_SUMS_COUNT == 0:
            usage = held_bytes.measure(forwarder, held_bytes.NO_ACCOUNT)
            metrics.held_size_bytes.set(usage.size_bytes)
        found = find_shortage(late_s, resident_size_bytes, forwarder.memory_size_bytes)
        if found is not None and now_s - logged_at_s >= LOG_INTERVAL_S:
            logged_at_s = now_s
            fields = logs.Fields(
                reason=found, duration_s=round(late_s, 3), detail=_describe(forwarder)
            )
            logs.warning("router short of memory or processor time", fields)


def find_shortage(
    late_s: float, resident_size_bytes: int, memory_size_bytes: int
) -> str | None:
    """Return what a router is short of: ``processor`` or ``memory``; None for nothing.

    Parameters
    ----------
    late_s : float
        Time by which the event loop ran late.
    resident_size_bytes : int
        Memory of the process.
    memory_size_bytes : int
        Memory of the VM; 0 if it is not known.

    Examples
    --------
    >>> find_shortage(0.0, 90, 100), find_shortage(0.3, 90, 200)
    ('memory', 'processor')
    >>> find_shortage(0.1, 90, 0)
    """
    high_size_bytes = HIGH_MEMORY_SHARE * memory_size_bytes
    if memory_size_bytes and resident_size_bytes >= high_size_bytes:
        return "memory"
    return "processor" if late_s >= LATE_S else None


def _describe(forwarder: contexts.Forwarder) -> str:
    """Return what the router holds and what its requests wait for."""
    phases = open_requests.count_phases(forwarder.open_requests.values())
    held = held_bytes.describe(forwarder, held_bytes.NO_ACCOUNT)
    return f"{held}: {phases}"
