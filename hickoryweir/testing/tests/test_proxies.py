"""Connections through a proxy that go silent stay open, and new ones are relayed."""

import asyncio
import contextlib

import pytest

from hickoryweir.testing import proxies, waiting

TIMEOUT_S = 5.0
# Long enough for bytes that are relayed over loopback.
SILENCE_S = 0.2


@contextlib.asynccontextmanager
async def run_proxy():
    """Run a proxy before a server; yield it and a function that opens a connection."""
    accepted: asyncio.Queue = asyncio.Queue()
    sides = []

    async def connect():
        """Return the reader and writer of both sides of a new connection."""
        async with asyncio.timeout(TIMEOUT_S):
            sides.append(await asyncio.open_connection(proxies.HOST, proxy.port))
            sides.append(await accepted.get())
        outer, inner = sides[-2:]
        assert await carries(outer, inner)
        assert await carries(inner, outer)
        return outer, inner

    server = await asyncio.start_server(
        lambda reader, writer: accepted.put_nowait((reader, writer)), proxies.HOST, 0
    )
    port = server.sockets[0].getsockname()[1]
    proxy = await proxies.start_proxy(proxies.HOST, port)
    try:
        yield proxy, connect
    finally:
        for _, writer in sides:
            writer.transport.abort()
        await waiting.wait_until(lambda: not proxy.relayed, TIMEOUT_S)
        proxy.server.close()
        server.close()


async def carries(sender, receiver) -> bool:
    """Return whether a byte that one side sends reaches the other."""
    sender[1].write(b"x")
    try:
        async with asyncio.timeout(SILENCE_S):
            return await receiver[0].read(1) == b"x"
    except TimeoutError:
        return False


@pytest.mark.parametrize("forward", [False, True])
@pytest.mark.parametrize("backward", [False, True])
def test_silent_directions_carry_nothing_and_new_connections_work(forward, backward):
    async def play():
        async with run_proxy() as (proxy, connect):
            outer, inner = await connect()
            proxies.silence_open(proxy, forward, backward)
            assert await carries(outer, inner) is not forward
            assert await carries(inner, outer) is not backward
            await connect()

    asyncio.run(play())


def test_silent_connection_takes_all_bytes_of_its_sender():
    async def play():
        async with run_proxy() as (proxy, connect):
            outer, _ = await connect()
            proxies.silence_open(proxy, forward=True, backward=True)
            async with asyncio.timeout(TIMEOUT_S):
                for _ in range(200):
                    outer[1].write(b"x" * proxies.READ_SIZE_BYTES)
                    await outer[1].drain()

    asyncio.run(play())


@pytest.mark.parametrize("backward", [False, True])
def test_end_of_a_silent_connection_is_not_relayed(backward):
    async def play():
        async with run_proxy() as (proxy, connect):
            outer, inner = await connect()
            proxies.silence_open(proxy, forward=True, backward=backward)
            outer[1].transport.abort()
            for _ in range(5):
                # What is sent to a side that has gone is lost as well.
                assert not await carries(outer, inner)
                inner[1].write(b"x")
            assert not inner[0].at_eof()
            inner[1].transport.abort()
            await waiting.wait_until(lambda: not proxy.relayed, TIMEOUT_S)

    asyncio.run(play())


def test_end_of_a_connection_is_relayed_in_the_direction_that_works():
    async def play():
        async with run_proxy() as (proxy, connect):
            outer, inner = await connect()
            proxies.silence_open(proxy, forward=True, backward=False)
            inner[1].transport.abort()
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(TIMEOUT_S):
                    assert await outer[0].read(1) == b""

    asyncio.run(play())
