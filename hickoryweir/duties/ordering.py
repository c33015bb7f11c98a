"""Orders backend servers while this replica holds the duty `autoscale`.

Collects the load that routers report and the list of servers, lets
:mod:`hickoryweir.forwarding_policy.server_orders` decide and sends its orders one after
the other.  What is ordered is recorded in the replicated log for the next holder.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

from hickoryweir import clocks
from hickoryweir.discovery import listing
from hickoryweir.duties import calls, ordered_servers
from hickoryweir.feeds import demand, messages
from hickoryweir.forwarding_policy import (
    order_outcomes,
    order_state,
    server_demand,
    server_kinds,
    server_orders,
)
from hickoryweir.observability import forwarding_metrics, logs
from hickoryweir.routes import model

DECISION_INTERVAL_S = 0.25
# Inputs of the later orders of a decision are out of date after a slow call.
MAX_CALL_S = 0.5
# Interval at which decreases are recorded, which nothing waits for.
RECORD_INTERVAL_S = 1.0


class Caller(Protocol):
    """Sends calls under the holder's token."""

    @property
    def is_holder(self) -> bool:
        """Return whether this replica may send calls now."""

    async def send(self, call: calls.Call) -> calls.Outcome:
        """Send a call."""


class Feed(Protocol):
    """What the replica's publisher knows of routers and servers."""

    demand: demand.DemandKeeper

    @property
    def servers(self) -> listing.ServerList | None:
        """Return the list of servers."""

    def zone_loads(self) -> list[tuple[str, tuple[messages.ServerLoad, ...]]]:
        """Return the zone and the load of each connected router."""


class Recorder(Protocol):
    """Record of what was ordered, which survives a change of holder."""

    def continues(self) -> bool:
        """Return whether nobody has recorded numbers since this replica did."""

    def begin(self) -> tuple[ordered_servers.OrderedCount, ...] | None:
        """Return the numbers of the earlier holder; None if nothing was ordered."""

    async def record(
        self, counts: tuple[ordered_servers.OrderedCount, ...]
    ) -> ordered_servers.Recorded:
        """Record numbers."""


@dataclasses.dataclass(slots=True)
class ServiceState:
    """State of one service: decisions and kinds of its servers."""

    orders: order_state.State
    kinds: server_kinds.Kinds = dataclasses.field(default_factory=server_kinds.Kinds)


