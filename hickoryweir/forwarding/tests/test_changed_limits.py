"""Limits of a new table on connections that were opened under an earlier one."""

import asyncio
import dataclasses
import gzip

import pytest

from hickoryweir.forwarding import headers, resumption
from hickoryweir.forwarding.tests import sites
from hickoryweir.routes import matching, model

HOST = sites.HOST
MAX_HEADER_SIZE_BYTES = 128 * 1024
# As large as one field may be for the stand-in of a server.
FIELD_SIZE_BYTES = 8_000
FIELDS_COUNT = 12
PAUSE_S = 0.1
SHORT_IDLE_TIMEOUT_S = 0.5
LONG_IDLE_TIMEOUT_S = 30.0
# The check of idle connections may be late by this time on a busy machine.
IDLE_MARGIN_S = 3.0
QUEUED_COUNT = 40


def apply_limits(forwarder, **limits):
    """Put a table with these limits in force."""
    earlier = forwarder.route_index.table
    table = dataclasses.replace(
        earlier, version=earlier.version + 1, limits=model.Limits(**limits)
    )
    resumption.apply_table(forwarder, matching.make_index(table))


async def read_answers(reader, count):
    """Read responses; return their status lines and the ids of their requests."""
    answers = []
    for _ in range(count):
        async with asyncio.timeout(sites.WAIT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(b"whole"))
        lines = head.decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:-2])
        answers.append((lines[0], fields[headers.REQUEST_ID.lower()]))
    return answers


def expected_answers(count):
    return [("HTTP/1.1 200 OK", f"r-{number}") for number in range(1, count + 1)]


def make_head(number: int, fields_count: int = 0) -> bytes:
    """Return a request without a body."""
    value = "x" * FIELD_SIZE_BYTES
    fields = "".join(f"X-Field-{i}: {value}\r\n" for i in range(fields_count))
    return (
        f"GET /chat/{number} HTTP/1.1\r\nHost: site.example\r\n"
        f"{headers.REQUEST_ID}: r-{number}\r\n{fields}\r\n"
    ).encode()


@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
def test_larger_limit_of_headers_holds_on_a_connection(is_kept):
    async def main():
        async with sites.run_site([sites.answering()]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(make_head(1))
            await reader.readuntil(b"whole")
            apply_limits(site.forwarder, max_header_size_bytes=MAX_HEADER_SIZE_BYTES)
            if not is_kept:
                writer.close()
                reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(make_head(2, FIELDS_COUNT))
            status_line = await reader.readline()
            writer.close()
            return status_line

    assert asyncio.run(main()).startswith(b"HTTP/1.1 200 ")


def make_first(kind):
    """Return a request whose end a parser finds in another way than that of others."""
    if kind == "plain":
        return make_head(1)
    if kind == "upgrade":
        return make_head(1)[:-2] + b"Connection: upgrade\r\nUpgrade: any\r\n\r\n"
    body = gzip.compress(b"any")
    fields = f"Content-Encoding: gzip\r\nContent-Length: {len(body)}\r\n\r\n"
    return make_head(1)[:-2].replace(b"GET", b"POST") + fields.encode() + body


@pytest.mark.parametrize("size_bytes", [1, 40, len(make_head(2)) - 1])
@pytest.mark.parametrize("kind", ["plain", "compressed", "upgrade"])
def test_request_that_arrives_while_limits_change_is_not_cut(kind, size_bytes):
    second = make_head(2)

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(make_first(kind) + second[:size_bytes])
            await asyncio.sleep(PAUSE_S)
            apply_limits(site.forwarder, max_header_size_bytes=MAX_HEADER_SIZE_BYTES)
            writer.write(second[size_bytes:])
            answers = await read_answers(reader, 2)
            writer.write(make_head(3, FIELDS_COUNT))
            answers += await read_answers(reader, 1)
            writer.close()
            return answers

    assert asyncio.run(main()) == expected_answers(3)


def test_requests_queued_while_limits_change_are_answered_in_order():
    async def main():
        released = asyncio.Event()
        answer = sites.answering()

        async def wait(request, body):
            await released.wait()
            return await answer(request, body)

        async with sites.run_site([wait]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            for number in range(1, QUEUED_COUNT):
                writer.write(make_head(number))
            await asyncio.sleep(PAUSE_S)
            apply_limits(site.forwarder, max_header_size_bytes=MAX_HEADER_SIZE_BYTES)
            writer.write(make_head(QUEUED_COUNT, FIELDS_COUNT))
            await asyncio.sleep(PAUSE_S)
            released.set()
            answers = await read_answers(reader, QUEUED_COUNT)
            writer.close()
            return answers

    assert asyncio.run(main()) == expected_answers(QUEUED_COUNT)


def test_longer_idle_time_holds_on_a_kept_connection():
    async def main():
        async with sites.run_site([sites.answering()]) as site:
            apply_limits(site.forwarder, idle_timeout_s=SHORT_IDLE_TIMEOUT_S)
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(make_head(1))
            answers = await read_answers(reader, 1)
            apply_limits(site.forwarder, idle_timeout_s=LONG_IDLE_TIMEOUT_S)
            writer.write(make_head(2))
            answers += await read_answers(reader, 1)
            await asyncio.sleep(3 * SHORT_IDLE_TIMEOUT_S)
            writer.write(make_head(3))
            answers += await read_answers(reader, 1)
            writer.close()
            return answers

    assert asyncio.run(main()) == expected_answers(3)


def test_shorter_idle_time_holds_on_a_kept_connection():
    async def main():
        async with sites.run_site([sites.answering()]) as site:
            apply_limits(site.forwarder, idle_timeout_s=LONG_IDLE_TIMEOUT_S)
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(make_head(1))
            await read_answers(reader, 1)
            apply_limits(site.forwarder, idle_timeout_s=SHORT_IDLE_TIMEOUT_S)
            writer.write(make_head(2))
            await read_answers(reader, 1)
            started_s = asyncio.get_running_loop().time()
            async with asyncio.timeout(sites.WAIT_S):
                rest = await reader.read()
            writer.close()
            return rest, asyncio.get_running_loop().time() - started_s

    rest, idle_s = asyncio.run(main())
    assert rest == b""
    assert SHORT_IDLE_TIMEOUT_S - PAUSE_S < idle_s < IDLE_MARGIN_S
