"""Random bytes that a backend server may send, and what must hold after them."""

import asyncio
import contextlib
import time

import aiohttp
from hypothesis import strategies as st

from hickoryweir.forwarding import headers
from hickoryweir.forwarding.tests import sites

# The route's timeout is 2 s, and the server closes its connection at once.
LIMIT_S = 1.0
REQUEST_ID = f"{headers.REQUEST_ID}: r-1\r\n".encode()
# What the client has before a second server responds, and a part of an event.
BEGUN = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
BROKEN_OFF = b"HTTP/1.1 200 OK\r\n" + REQUEST_ID + b"\r\n" + BEGUN + b"id: 3"
STREAM_TIMEOUT_S = 2 * LIMIT_S
# No draw can contain this text, which only a whole response has.
WHOLE = b"id: 1\ndata: whole\n\n"
STATUS_LINES = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 204 No Content\r\n",
        b"HTTP/1.1 500 X\r\n",
        b"HTTP/1.1 999999 X\r\n",
        b"HTTP/1.1 000 X\r\n",
        b"HTTP/1.1 099 X\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n",
        b"HTTP/1.1 600 X\r\n",
        b"HTTP/1.1 999 X\r\n",
        b"HTTP/9.9 200\r\n",
        b"\x16\x03\x01",
        b"",
    ]
)
FIELDS = st.lists(
    st.sampled_from(
        [
            b"Content-Length: 5\r\n",
            b"Content-Length: 5\r\nContent-Length: 6\r\n",
            b"Content-Length: -1\r\n",
            b"Content-Length: 99999999999999999999\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: gzip\r\n",
            b"Content-Type: text/event-stream\r\n",
            b"Content-Type: \x00;;=\r\n",
            b"Connection: close\r\n",
            b"X: " + b"y" * 20_000 + b"\r\n",
            b"no colon\r\n",
            b" folded\r\n",
        ]
    ),
    max_size=3,
)
BODIES = st.one_of(
    st.binary(max_size=40),
    st.sampled_from(
        [
            b"5\r\nhello\r\n0\r\n\r\n",
            b"5\r\nhello\r\n0\r\nTrailer: x\r\n",
            b"fffffffffffffffff\r\n",
            b"5\r\nhelloworld",
            b"id: 1\ndata: cu",
            b"\xef\xbb\xbfid: 1\rdata: a\r\r",
            b"hello" + b"HTTP/1.1 200 OK\r\n" + REQUEST_ID + b"\r\n",
        ]
    ),
)
RESPONSES = st.builds(
    lambda status, fields, has_id, body: (
        status + b"".join(fields) + (REQUEST_ID if has_id else b"") + b"\r\n" + body
    ),
    STATUS_LINES,
    FIELDS,
    st.booleans(),
    BODIES,
)

FLOOD_TIMEOUT_S = 0.5
FLOOD_BLOCK_SIZE_BYTES = 16 * 1024
# Far beyond any bound, so that a router that reads on is noticed.
MAX_FLOOD_SIZE_BYTES = 64 * 1024 * 1024
WHOLE_UNIT = b"HTTP/1.1 200 OK\r\n" + REQUEST_ID + b"Content-Length: 2\r\n\r\nok"
# None of them, repeated, ends a response of `FLOOD_OPENINGS`.
FLOOD_UNITS = st.one_of(
    st.sampled_from(
        [
            b"x",
            b"\n",
            b"\r\n",
            b": ping\n\n",
            b"data: x\n",
            b"data: x\n\n",
            b"id: 1\ndata: x\r\r",
            b"5\r\nhello\r\n",
            b"c\r\n: ping\n\n: a\n\r\n",
            b"X: y\r\n",
            b"HTTP/1.1 103 Early Hints\r\n\r\n",
            WHOLE_UNIT,
        ]
    ),
    st.binary(min_size=1, max_size=20).filter(lambda unit: b"0" not in unit),
)
FLOOD_STATUS_LINES = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 500 X\r\n",
    ]
)
FLOOD_FRAMINGS = st.sampled_from(
    [
        b"",
        b"Content-Length: 1000000000000000\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Content-Encoding: gzip\r\nContent-Length: 1000000000000000\r\n",
    ]
)
FLOOD_OPENINGS = st.one_of(
    st.sampled_from([b"", b"HTTP/1.1 200 "]),
    st.builds(
        lambda status, framing, media_type, rest: (
            status + REQUEST_ID + media_type + framing + rest
        ),
        FLOOD_STATUS_LINES,
        FLOOD_FRAMINGS,
        st.sampled_from([b"", b"Content-Type: text/event-stream\r\n"]),
        st.sampled_from([b"X-Long: ", b"\r\n", b"\r\nfffffffffff\r\n", b"\r\n5;"]),
    ),
)


