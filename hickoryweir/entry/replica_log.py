"""Log lines on the state of a replica: its role, its leader and the table it serves.

With them an operator can tell a table that was never committed from one that was
committed late, lost with a disk, or not yet applied by a replica after a restart.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from hickoryweir.observability import logs
from hickoryweir.replicas import messages
from hickoryweir.replicas import state as states

# At most ten lines a second, however often the state changes.
CHECK_INTERVAL_S = 0.1
# Shows which replicas are silent during a long election, at one line a second.
WITHOUT_LEADER_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """What a replica's state lines contain.

    A line is due when leader, table or members change; the rest changes all the time.

    Attributes
    ----------
    heard_from : tuple of str
        Names of the replicas heard from since the last pre-vote began.
    """

    leader: str
    table_version: int
    members: tuple[str, ...]
    role: str = dataclasses.field(compare=False)
    term: int = dataclasses.field(compare=False)
    commit_index: int = dataclasses.field(compare=False)
    applied_index: int = dataclasses.field(compare=False)
    heard_from: tuple[str, ...] = dataclasses.field(compare=False)


def summarize(state: states.State, table_version: int) -> Summary:
    """Return the summary of a core's state and the version of its applied table."""
    heard_from = {messages.replica_name_of(member) for member in state.heard_from_ids}
    return Summary(
        leader=state.leader_id,
        table_version=table_version,
        members=tuple(
            member.member_id if member.voter else f"{member.member_id} (learner)"
            for member in state.membership.members
        ),
        role=state.role.value,
        term=state.term,
        commit_index=state.commit_index,
        applied_index=state.applied_index,
        heard_from=tuple(sorted(heard_from)),
    )


def make_fields(summary: Summary) -> logs.Fields:
    """Return the fields of a line."""
    detail = f"{summary.role} in term {summary.term}, "
    if not summary.leader:
        # Before the members, as long lines are cut where logs are collected.
        detail += f"heard from: {' '.join(summary.heard_from) or 'none'}, "
    detail += (
        f"committed {summary.commit_index}, applied {summary.applied_index}, "
        f"members: {', '.join(summary.members) or 'none'}"
    )
    return logs.Fields(
        reason="leader known" if summary.leader else "no leader",
        peer=summary.leader or None,
        version=summary.table_version,
        detail=detail,
    )


def is_due(summary: Summary, logged: Summary | None, since_s: float) -> bool:
    """Return whether to log a summary `since_s` after the line on `logged`."""
    is_repeated = not summary.leader and since_s >= WITHOUT_LEADER_INTERVAL_S
    return summary != logged or is_repeated


async def log_changes(get_summary: Callable[[], Summary | None]) -> None:
    """Log each change of the state, and a state without a leader repeatedly.

    Parameters
    ----------
    get_summary : callable
        Returns the current summary; None while the data folder is not open.
    """
    loop = asyncio.get_running_loop()
    logged, logged_at_s = None, 0.0
    while True:
        summary = get_summary()
        since_s = loop.time() - logged_at_s
        if summary is not None and is_due(summary, logged, since_s):
            logged, logged_at_s = summary, loop.time()
            logs.info("state of the replica", make_fields(summary))
        await asyncio.sleep(CHECK_INTERVAL_S)
