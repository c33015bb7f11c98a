"""A backend server that writes earlier responses again on a connection in use again."""

import asyncio
import contextlib
import dataclasses
import enum
import re
import socket
from collections.abc import Callable

from hickoryweir.forwarding import headers
from hickoryweir.forwarding.tests import sites

# Long enough for the router to read what was written before.
PAUSE_S = 0.02
# More than the buffers of both ends hold, so that the router still writes it.
LARGE_BODY_SIZE_BYTES = 3_900_000
RECEIVE_BUFFER_SIZE_BYTES = 16 * 1024
NOT_RUN_STATUSES = (400, 408, 421, 429, 503)
# A client takes these for the promise that its request has not run.
PROMISES = frozenset({408, 421, 429, 503})
ID_NAME = headers.REQUEST_ID.encode()
REFUSED = b" Refused\r\n"
NOT_RUN = headers.NOT_RUN.encode() + b": true\r\n"
ID_FIELD = re.compile(rb"\r\n" + ID_NAME + rb":[^\r]*", re.IGNORECASE)
# The router asks a server that it could not reach.
PROBE = b"GET /health "
REQUEST_ID = re.compile(rb"\r\n" + ID_NAME + rb": ([^\r]*)\r\n", re.IGNORECASE)
NAME = re.compile(rb"^\S+ /\w+/(\S+) ")
LENGTH = re.compile(rb"\r\nContent-Length: (\d+)\r\n", re.IGNORECASE)


class Moment(enum.Enum):
    """When the server writes bytes that nobody asked for."""

    IDLE = "between two requests"
    HEAD = "when the next head was read"
    BODY = "in the middle of the next body"
    READ = "when the next request was read"


@dataclasses.dataclass(slots=True)
class Connection:
    """A connection of the server, with the responses that it has written there."""

    writer: asyncio.StreamWriter
    sent: list[bytes] = dataclasses.field(default_factory=list)
    # Parts of copies that are not written yet.
    unwritten: bytes = b""


@dataclasses.dataclass(slots=True)
class Server:
    """A running server.

    Attributes
    ----------
    respond : callable
        ``respond(name, request_id)`` returns the response to a request, and whether the
        server runs the request.
    extras : callable
        ``extras(connection, moment)`` returns bytes to write besides.
    runs : list of str
        Names of the requests that it ran, in order.
    extras_count : int
        How often it has written extra bytes.
    pause_s : float
        How long it waits before and after extra bytes.
    """

    backend: sites.Backend
    respond: Callable[[str, bytes], tuple[bytes, bool]]
    extras: Callable[[Connection, Moment], bytes]
    runs: list[str] = dataclasses.field(default_factory=list)
    arrived: list[str] = dataclasses.field(default_factory=list)
    connections: list[Connection] = dataclasses.field(default_factory=list)
    extras_count: int = 0
    pause_s: float = PAUSE_S


def no_extras(connection: Connection, moment: Moment) -> bytes:
    """Write nothing besides the responses."""
    return b""


def success(name: str, request_id: bytes) -> bytes:
    """Return the response of a server that has run a request."""
    fields = ID_NAME + b": " + request_id + b"\r\nContent-Length: %d\r\n" % len(name)
    return b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n" + name.encode()


def refusal(status: int, request_id: bytes, more: bytes = NOT_RUN) -> bytes:
    """Return the response of a server that has not run a request."""
    fields = ID_NAME + b": " + request_id + b"\r\n" + more
    line = b"HTTP/1.1 %d" % status + REFUSED
    return line + fields + b"Content-Length: 0\r\n\r\n"


def run_all(name: str, request_id: bytes) -> tuple[bytes, bool]:
    """Run each request."""
    return success(name, request_id), True


async def listen(handle: Callable) -> asyncio.Server:
    """Return a server on whose connections little is in transit."""
    sock = socket.socket()
    # Connections that it accepts have this size as well.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE_BYTES)
    sock.bind((sites.HOST, 0))

    async def handle_and_close(reader, writer):
        try:
            await handle(reader, writer)
        finally:
            writer.close()

    return await asyncio.start_server(
        handle_and_close, sock=sock, limit=RECEIVE_BUFFER_SIZE_BYTES
    )


@contextlib.asynccontextmanager
async def run_server(
    server_id: str,
    respond: Callable[[str, bytes], tuple[bytes, bool]] = run_all,
    extras: Callable[[Connection, Moment], bytes] = no_extras,
    pause_s: float = PAUSE_S,
):
    """Run a server until the block ends."""

    async def handle(reader, writer):
        connection = Connection(writer)
        server.connections.append(connection)
        with contextlib.suppress(OSError, EOFError):
            while True:
                await _serve_request(server, connection, reader)

    listener = await listen(handle)
    address = f"{sites.HOST}:{listener.sockets[0].getsockname()[1]}"
    server = Server(
        sites.Backend(server_id, address, listener, []),
        respond,
        extras,
        pause_s=pause_s,
    )
    try:
        yield server
    finally:
        listener.close()
        for connection in server.connections:
            connection.writer.close()
            with contextlib.suppress(OSError):
                await connection.writer.wait_closed()


async def _serve_request(server, connection, reader) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    if head.startswith(PROBE):
        connection.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        return
    name = NAME.search(head).group(1).decode()
    found_id, found_length = REQUEST_ID.search(head), LENGTH.search(head)
    request_id = b"" if found_id is None else found_id.group(1)
    length = 0 if found_length is None else int(found_length.group(1))
    await _write_extras(server, connection, Moment.HEAD)
    await reader.readexactly(length // 2)
    await _write_extras(server, connection, Moment.BODY)
    await reader.readexactly(length - length // 2)
    await _write_extras(server, connection, Moment.READ)
    server.arrived.append(name)
    response, is_run = server.respond(name, request_id)
    if is_run:
        server.runs.append(name)
    connection.writer.write(response)
    connection.sent.append(response)
    await _write_extras(server, connection, Moment.IDLE)


async def _write_extras(server, connection, moment) -> None:
    extra = server.extras(connection, moment)
    if extra:
        server.extras_count += 1
        # The router reads what was written before, and then this, by itself.
        await asyncio.sleep(server.pause_s)
        connection.writer.write(extra)
        await asyncio.sleep(server.pause_s)


def check_promises(found: dict[str, int | None], servers: list[Server]) -> None:
    """Check that no request ran twice, and none that ran got the status of a promise.

    Parameters
    ----------
    found : dict
        Status of the response to each request, by its name; None if it was aborted.
    servers : list of Server
        All servers.
    """
    for name, status in found.items():
        runs_count = sum(server.runs.count(name) for server in servers)
        assert runs_count <= 1, f"{name} ran {runs_count} times, status {status}"
        is_false = bool(runs_count) and status in PROMISES
        assert not is_false, f"{name} ran and was answered {status}"
