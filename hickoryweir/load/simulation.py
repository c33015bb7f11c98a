"""One run of a scenario on virtual time: callers, routers and engines.

The policy under test gets the events that the daemon would give it, and its
actions are carried out on :mod:`hickoryweir.testing.engine_model`.
"""

import random

from hickoryweir.load import (
    arrivals,
    deployments,
    fleet,
    scenarios,
    surroundings,
    world,
)
from hickoryweir.policy import settings

REPORT_PERIOD_S = 1.0
GOSSIP_PERIOD_S = 0.5
DRAIN_S = 2.0


def simulate(
    scenario: scenarios.Scenario,
    policy: world.Policy,
    seed: int,
    mechanisms: settings.Mechanisms = settings.ALL,
) -> fleet.Run:
    """Run a scenario with one policy and one seed to its end.

    Parameters
    ----------
    scenario : scenarios.Scenario
        Demand and faults.
    policy : world.Policy
        Policy under test.
    seed : int
        Seed of arrivals, links and the policy's own choices.
    mechanisms : settings.Mechanisms, optional
        Mechanisms that are on.

    Returns
    -------
    fleet.Run
        The finished run, for :mod:`hickoryweir.load.results`.
    """
    run = _make_run(scenario, policy, seed, mechanisms)
    for caller in run.callers:
        at_s = caller.plan.at_s
        world.call_at(run.clock, at_s, lambda caller=caller: fleet.send(run, caller))
    for index, router in enumerate(run.routers):
        _every(
            run, fleet.TICK_S, index * 0.01, lambda r=router: surroundings.tick(run, r)
        )
        _every(
            run,
            GOSSIP_PERIOD_S,
            index * 0.03,
            lambda r=router: surroundings.gossip(run, r),
        )
    for index, engine in enumerate(run.engines.values()):
        _every(
            run,
            REPORT_PERIOD_S,
            index * 0.05,
            lambda e=engine: surroundings.report(run, e),
        )
    for fault in scenario.faults:
        surroundings.plan_fault(run, fault)
    longest_s = max(item.deadline_s for item in run.site.configuration.classes)
    end_s = scenario.duration_s + longest_s + DRAIN_S
    world.run(run.clock, end_s)
    return run


def _make_run(
    scenario: scenarios.Scenario,
    policy: world.Policy,
    seed: int,
    mechanisms: settings.Mechanisms,
) -> fleet.Run:
    site = deployments.make_deployment(scenario.deployment)
    deadlines = {item.name: item.deadline_s for item in site.configuration.classes}
    routers = []
    for index in range(scenario.routers):
        zone = deployments.ZONES[index % len(deployments.ZONES)]
        name = f"router-{index + 1}"
        own = settings.CoreSettings(name, zone, seed, mechanisms)
        routers.append(fleet.Router(name, zone, policy.make(own, site.configuration)))
    callers = [
        fleet.Caller(plan, plan.at_s + deadlines[plan.class_name])
        for plan in arrivals.make_plans(scenario, site, seed)
    ]
    engines = {
        item.name: world.make_engine(item)
        for item in site.configuration.backend_servers
    }
    generator = random.Random(f"{seed}/world")
    clock = world.Clock()
    return fleet.Run(
        scenario, site, policy, clock, generator, engines, routers, callers
    )


def _every(run: fleet.Run, period_s: float, start_s: float, callback) -> None:
    def again() -> None:
        callback()
        world.call_at(run.clock, run.clock.now_s + period_s, again)

    world.call_at(run.clock, start_s, again)
