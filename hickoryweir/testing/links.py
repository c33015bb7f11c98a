"""A link between clients and one address: round trips, small windows, and resets.

Each direction of a connection holds bytes, and the end of its sender, for a delay of
its own.  A reset overtakes: it arrives after the least delay and drops what is still
held, as a network and the receiving kernel may.  What the target sends is read in parts
of a few KiB, so that the rest stays in the target's send queue.

Links run on an event loop in a thread of their own (:func:`run`), so that the event
loop of the test does not add its own delays.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random
import socket
import struct
import threading
from collections.abc import AsyncIterator, Iterator

import uvloop

HOST = "127.0.0.1"
RECEIVE_BUFFER_SIZE_BYTES = 8 * 1024
# A direction that holds as much reads no further.
HELD_MAX_SIZE_BYTES = 8 * 1024
# A link that has a connection to its target says so first, and resets it without one.
CONNECTED = b"+"
RESET_CHECK_INTERVAL_S = 0.001
CLOSE_WITH_RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass(slots=True, eq=False)
class Link:
    """A link to one address.

    Attributes
    ----------
    delays_s : tuple of float
        Bounds of the delay of each direction of a connection.
    sides, silent_sides : set
        Both sides of the open connections, and those of them that are not read from.
    connections_count, resets_count : int
        Connections to the target, and resets that were passed on.
    dropped_size_bytes : int
        What resets have overtaken.
    late_s : float
        Longest time by which something was passed on later than its delay.
    """

    target_host: str
    target_port: int
    delays_s: tuple[float, float]
    generator: random.Random
    sides: set = dataclasses.field(default_factory=set)
    silent_sides: set = dataclasses.field(default_factory=set)
    connections_count: int = 0
    resets_count: int = 0
    dropped_size_bytes: int = 0
    late_s: float = 0.0
    port: int = 0


class _Side(asyncio.Protocol):
    """One side of a connection; what it receives is delivered to the other side."""

    def __init__(self, link: Link, sock: socket.socket) -> None:
        self.link, self.sock = link, sock
        self.loop = asyncio.get_running_loop()
        self.delay_s = link.generator.uniform(*link.delays_s)
        self.transport: asyncio.Transport | None = None
        self.other: _Side | None = None
        # Due times and bytes; no bytes stand for the end.
        self.held: collections.deque[tuple[float, bytes]] = collections.deque()
        self.held_size_bytes = 0
        self.has_ended = self.has_passed_end = self.is_closed = False
        self.is_paused = self.is_other_full = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=HELD_MAX_SIZE_BYTES)
        self.link.sides.add(self)

    def data_received(self, data: bytes) -> None:
        self._hold(data)

    def eof_received(self) -> bool:
        self.has_ended = True
        self.link.silent_sides.add(self)
        self._hold(b"")
        return True

    def connection_lost(self, exc: BaseException | None) -> None:
        self.link.sides.discard(self)
        self.link.silent_sides.discard(self)
        if not self.is_closed:
            self.is_closed = True
            self._pass_reset()

    def pause_writing(self) -> None:
        self.other.is_other_full = True
        self.other.update_reading()

    def resume_writing(self) -> None:
        self.other.is_other_full = False
        self.other.update_reading()

    def update_reading(self) -> None:
        """Read on, or no further while enough is held."""
        is_full = self.is_other_full or self.held_size_bytes >= HELD_MAX_SIZE_BYTES
        is_over = self.has_ended or self.is_closed or self.transport.is_closing()
        if is_over or is_full is self.is_paused:
            return
        self.is_paused = is_full
        if is_full:
            self.transport.pause_reading()
            self.link.silent_sides.add(self)
        else:
            self.transport.resume_reading()
            self.link.silent_sides.discard(self)

    def check_reset(self) -> None:
        """Find a reset that a transport which does not read does not report."""
        if self.is_closed or self.transport.is_closing():
            return
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.is_closed = True
            self.transport.abort()
            self._pass_reset()

    def close(self, with_reset: bool) -> None:
        """Close this side, after what was delivered to it or with a reset."""
        if self.is_closed or self.transport is None:
            return
        self.is_closed = True
        if not with_reset:
            self.transport.close()
            return
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_WITH_RESET)
        self.transport.abort()

    def _hold(self, data: bytes) -> None:
        self.held.append((self.loop.time() + self.delay_s, data))
        self.held_size_bytes += len(data)
        self.loop.call_later(self.delay_s, self._deliver)
        self.update_reading()

    def _deliver(self) -> None:
        if not self.held or self.other.is_closed:
            return
        due_s, data = self.held.popleft()
        self.link.late_s = max(self.link.late_s, self.loop.time() - due_s)
        self.held_size_bytes -= len(data)
        if data:
            self.other.transport.write(data)
        else:
            self.has_passed_end = True
            self.other.transport.write_eof()
        if self.has_passed_end and self.other.has_passed_end:
            self.close(False)
            self.other.close(False)
        else:
            self.update_reading()

    def _pass_reset(self) -> None:
        """Reset the other side after the least delay, ahead of what is held then."""
        self.loop.call_later(self.link.delays_s[0], self._overtake)

    def _overtake(self) -> None:
        self.link.resets_count += 1
        self.link.dropped_size_bytes += self.held_size_bytes
        self.held.clear()
        self.other.close(True)


@contextlib.contextmanager
def run() -> Iterator[asyncio.AbstractEventLoop]:
    """Run an event loop for links in a thread of its own; yield it."""
    loop = uvloop.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, name="links")
    thread.start()
    try:
        yield loop
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


@contextlib.asynccontextmanager
async def open_link(
    loop: asyncio.AbstractEventLoop,
    target_host: str,
    target_port: int,
    delays_s: tuple[float, float],
    seed: str,
) -> AsyncIterator[Link]:
    """Link clients to an address until the block ends.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The event loop of :func:`run`.
    target_host, target_port : str, int
        The address.
    delays_s : tuple of float
        Bounds of the delay of each direction of a connection.
    seed : str
        Draws the delays.
    """
    link = Link(target_host, target_port, delays_s, random.Random(seed))
    listener = socket.create_server((HOST, 0), backlog=1024)
    listener.setblocking(False)
    link.port = listener.getsockname()[1]
    serving = asyncio.run_coroutine_threadsafe(_serve(link, listener), loop)
    try:
        yield link
    finally:
        if serving.done():
            serving.result()
        serving.cancel()
        closing = asyncio.run_coroutine_threadsafe(_close(link), loop)
        await asyncio.wrap_future(closing)


async def _serve(link: Link, listener: socket.socket) -> None:
    """Accept connections, and look for resets, until cancelled."""
    loop = asyncio.get_running_loop()
    with listener:
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(_check_resets(link))
            while True:
                sock, _ = await loop.sock_accept(listener)
                tasks.create_task(_connect(link, sock))


async def _check_resets(link: Link) -> None:
    while True:
        await asyncio.sleep(RESET_CHECK_INTERVAL_S)
        for side in list(link.silent_sides):
            side.check_reset()


async def _connect(link: Link, sock: socket.socket) -> None:
    """Connect an accepted connection to the target, or reset it."""
    loop = asyncio.get_running_loop()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    target_sock = socket.socket()
    target_sock.setblocking(False)
    target_sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE_BYTES
    )
    try:
        await loop.sock_connect(target_sock, (link.target_host, link.target_port))
    except OSError:
        target_sock.close()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_WITH_RESET)
        sock.close()
        return
    client, target = _Side(link, sock), _Side(link, target_sock)
    client.other, target.other = target, client
    await loop.connect_accepted_socket(lambda: client, sock)
    await loop.create_connection(lambda: target, sock=target_sock)
    link.connections_count += 1
    if client.is_closed:
        target.close(True)
    else:
        client.transport.write(CONNECTED)


async def _close(link: Link) -> None:
    for side in list(link.sides):
        side.close(True)