@contextlib.asynccontextmanager
async def run_flooding_backend(opening, unit, good):
    """Run a server that repeats a unit at its first connection, later sends `good`.

    Yields
    ------
    tuple
        The server, and a future of how many bytes it sent until the router closed.
    """
    sent = asyncio.get_running_loop().create_future()
    block = unit * max(1, FLOOD_BLOCK_SIZE_BYTES // len(unit))

    async def flood(writer):
        sent_size_bytes = 0
        with contextlib.suppress(ConnectionError):
            writer.write(opening)
            while sent_size_bytes < MAX_FLOOD_SIZE_BYTES:
                writer.write(block)
                await writer.drain()
                sent_size_bytes += len(block)
                # A drain that does not wait would keep the loop.
                await asyncio.sleep(0)
        return sent_size_bytes

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if sent.done():
            writer.write(good)
        else:
            sent.set_result(await flood(writer))
        writer.close()

    listener = await asyncio.start_server(handle, sites.HOST, 0)
    address = f"{sites.HOST}:{listener.sockets[0].getsockname()[1]}"
    async with listener:
        yield sites.Backend("s0", address, listener, []), sent


async def call_beside_flood(opening, unit, is_stream):
    """Call a server that sends without end, and call it again once it answers well.

    Returns
    -------
    tuple
        The first call's status, None if it was broken off; its duration; the bytes that
        the server could send; and the status and body of the second call.
    """
    route = sites.at_most_once_route(is_stream=is_stream, timeout_s=FLOOD_TIMEOUT_S)
    good = b"HTTP/1.1 200 OK\r\n" + REQUEST_ID + b"Content-Length: %d\r\n\r\n"
    good = good % len(WHOLE) + WHOLE
    async with (
        sites.run_site([], routes=(route,)) as site,
        run_flooding_backend(opening, unit, good) as (backend, sent),
    ):
        sites.list_servers(site.forwarder, [backend])
        started_s = time.monotonic()
        try:
            status, _, _ = await site.call()
        except aiohttp.ClientError:
            status = None
        elapsed_s = time.monotonic() - started_s
        sent_size_bytes = await asyncio.wait_for(sent, LIMIT_S)
        return status, elapsed_s, sent_size_bytes, (await site.call())[::2]


def check_flood(opening, unit, is_stream):
    """Check that a response without end is given up, and is no success."""
    status, elapsed_s, sent_size_bytes, later = asyncio.run(
        call_beside_flood(opening, unit, is_stream)
    )
    is_whole = opening == b"" and unit == WHOLE_UNIT
    assert status in (None, 502, 504) or (is_whole and status == 200)
    assert elapsed_s < FLOOD_TIMEOUT_S + LIMIT_S
    assert sent_size_bytes < MAX_FLOOD_SIZE_BYTES
    assert later == (200, WHOLE)


async def call_twice(response, is_stream):
    """Call while the first server sends `response`, then while it answers well."""
    route = sites.at_most_once_route(is_stream=is_stream)
    good = b"HTTP/1.1 200 OK\r\n" + REQUEST_ID + b"Content-Length: %d\r\n\r\n"
    good = good % len(WHOLE) + WHOLE
    async with (
        sites.run_site([], routes=(route,)) as site,
        sites.run_raw_backends(1, response, good) as backends,
    ):
        sites.list_servers(site.forwarder, backends)
        started_s = time.monotonic()
        try:
            status, _, _ = await site.call()
        except aiohttp.ClientError:
            status = None
        elapsed_s = time.monotonic() - started_s
        # The server has closed the first connection by then.
        await asyncio.sleep(2 * sites.PART_INTERVAL_S)
        return status, elapsed_s, (await site.call())[::2]


def check(response, is_stream):
    """Check that a response ends at once and spoils no later one."""
    status, elapsed_s, later = asyncio.run(call_twice(response, is_stream))
    assert status in (None, 200, 204, 500, 502)
    assert elapsed_s < LIMIT_S
    assert later == (200, WHOLE)
    if b"r-1" not in response:
        assert status == 502


async def resume(response):
    """Begin a stream, and let a second server send `response` to its resumption.

    Returns
    -------
    tuple
        The bytes of the client's stream, and whether it ended as complete.
    """
    async with (
        sites.run_site([], routes=(sites.resumable_route(),)) as site,
        sites.run_raw_backends(2, BROKEN_OFF, response) as backends,
    ):
        sites.list_servers(site.forwarder, backends)
        url = f"http://{sites.HOST}:{site.port}/chat/x"
        sent = {"Host": "site.example", headers.REQUEST_ID: "r-1"}
        received = b""
        async with asyncio.timeout(STREAM_TIMEOUT_S):
            try:
                async with site.client.post(url, headers=sent) as reply:
                    async for chunk in reply.content.iter_any():
                        received += chunk
            except aiohttp.ClientPayloadError:
                return received, False
        return received, True


def check_second(response):
    """Check that only a success goes on with a stream, or ends it as complete."""
    received, is_whole = asyncio.run(resume(response))
    assert received.startswith(BEGUN)
    # A success follows the interim response.
    is_interim = b"100 Continue" in response
    if b"200" not in response.split(b"\r\n")[0] and not is_interim:
        assert (received, is_whole) == (BEGUN, False)
    if b"r-1" not in response:
        assert (received, is_whole) == (BEGUN, False)
