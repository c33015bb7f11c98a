"""Each model holds in all reachable states; each mutation is refuted."""

import pytest

from spec import check


@pytest.mark.parametrize("case", check.QUICK, ids=lambda case: case.name)
def test_model_holds_in_every_state(case):
    checked = check.check(case)
    assert checked.violated == ""
    assert checked.exhaustive


@pytest.mark.parametrize("case", check.MUTATED, ids=lambda case: case.name)
def test_mutation_is_refuted(case):
    checked = check.check(case)
    assert checked.violated
    assert checked.trace
