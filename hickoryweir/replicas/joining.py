"""The order in which replicas joined, with those that are no members any more.

The members of a membership are in the order of joining.  A replica that was removed, or
that lost its disk, returns as a new member; it is no newcomer, so it gets the place
that it had.  Otherwise it would take over the vote of the replica that has succeeded
it.

A process knows the former members of which its snapshot and log tell, and those that it
has seen itself.
"""

from collections.abc import Sequence

from hickoryweir.replicas import messages

MAX_NAMES_COUNT = 256


def merge_names(
    former: Sequence[str], membership: messages.Membership
) -> tuple[str, ...]:
    """Return the names of all replicas in the order of joining.

    Parameters
    ----------
    former : sequence of str
        The names that were known before the membership.
    membership : messages.Membership
        The latest membership; its order holds among its members.

    Returns
    -------
    tuple of str
        Those that are no members follow the member that they followed before.  Beyond
        `MAX_NAMES_COUNT` names, those of them that joined first are left out.

    Examples
    --------
    >>> members = [messages.Member(f"{name}~1", name, "", True) for name in "abd"]
    >>> merge_names(("a", "b", "c"), messages.Membership(tuple(members)))
    ('a', 'b', 'c', 'd')
    """
    names = [messages.replica_name_of(item.member_id) for item in membership.members]
    merged = list(dict.fromkeys(names))
    position = 0
    for name in former:
        if name in names:
            position = merged.index(name) + 1
        else:
            merged.insert(position, name)
            position += 1
    absent = [name for name in merged if name not in names]
    left_out = absent[: max(0, len(merged) - MAX_NAMES_COUNT)]
    return tuple(name for name in merged if name not in left_out)


def insert_member(
    members: Sequence[messages.Member], member: messages.Member, names: Sequence[str]
) -> tuple[messages.Member, ...]:
    """Return the members with one more, in the order of joining.

    Parameters
    ----------
    members : sequence of messages.Member
        The members in the order of joining.
    member : messages.Member
        The one to insert; the last one unless its name is known.
    names : sequence of str
        Names of all replicas in the order of joining, see :func:`merge_names`.
    """
    name = messages.replica_name_of(member.member_id)
    later_names = names[names.index(name) + 1 :] if name in names else ()
    for position, other in enumerate(members):
        if messages.replica_name_of(other.member_id) in later_names:
            return (*members[:position], member, *members[position:])
    return (*members, member)
