"""Tests of the core: versions never decrease, also under random faults."""

import collections
import dataclasses
import hashlib

import pytest

from hickoryweir.claims import holders
from hickoryweir.configuration import commands, stops
from hickoryweir.measures import routers_simulation
from hickoryweir.policy import events as policy_events
from hickoryweir.routers import (
    acknowledgements,
    core,
    digests,
    events,
    messages,
    topology,
    versions,
)

ZONES = ("a", "b", "c")
MEMBERS = tuple(
    topology.Member(f"{zone}-{number}", zone, number == 1)
    for zone in ZONES
    for number in (1, 2, 3)
)


def make_published(version):
    text = f"# h\n\n[class a]\ntier = {version}\n"
    digest = hashlib.sha256(text.encode()).hexdigest()
    return versions.Published(version, version, digest, text, ())


@dataclasses.dataclass
class Observer:
    """Checks the versions of each router against those acknowledged by its zone."""

    adopted: dict = dataclasses.field(default_factory=dict)
    ready_incarnations: set = dataclasses.field(default_factory=set)
    acknowledged: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    digests: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def observe(self, network, name, action):
        """Check one action, or the state at the end of a step."""
        state = network.states[name]
        incarnation = (name, state.incarnation)
        if isinstance(action, events.Adopt):
            versions_seen = self.adopted.setdefault(incarnation, [])
            assert not versions_seen or action.published.version > versions_seen[-1]
            versions_seen.append(action.published.version)
        elif isinstance(action, events.DeliverDigest):
            self.digests[(name, action.digest.router)] += 1
        elif state.is_ready:
            self.check_ready(network, state, incarnation)

    def check_ready(self, network, state, incarnation):
        """Check the first version after a start; record the zone's acknowledged one."""
        zone = state.layout.local.availability_zone
        if incarnation not in self.ready_incarnations:
            self.ready_incarnations.add(incarnation)
            assert state.in_force_version >= self.acknowledged[zone]
        zone_states = [network.states[name] for name in state.layout.relay_order]
        if all(each.is_ready for each in zone_states):
            lowest = min(each.in_force_version for each in zone_states)
            self.acknowledged[zone] = max(self.acknowledged[zone], lowest)


def random_delay_s(network, sender, receiver):
    return network.random.uniform(0.001, 0.3)


def make_network(seed):
    observer = Observer()
    network = routers_simulation.make_network(
        MEMBERS, seed, random_delay_s, observer.observe
    )
    for member in MEMBERS:
        routers_simulation.offer(network, member.name, None, is_confirmed=True)
    return network, observer


def commit(network, version):
    for zone in ZONES:
        if frozenset((zone, "a")) not in network.partitions:
            routers_simulation.offer(network, f"{zone}-1", make_published(version))


def read_log(network, name, version):
    if frozenset((name[0], "a")) not in network.partitions:
        published = make_published(version) if version else None
        routers_simulation.offer(network, name, published, is_confirmed=True)


def lowest_in_force(network):
    return min(state.in_force_version for state in network.states.values())


def zones_in_force(network, name, version):
    reports = core.zone_reports(network.states[name], network.now_s)
    return {
        report.availability_zone
        for report in reports
        if acknowledgements.is_in_force(report, version)
    }


def test_new_version_reaches_every_router_and_is_reported_by_zone():
    network, _ = make_network(1)
    routers_simulation.run(network, 1.0)
    commit(network, 1)
    routers_simulation.step(network, "b-3", events.WatchRequested())
    routers_simulation.run(network, 4.0)
    assert lowest_in_force(network) == 1
    assert zones_in_force(network, "b-3", 1) == set(ZONES)


def test_partitioned_zone_lags_until_the_partition_heals():
    network, _ = make_network(2)
    commit(network, 1)
    routers_simulation.run(network, 5.0)
    network.partitions = {frozenset("ac"), frozenset("bc")}
    commit(network, 2)
    for _ in range(3):
        routers_simulation.step(network, "a-2", events.WatchRequested())
        routers_simulation.run(network, 5.0)
    assert zones_in_force(network, "a-2", 2) == {"a", "b"}
    network.partitions = set()
    routers_simulation.run(network, 8.0)
    assert lowest_in_force(network) == 2


