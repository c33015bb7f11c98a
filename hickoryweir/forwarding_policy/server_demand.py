"""How many servers a service needs for its load, now and in the next seconds.

Three resources are compared, and the scarcest one counts: slots of requests in
progress, prefill of the prompt tokens that arrive, and prompt tokens that wait for it.
Prompts that were refused for overload count like admitted ones.
"""

import dataclasses
import math

from hickoryweir.forwarding_policy import prefill_interference

# Share of the slots that requests in progress use on average.  Placement counts a
# server as full at 0.8, and a mean of 0.5 leaves few servers above that.
SLOTS_SHARE = 0.5
# Share of the time that servers prefill.  Above it, long prompts queue behind each
# other often enough that the least urgent ones are refused.
PREFILL_SHARE = 0.4
# Prefill that may wait at a server on average; admission refuses prompts at about
# 0.5 s.
BACKLOG_S = 0.15
# The prefill of shared parts at new servers is a backlog without a lasting load.
BACKLOG_MAX_FACTOR = 2.0
# From these on, requests count as waiting for lack of servers.
WAITING_BACKLOG_S = 0.25
WAITING_SLOTS_SHARE = 0.8
# Longer than a wave of 11 s, so that its trough does not cause a return of servers.
PEAK_WINDOW_S = 15.0
# Samples are kept as the highest one of each interval.
SAMPLE_INTERVAL_S = 0.5
# Span over which the trend is measured; shorter ones mostly measure noise.
TREND_S = 1.5
# Largest burst that the deployments have; a steeper trend is not extrapolated further.
TREND_MAX_FACTOR = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneRequests:
    """Requests in progress at the servers of a zone, and those of its routers."""

    availability_zone: str
    at_servers_count: int
    of_routers_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Load of all routers on a service.

    Attributes
    ----------
    requests_count : int
        Requests in progress at servers.
    backlog_tokens_count : int
        Prompt tokens that servers have not prefilled yet.
    waiting_count : int
        Requests that wait at routers for room at a server.
    admitted_tokens_per_s, refused_tokens_per_s : float
        Uncached prompt tokens of requests sent to servers, and of those refused for
        overload.
    admitted_per_s, refused_per_s : float
        Requests of both kinds.
    zones : tuple of ZoneRequests
        Requests by zone.
    routers_count, reporting_count : int
        Routers connected to this replica, and those among them with recent figures.
    age_s : float
        Age of the oldest figure of the reporting routers.
    """

    requests_count: int = 0
    backlog_tokens_count: int = 0
    waiting_count: int = 0
    admitted_tokens_per_s: float = 0.0
    refused_tokens_per_s: float = 0.0
    admitted_per_s: float = 0.0
    refused_per_s: float = 0.0
    zones: tuple[ZoneRequests, ...] = ()
    routers_count: int = 0
    reporting_count: int = 0
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Number of servers that the load needed at a time."""

    at_s: float
    servers_count: float


def needed_count(demand: Demand, slots_count: int) -> float:
    """Return how many servers the present load needs, as a fraction.

    Parameters
    ----------
    demand : Demand
        Load of the service.
    slots_count : int
        Slots of one server; 0 if unknown, and slots are then not considered.

    Examples
    --------
    >>> needed_count(Demand(requests_count=160), 32)
    10.0
    >>> needed_count(Demand(admitted_tokens_per_s=240e3, refused_tokens_per_s=80e3), 32)
    20.0
    """
    per_s = prefill_interference.PREFILL_TOKENS_PER_S
    tokens_per_s = demand.admitted_tokens_per_s + demand.refused_tokens_per_s
    waiting_count = demand.requests_count + demand.waiting_count
    by_rates = max(
        waiting_count / (SLOTS_SHARE * slots_count) if slots_count else 0.0,
        tokens_per_s / (PREFILL_SHARE * per_s),
    )
    by_backlog = demand.backlog_tokens_count / (BACKLOG_S * per_s)
    return max(by_rates, min(by_backlog, BACKLOG_MAX_FACTOR * by_rates))


def least_count(requests_count: int, slots_count: int) -> int:
    """Return the number of servers below which requests in progress don't fit.

    Examples
    --------
    >>> least_count(65, 32), least_count(0, 32), least_count(9, 0)
    (3, 0, 0)
    """
    return math.ceil(requests_count / slots_count) if slots_count else 0


def has_waiting(demand: Demand, serving_count: int, slots_count: int) -> bool:
    """Return whether requests wait or are refused for lack of servers."""
    per_s = prefill_interference.PREFILL_TOKENS_PER_S
    return (
        demand.refused_per_s > 0.0
        or demand.waiting_count > 0
        or demand.backlog_tokens_count > WAITING_BACKLOG_S * per_s * serving_count
        or (
            slots_count > 0
            and demand.requests_count
            > WAITING_SLOTS_SHARE * slots_count * serving_count
        )
    )


def add_sample(samples: tuple[Sample, ...], added: Sample) -> tuple[Sample, ...]:
    """Return the samples of the last `PEAK_WINDOW_S` with another one.

    Examples
    --------
    >>> found = add_sample((), Sample(0.0, 3.0))
    >>> found = add_sample(add_sample(found, Sample(0.2, 5.0)), Sample(14.0, 1.0))
    >>> [(sample.at_s, sample.servers_count) for sample in found]
    [(0.0, 5.0), (14.0, 1.0)]
    """
    oldest_s = added.at_s - PEAK_WINDOW_S
    recent = tuple(sample for sample in samples if sample.at_s >= oldest_s)
    if not recent or added.at_s - recent[-1].at_s >= SAMPLE_INTERVAL_S:
        return (*recent, added)
    last = recent[-1]
    highest = max(last.servers_count, added.servers_count)
    return (*recent[:-1], Sample(last.at_s, highest))


def peak_count(samples: tuple[Sample, ...]) -> float:
    """Return the highest number of the window; 0 if there is none."""
    return max((sample.servers_count for sample in samples), default=0.0)


def predicted_count(
    samples: tuple[Sample, ...], present: Sample, ahead_s: float
) -> float:
    """Return the number needed after `ahead_s`, if a rise goes on as it does now.

    Examples
    --------
    >>> rising = (Sample(0.0, 10.0), Sample(1.0, 12.0))
    >>> predicted_count(rising, Sample(1.5, 13.0), 5.0)
    23.0
    >>> predicted_count(rising, Sample(1.5, 9.0), 5.0)
    9.0
    """
    oldest_s = present.at_s - TREND_S
    earlier = [sample for sample in samples if sample.at_s >= oldest_s]
    if not earlier or present.at_s - earlier[0].at_s < TREND_S / 2:
        return present.servers_count
    span_s = present.at_s - earlier[0].at_s
    slope_per_s = (present.servers_count - earlier[0].servers_count) / span_s
    rise = max(0.0, slope_per_s) * ahead_s
    return min(present.servers_count + rise, TREND_MAX_FACTOR * present.servers_count)
