"""Automatic membership changes: admission, promotion and replacement.

A replica that knows no leader or is not a member asks to be admitted as a learner; the
leader promotes learners and removes lost members.  :func:`next_change` is the
leader's decision, one change at a time; the order of the changes is that of
:mod:`hickoryweir.replicas.replacement`: learner, removal, promotion.  A voter that is
moved between zones has not been lost, so there the promotion comes before the removal,
as it does for a voter that is about to stop.

A replica that joins takes over the vote of an older one as soon as it has caught up,
while both are live.  The older one may be lost for good from then on, at the same
moment as one more disk.  Where availability zones share the votes, it is not known
which replica the newcomer succeeds; there the group votes with two more replicas
instead, as long as enough of them respond.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from hickoryweir.observability import logs
from hickoryweir.replicas import client, membership, messages, quorums, wire
from hickoryweir.replicas import state as states

CHECK_INTERVAL_S = 0.1
# A voter that misses several heartbeats is not counted as responding.
RESPONDS_WITHIN_S = 0.3
# Three election timeouts: a member that merely restarts responds before that.
UNREACHABLE_AFTER_S = 1.5
# An unreachable learner costs only messages; ten seconds are longer than a restart.
LEARNER_REMOVED_AFTER_S = 10.0
# Longer than two elections, so that a replica does not ask for admission during one.
JOIN_AFTER_S = 1.0
# An empty replica takes part in no election; this is longer than the bootstrap takes.
EMPTY_JOIN_AFTER_S = 0.3
JOIN_TIMEOUT_S = 1.0
# A voter that stops asks again before; one that has restarted is a voter like others.
LEAVING_FOR_S = 0.5
YIELD_INTERVAL_S = 0.5
YIELD_TIMEOUT_S = 0.5
# Longer than an attempt that is lost and the next one.
YIELDS_FOR_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class MemberView:
    """A member as seen by the leader.

    Attributes
    ----------
    is_caught_up : bool
        Whether it responds and holds all committed entries.
    since_contact_s : float
        Seconds since the leader last heard from it.
    is_leaving : bool
        Whether it is about to stop.
    yields : bool
        Whether it votes only where others are missing.
    joining_order : int
        Its position in the order of joining.
    """

    member: messages.Member
    is_caught_up: bool
    since_contact_s: float
    is_leaving: bool = False
    yields: bool = False
    joining_order: int = 0


def next_change(
    views: tuple[MemberView, ...], own_id: str, voters_wanted_count: int
) -> wire.ChangeRequest | None:
    """Return the next membership change that the leader should make.

    Handles permanent loss of replicas: a lost voter is removed only while a caught-up
    learner can take its place, so the group never shrinks for a replica that merely
    restarts.  A complete group moves voters out of overrepresented availability zones,
    so that the loss of one zone costs as few voters as possible.  There the learner is
    promoted before the voter is removed: all of them respond, and the larger group
    tolerates as many losses as the complete one, a smaller group would not.  A voter
    that is about to stop is replaced in the same order, since it may never return, and
    the next loss may follow at once.

    A member that yields may be lost beyond the tolerance.  It takes the place of a lost
    voter, and gives it back to one that doesn't yield once that has caught up.  A
    leader that has to be removed lets another voter lead first.

    A learner that counts takes over the vote of an older voter (`_find_superseded`):
    promotion, then demotion, with a transfer before if the older one leads.  A demoted
    voter stays a learner; it is older than its successor, so the vote does not return.

    Parameters
    ----------
    views : tuple of MemberView
        All members, the leader included.
    own_id : str
        The leader's member id.
    voters_wanted_count : int
        Number of voters that tolerates the wanted losses; the group may have two more
        (`_choose_voters_count`).
    """
    voters = [view for view in views if view.member.voter]
    voters_wanted_count = _choose_voters_count(views, voters, voters_wanted_count)
    others = [view for view in voters if view.member.member_id != own_id]
    caught_up = [
        view
        for view in views
        if not view.member.voter and view.is_caught_up and not view.is_leaving
    ]
    unreachable = _find_unreachable_learner(views)
    if unreachable is not None:
        return _change(wire.Change.REMOVE, unreachable.member)
    has_surplus = len(voters) > voters_wanted_count
    if not caught_up and not has_surplus:
        return None
    lost = _find_lost_voter(others, caught_up)
    if lost is not None:
        return _change(wire.Change.REMOVE, lost.member)
    promoted = None
    if has_surplus:
        leaving = _find_surplus_voter(others, voters)
    else:
        promoted, leaving = _choose_promotion(
            others, voters, caught_up, voters_wanted_count
        )
    own = next(view for view in views if view.member.member_id == own_id)
    has_steady = any(not view.yields for view in caught_up)
    has_to_transfer = (own.yields and (has_surplus or has_steady)) or leaving is own
    successor = _find_successor(others) if has_to_transfer else None
    if successor is not None:
        return _change(wire.Change.TRANSFER, successor.member)
    if has_surplus:
        return _reduce_voters(others, voters, leaving)
    if promoted is not None:
        return _change(wire.Change.PROMOTE, promoted.member)
    return None


def _choose_voters_count(
    views: tuple[MemberView, ...], voters: list[MemberView], voters_wanted_count: int
) -> int:
    """Return the number of voters that the group should have at present.

    A replica may be lost for good beside its successor, in addition to the losses that
    `voters_wanted_count` tolerates.  With a zone for each vote it is the one whose vote
    the successor has taken over.  With fewer zones it may be any voter, so the group
    has two voters more if as many members can vote and no zone holds a majority.

    A learner is counted once it has caught up, and in a larger group while it responds.
    Otherwise the group would grow and shrink with the lag of a slow disk.
    """
    has_extra = len(voters) > voters_wanted_count
    zones = [
        view.member.availability_zone
        for view in views
        if view.since_contact_s <= UNREACHABLE_AFTER_S
        and not (view.yields or view.is_leaving)
        and (view.member.voter or view.is_caught_up or has_extra)
    ]
    names = set(zones)
    if len(names) >= voters_wanted_count:
        return voters_wanted_count
    larger_count = voters_wanted_count + 2
    minority_count = larger_count - quorums.majority_count(larger_count)
    available_count = sum(min(zones.count(name), minority_count) for name in names)
    return larger_count if available_count >= larger_count else voters_wanted_count


def _choose_promotion(
    others: list[MemberView],
    voters: list[MemberView],
    caught_up: list[MemberView],
    voters_wanted_count: int,
) -> tuple[MemberView | None, MemberView | None]:
    """Return the learner to promote, and the voter whose vote it takes over, if any."""
    steady = [view for view in caught_up if not view.yields]
    is_incomplete = len(voters) < voters_wanted_count
    leaving = [view for view in others if view.is_leaving]
    gives_back = bool(steady) and _can_give_back(others)
    is_unbalanced = bool(steady) and _is_unbalanced(others, voters, steady)
    if is_incomplete or gives_back or is_unbalanced:
        return _choose_learner(caught_up, voters), None
    lasting = [view for view in caught_up if not _is_superseded(view, voters, leaving)]
    if leaving and lasting:
        return _choose_learner(lasting, voters), None
    superseding = _find_superseding_learner(others, voters, steady)
    if superseding is None:
        return None, None
    return superseding, _find_superseded(superseding, voters)


def _find_lost_voter(
    others: list[MemberView], caught_up: list[MemberView]
) -> MemberView | None:
    names = {messages.replica_name_of(view.member.member_id) for view in caught_up}
    for view in others:
        if messages.replica_name_of(view.member.member_id) in names:
            return view
    unreachable = [
        view for view in others if view.since_contact_s > UNREACHABLE_AFTER_S
    ]
    return max(unreachable, key=lambda view: view.since_contact_s, default=None)


def _find_successor(others: list[MemberView]) -> MemberView | None:
    """Return the voter that should lead instead of the leader, if any."""
    for view in others:
        is_steady = not view.yields and not view.is_leaving
        if view.is_caught_up and is_steady:
            return view
    return None


def _find_superseding_learner(
    others: list[MemberView], voters: list[MemberView], steady: list[MemberView]
) -> MemberView | None:
    """Return a learner that takes over the vote of an older voter, if any.

    Nothing is taken over while two voters lag: the group of one more voter would have
    no quorum without them.  A single one may lag for long, since its disk is slow.
    """
    if not _may_lag([view for view in others if not view.is_caught_up]):
        return None
    for view in sorted(steady, key=lambda view: view.joining_order, reverse=True):
        if _find_superseded(view, voters) is not None:
            return view
    return None


def _may_lag(lagging: list[MemberView]) -> bool:
    """Return whether a vote may be taken over beside voters that lag.

    One may, if it responds: its disk is slow.  A silent one may be lost already.
    """
    return len(lagging) < 2 and all(
        view.since_contact_s < RESPONDS_WITHIN_S for view in lagging
    )


def _is_superseded(
    learner: MemberView, voters: list[MemberView], leaving: list[MemberView]
) -> bool:
    """Return whether a newer voter of its zone has taken over a learner's vote.

    Such a learner may be lost at any time, so it takes the place of no voter that is
    about to stop.  One of its own zone that stops may be the one that was succeeded.
    """
    zone = learner.member.availability_zone
    if any(view.member.availability_zone == zone for view in leaving):
        return False
    return any(
        view.member.availability_zone == zone
        and view.joining_order > learner.joining_order
        for view in voters
    )


def _find_superseded(
    newcomer: MemberView, voters: list[MemberView]
) -> MemberView | None:
    """Return the older voter whose vote a newcomer takes over, if any.

    Which replica will be removed is not known.  A successor usually comes in the same
    availability zone; where the zone has no other voter, it replaces the oldest one of
    a zone with the most voters.
    """
    zone = newcomer.member.availability_zone
    older = [view for view in voters if view.joining_order < newcomer.joining_order]
    near = [view for view in older if view.member.availability_zone == zone]
    if near:
        return min(near, key=lambda view: (view.joining_order, view.member.member_id))
    zones = [view.member.availability_zone for view in voters if view is not newcomer]
    if zone in zones:
        return None
    return max(
        older,
        key=lambda view: (
            zones.count(view.member.availability_zone),
            -view.joining_order,
            view.member.member_id,
        ),
        default=None,
    )


def _can_give_back(others: list[MemberView]) -> bool:
    """Return whether a voter yields while no voter lags.

    As with a move between availability zones, the promotion comes first.
    """
    are_caught_up = all(view.is_caught_up for view in others)
    return are_caught_up and any(view.yields for view in others)


def _find_unreachable_learner(views: tuple[MemberView, ...]) -> MemberView | None:
    names = [messages.replica_name_of(view.member.member_id) for view in views]
    for view, name in zip(views, names, strict=True):
        if view.member.voter or view.is_caught_up:
            continue
        limit_s = (
            UNREACHABLE_AFTER_S if names.count(name) > 1 else LEARNER_REMOVED_AFTER_S
        )
        if view.since_contact_s > limit_s:
            return view
    return None


def _choose_learner(
    caught_up: list[MemberView], voters: list[MemberView]
) -> MemberView:
    """Return the learner whose availability zone has the fewest voters.

    One that yields is chosen only without others.
    """
    zones = [view.member.availability_zone for view in voters if not view.is_leaving]
    return min(
        caught_up,
        key=lambda view: (
            view.yields,
            zones.count(view.member.availability_zone),
            view.member.member_id,
        ),
    )


def _is_unbalanced(
    others: list[MemberView], voters: list[MemberView], caught_up: list[MemberView]
) -> bool:
    """Return whether a zone has two voters more than one with a caught-up learner.

    That learner takes the place of a voter, so each move balances the zones.  Nothing
    is moved while another voter lags or does not respond.
    """
    if not all(view.is_caught_up for view in others):
        return False
    zones = [view.member.availability_zone for view in voters]
    fewest = min(zones.count(view.member.availability_zone) for view in caught_up)
    return any(
        zones.count(view.member.availability_zone) >= fewest + 2 for view in others
    )


def _reduce_voters(
    others: list[MemberView], voters: list[MemberView], surplus: MemberView | None
) -> wire.ChangeRequest | None:
    """Return the change that makes a group that is too large smaller, once none lags.

    The lag of the voter that leaves, or of one that is about to stop, doesn't matter.
    A voter that a newer one supersedes stays as a learner; one other voter may lag
    then, as at the promotion of the newer one.
    """
    if surplus not in others:
        return None
    is_superseded = _find_newest(voters) is not None
    is_demoted = is_superseded and not surplus.is_leaving and not surplus.yields
    lagging = [
        view
        for view in others
        if view is not surplus and not (view.is_caught_up or view.is_leaving)
    ]
    if lagging and not (is_demoted and _may_lag(lagging)):
        return None
    change = wire.Change.DEMOTE if is_demoted else wire.Change.REMOVE
    return _change(change, surplus.member)


def _find_newest(voters: list[MemberView]) -> MemberView | None:
    """Return the voter that joined after all others; None if that is not known."""
    newest = max(voters, key=lambda view: view.joining_order)
    is_only = sum(view.joining_order == newest.joining_order for view in voters) == 1
    return newest if is_only else None


def _find_surplus_voter(
    others: list[MemberView], voters: list[MemberView]
) -> MemberView | None:
    """Return the voter that leaves a group that is too large.

    A voter that is about to stop is the first, then one that yields, then the oldest
    one of a zone with the most voters.  Of such zones, that of the newest voter
    precedes the others.  The leader may be chosen only if another voter is the newest
    one.
    """
    newest = _find_newest(voters)
    candidates = others
    if newest is not None and not any(
        view.is_leaving or view.yields for view in others
    ):
        candidates = [view for view in voters if view is not newest]
    zones = [view.member.availability_zone for view in voters]
    newest_zone = "" if newest is None else newest.member.availability_zone
    return max(
        candidates,
        key=lambda view: (
            view.is_leaving,
            view.yields,
            zones.count(view.member.availability_zone),
            view.member.availability_zone == newest_zone,
            -view.joining_order,
            view.member.member_id,
        ),
        default=None,
    )


def _change(change: wire.Change, member: messages.Member) -> wire.ChangeRequest:
    return wire.ChangeRequest(0, change, member)


def view_members(
    state: states.State,
    now_s: float,
    leaving_ids: frozenset[str] = frozenset(),
    yielding_ids: frozenset[str] = frozenset(),
) -> tuple[MemberView, ...]:
    """Return the members as seen by the leader's core."""
    views = []
    for position, member in enumerate(state.membership.members):
        progress = state.progress.get(member.member_id)
        since_contact_s = 0.0 if progress is None else now_s - progress.last_contact_s
        is_caught_up = membership.is_caught_up(state, member.member_id, now_s)
        is_leaving = member.member_id in leaving_ids
        yields = member.member_id in yielding_ids
        views.append(
            MemberView(
                member, is_caught_up, since_contact_s, is_leaving, yields, position
            )
        )
    return tuple(views)


