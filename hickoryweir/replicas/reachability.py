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
    leaders = [status for status in statuses if status.leader_id == status.member_id]
    if leaders:
        leader = max(leaders, key=lambda status: status.term)
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
