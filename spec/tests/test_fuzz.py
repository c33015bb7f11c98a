"""Short fuzzing runs that give the same verdict every time."""

from hypothesis import stateful

from spec import claims_fuzz


def test_claims_machine_agrees_with_its_oracle():
    settings = claims_fuzz.make_settings(example_count=100, step_count=60)
    stateful.run_state_machine_as_test(claims_fuzz.ClaimsMachine, settings=settings)
