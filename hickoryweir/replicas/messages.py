"""Values of the replicated log: entries, members, and messages between replicas.

A member is a replica's name joined with the random incarnation of its data folder.
Each message names the member it is meant for, so a folder that comes back empty
under an old name is another member and takes no part under the old one.
"""

import dataclasses
import enum

from hickoryweir.streams import codec

MEMBER_ID_SEPARATOR = "~"


class EntryKind(enum.IntEnum):
    """What an entry holds."""

    COMMAND = 0
    NOOP = 1
    MEMBERSHIP = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One entry; `time_s` is the wall clock of the leader that appended it."""

    index: int
    term: int
    kind: EntryKind
    time_s: float
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A replica that takes part; a learner (not `voter`) only receives the log."""

    member_id: str
    address: str
    availability_zone: str
    voter: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """All members, sorted by id."""

    members: tuple[Member, ...]

    @property
    def voter_ids(self) -> tuple[str, ...]:
        """Return the ids of the members that count."""
        return tuple(item.member_id for item in self.members if item.voter)

    def find(self, member_id: str) -> Member | None:
        """Return a member by id."""
        for item in self.members:
            if item.member_id == member_id:
                return item
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after entry `index`, which had `term`; `data` is the machine's."""

    index: int
    term: int
    membership: Membership
    time_s: float
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote, or whether one would be given (`pre`)."""

    last_index: int
    last_term: int
    pre: bool
    transfer: bool


@dataclasses.dataclass(frozen=True, slots=True)
class VoteResponse:
    """Answers a vote request."""

    granted: bool
    pre: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries after `previous_index`; a heartbeat if there are none."""

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendResponse:
    """Answers an append request.

    On success the log equals the leader's up to `match_index`, durably.  Otherwise
    `match_index` is where the leader should try next, and `rejected_index` the
    previous index that did not fit.
    """

    success: bool
    match_index: int
    rejected_index: int
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of a snapshot, from `offset`."""

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
    """Answers a chunk: which offset comes next, or that the snapshot is durable."""

    index: int
    next_offset: int
    done: bool
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Asks the receiver to start an election at once (leadership transfer)."""


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
    """Return the id of a replica with a given data folder.

    Examples
    --------
    >>> make_member_id("replica-a", "5f3c")
    'replica-a~5f3c'
    """
    return f"{replica_name}{MEMBER_ID_SEPARATOR}{incarnation}"


def replica_name_of(member_id: str) -> str:
    """Return the replica's name in a member id."""
    return member_id.rpartition(MEMBER_ID_SEPARATOR)[0]
