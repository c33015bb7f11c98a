"""State of one replica in the replicated log, its events and its actions.

:func:`hickoryweir.replicas.raft.step` takes the state, an event and the monotonic
time and returns actions in order.  A :class:`Send` with `durable` set leaves only
after every :class:`Store` and :class:`SaveSnapshot` before it has been synced.
"""

import dataclasses
import enum
import random

from hickoryweir.replicas import messages


class Role(enum.StrEnum):
    """The role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


class ChangeRefusal(enum.StrEnum):
    """Why a membership change or transfer was not started."""

    NOT_LEADER = "not_leader"
    CHANGE_IN_PROGRESS = "change_in_progress"
    TERM_NOT_COMMITTED = "term_not_committed"
    UNKNOWN_MEMBER = "unknown_member"
    ALREADY_MEMBER = "already_member"
    NOT_CAUGHT_UP = "not_caught_up"
    NO_QUORUM = "no_quorum"
    IS_LEADER = "is_leader"
    TRANSFER_IN_PROGRESS = "transfer_in_progress"


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts and limits of the protocol.

    An election starts between one and two election timeouts after the last message
    of a leader.  A leader without a quorum for one election timeout steps down.  A
    leader whose disk lags behind the commit index for `disk_stall_timeout_s`
    transfers leadership.

    A replica that has known no leader since its start waits for only
    `startup_timeout_s`, since after a loss of all replicas there is none to wait for.
    It is longer than a leader takes to contact a replica that has just started, and an
    election before that contact does not disturb the leader because of the pre-vote.

    After several terms in which no leader was known, the timeout doubles with each
    further one up to `max_election_timeout_s`, so that it becomes longer than an
    election takes with slow disks or links.
    """

    heartbeat_interval_s: float = 0.1
    election_timeout_s: float = 0.5
    startup_timeout_s: float = 0.2
    max_election_timeout_s: float = 1.0
    pre_vote_grace_s: float = 0.15
    pre_vote_priority_s: float = 0.2
    disk_stall_timeout_s: float = 1.0
    max_append_count: int = 1024
    max_append_size_bytes: int = 512 * 1024
    max_in_flight_count: int = 32
    max_apply_count: int = 1000
    chunk_size_bytes: int = 1024 * 1024
    max_snapshot_size_bytes: int = 512 * 1024 * 1024
    catch_up_max_lag_count: int = 64


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication progress of another member, as the leader tracks it.

    `match_index` is below `acknowledged_index` while the member lacks entries that
    it had acknowledged, because its data folder was replaced by an older one.
    """

    next_index: int
    last_contact_s: float
    match_index: int = 0
    probing: bool = True
    in_flight_count: int = 0
    acknowledged_round: int = 0
    last_response_s: float = 0.0
    snapshot_offset: int | None = None
    snapshot_index: int = 0
    acknowledged_index: int = 0

    @property
    def lost_entries(self) -> bool:
        """Return whether the member lacks entries that it had acknowledged."""
        return self.match_index < self.acknowledged_index


@dataclasses.dataclass(slots=True)
class Log:
    """Entries after the base; the base is the last discarded entry."""

    base_index: int = 0
    base_term: int = 0
    entries: list[messages.Entry] = dataclasses.field(default_factory=list)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def between(self, first_index: int, last_index: int) -> list[messages.Entry]:
        """Return the entries from first to last, both included."""
        offset = self.base_index + 1
        return self.entries[first_index - offset : last_index - offset + 1]

    def replace_from(self, entries: tuple[messages.Entry, ...]) -> None:
        """Truncate the log before the first of `entries` and append them."""
        del self.entries[entries[0].index - self.base_index - 1 :]
        self.entries.extend(entries)

    def compact(self, index: int) -> None:
        """Discard the entries up to `index`."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Discard all entries; the log continues after `index`."""
        self.entries.clear()
        self.base_index = index
        self.base_term = term


