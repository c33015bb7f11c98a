"""Pools, subsets and queues of the configuration in force."""

import zlib

from hickoryweir.configuration import model
from hickoryweir.policy import events, lengths, state

# Servers that a router uses in its own availability zone, and in others.
LOCAL_SUBSET_COUNT = 40
REMOTE_SUBSET_COUNT = 12
# Share of the configured token rate assumed before the first answer.
INITIAL_SPEED_SHARE = 0.5


def install(core: state.Core, configuration: model.Configuration) -> None:
    """Rebuild classes, accounts, servers and pools; keep their learned state."""
    core.configuration = configuration
    core.classes = {item.name: item for item in configuration.classes}
    core.queues = {
        item.name: _reuse_queue(core, item) for item in configuration.classes
    } | {name: queue for name, queue in core.queues.items() if queue.length}
    core.accounts = {
        item.name: _reuse_account(core, item) for item in configuration.accounts
    } | {name: use for name, use in core.accounts.items() if use.calls}
    _install_servers(core)
    _install_pools(core)


def _reuse_queue(core: state.Core, item: model.RequestClass) -> state.ClassQueue:
    queue = core.queues.get(item.name)
    if queue is None:
        prior = lengths.make_lengths(item.expected_output_tokens)
        return state.ClassQueue(item, prior)
    queue.request_class = item
    return queue


def _reuse_account(core: state.Core, item: model.Account) -> state.AccountUse:
    use = core.accounts.get(item.name) or state.AccountUse(item)
    use.account = item
    return use


def _install_servers(core: state.Core) -> None:
    wanted = {item.name: item for item in core.configuration.backend_servers}
    for name, item in wanted.items():
        server = core.servers.get(name)
        if server is None:
            core.servers[name] = state.Server(item)
        else:
            server.backend = item
    for name in [name for name in core.servers if name not in wanted]:
        if core.servers[name].calls:
            core.servers[name].state = events.ServerState.LEAVING
        else:
            del core.servers[name]


def _install_pools(core: state.Core) -> None:
    previous_pools, core.pools = core.pools, {}
    request_classes = [queue.request_class for queue in core.queues.values()]
    for item in request_classes:
        key = (item.target, item.target_name)
        reused = previous_pools.get(key) or state.Pool(item.target, item.target_name)
        core.pools.setdefault(key, reused)
    for pool in core.pools.values():
        served = [
            item
            for item in request_classes
            if (item.target, item.target_name) == (pool.target, pool.name)
        ]
        served.sort(key=lambda item: (item.tier, item.name))
        pool.class_names = tuple(item.name for item in served)
        pool.members = tuple(
            item.name
            for item in core.configuration.backend_servers
            if item.target == pool.target and pool.name in item.serves
        )
        _choose_subset(core, pool)
        if (pool.target, pool.name) not in previous_pools:
            pool.slot_cost_per_s = _initial_rate(core, pool)


def _initial_rate(core: state.Core, pool: state.Pool) -> float:
    """Return the service rate of one call before the first answer, in cost/s."""
    if pool.target is model.Target.SERVICE or not pool.members:
        return 1.0
    speeds = [core.servers[name].backend.tokens_per_s for name in pool.members]
    return max(1.0, INITIAL_SPEED_SHARE * sum(speeds) / len(speeds))


def _choose_subset(core: state.Core, pool: state.Pool) -> None:
    """Choose the servers that this router uses by rendezvous hashing."""
    router = core.settings.router

    def rank(name: str) -> int:
        return zlib.crc32(f"{router}/{name}".encode())

    zone = core.settings.availability_zone
    ranked = [core.servers[name] for name in sorted(pool.members, key=rank)]
    near = [s for s in ranked if s.backend.availability_zone == zone]
    far = [s for s in ranked if s.backend.availability_zone != zone]
    pool.near = tuple(near[:LOCAL_SUBSET_COUNT])
    pool.far = tuple(far[:REMOTE_SUBSET_COUNT])
    pool.subset = tuple(item.backend.name for item in pool.near + pool.far)
