"""Recovery of a data folder: reads its files and detects torn writes and corruption."""

import dataclasses
import os

from returns import result

from hickoryweir.replicas import files as file_operations
from hickoryweir.replicas import frames, messages, records, wire
from hickoryweir.streams import codec

# Term of the last entry before the oldest segment.
UNKNOWN_TERM = -1


@dataclasses.dataclass(slots=True)
class Segment:
    """A segment of the log; `size_bytes` excludes a torn end."""

    name: str
    first_sequence: int
    salt: int
    size_bytes: int
    last_index: int = 0


@dataclasses.dataclass(slots=True)
class Recovered:
    """The content of a data folder.

    `log_is_stale` means that the log ends before the snapshot or conflicts with it: a
    received snapshot was stored, and a crash came before the log was reset.
    `initial_replicas` is empty unless the folder was created with bootstrap permitted.
    """

    identity: records.Identity
    initial_replicas: tuple[wire.ReplicaAddress, ...] = ()
    term: int = 0
    voted_for: str = ""
    snapshot: messages.Snapshot | None = None
    base_index: int = 0
    base_term: int = 0
    entries: list[messages.Entry] = dataclasses.field(default_factory=list)
    segments: list[Segment] = dataclasses.field(default_factory=list)
    next_sequence: int = 1
    torn_size_bytes: int = 0
    torn_segment: str = ""
    log_is_stale: bool = False


class _RecoveryError(Exception):
    """Carries a failure out of nested functions; never leaves this module."""

    def __init__(self, failure: records.StorageFailure) -> None:
        super().__init__(failure)
        self.failure = failure


def read_identity(
    files: file_operations.Files, folder: str
) -> result.Result[records.Identity | None, records.StorageFailure]:
    """Return the folder's identity, or None if the folder is empty."""
    try:
        return result.Success(_read_identity(files, folder))
    except _RecoveryError as error:
        return result.Failure(error.failure)
    except OSError as error:
        return result.Failure(_io_failure(folder, error))


def is_copy(
    files: file_operations.Files, folder: str, identity: records.Identity
) -> bool:
    """Return whether the folder is a copy, by the identity file's inode number."""
    path = os.path.join(folder, records.IDENTITY_NAME)
    return files.inode_number(path) != identity.inode_number


def recover(
    files: file_operations.Files, folder: str
) -> result.Result[Recovered, records.StorageFailure]:
    """Return the content of a folder with an identity; changes nothing."""
    try:
        return result.Success(_recover(files, folder))
    except _RecoveryError as error:
        return result.Failure(error.failure)
    except OSError as error:
        return result.Failure(_io_failure(folder, error))


def newest_membership(found: Recovered) -> messages.Membership:
    """Return the newest membership in a folder; empty if it has none."""
    for entry in reversed(found.entries):
        if entry.kind is messages.EntryKind.MEMBERSHIP:
            return codec.decode(entry.payload).unwrap()
    if found.snapshot is not None:
        return found.snapshot.membership
    return messages.Membership(())


def _io_failure(path: str, error: OSError) -> records.StorageFailure:
    return records.StorageFailure(records.Problem.INPUT_OUTPUT, path, str(error))


def _fail(problem: records.Problem, path: str, detail: str) -> None:
    raise _RecoveryError(records.StorageFailure(problem, path, detail))


def _read_identity(
    files: file_operations.Files, folder: str
) -> records.Identity | None:
    names = files.list_names(folder)
    path = os.path.join(folder, records.IDENTITY_NAME)
    if records.IDENTITY_NAME not in names:
        if any(_holds_state(files, folder, name) for name in names):
            _fail(
                records.Problem.MISSING,
                path,
                "the folder has state but no identity file",
            )
        return None
    frame = frames.read_frame(files.read(path), 0, records.FIXED_SALT)
    if frame is None:
        _fail(records.Problem.DAMAGED, path, "checksum mismatch")
    return _decode(frame.body, records.Identity, path)


