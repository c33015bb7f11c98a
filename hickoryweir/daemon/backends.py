"""Follows the backend servers of the configuration in force.

Each engine has a task that reads its load reports and cache events.  Planned
stops and the platform's list decide which backend servers get no new work; the
policy core learns of every change of state.
"""

import asyncio
import dataclasses

import aiohttp

from hickoryweir.configuration import commands, model, stops
from hickoryweir.daemon import dispatcher
from hickoryweir.engines import reports
from hickoryweir.observability import logs, metrics
from hickoryweir.policy import events


@dataclasses.dataclass(slots=True, eq=False)
class Followers:
    """What is known of the backend servers, and the tasks that follow them.

    Attributes
    ----------
    servers : dict
        Backend servers in the configuration in force, by name.
    stopping : frozenset of str
        Those under a planned stop.
    leaving : frozenset of str
        Those that the platform's list says are leaving.
    """

    dispatcher: dispatcher.Dispatcher
    session: aiohttp.ClientSession
    metrics: metrics.Metrics
    servers: dict[str, model.BackendServer]
    tasks: dict[str, asyncio.Task]
    stopping: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    states: dict[str, events.ServerState] = dataclasses.field(default_factory=dict)


def make_followers(
    given: dispatcher.Dispatcher,
    session: aiohttp.ClientSession,
    counters: metrics.Metrics,
) -> Followers:
    """Return followers of no backend servers yet."""
    return Followers(given, session, counters, {}, {})


def follow(
    followers: Followers,
    configuration: model.Configuration,
    running_stops: tuple[stops.Stop, ...],
) -> None:
    """Follow the backend servers of a newer configuration.

    Parameters
    ----------
    followers : Followers
        Changed in place; their dictionary of servers stays the same object.
    configuration : model.Configuration
        The configuration now in force.
    running_stops : tuple of stops.Stop
        Planned stops now in force.
    """
    wanted = {server.name: server for server in configuration.backend_servers}
    for name, known in list(followers.servers.items()):
        if wanted.get(name) != known:
            forget(followers, name)
    for name, server in wanted.items():
        if name not in followers.servers:
            followers.servers[name] = server
            start(followers, server)
    followers.stopping = frozenset(
        name for name, server in wanted.items() if is_stopping(server, running_stops)
    )
    update_states(followers)


def is_stopping(
    server: model.BackendServer, running_stops: tuple[stops.Stop, ...]
) -> bool:
    """Return whether a planned stop covers a backend server."""
    covered = {
        (commands.SubjectKind.BACKEND_SERVER, server.name),
        (commands.SubjectKind.AVAILABILITY_ZONE, server.availability_zone),
        (commands.SubjectKind.PROVIDER, server.provider),
    }
    return any((stop.kind, stop.name) in covered for stop in running_stops)


def start(followers: Followers, server: model.BackendServer) -> None:
    """Start the task that reads an engine's reports."""
    if server.target is not model.Target.MODEL:
        return
    work = reports.follow(
        followers.session,
        server,
        lambda event: dispatcher.post(followers.dispatcher, event),
    )
    followers.tasks[server.name] = asyncio.create_task(work)


def forget(followers: Followers, name: str) -> None:
    """Stop following a backend server."""
    followers.servers.pop(name, None)
    followers.states.pop(name, None)
    task = followers.tasks.pop(name, None)
    if task is not None:
        task.cancel()


def note_leaving(followers: Followers, names: frozenset[str]) -> None:
    """Take the platform's list of leaving backend servers."""
    followers.leaving = names
    update_states(followers)


def update_states(followers: Followers) -> None:
    """Tell the policy core of each backend server whose state has changed."""
    for name in followers.servers:
        is_leaving = name in followers.stopping or name in followers.leaving
        state = events.ServerState.LEAVING if is_leaving else events.ServerState.LIVE
        if followers.states.get(name, events.ServerState.LIVE) is not state:
            event = events.ServerStateChanged(name, state)
            dispatcher.post(followers.dispatcher, event)
            fields = logs.Fields(backend_server=name, detail=str(state))
            logs.info("backend server changed state", fields)
        followers.states[name] = state


def stop(followers: Followers) -> None:
    """Stop following all backend servers."""
    for name in list(followers.servers):
        forget(followers, name)
