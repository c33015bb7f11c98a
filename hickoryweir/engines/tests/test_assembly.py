"""Tests of non-streaming answers assembled from streams."""

import asyncio
import json

import pytest

from hickoryweir.engines import assembly, calls
from hickoryweir.engines.tests import benches


async def assemble_response(bench, call):
    """Return the assembled response; resume the call once after a truncated stream."""
    assembled = assembly.make_assembly()
    stream = (await bench.open(call)).unwrap()
    data, end = await benches.read_all(stream)
    assembly.add_events(assembled, data)
    if end.value_or(None) is None:
        resumed = calls.EngineCall(
            *(call.request_id, call.path, call.body, True, 0),
            resume_tokens=stream.reader.output_tokens,
            resume_text=stream.text_so_far(),
        )
        data, end = await benches.read_all((await bench.open(resumed)).unwrap())
        assembly.add_events(assembled, data)
        assert end.unwrap().finished
    return assembly.assembled_response(assembled)


def without_time(response):
    return {name: field for name, field in response.items() if name != "created"}


@pytest.mark.parametrize("path", ["/v1/chat/completions", "/v1/completions"])
@pytest.mark.parametrize("cut_count", [0, 1])
def test_assembled_response_equals_the_non_streaming_response(path, cut_count):
    async def test():
        body = {"model": "assistant", "stand_in_output_tokens": 12}
        non_streaming = calls.EngineCall(
            "r1", path, json.dumps(body).encode(), False, 0
        )
        streamed = calls.EngineCall(
            "r1", path, assembly.streaming_body(non_streaming.body), True, 0
        )
        async with benches.engine_bench() as bench:
            expected = (await bench.complete(non_streaming)).unwrap()
            await bench.faults(cut_count=cut_count, cut_after_tokens=5)
            response = await assemble_response(bench, streamed)
        assert without_time(response) == without_time(json.loads(expected.body))

    asyncio.run(test())


@pytest.mark.parametrize(
    "field",
    ['"tools": [{}]', '"logprobs": true', '"n": 3', '"stream_options": {"a":1}'],
)
def test_calls_with_unsupported_fields_are_not_streamed(field):
    assert assembly.streaming_body(b'{"model": "m", %b}' % field.encode()) is None


def test_body_that_is_not_an_object_is_not_streamed():
    assert assembly.streaming_body(b"[]") is None
    assert assembly.streaming_body(b"{") is None
