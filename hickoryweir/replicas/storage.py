"""Durable state of one replica in one data folder.

Functions here block; :mod:`~hickoryweir.replicas.disk` runs them outside the event
loop.  After a failed write or sync nothing more is written: the content of the file is
then unknown, and the replica must neither vote nor acknowledge until restarted.
"""

import dataclasses
import os
import secrets
import zlib

from returns import result

from hickoryweir.replicas import files as file_operations
from hickoryweir.replicas import frames, messages, records, recovery, wire
from hickoryweir.streams import codec

MAX_SEGMENT_SIZE_BYTES = 8 * 1024 * 1024
SNAPSHOT_CHUNK_SIZE_BYTES = 1024 * 1024
INCARNATION_SIZE_BYTES = 8


@dataclasses.dataclass(slots=True)
class Storage:
    """An open data folder.

    Attributes
    ----------
    sync_count : int
        Number of syncs of the log since the folder was opened.
    written_size_bytes : int
        Bytes appended to the log since the folder was opened.
    """

    files: file_operations.Files
    folder: str
    identity: records.Identity
    segments: list[recovery.Segment]
    handle: object
    next_sequence: int
    failure: records.StorageFailure | None = None
    sync_count: int = 0
    written_size_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedFolder:
    """An open data folder and its recovered content."""

    storage: Storage
    recovered: recovery.Recovered


def open_folder(
    files: file_operations.Files,
    folder: str,
    cluster_id: str,
    group: str,
    replica_name: str,
    make_token=secrets.token_hex,
    detects_copies: bool = True,
    initial_replicas: tuple[wire.ReplicaAddress, ...] = (),
) -> result.Result[OpenedFolder, records.StorageFailure]:
    """Open a data folder; an empty one is initialized with a new incarnation.

    Parameters
    ----------
    files : files.Files
        File operations.
    folder : str
        Path of the folder.
    cluster_id, group, replica_name : str
        Expected owner of the folder.
    make_token : callable, optional
        Returns random hexadecimal text of the given number of bytes.
    detects_copies : bool, optional
        Whether a folder whose identity file has another inode number than when it was
        written is refused as a copy; off for file systems that change inode numbers.
    initial_replicas : tuple of wire.ReplicaAddress, optional
        Stored in a new folder, as the permission to bootstrap a cluster with them.

    Returns
    -------
    Result
        The open folder, or why it can't be used; then the folder is unchanged.
    """
    try:
        files.make_folder(folder)
        known = recovery.read_identity(files, folder)
        if isinstance(known, result.Failure):
            return known
        wanted = (cluster_id, group, replica_name)
        identity = known.unwrap()
        if identity is None:
            incarnation = make_token(INCARNATION_SIZE_BYTES)
            identity = records.Identity(records.FORMAT_VERSION, *wanted, incarnation, 0)
            if initial_replicas:
                permission = codec.encode(records.Bootstrap(initial_replicas))
                write_atomically(files, folder, records.BOOTSTRAP_NAME, [permission])
            _make_folder(files, folder, identity, make_token)
        elif (identity.cluster_id, identity.group, identity.replica_name) != wanted:
            return result.Failure(_make_foreign_failure(folder, identity))
        elif detects_copies and recovery.is_copy(files, folder, identity):
            return result.Failure(
                records.StorageFailure(
                    records.Problem.COPIED,
                    folder,
                    "inode number of the identity file differs; the folder is a copy",
                )
            )
        return recovery.recover(files, folder).map(
            lambda found: _open_recovered(files, folder, found)
        )
    except OSError as error:
        return result.Failure(_io_failure(folder, error))


def append(
    storage: Storage, batch: records.Batch
) -> result.Result[None, records.StorageFailure]:
    """Write a batch and return once it is durable."""
    if storage.failure is not None:
        return result.Failure(storage.failure)
    try:
        _append(storage, batch)
        if storage.segments[-1].size_bytes > MAX_SEGMENT_SIZE_BYTES:
            _rotate(storage, batch)
    except OSError as error:
        return _fail(storage, error)
    return result.Success(None)


