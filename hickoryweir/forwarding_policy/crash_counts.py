"""Requests that crash the backend servers that run them.

Handles a request that crashes a server each time its caller sends it again, at any
router.  Each router records the servers on which a request was lost, receives the
losses seen by other routers, and refuses the request once it has been lost on several
servers.  A request that completes anywhere is cleared, so a request that was merely in
flight at a crash is not refused.  Losses merge in any order and number of times.

A reset connection, a response that was broken off or a mute request ends no server.  A
loss therefore counts here from its first moment, and is withdrawn if the server turns
out to have survived it (:mod:`hickoryweir.forwarding_policy.server_survival`); the
others are told only of a loss that its server did not survive.
"""

import collections
import dataclasses

import xxhash

# A lower limit would refuse requests that were merely in flight at a crash.
MIN_CRASHES_COUNT = 3
# A request in as many crashes is refused for as long as it comes.
MAX_CRASHES_COUNT = 5
# When a blocked request is tried again after its last crash, and the growth of later
# waits.
TRIAL_AFTER_S = 120.0
TRIAL_BACKOFF = 4
# The router that saw the last crash tries first, so that no two do at the same time.
OTHERS_TRIAL_FACTOR = 2
# The same loss, as replicas tell it, may be dated later by this.
SAME_TIME_S = 0.5
# Callers that send a request again do so sooner.
RETENTION_S = 3_600.0
MAX_REQUESTS_COUNT = 2_048
# Losses on one server within this time are one.
SAME_LOSS_S = 2.0
# A server that restarts within a check seems to survive, so a router withdraws no more
# losses of a request than this without a completion or a stream that lasts.
MAX_SURVIVED_COUNT = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """The loss of a request on a server."""

    server_id: str
    lost_s: float


@dataclasses.dataclass(slots=True)
class CrashCounts:
    """Servers and times at which each request was lost, oldest request first.

    Attributes
    ----------
    servers : collections.OrderedDict
        When a request was lost on each server since it last completed, by its hash.
    cleared_at_s : collections.OrderedDict
        When a request that had been lost has completed, by its hash.
    refused_at_s : dict
        When a blocked request was last refused, by its hash.
    own_lost_at_s : dict
        When a request was last lost by this router, by its hash.
    tried_at_s : dict
        When this router last let a blocked request through, by its hash.
    unverified : dict
        Own losses whose servers are being checked, by the hash of the request.
    survived_counts : collections.OrderedDict
        Losses of a request that were withdrawn since it last made progress, by its
        hash.
    """

    servers: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    cleared_at_s: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    refused_at_s: dict[int, float] = dataclasses.field(default_factory=dict)
    own_lost_at_s: dict[int, float] = dataclasses.field(default_factory=dict)
    tried_at_s: dict[int, float] = dataclasses.field(default_factory=dict)
    unverified: dict[int, list[Loss]] = dataclasses.field(default_factory=dict)
    survived_counts: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )


def fingerprint(key: str, method: str, target: str, body: bytes) -> int:
    """Return a hash that is equal for equal requests of one caller."""
    digest = xxhash.xxh64(f"{key}\n{method}\n{target}\n".encode())
    digest.update(body)
    return digest.intdigest()


def record_loss(
    counts: CrashCounts, request: int, server_id: str, lost_s: float
) -> bool:
    """Record that a request was lost on a server; return whether it is new.

    Examples
    --------
    >>> counts = CrashCounts()
    >>> for server_id in ("a", "a", "b"):
    ...     record_loss(counts, 7, server_id, 0.0)
    True
    False
    True
    >>> is_blocked(counts, 7, 1.0)
    False
    >>> record_loss(counts, 7, "c", 1.0), is_blocked(counts, 7, 2.0)
    (True, True)
    >>> clear(counts, 7, 3.0), is_blocked(counts, 7, 3.0)
    (3, False)
    >>> record_loss(counts, 7, "a", 2.5)
    False
    """
    if lost_s <= counts.cleared_at_s.get(request, float("-inf")):
        return False
    if _is_expired(counts, request, lost_s):
        _forget(counts, request)
    servers = counts.servers.setdefault(request, {})
    known_s = servers.get(server_id, float("-inf"))
    servers[server_id] = max(known_s, lost_s)
    counts.servers.move_to_end(request)
    while len(counts.servers) > MAX_REQUESTS_COUNT:
        _forget(counts, next(iter(counts.servers)))
    return lost_s - known_s >= SAME_LOSS_S


