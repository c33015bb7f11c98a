"""A replica's view of the requests that routers count by service.

Routers send cumulative counts, so that a lost or repeated message changes nothing;
rates are the differences of the last second.
"""

import collections
import dataclasses

from hickoryweir.feeds import messages
from hickoryweir.forwarding_policy import server_demand

# Bursts last about a second; over a shorter span a single prompt looks like a burst.
RATE_SPAN_S = 1.0
# A router sends its counts at least this often, also when they have not changed.
SEND_MAX_INTERVAL_S = 1.0
# Three send intervals.  After a longer silence, the next counts of a router only set
# the baseline, so that they don't look like a burst.
SILENT_AFTER_S = 3.0
# Bounds the memory for replaced processes; above the number of routers of any site.
MAX_PROCESSES_COUNT = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Increment:
    """Requests by which a message raised a router's counts of a service."""

    at_s: float
    admitted_count: int
    admitted_tokens_count: int
    refused_count: int
    refused_tokens_count: int


@dataclasses.dataclass(slots=True)
class RouterCounts:
    """Last counts of one router process."""

    at_s: float
    services: dict[str, messages.ServiceCounts]


class DemandKeeper:
    """Counts of all routers."""

    def __init__(self) -> None:
        self._routers: dict[int, RouterCounts] = {}
        self._increments: dict[str, collections.deque[Increment]] = {}

    def add(self, message: messages.ServiceDemand, now_s: float) -> None:
        """Add the counts that a router sent."""
        known = self._routers.pop(message.process_id, None)
        services = {item.service_name: item for item in message.services}
        self._routers[message.process_id] = RouterCounts(now_s, services)
        while len(self._routers) > MAX_PROCESSES_COUNT:
            del self._routers[next(iter(self._routers))]
        if known is None or now_s - known.at_s > SILENT_AFTER_S:
            return
        for name, counts in services.items():
            earlier = known.services.get(
                name, messages.ServiceCounts(name, 0, 0, 0, 0, 0)
            )
            increment = Increment(
                now_s,
                max(0, counts.admitted_count - earlier.admitted_count),
                max(0, counts.admitted_tokens_count - earlier.admitted_tokens_count),
                max(0, counts.refused_count - earlier.refused_count),
                max(0, counts.refused_tokens_count - earlier.refused_tokens_count),
            )
            if increment.admitted_count or increment.refused_count:
                known_increments = self._increments.setdefault(
                    name, collections.deque()
                )
                known_increments.append(increment)
                _remove_old(known_increments, now_s)

    def summarize(self, service_name: str, now_s: float) -> server_demand.Demand:
        """Return the rates and waiting requests of a service.

        Requests in progress, zones and the number of routers are left at 0.
        """
        recent = [
            router
            for router in self._routers.values()
            if now_s - router.at_s <= SILENT_AFTER_S
        ]
        increments = self._increments.get(service_name, collections.deque())
        _remove_old(increments, now_s)
        return server_demand.Demand(
            waiting_count=sum(
                router.services[service_name].waiting_count
                for router in recent
                if service_name in router.services
            ),
            admitted_tokens_per_s=_rate(increments, "admitted_tokens_count"),
            refused_tokens_per_s=_rate(increments, "refused_tokens_count"),
            admitted_per_s=_rate(increments, "admitted_count"),
            refused_per_s=_rate(increments, "refused_count"),
            reporting_count=len(recent),
            age_s=max((now_s - router.at_s for router in recent), default=0.0),
        )


def _remove_old(increments: collections.deque[Increment], now_s: float) -> None:
    while increments and now_s - increments[0].at_s > RATE_SPAN_S:
        increments.popleft()


def _rate(increments: collections.deque[Increment], name: str) -> float:
    return sum(getattr(item, name) for item in increments) / RATE_SPAN_S