def save_snapshot(
    storage: Storage, snapshot: messages.Snapshot
) -> result.Result[None, records.StorageFailure]:
    """Write a snapshot durably and atomically."""
    if storage.failure is not None:
        return result.Failure(storage.failure)
    header = records.SnapshotHeader(
        records.FORMAT_VERSION,
        storage.identity.member_id,
        snapshot.index,
        snapshot.term,
        snapshot.membership,
        snapshot.time_s,
        len(snapshot.data),
    )
    chunks = [
        snapshot.data[offset : offset + SNAPSHOT_CHUNK_SIZE_BYTES]
        for offset in range(0, len(snapshot.data), SNAPSHOT_CHUNK_SIZE_BYTES)
    ]
    bodies = [codec.encode(header), *chunks]
    try:
        name = records.snapshot_name(snapshot.index)
        write_atomically(storage.files, storage.folder, name, bodies)
    except OSError as error:
        return _fail(storage, error)
    return result.Success(None)


def compact(
    storage: Storage, index: int, batch: records.Batch
) -> result.Result[None, records.StorageFailure]:
    """Remove older snapshots and the segments that end at or before `index`.

    Parameters
    ----------
    storage : Storage
        The open folder; a snapshot at `index` or later is durable in it.
    index : int
        Index of the last entry that is no longer needed.
    batch : records.Batch
        Term and vote, written at the start of the next segment.
    """
    if storage.failure is not None:
        return result.Failure(storage.failure)
    try:
        _rotate(storage, batch)
        _remove_segments(storage, index)
        _remove_snapshots(storage)
    except OSError as error:
        return _fail(storage, error)
    return result.Success(None)


def close(storage: Storage) -> None:
    """Close the folder."""
    storage.files.close(storage.handle)


def _fail(storage: Storage, error: OSError) -> result.Result:
    storage.failure = _io_failure(storage.folder, error)
    return result.Failure(storage.failure)


def _io_failure(path: str, error: OSError) -> records.StorageFailure:
    return records.StorageFailure(records.Problem.INPUT_OUTPUT, path, str(error))


def _make_foreign_failure(
    folder: str, identity: records.Identity
) -> records.StorageFailure:
    owner = f"{identity.cluster_id}/{identity.group}/{identity.replica_name}"
    return records.StorageFailure(
        records.Problem.FOREIGN, folder, f"data folder belongs to {owner}"
    )


def _make_folder(
    files: file_operations.Files, folder: str, identity: records.Identity, make_token
) -> None:
    for name in files.list_names(folder):
        if name.startswith(records.LOG_PREFIX):
            files.remove(os.path.join(folder, name))
    salt = int(make_token(4), 16)
    handle, _ = _make_segment(files, folder, identity, 1, salt, b"")
    files.close(handle)
    _write_identity(files, folder, identity)


def _write_identity(
    files: file_operations.Files, folder: str, identity: records.Identity
) -> None:
    path = os.path.join(folder, records.IDENTITY_NAME)
    temporary_path = path + records.TEMPORARY_SUFFIX
    handle = files.create(temporary_path)
    inode_number = files.inode_number(temporary_path)
    numbered = dataclasses.replace(identity, inode_number=inode_number)
    body = codec.encode(numbered)
    files.append(handle, frames.make_frame(0, body, records.FIXED_SALT))
    files.sync(handle)
    files.close(handle)
    files.rename(temporary_path, path)
    files.sync_folder(folder)


def write_atomically(
    files: file_operations.Files, folder: str, name: str, bodies: list[bytes]
) -> None:
    """Replace a file by frames with the given bodies, and sync it.

    Raises
    ------
    OSError
        The file can't be written.
    """
    path = os.path.join(folder, name)
    temporary_path = path + records.TEMPORARY_SUFFIX
    handle = files.create(temporary_path)
    try:
        for sequence, body in enumerate(bodies):
            files.append(handle, frames.make_frame(sequence, body, records.FIXED_SALT))
        files.sync(handle)
    finally:
        files.close(handle)
    files.rename(temporary_path, path)
    files.sync_folder(folder)


