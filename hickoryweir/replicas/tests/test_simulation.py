"""Failures of replicas, network and disk in simulated time."""

import pytest

from hickoryweir.replicas import automation, elections, messages, requests
from hickoryweir.replicas import state as states
from hickoryweir.replicas.tests import managed_simulation, simulation

RANDOM_STEPS_COUNT = 1500
# Within which replicas that reach each other take changes.
RECOVERY_BOUND_S = 5.0
# Longer than `automation.UNREACHABLE_AFTER_S`.
FROZEN_S = 3.0
RECOVERY_S = managed_simulation.RECOVERY_S


def make_running(seed=1, names=("a", "b", "c")):
    cluster = simulation.Simulation(seed, names)
    cluster.run(2.0)
    assert cluster.leader() is not None
    return cluster


def committed_payloads(cluster):
    kind = messages.EntryKind.COMMAND
    entries = cluster.committed.values()
    return [entry.payload for entry in entries if entry.kind is kind]


def propose_and_run(cluster):
    cluster.propose(cluster.leader())
    cluster.run(0.5)


def others(cluster):
    leader = cluster.leader()
    return [item for item in cluster.processes.values() if item is not leader]


def test_isolated_leader_steps_down_and_another_leads():
    cluster = make_running()
    old = cluster.leader()
    cluster.isolate(old.name)
    cluster.run(2.0)
    assert old.state.role is not states.Role.LEADER
    assert cluster.leader() is not None


def test_isolated_leader_commits_nothing_and_adopts_the_majority_log():
    cluster = make_running()
    old = cluster.leader()
    cluster.isolate(old.name)
    cluster.propose(old)
    cluster.run(2.0)
    propose_and_run(cluster)
    cluster.heal()
    cluster.run(2.0)
    assert committed_payloads(cluster) == [b"command-1"]
    assert old.digest == cluster.leader().digest


def test_isolated_replica_does_not_disrupt_the_leader_on_return():
    cluster = make_running()
    leader = cluster.leader()
    term = leader.state.term
    follower = others(cluster)[0]
    cluster.isolate(follower.name)
    cluster.run(10.0)
    cluster.heal()
    cluster.run(2.0)
    assert (cluster.leader(), leader.state.term) == (leader, term)


def test_leader_that_can_send_but_not_receive_is_replaced():
    cluster = make_running()
    leader = cluster.leader()
    for other in others(cluster):
        cluster.cut((other.name, leader.name))
    cluster.run(3.0)
    assert cluster.leader() not in (None, leader)


def test_leader_that_can_receive_but_not_send_is_replaced():
    cluster = make_running()
    leader = cluster.leader()
    for other in others(cluster):
        cluster.cut((leader.name, other.name))
    cluster.run(3.0)
    assert cluster.leader() not in (None, leader)


def test_three_isolated_zones_report_no_quorum():
    cluster = make_running()
    for name in cluster.processes:
        cluster.isolate(name)
    cluster.run(2.0)
    known_quorums = [
        elections.has_quorum(process.state, cluster.now_s)
        for process in cluster.processes.values()
    ]
    assert known_quorums == [False, False, False]


def test_two_disconnected_zones_commit_through_the_third():
    cluster = make_running()
    leader = cluster.leader()
    follower = others(cluster)[0]
    cluster.cut((leader.name, follower.name), (follower.name, leader.name))
    cluster.run(3.0)
    propose_and_run(cluster)
    assert committed_payloads(cluster) == [b"command-0"]


@pytest.mark.parametrize("seed", range(5))
def test_restarted_replicas_with_slow_disks_and_links_elect_a_leader(seed):
    cluster = make_running(seed)
    for name in cluster.processes:
        cluster.crash(name)
        cluster.start(name)
    cluster.network.clear()
    assert cluster.run_until_leader(RECOVERY_S, sync_s=0.2, delay_s=0.1)


