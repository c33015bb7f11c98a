"""Where an answer goes: the caller's HTTP response, or nowhere once it left.

A sink is owned by the task that serves the call.  Writes wait while the caller
reads slowly, which keeps the engine's stream waiting too; a write that waits
longer than the limit is seen by :func:`abort_stalled`, which cuts the connection.
"""

import dataclasses
import time
import weakref

from aiohttp import web

EVENT_STREAM = "text/event-stream"


@dataclasses.dataclass(slots=True, eq=False, weakref_slot=True)
class Sink:
    """A caller's response being written.

    Attributes
    ----------
    request : web.Request or None
        None once the caller has left.
    response : web.StreamResponse or None
        Set when the first byte of a stream is written.
    waiting_since_s : float or None
        Monotonic time at which the write in progress began.
    size_bytes : int
        Bytes written so far.
    is_aborted : bool
        Whether the connection was cut for slowness.
    """

    request: web.Request | None
    request_id: str
    response: web.StreamResponse | None = None
    waiting_since_s: float | None = None
    size_bytes: int = 0
    is_aborted: bool = False


def make_sink(request: web.Request, request_id: str) -> Sink:
    """Return a sink that writes nothing yet."""
    return Sink(request, request_id)


def detach(sink: Sink) -> None:
    """Let further writes go nowhere, since the caller has left."""
    sink.request = None


async def write(sink: Sink, data: bytes) -> None:
    """Write a part of a stream; the first write sends the headers.

    Parameters
    ----------
    sink : Sink
        Where to write.
    data : bytes
        Whole server-sent events.

    Raises
    ------
    ConnectionError
        The caller's connection is gone.
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
    """Cut the connections whose write has waited longer than the limit.

    Parameters
    ----------
    sinks : set of Sink
        All sinks in use.
    limit_s : float
        Longest wait of one write.
    now_s : float
        Monotonic time.

    Returns
    -------
    int
        How many connections were cut.
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