def record_unverified(
    counts: CrashCounts, request: int, server_id: str, lost_s: float
) -> Loss:
    """Count a loss on a server that is yet to be checked; return it.

    Examples
    --------
    >>> counts = CrashCounts()
    >>> losses = [record_unverified(counts, 7, name, 0.0) for name in "abc"]
    >>> is_blocked(counts, 7, 0.1), is_undecided(counts, 7)
    (True, True)
    >>> [settle(counts, 7, loss, has_survived=True) for loss in losses[:2]]
    [False, False]
    >>> settle(counts, 7, losses[2], has_survived=False), list(counts.servers[7])
    (True, ['c'])
    >>> is_blocked(counts, 7, 0.1), is_undecided(counts, 7)
    (False, False)
    """
    loss = Loss(server_id, lost_s)
    counts.unverified.setdefault(request, []).append(loss)
    return loss


def settle(
    counts: CrashCounts, request: int, loss: Loss, *, has_survived: bool
) -> bool:
    """Withdraw a loss that its server survived, or record it as a crash.

    Returns
    -------
    bool
        Whether it is a crash, which the others are to be told.
    """
    unverified = counts.unverified.get(request, [])
    if loss not in unverified:
        # The request has completed since.
        return False
    unverified.remove(loss)
    if not unverified:
        del counts.unverified[request]
    survived_count = counts.survived_counts.get(request, 0)
    if not has_survived or survived_count >= MAX_SURVIVED_COUNT:
        record_loss(counts, request, loss.server_id, loss.lost_s)
        if request in counts.servers:
            known_s = counts.own_lost_at_s.get(request, float("-inf"))
            counts.own_lost_at_s[request] = max(known_s, loss.lost_s)
        return True
    counts.survived_counts[request] = survived_count + 1
    counts.survived_counts.move_to_end(request)
    while len(counts.survived_counts) > MAX_REQUESTS_COUNT:
        counts.survived_counts.popitem(last=False)
    return False


def is_undecided(counts: CrashCounts, request: int) -> bool:
    """Return whether losses of a request may still be withdrawn."""
    return request in counts.unverified


def record_progress(counts: CrashCounts, request: int) -> None:
    """Record that a response to a request has lasted, which a quick crash rules out."""
    counts.survived_counts.pop(request, None)


def clear(counts: CrashCounts, request: int, completed_s: float) -> int:
    """Clear a request that completed; return on how many servers it had been lost."""
    record_progress(counts, request)
    unverified = counts.unverified.get(request, [])
    undecided = [loss for loss in unverified if loss.lost_s > completed_s]
    servers = counts.servers.get(request, {})
    later = {name: lost_s for name, lost_s in servers.items() if lost_s > completed_s}
    cleared = servers.keys() - later.keys()
    cleared |= {loss.server_id for loss in unverified if loss not in undecided}
    cleared_count = len(cleared)
    if not cleared_count:
        return 0
    if undecided:
        counts.unverified[request] = undecided
    else:
        counts.unverified.pop(request, None)
    if later:
        counts.servers[request] = later
    elif servers:
        _forget(counts, request)
    counts.cleared_at_s[request] = completed_s
    counts.cleared_at_s.move_to_end(request)
    while len(counts.cleared_at_s) > MAX_REQUESTS_COUNT:
        counts.cleared_at_s.popitem(last=False)
    return cleared_count


