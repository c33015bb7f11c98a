"""Whether this process may give orders: a lease from the replicated log's quorum.

The leader's right to give orders is confirmed by rounds of the log: when a quorum
has answered a round that began after some time, no later leader was elected before
that time.  The lease runs from that time, not from when the answers came, since
answers may be late.

Pure: sights of the replica's state go in, the office comes out.

Examples
--------
>>> office = observe(NO_OFFICE, Sight(0.0, 7, True, round_number=3, quorum_round=3))
>>> office = observe(office, Sight(0.5, 7, True, round_number=4, quorum_round=4))
>>> issuer_at(office, 1.0, lease_s=10.0)
Issuer(fencing=7, elected_at_s=0.0)
>>> issuer_at(office, 10.0, lease_s=10.0) is None
True
"""

import dataclasses

from hickoryweir.engines import orders_plan
from hickoryweir.replicas import quorums
from hickoryweir.replicas import state as states

MAX_ROUNDS_COUNT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Sight:
    """What was seen of this process's replica.

    Attributes
    ----------
    seen_at_s : float
        Monotonic time.
    term : int
        Its term.
    is_leader : bool
        Whether it leads, as far as it knows.
    round_number : int
        Last round that it began.
    quorum_round : int
        Highest round that a quorum has answered.
    """

    seen_at_s: float
    term: int
    is_leader: bool
    round_number: int
    quorum_round: int


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """The last round that had begun at a time."""

    seen_at_s: float
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Office:
    """A leader's office in one term; ``confirmed_at_s`` starts its lease."""

    term: int
    elected_at_s: float
    confirmed_at_s: float
    rounds: tuple[Round, ...]


NO_OFFICE = Office(0, 0.0, float("-inf"), ())


def observe(office: Office, sight: Sight) -> Office:
    """Take a sight of the replica.

    Parameters
    ----------
    office : Office
        What was known.
    sight : Sight
        What is seen now.

    Returns
    -------
    Office
        :data:`NO_OFFICE` if the replica does not lead.
    """
    if not sight.is_leader:
        return NO_OFFICE
    if office.term != sight.term or not office.rounds:
        office = Office(sight.term, sight.seen_at_s, float("-inf"), ())
    confirmed_at_s = office.confirmed_at_s
    open_rounds = []
    for begun in office.rounds:
        if begun.number < sight.quorum_round:
            confirmed_at_s = max(confirmed_at_s, begun.seen_at_s)
        else:
            open_rounds.append(begun)
    open_rounds.append(Round(sight.seen_at_s, sight.round_number))
    return dataclasses.replace(
        office,
        confirmed_at_s=confirmed_at_s,
        rounds=tuple(open_rounds[-MAX_ROUNDS_COUNT:]),
    )


def issuer_at(
    office: Office, now_s: float, lease_s: float
) -> orders_plan.Issuer | None:
    """Return who gives orders if it is this process, else None."""
    if now_s >= office.confirmed_at_s + lease_s:
        return None
    return orders_plan.Issuer(office.term, office.elected_at_s)


def look(state: states.State, now_s: float) -> Sight:
    """Return what is seen of a replica's state."""
    return Sight(
        seen_at_s=now_s,
        term=state.term,
        is_leader=state.role is states.Role.LEADER,
        round_number=state.round_number,
        quorum_round=quorum_round(state),
    )


def quorum_round(state: states.State) -> int:
    """Return the highest round that a quorum, this replica included, has answered."""
    answered = {
        member_id: progress.acknowledged_round
        for member_id, progress in state.progress.items()
    }
    answered[state.member_id] = state.round_number
    for number in sorted(set(answered.values()), reverse=True):
        members = {name for name, done in answered.items() if done >= number}
        if quorums.is_quorum(state, members):
            return number
    return 0
