"""Choice of a backend server: affinity first, then the better of two at random.

Only a few servers of the router's subset of a pool are looked at, so the cost
of a choice does not grow with the fleet.  Servers of the own availability zone
go first; calls spill to other zones when the own zone has little room.  The
pool's top tier may go to a full engine, which then preempts its lowest
priority.
"""

import dataclasses
import math

from hickoryweir.configuration import model
from hickoryweir.policy import affinity, events, load, state, stragglers

RESERVE_SHARE = 0.07
TOP_OVERCOMMIT_CALLS = 1
AFFINITY_SLACK = 0.15
SPILL_SLACK = 0.25
REPORT_TIMEOUT_MIN_S = 3.5
REPORT_TIMEOUT_INTERVALS = 3.0
SAMPLED_SERVERS_COUNT = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server with room, and how loaded it is, 0 to 1 and above."""

    load_share: float
    server: state.Server

    @property
    def name(self) -> str:
        """Return the backend server's name."""
        return self.server.backend.name


def is_usable(server: state.Server, now_s: float) -> bool:
    """Return whether a backend server may get new work at all."""
    return server.state is events.ServerState.LIVE and server.down_until_s <= now_s


def is_top(
    core: state.Core, pool: state.Pool, request_class: model.RequestClass
) -> bool:
    """Return whether no class of the pool stands above this one."""
    return request_class.tier == core.queues[pool.class_names[0]].request_class.tier


def has_capacity(
    core: state.Core,
    pool: state.Pool,
    server: state.Server,
    top: bool,
    occupied: float,
) -> bool:
    """Return whether a backend server can take one more call."""
    limit = server.backend.max_concurrency
    if occupied + 1 <= limit * (1.0 - RESERVE_SHARE):
        return True
    mechanisms = core.settings.mechanisms
    if not top:
        return not mechanisms.reserve and occupied + 1 <= limit
    if occupied + 1 <= limit:
        return True
    if not mechanisms.preemption or pool.target is model.Target.SERVICE:
        return False
    return load.top_occupancy(server) + 1 <= limit + TOP_OVERCOMMIT_CALLS


def choose(
    core: state.Core, pool: state.Pool, call: state.Call, now_s: float, top: bool
) -> str | None:
    """Return a backend server with room for a call, or None.

    Parameters
    ----------
    core : state.Core
        The core; its random generator is used.
    pool : state.Pool
        Pool that answers the call's class.
    call : state.Call
        The call to place.
    now_s : float
        Monotonic time.
    top : bool
        Whether the call goes with the top tier's priority.

    Returns
    -------
    str or None
        Name of the backend server.
    """
    found = candidates(core, pool, call, now_s, top)
    if not found:
        return None
    if core.settings.mechanisms.affinity and call.arrived.prefix_digests:
        found = _with_prefix(core, call, found)
    if len(found) > 2:
        found = _sample_two(core, found)
    return min(found, key=_load_share).name


def _load_share(item: Candidate) -> float:
    return item.load_share


def _sample_two(core: state.Core, found: list[Candidate]) -> list[Candidate]:
    count = len(found)
    first = int(core.random.random() * count)
    step = 1 + int(core.random.random() * (count - 1))
    return [found[first], found[(first + step) % count]]


def candidates(
    core: state.Core, pool: state.Pool, call: state.Call, now_s: float, top: bool
) -> list[Candidate]:
    """Return backend servers that can take a call now, the own zone's first.

    Other zones are looked at only if the own zone has no server with much
    room; servers that fell silent are used only if all did.
    """
    near = _sample_candidates(core, pool, pool.near, call, now_s, top)
    if not core.settings.mechanisms.zone_local:
        return near + _sample_candidates(core, pool, pool.far, call, now_s, top)
    lowest_share = min(map(_load_share, near), default=math.inf)
    if lowest_share <= SPILL_SLACK:
        return near
    far = _sample_candidates(core, pool, pool.far, call, now_s, top)
    if lowest_share <= min(map(_load_share, far), default=math.inf) + SPILL_SLACK:
        return near
    core.counters.spills += 1
    return near + far


