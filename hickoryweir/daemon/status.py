"""The status document of one daemon."""

import dataclasses
import json
import time
from typing import Any

from hickoryweir.callers import interface
from hickoryweir.daemon import components
from hickoryweir.engines import orders_plan
from hickoryweir.policy import inspection, state


@dataclasses.dataclass(frozen=True, slots=True)
class StatusSource:
    """The daemon's state that the status document describes."""

    name: str
    availability_zone: str
    is_draining: bool
    is_ready: bool
    in_force: interface.ConfigurationInForce | None
    calls_in_flight: int
    log_reachability: str
    leader_name: str
    core: state.Core
    orders: orders_plan.Plan | None


def make_source(process: components.Process) -> StatusSource:
    """Return the state of a running daemon."""
    return StatusSource(
        name=process.settings.process.name,
        availability_zone=process.settings.process.availability_zone,
        is_draining=process.drain.begun,
        is_ready=process.router.ready.is_set(),
        in_force=process.in_force,
        calls_in_flight=len(process.dispatcher.mailboxes),
        log_reachability=str(process.log.reachability),
        leader_name=process.log.leader_name,
        core=process.dispatcher.core,
        orders=process.order_issuer.plan if process.order_issuer else None,
    )


def render(source: StatusSource) -> bytes:
    """Return the status document as JSON text."""
    return json.dumps(make_document(source)).encode()


def make_document(source: StatusSource) -> dict[str, Any]:
    """Return the status document as JSON values.

    Parameters
    ----------
    source : StatusSource
        The daemon's state.

    Returns
    -------
    dict
        The daemon's state, including the policy core's views.
    """
    now_s = time.monotonic()
    in_force = source.in_force
    queues = inspection.queue_views(source.core, now_s)
    servers = inspection.servers(source.core, now_s)
    return {
        "name": source.name,
        "availability_zone": source.availability_zone,
        "draining": source.is_draining,
        "ready": source.is_ready,
        "configuration_version": in_force.version if in_force else 0,
        "configuration_digest": in_force.configuration.digest if in_force else "",
        "calls_in_flight": source.calls_in_flight,
        "log": source.log_reachability,
        "leader": source.leader_name,
        "classes": [dataclasses.asdict(view) for view in queues],
        "backend_servers": [dataclasses.asdict(view) for view in servers],
        "decisions": [
            dataclasses.asdict(view) for view in inspection.counts(source.core)
        ],
        "orders": describe_orders(source.orders),
    }


def describe_orders(plan: orders_plan.Plan | None) -> list[dict[str, str]]:
    """Return the orders of the last round, with the reason of each held order."""
    if plan is None:
        return []
    due = [(order, "sent") for order in plan.due]
    held = [(item.order, item.reason.value) for item in plan.held]
    return [
        {
            "backend_server": order.backend_server,
            "order": order.order_id,
            "standing": status,
        }
        for order, status in [*due, *held]
    ]
