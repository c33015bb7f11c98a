"""Slots for measurements that need processors of their own.

Tests that measure rates and latencies of processes disturb each other when many test
workers run them at once.  Their processes may start beside another measurement, but
only one measures at a time.  The locks are files, which the workers share.
"""

import asyncio
import contextlib
import fcntl
import os
import pathlib
import tempfile
import time
from collections.abc import AsyncIterator, Iterator
from typing import TextIO

SLOTS_COUNT = 2
POLL_INTERVAL_S = 0.05


def slot_paths(slots_count: int = SLOTS_COUNT) -> list[pathlib.Path]:
    """Return the lock files of the slots of this user."""
    folder = pathlib.Path(tempfile.gettempdir())
    return [
        folder / f"hickoryweir-processors-{os.getuid()}-{number}"
        for number in range(slots_count)
    ]


@contextlib.contextmanager
def hold(slots_count: int = SLOTS_COUNT) -> Iterator[int]:
    """Wait for a slot, and hold it; yield its number.

    Examples
    --------
    >>> with hold(SLOTS_COUNT) as number:
    ...     0 <= number < SLOTS_COUNT
    True
    """
    with contextlib.ExitStack() as stack:
        paths = slot_paths(slots_count)
        files = [stack.enter_context(path.open("a")) for path in paths]
        while (number := _lock_one(files)) is None:
            time.sleep(POLL_INTERVAL_S)
        # Closing the file releases the lock.
        yield number


def measuring_path() -> pathlib.Path:
    """Return the lock file of the measurement in progress of this user."""
    name = f"hickoryweir-measuring-{os.getuid()}"
    return pathlib.Path(tempfile.gettempdir()) / name


@contextlib.asynccontextmanager
async def measure_alone() -> AsyncIterator[None]:
    """Wait until no other measurement is in progress; the event loop goes on."""
    with measuring_path().open("a") as file:
        # Closing the file releases the lock.
        await asyncio.to_thread(fcntl.flock, file, fcntl.LOCK_EX)
        yield


def _lock_one(files: list[TextIO]) -> int | None:
    """Lock one of the files; return its number, None if others hold all locks."""
    for number, file in enumerate(files):
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            continue
        return number
    return None
