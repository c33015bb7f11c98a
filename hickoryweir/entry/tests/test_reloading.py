"""Settings files that change under a running process."""

import asyncio
import dataclasses

import pytest

from hickoryweir.entry import own_formats, reloading, router, settings
from hickoryweir.policy import retry_budget
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
FEWER = TEXT.replace("extra_count = 10", "extra_count = 3")


@pytest.fixture
def watched(tmp_path):
    path = tmp_path / "router.ini"
    path.write_text(TEXT)
    taken = []
    given = settings.load(path).unwrap()
    return path, reloading.Watcher(path, given, taken.append), taken


def test_change_is_taken_once_two_looks_agree(watched):
    path, watcher, taken = watched
    path.write_text(FEWER)
    watcher.look()
    assert taken == []
    watcher.look()
    assert [given.retries.extra_count for given in taken] == [3]
    watcher.look()
    assert len(taken) == 1


def test_change_is_taken_at_once_at_a_signal(watched):
    path, watcher, taken = watched
    path.write_text(FEWER)
    watcher.look(is_whole=True)
    assert watcher.given.retries.extra_count == 3
    assert taken == [watcher.given]


def test_file_that_is_being_written_is_not_taken(watched):
    path, watcher, taken = watched
    for length in (40, 120, 180):
        path.write_text(FEWER[:length])
        watcher.look()
    path.write_text(FEWER)
    watcher.look()
    watcher.look()
    assert [given.retries.extra_count for given in taken] == [3]


@pytest.mark.parametrize("text", ["", "[process]", TEXT + "[retries]\nunknown = 1\n"])
def test_settings_with_problems_leave_those_in_force(watched, text):
    path, watcher, taken = watched
    before = watcher.given
    path.write_text(text)
    watcher.look(is_whole=True)
    assert (watcher.given, taken) == (before, [])


def test_missing_file_leaves_the_settings_and_its_return_is_taken(watched):
    path, watcher, taken = watched
    path.unlink()
    watcher.look()
    watcher.look()
    assert taken == []
    path.write_text(FEWER)
    watcher.look(is_whole=True)
    assert len(taken) == 1


def test_what_needs_a_start_is_named_and_not_put_in_force(watched):
    path, watcher, taken = watched
    path.write_text(FEWER.replace("peer_port = 7000", "peer_port = 7001"))
    change = reloading.compare(watcher.given, settings.load(path).unwrap())
    assert change.live == ("retries.extra_count",)
    assert change.fixed == ("process.peer_port",)
    watcher.look(is_whole=True)
    assert watcher.given.process.peer_port == 7000
    assert watcher.given.retries.extra_count == 3


def test_watcher_looks_by_itself_and_at_a_signal(watched, monkeypatch):
    path, watcher, taken = watched
    monkeypatch.setattr(reloading, "LOOK_INTERVAL_S", 0.01)

    async def main():
        task = asyncio.create_task(watcher.run())
        path.write_text(FEWER)
        await waiting.wait_until(lambda: len(taken) >= 1, TIMEOUT_S)
        path.write_text(TEXT)
        watcher.signalled.set()
        await waiting.wait_until(lambda: len(taken) >= 2, TIMEOUT_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())
    assert [given.retries.extra_count for given in taken] == [3, 10]


def test_router_follows_new_seeds_and_keeps_what_its_budget_has_counted(watched):
    path, _, _ = watched
    given = settings.load(path).unwrap()
    changed = dataclasses.replace(
        given,
        process=dataclasses.replace(given.process, seeds=("10.0.0.9:1",)),
        retries=settings.Retries(0.0, 10.0, 5),
    )

    async def main():
        made = router.Router(given, own_formats.make_adapters())
        budget = retry_budget.Budget(made.forwarder.settings.budget)
        made.forwarder.budgets["app"] = budget
        assert [retry_budget.try_acquire(budget, 1, 0.0) for _ in range(5)] == [
            True
        ] * 5
        made.take_settings(changed)
        assert not retry_budget.try_acquire(budget, 1, 0.0)
        assert made.forwarder.settings.budget.extra_count == 5
        followed = set(made._subscriber._tasks)
        for task in made._subscriber._tasks.values():
            task.cancel()
        await asyncio.gather(*made._subscriber._tasks.values(), return_exceptions=True)
        await made._close()
        return followed

    assert asyncio.run(main()) == {"10.0.0.9:7000"}
