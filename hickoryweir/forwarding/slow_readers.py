"""Clients that read slowly: their socket buffers, and an end for stalled ones.

The bounds are in :mod:`hickoryweir.forwarding_policy.held_bytes`.
"""

import asyncio
import dataclasses
import socket

from hickoryweir import unacknowledged
from hickoryweir.forwarding import contexts
from hickoryweir.forwarding_policy import held_bytes
from hickoryweir.observability import logs


@dataclasses.dataclass(slots=True)
class Delivery:
    """What a client has taken of the bytes written to it.

    Attributes
    ----------
    pending_sizes_bytes : tuple of int
        Sizes of what is in this process and in the kernel, when last checked.
    progressed_at_s : float
        Loop time at which either was last seen to shrink, or was empty.
    """

    pending_sizes_bytes: tuple[int, int] = (0, 0)
    progressed_at_s: float = 0.0


def limit_buffers(transport: asyncio.Transport, limits: held_bytes.Limits) -> None:
    """Bound what waits for a client in this process and in the kernel."""
    transport.set_write_buffer_limits(high=limits.stream_size_bytes)
    sock = transport.get_extra_info("socket")
    sizes = {
        socket.SO_RCVBUF: limits.socket_size_bytes,
        socket.SO_SNDBUF: limits.send_size_bytes,
    }
    for option, size_bytes in sizes.items():
        if sock is not None and size_bytes:
            sock.setsockopt(socket.SOL_SOCKET, option, size_bytes)


def is_stalled(router: contexts.Forwarder, connection: object, now_s: float) -> bool:
    """Update what a client has taken; return whether it has stalled for too long.

    Parameters
    ----------
    router : contexts.Forwarder
        State of the router.
    connection : server.ClientConnection
        The client's connection.
    now_s : float
        Loop time.
    """
    if router.held_limits is None or not connection.unsent_size_bytes:
        connection.delivery = Delivery(progressed_at_s=now_s)
        return False
    transport, delivery = connection.client_transport, connection.delivery
    sizes = connection.unsent_size_bytes, unacknowledged.size_bytes(transport)
    known = delivery.pending_sizes_bytes
    if sizes[0] < known[0] or sizes[1] < known[1] or not delivery.progressed_at_s:
        delivery.progressed_at_s = now_s
    delivery.pending_sizes_bytes = sizes
    bound_s = held_bytes.stall_timeout_s(_route_timeout_s(router, connection))
    return now_s - delivery.progressed_at_s > bound_s


def _route_timeout_s(router: contexts.Forwarder, connection: object) -> float:
    """Return the timeout of the open request's route; 0 without one."""
    request = router.open_requests.get(connection)
    if request is None or request.context is None:
        return 0.0
    return request.context.route.timeout_s


def disconnect(router: contexts.Forwarder, connection: object) -> None:
    """End the connection of a client that reads nothing."""
    request = router.open_requests.get(connection)
    unsent, unacknowledged = connection.delivery.pending_sizes_bytes
    fields = logs.Fields(
        request_id=None if request is None else request.request_id or None,
        reason="stalled",
        detail=f"{unsent} bytes unsent, {unacknowledged} unacknowledged",
    )
    logs.warning("client that reads nothing disconnected", fields)
    router.metrics.answers.labels("", "client_stalled").inc()
    connection.client_transport.abort()
