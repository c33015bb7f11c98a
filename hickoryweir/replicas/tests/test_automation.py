"""Automatic membership changes."""

import asyncio
import dataclasses
import random

import pytest

from hickoryweir.replicas import automation, client, messages, quorums, wire
from hickoryweir.replicas import state as states
from hickoryweir.replicas.tests import register
from hickoryweir.testing import waiting


def view(
    name,
    *,
    voter=True,
    caught_up=True,
    since_contact_s=0.0,
    zone="a",
    number=1,
    leaving=False,
    yields=False,
    joined=0,
):
    member = messages.Member(
        messages.make_member_id(name, f"{number}"), f"{name}:1", zone, voter
    )
    return automation.MemberView(
        member, caught_up, since_contact_s, leaving, yields, joined
    )


def decide(*views, wanted_count=3):
    own_id = views[0].member.member_id
    request = automation.next_change(tuple(views), own_id, wanted_count)
    if request is None:
        return None
    return request.change, request.member.member_id


def test_complete_group_needs_no_change():
    assert decide(view("a"), view("b"), view("c")) is None


def test_unreachable_voter_stays_without_a_replacement():
    lost = view("c", caught_up=False, since_contact_s=60.0)
    assert decide(view("a"), view("b"), lost) is None


def test_unreachable_voter_is_removed_once_a_learner_has_caught_up():
    lost = view("c", caught_up=False, since_contact_s=2.0)
    learner = view("d", voter=False)
    assert decide(view("a"), view("b"), lost, learner) == (
        wire.Change.REMOVE,
        lost.member.member_id,
    )


def test_lagging_learner_replaces_no_voter():
    lost = view("c", caught_up=False, since_contact_s=2.0)
    learner = view("d", voter=False, caught_up=False)
    assert decide(view("a"), view("b"), lost, learner) is None


def test_learner_is_promoted_when_a_voter_is_missing():
    learner = view("d", voter=False)
    assert decide(view("a"), view("b"), learner) == (
        wire.Change.PROMOTE,
        learner.member.member_id,
    )


def test_learner_of_another_zone_replaces_a_voter_of_an_overrepresented_one():
    learner = view("d", voter=False, zone="b")
    assert decide(view("a"), view("b"), view("c"), learner) == (
        wire.Change.PROMOTE,
        learner.member.member_id,
    )
    assert decide(view("a"), view("b"), view("c"), view("d", zone="b")) == (
        wire.Change.REMOVE,
        view("c").member.member_id,
    )


def test_surplus_voter_that_does_not_respond_is_removed_first():
    lost = view("d", zone="b", caught_up=False, since_contact_s=2.0)
    assert decide(view("a"), view("b"), view("c"), lost) == (
        wire.Change.REMOVE,
        lost.member.member_id,
    )


def test_surplus_voter_stays_while_another_lags():
    lagging = view("d", zone="b", caught_up=False, since_contact_s=0.2)
    assert decide(view("a"), view("b"), view("c"), lagging) is None


def test_learner_is_promoted_before_a_voter_that_stops_is_removed():
    leaving = view("b", leaving=True)
    voters = (view("a"), leaving, view("c"))
    assert decide(*voters, view("d", voter=False)) == (
        wire.Change.PROMOTE,
        view("d").member.member_id,
    )
    assert decide(*voters, view("d")) == (wire.Change.REMOVE, leaving.member.member_id)


def test_voter_that_stops_is_kept_without_a_learner_that_has_caught_up():
    voters = (view("a"), view("b", leaving=True), view("c"))
    lagging = view("d", voter=False, caught_up=False)
    stopping = view("d", voter=False, leaving=True)
    assert [decide(*voters), decide(*voters, lagging), decide(*voters, stopping)] == [
        None,
        None,
        None,
    ]


def test_voter_that_stops_is_replaced_by_a_learner_of_its_zone():
    voters = (
        view("a", zone="a"),
        view("b", zone="b", leaving=True),
        view("c", zone="c"),
    )
    learners = (view("d", voter=False, zone="a"), view("e", voter=False, zone="b"))
    assert decide(*voters, *learners) == (
        wire.Change.PROMOTE,
        view("e").member.member_id,
    )


def test_lagging_voter_is_not_left_alone_by_the_removal_of_one_that_stops():
    lagging = view("c", caught_up=False, since_contact_s=0.2)
    voters = (view("a"), view("b", leaving=True), lagging, view("d"))
    assert decide(*voters) is None


def test_voter_that_yields_is_replaced_by_a_learner_that_does_not():
    spare = view("d", yields=True)
    voters = (view("a"), view("b"), spare)
    assert decide(*voters, view("c", voter=False)) == (
        wire.Change.PROMOTE,
        view("c").member.member_id,
    )
    assert decide(*voters, view("c")) == (wire.Change.REMOVE, spare.member.member_id)
    assert decide(*voters, view("c", voter=False, caught_up=False)) is None
    assert decide(*voters, view("e", voter=False, yields=True)) is None


