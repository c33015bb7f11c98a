"""Storage under crashes, corruption and failed writes."""

import os
import random
import shutil

import pytest
from returns import result

from hickoryweir.replicas import files, inspect, messages, records, storage, wire
from hickoryweir.replicas.tests import memory_files

FOLDER = "/data"
KIND = messages.EntryKind.COMMAND
REPLICAS = tuple(wire.ReplicaAddress(name, "h", 1, "z") for name in "ab")
MEMBERSHIP = messages.Membership((messages.Member("a~1", "h:1", "z", True),))


def open_folder(memory, name="a", cluster_id="north"):
    return storage.open_folder(
        memory.make_files(), FOLDER, cluster_id, "", name, make_token
    )


def open_with_permission(memory, replicas=()):
    return storage.open_folder(
        memory.make_files(),
        FOLDER,
        "north",
        "",
        "a",
        make_token,
        initial_replicas=replicas,
    )


def make_token(size_bytes):
    return "5a" * size_bytes


def make_batch(first_index, count=1, term=1, payload=b"x"):
    entries = tuple(
        messages.Entry(first_index + offset, term, KIND, 0.0, payload)
        for offset in range(count)
    )
    return records.Batch(term, "a~1", entries)


def make_filled(count=5):
    memory = memory_files.MemoryFiles()
    opened = open_folder(memory).unwrap().storage
    for index in range(1, count + 1):
        storage.append(opened, make_batch(index)).unwrap()
    return memory, opened


def entries_in(memory):
    return open_folder(memory).unwrap().recovered.entries


def log_inode(memory, position=0):
    names = sorted(name for name in memory.names if records.LOG_PREFIX in name)
    return memory.names[names[position]]


def test_entries_and_vote_survive_a_restart():
    memory, _ = make_filled()
    found = open_folder(memory).unwrap().recovered
    assert (len(found.entries), found.term, found.voted_for) == (5, 1, "a~1")


def test_later_entry_replaces_the_tail():
    memory, opened = make_filled()
    storage.append(opened, make_batch(3, term=2)).unwrap()
    assert [entry.term for entry in entries_in(memory)] == [1, 1, 2]


def test_torn_tail_is_truncated():
    memory, opened = make_filled()
    size_bytes = len(log_inode(memory).content)
    opened.files.append(opened.handle, b"hWfR half a frame")
    assert len(entries_in(memory)) == 5
    assert len(log_inode(memory).content) == size_bytes


