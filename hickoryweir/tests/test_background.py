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