class Ordering:
    """Decides and sends orders for all services of the table that have scaling.

    Parameters
    ----------
    caller : Caller
        Sends the orders.
    feed : Feed
        Source of load and list.
    recorder : Recorder
        Record of the numbers ordered.
    read_services : callable
        Returns the services of the table in the log.
    metrics : forwarding_metrics.ForwardingMetrics
        Metrics of this process.
    checks_fencing : bool
        Whether the infrastructure refuses calls with an earlier token.
    """

    def __init__(
        self,
        caller: Caller,
        feed: Feed,
        recorder: Recorder,
        read_services: Callable[[], tuple[model.Service, ...]],
        metrics: forwarding_metrics.ForwardingMetrics,
        checks_fencing: bool,
    ) -> None:
        self._caller = caller
        self._feed = feed
        self._recorder = recorder
        self._read_services = read_services
        self._metrics = metrics
        self._checks_fencing = checks_fencing
        self._was_holder = False
        self._services: dict[str, ServiceState] = {}
        self._earlier: tuple[ordered_servers.OrderedCount, ...] = ()
        self._recorded_s = float("-inf")

    async def run(self) -> None:
        """Decide in intervals until cancelled."""
        while True:
            await asyncio.sleep(DECISION_INTERVAL_S)
            try:
                await self.step()
            except Exception as error:  # noqa: BLE001
                # An error in one decision must not end the replica's other tasks.
                detail = f"{type(error).__name__}: {error}"
                logs.error(
                    "decision of server orders failed", logs.Fields(reason=detail)
                )

    async def step(self) -> None:
        """Decide once for each service, and send what is due."""
        is_holder = self._caller.is_holder
        if is_holder != self._was_holder:
            if is_holder and not self._recorder.continues():
                self._begin()
            self._was_holder = is_holder
            change = "begins" if is_holder else "ends"
            logs.info("ordering of servers", logs.Fields(reason=change))
        server_list = self._feed.servers
        if not is_holder or server_list is None:
            return
        for service in self._read_services():
            if service.scaling is None:
                self._services.pop(service.name, None)
            else:
                await self._order(service, server_list)
        now_s = clocks.boottime_s()
        if self._services and now_s - self._recorded_s >= RECORD_INTERVAL_S:
            await self._record(())

    def _begin(self) -> None:
        """Begin with the numbers in the log."""
        self._services.clear()
        self._earlier = self._recorder.begin() or ()

    def _state_of(self, service: model.Service) -> ServiceState:
        state = self._services.get(service.name)
        if state is None:
            orders = order_state.begin(clocks.boottime_s())
            earlier = self._earlier_orders(service.name)
            state = ServiceState(order_state.adopt(orders, earlier))
            self._services[service.name] = state
            detail = f"service {service.name}, {len(earlier)} numbers of earlier orders"
            logs.info("ordering of a service begins", logs.Fields(detail=detail))
        return state

    def _earlier_orders(self, service_name: str) -> tuple[calls.ServerOrder, ...]:
        return tuple(
            calls.ServerOrder(
                item.service_name,
                item.availability_zone,
                item.servers_count,
                item.is_spot,
            )
            for item in self._earlier
            if item.service_name == service_name
        )

    async def _order(
        self, service: model.Service, server_list: listing.ServerList
    ) -> None:
        state = self._state_of(service)
        now_s = clocks.boottime_s()
        inputs = self._read_inputs(service, state, server_list, now_s)
        decision = server_orders.decide(inputs, state.orders, now_s)
        state.orders = decision.state
        if decision.orders and not await self._record(decision.orders):
            return
        for order in decision.orders:
            if not await self._send_order(order, state, decision, inputs):
                break

    async def _send_order(
        self,
        order: calls.ServerOrder,
        state: ServiceState,
        decision: server_orders.Decision,
        inputs: server_orders.Inputs,
    ) -> bool:
        """Send an order; return whether the decision's next order may be sent."""
        sent_at_s = clocks.boottime_s()
        outcome = await self._caller.send(order)
        now_s = clocks.boottime_s()
        _log_order(order, outcome, decision, inputs, now_s - sent_at_s)
        labels = (order.service_name, order.availability_zone, calls.server_kind(order))
        self._metrics.server_orders.labels(*labels, outcome.value).inc()
        state.orders = order_outcomes.record_outcome(
            state.orders, order, outcome, self._checks_fencing, now_s
        )
        if outcome is not calls.Outcome.ACCEPTED:
            return False
        self._metrics.ordered_servers.labels(*labels).set(order.servers_count)
        return now_s - sent_at_s <= MAX_CALL_S

    def _read_inputs(
        self,
        service: model.Service,
        state: ServiceState,
        server_list: listing.ServerList,
        now_s: float,
    ) -> server_orders.Inputs:
        listed = tuple(
            server
            for server in server_list.servers
            if server.service_name == service.name
        )
        counted = server_kinds.count_servers(
            state.kinds, listed, state.orders.subjects, now_s
        )
        return server_orders.Inputs(
            service_name=service.name,
            scaling=service.scaling,
            slots_count=service.slots_count or _usual_slots_count(listed),
            servers=counted,
            demand=make_demand(
                self._feed.demand.summarize(service.name, now_s),
                self._feed.zone_loads(),
                listed,
            ),
            list_age_s=now_s - server_list.read_at_s,
            checks_fencing=self._checks_fencing,
        )

    async def _record(self, orders: tuple[calls.ServerOrder, ...]) -> bool:
        """Record what is in force and what is about to be ordered."""
        recent = self._counts_with(orders)
        recorded = await self._recorder.record(recent)
        self._recorded_s = clocks.boottime_s()
        if recorded is ordered_servers.Recorded.DONE:
            # A service whose scaling is removed and added again begins with these.
            self._earlier = recent
            return True
        fields = logs.Fields(reason=recorded.value)
        logs.warning("numbers of servers not recorded", fields)
        if recorded is ordered_servers.Recorded.SUPERSEDED:
            self._begin()
        return False

    def _counts_with(
        self, orders: tuple[calls.ServerOrder, ...]
    ) -> tuple[ordered_servers.OrderedCount, ...]:
        """Return the numbers in force, raised to those of orders.

        Numbers of services that are not ordered any more are kept.
        """
        counts = {
            (item.service_name, item.availability_zone, item.is_spot): (
                item.servers_count
            )
            for item in self._earlier
        }
        for name, state in self._services.items():
            for subject in state.orders.subjects:
                key = (name, subject.availability_zone, subject.is_spot)
                counts[key] = subject.ordered_count
        for order in orders:
            key = (order.service_name, order.availability_zone, order.is_spot)
            counts[key] = max(counts.get(key, 0), order.servers_count)
        return tuple(
            ordered_servers.OrderedCount(*key, count)
            for key, count in sorted(counts.items())
        )


