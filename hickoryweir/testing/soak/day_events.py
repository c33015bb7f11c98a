"""The events of a whole day, drawn from its seed."""

import dataclasses
import random

from hickoryweir.testing.soak import stop_backends, stop_events, stop_records

# A replica that starts or returns counts as lost for this time, from its port on.
CATCH_UP_S = 4.0
# Time of a process from its start until it listens, without load.
START_S = 1.0
REPLICAS_COUNT = 3
REPLACE, LOSE = "replica replaced", "replica killed for good"
KILL, EMPTY, RESTART = "kill", "empty disk", "restart"
# Of these, a successor starts first and the older replica never returns.
SUCCESSIONS = (REPLACE, LOSE)
LOSSES = (*SUCCESSIONS, KILL, EMPTY, RESTART)
CHANGE, RACE, REPEAT = "change", "race", "lost acknowledgement"
CHANGES = (CHANGE, RACE, REPEAT)
LEAVE = "leave"
SERVER_FAULTS = (LEAVE, *stop_backends.FAULTS)
ADD = "router added"
# By how much longer each sync takes.
SLOW_DISKS_S = {"disk a little slow": 0.05, "slow disk": 0.2, "hanging disk": 0.8}
FINAL_KILL, FINAL_DISK = "all killed", "disk lost, other replicas killed"
FINAL_DISK_ALL = "disk lost, all others killed"
FINALS = (FINAL_KILL, FINAL_DISK, FINAL_DISK_ALL)
LEAD_S = 2.5
DURATION_MIN_S, DURATION_MAX_S = 0.2, 2.0
CHANGE_INTERVAL_MAX_S = 1.2
SERVER_INTERVAL_MAX_S = 4.0
# From one stop of a router to its next one.
STOP_INTERVAL_MIN_S, STOP_INTERVAL_MAX_S = 16.0, 24.0
FINAL_DELAY_MAX_S, FINAL_SOON_MAX_S = 3.0, 0.6
ADDED_MAX_COUNT = 2
SLOW_MIN_S, SLOW_MAX_S = 1.0, 4.0
SLOW_INTERVAL_MAX_S = 16.0
# From the moment at which an added router is ready until its planned stop.
ADDED_MIN_S, ADDED_MAX_S = 2.0, 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """The events of a day; times since its start.

    Attributes
    ----------
    losses, changes, servers, stops, reloads : list of Event
        Events of replicas, the operator, backend servers and routers, each in order.
        Losses follow one another; so do changes, and faults of backend servers.
    slow_disks : list of Event
        Slow disks of replicas, in order; they may overlap losses, but not each other.
    additions : list of Event
        Routers that are added; the duration is from ready to the planned stop.
    last_loss : Event
        The loss after all other events but changes.
    final : Event
        The final fault, whose duration is its delay after the last loss.
    """

    losses: list[stop_events.Event]
    changes: list[stop_events.Event]
    servers: list[stop_events.Event]
    stops: list[stop_events.Event]
    reloads: list[stop_events.Event]
    slow_disks: list[stop_events.Event]
    additions: list[stop_events.Event]
    last_loss: stop_events.Event
    final: stop_events.Event


def draw(seed: int, span_s: float, routers_count: int, servers_count: int) -> Day:
    """Return the day of a seed; each sort of event has a generator of its own."""
    stops = draw_stops(random.Random(f"{seed} stops"), span_s, routers_count)
    generator = random.Random(f"{seed} final")
    last_loss = draw_loss(generator, span_s, (*LOSSES, LOSE, LOSE))
    delay_s = generator.choice(
        (
            0.0,
            generator.uniform(0.0, FINAL_SOON_MAX_S),
            generator.uniform(0.0, FINAL_DELAY_MAX_S),
        )
    )
    index = generator.randrange(REPLICAS_COUNT)
    final = stop_events.Event(span_s, generator.choice(FINALS), index, delay_s)
    return Day(
        draw_losses(random.Random(f"{seed} losses"), span_s),
        draw_changes(random.Random(f"{seed} changes"), span_s),
        draw_servers(random.Random(f"{seed} servers"), span_s, servers_count),
        stops,
        draw_reloads(random.Random(f"{seed} reloads"), span_s, stops, routers_count),
        draw_slow_disks(random.Random(f"{seed} slow disks"), span_s),
        draw_additions(random.Random(f"{seed} additions"), span_s),
        last_loss,
        final,
    )


def end_s(event: stop_events.Event) -> float:
    """Return when a loss of a replica is over: the next one may follow."""
    return event.at_s + event.duration_s + START_S + CATCH_UP_S


