"""Short fuzzing runs that give the same verdict every time."""

from hypothesis import stateful

from spec import claims_fuzz, cluster_fuzz, fuzz


def run(machine, example_count, step_count):
    settings = fuzz.make_settings(example_count, step_count, derandomize=True)
    stateful.run_state_machine_as_test(machine, settings=settings)


def test_claims_machine_agrees_with_its_oracle():
    run(claims_fuzz.ClaimsMachine, example_count=100, step_count=60)


def test_replicas_keep_what_they_granted_and_accepted():
    run(cluster_fuzz.ClusterMachine, example_count=30, step_count=60)