def make_demand(
    counted: server_demand.Demand,
    zone_loads: list[tuple[str, tuple[messages.ServerLoad, ...]]],
    listed: tuple[listing.BackendServer, ...],
) -> server_demand.Demand:
    """Return the demand with the requests in progress at a service's servers.

    Parameters
    ----------
    counted : server_demand.Demand
        Rates of the service.
    zone_loads : list of (str, tuple of messages.ServerLoad)
        Zone and load of each connected router, for all services.
    listed : tuple of listing.BackendServer
        Servers of the service.
    """
    zones = {server.server_id: server.availability_zone for server in listed}
    at_servers: dict[str, int] = {}
    of_routers: dict[str, int] = {}
    requests_count = backlog_tokens_count = 0
    for router_zone, loads in zone_loads:
        for load in loads:
            zone = zones.get(load.server_id)
            if zone is None:
                continue
            requests_count += load.requests_count
            backlog_tokens_count += load.backlog_tokens_count
            at_servers[zone] = at_servers.get(zone, 0) + load.requests_count
            of_routers[router_zone] = (
                of_routers.get(router_zone, 0) + load.requests_count
            )
    return dataclasses.replace(
        counted,
        requests_count=requests_count,
        backlog_tokens_count=backlog_tokens_count,
        zones=tuple(
            server_demand.ZoneRequests(
                zone, at_servers.get(zone, 0), of_routers.get(zone, 0)
            )
            for zone in sorted({*at_servers, *of_routers})
        ),
        routers_count=len(zone_loads),
    )


def _usual_slots_count(listed: tuple[listing.BackendServer, ...]) -> int:
    """Return the smallest known number of slots of a listed server; 0 if none is.

    Examples
    --------
    >>> _usual_slots_count(())
    0
    """
    return min(
        (server.slots_count for server in listed if server.slots_count), default=0
    )


def _log_order(
    order: calls.ServerOrder,
    outcome: calls.Outcome,
    decision: server_orders.Decision,
    inputs: server_orders.Inputs,
    duration_s: float,
) -> None:
    fields = logs.Fields(
        reason=outcome.value,
        duration_s=round(duration_s, 4),
        detail=_describe_order(order, decision, inputs),
    )
    if outcome is calls.Outcome.ACCEPTED:
        logs.info("servers ordered", fields)
    else:
        logs.warning("order of servers not accepted", fields)


def _describe_order(
    order: calls.ServerOrder,
    decision: server_orders.Decision,
    inputs: server_orders.Inputs,
) -> str:
    known_counts = {
        (item.availability_zone, item.is_spot): item.ordered_count
        for item in decision.state.subjects
    }
    known_count = known_counts.get((order.availability_zone, order.is_spot), 0)
    ready_count = sum(item.ready_count for item in inputs.servers)
    draining_count = sum(item.draining_count for item in inputs.servers)
    sizes = decision.sizes
    return (
        f"service {order.service_name}, zone {order.availability_zone}, "
        f"{calls.server_kind(order)}, {known_count} to {order.servers_count}; "
        f"{ready_count} ready, {draining_count} draining, "
        f"list {inputs.list_age_s:.2f} s old; "
        f"{_describe_demand(inputs.demand)}; "
        f"aims at {sizes.target_count}, {sizes.least_count} without any one zone's "
        f"spot servers, {sizes.base_count} ordinary in a zone"
    )


def _describe_demand(reported: server_demand.Demand) -> str:
    zones = ", ".join(
        f"{item.availability_zone} {item.at_servers_count}/{item.of_routers_count}"
        for item in reported.zones
    )
    return (
        f"{reported.requests_count} requests (at servers/of routers: "
        f"{zones or 'none'}), {reported.backlog_tokens_count} tokens to prefill, "
        f"{reported.waiting_count} waiting, "
        f"{reported.admitted_tokens_per_s:.0f} tokens/s sent and "
        f"{reported.refused_tokens_per_s:.0f} refused, "
        f"{reported.refused_per_s:.1f} refusals/s, of {reported.reporting_count} of "
        f"{reported.routers_count} routers, {reported.age_s:.2f} s old"
    )
