"""Slots that test workers share."""

import asyncio
import threading

from hickoryweir.testing import processor_slots


def test_no_more_measurements_run_at_once_than_there_are_slots(tmp_path, monkeypatch):
    """Guards against measurements that take each other's processors."""
    monkeypatch.setattr(
        processor_slots,
        "slot_paths",
        lambda slots_count: [tmp_path / str(number) for number in range(slots_count)],
    )
    entered, most_count = [], 0
    both_wait, lock = threading.Event(), threading.Lock()

    def run():
        nonlocal most_count
        with processor_slots.hold(2) as number:
            with lock:
                entered.append(number)
                most_count = max(most_count, len(entered))
            both_wait.wait(0.2)
            with lock:
                entered.remove(number)

    threads = [threading.Thread(target=run) for _ in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert most_count == 2


def test_measurements_wait_for_each_other_without_stopping_the_event_loop(
    tmp_path, monkeypatch
):
    """Guards against rates that another measurement lowers."""
    monkeypatch.setattr(
        processor_slots, "measuring_path", lambda: tmp_path / "measuring"
    )
    measuring_count, seen_counts = 0, []

    async def measure():
        nonlocal measuring_count
        async with processor_slots.measure_alone():
            measuring_count += 1
            await asyncio.sleep(0.1)
            seen_counts.append(measuring_count)
            measuring_count -= 1

    async def main():
        async with asyncio.timeout(5.0):
            await asyncio.gather(*(measure() for _ in range(4)))

    asyncio.run(main())
    assert seen_counts == [1] * 4
