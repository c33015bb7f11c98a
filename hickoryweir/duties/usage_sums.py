"""Sums of the routers' counts of requests, on a replica.

For each process and window the largest count of each account is kept, in an array that
is indexed by the account.  With 1,404 routers, 350 accounts and 17 windows this takes
34 MB at most.

Examples
--------
>>> state = State()
>>> window = messages.WindowCounts(200, (messages.AccountCount("a", 3),))
>>> for process_id in ("p1", "p2", "p2"):
...     add(state, messages.UsageCounts(process_id, 0.0, 201, (window,)), 9.0)
>>> sum_window(state, 200)
(AccountCount(account_name='a', requests_count=6),)
>>> waits_for(state, 200, 9.0), waits_for(state, 201, 9.0)
(0, 2)
"""

import array
import dataclasses

from hickoryweir.feeds import messages

MAX_PROCESSES_COUNT = 4096
MAX_ACCOUNTS_COUNT = 2048
MAX_WINDOWS_COUNT = 24
# The largest value of an element of the arrays.
MAX_COUNT = 0xFFFF_FFFF
# Longer than a partition after which a router's counts still come in time.
HEARD_LATELY_S = 30.0


@dataclasses.dataclass(slots=True)
class Process:
    """What a router's process has reported.

    Attributes
    ----------
    open_window : int
        The window that it counts in; earlier ones are complete.
    counts : dict
        Counts by window, indexed by account.
    """

    heard_at_s: float
    open_window: int = 0
    counts: dict[int, array.array] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class State:
    """Reports of all processes, and the index of each account."""

    processes: dict[str, Process] = dataclasses.field(default_factory=dict)
    account_indices: dict[str, int] = dataclasses.field(default_factory=dict)


def add(state: State, message: messages.UsageCounts, now_s: float) -> None:
    """Add a message; counts that are not larger than known ones have no effect."""
    process = state.processes.pop(message.process_id, None) or Process(now_s)
    # Re-inserted, so that the process that was silent for longest comes first.
    state.processes[message.process_id] = process
    if len(state.processes) > MAX_PROCESSES_COUNT:
        del state.processes[next(iter(state.processes))]
    process.heard_at_s = now_s
    process.open_window = message.open_window
    for window in message.windows:
        _add_window(state, process, window)


def _add_window(state: State, process: Process, window: messages.WindowCounts) -> None:
    counts = process.counts.setdefault(window.window_number, array.array("I"))
    if len(process.counts) > MAX_WINDOWS_COUNT:
        del process.counts[min(process.counts)]
    for account in window.accounts:
        index = _index_of(state, account.account_name)
        if index is None:
            continue
        if index >= len(counts):
            counts.extend([0] * (index + 1 - len(counts)))
        count = min(account.requests_count, MAX_COUNT)
        counts[index] = max(counts[index], count)


def _index_of(state: State, account_name: str) -> int | None:
    if account_name in state.account_indices:
        return state.account_indices[account_name]
    if len(state.account_indices) >= MAX_ACCOUNTS_COUNT:
        _remove_unused_accounts(state)
    if len(state.account_indices) >= MAX_ACCOUNTS_COUNT:
        return None
    state.account_indices[account_name] = len(state.account_indices)
    return state.account_indices[account_name]


def _remove_unused_accounts(state: State) -> None:
    """Renumber the accounts that have requests in any kept window."""
    all_counts = [
        counts
        for process in state.processes.values()
        for counts in process.counts.values()
    ]
    used = {
        index for counts in all_counts for index, count in enumerate(counts) if count
    }
    kept = [
        (name, index) for name, index in state.account_indices.items() if index in used
    ]
    for counts in all_counts:
        moved = [counts[i] if i < len(counts) else 0 for _, i in kept]
        counts[:] = array.array("I", moved)
    state.account_indices = {name: index for index, (name, _) in enumerate(kept)}


def sum_window(state: State, number: int) -> tuple[messages.AccountCount, ...]:
    """Return the requests of a window by account, without accounts that have none."""
    sums = [0] * len(state.account_indices)
    for process in state.processes.values():
        for index, count in enumerate(process.counts.get(number, ())):
            sums[index] += count
    return tuple(
        messages.AccountCount(name, sums[index])
        for name, index in sorted(state.account_indices.items())
        if sums[index]
    )


def waits_for(state: State, number: int, now_s: float) -> int:
    """Return how many processes heard lately have not completed a window."""
    return sum(
        process.open_window <= number
        for process in state.processes.values()
        if now_s - process.heard_at_s <= HEARD_LATELY_S
    )


def first_window(state: State) -> int | None:
    """Return the first window with counts; None if there is none."""
    numbers = [min(each.counts) for each in state.processes.values() if each.counts]
    return min(numbers, default=None)


def remove_before(state: State, number: int) -> None:
    """Remove windows before one, and processes that were silent since."""
    for process_id in list(state.processes):
        process = state.processes[process_id]
        for old in [key for key in process.counts if key < number]:
            del process.counts[old]
        if not process.counts and process.open_window < number:
            del state.processes[process_id]
