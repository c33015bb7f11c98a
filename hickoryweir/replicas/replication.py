"""Log replication, snapshot transfer and linearizable reads."""

from hickoryweir.replicas import messages, quorums, roles
from hickoryweir.replicas import state as states


def append_as_leader(
    state: states.State,
    kind: messages.EntryKind,
    payloads: tuple[bytes, ...],
    time_s: float,
    now_s: float,
    actions: list,
) -> None:
    """Append entries to the leader's log and send them to all members."""
    if state.log.entries:
        time_s = max(time_s, state.log.entries[-1].time_s)
    first_index = state.log.last_index + 1
    entries = tuple(
        messages.Entry(first_index + offset, state.term, kind, time_s, payload)
        for offset, payload in enumerate(payloads)
    )
    _append_entries(state, entries, actions)
    track_members(state, now_s)
    for member_id in state.progress:
        send_more(state, member_id, actions)


def track_members(state: states.State, now_s: float) -> None:
    """Add and remove progress records to match the other members."""
    ids = {member.member_id for member in state.membership.members}
    ids.discard(state.member_id)
    for member_id in sorted(ids - state.progress.keys()):
        next_index = state.log.last_index + 1
        state.progress[member_id] = states.Progress(next_index, now_s)
    for member_id in state.progress.keys() - ids:
        del state.progress[member_id]


def broadcast_heartbeat(state: states.State, now_s: float, actions: list) -> None:
    """Start a heartbeat round: send each member missing entries or an empty request.

    A member that has not responded for two heartbeat intervals is probed again from
    its match index.
    """
    state.heartbeat_deadline_s = now_s + state.timing.heartbeat_interval_s
    state.round_number += 1
    for member_id, progress in state.progress.items():
        if now_s - progress.last_response_s > 2 * state.timing.heartbeat_interval_s:
            progress.in_flight_count = 0
            progress.next_index = progress.match_index + 1
            progress.probing = True
        _send_next(state, member_id, actions)


def send_more(state: states.State, member_id: str, actions: list) -> None:
    """Send a member missing entries, within the limit of requests in flight."""
    progress = state.progress[member_id]
    if progress.next_index > _last_sent_index(state, member_id):
        return
    limit = 1 if progress.probing else state.timing.max_in_flight_count
    if progress.in_flight_count < limit and progress.snapshot_offset is None:
        _send_next(state, member_id, actions)


def on_append_request(
    state: states.State, envelope: messages.Envelope, now_s: float, actions: list
) -> None:
    """Append a leader's entries, or reject them with a hint where the logs differ."""
    request: messages.AppendRequest = envelope.body
    roles.accept_leader(state, envelope, now_s, actions)
    if request.previous_index < state.log.base_index:
        _respond(state, envelope, True, state.commit_index, actions)
        return
    if state.log.term_at(request.previous_index) != request.previous_term:
        _respond(state, envelope, False, _conflict_hint(state, request), actions)
        return
    new = _entries_to_append(state, request.entries)
    if new:
        _append_entries(state, new, actions)
    match_index = request.previous_index + len(request.entries)
    _respond(state, envelope, True, match_index, actions)
    commit_index = min(request.commit_index, match_index)
    state.commit_index = max(state.commit_index, commit_index)


def on_append_response(
    state: states.State, envelope: messages.Envelope, now_s: float, actions: list
) -> None:
    """Update a follower's progress and the commit index."""
    progress = state.progress.get(envelope.from_id)
    if state.role is not states.Role.LEADER or progress is None:
        return
    response: messages.AppendResponse = envelope.body
    _record_response(state, progress, response.round_number, now_s, actions)
    progress.in_flight_count = max(0, progress.in_flight_count - 1)
    if response.success:
        _update_match_index(progress, response.match_index)
        advance_commit_index(state)
    else:
        _handle_rejection(progress, response)
    send_more(state, envelope.from_id, actions)


def on_snapshot_chunk(
    state: states.State, envelope: messages.Envelope, now_s: float, actions: list
) -> None:
    """Collect a snapshot's chunks and install it once it is complete."""
    chunk: messages.SnapshotChunk = envelope.body
    roles.accept_leader(state, envelope, now_s, actions)
    held = state.log.term_at(chunk.index) == chunk.snapshot_term
    if chunk.index <= state.commit_index or held:
        _respond_to_chunk(state, envelope, chunk.size_bytes, True, actions)
        return
    key = (chunk.index, chunk.snapshot_term)
    if chunk.offset == 0 or state.incoming_snapshot != key:
        state.incoming_snapshot = key
        state.incoming.clear()
    if chunk.size_bytes > state.timing.max_snapshot_size_bytes:
        return
    if chunk.offset == len(state.incoming):
        state.incoming.extend(chunk.data)
    if len(state.incoming) < chunk.size_bytes:
        _respond_to_chunk(state, envelope, len(state.incoming), False, actions)
        return
    _install_received_snapshot(state, chunk, actions)
    _respond_to_chunk(state, envelope, chunk.size_bytes, True, actions)


