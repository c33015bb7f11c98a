"""Issues orders to engines while this process holds the issuer's lease.

Each round fetches the health of every engine, makes a plan
(:mod:`hickoryweir.engines.orders_plan`) and sends the due orders.  Only the orders
in progress and the token bucket persist between rounds, so a new issuer can
continue where the previous one stopped.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable

import aiohttp
from returns import result

from hickoryweir.configuration import model
from hickoryweir.engines import orders, orders_plan
from hickoryweir.policy import events
from hickoryweir.weights import client as weights_client
from hickoryweir.weights import rates

BURST_S = 10.0
FindIssuer = Callable[[], orders_plan.Issuer | None]
OrderResult = result.Result[orders.OrderDone, orders.OrderFailure]


@dataclasses.dataclass(frozen=True, slots=True)
class IssuerCallbacks:
    """Functions of the daemon that the issuer calls.

    Attributes
    ----------
    configuration : function
        Returns the configuration in force, or None.
    server_state : function
        Returns the state of a backend server, given its name.
    current_issuer : function
        Returns this process's identity as the issuer, or None without a lease.
    record_result : function
        Called with each order and its result, for logging.
    """

    configuration: Callable[[], model.Configuration | None]
    server_state: Callable[[str], events.ServerState]
    current_issuer: FindIssuer
    record_result: Callable[[orders.Order, OrderResult], None]


@dataclasses.dataclass(frozen=True, slots=True)
class RoundSettings:
    """Timing of the rounds; ``weights_url`` is empty if there is no weight store."""

    interval_s: float = 2.0
    health_timeout_s: float = 1.0
    order_timeout_s: float = 600.0
    weights_url: str = ""
    lease: orders_plan.LeaseSettings = orders_plan.LeaseSettings()


@dataclasses.dataclass(slots=True, eq=False)
class IssuerState:
    """State of the issuer.

    Attributes
    ----------
    bucket : rates.Bucket or None
        Token bucket of the weight store's shared rate; empty at the start of each
        lease, since the previous issuer may have spent its tokens.
    fencing : int
        Fencing token of the lease that the bucket belongs to.
    order_tasks : dict
        Task of each order that is in progress, by backend server.
    plan : orders_plan.Plan or None
        Latest plan, for the status page.
    """

    session: aiohttp.ClientSession
    callbacks: IssuerCallbacks
    settings: RoundSettings
    bucket: rates.Bucket | None = None
    fencing: int = -1
    order_tasks: dict[str, asyncio.Task] = dataclasses.field(default_factory=dict)
    plan: orders_plan.Plan | None = None


def make_state(
    session: aiohttp.ClientSession,
    callbacks: IssuerCallbacks,
    settings: RoundSettings | None = None,
) -> IssuerState:
    """Return the state of an issuer without orders in progress."""
    return IssuerState(session, callbacks, settings or RoundSettings())


async def run(state: IssuerState) -> None:
    """Run rounds until cancelled."""
    try:
        while True:
            await run_round(state)
            await asyncio.sleep(state.settings.interval_s)
    finally:
        cancel_all(state)


def cancel_all(state: IssuerState) -> None:
    """Cancel the wait for responses; engines may still execute the orders sent."""
    for task in list(state.order_tasks.values()):
        task.cancel()


async def run_round(state: IssuerState) -> None:
    """Make a plan and start to send the due orders."""
    configuration, issuer = (
        state.callbacks.configuration(),
        state.callbacks.current_issuer(),
    )
    if configuration is None or issuer is None:
        state.plan = None
        return
    views = await fetch_views(state, configuration)
    state.bucket = await refresh_bucket(state, configuration, issuer)
    state.plan = orders_plan.make_plan(
        configuration,
        views,
        state.bucket,
        issuer,
        state.settings.lease,
        time.monotonic(),
    )
    state.bucket = state.plan.bucket
    servers = {view.backend_server.name: view.backend_server for view in views}
    for order in state.plan.due:
        start_order(state, servers[order.backend_server], order)


async def fetch_views(
    state: IssuerState, configuration: model.Configuration
) -> tuple[orders_plan.ServerView, ...]:
    """Fetch the health of all engines."""
    engines = [
        server
        for server in configuration.backend_servers
        if server.target is model.Target.MODEL
    ]
    return tuple(
        await asyncio.gather(*(fetch_view(state, server) for server in engines))
    )


async def fetch_view(
    state: IssuerState, server: model.BackendServer
) -> orders_plan.ServerView:
    """Fetch the health of one engine.

    An order in progress before or after the request counts, since the health
    report may be older than the order's completion.
    """
    had_order_in_progress = server.name in state.order_tasks
    read = await orders.fetch_health(
        state.session, server, state.settings.health_timeout_s
    )
    return orders_plan.ServerView(
        backend_server=server,
        state=state.callbacks.server_state(server.name),
        health=read.value_or(None),
        has_order_in_progress=had_order_in_progress or server.name in state.order_tasks,
    )


async def refresh_bucket(
    state: IssuerState, configuration: model.Configuration, issuer: orders_plan.Issuer
) -> rates.Bucket:
    """Return the token bucket at the lower of configured and weight store's rate."""
    rate_bytes_per_s = configuration.order_rate_bytes_per_s
    if state.settings.weights_url:
        fetched = await weights_client.fetch_rate(
            state.session, state.settings.weights_url
        )
        if isinstance(fetched, result.Success):
            granted = fetched.unwrap().rate_bytes_per_s
            rate_bytes_per_s = min(rate_bytes_per_s, granted)
    now_s = time.monotonic()
    capacity_bytes = rate_bytes_per_s * BURST_S
    if state.bucket is None or state.fencing != issuer.fencing:
        state.fencing = issuer.fencing
        return rates.Bucket(rate_bytes_per_s, capacity_bytes, 0.0, now_s)
    refilled, _ = rates.take(state.bucket, 0.0, now_s)
    return dataclasses.replace(
        refilled, rate_bytes_per_s=rate_bytes_per_s, capacity_bytes=capacity_bytes
    )


def start_order(
    state: IssuerState, server: model.BackendServer, order: orders.Order
) -> None:
    """Send an order in a separate task."""

    def holds_lease() -> bool:
        issuer = state.callbacks.current_issuer()
        return issuer is not None and issuer.fencing == order.fencing

    async def send() -> None:
        try:
            outcome = await orders.send(
                state.session,
                server,
                order,
                holds_lease,
                state.settings.order_timeout_s,
            )
            state.callbacks.record_result(order, outcome)
        finally:
            del state.order_tasks[server.name]

    state.order_tasks[server.name] = asyncio.create_task(send())