def _holds_state(files: file_operations.Files, folder: str, name: str) -> bool:
    if name.endswith(records.TEMPORARY_SUFFIX):
        return False
    if not name.startswith(records.LOG_PREFIX):
        return name.startswith(records.SNAPSHOT_PREFIX) or name == records.SYNCED_NAME
    data = files.read(os.path.join(folder, name))
    header = frames.read_frame(data, 0, records.FIXED_SALT)
    return header is None or header.end_offset < len(data)


def _recover(files: file_operations.Files, folder: str) -> Recovered:
    identity = _read_identity(files, folder)
    if identity is None:
        _fail(records.Problem.MISSING, folder, "no identity file")
    found = Recovered(identity, _read_initial_replicas(files, folder))
    found.snapshot = _read_snapshot(files, folder, identity)
    _read_segments(files, folder, found)
    _check_synced(files, folder, found)
    _merge_snapshot(folder, found)
    return found


def _decode(body: bytes, cls: type, path: str) -> object:
    message = codec.decode(body).value_or(None)
    if not isinstance(message, cls):
        _fail(records.Problem.UNKNOWN_FORMAT, path, f"not a {cls.__name__} record")
    version = getattr(message, "format_version", records.FORMAT_VERSION)
    if version != records.FORMAT_VERSION:
        _fail(records.Problem.UNKNOWN_FORMAT, path, f"unknown format version {version}")
    return message


def _read_initial_replicas(
    files: file_operations.Files, folder: str
) -> tuple[wire.ReplicaAddress, ...]:
    if records.BOOTSTRAP_NAME not in files.list_names(folder):
        return ()
    path = os.path.join(folder, records.BOOTSTRAP_NAME)
    frame = frames.read_frame(files.read(path), 0, records.FIXED_SALT)
    if frame is None:
        _fail(records.Problem.DAMAGED, path, "checksum mismatch")
    return _decode(frame.body, records.Bootstrap, path).replicas


def _read_snapshot(
    files: file_operations.Files, folder: str, identity: records.Identity
) -> messages.Snapshot | None:
    names = [
        name
        for name in files.list_names(folder)
        if name.startswith(records.SNAPSHOT_PREFIX)
        and not name.endswith(records.TEMPORARY_SUFFIX)
    ]
    if not names:
        return None
    path = os.path.join(folder, max(names))
    scan = frames.scan(files.read(path), 0, records.FIXED_SALT)
    if scan.ending is not frames.Ending.CLEAN or not scan.frames:
        _fail(records.Problem.DAMAGED, path, "snapshot is incomplete or corrupt")
    header = _decode(scan.frames[0].body, records.SnapshotHeader, path)
    if header.member_id != identity.member_id:
        _fail(records.Problem.FOREIGN, path, f"file was written by {header.member_id}")
    data = b"".join(frame.body for frame in scan.frames[1:])
    if len(data) != header.size_bytes:
        _fail(records.Problem.DAMAGED, path, "snapshot is incomplete or corrupt")
    return messages.Snapshot(
        header.index, header.term, header.membership, header.time_s, data
    )


def _read_segments(files: file_operations.Files, folder: str, found: Recovered) -> None:
    names = [
        name
        for name in files.list_names(folder)
        if name.startswith(records.LOG_PREFIX)
        and not name.endswith(records.TEMPORARY_SUFFIX)
    ]
    if not names:
        _fail(records.Problem.MISSING, folder, "no log segment")
    for position, name in enumerate(names):
        last = position == len(names) - 1
        _read_segment(files, folder, name, last, found)


