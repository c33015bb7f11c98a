"""Decides which orders are due, as a pure function of configuration and reports.

The plan reconciles the models that each engine has loaded with the configuration.
It needs no state for lost responses, failed loads and new issuers: whatever is still
missing is due again.  An order is held back

* while the engine executes another order, including a previous issuer's,
* if it would stop the last healthy server of a model,
* until the weight store's shared rate limit allows it, and
* at an engine that ignores fencing tokens, until the previous issuer must have
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
    """Times that bound how long a previous issuer may have sent orders.

    Attributes
    ----------
    lease_s : float
        Duration of the lease, counted from the quorum's last acknowledgement.
    clock_drift_share : float
        Maximum relative drift between two machines' monotonic clocks.
    delivery_s : float
        Maximum time from an issuer's check of its lease to the order's arrival.
    """

    lease_s: float = 10.0
    clock_drift_share: float = 0.01
    delivery_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Issuer:
    """The current issuer: its fencing token, and its election time by its own clock."""

    fencing: int
    elected_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerView:
    """State of one engine; ``health`` is None if it is unknown."""

    backend_server: model.BackendServer
    state: events.ServerState
    health: orders.ServerHealth | None
    has_order_in_progress: bool = False


class HoldReason(enum.Enum):
    """Why a due order is held back."""

    ORDER_IN_PROGRESS = "order_in_hand"
    LAST_HEALTHY_SERVER = "last_healthy_server"
    WEIGHT_STORE_RATE = "weight_store_rate"
    PREVIOUS_ISSUER = "old_issuer"


@dataclasses.dataclass(frozen=True, slots=True)
class HeldOrder:
    """A due order that is held back."""

    order: orders.Order
    reason: HoldReason


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Orders to send, orders held back, and the token bucket after them."""

    due: tuple[orders.Order, ...]
    held: tuple[HeldOrder, ...]
    bucket: rates.Bucket


def previous_issuer_stopped_at_s(issuer: Issuer, settings: LeaseSettings) -> float:
    """Return the time after which no order of a previous issuer can arrive.

    The previous issuer's lease began before this one was elected, since their quorums
    overlap; its clock may run slower than this one's.

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
    """Return the orders to send now and those to hold back.

    Parameters
    ----------
    configuration : model.Configuration
        Desired state.
    views : tuple of ServerView
        Current state of each engine.
    bucket : rates.Bucket
        Token bucket of the weight store's rate limit, which all loads share.
    issuer : Issuer
        Issuer of the orders.
    settings : LeaseSettings
        Times that bound the previous issuer's lease.
    now_s : float
        Time by the issuer's monotonic clock.

    Returns
    -------
    Plan
        With at most one order for each engine.
    """
    due: list[orders.Order] = []
    held: list[HeldOrder] = []
    loading_servers: set[str] = set()
    sizes = {
        desired.name: desired.weights_size_bytes for desired in configuration.models
    }
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
    """Return the next order that an engine needs, or None."""
    server, health = view.backend_server, view.health
    is_engine = server.target is model.Target.MODEL
    if not is_engine or health is None or view.state is not events.ServerState.LIVE:
        return None
    loaded_models = {entry.name: entry for entry in health.models}
    for desired in configuration.models:
        if desired.name not in server.serves:
            continue
        loaded_model = loaded_models.get(desired.name)
        if loaded_model is None or loaded_model.version != desired.version:
            return make_order(
                server.name,
                issuer,
                orders.OrderKind.LOAD_MODEL,
                model=desired.name,
                version=desired.version,
            )
        for adapter in desired.adapters:
            if adapter not in loaded_model.adapters:
                return make_order(
                    server.name,
                    issuer,
                    orders.OrderKind.LOAD_ADAPTER,
                    model=desired.name,
                    version=desired.version,
                    adapter=adapter,
                )
    if health.role != SERVING_ROLE:
        kind = orders.OrderKind.CHANGE_ROLE
        return make_order(server.name, issuer, kind, role=SERVING_ROLE)
    return None


def make_order(
    backend_server: str, issuer: Issuer, kind: orders.OrderKind, **fields: str
) -> orders.Order:
    """Return an order with an id that is the same in each resend by one issuer."""
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
    """Return why a due order must be held back, or None."""
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
    """Return whether a load at an engine would leave a model without a server."""
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
    """Return the models that an engine currently serves."""
    health = view.health
    if health is None or view.state is not events.ServerState.LIVE:
        return ()
    if health.status != HEALTHY or health.role != SERVING_ROLE:
        return ()
    loaded = {entry.name for entry in health.models}
    return tuple(name for name in view.backend_server.serves if name in loaded)
