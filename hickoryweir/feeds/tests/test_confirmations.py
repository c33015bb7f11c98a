"""Acknowledgements of tables that wait for the routers."""

import asyncio

from hickoryweir.feeds import confirmations, messages, subscriber
from hickoryweir.feeds.tests import test_feeds, test_following
from hickoryweir.streams import handshake, hub

HOST = test_feeds.HOST
TIMEOUT_S = 0.5
IN_FORCE = confirmations.Waited()


def make_settled():
    """Return the confirmations of a replica that started long ago."""
    return confirmations.Confirmations(float("-inf"))


def test_wait_ends_as_soon_as_the_last_router_confirms():
    async def main():
        known = make_settled()
        for router, version in (("a", 1), ("b", 2)):
            known.add(router)
            known.confirm(router, version)
        asyncio.get_running_loop().call_later(0.05, known.confirm, "a", 3)
        asyncio.get_running_loop().call_later(0.1, known.confirm, "b", 3)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        waited = await known.wait(3, TIMEOUT_S)
        return waited, loop.time() - started_s

    waited, duration_s = asyncio.run(main())
    assert waited == IN_FORCE
    assert 0.09 <= duration_s < TIMEOUT_S


def test_router_that_stands_still_delays_a_single_acknowledgement():
    async def main():
        known = make_settled()
        known.add("a")
        known.confirm("a", 1)
        first = await known.wait(2, TIMEOUT_S)
        second = await known.wait(3, TIMEOUT_S)
        known.confirm("a", 2)
        third = await known.wait(3, TIMEOUT_S)
        return first, second, third

    late = confirmations.Waited(frozenset({"a"}))
    assert asyncio.run(main()) == (late, IN_FORCE, late)


def test_wait_that_left_routers_too_little_time_is_not_conclusive():
    async def main():
        known = make_settled()
        known.add("a")
        known.confirm("a", 1)
        return [await known.wait(2, left_s) for left_s in (0.05, -1.0)]

    waited = confirmations.Waited(frozenset({"a"}), is_conclusive=False)
    assert asyncio.run(main()) == [waited, waited]


def test_router_that_disconnects_is_no_longer_waited_for():
    async def main():
        known = make_settled()
        known.add("a")
        known.confirm("a", 1)
        asyncio.get_running_loop().call_later(0.05, known.remove, "a")
        return await known.wait(2, TIMEOUT_S)

    assert asyncio.run(main()) == IN_FORCE


def test_replica_that_has_just_started_gives_its_routers_time_to_connect():
    async def main():
        known = confirmations.make_confirmations()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        too_soon = await known.wait(2, TIMEOUT_S)
        settled = await known.wait(2, 2 * confirmations.SETTLING_S)
        return too_soon, settled, loop.time() - started_s

    too_soon, settled, duration_s = asyncio.run(main())
    assert not too_soon.is_conclusive
    assert settled == IN_FORCE
    assert duration_s >= subscriber.CONNECT_TIMEOUT_S + subscriber.RETRY_MAX_S


def test_replica_waits_until_its_router_has_applied_the_table():
    async def main():
        async with test_feeds.run_feeds([1]) as (replicas, _, applied):
            known = replicas[0].publisher.confirmations
            await test_feeds.wait_until(lambda: known.pending(2))
            test_feeds.set_version(replicas[0], 2)
            waited = await known.wait(2, test_feeds.TIMEOUT_S)
            return waited, applied[-1]

    waited, applied = asyncio.run(main())
    assert waited == IN_FORCE
    assert applied == (2, b"table 2")


def test_router_that_reconnects_tells_the_version_that_it_has():
    async def main():
        async with test_feeds.run_feeds([1]) as (replicas, feed, _):
            known = replicas[0].publisher.confirmations
            await test_feeds.wait_until(lambda: known.pending(2))
            for connection in list(feed._open_connections):
                connection.abort()
            await test_feeds.wait_until(lambda: not known.pending(2))
            await test_feeds.wait_until(lambda: known.pending(2))

    asyncio.run(main())


def test_router_of_an_earlier_version_is_not_waited_for():
    async def main():
        async with test_feeds.run_feeds([1]) as (replicas, _, _):
            replica = replicas[0]
            outcome = await hub.connect(
                handshake.Identity("test", "earlier", "a"),
                HOST,
                replica.address.port,
                handshake.Purpose.FEED,
            )
            connection = outcome.unwrap()
            heartbeat = (await connection.receive()).unwrap()
            waited = await replica.publisher.confirmations.wait(1, TIMEOUT_S)
            connection.abort()
            return heartbeat, waited

    heartbeat, waited = asyncio.run(main())
    assert isinstance(heartbeat, messages.Heartbeat)
    assert waited.late == frozenset()


def test_replica_of_an_earlier_version_is_followed_and_sent_no_confirmation():
    async def main():
        received = []
        serve = test_following.make_feed(3, True, received)
        async with (
            test_following.run_replica("earlier", serve, group="") as address,
            test_following.run_subscriber((address,)) as applied,
        ):
            await test_feeds.wait_until(lambda: applied)
            await asyncio.sleep(0.1)
            return applied, received

    applied, received = asyncio.run(main())
    assert applied == [3]
    assert received == [messages.TableRequest()]
