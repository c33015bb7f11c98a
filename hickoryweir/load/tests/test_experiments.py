"""Tests of experiments: determinism, equal arrivals, at-most-once execution."""

import pytest

from hickoryweir.load import (
    arrivals,
    baselines,
    deployments,
    main,
    results,
    scenarios,
    simulation,
)


def make_short_scenario(name, **changes):
    values = {"duration_s": 12.0, "bursts": (), "faults": ()} | changes
    return scenarios.load_packaged(name).model_copy(update=values)


def run_scenario(scenario, policy="hickoryweir", seed=1):
    return main.run_job(main.Job(scenario, policy, seed, ()))


def test_same_seed_gives_the_same_result():
    scenario = make_short_scenario("morning_burst")
    assert run_scenario(scenario) == run_scenario(scenario)


def test_every_policy_gets_the_same_arrivals():
    scenario = make_short_scenario("morning_burst")
    deployment = deployments.make_deployment(scenario.deployment)
    expected = arrivals.plan_calls(scenario, deployment, 3)
    for policy in baselines.POLICIES.values():
        run = simulation.simulate(scenario, policy, 3)
        assert [caller.plan for caller in run.callers] == expected


@pytest.mark.parametrize("policy", list(baselines.POLICIES))
def test_light_load_is_completed_within_the_bound(policy):
    run_result = run_scenario(
        make_short_scenario("doubled_demand", demand_factor=0.5), policy
    )
    assert [item.completed for item in run_result.classes] == [1.0] * 5
    assert 0.99 <= run_result.goodput_share <= 1.001


@pytest.mark.parametrize("name", ["crash_wave", "poison", "zone_cut"])
def test_non_idempotent_calls_run_at_most_once_under_faults(name):
    faults = tuple(
        fault.model_copy(update={"at_s": 4.0, "for_s": 5.0})
        for fault in scenarios.load_packaged(name).faults
    )
    assert run_scenario(make_short_scenario(name, faults=faults)).repeated_runs == 0


@pytest.mark.parametrize("name", scenarios.packaged_names())
def test_packaged_scenarios_name_existing_servers_and_classes(name):
    scenario = scenarios.load_packaged(name)
    deployment = deployments.make_deployment(scenario.deployment)
    servers = {item.name for item in deployment.configuration.backend_servers}
    classes = {item.name for item in deployment.configuration.classes}
    assert {n for fault in scenario.faults for n in fault.servers} <= servers
    assert {n for burst in scenario.bursts for n in burst.classes} <= classes


def test_median_and_range():
    assert results.median_and_range([3.0, 1.0, 2.0]) == (2.0, 1.0, 3.0)
