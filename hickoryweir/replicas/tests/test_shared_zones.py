"""Successors in availability zones that have two voters."""

import dataclasses
import itertools

import pytest

from hickoryweir.replicas import automation, messages, quorums, wire
from hickoryweir.replicas import state as states
from hickoryweir.replicas.tests import managed_simulation, test_final_losses

WANTED_COUNT = 5
TOLERATED_COUNT = 2
ELECTED_WITHIN_S = 20.0
# A silent voter is removed after 1.5 s, and the group is reduced after that.
REDUCED_WITHIN_S = 3.0


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


def start_six(seed):
    """Return a cluster of two replicas in each of three zones, five of which vote."""
    cluster = SharedSimulation(seed, ("a1", "b1", "c1", "a2", "b2"))
    cluster.advance(2.0)
    cluster.add_machine("c2")
    test_final_losses.put_for(cluster, managed_simulation.CATCH_UP_S)
    return cluster


def lose_disks(cluster, seed):
    """Let all lose power at once and two of them their disks; check the recovery.

    Fifteen consecutive seeds lose each pair of the six replicas.
    """
    pairs = list(itertools.combinations(sorted(cluster.processes), TOLERATED_COUNT))
    lost = pairs[seed % len(pairs)]
    cluster.propose_table()
    cluster.advance(cluster.random.choice((0.0, 0.1, 0.3)))
    for name in sorted(cluster.processes):
        if cluster.is_running(cluster.processes[name]):
            cluster.lose_power(name)
    for name in lost:
        cluster.lose_disk(name)
    test_final_losses.check_recovery(cluster)


@pytest.mark.parametrize("seed", range(15))
@pytest.mark.parametrize("removed", ["a1", "a2"])
def test_disks_may_be_lost_after_either_replica_of_a_zone_beside_its_successor(
    removed, seed, monkeypatch
):
    # Guards against votes of a replica that may be lost beside the tolerated losses.
    monkeypatch.setattr(managed_simulation, "VOTERS_WANTED_COUNT", WANTED_COUNT)
    cluster = start_six(seed)
    cluster.add_machine("a3")
    test_final_losses.put_for(cluster, managed_simulation.CATCH_UP_S)
    test_final_losses.put_for(cluster, cluster.random.choice((0.0, 0.5, 2.0)))
    cluster.random.choice((cluster.lose_power, cluster.kill))(removed)
    cluster.remove_machine(removed)
    silent_s = cluster.random.uniform(0.0, REDUCED_WITHIN_S)
    test_final_losses.put_for(cluster, cluster.random.choice((0.0, silent_s)))
    lose_disks(cluster, seed)


@pytest.mark.parametrize("seed", range(15))
@pytest.mark.parametrize("removed", ["a1", "a2"])
def test_disks_may_be_lost_once_the_successor_of_a_lost_replica_counts(
    removed, seed, monkeypatch
):
    monkeypatch.setattr(managed_simulation, "VOTERS_WANTED_COUNT", WANTED_COUNT)
    cluster = start_six(seed)
    cluster.add_machine("a3")
    counts_at_s = cluster.now_s + managed_simulation.CATCH_UP_S
    before_s = cluster.random.uniform(0.0, managed_simulation.CATCH_UP_S)
    test_final_losses.put_for(cluster, before_s)
    cluster.lose_power(removed)
    cluster.remove_machine(removed)
    test_final_losses.put_for(cluster, max(0.0, counts_at_s - cluster.now_s))
    lose_disks(cluster, seed)


@pytest.mark.parametrize("seed", range(15))
def test_replicas_of_all_zones_may_be_replaced_in_series(seed, monkeypatch):
    monkeypatch.setattr(managed_simulation, "VOTERS_WANTED_COUNT", WANTED_COUNT)
    cluster = start_six(seed)
    for zone in cluster.random.sample("abc", 3):
        removed = cluster.random.choice((f"{zone}1", f"{zone}2"))
        cluster.add_machine(f"{zone}3")
        test_final_losses.put_for(cluster, managed_simulation.CATCH_UP_S)
        cluster.lose_power(removed)
        cluster.remove_machine(removed)
        test_final_losses.put_for(cluster, cluster.random.choice((0.0, 0.5, 2.0)))
    lose_disks(cluster, seed)


