"""Replica processes of which one loses its disk while all others are killed."""

import asyncio
import time

import pytest

from hickoryweir.testing.soak import callers
from hickoryweir.testing.soak import cluster as clusters

ROUTERS_COUNT = 1
# A replica counts towards the tolerance once it has run for this time.
CATCH_UP_S = 4.0
# Within this time after the last fault the table is read.
RECOVERY_S = 12.0
START_TIMEOUT_S = 60.0
# The users' bound for the acknowledgement of a change, which holds in a stable core.
ACKNOWLEDGED_S = 4.0
# Three replicas in a zone each, and one that joins in the zone of the one it succeeds.
SEED_ZONES = ("a", "b", "c")
# Five of six replicas vote where two may be lost at once.
SHARED_ZONES = SEED_ZONES * 2
# Longer than it takes until a spare replica votes in place of one that is down.
ABSENT_S = 3.0
READ_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.05


async def put(cluster, version, limit_s=ACKNOWLEDGED_S):
    """Send a table to the replicas in turn until one acknowledges it, within a time."""
    running = [replica for replica in cluster.replicas if replica.process]
    async with callers.make_session(READ_TIMEOUT_S) as session:
        async with asyncio.timeout(limit_s):
            while True:
                for replica in running:
                    if await callers.put_table_to(
                        session, cluster, version, replica.host
                    ):
                        return
                    await asyncio.sleep(RETRY_INTERVAL_S)


async def read_newest(cluster, limit_s):
    """Return the first version that a replica answers within a time, or None."""
    until_s = time.monotonic() + limit_s
    running = [replica for replica in cluster.replicas if replica.process]
    seen = callers.Observations()
    async with callers.make_session(READ_TIMEOUT_S) as session:
        while not seen.read_back and time.monotonic() < until_s:
            for replica in running:
                await callers.read_replica(session, cluster, seen, replica)
            await asyncio.sleep(RETRY_INTERVAL_S)
    return seen.read_back[0].version if seen.read_back else None


async def launch(cluster, members):
    """Start replicas; return once they listen, as each takes long beside load."""
    for member in members:
        clusters.launch(member)
    await wait_until_listening(cluster, members)


async def wait_until_listening(cluster, members=()):
    """Wait for some replicas, or for all."""
    waiting = list(members or cluster.replicas)
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            waiting = [
                member for member in waiting if not await is_listening(cluster, member)
            ]
            if not waiting:
                return
            await asyncio.sleep(RETRY_INTERVAL_S)


async def is_listening(cluster, member):
    """Return whether a replica accepts connections of operators."""
    try:
        _, writer = await asyncio.open_connection(member.host, cluster.port)
    except OSError:
        return False
    writer.close()
    return True


async def lose_disk_and_power(cluster, *lost):
    """Kill all replicas that run; start them again, some of them with empty disks."""
    running = [replica for replica in cluster.replicas if replica.process]
    for replica in running:
        clusters.kill(replica)
    for replica in lost:
        empty_disk(replica)
    await launch(cluster, running)


def empty_disk(member):
    """Empty the data folder of a member that is down and may not bootstrap."""
    clusters.wipe(member)
    text = member.settings_path.read_text()
    member.settings_path.write_text(text.replace("bootstrap = yes", "bootstrap = no"))


@pytest.mark.parametrize("stopped", range(clusters.SEEDS_COUNT))
def test_table_is_read_after_a_replica_is_replaced_as_planned_and_a_disk_is_lost(
    tmp_path, stopped
):
    async def main():
        cluster = await clusters.start_cluster(tmp_path, ROUTERS_COUNT)
        try:
            await put(cluster, 1, START_TIMEOUT_S)
            await wait_until_listening(cluster)
            await asyncio.sleep(CATCH_UP_S)
            await clusters.stop(cluster, cluster.replicas[stopped])
            await put(cluster, 2)
            running = [replica for replica in cluster.replicas if replica.process]
            await lose_disk_and_power(cluster, running[stopped % 2])
            return await read_newest(cluster, RECOVERY_S)
        finally:
            await clusters.stop_all(cluster)

    assert asyncio.run(main()) == 2


