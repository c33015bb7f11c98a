"""Loss of a disk while every other replica loses power, in simulated time.

Replicas are added and replaced before it.  A replica counts towards the tolerance once
it, or the successor of a removed one, has run for the time to catch up.
"""

import dataclasses

import pytest

from hickoryweir.replicas import automation, messages
from hickoryweir.replicas import state as states
from hickoryweir.replicas.tests import managed_simulation, simulation

# After a change was sent, within which the losses come at the latest.
LATEST_LOSS_S = 0.4
MAX_LEAD_S = 3.0
SLOW_DISKS_SHARE = 0.5
# Rounding of times that are sums of steps.
TIME_SLACK_S = 1e-9


class SpreadSimulation(managed_simulation.ManagedSimulation):
    """Replicas in zones that their names begin with; those that count are named."""

    def __init__(self, seed):
        self.counted = {"a", "b", "c"}
        super().__init__(seed)

    def zone_of(self, name):
        """Return the availability zone of a replica."""
        return name[0]

    def yields(self, name):
        """Return whether a replica votes only where others are missing."""
        return name not in self.counted


def draw_lead_s(cluster):
    return cluster.random.uniform(0.5, MAX_LEAD_S)


def put_for(cluster, duration_s):
    """Put tables at random intervals for some time."""
    end_s = cluster.now_s + duration_s
    while cluster.now_s < end_s:
        cluster.propose_table()
        cluster.advance(cluster.random.choice((0.02, 0.1, 0.3)))


def wait_until_counted(cluster, started_at_s, lost):
    """Let time pass until a replica that started counts, and a bit more at random."""
    until_s = started_at_s + managed_simulation.CATCH_UP_S
    put_for(cluster, max(0.0, until_s - cluster.now_s))
    cluster.advance(cluster.random.choice((0.02, 0.1, 1.0)))
    cluster.counted.discard(lost)


def add_spare(cluster):
    """Add a replica that doesn't count, at any time before the losses."""
    cluster.add_machine(cluster.random.choice("abc") + "-spare")
    put_for(cluster, cluster.random.uniform(0.0, 6.0))


def add_spare_named_first(cluster):
    """Add a replica that doesn't count and by name precedes those added later."""
    cluster.add_machine(cluster.random.choice("abc") + "-extra")
    put_for(cluster, cluster.random.uniform(0.0, 6.0))


def replace_as_planned(cluster):
    """Add a replica, and stop and remove the one that it replaces."""
    name = cluster.random.choice(sorted(cluster.counted))
    started_at_s = cluster.now_s
    cluster.counted.add(f"{name}-new")
    cluster.add_machine(f"{name}-new")
    put_for(cluster, draw_lead_s(cluster))
    cluster.stop_as_planned(name)
    cluster.remove_machine(name)
    wait_until_counted(cluster, started_at_s, name)


def replace_long_joined(cluster):
    """Replace a replica by one that has run for long, so that nothing is excused."""
    name = cluster.random.choice(sorted(cluster.counted))
    cluster.counted.add(f"{name}-new")
    cluster.add_machine(f"{name}-new")
    put_for(cluster, managed_simulation.CATCH_UP_S + draw_lead_s(cluster))
    cluster.stop_as_planned(name)
    cluster.remove_machine(name)
    cluster.counted.discard(name)


def lose_long_joined(cluster):
    """Lose a replica for good, without a stop, beside one that has run for long."""
    name = cluster.random.choice(sorted(cluster.counted))
    cluster.counted.add(f"{name}-new")
    cluster.add_machine(f"{name}-new")
    put_for(cluster, managed_simulation.CATCH_UP_S + draw_lead_s(cluster))
    cluster.random.choice((cluster.lose_power, cluster.kill))(name)
    cluster.remove_machine(name)
    cluster.counted.discard(name)


def lose_at_once(cluster, name):
    """Lose a replica for good without a stop."""
    cluster.random.choice((cluster.lose_power, cluster.kill))(name)


def lose_frozen(cluster, name):
    """Lose a replica for good that has been frozen for a while."""
    cluster.frozen.add(name)
    put_for(cluster, cluster.random.uniform(0.0, 1.5))
    cluster.lose_power(name)


def lose_as_its_disk_hangs(cluster, name):
    """Lose a replica for good whose disk hangs when it is told to stop."""
    cluster.hangs_until_s[name] = cluster.now_s + managed_simulation.STOP_LIMIT_S
    cluster.stop_as_planned(name)


LOSSES = {
    function.__name__: function
    for function in (lose_at_once, lose_frozen, lose_as_its_disk_hangs)
}


