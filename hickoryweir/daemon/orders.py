"""Issues orders to engines while this process's replica leads the log.

Orders are planned from the configuration in force at this router, and only if the log
has no newer one, so that a new leader whose router lags issues no outdated orders.
"""

import asyncio
import time

from returns import result

from hickoryweir.configuration import model, queries
from hickoryweir.daemon import components
from hickoryweir.discovery import decisions
from hickoryweir.engines import issuer, orders, orders_plan
from hickoryweir.observability import logs
from hickoryweir.policy import events
from hickoryweir.replicas import leader_lease

OBSERVATION_INTERVAL_S = 0.05
READ_TIMEOUT_S = 1.0


def make_order_issuer(process: components.Process) -> issuer.IssuerState:
    """Return the order issuer of a daemon that runs a replica."""
    engine_session, _ = process.sessions
    settings = issuer.RoundSettings(weights_url=process.settings.weights.url)
    callbacks = issuer.IssuerCallbacks(
        configuration=lambda: find_configuration(process),
        server_state=lambda name: find_state(process, name),
        current_issuer=lambda: find_issuer(process, settings.lease),
        record_result=log_order_end,
    )
    return issuer.make_state(engine_session, callbacks, settings)


def find_configuration(process: components.Process) -> model.Configuration | None:
    """Return the configuration in force at this router, or None."""
    return process.in_force.configuration if process.in_force else None


def find_state(process: components.Process, name: str) -> events.ServerState:
    """Return the state of a backend server; GONE if it is unknown."""
    evidence = process.backends.state.evidence.get(name)
    if evidence is None:
        return events.ServerState.GONE
    return decisions.server_state(evidence)


def find_issuer(
    process: components.Process, settings: orders_plan.LeaseSettings
) -> orders_plan.Issuer | None:
    """Return this process as the issuer, or None without a valid lease."""
    leadership = leader_lease.leadership_at(
        process.order_lease, time.monotonic(), settings.lease_s
    )
    if leadership is None:
        return None
    return orders_plan.Issuer(leadership.term, leadership.elected_at_s)


def log_order_end(order: orders.Order, sent: issuer.OrderResult) -> None:
    """Log how an order ended."""
    failure = sent.failure() if isinstance(sent, result.Failure) else None
    fields = logs.Fields(
        backend_server=order.backend_server,
        reason=failure.reason.value if failure else "done",
        detail=order.order_id,
    )
    logs.info("order ended", fields)


async def track_lease(process: components.Process) -> None:
    """Update the lease from the replica's state at a fixed interval."""
    while True:
        state = process.replica.state
        if state is None:
            process.order_lease = leader_lease.NO_LEASE
        else:
            observation = leader_lease.make_observation(state, time.monotonic())
            process.order_lease = leader_lease.observe(process.order_lease, observation)
        await asyncio.sleep(OBSERVATION_INTERVAL_S)


async def run(process: components.Process) -> None:
    """Issue orders in rounds for as long as the daemon runs."""
    order_issuer = make_order_issuer(process)
    process.order_issuer = order_issuer
    lease_task = asyncio.create_task(track_lease(process))
    try:
        while True:
            await asyncio.sleep(order_issuer.settings.interval_s)
            if (
                order_issuer.callbacks.current_issuer() is not None
                and await is_up_to_date(process)
            ):
                await issuer.run_round(order_issuer)
    finally:
        lease_task.cancel()
        issuer.cancel_all(order_issuer)


async def is_up_to_date(process: components.Process) -> bool:
    """Return whether the log's version is the one in force at this router."""
    read = await process.log.read(queries.ReadCurrentState(), READ_TIMEOUT_S)
    if not isinstance(read, result.Success) or process.in_force is None:
        return False
    return read.unwrap().version == process.in_force.version
