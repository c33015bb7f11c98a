"""Topology of the connections between routers.

Replica processes are the sources of new versions and connect to each other.  In
each availability zone, the first two reachable processes (replicas first) are
relays: they connect to sources, and all other routers of the zone connect to them.
Each router also connects to one router of its zone and one of another zone, which
change every :data:`ROTATION_INTERVAL_S`; these links deliver what the relays missed.
"""

import dataclasses
import hashlib
import itertools
from collections.abc import Container

RELAY_COUNT = 2
SOURCE_LINK_COUNT = 2
ROTATION_INTERVAL_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A process of the system."""

    name: str
    availability_zone: str
    is_replica: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """The processes as seen by one of them; computed once.

    Attributes
    ----------
    local : Member
        This process.
    member_count : int
        Number of all processes.
    sources : tuple of str
        Other replica processes, in an order specific to this process.
    relay_order : tuple of str
        This zone's processes in the order in which they become relays.
    zone_peers, other_zone_peers : tuple of str
        Other processes of this zone, and the processes of all other zones.
    zone_names : frozenset of str
        All processes of this zone.
    """

    local: Member
    member_count: int
    sources: tuple[str, ...]
    relay_order: tuple[str, ...]
    zone_peers: tuple[str, ...]
    other_zone_peers: tuple[str, ...]
    zone_names: frozenset[str]


def make_layout(local: Member, members: tuple[Member, ...]) -> Layout:
    """Return the layout for one process.

    Parameters
    ----------
    local : Member
        This process.
    members : tuple of Member
        All processes, this one included.
    """
    ordered = sorted(members, key=lambda member: member.name)
    zone = [
        member
        for member in ordered
        if member.availability_zone == local.availability_zone
    ]
    sources = [
        member.name
        for member in ordered
        if member.is_replica and member.name != local.name
    ]
    zone.sort(key=lambda member: not member.is_replica)
    return Layout(
        local=local,
        member_count=len(ordered),
        sources=tuple(sorted(sources, key=lambda name: _hash_rank(local.name, name))),
        relay_order=tuple(member.name for member in zone),
        zone_peers=tuple(member.name for member in zone if member.name != local.name),
        other_zone_peers=tuple(
            member.name
            for member in ordered
            if member.availability_zone != local.availability_zone
        ),
        zone_names=frozenset(member.name for member in zone),
    )


def _hash_rank(*parts: str) -> int:
    data = "\0".join(parts).encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def relays(layout: Layout, failed: frozenset[str]) -> tuple[str, ...]:
    """Return the relays of this zone, without processes that were unreachable."""
    usable = (name for name in layout.relay_order if name not in failed)
    return (
        tuple(itertools.islice(usable, RELAY_COUNT))
        or (layout.relay_order[:RELAY_COUNT])
    )


def preferred_relay(layout: Layout, linked: Container[str]) -> str | None:
    """Return the linked relay from which this process pulls first, if any.

    The choice depends on the name of the process, to balance load between relays.
    """
    usable = [name for name in layout.relay_order[:RELAY_COUNT] if name in linked]
    if not usable:
        return None
    return usable[_hash_rank(layout.local.name) % len(usable)]


def wanted_peers(
    layout: Layout, failed: frozenset[str], now_s: float
) -> tuple[str, ...]:
    """Return the processes to which this one keeps an outgoing connection.

    Parameters
    ----------
    layout : Layout
        All processes.
    failed : frozenset of str
        Processes that were recently unreachable.
    now_s : float
        Monotonic time; determines the two rotating peers.

    Returns
    -------
    tuple of str
        Names without duplicates.
    """
    local = layout.local
    wanted: list[str] = []
    zone_relays = relays(layout, failed)
    if local.is_replica:
        wanted += [name for name in layout.sources if name > local.name]
    elif local.name in zone_relays:
        wanted += _reachable_or_all(layout.sources, failed)[:SOURCE_LINK_COUNT]
    if local.name not in zone_relays:
        wanted += zone_relays
        if failed.issuperset(zone_relays):
            wanted += _reachable_or_all(layout.sources, failed)[:1]
    wanted += _rotating_peers(layout, now_s)
    return tuple(dict.fromkeys(name for name in wanted if name != local.name))


def _reachable_or_all(
    names: tuple[str, ...], failed: frozenset[str]
) -> tuple[str, ...]:
    return tuple(name for name in names if name not in failed) or names


def _rotating_peers(layout: Layout, now_s: float):
    rotation = str(int(now_s // ROTATION_INTERVAL_S))
    rank = _hash_rank(layout.local.name, rotation)
    for names in (layout.zone_peers, layout.other_zone_peers):
        if names:
            yield names[rank % len(names)]
