"""Feeds from replicas to routers over loopback sockets."""

import asyncio
import contextlib
import dataclasses

import aiohttp
from aiohttp import web
from returns import result

from hickoryweir import clocks
from hickoryweir.discovery import listing
from hickoryweir.feeds import messages, publisher, subscriber
from hickoryweir.replicas import wire
from hickoryweir.routes import store
from hickoryweir.streams import handshake, hub
from hickoryweir.testing import waiting

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
SERVER = listing.BackendServer(
    "s1", "app", "10.0.0.1:80", "a", listing.ServerState.READY, 8, 0.0
)


def make_stored(version):
    command = store.make_command(version, b"table %d" % version)
    return store.StoredTable(command.version, command.compressed)


@dataclasses.dataclass(slots=True)
class Replica:
    """A publisher whose log status tests can change."""

    address: wire.ReplicaAddress
    publisher: publisher.Publisher | None
    hub: hub.Hub
    log_status: publisher.LogStatus
    pages: list
    tasks: list


async def start_list(pages):
    """Serve the last of `pages` as the server list; return its source."""

    async def handle(request):
        return web.Response(text=str(len(pages) - 1))

    listener = await asyncio.get_running_loop().create_server(
        web.Server(handle, access_log=None), HOST, 0
    )
    port = listener.sockets[0].getsockname()[1]
    return listing.Source(
        lambda token: f"http://{HOST}:{port}/",
        lambda body: result.Success(listing.Page(pages[int(body)], None)),
    )


async def start_replica(name, version, session, is_leader=False):
    peer_hub = hub.make_hub(handshake.Identity("test", name, "a"), HOST, 0)
    log_status = publisher.LogStatus(make_stored(version), is_leader, True, ())
    pages = [(SERVER,)]
    replica = Replica(None, None, peer_hub, log_status, pages, [])
    source = await start_list(pages)
    feed_publisher = publisher.make_publisher(
        peer_hub, lambda: replica.log_status, session, source
    )
    replica.publisher = feed_publisher
    await peer_hub.start()
    replica.address = wire.ReplicaAddress(name, HOST, peer_hub.port, "a")
    replica.tasks.append(asyncio.create_task(feed_publisher.run()))
    return replica


@contextlib.asynccontextmanager
async def run_feeds(versions, leader_number=None, may_fetch=lambda: True):
    """Run one replica per version and a router that follows all of them."""
    session = aiohttp.ClientSession()
    replicas = [
        await start_replica(f"r{number}", version, session, number == leader_number)
        for number, version in enumerate(versions)
    ]
    applied = []

    def on_table(version, content):
        applied.append((version, content))
        return True

    feed = subscriber.make_subscriber(
        handshake.Identity("test", "router", "a"),
        tuple(item.address for item in replicas),
        subscriber.Callbacks(on_table, lambda server_list: None, may_fetch),
    )
    task = asyncio.create_task(feed.run())
    try:
        yield replicas, feed, applied
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for item in replicas:
            await stop(item)
        await session.close()


async def stop(replica):
    for task in replica.tasks:
        task.cancel()
    await asyncio.gather(*replica.tasks, return_exceptions=True)
    await replica.hub.close()


async def wait_until(condition):
    await waiting.wait_until(condition, TIMEOUT_S)


def set_version(replica, version):
    replica.log_status = dataclasses.replace(
        replica.log_status, stored=make_stored(version)
    )


def test_router_applies_the_highest_version_of_any_replica():
    async def main():
        async with run_feeds([3, 5, 4]) as (_, feed, applied):
            await wait_until(lambda: feed.view.table_version == 5)
            return applied[-1]

    assert asyncio.run(main()) == (5, b"table 5")


def test_lagging_replica_never_restores_an_older_table():
    async def main():
        async with run_feeds([5, 5]) as (replicas, feed, applied):
            await wait_until(lambda: feed.view.table_version == 5)
            set_version(replicas[0], 4)
            set_version(replicas[1], 7)
            await wait_until(lambda: feed.view.table_version == 7)
            set_version(replicas[1], 6)
            await asyncio.sleep(3 * publisher.HEARTBEAT_INTERVAL_S)
            return [version for version, _ in applied]

    versions = asyncio.run(main())
    assert versions == sorted(versions)
    assert versions[-1] == 7


def test_new_version_arrives_while_another_replica_is_down():
    async def main():
        async with run_feeds([1, 1]) as (replicas, feed, _):
            await wait_until(lambda: feed.view.table_version == 1)
            await stop(replicas[0])
            set_version(replicas[1], 2)
            await wait_until(lambda: feed.view.table_version == 2)

    asyncio.run(main())


