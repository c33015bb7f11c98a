"""Notices that a stand-in gives in the heads of all its responses."""

import dataclasses
import time

from aiohttp import web


@dataclasses.dataclass(slots=True)
class Notices:
    """What a stand-in says of itself, and when it responded to calls.

    Attributes
    ----------
    headers : dict
        Headers to add to each response, see ``docs/peers.md``.
    responded_at_s : list of float
        Times of the responses to ``POST`` while there were notices.
    """

    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    responded_at_s: list[float] = dataclasses.field(default_factory=list)


NOTICES = web.AppKey("notices", Notices)


def install(app: web.Application) -> None:
    """Let a stand-in give notices, at first none."""
    app[NOTICES] = Notices()
    app.on_response_prepare.append(_add_headers)


async def _add_headers(request: web.Request, response: web.StreamResponse) -> None:
    notices = request.app[NOTICES]
    response.headers.update(notices.headers)
    if notices.headers and request.method == "POST":
        notices.responded_at_s.append(time.monotonic())
