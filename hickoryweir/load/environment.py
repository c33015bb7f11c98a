"""Environment of the simulated routers: ticks, reports, digests and faults."""

from hickoryweir.load import fleet, scenarios, simulated_engines
from hickoryweir.outcomes import refusals
from hickoryweir.policy import events
from hickoryweir.testing import engine_model

CACHE_EVENT_LAG_S = 0.5
CACHE_EVENT_LOSS_SHARE = 0.05
ATTEMPT_TIMEOUT_S = 5.0
PLATFORM_NOTICE_LAG_S = 2.0


def tick_router(run: fleet.Run, router: fleet.Router) -> None:
    """Report the progress of a router's attempts, then send it a tick."""
    by_engine: dict[str, list[tuple[str, int]]] = {}
    for key, name in router.attempts.items():
        by_engine.setdefault(name, []).append(key)
    for name, keys in by_engine.items():
        engine = run.engines[name]
        if not fleet.can_reach(
            run, router.zone, engine.backend_server.availability_zone
        ):
            continue
        simulated_engines.apply(run.clock, engine, engine_model.Advance())
        tokens = simulated_engines.tokens_by_request(engine)
        for key in keys:
            sequence = engine.sequences.get(fleet.engine_request_id(router, key))
            if sequence is not None and key in router.attempts:
                generated_tokens = (
                    tokens.get(fleet.engine_request_id(router, key), 0)
                    - sequence.resumed_tokens
                )
                if generated_tokens > 0:
                    fleet.handle_event(
                        run, router, events.Progressed(*key, generated_tokens)
                    )
    fleet.handle_event(run, router, events.Ticked())


def send_digest(run: fleet.Run, router: fleet.Router) -> None:
    """Send a router's digest to the other routers that it can reach."""
    digest = run.policy.digest(router.policy_state, run.clock.now_s)
    if digest is None:
        return
    for other in run.routers:
        if other is not router and fleet.can_reach(run, router.zone, other.zone):
            at_s = run.clock.now_s + simulated_engines.LINK_DELAY_S
            simulated_engines.call_at(
                run.clock,
                at_s,
                lambda other=other: fleet.handle_event(run, other, digest),
            )


def publish_load(run: fleet.Run, engine: simulated_engines.Engine) -> None:
    """Publish an engine's load report and cache events; some events are lost."""
    now_s = run.clock.now_s
    if not simulated_engines.is_up(engine, now_s):
        return
    report = events.LoadReported(
        engine.backend_server.name,
        engine_model.running_count(engine.state),
        len(engine.state.waiting),
        engine_model.cache_used_share(engine.settings, engine.state),
        now_s,
    )
    _broadcast(run, engine, report, run.scenario.report_lag_s)
    changes = engine.cache_events
    engine.cache_events = []
    for stored, removed in changes:
        engine.cache_sequence += 1
        if run.random.random() >= CACHE_EVENT_LOSS_SHARE:
            event = events.CacheChanged(
                engine.backend_server.name, engine.cache_sequence, stored, removed
            )
            _broadcast(run, engine, event, CACHE_EVENT_LAG_S)


def _broadcast(
    run: fleet.Run, engine: simulated_engines.Engine, event: events.Event, lag_s: float
) -> None:
    def deliver() -> None:
        for router in run.routers:
            if fleet.can_reach(
                run, router.zone, engine.backend_server.availability_zone
            ):
                fleet.handle_event(run, router, event)

    simulated_engines.call_at(run.clock, run.clock.now_s + lag_s, deliver)


def schedule_fault(run: fleet.Run, fault: scenarios.Fault) -> None:
    """Schedule the start and end of a fault."""
    begin, finish = {
        scenarios.FaultKind.STRAGGLER: (_slow_engines, _restore_speed),
        scenarios.FaultKind.CRASH: (_crash_engines, None),
        scenarios.FaultKind.ZONE_CUT: (_isolate_zone, _reconnect_zone),
        scenarios.FaultKind.PLANNED_STOP: (_announce_stop, _stop_engines),
        scenarios.FaultKind.POISON: (None, None),
    }[fault.kind]
    if begin is not None:
        simulated_engines.call_at(run.clock, fault.at_s, lambda: begin(run, fault))
    if finish is not None:
        end_s = fault.at_s + fault.for_s
        simulated_engines.call_at(run.clock, end_s, lambda: finish(run, fault))


def _slow_engines(run: fleet.Run, fault: scenarios.Fault) -> None:
    for name in fault.servers:
        speed = engine_model.SetSpeed(fault.speed_factor)
        simulated_engines.apply(run.clock, run.engines[name], speed)


def _restore_speed(run: fleet.Run, fault: scenarios.Fault) -> None:
    for name in fault.servers:
        simulated_engines.apply(
            run.clock, run.engines[name], engine_model.SetSpeed(1.0)
        )


def _crash_engines(run: fleet.Run, fault: scenarios.Fault) -> None:
    for name in fault.servers:
        simulated_engines.crash(run.clock, run.engines[name], fault.for_s)


def _isolate_zone(run: fleet.Run, fault: scenarios.Fault) -> None:
    run.isolated_zone = fault.zone
    at_s = run.clock.now_s + ATTEMPT_TIMEOUT_S
    for router in run.routers:
        for key, name in list(router.attempts.items()):
            zone = run.engines[name].backend_server.availability_zone
            if not fleet.can_reach(run, router.zone, zone):
                simulated_engines.call_at(
                    run.clock,
                    at_s,
                    lambda router=router, key=key: _time_out_attempt(run, router, key),
                )


def _time_out_attempt(
    run: fleet.Run, router: fleet.Router, key: tuple[str, int]
) -> None:
    name = router.attempts.get(key)
    if name is None:
        return
    engine = run.engines[name]
    tokens = simulated_engines.cancel(
        run.clock, engine, fleet.engine_request_id(router, key)
    )
    fleet.count_wasted_tokens(run, "timed_out", tokens)
    cause = events.FailureCause.TIMED_OUT
    fleet.fail_attempt(run, router, key, cause, refusals.Ran.MAYBE, 0)


def _reconnect_zone(run: fleet.Run, fault: scenarios.Fault) -> None:
    run.isolated_zone = ""


def _announce_stop(run: fleet.Run, fault: scenarios.Fault) -> None:
    for name in fault.servers:
        event = events.ServerStateChanged(name, events.ServerState.LEAVING)
        _broadcast(run, run.engines[name], event, PLATFORM_NOTICE_LAG_S)


def _stop_engines(run: fleet.Run, fault: scenarios.Fault) -> None:
    for name in fault.servers:
        simulated_engines.crash(run.clock, run.engines[name], 0.0)
        run.engines[name].is_stopped = True