def test_no_table_is_applied_before_fetching_is_allowed():
    allowed = []

    async def main():
        feeds = run_feeds([2], may_fetch=lambda: bool(allowed))
        async with feeds as (_, feed, applied):
            await wait_until(lambda: feed.view.announced_version == 2)
            await asyncio.sleep(2 * publisher.HEARTBEAT_INTERVAL_S)
            before = list(applied)
            allowed.append(True)
            await wait_until(lambda: feed.view.table_version == 2)
            return before

    assert asyncio.run(main()) == []


def test_leader_sends_the_server_list_and_refreshes_its_age():
    async def main():
        async with run_feeds([1, 1], leader_number=1) as (replicas, feed, _):
            await wait_until(lambda: feed.view.servers is not None)
            first = feed.view.servers
            await wait_until(
                lambda: feed.view.servers.read_at_s > first.read_at_s + 0.5
            )
            replicas[1].pages.append(
                (SERVER, dataclasses.replace(SERVER, server_id="s2"))
            )
            await wait_until(lambda: len(feed.view.servers.servers) == 2)
            return first.servers

    assert asyncio.run(main()) == (SERVER,)


def test_older_server_list_is_ignored():
    applied = []
    feed = subscriber.make_subscriber(
        handshake.Identity("test", "router", "a"),
        (),
        subscriber.Callbacks(lambda *args: True, applied.append, lambda: True),
    )
    newer = listing.ServerList((SERVER,), 10.0)
    feed.apply_list(newer)
    feed.apply_list(listing.ServerList((), 9.0))
    assert applied == [newer]
    assert feed.view.servers == newer


def test_burst_of_lost_requests_reaches_other_routers_in_one_message():
    received = []

    async def main():
        async with run_feeds([1, 1]) as (replicas, first, _):
            second = subscriber.make_subscriber(
                handshake.Identity("test", "router-2", "a"),
                tuple(item.address for item in replicas),
                subscriber.Callbacks(
                    lambda *args: True,
                    lambda server_list: None,
                    lambda: True,
                    lambda lost: received.append((lost.server_id, lost.fingerprints)),
                ),
            )
            task = asyncio.create_task(second.run())
            await wait_until(lambda: second.view.table_version == 1)
            await wait_until(lambda: first.view.routers_count == 2)
            for fingerprint in (7, 8):
                first.report_lost("s1", fingerprint, clocks.boottime_s())
            await wait_until(lambda: received)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())
    assert set(received) == {("s1", (7, 8))}


def follow_losses(replicas, received):
    """Return a further router that stores what it is told of lost requests."""
    return subscriber.make_subscriber(
        handshake.Identity("test", "router-2", "a"),
        tuple(item.address for item in replicas),
        subscriber.Callbacks(
            lambda *args: True,
            lambda server_list: None,
            lambda: True,
            received.append,
            on_completed=received.append,
        ),
    )


def test_router_that_starts_later_is_told_of_lost_requests():
    received = []

    async def main():
        async with run_feeds([1, 1]) as (replicas, first, _):
            await wait_until(lambda: first.view.routers_count == 1)
            for server_id in ("s1", "s2"):
                first.report_lost(server_id, 7, clocks.boottime_s())
            await asyncio.sleep(0.1)
            second = follow_losses(replicas, received)
            task = asyncio.create_task(second.run())
            await wait_until(lambda: len(received) == 4)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())
    assert {message.server_id for message in received} == {"s1", "s2"}
    assert all(0.05 < message.age_s < TIMEOUT_S for message in received)


def test_completion_of_a_lost_request_is_told_to_the_other_routers_and_later_ones():
    received, later = [], []

    async def main():
        async with run_feeds([1, 1]) as (replicas, first, _):
            second = follow_losses(replicas, received)
            task = asyncio.create_task(second.run())
            await wait_until(lambda: first.view.routers_count == 2)
            first.report_lost("s1", 7, clocks.boottime_s())
            await wait_until(lambda: received)
            first.report_completed(7)
            completed = messages.RequestsCompleted((7,), 0.0)
            await wait_until(lambda: received[-1] == completed)
            third = follow_losses(replicas, later)
            other = asyncio.create_task(third.run())
            await wait_until(lambda: third.view.table_version == 1)
            for started in (task, other):
                started.cancel()
            await asyncio.gather(task, other, return_exceptions=True)

    asyncio.run(main())
    assert not later


