"""The task that orders servers, with a caller that returns scripted outcomes."""

import asyncio
import dataclasses
import zlib

import pytest
from returns import result

from hickoryweir import clocks
from hickoryweir.discovery import listing
from hickoryweir.duties import calls, ordered_servers, ordering
from hickoryweir.feeds import demand, messages
from hickoryweir.forwarding_policy import order_outcomes, server_orders
from hickoryweir.observability import forwarding_metrics, logs
from hickoryweir.routes import model, reading, store

ACCEPTED = calls.Outcome.ACCEPTED
REFUSED = calls.Outcome.REFUSED
NO_RESPONSE = calls.Outcome.NO_RESPONSE
OVER_RATE = calls.Outcome.OVER_RATE
NOT_HOLDER = calls.Outcome.NOT_HOLDER

SCALING = model.Scaling(1, 47, 4.0, 0.18, (("a", 1.0), ("b", 0.9), ("c", 1.1)))
SERVICE = model.Service("llm", "/health", 0, 32, 0, scaling=SCALING)
PLAIN = model.Service("app", "/health", 0, 0, 0)


@dataclasses.dataclass(slots=True)
class Clock:
    """Time that tests set."""

    now_s: float = 1_000.0

    def read(self):
        """Return the time."""
        return self.now_s


class FakeCaller:
    """Returns the outcomes that tests set, then accepts."""

    def __init__(self, clock):
        self.clock = clock
        self.is_holder = True
        self.outcomes = []
        self.sent = []
        self.duration_s = 0.01

    async def send(self, call):
        """Record a call; it takes `duration_s`."""
        self.clock.now_s += self.duration_s
        outcome = self.outcomes.pop(0) if self.outcomes else ACCEPTED
        self.sent.append((self.clock.now_s, call, outcome))
        return outcome


class FakeFeed:
    """Lists ordinary servers; routers report no requests."""

    def __init__(self, clock):
        self.clock = clock
        self.demand = demand.DemandKeeper()
        self.counts = dict.fromkeys("abc", 23)
        self.loads = [("a", ())]

    @property
    def servers(self):
        """Return a list that was read 0.2 s ago."""
        servers = tuple(
            listing.BackendServer(
                f"{zone}{number}",
                "llm",
                f"10.0.{ord(zone)}.{number}:80",
                zone,
                listing.ServerState.READY,
                32,
                0.0,
            )
            for zone, count in self.counts.items()
            for number in range(count)
        )
        return listing.ServerList(servers, self.clock.now_s - 0.2)

    def zone_loads(self):
        """Return the loads that tests set."""
        return self.loads


class FakeRecorder:
    """Keeps what is recorded; fails with the outcomes that tests set."""

    def __init__(self):
        self.counts = None
        self.outcomes = []
        self.begins_count = 0
        self.is_own = False

    def continues(self):
        """Return whether the numbers are this holder's own."""
        return self.is_own

    def begin(self):
        """Return what was recorded."""
        self.begins_count += 1
        return self.counts

    async def record(self, counts):
        """Record counts."""
        found = self.outcomes.pop(0) if self.outcomes else ordered_servers.Recorded.DONE
        if found is ordered_servers.Recorded.DONE:
            self.counts = counts
        return found

    def count(self, zone, is_spot):
        """Return a recorded number."""
        found = {
            (item.availability_zone, item.is_spot): item.servers_count
            for item in self.counts
        }
        return found[(zone, is_spot)]


class Bench:
    """A task under test and what it uses."""

    def __init__(self, clock):
        self.clock = clock
        self.caller = FakeCaller(clock)
        self.feed = FakeFeed(clock)
        self.recorder = FakeRecorder()
        self.metrics = forwarding_metrics.make_metrics()
        self.services = (PLAIN, SERVICE)
        self.ordering = self.make_ordering()

    def make_ordering(self):
        """Return the task as a new holder starts it."""
        return ordering.Ordering(
            self.caller,
            self.feed,
            self.recorder,
            lambda: self.services,
            self.metrics,
            False,
        )

    def run(self, duration_s):
        """Decide in intervals for some time."""

        async def main():
            end_s = self.clock.now_s + duration_s
            while self.clock.now_s < end_s:
                # The counts of one router, which sends them at least every second.
                self.feed.demand.add(messages.ServiceDemand(1, ()), self.clock.now_s)
                await self.ordering.step()
                self.clock.now_s += ordering.DECISION_INTERVAL_S

        asyncio.run(main())


