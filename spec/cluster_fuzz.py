"""Stateful fuzzing of the Raft core, the storage and the claims machine together.

The production code of the replicas runs on the simulated network, clock and disk of
:mod:`hickoryweir.replicas.tests.simulation`.  It replicates the production claims
machine and a register of configuration versions.  A replica may crash at any write
or sync.  The oracle observes only what routers and operators observe: which claims
were granted and which versions were accepted.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st

from hickoryweir.claims import commands, snapshots, verdicts
from hickoryweir.claims import machine as claims_machine
from hickoryweir.replicas import machine, messages, storage
from hickoryweir.replicas import state as states
from hickoryweir.replicas.tests import simulation
from hickoryweir.streams import codec

KEYS = ("k1", "k2", "k3")
NUMBER = st.integers(0, 10_000)
SETTLE_S = 8.0
AFTERWARDS_S = st.sampled_from([0.0, 0.0, 0.04, 0.3, 1.5])


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeVersion:
    """Command for a change, accepted if ``expected_version`` is the newest version."""

    change_id: str
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionAnswer:
    """Version assigned to a change; 0 on a conflict."""

    version: int


@dataclasses.dataclass(slots=True)
class Versions:
    """Ids of the accepted changes; the newest version is their count."""

    accepted: list[str] = dataclasses.field(default_factory=list)


codec.register("fuzz.change", ChangeVersion)
codec.register("fuzz.answer", VersionAnswer)


def apply_change(
    state: Versions, command: ChangeVersion, index: int, time_s: float
) -> VersionAnswer:
    """Apply a change; a repeated change returns the answer of its first application."""
    if command.change_id in state.accepted:
        return VersionAnswer(state.accepted.index(command.change_id) + 1)
    if command.expected_version != len(state.accepted):
        return VersionAnswer(0)
    state.accepted.append(command.change_id)
    return VersionAnswer(len(state.accepted))


SUBMACHINES = (
    machine.Submachine(
        "claims",
        (commands.Claim, commands.RecordOutcome, commands.SetRetention),
        claims_machine.initial_state,
        claims_machine.apply,
        snapshots.dump,
        snapshots.load,
    ),
    machine.Submachine(
        "versions",
        (ChangeVersion,),
        Versions,
        apply_change,
        lambda state: "\n".join(state.accepted).encode(),
        lambda data: Versions(data.decode().split("\n") if data else []),
    ),
)


@dataclasses.dataclass(slots=True)
class Request:
    """A proposed command; ``answers`` are those its proposer may have received."""

    command: object
    answers: list = dataclasses.field(default_factory=list)
    dispatched: bool = False
    ended: bool = False


class Cluster(simulation.Simulation):
    """The simulation with production state machines; a digest is their full dump."""

    def __init__(self, seed):
        self.pending_requests = {}
        super().__init__(seed)

    def _apply(self, process, entry):
        recorded = self.committed.setdefault(entry.index, entry)
        assert recorded == entry, "two entries committed at the same index"
        restored = machine.make_machine(SUBMACHINES)
        machine.load(restored, process.digest)
        if entry.kind is messages.EntryKind.COMMAND:
            answer = machine.apply(restored, entry)
            request = self.pending_requests.pop(
                (process.name, entry.index, entry.term), None
            )
            if request is not None:
                request.answers.append(answer)
        process.digest = machine.dump(restored)
        self._check_digest(entry.index, process.digest)

    def offer(self, process, request):
        """Propose the command if the replica leads and is not handing over."""
        state = process.state
        if state.role is not states.Role.LEADER or state.transfer_target:
            return
        position = (process.name, state.log.last_index + 1, state.term)
        self.pending_requests[position] = request
        payload = codec.encode(request.command)
        self.step(process, states.Proposed((payload,), self.now_s))


class ClusterMachine(stateful.RuleBasedStateMachine):
    """Claims and configuration changes while replicas, disks and links fail."""

    def __init__(self):
        super().__init__()
        self.requests = []
        self.version_owners = {}
        self.cluster = None

    @stateful.initialize(seed=st.integers(0, 2**32))
    def found(self, seed):
        """Found a cluster of three and let it elect a leader."""
        self.cluster = Cluster(seed)
        self.cluster.run(2.0)

    def pick(self, number, running=True):
        """Return a replica that runs, or one that doesn't, or None."""
        found = [
            process
            for _, process in sorted(self.cluster.processes.items())
            if self.cluster.is_running(process) == running
        ]
        return found[number % len(found)] if found else None

    @stateful.rule(key=st.sampled_from(KEYS), number=NUMBER, then_s=AFTERWARDS_S)
    def claim(self, key, number, then_s):
        """Start a new attempt at a key."""
        name = f"a{len(self.requests)}"
        claim = commands.Claim("school", key, None, b"d", name, "till-1", "vm-1")
        self.requests.append(Request(claim))
        self.propose(len(self.requests) - 1, number, then_s)

    @stateful.rule(number=NUMBER, then_s=AFTERWARDS_S)
    def change(self, number, then_s):
        """Start a new configuration change on top of the newest version known."""
        change = ChangeVersion(f"c{len(self.requests)}", len(self.version_owners))
        self.requests.append(Request(change))
        self.propose(len(self.requests) - 1, number, then_s)

    @stateful.rule(request=NUMBER, number=NUMBER, then_s=AFTERWARDS_S)
    def propose(self, request, number, then_s):
        """Propose a command, perhaps again, at a leader if there is one."""
        process = self.cluster.leader() if number % 4 else self.pick(number)
        if self.requests and process is not None:
            request = self.requests[request % len(self.requests)]
            self.cluster.offer(process, request)
            self.cluster.run(then_s)

    @stateful.rule(number=NUMBER, ran=st.booleans(), then_s=AFTERWARDS_S)
    def finish(self, number, ran, then_s):
        """Let a holder dispatch its call, or say that it did not run."""
        holders = [
            request
            for request in self.requests
            if any(isinstance(item, verdicts.Granted) for item in request.answers)
            and not request.ended
        ]
        if not holders:
            return
        holder = holders[number % len(holders)]
        holder.ended = True
        holder.dispatched = ran
        outcome = commands.NotRun("refused")
        if ran:
            name = holder.command.attempt_id.encode()
            outcome = commands.Answered(200, "text/plain", name)
        claim = holder.command
        record = commands.RecordOutcome(
            claim.account, claim.key, None, claim.attempt_id, outcome
        )
        self.requests.append(Request(record))
        self.propose(len(self.requests) - 1, 1, then_s)

    @stateful.rule(duration_s=st.sampled_from([0.02, 0.1, 0.5, 2.0, 2.0]))
    def run(self, duration_s):
        """Let everything happen in order for a while."""
        self.restart_failed()
        self.cluster.run(duration_s)

    @stateful.rule(duration_s=st.sampled_from([0.01, 0.2, 1.0]))
    def tick(self, duration_s):
        """Let time pass while no message or sync gets through."""
        self.cluster.tick(duration_s)

    @stateful.rule(numbers=st.lists(NUMBER, max_size=8), keep=st.booleans())
    def deliver(self, numbers, keep):
        """Deliver messages out of order, perhaps leaving copies for later."""
        for number in numbers:
            if self.cluster.network:
                self.cluster.deliver(number % len(self.cluster.network), keep)

    @stateful.rule(numbers=st.lists(NUMBER, max_size=8))
    def lose(self, numbers):
        """Lose messages."""
        for number in numbers:
            if self.cluster.network:
                self.cluster.network.pop(number % len(self.cluster.network))

    @stateful.rule(number=NUMBER)
    def sync(self, number):
        """Let one replica's disk finish what waits."""
        process = self.pick(number)
        if process is not None and process.work:
            self.cluster.sync(process)

    @stateful.rule(number=NUMBER, operation_count=st.integers(0, 12))
    def stop_at_operation(self, number, operation_count):
        """Let a disk fail after so many more writes, syncs or renames."""
        process = self.pick(number)
        if process is not None:
            files = process.disk
            files.fail_after_count = files.operation_count + operation_count

    @stateful.rule(number=NUMBER, then_s=AFTERWARDS_S)
    def restart(self, number, then_s):
        """Stop a replica at once and start it again after a while."""
        process = self.pick(number)
        if process is not None:
            self.cluster.crash(process.name)
            self.cluster.run(then_s)
            self.cluster.start(process.name)

    def restart_failed(self):
        """Restart every replica whose disk has failed."""
        for name, process in sorted(self.cluster.processes.items()):
            state = process.state
            if state is not None and state.role is states.Role.FAILED:
                self.cluster.crash(name)
                self.cluster.start(name)

    @stateful.rule()
    def restart_all(self):
        """Lose power everywhere at once."""
        for name, process in sorted(self.cluster.processes.items()):
            if process.state is not None:
                self.cluster.crash(name)
            self.cluster.start(name)
        self.cluster.run(2.0)

    @stateful.rule(number=NUMBER)
    def crash(self, number):
        """Stop a replica at once, if all the others run."""
        process = self.pick(number)
        if process is not None and self.pick(0, running=False) is None:
            self.cluster.crash(process.name)

    @stateful.rule(number=NUMBER)
    def start(self, number):
        """Start a stopped replica from its disk."""
        process = self.pick(number, running=False)
        if process is not None:
            self.cluster.start(process.name)

    @stateful.rule(number=NUMBER, operation_count=st.integers(0, 6))
    def crash_while_starting(self, number, operation_count):
        """Let a stopped replica crash while it opens its folder."""
        process = self.pick(number, running=False)
        if process is None:
            return
        files = process.disk
        files.fail_after_count = files.operation_count + operation_count
        storage.open_folder(
            files.make_files(), simulation.FOLDER, "north", "", process.name
        )
        files.crash(self.cluster.random)

    @stateful.rule(number=NUMBER)
    def take_snapshot(self, number):
        """Let a replica take a snapshot and forget its log before it."""
        process = self.pick(number)
        if process is not None:
            self.cluster.snapshot(process)

    @stateful.rule(
        number=NUMBER,
        one_way=st.booleans(),
        lasting=st.sampled_from([False, False, True]),
        then_s=AFTERWARDS_S,
    )
    def cut(self, number, one_way, lasting, then_s):
        """Cut one replica off, perhaps in one direction only, for a while."""
        names = sorted(self.cluster.processes)
        name = names[number % len(names)]
        if one_way:
            self.cluster.cut(*((name, other) for other in names))
        else:
            self.cluster.isolate(name)
        self.cluster.run(then_s)
        if not lasting:
            self.cluster.heal()

    @stateful.rule(number=NUMBER, operation_count=st.integers(0, 20))
    def leave_behind(self, number, operation_count):
        """Let a follower miss entries that are then only in a snapshot."""
        leader = self.cluster.leader()
        behind = self.pick(number)
        if leader is None or behind in (None, leader):
            return
        self.cluster.isolate(behind.name)
        for _ in range(4):
            self.cluster.offer(leader, Request(commands.SetRetention(100.0, 0)))
        self.cluster.run(0.2)
        self.cluster.snapshot(leader)
        self.cluster.run(0.1)
        files = behind.disk
        files.fail_after_count = files.operation_count + operation_count
        self.cluster.heal()
        self.cluster.run(0.5)

    @stateful.rule()
    def heal(self):
        """Mend all links."""
        self.cluster.heal()

    @stateful.rule(number=NUMBER)
    def transfer(self, number):
        """Hand leadership over, as a planned stop does."""
        leader = self.cluster.leader()
        if leader is not None:
            others = sorted(leader.state.progress)
            target = others[number % len(others)] if others else ""
            self.cluster.step(leader, states.TransferRequested(target))

    @stateful.invariant()
    def check_one_run_a_key(self):
        """Check that no key was dispatched twice, whoever heard what."""
        keys = [request.command.key for request in self.requests if request.dispatched]
        assert len(keys) == len(set(keys))

    @stateful.invariant()
    def check_one_change_a_version(self):
        """Check that each accepted version belongs to one change for ever."""
        for request in self.requests:
            for answer in request.answers:
                if isinstance(answer, VersionAnswer) and answer.version:
                    change_id = request.command.change_id
                    owner = self.version_owners.setdefault(answer.version, change_id)
                    assert owner == change_id

    def teardown(self):
        """Mend everything: a leader must come, and nothing may be lost."""
        if self.cluster is None:
            return
        self.cluster.heal()
        for name, process in sorted(self.cluster.processes.items()):
            if process.state is not None:
                self.cluster.crash(name)
            self.cluster.start(name)
        self.cluster.run(SETTLE_S)
        leader = self.cluster.leader()
        assert leader is not None
        self.check_nothing_lost(leader)

    def check_nothing_lost(self, leader):
        """Compare what was answered with the leader's final state."""
        last = Request(ChangeVersion("last", len(self.version_owners)))
        self.cluster.offer(leader, last)
        self.cluster.run(2.0)
        assert last.answers, "no proposal gets through after all faults are mended"
        loaded = machine.make_machine(SUBMACHINES)
        machine.load(loaded, leader.digest)
        accepted = loaded.states["versions"].accepted
        for version, change_id in self.version_owners.items():
            assert accepted[version - 1] == change_id
        account = loaded.states["claims"].accounts.get("school")
        for request in self.requests:
            if any(isinstance(item, verdicts.Granted) for item in request.answers):
                self.check_holder(account, request)

    def check_holder(self, account, request):
        """Check that a granted attempt still holds its key or has released it."""
        record = account.records[request.command.key]
        name = request.command.attempt_id
        released = claims_machine.attempt_digest(name) in record.released
        assert record.attempt_id == name or released
