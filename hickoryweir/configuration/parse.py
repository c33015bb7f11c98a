"""Parses the INI text of a configuration and checks it as a whole."""

from returns import result

from hickoryweir.configuration import inifile, model, problems, render, schema

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
        Name for errors.

    Returns
    -------
    Result of Configuration or ConfigurationError
        ``parse(render(c), "")`` is ``Success(c)`` for a sealed ``c``.
    """
    return inifile.load(text, file, schema.LAYOUT).bind(
        lambda content: _check(_build(content), file)
    )


def _build(content: inifile.Content) -> model.Configuration:
    general = content.single["configuration"]
    shares = tuple(
        model.ProviderShare(each.name, provider, share)
        for each in content.named["providers"]
        for provider, share in each.shares
    )
    return render.seal(
        model.Configuration(
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
    )


def _check(configuration, file):
    found = tuple(_references(configuration, file))
    if found:
        return result.Failure(ConfigurationError(found))
    return result.Success(configuration)


def _references(configuration, file):
    known = _names(configuration)
    for each in configuration.classes:
        section = f"class {each.name}"
        if each.target_name not in known[each.target]:
            yield _unknown(
                file, section, "target_name", each.target_name, known[each.target]
            )
        if not each.idempotent and (each.retries or each.hedging):
            key = "hedging" if each.hedging else "retries"
            yield problems.Problem(
                file, section, key, "is yes for a class that is not idempotent", "no"
            )
    for each in configuration.accounts:
        yield from _unknown_names(
            file, f"account {each.name}", "classes", each.classes, known["class"]
        )
    for each in configuration.backend_servers:
        section = f"backend-server {each.name}"
        yield from _unknown_names(
            file, section, "serves", each.serves, known[each.target]
        )
    for each in configuration.provider_shares:
        section = f"providers {each.class_name}"
        yield from _unknown_names(file, section, "", (each.class_name,), known["class"])
        yield from _unknown_names(
            file, section, "shares", (each.provider,), known["provider"]
        )


def _names(configuration):
    return {
        "class": {each.name for each in configuration.classes},
        "provider": {each.provider for each in configuration.backend_servers},
        model.Target.MODEL: {each.name for each in configuration.models},
        model.Target.SERVICE: {each.name for each in configuration.services},
    }


def _unknown_names(file, section, key, names, known):
    return (
        _unknown(file, section, key, name, known) for name in names if name not in known
    )


def _unknown(file, section, key, name, known):
    choice = ", ".join(sorted(known)) or "a name that this file defines"
    return problems.Problem(
        file, section, key, f"names {name!r}, which isn't defined", choice
    )
