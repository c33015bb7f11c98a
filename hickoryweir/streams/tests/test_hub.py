"""Tests of connections between hubs over loopback."""

import asyncio
import dataclasses
import time

import pytest
import uvloop
from returns import result

from hickoryweir.observability import logs
from hickoryweir.streams import codec, connections, handshake, hub, tls
from hickoryweir.testing import certificates as certificate_files


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """A test message."""

    body: str


codec.register("test.text", Text)
SERVER = handshake.Identity("north", "vm-1", "zone-a")
CLIENT = handshake.Identity("north", "vm-2", "zone-b")
LOCALHOST = "127.0.0.1"
# More than the kernel takes at once.
LARGE_TEXT = Text("x" * 6_000_000)


async def echo(connection):
    while True:
        message = (await connection.receive()).value_or(None)
        if message is None:
            return
        await connection.send(message)


async def exchange(identity, purpose, files=None, client_files=None, message=None):
    server = hub.make_hub(SERVER, LOCALHOST, 0, files)
    server.register(handshake.Purpose.CLIENT, echo)
    await server.start()
    try:
        outcome = await hub.connect(
            identity, LOCALHOST, server.port, purpose, client_files or files
        )
        connection = outcome.value_or(None)
        if connection is None:
            return outcome.failure(), server.refusals
        await connection.send(message or Text("hello"))
        answer = await connection.receive()
        await connection.close()
        return answer, server.refusals
    finally:
        await server.close()


def test_message_is_echoed():
    answer, _ = asyncio.run(exchange(CLIENT, handshake.Purpose.CLIENT))
    assert answer.unwrap() == Text("hello")


@pytest.mark.parametrize(
    ("identity", "purpose", "reason"),
    [
        (
            handshake.Identity("south", "vm-2", "zone-b"),
            handshake.Purpose.CLIENT,
            handshake.RefusalReason.WRONG_CLUSTER,
        ),
        (
            CLIENT,
            handshake.Purpose.REPLICA,
            handshake.RefusalReason.WRONG_PURPOSE,
        ),
    ],
)
def test_wrong_cluster_or_purpose_is_refused_and_counted(identity, purpose, reason):
    failure, refusals = asyncio.run(exchange(identity, purpose))
    assert failure == hub.ConnectFailure(hub.ConnectReason.REFUSED, reason)
    assert refusals == {reason: 1}


def test_message_is_echoed_on_uvloop():
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        answer, _ = runner.run(exchange(CLIENT, handshake.Purpose.CLIENT))
    assert answer.unwrap() == Text("hello")


def test_other_protocol_version_is_refused():
    hello = handshake.make_hello(CLIENT, handshake.Purpose.CLIENT)
    newer = dataclasses.replace(hello, protocol_version=2)
    served = frozenset({("client", "")})
    refusal = handshake.check_hello(newer, SERVER, served, None)
    assert refusal is handshake.RefusalReason.WRONG_VERSION


async def _send_raw(data):
    server = hub.make_hub(SERVER, LOCALHOST, 0)
    server.register(handshake.Purpose.CLIENT, echo)
    await server.start()
    reader, writer = await asyncio.open_connection(LOCALHOST, server.port)
    writer.write(data)
    await reader.read()
    writer.close()
    await server.close()
    return server.refusals


def test_oversized_hello_is_refused():
    refusals = asyncio.run(_send_raw(b"\xff\xff\xff\xff"))
    assert refusals == {handshake.RefusalReason.MALFORMED: 1}


def test_oversized_message_is_not_sent():
    async def offer():
        server = hub.make_hub(SERVER, LOCALHOST, 0)
        server.register(handshake.Purpose.CLIENT, echo)
        await server.start()
        connection = (
            await hub.connect(CLIENT, LOCALHOST, server.port, handshake.Purpose.CLIENT)
        ).unwrap()
        large = Text("x" * (connections.MAX_FRAME_SIZE_BYTES + 1))
        outcome = connection.offer(large)
        await connection.close()
        await server.close()
        return outcome

    failure = asyncio.run(offer()).failure()
    assert failure is connections.StreamFailure.FRAME_TOO_LARGE


