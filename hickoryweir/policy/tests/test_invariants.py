"""Stateful property tests of the core against a simple model of its guarantees."""

import dataclasses

import hypothesis
from hypothesis import stateful, strategies

from hickoryweir.outcomes import refusals
from hickoryweir.policy import actions, core, events, examples, settings

QUEUE_LENGTH = 6
CAPACITY_REASONS = {
    refusals.Reason.QUEUE_FULL,
    refusals.Reason.SHED,
    refusals.Reason.DEADLINE_UNREACHABLE,
}
CLASSES = {
    "charge": (0, False),
    "balance": (0, True),
    "summary": (2, True),
}


def make_configuration():
    classes = [
        examples.request_class(
            name,
            tier,
            idempotent=idempotent,
            hedging=idempotent,
            max_queue_length=QUEUE_LENGTH,
            floor_share=0.0 if tier == 0 else 0.1,
        )
        for name, (tier, idempotent) in CLASSES.items()
    ]
    engines = [
        examples.engine(f"e{n}", zone, max_concurrency=4)
        for n, zone in enumerate("abc")
    ]
    return examples.configuration(classes, engines)


@dataclasses.dataclass
class ExpectedCall:
    """State of one call in the model."""

    class_name: str
    final: bool = False
    may_have_run: bool = False
    running: dict = dataclasses.field(default_factory=dict)


