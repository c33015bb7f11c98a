"""Clients that send without end and read nothing, as a process of their own.

Run it as ``python -m hickoryweir.testing.client_floods HOST PORT FORM COUNT SECONDS``.
"""

import asyncio
import dataclasses
import sys
import time

from hickoryweir.testing import floods

GET = b"GET /sound/x HTTP/1.1\r\nHost: site.example\r\n"
POST = b"POST /sound/x HTTP/1.1\r\nHost: site.example\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
LARGE_FIELD = b"X-Large: " + b"x" * 30_000 + b"\r\n"
MEDIUM_FIELD = b"X-Medium: " + b"x" * 500 + b"\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """What a client sends: a beginning, then the same unit without end.

    Attributes
    ----------
    max_units_count : int or None
        Units after which it sends nothing more, and stays; None without such an end.
    is_work : bool
        Whether it sends whole requests, with which others share the router's time.
    """

    begin: bytes
    unit: bytes
    max_units_count: int | None = None
    is_work: bool = False


FORMS: dict[str, Form] = {
    "request_line": Form(b"GET /", b"x"),
    "field": Form(GET + b"X-Long: ", b"x"),
    "fields": Form(GET, b"X-Short: value\r\n"),
    "large_fields": Form(GET, LARGE_FIELD),
    "large_fields_that_wait": Form(GET, LARGE_FIELD, 120),
    "medium_fields_that_wait": Form(GET, MEDIUM_FIELD, 120),
    "length": Form(POST + floods.ENDLESS_LENGTH + b"\r\n", b"x"),
    "chunks": Form(CHUNKED, floods.CHUNK),
    "small_chunks": Form(CHUNKED, b"1\r\nx\r\n"),
    "one_chunk": Form(CHUNKED + b"fffffffffff\r\n", b"x"),
    "chunk_extension": Form(CHUNKED + b"5;", b"x"),
    "chunk_extensions": Form(CHUNKED, b"1;" + b"x" * 1000 + b"\r\nx\r\n"),
    "chunk_size": Form(CHUNKED, b"0"),
    "trailers": Form(CHUNKED + b"0\r\n", b"X-Trailer: value\r\n"),
    "blank_lines": Form(b"", b"\r\n"),
    "blank_lines_after_a_request": Form(GET + b"\r\n", b"\r\n"),
    "pipelined": Form(b"", GET + b"\r\n", is_work=True),
    "pipelined_unrouted": Form(
        b"", b"GET /none HTTP/1.1\r\nHost: site.example\r\n\r\n", is_work=True
    ),
    "pipelined_bodies": Form(b"", POST + b"Content-Length: 1\r\n\r\nx", is_work=True),
    "no_http": Form(b"", b"x\r\n"),
}


async def _send_once(host: str, port: int, form: Form, end_s: float) -> None:
    """Send on one connection until the router closes it, or until the end."""
    count = max(1, floods.BLOCK_SIZE_BYTES // len(form.unit))
    block = form.unit * count
    writer = None
    try:
        async with asyncio.timeout(max(0.0, end_s - time.monotonic())):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(form.begin)
            if form.max_units_count is not None:
                writer.write(form.unit * form.max_units_count)
                await reader.read()
                return
            while True:
                writer.write(block)
                await writer.drain()
                # A drain that does not wait would keep this loop for one connection.
                await asyncio.sleep(0)
    except (ConnectionError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()


async def run(
    host: str, port: int, form: Form, clients_count: int, for_s: float
) -> None:
    """Send from several clients, each on a new connection after one has ended."""
    end_s = time.monotonic() + for_s

    async def run_client() -> None:
        while time.monotonic() < end_s:
            await _send_once(host, port, form, end_s)
            await asyncio.sleep(floods.PAUSE_S)

    await asyncio.gather(*(run_client() for _ in range(clients_count)))


if __name__ == "__main__":
    host, port, name, clients, seconds = sys.argv[1:]
    asyncio.run(run(host, int(port), FORMS[name], int(clients), float(seconds)))