async def wait_for_later_messages(feed):
    """Wait until a router and its leader know that both read later messages."""
    await wait_until(lambda: feed.send_loads(messages.RouterLoads(())))
    await wait_until(lambda: feed._later_replica is not None)


def test_routers_of_earlier_versions_get_no_later_fields_or_messages():
    """Guards against fields that an earlier version can't decode."""
    received = []

    async def main():
        async with run_feeds([1, 1], leader_number=0) as (replicas, first, _):
            earlier = subscriber.make_subscriber(
                handshake.Identity("test", "router-earlier", "a"),
                tuple(item.address for item in replicas),
                subscriber.Callbacks(
                    lambda *args: True,
                    lambda server_list: None,
                    lambda: True,
                    on_loads=received.append,
                ),
            )
            task = asyncio.create_task(earlier.run())
            load = messages.ServerLoad("s1", 1, 5, memory_tokens_count=9)
            await wait_for_later_messages(first)
            await wait_until(lambda: first.send_loads(messages.RouterLoads((load,))))
            await wait_until(lambda: received and received[-1].loads)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())
    assert {total.routers_count for total in received} == {0}
    assert {load.memory_tokens_count for load in received[-1].loads} == {0}
    assert messages.VERSION_MARK not in received[-1].loads


def test_leader_sums_the_speeds_of_all_routers_and_sends_them_to_those_alone():
    """Guards against sums that a router of an older version could not read."""
    received, unasked = [], []

    def make_second(replicas, sink):
        return subscriber.make_subscriber(
            handshake.Identity("test", f"router-{id(sink)}", "a"),
            tuple(item.address for item in replicas),
            subscriber.Callbacks(
                lambda *args: True,
                lambda server_list: None,
                lambda: True,
                on_speeds=sink.append,
            ),
        )

    async def main():
        async with run_feeds([1, 1], leader_number=0) as (replicas, first, _):
            second = make_second(replicas, received)
            silent = make_second(replicas, unasked)
            tasks = [asyncio.create_task(item.run()) for item in (second, silent)]
            report = messages.RouterSpeeds(
                (messages.ServerSpeed("s1", 1_386, 2_000, 0, 0),)
            )
            await wait_for_later_messages(first)
            await wait_for_later_messages(second)
            assert first.send_to_leader(report)
            assert second.send_to_leader(report)
            await wait_until(
                lambda: (
                    received
                    and received[-1].speeds
                    and received[-1].speeds[0].announced_weight > 2_000
                )
            )
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(main())
    (speed,) = received[-1].speeds
    assert abs(speed.announced_log_sum / speed.announced_weight - 0.693) < 0.01
    assert unasked == []


def test_leader_sums_the_loads_of_all_routers():
    received = []

    async def main():
        async with run_feeds([1, 1], leader_number=0) as (replicas, first, _):
            second = subscriber.make_subscriber(
                handshake.Identity("test", "router-2", "a"),
                tuple(item.address for item in replicas),
                subscriber.Callbacks(
                    lambda *args: True,
                    lambda server_list: None,
                    lambda: True,
                    on_loads=received.append,
                ),
            )
            task = asyncio.create_task(second.run())
            load = messages.ServerLoad("s1", 2, 100)
            parts = messages.ServerParts("s1", ("p1", "p2"))
            own = messages.RouterLoads((load,), (parts,))
            await wait_until(lambda: first.send_loads(own))
            await wait_until(lambda: second.send_loads(messages.RouterLoads((load,))))
            await wait_until(
                lambda: received and received[-1].loads[0].requests_count == 4
            )
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())
    assert received[-1].loads == (messages.ServerLoad("s1", 4, 200),)
    sent_parts = [message.parts for message in received if message.parts]
    assert sent_parts == [(messages.ServerParts("s1", ("p1", "p2")),)]


def test_tokens_in_memory_are_summed_for_routers_that_report_theirs():
    """Guards against a replica or router of an earlier version that is cut off.

    It can't read a load with tokens, and its own loads lack them.
    """
    received, seen_by_earlier = [], []

    async def main():
        async with run_feeds([1, 1], leader_number=0) as (replicas, first, _):

            def make(name, on_loads):
                return subscriber.make_subscriber(
                    handshake.Identity("test", name, "a"),
                    tuple(item.address for item in replicas),
                    subscriber.Callbacks(
                        lambda *args: True,
                        lambda server_list: None,
                        lambda: True,
                        on_loads=on_loads,
                    ),
                )

            second = make("router-2", received.append)
            earlier = make("router-0", seen_by_earlier.append)
            tasks = [asyncio.create_task(item.run()) for item in (second, earlier)]
            load = messages.ServerLoad("s1", 1, 100, memory_tokens_count=700)
            own = messages.RouterLoads((load,))
            await wait_until(lambda: first.send_loads(own))
            await wait_until(lambda: second.send_loads(own))
            # Tokens follow once the replica has shown that it reads them.
            await wait_until(lambda: received and received[-1].routers_count == 3)
            assert second.send_loads(own)
            await wait_until(
                lambda: any(item.memory_tokens_count for item in received[-1].loads)
            )
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(main())
    assert (received[-1].reported_count, received[-1].position) == (2, 2)
    assert [item.server_id for item in received[-1].loads] == ["s1"]
    assert seen_by_earlier
    for message in seen_by_earlier:
        assert message.routers_count == 0
        assert all(item.memory_tokens_count == 0 for item in message.loads)