@pytest.mark.parametrize("restarted", range(clusters.SEEDS_COUNT))
def test_table_is_read_after_a_spare_that_had_voted_and_a_disk_are_lost(
    tmp_path, restarted
):
    async def main():
        cluster = await clusters.start_cluster(tmp_path, ROUTERS_COUNT)
        try:
            await put(cluster, 1, START_TIMEOUT_S)
            await wait_until_listening(cluster)
            spare = cluster.replicas[clusters.SEEDS_COUNT]
            clusters.write_settings(cluster, spare, is_in_fault_budget="no")
            clusters.reload(cluster, spare)
            await asyncio.sleep(CATCH_UP_S)
            clusters.kill(cluster.replicas[restarted])
            await asyncio.sleep(ABSENT_S)
            await launch(cluster, [cluster.replicas[restarted]])
            await asyncio.sleep(CATCH_UP_S)
            await put(cluster, 2)
            clusters.kill(spare)
            await lose_disk_and_power(cluster, cluster.replicas[restarted - 1])
            return await read_newest(cluster, RECOVERY_S)
        finally:
            await clusters.stop_all(cluster)

    assert asyncio.run(main()) == 2


@pytest.mark.parametrize("delay_s", [0.0, 0.6])
@pytest.mark.parametrize("lost", range(clusters.SEEDS_COUNT))
def test_table_is_read_after_a_replica_beside_its_successor_and_a_disk_are_lost(
    tmp_path, lost, delay_s
):
    async def main():
        zones = (*SEED_ZONES, SEED_ZONES[lost])
        other = (lost + 1) % len(SEED_ZONES)
        cluster = await clusters.start_cluster(
            tmp_path, ROUTERS_COUNT, replica_zones=zones, started_count=len(SEED_ZONES)
        )
        try:
            await put(cluster, 1, START_TIMEOUT_S)
            await wait_until_listening(cluster, cluster.replicas[: len(SEED_ZONES)])
            await launch(cluster, [cluster.replicas[-1]])
            await asyncio.sleep(CATCH_UP_S)
            clusters.kill(cluster.replicas[lost])
            await asyncio.sleep(delay_s)
            await put(cluster, 2)
            await lose_disk_and_power(cluster, cluster.replicas[other])
            return await read_newest(cluster, RECOVERY_S)
        finally:
            await clusters.stop_all(cluster)

    assert asyncio.run(main()) == 2


@pytest.mark.parametrize("zone", SEED_ZONES[1:])
@pytest.mark.parametrize("lost", [0, 3])
def test_table_is_read_after_a_replica_of_a_shared_zone_and_two_disks_are_lost(
    tmp_path, lost, zone
):
    async def main():
        cluster = await clusters.start_cluster(
            tmp_path,
            ROUTERS_COUNT,
            replica_zones=(*SHARED_ZONES, SHARED_ZONES[lost]),
            started_count=len(SHARED_ZONES) - 1,
            tolerated_losses_count=2,
        )
        try:
            await put(cluster, 1, START_TIMEOUT_S)
            *started, sixth, successor = cluster.replicas
            await wait_until_listening(cluster, started)
            for joining in (sixth, successor):
                await launch(cluster, [joining])
                await asyncio.sleep(CATCH_UP_S)
            clusters.kill(cluster.replicas[lost])
            await put(cluster, 2)
            emptied = [each for each in cluster.replicas if each.zone == zone]
            await lose_disk_and_power(cluster, *emptied)
            return await read_newest(cluster, RECOVERY_S)
        finally:
            await clusters.stop_all(cluster)

    assert asyncio.run(main()) == 2


def test_replica_with_an_empty_disk_joins_again_when_no_other_seed_is_left(tmp_path):
    async def main():
        zones = (*SEED_ZONES, *SEED_ZONES[1:])
        cluster = await clusters.start_cluster(
            tmp_path, ROUTERS_COUNT, replica_zones=zones, started_count=len(SEED_ZONES)
        )
        try:
            await put(cluster, 1, START_TIMEOUT_S)
            await wait_until_listening(cluster, cluster.replicas[: len(SEED_ZONES)])
            for former, successor in ((1, 3), (2, 4)):
                await launch(cluster, [cluster.replicas[successor]])
                await asyncio.sleep(CATCH_UP_S)
                clusters.kill(cluster.replicas[former])
            await put(cluster, 2)
            await lose_disk_and_power(cluster, cluster.replicas[0])
            versions = [await read_newest(cluster, RECOVERY_S)]
            await asyncio.sleep(CATCH_UP_S)
            await put(cluster, 3)
            await lose_disk_and_power(cluster, cluster.replicas[3])
            return [*versions, await read_newest(cluster, RECOVERY_S)]
        finally:
            await clusters.stop_all(cluster)

    assert asyncio.run(main()) == [2, 3]
