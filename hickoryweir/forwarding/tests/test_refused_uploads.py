"""Responses to requests whose body is still being sent."""

import asyncio

import pytest

from hickoryweir.forwarding import server
from hickoryweir.forwarding.tests import sites, test_body_limits
from hickoryweir.routes.tests import tables

HEAD = "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r-1\r\n"
PART_SIZE_BYTES = 64 * 1024
PARTS_COUNT = 60
STOP_GRACE_S = 3.0
# Path, and the status of the refusal.
REFUSALS = [("/app/x", 503), ("/none/x", 404)]


async def send_all(port, path, is_chunked, pause_s):
    """Send a body to its end and only then read; return the response's status."""
    reader, writer = await asyncio.open_connection(sites.HOST, port)
    framing = f"Content-Length: {PARTS_COUNT * PART_SIZE_BYTES}"
    part = b"x" * PART_SIZE_BYTES
    if is_chunked:
        framing = "Transfer-Encoding: chunked"
        part = b"%x\r\n%b\r\n" % (len(part), part)
    writer.write(f"{HEAD.format(path=path)}{framing}\r\n\r\n".encode())
    for _ in range(PARTS_COUNT):
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(pause_s)
    writer.write(b"0\r\n\r\n" if is_chunked else b"")
    await writer.drain()
    response = await reader.read()
    writer.close()
    return int(response.split()[1])


@pytest.mark.parametrize("is_stopped", [False, True])
@pytest.mark.parametrize("pause_s", [0.0, 0.02])
@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize(("path", "status"), REFUSALS)
def test_client_that_sends_before_it_reads_gets_its_refusal(
    path, status, is_chunked, pause_s, is_stopped
):
    """Guards against a refusal that is lost with the reset of its connection."""

    async def main():
        route = tables.make_route("app", "/app/", allows_anonymous=True)
        async with sites.run_site([sites.answering()], routes=(route,)) as site:
            limits = test_body_limits.make_limits(PART_SIZE_BYTES // 2)
            site.forwarder.held_limits = limits
            sending = asyncio.create_task(
                send_all(site.port, path, is_chunked, pause_s)
            )
            if is_stopped:
                await asyncio.sleep(0.1)
                await server.stop(site.running, STOP_GRACE_S)
            return await sending, site.backends[0].seen

    found, seen = asyncio.run(main())
    assert found == status
    assert not seen
