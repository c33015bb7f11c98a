"""Which routers connect to which.

Replica processes are the sources of new versions and connect to each other.  In
each availability zone the first two processes (replicas first) are relays: they
connect to sources, all other routers of the zone connect to them.  Each router
also connects to one changing router of its zone and one of another zone, which
mends what the relays missed.
"""

import dataclasses
import hashlib

RELAY_COUNT = 2
SOURCE_LINK_COUNT = 2
ROTATION_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A process of the system."""

    name: str
    availability_zone: str
    is_replica: bool


def rank(*parts: str) -> str:
    """Return a key that sorts names in an order of their own for each caller."""
    return hashlib.blake2b("\0".join(parts).encode(), digest_size=8).hexdigest()


def relay_order(members: tuple[Member, ...], zone: str) -> tuple[str, ...]:
    """Return the zone's processes in the order in which they become relays."""
    inside = [member for member in members if member.availability_zone == zone]
    inside.sort(key=lambda member: (not member.is_replica, member.name))
    return tuple(member.name for member in inside)


def relays(
    members: tuple[Member, ...], zone: str, failed: frozenset[str]
) -> tuple[str, ...]:
    """Return the zone's relays as seen by a process that failed to reach some."""
    order = relay_order(members, zone)
    usable = [name for name in order if name not in failed]
    return tuple((usable or list(order))[:RELAY_COUNT])


def wanted_peers(
    members: tuple[Member, ...], me: Member, failed: frozenset[str], now_s: float
) -> tuple[str, ...]:
    """Return the processes to which `me` keeps a connection of its own.

    Parameters
    ----------
    members : tuple of Member
        All processes, sorted by name.
    me : Member
        This process.
    failed : frozenset of str
        Processes that could not be reached lately.
    now_s : float
        Monotonic time; two of the peers change with it.

    Returns
    -------
    tuple of str
        Names, each once.
    """
    sources = [each.name for each in members if each.is_replica]
    sources = [name for name in sources if name != me.name]
    wanted: list[str] = []
    zone_relays = relays(members, me.availability_zone, failed)
    if me.is_replica:
        wanted += [name for name in sources if name > me.name]
    elif me.name in zone_relays:
        wanted += _pick(sources, me, failed, SOURCE_LINK_COUNT)
    if me.name not in zone_relays:
        wanted += zone_relays
        if failed.issuperset(zone_relays):
            wanted += _pick(sources, me, failed, 1)
    wanted += _rotating(members, me, now_s)
    return tuple(dict.fromkeys(name for name in wanted if name != me.name))


def _pick(names, me, failed, count):
    usable = [name for name in names if name not in failed] or names
    return sorted(usable, key=lambda name: rank(me.name, name))[:count]


def _rotating(members, me, now_s):
    turn = str(int(now_s // ROTATION_S))
    inside = [m.name for m in members if m.availability_zone == me.availability_zone]
    outside = [m.name for m in members if m.availability_zone != me.availability_zone]
    for names in (inside, outside):
        others = [name for name in names if name != me.name]
        if others:
            yield min(others, key=lambda name: rank(me.name, turn, name))
