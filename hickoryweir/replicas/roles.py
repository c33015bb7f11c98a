"""Changes of a replica's role and term."""

from hickoryweir.replicas import messages
from hickoryweir.replicas import state as states

# So many elections in series may fail by split votes, which random timeouts resolve.
TERMS_OF_SPLIT_VOTES = 2
# Keeps the product finite, however many terms pass.
MAX_DOUBLINGS_COUNT = 8


def make_send(
    state: states.State, to_id: str, body: messages.Body, durable: bool
) -> states.Send:
    """Return the action that sends `body` with this replica's current term."""
    envelope = messages.Envelope(to_id, state.member_id, state.term, body)
    return states.Send(envelope, durable)


def broadcast(
    state: states.State, body: messages.Body, durable: bool, actions: list
) -> None:
    """Send `body` to every other voter."""
    for voter_id in state.membership.voter_ids:
        if voter_id != state.member_id:
            actions.append(make_send(state, voter_id, body, durable))


def reset_election_deadline(state: states.State, now_s: float) -> None:
    """Set the election deadline to one to two election timeouts from now.

    The timeout is shorter until the first leader since the start is known, and longer
    after elections without a result.
    """
    timing = state.timing
    timeout_s = timing.startup_timeout_s
    if state.has_known_leader:
        timeout_s = timing.election_timeout_s
    failed_count = max(0, state.terms_without_leader_count - TERMS_OF_SPLIT_VOTES)
    timeout_s *= 2 ** min(failed_count, MAX_DOUBLINGS_COUNT)
    timeout_s = min(timeout_s, timing.max_election_timeout_s)
    state.election_deadline_s = now_s + timeout_s * (1.0 + state.random.random())


def become_follower(
    state: states.State, term: int, now_s: float, actions: list
) -> None:
    """Become a follower without a known leader; a higher term is stored."""
    if term > state.term:
        state.term = term
        state.voted_for = ""
        state.terms_without_leader_count += 1
        actions.append(states.Store(state.term, state.voted_for, ()))
    if state.role is states.Role.LEADER:
        state.pre_vote_started_s = now_s
    state.role = states.Role.FOLLOWER
    state.leader_id = ""
    state.progress.clear()
    state.transfer_target = ""
    refuse_reads(state, actions)
    reset_election_deadline(state, now_s)


def accept_leader(
    state: states.State, envelope: messages.Envelope, now_s: float, actions: list
) -> None:
    """Accept the sender as this term's leader and reset the election timeout."""
    if state.role is states.Role.LEADER:
        raise AssertionError("two leaders in one term")
    if state.role is not states.Role.FOLLOWER:
        become_follower(state, envelope.term, now_s, actions)
    state.leader_id = envelope.from_id
    state.has_known_leader = True
    state.terms_without_leader_count = 0
    state.last_leader_contact_s = now_s
    state.last_pre_vote_reached_quorum = True
    reset_election_deadline(state, now_s)


def refuse_reads(state: states.State, actions: list) -> None:
    """Refuse all pending reads."""
    actions.extend(states.ReadRefused(read_id) for read_id, _, _ in state.reads)
    state.reads.clear()
