"""The end of a listener, which takes the connections that wait in its queue.

The kernel accepts connections, and receives requests on them, before the process takes
them.  It resets those that wait when the listener is closed; after a stall of the event
loop these may be many, with requests that were sent long before.
"""

import asyncio
import socket
import ssl
from collections.abc import Awaitable, Callable

from hickoryweir.observability import logs

# More than the backlog of any listener, so that new connections can't go on forever.
MAX_ACCEPTED_COUNT = 4_096

# The event loop holds only weak references to its tasks.
_opening: set[asyncio.Task] = set()


def close(
    listener: asyncio.Server,
    make_protocol: Callable[[], asyncio.BaseProtocol],
    ssl_context: ssl.SSLContext | None = None,
    handshake_timeout_s: float | None = None,
) -> list[asyncio.Task]:
    """Close a listener after the connections in its queue have been taken.

    Parameters
    ----------
    listener : asyncio.Server
        A listener of TCP; nothing is done if it is closed.
    make_protocol : callable
        Makes the protocol of a connection.
    ssl_context : ssl.SSLContext, optional
        If the connections use TLS.
    handshake_timeout_s : float, optional
        Longest time for a handshake; the event loop's default by default.

    Returns
    -------
    list of asyncio.Task
        One for each of the connections, which ends once it is open; with TLS, after
        the handshake.
    """
    accepted: list[socket.socket] = []
    for bound in listener.sockets:
        accepted += _accept_waiting(bound.fileno())
    listener.close()
    if accepted:
        fields = logs.Fields(detail=f"{len(accepted)} connections")
        logs.info("connections taken from the queue of a port", fields)
    loop = asyncio.get_running_loop()
    timeout_s = None if ssl_context is None else handshake_timeout_s
    tasks = []
    for connection in accepted:
        connecting = loop.connect_accepted_socket(
            make_protocol, connection, ssl=ssl_context, ssl_handshake_timeout=timeout_s
        )
        opening = asyncio.create_task(_open(connection, connecting))
        _opening.add(opening)
        opening.add_done_callback(_opening.discard)
        tasks.append(opening)
    return tasks


def _accept_waiting(descriptor: int) -> list[socket.socket]:
    """Return the connections that wait in a listener's queue."""
    # A duplicate would need a free descriptor.
    queue = socket.socket(fileno=descriptor)
    try:
        return _accept_all(queue)
    finally:
        queue.detach()


def _accept_all(queue: socket.socket) -> list[socket.socket]:
    accepted: list[socket.socket] = []
    while len(accepted) < MAX_ACCEPTED_COUNT:
        try:
            connection, _ = queue.accept()
        except BlockingIOError:
            break
        except OSError as error:
            fields = logs.Fields(reason=str(error))
            logs.warning("waiting connections could not be accepted", fields)
            break
        connection.setblocking(False)
        accepted.append(connection)
    return accepted


async def _open(connection: socket.socket, connecting: Awaitable) -> None:
    try:
        await connecting
    except OSError as error:
        connection.close()
        fields = logs.Fields(reason=str(error))
        logs.warning("accepted connection could not be opened", fields)
