"""Responses without a length that end while their request is still being written."""

import asyncio
import socket
import time

import aiohttp
import hypothesis
import pytest
import uvloop

from hickoryweir.forwarding.tests import early_ends, sites
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