def on_snapshot_response(
    state: states.State, envelope: messages.Envelope, now_s: float, actions: list
) -> None:
    """Send the next chunk, or continue with entries."""
    progress = state.progress.get(envelope.from_id)
    if state.role is not states.Role.LEADER or progress is None:
        return
    response: messages.SnapshotResponse = envelope.body
    _record_response(state, progress, response.round_number, now_s, actions)
    if response.done:
        progress.snapshot_offset = None
        _update_match_index(progress, response.index)
        advance_commit_index(state)
        send_more(state, envelope.from_id, actions)
    elif progress.snapshot_index == response.index:
        progress.snapshot_offset = response.next_offset
        _send_chunk(state, envelope.from_id, actions)


def on_persisted(state: states.State, event: states.Persisted) -> None:
    """Update the index up to which this replica's own log is synced."""
    if state.log.term_at(event.last_index) == event.last_term:
        state.persisted_index = max(state.persisted_index, event.last_index)
    if state.role is states.Role.LEADER:
        advance_commit_index(state)


def advance_commit_index(state: states.State) -> None:
    """Advance the commit index to the last entry of this term durable on a quorum."""
    voter_ids = state.membership.voter_ids
    matches = sorted(_match_index(state, voter_id) for voter_id in voter_ids)
    if not matches:
        return
    quorum_index = matches[len(matches) - quorums.majority_count(len(matches))]
    if state.log.term_at(quorum_index) == state.term:
        state.commit_index = max(state.commit_index, quorum_index)


def apply_committed(state: states.State, actions: list) -> None:
    """Apply committed entries, at most `max_apply_count` per step."""
    last_index = min(
        state.commit_index, state.applied_index + state.timing.max_apply_count
    )
    if last_index <= state.applied_index:
        return
    entries = state.log.between(state.applied_index + 1, last_index)
    state.applied_index = last_index
    actions.append(states.Apply(tuple(entries)))


def request_read(
    state: states.State, event: states.ReadRequested, now_s: float, actions: list
) -> None:
    """Start a linearizable read (ReadIndex): a quorum must acknowledge a new round."""
    ready = state.commit_index >= state.term_start_index
    if state.role is not states.Role.LEADER or not ready:
        actions.append(states.ReadRefused(event.read_id))
        return
    if not state.reads or state.reads[-1][1] <= state.round_number:
        broadcast_heartbeat(state, now_s, actions)
    state.reads.append((event.read_id, state.round_number, state.commit_index))
    release_reads(state, actions)


def release_reads(state: states.State, actions: list) -> None:
    """Release reads whose heartbeat round a quorum has acknowledged."""
    while state.reads:
        read_id, round_number, index = state.reads[0]
        acknowledged = {
            member_id
            for member_id, progress in state.progress.items()
            if progress.acknowledged_round >= round_number
        }
        if not quorums.is_quorum(state, acknowledged | {state.member_id}):
            return
        state.reads.pop(0)
        actions.append(states.ReadReady(read_id, index))


def _append_entries(
    state: states.State, entries: tuple[messages.Entry, ...], actions: list
) -> None:
    first_index = entries[0].index
    if first_index <= state.commit_index:
        raise AssertionError("append would overwrite a committed entry")
    state.log.replace_from(entries)
    state.persisted_index = min(state.persisted_index, first_index - 1)
    quorums.record_memberships(state, entries)
    actions.append(states.Store(state.term, state.voted_for, entries))


def _entries_to_append(
    state: states.State, entries: tuple[messages.Entry, ...]
) -> tuple[messages.Entry, ...]:
    for offset, entry in enumerate(entries):
        if state.log.term_at(entry.index) != entry.term:
            return entries[offset:]
    return ()


def _respond(
    state: states.State,
    envelope: messages.Envelope,
    success: bool,
    match_index: int,
    actions: list,
) -> None:
    request: messages.AppendRequest = envelope.body
    response = messages.AppendResponse(
        success, match_index, request.previous_index, request.round_number
    )
    actions.append(roles.make_send(state, envelope.from_id, response, True))


def _handle_rejection(
    progress: states.Progress, response: messages.AppendResponse
) -> None:
    if response.rejected_index <= progress.match_index:
        progress.match_index = 0
    wanted = min(response.rejected_index, response.match_index + 1)
    progress.next_index = max(progress.match_index + 1, wanted)
    progress.probing = True
    progress.in_flight_count = 0


def _conflict_hint(state: states.State, request: messages.AppendRequest) -> int:
    if request.previous_index > state.log.last_index:
        return state.log.last_index
    term = state.log.term_at(request.previous_index)
    index = request.previous_index
    while index > state.commit_index and state.log.term_at(index) == term:
        index -= 1
    return index


