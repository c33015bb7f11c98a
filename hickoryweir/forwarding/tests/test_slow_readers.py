"""Tests of clients that read slowly or not at all."""

import asyncio

import pytest
from aiohttp import web

from hickoryweir import unacknowledged
from hickoryweir.forwarding import headers
from hickoryweir.forwarding.tests import sites
from hickoryweir.forwarding_policy import held_bytes

HEAD = (
    f"GET /chat/1 HTTP/1.1\r\nHost: site.example\r\n{headers.REQUEST_ID}: r-1\r\n\r\n"
)
# More than the buffers of both sockets take.
LARGE_TEXT = "x" * 4_000_000
STALL_S = 1.0
MEMORY_MB = 200.0
STREAM_KB = 128
# Otherwise the kernel takes the whole response.
SEND_KB = 64
# 20 MB, more than the buffers of the server and of the kernel take.
EVENTS_COUNT = 2_000
LIMITS = {
    "accounts": held_bytes.derive_limits(
        MEMORY_MB, stream_kb=STREAM_KB, send_kb=SEND_KB
    ),
    "vm": held_bytes.derive_vm_limits(MEMORY_MB),
}


async def ask(site):
    """Send a request from a client with small buffers; return its streams."""
    reader, writer = await sites.open_slow_reader(site.port)
    writer.write(HEAD.encode())
    await reader.readexactly(100)
    return reader, writer


def run_bounded(scenario, answer, monkeypatch, limits=LIMITS["accounts"], **options):
    """Run a scenario with a router whose memory limit is known."""
    monkeypatch.setattr(held_bytes, "MIN_STALL_TIMEOUT_S", STALL_S)
    monkeypatch.setattr(held_bytes, "STALL_TIMEOUTS_COUNT", 0)

    async def main():
        async with sites.run_site([answer], **options) as site:
            site.forwarder.held_limits = limits
            return await scenario(site)

    return asyncio.run(main())


@pytest.mark.parametrize("limits", LIMITS.values(), ids=LIMITS)
def test_client_that_reads_nothing_is_disconnected(monkeypatch, limits):
    """Guards against responses that are held for ever."""

    async def scenario(site):
        await ask(site)
        (connection,) = site.running.server.connections
        await sites.wait_until(lambda: connection.unsent_size_bytes > 0)
        await sites.wait_until(lambda: not site.running.server.connections)
        return len(site.forwarder.open_requests)

    answer = sites.answering(text=LARGE_TEXT)
    assert run_bounded(scenario, answer, monkeypatch, limits) <= 1


@pytest.mark.parametrize("limits", LIMITS.values(), ids=LIMITS)
def test_client_that_reads_slowly_is_not_disconnected(monkeypatch, limits):
    """Guards against slow but healthy clients that are cut off."""

    async def scenario(site):
        reader, writer = await ask(site)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 4 * STALL_S
        while loop.time() < end_s:
            await reader.read(8_192)
            await asyncio.sleep(0.05)
        is_open = len(site.running.server.connections) == 1
        # The rest arrives at once when it is read.
        received_count = 100
        while chunk := await reader.read(1 << 20):
            received_count += len(chunk)
            if b"x" * 10 in chunk and received_count > 1_500_000:
                break
        writer.close()
        return is_open

    answer = sites.answering(text=LARGE_TEXT)
    assert run_bounded(scenario, answer, monkeypatch, limits)


def test_stream_for_a_slow_client_is_buffered_up_to_its_bound(monkeypatch):
    """Guards against a stream that is read from its server without end."""
    sent = []

    async def answer(request, body):
        response = web.StreamResponse(
            headers={headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
        )
        response.content_type = "text/event-stream"
        await response.prepare(request)
        for number in range(EVENTS_COUNT):
            await response.write(b"id: %d\ndata: %s\n\n" % (number, b"x" * 10_000))
            sent.append(number)
        return response

    async def scenario(site):
        _, writer = await ask(site)
        (connection,) = site.running.server.connections
        await sites.wait_until(lambda: connection.unsent_size_bytes > 64 * 1024)
        await asyncio.sleep(0.5)
        held = connection.unsent_size_bytes
        writer.close()
        return held

    held = run_bounded(scenario, answer, monkeypatch, routes=(sites.resumable_route(),))
    # The event that reaches the bound is written whole, in pieces.
    assert held <= STREAM_KB * 1024 + 2 * held_bytes.PIECE_SIZE_BYTES
    assert len(sent) < EVENTS_COUNT


def test_unacknowledged_bytes_of_a_closed_transport_are_none():
    """Guards against an error in the check of all connections."""

    class Closed:
        def get_extra_info(self, name):
            return None

    assert unacknowledged.size_bytes(Closed()) == 0
