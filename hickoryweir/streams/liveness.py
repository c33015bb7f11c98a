"""Detects connections on which nothing of the other process arrives any more.

TCP can't: a middlebox that has lost a connection may go on acknowledging its bytes, and
where nothing is sent there is nothing to acknowledge.  So the connecting side sends a
:class:`Probe` in each interval in which the processes have not both sent messages, or
once many bytes were sent since the last one, and the accepting side replies on the same
connection.  Either side ends a connection on which it has received no bytes for a
number of intervals, the connecting side first.

Intervals are ticks of a timer of this process, not times of a clock: a process that
stood still has missed ticks as well, and reads what has arrived before the next one.
The limit of the connecting side grows with the bytes ahead of its oldest probe without
a reply, so that a large message on a slow link does not look like silence.

A process with many connections asks in its replies for longer intervals.

Examples
--------
>>> state = make_connecting(handshake.Purpose.FEED)
>>> [tick(state).value for _ in range(4)]
['probe', 'probe', 'probe', 'silent']
>>> state = make_connecting(handshake.Purpose.FEED)
>>> verdicts = []
>>> for sequence in range(1, 4):
...     verdicts.append(tick(state).value)
...     record_received(state)
...     record_reply(state, Reply(sequence))
>>> verdicts
['probe', 'probe', 'probe']
"""

import collections
import dataclasses
import enum
import math
import typing

from hickoryweir.streams import codec, handshake

