"""Routers whose seeds have all been replaced since they started."""

import asyncio

from hickoryweir.entry import own_formats, router, settings
from hickoryweir.entry.tests import test_first_table
from hickoryweir.feeds import messages
from hickoryweir.feeds.tests import test_following
from hickoryweir.replicas import wire
from hickoryweir.streams import handshake, hub
from hickoryweir.testing import waiting

HOST = test_following.HOST
READ_TIMEOUT_S = 1.0
TIMEOUT_S = 10.0


def test_router_reads_the_log_at_the_members_that_its_feeds_name():
    """Guards against a client of the log that knows only replicas that are gone."""
    asked = []

    async def serve_log(connection):
        while (message := (await connection.receive()).value_or(None)) is not None:
            asked.append(message)

    async def main():
        identity = handshake.Identity(settings.CLUSTER_ID, "successor", "a")
        successor = hub.make_hub(identity, HOST, 0)
        successor.register(handshake.Purpose.CLIENT, serve_log)
        await successor.start()
        address = wire.ReplicaAddress("successor", HOST, successor.port, "a")

        async def serve_feed(connection):
            connection.offer(messages.Heartbeat(4, True, 1, 0, 0.0, (address,)))
            await connection.receive()

        entry_settings = settings.parse(test_first_table.SETTINGS, "a.ini").unwrap()
        process = router.Router(entry_settings, own_formats.make_adapters())
        async with test_following.run_replica(
            "seed", serve_feed, cluster_id=settings.CLUSTER_ID
        ) as seed:
            process._subscriber.follow((seed,))
            await waiting.wait_until(
                lambda: address.address in process._subscriber.followed, TIMEOUT_S
            )
        await process._log.wait_until_ready(READ_TIMEOUT_S)
        for task in process._subscriber._tasks.values():
            task.cancel()
        await process._close()
        await successor.close()

    asyncio.run(main())
    assert asked
