"""The replica's file of crash evidence under losses and failures of its disk."""

import asyncio
import dataclasses

from hickoryweir.feeds import evidence, evidence_file, losses, messages
from hickoryweir.forwarding_policy import crash_counts, crashing_parts
from hickoryweir.replicas import files as file_operations
from hickoryweir.testing import waiting

WAIT_S = 5.0


def make_state():
    state = crashing_parts.CrashingParts()
    for number in range(3):
        crash = crashing_parts.Crash(f"s{number}", 100.0 + number)
        crashing_parts.record_loss(state, "llm", ("all", "bad"), number, crash)
    crashing_parts.update_blocked(state)
    return state


def make_content():
    state = make_state()
    return evidence.make_messages(state, evidence.shared_keys(state), 104.0)


class Feed:
    """Stands in for a publisher."""

    def __init__(self):
        self.suspect_parts = crashing_parts.CrashingParts()
        self.crashes = crash_counts.CrashCounts()
        self.on_evidence = None

    def restore(self, found):
        """Merge the content of the file."""
        for message in found:
            evidence.merge(self.suspect_parts, message, 1_000.0)


def blocked_after_load(folder):
    state = crashing_parts.CrashingParts()
    for message in evidence_file.load(file_operations.make_files(), str(folder)):
        evidence.merge(state, message, 1_000.0)
    crashing_parts.update_blocked(state)
    return set(state.blocked)


def test_saved_evidence_blocks_the_same_parts(tmp_path):
    evidence_file.save(file_operations.make_files(), str(tmp_path), make_content())
    assert blocked_after_load(tmp_path) == {"bad"}


def test_saved_losses_of_equal_requests_are_known_again(tmp_path):
    counts = crash_counts.CrashCounts()
    for server_id in ("a", "b", "c"):
        crash_counts.record_loss(counts, 7, server_id, 100.0)
    content = losses.make_messages(counts, 101.0)
    evidence_file.save(file_operations.make_files(), str(tmp_path), content)
    found = crash_counts.CrashCounts()
    for message in evidence_file.load(file_operations.make_files(), str(tmp_path)):
        losses.record_lost(found, message, 1_000.0)
    assert crash_counts.is_blocked(found, 7, 1_000.0)


def test_requests_that_were_lost_once_are_not_saved():
    counts = crash_counts.CrashCounts()
    for request, server_id in ((7, "a"), (7, "b"), (8, "a")):
        crash_counts.record_loss(counts, request, server_id, 100.0)
    saved = losses.make_messages(counts, 101.0, losses.MIN_SAVED_LOSSES_COUNT)
    assert {message.fingerprints for message in saved} == {(7,)}
    once, twice = (messages.RequestsLost("a", (request,), 1.0) for request in (8, 7))
    assert not losses.are_worth_saving(counts, once)
    assert losses.are_worth_saving(counts, twice)


def test_missing_and_damaged_files_hold_no_evidence(tmp_path):
    assert blocked_after_load(tmp_path) == set()
    evidence_file.save(file_operations.make_files(), str(tmp_path), make_content())
    path = tmp_path / evidence_file.FILE_NAME
    path.write_bytes(path.read_bytes()[:-1])
    assert blocked_after_load(tmp_path) == set()


def test_evidence_is_saved_once_a_failing_disk_works_again(tmp_path, monkeypatch):
    monkeypatch.setattr(evidence_file, "RETRY_INTERVAL_S", 0.01)
    failures = []

    def fail_twice(path):
        if len(failures) < 2:
            failures.append(path)
            raise OSError("no space left")
        return working.create(path)

    working = file_operations.make_files()
    failing = dataclasses.replace(working, create=fail_twice)

    async def main():
        feed = Feed()
        keeper = evidence_file.EvidenceFile(failing, str(tmp_path), feed)
        task = asyncio.create_task(keeper.run())
        feed.suspect_parts = make_state()
        feed.on_evidence()
        path = tmp_path / evidence_file.FILE_NAME
        await waiting.wait_until(path.exists, WAIT_S)
        task.cancel()

    asyncio.run(main())
    assert len(failures) == 2
    assert blocked_after_load(tmp_path) == {"bad"}


def test_content_that_cannot_be_merged_or_encoded_does_not_end_the_replica(
    tmp_path, monkeypatch
):
    # A task that ends by an exception ends the replica's process, at each start anew.
    monkeypatch.setattr(evidence_file, "RETRY_INTERVAL_S", 0.01)
    evidence_file.save(file_operations.make_files(), str(tmp_path), make_content())
    path, refused = tmp_path / evidence_file.FILE_NAME, []
    absurd = [messages.RequestsLost("a", (1 << 64,), 0.0)]

    class AbsurdFeed(Feed):
        def restore(self, found):
            refused.append(found)
            raise ValueError("absurd")

    def make_absurd_once(*given):
        return absurd if len(refused) == 1 and not refused.append(given) else []

    async def main():
        feed = AbsurdFeed()
        files = file_operations.make_files()
        keeper = evidence_file.EvidenceFile(files, str(tmp_path), feed)
        task = asyncio.create_task(keeper.run())
        await waiting.wait_until(lambda: refused or task.done(), WAIT_S)
        path.unlink()
        monkeypatch.setattr(losses, "make_messages", make_absurd_once)
        feed.suspect_parts = make_state()
        feed.on_evidence()
        await waiting.wait_until(lambda: path.exists() or task.done(), WAIT_S)
        assert not task.done()
        task.cancel()

    asyncio.run(main())
    assert len(refused) == 2
    assert blocked_after_load(tmp_path) == {"bad"}
