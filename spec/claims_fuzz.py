"""Stateful fuzzing of the claims machine against an oracle.

The oracle is independent of the records and statuses of the machine.  It tracks what
each attempt sent, was granted and executed, and judges verdicts by this alone.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st

from hickoryweir.claims import commands, machine, snapshots, verdicts

START_S = 1_000_000.0
LIMITS = machine.Limits(
    retention_s=100.0,
    clock_ahead_max_s=10.0,
    account_records_max=4,
    account_untimed_max=5,
    account_answers_max_bytes=12,
    answer_max_bytes=8,
)
ACCOUNTS = ("school", "hospital")
KEYS = ("k1", "k2", "k3")
ATTEMPT = st.integers(0, 10_000)


@dataclasses.dataclass(slots=True)
class Attempt:
    """State of one attempt in the oracle; ``claim`` may be applied at any time."""

    claim: commands.Claim
    granted: bool = False
    released: bool = False
    ran: bool = False
    ended: commands.Outcome | None = None


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Attempts at a few keys, with messages late, lost and repeated."""

    def __init__(self):
        super().__init__()
        self.state = machine.initial_state(LIMITS)
        self.copy = machine.initial_state(LIMITS)
        self.now_s = START_S
        self.index = 0
        self.attempts = []
        self.issued = {}
        self.retention_s = LIMITS.retention_s
        self.refused_up_to_s = START_S - LIMITS.retention_s

    def apply(self, command):
        """Apply a command to the state and to its copy through a snapshot."""
        self.index += 1
        floor_s = self.now_s - self.retention_s
        self.refused_up_to_s = max(self.refused_up_to_s, floor_s)
        verdict = machine.apply(self.state, command, self.index, self.now_s)
        copied = machine.apply(self.copy, command, self.index, self.now_s)
        assert verdict == copied
        return verdict

    def pick(self, number):
        """Return one of the attempts, or None."""
        return self.attempts[number % len(self.attempts)] if self.attempts else None

    def rivals(self, attempt):
        """Return the other attempts at the same key."""
        key = (attempt.claim.account, attempt.claim.key)
        return [
            other
            for other in self.attempts
            if other is not attempt and (other.claim.account, other.claim.key) == key
        ]

    @stateful.rule(
        account=st.sampled_from(ACCOUNTS),
        key=st.sampled_from(KEYS),
        timed=st.booleans(),
        offset_s=st.sampled_from([0.0, 0.0, -50.0, 5.0, 20.0]),
        digest=st.sampled_from([b"d", b"d", b"d", b"e"]),
        fresh=st.booleans(),
    )
    def arrive(self, account, key, timed, offset_s, digest, fresh):
        """Let a call arrive; a key keeps its form forever."""
        if fresh:
            key = f"{key}-{len(self.attempts)}"
        issued_at_s = self.now_s + offset_s if timed else None
        issued_at_s = self.issued.setdefault((account, key), issued_at_s)
        name = f"a{len(self.attempts)}"
        claim = commands.Claim(
            account, key, issued_at_s, digest, name, "till-1", f"vm-{name}"
        )
        self.attempts.append(Attempt(claim))
        self.deliver_claim(len(self.attempts) - 1)

    @stateful.rule(number=ATTEMPT)
    def deliver_claim(self, number):
        """Deliver a claim, perhaps an old copy of it, to the log."""
        attempt = self.pick(number)
        if attempt is not None:
            verdict = self.apply(attempt.claim)
            self.check_claim(attempt, verdict)

    @stateful.rule(number=ATTEMPT)
    def dispatch(self, number):
        """Run a holder's call, however long ago it was granted."""
        attempt = self.pick(number)
        if attempt is None or not attempt.granted or attempt.ended is not None:
            return
        attempt.ran = True
        assert not any(other.ran for other in self.rivals(attempt))

    @stateful.rule(
        number=ATTEMPT, kind=st.sampled_from(["answer", "unkept", "unknown", "none"])
    )
    def end(self, number, kind):
        """End an attempt; it says it didn't run only if that is so."""
        attempt = self.pick(number)
        if attempt is None or attempt.ended is not None:
            return
        name = attempt.claim.attempt_id.encode()
        if not attempt.ran:
            attempt.ended = commands.NotRun("not dispatched")
        elif kind == "answer":
            attempt.ended = commands.Answered(200, "text/plain", name)
        elif kind == "unkept":
            attempt.ended = commands.AnsweredUnkept(200, name)
        elif kind == "unknown":
            attempt.ended = commands.Unknown("connection lost")
        self.deliver_outcome(number)

    @stateful.rule(number=ATTEMPT)
    def answer_late(self, number):
        """Let the answer come after its holder said it doesn't know."""
        attempt = self.pick(number)
        if attempt is not None and isinstance(attempt.ended, commands.Unknown):
            name = attempt.claim.attempt_id.encode()
            attempt.ended = commands.Answered(200, "text/plain", name)
            self.deliver_outcome(number)

    @stateful.rule(number=ATTEMPT)
    def deliver_outcome(self, number):
        """Deliver an outcome, perhaps once more, to the log."""
        attempt = self.pick(number)
        if attempt is None or attempt.ended is None:
            return
        claim = attempt.claim
        command = commands.RecordOutcome(
            claim.account, claim.key, claim.issued_at_s, claim.attempt_id, attempt.ended
        )
        verdict = self.apply(command)
        if isinstance(attempt.ended, commands.NotRun):
            assert isinstance(verdict, verdicts.Recorded | verdicts.AccountFull)
            attempt.released |= isinstance(verdict, verdicts.Recorded)
        elif self.is_expired(claim):
            assert isinstance(verdict, verdicts.Recorded | verdicts.NotHolder)
        else:
            assert isinstance(verdict, verdicts.Recorded)

    @stateful.rule(number=ATTEMPT, kind=st.sampled_from(["answer", "not run"]))
    def forge(self, number, kind):
        """Send a stranger's outcome for a key; nothing may change."""
        attempt = self.pick(number)
        if attempt is None:
            return
        outcome = commands.Answered(500, "forged", b"forged")
        if kind == "not run":
            outcome = commands.NotRun("forged")
        claim = attempt.claim
        stranger = commands.RecordOutcome(
            claim.account, claim.key, claim.issued_at_s, f"s{self.index}", outcome
        )
        self.apply(stranger)

    @stateful.rule(duration_s=st.sampled_from([1.0, 30.0, 120.0]))
    def wait(self, duration_s):
        """Let time pass."""
        self.now_s += duration_s

    @stateful.rule(retention_s=st.sampled_from([50.0, 100.0, 400.0]))
    def set_retention(self, retention_s):
        """Change the retention."""
        self.apply(commands.SetRetention(retention_s, 0))
        self.retention_s = retention_s

    @stateful.rule()
    def restart(self):
        """Take the copy through a snapshot."""
        self.copy = snapshots.load(snapshots.dump(self.copy))

    def is_expired(self, claim):
        """Return whether the key may be forgotten."""
        seen_s = claim.issued_at_s
        return seen_s is None or seen_s <= self.refused_up_to_s

    def check_claim(self, attempt, verdict):
        """Compare a verdict with what the attempts at the key did."""
        claim = attempt.claim
        rivals = self.rivals(attempt)
        match verdict:
            case verdicts.Granted():
                assert not attempt.released
                assert not any(other.ran for other in rivals)
                assert not any(other.granted and not other.released for other in rivals)
                attempt.granted = True
            case verdicts.InProgress(router=router, attempt_id=attempt_id):
                holders = [other for other in rivals if other.granted]
                assert (router, attempt_id) in [
                    (other.claim.router, other.claim.attempt_id) for other in holders
                ]
            case verdicts.Done(_, _, body):
                self.check_answered(attempt, rivals, commands.Answered, body)
            case verdicts.DoneNotKept():
                assert any(other.ran for other in (attempt, *rivals))
            case verdicts.OutcomeUnknown():
                assert any(other.ran for other in (attempt, *rivals))
            case verdicts.DigestMismatch():
                digests = {other.claim.body_digest for other in rivals}
                assert digests - {claim.body_digest}
            case verdicts.KeyExpired():
                assert self.is_expired(claim)
            case verdicts.KeyFromFuture():
                assert claim.issued_at_s > self.now_s + LIMITS.clock_ahead_max_s
            case verdicts.AttemptReleased():
                assert attempt.released
            case verdicts.AccountFull():
                assert not attempt.granted or self.is_expired(claim)
            case _:
                raise AssertionError(verdict)

    def check_answered(self, attempt, rivals, kind, body):
        """Check that a stored answer is that of the attempt that ran."""
        names = [
            other.claim.attempt_id.encode()
            for other in (attempt, *rivals)
            if other.ran and isinstance(other.ended, kind)
        ]
        assert names == [body]

    @stateful.invariant()
    def check_limits(self):
        """Check that the state is bounded and its counts are true."""
        for account in self.state.accounts.values():
            assert len(account.records) <= LIMITS.account_records_max
            assert account.untimed_count <= LIMITS.account_untimed_max
            assert account.answers_size_bytes <= LIMITS.account_answers_max_bytes
            kept = sum(map(machine.stored_answer_size_bytes, account.records.values()))
            assert account.answers_size_bytes == kept

    @stateful.invariant()
    def check_copy(self):
        """Check that a state that went through snapshots is the same."""
        assert snapshots.dump(self.copy) == snapshots.dump(self.state)
