"""Elections: pre-vote, votes, and the leader's quorum check."""

from hickoryweir.replicas import messages, quorums, replication, roles, transfer
from hickoryweir.replicas import state as states


def on_tick(state: states.State, now_s: float, actions: list) -> None:
    """Start an election or send heartbeats when due."""
    if state.role is states.Role.LEADER:
        _tick_leader(state, now_s, actions)
    elif now_s >= state.election_deadline_s:
        if quorums.is_voter(state):
            start_pre_vote(state, now_s, actions)
        else:
            _lose_leader(state, now_s)


def _lose_leader(state: states.State, now_s: float) -> None:
    """Forget the leader of a replica that can't vote, as a voter does at a pre-vote."""
    state.leader_id = ""
    state.heard_from_ids.clear()
    roles.reset_election_deadline(state, now_s)


def start_pre_vote(state: states.State, now_s: float, actions: list) -> None:
    """Start a pre-vote: ask for votes without incrementing the term."""
    if state.role is not states.Role.FOLLOWER:
        state.last_pre_vote_reached_quorum = _has_heard_from_quorum(state)
    state.role = states.Role.PRE_CANDIDATE
    state.leader_id = ""
    state.heard_from_ids.clear()
    state.pre_vote_started_s = now_s
    state.votes = {state.member_id}
    roles.reset_election_deadline(state, now_s)
    if quorums.is_quorum(state, state.votes):
        start_election(state, False, now_s, actions)
        return
    roles.broadcast(state, _make_request(state, True, False), False, actions)


def start_election(
    state: states.State, transfer: bool, now_s: float, actions: list
) -> None:
    """Become a candidate in a new term; the own vote counts once it is synced."""
    state.term += 1
    state.terms_without_leader_count += 1
    state.voted_for = state.member_id
    state.role = states.Role.CANDIDATE
    state.leader_id = ""
    state.votes = set()
    roles.reset_election_deadline(state, now_s)
    actions.append(states.Store(state.term, state.voted_for, ()))
    roles.broadcast(state, _make_request(state, False, transfer), True, actions)


def on_vote_request(
    state: states.State, envelope: messages.Envelope, now_s: float, actions: list
) -> None:
    """Grant or refuse a vote; refused while the current leader is live."""
    request: messages.VoteRequest = envelope.body
    if has_live_leader(state, now_s) and not request.transfer:
        _respond(state, envelope, False, actions)
    elif request.pre:
        granted = (
            envelope.term >= state.term
            and _is_up_to_date(state, request)
            and not _goes_first(state, envelope, now_s)
        )
        _respond(state, envelope, granted, actions)
    else:
        _handle_vote_request(state, envelope, now_s, actions)


def _goes_first(state: states.State, envelope: messages.Envelope, now_s: float) -> bool:
    """Return whether this replica goes first of two that ask for pre-votes at once.

    Otherwise both get them, become candidates of the same term and split the votes.
    One that hears no quorum itself does not hold up the others.
    """
    request: messages.VoteRequest = envelope.body
    own = (state.log.last_term, state.log.last_index, state.member_id)
    return (
        state.role is states.Role.PRE_CANDIDATE
        and now_s - state.pre_vote_started_s < state.timing.pre_vote_priority_s
        and _has_heard_from_quorum(state)
        and own > (request.last_term, request.last_index, envelope.from_id)
    )


def on_vote_response(
    state: states.State, envelope: messages.Envelope, now_s: float, actions: list
) -> None:
    """Count a vote."""
    response: messages.VoteResponse = envelope.body
    if not response.granted:
        return
    if response.pre and state.role is states.Role.PRE_CANDIDATE:
        state.votes.add(envelope.from_id)
        if quorums.is_quorum(state, state.votes):
            start_election(state, False, now_s, actions)
    elif not response.pre and state.role is states.Role.CANDIDATE:
        _count_vote(state, envelope.from_id, now_s, actions)


def on_persisted(
    state: states.State, event: states.Persisted, now_s: float, actions: list
) -> None:
    """Count the own vote once its term is synced."""
    if state.role is states.Role.CANDIDATE and event.term == state.term:
        _count_vote(state, state.member_id, now_s, actions)


