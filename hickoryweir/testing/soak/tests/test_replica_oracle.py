"""The oracle of recoveries reports each kind of violation, and none in a sound one."""

import dataclasses

import pytest

from hickoryweir.testing.soak import callers, replica_oracle

HOSTS = ("127.0.20.1", "127.0.20.2", "127.0.20.3")
ROUTER = "127.0.21.1"
SOUND = replica_oracle.Recovery(
    newest_version=7,
    read_versions=dict.fromkeys(HOSTS, 7),
    acknowledged_s=dict.fromkeys(HOSTS, 0.4),
    pairs_s=dict.fromkeys(HOSTS, 1.6),
    versions={ROUTER: 9},
    expected_version=9,
)
FIRST_CHANGE = "a change is acknowledged soon after the last fault"
EACH_REPLICA = "each replica takes changes soon after the last fault"
PAIR = "two replicas hear each other, and go on without the third"


def find_broken_promises(observations=None, **changes):
    recovery = dataclasses.replace(SOUND, **changes)
    found = replica_oracle.find_violations(
        recovery, observations or callers.Observations()
    )
    return [item.promise for item in found]


def test_sound_recovery_is_no_violation():
    assert find_broken_promises() == []


@pytest.mark.parametrize("at_s", [None, replica_oracle.RECOVERY_BOUND_S + 0.1])
def test_group_that_takes_no_change_in_time_is_reported(at_s):
    broken = find_broken_promises(acknowledged_s=dict.fromkeys(HOSTS, at_s))
    assert broken == [FIRST_CHANGE, *[EACH_REPLICA] * 3]


def test_single_replica_that_takes_no_change_is_reported():
    acknowledged_s = SOUND.acknowledged_s | {HOSTS[1]: None}
    assert find_broken_promises(acknowledged_s=acknowledged_s) == [EACH_REPLICA]


@pytest.mark.parametrize("at_s", [None, replica_oracle.RECOVERY_BOUND_S + 0.1])
def test_pair_that_two_of_three_hid_is_reported(at_s):
    pairs_s = SOUND.pairs_s | {HOSTS[0]: at_s}
    assert find_broken_promises(pairs_s=pairs_s) == [PAIR]


def test_acknowledged_table_that_is_lost_after_the_faults_is_reported():
    read_versions = SOUND.read_versions | {HOSTS[2]: 6}
    broken = find_broken_promises(read_versions=read_versions)
    assert broken == ["an acknowledged table is not lost"]


def test_older_table_that_is_read_between_faults_is_reported():
    observations = callers.Observations(
        accepted=[(7, 10.0)],
        read_back=[callers.VersionReading(HOSTS[0], 1, 11.0, 6)],
    )
    broken = find_broken_promises(observations)
    assert broken == ["what is read is the newest"]


def test_table_that_goes_back_at_a_router_is_reported():
    readings = [
        callers.VersionReading(ROUTER, 1, at_s, version)
        for at_s, version in ((1.0, 7), (2.0, 6))
    ]
    broken = find_broken_promises(callers.Observations(in_force=readings))
    assert broken == ["a table never goes back"]


def test_router_without_the_newest_table_is_reported():
    broken = find_broken_promises(versions={ROUTER: 8})
    assert broken == ["an accepted table is in force everywhere"]


def test_process_that_ended_by_itself_is_reported():
    assert find_broken_promises(ended=[(HOSTS[0], -25)]) == ["processes go on"]
