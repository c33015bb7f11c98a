"""Requests that crash backend servers: suspects, and their quarantine.

All calls in flight at a crash become suspects.  A suspect that had only
started, or stood in a second crash, is isolated: no two isolated suspects run
on one server, so that a further crash points at one of them.  A suspect that
finishes, or gets well past the point where it stood, is cleared.  A
fingerprint is quarantined in its second crash if it was the only isolated
suspect there, else in its third.  Routers share all this by digests: each
tells only of what it saw itself, so that a cleared suspect is cleared
everywhere.
"""

from hickoryweir.outcomes import refusals
from hickoryweir.policy import events, state

SUSPECT_TIMEOUT_S = 600.0
QUARANTINE_TIMEOUT_S = 3600.0
FINGERPRINTS_MAX_COUNT = 1024
CLEARED_AFTER_TOKENS = 32
ISOLATED_BELOW_TOKENS = 128
QUARANTINE_PROPAGATION_S = 0.6
ISOLATION_MAX_S = 5.0
CRASHES_MAX = 3


def is_isolated(core: state.Core, fingerprint: str) -> bool:
    """Return whether a fingerprint must not run beside another suspect."""
    suspect = core.suspects.get(fingerprint)
    if suspect is None:
        return fingerprint in core.peer_suspects
    return suspect.crashes >= 2 or suspect.tokens < ISOLATED_BELOW_TOKENS


def record_crash(core: state.Core, server: state.Server) -> None:
    """Note how many suspects a crash hit; called before its calls are ended.

    The same fingerprint at several routers is one suspect.
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
    if not core.settings.mechanisms.poison or fingerprint in core.quarantined:
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
    """Refuse a fingerprint from now on."""
    core.suspects.pop(fingerprint, None)
    if fingerprint not in core.quarantined:
        core.counters.quarantines += 1
    core.quarantined[fingerprint] = now_s
    _evict_oldest(core.quarantined)


def clear(core: state.Core, call: state.Call, attempt: state.Attempt) -> None:
    """Clear a call's fingerprint of suspicion."""
    fingerprint = call.arrived.fingerprint
    core.suspects.pop(fingerprint, None)
    server = core.servers.get(attempt.server)
    if server is not None:
        server.suspects.discard(fingerprint)


def progressed(core: state.Core, call: state.Call, attempt: state.Attempt) -> None:
    """Clear a suspect that got well past the point of its crash."""
    suspect = core.suspects.get(call.arrived.fingerprint)
    if suspect is None:
        return
    total_tokens = call.resume_tokens + attempt.tokens
    if total_tokens >= suspect.tokens + CLEARED_AFTER_TOKENS:
        clear(core, call, attempt)


def merge_quarantine(
    core: state.Core, digest: events.PeerDigestReceived, now_s: float
) -> list[state.Call]:
    """Take quarantined fingerprints from a peer; return the calls to refuse."""
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


def is_claimed_by_peer(core: state.Core, pool: state.Pool, fingerprint: str) -> bool:
    """Return whether a router before this one waits to run the same suspect.

    One router at a time runs a suspect, the first by name.
    """
    waiting = (fingerprint, pool.name)
    return any(
        waiting in peer.digest.suspects_placed
        for router, peer in core.peers.items()
        if router < core.settings.router
    )


def earliest_dispatch_s(core: state.Core, fingerprint: str, now_s: float) -> float:
    """Return when a call that arrives may be sent.

    A peer's suspect waits until a quarantine there would be known here.
    """
    is_peer_suspect = fingerprint in core.peer_suspects
    return now_s + QUARANTINE_PROPAGATION_S * is_peer_suspect


def suspects_placed(core: state.Core) -> list[tuple[str, str]]:
    """Return the isolated suspects at hand, with their server or model name."""
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
    """Return which free server each waiting suspect of a pool may use.

    Every router gets the same result from the same digests, so that suspects
    of different routers don't meet on one server.
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
    """Forget what is old; both tables are in order of time."""
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