@pytest.mark.parametrize(
    ("sync_s", "delay_s", "limit_s"), [(0.002, 0.001, 1.0), (0.1, 0.05, 1.5)]
)
@pytest.mark.parametrize("seed", range(20))
def test_replicas_that_reach_each_other_again_soon_elect_a_leader(
    seed, sync_s, delay_s, limit_s
):
    cluster = make_running(seed)
    cluster.crash(cluster.leader().name)
    for name in cluster.processes:
        cluster.isolate(name)
    # Several timeouts, at the end of which both ask for pre-votes in vain.
    cluster.run(cluster.random.uniform(1.5, 2.5))
    cluster.network.clear()
    cluster.heal()
    assert cluster.run_until_leader(limit_s, sync_s, delay_s)


def test_isolated_replica_campaigns_on_after_thousands_of_terms():
    cluster = make_running()
    isolated = others(cluster)[0]
    cluster.isolate(isolated.name)
    isolated.state.terms_without_leader_count = 10_000
    cluster.run(3.0)
    assert isolated.state.role is states.Role.PRE_CANDIDATE
    cluster.heal()
    cluster.run(3.0)
    assert isolated.state.leader_id == cluster.leader().state.member_id


def test_flapping_links_lose_nothing():
    cluster = make_running()
    for round_number in range(10):
        for name in ("a", "b", "c")[: round_number % 3]:
            cluster.isolate(name)
        leader = cluster.leader()
        if leader is not None:
            cluster.propose(leader)
        cluster.run(0.3)
        cluster.heal()
        cluster.run(0.3)
    cluster.run(3.0)
    propose_and_run(cluster)
    digests = {process.digest for process in cluster.processes.values()}
    assert len(digests) == 1


def test_learner_does_not_count_towards_the_quorum():
    cluster = make_running()
    learner_id = cluster.add("d")
    member = messages.Member(learner_id, "d", "zone", False)
    cluster.step(cluster.leader(), states.LearnerAdded(member, 0.0))
    cluster.run(1.0)
    leader = cluster.leader()
    for other in others(cluster):
        if other.name != "d":
            cluster.isolate(other.name)
    cluster.propose(leader)
    cluster.run(0.4)
    assert committed_payloads(cluster) == []


def add_learner(cluster, name):
    learner_id = cluster.add(name)
    member = messages.Member(learner_id, name, "zone", False)
    cluster.step(cluster.leader(), states.LearnerAdded(member, 0.0))
    cluster.run(1.0)
    learner = cluster.processes[name]
    assert learner.state.leader_id == cluster.leader().state.member_id
    return learner


def test_isolated_learner_knows_no_leader_and_no_quorum():
    cluster = make_running()
    learner = add_learner(cluster, "d")
    cluster.isolate("d")
    cluster.run(3.0)
    has_quorum = elections.has_quorum(learner.state, cluster.now_s)
    assert (learner.state.leader_id, has_quorum) == ("", False)


def test_learner_that_was_removed_while_isolated_asks_to_join_again():
    cluster = make_running()
    learner = add_learner(cluster, "d")
    cluster.isolate("d")
    cluster.step(cluster.leader(), states.MemberRemoved(learner.state.member_id, 0.0))
    cluster.run(3.0)
    cluster.heal()
    cluster.run(3.0)
    assert automation.needs_to_join(learner.state)


