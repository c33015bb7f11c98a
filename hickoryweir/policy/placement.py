"""Choice of a backend server by prefix affinity and power of two choices.

Only a sample of the router's subset of a pool is compared, so the cost of a
choice does not grow with the number of servers.  Servers of the router's own
availability zone are preferred; calls spill to other zones when the own zone has
little free capacity.  Calls of the pool's top tier may go to a full engine, which
then preempts its calls of the lowest priority.
"""

import dataclasses
import math

from hickoryweir.configuration import model
from hickoryweir.policy import (
    affinity,
    events,
    load,
    noticed_servers,
    state,
    stragglers,
)

# Share of a server's slots that is kept free for the top tier.
RESERVE_SHARE = 0.07
# Calls of the top tier that a server may have above its concurrency limit.
TOP_OVERCOMMIT_CALLS = 1
# Load share above the least loaded server at which prefix affinity is given up.
AFFINITY_SLACK = 0.15
# Calls spill to other zones if the lowest load share of the own zone exceeds this
# value, and exceeds that of the other zones by this value.
SPILL_SLACK = 0.25
# A server is avoided if its reports are overdue by both limits.
REPORT_TIMEOUT_MIN_S = 3.5
REPORT_TIMEOUT_INTERVALS = 3.0
SAMPLED_SERVERS_COUNT = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server with free capacity; its load is 1 at the concurrency limit."""

    load_share: float
    server: state.Server

    @property
    def name(self) -> str:
        """Return the backend server's name."""
        return self.server.backend.name


def is_usable(server: state.Server, now_s: float) -> bool:
    """Return whether a backend server is live, not down, and takes calls."""
    is_live = server.state is events.ServerState.LIVE and server.down_until_s <= now_s
    return is_live and noticed_servers.accepts(server, now_s)


def is_top(
    core: state.Core, pool: state.Pool, request_class: model.RequestClass
) -> bool:
    """Return whether a class belongs to the pool's top tier."""
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
    """Return a backend server that can take a call, or None.

    Parameters
    ----------
    core : state.Core
        State of the core; its random generator is advanced.
    pool : state.Pool
        Pool that serves the call's class.
    call : state.Call
        The call to place.
    now_s : float
        Monotonic time.
    top : bool
        Whether the call is sent with the top tier's priority.

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

    Other zones are considered only if no server of the own zone has much free
    capacity.  Servers whose reports have stopped are used only if no server of
    the pool reports.
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
    """Return a sample of bounded size of the servers to compare."""
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
        if not is_usable(server, now_s) or not noticed_servers.may_send(
            core, server, now_s
        ):
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
    """Return the servers of the call's provider, or all if it has none among them."""
    if call.provider is None:
        return found
    own = [c for c in found if c.server.backend.provider == call.provider]
    return own or found


def has_stopped_reporting(server: state.Server, now_s: float) -> bool:
    """Return whether the load reports of a server are overdue.

    A router of many servers polls each of them less often, so the timeout grows with
    the interval between the last two reports.
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
    """Return whether a server's failures, reports and speed allow it this call."""
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
    """Return the usable servers of a pool that run no isolated suspect."""
    found = []
    for name in pool.subset:
        server = core.servers[name]
        if not is_usable(server, now_s) or has_stopped_reporting(server, now_s):
            continue
        if not noticed_servers.may_send(core, server, now_s):
            continue
        if not (server.suspects or server.peers_suspects or server.speed.ejected):
            found.append(name)
    return found


def _with_prefix(
    core: state.Core, call: state.Call, found: list[Candidate]
) -> list[Candidate]:
    """Return the servers with the longest cached prefix, without overloaded ones.

    Return all servers if none has a cached prefix.
    """
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
