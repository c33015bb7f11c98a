"""Tests of responses whose chunks are malformed."""

import asyncio
import time

import aiohttp
import pytest

from hickoryweir.forwarding.tests import sites
from hickoryweir.forwarding.tests import test_truncated_streams as truncated

CHUNKED = truncated.HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# The route's timeout is 2 s.
LIMIT_S = 0.5
# The server waits for the router to close.
OPEN_S = 5.0


FIRST = b"%x\r\n%b\r\n" % (len(truncated.EVENTS[0]), truncated.EVENTS[0])
MALFORMED = {"size": b"zz\r\n", "end": b"4\r\nabcdef\r\n", "negative": b"-4\r\n"}


@pytest.mark.parametrize("part", MALFORMED)
def test_stream_with_a_malformed_chunk_resumes_at_once_on_another_server(part):
    rest = truncated.with_length(b"".join(truncated.EVENTS[1:]))
    responses = (CHUNKED + FIRST, MALFORMED[part]), rest
    started_s = time.monotonic()
    found = asyncio.run(
        truncated.call(sites.resumable_route(), *responses, open_s=OPEN_S)
    )
    assert found[:2] == (200, truncated.WHOLE)
    assert time.monotonic() - started_s < LIMIT_S


@pytest.mark.parametrize("part", MALFORMED)
def test_stream_with_a_malformed_chunk_is_aborted_at_once(part):
    route = sites.at_most_once_route(is_stream=True)
    started_s = time.monotonic()
    with pytest.raises(aiohttp.ClientPayloadError):
        asyncio.run(
            truncated.call(route, (CHUNKED + FIRST, MALFORMED[part]), open_s=OPEN_S)
        )
    assert time.monotonic() - started_s < LIMIT_S


@pytest.mark.parametrize("part", MALFORMED)
def test_body_with_a_malformed_chunk_fails_at_once(part):
    started_s = time.monotonic()
    route = sites.at_most_once_route()
    status, _, _ = asyncio.run(
        truncated.call(route, (CHUNKED + FIRST, MALFORMED[part]), open_s=OPEN_S)
    )
    assert status == 502
    assert time.monotonic() - started_s < LIMIT_S
