"""Prefixes of prompts that crash backend servers, as routers tell each other.

Calls that share a prefix and differ in all else are told apart by
:mod:`hickoryweir.policy.poison`; here each call that was lost before it had made
progress speaks against every prefix of its prompt.  The decisions are in
:mod:`hickoryweir.forwarding_policy.crashing_parts`, with the digest of a prefix as the
part's id.  A digest holds the last calls that a router has lost, and the suspected
prefixes that made progress there.
"""

import collections
import dataclasses

import xxhash

from hickoryweir.forwarding_policy import crashing_parts
from hickoryweir.policy import events

# Output tokens after which a prompt is known not to crash the server.
PROGRESS_TOKENS = 32
# No request tries a blocked prefix, so it is released by time.
RETENTION_S = 3_600.0
# About 0.7 kB of a digest.
MAX_SHARED_LOSSES_COUNT = 3
MAX_SHARED_PROGRESS_COUNT = 10
# Every block of the first 4 kB of a prompt, then every sixth one.
DENSE_BLOCKS_COUNT = 16
SPARSE_BLOCKS_STEP = 6


@dataclasses.dataclass(slots=True)
class Prefixes:
    """Evidence on prefixes, and what the next digest tells of it.

    Attributes
    ----------
    losses : collections.deque
        The last lost calls, as :class:`Loss`.
    progressed : collections.OrderedDict
        When suspected prefixes made progress at this router, oldest first.
    """

    parts: crashing_parts.CrashingParts = dataclasses.field(
        default_factory=crashing_parts.CrashingParts
    )
    losses: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SHARED_LOSSES_COUNT)
    )
    progressed: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A call that a crash lost before it had made progress."""

    target_name: str
    server: str
    prefix_digests: tuple[int, ...]
    request_key: int
    at_s: float


# A loss or progress with its age, as digests have it.
SharedLoss = tuple[str, str, tuple[int, ...], int, float]
SharedProgress = tuple[str, int, float]


def _part_ids(prefix_digests: tuple[int, ...]) -> tuple[str, ...]:
    return tuple(format(digest, "x") for digest in prefix_digests)


def is_blocked(prefixes: Prefixes, target_name: str, arrived: events.Arrived) -> bool:
    """Return whether a call has a prefix that crashes backend servers."""
    part_ids = _part_ids(arrived.prefix_digests)
    blocked = crashing_parts.find_blocked(prefixes.parts, target_name, part_ids)
    return blocked is not None


def record_lost_call(
    prefixes: Prefixes,
    target_name: str,
    arrived: events.Arrived,
    server: str,
    now_s: float,
) -> None:
    """Record that a crash lost a call before it had made progress."""
    if not arrived.prefix_digests:
        return
    request_key = xxhash.xxh32_intdigest(arrived.fingerprint.encode())
    loss = Loss(target_name, server, arrived.prefix_digests, request_key, now_s)
    prefixes.losses.append(loss)
    _add(prefixes, loss)
    crashing_parts.update_blocked(prefixes.parts)


def _add(prefixes: Prefixes, loss: Loss) -> None:
    crashing_parts.record_loss(
        prefixes.parts,
        loss.target_name,
        _part_ids(loss.prefix_digests),
        loss.request_key,
        crashing_parts.Crash(loss.server, loss.at_s),
    )


def record_progress(
    prefixes: Prefixes, target_name: str, arrived: events.Arrived, now_s: float
) -> None:
    """Clear the prefixes of a call whose response has made progress."""
    part_ids = _part_ids(arrived.prefix_digests)
    suspects = crashing_parts.record_progress(
        prefixes.parts, target_name, part_ids, now_s
    )
    for key in suspects:
        prefixes.progressed[key] = now_s
        prefixes.progressed.move_to_end(key)
    while len(prefixes.progressed) > MAX_SHARED_PROGRESS_COUNT:
        prefixes.progressed.popitem(last=False)
    if suspects:
        crashing_parts.update_blocked(prefixes.parts)


def shared_losses(prefixes: Prefixes, now_s: float) -> tuple[SharedLoss, ...]:
    """Return the last lost calls for a digest.

    Examples
    --------
    >>> [block for block in range(30) if is_shared_block(block)][14:]
    [14, 15, 18, 24]
    """
    return tuple(
        (
            loss.target_name,
            loss.server,
            tuple(
                digest
                for block, digest in enumerate(loss.prefix_digests)
                if is_shared_block(block)
            ),
            loss.request_key,
            now_s - loss.at_s,
        )
        for loss in prefixes.losses
    )


def is_shared_block(block: int) -> bool:
    """Return whether digests tell the prefix that ends with a block."""
    return block < DENSE_BLOCKS_COUNT or block % SPARSE_BLOCKS_STEP == 0


def shared_progress(prefixes: Prefixes, now_s: float) -> tuple[SharedProgress, ...]:
    """Return the suspected prefixes that made progress, for a digest."""
    return tuple(
        (name, int(part_id, 16), now_s - at_s)
        for (name, part_id), at_s in prefixes.progressed.items()
    )


def merge(
    prefixes: Prefixes,
    losses: tuple[SharedLoss, ...],
    progress: tuple[SharedProgress, ...],
    now_s: float,
) -> None:
    """Merge what another router tells."""
    if not losses and not progress:
        return
    parts = prefixes.parts
    for target_name, server, digests, request_key, age_s in losses:
        _add(prefixes, Loss(target_name, server, digests, request_key, now_s - age_s))
    for target_name, digest, age_s in progress:
        key = (target_name, format(digest, "x"))
        if key in parts.evidence:
            found = crashing_parts.Evidence(cleared_at_s=now_s - age_s)
            crashing_parts.merge(parts, key, found)
    crashing_parts.update_blocked(parts)


def remove_expired(prefixes: Prefixes, now_s: float) -> None:
    """Forget old evidence, and release the prefixes that it blocked."""
    parts = prefixes.parts
    if parts.evidence:
        crashing_parts.remove_expired(parts, now_s, RETENTION_S)
        crashing_parts.update_blocked(parts)
