"""Replacement of a lost replica, in the order that keeps the most fault tolerance.

The new replica first catches up as a learner, then the lost one is removed, then the
learner is promoted.  Between the last two steps the group has one voter fewer and
tolerates as many further losses as with the lost voter counted in; the number of live
replicas needed for a quorum never grows.

A voter that stops as planned may never return, and the next disk may be lost as soon as
its successor has caught up.  So it waits until a learner has taken its place.
"""

import asyncio

from returns import result

from hickoryweir.replicas import client, messages, quorums, wire
from hickoryweir.replicas import state as states

RETRY_INTERVAL_S = 0.05
# A change takes milliseconds; a learner that has just started needs up to a second.
HAND_OVER_TIMEOUT_S = 2.0
# Bounds the wait for a leader of an earlier version, which does not answer.
HAND_OVER_ATTEMPT_S = 0.3
ALREADY_MEMBER = states.ChangeRefusal.ALREADY_MEMBER.value
UNKNOWN_MEMBER = states.ChangeRefusal.UNKNOWN_MEMBER.value
TEMPORARY_REFUSALS = (
    states.ChangeRefusal.NOT_CAUGHT_UP.value,
    states.ChangeRefusal.NO_QUORUM.value,
    states.ChangeRefusal.CHANGE_IN_PROGRESS.value,
    states.ChangeRefusal.TERM_NOT_COMMITTED.value,
    states.ChangeRefusal.TRANSFER_IN_PROGRESS.value,
)

Outcome = result.Result[str, client.Unavailable]


async def replace(
    log: client.Client, lost_id: str, replica: wire.ReplicaAddress, timeout_s: float
) -> Outcome:
    """Replace a lost member by a replica with an empty folder.

    May be called again after a failure; completed steps are skipped.

    Parameters
    ----------
    log : client.Client
        Client of the replicated log.
    lost_id : str
        Member id of the lost replica.
    replica : wire.ReplicaAddress
        The new replica, running with an empty folder.  It may have the lost one's name.
    timeout_s : float
        Time limit of each step.

    Returns
    -------
    Result
        Empty text if the replacement is complete, else the reason of a refusal.
    """
    outcome = await log.add_learner(replica, timeout_s)
    if outcome.value_or(ALREADY_MEMBER) not in ("", ALREADY_MEMBER):
        return outcome
    learner_id = await _wait_until_caught_up(log, replica.name, lost_id, timeout_s)
    if learner_id is None:
        reason = client.Reason.TIMED_OUT
        return result.Failure(client.Unavailable(reason, True, RETRY_INTERVAL_S))
    removed = await _retry(lambda: log.remove(lost_id, timeout_s), timeout_s)
    if removed.value_or("unavailable") not in ("", UNKNOWN_MEMBER):
        return removed
    return await promote_caught_up(log, learner_id, timeout_s)


async def promote_caught_up(
    log: client.Client, member_id: str, timeout_s: float
) -> Outcome:
    """Promote a learner to voter once it has caught up."""
    return await _retry(lambda: log.promote(member_id, timeout_s), timeout_s)


async def hand_over_vote(
    log: client.Client,
    state: states.State,
    voters_wanted_count: int,
    timeout_s: float = HAND_OVER_TIMEOUT_S,
) -> None:
    """Let a learner take the place of a voter that is about to stop.

    Returns at once without further members, and after `timeout_s` at the latest.

    Parameters
    ----------
    log : client.Client
        Client of the replicated log.
    state : state.State
        The state of this replica, which does not lead.
    voters_wanted_count : int
        Number of voters that the leader maintains.
    timeout_s : float, optional
        Time limit.
    """
    has_others = len(state.membership.members) > voters_wanted_count
    if not quorums.is_voter(state) or not has_others:
        return
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while (left_s := deadline_s - loop.time()) > 0:
        attempt_s = min(HAND_OVER_ATTEMPT_S, left_s)
        outcome = await log.leave(state.member_id, attempt_s)
        if outcome.value_or("unavailable") == "":
            return
        await asyncio.sleep(RETRY_INTERVAL_S)


async def members(log: client.Client) -> tuple[wire.MemberStatus, ...]:
    """Return the members as the leader sees them; empty without a leader."""
    statuses = await log.status()
    leading = [status for status in statuses if status.leader_id == status.member_id]
    if not leading:
        return ()
    return max(leading, key=lambda status: status.term).members


async def _retry(step, timeout_s: float) -> Outcome:
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        outcome = await step()
        is_temporary = outcome.value_or("") in TEMPORARY_REFUSALS
        if not is_temporary or loop.time() > deadline_s:
            return outcome
        await asyncio.sleep(RETRY_INTERVAL_S)


async def _wait_until_caught_up(
    log: client.Client, name: str, lost_id: str, timeout_s: float
) -> str | None:
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while loop.time() < deadline_s:
        for status in await members(log):
            member_id = status.member.member_id
            is_new = member_id != lost_id and status.caught_up
            if is_new and messages.replica_name_of(member_id) == name:
                return member_id
        await asyncio.sleep(RETRY_INTERVAL_S)
    return None
