"""Short, derandomized runs of the fuzzers."""

import hypothesis
import pytest
from hypothesis import stateful

from spec import claims_fuzz, cluster_fuzz, fuzz, members_fuzz


def run(machine, example_count, step_count):
    settings = fuzz.make_settings(example_count, step_count, derandomize=True)
    stateful.run_state_machine_as_test(machine, settings=settings)


def test_claims_machine_agrees_with_its_oracle():
    run(claims_fuzz.ClaimsMachine, example_count=100, step_count=60)


def test_replicas_keep_what_they_granted_and_accepted():
    run(cluster_fuzz.ClusterMachine, example_count=30, step_count=60)


def test_members_that_change_by_themselves_lose_nothing():
    run(members_fuzz.MembersMachine, example_count=20, step_count=40)


@pytest.mark.parametrize("mutation", members_fuzz.Mutation)
def test_faults_of_member_changes_are_found(mutation):
    """Stop at the first failure, without shrinking it."""
    settings = hypothesis.settings(
        fuzz.make_settings(200, 60, derandomize=True),
        phases=(hypothesis.Phase.generate,),
        report_multiple_bugs=False,
    )
    machine = members_fuzz.make_mutated(mutation)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(machine, settings=settings)
