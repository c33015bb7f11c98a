"""Requests that are still being received when a router's port stops."""

import asyncio

import uvloop

from hickoryweir.forwarding import server
from hickoryweir.forwarding.tests import sites

HOST = sites.HOST
BODY_SIZE_BYTES = 100
REST_DELAY_S = 0.2
RESPONSE_TIMEOUT_S = 10.0


def test_body_that_arrives_during_a_stop_is_not_discarded():
    head = (
        "POST /chat/x HTTP/1.1\r\nHost: site.example\r\n"
        f"Content-Length: {BODY_SIZE_BYTES}\r\n\r\n"
    )
    body = b"x" * BODY_SIZE_BYTES

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(head.encode() + body[:50])
            await sites.wait_until(lambda: site.running.open_requests)
            stopping = asyncio.create_task(server.stop(site.running, 4.8))
            await asyncio.sleep(REST_DELAY_S)
            writer.write(body[50:])
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                received = await reader.read()
            await stopping
            writer.close()
            return received

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(main()).startswith(b"HTTP/1.1 200 OK\r\n")
