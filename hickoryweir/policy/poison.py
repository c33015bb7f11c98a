"""Requests that crash backend servers: suspects, and their quarantine.

All calls in flight at a crash become suspects.  Suspects are placed apart, so
that a second crash points at one of them; a suspect that finishes, or gets
well past the point where it stood at the crash, is cleared.  A fingerprint in
its second crash is quarantined if it was the only suspect there, else in its
third.  Routers share both by digests.
"""

from hickoryweir.outcomes import refusals
from hickoryweir.policy import attempts, events, state

SUSPECT_TIMEOUT_S = 600.0
QUARANTINE_TIMEOUT_S = 3600.0
FINGERPRINTS_COUNT = 1024
CLEARED_AFTER_TOKENS = 64


def is_suspect(core: state.Core, call: state.Call) -> bool:
    """Return whether a call's fingerprint stood in a crash."""
    return call.arrived.fingerprint in core.suspects


def note_crash(core: state.Core, server: state.Server, now_s: float) -> None:
    """Note which suspects a crash hit; called before its calls are ended."""
    server.crash_group = len(server.suspects) + server.peers_suspects


def note_victim(
    core: state.Core,
    server: state.Server,
    call: state.Call,
    attempt: state.Attempt,
    now_s: float,
) -> None:
    """Make a call that was in flight at a crash a suspect, or quarantine it."""
    if not core.settings.mechanisms.poison:
        return
    fingerprint = call.arrived.fingerprint
    suspect = core.suspects.pop(fingerprint, None)
    if suspect is None:
        suspect = state.Suspect(0, now_s)
    suspect.crashes += 1
    suspect.seen_s = now_s
    suspect.tokens = call.tokens_kept + attempt.tokens
    core.suspects[fingerprint] = suspect
    if suspect.crashes >= 3 or (suspect.crashes == 2 and server.crash_group <= 1):
        quarantine(core, fingerprint, now_s)
    _bound(core.suspects)


def quarantine(core: state.Core, fingerprint: str, now_s: float) -> None:
    """Refuse a fingerprint from now on."""
    core.suspects.pop(fingerprint, None)
    if fingerprint not in core.quarantined:
        core.counters.quarantines += 1
    core.quarantined[fingerprint] = now_s
    _bound(core.quarantined)


def cleared(core: state.Core, call: state.Call) -> None:
    """Clear a call's fingerprint: it finished."""
    core.suspects.pop(call.arrived.fingerprint, None)


def progressed(core: state.Core, call: state.Call, attempt: state.Attempt) -> None:
    """Clear a suspect that got well past the point of its crash."""
    suspect = core.suspects.get(call.arrived.fingerprint)
    if suspect is None:
        return
    total = call.tokens_kept + attempt.tokens
    if total >= suspect.tokens + CLEARED_AFTER_TOKENS:
        cleared(core, call)
        server = core.servers.get(attempt.server)
        if server is not None:
            server.suspects.discard(call.arrived.fingerprint)


def learn(core: state.Core, digest: events.PeerDigestReceived, now_s: float) -> list:
    """Take suspects and quarantined fingerprints from a peer."""
    if not core.settings.mechanisms.poison:
        return []
    for fingerprint in digest.suspects:
        if fingerprint not in core.suspects and fingerprint not in core.quarantined:
            core.suspects[fingerprint] = state.Suspect(1, now_s)
    fresh = [item for item in digest.quarantined if item not in core.quarantined]
    for fingerprint in fresh:
        quarantine(core, fingerprint, now_s)
    _bound(core.suspects)
    return refuse_quarantined(core, set(fresh), now_s) if fresh else []


def refuse_quarantined(core: state.Core, fingerprints: set[str], now_s: float) -> list:
    """Refuse the calls at hand that have a quarantined fingerprint."""
    done = []
    for call in list(core.calls.values()):
        if call.arrived.fingerprint in fingerprints:
            done += attempts.refuse(core, call, refusal(attempts.ran(call)), now_s)
    return done


def refusal(ran: refusals.Ran = refusals.Ran.NO) -> refusals.Refusal:
    """Return the refusal of a quarantined request."""
    return refusals.make_refusal(
        refusals.Reason.QUARANTINED, "this request made backend servers crash", ran=ran
    )


def age_out(core: state.Core, now_s: float) -> None:
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


def _bound(table: dict) -> None:
    while len(table) > FINGERPRINTS_COUNT:
        del table[next(iter(table))]
