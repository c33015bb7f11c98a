"""Issues orders to engines while this process's replica leads the log.

The fencing number is the leader's term.  Before each order the leader confirms
by a linearizable read, answered by its own replica, that it still leads; the
order goes out only while less than the lease has passed since that read began,
by this process's monotonic clock.  A process that was paused therefore issues
nothing on old acknowledgements that wait in its sockets.

See Also
--------
hickoryweir.engines.orders_plan : Which orders are due, and how long a new
    issuer waits for the one before.
"""

import asyncio
import dataclasses
import time

from returns import result

from hickoryweir.configuration import model, queries
from hickoryweir.daemon import parts
from hickoryweir.engines import orders, orders_plan
from hickoryweir.observability import logs
from hickoryweir.platform import decisions
from hickoryweir.replicas import state as replica_states
from hickoryweir.weights import rates

INTERVAL_S = 1.0
READ_TIMEOUT_S = 1.0
HEALTH_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 600.0
CAPACITY_S = 60.0
SETTINGS = orders_plan.IssuerSettings()


@dataclasses.dataclass(slots=True)
class Office:
    """What the issuer keeps from round to round.

    Attributes
    ----------
    issuer : orders_plan.Issuer or None
        This process in its present term; None while it does not lead.
    bucket : rates.Bucket or None
        The weight store's rate; None until the first configuration.
    in_hand : dict
        Tasks of orders that wait for their reply, by backend server.
    """

    issuer: orders_plan.Issuer | None = None
    bucket: rates.Bucket | None = None
    in_hand: dict[str, asyncio.Task] = dataclasses.field(default_factory=dict)


async def run(process: parts.Process) -> None:
    """Issue what is due, for as long as the daemon runs."""
    if process.replica is None:
        return
    office = Office()
    while True:
        await asyncio.sleep(INTERVAL_S)
        if process.in_force is None:
            continue
        confirmed_at_s = await confirm(process, office)
        if confirmed_at_s is not None:
            await issue(process, office, confirmed_at_s)


async def confirm(process: parts.Process, office: Office) -> float | None:
    """Return the time at which this replica surely led; None if it does not.

    Returns
    -------
    float or None
        Monotonic time at which the read that proves it began.
    """
    if process.replica.state.role is not replica_states.Role.LEADER:
        office.issuer = None
        return None
    began_at_s = time.monotonic()
    answered = await process.log.read(queries.ReadStanding(), READ_TIMEOUT_S)
    own_name = process.settings.process.name
    state = process.replica.state
    leads = state.role is replica_states.Role.LEADER
    by_own_replica = process.log.leader_name == own_name
    if not isinstance(answered, result.Success) or not leads or not by_own_replica:
        return None
    if office.issuer is None or office.issuer.fencing != state.term:
        office.issuer = orders_plan.Issuer(state.term, time.monotonic())
    return began_at_s


async def issue(process: parts.Process, office: Office, confirmed_at_s: float) -> None:
    """Send every order that is due."""
    configuration = process.in_force.configuration
    engines = [
        server
        for server in configuration.backend_servers
        if server.target is model.Target.MODEL
    ]
    views = await asyncio.gather(
        *(make_view(process, office, server) for server in engines)
    )
    now_s = time.monotonic()
    office.bucket = fit_bucket(office.bucket, configuration, now_s)
    plan = orders_plan.make_plan(
        configuration, tuple(views), office.bucket, office.issuer, SETTINGS, now_s
    )
    office.bucket = plan.bucket
    servers = {server.name: server for server in engines}
    for order in plan.due:
        task = asyncio.create_task(
            send(process, office, servers[order.backend_server], order, confirmed_at_s)
        )
        office.in_hand[order.backend_server] = task


def fit_bucket(
    bucket: rates.Bucket | None, configuration: model.Configuration, now_s: float
) -> rates.Bucket:
    """Return the bucket with the rate that the configuration gives it."""
    rate_bytes_per_s = configuration.order_rate_bytes_per_s
    if bucket is not None and bucket.rate_bytes_per_s == rate_bytes_per_s:
        return bucket
    capacity_bytes = rate_bytes_per_s * CAPACITY_S
    return rates.make_bucket(rate_bytes_per_s, capacity_bytes, now_s)


async def make_view(
    process: parts.Process, office: Office, server: model.BackendServer
) -> orders_plan.ServerView:
    """Return what is known of an engine now."""
    session, _ = process.sessions
    read = await orders.fetch_health(session, server, HEALTH_TIMEOUT_S)
    evidence = process.backends.state.evidence.get(server.name, decisions.Evidence())
    return orders_plan.ServerView(
        server,
        decisions.server_state(evidence),
        read.value_or(None),
        server.name in office.in_hand,
    )


async def send(
    process: parts.Process,
    office: Office,
    server: model.BackendServer,
    order: orders.Order,
    confirmed_at_s: float,
) -> None:
    """Send one order and count and log how it ended."""
    session, _ = process.sessions
    fencing = order.fencing

    def may_issue() -> bool:
        state = process.replica.state
        leads = state.role is replica_states.Role.LEADER and state.term == fencing
        return leads and time.monotonic() - confirmed_at_s < SETTINGS.lease_s

    try:
        sent = await orders.send(session, server, order, may_issue, ORDER_TIMEOUT_S)
        end = "done" if isinstance(sent, result.Success) else sent.failure().end.value
    finally:
        office.in_hand.pop(server.name, None)
    process.metrics.orders.labels(order.kind, end).inc()
    fields = logs.Fields(
        backend_server=server.name, detail=f"{order.order_id}: {end}", version=fencing
    )
    logs.info("order ended", fields)
