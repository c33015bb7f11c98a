"""Decides when a replica may act as the holder of duties.

A replica may act while all of this holds:

- It leads the replicated log under a lease that a quorum has confirmed.
- Its claim was committed in the present term, and its token has not been given up.
- The lease of the holder before it has certainly expired.
- If it was the holder before another one, its own earlier calls are older than the
  lease that the infrastructure assumes, so that the holders A, B, A never occur within
  that time.

All times are on :func:`hickoryweir.clocks.boottime_s`.
"""

import dataclasses

from hickoryweir.duties import calls, machine
from hickoryweir.replicas import leader_lease

# Ten heartbeats of the leader; a shorter lease would end during brief stalls.
HOLDER_LEASE_S = 1.0
# Upper bound of the difference in rate between the clocks of two VMs.
CLOCK_DRIFT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Times to wait.

    Attributes
    ----------
    takeover_wait_s : float
        Time from an election until the lease of the holder before has expired.
    return_wait_s : float
        Time from when an earlier holder was superseded until it may act again.
    """

    takeover_wait_s: float
    return_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A committed claim of this replica."""

    token: int
    term: int
    allowed_from_s: float


@dataclasses.dataclass(slots=True)
class State:
    """What a replica knows of its right to act.

    Attributes
    ----------
    superseded_at_s : dict
        When this replica first saw each claim of another holder, by token.
    """

    name: str
    rules: Rules
    lease: leader_lease.Lease = leader_lease.NO_LEASE
    claim: Claim | None = None
    superseded_at_s: dict[int, float] = dataclasses.field(default_factory=dict)


def make_rules(checks_fencing: bool, infrastructure_lease_s: float) -> Rules:
    """Return the times to wait.

    A call may arrive until its timeout after the check of the permission.  Where the
    infrastructure refuses lower tokens, the next holder need not wait for that.

    Examples
    --------
    >>> [round(make_rules(checks, 3.0).takeover_wait_s, 3) for checks in (True, False)]
    [1.01, 3.03]
    >>> round(make_rules(True, 3.0).return_wait_s, 3)
    6.06
    """
    last_arrival_s = HOLDER_LEASE_S + calls.CALL_TIMEOUT_S
    takeover_wait_s = HOLDER_LEASE_S if checks_fencing else last_arrival_s
    return Rules(
        takeover_wait_s * (1 + CLOCK_DRIFT),
        (infrastructure_lease_s + last_arrival_s) * (1 + CLOCK_DRIFT),
    )


def observe(
    state: State,
    observation: leader_lease.Observation,
    holders: list[machine.Holder],
    newest_token: int,
) -> None:
    """Update the state with what the replica knows at one time."""
    state.lease = leader_lease.observe(state.lease, observation)
    others = [holder for holder in holders if holder.name != state.name]
    state.superseded_at_s = {
        holder.token: state.superseded_at_s.get(holder.token, observation.observed_at_s)
        for holder in others
    }
    claim = state.claim
    if claim is None:
        return
    is_outdated = newest_token > claim.token
    if is_outdated or not observation.is_leader or observation.term != claim.term:
        state.claim = None


def leadership(state: State, now_s: float) -> leader_lease.Leadership | None:
    """Return the leadership of this replica, or None without a valid lease."""
    return leader_lease.leadership_at(state.lease, now_s, HOLDER_LEASE_S)


def record_claim(
    state: State,
    verdict: machine.ClaimVerdict,
    claimed_in: leader_lease.Leadership,
    now_s: float,
) -> bool:
    """Record a committed claim; return whether it can be used.

    A claim can't be used if there is a newer one, or if this replica's leadership has
    ended since.
    """
    current = leadership(state, now_s)
    is_newest = verdict.token == verdict.newest_token
    if current is None or current.term != claimed_in.term or not is_newest:
        return False
    allowed_from_s = _allowed_from_s(state, verdict.holders, current, now_s)
    state.claim = Claim(verdict.token, current.term, allowed_from_s)
    return True


def _allowed_from_s(
    state: State,
    holders: tuple[machine.Holder, ...],
    current: leader_lease.Leadership,
    now_s: float,
) -> float:
    names = [holder.name for holder in holders]
    earlier = names[:-1] if names[-1:] == [state.name] else names
    # A replica that has skipped claims under an older build knows no earlier holder.
    allowed_from_s = current.elected_at_s + state.rules.takeover_wait_s
    if state.name in earlier:
        position = len(earlier) - 1 - earlier[::-1].index(state.name)
        successor = holders[position + 1]
        seen_at_s = state.superseded_at_s.get(successor.token, now_s)
        allowed_from_s = max(allowed_from_s, seen_at_s + state.rules.return_wait_s)
    return allowed_from_s


def give_up(state: State, token: int) -> None:
    """End the use of a token, for any call."""
    if state.claim is not None and state.claim.token == token:
        state.claim = None


def needs_claim(state: State, now_s: float) -> leader_lease.Leadership | None:
    """Return the leadership in which to claim, or None if there is nothing to claim."""
    return leadership(state, now_s) if state.claim is None else None


def current_token(state: State, now_s: float) -> int | None:
    """Return the token if this replica is the holder, also while it must still wait."""
    current, claim = leadership(state, now_s), state.claim
    if current is None or claim is None or current.term != claim.term:
        return None
    return claim.token


def permission_at(state: State, now_s: float) -> calls.Permission | None:
    """Return the right to make calls, or None."""
    token = current_token(state, now_s)
    if token is None or now_s < state.claim.allowed_from_s:
        return None
    return calls.Permission(state.name, token)
