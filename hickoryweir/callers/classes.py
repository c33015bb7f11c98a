"""Selects the class of a call by header, or else by account and destination."""

import dataclasses

from returns import result

from hickoryweir.configuration import model
from hickoryweir.outcomes import refusals


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """The model or plain service that a call is addressed to."""

    target: model.Target
    name: str


def find_class(
    configuration: model.Configuration,
    account: model.Account,
    header: str | None,
    destination: Destination,
) -> result.Result[model.RequestClass, refusals.Refusal]:
    """Return the class of a call.

    Parameters
    ----------
    configuration : model.Configuration
        The configuration in force.
    account : model.Account
        The caller's account.
    header : str or None
        Value of ``X-Request-Class``.
    destination : Destination
        The requested model or plain service.

    Returns
    -------
    Result of model.RequestClass, or of Refusal
        ``CLASS_UNKNOWN`` or ``CLASS_FORBIDDEN``.
    """
    matching = [
        candidate
        for candidate in configuration.classes
        if candidate.target is destination.target
        and candidate.target_name == destination.name
    ]
    if header is None:
        return find_default_class(matching, account)
    named = [candidate for candidate in matching if candidate.name == header]
    if not named:
        return result.Failure(
            refusals.make_refusal(
                refusals.Reason.CLASS_UNKNOWN,
                "X-Request-Class names no class of this model or service",
            )
        )
    if header not in account.classes:
        return result.Failure(refuse_class())
    return result.Success(named[0])


def find_default_class(
    matching: list[model.RequestClass], account: model.Account
) -> result.Result[model.RequestClass, refusals.Refusal]:
    """Return the first class of the account among the matching ones."""
    by_name = {candidate.name: candidate for candidate in matching}
    for name in account.classes:
        if name in by_name:
            return result.Success(by_name[name])
    return result.Failure(refuse_class())


def refuse_class() -> refusals.Refusal:
    """Return the refusal of a class that the account may not use."""
    return refusals.make_refusal(
        refusals.Reason.CLASS_FORBIDDEN, "the account may not use this class"
    )
