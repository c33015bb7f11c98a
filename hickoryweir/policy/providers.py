"""The move between providers: shares by stage, sticky per conversation.

A conversation's digest decides its provider, so it stays there while the
shares stay.  A provider whose attainment falls clearly below the others' for a
class gets less of it until attainment recovers.
"""

import zlib

from hickoryweir.configuration import model
from hickoryweir.policy import state

SMOOTHING = 0.05
SAMPLES_MIN = 20
FALL = 0.05
HOLD_STEP = 0.5
HELD_MIN = 0.1
STEP_PERIOD_S = 10.0
HASH_SPAN = 2**32


def shares(
    core: state.Core, request_class: model.RequestClass
) -> list[tuple[str, float]]:
    """Return the effective share of each provider for a class, by name."""
    found = [
        (item.provider, item.share * held(core, request_class.name, item.provider))
        for item in core.configuration.provider_shares
        if item.class_name == request_class.name
    ]
    return sorted(found)


def held(core: state.Core, class_name: str, provider: str) -> float:
    """Return the factor by which a provider's share is held back."""
    known = core.attainment.get((class_name, provider))
    return known.held if known else 1.0


def choose(core: state.Core, call: state.Call) -> str | None:
    """Return the provider that a call should go to, or None for any."""
    if not core.configuration.provider_shares:
        return None
    effective = shares(core, call.request_class)
    total = sum(share for _, share in effective)
    if total <= 0.0:
        return None
    key = call.arrived.conversation
    text = call.arrived.request_id if key is None else f"{key}"
    point = zlib.crc32(text.encode()) / HASH_SPAN * total
    for provider, share in effective:
        point -= share
        if point < 0.0:
            return provider
    return effective[-1][0]


def observe(
    core: state.Core, call: state.Call, provider: str, met: bool, now_s: float
) -> None:
    """Note whether an answer of a provider met its class's targets."""
    if not core.configuration.provider_shares:
        return
    key = (call.request_class.name, provider)
    known = core.attainment.setdefault(key, state.Attainment(changed_s=now_s))
    known.value += SMOOTHING * (float(met) - known.value)
    known.samples += 1
    _hold(core, call.request_class, provider, now_s)


def _hold(
    core: state.Core, request_class: model.RequestClass, provider: str, now_s: float
) -> None:
    known = core.attainment[(request_class.name, provider)]
    others = [
        item.value
        for (name, other), item in core.attainment.items()
        if name == request_class.name and other != provider
    ]
    if not others or known.samples < SAMPLES_MIN:
        return
    if now_s - known.changed_s < STEP_PERIOD_S:
        return
    fallen = known.value < min(request_class.attainment_target, max(others) - FALL)
    factor = HOLD_STEP if fallen else 1.0 / HOLD_STEP
    known.held = min(1.0, max(HELD_MIN, known.held * factor))
    known.changed_s = now_s
