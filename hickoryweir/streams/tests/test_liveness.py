"""Connections on which the other process goes silent, is slow, or knows no probes."""

import asyncio
import contextlib
import dataclasses
import threading
import time

import msgpack
import pytest
import uvloop
from returns import result

from hickoryweir.streams import codec, connections, handshake, hub, liveness
from hickoryweir.testing import proxies

HOST = "127.0.0.1"
SERVER = handshake.Identity("north", "vm-1", "zone-a")
CLIENT = handshake.Identity("north", "vm-2", "zone-b")
LOOPS = (
    pytest.param(asyncio.new_event_loop, id="asyncio"),
    pytest.param(uvloop.new_event_loop, id="uvloop"),
)
# One for each pair of limits.
PURPOSES = (handshake.Purpose.REPLICA, handshake.Purpose.FEED)
STALL_S = 0.85
DELAY_S = 0.3
OBSERVED_S = 5.0
# With READ_SIZE_BYTES of the proxy, a delay for each read makes about 1 MB/s.
SLOW_LINK_DELAY_S = 0.06
LARGE_SIZE_BYTES = 4 * 1024 * 1024
TIMEOUT_S = 30.0
SLACK_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """A test message."""

    body: str


codec.register("test.live", Text)


def _limit_s(purpose, is_connecting):
    limits = liveness.LIMITS[purpose]
    count = limits.connecting_count if is_connecting else limits.accepting_count
    return (count + 1) * limits.interval_ms / 1000


async def _echo(connection):
    while (message := (await connection.receive()).value_or(None)) is not None:
        connection.offer(message)


def _run(main, make_loop=asyncio.new_event_loop):
    with asyncio.Runner(loop_factory=make_loop) as runner:
        return runner.run(main())


@contextlib.asynccontextmanager
async def _connected(purpose, handler=_echo, delay_s=0.0):
    """Yield a connection to a hub through a proxy, and the proxy."""
    server = hub.make_hub(SERVER, HOST, 0)
    server.register(purpose, handler)
    await server.start()
    proxy = await proxies.start_proxy(HOST, server.port, delay_s)
    connection = (await hub.connect(CLIENT, HOST, proxy.port, purpose)).unwrap()
    try:
        yield connection, proxy
    finally:
        connection.abort()
        proxy.server.close()
        proxies.reset_all(proxy)
        await server.close()


@pytest.mark.parametrize("make_loop", LOOPS)
@pytest.mark.parametrize("purpose", PURPOSES)
@pytest.mark.parametrize(
    ("forward", "backward"), [(True, True), (True, False), (False, True)]
)
def test_both_sides_end_a_connection_that_went_silent(
    purpose, forward, backward, make_loop
):
    async def main():
        accepted_end = asyncio.get_running_loop().create_future()

        async def serve(connection):
            await _echo(connection)
            accepted_end.set_result(None)

        ended_count = liveness.ended_counts[purpose.value]
        async with _connected(purpose, serve) as (connection, proxy):
            connection.offer(Text("a"))
            assert (await connection.receive()).unwrap() == Text("a")
            proxies.silence_open(proxy, forward, backward)
            async with asyncio.timeout(_limit_s(purpose, True) + SLACK_S):
                outcome = await connection.receive()
            assert outcome == result.Failure(connections.StreamFailure.SILENT)
            async with asyncio.timeout(_limit_s(purpose, False) + SLACK_S):
                await accepted_end
        return liveness.ended_counts[purpose.value] - ended_count

    assert _run(main, make_loop) >= 1


@pytest.mark.parametrize("make_loop", LOOPS)
@pytest.mark.parametrize("purpose", PURPOSES)
def test_idle_connection_stays_open(purpose, make_loop):
    async def main():
        async with _connected(purpose) as (connection, _):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(_limit_s(purpose, False) + SLACK_S):
                    await connection.receive()
            connection.offer(Text("a"))
            return (await connection.receive()).unwrap()

    assert _run(main, make_loop) == Text("a")


class _StallingServer:
    """A hub in a thread whose event loop stands still for most of each second."""

    def __init__(self, make_loop, purpose):
        self.port = 0
        self.stop = threading.Event()
        self._is_started = threading.Event()
        self._purpose = purpose
        self._thread = threading.Thread(target=_run, args=(self._serve, make_loop))

    def __enter__(self):
        self._thread.start()
        self._is_started.wait()
        return self

    def __exit__(self, *_):
        self.stop.set()
        self._thread.join()

    async def _serve(self):
        server = hub.make_hub(SERVER, HOST, 0)
        server.register(self._purpose, _echo)
        await server.start()
        self.port = server.port
        self._is_started.set()
        while not self.stop.is_set():
            await asyncio.sleep(1.0 - STALL_S)
            self.stop.wait(STALL_S)
        await server.close()


