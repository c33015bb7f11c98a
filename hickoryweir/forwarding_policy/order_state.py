"""State of the decisions on orders of servers, see :mod:`.server_orders`."""

import dataclasses
import math

from hickoryweir.duties import calls
from hickoryweir.forwarding_policy import server_demand

# An election takes longer than this, so orders of the holder before are as old.
ADOPTED_AGE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneServers:
    """Listed servers of one kind in a zone; draining ones count as gone."""

    availability_zone: str
    is_spot: bool
    ready_count: int
    draining_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """A call without an answer, which may still be executed until `until_s`."""

    servers_count: int
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """Servers of one kind in a zone.

    Attributes
    ----------
    ordered_count : int
        Number of the last accepted order; before the first one, the listed servers.
    ordered_at_s : float
        When that was accepted; minus infinity if its servers must not be counted on.
    sent_at_s : float
        When an order was last sent.
    paused_until_s : float
        Until when no order is sent.
    refused_at_s : float
        When an order was last refused.
    is_retried : bool
        Whether the last order was refused, and is sent once more.
    consecutive_dry_count : int
        Refusals in a row for lack of servers.
    unanswered : tuple of Unanswered
        Calls that may still be executed.
    consecutive_unanswered_count : int
        Calls in a row that got no answer.
    """

    availability_zone: str
    is_spot: bool
    ordered_count: int
    ordered_at_s: float = -math.inf
    sent_at_s: float = -math.inf
    paused_until_s: float = -math.inf
    refused_at_s: float = -math.inf
    is_retried: bool = False
    consecutive_dry_count: int = 0
    unanswered: tuple[Unanswered, ...] = ()
    consecutive_unanswered_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the decisions for one service.

    Attributes
    ----------
    began_s : float
        When this holder began.
    has_history : bool
        Whether the numbers of an earlier holder are known.
    reference_count : float
        Servers that the load is taken to need until it has been measured.
    subjects : tuple of Subject
        By zone and kind.
    samples : tuple of server_demand.Sample
        Servers that the load needed in the last seconds.
    escalated : server_demand.Sample or None
        Servers that the last refusals asked for in all, and when.
    traffic_since_s : float or None
        When the first request was seen.
    waited_at_s : float
        When requests last waited or were refused.
    grown_at_s, returned_at_s, spot_returned_at_s : float
        When servers were last added, ordinary ones returned, and spot ones returned.
    routers_peak_count : int
        Most routers that were connected lately.
    routers_peak_at_s : float
        When that many were last connected.
    listed_since_s : float or None
        When the first list with servers was seen by a holder without history.
    empty_since_s : float or None
        Since when the list has no server of the service.
    paused_until_s : float
        Until when no order is sent for this service.
    """

    began_s: float
    has_history: bool = False
    reference_count: float = 0.0
    subjects: tuple[Subject, ...] = ()
    samples: tuple[server_demand.Sample, ...] = ()
    escalated: server_demand.Sample | None = None
    traffic_since_s: float | None = None
    waited_at_s: float = -math.inf
    grown_at_s: float = -math.inf
    returned_at_s: float = -math.inf
    spot_returned_at_s: float = -math.inf
    routers_peak_count: int = 0
    routers_peak_at_s: float = -math.inf
    listed_since_s: float | None = None
    empty_since_s: float | None = None
    paused_until_s: float = -math.inf


def begin(now_s: float) -> State:
    """Return the state of a holder that begins now."""
    return State(now_s)


def adopt(state: State, earlier: tuple[calls.ServerOrder, ...]) -> State:
    """Return a state that begins with the numbers that an earlier holder ordered."""
    known = {(item.availability_zone, item.is_spot): item for item in state.subjects}
    for order in earlier:
        key = (order.availability_zone, order.is_spot)
        subject = known.get(key)
        if subject is None:
            ordered_at_s = state.began_s - ADOPTED_AGE_S
            known[key] = Subject(*key, order.servers_count, ordered_at_s)
    return dataclasses.replace(
        state, subjects=tuple(known.values()), has_history=bool(earlier)
    )