def test_voter_that_yields_stays_while_another_lags():
    lagging = view("b", caught_up=False, since_contact_s=0.2)
    voters = (view("a"), lagging, view("d", yields=True))
    assert decide(*voters, view("c", voter=False)) is None


def test_leader_that_yields_lets_another_voter_lead():
    voters = (view("d", yields=True), view("a"), view("b"))
    transfer = (wire.Change.TRANSFER, view("a").member.member_id)
    assert decide(*voters, view("c", voter=False)) == transfer
    assert decide(*voters, view("c")) == transfer
    assert decide(*voters) is None


def test_learner_that_yields_is_promoted_only_without_others():
    lost = view("c", caught_up=False, since_contact_s=2.0)
    spare = view("d", voter=False, yields=True)
    assert decide(view("a"), view("b"), lost, spare) == (
        wire.Change.REMOVE,
        lost.member.member_id,
    )
    assert decide(view("a"), view("b"), spare, view("e", voter=False)) == (
        wire.Change.PROMOTE,
        view("e").member.member_id,
    )


def test_zones_are_not_balanced_with_a_learner_that_yields():
    spare = view("d", voter=False, zone="b", yields=True)
    assert decide(view("a"), view("b"), view("c"), spare) is None


def test_balanced_zones_need_no_change():
    learner = view("d", voter=False, zone="b")
    voters = (view("a"), view("b"), view("c", zone="b"))
    assert decide(*voters, learner) is None


def test_zones_are_not_rebalanced_while_a_voter_lags():
    learner = view("d", voter=False, zone="b")
    lagging = view("c", caught_up=False, since_contact_s=0.2)
    assert decide(view("a"), view("b"), lagging, learner) is None


SPREAD = (view("a", zone="a"), view("b", zone="b"), view("c", zone="c"))


def test_learner_takes_over_the_vote_of_the_older_voter_of_its_zone():
    newcomer = view("d", voter=False, zone="b", joined=9)
    assert decide(*SPREAD, newcomer) == (
        wire.Change.PROMOTE,
        newcomer.member.member_id,
    )
    assert decide(*SPREAD, view("d", zone="b", joined=9)) == (
        wire.Change.DEMOTE,
        SPREAD[1].member.member_id,
    )


def test_vote_does_not_return_to_the_older_replica():
    voters = (SPREAD[0], view("d", zone="b", joined=9), SPREAD[2])
    assert decide(*voters, view("b", voter=False, zone="b")) is None


def test_leader_whose_vote_is_taken_over_lets_another_voter_lead_first():
    newcomer = view("d", voter=False, zone="a", joined=9)
    transfer = (wire.Change.TRANSFER, SPREAD[1].member.member_id)
    assert decide(*SPREAD, newcomer) == transfer
    assert decide(*SPREAD, view("d", zone="a", joined=9)) == transfer


def test_leader_that_is_the_oldest_voter_goes_on_while_a_voter_is_missing():
    oldest, newer = view("a", zone="a", joined=1), view("b", zone="b", joined=2)
    newcomer = view("d", voter=False, zone="c", joined=9)
    assert decide(oldest, newer, newcomer) == (
        wire.Change.PROMOTE,
        newcomer.member.member_id,
    )


def test_voter_that_lags_for_long_does_not_keep_a_vote_from_the_successor():
    lagging = view("c", zone="c", caught_up=False, since_contact_s=0.2)
    voters = (*SPREAD[:2], lagging)
    newcomer = view("d", voter=False, zone="b", joined=9)
    assert decide(*voters, newcomer) == (wire.Change.PROMOTE, newcomer.member.member_id)
    assert decide(*voters, view("d", zone="b", joined=9)) == (
        wire.Change.DEMOTE,
        SPREAD[1].member.member_id,
    )


def test_vote_is_not_taken_over_while_two_voters_lag():
    lagging = [
        view(name, zone=name, caught_up=False, since_contact_s=0.2) for name in "bc"
    ]
    voters = (SPREAD[0], *lagging)
    assert decide(*voters, view("d", voter=False, zone="b", joined=9)) is None


def test_no_live_voter_is_demoted_beside_a_silent_one():
    silent = view("b", zone="b", caught_up=False, since_contact_s=0.6)
    voters = (SPREAD[0], silent, SPREAD[2])
    assert decide(*voters, view("d", voter=False, zone="c", joined=9)) is None
    assert decide(*voters, view("d", zone="c", joined=9)) is None


