"""The end of a listener, which takes the connections that wait in its queue.

The kernel accepts connections, and receives requests on them, before the process takes
them.  It resets those that wait when the listener is closed; after a stall of the event
loop these may be many, with requests that were sent long before.
"""

import asyncio
import socket
import ssl
from collections.abc import Callable

from hickoryweir.observability import logs

# Of one listener; more than the backlog of any, so that new ones can't go on forever.
MAX_ACCEPTED_COUNT = 4_096


async def close(
    listener: asyncio.Server,
    make_protocol: Callable[[], asyncio.BaseProtocol],
    ssl_context: ssl.SSLContext | None = None,
) -> None:
    """Close a listener after the connections in its queue have been taken.

    Parameters
    ----------
    listener : asyncio.Server
        A listener of TCP; nothing is done if it is closed.
    make_protocol : callable
        Makes the protocol of a connection.
    ssl_context : ssl.SSLContext, optional
        If the connections use TLS.
    """
    accepted = []
    for bound in listener.sockets:
        with bound.dup() as queue:
            accepted += _accept_waiting(queue)
    listener.close()
    loop = asyncio.get_running_loop()
    outcomes = await asyncio.gather(
        *(
            loop.connect_accepted_socket(make_protocol, connection, ssl=ssl_context)
            for connection in accepted
        ),
        return_exceptions=True,
    )
    for connection, outcome in zip(accepted, outcomes, strict=True):
        if isinstance(outcome, BaseException):
            connection.close()
            fields = logs.Fields(reason=repr(outcome))
            logs.warning("connection could not be taken over", fields)


def _accept_waiting(queue: socket.socket) -> list[socket.socket]:
    """Return the connections that wait in a listener's queue."""
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
