"""Raw exchanges with the callers' HTTP server, and checks of every response."""

import asyncio
import contextlib
import http.client
import io
import json

from hickoryweir.callers import server
from hickoryweir.callers.tests import fakes
from hickoryweir.outcomes import refusals

RESPONSE_TIMEOUT_S = 20.0
# Idle time after which a response is taken as complete.
QUIET_S = 0.03
INTERNAL_DETAILS = (
    b"Traceback",
    b"site-packages",
    b".py",
    b"/work/",
    b"/usr/",
    b"/home/",
)
VALID_REQUEST = b"GET /v1/models HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
VALID_REQUEST += f"Authorization: Bearer {fakes.KEY}\r\n\r\n".encode()


class ReceivedSocket(io.BytesIO):
    """Received bytes as a socket that ``http.client`` can read."""

    def makefile(self, mode):
        """Return this object."""
        return self

    def close(self):
        """Do nothing, since more responses may follow in the bytes."""


@contextlib.asynccontextmanager
async def listening(daemon):
    """Run the callers' HTTP server and yield its port."""
    running = await server.start(daemon)
    try:
        yield running.port
    finally:
        await server.stop(running)


async def receive(reader, limit_s):
    """Return the bytes received until end of file or an idle time of `limit_s`."""
    received = b""
    with contextlib.suppress(TimeoutError, ConnectionError):
        while chunk := await asyncio.wait_for(reader.read(65_536), limit_s):
            received += chunk
    return received


async def send(port, data, limit_s=RESPONSE_TIMEOUT_S):
    """Send bytes on a new connection and return the received bytes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    received = await receive(reader, limit_s)
    writer.close()
    with contextlib.suppress(ConnectionError):
        await writer.wait_closed()
    return received


def parse(received):
    """Return (status, body) of each response."""
    socket = ReceivedSocket(received)
    responses = []
    while socket.tell() < len(received):
        response = http.client.HTTPResponse(socket)
        response.begin()
        responses.append((response.status, response.read()))
    return responses


def check(received):
    """Assert that responses are complete, errors typed, and no internals leak."""
    assert not [detail for detail in INTERNAL_DETAILS if detail in received]
    responses = parse(received)
    for status, body in responses:
        assert status != 500, body
        if status >= 400:
            error = json.loads(body)["error"]
            reason = refusals.Reason(error["code"])
            assert refusals.HTTP_STATUS[reason] == status
            assert refusals.Ran(error["ran"])
    return responses


def exchange(data, limit_s=RESPONSE_TIMEOUT_S):
    """Send bytes to a new server; check the responses and that it still serves."""

    async def run():
        async with listening(fakes.make_daemon()) as port:
            received = await send(port, data, limit_s)
            afterwards = await send(port, VALID_REQUEST)
        return received, afterwards

    received, afterwards = asyncio.run(run())
    assert [status for status, _ in check(afterwards)] == [200]
    return check(received)


def make_request(path, body=b"", method=b"POST", headers=()):
    """Return the bytes of a request with the test account's key."""
    all_headers = {
        b"Host": b"x",
        b"Authorization": f"Bearer {fakes.KEY}".encode(),
        b"Connection": b"close",
        b"Content-Length": str(len(body)).encode(),
        **dict(headers),
    }
    lines = [b"%b: %b\r\n" % item for item in all_headers.items()]
    return b"%b %b HTTP/1.1\r\n%b\r\n%b" % (method, path, b"".join(lines), body)