def _match_index(state: states.State, member_id: str) -> int:
    if member_id == state.member_id:
        return state.persisted_index
    progress = state.progress.get(member_id)
    return 0 if progress is None else progress.match_index


def _update_match_index(progress: states.Progress, match_index: int) -> None:
    progress.match_index = max(progress.match_index, match_index)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    progress.probing = False
    progress.acknowledged_index = max(progress.acknowledged_index, progress.match_index)


def _record_response(
    state: states.State,
    progress: states.Progress,
    round_number: int,
    now_s: float,
    actions: list,
) -> None:
    progress.last_contact_s = now_s
    progress.last_response_s = now_s
    progress.acknowledged_round = max(progress.acknowledged_round, round_number)
    release_reads(state, actions)


def _send_next(state: states.State, member_id: str, actions: list) -> None:
    progress = state.progress[member_id]
    if progress.next_index <= state.log.base_index:
        _send_chunk(state, member_id, actions)
        return
    progress.snapshot_offset = None
    entries = _next_entries(state, member_id)
    previous_index = progress.next_index - 1
    request = messages.AppendRequest(
        previous_index,
        state.log.term_at(previous_index),
        entries,
        state.commit_index,
        state.round_number,
    )
    if entries:
        progress.in_flight_count += 1
        if not progress.probing:
            progress.next_index += len(entries)
    actions.append(roles.make_send(state, member_id, request, False))


def _last_sent_index(state: states.State, member_id: str) -> int:
    """Return the index up to which a member is sent entries.

    A voter that is demoted is sent nothing from its demotion on until that is
    committed.  With a longer log than the other voters it would refuse them its vote,
    which they still need by their own logs, and could not stand for election itself.
    """
    if len(state.memberships) < 2 or member_id in state.membership.voter_ids:
        return state.log.last_index
    index, _ = state.memberships[-1]
    was_voter = member_id in state.memberships[-2][1].voter_ids
    is_held_back = was_voter and index > state.commit_index
    return index - 1 if is_held_back else state.log.last_index


def _next_entries(state: states.State, member_id: str) -> tuple[messages.Entry, ...]:
    progress = state.progress[member_id]
    limit = 1 if progress.probing else state.timing.max_in_flight_count
    if progress.in_flight_count >= limit:
        return ()
    last_index = progress.next_index + state.timing.max_append_count - 1
    last_index = min(last_index, _last_sent_index(state, member_id))
    entries = state.log.between(progress.next_index, last_index)
    size_bytes = 0
    for count, entry in enumerate(entries):
        size_bytes += len(entry.payload)
        if size_bytes > state.timing.max_append_size_bytes and count:
            return tuple(entries[:count])
    return tuple(entries)


def _send_chunk(state: states.State, member_id: str, actions: list) -> None:
    progress = state.progress[member_id]
    snapshot = state.snapshot
    if progress.snapshot_offset is None or progress.snapshot_index != snapshot.index:
        progress.snapshot_offset = 0
        progress.snapshot_index = snapshot.index
    offset = progress.snapshot_offset
    chunk = messages.SnapshotChunk(
        snapshot.index,
        snapshot.term,
        snapshot.membership,
        snapshot.time_s,
        len(snapshot.data),
        offset,
        snapshot.data[offset : offset + state.timing.chunk_size_bytes],
        state.round_number,
    )
    actions.append(roles.make_send(state, member_id, chunk, False))


def _respond_to_chunk(
    state: states.State,
    envelope: messages.Envelope,
    next_offset: int,
    done: bool,
    actions: list,
) -> None:
    chunk: messages.SnapshotChunk = envelope.body
    response = messages.SnapshotResponse(
        chunk.index, next_offset, done, chunk.round_number
    )
    actions.append(roles.make_send(state, envelope.from_id, response, True))


def _install_received_snapshot(
    state: states.State, chunk: messages.SnapshotChunk, actions: list
) -> None:
    snapshot = messages.Snapshot(
        chunk.index,
        chunk.snapshot_term,
        chunk.membership,
        chunk.time_s,
        bytes(state.incoming),
    )
    state.incoming.clear()
    state.incoming_snapshot = (0, 0)
    install_snapshot(state, snapshot, actions)


def install_snapshot(
    state: states.State, snapshot: messages.Snapshot, actions: list
) -> None:
    """Replace the log and the state machine by a snapshot."""
    state.snapshot = snapshot
    state.log.reset(snapshot.index, snapshot.term)
    quorums.restore_membership(state, snapshot)
    state.commit_index = snapshot.index
    state.applied_index = snapshot.index
    state.persisted_index = snapshot.index
    actions.append(states.SaveSnapshot(snapshot, state.term, state.voted_for))