# Of the slowest link on which large messages must not look like silence.
MIN_RATE_BYTES_PER_S = 500_000
# Bounds of what the other side may name.
MIN_INTERVAL_MS = 100
MAX_INTERVAL_MS = 60_000
MAX_UNANSWERED_COUNT = 64
# Of all connections whose interval is stretched, at the process that accepts them.
MAX_PROBES_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks for a reply on the same connection."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Replies to a probe.

    Attributes
    ----------
    interval_ms : int
        The interval that the accepting side asks for; 0 if it stays.
    """

    OMITS_DEFAULTS: typing.ClassVar[bool] = True

    sequence: int
    interval_ms: int = 0


codec.register("pr", Probe)
codec.register("pr!", Reply)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """When connections of a purpose count as silent.

    Attributes
    ----------
    interval_ms : int
        Time between ticks.
    connecting_count, accepting_count : int
        Ticks without a byte after which each side ends a connection.
    is_stretched : bool
        Whether many connections lengthen the interval.
    """

    interval_ms: int
    connecting_count: int
    accepting_count: int
    is_stretched: bool = False


# A replica whose event loop stands still for most of a second keeps its connections,
# and there is time left for an election within 3 s.
_FAST = Limits(200, 6, 9)
# The connecting side waits as long as a router waits for a heartbeat of its feed.
_SLOW = Limits(500, 4, 6, is_stretched=True)
LIMITS = {
    handshake.Purpose.REPLICA: _FAST,
    handshake.Purpose.CLIENT: _FAST,
    handshake.Purpose.ROUTER: _SLOW,
    handshake.Purpose.FEED: _SLOW,
    handshake.Purpose.USAGE: _SLOW,
}

# Connections that this process has ended as silent, by purpose.
ended_counts: collections.Counter[str] = collections.Counter()


class Verdict(enum.StrEnum):
    """What a tick asks for."""

    WAIT = "wait"
    PROBE = "probe"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class SentProbe:
    """A probe without a reply, and the bytes that were sent before it."""

    sequence: int
    sent_size_bytes: int


@dataclasses.dataclass(slots=True)
class Population:
    """Connections that a process has accepted and whose interval is stretched."""

    count: int = 0


@dataclasses.dataclass(slots=True)
class State:
    """What one side has sent and received on a connection.

    Attributes
    ----------
    silent_count : int
        Ticks since bytes were received.
    sequence : int
        Number of the last probe.
    """

    purpose: handshake.Purpose
    interval_s: float
    limit_count: int
    is_connecting: bool
    population: Population | None = None
    silent_count: int = 0
    sequence: int = 0
    has_received: bool = False
    has_received_message: bool = False
    has_sent_message: bool = False
    sent_size_bytes: int = 0
    confirmed_size_bytes: int = 0
    unanswered: collections.deque[SentProbe] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_UNANSWERED_COUNT)
    )


def make_connecting(purpose: handshake.Purpose) -> State:
    """Return the state of a side that probes."""
    limits = LIMITS[purpose]
    return State(purpose, limits.interval_ms / 1000, limits.connecting_count, True)


def make_accepting(
    purpose: handshake.Purpose, interval_ms: int, population: Population
) -> State | None:
    """Return the state of a side that replies; None if the other does not probe."""
    if interval_ms <= 0:
        return None
    limits = LIMITS[purpose]
    interval_s = _bounded_s(interval_ms)
    state = State(purpose, interval_s, limits.accepting_count, False)
    state.population = population if limits.is_stretched else None
    return state


def begin(state: State) -> None:
    """Record that a connection is open."""
    if state.population is not None:
        state.population.count += 1


def end(state: State) -> None:
    """Record the end of a connection."""
    if state.population is not None:
        state.population.count -= 1
        state.population = None


def make_reply(state: State | None, probe: Probe) -> Reply:
    """Return the reply to a probe.

    Examples
    --------
    >>> crowd = Population(1404)
    >>> state = make_accepting(handshake.Purpose.FEED, 500, crowd)
    >>> make_reply(state, Probe(1))
    Reply(sequence=1, interval_ms=1404)
    """
    if state is None or state.population is None:
        return Reply(probe.sequence)
    wanted_ms = state.population.count * 1000 // MAX_PROBES_PER_S
    interval_ms = max(wanted_ms, LIMITS[state.purpose].interval_ms)
    state.interval_s = _bounded_s(interval_ms)
    return Reply(probe.sequence, interval_ms)


def _bounded_s(interval_ms: int) -> float:
    return min(max(interval_ms, MIN_INTERVAL_MS), MAX_INTERVAL_MS) / 1000


def record_sent(state: State, size_bytes: int) -> None:
    """Record that a message was queued."""
    state.has_sent_message = True
    state.sent_size_bytes += size_bytes


def record_received(state: State) -> None:
    """Record that bytes have arrived."""
    state.has_received = True


def record_message(state: State) -> None:
    """Record that a message other than a probe or a reply has arrived."""
    state.has_received_message = True


def record_reply(state: State, reply: Reply) -> None:
    """Record a reply to a probe and so to those before it."""
    while state.unanswered and state.unanswered[0].sequence <= reply.sequence:
        state.confirmed_size_bytes = state.unanswered.popleft().sent_size_bytes
    if state.is_connecting and reply.interval_ms > 0:
        state.interval_s = _bounded_s(reply.interval_ms)


def tick(state: State) -> Verdict:
    """Return what is due at a tick; number a probe that is."""
    state.silent_count = 0 if state.has_received else state.silent_count + 1
    is_idle = not (state.has_received_message and state.has_sent_message)
    state.has_received = state.has_received_message = state.has_sent_message = False
    if state.silent_count >= state.limit_count + _count_for_sent(state):
        return Verdict.SILENT
    if not (state.is_connecting and (is_idle or _is_confirmation_due(state))):
        return Verdict.WAIT
    state.sequence += 1
    state.unanswered.append(SentProbe(state.sequence, state.sent_size_bytes))
    return Verdict.PROBE


def silent_s(state: State) -> float:
    """Return for about how long no bytes have been received."""
    return state.silent_count * state.interval_s


def _is_confirmation_due(state: State) -> bool:
    """Return whether more was sent since the last probe than passes in an interval.

    Otherwise the limit would grow with all that was sent while no probe was due.
    """
    probed_bytes = state.confirmed_size_bytes
    if state.unanswered:
        probed_bytes = state.unanswered[-1].sent_size_bytes
    unprobed_bytes = state.sent_size_bytes - probed_bytes
    return unprobed_bytes > MIN_RATE_BYTES_PER_S * state.interval_s


def _count_for_sent(state: State) -> int:
    """Return the ticks that the bytes ahead of the oldest probe may take."""
    if not state.unanswered:
        return 0
    ahead_bytes = state.unanswered[0].sent_size_bytes - state.confirmed_size_bytes
    return math.floor(ahead_bytes / MIN_RATE_BYTES_PER_S / state.interval_s)
