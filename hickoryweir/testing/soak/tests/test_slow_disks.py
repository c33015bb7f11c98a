"""The soak makes the disk of a replica slow, and sound again."""

import os
import time

from hickoryweir.replicas import files
from hickoryweir.testing import slow_disk_process
from hickoryweir.testing.soak import cluster


def test_each_sync_of_a_replica_is_delayed_while_its_disk_is_slow(
    tmp_path, monkeypatch
):
    delays_s = []
    monkeypatch.setattr(time, "sleep", delays_s.append)
    monkeypatch.setattr(os, "fsync", os.fsync)
    member = cluster.Member("replica", "127.0.0.1", tmp_path)
    slow_disk_process.use_slow_disk(member.sync_delay_path)
    operations = files.make_files()
    handle = operations.create(str(tmp_path / "log"))
    for delay_s in (0.0, 0.8, 0.2, 0.0):
        cluster.delay_syncs(member, delay_s)
        operations.sync(handle)
        operations.sync_folder(str(tmp_path))
    operations.close(handle)
    assert delays_s == [0.0, 0.0, 0.8, 0.8, 0.2, 0.2, 0.0, 0.0]