def test_router_under_a_planned_stop_is_not_expected_in_zone_reports():
    network, _ = make_network(8)
    stop = stops.Stop(commands.SubjectKind.ENTRY_VM, "a-3", "ann", "1-a", 1, 0.0)
    stopped = dataclasses.replace(make_published(1), running_stops=(stop,))
    for zone in ZONES:
        routers_simulation.offer(network, f"{zone}-1", stopped)
    routers_simulation.run(network, 2.0)
    for state in network.states.values():
        state.zone_reports.announcements.pop("a-3", None)
    reports = core.zone_reports(network.states["a-1"], network.now_s)
    assert (reports[0].expected_count, reports[0].missing) == (2, ())


def test_router_restarted_in_a_partitioned_zone_starts_from_a_ready_router():
    network, _ = make_network(3)
    commit(network, 1)
    routers_simulation.run(network, 5.0)
    network.partitions = {frozenset("ac"), frozenset("bc")}
    routers_simulation.start(network, "c-2")
    routers_simulation.run(network, 1.0)
    assert not network.states["c-2"].is_ready
    routers_simulation.run(network, 8.0)
    assert network.states["c-2"].is_ready


def test_zone_without_any_ready_router_waits_for_the_log():
    network, _ = make_network(4)
    commit(network, 1)
    routers_simulation.run(network, 5.0)
    network.partitions = {frozenset("ac"), frozenset("bc")}
    for name in ("c-1", "c-2", "c-3"):
        routers_simulation.start(network, name)
    routers_simulation.run(network, 20.0)
    assert not any(network.states[f"c-{n}"].is_ready for n in (1, 2, 3))


@pytest.mark.parametrize("seed", range(12))
def test_versions_never_decrease_under_random_faults(seed):
    network, _ = make_network(seed)
    network.drop_share = 0.2
    version = 0
    for _ in range(40):
        choice = network.random.random()
        if choice < 0.4:
            version += 1
            commit(network, version)
        elif choice < 0.6:
            name = network.random.choice(MEMBERS).name
            routers_simulation.start(network, name)
            if network.random.random() < 0.5:
                read_log(network, name, version)
        elif choice < 0.75:
            pair = frozenset(network.random.sample(ZONES, 2))
            network.partitions.symmetric_difference_update({pair})
        routers_simulation.run(network, network.random.uniform(0.1, 2.0))
    network.partitions = set()
    network.drop_share = 0.0
    for member in MEMBERS:
        read_log(network, member.name, version)
    routers_simulation.run(network, 10.0)
    assert lowest_in_force(network) == version
    assert all(state.is_ready for state in network.states.values())


def test_digests_reach_all_routers_and_expire_for_a_lost_router():
    network, observer = make_network(5)
    digest = policy_events.PeerDigestReceived("a-2", "a", (("e", 3),), (), ("f",), ())
    routers_simulation.run(network, 1.0)
    routers_simulation.step(network, "a-2", events.LocalDigest(digest))
    routers_simulation.run(network, 5.0)
    receivers = {name for name, router in observer.digests if router == "a-2"}
    assert receivers == {m.name for m in MEMBERS} - {"a-2"}
    before = observer.digests[("c-3", "a-2")]
    routers_simulation.run(network, 30.0)
    assert observer.digests[("c-3", "a-2")] == before + 1


def test_digest_traffic_stays_within_its_byte_budget():
    network, _ = make_network(6)
    running = tuple((f"engine-{number}", number) for number in range(100))
    routers_simulation.run(network, 2.0)
    network.sent_bytes.clear()
    for _ in range(20):
        for name in network.states:
            digest = policy_events.PeerDigestReceived(
                name, name[0], running, (), (), ()
            )
            routers_simulation.step(network, name, events.LocalDigest(digest))
        routers_simulation.run(network, 0.5)
    allowed_bytes = 10 * digests.BUDGET_BYTES_PER_S + 10 * 1024
    assert max(network.sent_bytes.values()) < allowed_bytes + 8 * 2048


def test_digest_mismatch_makes_the_router_request_the_whole_text():
    network, _ = make_network(7)
    routers_simulation.step(network, "a-2", events.LinkOpened("a-1"))
    state = network.states["a-2"]
    damaged = dataclasses.replace(
        versions.make_update(make_published(3), (), 0), digest="0"
    )
    actions = core.step(state, events.Received("a-1", damaged), network.now_s)
    assert actions == [events.Send("a-1", messages.Pull(0))]
    assert state.held is None


