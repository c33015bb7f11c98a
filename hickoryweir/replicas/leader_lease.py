"""The leader's lease, confirmed by a quorum of the replicated log.

Whoever issues orders to engines or holds duties acts under it.

When a quorum has acknowledged a round that began after some time, no later leader had
been elected by that time.  The lease starts at that time and not when the
acknowledgements arrived, since they may be delayed.

The functions are pure: they compute the lease from observations of the replica.

Examples
--------
>>> lease = observe(NO_LEASE, Observation(0.0, 7, True, round_number=3, quorum_round=3))
>>> lease = observe(lease, Observation(0.5, 7, True, round_number=4, quorum_round=4))
>>> leadership_at(lease, 1.0, lease_s=10.0)
Leadership(term=7, elected_at_s=0.0)
>>> leadership_at(lease, 10.0, lease_s=10.0) is None
True
"""

import dataclasses

from hickoryweir.replicas import quorums
from hickoryweir.replicas import state as states

MAX_OPEN_ROUNDS_COUNT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """The state of this process's replica at one time.

    Attributes
    ----------
    observed_at_s : float
        Monotonic time.
    term : int
        The replica's current term.
    is_leader : bool
        Whether the replica regards itself as the leader.
    round_number : int
        Last round that the replica began.
    quorum_round : int
        Highest round that a quorum has acknowledged.
    """

    observed_at_s: float
    term: int
    is_leader: bool
    round_number: int
    quorum_round: int


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """The last round that had begun at the time of an observation."""

    observed_at_s: float
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leadership:
    """A term that this process leads, and when it was first observed to lead."""

    term: int
    elected_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A leader's lease in one term; it starts at ``confirmed_at_s``."""

    term: int
    elected_at_s: float
    confirmed_at_s: float
    rounds: tuple[Round, ...]


NO_LEASE = Lease(0, 0.0, float("-inf"), ())


def observe(lease: Lease, observation: Observation) -> Lease:
    """Update the lease with an observation of the replica.

    Parameters
    ----------
    lease : Lease
        The lease so far.
    observation : Observation
        The replica's current state.

    Returns
    -------
    Lease
        :data:`NO_LEASE` if the replica does not lead.
    """
    if not observation.is_leader:
        return NO_LEASE
    if lease.term != observation.term or not lease.rounds:
        lease = Lease(observation.term, observation.observed_at_s, float("-inf"), ())
    confirmed_at_s = lease.confirmed_at_s
    open_rounds = []
    for begun in lease.rounds:
        if begun.number < observation.quorum_round:
            confirmed_at_s = max(confirmed_at_s, begun.observed_at_s)
        else:
            open_rounds.append(begun)
    open_rounds.append(Round(observation.observed_at_s, observation.round_number))
    return dataclasses.replace(
        lease,
        confirmed_at_s=confirmed_at_s,
        rounds=tuple(open_rounds[-MAX_OPEN_ROUNDS_COUNT:]),
    )


def leadership_at(lease: Lease, now_s: float, lease_s: float) -> Leadership | None:
    """Return the leadership of this process, or None without a valid lease."""
    if now_s >= lease.confirmed_at_s + lease_s:
        return None
    return Leadership(lease.term, lease.elected_at_s)


def make_observation(state: states.State, now_s: float) -> Observation:
    """Return an observation of a replica's state."""
    return Observation(
        observed_at_s=now_s,
        term=state.term,
        is_leader=state.role is states.Role.LEADER,
        round_number=state.round_number,
        quorum_round=quorum_round(state),
    )


def quorum_round(state: states.State) -> int:
    """Return the highest round acknowledged by a quorum, this replica included."""
    acknowledged = {
        member_id: progress.acknowledged_round
        for member_id, progress in state.progress.items()
    }
    acknowledged[state.member_id] = state.round_number
    for number in sorted(set(acknowledged.values()), reverse=True):
        members = {name for name, done in acknowledged.items() if done >= number}
        if quorums.is_quorum(state, members):
            return number
    return 0
