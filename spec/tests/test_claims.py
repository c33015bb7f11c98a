"""The claims machine follows the specification in every reachable state.

The test explores all reachable pairs of a model state and a state of the production
machine; each command must lead both to the same record and the same grant.
"""

import collections

from hickoryweir.claims import commands, machine, snapshots, verdicts
from spec import claims

ATTEMPT_COUNT = 3
NOW_S = 1_000_000.0
EXPIRY_S = NOW_S + machine.RETENTION_S
KEY = ("school", "key")


def make_claim(number):
    return commands.Claim(*KEY, NOW_S, b"digest", f"a{number}", "till-1", "vm-1")


def make_outcome(number, outcome):
    return commands.RecordOutcome(*KEY, NOW_S, f"a{number}", outcome)


COMMAND_FACTORIES = {
    "apply_claim": make_claim,
    "apply_not_run": lambda n: make_outcome(n, commands.NotRun("not sent")),
    "apply_answer": lambda n: make_outcome(n, commands.Answered(200, "a/b", b"x")),
    "apply_unknown": lambda n: make_outcome(n, commands.Unknown("lost")),
    "expire": lambda _: commands.SetRetention(machine.RETENTION_S, 0),
}


def find_record(state):
    account = state.accounts.get(KEY[0])
    return account.records.get(KEY[1]) if account else None


def to_spec_terms(state):
    """Return the record's status, holder and released attempts as in the model."""
    record = find_record(state)
    if record is None:
        return machine.Status.RELEASED, claims.NO_HOLDER, frozenset()
    digests = {machine.attempt_digest(f"a{n}"): n for n in range(ATTEMPT_COUNT)}
    released = frozenset(digests[digest] for digest in record.released)
    holder = int(record.attempt_id[1:]) if record.attempt_id else claims.NO_HOLDER
    return record.status, holder, released


def apply_to_machine(dumped, label, before):
    name, _, number = label.partition("(")
    if name not in COMMAND_FACTORIES:
        return dumped, None
    state = snapshots.load(dumped)
    command = COMMAND_FACTORIES[name](int(number[:-1]) if number else 0)
    is_past_retention = before.expired or name == "expire"
    verdict = machine.apply(state, command, 1, EXPIRY_S if is_past_retention else NOW_S)
    return snapshots.dump(state), verdict


def test_machine_follows_every_step_of_the_specification():
    model = claims.make_model(ATTEMPT_COUNT)
    start = (model.initial, snapshots.dump(machine.initial_state()))
    visited = {start}
    queue = collections.deque([start])
    while queue:
        packed, dumped = queue.popleft()
        before = claims.State(*packed)
        for label, after in model.transitions(packed):
            stepped, verdict = apply_to_machine(dumped, label, before)
            assert to_spec_terms(snapshots.load(stepped)) == after[:3], label
            if label.startswith("apply_claim"):
                granted = isinstance(verdict, verdicts.Granted)
                holds = after.holder == int(label[-2])
                running = after.status is machine.Status.IN_PROGRESS
                assert granted == (holds and running), label
            pair = (after, stepped)
            if pair not in visited:
                visited.add(pair)
                queue.append(pair)
    assert len(visited) > 1000
