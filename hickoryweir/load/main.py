"""Policy experiments in simulated time, all with the same arrivals."""

import dataclasses
import pathlib

from hickoryweir.load import baselines, report, results, scenarios, simulation
from hickoryweir.policy import settings


@dataclasses.dataclass(frozen=True, slots=True)
class Arguments:
    """Options of an experiment.

    Attributes
    ----------
    scenarios : tuple of str
        Names of packaged scenarios, or INI files; empty for all packaged ones.
    policies : tuple of str
        Names in :data:`hickoryweir.load.baselines.POLICIES`; empty for all.
    seed_count : int
        Number of seeds.
    disabled_mechanisms : tuple of str
        Mechanisms of the policy core to disable.
    json_path : pathlib.Path or None
        File to write all results to.
    overview : bool
        Return one line by scenario and policy instead of the full table.
    """

    scenarios: tuple[str, ...] = ()
    policies: tuple[str, ...] = ()
    seed_count: int = 5
    disabled_mechanisms: tuple[str, ...] = ()
    json_path: pathlib.Path | None = None
    overview: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A run of one scenario with one policy and seed."""

    scenario: scenarios.Scenario
    policy: str
    seed: int
    disabled_mechanisms: tuple[str, ...]


def run_job(job: Job) -> results.RunResult:
    """Run one job and return its results."""
    disabled = dict.fromkeys(job.disabled_mechanisms, False)
    mechanisms = dataclasses.replace(settings.ALL, **disabled)
    policy = baselines.POLICIES[job.policy]
    run = simulation.simulate(job.scenario, policy, job.seed, mechanisms)
    return results.summarize(run, job.seed)


def main(arguments: Arguments) -> str:
    """Run an experiment and return its table.

    Parameters
    ----------
    arguments : Arguments
        Scenarios, policies, seeds and output options.

    Returns
    -------
    str
        The table by scenario, policy and class.
    """
    jobs = [
        Job(scenarios.load(name), policy, seed, arguments.disabled_mechanisms)
        for name in arguments.scenarios or scenarios.packaged_names()
        for policy in arguments.policies or tuple(baselines.POLICIES)
        for seed in range(1, arguments.seed_count + 1)
    ]
    run_results = [run_job(job) for job in jobs]
    if arguments.json_path is not None:
        arguments.json_path.write_text(report.to_json(run_results))
    return (
        report.overview(run_results)
        if arguments.overview
        else report.table(run_results)
    )
