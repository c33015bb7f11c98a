"""Tracks the backend servers of the configuration in force.

Combines the reports and probes of each backend server, the platform's list of VMs and
the planned stops.  Reports go to the policy core unchanged, and so does every change
of state that :mod:`hickoryweir.discovery.decisions` derives.
"""

import dataclasses

import aiohttp

from hickoryweir.configuration import model, stops
from hickoryweir.daemon import dispatcher
from hickoryweir.discovery import decisions
from hickoryweir.engines import reports
from hickoryweir.observability import logs


@dataclasses.dataclass(slots=True, eq=False)
class BackendTracker:
    """The state of the backend servers, and the tasks that watch them.

    Attributes
    ----------
    servers : dict
        Backend servers in the configuration in force, by name.
    state : decisions.State
        Evidence for each of them.
    lookup_paths : dict
        Look-up path of each plain service, by its name.
    """

    dispatcher: dispatcher.Dispatcher
    servers: dict[str, model.BackendServer]
    state: decisions.State
    watcher: reports.Watcher | None = None
    lookup_paths: dict[str, str] = dataclasses.field(default_factory=dict)


def make_tracker(
    core_dispatcher: dispatcher.Dispatcher, session: aiohttp.ClientSession
) -> BackendTracker:
    """Return a tracker without backend servers."""
    tracker = BackendTracker(core_dispatcher, {}, decisions.make_state(()))
    tracker.watcher = reports.make_watcher(
        session, lambda message: handle_message(tracker, message)
    )
    return tracker


def handle_message(tracker: BackendTracker, message: reports.Message) -> None:
    """Handle a report or the result of a probe."""
    if isinstance(message, decisions.Probed):
        apply_observation(tracker, message)
    else:
        dispatcher.post(tracker.dispatcher, message)


def apply_configuration(
    tracker: BackendTracker,
    configuration: model.Configuration,
    running_stops: tuple[stops.Stop, ...],
) -> None:
    """Track the backend servers of a newer configuration.

    Parameters
    ----------
    tracker : BackendTracker
        Changed in place; its dictionary of servers stays the same object.
    configuration : model.Configuration
        The configuration now in force.
    running_stops : tuple of stops.Stop
        Planned stops now in force.
    """
    wanted = {server.name: server for server in configuration.backend_servers}
    tracker.servers.clear()
    tracker.servers.update(wanted)
    tracker.lookup_paths.clear()
    for service in configuration.services:
        tracker.lookup_paths[service.name] = service.lookup_path
    apply_observation(tracker, decisions.Configured(tuple(wanted)))
    leaving = stops.leaving_servers(configuration, running_stops)
    for name, evidence in tracker.state.evidence.items():
        stopping = name in leaving
        if evidence.stopping is not stopping:
            apply_observation(tracker, decisions.StopPlanned(name, stopping))


def watch_servers(tracker: BackendTracker, names: frozenset[str]) -> None:
    """Request reports from these backend servers only."""
    watched = tuple(server for name, server in tracker.servers.items() if name in names)
    reports.update(tracker.watcher, watched)


def apply_observation(
    tracker: BackendTracker, observation: decisions.Observation
) -> None:
    """Apply an observation and post each change of state to the policy core."""
    tracker.state, changes = decisions.observe(tracker.state, observation)
    for change in changes:
        dispatcher.post(tracker.dispatcher, change)
        fields = logs.Fields(
            backend_server=change.backend_server, detail=str(change.state)
        )
        logs.info("backend server changed state", fields)


async def stop(tracker: BackendTracker) -> None:
    """Stop watching all backend servers."""
    await reports.close(tracker.watcher)
