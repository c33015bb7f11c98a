"""Tests of the decisions on software versions of streams."""

import random

import pytest

from hickoryweir.forwarding_policy import stream_versions

LIFETIME_S = 20.0
SERVICE = "app"
KEY = stream_versions.stream_key(SERVICE, "alice", "r-1")


def make_state(*versions, at_s=100.0):
    state = stream_versions.StreamVersions()
    pairs = [(SERVICE, version) for version in versions]
    stream_versions.record_listed(state, pairs, at_s)
    return state


def origin(version, at_s=100.0, source=stream_versions.Source.ANNOUNCED):
    return stream_versions.Origin(SERVICE, version, source, at_s, at_s + LIFETIME_S)


def decide(state, now_s=101.0, key=KEY, list_age_s=1.0, recorded=()):
    return stream_versions.decide(
        state, SERVICE, key, now_s, LIFETIME_S, list_age_s, recorded
    )


def test_known_stream_goes_on_at_its_version_whatever_is_listed():
    state = make_state("v2")
    stream_versions.record_origin(state, KEY, origin("v1"))
    decision = decide(state)
    assert (decision.version, decision.age_s) == ("v1", 1.0)


def test_unknown_stream_goes_on_while_one_version_is_in_use():
    assert decide(make_state("v1")).version == "v1"


def test_unknown_stream_does_not_go_on_while_the_record_cannot_be_read():
    state = make_state("v1")
    assert isinstance(decide(state, recorded=None), stream_versions.Unknown)
    stream_versions.record_origin(state, KEY, origin("v1"))
    assert decide(state, recorded=None).version == "v1"


def test_unknown_stream_does_not_go_on_if_another_version_is_recorded():
    decision = decide(make_state("v1"), recorded=[(SERVICE, "v2")])
    assert decision == stream_versions.Unknown(("v1", "v2"))


def test_unknown_stream_does_not_go_on_if_no_version_is_known():
    assert isinstance(decide(make_state()), stream_versions.Unknown)


def test_versions_of_other_services_do_not_keep_a_stream_from_going_on():
    recorded = [(SERVICE, "v1"), ("jobs", "v2")]
    assert decide(make_state("v1"), recorded=recorded).version == "v1"


def test_version_that_comes_back_to_the_list_has_to_be_recorded_again():
    pair = (SERVICE, "v1")
    state = make_state()
    stream_versions.replace_listed(state, frozenset({pair}), 100.0, 99.0)
    state.recorded = frozenset({pair})
    stream_versions.replace_listed(state, frozenset(), 101.0, 100.0)
    stream_versions.replace_listed(state, frozenset({pair}), 102.0, 101.0)
    assert not stream_versions.may_begin(state, pair, 102.5, 0.5)


def test_version_that_cannot_be_recorded_keeps_no_other_one_from_being_recorded():
    state, absurd = make_state(), (SERVICE, "v" * 5000)
    listed = frozenset({(SERVICE, "v1"), absurd})
    stream_versions.replace_listed(state, listed, 100.0, 99.0)
    assert stream_versions.unrecorded(state) == {(SERVICE, "v1")}
    assert not stream_versions.may_begin(state, absurd, 200.0, 0.5)


@pytest.mark.parametrize(
    ("earlier_at_s", "list_age_s", "may_begin"),
    [(103.0, 1.0, True), (99.0, 1.0, False), (103.0, 3.5, False)],
    ids=["in step", "gap between lists", "old list"],
)
def test_stream_begins_at_an_unrecorded_version_only_if_all_lists_have_it(
    earlier_at_s, list_age_s, may_begin
):
    state, pairs = make_state(), frozenset({(SERVICE, "v1")})
    stream_versions.replace_listed(state, pairs, 100.0, 99.0)
    stream_versions.replace_listed(state, pairs, 104.5, earlier_at_s)
    found = stream_versions.may_begin(state, (SERVICE, "v1"), 105.0, list_age_s)
    assert found is may_begin


def test_old_list_does_not_vouch_that_one_version_is_in_use():
    state = make_state("v1")
    assert isinstance(decide(state, list_age_s=3.5), stream_versions.Unknown)
    stream_versions.record_origin(state, KEY, origin("v1"))
    assert decide(state, list_age_s=3.5).version == "v1"


@pytest.mark.parametrize(("now_s", "is_known"), [(119.0, False), (141.0, True)])
def test_version_that_has_left_the_list_stays_in_use_for_a_streams_lifetime(
    now_s, is_known
):
    state = make_state("v1", "v2")
    stream_versions.record_listed(state, [(SERVICE, "v2")], now_s)
    assert isinstance(decide(state, now_s), stream_versions.Resumption) is is_known


def test_origin_is_forgotten_after_the_streams_lifetime():
    state = make_state("v1", "v2", at_s=121.0)
    stream_versions.record_origin(state, KEY, origin("v1", at_s=100.0))
    assert isinstance(decide(state, 121.0), stream_versions.Unknown)


def test_id_that_began_streams_at_two_versions_names_neither():
    state = make_state("v1", "v2")
    stream_versions.record_origin(state, KEY, origin("v1"))
    stream_versions.record_origin(state, KEY, origin("v2"))
    stream_versions.record_origin(state, KEY, origin("v1"))
    assert isinstance(decide(state), stream_versions.Unknown)


def test_announcement_that_comes_twice_is_new_once():
    state = make_state("v1", "v2")
    found = [stream_versions.record_origin(state, KEY, origin("v1")) for _ in range(2)]
    assert found == [True, False]


