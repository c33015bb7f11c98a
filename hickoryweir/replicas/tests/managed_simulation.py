"""Simulated replicas that are admitted and replaced as by the leader of a real core.

Losses come as on a site that tolerates the loss of one machine: disks are lost one at a
time, and the next one only after the time that a new replica has to catch up.  Power
and processes of any number of replicas may be lost besides.
"""

from returns import result

from hickoryweir.replicas import automation, messages, quorums, records, requests
from hickoryweir.replicas import state as states
from hickoryweir.replicas.tests import memory_files, simulation

STEP_S = 0.02
# Time after its start that a replica has to replace a lost one, as settings name it.
CATCH_UP_S = 4.0
# Time after the last fault within which service must be back, likewise.
RECOVERY_S = 12.0
# Time within which two replicas go on without the third, while no fault is near.
RECOVERY_BOUND_S = 5.0
VOTERS_WANTED_COUNT = 3
MAX_START_DELAY_S = 1.5
# As supervisor.REOPEN_INTERVAL_S.
REOPEN_INTERVAL_S = 0.5
MAX_SNAPSHOT_LAG_COUNT = 10
# As node.TRANSFER_TIMEOUT_S and replacement.HAND_OVER_TIMEOUT_S together.
STOP_LIMIT_S = 4.0