def answer_leaving(
    state: states.State, member_id: str, voters_wanted_count: int, now_s: float
) -> str:
    """Return the leader's answer to a voter that is about to stop.

    Empty once it is no voter any more, or if there is no learner to replace it.
    """
    if state.role is not states.Role.LEADER:
        return states.ChangeRefusal.NOT_LEADER.value
    if member_id not in state.membership.voter_ids:
        is_done = state.memberships[-1][0] <= state.commit_index
    elif member_id == state.member_id or not voters_wanted_count:
        is_done = True
    else:
        responding_ids = quorums.responding_ids(state, now_s)
        has_learner = any(
            other.member_id in responding_ids
            and not other.voter
            and not _has_successor(state, other, member_id)
            for other in state.membership.members
        )
        has_surplus = len(state.membership.voter_ids) > voters_wanted_count
        is_done = not has_learner and not has_surplus
    return "" if is_done else states.ChangeRefusal.CHANGE_IN_PROGRESS.value


def _has_successor(
    state: states.State, learner: messages.Member, leaving_id: str
) -> bool:
    """Return whether a learner takes no place of a voter that is about to stop.

    As by :func:`_is_superseded`.
    """
    members = state.membership.members
    leaving = state.membership.find(leaving_id)
    if leaving is not None and leaving.availability_zone == learner.availability_zone:
        return False
    return any(
        other.voter and other.availability_zone == learner.availability_zone
        for other in members[members.index(learner) + 1 :]
    )


