"""Types of the replicated log: entries, members, and messages between replicas.

A member is a replica's name joined with the random incarnation of its data folder.
Each message names its receiver by member id, so a replica that returns with an empty
folder under its old name is a different member and can't act as the old one.
"""

import dataclasses
import enum

from hickoryweir.streams import codec

MEMBER_ID_SEPARATOR = "~"


class EntryKind(enum.IntEnum):
    """Kind of a log entry."""

    COMMAND = 0
    NOOP = 1
    MEMBERSHIP = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A log entry; `time_s` is the wall-clock time of the leader that appended it."""

    index: int
    term: int
    kind: EntryKind
    time_s: float
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A member of the group; a learner (not `voter`) only receives the log."""

    member_id: str
    address: str
    availability_zone: str
    voter: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The members of the group, in the order of joining.

    The initial members are sorted by id.  Earlier versions sort all members by id with
    each change.
    """

    members: tuple[Member, ...]

    @property
    def voter_ids(self) -> tuple[str, ...]:
        """Return the ids of the voters."""
        return tuple(item.member_id for item in self.members if item.voter)

    def find(self, member_id: str) -> Member | None:
        """Return a member by id."""
        for item in self.members:
            if item.member_id == member_id:
                return item
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after entry `index` of `term`; `data` is the state machine's dump."""

    index: int
    term: int
    membership: Membership
    time_s: float
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests a vote or, if `pre`, a pre-vote."""

    last_index: int
    last_term: int
    pre: bool
    transfer: bool


@dataclasses.dataclass(frozen=True, slots=True)
class VoteResponse:
    """Response to a vote request."""

    granted: bool
    pre: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries after `previous_index`; a heartbeat if empty."""

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendResponse:
    """Response to an append request.

    On success the log durably matches the leader's up to `match_index`.  Otherwise
    `match_index` is a hint where the leader should try next, and `rejected_index` the
    `previous_index` that did not match.
    """

    success: bool
    match_index: int
    rejected_index: int
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of a snapshot, starting at `offset`."""

    index: int
    snapshot_term: int
    membership: Membership
    time_s: float
    size_bytes: int
    offset: int
    data: bytes
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotResponse:
    """Response to a chunk: the next offset, or `done` if the snapshot is durable."""

    index: int
    next_offset: int
    done: bool
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Tells the receiver to start an election at once (leadership transfer)."""


Body = (
    VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotChunk
    | SnapshotResponse
    | TimeoutNow
)


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message between two members, with the sender's term."""

    to_id: str
    from_id: str
    term: int
    body: Body


for _tag, _cls in (
    ("rl.entry", Entry),
    ("rl.membership", Membership),
    ("rl.vote?", VoteRequest),
    ("rl.vote", VoteResponse),
    ("rl.append?", AppendRequest),
    ("rl.append", AppendResponse),
    ("rl.chunk?", SnapshotChunk),
    ("rl.chunk", SnapshotResponse),
    ("rl.timeout", TimeoutNow),
    ("rl.envelope", Envelope),
):
    codec.register(_tag, _cls)


def make_member_id(replica_name: str, incarnation: str) -> str:
    """Return the member id of a replica name and an incarnation.

    Examples
    --------
    >>> make_member_id("replica-a", "5f3c")
    'replica-a~5f3c'
    """
    return f"{replica_name}{MEMBER_ID_SEPARATOR}{incarnation}"


def replica_name_of(member_id: str) -> str:
    """Return the replica name of a member id."""
    return member_id.rpartition(MEMBER_ID_SEPARATOR)[0]
