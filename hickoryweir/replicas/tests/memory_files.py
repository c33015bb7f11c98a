"""An in-memory file system that loses unsynced data in a crash and injects failures."""

import dataclasses
import itertools
import os

from hickoryweir.replicas import files


@dataclasses.dataclass(slots=True)
class Inode:
    """Content as written, and content as of the last sync."""

    content: bytearray = dataclasses.field(default_factory=bytearray)
    synced: bytes = b""
    inode_number: int = dataclasses.field(default_factory=itertools.count(1).__next__)


class MemoryFiles:
    """One file system.

    After `fail_after_count` modifying operations each further one raises OSError; None
    for never.
    """

    def __init__(self):
        self.names = {}
        self.synced_names = {}
        self.operation_count = 0
        self.fail_after_count = None

    def _change(self):
        self.operation_count += 1
        limit = self.fail_after_count
        if limit is not None and self.operation_count > limit:
            raise OSError(28, "no space left on device")

    def copy(self):
        """Return a copy of the file system as it is now, all of it synced."""
        other = MemoryFiles()
        other.names = {
            name: Inode(bytearray(inode.content), inode.synced, inode.inode_number)
            for name, inode in self.names.items()
        }
        other.synced_names = dict(other.names)
        return other

    def crash(self, random):
        """Lose a random part of the unsynced data, as a power failure would."""
        names = {}
        for name in sorted(self.names.keys() | self.synced_names.keys()):
            options = [self.synced_names.get(name), self.names.get(name)]
            chosen = random.choice(options)
            if chosen is not None:
                names[name] = chosen
        for inode in names.values():
            inode.content = self._torn(inode, random)
            inode.synced = bytes(inode.content)
        self.names = names
        self.synced_names = dict(names)
        self.fail_after_count = None

    def _torn(self, inode, random):
        synced = inode.synced
        if bytes(inode.content[: len(synced)]) != synced:
            return bytearray(random.choice([synced, bytes(inode.content)]))
        tail = bytearray(inode.content[len(synced) :])
        del tail[random.randint(0, len(tail)) :]
        if tail and random.random() < 0.5:
            tail[random.randrange(len(tail))] ^= 0xFF
        return bytearray(synced) + tail

    def make_files(self):
        """Return the file operations."""
        return files.Files(
            make_folder=lambda path: None,
            list_names=self._list_names,
            read=lambda path: bytes(self.names[path].content),
            create=self._create,
            reopen=self._reopen,
            append=self._append,
            inode_number=lambda path: self.names[path].inode_number,
            sync=self._sync,
            close=lambda handle: None,
            overwrite=self._overwrite,
            rename=self._rename,
            remove=self._remove,
            sync_folder=self._sync_folder,
        )

    def _list_names(self, folder):
        paths = [path for path in self.names if os.path.dirname(path) == folder]
        return tuple(sorted(os.path.basename(path) for path in paths))

    def _create(self, path):
        self._change()
        self.names[path] = Inode()
        return self.names[path]

    def _reopen(self, path, size_bytes):
        self._change()
        inode = self.names[path]
        del inode.content[size_bytes:]
        return inode

    def _append(self, inode, data):
        self._change()
        inode.content.extend(data)

    def _sync(self, inode):
        self._change()
        inode.synced = bytes(inode.content)

    def _overwrite(self, path, data):
        self._change()
        inode = self.names.setdefault(path, Inode())
        inode.content[:] = data

    def _rename(self, old_path, new_path):
        self._change()
        self.names[new_path] = self.names.pop(old_path)

    def _remove(self, path):
        self._change()
        del self.names[path]

    def _sync_folder(self, folder):
        self._change()
        self.synced_names = dict(self.names)
