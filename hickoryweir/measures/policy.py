"""Measure the time of policy decisions: ``python -m hickoryweir.measures.policy``.

A constant number of calls, below the router's capacity, is kept in flight; each
request takes one ``Arrived``, two ``Progressed`` and one ``Completed`` event.
"""

import dataclasses
import statistics
import time

from hickoryweir.policy import actions, core, events, examples, settings

ENGINE_COUNTS = (10, 100, 1000)
REQUESTS_COUNT = 5000
IN_FLIGHT_COUNT = 60
ARRIVAL_INTERVAL_S = 0.01
PEERS_COUNT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Processing times of the core, in microseconds."""

    engines: int
    arrival_p50_us: float
    arrival_p99_us: float
    request_p50_us: float
    request_p99_us: float
    tick_p50_us: float


def measure(engines_count: int, requests_count: int = REQUESTS_COUNT) -> Cost:
    """Return the processing times with a number of engines.

    Parameters
    ----------
    engines_count : int
        Engines of one model in three zones.
    requests_count : int, optional
        Number of requests.

    Returns
    -------
    Cost
        Percentiles over the requests.
    """
    policy_core = _make_core(engines_count)
    arrivals_us: list[float] = []
    requests_us: list[float] = []
    ticks_us: list[float] = []
    running: list[tuple[str, int, float]] = []
    for number in range(requests_count):
        now_s = number * ARRIVAL_INTERVAL_S
        core_actions, elapsed_us = _time_event(
            policy_core, _make_arrival(number, now_s), now_s
        )
        arrivals_us.append(elapsed_us)
        for action in core_actions:
            if isinstance(action, actions.Dispatch):
                running.append((action.request_id, action.attempt, elapsed_us))
        if len(running) > IN_FLIGHT_COUNT:
            requests_us.append(_time_completion(policy_core, running.pop(0), now_s))
        if number % 25 == 0:
            ticks_us.append(_time_event(policy_core, events.Ticked(), now_s)[1])
    return Cost(
        engines_count,
        statistics.median(arrivals_us),
        _p99(arrivals_us),
        statistics.median(requests_us),
        _p99(requests_us),
        statistics.median(ticks_us),
    )


def _make_core(engines_count: int):
    classes = [
        examples.request_class("balance", max_queue_length=10_000),
        examples.request_class("summary", 1, max_queue_length=10_000),
    ]
    engines = [
        examples.engine(f"e{index}", "abc"[index % 3], max_concurrency=16)
        for index in range(engines_count)
    ]
    configuration = examples.configuration(classes, engines)
    policy_core = core.make_core(settings.CoreSettings("router-1", "a"), configuration)
    for index in range(PEERS_COUNT):
        running = tuple((f"e{n}", 1) for n in range(min(64, engines_count)))
        digest = events.PeerDigestReceived(f"p{index}", "a", running, (), (), ())
        core.handle(policy_core, digest, 0.0)
    return policy_core


def _make_arrival(number: int, now_s: float) -> events.Arrived:
    return examples.arrival(
        f"r{number}",
        "summary" if number % 4 == 0 else "balance",
        prefix_digests=tuple(range(number % 50, number % 50 + 4)),
        deadline_s=now_s + 60.0,
    )


def _time_completion(
    policy_core, running: tuple[str, int, float], now_s: float
) -> float:
    request_id, attempt, elapsed_us = running
    for event in (
        events.Progressed(request_id, attempt, 1),
        events.Progressed(request_id, attempt, 50),
        events.Completed(request_id, attempt, 100),
    ):
        elapsed_us += _time_event(policy_core, event, now_s)[1]
    return elapsed_us


def _time_event(policy_core, event: events.Event, now_s: float):
    started_ns = time.perf_counter_ns()
    core_actions = core.handle(policy_core, event, now_s)
    return core_actions, (time.perf_counter_ns() - started_ns) / 1000


def _p99(values: list[float]) -> float:
    return statistics.quantiles(values, n=100)[98]


def table(costs: list[Cost]) -> str:
    """Return the costs as a table."""
    lines = [
        "| engines | arrival p50 µs | p99 | request p50 µs | p99 | tick p50 µs |",
        "|---|---|---|---|---|---|",
    ]
    for cost in costs:
        cells = [f"{value:.0f}" for value in dataclasses.astuple(cost)]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


if __name__ == "__main__":
    print(table([measure(count) for count in ENGINE_COUNTS]))
