"""Tests of request heads that arrive in one segment with other requests."""

import asyncio
import dataclasses

import hypothesis
import pytest
from hypothesis import strategies as st

from hickoryweir.forwarding import headers, server
from hickoryweir.forwarding.tests import sites, test_server_stop_races
from hickoryweir.routes import matching

HOST = sites.HOST
POST = (
    "POST /chat/1 HTTP/1.1\r\nHost: site.example\r\n"
    f"{headers.REQUEST_ID}: r-1\r\nContent-Length: 4\r\n\r\n"
)
# Limits of the tables in tests; the watcher adds its interval.
CUT_WITHIN_S = 5.0


async def read_response(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    assert b" 200 " in head
    await reader.readexactly(len(b"whole"))


@pytest.mark.parametrize("kind", ["part", "behind", "behind-body", "later"])
def test_slow_headers_are_cut_at_the_header_timeout(kind):
    whole = test_server_stop_races.make_head(1)
    part = test_server_stop_races.make_head(2)[:-6]

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            limits = site.forwarder.route_index.table.limits
            reader, writer = await asyncio.open_connection(HOST, site.port)
            if kind == "part":
                writer.write(part)
            elif kind == "behind":
                writer.write(whole + part)
                await read_response(reader)
            elif kind == "behind-body":
                writer.write(POST.encode())
                await asyncio.sleep(0.1)
                writer.write(b"body" + part)
                await read_response(reader)
            elif kind == "later":
                writer.write(whole)
                await read_response(reader)
                writer.write(part)
            started_s = asyncio.get_running_loop().time()
            try:
                async with asyncio.timeout(limits.header_timeout_s + 1.5):
                    await reader.read()
            except TimeoutError:
                pass
            writer.close()
            took_s = asyncio.get_running_loop().time() - started_s
            return took_s, limits.header_timeout_s

    took_s, limit_s = asyncio.run(main())
    assert limit_s - 0.1 < took_s < limit_s + 1.0


def test_connection_that_never_sends_a_byte_is_closed_at_the_idle_timeout():
    async def main():
        async with sites.run_site([sites.answering()]) as site:
            table = site.forwarder.route_index.table
            limits = dataclasses.replace(table.limits, idle_timeout_s=1.0)
            site.forwarder.route_index = matching.make_index(
                dataclasses.replace(table, limits=limits)
            )
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            reader, writer = await asyncio.open_connection(HOST, site.port)
            async with asyncio.timeout(sites.WAIT_S):
                await reader.read()
            writer.close()
            return loop.time() - started_s

    assert 0.9 < asyncio.run(main()) < 2.0


@pytest.mark.parametrize("kind", ["behind", "behind-body"])
def test_stop_receives_the_rest_of_a_head_that_came_with_a_whole_request(kind):
    whole = test_server_stop_races.make_head(1)
    second = test_server_stop_races.make_head(2)

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            if kind == "behind":
                writer.write(whole + second[:-6])
            else:
                writer.write(POST.encode())
                await asyncio.sleep(0.1)
                writer.write(b"body" + second[:-6])
            await read_response(reader)
            stopping = asyncio.create_task(server.stop(site.running, 2.0))
            await asyncio.sleep(0.3)
            writer.write(second[-6:])
            rest = await reader.read()
            writer.close()
            await stopping
            return rest

    assert b" 200 " in asyncio.run(main())


def test_empty_line_after_a_request_does_not_prolong_a_stop():
    async def main():
        async with sites.run_site([sites.answering()]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(test_server_stop_races.make_head(1))
            await read_response(reader)
            writer.write(b"\r\n")
            await asyncio.sleep(0.1)
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            await server.stop(site.running, 2.0)
            writer.close()
            return loop.time() - started_s

    assert asyncio.run(main()) < 1.0


def test_head_request_chunked_body_and_idle_connection():
    async def main():
        async with sites.run_site([sites.answering()]) as site:

            async def chunks():
                yield b"a" * 10
                await asyncio.sleep(0.05)
                yield b"b" * 10

            statuses = [
                (await site.call("HEAD"))[0],
                (await site.call(data=chunks()))[0],
            ]
            body = site.backends[0].seen[-1][1]
            await sites.wait_until(lambda: not site.forwarder.open_requests)
            _, writer = await asyncio.open_connection(HOST, site.port)
            reader, kept = await asyncio.open_connection(HOST, site.port)
            kept.write(test_server_stop_races.make_head(1))
            await read_response(reader)
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            await server.stop(site.running, 3.0)
            writer.close()
            kept.close()
            return statuses, body, loop.time() - started_s

    statuses, body, took_s = asyncio.run(main())
    assert statuses == [200, 200]
    assert body == b"a" * 10 + b"b" * 10
    assert took_s < 0.5


BODY = b"a\r\n\r\nGET /chat/9 HTTP/1.1\r\n\r\n"
REQUESTS = [
    test_server_stop_races.make_head(1),
    b"\r\n" + test_server_stop_races.make_head(2),
    POST.replace("Content-Length: 4", f"Content-Length: {len(BODY)}").encode() + BODY,
    POST.replace("Content-Length: 4", "Transfer-Encoding: chunked").encode()
    + b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY),
]


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=80)
@hypothesis.given(
    st.permutations(REQUESTS),
    st.integers(0, 40),
    st.lists(st.integers(1, 90), max_size=12),
)
def test_requests_are_read_and_a_part_of_a_head_is_noticed_however_they_are_cut(
    requests, part_size, sizes
):
    part = test_server_stop_races.make_head(5)[:part_size]
    sent = b"".join(requests) + part

    async def main():
        async with sites.run_site([sites.answering()]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            at = 0
            for size in [*sizes, len(sent)]:
                writer.write(sent[at : at + size])
                at += size
                await asyncio.sleep(0.001)
            for _ in requests:
                await read_response(reader)
            await sites.wait_until(lambda: not site.forwarder.open_requests)
            await asyncio.sleep(0.01)
            (connection,) = site.running.server.connections
            found = connection.is_idle, connection.is_awaiting_headers
            writer.close()
            return found, sorted(body for _, body in site.backends[0].seen)

    (is_idle, is_awaiting), bodies = asyncio.run(main())
    assert bodies == sorted([b"", b"", BODY, BODY])
    assert (is_idle, is_awaiting) == (part_size == 0, part_size > 0)