@pytest.mark.parametrize("seed", range(15))
def test_disks_may_be_lost_after_planned_restarts_beside_a_successor(seed, monkeypatch):
    monkeypatch.setattr(managed_simulation, "VOTERS_WANTED_COUNT", WANTED_COUNT)
    cluster = start_six(seed)
    cluster.add_machine("a3")
    test_final_losses.put_for(cluster, managed_simulation.CATCH_UP_S)
    for name in cluster.random.sample(sorted(cluster.processes), 3):
        cluster.stop_as_planned(name)
        restart_s = managed_simulation.MAX_START_DELAY_S + managed_simulation.CATCH_UP_S
        test_final_losses.put_for(cluster, restart_s)
    removed = cluster.random.choice(("a1", "a2"))
    cluster.random.choice((cluster.lose_power, cluster.stop_as_planned))(removed)
    cluster.remove_machine(removed)
    lose_disks(cluster, seed)


def find_member(members, member_id):
    return next(view for view in members if view.member.member_id == member_id)


def change_members(members, change, member_id):
    """Return the views after a change, the leader first; all members respond."""
    changed = find_member(members, member_id)
    if change is wire.Change.TRANSFER:
        return [changed, *(view for view in members if view is not changed)]
    if change is wire.Change.REMOVE:
        return [view for view in members if view is not changed]
    member = dataclasses.replace(changed.member, voter=change is wire.Change.PROMOTE)
    replaced = dataclasses.replace(changed, member=member)
    return [replaced if view is changed else view for view in members]


def follow_changes(members):
    """Yield the views before and after each change, until the leader makes none."""
    yield members
    for _ in range(4 * len(members)):
        own_id = members[0].member.member_id
        request = automation.next_change(tuple(members), own_id, WANTED_COUNT)
        if request is None:
            return
        members = change_members(members, request.change, request.member.member_id)
        yield members
    pytest.fail("the members change without end")


def leaves_quorum(members, lost_ids):
    """Return whether the voters without those that are lost are a quorum."""
    voter_ids = [view.member.member_id for view in members if view.member.voter]
    left_count = len(set(voter_ids) - set(lost_ids))
    return left_count >= quorums.majority_count(len(voter_ids))


def responding_ids(members):
    return [view.member.member_id for view in members if view.since_contact_s == 0.0]


def check_any_losses(members):
    """Check that the loss of any two responding members leaves a quorum."""
    silent_ids = [
        view.member.member_id for view in members if view.since_contact_s > 0.0
    ]
    for lost in itertools.combinations(responding_ids(members), TOLERATED_COUNT):
        assert leaves_quorum(members, (*lost, *silent_ids))


def join(members, name, joining_order):
    member = messages.Member(
        messages.make_member_id(name, "1"), f"{name}:1", name[0], False
    )
    view = automation.MemberView(member, True, 0.0, joining_order=joining_order)
    return [*members, view]


def form_group(names):
    """Return the views of replicas that joined in an order, the first five voting."""
    members = []
    for order, name in enumerate(names):
        members = join(members, name, order)
        if len(members) <= WANTED_COUNT:
            change = wire.Change.PROMOTE
            members = change_members(members, change, members[-1].member.member_id)
        else:
            *_, members = follow_changes(members)
    return members


@pytest.mark.parametrize("leads", [0, 1, 2, 3, 4, 5])
@pytest.mark.parametrize("zones", ["abc", "abcd"])
@pytest.mark.parametrize("joins_by_zone", [False, True])
def test_losses_beside_a_successor_leave_a_quorum(joins_by_zone, zones, leads):
    names = [f"{zone}{number}" for zone in zones for number in (1, 2)]
    if not joins_by_zone:
        names.sort(key=lambda name: name[1])
    members = form_group(names)
    led = find_member(members, messages.make_member_id(names[leads], "1"))
    if led.member.voter:
        members = change_members(members, wire.Change.TRANSFER, led.member.member_id)
    for zone in zones:
        for members_then in follow_changes(join(members, f"{zone}3", len(names))):
            check_any_losses(members_then)
        former_ids = [view.member.member_id for view in members]
        for removed_id in former_ids:
            check_after_removal(members_then, removed_id)


def check_after_removal(members, removed_id):
    """Check any losses from the silence of a removed member on, whoever leads then."""
    removed = find_member(members, removed_id)
    silent = dataclasses.replace(
        removed,
        is_caught_up=False,
        since_contact_s=automation.UNREACHABLE_AFTER_S + 1.0,
    )
    others = [view for view in members if view is not removed]
    for leader in [view for view in others if view.member.voter]:
        rest = [view for view in others if view is not leader]
        for members_then in follow_changes([leader, *rest, silent]):
            check_any_losses(members_then)
        assert not any(
            view.member.voter and view.member.member_id == removed_id
            for view in members_then
        )