def _sample_candidates(
    core: state.Core,
    pool: state.Pool,
    servers: tuple[state.Server, ...],
    call: state.Call,
    now_s: float,
    top: bool,
) -> list[Candidate]:
    sampled = _sample_servers(core, pool, servers, call)
    found = _candidates_with_capacity(core, pool, sampled, call, now_s, top)
    return _of_provider(call, found)


def _sample_servers(
    core: state.Core,
    pool: state.Pool,
    servers: tuple[state.Server, ...],
    call: state.Call,
) -> list[state.Server] | tuple[state.Server, ...]:
    """Return a few servers to compare, so that the cost stays flat."""
    count = len(servers)
    if count <= SAMPLED_SERVERS_COUNT:
        return servers
    start = int(core.random.random() * count)
    found = [servers[(start + index) % count] for index in range(SAMPLED_SERVERS_COUNT)]
    for extra in (
        pool.last_freed,
        affinity.last_server(core, call.arrived.prefix_digests),
    ):
        if extra is not None and extra in servers and extra not in found:
            found.append(extra)
    return found


def _candidates_with_capacity(
    core: state.Core,
    pool: state.Pool,
    servers: list[state.Server] | tuple[state.Server, ...],
    call: state.Call,
    now_s: float,
    top: bool,
) -> list[Candidate]:
    found = []
    for server in servers:
        if server.state is not events.ServerState.LIVE or server.down_until_s > now_s:
            continue
        if server.backend.name in call.avoided_servers:
            continue
        if not _may_receive(core, pool, server, call, now_s):
            continue
        occupied = load.occupancy(server, now_s)
        if has_capacity(core, pool, server, top, occupied):
            share = occupied / server.backend.max_concurrency
            found.append(Candidate(share, server))
    return found


def _of_provider(call: state.Call, found: list[Candidate]) -> list[Candidate]:
    """Return the servers of the call's provider, or all if it has none."""
    if call.provider is None:
        return found
    own = [c for c in found if c.server.backend.provider == call.provider]
    return own or found


def has_stopped_reporting(server: state.Server, now_s: float) -> bool:
    """Return whether a server that used to report has stopped to.

    A router of many servers asks each of them less often, so the limit grows with
    the time between the last two reports.
    """
    limit_s = max(
        REPORT_TIMEOUT_MIN_S, REPORT_TIMEOUT_INTERVALS * server.report_interval_s
    )
    return server.report is not None and now_s - server.last_heard_s > limit_s


def _may_receive(
    core: state.Core,
    pool: state.Pool,
    server: state.Server,
    call: state.Call,
    now_s: float,
) -> bool:
    """Return whether a doubtful server may have this call, as a probe or at all."""
    if server.failures_in_row > 0 and server.calls:
        return False
    if pool.last_heard_s > now_s - REPORT_TIMEOUT_MIN_S and has_stopped_reporting(
        server, now_s
    ):
        return False
    speed = server.speed
    if not (speed.ejected or speed.probing):
        return True
    return stragglers.may_receive(core, pool, server, call, now_s)


def servers_without_suspects(
    core: state.Core, pool: state.Pool, now_s: float
) -> list[str]:
    """Return the usable servers of a pool on which no isolated suspect runs."""
    found = []
    for name in pool.subset:
        server = core.servers[name]
        if not is_usable(server, now_s) or has_stopped_reporting(server, now_s):
            continue
        if not (server.suspects or server.peers_suspects or server.speed.ejected):
            found.append(name)
    return found


def _with_prefix(
    core: state.Core, call: state.Call, found: list[Candidate]
) -> list[Candidate]:
    """Return the servers with the longest cached prefix that are not overloaded."""
    digests = call.arrived.prefix_digests
    load_share_max = min(found, key=_load_share).load_share + AFFINITY_SLACK
    longest = 1
    matched: list[Candidate] = []
    for item in found:
        if item.load_share > load_share_max:
            continue
        blocks = affinity.matched_blocks(item.server, digests)
        if blocks > longest:
            longest = blocks
            matched = []
        if blocks == longest:
            matched.append(item)
    core.counters.affinity_hits += bool(matched)
    return matched or found
