"""Decides which orders are due: pure, from the configuration and reports.

The plan compares what each engine has loaded with what the configuration wants,
so a lost reply, a failed load and a new issuer need no memory: what is still
missing is due again.  An order is held back

* while the engine has another order in hand, an earlier issuer's included,
* if it would take the last healthy server of a model,
* until the weight store's shared rate allows it, and
* at an engine that ignores fencing numbers, until the issuer before must have
  stopped (:func:`previous_issuer_stopped_at_s`).
"""

import dataclasses
import enum

from hickoryweir.configuration import model
from hickoryweir.engines import orders
from hickoryweir.policy import events
from hickoryweir.weights import rates

SERVING_ROLE = "serve"
HEALTHY = "ok"
LOADING = "loading"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Times that bound how long an issuer before this one may have gone on.

    Attributes
    ----------
    lease_s : float
        An issuer stops this long after its quorum last acknowledged it.
    clock_drift_share : float
        Largest relative difference of two machines' monotonic clocks.
    delivery_s : float
        Longest time from an issuer's check of its lease to the order's arrival.
    """

    lease_s: float = 10.0
    clock_drift_share: float = 0.01
    delivery_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Issuer:
    """The present issuer: its number, and when it got its office, by its clock."""

    fencing: int
    elected_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerView:
    """What is known of one engine; ``health`` is None while it is not known."""

    backend_server: model.BackendServer
    state: events.ServerState
    health: orders.ServerHealth | None
    has_order_in_progress: bool = False


class HoldReason(enum.Enum):
    """Why a due order waits."""

    ORDER_IN_PROGRESS = "order_in_hand"
    LAST_HEALTHY_SERVER = "last_healthy_server"
    WEIGHT_STORE_RATE = "weight_store_rate"
    PREVIOUS_ISSUER = "old_issuer"


@dataclasses.dataclass(frozen=True, slots=True)
class HeldOrder:
    """A due order that waits."""

    order: orders.Order
    reason: HoldReason


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to send now, what waits, and the shared rate after it."""

    due: tuple[orders.Order, ...]
    held: tuple[HeldOrder, ...]
    bucket: rates.Bucket


def previous_issuer_stopped_at_s(issuer: Issuer, settings: LeaseSettings) -> float:
    """Return when no order of an earlier issuer can arrive any more.

    The old issuer's lease began before this one was elected, since its quorum
    and the new one's overlap; its clock may run slower than this one's.

    Examples
    --------
    >>> previous_issuer_stopped_at_s(Issuer(2, 100.0), LeaseSettings(10.0, 0.1, 5.0))
    116.5
    """
    longest_s = settings.lease_s + settings.delivery_s
    return issuer.elected_at_s + longest_s * (1.0 + settings.clock_drift_share)


def make_plan(
    configuration: model.Configuration,
    views: tuple[ServerView, ...],
    bucket: rates.Bucket,
    issuer: Issuer,
    settings: LeaseSettings,
    now_s: float,
) -> Plan:
    """Return the orders that are due now.

    Parameters
    ----------
    configuration : model.Configuration
        What is wanted.
    views : tuple of ServerView
        What is known of each engine.
    bucket : rates.Bucket
        The weight store's rate, shared by all loads.
    issuer : Issuer
        Who gives the orders.
    settings : LeaseSettings
        How long to wait for the issuer before.
    now_s : float
        Monotonic time of the issuer.

    Returns
    -------
    Plan
        At most one order for each engine.
    """
    due: list[orders.Order] = []
    held: list[HeldOrder] = []
    loading_servers: set[str] = set()
    sizes = {wanted.name: wanted.weights_size_bytes for wanted in configuration.models}
    for view in sorted(views, key=lambda item: item.backend_server.name):
        order = next_order(configuration, view, issuer)
        if order is None:
            continue
        reason = hold_reason(
            view, views, loading_servers, order, issuer, settings, now_s
        )
        if reason is None and order.kind is orders.OrderKind.LOAD_MODEL:
            bucket, granted = rates.take(bucket, sizes[order.model], now_s)
            reason = None if granted else HoldReason.WEIGHT_STORE_RATE
        if reason is not None:
            held.append(HeldOrder(order, reason))
            continue
        due.append(order)
        if order.kind is orders.OrderKind.LOAD_MODEL:
            loading_servers.add(order.backend_server)
    return Plan(tuple(due), tuple(held), bucket)


