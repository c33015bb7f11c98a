"""The load tool: experiments on virtual time, compared by the same arrivals."""

import dataclasses
import pathlib

from hickoryweir.load import baselines, report, results, scenarios, simulation
from hickoryweir.policy import settings


@dataclasses.dataclass(frozen=True, slots=True)
class Arguments:
    """What to run.

    Attributes
    ----------
    scenarios : tuple of str
        Packaged names or INI files; empty for all packaged ones.
    policies : tuple of str
        Names in :data:`hickoryweir.load.baselines.POLICIES`; empty for all.
    seeds : int
        Number of seeds.
    without : tuple of str
        Mechanisms to switch off.
    json_path : pathlib.Path or None
        Where to write all results.
    overview : bool
        One line by scenario and policy in place of the whole table.
    """

    scenarios: tuple[str, ...] = ()
    policies: tuple[str, ...] = ()
    seed_count: int = 5
    disabled_mechanisms: tuple[str, ...] = ()
    json_path: pathlib.Path | None = None
    overview: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One run to make."""

    scenario: scenarios.Scenario
    policy: str
    seed: int
    disabled_mechanisms: tuple[str, ...]


def run_job(job: Job) -> results.RunResult:
    """Make one run and return its results."""
    disabled = dict.fromkeys(job.disabled_mechanisms, False)
    mechanisms = dataclasses.replace(settings.ALL, **disabled)
    policy = baselines.POLICIES[job.policy]
    run = simulation.simulate(job.scenario, policy, job.seed, mechanisms)
    return results.summarize(run, job.seed)


def main(arguments: Arguments) -> str:
    """Run what the arguments ask for and return the table.

    Parameters
    ----------
    arguments : Arguments
        Scenarios, policies, seeds and the place for JSON.

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
