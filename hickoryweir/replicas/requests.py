"""Pending client requests of a replica."""

import dataclasses

from hickoryweir.replicas import elections, machine, membership, messages, storage, wire
from hickoryweir.replicas import state as states
from hickoryweir.streams import codec, connections

MAX_PENDING_COMMANDS_COUNT = 20_000
MAX_COMMAND_SIZE_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request and the connection on which to respond to it."""

    connection: connections.Connection
    request: wire.Request


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """A watch with its deadline in monotonic time."""

    pending: PendingRequest
    query: object
    deadline_s: float


@dataclasses.dataclass(slots=True)
class RequestTable:
    """All pending requests; owned by the node's task.

    Attributes
    ----------
    commands, changes : dict
        Requests by the index of their log entry.
    reads : dict
        Linearizable reads by read id.
    ready_reads : list
        Reads with the index that must be applied before they are served.
    watches : list
        Watches, served as long polls.
    """

    commands: dict[int, PendingRequest] = dataclasses.field(default_factory=dict)
    changes: dict[int, PendingRequest] = dataclasses.field(default_factory=dict)
    reads: dict[int, PendingRequest] = dataclasses.field(default_factory=dict)
    ready_reads: list[tuple[int, PendingRequest]] = dataclasses.field(
        default_factory=list
    )
    watches: list[Watch] = dataclasses.field(default_factory=list)
    next_read_id: int = 1


def respond(pending: PendingRequest, response: object, index: int) -> None:
    """Send the state machine's response."""
    payload = b"" if response is None else codec.encode(response)
    request_id = pending.request.request_id
    pending.connection.offer(wire.Answered(request_id, payload, index))


def refuse(
    pending: PendingRequest,
    reason: wire.NotServedReason,
    state: states.State,
    now_s: float,
    may_commit: bool = False,
) -> None:
    """Respond that a request was not served."""
    message = wire.NotServed(
        pending.request.request_id,
        reason,
        messages.replica_name_of(state.leader_id),
        elections.has_quorum(state, now_s),
        may_commit,
    )
    pending.connection.offer(message)


def admit(
    table: RequestTable,
    proposals: list[PendingRequest],
    state: states.State,
    now_s: float,
) -> list[PendingRequest]:
    """Return the proposals within the limits; refuse the others."""
    room = MAX_PENDING_COMMANDS_COUNT - len(table.commands)
    admitted = []
    for pending in proposals:
        if len(pending.request.command) > MAX_COMMAND_SIZE_BYTES:
            refuse(pending, wire.NotServedReason.MALFORMED, state, now_s)
        elif len(admitted) >= room:
            refuse(pending, wire.NotServedReason.OVERLOADED, state, now_s)
        else:
            admitted.append(pending)
    return admitted


def unwrap_relayed(pending: PendingRequest) -> PendingRequest:
    """Return the request inside a relayed one, under the relay's request id."""
    request_id = pending.request.request_id
    inner = dataclasses.replace(pending.request.request, request_id=request_id)
    return PendingRequest(pending.connection, inner)


def apply_entries(
    table: RequestTable,
    state_machine: machine.Machine,
    entries: tuple[messages.Entry, ...],
) -> int:
    """Apply committed entries, respond to their requests and return their size."""
    size_bytes = 0
    for entry in entries:
        size_bytes += len(entry.payload)
        if entry.kind is messages.EntryKind.COMMAND:
            response = machine.apply(state_machine, entry)
            pending = table.commands.pop(entry.index, None)
            if pending is not None:
                respond(pending, response, entry.index)
        elif entry.kind is messages.EntryKind.MEMBERSHIP:
            pending = table.changes.pop(entry.index, None)
            if pending is not None:
                request_id = pending.request.request_id
                pending.connection.offer(wire.ChangeAnswered(request_id, ""))
    return size_bytes