def _make_segment(
    files: file_operations.Files,
    folder: str,
    identity: records.Identity,
    first_sequence: int,
    salt: int,
    first_frames: bytes,
) -> tuple[object, recovery.Segment]:
    header = records.SegmentHeader(
        records.FORMAT_VERSION, identity.member_id, first_sequence, salt
    )
    name = records.segment_name(first_sequence)
    path = os.path.join(folder, name)
    data = frames.make_frame(0, codec.encode(header), records.FIXED_SALT)
    data += first_frames
    handle = files.create(path + records.TEMPORARY_SUFFIX)
    files.append(handle, data)
    files.sync(handle)
    files.rename(path + records.TEMPORARY_SUFFIX, path)
    files.sync_folder(folder)
    return handle, recovery.Segment(name, first_sequence, salt, len(data))


def _open_recovered(
    files: file_operations.Files, folder: str, found: recovery.Recovered
) -> OpenedFolder:
    for name in files.list_names(folder):
        if name.endswith(records.TEMPORARY_SUFFIX):
            files.remove(os.path.join(folder, name))
    segment = found.segments[-1]
    handle = files.reopen(os.path.join(folder, segment.name), segment.size_bytes)
    files.sync(handle)
    # A process that was killed, or whose sync was refused, leaves names that are in
    # force but not durable; what is acknowledged from now on depends on them.
    files.sync_folder(folder)
    segments = list(found.segments)
    opened = Storage(
        files, folder, found.identity, segments, handle, found.next_sequence
    )
    if found.log_is_stale:
        _append(opened, _make_reset(found))
    return OpenedFolder(opened, found)


def _make_reset(found: recovery.Recovered) -> records.Batch:
    snapshot = found.snapshot
    return records.Batch(found.term, found.voted_for, (), snapshot.index, snapshot.term)


def _append(storage: Storage, batch: records.Batch) -> None:
    segment = storage.segments[-1]
    data = frames.make_frame(storage.next_sequence, codec.encode(batch), segment.salt)
    storage.files.append(storage.handle, data)
    storage.files.sync(storage.handle)
    storage.sync_count += 1
    storage.written_size_bytes += len(data)
    segment.size_bytes += len(data)
    if batch.entries:
        segment.last_index = max(segment.last_index, batch.entries[-1].index)
    _write_synced_hint(storage)
    storage.next_sequence += 1


def _write_synced_hint(storage: Storage) -> None:
    body = codec.encode(records.Synced(storage.next_sequence))
    data = frames.make_frame(0, body, records.FIXED_SALT)
    path = os.path.join(storage.folder, records.SYNCED_NAME)
    storage.files.overwrite(path, data)


def _rotate(storage: Storage, batch: records.Batch) -> None:
    sequence = storage.next_sequence
    salt = zlib.crc32(str(sequence).encode(), storage.segments[-1].salt)
    state_only = records.Batch(batch.term, batch.voted_for, ())
    frame = frames.make_frame(sequence, codec.encode(state_only), salt)
    handle, segment = _make_segment(
        storage.files, storage.folder, storage.identity, sequence, salt, frame
    )
    storage.files.close(storage.handle)
    storage.handle = handle
    storage.segments.append(segment)
    storage.next_sequence += 1


def _remove_segments(storage: Storage, index: int) -> None:
    while len(storage.segments) > 1 and storage.segments[0].last_index <= index:
        segment = storage.segments.pop(0)
        storage.files.remove(os.path.join(storage.folder, segment.name))
        # Without a sync per removal, a crash could persist removals in any order and
        # leave a gap between segments.
        storage.files.sync_folder(storage.folder)


def _remove_snapshots(storage: Storage) -> None:
    names = [
        name
        for name in storage.files.list_names(storage.folder)
        if name.startswith(records.SNAPSHOT_PREFIX)
    ]
    for name in sorted(names)[:-1]:
        storage.files.remove(os.path.join(storage.folder, name))