def test_superseded_learner_does_not_replace_a_voter_that_stops():
    voters = (
        SPREAD[0],
        view("d", zone="b", joined=9),
        view("c", zone="c", leaving=True),
    )
    learner = view("b", voter=False, zone="b")
    assert decide(*voters, learner) is None
    newer = view("e", voter=False, zone="c", joined=12)
    assert decide(*voters, learner, newer) == (
        wire.Change.PROMOTE,
        newer.member.member_id,
    )


def test_superseded_learner_replaces_another_voter_of_its_zone_that_stops():
    stopping = view("b", zone="a", joined=1, leaving=True)
    voters = (view("c", zone="a", joined=2), stopping, view("d", zone="a", joined=9))
    learner = view("a", voter=False, zone="a")
    assert decide(*voters, learner) == (wire.Change.PROMOTE, learner.member.member_id)
    assert decide(*voters, view("a", zone="a")) == (
        wire.Change.REMOVE,
        stopping.member.member_id,
    )


def test_superseded_learner_replaces_its_successor_when_that_stops():
    voters = (SPREAD[0], view("d", zone="b", joined=9, leaving=True), SPREAD[2])
    learner = view("b", voter=False, zone="b")
    assert decide(*voters, learner) == (wire.Change.PROMOTE, learner.member.member_id)


def test_older_voter_that_lags_is_demoted_beside_its_successor():
    lagging = view("b", zone="b", caught_up=False, since_contact_s=0.2)
    voters = (SPREAD[0], lagging, SPREAD[2])
    assert decide(*voters, view("d", zone="b", joined=9)) == (
        wire.Change.DEMOTE,
        lagging.member.member_id,
    )


def test_vote_is_taken_over_neither_by_a_learner_that_yields_nor_by_one_that_stops():
    spare = view("d", voter=False, zone="b", joined=9, yields=True)
    stopping = view("d", voter=False, zone="b", joined=9, leaving=True)
    assert decide(*SPREAD, spare) is None
    assert decide(*SPREAD, stopping) is None


def test_learner_of_a_zone_with_newer_voters_takes_over_no_vote():
    voters = (SPREAD[0], view("d", zone="b", joined=9), SPREAD[2])
    assert decide(*voters, view("e", voter=False, zone="b", joined=5)) is None


def test_newcomer_of_a_zone_without_voters_takes_over_the_oldest_vote():
    voters = (view("a", zone="a", joined=3), SPREAD[1], view("c", zone="c", joined=2))
    assert decide(*voters, view("d", zone="d", joined=9)) == (
        wire.Change.DEMOTE,
        SPREAD[1].member.member_id,
    )


@pytest.mark.parametrize("seed", range(100))
@pytest.mark.parametrize(
    ("wanted_count", "most_members_count", "most_voters_count"), [(3, 7, 4), (5, 10, 8)]
)
def test_changes_of_members_that_stay_come_to_an_end(
    wanted_count, most_members_count, most_voters_count, seed
):
    generator = random.Random(seed)
    # Members join one at a time; nothing is known before the oldest membership.
    joined = [max(index, generator.randint(0, 5)) for index in range(10)]
    generator.shuffle(joined)
    members = [
        view(
            f"r{number}",
            voter=number < wanted_count,
            zone=generator.choice("abcd"),
            joined=joined[number],
            yields=generator.random() < 0.2,
        )
        for number in range(generator.randint(wanted_count, most_members_count))
    ]
    for _ in range(4 * len(members)):
        decided = decide(*members, wanted_count=wanted_count)
        if decided is None:
            break
        members = apply_change(members, *decided)
        voters_count = sum(item.member.voter for item in members)
        assert wanted_count <= voters_count <= most_voters_count
    else:
        pytest.fail("the members change without end")


def apply_change(members, change, member_id):
    """Return the members after a change, the leader first; all of them respond."""
    changed = next(item for item in members if item.member.member_id == member_id)
    others = [item for item in members if item is not changed]
    if change is wire.Change.TRANSFER:
        return [changed, *others]
    is_voter = change is wire.Change.PROMOTE
    member = dataclasses.replace(changed.member, voter=is_voter)
    return [*others, dataclasses.replace(changed, member=member)]


