"""Backend servers that crash on parts of prompts, name limits, pause and leave.

They record what reaches them; the request's id names the router that it was sent to.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import time

import aiohttp
from aiohttp import web

from hickoryweir.forwarding import headers
from hickoryweir.testing import proxies

HOST = proxies.HOST
EVENTS_COUNT = 5
EVENT_INTERVAL_S = 0.02
# A server that crashes on a prompt has begun to answer it.
BEGIN_TO_CRASH_S = 0.05
RESTART_S = 1.5
# The list still has a server that has ended.
LIST_LAG_S = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request at a server; `part_id` is the part that crashes it, or empty."""

    server_id: str
    at_s: float
    request_id: str
    part_id: str = ""

    @property
    def router(self) -> str:
        """Return the host of the router that the client sent the request to."""
        return router_of(self.request_id)


def router_of(request_id: str) -> str:
    """Return the router that a request was sent to.

    Examples
    --------
    >>> router_of("127.0.7.2-15")
    '127.0.7.2'
    """
    return request_id.rpartition("-")[0]


@dataclasses.dataclass(slots=True)
class Notice:
    """What a server said of itself, in force between two times.

    Attributes
    ----------
    router : str
        The router that was told; empty for a limit, which is for all of them.
    limit_per_s : float
        The limit; 0 for the other kinds.
    """

    server_id: str
    router: str
    began_s: float
    ended_s: float = float("inf")
    limit_per_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Server:
    """One incarnation of a backend server, and what it says in its responses."""

    server_id: str
    listener: asyncio.Server | None = None
    web_server: web.Server | None = None
    port: int = 0
    limit_per_s: float | None = None
    pause_s: float = 0.0
    is_leaving: bool = False

    @property
    def has_trouble(self) -> bool:
        """Return whether it says anything of itself."""
        return bool(self.limit_per_s is not None or self.pause_s or self.is_leaving)


@dataclasses.dataclass(slots=True, eq=False)
class Fleet:
    """All servers, and the records of what they did and saw.

    Attributes
    ----------
    listed : list of dict
        Entries of the list of servers.
    crashing_part_ids : set of str
        Parts on which servers crash.
    crashes : list of tuple of (str, float)
        Part and time of each crash.
    """

    servers: list[Server] = dataclasses.field(default_factory=list)
    listed: list[dict] = dataclasses.field(default_factory=list)
    crashing_part_ids: set[str] = dataclasses.field(default_factory=set)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    crashes: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    limits: list[Notice] = dataclasses.field(default_factory=list)
    pauses: list[Notice] = dataclasses.field(default_factory=list)
    leavings: list[Notice] = dataclasses.field(default_factory=list)
    numbers: itertools.count = dataclasses.field(default_factory=itertools.count)
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)


async def start_server(fleet: Fleet) -> None:
    """Start a server and list it."""
    server = Server(f"s{next(fleet.numbers)}")

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if server not in fleet.servers:
            # The connection was accepted in the loop iteration in which it ended.
            request.transport.abort()
            return web.Response()
        with contextlib.suppress(ConnectionError, aiohttp.ClientConnectionResetError):
            return await _answer(fleet, server, request)
        return web.Response()

    server.web_server = web.Server(handle, access_log=None)
    loop = asyncio.get_running_loop()
    server.listener = await loop.create_server(server.web_server, HOST, 0)
    server.port = server.listener.sockets[0].getsockname()[1]
    fleet.servers.append(server)
    address = f"{HOST}:{server.port}"
    entry = {"id": server.server_id, "service": "llm", "address": address}
    fleet.listed.append(entry | {"slots_count": 64})