def has_live_leader(state: states.State, now_s: float) -> bool:
    """Return whether this replica leads or heard from the leader within a timeout."""
    if state.role is states.Role.LEADER:
        return True
    since_contact_s = now_s - state.last_leader_contact_s
    return bool(state.leader_id) and since_contact_s < state.timing.election_timeout_s


def has_quorum(state: states.State, now_s: float) -> bool:
    """Return whether, as far as this replica knows, a quorum can be reached."""
    if state.role is states.Role.FAILED or not state.membership.members:
        return False
    if state.role is states.Role.LEADER or state.leader_id:
        return True
    if now_s - state.pre_vote_started_s < state.timing.pre_vote_grace_s:
        return state.last_pre_vote_reached_quorum or _has_heard_from_quorum(state)
    return _has_heard_from_quorum(state)


def _has_heard_from_quorum(state: states.State) -> bool:
    return quorums.is_quorum(state, state.heard_from_ids | {state.member_id})


def _tick_leader(state: states.State, now_s: float, actions: list) -> None:
    responding_ids = quorums.responding_ids(state, now_s)
    if not quorums.is_quorum(state, responding_ids | {state.member_id}):
        _step_down(state, now_s, actions)
        return
    if state.transfer_target and now_s >= state.transfer_deadline_s:
        state.transfer_target = ""
    _check_own_disk(state, now_s, actions)
    if now_s >= state.heartbeat_deadline_s:
        replication.broadcast_heartbeat(state, now_s, actions)


def _check_own_disk(state: states.State, now_s: float, actions: list) -> None:
    """Transfer leadership if the own disk stalls while a quorum persists entries.

    A leader whose disk stalls does not count towards the commit quorum, so the loss
    of one more replica would stop the log.  As a follower it does no harm.
    """
    if state.persisted_index >= state.commit_index:
        state.disk_stalled_since_s = None
    elif state.disk_stalled_since_s is None:
        state.disk_stalled_since_s = now_s
    elif now_s - state.disk_stalled_since_s >= state.timing.disk_stall_timeout_s:
        state.disk_stalled_since_s = None
        transfer.request_transfer(state, states.TransferRequested(""), now_s, actions)


def _step_down(state: states.State, now_s: float, actions: list) -> None:
    roles.become_follower(state, state.term, now_s, actions)
    state.last_pre_vote_reached_quorum = False
    state.heard_from_ids.clear()


def _handle_vote_request(
    state: states.State, envelope: messages.Envelope, now_s: float, actions: list
) -> None:
    if envelope.term > state.term:
        roles.become_follower(state, envelope.term, now_s, actions)
    free = state.voted_for in ("", envelope.from_id)
    granted = (
        envelope.term == state.term
        and free
        and state.role is states.Role.FOLLOWER
        and _is_up_to_date(state, envelope.body)
    )
    if granted:
        state.voted_for = envelope.from_id
        actions.append(states.Store(state.term, state.voted_for, ()))
        roles.reset_election_deadline(state, now_s)
    _respond(state, envelope, granted, actions)


def _respond(
    state: states.State, envelope: messages.Envelope, granted: bool, actions: list
) -> None:
    pre = envelope.body.pre
    response = messages.VoteResponse(granted, pre)
    actions.append(roles.make_send(state, envelope.from_id, response, not pre))


def _count_vote(
    state: states.State, member_id: str, now_s: float, actions: list
) -> None:
    state.votes.add(member_id)
    if state.member_id in state.votes and quorums.is_quorum(state, state.votes):
        _become_leader(state, now_s, actions)


def _become_leader(state: states.State, now_s: float, actions: list) -> None:
    state.role = states.Role.LEADER
    state.leader_id = state.member_id
    state.has_known_leader = True
    state.terms_without_leader_count = 0
    state.progress.clear()
    state.transfer_target = ""
    state.term_start_index = state.log.last_index + 1
    replication.track_members(state, now_s)
    kind = messages.EntryKind.NOOP
    replication.append_as_leader(state, kind, (b"",), 0.0, now_s, actions)
    replication.broadcast_heartbeat(state, now_s, actions)


def _is_up_to_date(state: states.State, request: messages.VoteRequest) -> bool:
    theirs = (request.last_term, request.last_index)
    return theirs >= (state.log.last_term, state.log.last_index)


def _make_request(
    state: states.State, pre: bool, transfer: bool
) -> messages.VoteRequest:
    log = state.log
    return messages.VoteRequest(log.last_index, log.last_term, pre, transfer)
