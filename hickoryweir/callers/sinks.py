"""Sinks that write a streamed response to the caller.

A sink is owned by the task that serves the call.  Writes block while the caller
reads slowly, which applies backpressure to the engine's stream.
:func:`abort_stalled` aborts connections whose write blocks longer than the limit.
"""

import dataclasses
import time
import weakref

from aiohttp import web

EVENT_STREAM = "text/event-stream"


@dataclasses.dataclass(slots=True, eq=False, weakref_slot=True)
class Sink:
    """A response that is being written to a caller.

    Attributes
    ----------
    request : web.Request or None
        None once the caller has disconnected.
    response : web.StreamResponse or None
        Set when the headers of the stream are sent.
    waiting_since_s : float or None
        Monotonic time at which the pending write started.
    size_bytes : int
        Bytes written so far.
    is_aborted : bool
        Whether the connection was aborted because a write stalled.
    """

    request: web.Request | None
    request_id: str
    response: web.StreamResponse | None = None
    waiting_since_s: float | None = None
    size_bytes: int = 0
    is_aborted: bool = False


def make_sink(request: web.Request, request_id: str) -> Sink:
    """Return a sink for a request whose response is not started."""
    return Sink(request, request_id)


def detach(sink: Sink) -> None:
    """Discard further writes, since the caller has disconnected."""
    sink.request = None


async def write(sink: Sink, data: bytes) -> None:
    """Write a part of a stream; the first write sends the headers.

    Parameters
    ----------
    sink : Sink
        Sink of the call.
    data : bytes
        Complete server-sent events.

    Raises
    ------
    ConnectionError
        The caller's connection is closed.
    """
    if sink.request is None:
        return
    sink.waiting_since_s = time.monotonic()
    try:
        if sink.response is None:
            sink.response = await send_headers(sink.request, sink.request_id)
        await sink.response.write(data)
        sink.size_bytes += len(data)
    finally:
        sink.waiting_since_s = None


async def send_headers(request: web.Request, request_id: str) -> web.StreamResponse:
    """Send the headers of a stream."""
    response = web.StreamResponse(
        headers={
            "Content-Type": EVENT_STREAM,
            "Cache-Control": "no-cache",
            "X-Request-Id": request_id,
        }
    )
    await response.prepare(request)
    return response


def abort_stalled(sinks: weakref.WeakSet[Sink], limit_s: float, now_s: float) -> int:
    """Abort connections whose pending write exceeds the time limit.

    Parameters
    ----------
    sinks : set of Sink
        All sinks in use.
    limit_s : float
        Maximum duration of one write.
    now_s : float
        Monotonic time.

    Returns
    -------
    int
        Number of aborted connections.
    """
    aborted_count = 0
    for sink in list(sinks):
        waiting_since_s = sink.waiting_since_s
        if waiting_since_s is None or now_s - waiting_since_s < limit_s:
            continue
        if sink.is_aborted or sink.request is None or sink.request.transport is None:
            continue
        sink.is_aborted = True
        sink.request.transport.abort()
        aborted_count += 1
    return aborted_count
