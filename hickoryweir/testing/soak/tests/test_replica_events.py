"""The faults of a round of replicas follow from its seed, within the losses allowed."""

import itertools
import random

import pytest

from hickoryweir.testing.soak import faults, replica_events

SEEDS = range(30)
GROUPS = tuple(replica_events.GROUPS)


def draw(seed, groups=GROUPS):
    return replica_events.draw(random.Random(seed), groups, 3, 2)


@pytest.mark.parametrize("seed", SEEDS)
def test_same_seed_draws_the_same_faults(seed):
    assert draw(seed) == draw(seed)
    assert draw(seed) != draw(seed + 1)


@pytest.mark.parametrize("groups", [("refused",), GROUPS])
@pytest.mark.parametrize("seed", SEEDS)
def test_writes_are_never_refused_on_two_replicas_at_once(seed, groups):
    refused = [
        event for event in draw(seed, groups) if event.fault is faults.refuse_writes
    ]
    assert all(event.number < 3 for event in refused)
    assert all(x.end_s <= y.at_s for x, y in itertools.pairwise(refused))


@pytest.mark.parametrize("seed", SEEDS)
def test_at_most_one_disk_is_lost(seed):
    wiped = [event for event in draw(seed) if event.fault is faults.wipe]
    assert len(wiped) <= 1
    assert all(event.number < 3 for event in wiped)


def test_rounds_have_every_kind_of_fault_alone_and_together():
    for groups in (*((group,) for group in GROUPS), GROUPS):
        wanted = {fault for group in groups for fault in replica_events.GROUPS[group]}
        drawn = {event.fault for seed in SEEDS for event in draw(seed, groups)}
        assert drawn == wanted


def test_faults_of_different_processes_overlap():
    assert any(
        earlier.end_s > event.at_s and earlier.number != event.number
        for earlier, event in itertools.pairwise(draw(SEEDS[0]))
    )
