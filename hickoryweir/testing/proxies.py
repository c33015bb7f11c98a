"""A loopback proxy that delays, stalls, silences or resets connections."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

HOST = "127.0.0.1"
READ_SIZE_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True, eq=False)
class Direction:
    """One direction of a relayed connection.

    A silent one drops what it reads, and does not tell its receiver of the end.

    Attributes
    ----------
    has_ended : bool
        Whether its sender has closed the connection.
    """

    is_silent: bool = False
    has_ended: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Relayed:
    """A connection that a proxy relays."""

    forward: Direction = dataclasses.field(default_factory=Direction)
    backward: Direction = dataclasses.field(default_factory=Direction)


@dataclasses.dataclass(slots=True, eq=False)
class Proxy:
    """Listens on a port of its own and relays each connection to one target.

    A stalled direction keeps its connections open and relays nothing; bytes sent
    meanwhile are relayed once the direction is enabled again.  Connections that
    :func:`silence_open` has silenced stay so, while new ones are relayed.

    Attributes
    ----------
    forward, backward : asyncio.Event
        Set while bytes are relayed to the target, and from the target.
    writers : set
        Writers to both sides of every open connection.
    relayed : set
        The open connections.
    accepted_count : int
        Number of connections that were ever accepted.
    """

    target_host: str
    target_port: int
    delay_s: float
    forward: asyncio.Event
    backward: asyncio.Event
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)
    relayed: set[Relayed] = dataclasses.field(default_factory=set)
    accepted_count: int = 0
    server: asyncio.Server | None = None
    port: int = 0

    @property
    def address(self) -> str:
        """Return the address to connect to instead of the target's."""
        return f"{HOST}:{self.port}"


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


@contextlib.asynccontextmanager
async def run_proxy(target_address: str) -> AsyncIterator[Proxy]:
    """Relay connections to a target until the block ends."""
    host, _, port = target_address.rpartition(":")
    proxy = await start_proxy(host, int(port))
    try:
        yield proxy
    finally:
        proxy.server.close()
        reset_all(proxy)


def set_relaying(direction: asyncio.Event, enabled: bool) -> None:
    """Enable or stall one direction of a proxy."""
    if enabled:
        direction.set()
    else:
        direction.clear()


def silence_open(proxy: Proxy, forward: bool = True, backward: bool = True) -> None:
    """Silence the connections that are open now, in one direction or both."""
    for relayed in proxy.relayed:
        relayed.forward.is_silent |= forward
        relayed.backward.is_silent |= backward


def open_silent_count(proxy: Proxy) -> int:
    """Return how many silent connections have not been closed by who opened them."""
    return sum(
        (relayed.forward.is_silent or relayed.backward.is_silent)
        and not relayed.forward.has_ended
        for relayed in proxy.relayed
    )


def reset_all(proxy: Proxy) -> None:
    """Abort every open connection on both sides."""
    for writer in list(proxy.writers):
        writer.transport.abort()


async def relay_connection(
    proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Relay one connection in both directions until either side ends."""
    relayed, tasks, target_writer = Relayed(), [], None
    proxy.writers.add(writer)
    proxy.relayed.add(relayed)
    proxy.accepted_count += 1
    with contextlib.suppress(OSError, asyncio.CancelledError):
        target_reader, target_writer = await asyncio.open_connection(
            proxy.target_host, proxy.target_port
        )
        proxy.writers.add(target_writer)
        tasks = [
            asyncio.create_task(
                _relay_direction(
                    proxy, proxy.forward, relayed.forward, reader, target_writer
                )
            ),
            asyncio.create_task(
                _relay_direction(
                    proxy, proxy.backward, relayed.backward, target_reader, writer
                )
            ),
        ]
        await _wait_for_end(relayed, tasks)
    for task in tasks:
        task.cancel()
    proxy.relayed.discard(relayed)
    for side in (writer, target_writer):
        if side is not None:
            proxy.writers.discard(side)
            side.transport.abort()


async def _wait_for_end(relayed: Relayed, tasks: list[asyncio.Task]) -> None:
    """Wait until an end that is relayed, or until both sides have ended."""
    forward, backward = tasks
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    if forward.done() and relayed.forward.is_silent:
        relayed.backward.is_silent = True
        await backward
    elif backward.done() and relayed.backward.is_silent:
        relayed.forward.is_silent = True
        await forward


async def _relay_direction(
    proxy: Proxy,
    passing: asyncio.Event,
    direction: Direction,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Relay bytes in one direction after the proxy's delay, while it is enabled."""
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_SIZE_BYTES):
            if direction.is_silent:
                continue
            await passing.wait()
            if proxy.delay_s:
                await asyncio.sleep(proxy.delay_s)
            writer.write(data)
            await writer.drain()
    direction.has_ended = True
