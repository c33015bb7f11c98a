"""File operations of the storage layer, as replaceable functions.

Storage uses the file system only through these, so a test can count writes and
syncs, fail at any of them and lose unsynced data.  Operations raise
:class:`OSError`.
"""

import dataclasses
import os
from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Files:
    """File operations; `create` and `reopen` return an opaque handle.

    Attributes
    ----------
    make_folder : callable
        ``make_folder(path)`` creates missing folders durably; does nothing if the
        folder exists.
    list_names : callable
        ``list_names(folder)`` returns the names in a folder, sorted.
    read : callable
        ``read(path)`` returns the whole content.
    create : callable
        ``create(path)`` returns a handle on a new, empty file.
    reopen : callable
        ``reopen(path, size_bytes)`` truncates the file and returns a handle at its
        end.
    append : callable
        ``append(handle, data)`` writes all of `data`.
    inode_number : callable
        ``inode_number(path)`` returns the file's inode number; it differs in a copy.
    sync : callable
        ``sync(handle)`` returns once the content is durable.
    close : callable
        ``close(handle)``.
    overwrite : callable
        ``overwrite(path, data)`` without a sync; for hints only.
    rename, remove : callable
        ``rename(old_path, new_path)`` and ``remove(path)``.
    sync_folder : callable
        ``sync_folder(path)`` makes the folder's names durable.
    """

    make_folder: Callable
    list_names: Callable
    read: Callable
    create: Callable
    reopen: Callable
    append: Callable
    inode_number: Callable
    sync: Callable
    close: Callable
    overwrite: Callable
    rename: Callable
    remove: Callable
    sync_folder: Callable


def make_files() -> Files:
    """Return the operations of the real file system."""
    return Files(
        make_folder=_make_folder,
        list_names=lambda folder: tuple(sorted(os.listdir(folder))),
        read=_read,
        create=_create,
        reopen=_reopen,
        append=_append,
        inode_number=lambda path: os.stat(path).st_ino,
        sync=os.fsync,
        close=os.close,
        overwrite=_overwrite,
        rename=os.rename,
        remove=os.remove,
        sync_folder=_sync_folder,
    )


def _make_folder(path: str) -> None:
    if os.path.isdir(path):
        return
    parent = os.path.dirname(os.path.abspath(path))
    _make_folder(parent)
    os.makedirs(path, mode=0o700, exist_ok=True)
    _sync_folder(parent)


def _read(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read()


def _create(path: str) -> int:
    return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)


def _reopen(path: str, size_bytes: int) -> int:
    handle = os.open(path, os.O_WRONLY | os.O_CLOEXEC)
    os.ftruncate(handle, size_bytes)
    os.lseek(handle, 0, os.SEEK_END)
    return handle


def _append(handle: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(handle, view) :]


def _overwrite(path: str, data: bytes) -> None:
    handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        os.pwrite(handle, data, 0)
    finally:
        os.close(handle)


def _sync_folder(path: str) -> None:
    handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
