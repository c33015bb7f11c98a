"""The pure core under random faults: no version goes back."""

import collections
import dataclasses
import hashlib
import random

import pytest

from hickoryweir.policy import events as policy_events
from hickoryweir.routers import (
    acknowledgements,
    core,
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


def publish(version):
    text = f"# h\n\n[class a]\ntier = {version}\n"
    digest = hashlib.sha256(text.encode()).hexdigest()
    return versions.Published(version, version, digest, text, ())


@dataclasses.dataclass
class Network:
    """Routers of three zones on virtual time, with faults drawn from a seed."""

    random: random.Random
    now_s: float = 0.0
    committed: int = 0
    incarnation: int = 0
    states: dict = dataclasses.field(default_factory=dict)
    wires: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    sent: list = dataclasses.field(default_factory=list)
    cut: set = dataclasses.field(default_factory=set)
    history: dict = dataclasses.field(default_factory=dict)
    adopted: dict = dataclasses.field(default_factory=dict)
    acknowledged: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    digests: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def start(self, name):
        """Start a router that knows nothing."""
        self.incarnation += 1
        member = next(m for m in MEMBERS if m.name == name)
        state = core.make_state(member, MEMBERS, self.incarnation, self.now_s)
        self.states[name] = state
        self.history[(name, self.incarnation)] = []
        self.adopted[name] = []

    def restart(self, name):
        """Restart a router; its links are gone."""
        for peer in list(self.states[name].links):
            self.step(peer, events.LinkClosed(name))
        self.start(name)

    def step(self, name, event):
        """Give one event to a router and carry out its actions."""
        state = self.states[name]
        for action in core.step(state, event, self.now_s):
            self.carry_out(name, action)
        if state.is_ready:
            self.observe(name, state)

    def carry_out(self, name, action):
        """Send with a random delay, adopt at once."""
        if isinstance(action, events.Send):
            due_s = self.now_s + self.random.uniform(0.001, 0.3)
            self.sent.append((due_s, name, action.peer, action.message))
        elif isinstance(action, events.Adopt):
            adopted = self.adopted[name]
            assert not adopted or action.published.version > adopted[-1]
            adopted.append(action.published.version)
            self.step(name, events.Adopted(action.published.version))
        else:
            self.digests[(name, action.digest.router)] += 1

    def observe(self, name, state):
        """Check that nothing went back, and note what zones acknowledge."""
        seen = self.history[(name, state.incarnation)]
        if not seen:
            zone = state.me.availability_zone
            assert state.in_force_version >= self.acknowledged[zone]
        assert not seen or state.in_force_version >= seen[-1]
        seen.append(state.in_force_version)
        for zone in ZONES:
            inside = [s for s in self.states.values() if s.me.availability_zone == zone]
            if all(each.is_ready for each in inside):
                lowest = min(each.in_force_version for each in inside)
                self.acknowledged[zone] = max(self.acknowledged[zone], lowest)

    def is_cut(self, one, other):
        """Return whether the zones of two routers are apart."""
        return frozenset((one[0], other[0])) in self.cut

    def run(self, seconds, drop=0.0):
        """Let time pass."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.1
            self.connect()
            self.deliver(drop)
            for name in list(self.states):
                self.step(name, events.Ticked())

    def connect(self):
        """Open the wanted links and close those across a cut."""
        for name, state in self.states.items():
            for peer in core.wanted_peers(state, self.now_s):
                if self.is_cut(name, peer):
                    self.step(name, events.DialFailed(peer))
                elif peer not in state.links:
                    self.step(name, events.LinkOpened(peer))
                    self.step(peer, events.LinkOpened(name))
            for peer in list(state.links):
                if self.is_cut(name, peer):
                    self.step(name, events.LinkClosed(peer))

    def deliver(self, drop):
        """Deliver what is due, but for what is lost."""
        due = [each for each in self.sent if each[0] <= self.now_s]
        self.sent = [each for each in self.sent if each[0] > self.now_s]
        for _, sender, receiver, message in due:
            lost = self.is_cut(sender, receiver) or self.random.random() < drop
            if not lost and receiver in self.states[sender].links:
                self.step(receiver, events.Received(sender, message))

    def read_log(self, name):
        """Let a router read the log, if it can reach it."""
        if frozenset((name[0], "a")) not in self.cut:
            published = publish(self.committed) if self.committed else None
            self.step(name, events.SourceChanged(published, is_confirmed=True))

    def commit(self):
        """Commit a version; reachable replicas apply it."""
        self.committed += 1
        for zone in ZONES:
            if frozenset((zone, "a")) not in self.cut:
                source = events.SourceChanged(publish(self.committed), False)
                self.step(f"{zone}-1", source)


def make_network(seed):
    network = Network(random.Random(seed))
    for member in MEMBERS:
        network.start(member.name)
    for member in MEMBERS:
        network.read_log(member.name)
    return network


def lowest_in_force(network):
    return min(state.in_force_version for state in network.states.values())


def test_new_version_reaches_every_router_and_is_reported_by_zone():
    network = make_network(1)
    network.run(1.0)
    network.commit()
    network.step("b-3", events.WatchRequested())
    network.run(4.0)
    assert lowest_in_force(network) == 1
    reports = core.zone_reports(network.states["b-3"], network.now_s)
    assert [report.availability_zone for report in reports] == list(ZONES)
    assert all(acknowledgements.is_in_force(report, 1) for report in reports)


def test_cut_off_zone_is_pending_then_catches_up():
    network = make_network(2)
    network.commit()
    network.run(5.0)
    network.cut = {frozenset("ac"), frozenset("bc")}
    network.commit()
    network.step("a-2", events.WatchRequested())
    network.run(15.0)
    reports = core.zone_reports(network.states["a-2"], network.now_s)
    done = {r.availability_zone for r in reports if acknowledgements.is_in_force(r, 2)}
    assert done == {"a", "b"}
    network.cut = set()
    network.run(8.0)
    assert lowest_in_force(network) == 2


def test_router_that_restarts_in_a_cut_off_zone_asks_a_ready_router():
    network = make_network(3)
    network.commit()
    network.run(5.0)
    network.cut = {frozenset("ac"), frozenset("bc")}
    network.restart("c-2")
    network.run(1.0)
    assert not network.states["c-2"].is_ready
    network.run(8.0)
    assert network.states["c-2"].is_ready


def test_zone_without_any_ready_router_waits_for_the_log():
    network = make_network(4)
    network.commit()
    network.run(5.0)
    network.cut = {frozenset("ac"), frozenset("bc")}
    for name in ("c-1", "c-2", "c-3"):
        network.restart(name)
    network.run(20.0)
    assert not any(network.states[f"c-{n}"].is_ready for n in (1, 2, 3))


@pytest.mark.parametrize("seed", range(12))
def test_no_version_goes_back_through_random_faults(seed):
    network = make_network(seed)
    for _ in range(40):
        choice = network.random.random()
        if choice < 0.4:
            network.commit()
        elif choice < 0.6:
            name = network.random.choice(MEMBERS).name
            network.restart(name)
            if network.random.random() < 0.5:
                network.read_log(name)
        elif choice < 0.75:
            pair = frozenset(network.random.sample(ZONES, 2))
            network.cut.symmetric_difference_update({pair})
        network.run(network.random.uniform(0.1, 2.0), drop=0.2)
    network.cut = set()
    for member in MEMBERS:
        network.read_log(member.name)
    network.run(10.0)
    assert lowest_in_force(network) == network.committed
    assert all(state.is_ready for state in network.states.values())


def test_digests_reach_all_routers_and_a_lost_router_ages_out():
    network = make_network(5)
    digest = policy_events.PeerDigestReceived("a-2", "a", (("e", 3),), (), ("f",), ())
    network.run(1.0)
    network.step("a-2", events.LocalDigest(digest))
    network.run(5.0)
    receivers = {name for name, router in network.digests if router == "a-2"}
    assert receivers == {m.name for m in MEMBERS} - {"a-2"}
    before = network.digests[("c-3", "a-2")]
    network.run(30.0)
    assert network.digests[("c-3", "a-2")] == before + 1


def test_wrong_digest_makes_the_router_ask_for_the_whole_text():
    network = make_network(6)
    state = network.states["a-2"]
    network.step("a-2", events.LinkOpened("a-1"))
    update = versions.make_update(publish(3), (), 0)
    damaged = dataclasses.replace(update, digest="0")
    actions = core.step(state, events.Received("a-1", damaged), network.now_s)
    assert actions == [events.Send("a-1", messages.Pull(0))]
    assert state.held is None


def test_router_does_not_start_below_a_ready_router_of_its_zone():
    member = next(each for each in MEMBERS if each.name == "a-2")
    state = core.make_state(member, MEMBERS, 1, 0.0)
    ready = messages.Announce(1, 5, 5, is_ready=True)
    stale = versions.make_update(publish(3), (), 0)
    now_s = 2 * core.LOG_WAIT_S
    for peer in ("a-1", "b-1"):
        core.step(state, events.LinkOpened(peer), now_s)
    core.step(state, events.Received("a-1", ready), now_s)
    core.step(state, events.Received("b-1", stale), now_s)
    core.step(state, events.Adopted(3), now_s)
    assert not state.is_ready
    core.step(state, events.Adopted(5), now_s)
    assert state.is_ready
