"""An upper bound on goodput: a scheduler that knows all lengths and loads.

Each pool is taken as one fluid server with the throughput of its live engines
at full batch.  Serving by earliest deadline, with credit for parts of answers,
gets the most tokens done inside their windows, so no real scheduler passes it.
"""

import heapq

from hickoryweir.load import fleet, scenarios
from hickoryweir.testing import engine_model

STEP_S = 0.25


def full_rate_tokens_per_s(settings: engine_model.EngineModelSettings) -> float:
    """Return an engine's decode throughput with a full batch."""
    slowdown = 1.0 + settings.batch_slowdown * (settings.max_batch - 1)
    return settings.decode_tokens_per_s * settings.max_batch / slowdown


def prefill_cost_tokens(
    settings: engine_model.EngineModelSettings, uncached_tokens: int
) -> float:
    """Return the decode tokens lost while a prompt is read."""
    seconds = uncached_tokens / settings.prefill_tokens_per_s
    lost = 1.0 - settings.decode_share_in_prefill
    return seconds * lost * full_rate_tokens_per_s(settings)


def goodput_tokens(run: fleet.Run) -> float:
    """Return the most answer tokens that could be whole within their deadlines.

    Parameters
    ----------
    run : fleet.Run
        A run of the scenario; only its arrivals, engines and faults are used.

    Returns
    -------
    float
        Tokens, over all pools.
    """
    targets = {item.name: item for item in run.site.configuration.classes}
    total = 0.0
    for pool in sorted({item.target_name for item in targets.values()}):
        names = [n for n, e in run.engines.items() if pool in e.backend.serves]
        callers = [
            caller
            for caller in run.callers
            if targets[caller.plan.class_name].target_name == pool
            and not caller.plan.crash_s
        ]
        total += _pool_tokens(run, names, callers)
    return total


def _pool_tokens(
    run: fleet.Run, names: list[str], callers: list[fleet.Caller]
) -> float:
    engine_settings = run.engines[names[0]].settings
    full = full_rate_tokens_per_s(engine_settings)
    waiting: list[tuple[float, int, float, float]] = []
    done = 0.0
    now_s = 0.0
    index = 0
    end_s = max((caller.deadline_s for caller in callers), default=0.0)
    while now_s < end_s:
        while index < len(callers) and callers[index].plan.at_s < now_s + STEP_S:
            entry = _entry(engine_settings, callers[index], index)
            heapq.heappush(waiting, entry)
            index += 1
        work = STEP_S * full * sum(_speed(run.scenario, n, now_s) for n in names)
        done += _serve(waiting, work, now_s)
        now_s += STEP_S
    return done


def _entry(
    engine_settings: engine_model.EngineModelSettings,
    caller: fleet.Caller,
    index: int,
) -> tuple[float, int, float, float]:
    plan = caller.plan
    cached = len(plan.prefix_digests) * engine_settings.block_tokens
    uncached = max(0, plan.input_tokens - cached)
    work = plan.output_tokens + prefill_cost_tokens(engine_settings, uncached)
    return caller.deadline_s, index, work, plan.output_tokens / work


def _serve(
    waiting: list[tuple[float, int, float, float]], work: float, now_s: float
) -> float:
    done = 0.0
    while waiting and work > 0.0:
        deadline_s, index, left, output_share = heapq.heappop(waiting)
        if deadline_s <= now_s:
            continue
        used = min(left, work)
        work -= used
        done += used * output_share
        if left > used:
            entry = (deadline_s, index, left - used, output_share)
            heapq.heappush(waiting, entry)
    return done


def _speed(scenario: scenarios.Scenario, name: str, now_s: float) -> float:
    """Return an engine's share of its full speed at a time; cuts don't count."""
    speed = 1.0
    for fault in scenario.faults:
        if name not in fault.servers or now_s < fault.at_s:
            continue
        if fault.kind is scenarios.FaultKind.PLANNED_STOP:
            if now_s >= fault.at_s + fault.for_s:
                speed = 0.0
        elif now_s < fault.at_s + fault.for_s:
            slow = fault.kind is scenarios.FaultKind.STRAGGLER
            speed *= fault.speed_factor if slow else 0.0
    return speed
