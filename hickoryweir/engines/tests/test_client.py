"""Tests of the engine client against the stand-in engine with injected faults."""

import asyncio
import json

from aiohttp import web
from returns import result

from hickoryweir.engines import calls, client, headers
from hickoryweir.engines.tests import benches
from hickoryweir.forwarding import headers as server_headers
from hickoryweir.outcomes import refusals
from hickoryweir.policy import events
from hickoryweir.testing import engine, notices, texts

TIMEOUTS = calls.EngineTimeouts()


def run(test):
    return asyncio.run(test())


async def stream_failure(bench, call):
    opened = await bench.open(call)
    if not isinstance(opened, result.Success):
        return opened.failure()
    _, end = await benches.read_all(opened.unwrap())
    return end.failure()


def test_stream_is_complete_and_belongs_to_the_request():
    async def test():
        async with benches.engine_bench() as bench:
            opened = await bench.open(benches.make_call())
            data, end = await benches.read_all(opened.unwrap())
        assert end.unwrap().finished
        assert data.endswith(b"data: [DONE]\n\n")
        assert texts.is_complete_answer("r1", benches.text_of(data))

    run(test)


def test_output_tokens_of_a_stream_are_counted():
    async def test():
        async with benches.engine_bench() as bench:
            stream = (await bench.open(benches.make_call())).unwrap()
            await benches.read_all(stream)
        assert stream.reader.output_tokens == 12

    run(test)


def test_non_streaming_response_is_complete_and_belongs_to_the_request():
    async def test():
        async with benches.engine_bench() as bench:
            response = (await bench.complete(benches.make_call(stream=False))).unwrap()
        content = json.loads(response.body)["choices"][0]["message"]["content"]
        assert texts.is_complete_answer("r1", content)
        assert response.output_tokens == 12

    run(test)


def test_unknown_model_is_answered_as_a_client_error():
    async def test():
        async with benches.engine_bench() as bench:
            opened = await bench.open(benches.make_call(model="other"))
        assert opened.unwrap().status == 404

    run(test)


def test_refused_connection_did_not_run():
    async def test():
        async with benches.engine_bench() as bench:
            await bench.served.crash()
            failure = await stream_failure(bench, benches.make_call())
        assert failure.cause is events.FailureCause.CONNECT_REFUSED
        assert failure.ran is refusals.Ran.NO

    run(test)


def test_refusal_by_the_engine_did_not_run():
    async def test():
        async with benches.engine_bench() as bench:
            await bench.faults(refused_count=1)
            failure = await stream_failure(bench, benches.make_call())
            runs = bench.app[engine.ENGINE].runs
        assert failure.cause is events.FailureCause.REFUSED_BEFORE_RUNNING
        assert failure.ran is refusals.Ran.NO
        assert runs["r1"] == 0

    run(test)


def test_request_that_crashes_the_engine_may_have_run():
    async def test():
        async with benches.engine_bench() as bench:
            await bench.faults(crash_marker="hello")
            failure = await stream_failure(bench, benches.make_call())
        assert failure.cause is events.FailureCause.CRASHED
        assert failure.ran is refusals.Ran.MAYBE

    run(test)


def test_truncated_stream_is_detected():
    async def test():
        async with benches.engine_bench() as bench:
            await bench.faults(cut_count=1)
            failure = await stream_failure(bench, benches.make_call())
        assert failure.cause is events.FailureCause.STREAM_CUT

    run(test)


def test_stream_with_another_requests_id_is_rejected():
    async def test():
        async with benches.engine_bench() as bench:
            await bench.faults(crossed_count=1)
            failure = await stream_failure(bench, benches.make_call())
        assert failure.cause is events.FailureCause.MISMATCHED

    run(test)


def test_response_with_another_requests_id_is_rejected():
    async def test():
        async with benches.engine_bench() as bench:
            await bench.faults(crossed_count=1)
            ended = await bench.complete(benches.make_call(stream=False))
        assert ended.failure().cause is events.FailureCause.MISMATCHED

    run(test)