def _forget(counts: CrashCounts, request: int) -> None:
    del counts.servers[request]
    counts.refused_at_s.pop(request, None)
    counts.own_lost_at_s.pop(request, None)
    counts.tried_at_s.pop(request, None)


def _is_expired(counts: CrashCounts, request: int, now_s: float) -> bool:
    """Return whether a request was neither lost nor refused for long."""
    if request not in counts.servers:
        return False
    refused_s = counts.refused_at_s.get(request, float("-inf"))
    seen_s = max(refused_s, *counts.servers[request].values())
    return now_s - seen_s >= RETENTION_S


def is_blocked(counts: CrashCounts, request: int, now_s: float) -> bool:
    """Return whether a request is refused because it was lost on too many servers.

    It may have been in flight at their ends by chance, so it is tried now and then, a
    bounded number of times.
    """
    servers = _lost_at_s(counts, request, now_s)
    if len(servers) < MIN_CRASHES_COUNT:
        return False
    if len(servers) >= MAX_CRASHES_COUNT:
        return True
    last_s = max(servers.values())
    wait_s = TRIAL_AFTER_S * TRIAL_BACKOFF ** (len(servers) - MIN_CRASHES_COUNT)
    own_s = counts.own_lost_at_s.get(request, float("-inf"))
    if own_s < last_s - SAME_TIME_S:
        wait_s *= OTHERS_TRIAL_FACTOR
    return now_s - max(last_s, counts.tried_at_s.get(request, last_s)) < wait_s


def record_admission(counts: CrashCounts, request: int, now_s: float) -> bool:
    """Record that a request is sent; return whether it is the trial of a blocked one.

    The next trial follows as if this one had been lost at once, since a request may
    run for long before it crashes a server.

    Examples
    --------
    >>> counts = CrashCounts()
    >>> for name in "abc":
    ...     loss = record_unverified(counts, 7, name, 0.0)
    ...     _ = settle(counts, 7, loss, has_survived=False)
    >>> is_blocked(counts, 7, 121.0), record_admission(counts, 7, 121.0)
    (False, True)
    >>> is_blocked(counts, 7, 122.0), is_blocked(counts, 7, 242.0)
    (True, False)
    """
    if len(_lost_at_s(counts, request, now_s)) < MIN_CRASHES_COUNT:
        return False
    if request in counts.servers:
        counts.tried_at_s[request] = now_s
    return True


def _lost_at_s(counts: CrashCounts, request: int, now_s: float) -> dict[str, float]:
    """Return when a request was lost on each server, as far as that speaks against it.

    Losses that are being checked are among them.
    """
    servers = counts.servers.get(request, {})
    if _is_expired(counts, request, now_s):
        servers = {}
    unverified = counts.unverified.get(request)
    if not unverified:
        return servers
    found = dict(servers)
    for loss in unverified:
        known_s = found.get(loss.server_id, float("-inf"))
        found[loss.server_id] = max(known_s, loss.lost_s)
    return found


def record_refusal(counts: CrashCounts, request: int, now_s: float) -> None:
    """Record that a blocked request was refused."""
    if request in counts.servers:
        counts.refused_at_s[request] = now_s


def describe(counts: CrashCounts, request: int, now_s: float) -> str:
    """Return on which servers a request was lost, and how long ago.

    Examples
    --------
    >>> counts = CrashCounts()
    >>> _ = record_loss(counts, 7, "a", 1.0)
    >>> describe(counts, 7, 3.0)
    'equal requests lost: a 2.00 s ago; 0 withdrawn'
    """
    servers = _lost_at_s(counts, request, now_s)
    losses = ", ".join(
        f"{name} {now_s - lost_s:.2f} s ago" for name, lost_s in servers.items()
    )
    withdrawn_count = counts.survived_counts.get(request, 0)
    return f"equal requests lost: {losses or 'none'}; {withdrawn_count} withdrawn"
