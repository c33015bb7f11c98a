"""Responses of backend servers with an invalid status."""

import asyncio
import contextlib
import time

import pytest

from hickoryweir.engines import framing, sessions
from hickoryweir.forwarding import headers
from hickoryweir.forwarding.tests import sites
from hickoryweir.routes.tests import tables

REQUEST_ID = f"{headers.REQUEST_ID}: r-1\r\n".encode()
WHOLE = b"id: 1\ndata: whole\n\n"
# The route's timeout is 2 s.
LIMIT_S = 1.0
UPLOAD = b"x" * 200_000
INVALID = ["000 X", "000", "099 X", "101 Switching", "600 X", "999 X"]
# Refused by the parser.
MALFORMED = ["0 X", "1000 X", "-20 X", "2xx X", "20 OK", "+200 OK", "2 00 OK"]
BAD_BODY = b"not an answer"


def make_response(status, body, more=b""):
    """Return a response that is sound but for its status."""
    length = b"Content-Length: %d\r\n" % len(body)
    return (
        b"HTTP/1.1 %s\r\n" % status.encode()
        + REQUEST_ID
        + more
        + length
        + (b"\r\n" + body)
    )


GOOD = make_response("200 OK", WHOLE)
RESUMABLE = sites.resumable_route()
STREAM = tables.make_route(allows_anonymous=True, is_stream=True)
PLAIN = tables.make_route(allows_anonymous=True)
REPEATABLE = {"plain": PLAIN, "stream": STREAM, "resumable": RESUMABLE}
ONCE = {
    "plain": sites.at_most_once_route(),
    "stream": sites.at_most_once_route(is_stream=True),
}


@contextlib.asynccontextmanager
async def run_servers(count, responses):
    """Run servers that read a whole request, then send the next response.

    They share the responses and the list of received targets; connections stay open.
    """
    seen, left = [], list(responses)

    async def handle(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(sites.HEALTH_CHECK):
                    writer.write(sites.HEALTHY)
                    continue
                seen.append(head)
                for line in head.split(b"\r\n"):
                    name, _, value = line.partition(b":")
                    if name.lower() == b"content-length":
                        await reader.readexactly(int(value))
                writer.write(left.pop(0))
        writer.close()

    backends = []
    for number in range(count):
        listener = await asyncio.start_server(handle, sites.HOST, 0)
        address = f"{sites.HOST}:{listener.sockets[0].getsockname()[1]}"
        backends.append(sites.Backend(f"s{number}", address, listener, seen))
    try:
        yield backends
    finally:
        for backend in backends:
            backend.listener.close()


async def call(route, responses, body=None):
    """Return status, body and duration of a call, and how often it was sent."""
    async with (
        sites.run_site([], routes=(route,)) as site,
        run_servers(2, responses) as backends,
    ):
        sites.list_servers(site.forwarder, backends)
        started_s = time.monotonic()
        status, _, received = await site.call(data=body)
        elapsed_s = time.monotonic() - started_s
        return status, received, elapsed_s, len(backends[0].seen)


@pytest.mark.parametrize("body", [None, UPLOAD], ids=["empty", "upload"])
@pytest.mark.parametrize("kind", REPEATABLE)
@pytest.mark.parametrize("status", INVALID + MALFORMED)
def test_request_runs_again_after_a_response_without_a_valid_status(status, kind, body):
    responses = [make_response(status, BAD_BODY), GOOD]
    code, received, elapsed_s, _ = asyncio.run(call(REPEATABLE[kind], responses, body))
    assert (code, received) == (200, WHOLE)
    assert elapsed_s < LIMIT_S


@pytest.mark.parametrize("body", [None, UPLOAD], ids=["empty", "upload"])
@pytest.mark.parametrize("kind", ONCE)
@pytest.mark.parametrize("status", INVALID + MALFORMED)
def test_response_without_a_valid_status_is_an_unknown_outcome(status, kind, body):
    responses = [make_response(status, BAD_BODY), GOOD]
    found = asyncio.run(call(ONCE[kind], responses, body))
    code, received, elapsed_s, sent_count = found
    assert (code, received, sent_count) == (502, b"outcome_unknown\n", 1)
    assert elapsed_s < LIMIT_S


@pytest.mark.parametrize("status", INVALID)
def test_valid_response_behind_an_invalid_one_does_not_count(status):
    both = make_response(status, BAD_BODY) + GOOD
    code, received, *_ = asyncio.run(call(ONCE["plain"], [both]))
    assert (code, received) == (502, b"outcome_unknown\n")


@pytest.mark.parametrize("status", ["100 Continue", "102 X", "103 Early Hints"])
def test_interim_responses_are_no_answer(status):
    interim = b"HTTP/1.1 %s\r\n\r\n" % status.encode()
    code, received, *_ = asyncio.run(call(ONCE["plain"], [interim * 3 + GOOD]))
    assert (code, received) == (200, WHOLE)


@pytest.mark.parametrize("status", ["200 OK", "299 X", "404 X", "451 X", "599 X"])
def test_statuses_at_the_bounds_are_passed_on(status):
    responses = [make_response(status, WHOLE)] * 2
    code, received, *_ = asyncio.run(call(ONCE["plain"], responses))
    assert (code, received) == (int(status[:3]), WHOLE)


@pytest.mark.parametrize("status", INVALID)
def test_calls_of_the_system_get_no_response_without_a_valid_status(status):
    async def main():
        async with (
            run_servers(1, [make_response(status, BAD_BODY)]) as (backend,),
            sessions.make_session() as session,
        ):
            with pytest.raises(framing.MalformedResponseError):
                await session.get(f"http://{backend.address}/report")

    asyncio.run(main())


@pytest.mark.parametrize("status", INVALID)
def test_invalid_status_is_counted_and_named(status, caplog):
    async def main():
        async with (
            sites.run_site([], routes=(PLAIN,)) as site,
            run_servers(1, [make_response(status, BAD_BODY)] * 2) as backends,
        ):
            sites.list_servers(site.forwarder, backends)
            await site.call()
            return [
                sample.labels
                for metric in site.forwarder.metrics.response_ends.collect()
                for sample in metric.samples
                if sample.name.endswith("_total") and sample.value
            ]

    with caplog.at_level("INFO"):
        ends = asyncio.run(main())
    assert {labels["end"] for labels in ends} == {framing.End.NO_HEAD.value}
    reasons = [
        record.args[0].fields.reason
        for record in caplog.records
        if record.args and record.args[0].message == "request sent"
    ]
    assert f"Lost: invalid status {int(status[:3])}" in reasons
