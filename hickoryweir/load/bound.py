"""Upper bound on goodput: a scheduler that knows all lengths and loads.

Each pool of engines is modelled as one fluid server with the throughput of its live
engines at full batch.  Earliest deadline first, with credit for partial answers,
maximizes the tokens generated between arrival and deadline, so no real scheduler
exceeds it.
"""

import heapq

from hickoryweir.load import fleet, scenarios
from hickoryweir.testing import engine_model

STEP_S = 0.25


def full_batch_tokens_per_s(settings: engine_model.EngineModelSettings) -> float:
    """Return an engine's decode throughput with a full batch."""
    slowdown = 1.0 + settings.batch_slowdown * (settings.max_batch - 1)
    return settings.decode_tokens_per_s * settings.max_batch / slowdown


def prefill_cost_tokens(
    settings: engine_model.EngineModelSettings, uncached_tokens: int
) -> float:
    """Return the decode tokens lost during the prefill of a prompt."""
    prefill_s = uncached_tokens / settings.prefill_tokens_per_s
    lost_share = 1.0 - settings.decode_share_in_prefill
    return prefill_s * lost_share * full_batch_tokens_per_s(settings)


def goodput_tokens(run: fleet.Run) -> float:
    """Return the maximum number of answer tokens generated within their deadlines.

    Parameters
    ----------
    run : fleet.Run
        A run of the scenario; only its arrivals, engines and faults are used.

    Returns
    -------
    float
        Tokens, over all pools.
    """
    targets = {item.name: item for item in run.deployment.configuration.classes}
    total = 0.0
    for pool in sorted({item.target_name for item in targets.values()}):
        names = [
            name
            for name, engine in run.engines.items()
            if pool in engine.backend_server.serves
        ]
        callers = [
            caller
            for caller in run.callers
            if targets[caller.plan.class_name].target_name == pool
            and not caller.plan.crash_downtime_s
        ]
        total += _pool_goodput_tokens(run, names, callers)
    return total


def _pool_goodput_tokens(
    run: fleet.Run, names: list[str], callers: list[fleet.Caller]
) -> float:
    engine_settings = run.engines[names[0]].settings
    full_tokens_per_s = full_batch_tokens_per_s(engine_settings)
    queue: list[tuple[float, int, float, float]] = []
    goodput = 0.0
    now_s = 0.0
    index = 0
    end_s = max((caller.deadline_s for caller in callers), default=0.0)
    while now_s < end_s:
        while index < len(callers) and callers[index].plan.arrival_s < now_s + STEP_S:
            entry = _make_queue_entry(engine_settings, callers[index], index)
            heapq.heappush(queue, entry)
            index += 1
        work_tokens = (
            STEP_S
            * full_tokens_per_s
            * sum(_speed_factor(run.scenario, n, now_s) for n in names)
        )
        goodput += _serve_queue(queue, work_tokens, now_s)
        now_s += STEP_S
    return goodput


def _make_queue_entry(
    engine_settings: engine_model.EngineModelSettings,
    caller: fleet.Caller,
    index: int,
) -> tuple[float, int, float, float]:
    plan = caller.plan
    cached_tokens = len(plan.prefix_digests) * engine_settings.block_tokens
    uncached_tokens = max(0, plan.input_tokens - cached_tokens)
    work_tokens = plan.output_tokens + prefill_cost_tokens(
        engine_settings, uncached_tokens
    )
    return caller.deadline_s, index, work_tokens, plan.output_tokens / work_tokens


def _serve_queue(
    queue: list[tuple[float, int, float, float]], work_tokens: float, now_s: float
) -> float:
    goodput = 0.0
    while queue and work_tokens > 0.0:
        deadline_s, index, remaining_tokens, output_share = heapq.heappop(queue)
        if deadline_s <= now_s:
            continue
        used_tokens = min(remaining_tokens, work_tokens)
        work_tokens -= used_tokens
        goodput += used_tokens * output_share
        if remaining_tokens > used_tokens:
            entry = (deadline_s, index, remaining_tokens - used_tokens, output_share)
            heapq.heappush(queue, entry)
    return goodput


def _speed_factor(scenario: scenarios.Scenario, name: str, now_s: float) -> float:
    """Return an engine's share of full speed at a time; zone cuts are ignored."""
    speed_factor = 1.0
    for fault in scenario.faults:
        if name not in fault.servers or now_s < fault.at_s:
            continue
        if fault.kind is scenarios.FaultKind.PLANNED_STOP:
            if now_s >= fault.at_s + fault.for_s:
                speed_factor = 0.0
        elif now_s < fault.at_s + fault.for_s:
            is_straggler = fault.kind is scenarios.FaultKind.STRAGGLER
            speed_factor *= fault.speed_factor if is_straggler else 0.0
    return speed_factor
