"""Hostile input, slow callers and many connections at the callers' interface."""

import asyncio
import contextlib
import json
import socket

import hypothesis
import pytest
import uvloop
from hypothesis import strategies as st
from returns import result

from hickoryweir.callers import interface, requests, sinks
from hickoryweir.callers.tests import exchanges, fakes

FUZZ_SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=60
)
CHAT_PATH = b"/v1/chat/completions"
COMPLETION_PATH = b"/v1/completions"
DEEPLY_NESTED_JSON = b"[" * 100_000
LONE_SURROGATE = "\ud800" * 600
SENT_SIZE_BYTES = 4_000_000
IDLE_COUNT = 500
CONNECTION_LIMIT = 50
CHUNK = b"x" * 65_536
CHUNKS_COUNT = 2_000

JSON_LEAF = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=300),
    st.just(LONE_SURROGATE),
    st.sampled_from([10**400, -(10**400), "user", "text"]),
)
JSON = st.recursive(
    JSON_LEAF,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(
            st.sampled_from(["role", "content", "type", "text", "\ud800"]), inner
        ),
    ),
    max_leaves=8,
)
BODY_FIELDS = st.fixed_dictionaries(
    {"model": st.one_of(st.just("assistant"), JSON_LEAF)},
    optional={
        "messages": JSON,
        "prompt": JSON,
        "stream": JSON,
        "max_tokens": JSON,
        "max_completion_tokens": JSON_LEAF,
    },
)
HEADER_VALUE = st.binary(max_size=200).map(
    lambda value: value.translate(None, b"\r\n\0")
)
RAW_REQUEST = st.one_of(
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


@hypothesis.given(RAW_REQUEST)
@FUZZ_SETTINGS
def test_raw_bytes_get_a_typed_refusal_or_nothing(data):
    exchanges.exchange(data, exchanges.QUIET_S)


@hypothesis.given(st.sampled_from([CHAT_PATH, COMPLETION_PATH]), BODY_FIELDS)
@FUZZ_SETTINGS
def test_any_json_body_is_served_or_refused(path, fields):
    body = json.dumps(fields).encode()
    assert exchanges.exchange(exchanges.make_request(path, body))


@hypothesis.given(st.sampled_from([CHAT_PATH, COMPLETION_PATH]), st.binary())
@FUZZ_SETTINGS
def test_any_bytes_as_a_body_are_refused(path, body):
    replies = exchanges.exchange(exchanges.make_request(path, body))
    assert [status for status, _ in replies] == [400]


@pytest.mark.parametrize(
    "body",
    [
        DEEPLY_NESTED_JSON,
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
def test_extreme_or_malformed_body_is_served_or_refused(path, body):
    assert exchanges.exchange(exchanges.make_request(path, body))


def test_nesting_near_the_recursion_limit_raises_nothing():
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
@FUZZ_SETTINGS
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
@FUZZ_SETTINGS
def test_odd_service_paths_are_served_or_refused(rest):
    headers = {b"Idempotency-Key": b"k"}
    path = b"/services/" + rest
    assert exchanges.exchange(exchanges.make_request(path, b"{}", headers=headers))


def test_a_malformed_key_is_not_logged(caplog):
    headers = {b"Authorization": b"Bearer hush\x01hush"}
    exchanges.exchange(exchanges.make_request(CHAT_PATH, b"{}", headers=headers))
    assert "body_invalid" in caplog.text
    assert "hush" not in caplog.text


def test_exception_text_is_not_logged(caplog):
    async def fail(call, sink):
        raise ValueError("hush")

    async def run():
        async with exchanges.listening(fakes.make_daemon(run=fail)) as port:
            body = json.dumps(fakes.CHAT).encode()
            return await exchanges.send(port, exchanges.make_request(CHAT_PATH, body))

    assert b"internal_error" in asyncio.run(run())
    assert "ValueError in fail" in caplog.text
    assert "hush" not in caplog.text


def test_exception_during_a_stream_sends_no_second_response():
    async def fail(call, sink):
        await sinks.write(sink, b"data: a\n\n")
        raise ValueError("fault")

    async def run():
        async with exchanges.listening(fakes.make_daemon(run=fail)) as port:
            body = json.dumps(fakes.CHAT).encode()
            return await exchanges.send(port, exchanges.make_request(CHAT_PATH, body))

    assert asyncio.run(run()).count(b"HTTP/1.1") == 1


async def count_rejected_idle(port):
    """Open many idle connections at once and return how many are refused."""
    opened = await asyncio.gather(
        *(asyncio.open_connection("127.0.0.1", port) for _ in range(IDLE_COUNT))
    )
    reads = [asyncio.create_task(reader.read()) for reader, _ in opened]
    expected_count = IDLE_COUNT - CONNECTION_LIMIT
    async with asyncio.timeout(exchanges.RESPONSE_TIMEOUT_S):
        while sum(read.done() for read in reads) < expected_count:
            await asyncio.wait(reads, timeout=0.1)
    answered = [read.result() for read in reads if read.done()]
    for read in reads:
        read.cancel()
    for _, writer in opened:
        writer.close()
    for data in answered:
        exchanges.check(data)
    return sum(b"too_many_connections" in data for data in answered)


@pytest.mark.parametrize(
    "loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_idle_connections_over_the_limit_are_refused(loop_factory):
    async def run():
        daemon = fakes.make_daemon(max_connections=CONNECTION_LIMIT)
        async with exchanges.listening(daemon) as port:
            return await count_rejected_idle(port)

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        assert runner.run(run()) == IDLE_COUNT - CONNECTION_LIMIT


@pytest.mark.parametrize(
    "loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_refusal_over_the_limit_reaches_a_client_that_sends(loop_factory):
    """Guards against a reset by unread bytes, which discards the refusal."""
    request = exchanges.make_request(CHAT_PATH, b"x" * SENT_SIZE_BYTES)

    def send_then_read(port):
        address = ("127.0.0.1", port)
        timeout_s = exchanges.RESPONSE_TIMEOUT_S
        with socket.create_connection(address, timeout=timeout_s) as client:
            client.sendall(request)
            return client.recv(65_536)

    async def run():
        daemon = fakes.make_daemon(max_connections=1)
        async with exchanges.listening(daemon) as port:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            received = await asyncio.to_thread(send_then_read, port)
            writer.close()
            return received

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        assert b"too_many_connections" in runner.run(run())


def test_slow_reader_blocks_the_writer_and_is_disconnected():
    async def run():
        final_state = asyncio.get_running_loop().create_future()

        async def flood(call, sink):
            try:
                for _ in range(CHUNKS_COUNT):
                    await sinks.write(sink, CHUNK)
            finally:
                final_state.set_result((sink.size_bytes, sink.is_aborted))
            return result.Success(interface.Response(200, "", b"", streamed=True))

        daemon = fakes.make_daemon(run=flood, write_timeout_s=0.2)
        async with exchanges.listening(daemon) as port:
            _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1_024)
            body = json.dumps(fakes.CHAT).encode()
            writer.write(exchanges.make_request(CHAT_PATH, body))
            state = await asyncio.wait_for(final_state, exchanges.RESPONSE_TIMEOUT_S)
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()
            return state

    size_bytes, is_aborted = asyncio.run(run())
    assert is_aborted
    assert size_bytes < len(CHUNK) * CHUNKS_COUNT // 4
