"""Detection and quarantine of poison requests, which crash backend servers.

All calls in flight at a crash become suspects.  A suspect with few output tokens
at its crash, or with a second crash, is isolated: no two isolated suspects run on
one server, so a further crash identifies one of them.  A suspect that finishes, or
gets well past its position at the crash, is cleared.  A fingerprint is quarantined
at its second crash if it was the only isolated suspect there, otherwise at its
third.  Routers exchange this state by digests.  Each router reports only suspects
that it observed itself, so a suspect that it clears is cleared at all routers.
"""

from hickoryweir.outcomes import refusals
from hickoryweir.policy import crashing_prefixes, events, state

SUSPECT_TIMEOUT_S = 600.0
QUARANTINE_TIMEOUT_S = 3600.0
FINGERPRINTS_MAX_COUNT = 1024
# A suspect is cleared this many output tokens after its position at the crash.
CLEARED_AFTER_TOKENS = crashing_prefixes.PROGRESS_TOKENS
# After one crash, a suspect is isolated if it had fewer output tokens.
ISOLATED_BELOW_TOKENS = 128
# Time in which a peer's quarantine reaches this router by digests.
QUARANTINE_PROPAGATION_S = 0.6
# Longest time that a suspect of one crash waits for a server without suspects.
ISOLATION_MAX_S = 5.0
CRASHES_MAX = 3


def is_isolated(core: state.Core, fingerprint: str) -> bool:
    """Return whether a fingerprint must not share a server with another suspect."""
    suspect = core.suspects.get(fingerprint)
    if suspect is None:
        return fingerprint in core.peer_suspects
    return suspect.crashes >= 2 or suspect.tokens < ISOLATED_BELOW_TOKENS


def record_crash(core: state.Core, server: state.Server) -> None:
    """Count the isolated suspects on a crashed server, before its calls are ended.

    The same fingerprint at several routers counts as one suspect.
    """
    affected = set(server.suspects)
    for peer in core.peers.values():
        affected.update(
            fingerprint
            for fingerprint, place in peer.digest.suspects_placed
            if place == server.backend.name
        )
    server.suspects_at_crash_count = len(affected)


def record_crashed_call(
    core: state.Core,
    server: state.Server,
    call: state.Call,
    attempt: state.Attempt,
    now_s: float,
) -> None:
    """Make a call that was in flight at a crash a suspect, or quarantine it."""
    fingerprint = call.arrived.fingerprint
    if not core.settings.mechanisms.poison:
        return
    if attempt.tokens < crashing_prefixes.PROGRESS_TOKENS:
        name = call.request_class.target_name
        crashing_prefixes.record_lost_call(
            core.prefixes, name, call.arrived, attempt.server, now_s
        )
    if fingerprint in core.quarantined:
        return
    suspect = core.suspects.pop(fingerprint, None)
    if suspect is None:
        suspect = state.Suspect(0, now_s)
    suspect.crashes += 1
    crashes = suspect.crashes + int(fingerprint in core.peer_suspects)
    suspect.seen_s = now_s
    suspect.tokens = call.resume_tokens + attempt.tokens
    core.suspects[fingerprint] = suspect
    was_only_suspect = (
        fingerprint in server.suspects and server.suspects_at_crash_count <= 1
    )
    if crashes >= CRASHES_MAX or (crashes == 2 and was_only_suspect):
        quarantine(core, fingerprint, now_s)
    _evict_oldest(core.suspects)


def quarantine(core: state.Core, fingerprint: str, now_s: float) -> None:
    """Add a fingerprint to the quarantine, so that it is refused."""
    core.suspects.pop(fingerprint, None)
    if fingerprint not in core.quarantined:
        core.counters.quarantines += 1
    core.quarantined[fingerprint] = now_s
    _evict_oldest(core.quarantined)


def is_refused(core: state.Core, call: state.Call) -> bool:
    """Return whether a call must not run, because of itself or of a prefix."""
    is_quarantined = call.arrived.fingerprint in core.quarantined
    return is_quarantined or crashing_prefixes.is_blocked(
        core.prefixes, call.request_class.target_name, call.arrived
    )


def clear(
    core: state.Core, call: state.Call, attempt: state.Attempt, now_s: float
) -> None:
    """Remove a call's fingerprint from the suspects, and clear its prefixes."""
    _record_progress(core, call, now_s)
    _clear_fingerprint(core, call, attempt)


