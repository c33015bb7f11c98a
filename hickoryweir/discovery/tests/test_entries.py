"""Splitting a document into entries, whatever they hold."""

import json
import time

import hypothesis
import pytest
from hypothesis import strategies as st
from returns import result

from hickoryweir.discovery import entries, own_list

EXAMPLES = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=100
)
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.integers()
    | st.text()
    | st.sampled_from(['"', "\\", '\\"', "[", "]}", ",", '{"servers":[', "\u2028"]),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
LAYOUTS = st.sampled_from([None, 2])
MEGABYTE = 1_000_000
# Linear splitting takes 0.4 s at most on a quiet machine, quadratic takes minutes.
MAX_SPLITTING_S = 8.0
# Characters that the splitter tells apart, and bytes that no text has.
FRAGMENTS = st.sampled_from(
    [b"{", b"}", b"[", b"]", b",", b":", b'"', b"\\", b'"servers"', b" ", b"\xff", b"1"]
)


def depth_of(value):
    if isinstance(value, dict):
        return 1 + max(map(depth_of, value.values()), default=0)
    if isinstance(value, list):
        return 1 + max(map(depth_of, value), default=0)
    return 0


@EXAMPLES
@hypothesis.given(st.lists(VALUES), st.dictionaries(st.text(), VALUES), LAYOUTS)
def test_entries_of_any_document_are_those_that_a_parser_finds(items, others, indent):
    document = {**others, "servers": items}
    body = json.dumps(document, indent=indent, ensure_ascii=bool(indent)).encode()
    found = entries.split(body, "servers").unwrap()
    shallow = [item for item in items if depth_of(item) <= entries.MAX_DEPTH_COUNT]
    assert [json.loads(item) for item in found.entries] == shallow
    assert len(found.problems) == len(items) - len(shallow)
    others.pop("servers", None)
    assert {name: json.loads(item) for name, item in found.fields.items()} == others


@EXAMPLES
@hypothesis.given(st.lists(FRAGMENTS, max_size=40))
def test_bytes_of_any_kind_raise_nothing(fragments):
    body = b'{"servers":[' + b"".join(fragments)
    for ending in (b"", b"]}"):
        found = entries.split(body + ending, "servers")
        for entry in found.map(lambda document: document.entries).value_or(()):
            assert isinstance(entries.decode_entry(entry), result.Result)


@pytest.mark.parametrize(
    "entry",
    [
        b"[" * MEGABYTE + b"]" * MEGABYTE,
        b"[" * MEGABYTE,
        b"[[[[[[[[[" * 100_000 + b'"' * 100_001,
        b'{"a":' * 200_000 + b"0" + b"}" * 200_000,
        b"[" + b"[]" * MEGABYTE + b"]",
        b"[" * 9 + b"[[[[[[[[]]]]]]]]" * 100_000 + b"]" * 9,
        b'"' * 2 * MEGABYTE,
        b'"' + b"\\" * 2 * MEGABYTE + b'"',
        b" " * 2 * MEGABYTE,
    ],
)
def test_splitting_takes_time_in_proportion_to_the_size(entry):
    # A repetition that is tried again for each split of it would stop the reader.
    started_s = time.monotonic()
    entries.split(b'{"servers":[' + entry + b',{"id":"a"}]}', "servers")
    assert time.monotonic() - started_s < MAX_SPLITTING_S


def test_document_with_a_byte_order_mark_is_split():
    body = b'\xef\xbb\xbf{"servers":[1]}'
    assert entries.split(body, "servers").unwrap().entries == (b"1",)


@pytest.mark.parametrize("number", [b"9" * 5000, b"1e999", b"NaN", b"-Infinity"])
def test_entry_with_an_absurd_number_leaves_the_others_in_force(number):
    # The project's own format was decoded as a whole, too.
    sound = b'{"id":"sound","service":"app","address":"10.0.0.1:80"}'
    foreign = b'{"id":"i","service":"app","address":"a:1","slots_count":%s}' % number
    page = own_list.decode_page(b'{"servers":[%s,%s]}' % (foreign, sound)).unwrap()
    assert [server.server_id for server in page.servers] == ["sound"]
    assert page.unreadable_count == 1