@pytest.mark.parametrize("has_late_message_of_lost_voter", [False, True])
def test_frozen_leader_removes_no_voter_that_it_needs(has_late_message_of_lost_voter):
    cluster = make_running()
    leader = cluster.leader()
    _, lost = sorted(others(cluster), key=lambda item: item.state.member_id)
    senders = [add_learner(cluster, "d")]
    senders += [lost] if has_late_message_of_lost_voter else []
    sent = [
        messages.Envelope(
            leader.state.member_id,
            sender.state.member_id,
            leader.state.term,
            messages.AppendResponse(True, leader.state.log.last_index, 0, 0),
        )
        for sender in senders
    ]
    cluster.crash(lost.name)
    cluster.network.clear()
    cluster.now_s += FROZEN_S
    # The leader gets responses before it notices how late it is.
    for envelope in sent:
        cluster.step(leader, states.Received(envelope))
    views = automation.view_members(leader.state, cluster.now_s)
    decided = automation.next_change(views, leader.state.member_id, 3)
    if decided is not None:
        event = requests.make_change_event(decided, cluster.now_s)
        cluster.step(leader, event)
    cluster.run(RECOVERY_S)
    assert cluster.leader() is not None
    propose_and_run(cluster)
    assert committed_payloads(cluster) == [b"command-0"]


def test_voter_without_which_there_is_no_quorum_is_not_removed():
    cluster = make_running()
    leader = cluster.leader()
    kept, lost = others(cluster)
    cluster.crash(lost.name)
    cluster.run(1.0)
    cluster.step(leader, states.MemberRemoved(kept.state.member_id, cluster.now_s))
    assert kept.state.member_id in leader.state.membership.voter_ids
    propose_and_run(cluster)
    assert committed_payloads(cluster) == [b"command-0"]


def change(cluster, event):
    cluster.step(cluster.leader(), event)
    cluster.run(1.0)


def replace(cluster, lost_id, name):
    new_id = cluster.add(name)
    member = messages.Member(new_id, name, "zone", False)
    change(cluster, states.LearnerAdded(member, 0.0))
    change(cluster, states.MemberRemoved(lost_id, 0.0))
    change(cluster, states.LearnerPromoted(new_id, 0.0))


def test_replacement_then_loss_of_the_leader_at_once():
    cluster = make_running()
    propose_and_run(cluster)
    lost = others(cluster)[0]
    lost_id = lost.state.member_id
    cluster.crash(lost.name)
    replace(cluster, lost_id, "d")
    cluster.crash(cluster.leader().name)
    cluster.run(3.0)
    propose_and_run(cluster)
    assert committed_payloads(cluster) == [b"command-0", b"command-1"]


def test_lagging_learner_is_not_promoted():
    cluster = make_running()
    learner_id = cluster.add("d")
    cluster.isolate("d")
    member = messages.Member(learner_id, "d", "zone", False)
    change(cluster, states.LearnerAdded(member, 0.0))
    change(cluster, states.LearnerPromoted(learner_id, 0.0))
    assert learner_id not in cluster.leader().state.membership.voter_ids


def test_second_change_waits_for_the_first():
    cluster = make_running()
    leader = cluster.leader()
    first = messages.Member("d~1", "d", "zone", False)
    second = messages.Member("e~1", "e", "zone", False)
    cluster.step(leader, states.LearnerAdded(first, 0.0))
    cluster.step(leader, states.LearnerAdded(second, 0.0))
    names = {member.member_id for member in leader.state.membership.members}
    assert "d~1" in names
    assert "e~1" not in names


def test_empty_disk_under_an_old_name_does_not_vote():
    cluster = make_running()
    propose_and_run(cluster)
    lost, healthy = others(cluster)
    cluster.crash(lost.name)
    cluster.add(lost.name)
    cluster.crash(cluster.leader().name)
    cluster.run(5.0)
    assert cluster.leader() is None
    assert healthy.state.role is states.Role.PRE_CANDIDATE


def restore_old_disk(cluster, process, old_disk):
    cluster.crash(process.name)
    process.disk = old_disk
    cluster.start(process.name)


def test_leader_brings_a_restored_old_disk_up_to_date():
    cluster = make_running()
    returning = others(cluster)[0]
    old_disk = returning.disk.copy()
    propose_and_run(cluster)
    restore_old_disk(cluster, returning, old_disk)
    cluster.run(2.0)
    assert returning.digest == cluster.leader().digest


