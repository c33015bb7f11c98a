"""Gossips policy digests among routers within a byte budget.

Routers forward digests over all links.  A sequence number of a digest is sent at most
once per link, and each link has an equal share of the byte budget, in which the digests
take turns.  In a large cluster, a digest is sent to other zones without load figures,
and only if it has suspects, quarantined fingerprints, ejected servers or limits.
"""

import dataclasses

from hickoryweir.claims import holders
from hickoryweir.policy import events
from hickoryweir.routers import messages, topology
from hickoryweir.streams import codec

SEND_INTERVAL_S = 0.5
TIMEOUT_S = 6.0
TIMEOUT_PER_ROUTER_S = 0.25
BUDGET_BYTES_PER_S = 3072
BATCH_OVERHEAD_BYTES = 24
SMALL_CLUSTER_COUNT = 16
MAX_CREDIT_INTERVALS = 2
MAX_DIGEST_SIZE_BYTES = 4096
URGENT_DURATION_S = 1.0
NO_SUSPICION: tuple[tuple, ...] = ((), (), (), (), ())


@dataclasses.dataclass(slots=True)
class State:
    """The newest digest of each router, with the time at which it was made.

    ``suspicion_changed_at_s`` has the time at which the suspects or the quarantine
    of a router last changed.  For :data:`URGENT_DURATION_S` after that its digest is
    sent first, without waiting for the interval or the byte budget; the bytes are
    deducted from later digests.  ``is_urgent`` is set if there was such a change
    since digests were last sent.
    """

    known: dict[str, tuple[messages.RouterDigest, float]] = dataclasses.field(
        default_factory=dict
    )
    sequence: int = 0
    sent_at_s: float = float("-inf")
    is_urgent: bool = False
    suspicion_changed_at_s: dict[str, float] = dataclasses.field(default_factory=dict)


def timeout_s(layout: topology.Layout) -> float:
    """Return the age at which a digest expires; it is higher in a large zone."""
    return max(TIMEOUT_S, TIMEOUT_PER_ROUTER_S * len(layout.relay_order))


def _sequence_key(digest: messages.RouterDigest) -> tuple[int, int]:
    return digest.incarnation, digest.sequence


def add_local(
    state: State, event: events.PeerDigestReceived, incarnation: int, now_s: float
) -> None:
    """Store the digest of this router's own policy core."""
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
        top_counts=_top_counts(event),
        suspects_placed=event.suspects_placed,
        lost_calls=event.lost_calls,
        prefix_progress=event.prefix_progress,
        limits=event.limits,
    )
    _store(state, digest, now_s, now_s)


def _top_counts(event: events.PeerDigestReceived) -> tuple[int, ...]:
    top = dict(event.running_top)
    counts = tuple(top.get(name, 0) for name, _ in event.running)
    return counts if any(counts) else ()


def _store(
    state: State, digest: messages.RouterDigest, at_s: float, now_s: float
) -> None:
    known = state.known.get(digest.router)
    previous = NO_SUSPICION if known is None else suspicion(known[0])
    if suspicion(digest) != previous:
        state.is_urgent = True
        state.suspicion_changed_at_s[digest.router] = now_s
    state.known[digest.router] = (digest, at_s)


def suspicion(
    digest: messages.RouterDigest | events.PeerDigestReceived,
) -> tuple[tuple, ...]:
    """Return what a digest says of calls and prefixes, without its ages."""
    return (
        digest.suspects,
        digest.quarantined,
        digest.suspects_placed,
        tuple(lost[:-1] for lost in digest.lost_calls),
        tuple(progress[:-1] for progress in digest.prefix_progress),
    )


def merge(
    state: State,
    received: tuple[messages.RouterDigest, ...],
    layout: topology.Layout,
    now_s: float,
) -> list[events.PeerDigestReceived]:
    """Merge digests from a peer and return the new ones for the policy core."""
    merged = []
    for digest in received:
        if digest.router == layout.local.name or digest.age_s >= timeout_s(layout):
            continue
        known = state.known.get(digest.router)
        if known is None or _sequence_key(digest) > _sequence_key(known[0]):
            _store(state, digest, now_s - digest.age_s, now_s)
            merged.append(_to_event(digest))
    return merged


def record_received(link, received: tuple[messages.RouterDigest, ...]) -> None:
    """Record that a peer has the digests that it sent, so that they don't go back."""
    for digest in received:
        sent = link.sent_digests.get(digest.router, (-1, -1))
        link.sent_digests[digest.router] = max(sent, _sequence_key(digest))


def _to_event(digest: messages.RouterDigest) -> events.PeerDigestReceived:
    return events.PeerDigestReceived(
        digest.router,
        digest.availability_zone,
        digest.running,
        digest.suspects,
        digest.quarantined,
        digest.ejected,
        tuple(
            (name, top_count)
            for (name, _), top_count in zip(
                digest.running, digest.top_counts, strict=False
            )
            if top_count
        ),
        digest.suspects_placed,
        tuple((*lost[:-1], lost[-1] + digest.age_s) for lost in digest.lost_calls),
        tuple(
            (*progress[:-1], progress[-1] + digest.age_s)
            for progress in digest.prefix_progress
        ),
        tuple((*limit[:-1], limit[-1] + digest.age_s) for limit in digest.limits),
    )


