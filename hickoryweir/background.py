"""Background tasks that an unexpected error does not end."""

import asyncio
from collections.abc import Awaitable, Callable

from hickoryweir.observability import logs

RESTART_AFTER_S = 0.2
MAX_LOGGED_LENGTH = 200


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run `work` until it returns, and again after each unexpected error.

    Nobody awaits a task that runs as long as its process, so that without this its end
    would go unnoticed.

    Parameters
    ----------
    name : str
        Names the work in the log.
    work : callable
        ``await work()`` does the work.
    """
    while True:
        try:
            await work()
            return
        except (Exception, asyncio.CancelledError) as error:
            # Without a request to cancel this task, something it awaits was cancelled.
            if asyncio.current_task().cancelling():
                raise
            reason = f"{name}: {error!r}"[:MAX_LOGGED_LENGTH]
            logs.error("background task restarts", logs.Fields(reason=reason))
        await asyncio.sleep(RESTART_AFTER_S)
