"""Calls of duties as JSON over HTTP, given the names that an infrastructure uses."""

import json
from collections.abc import Callable

from hickoryweir.duties import calls

CONFLICT_STATUS = 409
TOO_MANY_CALLS_STATUS = 429


def make_format(
    holder_name: str,
    token_name: str,
    translate: Callable[[calls.Call], tuple[str, dict]],
) -> calls.Format:
    """Return a format of calls.

    Parameters
    ----------
    holder_name, token_name : str
        Names of the headers with the holder's name and its fencing token.
    translate : callable
        ``translate(call)`` returns the path and the JSON document of a call.
    """

    def make_request(
        address: str, call: calls.Call, permission: calls.Permission
    ) -> calls.Request:
        path, document = translate(call)
        headers = (
            ("Content-Type", "application/json"),
            (holder_name, permission.holder),
            (token_name, str(permission.token)),
        )
        body = json.dumps(document).encode()
        return calls.Request(f"http://{address}{path}", headers, body)

    return calls.Format(make_request, outcome_of)


def outcome_of(status: int) -> calls.Outcome:
    """Return the outcome of a call with this status.

    Examples
    --------
    >>> [outcome_of(status).value for status in (200, 409, 429, 500)]
    ['accepted', 'refused', 'over_rate', 'failed']
    """
    if status == CONFLICT_STATUS:
        return calls.Outcome.REFUSED
    if status == TOO_MANY_CALLS_STATUS:
        return calls.Outcome.OVER_RATE
    if 200 <= status < 300:
        return calls.Outcome.ACCEPTED
    return calls.Outcome.FAILED