@dataclasses.dataclass(slots=True)
class State:
    """The Raft state of one replica; owned by one task."""

    member_id: str
    timing: Timing
    random: random.Random
    term: int = 0
    voted_for: str = ""
    role: Role = Role.FOLLOWER
    leader_id: str = ""
    has_known_leader: bool = False
    terms_without_leader_count: int = 0
    log: Log = dataclasses.field(default_factory=Log)
    snapshot: messages.Snapshot | None = None
    memberships: list[tuple[int, messages.Membership]] = dataclasses.field(
        default_factory=list
    )
    joined_names: tuple[str, ...] = ()
    commit_index: int = 0
    applied_index: int = 0
    persisted_index: int = 0
    ticked_at_s: float = 0.0
    resumed_at_s: float = float("-inf")
    election_deadline_s: float = 0.0
    heartbeat_deadline_s: float = 0.0
    last_leader_contact_s: float = float("-inf")
    votes: set[str] = dataclasses.field(default_factory=set)
    heard_from_ids: set[str] = dataclasses.field(default_factory=set)
    pre_vote_started_s: float = float("-inf")
    last_pre_vote_reached_quorum: bool = True
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    term_start_index: int = 0
    round_number: int = 0
    reads: list[tuple[int, int, int]] = dataclasses.field(default_factory=list)
    transfer_target: str = ""
    transfer_deadline_s: float = 0.0
    disk_stalled_since_s: float | None = None
    incoming: bytearray = dataclasses.field(default_factory=bytearray)
    incoming_snapshot: tuple[int, int] = (0, 0)

    @property
    def membership(self) -> messages.Membership:
        """Return the latest membership in the log, committed or not."""
        if not self.memberships:
            return messages.Membership(())
        return self.memberships[-1][1]


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message from another member has arrived."""

    envelope: messages.Envelope


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """Commands to append, with the wall-clock time of this replica."""

    payloads: tuple[bytes, ...]
    time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Persisted:
    """The term and all entries up to `last_index` are synced."""

    term: int
    last_index: int
    last_term: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequested:
    """A linearizable read asks for the index from which on it may be served."""

    read_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class LearnerAdded:
    """A learner is to be added."""

    member: messages.Member
    time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LearnerPromoted:
    """A learner is to be promoted to voter."""

    member_id: str
    time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRemoved:
    """A member is to be removed."""

    member_id: str
    time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class VoterDemoted:
    """A voter is to become a learner."""

    member_id: str
    time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TransferRequested:
    """Leadership is to be transferred; an empty id means the most up-to-date voter."""

    member_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """A local snapshot is durable; `keep_count` entries before it are kept."""

    snapshot: messages.Snapshot
    keep_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bootstrapped:
    """A new cluster has these members; only an empty replica accepts it."""

    membership: messages.Membership


@dataclasses.dataclass(frozen=True, slots=True)
class StorageFailed:
    """A write or sync failed; the replica must no longer vote or acknowledge."""


Event = (
    Ticked
    | Received
    | Proposed
    | Persisted
    | ReadRequested
    | LearnerAdded
    | LearnerPromoted
    | MemberRemoved
    | VoterDemoted
    | TransferRequested
    | SnapshotTaken
    | Bootstrapped
    | StorageFailed
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message; if `durable`, after all stores before it are synced."""

    envelope: messages.Envelope
    durable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Store:
    """Store the term, the vote and entries that replace the tail of the log."""

    term: int
    voted_for: str
    entries: tuple[messages.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Store a received snapshot, discard the log and load the state machine."""

    snapshot: messages.Snapshot
    term: int
    voted_for: str


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries to the state machine."""

    entries: tuple[messages.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReady:
    """A read may be served once `index` has been applied."""

    read_id: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRefused:
    """The replica can't serve a read."""

    read_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRefused:
    """A membership change or transfer was not started."""

    reason: ChangeRefusal


Action = Send | Store | SaveSnapshot | Apply | ReadReady | ReadRefused | ChangeRefused
