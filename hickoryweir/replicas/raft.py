"""The core of the replicated log: Raft as a deterministic state machine.

No I/O, no clock and no global randomness: the same events at the same times give
the same actions.  :mod:`~hickoryweir.replicas.node` executes the actions.

References
----------
D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm",
USENIX ATC 2014.
"""

import random

from hickoryweir.replicas import (
    elections,
    membership,
    messages,
    quorums,
    replication,
    roles,
    transfer,
)
from hickoryweir.replicas import state as states


def make_state(
    member_id: str,
    now_s: float,
    seed: int = 0,
    timing: states.Timing | None = None,
    term: int = 0,
    voted_for: str = "",
    snapshot: messages.Snapshot | None = None,
    entries: tuple[messages.Entry, ...] = (),
) -> states.State:
    """Return the state of a replica restored from its data folder.

    Parameters
    ----------
    member_id : str
        Replica name and incarnation.
    now_s : float
        Monotonic time.
    seed : int, optional
        Seed of the randomized election timeouts.
    timing : state.Timing, optional
        Timeouts and limits.
    term, voted_for, snapshot, entries : optional
        As recovered; all empty for a new folder.  Entries may begin at or before
        the snapshot's last index and must leave no gap after it.
    """
    timing = timing or states.Timing()
    state = states.State(member_id, timing, random.Random(seed))
    state.ticked_at_s = now_s
    state.term = term
    state.voted_for = voted_for
    if snapshot is not None:
        state.snapshot = snapshot
        quorums.restore_membership(state, snapshot)
        state.commit_index = state.applied_index = snapshot.index
        state.log.reset(snapshot.index, snapshot.term)
    newer = tuple(entry for entry in entries if entry.index > state.log.last_index)
    if newer:
        state.log.replace_from(newer)
        quorums.record_memberships(state, newer)
    state.persisted_index = state.log.last_index
    roles.reset_election_deadline(state, now_s)
    return state


def step(state: states.State, event: states.Event, now_s: float) -> list[states.Action]:
    """Apply one event to `state` and return the actions, in order.

    Parameters
    ----------
    state : state.State
        Modified in place.
    event : state.Event
        The event.
    now_s : float
        Monotonic time, never smaller than before.
    """
    actions: list[states.Action] = []
    if state.role is not states.Role.FAILED:
        _record_pause(state, now_s)
        _dispatch(state, event, now_s, actions)
        replication.apply_committed(state, actions)
    return actions


def fail(state: states.State) -> list[states.Action]:
    """Stop taking part until a restart; return the actions that refuse reads."""
    actions: list[states.Action] = []
    _on_storage_failed(state, actions)
    return actions


def can_propose(state: states.State) -> bool:
    """Return whether this replica accepts proposals now."""
    return state.role is states.Role.LEADER and not state.transfer_target


def _dispatch(
    state: states.State, event: states.Event, now_s: float, actions: list
) -> None:
    match event:
        case states.Received():
            _on_received(state, event.envelope, now_s, actions)
        case states.Proposed():
            _on_proposed(state, event, now_s, actions)
        case states.Persisted():
            replication.on_persisted(state, event)
            elections.on_persisted(state, event, now_s, actions)
        case states.Ticked():
            state.ticked_at_s = now_s
            elections.on_tick(state, now_s, actions)
        case states.ReadRequested():
            replication.request_read(state, event, now_s, actions)
        case states.LearnerAdded():
            membership.add_learner(state, event, now_s, actions)
        case states.LearnerPromoted():
            membership.promote_learner(state, event, now_s, actions)
        case states.MemberRemoved():
            membership.remove_member(state, event, now_s, actions)
        case states.VoterDemoted():
            membership.demote_voter(state, event, now_s, actions)
        case states.TransferRequested():
            transfer.request_transfer(state, event, now_s, actions)
        case states.SnapshotTaken():
            _on_snapshot_taken(state, event)
        case states.Bootstrapped():
            _on_bootstrapped(state, event, now_s, actions)
        case states.StorageFailed():
            _on_storage_failed(state, actions)


def _record_pause(state: states.State, now_s: float) -> None:
    """Record that this replica was stopped, and has messages from before that.

    Taken for new, they would show members as responding that are lost meanwhile.
    """
    if now_s - state.ticked_at_s > state.timing.election_timeout_s:
        state.resumed_at_s = now_s


def _on_received(
    state: states.State, envelope: messages.Envelope, now_s: float, actions: list
) -> None:
    if envelope.to_id != state.member_id:
        return
    state.heard_from_ids.add(envelope.from_id)
    body = envelope.body
    if isinstance(body, messages.VoteRequest):
        elections.on_vote_request(state, envelope, now_s, actions)
        return
    if envelope.term > state.term:
        roles.become_follower(state, envelope.term, now_s, actions)
    if envelope.term < state.term and not _is_pre_vote_response(body):
        _reject_stale(state, envelope, actions)
        return
    _on_current_term(state, envelope, now_s, actions)


def _on_current_term(
    state: states.State, envelope: messages.Envelope, now_s: float, actions: list
) -> None:
    match envelope.body:
        case messages.VoteResponse():
            elections.on_vote_response(state, envelope, now_s, actions)
        case messages.AppendRequest():
            replication.on_append_request(state, envelope, now_s, actions)
        case messages.AppendResponse():
            replication.on_append_response(state, envelope, now_s, actions)
            transfer.continue_transfer(state, actions)
        case messages.SnapshotChunk():
            replication.on_snapshot_chunk(state, envelope, now_s, actions)
        case messages.SnapshotResponse():
            replication.on_snapshot_response(state, envelope, now_s, actions)
        case messages.TimeoutNow():
            if quorums.is_voter(state) and state.role is not states.Role.LEADER:
                elections.start_election(state, True, now_s, actions)


def _is_pre_vote_response(body: messages.Body) -> bool:
    return isinstance(body, messages.VoteResponse) and body.pre


def _reject_stale(
    state: states.State, envelope: messages.Envelope, actions: list
) -> None:
    if isinstance(envelope.body, messages.AppendRequest | messages.SnapshotChunk):
        response = messages.AppendResponse(False, 0, 0, 0)
        actions.append(roles.make_send(state, envelope.from_id, response, True))


def _on_proposed(
    state: states.State, event: states.Proposed, now_s: float, actions: list
) -> None:
    if can_propose(state) and event.payloads:
        kind = messages.EntryKind.COMMAND
        payloads, time_s = event.payloads, event.time_s
        replication.append_as_leader(state, kind, payloads, time_s, now_s, actions)


def _on_snapshot_taken(state: states.State, event: states.SnapshotTaken) -> None:
    if state.snapshot is not None and state.snapshot.index >= event.snapshot.index:
        return
    state.snapshot = event.snapshot
    state.log.compact(event.snapshot.index - event.keep_count)
    quorums.discard_memberships_before(state, event.snapshot.index)


def _on_bootstrapped(
    state: states.State, event: states.Bootstrapped, now_s: float, actions: list
) -> None:
    empty = not state.memberships and state.log.last_index == 0
    if not empty or event.membership.find(state.member_id) is None:
        return
    state.term = max(state.term, 1)
    snapshot = messages.Snapshot(1, 1, event.membership, 0.0, b"")
    replication.install_snapshot(state, snapshot, actions)
    roles.reset_election_deadline(state, now_s)


def _on_storage_failed(state: states.State, actions: list) -> None:
    roles.refuse_reads(state, actions)
    state.role = states.Role.FAILED
    state.leader_id = ""
    state.progress.clear()