def test_replica_stops_after_a_failed_sync():
    cluster = make_running()
    follower = others(cluster)[0]
    follower.disk.fail_after_count = follower.disk.operation_count
    propose_and_run(cluster)
    assert follower.state.role is states.Role.FAILED
    assert committed_payloads(cluster) == [b"command-0"]


def test_leader_with_a_failed_disk_is_replaced():
    cluster = make_running()
    leader = cluster.leader()
    leader.disk.fail_after_count = leader.disk.operation_count
    cluster.propose(leader)
    cluster.run(3.0)
    assert cluster.leader() not in (None, leader)


def test_leader_with_a_stalled_disk_transfers_leadership_without_loss():
    cluster = make_running()
    leader = cluster.leader()
    leader.disk_hangs = True
    propose_and_run(cluster)
    cluster.run(2.0)
    assert cluster.leader() not in (None, leader)
    propose_and_run(cluster)
    leader.disk_hangs = False
    cluster.run(2.0)
    assert committed_payloads(cluster) == [b"command-0", b"command-1"]
    assert leader.digest == cluster.leader().digest


def test_leader_with_a_slow_disk_keeps_leadership():
    cluster = make_running()
    leader = cluster.leader()
    for _ in range(6):
        leader.disk_hangs = True
        cluster.propose(leader)
        cluster.run(0.5 * simulation.TIMING.disk_stall_timeout_s)
        leader.disk_hangs = False
        cluster.run(0.1)
    assert cluster.leader() is leader


def test_leader_with_a_stalled_disk_stays_without_a_successor():
    cluster = make_running()
    leader = cluster.leader()
    leader.disk_hangs = True
    for process in others(cluster):
        process.disk_hangs = True
    cluster.propose(leader)
    cluster.run(3.0)
    assert committed_payloads(cluster) == []
    for process in cluster.processes.values():
        process.disk_hangs = False
    cluster.run(3.0)
    assert cluster.leader() is not None
    assert b"command-0" in committed_payloads(cluster)


def test_transfer_moves_leadership_at_once():
    cluster = make_running()
    leader = cluster.leader()
    cluster.step(leader, states.TransferRequested(""))
    cluster.run(0.1)
    assert cluster.leader() not in (None, leader)


def test_transfer_prefers_a_voter_that_is_not_silent():
    cluster = make_running()
    leader = cluster.leader()
    silent = max(others(cluster), key=lambda process: process.state.member_id)
    cluster.crash(silent.name)
    cluster.run(2.5 * leader.state.timing.heartbeat_interval_s)
    cluster.step(leader, states.TransferRequested(""))
    cluster.run(0.1)
    assert cluster.leader() not in (None, leader)


def test_snapshot_brings_a_restarted_replica_up_to_date():
    cluster = make_running()
    lost = others(cluster)[0]
    cluster.crash(lost.name)
    for _ in range(5):
        propose_and_run(cluster)
    for process in cluster.processes.values():
        if cluster.is_running(process):
            cluster.snapshot(process)
    cluster.run(0.5)
    cluster.start(lost.name)
    cluster.run(2.0)
    assert lost.digest == cluster.leader().digest
    assert lost.state.snapshot.index > 1


def inject_random_event(cluster, counts):
    random = cluster.random
    process = cluster.processes[random.choice(sorted(cluster.processes))]
    running = cluster.is_running(process)
    chance = random.random()
    if chance < 0.53 and cluster.network:
        position = random.randrange(min(len(cluster.network), 8))
        cluster.deliver(position, keep=random.random() < 0.05)
    elif 0.53 <= chance < 0.55 and running and process.work:
        cluster.fail_storage(process.name)
        counts["refused"] += 1
    elif chance < 0.70:
        cluster.tick(random.uniform(0.005, 0.15))
    elif chance < 0.85 and running and process.work:
        cluster.sync(process)
    elif chance < 0.92 and cluster.leader() is not None:
        cluster.propose(cluster.leader())
    elif chance < 0.94 and cluster.network:
        cluster.network.pop(random.randrange(len(cluster.network)))
    elif chance < 0.955:
        pair = random.sample(sorted(cluster.processes), 2)
        cluster.cut(tuple(pair))
    elif chance < 0.965:
        cluster.heal()
    elif chance < 0.972 and running:
        cluster.snapshot(process)
    elif chance < 0.98 and running:
        cluster.crash(process.name)
        counts["crash"] += 1
    elif not running:
        cluster.start(process.name)
    elif cluster.leader() is not None:
        change_random_member(cluster)


