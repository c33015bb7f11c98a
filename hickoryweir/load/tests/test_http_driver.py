"""Tests of the HTTP driver against a stand-in router."""

import asyncio

from aiohttp import web

from hickoryweir.load import http_driver, scenarios
from hickoryweir.testing import running

SCENARIO = scenarios.Scenario(
    name="small", deployment="kitamori", duration_s=1.0, demand_factor=1.0
)


def run_against(handler):
    async def main():
        app = web.Application()
        app.router.add_post("/v1/chat/completions", handler)
        server = await running.start(app)
        target = http_driver.Target((server.url,), ("k",), {"balance": "read"}, {})
        try:
            (class_result,) = await http_driver.send_calls(SCENARIO, target, 1)
        finally:
            await server.stop()
        return class_result

    return asyncio.run(main())


async def stream(request, is_complete=True):
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    await response.write(b'data: {"choices": []}\n\n')
    if is_complete:
        await response.write(b"data: [DONE]\n\n")
    await response.write_eof()
    return response


def test_complete_answers_are_counted():
    class_result = run_against(stream)
    assert class_result.calls > 0
    assert class_result.completed == 1.0
    assert class_result.refusals == {}


def test_truncated_stream_counts_as_a_failure():
    async def truncate(request):
        return await stream(request, is_complete=False)

    class_result = run_against(truncate)
    assert class_result.completed == 0.0
    assert class_result.failures == {"stream_cut": class_result.calls}


def test_calls_are_sent_while_earlier_ones_are_unanswered():
    received_keys = []
    all_received = asyncio.Event()

    async def hold(request):
        received_keys.append(request.headers["Idempotency-Key"])
        if len(received_keys) >= expected_count:
            all_received.set()
        await all_received.wait()
        return await stream(request)

    expected_count = run_against(stream).calls
    assert run_against(hold).completed == 1.0
    assert len(set(received_keys)) == expected_count


def test_refused_calls_are_sent_again_after_the_retry_time():
    send_counts = {}

    async def refuse_once(request):
        key = request.headers["Idempotency-Key"]
        send_counts[key] = send_counts.get(key, 0) + 1
        if send_counts[key] > 1:
            return await stream(request)
        error = {"code": "shed", "ran": "no", "retry_after_s": 0.05}
        return web.json_response({"error": error}, status=503)

    class_result = run_against(refuse_once)
    assert class_result.completed == 1.0
    assert class_result.refusals == {"shed": class_result.calls}
