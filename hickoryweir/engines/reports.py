"""Polls backend servers for load reports, cache events and liveness.

There is one task for each backend server.  A load report contains its age, so that
the clocks of different machines need not agree.  Missing reports cause no event:
consumers take the age of reports into account.  A server whose probes fail several
times in a row is reported down; polling continues with backoff, and the server is
reported up again when it responds.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable

import aiohttp
import pydantic
from returns import result

from hickoryweir.configuration import model
from hickoryweir.discovery import decisions
from hickoryweir.engines import backoff, reads
from hickoryweir.policy import events

CACHE_POLL_INTERVAL = 3
MAX_DIGEST = 2**64 - 1
Digest = pydantic.conint(ge=0, le=MAX_DIGEST)
# More than a server runs, and exact as a float.
Count = pydantic.conint(ge=0, le=1 << 32)
Sequence = pydantic.conint(ge=0, le=1 << 63)
Message = events.LoadReported | events.CacheChanged | decisions.Probed


@dataclasses.dataclass(frozen=True, slots=True)
class ReportSettings:
    """Polling settings, and the threshold for a server that is down.

    Attributes
    ----------
    interval_s, longest_wait_s : float
        Minimum interval between polls, and maximum interval after failures.
    max_requests_per_s : float
        Limit of the request rate to all servers together; with many servers, each
        is polled less often.
    timeout_s : float
        Timeout of one request.
    down_after_count : int
        Consecutive failures after which a server is reported down.
    """

    interval_s: float = 0.25
    longest_wait_s: float = 2.0
    max_requests_per_s: float = 10.0
    timeout_s: float = 1.0
    down_after_count: int = 3


class LoadDocument(reads.Document):
    """Response body of ``GET /load``."""

    running: Count
    waiting: Count
    cache_used_share: float = pydantic.Field(ge=0.0, le=1.0)
    age_s: float = pydantic.Field(ge=0.0, allow_inf_nan=False)


class CacheEventDocument(reads.Document):
    """One cache event."""

    sequence: Sequence
    stored: list[Digest] = []
    removed: list[Digest] = []


class CacheEventsDocument(reads.Document):
    """Response body of ``GET /cache_events``."""

    last_sequence: Sequence
    events: list[CacheEventDocument]


class HealthDocument(reads.Document):
    """Response body of ``GET /health``; its content is ignored."""


@dataclasses.dataclass(slots=True, eq=False)
class ServerWatch:
    """State of the task that polls one backend server."""

    server: model.BackendServer
    sequence: int = 0
    polls_count: int = 0
    failures_count: int = 0
    up: bool = True


@dataclasses.dataclass(slots=True, eq=False)
class Watcher:
    """Polling tasks of all watched backend servers."""

    session: aiohttp.ClientSession
    post: Callable[[Message], None]
    settings: ReportSettings
    tasks: dict[model.BackendServer, asyncio.Task]


def make_watcher(
    session: aiohttp.ClientSession,
    post: Callable[[Message], None],
    settings: ReportSettings | None = None,
) -> Watcher:
    """Return a watcher without servers.

    Parameters
    ----------
    session : aiohttp.ClientSession
        See :func:`hickoryweir.engines.sessions.make_session`.
    post : function
        Called with each message, for example a queue's ``put_nowait``.
    settings : ReportSettings, optional
        Polling settings.
    """
    return Watcher(session, post, settings or ReportSettings(), {})


def update(watcher: Watcher, servers: tuple[model.BackendServer, ...]) -> None:
    """Replace the set of watched backend servers."""
    for server in set(watcher.tasks).difference(servers):
        watcher.tasks.pop(server).cancel()
    for server in servers:
        if server not in watcher.tasks:
            task = asyncio.create_task(poll_server(watcher, ServerWatch(server)))
            watcher.tasks[server] = task


async def close(watcher: Watcher) -> None:
    """Cancel all polling tasks and wait for them."""
    tasks = list(watcher.tasks.values())
    update(watcher, ())
    await asyncio.gather(*tasks, return_exceptions=True)


def interval_s(settings: ReportSettings, servers_count: int) -> float:
    """Return the interval between two polls of one server, in seconds.

    Examples
    --------
    >>> settings = ReportSettings(interval_s=0.25, max_requests_per_s=10.0)
    >>> interval_s(settings, 1), interval_s(settings, 30)
    (0.25, 4.0)
    """
    requests_per_round = servers_count * (1.0 + 1.0 / CACHE_POLL_INTERVAL)
    return max(settings.interval_s, requests_per_round / settings.max_requests_per_s)


async def poll_server(watcher: Watcher, state: ServerWatch) -> None:
    """Poll one backend server until cancelled."""
    settings = watcher.settings
    while True:
        if state.server.target is model.Target.MODEL:
            responded = await poll_engine(watcher, state)
        else:
            responded = await probe(watcher, state.server)
        record_probe(watcher, state, responded=responded)
        poll_interval_s = interval_s(settings, len(watcher.tasks))
        wait_s = backoff.wait_s(
            poll_interval_s,
            max(poll_interval_s, settings.longest_wait_s),
            state.failures_count,
            state.server.name,
        )
        await asyncio.sleep(wait_s)


def record_probe(watcher: Watcher, state: ServerWatch, *, responded: bool) -> None:
    """Count consecutive failures; post a message when a server goes down or up."""
    state.failures_count = 0 if responded else state.failures_count + 1
    up = state.failures_count < watcher.settings.down_after_count
    if up is not state.up:
        state.up = up
        state.sequence = 0
        watcher.post(decisions.Probed(state.server.name, up))


async def poll_engine(watcher: Watcher, state: ServerWatch) -> bool:
    """Poll an engine's load and cache events; return whether it responded."""
    url, timeout_s = state.server.url, watcher.settings.timeout_s
    read = await reads.read_document(
        watcher.session, f"{url}/load", LoadDocument, timeout_s
    )
    if not isinstance(read, result.Success):
        return False
    report = read.unwrap()
    watcher.post(make_load(state.server.name, report, time.monotonic()))
    if state.polls_count % CACHE_POLL_INTERVAL == 0:
        await poll_cache(watcher, state)
    state.polls_count += 1
    return True


def make_load(
    backend_server: str, report: LoadDocument, now_s: float
) -> events.LoadReported:
    """Return a load report with its time converted to the router's clock."""
    return events.LoadReported(
        backend_server,
        report.running,
        report.waiting,
        report.cache_used_share,
        now_s - report.age_s,
    )


async def poll_cache(watcher: Watcher, state: ServerWatch) -> None:
    """Fetch an engine's cache events after the last one received."""
    url = f"{state.server.url}/cache_events?after={state.sequence}"
    timeout_s = watcher.settings.timeout_s
    read = await reads.read_document(
        watcher.session, url, CacheEventsDocument, timeout_s
    )
    if not isinstance(read, result.Success):
        return
    document = read.unwrap()
    if document.last_sequence < state.sequence:
        state.sequence = 0
        return
    for event in sorted(document.events, key=lambda event: event.sequence):
        if event.sequence <= state.sequence:
            continue
        state.sequence = event.sequence
        stored, removed = tuple(event.stored), tuple(event.removed)
        watcher.post(
            events.CacheChanged(state.server.name, event.sequence, stored, removed)
        )


async def probe(watcher: Watcher, server: model.BackendServer) -> bool:
    """Return whether a service sends any HTTP response."""
    read = await reads.read_document(
        watcher.session,
        f"{server.url}/health",
        HealthDocument,
        watcher.settings.timeout_s,
    )
    if isinstance(read, result.Success):
        return True
    return read.failure().got_response
