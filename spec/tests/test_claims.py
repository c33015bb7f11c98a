"""The claims machine takes the steps of the specification, in every state.

All pairs of a reachable specification state and the real machine's state are
walked; each command must lead both to the same record and the same grant.
"""

import collections

from hickoryweir.claims import commands, machine, snapshots, verdicts
from spec import claims

ATTEMPT_COUNT = 3
NOW_S = 1_000_000.0
EXPIRED_S = NOW_S + machine.RETENTION_S
KEY = ("school", "key")


def claim_of(number):
    return commands.Claim(*KEY, NOW_S, b"digest", f"a{number}", "till-1", "vm-1")


def outcome_of(number, outcome):
    return commands.RecordOutcome(*KEY, NOW_S, f"a{number}", outcome)


COMMANDS = {
    "apply_claim": claim_of,
    "apply_not_run": lambda n: outcome_of(n, commands.NotRun("not sent")),
    "apply_answer": lambda n: outcome_of(n, commands.Answered(200, "a/b", b"x")),
    "apply_unknown": lambda n: outcome_of(n, commands.Unknown("lost")),
    "expire": lambda _: commands.SetRetention(machine.RETENTION_S, 0),
}


def record_in(state):
    account = state.accounts.get(KEY[0])
    return account.records.get(KEY[1]) if account else None


def view(state):
    """Return status, holder and released attempts, in the specification's terms."""
    record = record_in(state)
    if record is None:
        return machine.Status.RELEASED, claims.NO_HOLDER, frozenset()
    digests = {machine.attempt_digest(f"a{n}"): n for n in range(ATTEMPT_COUNT)}
    released = frozenset(digests[digest] for digest in record.released)
    holder = int(record.attempt_id[1:]) if record.attempt_id else claims.NO_HOLDER
    return record.status, holder, released


def step_code(dumped, label, before):
    name, _, number = label.partition("(")
    if name not in COMMANDS:
        return dumped, None
    state = snapshots.load(dumped)
    command = COMMANDS[name](int(number[:-1]) if number else 0)
    late = before.expired or name == "expire"
    verdict = machine.apply(state, command, 1, EXPIRED_S if late else NOW_S)
    return snapshots.dump(state), verdict


def test_machine_follows_every_step_of_the_specification():
    model = claims.make_model(ATTEMPT_COUNT)
    start = (model.initial, snapshots.dump(machine.initial_state()))
    seen = {start}
    queue = collections.deque([start])
    while queue:
        packed, dumped = queue.popleft()
        before = claims.State(*packed)
        for label, after in model.transitions(packed):
            stepped, verdict = step_code(dumped, label, before)
            assert view(snapshots.load(stepped)) == after[:3], label
            if label.startswith("apply_claim"):
                granted = isinstance(verdict, verdicts.Granted)
                holds = after.holder == int(label[-2])
                running = after.status is machine.Status.IN_PROGRESS
                assert granted == (holds and running), label
            pair = (after, stepped)
            if pair not in seen:
                seen.add(pair)
                queue.append(pair)
    assert len(seen) > 1000
