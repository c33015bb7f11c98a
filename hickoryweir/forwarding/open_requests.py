"""Requests that a router has read and not answered completely yet.

The port for clients keeps one record per request; a stop decides from these records
what it has to wait for and describes what it gave up on.
"""

import asyncio
import collections
import dataclasses
import enum
from collections.abc import Iterable

import aiohttp

from hickoryweir import clocks
from hickoryweir.forwarding import contexts
from hickoryweir.forwarding_policy import held_bytes
from hickoryweir.routes import model


class Phase(enum.StrEnum):
    """What an open request is waiting for."""

    RECEIVING = "the body or a table"
    AWAITING_RESPONSE = "a backend server's response"
    STREAMING = "the end of the stream"
    WRITING = "the client to read the response"


@dataclasses.dataclass(slots=True)
class Held:
    """Bytes that the router holds for a request.

    Attributes
    ----------
    account_name : str
        Client account whose bound they count towards; empty without one.
    priority : int
        Priority of the request.
    body_size_bytes : int
        Size of the request's body, as far as it was read.
    body_reserved_size_bytes : int
        Size up to which it may be read.
    is_body_small : bool
        Whether its room is in the part for small bodies.
    may_body_grow : bool
        Whether it waits to be received whole, beyond what bodies may hold that wait.
    body_content : aiohttp.StreamReader or None
        The body while it is being read.
    body_demand : held_bytes.BodyDemand or None
        Room that it has asked for last, while it is being read.
    response_size_bytes : int
        Size of a plain response, as far as it was read and not written.
    reserved_size_bytes : int
        Size up to which it may be read.
    content : aiohttp.StreamReader or None
        Body of the server's response that is being read.
    content_read_size_bytes : int
        Bytes that were read from it.
    read_ahead_size_bytes : int
        What may be received beyond that.
    open_event_size_bytes : int
        Bytes of a stream that were read since its last whole event.
    kept_size_bytes : int
        Size of the body of an earlier attempt's failure.
    """

    account_name: str = ""
    priority: int = 0
    body_size_bytes: int = 0
    body_reserved_size_bytes: int = 0
    is_body_small: bool = False
    may_body_grow: bool = False
    body_content: aiohttp.StreamReader | None = None
    body_demand: held_bytes.BodyDemand | None = None
    response_size_bytes: int = 0
    reserved_size_bytes: int = 0
    content: aiohttp.StreamReader | None = None
    content_read_size_bytes: int = 0
    read_ahead_size_bytes: int = 0
    open_event_size_bytes: int = 0
    kept_size_bytes: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class OpenRequest:
    """A request whose response is not complete yet.

    Attributes
    ----------
    request_id : str
        The client's id of the request.
    received_at_s : float
        When its headers were read, on :func:`clocks.boottime_s`.
    admitted_at_s : float or None
        When it was received completely and admitted; None before.
    context : contexts.RequestContext or None
        State of its forwarding; None before it is admitted.
    timer : asyncio.Timeout or None
        Ends the handling when the router gives up on the request; None before it.
    is_handled : bool
        Whether the handler has returned its response.
    held : Held
        Bytes that are held for it.
    shortage : str or None
        Which of its VM's limits kept this router from admitting it; None if none did.
    """

    request_id: str = ""
    received_at_s: float = dataclasses.field(default_factory=clocks.boottime_s)
    admitted_at_s: float | None = None
    context: contexts.RequestContext | None = None
    timer: asyncio.Timeout | None = None
    is_handled: bool = False
    held: Held = dataclasses.field(default_factory=Held)
    shortage: str | None = None


def phase_of(request: OpenRequest) -> Phase:
    """Return what a request is waiting for."""
    if request.is_handled:
        return Phase.WRITING
    if request.context is None:
        return Phase.RECEIVING
    if request.context.stream_response is not None:
        return Phase.STREAMING
    return Phase.AWAITING_RESPONSE


def admit(request: OpenRequest, context: contexts.RequestContext) -> None:
    """Record that a request was received completely and is being forwarded."""
    request.admitted_at_s = clocks.boottime_s()
    request.context = context


def runs_to_its_end(request: OpenRequest) -> bool:
    """Return whether a request goes on at a server although its client has left.

    A plain call that may not be repeated is not stopped midway, so its response is
    there for a client that has only ended its sending side.
    """
    context = request.context
    if context is None or context.route.is_stream:
        return False
    is_at_most_once = context.route.execution is model.Execution.AT_MOST_ONCE
    return is_at_most_once and context.sent_count > 0


def has_begun(request: OpenRequest) -> bool:
    """Return whether the response to a request has begun."""
    return phase_of(request) in (Phase.STREAMING, Phase.WRITING)


def give_up(request: OpenRequest) -> None:
    """End the handling of a request, unless its response has begun.

    The handler then returns a final response that says whether it may have run.
    """
    if not has_begun(request) and not request.timer.expired():
        request.timer.reschedule(asyncio.get_running_loop().time())


def count_phases(requests: Iterable[OpenRequest]) -> str:
    """Return how many requests wait for what, for the log.

    Examples
    --------
    >>> count_phases([OpenRequest(), OpenRequest(is_handled=True), OpenRequest()])
    '2 wait for the body or a table, 1 wait for the client to read the response'
    >>> count_phases([])
    'none'
    """
    counts = collections.Counter(phase_of(request) for request in requests)
    return (
        ", ".join(
            f"{counts[phase]} wait for {phase}" for phase in Phase if counts[phase]
        )
        or "none"
    )


def describe(
    request: OpenRequest,
    unsent_size_bytes: int,
    queued_count: int,
    stop_began_s: float,
) -> str:
    """Return a description of an open request for the log.

    Parameters
    ----------
    request : OpenRequest
        The request.
    unsent_size_bytes : int
        Bytes written to its connection and not sent yet.
    queued_count : int
        Requests that were read from its connection after it.
    stop_began_s : float
        When the stop began, on :func:`clocks.boottime_s`.
    """
    parts = [f"waits for {phase_of(request)}"]
    context = request.context
    if context is not None:
        admitted_after_s = request.admitted_at_s - request.received_at_s
        parts.append(f"admitted after {admitted_after_s:.3f} s")
        since_s = request.admitted_at_s - stop_began_s
        parts.append(f"{since_s:+.3f} s from the start of the stop")
        parts.append(f"{context.time_left_s:.3f} s left")
        if context.stream_response is not None:
            parts.append(f"at event {context.last_event_id or 'none'}")
    parts.append(f"{unsent_size_bytes} bytes unsent")
    parts.append(f"{queued_count} requests queued behind it")
    return ", ".join(parts)
