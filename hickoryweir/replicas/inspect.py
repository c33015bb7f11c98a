"""Offline, read-only inspection of a data folder.

See Also
--------
hickoryweir.replicas.recovery : The recovery on which it is based.
"""

import dataclasses

from hickoryweir.replicas import files as file_operations
from hickoryweir.replicas import messages, records, recovery


@dataclasses.dataclass(frozen=True, slots=True)
class FolderReport:
    """Content of a data folder, or why it can't be used.

    Attributes
    ----------
    failure : records.StorageFailure or None
        Why a replica would not start from it; the other fields may then be empty.
    member_id, cluster_id, group : str
        Owner of the folder.
    term, voted_for : int, str
        Newest term and vote.
    snapshot_index, first_index, last_index : int
        Last index of the snapshot, and the range of the log after it.
    snapshot_size_bytes, torn_size_bytes : int
        Size of the snapshot, and of a torn end that a start would truncate.
    segments_count : int
        Number of log segments.
    members : tuple of messages.Member
        Members in the newest membership of the folder.
    is_copy : bool
        Whether a replica would refuse the folder because it is a copy.
    """

    path: str
    failure: records.StorageFailure | None = None
    cluster_id: str = ""
    group: str = ""
    member_id: str = ""
    term: int = 0
    voted_for: str = ""
    snapshot_index: int = 0
    snapshot_size_bytes: int = 0
    first_index: int = 0
    last_index: int = 0
    segments_count: int = 0
    torn_size_bytes: int = 0
    members: tuple[messages.Member, ...] = ()
    is_copy: bool = False


def check_folder(path: str, files: file_operations.Files | None = None) -> FolderReport:
    """Read a data folder as a starting replica would and return a report.

    Parameters
    ----------
    path : str
        The data folder.
    files : files.Files, optional
        Replaces the real file system, for tests.
    """
    operations = files or file_operations.make_files()
    outcome = recovery.recover(operations, path)
    found = outcome.value_or(None)
    if found is None:
        return FolderReport(path, outcome.failure())
    is_copy = recovery.is_copy(operations, path, found.identity)
    return dataclasses.replace(_make_report(path, found), is_copy=is_copy)


def _make_report(path: str, found: recovery.Recovered) -> FolderReport:
    snapshot = found.snapshot
    return FolderReport(
        path,
        None,
        found.identity.cluster_id,
        found.identity.group,
        found.identity.member_id,
        found.term,
        found.voted_for,
        0 if snapshot is None else snapshot.index,
        0 if snapshot is None else len(snapshot.data),
        found.base_index + 1,
        found.base_index + len(found.entries),
        len(found.segments),
        found.torn_size_bytes,
        recovery.newest_membership(found).members,
    )