def _read_segment(
    files: file_operations.Files, folder: str, name: str, last: bool, found: Recovered
) -> None:
    path = os.path.join(folder, name)
    data = files.read(path)
    first = frames.read_frame(data, 0, records.FIXED_SALT)
    if first is None:
        _fail(records.Problem.DAMAGED, path, "segment header is corrupt")
    header = _decode(first.body, records.SegmentHeader, path)
    if header.member_id != found.identity.member_id:
        _fail(records.Problem.FOREIGN, path, f"file was written by {header.member_id}")
    if found.segments and header.first_sequence != found.next_sequence:
        _fail(records.Problem.MISSING, path, "the segment before this one is missing")
    scan = frames.scan(data, first.end_offset, header.salt)
    _check_ending(path, scan, last)
    found.next_sequence = header.first_sequence
    segment = Segment(name, header.first_sequence, header.salt, scan.end_offset)
    found.segments.append(segment)
    for frame in scan.frames:
        _replay_batch(path, frame, segment, found)
    if scan.ending is frames.Ending.TORN:
        found.torn_size_bytes = len(data) - scan.end_offset
        found.torn_segment = name


def _check_ending(path: str, scan: frames.Scan, last: bool) -> None:
    if scan.ending is frames.Ending.DAMAGED:
        detail = f"corrupt at offset {scan.end_offset}, valid frames follow"
        _fail(records.Problem.DAMAGED, path, detail)
    if scan.ending is frames.Ending.TORN and not last:
        detail = f"corrupt at offset {scan.end_offset}, a later segment follows"
        _fail(records.Problem.DAMAGED, path, detail)


def _replay_batch(
    path: str, frame: frames.Frame, segment: Segment, found: Recovered
) -> None:
    if frame.sequence != found.next_sequence:
        _fail(
            records.Problem.DAMAGED, path, f"batch {frame.sequence} is out of sequence"
        )
    batch = _decode(frame.body, records.Batch, path)
    found.next_sequence += 1
    found.term = batch.term
    found.voted_for = batch.voted_for
    if batch.reset_index:
        found.entries.clear()
        found.base_index = batch.reset_index
        found.base_term = batch.reset_term
    if batch.entries:
        _replay_entries(path, batch.entries, found)
        segment.last_index = max(segment.last_index, batch.entries[-1].index)


def _replay_entries(
    path: str, entries: tuple[messages.Entry, ...], found: Recovered
) -> None:
    first_index = entries[0].index
    is_first = not found.entries and not found.base_index and first_index > 1
    # A later batch may replace entries of an earlier segment that has been removed.
    is_lower = found.base_term == UNKNOWN_TERM and first_index <= found.base_index
    if is_first or is_lower:
        found.entries.clear()
        found.base_index = first_index - 1
        found.base_term = UNKNOWN_TERM
    keep_count = first_index - found.base_index - 1
    if not 0 <= keep_count <= len(found.entries):
        _fail(
            records.Problem.MISSING, path, f"gap in the log before entry {first_index}"
        )
    del found.entries[keep_count:]
    found.entries.extend(entries)


def _check_synced(files: file_operations.Files, folder: str, found: Recovered) -> None:
    path = os.path.join(folder, records.SYNCED_NAME)
    if records.SYNCED_NAME not in files.list_names(folder):
        return
    frame = frames.read_frame(files.read(path), 0, records.FIXED_SALT)
    if frame is None:
        return
    synced = _decode(frame.body, records.Synced, path)
    if synced.sequence >= found.next_sequence:
        detail = f"batch {synced.sequence} was synced, but the log ends before it"
        _fail(records.Problem.DAMAGED, folder, detail)


def _merge_snapshot(folder: str, found: Recovered) -> None:
    snapshot = found.snapshot
    if snapshot is None:
        if found.base_index:
            _fail(records.Problem.MISSING, folder, "the snapshot is missing")
        return
    if found.base_index > snapshot.index:
        _fail(records.Problem.MISSING, folder, "the newest snapshot is missing")
    if _term_at(found, snapshot.index) not in (snapshot.term, UNKNOWN_TERM):
        found.entries.clear()
        found.log_is_stale = True
    keep_from = snapshot.index - found.base_index
    found.entries = found.entries[keep_from:]
    found.base_index = snapshot.index
    found.base_term = snapshot.term


def _term_at(found: Recovered, index: int) -> int | None:
    if index == found.base_index:
        return found.base_term
    position = index - found.base_index - 1
    if position < len(found.entries):
        return found.entries[position].term
    return None
