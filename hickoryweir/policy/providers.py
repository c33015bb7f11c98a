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
ATTAINMENT_MARGIN = 0.05
SHARE_FACTOR_STEP = 0.5
SHARE_FACTOR_MIN = 0.1
STEP_PERIOD_S = 10.0
HASH_RANGE = 2**32


def shares(
    core: state.Core, request_class: model.RequestClass
) -> list[tuple[str, float]]:
    """Return the effective share of each provider for a class, by name."""
    found = [
        (
            item.provider,
            item.share * share_factor(core, request_class.name, item.provider),
        )
        for item in core.configuration.provider_shares
        if item.class_name == request_class.name
    ]
    return sorted(found)


def share_factor(core: state.Core, class_name: str, provider: str) -> float:
    """Return the factor by which a provider's share is held back."""
    attainment = core.attainment.get((class_name, provider))
    return attainment.share_factor if attainment else 1.0


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
    remaining = zlib.crc32(text.encode()) / HASH_RANGE * total
    for provider, share in effective:
        remaining -= share
        if remaining < 0.0:
            return provider
    return effective[-1][0]


def observe(
    core: state.Core, call: state.Call, provider: str, met: bool, now_s: float
) -> None:
    """Note whether an answer of a provider met its class's targets."""
    if not core.configuration.provider_shares:
        return
    key = (call.request_class.name, provider)
    attainment = core.attainment.setdefault(key, state.Attainment(changed_s=now_s))
    attainment.value += SMOOTHING * (float(met) - attainment.value)
    attainment.samples += 1
    _adjust_share(core, call.request_class, provider, now_s)


def _adjust_share(
    core: state.Core, request_class: model.RequestClass, provider: str, now_s: float
) -> None:
    attainment = core.attainment[(request_class.name, provider)]
    others = [
        item.value
        for (name, other), item in core.attainment.items()
        if name == request_class.name and other != provider
    ]
    if not others or attainment.samples < SAMPLES_MIN:
        return
    if now_s - attainment.changed_s < STEP_PERIOD_S:
        return
    is_below_target = attainment.value < min(
        request_class.attainment_target, max(others) - ATTAINMENT_MARGIN
    )
    factor = SHARE_FACTOR_STEP if is_below_target else 1.0 / SHARE_FACTOR_STEP
    attainment.share_factor = min(
        1.0, max(SHARE_FACTOR_MIN, attainment.share_factor * factor)
    )
    attainment.changed_s = now_s