@pytest.mark.parametrize("make_loop", LOOPS)
@pytest.mark.parametrize("delay_s", [0.0, DELAY_S])
def test_process_that_stalls_for_most_of_a_second_keeps_its_connection(
    delay_s, make_loop
):
    purpose = handshake.Purpose.REPLICA

    async def main(port):
        proxy = await proxies.start_proxy(HOST, port, delay_s)
        connection = (await hub.connect(CLIENT, HOST, proxy.port, purpose)).unwrap()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(OBSERVED_S):
                await connection.receive()
        connection.abort()
        proxy.server.close()
        proxies.reset_all(proxy)

    with _StallingServer(make_loop, purpose) as server:
        _run(lambda: main(server.port), make_loop)


@pytest.mark.parametrize("make_loop", LOOPS)
def test_link_with_a_delay_keeps_its_connection(make_loop):
    async def main():
        purpose = handshake.Purpose.REPLICA
        async with _connected(purpose, delay_s=DELAY_S) as (connection, _):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(OBSERVED_S):
                    await connection.receive()

    _run(main, make_loop)


@pytest.mark.parametrize("make_loop", LOOPS)
@pytest.mark.parametrize("stall_s", [STALL_S, 3 * STALL_S])
def test_process_that_stood_still_does_not_end_its_connections(
    monkeypatch, make_loop, stall_s
):
    purpose = handshake.Purpose.REPLICA
    patient = dataclasses.replace(liveness.LIMITS[purpose], accepting_count=1000)
    monkeypatch.setitem(liveness.LIMITS, purpose, patient)

    async def main():
        async with _connected(purpose) as (connection, _):
            receiving = asyncio.create_task(connection.receive())
            for _ in range(int(OBSERVED_S / stall_s)):
                await asyncio.sleep(0.05)
                time.sleep(stall_s)  # noqa: ASYNC251
            await asyncio.sleep(_limit_s(purpose, True))
            is_open = not receiving.done()
            receiving.cancel()
            return is_open

    assert _run(main, make_loop)


@pytest.mark.parametrize("make_loop", LOOPS)
def test_large_message_on_a_slow_link_does_not_look_like_silence(make_loop):
    async def main():
        purpose = handshake.Purpose.REPLICA
        async with _connected(purpose) as (connection, proxy):
            proxy.delay_s = SLOW_LINK_DELAY_S
            large = Text("x" * LARGE_SIZE_BYTES)
            connection.offer(large)
            async with asyncio.timeout(TIMEOUT_S):
                return (await connection.receive()).unwrap() == large

    assert _run(main, make_loop)


def test_limit_grows_with_the_bytes_ahead_of_the_oldest_probe():
    state = liveness.make_connecting(handshake.Purpose.REPLICA)
    liveness.record_sent(state, liveness.MIN_RATE_BYTES_PER_S)
    verdicts = []
    while liveness.Verdict.SILENT not in verdicts:
        verdicts.append(liveness.tick(state))
        # Bytes that follow the probe do not delay its reply.
        liveness.record_sent(state, liveness.MIN_RATE_BYTES_PER_S)
    per_s = 1000 // liveness.LIMITS[handshake.Purpose.REPLICA].interval_ms
    assert len(verdicts) == state.limit_count + per_s


def test_replies_confirm_the_bytes_before_them():
    state = liveness.make_connecting(handshake.Purpose.REPLICA)
    liveness.record_sent(state, 100 * liveness.MIN_RATE_BYTES_PER_S)
    for _ in range(2):
        assert liveness.tick(state) is liveness.Verdict.PROBE
        liveness.record_received(state)
        liveness.record_reply(state, liveness.Reply(state.sequence))
    verdicts = [liveness.tick(state) for _ in range(state.limit_count + 1)]
    assert verdicts[-1] is liveness.Verdict.SILENT


@pytest.mark.parametrize("purpose", handshake.Purpose)
def test_long_traffic_in_both_directions_does_not_hide_a_later_silence(purpose):
    state = liveness.make_connecting(purpose)
    for _ in range(1000):
        liveness.record_sent(state, 20_000)
        liveness.record_received(state)
        liveness.record_message(state)
        if liveness.tick(state) is liveness.Verdict.PROBE:
            liveness.record_reply(state, liveness.Reply(state.sequence))
    # One more tick for the bytes since the last probe.
    verdicts = [liveness.tick(state) for _ in range(state.limit_count + 1)]
    assert liveness.Verdict.SILENT in verdicts


def test_messages_in_both_directions_need_no_probes():
    state = liveness.make_connecting(handshake.Purpose.FEED)
    for _ in range(10):
        liveness.record_sent(state, 10)
        liveness.record_received(state)
        liveness.record_message(state)
        assert liveness.tick(state) is liveness.Verdict.WAIT