def lose_beside_successor(cluster, loss, leads=False):
    """Lose a replica, perhaps the leader, whose successor has just begun to count."""
    name = cluster.random.choice(sorted(cluster.counted))
    if leads:
        name = cluster.leader().name
    cluster.add_machine(f"{name}-new")
    cluster.counted.add(f"{name}-new")
    put_for(cluster, managed_simulation.CATCH_UP_S + cluster.random.choice((0, 0.1, 1)))
    LOSSES[loss](cluster, name)
    cluster.remove_machine(name)
    cluster.counted.discard(name)


def replace_after_loss(cluster):
    """Lose a replica for good; an empty one comes at another address later."""
    name = cluster.random.choice(sorted(cluster.counted))
    cluster.lose_power(name)
    cluster.remove_machine(name)
    put_for(cluster, draw_lead_s(cluster))
    started_at_s = cluster.now_s
    cluster.add_machine(f"{name}-new")
    cluster.counted.add(f"{name}-new")
    wait_until_counted(cluster, started_at_s, name)


def empty_disk(cluster):
    """Let a replica lose its disk and come back at its address."""
    name = cluster.random.choice(sorted(cluster.counted))
    cluster.lose_power(name)
    cluster.lose_disk(name)
    started_at_s = cluster.starts_at_s[name]
    wait_until_counted(cluster, started_at_s, None)


def cut_one_off(cluster):
    """Cut a replica off for longer than it takes to be replaced by a spare."""
    name = cluster.random.choice(sorted(cluster.counted))
    cluster.isolate(name)
    cluster.heals_at_s = cluster.now_s + cluster.random.uniform(0.5, 5.5)
    put_for(cluster, cluster.heals_at_s - cluster.now_s)
    wait_until_counted(cluster, cluster.now_s, None)


def restart_in_turn(cluster):
    """Stop replicas as planned and start them again, one after another."""
    names = sorted(cluster.counted & cluster.processes.keys())
    for name in cluster.random.sample(names, cluster.random.randint(1, len(names))):
        cluster.stop_as_planned(name)
        put_for(cluster, managed_simulation.MAX_START_DELAY_S)
        wait_until_counted(cluster, cluster.now_s, None)


def disturb(cluster):
    """Let power, processes, disks and links fail right before the losses."""
    for _ in range(cluster.random.randint(1, 3)):
        cluster.inject_faults(loses_disk=False)
        put_for(cluster, cluster.random.uniform(0.0, 3.0))


def nothing(cluster):
    """Change no members."""


PRELUDES = {
    function.__name__: function
    for function in (
        nothing,
        add_spare,
        add_spare_named_first,
        replace_as_planned,
        replace_long_joined,
        replace_after_loss,
        empty_disk,
        cut_one_off,
        restart_in_turn,
        disturb,
    )
}


def lose_finally(cluster, loses_spares=False, lost=None):
    """Let one counted replica lose its disk, and all others power, at a moment.

    Replicas that don't count may be lost for good as well.  `lost` names the replica
    whose disk is lost; by default it is drawn.
    """
    for name in sorted(cluster.processes):
        if cluster.random.random() < SLOW_DISKS_SHARE:
            # What is not synced yet at the loss of power is torn or gone.
            slow_s = cluster.random.uniform(0.0, LATEST_LOSS_S)
            cluster.hangs_until_s[name] = cluster.now_s + slow_s
    cluster.propose_table()
    for _ in range(cluster.random.choice((1, 1, 2))):
        cluster.advance(cluster.random.uniform(0.0, LATEST_LOSS_S / 2))
        cluster.propose_table()
    if cluster.random.random() < 0.5:
        # Right after the acknowledgement, as the other voter may not have applied it.
        known_count = len(cluster.acknowledged)
        end_s = cluster.now_s + LATEST_LOSS_S
        while len(cluster.acknowledged) == known_count and cluster.now_s < end_s:
            cluster.advance(managed_simulation.STEP_S)
    if lost is None:
        lost = cluster.random.choice(sorted(cluster.counted))
    cluster.heal()
    cluster.hangs_until_s.clear()
    for name in sorted(cluster.processes):
        if cluster.is_running(cluster.processes[name]):
            cluster.lose_power(name)
    if lost in cluster.processes:
        cluster.lose_disk(lost)
    if loses_spares:
        for name in sorted(cluster.processes.keys() - cluster.counted):
            cluster.remove_machine(name)


def is_read_within(cluster, limit_s):
    """Return whether a leader can confirm a read within a time."""
    end_s = cluster.now_s + limit_s
    while cluster.now_s < end_s:
        cluster.advance(0.1)
        leader = cluster.leader()
        if leader is None:
            continue
        state = leader.state
        is_confirmed = state.commit_index >= state.term_start_index
        if is_confirmed and state.applied_index >= state.term_start_index:
            return True
    return False


