"""Leadership transfer to another voter."""

from hickoryweir.replicas import messages, roles
from hickoryweir.replicas import state as states


def request_transfer(
    state: states.State, event: states.TransferRequested, now_s: float, actions: list
) -> None:
    """Stop accepting proposals and let the target catch up."""
    target = event.member_id or _most_up_to_date(state, now_s)
    refusal = None
    if state.role is not states.Role.LEADER:
        refusal = states.ChangeRefusal.NOT_LEADER
    elif state.transfer_target:
        refusal = states.ChangeRefusal.TRANSFER_IN_PROGRESS
    elif target not in state.progress or target not in state.membership.voter_ids:
        refusal = states.ChangeRefusal.UNKNOWN_MEMBER
    if refusal is not None:
        actions.append(states.ChangeRefused(refusal))
        return
    state.transfer_target = target
    state.transfer_deadline_s = now_s + state.timing.election_timeout_s
    continue_transfer(state, actions)


def continue_transfer(state: states.State, actions: list) -> None:
    """Tell the target to start an election once it holds the whole log."""
    progress = state.progress.get(state.transfer_target)
    if state.role is not states.Role.LEADER or progress is None:
        return
    if progress.match_index == state.log.last_index:
        body = messages.TimeoutNow()
        actions.append(roles.make_send(state, state.transfer_target, body, False))


def _most_up_to_date(state: states.State, now_s: float) -> str:
    """Return the voter with the longest log, the one heard from last among several."""
    oldest_s = now_s - state.timing.election_timeout_s
    candidates = [
        (progress.match_index, progress.last_contact_s, voter_id)
        for voter_id in state.membership.voter_ids
        if (progress := state.progress.get(voter_id)) is not None
        and progress.last_contact_s >= oldest_s
    ]
    return max(candidates)[-1] if candidates else ""
