"""Bootstrap of a cluster whose replicas are killed or lose their disks meanwhile."""

import asyncio

import pytest

from hickoryweir.replicas import bootstrap, client, wire
from hickoryweir.replicas.tests import register

# Longer than several rounds of questions and an election.
QUIET_S = 2.0


def make_addresses(names=("a", "b", "c")):
    ports = register.reserve_ports(len(names))
    return tuple(
        wire.ReplicaAddress(name, register.HOST, port, f"zone-{name}")
        for name, port in zip(names, ports, strict=True)
    )


async def start(folder, address, addresses, may_bootstrap):
    path = str(folder / address.name)
    return await register.start_replica(
        address.name, address.port, path, addresses, may_bootstrap
    )


async def has_leader_within(addresses, timeout_s):
    router = client.make_client(register.make_identity("router"), addresses)
    try:
        return await router.wait_until_ready(timeout_s)
    finally:
        await router.close()


@pytest.mark.parametrize("name", ["a", "b", "c"])
def test_seed_that_was_killed_before_the_bootstrap_does_not_prevent_it(tmp_path, name):
    async def main():
        addresses = make_addresses()
        (killed,) = [address for address in addresses if address.name == name]
        first = await start(tmp_path, killed, addresses, True)
        await first.crash()
        running = [
            await start(tmp_path, address, addresses, address is not killed)
            for address in addresses
        ]
        begun = await has_leader_within(addresses, register.START_TIMEOUT_S / 3)
        await asyncio.gather(*[replica.crash() for replica in running])
        return begun

    assert asyncio.run(main())


@pytest.mark.parametrize("name", ["a", "b", "c"])
def test_seed_that_was_killed_before_it_had_a_folder_does_not_prevent_the_bootstrap(
    tmp_path, name
):
    async def main():
        addresses = make_addresses()
        running = [
            await start(tmp_path, address, addresses, address.name != name)
            for address in addresses
        ]
        begun = await has_leader_within(addresses, register.START_TIMEOUT_S / 3)
        await asyncio.gather(*[replica.crash() for replica in running])
        return begun

    assert asyncio.run(main())


@pytest.mark.parametrize("kept_name", ["a", "b", "c"])
def test_replicas_with_lost_disks_bootstrap_no_second_cluster(tmp_path, kept_name):
    async def main():
        addresses = make_addresses()
        running = [
            await start(tmp_path, address, addresses, True) for address in addresses
        ]
        assert await has_leader_within(addresses, register.START_TIMEOUT_S / 3)
        await asyncio.gather(*[replica.crash() for replica in running])
        running = [
            await start(
                tmp_path if address.name == kept_name else tmp_path / "new",
                address,
                addresses,
                False,
            )
            for address in addresses
        ]
        has_leader = await has_leader_within(addresses, QUIET_S)
        await asyncio.gather(*[replica.crash() for replica in running])
        return has_leader

    assert not asyncio.run(main())


def make_status(name, empty=True, may_bootstrap=True):
    return wire.Status(
        request_id=0,
        member_id=f"{name}~1",
        availability_zone=name,
        role="follower",
        term=0,
        leader_id="",
        has_quorum=False,
        empty=empty,
        last_index=0,
        commit_index=0,
        snapshot_index=0,
        members=(),
        may_bootstrap=may_bootstrap,
    )


REPLICAS = tuple(wire.ReplicaAddress(name, name, 1, name) for name in ("a", "b", "c"))


def choosers(statuses):
    """Return the names of the replicas that would bootstrap after these answers."""
    return [
        replica.name
        for replica in REPLICAS
        if bootstrap.choose_members(REPLICAS, statuses, replica.name) is not None
    ]


def test_first_replica_that_may_bootstrap_does():
    assert choosers([make_status(name) for name in "abc"]) == ["a"]
    without = make_status("a", may_bootstrap=False)
    assert choosers([without, make_status("b"), make_status("c")]) == ["b"]


@pytest.mark.parametrize("answer", [None, make_status("b", empty=False)])
def test_no_replica_bootstraps_while_one_is_silent_or_holds_state(answer):
    assert choosers([make_status("a"), answer, make_status("c")]) == []


def test_no_replica_bootstraps_if_none_may():
    statuses = [make_status(name, may_bootstrap=False) for name in "abc"]
    assert choosers(statuses) == []