def _record_progress(core: state.Core, call: state.Call, now_s: float) -> None:
    name = call.request_class.target_name
    crashing_prefixes.record_progress(core.prefixes, name, call.arrived, now_s)


def _clear_fingerprint(
    core: state.Core, call: state.Call, attempt: state.Attempt
) -> None:
    fingerprint = call.arrived.fingerprint
    core.suspects.pop(fingerprint, None)
    server = core.servers.get(attempt.server)
    if server is not None:
        server.suspects.discard(fingerprint)


def progressed(
    core: state.Core, call: state.Call, attempt: state.Attempt, now_s: float
) -> None:
    """Clear a suspect that got well past its position at the crash."""
    if attempt.tokens >= crashing_prefixes.PROGRESS_TOKENS:
        _record_progress(core, call, now_s)
    suspect = core.suspects.get(call.arrived.fingerprint)
    if suspect is None:
        return
    total_tokens = call.resume_tokens + attempt.tokens
    if total_tokens >= suspect.tokens + CLEARED_AFTER_TOKENS:
        _clear_fingerprint(core, call, attempt)


def merge_quarantine(
    core: state.Core, digest: events.PeerDigestReceived, now_s: float
) -> list[state.Call]:
    """Merge a peer's quarantined fingerprints; return the calls to refuse."""
    if not core.settings.mechanisms.poison:
        return []
    new_fingerprints = {
        item for item in digest.quarantined if item not in core.quarantined
    }
    for fingerprint in new_fingerprints:
        quarantine(core, fingerprint, now_s)
    if not new_fingerprints:
        return []
    return [c for c in core.calls.values() if c.arrived.fingerprint in new_fingerprints]


def is_reserved_for_peer(core: state.Core, pool: state.Pool, fingerprint: str) -> bool:
    """Return whether a router with a smaller name has the same suspect queued.

    One router at a time runs a suspect, in the order of the routers' names.
    """
    waiting = (fingerprint, pool.name)
    return any(
        waiting in peer.digest.suspects_placed
        for router, peer in core.peers.items()
        if router < core.settings.router
    )


def earliest_dispatch_s(core: state.Core, fingerprint: str, now_s: float) -> float:
    """Return the earliest time at which a new call may be dispatched.

    A suspect of a peer is delayed until a quarantine by the peer would be known here.
    """
    is_peer_suspect = fingerprint in core.peer_suspects
    return now_s + QUARANTINE_PROPAGATION_S * is_peer_suspect


def suspects_placed(core: state.Core) -> list[tuple[str, str]]:
    """Return the isolated suspects of this router with their place.

    The place is the backend server, or the model or service while the call is queued.
    """
    placed = [
        (fingerprint, name)
        for name, server in core.servers.items()
        for fingerprint in sorted(server.suspects)
    ]
    for pool in core.pools.values():
        placed += [
            (call.arrived.fingerprint, pool.name)
            for call in pool.suspects
            if call.queued
        ]
    return placed


def assign_servers(
    core: state.Core, pool: state.Pool, free_servers: list[str]
) -> dict[str, str]:
    """Return the free server that each queued suspect of a pool may use.

    Every router computes the same result from the same digests, so suspects of
    different routers don't share a server.
    """
    waiting = {call.arrived.fingerprint for call in pool.suspects if call.queued}
    for peer in core.peers.values():
        waiting.update(
            fingerprint
            for fingerprint, place in peer.digest.suspects_placed
            if place == pool.name
        )
    return dict(zip(sorted(waiting), sorted(free_servers), strict=False))


def refusal(ran: refusals.Ran = refusals.Ran.NO) -> refusals.Refusal:
    """Return the refusal of a quarantined request."""
    return refusals.make_refusal(
        refusals.Reason.QUARANTINED, "this request made backend servers crash", ran=ran
    )


def remove_expired(core: state.Core, now_s: float) -> None:
    """Remove expired suspects and quarantines; both tables are ordered by time."""
    crashing_prefixes.remove_expired(core.prefixes, now_s)
    while core.suspects:
        fingerprint = next(iter(core.suspects))
        if core.suspects[fingerprint].seen_s > now_s - SUSPECT_TIMEOUT_S:
            break
        del core.suspects[fingerprint]
    while core.quarantined:
        fingerprint = next(iter(core.quarantined))
        if core.quarantined[fingerprint] > now_s - QUARANTINE_TIMEOUT_S:
            break
        del core.quarantined[fingerprint]


def _evict_oldest(table: dict) -> None:
    while len(table) > FINGERPRINTS_MAX_COUNT:
        del table[next(iter(table))]
