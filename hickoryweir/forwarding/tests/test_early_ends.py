"""Responses without a length that end while their request is still being written."""

import asyncio
import dataclasses
import socket
import time

import aiohttp
import hypothesis
import pytest
import uvloop

from hickoryweir.forwarding import headers
from hickoryweir.forwarding.tests import early_ends, sites
from hickoryweir.routes import model
from hickoryweir.routes.tests import tables

# Less and more than the buffers of the router's end hold.
UPLOADS = {"400_kb": b"x" * 400_000, "4_mb": b"x" * 4_000_000}
EVENT = early_ends.EVENT
PARTS = {"empty": b"", "short": EVENT, "long": EVENT * 5_000}


STREAM = tables.make_route(
    allows_anonymous=True,
    is_stream=True,
    timeout_s=early_ends.TIMEOUT_S,
    max_attempts_count=3,
)
PLAIN = tables.make_route(
    allows_anonymous=True, timeout_s=early_ends.TIMEOUT_S, max_attempts_count=3
)
ONCE = sites.at_most_once_route(timeout_s=early_ends.TIMEOUT_S)


# Shrinking a draw would take minutes.
FIXED_DRAWS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=12,
    phases=(hypothesis.Phase.generate,),
)


@FIXED_DRAWS
@hypothesis.given(early_ends.DRAWS)
def test_drawn_ends_beside_uploads_are_passed_on_only_if_sound(draw):
    early_ends.check(draw)


def call(route, responses, body):
    """Return status, body, duration and how often a call was sent.

    The status is None if the response was broken off.
    """

    async def main():
        async with (
            sites.run_site([], routes=(route,)) as site,
            early_ends.run_server(responses) as backend,
        ):
            sites.list_servers(site.forwarder, [backend])
            started_s = time.monotonic()
            try:
                status, _, received = await site.call(data=body)
            except aiohttp.ClientPayloadError:
                status, received = None, b""
            elapsed_s = time.monotonic() - started_s
            return status, received, elapsed_s, len(backend.seen)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())


@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("end", early_ends.ENDS)
@pytest.mark.parametrize("part", PARTS)
def test_part_of_a_response_beside_an_upload_is_an_unknown_outcome(part, end, upload):
    status, received, elapsed_s, sent_count = call(
        ONCE,
        [early_ends.respond(early_ends.HEAD, PARTS[part], early_ends.ENDS[end])],
        UPLOADS[upload],
    )
    assert (status, received, sent_count) == (502, b"outcome_unknown\n", 1)
    assert elapsed_s < early_ends.LIMIT_S


@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("end", early_ends.ENDS)
@pytest.mark.parametrize("part", ["short", "long"])
def test_part_of_a_stream_beside_an_upload_is_broken_off(part, end, upload):
    status, _, elapsed_s, _ = call(
        STREAM,
        [early_ends.respond(early_ends.HEAD, PARTS[part], early_ends.ENDS[end])],
        UPLOADS[upload],
    )
    assert status is None
    assert elapsed_s < early_ends.LIMIT_S


@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("status", ["200 OK", "413 X"])
@pytest.mark.parametrize("pace_s", [0.0, 0.002])
@pytest.mark.parametrize("part", PARTS)
def test_response_of_a_server_that_reads_on_after_its_end_is_whole(
    part, pace_s, status, upload
):
    head = early_ends.HEAD.replace(b"200 OK", status.encode())
    found = call(
        ONCE,
        [early_ends.respond(head, PARTS[part], early_ends.reads_on(pace_s))],
        UPLOADS[upload],
    )
    assert found[:2] == (int(status[:3]), PARTS[part])


@pytest.mark.parametrize("end", early_ends.ENDS)
@pytest.mark.parametrize("part", PARTS)
def test_response_with_a_length_beside_an_upload_is_whole(part, end):
    body = PARTS[part]
    head = early_ends.HEAD + b"Content-Length: %d\r\n" % len(body)

    async def end_when_sent(sock):
        # A reset discards what the router has not read.
        await asyncio.sleep(0.2)
        await early_ends.ENDS[end](sock)

    found = call(
        ONCE, [early_ends.respond(head, body, end_when_sent)], UPLOADS["400_kb"]
    )
    assert found[:2] == (200, body)


@pytest.mark.parametrize("status", [204, 304])
def test_response_without_a_body_beside_an_upload_is_whole(status):
    head = early_ends.HEAD.replace(b"200 OK", b"%d X" % status)

    async def end_when_sent(sock):
        await asyncio.sleep(0.2)
        early_ends.reset(sock)

    found = call(
        ONCE, [early_ends.respond(head, b"", end_when_sent)], UPLOADS["400_kb"]
    )
    assert found[:2] == (status, b"")


def test_response_without_a_length_to_a_request_that_was_read_does_not_wait():
    async def close(sock):
        sock.shutdown(socket.SHUT_WR)

    status, received, elapsed_s, _ = call(
        ONCE, [early_ends.respond(early_ends.HEAD, EVENT, close)], b"x"
    )
    assert (status, received) == (200, EVENT)
    assert elapsed_s < 0.3


@pytest.mark.parametrize("end", early_ends.ENDS)
def test_part_of_a_response_in_http_1_0_is_an_unknown_outcome(end):
    head = early_ends.HEAD.replace(b"HTTP/1.1", b"HTTP/1.0")
    respond = early_ends.respond(head, EVENT, early_ends.ENDS[end])
    found = call(ONCE, [respond], UPLOADS["400_kb"])
    assert found[:2] == (502, b"outcome_unknown\n")


