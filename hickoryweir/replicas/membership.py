"""Single-server membership changes.

A change takes effect as soon as its entry is appended to the log, as in published
Raft.  A new replica starts as a learner; a separate change promotes it to voter, which
the leader starts only once the learner has caught up.

A leader that hears no quorum of the voters before or after a change does not start it.
A change that can't be committed is in force all the same, so that its voters could not
elect a leader either; a leader that was frozen takes all others for lost at first.
"""

import dataclasses

from hickoryweir.replicas import joining, messages, quorums, replication
from hickoryweir.replicas import state as states
from hickoryweir.streams import codec


def add_learner(
    state: states.State, event: states.LearnerAdded, now_s: float, actions: list
) -> None:
    """Start adding a learner."""
    refusal = _common_refusal(state)
    if state.membership.find(event.member.member_id) is not None:
        refusal = refusal or states.ChangeRefusal.ALREADY_MEMBER
    if refusal is not None:
        actions.append(states.ChangeRefused(refusal))
        return
    learner = dataclasses.replace(event.member, voter=False)
    members = joining.insert_member(
        state.membership.members, learner, state.joined_names
    )
    _append(state, members, event.time_s, now_s, actions)


def promote_learner(
    state: states.State, event: states.LearnerPromoted, now_s: float, actions: list
) -> None:
    """Start promoting a learner to voter, if it has caught up."""
    member = state.membership.find(event.member_id)
    refusal = _common_refusal(state)
    if member is None:
        refusal = refusal or states.ChangeRefusal.UNKNOWN_MEMBER
    elif member.voter:
        refusal = refusal or states.ChangeRefusal.ALREADY_MEMBER
    elif not is_caught_up(state, event.member_id, now_s):
        refusal = refusal or states.ChangeRefusal.NOT_CAUGHT_UP
    if refusal is not None:
        actions.append(states.ChangeRefused(refusal))
        return
    members = _members_with(state, dataclasses.replace(member, voter=True))
    _append_if_quorum(state, members, event.time_s, now_s, actions)


def remove_member(
    state: states.State, event: states.MemberRemoved, now_s: float, actions: list
) -> None:
    """Start removing a member; a leader must transfer leadership first."""
    refusal = _common_refusal(state)
    if state.membership.find(event.member_id) is None:
        refusal = refusal or states.ChangeRefusal.UNKNOWN_MEMBER
    elif event.member_id == state.member_id:
        refusal = refusal or states.ChangeRefusal.IS_LEADER
    if refusal is not None:
        actions.append(states.ChangeRefused(refusal))
        return
    others = _members_without(state, event.member_id)
    _append_if_quorum(state, others, event.time_s, now_s, actions)


def demote_voter(
    state: states.State, event: states.VoterDemoted, now_s: float, actions: list
) -> None:
    """Start making a voter a learner; a leader must transfer leadership first."""
    member = state.membership.find(event.member_id)
    refusal = _common_refusal(state)
    if member is None or not member.voter:
        refusal = refusal or states.ChangeRefusal.UNKNOWN_MEMBER
    elif event.member_id == state.member_id:
        refusal = refusal or states.ChangeRefusal.IS_LEADER
    if refusal is not None:
        actions.append(states.ChangeRefused(refusal))
        return
    members = _members_with(state, dataclasses.replace(member, voter=False))
    _append_if_quorum(state, members, event.time_s, now_s, actions)


def is_caught_up(state: states.State, member_id: str, now_s: float) -> bool:
    """Return whether a member responds and holds all committed entries."""
    progress = state.progress.get(member_id)
    if progress is None or progress.probing:
        return False
    lag_count = state.log.last_index - progress.match_index
    return (
        progress.match_index >= state.commit_index
        and lag_count <= state.timing.catch_up_max_lag_count
        and now_s - progress.last_contact_s < state.timing.election_timeout_s
    )


def _common_refusal(state: states.State) -> states.ChangeRefusal | None:
    if state.role is not states.Role.LEADER:
        return states.ChangeRefusal.NOT_LEADER
    if state.transfer_target:
        return states.ChangeRefusal.TRANSFER_IN_PROGRESS
    if state.commit_index < state.term_start_index:
        return states.ChangeRefusal.TERM_NOT_COMMITTED
    if state.memberships and state.memberships[-1][0] > state.commit_index:
        return states.ChangeRefusal.CHANGE_IN_PROGRESS
    return None


def _members_without(
    state: states.State, member_id: str
) -> tuple[messages.Member, ...]:
    return tuple(
        member for member in state.membership.members if member.member_id != member_id
    )


def _members_with(
    state: states.State, changed: messages.Member
) -> tuple[messages.Member, ...]:
    """Return the members with one of them changed, in the same order."""
    return tuple(
        changed if member.member_id == changed.member_id else member
        for member in state.membership.members
    )


def _append_if_quorum(
    state: states.State,
    members: tuple[messages.Member, ...],
    time_s: float,
    now_s: float,
    actions: list,
) -> None:
    responding_ids = quorums.responding_ids(state, now_s) | {state.member_id}
    voter_ids = messages.Membership(members).voter_ids
    has_quorum = quorums.is_quorum(state, responding_ids)
    # Messages from before a pause may make lost members seem to respond.
    is_certain = now_s - state.resumed_at_s > state.timing.election_timeout_s
    if is_certain and has_quorum and quorums.is_majority(voter_ids, responding_ids):
        _append(state, members, time_s, now_s, actions)
    else:
        actions.append(states.ChangeRefused(states.ChangeRefusal.NO_QUORUM))


def _append(
    state: states.State,
    members: tuple[messages.Member, ...],
    time_s: float,
    now_s: float,
    actions: list,
) -> None:
    payload = codec.encode(messages.Membership(members))
    kind = messages.EntryKind.MEMBERSHIP
    replication.append_as_leader(state, kind, (payload,), time_s, now_s, actions)
