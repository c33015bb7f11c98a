"""The HTTP driver sends open arrivals and obeys refusals."""

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
            (found,) = await http_driver.send_calls(SCENARIO, target, 1)
        finally:
            await server.stop()
        return found

    return asyncio.run(main())


async def stream(request, whole=True):
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    await response.write(b'data: {"choices": []}\n\n')
    if whole:
        await response.write(b"data: [DONE]\n\n")
    await response.write_eof()
    return response


def test_whole_answers_are_counted():
    found = run_against(stream)
    assert found.calls > 0
    assert found.completed == 1.0
    assert found.refusals == {}


def test_stream_without_its_end_is_not_an_answer():
    async def cut(request):
        return await stream(request, whole=False)

    found = run_against(cut)
    assert found.completed == 0.0
    assert found.failures == {"stream_cut": found.calls}


def test_calls_are_sent_whether_or_not_earlier_ones_are_answered():
    seen = []
    everyone = asyncio.Event()

    async def hold(request):
        seen.append(request.headers["Idempotency-Key"])
        if len(seen) >= expected:
            everyone.set()
        await everyone.wait()
        return await stream(request)

    expected = run_against(stream).calls
    assert run_against(hold).completed == 1.0
    assert len(set(seen)) == expected


def test_refused_callers_come_back_after_the_time_they_are_told():
    seen = {}

    async def refuse_once(request):
        key = request.headers["Idempotency-Key"]
        seen[key] = seen.get(key, 0) + 1
        if seen[key] > 1:
            return await stream(request)
        error = {"code": "shed", "ran": "no", "retry_after_s": 0.05}
        return web.json_response({"error": error}, status=503)

    found = run_against(refuse_once)
    assert found.completed == 1.0
    assert found.refusals == {"shed": found.calls}
