"""Baseline policies: dispatch each call on arrival and let the engines queue it.

They retry idempotent calls from the beginning, as a plain proxy does, and have no
admission control, floor shares, straggler detection or poison quarantine.
"""

import dataclasses
import itertools
from collections.abc import Callable

from hickoryweir.configuration import model
from hickoryweir.load import simulated_engines
from hickoryweir.outcomes import refusals
from hickoryweir.policy import actions, core, events, inspection, settings

MAX_RETRIES = 3
SERVER_BACKOFF_S = 2.0
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class State:
    """State of a baseline router: open calls and last reported engine loads."""

    configuration: model.Configuration
    rotation_counter: itertools.count
    classes: dict[str, model.RequestClass]
    pools: dict[str, list[str]]
    calls: dict[str, events.Arrived] = dataclasses.field(default_factory=dict)
    attempt_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    assigned_servers: dict[str, str] = dataclasses.field(default_factory=dict)
    reported_loads: dict[str, int] = dataclasses.field(default_factory=dict)
    down_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    leaving: set[str] = dataclasses.field(default_factory=set)


def make_state(
    core_settings: settings.CoreSettings, configuration: model.Configuration
) -> State:
    """Return the initial state; the rotation starts at the router's number."""
    pools: dict[str, list[str]] = {}
    for server in configuration.backend_servers:
        for name in server.serves:
            pools.setdefault(name, []).append(server.name)
    classes = {item.name: item for item in configuration.classes}
    start = int(core_settings.router.rpartition("-")[2])
    return State(configuration, itertools.count(start), classes, pools)


def select_round_robin(state: State, names: list[str]) -> str:
    """Return the next backend server in rotation."""
    return names[next(state.rotation_counter) % len(names)]


def select_least_loaded(state: State, names: list[str]) -> str:
    """Return the backend server with the least reported load, ties in rotation."""
    offset = next(state.rotation_counter)
    rotated_names = [
        names[(offset + index) % len(names)] for index in range(len(names))
    ]
    return min(rotated_names, key=lambda name: state.reported_loads.get(name, 0))


def make_handler(
    select_server: Callable[[State, list[str]], str], sends_tiers: bool = False
) -> Callable:
    """Return a ``handle`` function that assigns calls with ``select_server``.

    With ``sends_tiers`` the engines get the class's tier as the call's priority.
    """

    def handle(state: State, event: events.Event, now_s: float):
        match event:
            case events.Arrived():
                state.calls[event.request_id] = event
                state.attempt_counts[event.request_id] = 0
                return dispatch(state, event.request_id, now_s)
            case events.AttemptFailed():
                return handle_failure(state, event, now_s)
            case events.Completed(request_id) | events.Withdrawn(request_id):
                remove_call(state, request_id)
            case events.LoadReported():
                load = event.running + event.waiting
                state.reported_loads[event.backend_server] = load
            case events.ServerStateChanged():
                state.leaving.add(event.backend_server)
        return []

    def dispatch(state: State, request_id: str, now_s: float):
        request_class = state.classes[state.calls[request_id].class_name]
        names = [
            name
            for name in state.pools[request_class.target_name]
            if name not in state.leaving and state.down_until_s.get(name, 0.0) <= now_s
        ]
        if not names:
            return refuse(state, request_id, refusals.Reason.NO_BACKEND_SERVER)
        state.attempt_counts[request_id] += 1
        name = select_server(state, names)
        state.assigned_servers[request_id] = name
        attempt = state.attempt_counts[request_id]
        priority = request_class.tier if sends_tiers else 0
        return [actions.Dispatch(request_id, attempt, name, priority=priority)]

    def handle_failure(state: State, event: events.AttemptFailed, now_s: float):
        arrived = state.calls.get(event.request_id)
        if arrived is None:
            return []
        failed_server = state.assigned_servers[event.request_id]
        state.down_until_s[failed_server] = now_s + SERVER_BACKOFF_S
        idempotent = state.classes[arrived.class_name].idempotent
        if not idempotent and event.ran is not refusals.Ran.NO:
            reason = refusals.Reason.OUTCOME_UNKNOWN
            return refuse(state, event.request_id, reason, refusals.Ran.MAYBE)
        if state.attempt_counts[event.request_id] > MAX_RETRIES:
            reason = refusals.Reason.RETRIES_EXHAUSTED
            return refuse(state, event.request_id, reason, event.ran)
        return dispatch(state, event.request_id, now_s)

    return handle


def refuse(
    state: State,
    request_id: str,
    reason: refusals.Reason,
    ran: refusals.Ran = refusals.Ran.NO,
) -> list[actions.Action]:
    """Drop the state of a call and refuse it."""
    remove_call(state, request_id)
    retry_after_s = None if reason is refusals.Reason.OUTCOME_UNKNOWN else RETRY_AFTER_S
    refusal = refusals.make_refusal(reason, "", retry_after_s, ran)
    return [actions.Refuse(request_id, refusal)]


def remove_call(state: State, request_id: str) -> None:
    """Drop the state of a call."""
    state.calls.pop(request_id, None)
    state.attempt_counts.pop(request_id, None)
    state.assigned_servers.pop(request_id, None)


def no_digest(state: State, now_s: float) -> None:
    """Return no digest: baselines do not exchange state."""


POLICIES = {
    policy.name: policy
    for policy in (
        simulated_engines.Policy(
            "hickoryweir", core.make_core, core.handle, inspection.digest
        ),
        simulated_engines.Policy(
            "fcfs_round_robin", make_state, make_handler(select_round_robin), no_digest
        ),
        simulated_engines.Policy(
            "least_reported", make_state, make_handler(select_least_loaded), no_digest
        ),
        simulated_engines.Policy(
            "strict_priority",
            make_state,
            make_handler(select_round_robin, True),
            no_digest,
        ),
    )
}
