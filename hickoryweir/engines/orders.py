"""Orders to model engines, and what an engine says it has loaded.

An order carries the issuer's fencing number.  The issuer's right to give orders
is checked as late as possible, right before the order is sent, by a function
that the issuer passes in.
"""

import dataclasses
import enum
import json
from collections.abc import Callable

import aiohttp
import pydantic
from returns import result

from hickoryweir.configuration import model
from hickoryweir.engines import client, failures, reads

CONFLICT = 409
MAX_REPLY_SIZE_BYTES = 64 * 1024
STALE_FENCING = "stale_fencing"


class OrderKind(enum.StrEnum):
    """What an engine is told to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order.

    Attributes
    ----------
    order_id : str
        The same for each resend; an engine obeys an id once.
    backend_server : str
        The engine.
    fencing : int
        The issuer's number.
    kind : OrderKind
        What to do; the fields that the kind doesn't need are empty.
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
    """How an order ended that was not obeyed for sure."""

    NOT_SENT = "not_sent"
    STALE_FENCING = "stale_fencing"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFailure:
    """An order that was not obeyed for sure.

    ``UNKNOWN`` means that the engine may have obeyed; its health tells.
    """

    reason: OrderFailureReason
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderDone:
    """The engine obeyed."""

    order_id: str


class LoadedModel(reads.Document):
    """A model in an engine's memory."""

    name: str
    version: str
    adapters: list[str] = []


class ServerHealth(reads.Document):
    """Body of an engine's ``GET /health``."""

    status: str
    role: str = "serve"
    models: list[LoadedModel] = []
    highest_fencing: int = pydantic.Field(default=0, ge=0)


async def fetch_health(
    session: aiohttp.ClientSession, server: model.BackendServer, timeout_s: float
) -> result.Result[ServerHealth, reads.ReadFailure]:
    """Return what an engine has loaded and whether it serves."""
    url = f"{server.url}/health"
    return await reads.read_document(session, url, ServerHealth, timeout_s)


async def send(
    session: aiohttp.ClientSession,
    server: model.BackendServer,
    order: Order,
    holds_lease: Callable[[], bool],
    timeout_s: float,
) -> result.Result[OrderDone, OrderFailure]:
    """Send an order once.

    Parameters
    ----------
    session : aiohttp.ClientSession
        See :func:`hickoryweir.engines.sessions.make_session`.
    server : model.BackendServer
        The engine.
    order : Order
        What it is told.
    holds_lease : function
        Whether the issuer's lease still runs, by its own monotonic clock.
    timeout_s : float
        Longest wait for the reply; the engine replies when it has obeyed.

    Returns
    -------
    Result of OrderDone or of OrderFailure
        After ``UNKNOWN`` the same order may be sent again.
    """
    if not holds_lease():
        message = "the issuer's lease has run out"
        return result.Failure(OrderFailure(OrderFailureReason.NOT_SENT, message))
    try:
        async with session.post(
            f"{server.url}/orders",
            data=order_body(order),
            headers={"Content-Type": "application/json"},
            timeout=aiohttp.ClientTimeout(total=timeout_s),
            allow_redirects=False,
        ) as response:
            body = await client.read_body(response, MAX_REPLY_SIZE_BYTES)
            return read_reply(order, response.status, body or b"")
    except failures.CONNECT_ERRORS:
        return result.Failure(
            OrderFailure(OrderFailureReason.NOT_SENT, "no connection")
        )
    except failures.NETWORK_ERRORS as error:
        name = type(error).__name__
        return result.Failure(OrderFailure(OrderFailureReason.UNKNOWN, name))


def order_body(order: Order) -> bytes:
    """Return an order as JSON text."""
    fields = dataclasses.asdict(order)
    del fields["backend_server"]
    return json.dumps(fields).encode()


def read_reply(
    order: Order, status: int, body: bytes
) -> result.Result[OrderDone, OrderFailure]:
    """Return what an engine's reply says."""
    try:
        decoded = json.loads(body)
    except (ValueError, RecursionError):
        decoded = None
    reply = decoded if isinstance(decoded, dict) else {}
    if status == 200 and reply.get("order_id") == order.order_id:
        return result.Success(OrderDone(order.order_id))
    error = reply.get("error")
    code = error.get("code") if isinstance(error, dict) else None
    if status == CONFLICT and code == STALE_FENCING:
        message = "the engine has seen a higher fencing number"
        return result.Failure(OrderFailure(OrderFailureReason.STALE_FENCING, message))
    if 400 <= status < 500:
        return result.Failure(
            OrderFailure(OrderFailureReason.REFUSED, f"status {status}")
        )
    return result.Failure(OrderFailure(OrderFailureReason.UNKNOWN, f"status {status}"))