class ManagedSimulation(simulation.Simulation):
    """A cluster with automatic membership changes and a table's operator."""

    def __init__(self, seed, names=("a", "b", "c")):
        super().__init__(seed, names)
        self.starts_at_s = {}
        self.hangs_until_s = {}
        self.refuses_until_s = {}
        self.stutters_until_s = {}
        self.turns_at_s = {}
        self.frozen = set()
        self.heals_at_s = 0.0
        self.inactive_since_s = dict.fromkeys(names)
        self.proposed = {}
        self.acknowledged = set()
        self.leaving_ids = frozenset()
        self.yield_due_s = {}
        self.yielded_at_s = {}

    def _apply(self, process, entry):
        super()._apply(process, entry)
        if self.proposed.pop((process.name, entry.index, entry.term), None):
            self.acknowledged.add(entry.payload)

    def lose_power(self, name):
        """Stop a replica; it loses a random part of what was not synced."""
        self.crash(name)
        self._stopped(name)

    def kill(self, name):
        """Stop a replica at a random operation of its disk; files stay as they are."""
        process = self.processes[name]
        if self.is_running(process) and process.work:
            files = process.disk
            files.fail_after_count = files.operation_count + self.random.randrange(8)
            simulation.disk.execute(process.storage, process.work)
            files.fail_after_count = None
        process.state = None
        process.work = []
        self._stopped(name)

    def lose_disk(self, name):
        """Replace the disk of a stopped replica by an empty one."""
        self.processes[name].disk = memory_files.MemoryFiles()

    def replace_machine(self, name, new_name):
        """Remove a replica for good and add a new one with an empty disk."""
        self._stopped(name)
        del self.processes[name]
        del self.starts_at_s[name]
        self.frozen.discard(name)
        self.processes[new_name] = simulation.Process(
            new_name, memory_files.MemoryFiles()
        )
        self._stopped(new_name)

    def add_machine(self, name):
        """Add a machine with an empty disk, which starts at once."""
        self.processes[name] = simulation.Process(name, memory_files.MemoryFiles())
        self._stopped(name)
        self.starts_at_s[name] = self.now_s

    def remove_machine(self, name):
        """Remove a machine for good, with its disk."""
        self._stopped(name)
        del self.processes[name]
        del self.starts_at_s[name]
        self.frozen.discard(name)

    def stop_as_planned(self, name):
        """Stop a replica as its process does on SIGTERM."""
        process = self.processes[name]
        end_s = self.now_s + STOP_LIMIT_S
        if process.state.role is states.Role.LEADER:
            self.step(process, states.TransferRequested(""))
        while process.state.role is states.Role.LEADER and self.now_s < end_s:
            self.advance(STEP_S)
        has_others = len(process.state.membership.members) > VOTERS_WANTED_COUNT
        if quorums.is_voter(process.state) and has_others:
            while self._waits_for_successor(process) and self.now_s < end_s:
                self.advance(STEP_S)
        self.leaving_ids = frozenset()
        self._stopped(name)
        process.state = None
        process.work = []

    def yields(self, name):
        """Return whether a replica votes only where others are missing."""
        return False

    def _waits_for_successor(self, process):
        """Tell the leader that a voter is about to stop; return whether it waits."""
        member_id = process.state.member_id
        self.leaving_ids = frozenset({member_id})
        leader = self.leader()
        return leader is None or bool(
            automation.answer_leaving(
                leader.state, member_id, VOTERS_WANTED_COUNT, self.now_s
            )
        )

    def refuse_writes(self, name, duration_s):
        """Let the disk refuse writes for a while, after a few further ones."""
        self.refuses_until_s[name] = self.now_s + duration_s
        files = self.processes[name].disk
        files.fail_after_count = files.operation_count + self.random.randrange(8)

    def _end_refusals(self):
        for name, until_s in list(self.refuses_until_s.items()):
            if self.now_s >= until_s:
                del self.refuses_until_s[name]
                if name in self.processes:
                    self.processes[name].disk.fail_after_count = None

    def _take_turns(self):
        """Stop and continue the processes that run in short turns."""
        for name, until_s in list(self.stutters_until_s.items()):
            if self.now_s >= until_s or name not in self.processes:
                del self.stutters_until_s[name]
                self.frozen.discard(name)
            elif self.now_s >= self.turns_at_s.get(name, 0.0):
                self.frozen ^= {name}
                longest_s = 0.7 if name in self.frozen else 0.3
                turn_s = self.random.uniform(0.02, longest_s)
                self.turns_at_s[name] = self.now_s + turn_s

    def tick(self, duration_s):
        """Advance the time; processes that are stopped don't notice."""
        self.now_s += duration_s
        for process in self.processes.values():
            if self.is_running(process) and process.name not in self.frozen:
                self.step(process, states.Ticked())

    def _stopped(self, name):
        for key in [key for key in self.proposed if key[0] == name]:
            del self.proposed[key]
        for key in [key for key in self.yielded_at_s if key[0] == name]:
            del self.yielded_at_s[key]
        self.yield_due_s.pop(name, None)
        self.network = [
            item
            for item in self.network
            if messages.replica_name_of(item.from_id) != name
        ]
        delay_s = self.random.uniform(0.1, MAX_START_DELAY_S)
        self.starts_at_s[name] = self.now_s + delay_s

    def propose_table(self):
        """Propose a command at the leader; it is acknowledged once applied there."""
        leader = self.leader()
        if leader is None or leader.state.transfer_target:
            return
        index = leader.state.log.last_index + 1
        self.proposed[(leader.name, index, leader.state.term)] = True
        self.propose(leader)

    def advance(self, duration_s):
        """Let time pass, with random delays of messages and syncs."""
        for _ in range(round(duration_s / STEP_S)):
            self._start_due()
            self._end_refusals()
            self._take_turns()
            if self.now_s >= self.heals_at_s:
                self.heal()
            self.tick(STEP_S)
            self._exchange()
            self._manage()
            for process in self.processes.values():
                self._ask_for_admission(process)
                self._tell_to_yield(process)
                self._maintain(process)

    def _start_due(self):
        for name, starts_at_s in list(self.starts_at_s.items()):
            if self.now_s >= starts_at_s:
                opened = self.open_folder(name)
                if isinstance(opened, result.Failure):
                    problem = opened.failure().problem
                    assert problem is records.Problem.INPUT_OUTPUT, opened.failure()
                    self.starts_at_s[name] = self.now_s + REOPEN_INTERVAL_S
                    continue
                del self.starts_at_s[name]
                self.start_from(name, opened.unwrap())
                self.inactive_since_s[name] = None

    def _exchange(self):
        for _ in range(4):
            for process in self.processes.values():
                is_held = process.name in self.frozen
                is_held |= self.now_s < self.hangs_until_s.get(process.name, 0.0)
                is_due = self.is_running(process) and process.work and not is_held
                if is_due and self.random.random() < 0.6:
                    self.sync(process)
            held = set()
            position = 0
            while position < len(self.network):
                envelope = self.network[position]
                link = (envelope.from_id, envelope.to_id)
                is_held = messages.replica_name_of(envelope.to_id) in self.frozen
                if is_held or link in held or self.random.random() < 0.2:
                    # Messages of one connection arrive in order.
                    held.add(link)
                    position += 1
                else:
                    self.deliver(position)

    def _manage(self):
        leader = self.leader()
        if leader is None or leader.name in self.frozen:
            return
        views = automation.view_members(
            leader.state, self.now_s, self.leaving_ids, self._yielding_ids(leader.name)
        )
        own_id = leader.state.member_id
        change = automation.next_change(views, own_id, VOTERS_WANTED_COUNT)
        if change is not None:
            self.step(leader, requests.make_change_event(change, self.now_s))

    def _tell_to_yield(self, process):
        """Let a replica that yields tell so, as automation.yield_votes does."""
        name = process.name
        if name in self.frozen or not self.is_running(process):
            return
        is_due = self.now_s >= self.yield_due_s.get(name, 0.0)
        if not is_due or not self.yields(name) or not quorums.is_member(process.state):
            return
        self.yield_due_s[name] = self.now_s + automation.YIELD_INTERVAL_S
        for receiver in self.receivers_of_yield():
            if (name, receiver.name) not in self.cuts:
                member_id = process.state.member_id
                self.yielded_at_s[receiver.name, member_id] = self.now_s

    def receivers_of_yield(self):
        """Return the processes that replicas tell that they yield."""
        return [item for item in self.processes.values() if self.is_running(item)]

    def _yielding_ids(self, name):
        """Return the members of which a replica knows that they yield."""
        return frozenset(
            member_id
            for (receiver_name, member_id), told_at_s in self.yielded_at_s.items()
            if receiver_name == name
            and self.now_s - told_at_s <= automation.YIELDS_FOR_S
        )

    def _ask_for_admission(self, process):
        if process.name in self.frozen:
            return
        if not self.is_running(process) or not automation.needs_to_join(process.state):
            self.inactive_since_s[process.name] = None
            return
        since_s = self.inactive_since_s.get(process.name)
        if since_s is None:
            self.inactive_since_s[process.name] = self.now_s
        elif self.now_s - since_s >= automation.join_delay_s(process.state):
            self.inactive_since_s[process.name] = None
            leader = self.leader()
            if leader is not None and (process.name, leader.name) not in self.cuts:
                zone = self.zone_of(process.name)
                member = messages.Member(
                    process.state.member_id, process.name, zone, False
                )
                self.step(leader, states.LearnerAdded(member, self.now_s))

    def _maintain(self, process):
        if not self.is_running(process):
            return
        if process.state.role is states.Role.FAILED:
            process.state = None
            process.work = []
            self._stopped(process.name)
            self.starts_at_s[process.name] = self.now_s + REOPEN_INTERVAL_S
            return
        state = process.state
        snapshot_index = 0 if state.snapshot is None else state.snapshot.index
        if state.applied_index - snapshot_index > MAX_SNAPSHOT_LAG_COUNT:
            self.snapshot(process)

    def inject_faults(self, loses_disk):
        """Let processes, power, disks or links fail, and at most one disk be lost."""
        names = sorted(self.processes)
        stop = self.random.choice((self.kill, self.lose_power))
        share = self.random.choice((0.0, 0.3, 0.6, 1.0))
        stopped = [name for name in names if self.random.random() < share]
        lost = self.random.choice(names) if loses_disk else None
        if lost is not None and lost not in stopped:
            stopped.append(lost)
        for name in stopped:
            stop(name)
        if lost is not None and self.random.random() < 0.3:
            self.replace_machine(lost, f"{lost}x")
        elif lost is not None:
            self.lose_disk(lost)
        for name in sorted(self.processes):
            self._disturb(name, name in stopped)
        if self.random.random() < 0.4:
            names = sorted(self.processes)
            pairs = [(x, y) for x in names for y in names if x != y]
            self.cut(*self.random.sample(pairs, self.random.randint(1, len(pairs))))
            self.heals_at_s = self.now_s + self.random.uniform(0.5, 3.0)

    def _disturb(self, name, is_stopped):
        """Let a disk hang or refuse writes, or a process run in short turns."""
        chance = self.random.random()
        duration_s = self.random.uniform(0.5, 3.0)
        if chance < 0.2:
            self.hangs_until_s[name] = self.now_s + duration_s
        elif chance < 0.35:
            self.refuse_writes(name, duration_s)
        elif chance < 0.5 and not is_stopped:
            self.stutters_until_s[name] = self.now_s + duration_s

    def wait_until_calm(self):
        """Let time pass until all faults have ended and all replicas run."""
        while (
            self.starts_at_s
            or self.cuts
            or self.refuses_until_s
            or self.stutters_until_s
            or any(self.now_s < until_s for until_s in self.hangs_until_s.values())
        ):
            self.advance(0.1)

    def voters(self):
        """Return the names of running replicas that are voters by their own state."""
        return [
            name
            for name, process in sorted(self.processes.items())
            if self.is_running(process) and quorums.is_voter(process.state)
        ]
