"""Routers that follow faulty replicas, and connections that are lost early."""

import asyncio
import contextlib
import socket
import struct

import uvloop

from hickoryweir.feeds import messages, subscriber
from hickoryweir.feeds.tests import test_feeds
from hickoryweir.replicas import wire
from hickoryweir.streams import handshake, hub

HOST = test_feeds.HOST
# Less than two heartbeats, so that an answer does not come by the next announcement.
PROMPT_S = 0.45
# Time in which a reset reaches the other side.
RESET_S = 0.1
IDENTITY = handshake.Identity("test", "router", "a")


@contextlib.asynccontextmanager
async def run_replica(name, serve, group=messages.CONFIRMED_FEED, cluster_id="test"):
    """Run a hub whose feed, of one group, is served by ``serve(connection)``."""
    peer_hub = hub.make_hub(handshake.Identity(cluster_id, name, "a"), HOST, 0)
    peer_hub.register(handshake.Purpose.FEED, serve, group)
    await peer_hub.start()
    try:
        yield wire.ReplicaAddress(name, HOST, peer_hub.port, "a")
    finally:
        await peer_hub.close()


@contextlib.asynccontextmanager
async def run_subscriber(addresses, greet=list, is_valid=lambda version: True):
    """Run a router that follows replicas; yield the versions that it applies."""
    applied = []
    feed = subscriber.make_subscriber(
        IDENTITY,
        addresses,
        subscriber.Callbacks(
            lambda version, content: is_valid(version) and not applied.append(version),
            lambda server_list: None,
            lambda: True,
            greet=greet,
        ),
    )
    task = asyncio.create_task(feed.run())
    try:
        yield applied
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def make_feed(version, responds=True, received=None, sent_version=None):
    """Return the handler of a replica that announces a version, and may send it."""
    sent_version = version if sent_version is None else sent_version

    async def serve(connection):
        content = test_feeds.make_stored(sent_version).compressed
        connection.offer(messages.Heartbeat(version, True, 1, 0, 0.0, ()))
        while (message := (await connection.receive()).value_or(None)) is not None:
            if received is not None:
                received.append(message)
            if responds and isinstance(message, messages.TableRequest):
                connection.offer(messages.TableContent(sent_version, content))

    return serve


def measure_fetch(serve_first):
    """Return after which time a router has the table of the second of two replicas."""

    async def main():
        async with (
            run_replica("first", serve_first) as first,
            run_replica("sound", make_feed(3, responds=True)) as second,
            run_subscriber((first, second)) as applied,
        ):
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            await test_feeds.wait_until(lambda: applied)
            return loop.time() - started_s

    return asyncio.run(main())


def test_table_is_fetched_elsewhere_if_the_replica_that_announced_it_does_not_send_it():
    assert measure_fetch(make_feed(3, responds=False)) < PROMPT_S


def test_table_is_fetched_elsewhere_if_the_replica_that_was_asked_is_lost():
    async def close_on_request(connection):
        connection.offer(messages.Heartbeat(3, True, 1, 0, 0.0, ()))
        await connection.receive()

    assert measure_fetch(close_on_request) < PROMPT_S


def count_requests(version, sent_version, is_valid):
    """Return how often a router asks two replicas that announce a version once."""

    async def main():
        received = []
        feeds = [make_feed(version, True, received, sent_version) for _ in range(2)]
        async with (
            run_replica("first", feeds[0]) as first,
            run_replica("second", feeds[1]) as second,
            run_subscriber((first, second), is_valid=is_valid),
        ):
            await asyncio.sleep(PROMPT_S)
        return received.count(messages.TableRequest())

    return asyncio.run(main())


def test_table_that_a_router_cannot_apply_is_not_requested_in_a_loop():
    assert count_requests(3, 3, lambda version: False) == 2


def test_replica_that_sends_no_newer_table_is_not_asked_in_a_loop():
    assert count_requests(3, -1, lambda version: True) == 2


def test_table_that_could_not_be_applied_is_requested_after_the_next_announcement():
    attempts = []

    async def announce(connection):
        while True:
            connection.offer(messages.Heartbeat(3, True, 1, 0, 0.0, ()))
            await asyncio.sleep(0.05)

    async def main():
        respond = make_feed(3, True)

        async def serve(connection):
            announcing = asyncio.create_task(announce(connection))
            try:
                await respond(connection)
            finally:
                announcing.cancel()

        def is_valid(version):
            attempts.append(version)
            return len(attempts) > 2

        async with (
            run_replica("sound", serve) as address,
            run_subscriber((address,), is_valid=is_valid) as applied,
        ):
            await test_feeds.wait_until(lambda: applied)

    asyncio.run(main())
    assert attempts == [3, 3, 3]


def test_replica_is_followed_again_after_an_unexpected_error():
    errors = [ValueError("first"), ValueError("second")]

    def greet():
        if errors:
            raise errors.pop()
        return []

    async def main():
        sound = make_feed(3, responds=True)
        async with (
            run_replica("sound", sound) as address,
            run_subscriber((address,), greet) as applied,
        ):
            await test_feeds.wait_until(lambda: applied)

    asyncio.run(main())


def test_connection_that_is_reset_in_the_handshake_is_a_failure(monkeypatch):
    async def close(connection):
        connection._writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        connection.abort()

    async def read_welcome_late(*args):
        peer = await read_welcome(*args)
        await asyncio.sleep(RESET_S)
        return peer

    read_welcome = hub._read_welcome

    async def main():
        async with run_replica("sound", close) as address:
            monkeypatch.setattr(hub, "_read_welcome", read_welcome_late)
            return await hub.connect(
                IDENTITY,
                HOST,
                address.port,
                handshake.Purpose.FEED,
                group=messages.CONFIRMED_FEED,
            )

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        outcome = runner.run(main())
    assert outcome.failure().reason is hub.ConnectReason.UNREACHABLE
