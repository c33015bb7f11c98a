"""Tables that replicas have acknowledged, while processes are lost right afterwards."""

import asyncio
import itertools

from hickoryweir.testing.soak import callers
from hickoryweir.testing.soak import cluster as clusters

ROUTERS_COUNT = 3
ROUNDS_COUNT = 4
READ_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.05


async def put_until_acknowledged(cluster, version, hosts):
    """Send a table to replicas in turn; return when it is acknowledged."""
    async with callers.make_session(callers.OPERATOR_TIMEOUT_S) as session:
        for host in itertools.cycle(hosts):
            if await callers.put_table_to(session, cluster, version, host):
                return
            await asyncio.sleep(RETRY_INTERVAL_S)


async def read_statuses(cluster, version):
    """Return each router's status of a request on the route that a table added."""

    async def read(router):
        async with callers.make_session(READ_TIMEOUT_S) as session:
            call = await callers.send(
                session, cluster, router, f"v{version}", f"{router.host}-{version}"
            )
            return call.status

    return await asyncio.gather(*[read(router) for router in cluster.routers])


async def start(folder):
    """Start a cluster in which the first table is in force."""
    cluster = await clusters.start_cluster(folder, ROUTERS_COUNT)
    hosts = [replica.host for replica in cluster.replicas]
    await put_until_acknowledged(cluster, 1, hosts)
    async with callers.make_session(READ_TIMEOUT_S) as session:
        for router in cluster.routers:
            await clusters.wait_until_ready(session, cluster, router)
    return cluster


def test_acknowledged_table_is_in_force_though_all_replicas_are_killed(tmp_path):
    async def main():
        cluster = await start(tmp_path)
        statuses = []
        try:
            hosts = [replica.host for replica in cluster.replicas[:3]]
            for number in range(ROUNDS_COUNT):
                version = number + 2
                first = number % len(hosts)
                await put_until_acknowledged(
                    cluster, version, [*hosts[first:], *hosts[:first]]
                )
                for replica in cluster.replicas:
                    clusters.kill(replica)
                statuses.append(await read_statuses(cluster, version))
                for replica in cluster.replicas:
                    clusters.launch(replica)
        finally:
            await clusters.stop_all(cluster)
        return statuses

    assert asyncio.run(main()) == [[200] * ROUTERS_COUNT] * ROUNDS_COUNT
