"""Control orders to the stand-in engine: model loads, adapter loads, role changes."""

import dataclasses
from typing import Literal

import pydantic


class OrderBody(pydantic.BaseModel):
    """Body of ``POST /orders``."""

    order_id: str = pydantic.Field(min_length=1)
    fencing: int = pydantic.Field(ge=0)
    kind: Literal["load_model", "load_adapter", "change_role"]
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


@dataclasses.dataclass(slots=True)
class LoadedModel:
    """A loaded model."""

    version: str
    adapters: list[str]


@dataclasses.dataclass(slots=True)
class OrderState:
    """State of an engine that results from the orders that it executed.

    Attributes
    ----------
    checks_fencing : bool
        Whether orders with a stale fencing token are refused.
    highest_fencing : int
        Highest fencing token of all accepted orders.
    executed : dict
        Body of each executed order, by order ID.
    history : list
        Executed orders, in order of execution.
    loading_until_s : float
        Monotonic time at which the model load in progress ends.  Adapters are
        loaded while the engine serves.
    """

    checks_fencing: bool
    models: dict[str, LoadedModel]
    role: str = "serve"
    highest_fencing: int = 0
    executed: dict[str, OrderBody] = dataclasses.field(default_factory=dict)
    history: list[OrderBody] = dataclasses.field(default_factory=list)
    loading_until_s: float = 0.0


def is_stale(state: OrderState, order: OrderBody) -> bool:
    """Return whether the order must be refused because its fencing token is stale."""
    return state.checks_fencing and order.fencing < state.highest_fencing


def execute(state: OrderState, order: OrderBody, now_s: float, load_s: float) -> None:
    """Execute an order; a resent order has no effect."""
    state.highest_fencing = max(state.highest_fencing, order.fencing)
    if order.order_id in state.executed:
        return
    state.executed[order.order_id] = order
    state.history.append(order)
    match order.kind:
        case "load_model":
            state.models[order.model] = LoadedModel(order.version, [])
            state.loading_until_s = now_s + load_s
        case "load_adapter":
            loaded = state.models.setdefault(
                order.model, LoadedModel(order.version, [])
            )
            loaded.adapters = sorted({*loaded.adapters, order.adapter})
        case "change_role":
            state.role = order.role
