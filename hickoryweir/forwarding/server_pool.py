"""The backend servers as one router knows them: list, own requests, last load.

What a router sent itself is exact; what servers and the list say is late.
"""

import dataclasses

from hickoryweir.discovery import listing
from hickoryweir.forwarding import border

# A restart behind an address takes seconds; half of one lets a reset pass quickly.
SUSPECT_MIN_S = 0.5
SUSPECT_MAX_S = 4.0


@dataclasses.dataclass(slots=True)
class Running:
    """One request that this router has at a server."""

    prompt_tokens_count: int
    uncached_tokens_count: int
    started_s: float
    has_begun: bool = False


@dataclasses.dataclass(slots=True)
class ServerView:
    """A backend server with what this router knows of it.

    Attributes
    ----------
    running : dict
        Own requests there, by a number of this router.
    load : border.Load or None
        Last load that it said, at `load_s`, with `own_at_load_count` own requests.
    suspect_until_s : float
        Until when it is avoided after failures.
    parts : dict
        Ids of prompt parts sent there, with the time of the last use.
    """

    listed: listing.BackendServer
    running: dict[int, Running] = dataclasses.field(default_factory=dict)
    load: border.Load | None = None
    load_s: float = 0.0
    own_at_load_count: int = 0
    failures_count: int = 0
    suspect_until_s: float = 0.0
    parts: dict[str, float] = dataclasses.field(default_factory=dict)
    is_leaving: bool = False


@dataclasses.dataclass(slots=True)
class Pool:
    """All servers in the list, by id."""

    servers: dict[str, ServerView] = dataclasses.field(default_factory=dict)
    by_service: dict[str, list[ServerView]] = dataclasses.field(default_factory=dict)


def take_list(pool: Pool, found: listing.ServerList) -> None:
    """Replace the list and keep what is known of servers that stay."""
    servers = {}
    for listed in found.servers:
        known = pool.servers.get(listed.server_id)
        is_same = (
            known is not None
            and known.listed.address == listed.address
            and known.listed.born_ms == listed.born_ms
        )
        view = known if is_same else ServerView(listed)
        view.listed = listed
        servers[listed.server_id] = view
    pool.servers = servers
    pool.by_service = {}
    for view in servers.values():
        pool.by_service.setdefault(view.listed.service_name, []).append(view)


def usable(pool: Pool, service_name: str) -> list[ServerView]:
    """Return the servers of a service that take new requests."""
    return [
        view
        for view in pool.by_service.get(service_name, ())
        if view.listed.state is listing.ServerState.READY and not view.is_leaving
    ]


def note_failure(view: ServerView, now_s: float) -> None:
    """Avoid a server for a while, longer after each failure in a row."""
    view.failures_count += 1
    pause_s = SUSPECT_MIN_S * 2 ** (view.failures_count - 1)
    view.suspect_until_s = now_s + min(pause_s, SUSPECT_MAX_S)


def note_success(view: ServerView) -> None:
    """Clear what earlier failures said."""
    view.failures_count = 0
    view.suspect_until_s = 0.0


def note_load(view: ServerView, load: border.Load | None, now_s: float) -> None:
    """Take the load that a server said in an answer."""
    if load is not None:
        view.load = load
        view.load_s = now_s
        view.own_at_load_count = len(view.running)


def known_load_count(view: ServerView) -> float:
    """Return the requests at a server, from its last word and own sends since."""
    own_count = len(view.running)
    if view.load is None:
        return own_count
    said_count = view.load.running_count + view.load.waiting_count
    others_count = max(0, said_count - view.own_at_load_count)
    return own_count + others_count
