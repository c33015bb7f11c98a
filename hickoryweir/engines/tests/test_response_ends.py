"""Calls of `serve` whose response has no valid status, or ends before its request."""

import asyncio
import contextlib
import json
import ssl

import pytest
import uvloop
from returns import result

from hickoryweir.engines import calls, client, framing, sessions
from hickoryweir.engines.tests import benches
from hickoryweir.forwarding.tests import early_ends, sites, test_invalid_statuses
from hickoryweir.outcomes import refusals
from hickoryweir.policy import events
from hickoryweir.services import calls as service_calls
from hickoryweir.services import client as service_client
from hickoryweir.testing import certificates

TIMEOUTS = calls.EngineTimeouts(connect_timeout_s=5.0, read_timeout_s=5.0)
KINDS = ["engine", "stream", "service"]
UPLOAD = "x" * 400_000
# A part that no parser can tell from all of the response.
BODY = json.dumps({"id": "r-1", "usage": {"completion_tokens": 1}}).encode()
LOOP_FACTORIES = {"asyncio": None, "uvloop": uvloop.new_event_loop}


async def send(session, kind, url, upload=""):
    """Return the result of one call, and what it returned of a stream."""
    server = benches.make_server(url)
    if kind == "service":
        call = service_calls.ServiceCall(
            "r-1", "POST", "/a", "", (), upload.encode(), "k"
        )
        return await service_client.forward(session, server, call)
    is_stream = kind == "stream"
    call = benches.make_call("r-1", stream=is_stream, padding=upload)
    if not is_stream:
        return await client.complete(session, server, call, TIMEOUTS)
    opened = await client.open_stream(session, server, call, TIMEOUTS)
    if isinstance(opened.value_or(None), client.EngineStream):
        _, opened = await benches.read_all(opened.unwrap())
    return opened


@pytest.mark.parametrize("upload", ["", UPLOAD], ids=["short", "upload"])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", test_invalid_statuses.INVALID)
def test_response_without_a_valid_status_is_a_failure_that_names_it(
    status, kind, upload
):
    responses = [test_invalid_statuses.make_response(status, BODY)]

    async def main():
        async with (
            test_invalid_statuses.run_servers(1, responses) as (backend,),
            sessions.make_session(keeps_connections=True) as session,
        ):
            return await send(session, kind, f"http://{backend.address}", upload)

    failure = asyncio.run(main()).failure()
    assert failure.ran is refusals.Ran.MAYBE
    # The server lives: the call is not suspected of having crashed it.
    assert failure.cause is events.FailureCause.FAILED
    assert f"invalid status {int(status[:3])}" in failure.message


def call_early(kind, answer, loop):
    """Return the result of a call with an upload whose server ends early."""

    async def main():
        async with (
            early_ends.run_server([answer]) as backend,
            sessions.make_session(keeps_connections=True) as session,
        ):
            return await send(session, kind, f"http://{backend.address}", UPLOAD)

    with asyncio.Runner(loop_factory=LOOP_FACTORIES[loop]) as runner:
        return runner.run(main())


@pytest.mark.parametrize("loop", LOOP_FACTORIES)
@pytest.mark.parametrize("kind", ["engine", "service"])
@pytest.mark.parametrize("end", early_ends.ENDS)
def test_response_that_ends_beside_its_request_is_an_unknown_outcome(end, kind, loop):
    answer = early_ends.respond(early_ends.HEAD, BODY, early_ends.ENDS[end])
    failure = call_early(kind, answer, loop).failure()
    assert failure.ran is refusals.Ran.MAYBE


@pytest.mark.parametrize("loop", LOOP_FACTORIES)
@pytest.mark.parametrize("kind", ["engine", "service"])
@pytest.mark.parametrize("pace_s", [0.0, 0.002])
def test_response_of_a_server_that_reads_on_after_its_end_is_whole(pace_s, kind, loop):
    answer = early_ends.respond(early_ends.HEAD, BODY, early_ends.reads_on(pace_s))
    outcome = call_early(kind, answer, loop)
    assert isinstance(outcome, result.Success)
    assert outcome.unwrap().body == BODY


@pytest.mark.parametrize("kind", ["engine", "service"])
def test_early_end_with_tls_is_an_unknown_outcome(kind, tmp_path):
    certificates.write_certificate(tmp_path, "server")
    served = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    served.load_cert_chain(tmp_path / "server.crt", tmp_path / "server.key")
    trusting = ssl.create_default_context()
    trusting.check_hostname, trusting.verify_mode = False, ssl.CERT_NONE

    async def handle(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(early_ends.HEAD + b"\r\n" + BODY)
            await writer.drain()
        writer.close()

    async def main():
        sock = early_ends.make_listener()
        port = sock.getsockname()[1]
        listener = await asyncio.start_server(handle, sock=sock, ssl=served)
        connector = framing.ResponseConnector(force_close=True, ssl=trusting)
        async with listener, sessions.make_session(connector=connector) as session:
            url = f"https://{sites.HOST}:{port}"
            return await send(session, kind, url, UPLOAD * 10)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        failure = runner.run(main()).failure()
    assert failure.ran is refusals.Ran.MAYBE