def change_random_member(cluster):
    leader = cluster.leader()
    membership = leader.state.membership
    chosen = cluster.random.choice(sorted(cluster.processes))
    known = [
        member
        for member in membership.members
        if messages.replica_name_of(member.member_id) == chosen
    ]
    if not known:
        target = cluster.processes[chosen]
        if cluster.is_running(target):
            member_id = target.state.member_id
            member = messages.Member(member_id, chosen, "zone", False)
            cluster.step(leader, states.LearnerAdded(member, 0.0))
    elif not known[0].voter:
        cluster.step(leader, states.LearnerPromoted(known[0].member_id, 0.0))
    elif len(membership.voter_ids) > 3:
        cluster.step(leader, states.MemberRemoved(known[0].member_id, 0.0))


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_keep_every_invariant(seed):
    cluster = simulation.Simulation(seed)
    cluster.add("d")
    counts = {"crash": 0, "refused": 0}
    for _ in range(RANDOM_STEPS_COUNT):
        inject_random_event(cluster, counts)
    cluster.heal()
    for process in cluster.processes.values():
        if not cluster.is_running(process):
            cluster.start(process.name)
    cluster.run(5.0)
    propose_and_run(cluster)
    cluster.run(1.0)
    members = cluster.leader().state.membership.members
    digests = {
        cluster.processes[messages.replica_name_of(member.member_id)].digest
        for member in members
    }
    assert len(digests) == 1
    assert min(counts.values()) > 0
    for name in cluster.processes:
        assert goes_on_without(cluster, name), f"a replica hears nobody, beside {name}"


def goes_on_without(cluster, name):
    """Return whether the others commit a command within the bound without a replica."""
    cluster.run(RECOVERY_BOUND_S)
    known_count = len(committed_payloads(cluster))
    cluster.isolate(name)
    cluster.run(RECOVERY_BOUND_S)
    if cluster.leader() is not None:
        propose_and_run(cluster)
    cluster.heal()
    return len(committed_payloads(cluster)) > known_count


def test_deaf_pair_that_the_third_replica_hides_is_found(monkeypatch):
    cluster = make_running()
    deaf = {("a", "b"), ("b", "a")}
    monkeypatch.setattr(cluster, "heal", lambda: cluster.cuts.intersection_update(deaf))
    cluster.cut(*deaf)
    found = {name: goes_on_without(cluster, name) for name in cluster.processes}
    assert found == {"a": True, "b": True, "c": False}


@pytest.mark.parametrize("seed", range(1, 13))
def test_leader_follows_soon_after_all_replicas_restart(seed):
    cluster = make_running(seed)
    for name in cluster.processes:
        cluster.crash(name)
    for name in cluster.processes:
        cluster.start(name)
    # Requests wait this long at routers that started with the replicas.
    cluster.run(0.6)
    assert cluster.leader() is not None


@pytest.mark.parametrize("seed", range(1, 13))
def test_restarted_replicas_do_not_disrupt_the_leader(seed):
    cluster = make_running(seed, ("a", "b", "c", "d", "e"))
    leader = cluster.leader()
    term = leader.state.term
    for process in others(cluster)[:2]:
        cluster.crash(process.name)
        cluster.start(process.name)
    cluster.run(2.0)
    assert cluster.leader() is leader
    assert leader.state.term == term
