"""Replicas hear each other and take changes again, in rounds of fixed seeds."""

import pytest

from hickoryweir.testing.soak import replicas


def find_violations(seed, faults):
    (outcome,) = replicas.run(replicas.Replicas(seed=seed, faults=faults))
    return outcome.violations


@pytest.mark.parametrize("seed", [1, 3])
def test_changes_go_on_after_replicas_were_refused_writes_in_series(seed):
    assert find_violations(seed, "refused") == []


@pytest.mark.parametrize("seed", [1, 2])
def test_changes_go_on_after_open_connections_went_silent(seed):
    assert find_violations(seed, "silent") == []


def test_changes_go_on_after_all_faults_overlapped():
    assert find_violations(202, "all") == []