@pytest.mark.parametrize(
    "other",
    [("app", "bob", "r-1"), ("jobs", "alice", "r-1"), ("app", "alice", "r-2")],
)
def test_stream_of_another_account_service_or_id_is_not_known(other):
    state = make_state("v1", "v2")
    stream_versions.record_origin(state, KEY, origin("v1"))
    key = stream_versions.stream_key(*other)
    assert isinstance(decide(state, key=key), stream_versions.Unknown)


def test_origins_are_bounded_and_the_oldest_go_first():
    state = make_state("v1", "v2")
    for key in range(stream_versions.MAX_ORIGINS_COUNT + 5):
        stream_versions.record_origin(state, key, origin("v1"))
    assert len(state.origins) == stream_versions.MAX_ORIGINS_COUNT
    assert min(state.origins) == 5


class Site:
    """Routers during roll-outs, of which some are out of step for a while.

    A router may be cut off from the list, from the other routers and from the record of
    versions; it may have been suspended, and get the list again at once; its list may
    come late; and it may be cut off one way, so that it gets the list and no answers.
    The record has the versions at which streams may have begun, unless its log has no
    leader; a leader answers before it has read its first list.
    """

    def __init__(self, generator):
        self.generator = generator
        self.versions = ["v1"]
        self.routers = [stream_versions.StreamVersions() for _ in range(3)]
        self.has_list = [True] * 3
        self.has_record = [True] * 3
        self.read_at_s = [0.0] * 3
        self.now_s = 0.0
        self.has_leader = True
        self.reads_list = True
        self.recorded = {}
        self.step_versions()

    def pairs(self):
        """Return the versions that are listed now."""
        return frozenset((SERVICE, version) for version in self.versions)

    def step_versions(self):
        """Let the leader record the list, then the routers that are in step get it."""
        if self.has_leader and not self.reads_list:
            # A new leader has not seen when versions left the list.
            self.recorded = dict.fromkeys(self.recorded, self.now_s)
        elif self.has_leader:
            self.recorded |= dict.fromkeys(self.pairs(), self.now_s)
            self.recorded = {
                pair: at_s
                for pair, at_s in self.recorded.items()
                if self.now_s - at_s <= LIFETIME_S
            }
        self.reads_list = self.has_leader
        for number, state in enumerate(self.routers):
            if self.has_list[number]:
                stream_versions.record_listed(state, self.pairs(), self.now_s)
                stream_versions.replace_listed(
                    state, self.pairs(), self.now_s, self.read_at_s[number]
                )
                self.read_at_s[number] = self.now_s
            if self.can_read(number):
                listed = frozenset(state.listed_since_s)
                state.recorded |= listed & self.recorded.keys()

    def can_read(self, number):
        """Return whether a router can read the record."""
        return self.has_leader and self.has_record[number]

    def step(self):
        """Let time pass and one thing happen."""
        self.now_s += self.generator.uniform(0.1, 2.0)
        event = self.generator.randrange(10)
        number = self.generator.randrange(3)
        if event == 0 and len(self.versions) < 3:
            last = max(int(version[1:]) for version in self.versions)
            self.versions.append(f"v{last + 1}")
        elif event == 1 and len(self.versions) > 1:
            # A roll-out that is given up takes the new version away.
            self.versions.pop(self.generator.randrange(len(self.versions)))
        elif event == 2:
            self.has_list[number] = not self.has_list[number]
        elif event == 3:
            self.has_record[number] = not self.has_record[number]
        elif event == 4:
            self.has_list[number] = self.has_record[number] = True
        elif event == 5:
            self.restart(number)
        elif event == 6:
            self.has_leader = not self.has_leader
        self.step_versions()

    def restart(self, number):
        """Replace a router; replicas tell it what routers that reach them have seen."""
        fresh = stream_versions.StreamVersions()
        for other, state in enumerate(self.routers):
            if other != number and self.has_record[number] and self.has_record[other]:
                for pair, at_s in state.listed_at_s.items():
                    stream_versions.record_listed(fresh, [pair], at_s)
        self.routers[number] = fresh
        self.has_list[number] = True

    def begin(self, key):
        """Begin a stream at a router that may; return the version or None."""
        number = self.generator.randrange(3)
        state = self.routers[number]
        known = [
            pair
            for pair in sorted(state.listed_since_s)
            if pair[1] in self.versions
            and stream_versions.may_begin(
                state, pair, self.now_s, self.now_s - self.read_at_s[number]
            )
        ]
        if not known:
            return None
        _, version = self.generator.choice(known)
        own = origin(version, self.now_s, stream_versions.Source.OWN)
        stream_versions.record_origin(state, key, own)
        for other in range(3):
            if other != number and self.has_record[number] and self.has_record[other]:
                announced = origin(version, self.now_s)
                stream_versions.record_origin(self.routers[other], key, announced)
        return version

    def take_up(self, key):
        """Return what a router decides that a client comes to."""
        number = self.generator.randrange(3)
        return stream_versions.decide(
            self.routers[number],
            SERVICE,
            key,
            self.now_s,
            LIFETIME_S,
            self.now_s - self.read_at_s[number],
            list(self.recorded) if self.can_read(number) else None,
        )


@pytest.mark.parametrize("seed", range(60))
def test_no_stream_goes_on_at_another_version_whatever_routers_have_missed(seed):
    generator = random.Random(seed)
    site = Site(generator)
    began, resumed_count = {}, 0
    for key in range(300):
        site.step()
        version = site.begin(key)
        if version is not None:
            began[key] = (version, site.now_s)
        if not began:
            continue
        taken_up = generator.choice(sorted(began)[-15:])
        version, at_s = began[taken_up]
        if site.now_s - at_s > LIFETIME_S:
            continue
        found = site.take_up(taken_up)
        if isinstance(found, stream_versions.Resumption):
            resumed_count += 1
            assert found.version == version
    assert resumed_count
