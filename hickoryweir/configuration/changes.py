"""Operators' changes as a deterministic state machine of the replicated log.

Every accepted command gets the next version.  If two operators submit changes
based on the same version, the first in the log is accepted and the other gets a
conflict that names the accepted change.  A resent change id gets its first reply
again.  Stored replies are dropped in the order in which their commands were
issued; a command that was issued no later than the last dropped one is refused,
so that no command runs twice.

Examples
--------
>>> state = initial_state()
>>> first = commands.make_submit("c1", "ann", 10.0, 0, "answers", "text")
>>> rival = commands.make_submit("c2", "bob", 10.0, 0, "answers", "other")
>>> apply(state, first, 1, 11.0)
Accepted(version=1)
>>> apply(state, rival, 2, 12.0).operator
'ann'
>>> apply(state, first, 3, 13.0)
Accepted(version=1)
"""

import dataclasses
import hashlib
import heapq

from hickoryweir.configuration import commands, history, stops
from hickoryweir.streams import codec

RETENTION_S = 24 * 3600.0
MAX_REPLY_COUNT = 20_000
CLOCK_AHEAD_MAX_S = 300.0
FINGERPRINT_SIZE_BYTES = 8
MAX_DIGEST_LENGTH = 64


@dataclasses.dataclass(frozen=True, slots=True)
class FirstReply:
    """The reply to the first command with a change id."""

    change_id: str
    issued_at_s: float
    fingerprint: bytes
    reply: commands.Reply