def draw_losses(generator: random.Random, span_s: float) -> list[stop_events.Event]:
    """Return losses of replicas, of which none begins before the one before is over."""
    events: list[stop_events.Event] = []
    at_s = generator.uniform(0.0, DURATION_MAX_S)
    while True:
        event = draw_loss(generator, at_s, LOSSES)
        if end_s(event) > span_s:
            return events
        events.append(event)
        at_s = end_s(event) + generator.choice((0.0, generator.uniform(0.0, 2.0)))


def draw_loss(generator, at_s: float, kinds: tuple[str, ...]) -> stop_events.Event:
    """Return a loss of one of the replicas that count."""
    duration_s = generator.uniform(DURATION_MIN_S, DURATION_MAX_S)
    index = generator.randrange(REPLICAS_COUNT)
    return stop_events.Event(at_s, generator.choice(kinds), index, duration_s)


def draw_changes(generator: random.Random, span_s: float) -> list[stop_events.Event]:
    """Return the operator's changes; a lost acknowledgement is lost after its time."""
    events = []
    at_s = 0.0
    while at_s < span_s:
        kind = generator.choice((CHANGE, *CHANGES))
        index = generator.randrange(REPLICAS_COUNT)
        lost_s = generator.choice((0.002, 0.02, 0.1))
        events.append(stop_events.Event(at_s, kind, index, lost_s))
        storm_s = generator.choice((0.05, CHANGE_INTERVAL_MAX_S))
        at_s += generator.uniform(0.0, storm_s)
    return events


def draw_servers(
    generator: random.Random, span_s: float, servers_count: int
) -> list[stop_events.Event]:
    """Return faults of backend servers, one server at a time."""
    events = []
    at_s = generator.uniform(0.0, SERVER_INTERVAL_MAX_S)
    while at_s < span_s:
        kind, index = (
            generator.choice(SERVER_FAULTS),
            generator.randrange(servers_count),
        )
        duration_s = generator.uniform(DURATION_MIN_S, DURATION_MAX_S)
        events.append(stop_events.Event(at_s, kind, index, duration_s))
        at_s += duration_s + generator.uniform(0.0, SERVER_INTERVAL_MAX_S)
    return events


def draw_stops(
    generator: random.Random, span_s: float, routers_count: int
) -> list[stop_events.Event]:
    """Return planned stops of routers, which overlap; each has ended by the span."""
    events = []
    latest_s = max(LEAD_S, span_s - stop_records.GRACE_S)
    for index in range(routers_count):
        first_max_s = min(latest_s, STOP_INTERVAL_MIN_S)
        at_s = generator.uniform(LEAD_S, first_max_s)
        while at_s <= latest_s:
            events.append(stop_events.Event(at_s, stop_events.TERMINATE, index))
            at_s += generator.uniform(STOP_INTERVAL_MIN_S, STOP_INTERVAL_MAX_S)
    return sorted(events, key=lambda event: event.at_s)


def draw_reloads(
    generator, span_s: float, stops: list[stop_events.Event], routers_count: int
) -> list[stop_events.Event]:
    """Return SIGHUPs of routers, around their stops and at any time."""
    signals = [stop_events.draw_signals(generator, stop) for stop in stops]
    events = [event for each in signals for event in each]
    for index in range(routers_count):
        at_s = generator.uniform(0.0, span_s)
        events.append(stop_events.Event(at_s, stop_events.RELOAD, index))
    reloads = [event for event in events if event.kind == stop_events.RELOAD]
    return sorted(reloads, key=lambda event: event.at_s)


def draw_slow_disks(generator: random.Random, span_s: float) -> list[stop_events.Event]:
    """Return slow disks of replicas, of which each is sound again by the span."""
    events: list[stop_events.Event] = []
    at_s = generator.uniform(0.0, SLOW_INTERVAL_MAX_S)
    while at_s + SLOW_MAX_S <= span_s:
        kind = generator.choice(list(SLOW_DISKS_S))
        index = generator.randrange(REPLICAS_COUNT)
        duration_s = generator.uniform(SLOW_MIN_S, SLOW_MAX_S)
        events.append(stop_events.Event(at_s, kind, index, duration_s))
        at_s += duration_s + generator.uniform(0.0, SLOW_INTERVAL_MAX_S)
    return events


def draw_additions(generator: random.Random, span_s: float) -> list[stop_events.Event]:
    """Return routers that are added in the middle of the day."""
    events = []
    for _ in range(generator.randint(1, ADDED_MAX_COUNT)):
        at_s = generator.uniform(span_s / 4, span_s / 2)
        rest_s = span_s - at_s - START_S - LEAD_S - stop_records.GRACE_S
        latest_s = max(ADDED_MIN_S, min(ADDED_MAX_S, rest_s))
        duration_s = generator.uniform(ADDED_MIN_S, latest_s)
        events.append(stop_events.Event(at_s, ADD, duration_s=duration_s))
    return events
