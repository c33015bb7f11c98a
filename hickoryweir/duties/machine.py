"""Submachine of the replicated log: the holder of duties, and decided windows of usage.

A fencing token is the log index of the claim that it was issued for.  It is therefore
larger than all earlier tokens even on a replica that has skipped earlier claims because
it ran an older build.

Examples
--------
>>> state = initial_state()
>>> apply(state, ClaimDuties("vm1", "c1"), 5, 0.0).token
5
>>> apply(state, ClaimDuties("vm1", "c1"), 9, 0.0).token
5
>>> apply(state, ClaimDuties("vm2", "c2"), 11, 0.0).holders
(Holder(token=5, name='vm1'), Holder(token=11, name='vm2'))
"""

import copy
import dataclasses

from hickoryweir.feeds import messages
from hickoryweir.replicas import machine
from hickoryweir.streams import codec

NAME = "duties"
NO_TOKEN = 0
# Each change of holder takes longer than a leader's lease, so that a holder that was
# superseded more changes ago has made no call within the infrastructure's lease.
KEPT_HOLDERS_COUNT = 16
# A claim is proposed again only within seconds, in which fewer claims are committed.
KEPT_CLAIMS_COUNT = 64
# Twice as many as a leader still decides, see :mod:`hickoryweir.duties.usage_plan`.
KEPT_WINDOWS_COUNT = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A holder, and the token with which it became the holder."""

    token: int
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDuties:
    """Command that makes a replica the holder, with a new token.

    Attributes
    ----------
    holder : str
        Name of the replica's VM.
    claim_id : str
        Unique to the claim; a repeated claim gets the first verdict.
    true_s : float
        True time as the claimer knows it; 0 if unknown.
    """

    holder: str
    claim_id: str
    true_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimVerdict:
    """Response to a claim.

    Attributes
    ----------
    token : int
        The claim's token.
    newest_token : int
        The newest token of any claim.
    holders : tuple of Holder
        The changes of holder, the newest last, up to this claim.
    """

    token: int
    newest_token: int
    holders: tuple[Holder, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DecideUsage:
    """Command that decides the counts of a window, unless they are decided already.

    Attributes
    ----------
    token : int
        Token of the holder; a command with an earlier token decides nothing.
    accepted_windows : tuple of int
        Decided windows whose reports were accepted.
    """

    token: int
    window: messages.WindowCounts
    accepted_windows: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UsageVerdict:
    """Response to a decision.

    Attributes
    ----------
    newest_token : int
        The newest token of any claim.
    window : WindowCounts or None
        The decided counts; None if the token is not the newest one, or if the window
        is older than the ones kept.
    """

    newest_token: int
    window: messages.WindowCounts | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDuties:
    """Query for the holder and the decided windows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Duties:
    """Holder and decided windows.

    Attributes
    ----------
    claims : tuple of Holder
        The last claims, by the claim's id instead of the holder's name.
    windows : tuple of WindowCounts
        Decided windows, ordered by number.
    accepted_windows : tuple of int
        Those of them whose reports were accepted.
    forgotten_before : int
        Windows with a lower number can no longer be decided.
    began_at_s : float
        Time of day of the first claim that this state knows.
    """

    token: int
    holders: tuple[Holder, ...]
    claims: tuple[Holder, ...]
    windows: tuple[messages.WindowCounts, ...]
    accepted_windows: tuple[int, ...]
    forgotten_before: int
    began_at_s: float = 0.0


for _tag, _cls in (
    ("du.holder", Holder),
    ("du.claim", ClaimDuties),
    ("du.claim_verdict", ClaimVerdict),
    ("du.decide", DecideUsage),
    ("du.decide_verdict", UsageVerdict),
    ("du.read", ReadDuties),
    ("du.state", Duties),
):
    codec.register(_tag, _cls)


@dataclasses.dataclass(slots=True)
class State:
    """State of the submachine; see :class:`Duties`.

    Attributes
    ----------
    holders : list of Holder
        Successive holders; consecutive claims of one holder count as one.
    claims : dict
        Token by claim id.
    """

    token: int = NO_TOKEN
    holders: list[Holder] = dataclasses.field(default_factory=list)
    claims: dict[str, int] = dataclasses.field(default_factory=dict)
    windows: dict[int, messages.WindowCounts] = dataclasses.field(default_factory=dict)
    accepted: set[int] = dataclasses.field(default_factory=set)
    forgotten_before: int = 0
    began_at_s: float = 0.0

    @property
    def holder_name(self) -> str:
        """Return the name of the holder; empty if there is none."""
        return self.holders[-1].name if self.holders else ""


def initial_state() -> State:
    """Return the state before the first claim."""
    return State()


def apply(
    state: State, command: ClaimDuties | DecideUsage, index: int, time_s: float
) -> ClaimVerdict | UsageVerdict:
    """Apply a command."""
    if isinstance(command, ClaimDuties):
        if state.token == NO_TOKEN:
            # The log's time never decreases, and so stays wrong after a clock's jump
            # forward.
            state.began_at_s = command.true_s or time_s
        return _apply_claim(state, command, index)
    return _apply_decision(state, command)


def _apply_claim(state: State, command: ClaimDuties, index: int) -> ClaimVerdict:
    token = state.claims.get(command.claim_id)
    if token is None:
        token = state.token = index
        state.claims[command.claim_id] = token
        _drop_oldest(state.claims, KEPT_CLAIMS_COUNT)
        if state.holder_name != command.holder:
            state.holders.append(Holder(token, command.holder))
            del state.holders[:-KEPT_HOLDERS_COUNT]
    holders = tuple(holder for holder in state.holders if holder.token <= token)
    return ClaimVerdict(token, state.token, holders)


def _apply_decision(state: State, command: DecideUsage) -> UsageVerdict:
    number = command.window.window_number
    is_current = command.token == state.token
    if is_current:
        state.accepted.update(set(command.accepted_windows) & state.windows.keys())
    if is_current and number not in state.windows and number >= state.forgotten_before:
        state.windows[number] = command.window
        _forget_windows(state)
    return UsageVerdict(state.token, state.windows.get(number))


def _forget_windows(state: State) -> None:
    for number in sorted(state.windows)[:-KEPT_WINDOWS_COUNT]:
        del state.windows[number]
        state.accepted.discard(number)
        state.forgotten_before = number + 1


def _drop_oldest(items: dict, kept_count: int) -> None:
    for key in list(items)[:-kept_count]:
        del items[key]


def read(state: State) -> Duties:
    """Return the state as a message."""
    return Duties(
        state.token,
        tuple(state.holders),
        tuple(Holder(token, claim_id) for claim_id, token in state.claims.items()),
        tuple(state.windows[number] for number in sorted(state.windows)),
        tuple(sorted(state.accepted)),
        state.forgotten_before,
        state.began_at_s,
    )


def load(data: bytes) -> State:
    """Return the state in a part of a snapshot."""
    found = codec.decode(data).unwrap()
    return State(
        found.token,
        list(found.holders),
        {claim.name: claim.token for claim in found.claims},
        {window.window_number: window for window in found.windows},
        set(found.accepted_windows),
        found.forgotten_before,
        found.began_at_s,
    )


def make_submachine() -> machine.Submachine:
    """Return the submachine of duties."""
    return machine.Submachine(
        name=NAME,
        command_types=(ClaimDuties, DecideUsage),
        initial_state=initial_state,
        apply=apply,
        dump=lambda state: codec.encode(read(state)),
        load=load,
        query_types=(ReadDuties,),
        query=lambda state, query, time_s: read(state),
        freeze=copy.deepcopy,
        is_initial=lambda state: state == State(),
    )
