"""Settings files that change while a process runs."""

import asyncio
import dataclasses

import pytest

from hickoryweir.entry import own_formats, reloading, router, settings
from hickoryweir.forwarding_policy import retry_budget
from hickoryweir.testing import waiting

TIMEOUT_S = 30.0
TEXT = """
[process]
role = router
host = 127.0.0.1
availability_zone = a
peer_port = 7000
seeds = 10.0.0.1:1, 10.0.0.2:1

[ports]

[replica]

[discovery]

[retries]
extra_count = 10

[shutdown]
grace_s = 8
"""
FEWER_RETRIES = TEXT.replace("extra_count = 10", "extra_count = 3")


@pytest.fixture
def watched_file(tmp_path):
    path = tmp_path / "router.ini"
    path.write_text(TEXT)
    applied_settings = []
    entry_settings = settings.load(path).unwrap()
    return (
        path,
        reloading.Watcher(path, entry_settings, applied_settings.append),
        applied_settings,
    )


def test_change_is_applied_after_two_identical_reads(watched_file):
    path, watcher, applied_settings = watched_file
    path.write_text(FEWER_RETRIES)
    watcher.check()
    assert applied_settings == []
    watcher.check()
    assert [
        entry_settings.retries.extra_count for entry_settings in applied_settings
    ] == [3]
    watcher.check()
    assert len(applied_settings) == 1


def test_signal_applies_a_change_immediately(watched_file):
    path, watcher, applied_settings = watched_file
    path.write_text(FEWER_RETRIES)
    watcher.check(is_complete=True)
    assert watcher.entry_settings.retries.extra_count == 3
    assert applied_settings == [watcher.entry_settings]


def test_partially_written_file_is_not_applied(watched_file):
    path, watcher, applied_settings = watched_file
    for length in (40, 120, 180):
        path.write_text(FEWER_RETRIES[:length])
        watcher.check()
    path.write_text(FEWER_RETRIES)
    watcher.check()
    watcher.check()
    assert [
        entry_settings.retries.extra_count for entry_settings in applied_settings
    ] == [3]


@pytest.mark.parametrize("text", ["", "[process]", TEXT + "[retries]\nunknown = 1\n"])
def test_invalid_settings_leave_the_current_ones_in_force(watched_file, text):
    path, watcher, applied_settings = watched_file
    before = watcher.entry_settings
    path.write_text(text)
    watcher.check(is_complete=True)
    assert (watcher.entry_settings, applied_settings) == (before, [])


def test_settings_survive_a_missing_file_and_reload_when_it_returns(watched_file):
    path, watcher, applied_settings = watched_file
    path.unlink()
    watcher.check()
    watcher.check()
    assert applied_settings == []
    path.write_text(FEWER_RETRIES)
    watcher.check(is_complete=True)
    assert len(applied_settings) == 1


def test_keys_that_need_a_restart_are_reported_and_not_applied(watched_file):
    path, watcher, applied_settings = watched_file
    path.write_text(FEWER_RETRIES.replace("peer_port = 7000", "peer_port = 7001"))
    change = reloading.compare(watcher.entry_settings, settings.load(path).unwrap())
    assert change.applied == ("retries.extra_count",)
    assert change.deferred == ("process.peer_port",)
    watcher.check(is_complete=True)
    assert watcher.entry_settings.process.peer_port == 7000
    assert watcher.entry_settings.retries.extra_count == 3


def test_watcher_checks_periodically_and_on_a_signal(watched_file, monkeypatch):
    path, watcher, applied_settings = watched_file
    monkeypatch.setattr(reloading, "CHECK_INTERVAL_S", 0.01)

    async def main():
        task = asyncio.create_task(watcher.run())
        path.write_text(FEWER_RETRIES)
        await waiting.wait_until(lambda: len(applied_settings) >= 1, TIMEOUT_S)
        path.write_text(TEXT)
        watcher.reload_requested.set()
        await waiting.wait_until(lambda: len(applied_settings) >= 2, TIMEOUT_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())
    assert [
        entry_settings.retries.extra_count for entry_settings in applied_settings
    ] == [3, 10]


def test_router_follows_new_seeds_and_keeps_the_used_retry_budget(watched_file):
    path, _, _ = watched_file
    entry_settings = settings.load(path).unwrap()
    changed = dataclasses.replace(
        entry_settings,
        process=dataclasses.replace(entry_settings.process, seeds=("10.0.0.9:1",)),
        retries=settings.Retries(0.0, 10.0, 5),
    )

    async def main():
        process = router.Router(entry_settings, own_formats.make_adapters())
        budget = retry_budget.Budget(process.forwarder.settings.budget)
        process.forwarder.budgets["app"] = budget
        assert [retry_budget.try_acquire(budget, 1, 0.0) for _ in range(5)] == [
            True
        ] * 5
        process.apply_settings(changed)
        assert not retry_budget.try_acquire(budget, 1, 0.0)
        assert process.forwarder.settings.budget.extra_count == 5
        followed = set(process._subscriber._tasks)
        for task in process._subscriber._tasks.values():
            task.cancel()
        await asyncio.gather(
            *process._subscriber._tasks.values(), return_exceptions=True
        )
        await process._close()
        return followed

    assert asyncio.run(main()) == {"10.0.0.9:7000"}


def test_changes_are_applied_after_one_that_causes_an_error(watched_file):
    path, watcher, _ = watched_file
    attempts = []

    def apply_or_fail(entry_settings):
        attempts.append(entry_settings.retries.extra_count)
        if len(attempts) == 1:
            raise ValueError("first")

    watcher._apply = apply_or_fail

    async def main():
        watching = asyncio.create_task(watcher.run())
        for count in (3, 4):
            path.write_text(TEXT.replace("extra_count = 10", f"extra_count = {count}"))
            watcher.reload_requested.set()
            await waiting.wait_until(
                lambda count=count: attempts[-1:] == [count], TIMEOUT_S
            )
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)

    asyncio.run(main())
    assert attempts == [3, 4]
