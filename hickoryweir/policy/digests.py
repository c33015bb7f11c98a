"""State digests exchanged by routers, bounded in size and expiring."""

import collections

from hickoryweir.policy import (
    attempts,
    crashing_prefixes,
    events,
    noticed_servers,
    poison,
    state,
)

PEER_TIMEOUT_S = 3.0
SERVERS_MAX_COUNT = 40
FINGERPRINTS_MAX_COUNT = 10


def make(core: state.Core, now_s: float) -> events.PeerDigestReceived:
    """Return the digest of this router for its peers."""
    busy = [(n, s) for n, s in core.servers.items() if s.calls]
    busy.sort(key=lambda item: -len(item[1].calls))
    busy = busy[:SERVERS_MAX_COUNT]
    suspects = [item for item in core.suspects if poison.is_isolated(core, item)]
    return events.PeerDigestReceived(
        core.settings.router,
        core.settings.availability_zone,
        tuple((name, len(server.calls)) for name, server in busy),
        tuple(suspects[-FINGERPRINTS_MAX_COUNT:]),
        tuple(list(core.quarantined)[-FINGERPRINTS_MAX_COUNT:]),
        tuple(n for n, s in core.servers.items() if s.speed.ejected)[
            :SERVERS_MAX_COUNT
        ],
        tuple((name, server.top_calls) for name, server in busy if server.top_calls),
        tuple(poison.suspects_placed(core)[:FINGERPRINTS_MAX_COUNT]),
        crashing_prefixes.shared_losses(core.prefixes, now_s),
        crashing_prefixes.shared_progress(core.prefixes, now_s),
        noticed_servers.shared_limits(core, now_s),
    )


def apply(core: state.Core, digest: events.PeerDigestReceived, now_s: float):
    """Replace the digest of a peer; refuse calls that it newly quarantines."""
    remove(core, digest.router)
    core.peers[digest.router] = state.Peer(digest, now_s)
    _apply_counts(core, digest, 1)
    for server in core.servers.values():
        server.peers_updated_at_s = now_s
    crashing_prefixes.merge(
        core.prefixes, digest.lost_calls, digest.prefix_progress, now_s
    )
    noticed_servers.merge(core, digest.limits, now_s)
    result = []
    for call in poison.merge_quarantine(core, digest, now_s):
        refusal = poison.refusal(attempts.ran(call))
        result += attempts.refuse(core, call, refusal, now_s)
    return result


def remove(core: state.Core, router: str) -> None:
    """Remove the last digest of a peer."""
    peer = core.peers.pop(router, None)
    if peer is not None:
        _apply_counts(core, peer.digest, -1)


def remove_expired(core: state.Core, now_s: float) -> None:
    """Remove the digests of peers that have sent none within the timeout."""
    for router in list(core.peers):
        if core.peers[router].received_s < now_s - PEER_TIMEOUT_S:
            remove(core, router)


def _apply_counts(
    core: state.Core, digest: events.PeerDigestReceived, sign: int
) -> None:
    for name, running in digest.running:
        if name in core.servers:
            core.servers[name].peers_running += sign * running
    for name, running in digest.running_top:
        if name in core.servers:
            core.servers[name].peers_top += sign * running
    for name in digest.ejected:
        if name in core.servers:
            core.servers[name].peers_ejected += sign
    for fingerprint, place in digest.suspects_placed:
        if place in core.servers:
            core.servers[place].peers_suspects += sign
            _add_to_count(core.peer_placed, fingerprint, sign)
    for fingerprint in digest.suspects:
        _add_to_count(core.peer_suspects, fingerprint, sign)


def _add_to_count(counts: collections.Counter, key: str, sign: int) -> None:
    counts[key] += sign
    if counts[key] <= 0:
        del counts[key]
