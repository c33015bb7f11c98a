"""The order of joining of replicas that leave and return."""

import pytest

from hickoryweir.replicas import joining, messages
from hickoryweir.replicas.tests import managed_simulation, test_final_losses

# A silent learner is removed after 10 s.
ABSENT_S = 12.0


def make_members(text):
    return tuple(
        messages.Member(member_id, member_id, "", True) for member_id in text.split()
    )


def test_replica_that_returns_has_its_former_place():
    names = joining.merge_names((), messages.Membership(make_members("a~1 b~1 c~1")))
    present = make_members("b~1 c~1")
    names = joining.merge_names(names, messages.Membership(present))
    (returned,) = make_members("a~2")
    inserted = joining.insert_member(present, returned, names)
    assert inserted == make_members("a~2 b~1 c~1")


def test_replica_with_an_empty_disk_follows_its_former_member():
    present = make_members("a~1 b~1 c~1")
    names = joining.merge_names((), messages.Membership(present))
    (returned,) = make_members("b~2")
    inserted = joining.insert_member(present, returned, names)
    assert inserted == make_members("a~1 b~1 b~2 c~1")


def test_newcomer_is_the_last_one():
    names = joining.merge_names((), messages.Membership(make_members("a~1 b~1")))
    (newcomer,) = make_members("c~1")
    inserted = joining.insert_member(make_members("b~1"), newcomer, names)
    assert inserted == make_members("b~1 c~1")


def test_number_of_names_is_bounded():
    names = ()
    for number in range(2 * joining.MAX_NAMES_COUNT):
        membership = messages.Membership(make_members(f"a~1 r{number}~1"))
        names = joining.merge_names(names, membership)
    assert len(names) == joining.MAX_NAMES_COUNT
    assert (names[0], names[-1]) == ("a", f"r{number}")


@pytest.mark.parametrize("lost", ["b", "c", "a-new"])
@pytest.mark.parametrize("absent_s", [0.0, 2.0, 5.0, ABSENT_S])
@pytest.mark.parametrize("is_emptied", [False, True])
def test_disk_may_be_lost_after_a_replica_that_had_returned_beside_its_successor(
    is_emptied, absent_s, lost
):
    # Guards against a replica that returns and takes its successor's vote back.
    cluster = test_final_losses.SpreadSimulation(seed=0)
    cluster.advance(2.0)
    cluster.add_machine("a-new")
    cluster.counted.add("a-new")
    test_final_losses.put_for(cluster, managed_simulation.CATCH_UP_S + 1.0)
    cluster.lose_power("a")
    if is_emptied:
        cluster.lose_disk("a")
    cluster.starts_at_s["a"] = cluster.now_s + absent_s
    test_final_losses.wait_until_counted(cluster, cluster.starts_at_s["a"], None)
    test_final_losses.put_for(cluster, 0.5)
    cluster.lose_power("a")
    cluster.remove_machine("a")
    cluster.counted.discard("a")
    test_final_losses.lose_finally(cluster, lost=lost)
    test_final_losses.check_recovery(cluster)