def test_router_is_not_ready_below_the_version_of_a_ready_router_in_its_zone():
    member = next(each for each in MEMBERS if each.name == "a-2")
    state = core.make_state(member, MEMBERS, 1, 0.0)
    ready = messages.Announce(1, 5, 5, is_ready=True)
    stale = versions.make_update(make_published(3), (), 0)
    now_s = 2 * core.LOG_READ_WAIT_S
    for peer in ("a-1", "b-1"):
        core.step(state, events.LinkOpened(peer), now_s)
    core.step(state, events.Received("a-1", ready), now_s)
    core.step(state, events.Received("b-1", stale), now_s)
    core.step(state, events.Adopted(3), now_s)
    assert not state.is_ready
    core.step(state, events.Adopted(5), now_s)
    assert state.is_ready


def test_suspects_do_not_wait_for_the_period():
    state = digests.State()
    digests.add_local(
        state, policy_events.PeerDigestReceived("vm-1", "a", (), (), (), ()), 1, 0.0
    )
    state.is_urgent = False
    digests.add_local(
        state,
        policy_events.PeerDigestReceived("vm-1", "a", (("engine-1", 3),), (), (), ()),
        1,
        0.1,
    )
    assert not state.is_urgent
    digests.add_local(
        state,
        policy_events.PeerDigestReceived("vm-1", "a", (), ("suspect",), (), ()),
        1,
        0.2,
    )
    assert state.is_urgent


def offer_digest(network, name):
    digest = policy_events.PeerDigestReceived(name, name[0], (), (), (), ())
    routers_simulation.step(network, name, events.LocalDigest(digest))


def is_gone(network, observing, name, incarnation):
    state = network.states[observing]
    return core.is_gone(state, holders.Holder(name, incarnation), network.now_s)


def test_restarted_router_is_gone_in_its_earlier_incarnation_only():
    network, _ = make_network(8)
    routers_simulation.run(network, 1.0)
    offer_digest(network, "a-2")
    routers_simulation.run(network, 3.0)
    incarnation = network.states["a-2"].incarnation
    assert is_gone(network, "c-3", "a-2", incarnation - 1)
    assert not is_gone(network, "c-3", "a-2", incarnation)
    assert is_gone(network, "a-2", "a-2", incarnation - 1)
    assert not is_gone(network, "a-2", "a-2", incarnation)


def test_silent_router_is_gone_after_its_digests_expire():
    network, _ = make_network(9)
    routers_simulation.run(network, 1.0)
    offer_digest(network, "a-2")
    routers_simulation.run(network, 3.0)
    incarnation = network.states["a-2"].incarnation
    assert not is_gone(network, "c-3", "a-2", incarnation)
    routers_simulation.run(network, digests.TIMEOUT_S + 1.0)
    assert is_gone(network, "c-3", "a-2", incarnation)


def test_newly_started_router_considers_no_router_gone():
    state = core.make_state(MEMBERS[0], MEMBERS, 1, 0.0)
    other = holders.Holder("a-2", 1)
    assert not core.is_gone(state, other, digests.TIMEOUT_S / 2)
    assert core.is_gone(state, other, 2 * digests.TIMEOUT_S)


def test_router_outside_guaranteed_digest_delivery_is_never_considered_gone():
    many = tuple(
        topology.Member(f"{zone}-{number}", zone, number == 1)
        for zone in ZONES
        for number in range(1, digests.SMALL_CLUSTER_COUNT + 1)
    )
    state = core.make_state(many[0], many, 1, 0.0)
    assert not core.is_gone(state, holders.Holder("b-2", 1), 1_000.0)
    assert core.is_gone(state, holders.Holder("a-2", 1), 1_000.0)


@pytest.mark.parametrize("members_count", [6, 9])
def test_busy_routers_of_a_small_cluster_never_consider_each_other_gone(members_count):
    network, _ = make_network(10)
    names = [item.name for item in MEMBERS if 3 * int(item.name[-1]) <= members_count]
    running = tuple((f"assistant-{number}", 10 + number) for number in range(9))
    limits = (("assistant-1", 1.0, 0.5),)
    for _ in range(80):
        for name in names:
            digest = policy_events.PeerDigestReceived(
                name, name[0], running, (), (), (), running, limits=limits
            )
            routers_simulation.step(network, name, events.LocalDigest(digest))
        routers_simulation.run(network, 0.5)
        if network.now_s < digests.TIMEOUT_S + 2.0:
            continue
        for observing in names:
            for name in names:
                incarnation = network.states[name].incarnation
                assert not is_gone(network, observing, name, incarnation)