@pytest.mark.parametrize("parts_count", [1, 5, 15])
@pytest.mark.parametrize("pace_s", [0.0, 0.02])
def test_part_of_a_response_of_a_server_that_reads_some_is_an_unknown_outcome(
    pace_s, parts_count
):
    end = early_ends.reads_some(parts_count, pace_s)
    respond = early_ends.respond(early_ends.HEAD, EVENT, end)
    found = call(ONCE, [respond], UPLOADS["400_kb"])
    assert found[:2] == (502, b"outcome_unknown\n")


def responds_second(head, body, end):
    """Return a function that answers a first request well, then ends at the second."""

    async def answer(sock):
        loop = asyncio.get_running_loop()
        good = early_ends.HEAD + b"Content-Length: 1\r\n\r\na"
        await loop.sock_sendall(sock, good)
        await loop.sock_recv(sock, 1_024)
        await early_ends.respond(head, body, end)(sock)

    return answer


async def call_kept(answer, second, third):
    """Return the results of three calls; the first leaves its connection open."""
    routes = (ONCE,)
    async with (
        sites.run_site([], routes=routes) as site,
        early_ends.run_server([answer, third]) as backend,
    ):
        sites.list_servers(site.forwarder, [backend])
        found = []
        for number, body in enumerate((None, second, None), start=1):
            # A request whose id its connection may have carried takes another one.
            given = {headers.REQUEST_ID: f"r-{number}"}
            status, _, received = await site.call(data=body, given=given)
            found.append((status, received))
        return found, len(backend.seen)


def answer_id(number):
    return early_ends.HEAD.replace(b"r-1", b"r-%d" % number)


@pytest.mark.parametrize("end", [*early_ends.ENDS, "reads_on"])
def test_second_request_on_a_kept_connection_may_end_early(end):
    """Its connection, and only that, is not used again."""
    ends = early_ends.ENDS | {"reads_on": early_ends.reads_on(0.0)}
    answer = responds_second(answer_id(2), EVENT, ends[end])
    third = early_ends.respond(
        answer_id(3) + b"Content-Length: 1\r\n", b"c", early_ends.closes_after(0.0)
    )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        found, connections_count = runner.run(
            call_kept(answer, UPLOADS["400_kb"], third)
        )
    second = (200, EVENT) if end == "reads_on" else (502, b"outcome_unknown\n")
    assert found == [(200, b"a"), second, (200, b"c")]
    assert connections_count == 2


@pytest.mark.parametrize("end", early_ends.ENDS)
def test_stream_that_is_cut_beside_its_upload_is_resumed_on_another_server(end):
    route = tables.make_route(
        allows_anonymous=True,
        is_stream=True,
        execution=model.Execution.RESUMABLE_STREAM,
        timeout_s=early_ends.TIMEOUT_S,
    )
    head = early_ends.HEAD + b"Content-Type: text/event-stream\r\n"
    rest = EVENT.replace(b"1", b"2")
    length = b"Content-Length: %d\r\n" % len(rest)

    async def cut(sock):
        # A reset discards what the router has not read.
        await asyncio.sleep(0.1)
        await early_ends.ENDS[end](sock)

    async def main():
        async with (
            sites.run_site([], routes=(route,)) as site,
            early_ends.run_server([early_ends.respond(head, EVENT, cut)]) as first,
            early_ends.run_server(
                [early_ends.respond(head + length, rest, early_ends.closes_after(0.2))]
            ) as other,
        ):
            other = dataclasses.replace(other, server_id="s1")
            sites.list_servers(site.forwarder, [first])
            calling = asyncio.create_task(site.call(data=UPLOADS["400_kb"]))
            await sites.wait_until(lambda: first.seen)
            sites.list_servers(site.forwarder, [first, other])
            status, _, received = await calling
            return status, received, other.seen

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        status, received, seen = runner.run(main())
    assert (status, received) == (200, EVENT + rest)
    assert b"last-event-id: 1\r\n" in seen[0].lower()


def test_early_end_is_named_and_counted_by_its_end(caplog):
    respond = early_ends.respond(
        early_ends.HEAD, EVENT, early_ends.ENDS["closed_later"]
    )
    with caplog.at_level("INFO"):
        call(ONCE, [respond], UPLOADS["400_kb"])
    lines = [
        (record.args[0].fields.backend_server, record.args[0].fields.reason)
        for record in caplog.records
        if record.args and record.args[0].message == "response ended early"
    ]
    assert lines == [
        ("s0", "cut in its body: ended before its request was acknowledged")
    ]


@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("status", ["200 OK", "204 X"])
def test_connection_of_a_request_that_was_not_taken_is_not_used_again(status, upload):
    """Its server may take the rest of the request for the next one."""
    length = b"" if status.startswith("204") else b"Content-Length: 0\r\n"
    head = answer_id(1).replace(b"200 OK", status.encode()) + length
    ended = []

    async def stay(sock):
        await early_ends.discard(sock, pace_s=0.002)
        ended.append(sock)

    async def main():
        third = early_ends.respond(
            answer_id(2) + b"Content-Length: 0\r\n",
            b"",
            early_ends.closes_after(0.0),
        )
        async with (
            sites.run_site([], routes=(ONCE,)) as site,
            early_ends.run_server(
                [early_ends.respond(head, b"", stay), third]
            ) as backend,
        ):
            sites.list_servers(site.forwarder, [backend])
            found = [(await site.call(data=UPLOADS[upload]))[0]]
            given = {headers.REQUEST_ID: "r-2"}
            found.append((await site.call(given=given))[0])
            # The router has closed the first one.
            await sites.wait_until(lambda: ended)
            return found, len(backend.seen)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        found, connections_count = runner.run(main())
    assert (found, connections_count) == ([int(status[:3]), 200], 2)