def refuse_appended(table: RequestTable, state: states.State, now_s: float) -> None:
    """Refuse appended requests after a loss of leadership; they may still commit."""
    lost = wire.NotServedReason.LEADERSHIP_LOST
    for pending in (*table.commands.values(), *table.changes.values()):
        refuse(pending, lost, state, now_s, may_commit=True)
    table.commands.clear()
    table.changes.clear()


def respond_to_query(
    pending: PendingRequest, state_machine: machine.Machine, applied_index: int
) -> None:
    """Respond to a query from the applied state."""
    query = codec.decode(pending.request.query).value_or(None)
    respond(pending, machine.query(state_machine, query), applied_index)


def serve_reads(
    table: RequestTable, state_machine: machine.Machine, applied_index: int
) -> None:
    """Respond to the reads whose index has been applied."""
    if not table.ready_reads:
        return
    kept = []
    for index, pending in table.ready_reads:
        if index > applied_index:
            kept.append((index, pending))
        else:
            respond_to_query(pending, state_machine, applied_index)
    table.ready_reads = kept


def serve_watches(
    table: RequestTable,
    state_machine: machine.Machine,
    state: states.State,
    now_s: float,
) -> None:
    """Respond to watches whose version was reached or whose deadline has passed.

    Without a leader the state does not advance; watches are then refused, so that the
    client asks another replica.
    """
    kept = []
    index = state.applied_index
    for watch in table.watches:
        version = machine.version_for(state_machine, watch.query)
        if version is None or version > watch.pending.request.after_version:
            response = machine.query(state_machine, watch.query)
            respond(watch.pending, response, index)
        elif now_s >= watch.deadline_s:
            respond(watch.pending, None, index)
        elif not state.leader_id:
            refuse(watch.pending, wire.NotServedReason.NOT_LEADER, state, now_s)
        elif not watch.pending.connection.is_closed:
            kept.append(watch)
    table.watches = kept


def make_watch(pending: PendingRequest, now_s: float) -> Watch:
    """Return a watch for a watch request."""
    query = codec.decode(pending.request.query).value_or(None)
    return Watch(pending, query, now_s + pending.request.timeout_s)


def respond_with_status(
    pending: PendingRequest,
    state: states.State,
    availability_zone: str,
    opened: storage.Storage,
    may_bootstrap: bool,
    now_s: float,
) -> None:
    """Respond to a status request."""
    is_empty = not state.memberships and state.log.last_index == 0
    members = tuple(
        _member_status(state, member, now_s) for member in state.membership.members
    )
    status = wire.Status(
        pending.request.request_id,
        state.member_id,
        availability_zone,
        state.role.value,
        state.term,
        state.leader_id,
        elections.has_quorum(state, now_s),
        is_empty,
        state.log.last_index,
        state.commit_index,
        0 if state.snapshot is None else state.snapshot.index,
        members,
        opened.sync_count,
        opened.written_size_bytes,
        may_bootstrap and is_empty,
    )
    pending.connection.offer(status)


def _member_status(
    state: states.State, member: messages.Member, now_s: float
) -> wire.MemberStatus:
    progress = state.progress.get(member.member_id)
    if progress is None:
        own = member.member_id == state.member_id
        match_index = state.persisted_index if own else 0
        return wire.MemberStatus(member, match_index, own, False, 0.0)
    return wire.MemberStatus(
        member,
        progress.match_index,
        membership.is_caught_up(state, member.member_id, now_s),
        progress.lost_entries,
        now_s - progress.last_contact_s,
    )


def make_change_event(request: wire.ChangeRequest, time_s: float) -> states.Event:
    """Return the core's event for a membership change or transfer."""
    member = request.member
    match request.change:
        case wire.Change.ADD_LEARNER:
            return states.LearnerAdded(member, time_s)
        case wire.Change.PROMOTE:
            return states.LearnerPromoted(member.member_id, time_s)
        case wire.Change.REMOVE:
            return states.MemberRemoved(member.member_id, time_s)
        case wire.Change.DEMOTE:
            return states.VoterDemoted(member.member_id, time_s)
        case wire.Change.TRANSFER:
            return states.TransferRequested(member.member_id)
