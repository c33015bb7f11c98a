"""Messages of crash evidence, as the state of routers and replicas."""

import asyncio
import math
from collections.abc import Callable, Iterable

from hickoryweir import clocks
from hickoryweir.feeds import messages
from hickoryweir.forwarding_policy import crashing_parts

# About 16 kB of ids and ages.
MAX_PARTS_PER_MESSAGE = 64
# Batches the many requests that a crash loses within milliseconds in one message.
SEND_DELAY_S = 0.02
# Evidence of a single crash that a restarted replica is told.
MAX_RECENT_PARTS_COUNT = 256


class Sender:
    """Sends evidence in batches.

    Parameters
    ----------
    state : crashing_parts.CrashingParts
        The evidence, as it is when a batch is sent.
    send : callable
        ``send(message)`` sends a message without blocking.
    """

    def __init__(
        self,
        state: crashing_parts.CrashingParts,
        send: Callable[[messages.CrashEvidence], None],
    ) -> None:
        self._state = state
        self._send = send
        self._keys: dict[crashing_parts.PartKey, None] = {}

    def add(self, keys: Iterable[crashing_parts.PartKey]) -> None:
        """Send the evidence on some parts with the next batch."""
        was_empty = not self._keys
        self._keys.update(dict.fromkeys(keys))
        if was_empty and self._keys:
            asyncio.get_running_loop().call_later(SEND_DELAY_S, self._flush)

    def _flush(self) -> None:
        keys, self._keys = self._keys, {}
        for message in make_messages(self._state, keys, clocks.boottime_s()):
            self._send(message)


def shared_keys(
    state: crashing_parts.CrashingParts,
) -> list[crashing_parts.PartKey]:
    """Return the parts that other processes should know."""
    return [
        key
        for key, known in state.evidence.items()
        if crashing_parts.is_shared_evidence(known)
    ]


def greeting_keys(
    state: crashing_parts.CrashingParts,
) -> list[crashing_parts.PartKey]:
    """Return the parts to tell a replica that may have restarted."""
    recent = list(state.evidence)[-MAX_RECENT_PARTS_COUNT:]
    return list(dict.fromkeys([*shared_keys(state), *recent]))


def make_messages(
    state: crashing_parts.CrashingParts,
    keys: Iterable[crashing_parts.PartKey],
    now_s: float,
) -> list[messages.CrashEvidence]:
    """Return messages with the evidence on some parts."""
    parts = [
        _make_part(key, state.evidence[key], now_s)
        for key in keys
        if key in state.evidence
    ]
    return [
        messages.CrashEvidence(tuple(parts[at : at + MAX_PARTS_PER_MESSAGE]))
        for at in range(0, len(parts), MAX_PARTS_PER_MESSAGE)
    ]


def _make_part(
    key: crashing_parts.PartKey, known: crashing_parts.Evidence, now_s: float
) -> messages.PartEvidence:
    return messages.PartEvidence(
        *key,
        tuple(
            messages.PartCrash(crash.server_id, now_s - crash.at_s)
            for crash in known.crashes
        ),
        tuple(known.request_keys),
        tuple(known.earlier_part_ids),
        _age_s(known.cleared_at_s, now_s),
        _age_s(known.refused_at_s, now_s),
        known.trials_count,
        _age_s(known.tried_at_s, now_s),
    )


def _age_s(at_s: float, now_s: float) -> float | None:
    return None if math.isinf(at_s) else now_s - at_s


def merge(
    state: crashing_parts.CrashingParts,
    message: messages.CrashEvidence,
    now_s: float,
) -> list[crashing_parts.PartKey]:
    """Merge a message; return the parts on which it said anything new."""
    changed = []
    for part in message.parts:
        if not part.crashes:
            continue
        key = (part.service_name, part.part_id)
        found = crashing_parts.Evidence(
            [
                crashing_parts.Crash(crash.server_id, now_s - crash.age_s)
                for crash in part.crashes
            ],
            set(part.request_keys),
            set(part.earlier_part_ids),
            _at_s(part.progress_age_s, now_s),
            _at_s(part.refusal_age_s, now_s),
            part.trials_count,
            _at_s(part.trial_age_s, now_s),
        )
        if crashing_parts.merge(state, key, found):
            changed.append(key)
    return changed


def _at_s(age_s: float | None, now_s: float) -> float:
    return -math.inf if age_s is None else now_s - age_s
