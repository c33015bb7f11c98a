"""Parses the INI text of a configuration and validates its references."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from returns import result

from hickoryweir.configuration import (
    deltas,
    inifile,
    model,
    problems,
    render,
    schema,
)

ConfigurationError = problems.InvalidInput


def parse(
    text: str, file: str
) -> result.Result[model.Configuration, ConfigurationError]:
    """Return the configuration in a text, or every problem in it.

    Parameters
    ----------
    text : str
        INI text as :func:`hickoryweir.configuration.render.render` writes it.
    file : str
        File name for error messages.

    Returns
    -------
    Result of Configuration or ConfigurationError
        ``parse(render(c), "")`` is ``Success(c)`` for a canonical ``c``.
    """
    return inifile.load(text, file, schema.LAYOUT).bind(
        lambda content: _validate(_assemble_canonical(content), file)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class SectionCache:
    """Validated sections of the last canonical text, by their text."""

    sections: Mapping[str, tuple[str, Any]]


EMPTY_CACHE = SectionCache({})


def parse_canonical(
    text: str, digest: str, file: str, cache: SectionCache = EMPTY_CACHE
) -> result.Result[tuple[model.Configuration, SectionCache], ConfigurationError]:
    """Return the configuration in a canonical text, parsing only new sections.

    Parameters
    ----------
    text : str
        Canonical text; a text without ``[configuration]`` is parsed as a whole.
    digest : str
        Its digest, already verified.
    file : str
        File name for error messages.
    cache : SectionCache, optional
        Cache from the previous text.

    Returns
    -------
    Result of tuple or ConfigurationError
        The same configuration as from :func:`parse`, and the cache for the next
        text.
    """
    sections: dict[str, tuple[str, Any]] = {}
    for body in text.split(deltas.SEPARATOR)[1:]:
        known = cache.sections.get(body)
        if known is None:
            loaded = inifile.load_section(f"[{body}", file, schema.LAYOUT)
            if not isinstance(loaded, result.Success):
                return result.Failure(loaded.failure())
            known = loaded.unwrap()
        sections[body] = known
    content = _group_by_kind(sections.values())
    if content is None:
        return parse(text, file).map(lambda parsed: (parsed, EMPTY_CACHE))
    configuration = dataclasses.replace(_assemble(content), digest=digest)
    checked = _validate(configuration, file)
    return checked.map(lambda valid: (valid, SectionCache(sections)))


def _group_by_kind(sections) -> inifile.Content | None:
    named: dict[str, list[Any]] = {kind: [] for kind in schema.LAYOUT.named}
    single: dict[str, Any] = {}
    for kind, value in sections:
        if kind in named:
            named[kind].append(value)
        else:
            single[kind] = value
    if single.keys() != schema.LAYOUT.single.keys():
        return None
    return inifile.Content(single, {kind: tuple(named[kind]) for kind in named})


def _assemble_canonical(content: inifile.Content) -> model.Configuration:
    return render.canonicalize(_assemble(content))


def _assemble(content: inifile.Content) -> model.Configuration:
    general = content.single["configuration"]
    shares = tuple(
        model.ProviderShare(each.name, provider, share)
        for each in content.named["providers"]
        for provider, share in each.shares
    )
    return model.Configuration(
        customer=general.customer,
        digest="",
        classes=content.named["class"],
        accounts=content.named["account"],
        models=content.named["model"],
        services=content.named["service"],
        backend_servers=content.named["backend-server"],
        provider_shares=shares,
        idempotency_retention_s=general.idempotency_retention_s,
        order_rate_bytes_per_s=general.order_rate_bytes_per_s,
    )


def _validate(configuration, file):
    found = tuple(_find_problems(configuration, file))
    if found:
        return result.Failure(ConfigurationError(found))
    return result.Success(configuration)


def _find_problems(configuration, file):
    known = _defined_names(configuration)
    for each in configuration.classes:
        section = f"class {each.name}"
        if each.target_name not in known[each.target]:
            yield _undefined_name_problem(
                file, section, "target_name", each.target_name, known[each.target]
            )
        if not each.idempotent and (each.retries or each.hedging):
            key = "hedging" if each.hedging else "retries"
            yield problems.Problem(
                file, section, key, "is yes for a class that is not idempotent", "no"
            )
    for each in configuration.accounts:
        yield from _find_undefined(
            file, f"account {each.name}", "classes", each.classes, known["class"]
        )
    for each in configuration.backend_servers:
        section = f"backend-server {each.name}"
        yield from _find_undefined(
            file, section, "serves", each.serves, known[each.target]
        )
    for each in configuration.provider_shares:
        section = f"providers {each.class_name}"
        yield from _find_undefined(
            file, section, "", (each.class_name,), known["class"]
        )
        yield from _find_undefined(
            file, section, "shares", (each.provider,), known["provider"]
        )


def _defined_names(configuration):
    return {
        "class": {each.name for each in configuration.classes},
        "provider": {each.provider for each in configuration.backend_servers},
        model.Target.MODEL: {each.name for each in configuration.models},
        model.Target.SERVICE: {each.name for each in configuration.services},
    }


def _find_undefined(file, section, key, names, known):
    return (
        _undefined_name_problem(file, section, key, name, known)
        for name in names
        if name not in known
    )


def _undefined_name_problem(file, section, key, name, known):
    choice = ", ".join(sorted(known)) or "a name that this file defines"
    return problems.Problem(
        file, section, key, f"names {name!r}, which isn't defined", choice
    )
