"""Whether and through which replica a client can reach the leader."""

import enum

from hickoryweir.replicas import messages, wire


class Reachability(enum.StrEnum):
    """How a client reaches the leader."""

    UNKNOWN = "unknown"
    LEADER = "leader"
    RELAYED = "relayed"
    ELECTION = "election"
    NO_QUORUM = "no_quorum"


def assess(statuses: tuple[wire.Status, ...]) -> tuple[Reachability, str, str]:
    """Return the reachability of the leader, its name, and the replica to ask.

    Of two replicas that both claim to lead, the one with the higher term is the leader.
    If the leader did not answer, a follower in contact with it relays requests.

    Examples
    --------
    >>> assess(())
    (<Reachability.NO_QUORUM: 'no_quorum'>, '', '')
    """
    leader = find_leading(statuses)
    if leader is not None:
        name = messages.replica_name_of(leader.member_id)
        return Reachability.LEADER, name, name
    followers = [status for status in statuses if status.leader_id]
    if followers:
        follower = max(followers, key=lambda status: status.term)
        leader_name = messages.replica_name_of(follower.leader_id)
        follower_name = messages.replica_name_of(follower.member_id)
        return Reachability.RELAYED, leader_name, follower_name
    if any(status.has_quorum for status in statuses):
        return Reachability.ELECTION, "", ""
    return Reachability.NO_QUORUM, "", ""


def find_leading(statuses: tuple[wire.Status, ...]) -> wire.Status | None:
    """Return the status of the latest replica that claims to lead, if any.

    Examples
    --------
    >>> find_leading(()) is None
    True
    """
    leaders = [status for status in statuses if status.leader_id == status.member_id]
    return max(leaders, key=lambda status: status.term, default=None)


def is_decided(statuses: tuple[wire.Status, ...]) -> bool:
    """Return whether no further status could name another leader.

    A later leader has a vote of any majority.  This answers polls while a member is
    silent, whose status would only come at the timeout.

    Examples
    --------
    >>> is_decided(())
    False
    """
    leader = find_leading(statuses)
    if leader is None:
        return False
    voter_ids = {item.member.member_id for item in leader.members if item.member.voter}
    voted = [status for status in statuses if status.member_id in voter_ids]
    is_latest = all(status.term <= leader.term for status in statuses)
    return is_latest and 2 * len(voted) > len(voter_ids)