def is_gone(
    state: State, layout: topology.Layout, holder: holders.Holder, uptime_s: float
) -> bool:
    """Return whether the digests show that another router's process has ended.

    This is so if a digest of a later incarnation was received, or if no digest was
    received for :func:`timeout_s` from a router whose digests are always forwarded
    to this one.

    Parameters
    ----------
    state : State
        Expired digests are already removed, see :func:`tick`.
    layout : topology.Layout
        Determines whose digests are always forwarded to this router.
    holder : holders.Holder
        The process to check.
    uptime_s : float
        Time since the start of this router.
    """
    known = state.known.get(holder.router)
    if known is not None:
        return 0 < holder.incarnation < known[0].incarnation
    is_small = layout.member_count <= SMALL_CLUSTER_COUNT
    is_always_received = is_small or holder.router in layout.zone_names
    return is_always_received and uptime_s >= timeout_s(layout)


def tick(state: State, router, now_s: float):
    """Expire digests of lost routers and return the batches to send.

    Parameters
    ----------
    state : State
        Modified in place.
    router : core.State
        Provides links and layout.
    now_s : float
        Monotonic time.

    Returns
    -------
    tuple
        An empty PeerDigestReceived for each lost router, and a list of
        (peer, tuple of RouterDigest).
    """
    layout = router.layout
    expired = _remove_expired(state, layout, now_s)
    elapsed_s = min(now_s - state.sent_at_s, SEND_INTERVAL_S)
    is_due = state.is_urgent or elapsed_s >= SEND_INTERVAL_S
    if not is_due or not router.links:
        return expired, []
    state.sent_at_s = now_s
    state.is_urgent = False
    share_bytes = BUDGET_BYTES_PER_S * elapsed_s / len(router.links)
    is_small = layout.member_count <= SMALL_CLUSTER_COUNT
    ordered = _send_order(state, now_s)
    batches = []
    for peer, link in router.links.items():
        credit_bytes = link.digest_credit_bytes + share_bytes
        link.digest_credit_bytes = min(credit_bytes, MAX_CREDIT_INTERVALS * share_bytes)
        includes_load = is_small or peer in layout.zone_names
        urgent = {
            name
            for name, at_s in state.suspicion_changed_at_s.items()
            if now_s - at_s < URGENT_DURATION_S
        }
        fair = _longest_unsent_first(ordered, link, urgent)
        batch = _make_batch(fair, link, peer, includes_load, urgent, now_s)
        if batch:
            batches.append((peer, batch))
    return expired, batches


def _remove_expired(state, layout, now_s):
    expired = []
    expiry_age_s = timeout_s(layout)
    for name, (digest, at_s) in list(state.known.items()):
        if name != layout.local.name and now_s - at_s >= expiry_age_s:
            del state.known[name]
            emptied = dataclasses.replace(
                digest,
                running=(),
                suspects=(),
                quarantined=(),
                ejected=(),
                top_counts=(),
                suspects_placed=(),
                lost_calls=(),
                prefix_progress=(),
                limits=(),
            )
            expired.append(_to_event(emptied))
    return expired


def _send_order(state, now_s):
    with_ages = [
        dataclasses.replace(digest, age_s=now_s - at_s)
        for digest, at_s in state.known.values()
    ]
    return sorted(
        with_ages,
        key=lambda digest: (
            -_suspicion_changed_at_s(state, digest.router),
            digest.age_s,
        ),
    )


def _longest_unsent_first(ordered, link, urgent):
    """Return the urgent digests first, the others by when they were last sent.

    Otherwise those of near routers, which are always the newest, would use up the
    budget of a link, and far routers would seem to be gone.
    """

    def turn(digest):
        if digest.router in urgent:
            return 0, 0.0
        return 1, link.sent_digests_at_s.get(digest.router, float("-inf"))

    return sorted(ordered, key=turn)


def _suspicion_changed_at_s(state, router):
    return state.suspicion_changed_at_s.get(router, float("-inf"))


def _make_batch(ordered, link, peer, includes_load, urgent, now_s):
    batch = []
    for digest in ordered:
        if link.digest_credit_bytes <= 0 and digest.router not in urgent:
            break
        sequence_key = _sequence_key(digest)
        if (
            digest.router == peer
            or link.sent_digests.get(digest.router) == sequence_key
        ):
            continue
        link.sent_digests[digest.router] = sequence_key
        link.sent_digests_at_s[digest.router] = now_s
        outgoing = digest if includes_load else _without_load(digest)
        if outgoing is None:
            continue
        size_bytes = len(codec.encode(outgoing))
        if size_bytes <= MAX_DIGEST_SIZE_BYTES:
            overhead_bytes = 0 if batch else BATCH_OVERHEAD_BYTES
            link.digest_credit_bytes -= size_bytes + overhead_bytes
            batch.append(outgoing)
    return tuple(batch)


def _without_load(digest):
    if not (any(suspicion(digest)) or digest.ejected or digest.limits):
        return None
    return dataclasses.replace(digest, running=(), top_counts=())
