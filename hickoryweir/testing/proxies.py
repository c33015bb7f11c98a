"""A loopback proxy that delays, stalls or resets connections."""

import asyncio
import contextlib
import dataclasses

HOST = "127.0.0.1"
READ_SIZE_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True, eq=False)
class Direction:
    """One direction of an open connection; `is_silent` if its bytes are discarded."""

    is_silent: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """The directions of an open connection, to the target and from it."""

    forward: Direction = dataclasses.field(default_factory=Direction)
    backward: Direction = dataclasses.field(default_factory=Direction)


@dataclasses.dataclass(slots=True, eq=False)
class Proxy:
    """Listens on a port of its own and relays each connection to one target.

    A stalled direction keeps its connections open and relays nothing; bytes sent
    meanwhile are relayed once the direction is enabled again.

    Attributes
    ----------
    forward, backward : asyncio.Event
        Set while bytes are relayed to the target, and from the target.
    writers : set
        Writers to both sides of every open connection.
    connections : set
        The open connections.
    """

    target_host: str
    target_port: int
    delay_s: float
    forward: asyncio.Event
    backward: asyncio.Event
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)
    connections: set[Connection] = dataclasses.field(default_factory=set)
    server: asyncio.Server | None = None
    port: int = 0


async def start_proxy(
    target_host: str, target_port: int, delay_s: float = 0.0, host: str = HOST
) -> Proxy:
    """Return a listening proxy that relays both directions."""
    proxy = Proxy(target_host, target_port, delay_s, asyncio.Event(), asyncio.Event())
    proxy.forward.set()
    proxy.backward.set()
    proxy.server = await asyncio.start_server(
        lambda reader, writer: relay_connection(proxy, reader, writer), host, 0
    )
    proxy.port = proxy.server.sockets[0].getsockname()[1]
    return proxy


def set_relaying(direction: asyncio.Event, enabled: bool) -> None:
    """Enable or stall one direction of a proxy."""
    if enabled:
        direction.set()
    else:
        direction.clear()


def reset_all(proxy: Proxy) -> None:
    """Abort every open connection on both sides."""
    for writer in list(proxy.writers):
        writer.transport.abort()


def silence_open(proxy: Proxy, forward: bool, backward: bool) -> None:
    """Let the open connections carry no byte any more in one or both directions.

    They stay open and are read from, so each sender sees its bytes acknowledged.  In a
    silent direction the end of a connection isn't relayed either.  New ones work.
    """
    for connection in proxy.connections:
        connection.forward.is_silent |= forward
        connection.backward.is_silent |= backward


async def relay_connection(
    proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Relay one connection in both directions until either side ends."""
    tasks, target_writer, connection = {}, None, Connection()
    ways = (connection.forward, connection.backward)
    proxy.writers.add(writer)
    with contextlib.suppress(OSError, asyncio.CancelledError):
        target_reader, target_writer = await asyncio.open_connection(
            proxy.target_host, proxy.target_port
        )
        proxy.writers.add(target_writer)
        proxy.connections.add(connection)
        forward = _relay_direction(proxy, proxy.forward, ways, reader, target_writer)
        backward = _relay_direction(
            proxy, proxy.backward, ways[::-1], target_reader, writer
        )
        tasks = {
            asyncio.create_task(forward): connection.forward,
            asyncio.create_task(backward): connection.backward,
        }
        ended, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        if all(tasks[task].is_silent for task in ended):
            # The other side isn't told; what it sends has no receiver any more.
            connection.forward.is_silent = connection.backward.is_silent = True
            await asyncio.wait(tasks)
    for task in tasks:
        task.cancel()
    proxy.connections.discard(connection)
    for side in (writer, target_writer):
        if side is not None:
            proxy.writers.discard(side)
            side.transport.abort()


async def _relay_direction(
    proxy: Proxy,
    passing: asyncio.Event,
    ways: tuple[Direction, Direction],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Relay bytes in one direction after the proxy's delay, while it is enabled.

    `ways` are the direction itself and the opposite one.
    """
    own, opposite = ways
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_SIZE_BYTES):
            if not own.is_silent:
                await passing.wait()
            if proxy.delay_s:
                await asyncio.sleep(proxy.delay_s)
            if own.is_silent:
                continue
            try:
                writer.write(data)
                await writer.drain()
            except OSError:
                if not opposite.is_silent:
                    return
                own.is_silent = True
