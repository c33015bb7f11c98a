"""Choice of a backend server: affinity first, then the better of two at random.

Only the router's subset of a pool is looked at, so the cost of a choice does
not grow with the fleet.  Servers of the own availability zone go first; calls
spill to other zones when the own zone has no room.  The pool's top tier may go
to a full engine, which then preempts its lowest priority.
"""

import dataclasses

from hickoryweir.configuration import model
from hickoryweir.policy import affinity, events, load, state, stragglers

RESERVE_SHARE = 0.07
TOP_OVERCOMMIT_CALLS = 1
AFFINITY_SLACK = 0.15
SPILL_SLACK = 0.25
SILENT_AFTER_S = 3.5


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server with room, and how loaded it is, 0 to 1 and above."""

    load_share: float
    name: str
    local: bool


def usable(server: state.Server, now_s: float) -> bool:
    """Return whether a backend server may get new work at all."""
    return server.state is events.ServerState.LIVE and server.down_until_s <= now_s


def is_top(
    core: state.Core, pool: state.Pool, request_class: model.RequestClass
) -> bool:
    """Return whether no class of the pool stands above this one."""
    return request_class.tier == core.queues[pool.class_names[0]].request_class.tier


def has_room(
    core: state.Core, pool: state.Pool, server: state.Server, top: bool, now_s: float
) -> bool:
    """Return whether a backend server can take one more call."""
    limit = server.backend.max_concurrency
    occupied = load.occupancy(server, now_s)
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
    if call.provider is not None:
        own = [c for c in found if _provider(core, c.name) == call.provider]
        found = own or found
    if not found:
        return None
    found = _near(core, found)
    if core.settings.mechanisms.affinity and call.arrived.prefix_digests:
        found = _with_prefix(core, call, found)
    if len(found) > 2:
        found = core.random.sample(found, 2)
    return min(found, key=lambda item: item.load_share).name


def candidates(
    core: state.Core, pool: state.Pool, call: state.Call, now_s: float, top: bool
) -> list[Candidate]:
    """Return the backend servers of the subset that can take a call now.

    Servers that fell silent are left out while others still report.
    """
    zone = core.settings.availability_zone
    found = []
    silent = []
    heard = False
    for name in pool.subset:
        server = core.servers[name]
        if not usable(server, now_s):
            continue
        is_silent = fell_silent(server, now_s)
        heard = heard or not is_silent
        if name in call.avoid or not _allows(core, pool, server, call, now_s):
            continue
        if has_room(core, pool, server, top, now_s):
            share = load.occupancy(server, now_s) / server.backend.max_concurrency
            local = server.backend.availability_zone == zone
            (silent if is_silent else found).append(Candidate(share, name, local))
    return found if heard else silent


def fell_silent(server: state.Server, now_s: float) -> bool:
    """Return whether a server that used to report has stopped to."""
    return server.report is not None and now_s - server.heard_s > SILENT_AFTER_S


def _allows(
    core: state.Core,
    pool: state.Pool,
    server: state.Server,
    call: state.Call,
    now_s: float,
) -> bool:
    """Return whether a doubtful server may have this call, as a probe or at all."""
    if server.failures_in_row > 0 and server.calls:
        return False
    return stragglers.allows(core, pool, server, call, now_s)


def without_suspects(core: state.Core, pool: state.Pool, now_s: float) -> list[str]:
    """Return the usable servers of a pool on which no isolated suspect runs."""
    found = []
    for name in pool.subset:
        server = core.servers[name]
        if not usable(server, now_s) or fell_silent(server, now_s):
            continue
        if not (server.suspects or server.peers_suspects or server.speed.ejected):
            found.append(name)
    return found


def _provider(core: state.Core, name: str) -> str:
    return core.servers[name].backend.provider


def _near(core: state.Core, found: list[Candidate]) -> list[Candidate]:
    """Return the own zone's servers unless the others are clearly less loaded."""
    if not core.settings.mechanisms.zone_local:
        return found
    near = [item for item in found if item.local]
    if not near:
        core.counters.spills += 1
        return found
    least = min(item.load_share for item in found)
    if min(item.load_share for item in near) > least + SPILL_SLACK:
        core.counters.spills += 1
        return found
    return near


def _with_prefix(
    core: state.Core, call: state.Call, found: list[Candidate]
) -> list[Candidate]:
    """Return the servers with the longest cached prefix that are not overloaded."""
    digests = call.arrived.prefix_digests
    least = min(item.load_share for item in found)
    open_to = [item for item in found if item.load_share <= least + AFFINITY_SLACK]
    matched = [
        affinity.matched_blocks(core.servers[item.name], digests) for item in open_to
    ]
    best = max(matched)
    if best == 0:
        return found
    core.counters.affinity_hits += 1
    return [
        item for item, blocks in zip(open_to, matched, strict=True) if blocks == best
    ]
