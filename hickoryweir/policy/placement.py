"""Choice of a backend server: affinity first, then the better of two at random.

Only the router's subset of a pool is looked at, so the cost of a choice does
not grow with the fleet.  Servers of the own availability zone go first; calls
spill to other zones when the own zone has no room.
"""

from hickoryweir.configuration import model
from hickoryweir.policy import events, load, state

RESERVE_SHARE = 0.1
AFFINITY_LOAD_BOUND = 1.25
SUSPECTS_AT_ONCE = 1


def usable(server: state.Server, now_s: float) -> bool:
    """Return whether a backend server may get new work at all."""
    return server.state is events.ServerState.LIVE and server.down_until_s <= now_s


def slots(core: state.Core, pool: state.Pool, server: state.Server, top: bool) -> float:
    """Return how many calls a backend server may hold for a class's sake."""
    limit = server.backend.max_concurrency
    if top or not core.settings.mechanisms.reserve:
        return limit
    return limit - max(1, int(limit * RESERVE_SHARE))


def is_top(core: state.Core, pool: state.Pool, request_class: model.RequestClass):
    """Return whether no class of the pool stands above this one."""
    return request_class.tier == core.queues[pool.class_names[0]].request_class.tier


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
        Whether the call may use the slots kept for the top tier.

    Returns
    -------
    str or None
        Name of the backend server.
    """
    near: list[tuple[float, str]] = []
    far: list[tuple[float, str]] = []
    zone = core.settings.availability_zone
    for name in pool.subset:
        server = core.servers[name]
        if not usable(server, now_s) or name in call.avoid or server.ejected:
            continue
        load_share = load.occupancy(server, now_s) / server.backend.max_concurrency
        if load_share * server.backend.max_concurrency + 1 > slots(
            core, pool, server, top
        ):
            continue
        local = server.backend.availability_zone == zone
        (near if local else far).append((load_share, name))
    candidates = near or far
    if not core.settings.mechanisms.zone_local:
        candidates = near + far
    if not candidates:
        return None
    if not near:
        core.counters.spills += 1
    if len(candidates) > 2:
        candidates = core.random.sample(candidates, 2)
    return min(candidates)[1]
