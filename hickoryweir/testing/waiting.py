"""Wait in tests for a condition that other tasks bring about."""

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.01


async def wait_until(condition: Callable[[], object], timeout_s: float) -> None:
    """Return once `condition()` holds.

    Raises
    ------
    TimeoutError
        The condition does not hold within `timeout_s`.
    """
    async with asyncio.timeout(timeout_s):
        while True:
            if condition():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
