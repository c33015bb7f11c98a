"""Derives the state of each backend server from all observations of it.

There are three sources: the platform's list of VMs (delayed, may be missing or
outdated), the router's own probes, and operators' planned stops.  A server is
leaving as soon as one source reports it.  It is gone only if the probes fail;
disappearing from the list is not enough without failed probes.  A missing,
outdated or empty list changes nothing.

The logic is pure: ``observe(state, observation) -> (state, changes)``.

Examples
--------
>>> state = make_state(("engine-1",))
>>> state, changes = observe(state, Listed(1, (Vm("engine-1", VmState.LEAVING),)))
>>> changes[0].state
<ServerState.LEAVING: 'leaving'>
>>> observe(state, Listed(2, ()))[1]
()
"""

import dataclasses
import enum

from hickoryweir.policy import events


class VmState(enum.StrEnum):
    """State of a VM as reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM in the list, named like its backend server."""

    name: str
    state: VmState


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """A list of VMs, outdated if a higher version has been observed."""

    version: int
    vms: tuple[Vm, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Probed:
    """Result of a probe of a backend server."""

    backend_server: str
    up: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StopPlanned:
    """An operator plans to stop a backend server, or cancels the stop."""

    backend_server: str
    stopping: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Configured:
    """The backend servers of the current configuration."""

    backend_servers: tuple[str, ...]


Observation = Listed | Probed | StopPlanned | Configured


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Observations of one backend server.

    ``listed`` is the state in the newest list, or None if the list has never
    included the server or no longer does.  A leaving server stays leaving when it
    disappears from the list.
    """

    listed: VmState | None = None
    up: bool = True
    stopping: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Evidence for each backend server, and the version of the newest list."""

    list_version: int
    evidence: dict[str, Evidence]


def make_state(backend_servers: tuple[str, ...]) -> State:
    """Return the initial state, in which every server is live."""
    return State(-1, dict.fromkeys(backend_servers, Evidence()))


def server_state(evidence: Evidence) -> events.ServerState:
    """Return the state of a server, given the evidence."""
    if not evidence.up:
        return events.ServerState.GONE
    if evidence.stopping or evidence.listed is VmState.LEAVING:
        return events.ServerState.LEAVING
    return events.ServerState.LIVE


def observe(
    state: State, observation: Observation
) -> tuple[State, tuple[events.ServerStateChanged, ...]]:
    """Apply an observation.

    Parameters
    ----------
    state : State
        State before the observation.
    observation : Observation
        New observation.

    Returns
    -------
    tuple of State and tuple of events.ServerStateChanged
        State after the observation, and the servers that are new or whose state
        changed.
    """
    after = _apply(state, observation)
    changes = tuple(
        events.ServerStateChanged(name, server_state(evidence))
        for name, evidence in after.evidence.items()
        if name not in state.evidence
        or server_state(evidence) is not server_state(state.evidence[name])
    )
    return after, changes


def _apply(state: State, observation: Observation) -> State:
    match observation:
        case Listed():
            return _apply_list(state, observation)
        case Probed(name, up):
            return _update_evidence(state, name, up=up)
        case StopPlanned(name, stopping):
            return _update_evidence(state, name, stopping=stopping)
        case Configured(names):
            evidence = {name: state.evidence.get(name, Evidence()) for name in names}
            return dataclasses.replace(state, evidence=evidence)


def _update_evidence(state: State, name: str, **fields: bool) -> State:
    known = state.evidence.get(name)
    if known is None:
        return state
    changed = dataclasses.replace(known, **fields)
    return dataclasses.replace(state, evidence=state.evidence | {name: changed})


def _apply_list(state: State, listed: Listed) -> State:
    if listed.version < state.list_version or not listed.vms:
        return state
    listed_states = {vm.name: vm.state for vm in listed.vms}
    evidence = {
        name: dataclasses.replace(
            known, listed=_listed_state(known, listed_states.get(name))
        )
        for name, known in state.evidence.items()
    }
    return State(listed.version, evidence)


def _listed_state(known: Evidence, reported: VmState | None) -> VmState | None:
    if reported is None and known.listed is VmState.LEAVING:
        return VmState.LEAVING
    return reported
