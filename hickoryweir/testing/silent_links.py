"""A loopback proxy whose open connections go silent while new ones work.

A silent connection stays open: what either side sends is acknowledged and discarded.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

HOST = "127.0.0.1"
READ_SIZE_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """A relayed connection.

    Attributes
    ----------
    is_silent_forward, is_silent_backward : bool
        Whether bytes to the target, or from it, are discarded.
    is_closed : bool
        Whether the side that connected has closed it.
    """

    is_silent_forward: bool = False
    is_silent_backward: bool = False
    is_closed: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Link:
    """Relays connections to one target; `connections` are all that it has had."""

    target_host: str
    target_port: int
    listener: asyncio.Server | None = None
    connections: list[Connection] = dataclasses.field(default_factory=list)
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)

    @property
    def address(self) -> str:
        """Return the address to connect to instead of the target's."""
        return f"{HOST}:{self.listener.sockets[0].getsockname()[1]}"


@contextlib.asynccontextmanager
async def run_link(target_address: str) -> AsyncIterator[Link]:
    """Relay connections to a target."""
    host, _, port = target_address.rpartition(":")
    link = Link(host, int(port))
    link.listener = await asyncio.start_server(
        lambda reader, writer: _relay_connection(link, reader, writer), HOST, 0
    )
    try:
        yield link
    finally:
        link.listener.close()
        for task in link.tasks:
            task.cancel()
        await asyncio.gather(*link.tasks, return_exceptions=True)


def silence(link: Link, *, forward: bool = True, backward: bool = True) -> None:
    """Let all connections that are open now go silent for good."""
    for connection in link.connections:
        connection.is_silent_forward = connection.is_silent_forward or forward
        connection.is_silent_backward = connection.is_silent_backward or backward


def open_silent_count(link: Link) -> int:
    """Return how many silent connections have not been closed."""
    return sum(
        (connection.is_silent_forward or connection.is_silent_backward)
        and not connection.is_closed
        for connection in link.connections
    )


async def _relay_connection(
    link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    connection = Connection()
    link.connections.append(connection)
    link.tasks.add(asyncio.current_task())
    target_reader, target_writer = await asyncio.open_connection(
        link.target_host, link.target_port
    )
    backward = asyncio.create_task(
        _relay_direction(target_reader, writer, lambda: connection.is_silent_backward)
    )
    try:
        await _relay_direction(
            reader, target_writer, lambda: connection.is_silent_forward
        )
    finally:
        connection.is_closed = True
        backward.cancel()
        target_writer.transport.abort()
        writer.transport.abort()


async def _relay_direction(reader, writer, is_silent) -> None:
    """Relay bytes until the sender ends; a silent connection hides its end."""
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_SIZE_BYTES):
            if not is_silent():
                writer.write(data)
                await writer.drain()
        if not is_silent():
            writer.close()
