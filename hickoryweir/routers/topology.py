"""Which routers connect to which.

Replica processes are the sources of new versions and connect to each other.  In
each availability zone the first two processes (replicas first) are relays: they
connect to sources, all other routers of the zone connect to them.  Each router
also connects to one changing router of its zone and one of another zone, which
mends what the relays missed.
"""

import dataclasses
import hashlib
import itertools
from collections.abc import Container

RELAY_COUNT = 2
SOURCE_LINK_COUNT = 2
ROTATION_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A process of the system."""

    name: str
    availability_zone: str
    is_replica: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """The processes as one of them sees them; made once.

    Attributes
    ----------
    me : Member
        This process.
    member_count : int
        All processes.
    sources : tuple of str
        Replica processes but this one, in an order of this process's own.
    relay_order : tuple of str
        This zone's processes in the order in which they become relays.
    inside, outside : tuple of str
        Other processes of this zone, and of all other zones.
    zone_names : frozenset of str
        All processes of this zone.
    """

    me: Member
    member_count: int
    sources: tuple[str, ...]
    relay_order: tuple[str, ...]
    inside: tuple[str, ...]
    outside: tuple[str, ...]
    zone_names: frozenset[str]


def make_layout(me: Member, members: tuple[Member, ...]) -> Layout:
    """Return the layout for one process.

    Parameters
    ----------
    me : Member
        This process.
    members : tuple of Member
        All processes, this one included.
    """
    ordered = sorted(members, key=lambda member: member.name)
    zone = [m for m in ordered if m.availability_zone == me.availability_zone]
    sources = [m.name for m in ordered if m.is_replica and m.name != me.name]
    zone.sort(key=lambda member: not member.is_replica)
    return Layout(
        me=me,
        member_count=len(ordered),
        sources=tuple(sorted(sources, key=lambda name: _rank(me.name, name))),
        relay_order=tuple(m.name for m in zone),
        inside=tuple(m.name for m in zone if m.name != me.name),
        outside=tuple(
            m.name for m in ordered if m.availability_zone != me.availability_zone
        ),
        zone_names=frozenset(m.name for m in zone),
    )


def _rank(*parts: str) -> int:
    data = "\0".join(parts).encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def relays(layout: Layout, failed: frozenset[str]) -> tuple[str, ...]:
    """Return the relays of this zone but those that could not be reached."""
    usable = (name for name in layout.relay_order if name not in failed)
    return (
        tuple(itertools.islice(usable, RELAY_COUNT))
        or (layout.relay_order[:RELAY_COUNT])
    )


def preferred_relay(layout: Layout, linked: Container[str]) -> str | None:
    """Return the linked relay from which this process pulls first.

    Each process has an order of its own, so that relays share the work.
    """
    usable = [name for name in layout.relay_order[:RELAY_COUNT] if name in linked]
    if not usable:
        return None
    return usable[_rank(layout.me.name) % len(usable)]


def wanted_peers(
    layout: Layout, failed: frozenset[str], now_s: float
) -> tuple[str, ...]:
    """Return the processes to which this one keeps a connection of its own.

    Parameters
    ----------
    layout : Layout
        All processes.
    failed : frozenset of str
        Processes that could not be reached lately.
    now_s : float
        Monotonic time; two of the peers change with it.

    Returns
    -------
    tuple of str
        Names, each once.
    """
    me = layout.me
    wanted: list[str] = []
    zone_relays = relays(layout, failed)
    if me.is_replica:
        wanted += [name for name in layout.sources if name > me.name]
    elif me.name in zone_relays:
        wanted += _usable(layout.sources, failed)[:SOURCE_LINK_COUNT]
    if me.name not in zone_relays:
        wanted += zone_relays
        if failed.issuperset(zone_relays):
            wanted += _usable(layout.sources, failed)[:1]
    wanted += _rotating(layout, now_s)
    return tuple(dict.fromkeys(name for name in wanted if name != me.name))


def _usable(names: tuple[str, ...], failed: frozenset[str]) -> tuple[str, ...]:
    return tuple(name for name in names if name not in failed) or names


def _rotating(layout: Layout, now_s: float):
    turn = str(int(now_s // ROTATION_S))
    place = _rank(layout.me.name, turn)
    for names in (layout.inside, layout.outside):
        if names:
            yield names[place % len(names)]
