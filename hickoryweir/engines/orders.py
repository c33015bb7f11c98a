"""Sends orders to model engines and reads which models they have loaded.

An order is a command to load a model or an adapter, or to change the engine's role.
It carries the issuer's fencing token.  The issuer's lease is checked as late as
possible, immediately before the order is sent, by a function that the issuer
passes in.
"""

import dataclasses
import enum
import json
from collections.abc import Callable

import aiohttp
import pydantic
from returns import result

from hickoryweir.configuration import model
from hickoryweir.engines import client, failures, framing, reads

CONFLICT = 409
MAX_RESPONSE_SIZE_BYTES = 64 * 1024
STALE_FENCING = "stale_fencing"


class OrderKind(enum.StrEnum):
    """Command of an order."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A command to an engine.

    Attributes
    ----------
    order_id : str
        Idempotency key, the same in each resend; an engine executes an id once.
    backend_server : str
        Name of the engine.
    fencing : int
        Fencing token of the issuer.
    kind : OrderKind
        Command; the fields that it doesn't use are empty.
    """

    order_id: str
    backend_server: str
    fencing: int
    kind: OrderKind
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class OrderFailureReason(enum.Enum):
    """Why an order is not known to have been executed."""

    NOT_SENT = "not_sent"
    STALE_FENCING = "stale_fencing"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFailure:
    """An order that is not known to have been executed.

    ``UNKNOWN`` means that the engine may have executed it; the engine's health
    report shows whether it did.
    """

    reason: OrderFailureReason
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderDone:
    """An order that the engine executed."""

    order_id: str


class LoadedModel(reads.Document):
    """A model that an engine has loaded."""

    name: str
    version: str
    adapters: list[str] = []


class ServerHealth(reads.Document):
    """Response body of an engine's ``GET /health``."""

    status: str
    role: str = "serve"
    models: list[LoadedModel] = []
    highest_fencing: int = pydantic.Field(default=0, ge=0)


async def fetch_health(
    session: aiohttp.ClientSession, server: model.BackendServer, timeout_s: float
) -> result.Result[ServerHealth, reads.ReadFailure]:
    """Fetch an engine's status and its loaded models."""
    url = f"{server.url}/health"
    return await reads.read_document(session, url, ServerHealth, timeout_s)


async def send(
    session: aiohttp.ClientSession,
    server: model.BackendServer,
    order: Order,
    holds_lease: Callable[[], bool],
    timeout_s: float,
) -> result.Result[OrderDone, OrderFailure]:
    """Send an order once, over a new connection.

    A kept one may have gone silent, and an order may wait for minutes.

    Parameters
    ----------
    session : aiohttp.ClientSession
        See :func:`hickoryweir.engines.sessions.make_session`.
    server : model.BackendServer
        Engine to send the order to.
    order : Order
        Order to send.
    holds_lease : function
        Returns whether the issuer's lease is still valid by its own monotonic clock.
    timeout_s : float
        Timeout of the response, which the engine sends after the order's execution.

    Returns
    -------
    Result of OrderDone or of OrderFailure
        After ``UNKNOWN`` the same order may be sent again.
    """
    if not holds_lease():
        message = "the issuer's lease has expired"
        return result.Failure(OrderFailure(OrderFailureReason.NOT_SENT, message))
    token = framing.sent_request_id.set("")
    try:
        async with session.post(
            f"{server.url}/orders",
            data=order_body(order),
            headers={"Content-Type": "application/json"},
            timeout=aiohttp.ClientTimeout(total=timeout_s),
            allow_redirects=False,
        ) as response:
            body = await client.read_body(response, MAX_RESPONSE_SIZE_BYTES)
            return read_response(order, response.status, body or b"")
    except failures.CONNECT_ERRORS:
        return result.Failure(
            OrderFailure(
                OrderFailureReason.NOT_SENT,
                "no connection to the engine could be established",
            )
        )
    except failures.NETWORK_ERRORS as error:
        message = framing.describe_error(error)
        return result.Failure(OrderFailure(OrderFailureReason.UNKNOWN, message))
    finally:
        framing.sent_request_id.reset(token)


def order_body(order: Order) -> bytes:
    """Return an order as JSON text."""
    fields = dataclasses.asdict(order)
    del fields["backend_server"]
    return json.dumps(fields).encode()


def read_response(
    order: Order, status: int, body: bytes
) -> result.Result[OrderDone, OrderFailure]:
    """Return the result that an engine's response reports."""
    try:
        decoded = json.loads(body)
    except (ValueError, RecursionError):
        decoded = None
    document = decoded if isinstance(decoded, dict) else {}
    if status == 200 and document.get("order_id") == order.order_id:
        return result.Success(OrderDone(order.order_id))
    error = document.get("error")
    code = error.get("code") if isinstance(error, dict) else None
    if status == CONFLICT and code == STALE_FENCING:
        message = "the engine has seen a higher fencing token"
        return result.Failure(OrderFailure(OrderFailureReason.STALE_FENCING, message))
    if 400 <= status < 500:
        return result.Failure(
            OrderFailure(OrderFailureReason.REFUSED, f"status {status}")
        )
    return result.Failure(OrderFailure(OrderFailureReason.UNKNOWN, f"status {status}"))