def play(seed, names, loses_spares=False):
    """Play preludes, the losses and the recovery; return the cluster."""
    cluster = SpreadSimulation(seed)
    cluster.advance(2.0)
    for name in names:
        PRELUDES[name](cluster)
    put_for(cluster, 0.3)
    lose_finally(cluster, loses_spares)
    check_recovery(cluster)
    return cluster


def empty_a_disk(cluster, name):
    cluster.lose_power(name)
    cluster.lose_disk(name)


def lose_for_good(cluster, name):
    cluster.lose_power(name)
    cluster.remove_machine(name)
    cluster.add_machine(f"{name}-new")


def stop_for_good(cluster, name):
    cluster.add_machine(f"{name}-new")
    put_for(cluster, cluster.random.uniform(0.0, 2.0))
    cluster.stop_as_planned(name)
    cluster.remove_machine(name)


CHANGES = {
    function.__name__: function
    for function in (empty_a_disk, lose_for_good, stop_for_good)
}


def play_amid(seed, name):
    """Lose all power at any moment of a change of members, and a lost disk again."""
    cluster = SpreadSimulation(seed)
    cluster.advance(2.0)
    if cluster.random.random() < 0.5:
        add_spare(cluster)
    lost = cluster.random.choice(sorted(cluster.counted))
    CHANGES[name](cluster, lost)
    put_for(cluster, cluster.random.uniform(0.0, 3.0))
    lose_finally(cluster, lost=lost)
    check_recovery(cluster)
    return cluster


def check_recovery(cluster):
    """Check that a read succeeds in time and that nothing acknowledged is lost."""
    acknowledged = set(cluster.acknowledged)
    assert is_read_within(cluster, managed_simulation.RECOVERY_S), "no read"
    committed = {entry.payload for entry in cluster.committed.values()}
    leader = cluster.leader()
    assert leader.state.applied_index == max(cluster.committed)
    assert committed >= acknowledged, "acknowledged tables are lost"


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("prelude", PRELUDES)
def test_acknowledged_tables_survive_a_lost_disk_while_all_others_lose_power(
    prelude, seed
):
    assert play(seed, [prelude]).acknowledged


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(
    "prelude", ["cut_one_off", "empty_disk", "restart_in_turn", "replace_after_loss"]
)
def test_acknowledged_tables_survive_a_lost_disk_and_the_loss_of_a_spare(prelude, seed):
    assert play(seed, ["add_spare", prelude], loses_spares=True).acknowledged


@pytest.mark.parametrize("seed", [138])
def test_new_leader_knows_at_once_which_replicas_yield(seed):
    names = ["add_spare_named_first", "replace_long_joined"]
    assert play(seed, names, loses_spares=True).acknowledged


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("change", CHANGES)
def test_acknowledged_tables_survive_a_loss_of_power_amid_a_change_of_members(
    change, seed
):
    assert play_amid(seed, change).acknowledged


@pytest.mark.parametrize("seed", [15, 18, 21])
def test_answers_before_the_sync_are_found(seed, monkeypatch):
    execute = simulation.Simulation._execute

    def execute_early(cluster, process, action):
        if isinstance(action, states.Send):
            action = dataclasses.replace(action, durable=False)
        execute(cluster, process, action)

    monkeypatch.setattr(simulation.Simulation, "_execute", execute_early)
    with pytest.raises(AssertionError, match="two entries committed"):
        play(seed, ["nothing"])


@pytest.mark.parametrize("seed", range(12))
def test_acknowledged_tables_survive_the_loss_of_a_replica_beside_its_successor(seed):
    cluster = SpreadSimulation(seed)
    cluster.advance(2.0)
    lose_long_joined(cluster)
    put_for(cluster, cluster.random.uniform(0.0, 0.3))
    lose_finally(cluster)
    check_recovery(cluster)
    assert cluster.acknowledged


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.3, 0.6, 1.0, 2.0, 3.0])
@pytest.mark.parametrize("leads", [False, True])
@pytest.mark.parametrize("loss", LOSSES)
def test_acknowledged_tables_survive_losses_at_any_time_after_that_of_a_replica(
    loss, leads, delay_s, seed
):
    assert play_beside_successor(seed, loss, leads, delay_s).acknowledged


@pytest.mark.parametrize("seed", range(6))
def test_acknowledged_tables_survive_two_losses_beside_successors_in_series(seed):
    assert play_two_beside_successors(seed).acknowledged


def play_beside_successor(seed, loss, leads, delay_s):
    cluster = SpreadSimulation(seed)
    cluster.advance(2.0)
    lose_beside_successor(cluster, loss, leads)
    put_for(cluster, delay_s)
    lose_finally(cluster)
    check_recovery(cluster)
    return cluster


