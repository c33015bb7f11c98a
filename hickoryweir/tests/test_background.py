"""Background tasks after unexpected errors."""

import asyncio

from hickoryweir import background


def test_background_work_goes_on_after_an_unexpected_error():
    calls = []

    async def work():
        calls.append(len(calls))
        if len(calls) == 1:
            raise ValueError("unexpected")

    asyncio.run(background.keep_running("work", work))
    assert calls == [0, 1]


def test_background_work_goes_on_after_something_it_awaits_was_cancelled():
    calls = []

    async def work():
        calls.append(len(calls))
        if len(calls) == 1:
            awaited = asyncio.get_running_loop().create_future()
            awaited.cancel()
            await awaited

    asyncio.run(background.keep_running("work", work))
    assert calls == [0, 1]


def test_background_work_ends_when_it_is_cancelled():
    async def main():
        task = asyncio.create_task(
            background.keep_running("work", asyncio.Event().wait)
        )
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return task.cancelled()

    assert asyncio.run(main())