def needs_to_join(state: states.State | None) -> bool:
    """Return whether a replica is not a member or knows no leader.

    A replica whose folder is not open (no state) can't join yet.
    """
    if state is None:
        return False
    return not state.leader_id or not quorums.is_member(state)


def join_delay_s(state: states.State | None) -> float:
    """Return for how long a replica must be inactive before it asks for admission."""
    is_empty = state is not None and not state.memberships
    return EMPTY_JOIN_AFTER_S if is_empty else JOIN_AFTER_S


async def request_admission(
    log: client.Client,
    own: wire.ReplicaAddress,
    get_state: Callable[[], states.State | None],
) -> None:
    """Ask for admission whenever this replica has been inactive for some time.

    A request from a current member is refused without effect, so a long election or a
    network partition costs only one message per second.
    """
    logged_answer = ""
    inactive_s = 0.0
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        inactive_s = (
            inactive_s + CHECK_INTERVAL_S if needs_to_join(get_state()) else 0.0
        )
        if inactive_s < join_delay_s(get_state()):
            continue
        inactive_s = 0.0
        outcome = await log.add_learner(own, JOIN_TIMEOUT_S)
        answer = outcome.value_or("no answer") or "admitted"
        if answer != logged_answer:
            logged_answer = answer
            logs.info("asked to join the replicated log", logs.Fields(reason=answer))


async def yield_votes(
    log: client.Client,
    get_state: Callable[[], states.State | None],
    yields: Callable[[], bool],
) -> None:
    """Tell all replicas again and again while this one yields, until cancelled.

    Not stored: the settings may change, and earlier versions read the same log.
    """
    while True:
        state = get_state()
        if state is not None and yields() and quorums.is_member(state):
            members = state.membership.members
            addresses = tuple(wire.address_of(member) for member in members)
            await log.yield_vote(state.member_id, addresses, YIELD_TIMEOUT_S)
            await asyncio.sleep(YIELD_INTERVAL_S)
        else:
            await asyncio.sleep(CHECK_INTERVAL_S)