def test_corruption_before_the_last_batch_is_an_error():
    memory, _ = make_filled()
    content = log_inode(memory).content
    content[len(content) // 2] ^= 0xFF
    failure = open_folder(memory).failure()
    assert failure.problem is records.Problem.DAMAGED


def test_corrupt_synced_batch_is_not_taken_for_a_torn_write():
    memory, _ = make_filled()
    log_inode(memory).content[-1] ^= 0xFF
    failure = open_folder(memory).failure()
    assert failure.problem is records.Problem.DAMAGED


def test_damaged_folder_is_left_unchanged():
    memory, _ = make_filled()
    log_inode(memory).content[-1] ^= 0xFF
    before = bytes(log_inode(memory).content)
    open_folder(memory)
    assert bytes(log_inode(memory).content) == before


def test_missing_segment_is_an_error():
    memory, opened = make_filled()
    storage._rotate(opened, make_batch(5))
    storage.append(opened, make_batch(6)).unwrap()
    del memory.names[f"{FOLDER}/{records.segment_name(1)}"]
    assert open_folder(memory).failure().problem is records.Problem.MISSING


def test_lost_identity_does_not_create_a_new_member():
    memory, _ = make_filled()
    del memory.names[f"{FOLDER}/{records.IDENTITY_NAME}"]
    assert open_folder(memory).failure().problem is records.Problem.MISSING


def test_changed_inode_numbers_are_accepted_without_copy_detection(tmp_path):
    original, copy = tmp_path / "original", tmp_path / "copy"
    operations = files.make_files()
    wanted = ("north", "", "a")
    storage.close(
        storage.open_folder(operations, str(original), *wanted).unwrap().storage
    )
    shutil.copytree(original, copy)
    opened = storage.open_folder(
        operations, str(copy), *wanted, detects_copies=False
    ).unwrap()
    storage.close(opened.storage)


def test_copy_of_a_folder_is_refused(tmp_path):
    original, copy = tmp_path / "original", tmp_path / "copy"
    operations = files.make_files()
    wanted = ("north", "", "a")
    storage.open_folder(operations, str(original), *wanted).unwrap()
    shutil.copytree(original, copy)
    failure = storage.open_folder(operations, str(copy), *wanted).failure()
    assert failure.problem is records.Problem.COPIED


@pytest.mark.parametrize(("name", "cluster_id"), [("b", "north"), ("a", "south")])
def test_folder_of_another_replica_or_cluster_is_refused(name, cluster_id):
    memory, _ = make_filled()
    failure = open_folder(memory, name, cluster_id).failure()
    assert failure.problem is records.Problem.FOREIGN


def test_no_write_follows_a_failed_write():
    memory, opened = make_filled()
    memory.fail_after_count = memory.operation_count
    assert isinstance(storage.append(opened, make_batch(6)), result.Failure)
    memory.fail_after_count = None
    assert isinstance(storage.append(opened, make_batch(6)), result.Failure)


def test_snapshot_replaces_the_log_before_it():
    memory, opened = make_filled()
    snapshot = messages.Snapshot(5, 1, MEMBERSHIP, 0.0, b"state")
    storage.save_snapshot(opened, snapshot).unwrap()
    storage.compact(opened, 5, make_batch(5)).unwrap()
    storage.append(opened, make_batch(6)).unwrap()
    found = open_folder(memory).unwrap().recovered
    assert found.snapshot == snapshot
    assert [entry.index for entry in found.entries] == [6]
    assert len(found.segments) == 1


def test_crash_before_a_received_snapshot_resets_the_log_leaves_it_usable():
    memory, opened = make_filled()
    snapshot = messages.Snapshot(10, 2, MEMBERSHIP, 0.0, b"state")
    storage.save_snapshot(opened, snapshot).unwrap()
    memory.crash(random.Random(1))
    restarted = open_folder(memory).unwrap().storage
    storage.append(restarted, make_batch(11, term=2)).unwrap()
    assert [entry.index for entry in entries_in(memory)] == [11]


@pytest.mark.parametrize("limit", range(12))
def test_crash_while_segments_are_removed_leaves_no_gap(limit):
    for seed in range(8):
        memory, opened = make_filled(3)
        for index in (4, 5, 6):
            storage.compact(opened, 0, make_batch(3)).unwrap()
            storage.append(opened, make_batch(index)).unwrap()
        snapshot = messages.Snapshot(6, 1, MEMBERSHIP, 0.0, b"state")
        storage.save_snapshot(opened, snapshot).unwrap()
        memory.fail_after_count = memory.operation_count + limit
        storage.compact(opened, 6, make_batch(6))
        memory.crash(random.Random(seed))
        assert open_folder(memory).unwrap().recovered.snapshot == snapshot


def test_entries_replaced_across_removed_segments_leave_the_folder_usable():
    memory, opened = make_filled(5)
    storage.compact(opened, 0, make_batch(5)).unwrap()
    storage.append(opened, make_batch(6, 3)).unwrap()
    storage.append(opened, make_batch(5, 6, term=2)).unwrap()
    snapshot = messages.Snapshot(8, 2, MEMBERSHIP, 0.0, b"state")
    storage.save_snapshot(opened, snapshot).unwrap()
    storage.compact(opened, 6, make_batch(10, term=2)).unwrap()
    found = open_folder(memory).unwrap().recovered
    assert len(found.segments) == 2
    assert [(entry.index, entry.term) for entry in found.entries] == [(9, 2), (10, 2)]


def test_log_without_its_snapshot_is_an_error():
    memory, opened = make_filled()
    snapshot = messages.Snapshot(5, 1, MEMBERSHIP, 0.0, b"state")
    storage.save_snapshot(opened, snapshot).unwrap()
    storage.compact(opened, 5, make_batch(5)).unwrap()
    storage.append(opened, make_batch(6)).unwrap()
    del memory.names[f"{FOLDER}/{records.snapshot_name(5)}"]
    assert open_folder(memory).failure().problem is records.Problem.MISSING


def test_damaged_snapshot_is_an_error():
    memory, opened = make_filled()
    snapshot = messages.Snapshot(4, 1, MEMBERSHIP, 0.0, b"state")
    storage.save_snapshot(opened, snapshot).unwrap()
    memory.names[f"{FOLDER}/{records.snapshot_name(4)}"].content[-1] ^= 0xFF
    assert open_folder(memory).failure().problem is records.Problem.DAMAGED


def write_everything(memory, acknowledged):
    """Write until an operation fails; record the last index acknowledged so far."""
    outcome = open_folder(memory)
    if isinstance(outcome, result.Failure):
        return
    opened = outcome.unwrap().storage
    snapshot = messages.Snapshot(4, 1, MEMBERSHIP, 0.0, b"state")
    steps = [
        (5, lambda: storage.append(opened, make_batch(1, 5))),
        (6, lambda: storage.append(opened, make_batch(6))),
        (6, lambda: storage.save_snapshot(opened, snapshot)),
        (6, lambda: storage.compact(opened, 3, make_batch(6))),
        (7, lambda: storage.append(opened, make_batch(7))),
        (7, lambda: storage.compact(opened, 4, make_batch(7))),
        (8, lambda: storage.append(opened, make_batch(8))),
    ]
    for last_index, step in steps:
        if isinstance(step(), result.Failure):
            return
        acknowledged.append(last_index)


def count_operations():
    memory = memory_files.MemoryFiles()
    write_everything(memory, [])
    return memory.operation_count


@pytest.mark.parametrize("limit", range(count_operations()))
def test_crash_at_each_operation_keeps_acknowledged_entries(limit):
    for seed in range(8):
        memory = memory_files.MemoryFiles()
        memory.fail_after_count = limit
        acknowledged = [0]
        write_everything(memory, acknowledged)
        memory.crash(random.Random(seed))
        found = open_folder(memory).unwrap().recovered
        last_index = found.base_index + len(found.entries)
        assert last_index >= acknowledged[-1]


@pytest.mark.parametrize("limit", range(count_operations()))
def test_entries_acknowledged_after_a_kill_survive_a_loss_of_power(limit):
    for seed in range(8):
        memory = memory_files.MemoryFiles()
        memory.fail_after_count = limit
        write_everything(memory, [])
        # A killed process leaves its files as they were, synced or not.
        memory.fail_after_count = None
        opened = open_folder(memory).unwrap()
        last_index = opened.recovered.base_index + len(opened.recovered.entries) + 1
        storage.append(opened.storage, make_batch(last_index)).unwrap()
        memory.crash(random.Random(seed))
        found = open_folder(memory).unwrap().recovered
        assert found.base_index + len(found.entries) >= last_index


@pytest.mark.parametrize("limit", range(20))
def test_member_whose_folder_was_created_with_permission_to_bootstrap_keeps_it(limit):
    for seed in range(8):
        memory = memory_files.MemoryFiles()
        memory.fail_after_count = limit
        created = open_with_permission(memory, REPLICAS)
        memory.crash(random.Random(seed))
        found = open_with_permission(memory).unwrap().recovered
        if isinstance(created, result.Success):
            assert found.initial_replicas == REPLICAS
        found = open_with_permission(memory, REPLICAS[::-1]).unwrap().recovered
        assert found.initial_replicas in ((), REPLICAS)


def test_report_shows_the_folder_contents():
    memory, _ = make_filled()
    report = inspect.check_folder(FOLDER, memory.make_files())
    assert (report.failure, report.last_index, report.term) == (None, 5, 1)


def test_report_shows_the_failure():
    memory, _ = make_filled()
    log_inode(memory).content[-1] ^= 0xFF
    report = inspect.check_folder(FOLDER, memory.make_files())
    assert report.failure.problem is records.Problem.DAMAGED


def test_names_of_new_folders_survive_a_loss_of_power(tmp_path, monkeypatch):
    synced = set()
    sync = os.fsync

    def record(handle):
        synced.add(os.fstat(handle).st_ino)
        sync(handle)

    monkeypatch.setattr(os, "fsync", record)
    files.make_files().make_folder(str(tmp_path / "state" / "replica"))
    assert synced == {item.stat().st_ino for item in (tmp_path, tmp_path / "state")}
