"""Tests of the stand-in engine's control endpoints."""

import asyncio

from hickoryweir.engines.tests import benches
from hickoryweir.testing import engine


def run_with_engine(test):
    async def main():
        async with benches.engine_bench() as bench:
            return await test(bench)

    return asyncio.run(main())


async def ask(bench, method, path, body=None):
    url = bench.server.url + path
    async with bench.session.request(method, url, json=body) as response:
        return await response.json()


def test_cancel_request_cuts_the_stream():
    async def test(bench):
        call = benches.make_call(stand_in_output_tokens=100_000)
        stream = (await bench.open(call)).unwrap()
        await stream.read()
        reply = await ask(bench, "POST", "/cancel/r1")
        _, end = await benches.read_all(stream)
        assert reply == {"cancelled": True}
        assert end.failure() is not None

    run_with_engine(test)


def test_imported_prefix_blocks_can_be_exported():
    async def test(bench):
        body = {"prefix_digests": [5, 6]}
        assert (await ask(bench, "POST", "/kv/export", body))["prefix_digests"] == []
        await ask(bench, "POST", "/kv/import", body)
        assert await ask(bench, "POST", "/kv/export", body) == body

    run_with_engine(test)


def test_models_are_listed_in_openai_format():
    async def test(bench):
        listed = await ask(bench, "GET", "/v1/models")
        assert listed["object"] == "list"
        assert [entry["id"] for entry in listed["data"]] == ["assistant"]

    run_with_engine(test)


def test_lost_cache_events_leave_a_gap_in_sequence_numbers():
    async def main():
        settings = engine.EngineSettings(
            lost_cache_event_interval=2, cache_event_lag_s=0.0
        )
        async with benches.engine_bench(settings) as bench:
            for digest in range(4):
                await ask(bench, "POST", "/kv/import", {"prefix_digests": [digest]})
            answer = await ask(bench, "GET", "/cache_events?after=0")
        assert [event["sequence"] for event in answer["events"]] == [1, 3]

    asyncio.run(main())


def test_unknown_fault_is_refused():
    async def test(bench):
        reply = await ask(bench, "POST", "/faults", {"nonsense": 1})
        assert reply["error"]["code"] == "invalid_faults"

    run_with_engine(test)