class PolicyMachine(stateful.RuleBasedStateMachine):
    """Applies random events and checks the core's actions after each."""

    def __init__(self):
        super().__init__()
        core_settings = settings.CoreSettings("router-1", "a", 7)
        self.core = core.make_core(core_settings, make_configuration())
        self.now_s = 0.0
        self.calls = {}
        self.states = {}

    def apply_event(self, event):
        """Apply an event and check the returned actions."""
        result = core.handle(self.core, event, self.now_s)
        refused_top = dispatched_low = False
        for action in result:
            expected = self.calls[action.request_id]
            assert not expected.final, "an action after the final answer"
            match action:
                case actions.Dispatch():
                    self.check_dispatch(expected, action)
                    dispatched_low |= CLASSES[expected.class_name][0] > 0
                case actions.CancelAttempt(_, attempt):
                    assert CLASSES[expected.class_name][1], (
                        "a non-idempotent call is cancelled"
                    )
                    del expected.running[attempt]
                case actions.Refuse(_, refusal):
                    self.check_refusal(expected, refusal)
                    top = CLASSES[expected.class_name][0] == 0
                    refused_top |= top and refusal.reason in CAPACITY_REASONS
        assert not (refused_top and dispatched_low)

    def check_dispatch(self, expected, action):
        """Check that a non-idempotent call that may have run isn't sent again."""
        if not CLASSES[expected.class_name][1]:
            assert not expected.running
            assert not expected.may_have_run
        state = self.states.get(action.backend_server, events.ServerState.LIVE)
        assert state is events.ServerState.LIVE
        assert action.hedge == bool(expected.running)
        expected.running[action.attempt] = action.backend_server

    def check_refusal(self, expected, refusal):
        """Check that a refusal is final and says ``NO`` only if no attempt ran."""
        expected.final = True
        if expected.may_have_run or expected.running:
            assert refusal.ran is not refusals.Ran.NO
        if CLASSES[expected.class_name][1]:
            assert not expected.running, "refused while an attempt still runs"

    def running(self):
        """Return every running attempt."""
        return [
            (request_id, attempt)
            for request_id, expected in self.calls.items()
            for attempt in expected.running
            if not expected.final
        ]

    @stateful.rule(
        name=strategies.sampled_from(sorted(CLASSES)),
        fingerprint=strategies.integers(0, 30),
        patience_s=strategies.floats(1.0, 40.0),
    )
    def arrive(self, name, fingerprint, patience_s):
        """Let a call arrive."""
        request_id = f"r{len(self.calls)}"
        self.calls[request_id] = ExpectedCall(name)
        event = examples.arrival(
            request_id,
            name,
            fingerprint=f"f{fingerprint}",
            deadline_s=self.now_s + patience_s,
        )
        self.apply_event(event)

    @stateful.precondition(lambda self: self.running())
    @stateful.rule(data=strategies.data(), tokens=strategies.integers(1, 300))
    def progress(self, data, tokens):
        """Let an attempt produce tokens."""
        key = data.draw(strategies.sampled_from(self.running()))
        self.apply_event(events.Progressed(*key, tokens))
        assert list(self.calls[key[0]].running) == [key[1]]

    @stateful.precondition(lambda self: self.running())
    @stateful.rule(data=strategies.data(), tokens=strategies.integers(1, 300))
    def complete(self, data, tokens):
        """End an attempt with a complete answer."""
        request_id, attempt = data.draw(strategies.sampled_from(self.running()))
        expected = self.calls[request_id]
        del expected.running[attempt]
        self.apply_event(events.Completed(request_id, attempt, tokens))
        expected.final = True
        assert not expected.running, "another attempt runs after the answer"

    @stateful.precondition(lambda self: self.running())
    @stateful.rule(
        data=strategies.data(),
        cause=strategies.sampled_from(events.FailureCause),
        ran=strategies.sampled_from([refusals.Ran.NO, refusals.Ran.MAYBE]),
    )
    def fail(self, data, cause, ran):
        """Let an attempt fail."""
        request_id, attempt = data.draw(strategies.sampled_from(self.running()))
        expected = self.calls[request_id]
        expected.may_have_run |= ran is refusals.Ran.MAYBE
        del expected.running[attempt]
        self.apply_event(events.AttemptFailed(request_id, attempt, cause, ran, 0))

    @stateful.precondition(lambda self: self.running())
    @stateful.rule(data=strategies.data())
    def withdraw(self, data):
        """Let a caller disconnect."""
        request_id, _ = data.draw(strategies.sampled_from(self.running()))
        self.calls[request_id].final = True
        self.apply_event(events.Withdrawn(request_id))

    @stateful.rule(
        name=strategies.sampled_from(["e0", "e1", "e2"]),
        state=strategies.sampled_from(events.ServerState),
    )
    def change_server(self, name, state):
        """Change the state of a backend server."""
        self.states[name] = state
        self.apply_event(events.ServerStateChanged(name, state))

    @stateful.rule(
        running=strategies.integers(0, 4),
        suspects=strategies.sets(strategies.integers(0, 30), max_size=2),
        quarantined=strategies.sets(strategies.integers(0, 30), max_size=1),
    )
    def hear_peer(self, running, suspects, quarantined):
        """Receive a digest of another router."""
        digest = events.PeerDigestReceived(
            "router-2",
            "b",
            (("e0", running),),
            tuple(f"f{item}" for item in sorted(suspects)),
            tuple(f"f{item}" for item in sorted(quarantined)),
            (),
        )
        self.apply_event(digest)

    @stateful.rule(elapsed_s=strategies.floats(0.05, 5.0))
    def pass_time(self, elapsed_s):
        """Let time pass."""
        self.now_s += elapsed_s
        self.apply_event(events.Ticked())

    @stateful.invariant()
    def queues_are_bounded_and_agree(self):
        """Check that each open call is either queued or running, and counted once."""
        open_calls = {key for key, expected in self.calls.items() if not expected.final}
        assert set(self.core.calls) == open_calls
        waiting = dict.fromkeys(CLASSES, 0)
        for key in open_calls:
            expected, call = self.calls[key], self.core.calls[key]
            assert call.queued != bool(expected.running)
            assert set(call.attempts) == set(expected.running)
            waiting[expected.class_name] += call.queued
        for name, length in waiting.items():
            assert self.core.queues[name].length == length
        for server in self.core.servers.values():
            assert 0 <= server.top_calls <= len(server.calls)

    def teardown(self):
        """Check that every call got exactly one final answer."""
        self.now_s += 100.0
        self.apply_event(events.Ticked())
        assert all(expected.final for expected in self.calls.values())
        assert not self.core.calls


PolicyMachine.TestCase.settings = hypothesis.settings(
    max_examples=100,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
)
TestPolicy = PolicyMachine.TestCase
