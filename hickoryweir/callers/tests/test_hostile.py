"""The callers' border under hostile input, slow callers and many connections."""

import json

import hypothesis
import pytest
from hypothesis import strategies as st

from hickoryweir.callers import requests
from hickoryweir.callers.tests import exchanges, fakes

FEW = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=60
)
CHAT_PATH = b"/v1/chat/completions"
COMPLETION_PATH = b"/v1/completions"
DEEP = b"[" * 100_000
LONE_SURROGATE = "\ud800" * 600
IDLE_COUNT = 500
CONNECTION_LIMIT = 50
PIECE = b"x" * 65_536
PIECES_COUNT = 2_000

LEAF = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=300),
    st.just(LONE_SURROGATE),
    st.sampled_from([10**400, -(10**400), "user", "text"]),
)
JSON = st.recursive(
    LEAF,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(
            st.sampled_from(["role", "content", "type", "text", "\ud800"]), inner
        ),
    ),
    max_leaves=8,
)
FIELDS = st.fixed_dictionaries(
    {"model": st.one_of(st.just("assistant"), LEAF)},
    optional={
        "messages": JSON,
        "prompt": JSON,
        "stream": JSON,
        "max_tokens": JSON,
        "max_completion_tokens": LEAF,
    },
)
HEADER_VALUE = st.binary(max_size=200).map(
    lambda value: value.translate(None, b"\r\n\0")
)
RAW = st.one_of(
    st.binary(max_size=300),
    st.lists(
        st.sampled_from(
            [
                b"GET ",
                b"POST ",
                b"/",
                b"/services/top-ups/",
                CHAT_PATH,
                b" HTTP/1.1",
                b" HTTP/9.9",
                b"\r\n",
                b"\r\n\r\n",
                b"Host: x",
                b"Content-Length: 5",
                b"Content-Length: -1",
                b"Transfer-Encoding: chunked",
                b"Expect: 100-continue",
                b"Content-Encoding: gzip",
                b"Upgrade: websocket",
                b"ffffffffffffffff\r\n",
                b"\xff\xfe",
                b"\0",
            ]
        ),
        max_size=20,
    ).map(b"".join),
)


@hypothesis.given(RAW)
@FEW
def test_raw_bytes_get_a_typed_refusal_or_nothing(data):
    exchanges.exchange(data, exchanges.QUIET_S)


@hypothesis.given(st.sampled_from([CHAT_PATH, COMPLETION_PATH]), FIELDS)
@FEW
def test_any_json_body_is_served_or_refused(path, fields):
    body = json.dumps(fields).encode()
    assert exchanges.exchange(exchanges.make_request(path, body))


@hypothesis.given(st.sampled_from([CHAT_PATH, COMPLETION_PATH]), st.binary())
@FEW
def test_any_bytes_as_a_body_are_refused(path, body):
    replies = exchanges.exchange(exchanges.make_request(path, body))
    assert [status for status, _ in replies] == [400]


@pytest.mark.parametrize(
    "body",
    [
        DEEP,
        b'{"model":"assistant","messages":[{"role":"a","content":[%b]}]}'
        % (b'{"a":' * 900 + b"1" + b"}" * 900),
        b'{"model":"assistant","prompt":%b}' % (b"[" * 950 + b"]" * 950),
        b'{"model":"assistant","prompt":["a"],"max_tokens":%b}' % (b"9" * 5_000),
        b'{"model":"assistant","prompt":"\\ud800%b"}' % (b"x" * 300),
        b'{"model":"assistant","prompt":"\xff\xfe"}',
        b'{"model":"assistant","prompt":[NaN, Infinity, 1e999]}',
        b"\xff\xfe\x00",
    ],
)
@pytest.mark.parametrize("path", [CHAT_PATH, COMPLETION_PATH])
def test_a_strange_body_is_served_or_refused(path, body):
    assert exchanges.exchange(exchanges.make_request(path, body))


def test_nesting_near_the_interpreters_limit_raises_nothing():
    for depth in range(700, 1_000):
        body = b'{"model":"assistant","prompt":%b}' % (b"[" * depth + b"]" * depth)
        requests.parse_completion(body)


@hypothesis.given(
    st.dictionaries(
        st.sampled_from(
            [
                b"X-Request-Id",
                b"X-Request-Class",
                b"Idempotency-Key",
                b"Authorization",
                b"Content-Type",
                b"Content-Encoding",
            ]
        ),
        st.one_of(HEADER_VALUE, HEADER_VALUE.map(lambda value: b"Bearer " + value)),
    )
)
@FEW
def test_odd_headers_are_served_or_refused(headers):
    body = json.dumps(fakes.CHAT).encode()
    request = exchanges.make_request(CHAT_PATH, body, headers=headers)
    assert exchanges.exchange(request)


def test_a_key_that_is_not_utf8_is_refused():
    headers = {b"Authorization": b"Bearer \xff\xfe"}
    request = exchanges.make_request(CHAT_PATH, b"{}", headers=headers)
    assert [status for status, _ in exchanges.exchange(request)] == [401]


@hypothesis.given(
    st.lists(
        st.sampled_from(
            [
                b"/",
                b"//",
                b".",
                b"..",
                b"%2f",
                b"%2e%2e",
                b"%00",
                b"%ff",
                b"%",
                b"\xff",
                b"top-ups",
                b"?",
                b"#",
                b"a",
            ]
        ),
        max_size=8,
    ).map(b"".join)
)
@FEW
def test_odd_service_paths_are_served_or_refused(rest):
    headers = {b"Idempotency-Key": b"k"}
    path = b"/services/" + rest
    assert exchanges.exchange(exchanges.make_request(path, b"{}", headers=headers))
