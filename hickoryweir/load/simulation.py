"""One run of a scenario in simulated time: callers, routers and engines.

The policy under test gets the events that the daemon would give it, and its
actions are carried out on :mod:`hickoryweir.testing.engine_model`.
"""

import random

from hickoryweir.load import (
    arrivals,
    deployments,
    environment,
    fleet,
    scenarios,
    simulated_engines,
)
from hickoryweir.policy import settings

REPORT_PERIOD_S = 1.0
DIGEST_PERIOD_S = 0.5
END_MARGIN_S = 2.0


def simulate(
    scenario: scenarios.Scenario,
    policy: simulated_engines.Policy,
    seed: int,
    mechanisms: settings.Mechanisms = settings.ALL,
) -> fleet.Run:
    """Run a scenario to its end with one policy and one seed.

    Parameters
    ----------
    scenario : scenarios.Scenario
        Demand and faults.
    policy : simulated_engines.Policy
        Policy under test.
    seed : int
        Seed of arrivals, links and the policy's random choices.
    mechanisms : settings.Mechanisms, optional
        Enabled mechanisms of the policy core.

    Returns
    -------
    fleet.Run
        The finished run, for :mod:`hickoryweir.load.results`.
    """
    run = _make_run(scenario, policy, seed, mechanisms)
    for caller in run.callers:
        at_s = caller.plan.arrival_s
        simulated_engines.call_at(
            run.clock, at_s, lambda caller=caller: fleet.send(run, caller)
        )
    for index, router in enumerate(run.routers):
        _call_periodically(
            run,
            fleet.TICK_PERIOD_S,
            index * 0.01,
            lambda r=router: environment.tick_router(run, r),
        )
        _call_periodically(
            run,
            DIGEST_PERIOD_S,
            index * 0.03,
            lambda r=router: environment.send_digest(run, r),
        )
    for index, engine in enumerate(run.engines.values()):
        _call_periodically(
            run,
            REPORT_PERIOD_S,
            index * 0.05,
            lambda e=engine: environment.publish_load(run, e),
        )
    for fault in scenario.faults:
        environment.schedule_fault(run, fault)
    longest_s = max(item.deadline_s for item in run.deployment.configuration.classes)
    end_s = scenario.duration_s + longest_s + END_MARGIN_S
    simulated_engines.run_until(run.clock, end_s)
    return run


def _make_run(
    scenario: scenarios.Scenario,
    policy: simulated_engines.Policy,
    seed: int,
    mechanisms: settings.Mechanisms,
) -> fleet.Run:
    deployment = deployments.make_deployment(scenario.deployment)
    deadlines = {
        item.name: item.deadline_s for item in deployment.configuration.classes
    }
    routers = []
    for index in range(scenario.routers):
        zone = deployments.ZONES[index % len(deployments.ZONES)]
        name = f"router-{index + 1}"
        core_settings = settings.CoreSettings(name, zone, seed, mechanisms)
        routers.append(
            fleet.Router(
                name, zone, policy.make_state(core_settings, deployment.configuration)
            )
        )
    callers = [
        fleet.Caller(plan, plan.arrival_s + deadlines[plan.class_name])
        for plan in arrivals.plan_calls(scenario, deployment, seed)
    ]
    engines = {
        item.name: simulated_engines.make_engine(item)
        for item in deployment.configuration.backend_servers
    }
    generator = random.Random(f"{seed}/world")
    clock = simulated_engines.Clock()
    return fleet.Run(
        scenario, deployment, policy, clock, generator, engines, routers, callers
    )


def _call_periodically(
    run: fleet.Run, period_s: float, start_s: float, callback
) -> None:
    def repeat() -> None:
        callback()
        simulated_engines.call_at(run.clock, run.clock.now_s + period_s, repeat)

    simulated_engines.call_at(run.clock, start_s, repeat)
