"""Losses of disks, power and processes in series, in simulated time."""

import pytest

from hickoryweir.replicas.tests import managed_simulation

ROUNDS_COUNT = 8


def acknowledged_by(cluster):
    entries = cluster.committed.values()
    return {entry.payload for entry in entries} & cluster.acknowledged


def put_until_acknowledged(cluster, limit_s):
    """Put tables until one is acknowledged; return whether one was in time."""
    known_count = len(cluster.acknowledged)
    end_s = cluster.now_s + limit_s
    while cluster.now_s < end_s:
        cluster.propose_table()
        cluster.advance(0.1)
        if len(cluster.acknowledged) > known_count:
            return True
    return False


def goes_on_without(cluster, name):
    """Return whether the others acknowledge a table within the bound without a replica.

    Two of three hide a third that hears nobody.
    """
    cluster.isolate(name)
    cluster.heals_at_s = cluster.now_s + 2 * managed_simulation.RECOVERY_BOUND_S
    is_acknowledged = put_until_acknowledged(
        cluster, managed_simulation.RECOVERY_BOUND_S
    )
    cluster.heals_at_s = cluster.now_s
    cluster.advance(managed_simulation.CATCH_UP_S)
    return is_acknowledged


def play(seed, rounds_count=ROUNDS_COUNT):
    """Play rounds of faults; each begins right after an acknowledgement."""
    cluster = managed_simulation.ManagedSimulation(seed)
    cluster.advance(2.0)
    for round_number in range(rounds_count):
        assert put_until_acknowledged(cluster, managed_simulation.RECOVERY_S), (
            f"round {round_number}: no service"
        )
        loses_disk = cluster.random.random() < 0.6
        cluster.inject_faults(loses_disk)
        while cluster.random.random() < 0.4:
            # Faults without a further lost disk, while a replacement is in progress.
            put_until_acknowledged(cluster, cluster.random.uniform(0.2, 3.0))
            cluster.inject_faults(loses_disk=False)
        cluster.wait_until_calm()
        cluster.advance(managed_simulation.CATCH_UP_S)
        if loses_disk:
            assert len(cluster.voters()) == 3, f"round {round_number}: not replaced"
        name = sorted(cluster.processes)[round_number % 3]
        assert goes_on_without(cluster, name), f"round {round_number}: no {name}"
    assert put_until_acknowledged(cluster, managed_simulation.RECOVERY_S)
    cluster.advance(2.0)
    if len(digests_of(cluster)) > 1:
        # A lost learner may have been removed just now; the next heartbeats tell.
        cluster.advance(0.5)
    leader = cluster.leader()
    assert leader.state.applied_index == max(cluster.committed)
    assert len(digests_of(cluster)) == 1
    return cluster


def digests_of(cluster):
    """Return the digests of the replicas' state machines."""
    return {process.digest for process in cluster.processes.values()}


# The last seed replaces entries of a segment that is removed later.
@pytest.mark.parametrize("seed", [*range(20), 3495])
def test_acknowledged_commands_survive_losses_of_disks_and_power(seed):
    cluster = play(seed)
    assert acknowledged_by(cluster) == cluster.acknowledged