def test_send_queue_is_bounded():
    async def fill():
        server = hub.make_hub(SERVER, LOCALHOST, 0)
        server.register(handshake.Purpose.CLIENT, echo)
        await server.start()
        connection = (
            await hub.connect(CLIENT, LOCALHOST, server.port, handshake.Purpose.CLIENT)
        ).unwrap()
        outcome = result.Success(None)
        large = Text("x" * (connections.MAX_FRAME_SIZE_BYTES // 2))
        offered_count = 0
        while isinstance(outcome, result.Success):
            outcome = connection.offer(large)
            offered_count += 1
        assert offered_count < 10
        await connection.close()
        await server.close()
        return outcome

    failure = asyncio.run(fill()).failure()
    assert failure is connections.StreamFailure.QUEUE_FULL


def make_files(folder, name):
    return tls.TlsFiles(
        str(folder / f"{name}.crt"),
        str(folder / f"{name}.key"),
        str(folder / "authority.crt"),
    )


@pytest.fixture(scope="module")
def certificates(tmp_path_factory):
    folder = tmp_path_factory.mktemp("certificates")
    authority = certificate_files.write_certificate(folder, "authority")
    for name in ("vm-1", "vm-2"):
        certificate_files.write_certificate(folder, name, authority)
    return folder


def test_message_is_echoed_over_mutual_tls(certificates):
    answer, _ = asyncio.run(
        exchange(
            CLIENT,
            handshake.Purpose.CLIENT,
            make_files(certificates, "vm-1"),
            make_files(certificates, "vm-2"),
        )
    )
    assert answer.unwrap() == Text("hello")


@pytest.mark.parametrize("has_tls", [False, True])
def test_what_was_sent_before_the_end_of_sending_arrives(certificates, has_tls):
    received = []

    async def collect(connection):
        while (message := (await connection.receive()).value_or(None)) is not None:
            received.append(message)

    async def main():
        names = ("vm-1", "vm-2")
        files = [make_files(certificates, name) if has_tls else None for name in names]
        server = hub.make_hub(SERVER, LOCALHOST, 0, files[0])
        server.register(handshake.Purpose.CLIENT, collect)
        await server.start()
        purpose = handshake.Purpose.CLIENT
        outcome = await hub.connect(CLIENT, LOCALHOST, server.port, purpose, files[1])
        connection = outcome.unwrap()
        connection.offer(LARGE_TEXT)
        connection.offer(Text("last"))
        connection.end_sending()
        refused = connection.offer(Text("late"))
        async with asyncio.timeout(10.0):
            ended = await connection.receive()
        await connection.close()
        await server.close()
        return refused, ended

    closed = result.Failure(connections.StreamFailure.CLOSED)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(main()) == (closed, closed)
    assert received == [LARGE_TEXT, Text("last")]


def test_name_missing_from_the_certificate_is_refused(certificates):
    other_process = handshake.Identity("north", "vm-3", "zone-b")
    failure, _ = asyncio.run(
        exchange(
            other_process,
            handshake.Purpose.CLIENT,
            make_files(certificates, "vm-1"),
            make_files(certificates, "vm-2"),
        )
    )
    assert failure.refusal is handshake.RefusalReason.WRONG_NAME


def test_plain_text_client_cannot_connect_to_a_tls_hub(certificates):
    server_files = make_files(certificates, "vm-1")

    async def attempt():
        server = hub.make_hub(SERVER, LOCALHOST, 0, server_files)
        server.register(handshake.Purpose.CLIENT, echo)
        await server.start()
        outcome = await hub.connect(
            CLIENT, LOCALHOST, server.port, handshake.Purpose.CLIENT
        )
        await server.close()
        return outcome

    assert asyncio.run(attempt()).failure().reason is hub.ConnectReason.UNREACHABLE


async def connect_as_client(server):
    return await hub.connect(
        CLIENT, LOCALHOST, server.port, handshake.Purpose.CLIENT, timeout_s=1.0
    )


async def receive_soon(connection):
    async with asyncio.timeout(1.0):
        return await connection.receive()


@pytest.mark.parametrize("reads", [True, False])
def test_closed_registration_leaves_no_connection_open_and_gets_no_new_one(reads):
    async def hang(connection):
        await asyncio.Event().wait()

    async def scenario():
        server = hub.make_hub(SERVER, LOCALHOST, 0)
        handler = echo if reads else hang
        registration = server.register(handshake.Purpose.CLIENT, handler)
        await server.start()
        connection = (await connect_as_client(server)).unwrap()
        await asyncio.sleep(0.05)
        registration.close()
        received = await receive_soon(connection)
        again = await connect_as_client(server)
        served_count = len(server._tasks)
        await server.close()
        return received, again.failure(), served_count

    received, refused, served_count = asyncio.run(scenario())
    assert received == result.Failure(connections.StreamFailure.CLOSED)
    reason = handshake.RefusalReason.WRONG_PURPOSE
    assert refused == hub.ConnectFailure(hub.ConnectReason.REFUSED, reason)
    assert served_count == 0


def test_late_close_of_a_registration_does_not_remove_its_successor():
    async def scenario():
        server = hub.make_hub(SERVER, LOCALHOST, 0)
        former = server.register(handshake.Purpose.CLIENT, echo)
        await server.start()
        old = (await connect_as_client(server)).unwrap()
        await asyncio.sleep(0.05)
        server.register(handshake.Purpose.CLIENT, echo)
        ended = await receive_soon(old)
        former.close()
        new = (await connect_as_client(server)).unwrap()
        await new.send(Text("hello"))
        answer = await receive_soon(new)
        await new.close()
        await server.close()
        return ended, answer

    ended, answer = asyncio.run(scenario())
    assert ended == result.Failure(connections.StreamFailure.CLOSED)
    assert answer == result.Success(Text("hello"))


def test_registration_closed_during_a_handshake_serves_no_connection(monkeypatch):
    write_frame = connections.write_frame

    async def scenario():
        server = hub.make_hub(SERVER, LOCALHOST, 0)
        registration = server.register(handshake.Purpose.CLIENT, echo)
        await server.start()

        async def write_and_close(writer, message):
            await write_frame(writer, message)
            if isinstance(message, handshake.Welcome):
                registration.close()

        monkeypatch.setattr(connections, "write_frame", write_and_close)
        outcome = await connect_as_client(server)
        connection = outcome.value_or(None)
        if connection is not None:
            outcome = await receive_soon(connection)
        await server.close()
        return outcome

    assert isinstance(asyncio.run(scenario()), result.Failure)


def test_connections_that_nothing_serves_are_counted_and_logged_once_a_second(
    monkeypatch,
):
    lines = []
    monkeypatch.setattr(logs, "warning", lambda *entry: lines.append(entry))
    attempts_count = 20

    async def scenario():
        server = hub.make_hub(SERVER, LOCALHOST, 0)
        server.register(handshake.Purpose.CLIENT, echo).close()
        await server.start()
        started_s = time.monotonic()
        for _ in range(attempts_count):
            await connect_as_client(server)
        duration_s = time.monotonic() - started_s
        await server.close()
        return dict(server.unserved_counts), duration_s

    counts, duration_s = asyncio.run(scenario())
    assert counts == {"client": attempts_count}
    assert 1 <= len(lines) <= 1 + duration_s / hub.REFUSAL_LOG_INTERVAL_S
    message, fields = lines[0]
    assert message == "connection refused in the handshake"
    assert fields == logs.Fields(
        reason="wrong_purpose",
        peer=CLIENT.process_name,
        detail="purpose client, 0 more since the last line",
    )
