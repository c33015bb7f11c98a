"""Spreads policy digests among routers within a bound of bytes.

Each digest travels from link to link; a link gets a digest once for each
sequence number.  In a large cluster a digest leaves its zone without load
figures, since only quarantine, suspicion and ejection matter there.
"""

import dataclasses

from hickoryweir.policy import events
from hickoryweir.routers import messages
from hickoryweir.streams import codec

PERIOD_S = 0.5
LOST_S = 6.0
BUDGET_BYTES_PER_S = 4096
MIN_LINK_BUDGET_BYTES = 256
SMALL_CLUSTER_COUNT = 16
MAX_DIGEST_SIZE_BYTES = 4096


@dataclasses.dataclass(slots=True)
class State:
    """The newest digest of each router, and when it came."""

    known: dict[str, tuple[messages.RouterDigest, float]] = dataclasses.field(
        default_factory=dict
    )
    sequence: int = 0
    sent_at_s: float = float("-inf")


def _order(digest: messages.RouterDigest) -> tuple[int, int]:
    return digest.incarnation, digest.sequence


def add_local(
    state: State, event: events.PeerDigestReceived, incarnation: int, now_s: float
) -> None:
    """Take the digest of this router's own policy core."""
    state.sequence += 1
    digest = messages.RouterDigest(
        event.router,
        event.availability_zone,
        incarnation,
        state.sequence,
        event.running,
        event.suspects,
        event.quarantined,
        event.ejected,
    )
    state.known[event.router] = (digest, now_s)


def take(
    state: State, received: tuple[messages.RouterDigest, ...], me: str, now_s: float
) -> list[events.PeerDigestReceived]:
    """Take digests from a peer and return the new ones for the policy core."""
    taken = []
    for digest in received:
        if digest.router == me or digest.age_s >= LOST_S:
            continue
        known = state.known.get(digest.router)
        if known is None or _order(digest) > _order(known[0]):
            state.known[digest.router] = (digest, now_s - digest.age_s)
            taken.append(_to_event(digest))
    return taken


def _to_event(digest: messages.RouterDigest) -> events.PeerDigestReceived:
    return events.PeerDigestReceived(
        digest.router,
        digest.availability_zone,
        digest.running,
        digest.suspects,
        digest.quarantined,
        digest.ejected,
    )


def tick(state: State, router, now_s: float):
    """Return digests of lost routers, emptied, and batches to send by peer.

    Parameters
    ----------
    state : State
        Changed in place.
    router : core.State
        Gives links, members and this router's zone.
    now_s : float
        Monotonic time.

    Returns
    -------
    tuple
        List of PeerDigestReceived, list of (peer, tuple of RouterDigest).
    """
    lost = _drop_lost(state, router.me.name, now_s)
    if now_s < state.sent_at_s + PERIOD_S or not router.links:
        return lost, []
    state.sent_at_s = now_s
    share_bytes = int(BUDGET_BYTES_PER_S * PERIOD_S / len(router.links))
    budget_bytes = max(share_bytes, MIN_LINK_BUDGET_BYTES)
    zones = {each.name: each.availability_zone for each in router.members}
    is_small = len(router.members) <= SMALL_CLUSTER_COUNT
    batches = []
    for peer, link in router.links.items():
        whole = is_small or zones.get(peer) == router.me.availability_zone
        batch = _batch(state, link.sent_digests, peer, whole, budget_bytes, now_s)
        if batch:
            batches.append((peer, batch))
    return lost, batches


def _drop_lost(state, me, now_s):
    lost = []
    for name, (digest, at_s) in list(state.known.items()):
        if name != me and now_s - at_s >= LOST_S:
            del state.known[name]
            empty = dataclasses.replace(
                digest, running=(), suspects=(), quarantined=(), ejected=()
            )
            lost.append(_to_event(empty))
    return lost


def _batch(state, sent, peer, whole, budget_bytes, now_s):
    batch = []
    left_bytes = budget_bytes
    pending = sorted(
        (
            dataclasses.replace(digest, age_s=now_s - at_s)
            for digest, at_s in state.known.values()
        ),
        key=lambda digest: (not digest.quarantined, sent.get(digest.router, (-1, -1))),
    )
    for digest in pending:
        if digest.router == peer or sent.get(digest.router, (-1, -1)) >= _order(digest):
            continue
        outgoing = digest if whole else dataclasses.replace(digest, running=())
        size_bytes = len(codec.encode(outgoing))
        if size_bytes > left_bytes and batch:
            break
        sent[digest.router] = _order(digest)
        if size_bytes > MAX_DIGEST_SIZE_BYTES:
            continue
        left_bytes -= size_bytes
        batch.append(outgoing)
    return tuple(batch)