def next_order(
    configuration: model.Configuration, view: ServerView, issuer: Issuer
) -> orders.Order | None:
    """Return the first thing that an engine lacks; None if it lacks nothing."""
    server, health = view.backend_server, view.health
    is_engine = server.target is model.Target.MODEL
    if not is_engine or health is None or view.state is not events.ServerState.LIVE:
        return None
    loaded_models = {entry.name: entry for entry in health.models}
    for wanted in configuration.models:
        if wanted.name not in server.serves:
            continue
        loaded_model = loaded_models.get(wanted.name)
        if loaded_model is None or loaded_model.version != wanted.version:
            return make_order(
                server.name,
                issuer,
                orders.OrderKind.LOAD_MODEL,
                model=wanted.name,
                version=wanted.version,
            )
        for adapter in wanted.adapters:
            if adapter not in loaded_model.adapters:
                return make_order(
                    server.name,
                    issuer,
                    orders.OrderKind.LOAD_ADAPTER,
                    model=wanted.name,
                    version=wanted.version,
                    adapter=adapter,
                )
    if health.role != SERVING_ROLE:
        kind = orders.OrderKind.CHANGE_ROLE
        return make_order(server.name, issuer, kind, role=SERVING_ROLE)
    return None


def make_order(
    backend_server: str, issuer: Issuer, kind: orders.OrderKind, **fields: str
) -> orders.Order:
    """Return an order whose id is the same at each resend by one issuer."""
    parts = (str(issuer.fencing), backend_server, kind, *fields.values())
    order_id = "/".join(parts)
    return orders.Order(order_id, backend_server, issuer.fencing, kind, **fields)


def hold_reason(
    view: ServerView,
    views: tuple[ServerView, ...],
    loading_servers: set[str],
    order: orders.Order,
    issuer: Issuer,
    settings: LeaseSettings,
    now_s: float,
) -> HoldReason | None:
    """Return why a due order must wait; None if it need not."""
    is_loading = view.health is not None and view.health.status == LOADING
    if view.has_order_in_progress or is_loading:
        return HoldReason.ORDER_IN_PROGRESS
    checks_fencing = view.backend_server.checks_fencing
    if not checks_fencing and now_s < previous_issuer_stopped_at_s(issuer, settings):
        return HoldReason.PREVIOUS_ISSUER
    if order.kind is orders.OrderKind.LOAD_MODEL and is_last_healthy_server(
        view, views, loading_servers
    ):
        return HoldReason.LAST_HEALTHY_SERVER
    return None


def is_last_healthy_server(
    view: ServerView, views: tuple[ServerView, ...], loading_servers: set[str]
) -> bool:
    """Return whether loading at an engine would leave a model without a server."""
    name = view.backend_server.name
    for model_name in healthy_models(view):
        others = [
            other
            for other in views
            if other.backend_server.name != name
            and other.backend_server.name not in loading_servers
            and not other.has_order_in_progress
            and model_name in healthy_models(other)
        ]
        if not others:
            return True
    return False


def healthy_models(view: ServerView) -> tuple[str, ...]:
    """Return the models that an engine serves now."""
    health = view.health
    if health is None or view.state is not events.ServerState.LIVE:
        return ()
    if health.status != HEALTHY or health.role != SERVING_ROLE:
        return ()
    loaded = {entry.name for entry in health.models}
    return tuple(name for name in view.backend_server.serves if name in loaded)
