"""Effects of a configuration change, described for operators."""

import collections

from hickoryweir.configuration import model


def describe(
    before: model.Configuration | None, after: model.Configuration
) -> tuple[str, ...]:
    """Return one line for each effect that an operator should review.

    Parameters
    ----------
    before : model.Configuration or None
        Configuration in force; None if there is none yet.
    after : model.Configuration
        Proposed configuration.

    Returns
    -------
    tuple of str
        Empty if the change has none of the effects that are listed here.
    """
    if before is None:
        return (f"first configuration, of {after.customer}",)
    return (
        *_revoked_access(before, after),
        *_changed_classes(before, after),
        *_changed_capacity(before, after),
        *_changed_shares(before, after),
    )


def _by_name(values):
    return {value.name: value for value in values}


def _revoked_access(before, after):
    old, new = _by_name(before.accounts), _by_name(after.accounts)
    for name in sorted(old.keys() - new.keys()):
        yield f"account {name} is refused from now on"
    for name in sorted(old.keys() & new.keys()):
        if set(old[name].key_digests) - set(new[name].key_digests):
            yield f"account {name}: a key is no longer valid"


def _changed_classes(before, after):
    old, new = _by_name(before.classes), _by_name(after.classes)
    for name in sorted(old.keys() - new.keys()):
        yield f"class {name} is refused from now on"
    for name in sorted(old.keys() & new.keys()):
        if old[name].tier != new[name].tier:
            yield f"class {name} moves from tier {old[name].tier} to {new[name].tier}"
        if old[name].idempotent and not new[name].idempotent:
            yield f"class {name} needs an Idempotency-Key from now on"
        if new[name].idempotent and not old[name].idempotent:
            yield f"class {name} may run more than once from now on"


def _changed_capacity(before, after):
    old, new = _count_capacity(before), _count_capacity(after)
    for target in sorted(old.keys() | new.keys()):
        if old[target] != new[target]:
            yield f"{target}: room for {old[target]} -> {new[target]} calls at once"


def _count_capacity(configuration):
    counts: collections.Counter = collections.Counter()
    for server in configuration.backend_servers:
        for name in server.serves:
            counts[f"{server.target} {name}"] += server.max_concurrency
    return counts


def _changed_shares(before, after):
    old = {(s.class_name, s.provider): s.share for s in before.provider_shares}
    new = {(s.class_name, s.provider): s.share for s in after.provider_shares}
    for key in sorted(old.keys() | new.keys()):
        if old.get(key, 0.0) != new.get(key, 0.0):
            class_name, provider = key
            yield (
                f"class {class_name}: provider {provider} "
                f"{old.get(key, 0.0):.0%} -> {new.get(key, 0.0):.0%}"
            )