@pytest.fixture
def bench(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(clocks, "boottime_s", clock.read)
    # The first list is complete.
    monkeypatch.setattr(server_orders, "FIRST_LIST_S", 0.0)
    return Bench(clock)


def test_spot_servers_are_ordered_in_all_zones_cheapest_first(bench):
    # Guards against spot servers in one zone, which may all be reclaimed at once.
    bench.run(3.0)
    first = [call for _, call, _ in bench.caller.sent[:3]]
    assert [call.availability_zone for call in first] == ["b", "a", "c"]
    assert all(call.is_spot and call.servers_count == 6 for call in first)
    assert all(call.service_name == "llm" for _, call, _ in bench.caller.sent)


def test_first_lists_that_lack_servers_lead_to_no_order(bench, monkeypatch):
    # If a list that is empty at the system's start counted as no servers, an order of
    # the minimum would return all servers that are there.
    monkeypatch.setattr(server_orders, "FIRST_LIST_S", 3.0)
    bench.feed.counts = {}
    bench.run(1.0)
    bench.feed.counts = {"a": 2}
    bench.run(1.0)
    assert bench.caller.sent == []
    bench.feed.counts = dict.fromkeys("abc", 23)
    bench.run(4.0)
    numbers = [call.servers_count for _, call, _ in bench.caller.sent if call.is_spot]
    assert numbers == [6, 6, 6]
    assert all(call.is_spot for _, call, _ in bench.caller.sent)


def test_only_changes_are_sent(bench):
    # Guards against calls that use up the rate limit without any effect.
    bench.run(5.0)
    assert len(bench.caller.sent) == 3


def test_nothing_is_sent_by_a_replica_that_does_not_hold_the_duty(bench):
    # Guards against orders of two replicas at a time.
    bench.caller.is_holder = False
    bench.run(5.0)
    assert bench.caller.sent == []
    assert bench.recorder.counts is None


def test_increases_are_recorded_before_they_are_sent(bench):
    # Guards against a successor that does not know of servers that are booting.
    recorded = []

    async def send(call):
        recorded.append(bench.recorder.count(call.availability_zone, call.is_spot))
        return NO_RESPONSE

    bench.caller.send = send
    bench.run(1.0)
    assert recorded[0] == 6


def test_decreases_are_recorded_after_they_were_accepted(bench):
    # Guards against recorded numbers below those in force.
    bench.feed.counts = dict.fromkeys("abc", 23)
    before = []

    async def send(call):
        known = bench.recorder.count(call.availability_zone, call.is_spot)
        before.append((call.servers_count, known))
        return ACCEPTED

    bench.run(5.0)
    bench.caller.send = send
    # The spot servers have booted.
    bench.feed.counts = dict.fromkeys("abc", 47)
    bench.run(4.0)
    decreases = [pair for pair in before if pair[0] < pair[1]]
    assert len(decreases) >= 3
    bench.run(ordering.RECORD_INTERVAL_S + 0.5)
    state = bench.ordering._services["llm"].orders
    for subject in state.subjects:
        known = bench.recorder.count(subject.availability_zone, subject.is_spot)
        assert 0 <= known - subject.ordered_count <= 1


def test_a_successor_takes_over_what_was_recorded(bench):
    # Guards against servers that are ordered a second time.
    bench.run(5.0)
    assert bench.recorder.count("a", True) == 6
    assert bench.recorder.count("a", False) == 23
    bench.caller.sent.clear()
    # The successor's list has the booted spot servers, but not their kind.
    bench.feed.counts = dict.fromkeys("abc", 47)
    bench.ordering = bench.make_ordering()
    bench.run(4.0)
    assert bench.caller.sent == []


@pytest.mark.parametrize("outcome", ["unavailable", "superseded"])
def test_nothing_is_sent_that_was_not_recorded(bench, outcome):
    # Guards against orders that a successor does not know of.
    bench.recorder.outcomes = [ordered_servers.Recorded(outcome)] * 1_000
    bench.run(3.0)
    assert bench.caller.sent == []
    begins_count = bench.recorder.begins_count
    assert (begins_count > 1) == (outcome == "superseded")
    bench.recorder.outcomes.clear()
    bench.run(1.0)
    assert len(bench.caller.sent) == 3


def test_a_first_refusal_is_sent_again_and_a_second_one_pauses_the_zone(bench):
    # Guards against a 409 for the token that is taken for a lack of servers.
    bench.caller.outcomes = [REFUSED, REFUSED]
    bench.run(2.0)
    zones = [call.availability_zone for _, call, _ in bench.caller.sent]
    assert zones[:4] == ["b", "b", "a", "c"]
    first_s, second_s = (at_s for at_s, *_ in bench.caller.sent[:2])
    assert second_s - first_s <= 2 * ordering.DECISION_INTERVAL_S
    assert zones.count("b") == 2
    bench.run(order_outcomes.DRY_PAUSE_S)
    assert [call.availability_zone for _, call, _ in bench.caller.sent].count("b") > 2


def test_the_other_orders_of_a_decision_wait_for_a_new_decision_after_a_failure(bench):
    # Guards against orders that assume the failed one.
    bench.caller.outcomes = [calls.Outcome.FAILED]
    bench.run(0.2)
    assert len(bench.caller.sent) == 1


def test_over_rate_pauses_all_orders(bench):
    # Guards against orders that keep the infrastructure over its rate.
    bench.caller.outcomes = [OVER_RATE]
    bench.run(4.0)
    first_s, second_s = (at_s for at_s, *_ in bench.caller.sent[:2])
    assert second_s - first_s >= order_outcomes.OVER_RATE_PAUSE_S


def test_a_call_without_answer_is_decided_anew_and_repeated_until_it_cant_run(bench):
    # Guards against a late execution that replaces the newest number.
    bench.caller.outcomes = [NO_RESPONSE]
    bench.run(3.0)
    _, lost, _ = bench.caller.sent[0]
    (at_s, *_) = bench.caller.sent[0]
    again = [
        call.servers_count
        for _, call, outcome in bench.caller.sent
        if call.availability_zone == "b" and outcome is ACCEPTED
    ]
    assert again[0] == lost.servers_count
    bench.run(order_outcomes.LATE_EXECUTION_S)
    assert all(
        call.servers_count <= 24 for _, call, _ in bench.caller.sent if call.is_spot
    )
    assert bench.clock.now_s > at_s + order_outcomes.LATE_EXECUTION_S


def test_a_late_execution_of_another_number_is_undone(bench):
    # Guards against a late execution that stays in force.
    bench.run(3.0)
    # A return of one server gets no answer, and the number changes afterwards.
    state = bench.ordering._services["llm"]
    order = calls.ServerOrder("llm", "a", 20, False)
    state.orders = order_outcomes.record_outcome(
        state.orders, order, NO_RESPONSE, False, bench.clock.now_s
    )
    bench.caller.sent.clear()
    bench.run(order_outcomes.LATE_EXECUTION_S - 1.0)
    repeats = [
        at_s
        for at_s, call, _ in bench.caller.sent
        if (call.availability_zone, call.is_spot) == ("a", False)
        and call.servers_count == 23
    ]
    assert len(repeats) >= 3
    assert max(
        later - earlier for earlier, later in zip(repeats, repeats[1:], strict=False)
    ) <= (server_orders.REPEAT_INTERVAL_S + 2 * ordering.DECISION_INTERVAL_S)


def test_a_silent_platform_delays_but_does_not_end_the_orders(bench):
    # Guards against a task that waits for ever after calls without a response.
    bench.caller.duration_s = 1.0
    bench.caller.outcomes = [NO_RESPONSE] * 6
    bench.run(30.0)
    assert bench.caller.sent[-1][2] is ACCEPTED


def test_a_lost_duty_ends_the_orders_at_once_and_begins_anew(bench):
    # Guards against orders of a holder that was superseded within a decision.
    bench.caller.outcomes = [ACCEPTED, NOT_HOLDER]
    bench.run(0.2)
    assert len(bench.caller.sent) == 2
    bench.caller.is_holder = False
    bench.run(2.0)
    assert len(bench.caller.sent) == 2


def test_a_table_whose_scaling_goes_and_comes_back(bench):
    # Guards against orders that ignore the servers ordered before.
    bench.run(3.0)
    count = len(bench.caller.sent)
    bench.services = (dataclasses.replace(SERVICE, scaling=None),)
    bench.run(3.0)
    assert len(bench.caller.sent) == count
    bench.services = (SERVICE,)
    bench.run(3.0)
    assert len(bench.caller.sent) == count


def test_each_order_has_a_log_line_with_its_inputs_and_a_counter(bench, monkeypatch):
    # Guards against orders that operators can't explain.
    lines = []
    monkeypatch.setattr(
        logs, "write", lambda level, message, fields: lines.append((message, fields))
    )
    bench.caller.outcomes = [ACCEPTED, REFUSED]
    bench.run(3.0)
    accepted = [fields for message, fields in lines if message == "servers ordered"]
    refused = [
        fields
        for message, fields in lines
        if message == "order of servers not accepted"
    ]
    assert len(accepted) + len(refused) == len(bench.caller.sent)
    assert "zone b, spot, 0 to 6" in accepted[0].detail
    assert "list 0.2" in accepted[0].detail
    assert refused[0].reason == "refused"
    exposed = forwarding_metrics.expose(bench.metrics).decode()
    assert (
        'hickoryweir_server_orders_total{kind="spot",outcome="accepted",'
        'service="llm",zone="b"} 1.0' in exposed
    )
    assert (
        'hickoryweir_ordered_servers{kind="spot",service="llm",zone="b"} 6.0' in exposed
    )


def test_requests_in_progress_are_counted_by_zone_of_servers_and_routers(bench):
    # Guards against requests counted twice, or for another service's servers.
    loads = (messages.ServerLoad("a1", 3, 100), messages.ServerLoad("other", 9, 900))
    listed = bench.feed.servers.servers
    found = ordering.make_demand(
        bench.feed.demand.summarize("llm", 0.0),
        [("b", loads), ("c", (messages.ServerLoad("b2", 2, 0),))],
        listed,
    )
    assert (found.requests_count, found.backlog_tokens_count) == (5, 100)
    assert [dataclasses.astuple(zone) for zone in found.zones] == [
        ("a", 3, 0),
        ("b", 2, 3),
        ("c", 0, 2),
    ]
    assert found.routers_count == 2


def test_the_table_is_decoded_once_for_each_version():
    # Guards against decoding at each decision, and a bad table that ends orders.
    decoded = []

    def decode(content):
        decoded.append(content)
        if content == b"bad":
            return result.Failure("bad")
        table = model.RoutingTable(1, (), (SERVICE,), model.Limits(), ())
        return result.Success(table)

    stored = [store.StoredTable(store.NO_VERSION, b"")]
    reader = reading.TableReader(lambda: stored[0], decode)
    assert reader.read_services() == ()
    stored[0] = store.StoredTable(1, zlib.compress(b"good"))
    assert reader.read_services() == reader.read_services() == (SERVICE,)
    stored[0] = store.StoredTable(2, zlib.compress(b"bad"))
    assert reader.read_services() == reader.read_services() == (SERVICE,)
    assert decoded == [b"good", b"bad"]
