"""The events of one round of planned stops, drawn from a seed."""

import asyncio
import dataclasses
import random
import signal
import subprocess
import time

from hickoryweir.testing.soak import cluster as clusters
from hickoryweir.testing.soak import stop_backends, stop_delays, stop_records

TERMINATE, TERMINATE_AGAIN, RELOAD = "SIGTERM", "SIGTERM again", "SIGHUP"
REPLACE_TABLE, STOP_REPLICA = "table", "stop of a replica"
KINDS = (TERMINATE, TERMINATE_AGAIN, RELOAD, REPLACE_TABLE, STOP_REPLICA)
# Drawn apart, see :func:`draw_pauses` and :func:`draw_start_stops`.
PAUSE, START_STOP = "pause", "SIGTERM in the start"
LIMIT = "limited processor"
# Of each turn a process with a limited processor runs so much.
LIMITED_SHARES, TURN_S = (0.3, 0.54, 0.8), 0.1
LIMIT_LEAD_S, AGAIN_MAX_S = 1.0, 0.3
STOPS_SPAN_S = 9.0
STOP_INTERVAL_MAX_S = 3.5
# A stop as the router's clients see it ends with the process.
STOP_DURATION_S = stop_records.CONNECTIONS_CLOSE_S
FAULT_DURATION_MIN_S, FAULT_DURATION_MAX_S = 0.5, 3.0
TABLES_COUNT_MAX = 4
# A pause begins before a moment of the stop and ends after it.
PAUSE_LEAD_MAX_S, PAUSE_REST_MIN_S, PAUSE_REST_MAX_S = 0.4, 0.02, 0.4
# Imports take about half a second, and more on a busy computer.
START_AGE_MAX_S = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Attributes
    ----------
    at_s : float
        Time since the first signal of the round.
    index : int
        Number of the router, replica or backend server; 0 for a table.
    duration_s : float
        How long a replica is down or a backend server has its fault.
    """

    at_s: float
    kind: str
    index: int = 0
    duration_s: float = 0.0


def draw(
    generator: random.Random,
    routers_count: int,
    replicas_count: int,
    servers_count: int,
) -> list[Event]:
    """Return the events of a round in order; each router gets one planned stop."""
    stops = draw_stops(generator, routers_count)
    events = list(stops)
    for stop in stops:
        events += draw_signals(generator, stop)
    span_s = stops[-1].at_s + STOP_DURATION_S
    for _ in range(generator.randint(0, TABLES_COUNT_MAX)):
        events.append(Event(generator.uniform(0.0, span_s), REPLACE_TABLE))
    if generator.random() < 0.5:
        index, duration_s = (
            generator.randrange(replicas_count),
            _draw_duration(generator),
        )
        at_s = generator.uniform(0.0, span_s)
        events.append(Event(at_s, STOP_REPLICA, index, duration_s))
    events += draw_server_faults(generator, span_s, servers_count)
    return sorted(events, key=lambda event: event.at_s)


def draw_stops(generator: random.Random, routers_count: int) -> list[Event]:
    """Return the planned stops: all at once, or one after the other."""
    interval_s = 0.0
    if routers_count > 1 and generator.random() < 0.5:
        latest_s = min(STOP_INTERVAL_MAX_S, STOPS_SPAN_S / (routers_count - 1))
        interval_s = generator.uniform(0.0, latest_s)
    order = list(range(routers_count))
    generator.shuffle(order)
    return [
        Event(position * interval_s, TERMINATE, index)
        for position, index in enumerate(order)
    ]


def draw_signals(generator: random.Random, stop: Event) -> list[Event]:
    """Return further signals to a router during its stop."""
    events = []
    for kind in (TERMINATE_AGAIN, RELOAD):
        if generator.random() < 0.4:
            at_s = stop.at_s + generator.uniform(0.0, STOP_DURATION_S)
            events.append(Event(at_s, kind, stop.index))
    return events


def draw_server_faults(
    generator: random.Random, span_s: float, servers_count: int
) -> list[Event]:
    """Return faults of backend servers; one server at least has none."""
    indexes = generator.sample(range(servers_count), generator.randint(0, 2))
    return [
        Event(
            generator.uniform(-1.0, span_s),
            generator.choice(stop_backends.FAULTS),
            index,
            _draw_duration(generator),
        )
        for index in indexes[: servers_count - 1]
    ]


def draw_pauses(generator: random.Random, stops: list[Event]) -> list[Event]:
    """Return pauses of routers' processes around moments of their stops."""
    events = []
    for stop in stops:
        for moment_s in (stop_records.SIGNAL_S, stop_records.LISTENER_CLOSE_S):
            if generator.random() < 0.5:
                lead_s = generator.uniform(0.0, PAUSE_LEAD_MAX_S)
                rest_s = generator.uniform(PAUSE_REST_MIN_S, PAUSE_REST_MAX_S)
                at_s = stop.at_s + moment_s - lead_s
                events.append(Event(at_s, PAUSE, stop.index, lead_s + rest_s))
    return events


def draw_start_stops(generator: random.Random, stops: list[Event]) -> list[Event]:
    """Return planned stops of successors, whose `duration_s` is their age then."""
    return [
        Event(stop.at_s + STOP_DURATION_S, START_STOP, stop.index, age_s)
        for stop in stops
        for age_s in (generator.uniform(0.0, START_AGE_MAX_S),)
        if generator.random() < 0.7
    ]


def draw_limits(generator: random.Random, stops: list[Event]) -> list[Event]:
    """Return limits of routers' processors around stops, and early second signals."""
    events = []
    for stop in stops:
        at_s = stop.at_s - LIMIT_LEAD_S
        duration_s = LIMIT_LEAD_S + stop_records.GRACE_S
        events.append(Event(at_s, LIMIT, stop.index, duration_s))
        if generator.random() < 0.5:
            at_s = stop.at_s + generator.uniform(0.0, AGAIN_MAX_S)
            events.append(Event(at_s, TERMINATE_AGAIN, stop.index))
    return events


async def limit_router(
    process: subprocess.Popen,
    event: Event,
    gaps: list[stop_delays.Gap],
    share: float,
) -> None:
    """Let a router's process run for a share of each turn, until it has ended."""
    until_s = time.monotonic() + event.duration_s
    stopped = dataclasses.replace(event, duration_s=TURN_S * (1.0 - share))
    while time.monotonic() < until_s and not stop_delays.has_ended(process.pid):
        await pause_router(process, stopped, gaps)
        await asyncio.sleep(TURN_S * share)


async def pause_router(
    process: subprocess.Popen, event: Event, gaps: list[stop_delays.Gap]
) -> None:
    """Pause a router's process for the time of an event, and record the pause."""
    if process.poll() is not None:
        return
    process.send_signal(signal.SIGSTOP)
    from_s = time.monotonic()
    await asyncio.sleep(event.duration_s)
    process.send_signal(signal.SIGCONT)
    gaps.append(stop_delays.Gap(from_s, time.monotonic(), stop_delays.STOPPED))


def _draw_duration(generator: random.Random) -> float:
    return generator.uniform(FAULT_DURATION_MIN_S, FAULT_DURATION_MAX_S)


def signal_router(
    cluster: clusters.Cluster, event: Event, process: subprocess.Popen
) -> None:
    """Send a router's process the signal of an event, but not its successor."""
    if process.poll() is not None:
        return
    if event.kind == RELOAD:
        member = cluster.routers[event.index]
        clusters.write_settings(cluster, member, extra_count=101)
        process.send_signal(signal.SIGHUP)
    else:
        process.send_signal(signal.SIGTERM)
