"""Operators' interface for parts of prompts that are blocked.

``GET /blocked-parts`` returns them with their evidence, and
``DELETE /blocked-parts/{service}/{part}`` releases one at all routers.
"""

from aiohttp import web

from hickoryweir import clocks
from hickoryweir.feeds import publisher
from hickoryweir.forwarding_policy import crashing_parts

PATH = "/blocked-parts"


def add_routes(app: web.Application, feed: publisher.Publisher) -> None:
    """Add the interface to the operators' application of a replica."""

    async def list_blocked(request: web.Request) -> web.Response:
        return web.json_response(_describe(feed.suspect_parts))

    async def release(request: web.Request) -> web.Response:
        key = (request.match_info["service"], request.match_info["part"])
        if not feed.release_part(key):
            return web.Response(status=404, text="not blocked\n")
        return web.Response(status=204)

    app.router.add_get(PATH, list_blocked)
    app.router.add_delete(PATH + "/{service}/{part}", release)


def _describe(state: crashing_parts.CrashingParts) -> list[dict]:
    now_s = clocks.boottime_s()
    blocked = [
        (service_name, part_id)
        for part_id, service_names in state.blocked.items()
        for service_name in service_names
    ]
    return [
        {
            "service": key[0],
            "part": key[1],
            "crashes": [
                {"server": crash.server_id, "age_s": round(now_s - crash.at_s, 3)}
                for crash in crashing_parts.crashes_since_progress(state.evidence[key])
            ],
            "trials_count": state.evidence[key].trials_count,
        }
        for key in sorted(blocked)
    ]
