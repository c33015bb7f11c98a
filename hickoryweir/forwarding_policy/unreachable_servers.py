"""Servers that can't be reached, and the network partitions that explain them.

Handles a partition between availability zones that drops packets silently.  Each
server behind it costs a request the connect timeout, so a router that tries them one
after the other serves little until it has tried all, and again whenever it retries
them.  Failed connections to two servers of another zone within a short time therefore
mark all servers of that zone.  Marked servers get no requests while there are others;
they are probed in the background, so that no request pays for finding out that the
partition has ended, and a wrong conclusion is corrected by the first probe.

A router that is cut off from all servers loses every request that it sends on an open
connection while those are silent.  Where requests wait and no server has been heard for
a while, their servers are therefore probed, and all others once one of them can't be
reached.

A middlebox or a full accept queue may accept connections for servers that don't get
them.  Only bytes from a server show that it is reached.  Where connections to servers
of all zones end without a byte, or health checks there get no response, while no
server is heard, all are marked, and each stays so until it responds to a health check.
"""

import dataclasses
import random

from hickoryweir.forwarding_policy import doubling

# Fewer servers may have crashed independently.
MIN_SERVERS_COUNT = 2
# Requests to several servers meet a partition within this time.
WINDOW_S = 2.0
# A probe fails after the time in which a server at another zone answers twice.
PROBE_TIMEOUT_S = 0.25
# The first probe follows at once, to correct a wrong conclusion about a zone.
PROBE_INTERVAL_MIN_S = 0.25
PROBE_INTERVAL_MAX_S = 2.0
# Between servers that respond within tens of milliseconds, silence this long is rare.
QUIET_S = 0.3
# A server that has just accepted a probe is only slow.
VERIFY_INTERVAL_S = 2.0
# After this silence, servers that accept connections are asked for a response.
SILENT_AFTER_S = 0.6
# Health checks wait for a slot at some servers, which serve a request in less.
RESPONSE_TIMEOUT_S = 0.8
# Together with failures in every zone; fewer may have crashed independently.
MIN_ISOLATING_SERVERS_COUNT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A connection to a server that was not established, or brought no byte."""

    server_id: str
    availability_zone: str
    at_s: float


def find_partitioned_zones(
    failures: list[Failure], own_zone: str, now_s: float
) -> frozenset[str]:
    """Return the other zones that can't be reached, judging by recent failures.

    Examples
    --------
    >>> failures = [Failure("a", "north", 0.0), Failure("b", "north", 0.4)]
    >>> find_partitioned_zones(failures, "south", 0.5)
    frozenset({'north'})
    >>> find_partitioned_zones(failures, "north", 0.5)
    frozenset()
    >>> find_partitioned_zones(failures[:1], "south", 0.5)
    frozenset()
    """
    servers_by_zone: dict[str, set[str]] = {}
    for failure in failures:
        if now_s - failure.at_s <= WINDOW_S:
            servers = servers_by_zone.setdefault(failure.availability_zone, set())
            servers.add(failure.server_id)
    return frozenset(
        zone
        for zone, servers in servers_by_zone.items()
        if zone != own_zone and len(servers) >= MIN_SERVERS_COUNT
    )


def is_isolated(
    failures: list[Failure], zones: frozenset[str], heard_at_s: float, now_s: float
) -> bool:
    """Return whether failures since any server was heard concern all zones.

    Examples
    --------
    >>> zones = frozenset({"north", "south"})
    >>> failures = [Failure("a", "north", 0.0), Failure("b", "south", 0.4)]
    >>> is_isolated([*failures, Failure("c", "south", 0.5)], zones, -1.0, 0.5)
    True
    >>> is_isolated([*failures, Failure("c", "south", 0.5)], zones, 0.2, 0.5)
    False
    >>> is_isolated(failures, zones, -1.0, 0.5)
    False
    """
    recent = [
        item
        for item in failures
        if now_s - item.at_s <= WINDOW_S and item.at_s >= heard_at_s
    ]
    failed_ids = {item.server_id for item in recent}
    failed_zones = {item.availability_zone for item in recent}
    return failed_zones >= zones and len(failed_ids) >= MIN_ISOLATING_SERVERS_COUNT


def next_probe_s(probes_count: int, now_s: float, generator: random.Random) -> float:
    """Return the time of the next probe, with exponential backoff and jitter.

    The jitter keeps many routers from probing a server at the same moment.
    """
    interval_s = doubling.pause_s(
        PROBE_INTERVAL_MIN_S, PROBE_INTERVAL_MAX_S, probes_count
    )
    return now_s + interval_s * generator.uniform(0.7, 1.3)
