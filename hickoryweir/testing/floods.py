"""Backend servers that send without end, and clients that call them.

Both run as processes of their own, since they take as much processor time as they get::

    python -m hickoryweir.testing.floods serve HOST
    python -m hickoryweir.testing.floods call HOST PORT PATH CLIENTS SECONDS READS

``serve`` prints the port of each form of :data:`FORMS` as one JSON object, and serves
until its standard input ends.
"""

import asyncio
import contextlib
import dataclasses
import json
import sys
import time
from collections.abc import Callable

from hickoryweir.forwarding import headers

BLOCK_SIZE_BYTES = 64 * 1024
READ_SIZE_BYTES = 256 * 1024
# A client that calls more often would measure calls and not what they bring.
PAUSE_S = 0.5
HEAD_END = b"\r\n\r\n"
PLAIN = b"text/plain"
EVENTS = b"text/event-stream"
ENDLESS_LENGTH = b"Content-Length: 1000000000000000\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """What a server sends: a beginning, then blocks without end.

    Attributes
    ----------
    begin : callable
        Returns the first bytes of a response for the id of its request.
    repeat : callable
        Returns the block that follows, again and again.
    is_stream : bool
        Whether the response belongs on a route of streams.
    """

    begin: Callable[[bytes], bytes]
    repeat: Callable[[bytes], bytes]
    is_stream: bool = False


def _head(request_id: bytes, media_type: bytes, fields: bytes, status: bytes) -> bytes:
    return (
        b"HTTP/1.1 " + status + b"\r\n"
        b"X-Request-Id: " + request_id + b"\r\n"
        b"Content-Type: " + media_type + b"\r\n" + fields + b"\r\n"
    )


def _fill(unit: bytes) -> bytes:
    """Return as many copies of a unit as fit into a block."""
    return unit * max(1, BLOCK_SIZE_BYTES // len(unit))


def _make_body(
    fields: bytes, unit: bytes, status: bytes = b"200 OK", first: bytes = b""
) -> Form:
    def begin(request_id: bytes) -> bytes:
        return _head(request_id, PLAIN, fields, status) + first

    block = _fill(unit)
    return Form(begin, lambda request_id: block)


def _make_stream(unit: bytes, first: bytes = b"") -> Form:
    def begin(request_id: bytes) -> bytes:
        return _head(request_id, EVENTS, b"", b"200 OK") + first

    block = _fill(unit)
    return Form(begin, lambda request_id: block, is_stream=True)


def _make_further_responses() -> Form:
    """Return whole responses without end, all with the id of the request."""

    def respond(request_id: bytes) -> bytes:
        return _head(request_id, PLAIN, b"Content-Length: 2\r\n", b"200 OK") + b"ok"

    return Form(respond, lambda request_id: _fill(respond(request_id)))


CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
REFUSED = b"503 Service Unavailable"
NOT_RUN = headers.NOT_RUN.encode() + b": 1\r\n"
FORMS: dict[str, Form] = {
    "length": _make_body(ENDLESS_LENGTH, b"x"),
    "chunks": _make_body(CHUNKED, CHUNK),
    "one_chunk": _make_body(CHUNKED, b"x", first=b"fffffffffff\r\n"),
    "unframed": _make_body(b"", b"x"),
    "refusal": _make_body(NOT_RUN + ENDLESS_LENGTH, b"x", REFUSED),
    "gzip": _make_body(b"Content-Encoding: gzip\r\n" + ENDLESS_LENGTH, b"x"),
    "further_responses": _make_further_responses(),
    "surplus": _make_body(b"Content-Length: 2\r\n", b"x", first=b"ok"),
    "head": Form(
        lambda request_id: b"HTTP/1.1 200 OK\r\nX-Long: ", lambda _: _fill(b"x")
    ),
    "comments": _make_stream(b": ping\n\n"),
    "blank_lines": _make_stream(b"\n"),
    "events": _make_stream(b"data: x\n\n"),
    "one_event": _make_stream(b"x", first=b"data: "),
    "fields": _make_stream(b"data: x\n"),
}


async def _serve_connection(
    form: Form, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer the first request of a connection without end."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        head = await reader.readuntil(HEAD_END)
        request_id = _field(head, headers.REQUEST_ID)
        writer.write(form.begin(request_id))
        block = form.repeat(request_id)
        while True:
            writer.write(block)
            await writer.drain()
            # A drain that does not wait would keep this loop for one connection.
            await asyncio.sleep(0)
    writer.close()


def _field(head: bytes, name: str) -> bytes:
    """Return the value of a header field; empty without it."""
    wanted = name.lower().encode() + b":"
    for line in head.split(b"\r\n"):
        if line.lower().startswith(wanted):
            return line[len(wanted) :].strip()
    return b""


async def serve(host: str) -> None:
    """Serve each form at a port of its own until standard input ends."""
    ports = {}
    for name, form in FORMS.items():

        def handle(reader, writer, form=form):
            return _serve_connection(form, reader, writer)

        listener = await asyncio.start_server(handle, host, 0)
        ports[name] = listener.sockets[0].getsockname()[1]
    print(json.dumps(ports), flush=True)
    await asyncio.to_thread(sys.stdin.read)


async def _call_once(
    host: str, port: int, path: str, request_id: str, reads: bool, end_s: float
) -> None:
    """Send one request, and read its response to the end of its connection."""
    left_s = max(0.0, end_s - time.monotonic())
    writer = None
    try:
        async with asyncio.timeout(left_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = (
                f"GET {path} HTTP/1.1",
                "Host: site.example",
                "Connection: close",
                f"{headers.REQUEST_ID}: {request_id}",
            )
            writer.write("\r\n".join((*lines, "", "")).encode())
            if not reads:
                await asyncio.sleep(left_s)
            while await reader.read(READ_SIZE_BYTES):
                pass
    except (ConnectionError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()


async def call(
    host: str, port: int, path: str, clients_count: int, for_s: float, reads: bool
) -> None:
    """Call a route from several clients again and again."""
    end_s = time.monotonic() + for_s

    async def run_client(number: int) -> None:
        count = 0
        while time.monotonic() < end_s:
            request_id = f"flood-{number}-{count}"
            await _call_once(host, port, path, request_id, reads, end_s)
            count += 1
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*map(run_client, range(clients_count)))


if __name__ == "__main__":
    verb, *arguments = sys.argv[1:]
    if verb == "serve":
        asyncio.run(serve(*arguments))
    else:
        host, port, path, clients, seconds, reads = arguments
        calling = call(
            host, int(port), path, int(clients), float(seconds), reads == "yes"
        )
        asyncio.run(calling)