def test_resumed_stream_continues_at_the_next_token():
    async def test():
        async with benches.engine_bench() as bench:
            await bench.faults(cut_count=1, cut_after_tokens=5)
            first = (await bench.open(benches.make_call())).unwrap()
            start, _ = await benches.read_all(first)
            call = benches.make_call(
                resume_tokens=first.reader.output_tokens,
                resume_text=first.text_so_far(),
            )
            rest, _ = await benches.read_all((await bench.open(call)).unwrap())
        assert first.reader.output_tokens == 5
        assert (start + rest).count(b'"role"') == 1
        assert texts.is_complete_answer("r1", benches.text_of(start + rest))

    run(test)


def test_ignored_resume_request_is_detected():
    async def test():
        async with benches.engine_bench() as bench:
            await bench.faults(ignores_resume=True)
            call = benches.make_call(resume_tokens=2, resume_text="[r1] 1")
            failure = await stream_failure(bench, call)
        assert failure.cause is events.FailureCause.FAILED

    run(test)


def test_closing_a_stream_cancels_the_call_at_the_engine():
    async def test():
        async with benches.engine_bench() as bench:
            call = benches.make_call(stand_in_output_tokens=100_000)
            stream = (await bench.open(call)).unwrap()
            await stream.read()
            await stream.close()
            state = bench.app[engine.ENGINE]
            await benches.wait_until(lambda: not state.progress_by_id)
        assert state.cancelled_count == 1
        assert state.model_state.decoding == ()

    run(test)


def test_calls_reuse_a_keep_alive_connection():
    async def test():
        async with benches.engine_bench(keeps_connections=True) as bench:
            for number in range(3):
                call = benches.make_call(f"r{number}")
                await benches.read_all((await bench.open(call)).unwrap())
            connections = len(bench.served.runner.server.connections)
        assert connections == 1

    run(test)


def test_crash_on_a_reused_connection_is_reported_as_a_crash():
    async def test():
        async with benches.engine_bench(keeps_connections=True) as bench:
            await benches.read_all((await bench.open(benches.make_call())).unwrap())
            await bench.faults(crash_marker="poison")
            call = benches.make_call(messages=[{"role": "user", "content": "poison"}])
            failure = await stream_failure(bench, call)
        assert failure.cause is events.FailureCause.CRASHED

    run(test)


def test_dropped_reused_connection_is_not_reported_as_a_crash():
    async def test():
        async with benches.engine_bench(keeps_connections=True) as bench:
            await benches.read_all((await bench.open(benches.make_call())).unwrap())
            await bench.faults(dropped_count=1)
            failure = await stream_failure(bench, benches.make_call("r2"))
        assert failure.cause is events.FailureCause.FAILED
        assert failure.ran is refusals.Ran.MAYBE

    run(test)


def test_text_of_a_long_stream_is_stored():
    async def test():
        async with benches.engine_bench() as bench:
            call = benches.make_call(stand_in_output_tokens=1000)
            stream = (await bench.open(call)).unwrap()
            await benches.read_all(stream)
        assert stream.reader.compressed
        assert stream.text_so_far() == texts.answer_text("r1", 1000)

    run(test)


def test_refusal_without_request_id_is_not_trusted():
    async def refuse(_):
        return web.Response(status=503, headers={headers.NOT_RUN: headers.TRUE})

    async def test():
        app = web.Application()
        app.add_routes([web.post("/v1/chat/completions", refuse)])
        async with benches.app_bench(app) as bench:
            failure = await stream_failure(bench, benches.make_call())
        assert failure.ran is refusals.Ran.MAYBE

    run(test)


def test_heads_of_responses_are_observed_whatever_their_status():
    seen = []

    def observe(status, received):
        seen.append((status, received[server_headers.LIMIT]))

    async def test():
        async with benches.engine_bench() as bench:
            bench.app[notices.NOTICES].headers[server_headers.LIMIT] = "2"
            for call in (
                benches.make_call(),
                benches.make_call(model="other"),
                benches.make_call(stream=False),
            ):
                opened = client.complete if not call.stream else client.open_stream
                await opened(bench.session, bench.server, call, TIMEOUTS, observe)

    run(test)
    assert seen == [(200, "2"), (404, "2"), (200, "2")]