@dataclasses.dataclass(slots=True)
class State:
    """Replicated state of operators' changes.

    ``configuration_version`` is the version of the last change of the
    configuration; later planned stops raise only ``version``.  Commands issued
    at or before ``floor_s`` are refused.  ``expiries`` is a heap of issue time
    and change id of the stored replies.
    """

    version: int = 0
    configuration_version: int = 0
    digest: str = ""
    answers: bytes = b""
    configuration: bytes = b""
    running_stops: dict[tuple[str, str], stops.Stop] = dataclasses.field(
        default_factory=dict
    )
    audit: history.History = dataclasses.field(default_factory=history.History)
    replies: dict[str, FirstReply] = dataclasses.field(default_factory=dict)
    floor_s: float = float("-inf")
    expiries: list[tuple[float, str]] = dataclasses.field(
        default_factory=list, compare=False
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Dump:
    """A state as one message of the codec."""

    version: int
    configuration_version: int
    digest: str
    answers: bytes
    configuration: bytes
    running_stops: tuple[stops.Stop, ...]
    audit: history.History
    replies: tuple[FirstReply, ...]
    floor_s: float


codec.register("cfg.first-reply", FirstReply)
codec.register("cfg.dump", Dump)


def initial_state() -> State:
    """Return the state before any change."""
    return State()


def apply(
    state: State, command: commands.Command, index: int, time_s: float
) -> commands.Reply:
    """Apply one committed command.

    Parameters
    ----------
    state : State
        Changed in place.
    command : SubmitChange, StartStop or CancelStop
        The command.
    index : int
        Its index in the log; unused.
    time_s : float
        Unix time of the log; never decreases from one command to the next.

    Returns
    -------
    Reply
        Equal on every replica.
    """
    _expire_replies(state, time_s)
    fingerprint = _fingerprint(command)
    first = state.replies.get(command.change_id)
    if first is not None:
        return _reply_to_resend(state, first, fingerprint)
    if command.issued_at_s <= state.floor_s:
        return commands.Expired(state.floor_s)
    if command.issued_at_s > time_s + CLOCK_AHEAD_MAX_S:
        return commands.IssuedInFuture(time_s)
    reply = _execute(state, command, time_s)
    _store_reply(state, command, fingerprint, reply)
    return reply


def _fingerprint(command: commands.Command) -> bytes:
    """Return a digest of what the operator sent.

    A command and its resend may arrive through different entry VMs, so that their
    compressed bytes, generated text and list of replicas may differ; these are
    left out.
    """
    if isinstance(command, commands.SubmitChange):
        command = dataclasses.replace(
            command, answers=_decompress_if_valid(command.answers), configuration=b""
        )
    elif isinstance(command, commands.StartStop):
        command = dataclasses.replace(command, voters=())
    return hashlib.sha256(codec.encode(command)).digest()[:FINGERPRINT_SIZE_BYTES]


def _decompress_if_valid(data: bytes) -> bytes:
    try:
        return commands.decompress(data).encode()
    except ValueError:
        return data


def _reply_to_resend(
    state: State, first: FirstReply, fingerprint: bytes
) -> commands.Reply:
    if first.fingerprint != fingerprint:
        return commands.ChangeIdReused()
    if isinstance(first.reply, commands.Conflict):
        return _with_answers(state, first.reply)
    return first.reply


def _with_answers(state: State, reply: commands.Conflict) -> commands.Conflict:
    content = history.find_content(state.audit, reply.winning_version)
    return dataclasses.replace(reply, answers=content.answers if content else b"")


def _store_reply(state, command, fingerprint, reply):
    if isinstance(reply, commands.Conflict):
        reply = dataclasses.replace(reply, answers=b"")
    state.replies[command.change_id] = FirstReply(
        command.change_id, command.issued_at_s, fingerprint, reply
    )
    heapq.heappush(state.expiries, (command.issued_at_s, command.change_id))
    while len(state.expiries) > MAX_REPLY_COUNT:
        _drop_oldest_reply(state)


def _expire_replies(state: State, time_s: float) -> None:
    oldest_s = time_s - RETENTION_S
    state.floor_s = max(state.floor_s, oldest_s)
    while state.expiries and state.expiries[0][0] <= oldest_s:
        _drop_oldest_reply(state)


def _drop_oldest_reply(state: State) -> None:
    issued_at_s, change_id = heapq.heappop(state.expiries)
    state.replies.pop(change_id, None)
    state.floor_s = max(state.floor_s, issued_at_s)


def _execute(state, command, time_s):
    match command:
        case commands.SubmitChange():
            return _submit_change(state, command, time_s)
        case commands.StartStop():
            return _start_stop(state, command, time_s)
        case commands.CancelStop():
            return _cancel_stop(state, command, time_s)


def _submit_change(state, command, time_s):
    if not state.configuration_version <= command.expected_version <= state.version:
        return _make_conflict(state)
    try:
        text = commands.decompress(command.configuration)
    except ValueError:
        return commands.ContentInvalid()
    state.version += 1
    state.configuration_version = state.version
    state.answers = command.answers
    state.configuration = command.configuration
    state.digest = hashlib.sha256(text.encode()).hexdigest()
    content = history.Content(state.version, command.answers, command.configuration)
    kind = history.ChangeKind.CONFIGURATION
    _append_history_entry(state, command, time_s, kind, command.summary, content)
    _drop_stops_without_subject(state, text)
    return commands.Accepted(state.version)


def _make_conflict(state):
    winner = next(
        (
            entry
            for entry in reversed(state.audit.entries)
            if entry.version == state.configuration_version
        ),
        None,
    )
    reply = commands.Conflict(
        winning_version=state.configuration_version,
        operator=winner.operator if winner else "",
        change_id=winner.change_id if winner else "",
        answers=b"",
    )
    return _with_answers(state, reply)


def _drop_stops_without_subject(state, text):
    if not state.running_stops:
        return
    servers = stops.read_servers(text)
    for key, stop in list(state.running_stops.items()):
        if not stops.subject_exists(stop.kind, stop.name, servers):
            del state.running_stops[key]


def _start_stop(state, command, time_s):
    key = (command.kind.value, command.name)
    running_stop = state.running_stops.get(key)
    if running_stop is not None:
        return commands.AlreadyStopping(running_stop.operator, running_stop.change_id)
    stop = stops.Stop(
        command.kind,
        command.name,
        command.operator,
        command.change_id,
        state.version + 1,
        time_s,
    )
    refusal = _find_refusal(state, command, stop)
    if refusal is not None:
        return refusal
    state.version += 1
    state.running_stops[key] = stop
    summary = f"stop {command.kind.value} {command.name}"
    _append_history_entry(state, command, time_s, history.ChangeKind.STOP, summary)
    return commands.Accepted(state.version)


def _find_refusal(state, command, stop):
    servers = _read_servers(state)
    if not stops.subject_exists(command.kind, command.name, servers, command.voters):
        return commands.SubjectUnknown(command.kind, command.name)
    if command.even_so:
        return None
    running = tuple(state.running_stops.values())
    unserved = stops.unserved_targets(servers, running, stop)
    if unserved:
        return commands.LastServer(unserved)
    before = stops.remaining_voters(command.voters, running)
    after = stops.remaining_voters(command.voters, (*running, stop))
    needed_count = len(command.voters) // 2 + 1
    if len(after) < needed_count and len(after) < len(before):
        return commands.QuorumLost(len(after), needed_count)
    return None


def _read_servers(state):
    if not state.configuration:
        return ()
    return stops.read_servers(commands.decompress(state.configuration))


def _cancel_stop(state, command, time_s):
    if state.running_stops.pop((command.kind.value, command.name), None) is None:
        return commands.NotStopping()
    state.version += 1
    summary = f"cancel stop of {command.kind.value} {command.name}"
    _append_history_entry(state, command, time_s, history.ChangeKind.CANCEL, summary)
    return commands.Accepted(state.version)


def _append_history_entry(state, command, time_s, kind, summary, content=None):
    entry = history.Entry(
        state.version,
        time_s,
        command.operator,
        command.change_id,
        kind,
        summary,
        state.digest[:MAX_DIGEST_LENGTH],
    )
    state.audit = history.add(state.audit, entry, content)


def dump(state: State) -> bytes:
    """Return the state as bytes; equal states give equal bytes."""
    return codec.encode(
        Dump(
            state.version,
            state.configuration_version,
            state.digest,
            state.answers,
            state.configuration,
            tuple(state.running_stops[key] for key in sorted(state.running_stops)),
            state.audit,
            tuple(state.replies[key] for key in sorted(state.replies)),
            state.floor_s,
        )
    )


def load(data: bytes) -> State:
    """Return the state that :func:`dump` wrote.

    Raises
    ------
    ValueError
        If the bytes are not a dump.
    """
    loaded = codec.decode(data).value_or(None)
    if not isinstance(loaded, Dump):
        raise ValueError("bytes are not a dump of operators' changes")
    state = State(
        loaded.version,
        loaded.configuration_version,
        loaded.digest,
        loaded.answers,
        loaded.configuration,
        {(stop.kind.value, stop.name): stop for stop in loaded.running_stops},
        loaded.audit,
        {first.change_id: first for first in loaded.replies},
        loaded.floor_s,
    )
    state.expiries = [(first.issued_at_s, first.change_id) for first in loaded.replies]
    heapq.heapify(state.expiries)
    return state
