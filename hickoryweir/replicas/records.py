"""What stands in the files of a data folder.

``identity``
    Who the folder belongs to; written once, last, when the folder is made.
``log-<sequence>``
    A segment: a header, then one frame per synced batch.  Each batch repeats term
    and vote, so the newest one tells them.  An entry replaces whatever the log held
    from its index on.
``snapshot-<index>``
    Header, chunks and an end mark; renamed into place when it is whole.
``synced``
    A hint, not synced itself: the sequence number of the last batch that was.  If
    the log ends before it, the end is damage and not a torn write.
"""

import dataclasses
import enum

from hickoryweir.replicas import messages
from hickoryweir.streams import codec

FORMAT_VERSION = 1
IDENTITY_NAME = "identity"
SYNCED_NAME = "synced"
LOG_PREFIX = "log-"
SNAPSHOT_PREFIX = "snapshot-"
TEMPORARY_SUFFIX = ".tmp"
FIXED_SALT = 0x68577265


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Whose folder it is.

    `incarnation` is random and never used twice.  `file_number` is the inode number
    of this very file: in a copy that was put back it differs, and what a copy lacks
    had perhaps been acknowledged.
    """

    format_version: int
    cluster_id: str
    group: str
    replica_name: str
    incarnation: str
    inode_number: int

    @property
    def member_id(self) -> str:
        """Return name and incarnation as one id."""
        return messages.make_member_id(self.replica_name, self.incarnation)


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentHeader:
    """First frame of a segment; later frames use its salt."""

    format_version: int
    member_id: str
    first_sequence: int
    salt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """One synced write.

    `reset_index` above 0 says that the log was given up for the snapshot there.
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
    ("rf.segment", SegmentHeader),
    ("rf.batch", Batch),
    ("rf.snapshot", SnapshotHeader),
    ("rf.synced", Synced),
):
    codec.register(_tag, _cls)


class Problem(enum.StrEnum):
    """What is wrong with a data folder."""

    DAMAGED = "damaged"
    MISSING = "missing"
    FOREIGN = "foreign"
    COPIED = "copied"
    UNKNOWN_FORMAT = "unknown_format"
    INPUT_OUTPUT = "input_output"


@dataclasses.dataclass(frozen=True, slots=True)
class StorageFailure:
    """A folder that can't be used, or a write that failed."""

    problem: Problem
    path: str
    detail: str


def segment_name(first_sequence: int) -> str:
    """Return the name of a segment.

    Examples
    --------
    >>> segment_name(42)
    'log-0000000000000042'
    """
    return f"{LOG_PREFIX}{first_sequence:016d}"


def snapshot_name(index: int) -> str:
    """Return the name of a snapshot."""
    return f"{SNAPSHOT_PREFIX}{index:016d}"
