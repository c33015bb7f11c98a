"""Traffic split between providers, sticky per conversation.

A conversation's digest determines its provider, so the provider changes only
when the shares change.  A provider whose target attainment for a class falls
clearly below that of the others gets a smaller share of the class until its
attainment recovers.
"""

import zlib

from hickoryweir.configuration import model
from hickoryweir.policy import state

# Weight of a new sample in the moving average of the attainment.
SMOOTHING = 0.05
SAMPLES_MIN = 20
# A provider this far below the best other one gets a smaller share.
ATTAINMENT_MARGIN = 0.05
SHARE_FACTOR_STEP = 0.5
SHARE_FACTOR_MIN = 0.1
STEP_INTERVAL_S = 10.0
HASH_RANGE = 2**32


def shares(
    core: state.Core, request_class: model.RequestClass
) -> list[tuple[str, float]]:
    """Return the effective share of each provider for a class, sorted by name."""
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
    """Return the factor, at most 1, that reduces a provider's share."""
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
    """Update a provider's attainment with one answer."""
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
    if now_s - attainment.changed_s < STEP_INTERVAL_S:
        return
    is_below_target = attainment.value < min(
        request_class.attainment_target, max(others) - ATTAINMENT_MARGIN
    )
    factor = SHARE_FACTOR_STEP if is_below_target else 1.0 / SHARE_FACTOR_STEP
    attainment.share_factor = min(
        1.0, max(SHARE_FACTOR_MIN, attainment.share_factor * factor)
    )
    attainment.changed_s = now_s
