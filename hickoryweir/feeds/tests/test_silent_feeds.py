"""Feeds whose open connections go silent while new ones work."""

import asyncio

import pytest

from hickoryweir.feeds import messages
from hickoryweir.feeds.tests import test_feeds
from hickoryweir.replicas.tests import silent_links
from hickoryweir.testing import waiting

# Until a router has reconnected and its former connection has ended.
RECOVERY_S = 5.0
LOAD = messages.ServerLoad("s1", 3, 100)
DIRECTIONS = (
    pytest.param(True, True, id="all"),
    pytest.param(True, False, id="towards_listener"),
    pytest.param(False, True, id="from_listener"),
)


def _run(monkeypatch, break_feeds, check):
    """Return what `check` returns after `break_feeds`, with a router at its feed."""

    async def scenario():
        with silent_links.link_by_proxies(monkeypatch) as mesh:
            async with test_feeds.run_feeds([1], leader_number=0) as (
                replicas,
                feed,
                _,
            ):
                known = replicas[0].publisher.confirmations
                await test_feeds.wait_until(lambda: known.count_in_force(1))
                await test_feeds.wait_until(
                    lambda: feed.send_loads(messages.RouterLoads((LOAD,), ()))
                )
                await test_feeds.wait_until(lambda: replicas[0].publisher._loads)
                break_feeds(mesh)
                return await check(replicas[0], feed)

    return asyncio.run(scenario())


@pytest.mark.parametrize(("forward", "backward"), DIRECTIONS)
def test_router_whose_feed_went_silent_gets_and_confirms_the_next_table(
    monkeypatch, forward, backward
):
    async def check(replica, feed):
        known = replica.publisher.confirmations
        test_feeds.set_version(replica, 2)
        await waiting.wait_until(lambda: known.count_in_force(2), RECOVERY_S)
        return feed.view.table_version

    def break_feeds(mesh):
        mesh.silence({"router"}, forward, backward)

    assert _run(monkeypatch, break_feeds, check) == 2


@pytest.mark.parametrize(("forward", "backward"), DIRECTIONS)
def test_replica_forgets_a_feed_that_went_silent(monkeypatch, forward, backward):
    async def check(replica, feed):
        feeds = replica.publisher
        former = set(feeds._subscribers)
        await waiting.wait_until(
            lambda: (
                not former & set(feeds._subscribers)
                and len(feeds._subscribers) == feeds.confirmations.routers_count == 1
                and not feeds._loads
            ),
            RECOVERY_S,
        )

    def break_feeds(mesh):
        mesh.silence({"router"}, forward, backward)

    _run(monkeypatch, break_feeds, check)


@pytest.mark.parametrize(("forward", "backward"), DIRECTIONS)
def test_router_that_returns_from_a_silent_feed_is_not_waited_for_twice(
    monkeypatch, forward, backward
):
    async def check(replica, feed):
        feeds = replica.publisher
        (former,) = feeds._subscribers
        await waiting.wait_until(
            lambda: set(feeds._subscribers) - {former}, 2 * RECOVERY_S
        )
        await asyncio.sleep(0)
        return former in feeds._subscribers

    def break_feeds(mesh):
        mesh.silence({"router"}, forward, backward)

    assert not _run(monkeypatch, break_feeds, check)