@pytest.mark.parametrize(
    ("voters", "learners"),
    [
        ({"a1": "a", "a2": "a", "b1": "b"}, {"c1": "c"}),
        ({"a1": "a", "a2": "a", "a3": "a", "b1": "b", "c1": "c"}, {"c2": "c"}),
        (
            {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "c1": "c"},
            {"b2": "b", "c2": "c"},
        ),
    ],
)
def test_losses_while_zones_are_balanced_leave_a_quorum(voters, learners):
    wanted_count = len(voters)
    tolerated_count = (wanted_count - 1) // 2
    changes = 0
    while True:
        views = [view(name, zone=zone) for name, zone in sorted(voters.items())]
        views += [
            view(name, voter=False, zone=zone)
            for name, zone in sorted(learners.items())
        ]
        decided = decide(*views, wanted_count=wanted_count)
        if decided is None:
            break
        changes += 1
        assert changes < 10
        change, member_id = decided
        name = messages.replica_name_of(member_id)
        if change is wire.Change.REMOVE:
            learners[name] = voters.pop(name)
        else:
            voters[name] = learners.pop(name)
        left_count = len(voters) - tolerated_count
        assert left_count >= quorums.majority_count(len(voters))
    zones = list(voters.values())
    members_count = len(voters) + len(learners)
    assert (
        sorted(zones.count(zone) for zone in "abc")
        == {
            4: [1, 1, 1],
            6: [1, 2, 2],
            7: [2, 2, 3],
        }[members_count]
    )


def test_spare_learner_is_not_promoted_in_a_complete_group():
    learner = view("d", voter=False)
    assert decide(view("a"), view("b"), view("c"), learner) is None


def test_replica_with_an_empty_disk_replaces_its_former_member_at_once():
    old = view("c", caught_up=False, since_contact_s=0.1)
    new = view("c", voter=False, number=2)
    assert decide(view("a"), view("b"), old, new) == (
        wire.Change.REMOVE,
        old.member.member_id,
    )


def test_learner_of_the_zone_with_fewest_voters_is_promoted_first():
    near = view("d", voter=False, zone="a")
    far = view("e", voter=False, zone="b")
    assert decide(view("a", zone="a"), view("b", zone="c"), near, far) == (
        wire.Change.PROMOTE,
        far.member.member_id,
    )


def test_unreachable_learner_is_removed():
    gone = view("d", voter=False, caught_up=False, since_contact_s=11.0)
    assert decide(view("a"), view("b"), view("c"), gone) == (
        wire.Change.REMOVE,
        gone.member.member_id,
    )


async def _wait_until_admitted(log, running):
    own = running.address
    state = running.node.state
    admission = asyncio.create_task(
        automation.request_admission(log, own, lambda: state)
    )
    try:
        async with asyncio.timeout(register.START_TIMEOUT_S):
            while True:
                if not automation.needs_to_join(state):
                    return
                await asyncio.sleep(0.05)
    finally:
        admission.cancel()


def test_empty_replica_asks_for_admission_sooner_than_a_member():
    empty = states.State("z~1", states.Timing(), random.Random(1))
    member = states.State("z~1", states.Timing(), random.Random(1))
    member.memberships = [(1, messages.Membership((view("z").member,)))]
    assert automation.join_delay_s(empty) < 0.5
    assert automation.join_delay_s(member) >= 2 * states.Timing().election_timeout_s


def test_empty_replica_joins_automatically(tmp_path):
    async def scenario():
        async with register.run_cluster(tmp_path) as (replicas, router):
            assert await router.wait_until_ready(register.START_TIMEOUT_S)
            running = await register.start_replica("z", 0, str(tmp_path / "z"))
            replicas["z"] = running
            identity = register.make_identity("z")
            addresses = tuple(item.address for item in replicas.values())
            log = client.make_client(identity, addresses, None)
            await _wait_until_admitted(log, running)
            await log.close()
            return running.node.state.membership.find(running.node.state.member_id)

    assert asyncio.run(scenario()) is not None


def test_all_replicas_know_which_one_yields(tmp_path):
    async def scenario():
        async with register.run_cluster(tmp_path) as (replicas, router):
            assert await router.wait_until_ready(register.START_TIMEOUT_S)
            nodes = [item.node for item in replicas.values()]
            state = nodes[0].state
            yielding = asyncio.create_task(
                automation.yield_votes(router, lambda: state, lambda: True)
            )
            await waiting.wait_until(
                lambda: all(state.member_id in node.yielding_ids for node in nodes),
                register.START_TIMEOUT_S,
            )
            yielding.cancel()
            await asyncio.gather(yielding, return_exceptions=True)

    asyncio.run(scenario())


def test_client_whose_replicas_are_all_empty_asks_the_members_that_it_knows(tmp_path):
    async def scenario():
        async with register.run_cluster(tmp_path) as (replicas, router):
            assert await router.wait_until_ready(register.START_TIMEOUT_S)
            members = tuple(item.address for item in replicas.values())
            empty = await register.start_replica("z", 0, str(tmp_path / "z"))
            replicas["z"] = empty
            log = client.make_client(
                register.make_identity("z"),
                (empty.address,),
                get_members=lambda: members,
            )
            is_ready = await log.wait_until_ready(register.START_TIMEOUT_S)
            await log.close()
            return is_ready

    assert asyncio.run(scenario())
