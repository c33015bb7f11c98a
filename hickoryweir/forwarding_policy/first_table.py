"""When a router that has just started may begin without a confirmed table.

The load this answers: routers that start together with the replicas, after a loss of
all of them, or in an availability zone that is cut off.  Replicas that have started
know only the table of their last snapshot until a leader is elected.  A router that
begins too early refuses routes of acknowledged tables; one that waits too long serves
nothing in a zone that is cut off.
"""

# Several elections; a zone that is cut off from most replicas serves after it.
CUT_OFF_WAIT_S = 5.0
# A majority elects a leader within this time on slow VMs as well; if it can't, because
# its members don't reach each other, serving an earlier table is better than nothing.
ELECTION_WAIT_S = 12.0


def may_be_unconfirmed(
    waited_s: float, reached_count: int, replicas_count: int
) -> bool:
    """Return whether a router may begin with the highest table of any replica.

    Parameters
    ----------
    waited_s : float
        Time since the router started.
    reached_count : int
        Replicas that it is connected to.
    replicas_count : int
        Members of the replicated log, as far as it knows.

    Examples
    --------
    >>> may_be_unconfirmed(6.0, 1, 3), may_be_unconfirmed(6.0, 2, 3)
    (True, False)
    """
    reaches_majority = 2 * reached_count > replicas_count
    wait_s = ELECTION_WAIT_S if reaches_majority else CUT_OFF_WAIT_S
    return waited_s >= wait_s
