"""Ejection and probing of backend servers that are slower than their pool.

The time between tokens is compared with the median of the pool.  A server that
stays slow is ejected for some time, and then probed by single calls.  At most a
fixed share of the pool is ejected.
"""

import statistics

from hickoryweir.forwarding_policy import doubling
from hickoryweir.policy import state

# Weight of a new sample in the moving average of the time between tokens.
SMOOTHING = 0.3
SAMPLES_MIN = 4
SAMPLE_MIN_S = 1e-4
SAMPLE_MAX_S = 2.0
# Ratios to the median of the pool.
SLOW_RATIO = 2.5
RESTORED_RATIO = 1.6
SLOW_FOR_S = 0.5
# Bounds of the ejection time, which doubles with each ejection.
EJECT_MIN_S = 5.0
EJECT_MAX_S = 60.0
EJECTED_SHARE_MAX = 0.34
# Time after an ejection in which calls of the top tier are not used as probes.
TOP_PROBE_AFTER_S = 5.0
# Limits for a server that another router has ejected.
PEER_SAMPLES_MIN = 2
PEER_SLOW_RATIO = 1.8


def observe(
    core: state.Core, server: state.Server, between_tokens_s: float, now_s: float
) -> None:
    """Add one sample of the time between tokens."""
    speed = server.speed
    sample = max(SAMPLE_MIN_S, min(between_tokens_s, SAMPLE_MAX_S))
    if speed.between_tokens_s is None:
        speed.between_tokens_s = sample
    speed.between_tokens_s += SMOOTHING * (sample - speed.between_tokens_s)
    speed.samples += 1


def review(core: state.Core, pool: state.Pool, now_s: float) -> None:
    """Eject, probe and restore the servers of a pool; called at each tick."""
    if not core.settings.mechanisms.stragglers:
        return
    measured = [
        core.servers[name]
        for name in pool.subset
        if core.servers[name].speed.between_tokens_s is not None
    ]
    if len(measured) < 2:
        return
    healthy = [s for s in measured if not (s.speed.ejected or s.speed.probing)]
    median_s = statistics.median(
        item.speed.between_tokens_s for item in healthy or measured
    )
    for server in measured:
        _review_one(core, pool, server, median_s, now_s)


def _review_one(
    core: state.Core,
    pool: state.Pool,
    server: state.Server,
    median_s: float,
    now_s: float,
) -> None:
    speed = server.speed
    if speed.ejected:
        if now_s >= speed.ejected_until_s:
            speed.ejected = False
            speed.probing = True
            speed.samples = 0
            speed.between_tokens_s = median_s
        return
    ratio = speed.between_tokens_s / median_s
    is_ejected_by_peer = server.peers_ejected > 0 and speed.samples >= PEER_SAMPLES_MIN
    if is_ejected_by_peer and ratio >= PEER_SLOW_RATIO:
        _eject(core, pool, server, now_s)
        return
    if speed.samples < SAMPLES_MIN:
        return
    if speed.probing and ratio < RESTORED_RATIO:
        speed.probing = False
        speed.ejections = 0
    if ratio < SLOW_RATIO:
        speed.slow_since_s = None
        return
    if speed.slow_since_s is None:
        speed.slow_since_s = now_s
    if speed.probing or now_s - speed.slow_since_s >= SLOW_FOR_S:
        _eject(core, pool, server, now_s)


def _eject(
    core: state.Core, pool: state.Pool, server: state.Server, now_s: float
) -> None:
    ejected_count = sum(core.servers[n].speed.ejected for n in pool.subset)
    if ejected_count + 1 > max(1.0, EJECTED_SHARE_MAX * len(pool.subset)):
        return
    speed = server.speed
    speed.ejected = True
    speed.probing = False
    speed.slow_since_s = None
    speed.ejected_until_s = now_s + doubling.pause_s(
        EJECT_MIN_S, EJECT_MAX_S, speed.ejections
    )
    speed.ejections += 1
    core.counters.ejections += 1


def may_receive(
    core: state.Core,
    pool: state.Pool,
    server: state.Server,
    call: state.Call,
    now_s: float,
) -> bool:
    """Return whether a server's speed allows it a call, possibly as a probe.

    Probes are idempotent calls, and at first none of the pool's top tier.
    """
    speed = server.speed
    if speed.ejected:
        return False
    if not speed.probing:
        return True
    if server.calls or not call.request_class.idempotent:
        return False
    top = core.queues[pool.class_names[0]].request_class.tier
    return (
        call.request_class.tier > top
        or now_s > speed.ejected_until_s + TOP_PROBE_AFTER_S
    )
