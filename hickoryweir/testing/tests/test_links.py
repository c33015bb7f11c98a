"""A link delays bytes and ends, lets resets overtake, and reads in small parts."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
import time

import pytest

from hickoryweir.testing import links, running, waiting

DELAY_S = 0.05
# Several times what a link reads at a time.
LARGE_SIZE_BYTES = 60_000
INT = struct.Struct("i")
LIMIT_S = 5.0


class Delays:
    """Stands for a generator, and draws what it is told."""

    def __init__(self, delays_s):
        self.delays_s = delays_s

    def uniform(self, low_s, high_s):
        """Return the next delay."""
        return self.delays_s.pop(0)


@contextlib.asynccontextmanager
async def linked_pair(forward_s=DELAY_S, backward_s=DELAY_S):
    """Yield a client's socket and the target's, linked, and the link."""
    loop = asyncio.get_running_loop()
    with links.run() as links_loop, socket.create_server((links.HOST, 0)) as listener:
        listener.setblocking(False)
        port = listener.getsockname()[1]
        delays_s = (min(forward_s, backward_s), DELAY_S)
        async with links.open_link(
            links_loop, links.HOST, port, delays_s, "seed"
        ) as link:
            link.generator = Delays([forward_s, backward_s])
            with socket.socket() as client:
                client.setblocking(False)
                await loop.sock_connect(client, (links.HOST, link.port))
                target, _ = await loop.sock_accept(listener)
                assert await loop.sock_recv(client, 1) == links.CONNECTED
                with target:
                    target.setblocking(False)
                    yield client, target, link


def holds(link, *parts):
    """Return whether one side of the only connection holds these parts."""
    return any([data for _, data in side.held] == [*parts] for side in link.sides)


def reset(sock):
    """Close a socket with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, links.CLOSE_WITH_RESET)
    sock.close()


def test_bytes_come_after_the_delay_in_their_order():
    async def main():
        loop = asyncio.get_running_loop()
        async with linked_pair() as (client, target, _):
            began_s = time.monotonic()
            await loop.sock_sendall(client, b"first ")
            await loop.sock_sendall(client, b"second")
            received = b""
            while len(received) < len(b"first second"):
                received += await loop.sock_recv(target, 100)
            assert received == b"first second"
            # Timers of the event loop have milliseconds.
            assert time.monotonic() - began_s >= DELAY_S - 0.002

    asyncio.run(main())


def test_each_direction_ends_by_itself():
    async def main():
        loop = asyncio.get_running_loop()
        async with linked_pair() as (client, target, _):
            client.shutdown(socket.SHUT_WR)
            assert await loop.sock_recv(target, 1) == b""
            await loop.sock_sendall(target, b"answer")
            assert await loop.sock_recv(client, 100) == b"answer"
            target.shutdown(socket.SHUT_WR)
            assert await loop.sock_recv(client, 1) == b""

    asyncio.run(main())


def test_reset_overtakes_what_is_held():
    async def main():
        loop = asyncio.get_running_loop()
        async with linked_pair(0.0, 0.5) as (client, target, link):
            await loop.sock_sendall(target, b"last bytes")
            await waiting.wait_until(lambda: holds(link, b"last bytes"), LIMIT_S)
            reset(target)
            with pytest.raises(ConnectionResetError):
                await loop.sock_recv(client, 100)
            assert link.resets_count == 1
            assert link.dropped_size_bytes == len(b"last bytes")

    asyncio.run(main())


def test_reset_by_a_closed_target_overtakes_its_end():
    async def main():
        loop = asyncio.get_running_loop()
        async with linked_pair(0.0, 0.5) as (client, target, link):
            await loop.sock_sendall(target, b"last bytes")
            target.close()
            await waiting.wait_until(lambda: holds(link, b"last bytes", b""), LIMIT_S)
            # The client's next bytes cross the end, and meet a closed socket.
            await loop.sock_sendall(client, b"next")
            with pytest.raises(ConnectionResetError):
                await loop.sock_recv(client, 100)
            assert link.dropped_size_bytes == len(b"last bytes")

    asyncio.run(main())


def test_what_a_link_has_not_read_stays_in_the_targets_send_queue():
    async def main():
        loop = asyncio.get_running_loop()
        async with linked_pair(0.0, 0.1) as (client, target, link):
            sent_size_bytes = target.send(bytes(LARGE_SIZE_BYTES))
            await waiting.wait_until(lambda: link.silent_sides, LIMIT_S)
            packed = fcntl.ioctl(target, termios.TIOCOUTQ, INT.pack(0))
            assert INT.unpack(packed)[0] > sent_size_bytes // 2
            received_size_bytes = 0
            target.shutdown(socket.SHUT_WR)
            while data := await loop.sock_recv(client, LARGE_SIZE_BYTES):
                received_size_bytes += len(data)
            assert received_size_bytes == sent_size_bytes

    asyncio.run(main())


def test_link_without_a_target_resets():
    async def main():
        loop = asyncio.get_running_loop()
        with running.bind_port(links.HOST, 0) as unused, links.run() as links_loop:
            port = unused.getsockname()[1]
            async with links.open_link(
                links_loop, links.HOST, port, (0.0, 0.0), "seed"
            ) as link:
                with socket.socket() as client:
                    client.setblocking(False)
                    await loop.sock_connect(client, (links.HOST, link.port))
                    with pytest.raises(ConnectionResetError):
                        await loop.sock_recv(client, 1)

    asyncio.run(main())
