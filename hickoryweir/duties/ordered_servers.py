"""Submachine of the replicated log: numbers of servers that a holder has ordered.

The list of servers lacks those that are booting and may not say their kind, so the next
holder could not infer the numbers from it.  A holder records increases before it sends
them and decreases after they were accepted, so that the recorded numbers are never
below those in force.

Examples
--------
>>> state = initial_state()
>>> counts = (OrderedCount("llm", "a", True, 9),)
>>> apply(state, RecordOrdered(0, counts), 4, 0.0).index
4
>>> apply(state, RecordOrdered(0, ()), 5, 0.0) == OrderedServers(4, counts)
True
"""

import dataclasses
import enum
from collections.abc import Callable

from hickoryweir.replicas import client, machine
from hickoryweir.streams import codec

NAME = "ordered_servers"
NO_INDEX = 0
# A commit takes tens of milliseconds; without one, nothing may be ordered.
RECORD_TIMEOUT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class OrderedCount:
    """Number of servers of one kind that a service was last ordered in a zone."""

    service_name: str
    availability_zone: str
    is_spot: bool
    servers_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOrdered:
    """Command that replaces the numbers, unless others were recorded meanwhile.

    Attributes
    ----------
    based_on_index : int
        Index of the numbers that the holder knows of.
    """

    based_on_index: int
    counts: tuple[OrderedCount, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderedServers:
    """The recorded numbers, and the log index of the command that recorded them."""

    index: int
    counts: tuple[OrderedCount, ...]


for _tag, _cls in (
    ("os.count", OrderedCount),
    ("os.record", RecordOrdered),
    ("os.state", OrderedServers),
):
    codec.register(_tag, _cls)


@dataclasses.dataclass(slots=True)
class State:
    """State of the submachine."""

    ordered: OrderedServers = OrderedServers(NO_INDEX, ())


def initial_state() -> State:
    """Return the state before the first order."""
    return State()


def apply(
    state: State, command: RecordOrdered, index: int, time_s: float
) -> OrderedServers:
    """Apply a command and return the numbers that are recorded now."""
    if command.based_on_index == state.ordered.index:
        state.ordered = OrderedServers(index, command.counts)
    return state.ordered


def make_submachine() -> machine.Submachine:
    """Return the submachine of ordered servers."""
    return machine.Submachine(
        name=NAME,
        command_types=(RecordOrdered,),
        initial_state=initial_state,
        apply=apply,
        dump=lambda state: codec.encode(state.ordered),
        load=lambda data: State(codec.decode(data).unwrap()),
        is_initial=lambda state: state.ordered.index == NO_INDEX,
    )


class Recorded(enum.StrEnum):
    """Whether numbers were recorded.

    `UNAVAILABLE`: the log gave no answer, and may record the numbers later.
    `SUPERSEDED`: another holder recorded others, with which the caller begins again.
    """

    DONE = "done"
    UNAVAILABLE = "unavailable"
    SUPERSEDED = "superseded"


class LogRecorder:
    """Reads and records the numbers in the log, on the replica that leads it.

    Parameters
    ----------
    log : client.Client
        Client of the log.
    read_state : callable
        Returns the submachine's state as applied on this replica.
    """

    def __init__(self, log: client.Client, read_state: Callable[[], State]) -> None:
        self._log = log
        self._read_state = read_state
        self._known = OrderedServers(NO_INDEX, ())
        self._unanswered_counts: tuple[OrderedCount, ...] = ()

    def continues(self) -> bool:
        """Return whether nobody has recorded numbers since this replica did."""
        known = self._known.index
        return known != NO_INDEX and self._read_state().ordered.index == known

    def begin(self) -> tuple[OrderedCount, ...] | None:
        """Return the numbers of the earlier holder; None if nothing was ordered."""
        self._known = self._read_state().ordered
        return self._known.counts if self._known.index != NO_INDEX else None

    async def record(self, counts: tuple[OrderedCount, ...]) -> Recorded:
        """Record numbers, unless they are recorded already."""
        if self._known.counts == counts:
            return Recorded.DONE
        recorded = await self._propose(counts)
        if recorded is not Recorded.SUPERSEDED:
            return recorded
        if self._known.counts == counts:
            return Recorded.DONE
        if self._known.counts == self._unanswered_counts:
            # An earlier record of this holder, whose answer was lost.
            return await self._propose(counts)
        return recorded

    async def _propose(self, counts: tuple[OrderedCount, ...]) -> Recorded:
        command = RecordOrdered(self._known.index, counts)
        outcome = await self._log.propose(command, RECORD_TIMEOUT_S)
        found = outcome.value_or(None)
        if not isinstance(found, OrderedServers):
            self._unanswered_counts = counts
            return Recorded.UNAVAILABLE
        self._known = found
        return Recorded.DONE if found.counts == counts else Recorded.SUPERSEDED
