"""Stateful fuzzing of automatic membership changes, with wiped disks.

This is the cluster of :mod:`spec.cluster_fuzz` with a fourth replica.  On each tick
the leader executes the decision of :mod:`hickoryweir.replicas.automation`, and replicas
that are not members ask to be admitted.  A disk may be wiped whenever the group can
tolerate it: all replicas run, there are three voters, each of which holds all committed
entries, and no change is in progress.  The same properties must hold: nothing accepted
is lost, no key runs twice, and once all faults are repaired the group has three voters
again.
"""

import enum

from hypothesis import stateful
from hypothesis import strategies as st

from hickoryweir.replicas import automation, messages, quorums, requests, wire
from hickoryweir.replicas import state as states
from spec import cluster_fuzz

VOTERS_COUNT = 3
SPARE_REPLICA = "d"
# Time for two removals, admissions and promotions in sequence, each within a second.
REPAIR_S = 12.0


class Mutation(enum.StrEnum):
    """Implementation faults that the fuzzer must find."""

    WIPED_DISK_KEEPS_ITS_NAME = "wiped_disk_keeps_its_name"
    LOST_VOTER_STAYS = "lost_voter_stays"
    REMOVES_BEFORE_CAUGHT_UP = "removes_before_caught_up"


class SelfManaged(cluster_fuzz.Cluster):
    """A cluster whose leader manages the membership automatically."""

    def __init__(self, seed, mutation=None):
        self.mutation = mutation
        super().__init__(seed)
        self.add(SPARE_REPLICA)

    def tick(self, duration_s):
        """Advance the time, admit non-members and execute the leader's decision."""
        super().tick(duration_s)
        leader = self.leader()
        if leader is None or not self.is_running(leader):
            return
        self.admit_non_members(leader)
        change = self.next_change(leader)
        if change is not None:
            self.step(leader, requests.make_change_event(change, self.now_s))

    def admit_non_members(self, leader):
        """Admit every running non-member that is connected to the leader."""
        for name, process in sorted(self.processes.items()):
            if not self.is_running(process) or quorums.is_member(process.state):
                continue
            if (name, leader.name) in self.cuts or (leader.name, name) in self.cuts:
                continue
            member_id = process.state.member_id
            if leader.state.membership.find(member_id) is None:
                member = messages.Member(member_id, name, "zone", False)
                self.step(leader, states.LearnerAdded(member, self.now_s))

    def next_change(self, leader):
        """Return the membership change that the leader decides on, or None."""
        state = leader.state
        views = automation.view_members(state, self.now_s)
        if self.mutation is Mutation.REMOVES_BEFORE_CAUGHT_UP:
            views = tuple(
                automation.MemberView(view.member, True, view.since_contact_s)
                for view in views
            )
        change = automation.next_change(views, state.member_id, VOTERS_COUNT)
        if self.mutation is Mutation.LOST_VOTER_STAYS and _removes_voter(change):
            return None
        return change

    def wipe(self, name):
        """Wipe the disk of a replica and restart it."""
        self.add(name)

    def make_token(self, name):
        """Return the generator of random tokens for a new folder's identity."""
        if self.mutation is Mutation.WIPED_DISK_KEEPS_ITS_NAME:
            return lambda size: name.encode().ljust(size, b"-").hex()
        return super().make_token(name)

    def is_whole(self):
        """Return whether the group currently tolerates the loss of a disk."""
        leader = self.leader()
        if leader is None or not all(map(self.is_running, self.processes.values())):
            return False
        state = leader.state
        voters = state.membership.voter_ids
        all_committed = state.commit_index == state.log.last_index
        return (
            all_committed
            and len(voters) == VOTERS_COUNT
            and all(self.has_all_committed(state, voter_id) for voter_id in voters)
        )

    def has_all_committed(self, state, voter_id):
        """Return whether the disk of a voter holds all committed entries."""
        process = self.processes[messages.replica_name_of(voter_id)]
        if process.state.member_id != voter_id:
            return False
        return process.state.persisted_index >= state.commit_index


def _removes_voter(change):
    return change is not None and (
        change.change is wire.Change.REMOVE and change.member.voter
    )


class MembersMachine(cluster_fuzz.ClusterMachine):
    """All faults of the cluster, and emptied disks, while members change."""

    mutation = None

    @stateful.initialize(seed=st.integers(0, 2**32))
    def found(self, seed):
        """Found a group of three and let a fourth replica join."""
        self.cluster = SelfManaged(seed, self.mutation)
        self.cluster.run(3.0)

    @stateful.rule(number=cluster_fuzz.NUMBER, then_s=cluster_fuzz.AFTERWARDS_S)
    def wipe(self, number, then_s):
        """Empty the disk of a replica while the group can bear it."""
        process = self.pick(number)
        if process is not None and self.cluster.is_whole():
            self.cluster.wipe(process.name)
            self.cluster.run(then_s)

    @stateful.rule(numbers=st.lists(cluster_fuzz.NUMBER, min_size=2, max_size=4))
    def wipe_one_after_the_other(self, numbers):
        """Empty disks in turn, each as soon as the group is whole again."""
        for number in numbers:
            self.wipe(number, REPAIR_S / 4)

    @stateful.rule(number=cluster_fuzz.NUMBER)
    def cut_and_wipe(self, number):
        """Let a minority miss changes, then empty the disk of one that has them."""
        behind = self.pick(number)
        if behind is None or not self.cluster.is_whole():
            return
        self.cluster.isolate(behind.name)
        self.cluster.run(0.6)
        leader = self.cluster.leader()
        if leader is not None and leader is not behind:
            request = cluster_fuzz.Request(cluster_fuzz.ChangeVersion("", -1))
            self.cluster.offer(leader, request)
            self.cluster.run(0.2)
        self.cluster.heal()
        self.cluster.run(0.3)
        self.wipe(number + 1, 0.3)

    def teardown(self):
        """Mend everything: nothing may be lost, and the group is whole again."""
        if self.cluster is None:
            return
        self.cluster.run(0.1)
        super().teardown()
        self.cluster.run(REPAIR_S)
        leader = self.cluster.leader()
        assert len(leader.state.membership.voter_ids) == VOTERS_COUNT
        assert self.cluster.is_whole()


def make_mutated(mutation: Mutation) -> type[MembersMachine]:
    """Return the state machine with a fault built in."""
    return type("Mutated", (MembersMachine,), {"mutation": mutation})
