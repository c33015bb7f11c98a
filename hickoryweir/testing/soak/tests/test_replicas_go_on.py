"""Replicas hear each other and take changes again, in rounds of fixed seeds."""

import pytest

from hickoryweir.testing.soak import replicas


def find_violations(seed, faults, **options):
    (outcome,) = replicas.run(replicas.Replicas(seed=seed, faults=faults, **options))
    return outcome.violations


@pytest.mark.parametrize("seed", [1, 3])
def test_changes_go_on_after_replicas_were_refused_writes_in_series(seed):
    assert find_violations(seed, "refused") == []


@pytest.mark.parametrize("seed", [1, 2])
def test_changes_go_on_after_open_connections_went_silent(seed):
    assert find_violations(seed, "silent") == []


def test_changes_go_on_after_all_faults_overlapped():
    assert find_violations(202, "all") == []


@pytest.mark.parametrize("seed", [7002, 7003])
def test_no_table_is_lost_with_a_disk_while_all_other_replicas_are_killed(seed):
    assert find_violations(seed, "all", spares=1, loses_disk=True) == []
