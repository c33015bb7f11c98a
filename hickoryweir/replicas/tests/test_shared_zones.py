"""Successors in availability zones that have two voters."""

import pytest

from hickoryweir.replicas import state as states
from hickoryweir.replicas.tests import managed_simulation, test_final_losses

WANTED_COUNT = 5
ELECTED_WITHIN_S = 20.0


class SharedSimulation(managed_simulation.ManagedSimulation):
    """Replicas in zones that their names begin with."""

    def zone_of(self, name):
        """Return the availability zone of a replica."""
        return name[0]


def let_lead(cluster, name):
    """Transfer the leadership until a replica leads."""
    end_s = cluster.now_s + ELECTED_WITHIN_S
    while cluster.now_s < end_s:
        leader = cluster.leader()
        if leader is not None and leader.name == name:
            return
        if leader is not None:
            target = cluster.processes[name].state.member_id
            cluster.step(leader, states.TransferRequested(target))
        cluster.advance(0.2)
    raise AssertionError(f"{name} does not lead")


@pytest.mark.parametrize("seed", range(6))
def test_leaders_of_one_zone_do_not_hand_over_to_each_other_without_end(seed):
    cluster = SharedSimulation(seed, ("a1", "a3", "b1"))
    cluster.advance(2.0)
    cluster.add_machine("a2")
    test_final_losses.put_for(cluster, 5.0)
    cluster.kill("a3")
    cluster.remove_machine("a3")
    test_final_losses.put_for(cluster, 8.0)
    cluster.kill("a2")
    test_final_losses.put_for(cluster, 6.0)
    let_lead(cluster, "a1")
    cluster.add_machine("a4")
    term = cluster.processes["b1"].state.term
    cluster.advance(10.0)
    assert cluster.processes["b1"].state.term <= term + 2


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("removed", ["a1", "a2"])
def test_either_voter_of_a_zone_may_be_lost_beside_a_successor(
    removed, seed, monkeypatch
):
    monkeypatch.setattr(managed_simulation, "VOTERS_WANTED_COUNT", WANTED_COUNT)
    cluster = SharedSimulation(seed, ("a1", "a2", "b1", "b2", "c1"))
    cluster.advance(2.0)
    cluster.add_machine("a3")
    test_final_losses.put_for(cluster, managed_simulation.CATCH_UP_S + 2.0)
    cluster.lose_power(removed)
    cluster.remove_machine(removed)
    cluster.propose_table()
    cluster.advance(0.3)
    for name in sorted(cluster.processes):
        if cluster.is_running(cluster.processes[name]):
            cluster.lose_power(name)
    for name in ("b1", "b2"):
        cluster.lose_disk(name)
    limit_s = managed_simulation.RECOVERY_S
    assert test_final_losses.is_read_within(cluster, limit_s)