async def _answer(
    fleet: Fleet, server: Server, request: web.BaseRequest
) -> web.StreamResponse:
    request_id = request.headers[headers.REQUEST_ID]
    prompt = request.headers.get(headers.PROMPT, "")
    part_id = next((item for item in fleet.crashing_part_ids if item in prompt), "")
    now_s = time.monotonic()
    arrival = Arrival(server.server_id, now_s, request_id, part_id)
    fleet.arrivals.append(arrival)
    given = {headers.REQUEST_ID: request_id} | _say(fleet, server, arrival)
    if server.pause_s:
        given |= {headers.NOT_RUN: "1", "Retry-After": f"{server.pause_s:g}"}
        return web.Response(status=503, headers=given)
    response = web.StreamResponse(headers=given | {"Content-Type": "text/event-stream"})
    await response.prepare(request)
    first = int(request.headers.get(headers.LAST_EVENT_ID, "0")) + 1
    for number in range(first, EVENTS_COUNT + 1):
        await asyncio.sleep(EVENT_INTERVAL_S)
        if part_id:
            await asyncio.sleep(BEGIN_TO_CRASH_S)
            _crash(fleet, server, part_id)
            request.transport.abort()
        await response.write(b"id: %d\ndata: x\n\n" % number)
    return response


def _say(fleet: Fleet, server: Server, arrival: Arrival) -> dict[str, str]:
    """Return what a server says of itself, and record whom it tells."""
    said = {}
    if server.limit_per_s is not None:
        said[headers.LIMIT] = f"{server.limit_per_s:g}"
        if not _is_known(fleet.limits, server, ""):
            limit_per_s = server.limit_per_s
            notice = Notice(server.server_id, "", arrival.at_s, limit_per_s=limit_per_s)
            fleet.limits.append(notice)
    if server.is_leaving:
        said[headers.LEAVING] = "1"
        if not _is_known(fleet.leavings, server, arrival.router):
            notice = Notice(server.server_id, arrival.router, arrival.at_s)
            fleet.leavings.append(notice)
    if server.pause_s:
        until_s = arrival.at_s + server.pause_s
        notice = Notice(server.server_id, arrival.router, arrival.at_s, until_s)
        fleet.pauses.append(notice)
    return said


def _is_known(notices: list[Notice], server: Server, router: str) -> bool:
    return any(
        item.server_id == server.server_id
        and item.router == router
        and item.ended_s == float("inf")
        for item in notices
    )


def _crash(fleet: Fleet, server: Server, part_id: str) -> None:
    """End a server with all its connections, and start another one later."""
    if server not in fleet.servers:
        # Another request has crashed it in the meantime.
        return
    fleet.crashes.append((part_id, time.monotonic()))
    _end(fleet, server)
    _start_later(fleet, _replace(fleet, server, RESTART_S))


def _end(fleet: Fleet, server: Server) -> None:
    fleet.servers.remove(server)
    end_limit(fleet, server)
    server.listener.close()
    for connection in list(server.web_server.connections):
        if connection.transport is not None:
            connection.transport.abort()


def _start_later(fleet: Fleet, steps) -> None:
    task = asyncio.create_task(steps)
    fleet.tasks.add(task)
    task.add_done_callback(fleet.tasks.discard)


async def _replace(fleet: Fleet, server: Server, restart_s: float) -> None:
    await asyncio.sleep(LIST_LAG_S)
    fleet.listed = [item for item in fleet.listed if item["id"] != server.server_id]
    await asyncio.sleep(max(0.0, restart_s - LIST_LAG_S))
    await start_server(fleet)


def end_limit(fleet: Fleet, server: Server) -> None:
    """Let a server name no limit any more."""
    server.limit_per_s = None
    for notice in fleet.limits:
        if notice.server_id == server.server_id:
            notice.ended_s = min(notice.ended_s, time.monotonic())


async def leave(fleet: Fleet, server: Server, duration_s: float) -> None:
    """Let a server say that it leaves, start another one, and end it."""
    server.is_leaving = True
    await start_server(fleet)
    await asyncio.sleep(duration_s)
    if server in fleet.servers:
        _end(fleet, server)
    await asyncio.sleep(LIST_LAG_S)
    fleet.listed = [item for item in fleet.listed if item["id"] != server.server_id]
