"""Tests of the event reader with valid, truncated and corrupted streams."""

import json

import hypothesis
import pytest
from hypothesis import strategies as st
from returns import result

from hickoryweir.engines import events_reader
from hickoryweir.testing import engine_calls

CALL = engine_calls.make_call(
    "r1",
    engine_calls.Endpoint.CHAT,
    0,
    b'{"model":"m","messages":[],"stand_in_output_tokens":6}',
)
STREAM = b"".join(
    [
        engine_calls.role_event(CALL),
        engine_calls.token_events(CALL, 0, 6),
        engine_calls.final_events(CALL),
    ]
)
FUZZ = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=200
)


def feed_all(parts, **fields):
    """Return the reader, the forwarded bytes and the last result."""
    reader = events_reader.make_reader("r1", **fields)
    forwarded, end = b"", None
    for part in parts:
        end = events_reader.feed(reader, part)
        if not isinstance(end, result.Success):
            break
        forwarded += end.unwrap().data
    return reader, forwarded, end


def split(data, cut_offsets):
    offsets = sorted(
        {offset % (len(data) + 1) for offset in cut_offsets} | {0, len(data)}
    )
    return [data[a:b] for a, b in zip(offsets, offsets[1:], strict=False)]


def make_event(value):
    return b"data: " + json.dumps(value).encode() + b"\n\n"


@hypothesis.given(st.lists(st.integers(0, len(STREAM)), max_size=20))
@FUZZ
def test_any_segmentation_forwards_the_same_bytes(cut_offsets):
    reader, forwarded, end = feed_all(split(STREAM, cut_offsets))
    assert end.unwrap().finished
    assert forwarded == STREAM
    assert reader.output_tokens == 6


@hypothesis.given(st.lists(st.binary(max_size=200), max_size=20))
@FUZZ
def test_random_bytes_never_raise_nor_finish(parts):
    _, _, end = feed_all(parts)
    finished = isinstance(end, result.Success) and end.unwrap().finished
    assert not finished


@hypothesis.given(st.integers(0, len(STREAM) - 1), st.integers(0, 255))
@FUZZ
def test_changed_byte_never_raises(offset, value):
    changed = STREAM[:offset] + bytes([value]) + STREAM[offset + 1 :]
    reader, _, _ = feed_all(split(changed, range(0, len(changed), 97)))
    events_reader.text_so_far(reader)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["delta", "text", "index", "content", "usage"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@hypothesis.given(st.lists(JSON, max_size=3), JSON)
@FUZZ
def test_arbitrary_json_values_never_raise(choices, usage):
    event = make_event({"id": "r1", "choices": choices, "usage": usage})
    reader, _, _ = feed_all([event, event])
    events_reader.text_so_far(reader)


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (b"data: {nonsense\n\n", events_reader.FaultKind.MALFORMED),
        (b"data: [1]\n\n", events_reader.FaultKind.MALFORMED),
        (b"data: [DONE]\n\n", events_reader.FaultKind.CUT),
        (make_event({"id": "r2", "choices": []}), events_reader.FaultKind.MISMATCHED),
        (make_event({"choices": []}), events_reader.FaultKind.MISMATCHED),
        (make_event({"id": "r1"}), events_reader.FaultKind.MALFORMED),
        (make_event({"error": {}}), events_reader.FaultKind.ENGINE_ERROR),
        (
            make_event({"error": {"code": "preempted"}}),
            events_reader.FaultKind.PREEMPTED,
        ),
        (b"data: " + b"[" * 100_000 + b"\n\n", events_reader.FaultKind.MALFORMED),
        (
            b"x" * (events_reader.MAX_EVENT_SIZE_BYTES + 1),
            events_reader.FaultKind.TOO_LARGE,
        ),
    ],
)
def test_invalid_event_returns_the_fault_kind(data, kind):
    assert feed_all([data])[2].failure().kind is kind


def test_event_of_another_request_is_detected_within_a_batch():
    own_events = engine_calls.token_events(CALL, 0, 3)
    other_events = engine_calls.token_events(CALL, 3, 4).replace(b"-r1", b"-r2")
    _, _, end = feed_all([engine_calls.role_event(CALL), own_events + other_events])
    assert end.failure().kind is events_reader.FaultKind.MISMATCHED


def test_finish_chunk_is_held_until_done_is_received():
    without_done = STREAM.removesuffix(b"data: [DONE]\n\n")
    _, forwarded, end = feed_all([without_done])
    assert not end.unwrap().finished
    assert b'"stop"' not in forwarded


def test_events_after_the_finish_chunk_are_bounded():
    finish = engine_calls.final_events(CALL).removesuffix(b"data: [DONE]\n\n")
    _, _, end = feed_all([finish] * 10_000)
    assert end.failure().kind is events_reader.FaultKind.TOO_LARGE


def test_trailing_bytes_are_detected():
    reader, _, _ = feed_all([STREAM + b"data: x"])
    assert reader.has_trailing_bytes


def test_other_spacing_and_line_endings_are_accepted():
    event = b'data: {"id": "r1", "choices": [{"text": "a", "finish_reason": null}]}'
    reader, _, _ = feed_all([event + b"\r\n\r\n", b": ping\r\n\r\n" + event + b"\n\n"])
    assert reader.output_tokens == 2


def test_tool_calls_cannot_be_resumed_from_text():
    choice = {"index": 0, "delta": {"tool_calls": [{"id": "x"}]}}
    reader, _, _ = feed_all([make_event({"id": "r1", "choices": [choice]})])
    assert events_reader.text_so_far(reader) is None


def test_stored_text_of_an_endless_stream_is_bounded():
    tokens = engine_calls.token_events(CALL, 0, 6)
    reader = events_reader.make_reader("r1")
    for number in range(3000):
        noise = b"%032x" % (number * 7919**9 % 2**127)
        events_reader.feed(reader, tokens.replace(b'" 1"', b'"' + noise * 8 + b'"'))
    stored_bytes = reader.uncompressed_size_bytes + reader.compressed_size_bytes
    limit_bytes = (
        events_reader.MAX_UNCOMPRESSED_SIZE_BYTES
        + events_reader.MAX_COMPRESSED_SIZE_BYTES
    )
    assert stored_bytes < 2 * limit_bytes
