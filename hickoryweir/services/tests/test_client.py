"""Tests of the service client against a simulated service with injected faults."""

import asyncio
import contextlib
import dataclasses
import re

import pytest

from hickoryweir.engines import sessions
from hickoryweir.engines.tests import benches
from hickoryweir.forwarding import headers
from hickoryweir.outcomes import refusals
from hickoryweir.policy import events
from hickoryweir.services import calls, client
from hickoryweir.testing import notices, service

CALL = calls.ServiceCall(
    "r1", "POST", "/top-ups", "", (("Content-Type", "text/plain"),), b"5", "k1"
)


def run(test):
    return asyncio.run(test())


def make_service_bench():
    return benches.app_bench(service.make_app(service.ServiceSettings()))


async def forward(bench, call=CALL):
    return await client.forward(bench.session, bench.server, call)


def executions(bench):
    return dict(bench.app[service.SERVICE].executions)


def test_call_runs_once_and_is_answered():
    async def test():
        async with make_service_bench() as bench:
            response = (await forward(bench)).unwrap()
            assert response.status == 200
            assert response.content_type.startswith("application/json")
            assert executions(bench) == {"k1": 1}

    run(test)


def test_refused_connection_did_not_run():
    async def test():
        async with make_service_bench() as bench:
            await bench.served.crash()
            failure = (await forward(bench)).failure()
        assert failure.ran is refusals.Ran.NO

    run(test)


def test_refusal_by_the_service_did_not_run():
    async def test():
        async with make_service_bench() as bench:
            await bench.faults(refused_count=1)
            failure = (await forward(bench)).failure()
            assert failure.ran is refusals.Ran.NO
            assert executions(bench) == {}

    run(test)


def test_crash_after_running_may_have_run():
    async def test():
        async with make_service_bench() as bench:
            await bench.faults(crash_after_running_count=1)
            failure = (await forward(bench)).failure()
            assert failure.cause is events.FailureCause.CRASHED
            assert failure.ran is refusals.Ran.MAYBE
            assert executions(bench) == {"k1": 1}

    run(test)


def test_late_response_times_out_and_may_have_run():
    async def test():
        limits = calls.ServiceLimits(read_timeout_s=0.05)
        async with make_service_bench() as bench:
            await bench.faults(answer_delay_s=60.0)
            outcome = await client.forward(bench.session, bench.server, CALL, limits)
        assert outcome.failure().cause is events.FailureCause.TIMED_OUT
        assert outcome.failure().ran is refusals.Ran.MAYBE

    run(test)


def test_mismatched_response_is_detected():
    async def test():
        async with make_service_bench() as bench:
            await bench.faults(crossed_count=1)
            failure = (await forward(bench)).failure()
        assert failure.cause is events.FailureCause.MISMATCHED
        assert failure.ran is refusals.Ran.MAYBE

    run(test)


def test_response_over_the_size_limit_is_a_failure():
    async def test():
        limits = calls.ServiceLimits(max_response_size_bytes=10)
        async with make_service_bench() as bench:
            outcome = await client.forward(bench.session, bench.server, CALL, limits)
        assert outcome.failure().ran is refusals.Ran.MAYBE

    run(test)


def test_path_invalid_in_a_request_line_is_not_sent():
    async def test():
        invalid = dataclasses.replace(CALL, path="/a HTTP/1.1\r\nX: y")
        async with make_service_bench() as bench:
            failure = (await forward(bench, invalid)).failure()
            assert failure.ran is refusals.Ran.NO
            assert executions(bench) == {}

    run(test)


async def look_up(bench, call):
    return await client.lookup(bench.session, bench.server, "/lookup", call)


def test_lookup_returns_the_lost_answer():
    async def test():
        async with make_service_bench() as bench:
            await bench.faults(crash_after_running_count=1)
            await forward(bench)
            lookup_result = (await look_up(bench, CALL)).unwrap()
        assert lookup_result.ran is refusals.Ran.YES
        assert b'"executions": 1' in lookup_result.answer.body

    run(test)


def test_lookup_of_a_call_that_did_not_run_returns_maybe():
    async def test():
        other = dataclasses.replace(CALL, idempotency_key="k/2")
        async with make_service_bench() as bench:
            lookup_result = (await look_up(bench, other)).unwrap()
        assert lookup_result == calls.LookupResult(refusals.Ran.MAYBE, None)

    run(test)


def test_lookup_ignores_an_equal_key_of_another_call():
    async def test():
        other = dataclasses.replace(CALL, request_id="r2")
        async with make_service_bench() as bench:
            await forward(bench)
            lookup_result = (await look_up(bench, other)).unwrap()
        assert lookup_result == calls.LookupResult(refusals.Ran.MAYBE, None)

    run(test)


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "GET"])
@pytest.mark.parametrize("keeps_connections", [True, False])
def test_dropped_keep_alive_connection_sends_no_call_twice(method, keeps_connections):
    async def test():
        request_heads = []

        async def serve(reader, writer):
            request_heads.append(await reader.readuntil(b"\r\n\r\n"))
            echoed = re.search(rb"X-Request-Id: \S+\r\n", request_heads[-1]).group()
            response = b"HTTP/1.1 200 OK\r\n%bContent-Length: 2\r\n\r\nok"
            writer.write(response % echoed)
            try:
                with contextlib.suppress(asyncio.IncompleteReadError):
                    request_heads.append(await reader.readuntil(b"\r\n\r\n"))
            finally:
                writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        server = benches.make_server(f"http://127.0.0.1:{port}")
        call = dataclasses.replace(CALL, method=method, body=b"")
        session = sessions.make_session(keeps_connections=keeps_connections)
        async with session:
            first = await client.forward(session, server, call)
            # A connection is not used again for an id that it has carried.
            other = dataclasses.replace(call, request_id="r2")
            second = await client.forward(session, server, other)
        listener.close()
        assert first.unwrap().body == b"ok"
        assert len(request_heads) == 2
        return second

    second = run(test)
    if keeps_connections:
        assert second.failure().ran is refusals.Ran.MAYBE
    else:
        assert second.unwrap().body == b"ok"


def test_heads_of_responses_are_observed_whatever_their_status():
    seen = []

    def observe(status, received):
        seen.append((status, received[headers.LIMIT]))

    async def test():
        async with make_service_bench() as bench:
            bench.app[notices.NOTICES].headers[headers.LIMIT] = "2"
            for refused_count in (0, 1):
                await bench.faults(refused_count=refused_count)
                await client.forward(bench.session, bench.server, CALL, on_head=observe)

    run(test)
    assert seen == [(200, "2"), (503, "2")]
