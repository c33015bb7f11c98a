"""Traces of the production Raft core are traces of the specification.

A simulated cluster runs under faults.  After each event its state is mapped to states
of the models: the durable election state and the votes sent must be reachable by steps
of :mod:`spec.elections`, and each change of a log or of a commit index must be a step
of :mod:`spec.replication`.
"""

import random

import pytest

from hickoryweir.replicas import messages
from hickoryweir.replicas import state as states
from hickoryweir.replicas.tests import simulation
from spec import elections, replication

BOOTSTRAP_TERM = 1
BOOTSTRAP_INDEX = 1
TERM_SLOT_COUNT = 200
MAX_STEPS = 12
ACTION_COUNT = 400
SEED_COUNT = 24
ROLES = {
    states.Role.CANDIDATE: elections.Role.CANDIDATE,
    states.Role.LEADER: elections.Role.LEADER,
}


def may_precede(state, after):
    """Return whether ``after`` may be reachable from ``state``."""
    return (
        state.requests <= after.requests
        and state.grants <= after.grants
        and state.leaders <= after.leaders
        and all(
            early.term <= late.term
            for early, late in zip(state.replicas, after.replicas, strict=True)
        )
    )


class CheckedSimulation(simulation.Simulation):
    """A simulation that is checked against the specification after each event."""

    def __init__(self, seed):
        self.nesting_depth = 0
        self.synced_votes = {}
        self.requests = frozenset()
        self.grants = frozenset()
        self.observed_leaders = frozenset()
        self.election_state = None
        self.log_views = None
        self.spec_step_count = 0
        super().__init__(seed)
        self.member_ids = [
            process.state.member_id for _, process in sorted(self.processes.items())
        ]
        self.leader_logs = [None] * TERM_SLOT_COUNT
        self.acks = [[0] * len(self.member_ids) for _ in range(TERM_SLOT_COUNT)]
        self.committed_log = ()
        self.election_state = self.make_election_state()
        self.log_views = self.make_log_views()

    def step(self, process, event):
        """Pass an event to a replica and check the resulting state."""
        self.run_checked(lambda: super(CheckedSimulation, self).step(process, event))

    def sync(self, process):
        """Execute the queued disk work of a replica and check the resulting state."""
        stores = [item for item in process.work if isinstance(item, states.Store)]
        if stores:
            self.synced_votes[process.name] = (stores[-1].term, stores[-1].voted_for)
        self.run_checked(lambda: super(CheckedSimulation, self).sync(process))

    def crash(self, name):
        """Crash and restart a replica and check the resulting state."""
        super().crash(name)
        self.start(name)
        self.check()

    def run_checked(self, action):
        """Run an action; check the state when the outermost action has returned."""
        self.nesting_depth += 1
        action()
        self.nesting_depth -= 1
        if self.nesting_depth == 0:
            self.check()

    def check(self):
        """Compare the state of the cluster with the specification."""
        if self.election_state is None:
            return
        self.record_messages()
        self.check_elections()
        self.check_logs()

    def record_messages(self):
        """Record the votes, vote requests and acknowledgements that were sent."""
        for envelope in self.network:
            term = envelope.term - BOOTSTRAP_TERM
            sender = self.member_ids.index(envelope.from_id)
            match envelope.body:
                case messages.VoteRequest(pre=False):
                    self.requests |= {(term, sender)}
                case messages.VoteResponse(granted=True, pre=False):
                    candidate = self.member_ids.index(envelope.to_id)
                    self.grants |= {elections.Grant(term, candidate, sender)}
                case messages.AppendResponse(success=True, match_index=index):
                    length = index - BOOTSTRAP_INDEX
                    self.acks[term][sender] = max(self.acks[term][sender], length)

    def make_election_state(self):
        """Return the durable election state and the sent votes as a model state."""
        replicas = []
        for number, (name, process) in enumerate(sorted(self.processes.items())):
            term, voted_for = self.synced_votes.get(name, (BOOTSTRAP_TERM, ""))
            role = elections.Role.FOLLOWER
            if process.state.term == term:
                role = ROLES.get(process.state.role, role)
            term -= BOOTSTRAP_TERM
            vote = self.member_ids.index(voted_for) if voted_for else elections.NO_VOTE
            replicas.append(elections.Replica(role, term, vote, term, vote))
            if role is elections.Role.LEADER:
                self.observed_leaders |= {(term, number)}
        return elections.State(
            tuple(replicas), self.requests, self.grants, self.observed_leaders, True
        )

    def check_elections(self):
        """Check that steps of the model lead to the new state."""
        after = self.make_election_state()
        highest = max(replica.term for replica in after.replicas)
        reached = {self.election_state}
        for _ in range(MAX_STEPS):
            if after in reached:
                break
            reached |= {
                state
                for before in reached
                for _, state in elections.steps_from(before, highest)
                if may_precede(state, after)
            }
        assert after in reached, (self.election_state, after)
        self.spec_step_count += after != self.election_state
        self.election_state = after

    def make_log_views(self):
        """Return the log and the commit index of each replica in terms of the model."""
        views = []
        for _, process in sorted(self.processes.items()):
            state = process.state
            log = tuple(entry.term - BOOTSTRAP_TERM for entry in state.log.entries)
            leads = state.role is states.Role.LEADER
            term = state.term - BOOTSTRAP_TERM
            synced = state.persisted_index - BOOTSTRAP_INDEX
            view = replication.Replica(term, leads, log, synced)
            views.append((view, state.commit_index - BOOTSTRAP_INDEX))
            if leads:
                self.leader_logs[term] = max(self.leader_logs[term] or (), log, key=len)
        return views

    def make_replication_state(self, views):
        """Return a model state with these replicas."""
        acks = tuple(tuple(row) for row in self.acks)
        replicas = tuple(view for view, _ in views)
        return replication.State(replicas, tuple(self.leader_logs), acks, (), 0, False)

    def check_logs(self):
        """Check each change of a log or of a commit index."""
        before = self.log_views
        self.log_views = self.make_log_views()
        for number, (old, new) in enumerate(zip(before, self.log_views, strict=True)):
            if old[0].log != new[0].log:
                assert self.is_log_step(before, number, new[0]), (old, new)
                self.spec_step_count += 1
            if old[1] < new[1]:
                assert self.is_commit_step(number, *new), (old, new)
                self.spec_step_count += 1

    def is_log_step(self, before, number, new):
        """Return whether an append, a receipt or a crash explains the new log."""
        old = before[number][0]
        if new.leads:
            added = new.log[len(old.log) :]
            return new.log[: len(old.log)] == old.log and set(added) == {new.term}
        if new.log == old.log[: old.synced_length]:
            return True
        state = self.make_replication_state(before)
        lengths = range(len(self.leader_logs[new.term] or ()) + 1)
        received = (
            replication.receive(state, number, new.term, length) for length in lengths
        )
        return any(state.replicas[number].log == new.log for state in received)

    def is_commit_step(self, number, view, length):
        """Return whether the model allows the advance to this commit index."""
        log = view.log[:length]
        if not view.leads:
            return self.committed_log[:length] == log
        steps = replication.steps_from(self.make_replication_state(self.log_views), 0)
        allowed = f"commit({number},{length})" in [label for label, _ in steps]
        shared = min(length, len(self.committed_log))
        agrees = self.committed_log[:shared] == log[:shared]
        self.committed_log = max(self.committed_log, log, key=len)
        return allowed and agrees


def run_random_action(cluster, rng):
    """Execute one random action or fault."""
    process = rng.choice(list(cluster.processes.values()))
    kind = rng.random()
    if kind < 0.03:
        cluster.crash(process.name)
    elif kind < 0.06:
        cluster.isolate(process.name)
    elif kind < 0.15:
        cluster.heal()
    elif kind < 0.25:
        cluster.propose(cluster.leader() or process)
    elif kind < 0.55:
        cluster.tick(rng.choice([0.02, 0.1, 0.3]))
    elif process.work and kind < 0.75:
        cluster.sync(process)
    elif cluster.network:
        cluster.deliver(rng.randrange(len(cluster.network)), kind > 0.97)


@pytest.mark.parametrize("seed", range(SEED_COUNT))
def test_core_takes_only_steps_of_the_specification(seed):
    cluster = CheckedSimulation(seed)
    rng = random.Random(seed)
    cluster.run(1.0)
    for _ in range(ACTION_COUNT):
        run_random_action(cluster, rng)
    assert cluster.spec_step_count > 20