def play_two_beside_successors(seed):
    cluster = SpreadSimulation(seed)
    cluster.advance(2.0)
    for _ in range(2):
        loss = cluster.random.choice(sorted(LOSSES))
        lose_beside_successor(cluster, loss, leads=cluster.random.random() < 0.5)
        put_for(cluster, cluster.random.uniform(0.0, 1.0))
    lose_finally(cluster)
    check_recovery(cluster)
    return cluster


@pytest.mark.parametrize("seed", [0, 1, 3])
def test_vote_that_stays_with_a_lost_replica_is_found(seed, monkeypatch):
    monkeypatch.setattr(automation, "_find_superseding_learner", lambda *_: None)
    cluster = SpreadSimulation(seed)
    cluster.advance(2.0)
    lose_long_joined(cluster)
    lose_finally(cluster)
    with pytest.raises(AssertionError, match="no read"):
        check_recovery(cluster)


class PacedSimulation(SpreadSimulation):
    """A leader that looks at its members as often as a real one does."""

    checked_at_s = 0.0

    def _manage(self):
        if self.now_s - self.checked_at_s >= automation.CHECK_INTERVAL_S - TIME_SLACK_S:
            self.checked_at_s = self.now_s
            super()._manage()


def put_beside_a_slow_disk(cluster, name, sync_s, duration_s):
    """Put tables at a fast pace while a replica's disk takes long for each sync."""
    end_s = cluster.now_s + duration_s
    synced_at_s = cluster.now_s
    while cluster.now_s < end_s:
        if cluster.now_s >= synced_at_s:
            synced_at_s = cluster.now_s + sync_s
            cluster.hangs_until_s[name] = synced_at_s - managed_simulation.STEP_S
        cluster.propose_table()
        cluster.advance(managed_simulation.STEP_S)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("sync_s", [0.2, 0.8, 1.2])
def test_voter_with_a_slow_disk_does_not_keep_the_vote_from_a_successor(sync_s, seed):
    cluster = PacedSimulation(seed)
    cluster.advance(2.0)
    leader = cluster.leader().name
    slow = cluster.random.choice(sorted(cluster.counted - {leader}))
    name = cluster.random.choice(sorted(cluster.counted - {slow}))
    cluster.add_machine(f"{name}-new")
    cluster.counted.add(f"{name}-new")
    put_beside_a_slow_disk(cluster, slow, sync_s, managed_simulation.CATCH_UP_S)
    cluster.lose_power(name)
    cluster.remove_machine(name)
    cluster.counted.discard(name)
    put_beside_a_slow_disk(cluster, slow, sync_s, cluster.random.uniform(0.0, 0.3))
    lose_finally(cluster, lost=slow)
    check_recovery(cluster)
    assert cluster.acknowledged


class WatchedSimulation(SpreadSimulation):
    """Watches whether a replica stores that it is a learner before a quorum does."""

    watched = None
    has_early_demotion = False

    def sync(self, process):
        """Sync what a process has written, and look."""
        super().sync(process)
        leader = self.leader()
        watched = self.processes.get(self.watched)
        if leader is None or watched is None or watched is leader:
            return
        if not self.is_running(watched) or not watched.state.memberships:
            return
        index, membership = watched.state.memberships[-1]
        is_demoted = self.watched not in {
            messages.replica_name_of(voter_id) for voter_id in membership.voter_ids
        }
        is_committed = index <= leader.state.commit_index
        self.has_early_demotion |= is_demoted and not is_committed


@pytest.mark.parametrize("seed", range(6))
def test_demoted_voter_holds_no_longer_log_than_those_that_need_its_vote(seed):
    cluster = WatchedSimulation(seed)
    cluster.advance(2.0)
    others = sorted(cluster.counted - {cluster.leader().name})
    cluster.watched = cluster.random.choice(others)
    cluster.add_machine(f"{cluster.watched}-new")
    cluster.counted.add(f"{cluster.watched}-new")
    cluster.advance(managed_simulation.CATCH_UP_S)
    assert cluster.watched not in cluster.voters()
    assert not cluster.has_early_demotion


@pytest.mark.parametrize("seed", range(4))
def test_all_replicas_know_the_order_of_joining_after_snapshots_and_restarts(seed):
    cluster = SpreadSimulation(seed)
    cluster.advance(2.0)
    cluster.add_machine("a-new")
    cluster.counted.add("a-new")
    put_for(cluster, managed_simulation.CATCH_UP_S)
    for name in sorted(cluster.processes):
        cluster.snapshot(cluster.processes[name])
        cluster.kill(name)
    put_for(cluster, managed_simulation.CATCH_UP_S)
    assert cluster.voters() == ["a-new", "b", "c"]
    for process in cluster.processes.values():
        views = automation.view_members(process.state, cluster.now_s)
        newest = max(views, key=lambda view: view.joining_order)
        assert messages.replica_name_of(newest.member.member_id) == "a-new"
        assert len({view.joining_order for view in views}) == len(views)