@pytest.mark.parametrize("purpose", handshake.Purpose)
def test_probes_cost_tens_of_bytes_a_second(purpose):
    frame = connections.make_frame(liveness.Probe(1 << 24))
    reply = connections.make_frame(liveness.Reply(1 << 24, 500))
    per_s = 1000 / liveness.LIMITS[purpose].interval_ms
    assert max(len(frame), len(reply)) * per_s < 100


async def _read_body(reader):
    (size_bytes,) = connections.LENGTH_PREFIX.unpack(await reader.readexactly(4))
    return msgpack.unpackb(await reader.readexactly(size_bytes))


def _write_body(writer, value):
    data = msgpack.packb(value)
    writer.write(connections.LENGTH_PREFIX.pack(len(data)) + data)


def _make_earlier_server(received, delay_s=0.0):
    """Return a handler that knows six fields of a greeting, and no probes."""

    async def accept(reader, writer):
        with contextlib.closing(writer), contextlib.suppress(EOFError, OSError):
            await asyncio.sleep(delay_s)
            while True:
                tag, fields = await _read_body(reader)
                received.append((tag, len(fields)))
                if tag == "hs.hello" and len(fields) <= 6:
                    _write_body(writer, ["hs.welcome", ["vm-1", "zone-a"]])
                elif tag == "hs.hello":
                    _write_body(writer, ["hs.refused", ["malformed"]])
                    break
                elif tag != "test.live":
                    break
                else:
                    _write_body(writer, [tag, fields])

    return accept


def test_earlier_version_gets_a_greeting_it_can_read_and_no_probes():
    async def main():
        received = []
        server = await asyncio.start_server(_make_earlier_server(received), HOST, 0)
        port = server.sockets[0].getsockname()[1]
        purpose = handshake.Purpose.REPLICA
        opened = [await hub.connect(CLIENT, HOST, port, purpose) for _ in range(2)]
        first, second = [item.unwrap() for item in opened]
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(_limit_s(purpose, True) + SLACK_S):
                await first.receive()
        first.offer(Text("a"))
        answer = await first.receive()
        for connection in (first, second):
            connection.abort()
        server.close()
        await server.wait_closed()
        failed = await hub.connect(CLIENT, HOST, port, purpose)
        return received, answer.unwrap(), failed, (HOST, port) in hub._earlier_versions

    received, answer, failed, is_remembered = asyncio.run(main())
    # Refused once, then remembered.
    assert [count for tag, count in received if tag == "hs.hello"] == [7, 5, 5]
    assert {tag for tag, _ in received} == {"hs.hello", "test.live"}
    assert answer == Text("a")
    assert failed.failure().reason is hub.ConnectReason.UNREACHABLE
    assert not is_remembered


def test_earlier_version_is_reached_with_time_for_one_handshake_only():
    async def main():
        accept = _make_earlier_server([], delay_s=0.6)
        server = await asyncio.start_server(accept, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        for _ in range(2):
            outcome = await hub.connect(
                CLIENT, HOST, port, handshake.Purpose.REPLICA, timeout_s=1.0
            )
        connection = outcome.value_or(None)
        if connection is not None:
            await connection.close()
        server.close()
        await server.wait_closed()
        return connection is not None

    assert asyncio.run(main())


@pytest.mark.parametrize("group", [[], [""]])
def test_greeting_of_an_earlier_version_gets_an_answer_it_can_read_and_no_end(group):
    purpose = handshake.Purpose.REPLICA

    async def main():
        server = hub.make_hub(SERVER, HOST, 0)
        server.register(purpose, _echo)
        await server.start()
        reader, writer = await asyncio.open_connection(HOST, server.port)
        greeting = [1, "north", "vm-2", "zone-b", purpose.value, *group]
        _write_body(writer, ["hs.hello", greeting])
        welcome = await _read_body(reader)
        await asyncio.sleep(_limit_s(purpose, False) + SLACK_S)
        _write_body(writer, ["test.live", ["a"]])
        answer = await _read_body(reader)
        writer.close()
        await server.close()
        return welcome, answer

    welcome, answer = asyncio.run(main())
    assert welcome == ["hs.welcome", ["vm-1", "zone-a"]]
    assert answer == ["test.live", ["a"]]


def test_refusal_for_another_reason_is_final():
    async def main():
        server = hub.make_hub(SERVER, HOST, 0)
        await server.start()
        purpose = handshake.Purpose.REPLICA
        outcome = await hub.connect(CLIENT, HOST, server.port, purpose)
        await server.close()
        return outcome.failure().refusal, dict(server.refusals)

    reason = handshake.RefusalReason.WRONG_PURPOSE
    assert asyncio.run(main()) == (reason, {reason: 1})
