"""Metrics of a replica's node and of its connections."""

import asyncio
import itertools

from hickoryweir.entry import own_formats, replica, replica_metrics, settings
from hickoryweir.observability import forwarding_metrics
from hickoryweir.replicas.tests import register
from hickoryweir.streams import handshake
from hickoryweir.testing import waiting

TIMEOUT_S = 10.0
QUIET_S = 2.0
SETTINGS = """
[process]
role = replica
host = 127.0.0.1
availability_zone = a
peer_port = 0
seeds = 127.0.0.1:1

[replica]
data_folder = {folder}
bootstrap = no
"""


def collect(running):
    """Return the values of a running replica by name and labels."""
    collector = replica_metrics.ReplicaCollector(lambda: running.node, running.hub)
    return {
        (sample.name.removeprefix("hickoryweir_"), *sample.labels.values()): (
            sample.value
        )
        for family in collector.collect()
        for sample in family.samples
    }


def test_metrics_show_roles_quorum_and_who_is_heard(tmp_path):
    async def scenario():
        async with register.run_cluster(tmp_path) as (replicas, router):
            leader = replicas[router.leader_name]
            others = [name for name in replicas if name != router.leader_name]

            def is_heard():
                values = collect(leader)
                return all(
                    values["replica_last_heard_seconds", name] < 0.5
                    and values["replica_incoming_connections", name] == 1
                    for name in others
                )

            await waiting.wait_until(is_heard, TIMEOUT_S)
            return collect(leader), collect(replicas[others[0]])

    leading, following = asyncio.run(scenario())
    roles = [
        (values["replica_role", "leader"], values["replica_role", "follower"])
        for values in (leading, following)
    ]
    assert roles == [(1, 0), (0, 1)]
    assert leading["replica_has_quorum",] == following["replica_has_quorum",] == 1


def test_followers_that_exchange_nothing_but_probes_hear_each_other(tmp_path):
    async def scenario():
        async with register.run_cluster(tmp_path) as (replicas, _):
            pairs = list(itertools.permutations(replicas, 2))

            def are_heard():
                return all(
                    collect(replicas[name])["replica_last_heard_seconds", other] < 1.0
                    for name, other in pairs
                )

            await waiting.wait_until(are_heard, TIMEOUT_S)
            await asyncio.sleep(QUIET_S)
            await waiting.wait_until(are_heard, TIMEOUT_S)

    asyncio.run(scenario())


def test_metrics_tell_a_replica_that_nobody_reaches_from_a_healthy_one(tmp_path):
    async def scenario():
        async with register.run_cluster(tmp_path) as (replicas, router):
            deaf, other = (name for name in replicas if name != router.leader_name)
            replicas[deaf].node._close_registrations()

            def is_shown():
                values = collect(replicas[deaf])
                return (
                    values["unserved_connections_total", "replica"] > 0
                    and values["replica_incoming_connections", other] == 0
                    and values["replica_incoming_connections", router.leader_name] == 0
                )

            await waiting.wait_until(is_shown, TIMEOUT_S)
            return collect(replicas[other])

    healthy = asyncio.run(scenario())
    assert healthy["unserved_connections_total", "replica"] == 0


def test_replica_whose_folder_is_not_open_shows_it(tmp_path):
    text = SETTINGS.format(folder=tmp_path / "data")
    entry_settings = settings.parse(text, "a.ini").unwrap()

    async def main():
        process = replica.Replica(entry_settings, own_formats.make_adapters())
        text = forwarding_metrics.expose(process._metrics).decode()
        await process._close()
        return text.splitlines()

    lines = asyncio.run(main())
    assert 'hickoryweir_replica_role{role="not_open"} 1.0' in lines
    assert "hickoryweir_replica_has_quorum 0.0" in lines
    for purpose in handshake.Purpose:
        name = "hickoryweir_unserved_connections_total"
        assert f'{name}{{purpose="{purpose}"}} 0.0' in lines
