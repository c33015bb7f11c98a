"""File formats of a data folder.

``identity``
    The owner of the folder; written once, as the last step of creating the folder.
``bootstrap``
    The initial replicas, if the folder was created with bootstrap permitted; written
    before the identity.
``log-<sequence>``
    A segment: a header, then one frame per synced batch.  Each batch repeats term
    and vote; the newest batch holds the current ones.  An entry replaces all earlier
    entries from its index on.
``snapshot-<index>``
    Header and chunks; renamed into place once complete.
``synced``
    A hint, not synced itself: the sequence number of the last synced batch.  A log
    that ends before it is corrupt, not torn.
"""

import dataclasses
import enum

from hickoryweir.replicas import messages, wire
from hickoryweir.streams import codec

FORMAT_VERSION = 1
IDENTITY_NAME = "identity"
BOOTSTRAP_NAME = "bootstrap"
SYNCED_NAME = "synced"
LOG_PREFIX = "log-"
SNAPSHOT_PREFIX = "snapshot-"
TEMPORARY_SUFFIX = ".tmp"
FIXED_SALT = 0x68577265


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Owner of a data folder.

    `incarnation` is random and never reused.  `inode_number` is the inode number of
    the identity file itself.  It differs in a restored copy, which is refused because
    it may lack entries that the member has acknowledged.
    """

    format_version: int
    cluster_id: str
    group: str
    replica_name: str
    incarnation: str
    inode_number: int

    @property
    def member_id(self) -> str:
        """Return the member id."""
        return messages.make_member_id(self.replica_name, self.incarnation)


@dataclasses.dataclass(frozen=True, slots=True)
class Bootstrap:
    """Permission to bootstrap a cluster with these replicas."""

    replicas: tuple[wire.ReplicaAddress, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentHeader:
    """First frame of a segment; `salt` is that of the frames after it."""

    format_version: int
    member_id: str
    first_sequence: int
    salt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Entries written with one sync.

    `reset_index` above 0 means that the log was replaced by the snapshot at that index.
    """

    term: int
    voted_for: str
    entries: tuple[messages.Entry, ...]
    reset_index: int = 0
    reset_term: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotHeader:
    """First frame of a snapshot file."""

    format_version: int
    member_id: str
    index: int
    term: int
    membership: messages.Membership
    time_s: float
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Synced:
    """The last batch known to be durable."""

    sequence: int


for _tag, _cls in (
    ("rf.identity", Identity),
    ("rf.bootstrap", Bootstrap),
    ("rf.segment", SegmentHeader),
    ("rf.batch", Batch),
    ("rf.snapshot", SnapshotHeader),
    ("rf.synced", Synced),
):
    codec.register(_tag, _cls)


class Problem(enum.StrEnum):
    """Kind of a storage failure."""

    DAMAGED = "damaged"
    MISSING = "missing"
    FOREIGN = "foreign"
    COPIED = "copied"
    UNKNOWN_FORMAT = "unknown_format"
    INPUT_OUTPUT = "input_output"


@dataclasses.dataclass(frozen=True, slots=True)
class StorageFailure:
    """An unusable data folder, or a failed write."""

    problem: Problem
    path: str
    detail: str


def segment_name(first_sequence: int) -> str:
    """Return the file name of a segment.

    Examples
    --------
    >>> segment_name(42)
    'log-0000000000000042'
    """
    return f"{LOG_PREFIX}{first_sequence:016d}"


def snapshot_name(index: int) -> str:
    """Return the file name of a snapshot."""
    return f"{SNAPSHOT_PREFIX}{index:016d}"