ORIGINS = messages.StreamOrigins("app", "v1", (7, 8))
LISTED = messages.ListedVersions(
    (
        messages.ListedVersion("app", "v1", 1.0),
        messages.ListedVersion("app", "v2", 0.0),
    )
)


def follow(replicas, received, greet=list):
    """Return a further router that stores what it is told of streams."""
    return subscriber.make_subscriber(
        handshake.Identity("test", f"router-{len(received)}", "a"),
        tuple(item.address for item in replicas),
        subscriber.Callbacks(
            lambda *args: True,
            lambda server_list: received.append("list"),
            lambda: True,
            on_origins=received.append,
            on_listed_versions=received.append,
            greet=greet,
        ),
    )


def test_router_is_told_the_origins_of_the_streams_that_it_asks_for():
    received = []

    async def main():
        async with run_feeds([1, 1]) as (replicas, first, _):
            second = follow(replicas, received)
            task = asyncio.create_task(second.run())
            await wait_until(lambda: first.view.routers_count == 2)
            for key in ORIGINS.keys:
                first.report_origin("app", "v1", key)
            await asyncio.sleep(0.1)
            before = list(received)
            second.ask_origins((*ORIGINS.keys, 9))
            await wait_until(lambda: received)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return before

    assert asyncio.run(main()) == []
    assert set(received) == {ORIGINS}


def test_origins_of_streams_outlast_the_replicas_that_a_router_connected_to_first():
    received = []

    async def main():
        async with run_feeds([1, 1, 1]) as (replicas, first, _):
            second = follow(replicas, received)
            task = asyncio.create_task(second.run())
            await wait_until(lambda: second.reached_count == first.reached_count == 3)
            for key in ORIGINS.keys:
                first.report_origin("app", "v1", key)
            await asyncio.sleep(0.1)
            for connection in first._open_connections[:2]:
                gone = next(
                    item
                    for item in replicas
                    if item.address.name == connection.peer.process_name
                )
                await stop(gone)
                replicas.remove(gone)
            second.ask_origins(ORIGINS.keys)
            await wait_until(lambda: received)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())
    assert set(received) == {ORIGINS}


def test_router_that_starts_is_told_the_versions_in_use_before_it_gets_the_list():
    received = []

    async def main():
        async with run_feeds([1], leader_number=0) as (replicas, first, _):
            await wait_until(lambda: first.view.servers is not None)
            first.send_to_all(LISTED)
            await asyncio.sleep(0.1)
            task = asyncio.create_task(follow(replicas, received).run())
            await wait_until(lambda: "list" in received)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())
    listed, last = received
    pairs = [(item.service_name, item.software_version) for item in listed.versions]
    # The list that the leader itself has read names no version.
    assert pairs == [("app", ""), ("app", "v1"), ("app", "v2")]
    assert last == "list"


def test_replica_that_has_restarted_learns_of_streams_from_routers():
    received = []

    async def main():
        async with run_feeds([1]) as (replicas, first, _):
            greeted = follow(replicas, [], greet=lambda: [LISTED, ORIGINS])
            other = follow(replicas, received)
            tasks = [asyncio.create_task(item.run()) for item in (greeted, other)]
            await wait_until(lambda: first.view.routers_count > 1)
            await asyncio.sleep(0.1)
            other.ask_origins(ORIGINS.keys)
            await wait_until(lambda: ORIGINS in received)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(main())


def test_nothing_is_sent_of_versions_while_one_serves():
    received = []

    async def main():
        async with run_feeds([1], leader_number=0) as (replicas, _, _):
            task = asyncio.create_task(follow(replicas, received).run())
            await wait_until(lambda: received)
            await asyncio.sleep(2 * publisher.LIST_READ_INTERVAL_S)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())
    assert received == ["list"]
