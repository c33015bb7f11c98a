"""Quorums, and the history of memberships in the log."""

from hickoryweir.replicas import joining, messages
from hickoryweir.replicas import state as states
from hickoryweir.streams import codec


def majority_count(voters_count: int) -> int:
    """Return the quorum size for a number of voters.

    Examples
    --------
    >>> [majority_count(count) for count in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return voters_count // 2 + 1


def is_quorum(state: states.State, member_ids: set[str]) -> bool:
    """Return whether these members are a quorum of the latest membership."""
    return is_majority(state.membership.voter_ids, member_ids)


def is_majority(voter_ids: tuple[str, ...], member_ids: set[str]) -> bool:
    """Return whether these members are a quorum of these voters."""
    count = sum(voter_id in member_ids for voter_id in voter_ids)
    return bool(voter_ids) and count >= majority_count(len(voter_ids))


def responding_ids(state: states.State, now_s: float) -> set[str]:
    """Return the members that a leader has heard from within an election timeout."""
    oldest_s = now_s - state.timing.election_timeout_s
    return {
        member_id
        for member_id, progress in state.progress.items()
        if progress.last_contact_s >= oldest_s
    }


def is_voter(state: states.State) -> bool:
    """Return whether this replica is a voter."""
    return state.member_id in state.membership.voter_ids


def is_member(state: states.State) -> bool:
    """Return whether this replica is a voter or a learner."""
    return state.membership.find(state.member_id) is not None


def record_memberships(
    state: states.State, entries: tuple[messages.Entry, ...]
) -> None:
    """Update the membership history for entries that replace the end of the log."""
    first_index = entries[0].index
    while state.memberships and state.memberships[-1][0] >= first_index:
        state.memberships.pop()
    for entry in entries:
        if entry.kind is messages.EntryKind.MEMBERSHIP:
            membership = codec.decode(entry.payload).unwrap()
            state.memberships.append((entry.index, membership))
            state.joined_names = joining.merge_names(state.joined_names, membership)


def restore_membership(state: states.State, snapshot: messages.Snapshot) -> None:
    """Replace the membership history by a snapshot's membership."""
    state.memberships = [(snapshot.index, snapshot.membership)]
    state.joined_names = joining.merge_names(state.joined_names, snapshot.membership)


def membership_at(state: states.State, index: int) -> messages.Membership:
    """Return the membership in effect at an index."""
    found = messages.Membership(())
    for change_index, membership in state.memberships:
        if change_index <= index:
            found = membership
    return found


def discard_memberships_before(state: states.State, index: int) -> None:
    """Discard memberships that a snapshot at `index` supersedes."""
    while len(state.memberships) > 1 and state.memberships[1][0] <= index:
        state.memberships.pop(0)
