"""Limits of servers, shared by many routers."""

import bisect
import random

import pytest

from hickoryweir.forwarding_policy import server_limits, server_notices

KEY = ("s0", "h:1", 0)
TICK_S = 0.1
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_MORE_COUNT = 5


def most_in_window(times_s):
    """Return the most requests that came within `WINDOW_S`."""
    return max(
        (bisect.bisect_left(times_s, at_s + WINDOW_S) - position)
        for position, at_s in enumerate(times_s)
    )


def play(limit_per_s, requests_per_s, routers_count, duration_s=60.0, seed=36):
    """Play routers that send all they may to one server; return the send times."""
    source = random.Random(seed)
    limits, grants = server_limits.Limits(), []
    server_limits.record(limits, KEY, server_limits.Limit(limit_per_s, 0.0))
    grants = [server_limits.Grants() for _ in range(routers_count)]
    # Some routers have much more of the traffic than others.
    weights = [source.expovariate(1.0) for _ in range(routers_count)]
    sent_s, now_s = [], 0.0
    while now_s < duration_s:
        now_s += TICK_S
        issued = server_limits.issue(limits, weights, now_s, source)
        for router, count in issued.get(KEY, {}).items():
            server_limits.add_grants(grants[router], count, now_s)
        for _ in range(round(requests_per_s * TICK_S)):
            (router,) = source.choices(range(routers_count), weights)
            if server_limits.use_grant(grants[router], now_s):
                sent_s.append(now_s)
    return sent_s


@pytest.mark.parametrize("routers_count", [6, 60, 300])
@pytest.mark.parametrize("limit_per_s", [0.0, 0.3, 1.0, 5.0, 40.0])
def test_all_routers_together_stay_within_what_a_limit_allows(
    limit_per_s, routers_count
):
    sent_s = play(limit_per_s, 1_000, routers_count)
    allowed = ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_MORE_COUNT
    assert most_in_window(sent_s) <= allowed
    assert len(sent_s) >= 0.75 * limit_per_s * 60.0


def test_routers_with_a_request_a_second_use_half_of_a_small_limit():
    assert len(play(1.0, 10, 10)) >= 30


def test_new_leader_begins_without_grants_and_unused_ones_are_bounded():
    limits, source = server_limits.Limits(), random.Random(1)
    server_limits.record(limits, KEY, server_limits.Limit(10.0, 0.0))
    assert not server_limits.issue(limits, [1.0], 100.0, source)
    issued = server_limits.issue(limits, [1.0], 200.0, source)
    assert issued == {KEY: {0: 3}}


def test_limit_that_goes_up_and_down_is_followed():
    limits, source = server_limits.Limits(), random.Random(1)
    now_s, counts = 0.0, []
    for limit_per_s in (2.0, 20.0, 1.0):
        now_s += TICK_S
        found = server_limits.Limit(limit_per_s, now_s)
        server_limits.record(limits, KEY, found)
        count = 0
        for _ in range(100):
            now_s += TICK_S
            issued = server_limits.issue(limits, [1.0], now_s, source)
            count += sum(issued.get(KEY, {}).values())
        counts.append(count)
    assert counts[0] == pytest.approx(20, abs=3)
    assert counts[1] == pytest.approx(200, abs=5)
    assert counts[2] == pytest.approx(10, abs=3)


def test_router_without_a_leader_gets_its_share_and_not_before_an_election_is_over():
    grants, heard_s = server_limits.Grants(), 10.0
    for now_s in (11.0, 12.9):
        server_limits.add_own_share(grants, 6.0, 3, heard_s, now_s, 0.0)
        assert not server_limits.has_grant(grants, now_s)
    used = 0
    for step in range(101):
        now_s = 13.5 + step * TICK_S
        server_limits.add_own_share(grants, 6.0, 3, heard_s, now_s, 0.0)
        used += server_limits.use_grant(grants, now_s)
    assert used == pytest.approx(14, abs=1)
    server_limits.add_own_share(grants, 6.0, 3, now_s, now_s, 0.0)
    assert grants.bucket is None


def test_response_to_an_earlier_request_does_not_end_a_limit():
    record = server_notices.record_limit
    named = record(server_notices.NO_NOTICES, 2.0, 10.0, 9.0)
    assert record(named, None, 11.0, 9.5) == named
    renamed = record(named, 1.0, 12.0, 11.5)
    assert renamed.limit_per_s == 1.0
    # An older observation, from another router.
    assert record(renamed, 2.0, 11.0, 11.0) == renamed
    ended = record(renamed, None, 14.0, 13.0)
    assert not server_notices.is_limited(ended)
    assert server_notices.is_returning(ended, 14.0)


@pytest.mark.parametrize("routers_count", [6, 60, 300])
@pytest.mark.parametrize("limit_per_s", [0.0, 1.0, 10.0])
@pytest.mark.parametrize("seed", range(5))
def test_shares_of_routers_that_lost_their_leader_at_one_time_do_not_come_together(
    limit_per_s, routers_count, seed
):
    source = random.Random(seed)
    phases = [source.random() for _ in range(routers_count)]
    grants = [server_limits.Grants() for _ in range(routers_count)]
    sent_s = []
    for step in range(3_000):
        now_s = 20.0 + step * TICK_S
        for router, phase in enumerate(phases):
            server_limits.add_own_share(
                grants[router], limit_per_s, routers_count, 10.0, now_s, phase
            )
            if server_limits.use_grant(grants[router], now_s):
                sent_s.append(now_s)
    allowed = ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_MORE_COUNT
    assert most_in_window(sent_s) <= allowed
    assert len(sent_s) >= 0.5 * limit_per_s * 300.0


@pytest.mark.parametrize("limit_per_s", [1e9, 1e300, float("inf")])
def test_absurd_limit_of_a_server_issues_a_bounded_number_of_grants(limit_per_s):
    # The leader drew a router for each of 1e8 grants, and sent no heartbeat meanwhile.
    most = 2 * server_limits.MAX_RATE_PER_S
    limits, key = server_limits.Limits(), ("s", "h:1", 0)
    server_limits.record(limits, key, server_limits.Limit(limit_per_s, 0.0))
    for now_s in (0.0, 0.1, 100.0):
        issued = server_limits.issue(limits, [1.0, 2.0], now_s, random.Random(1))
        assert sum(issued.get(key, {}).values()) <= most
    assert sum(issued[key].values()) > 1
    own = server_limits.Grants()
    for now_s in (0.0, 0.1, 1000.0):
        server_limits.add_own_share(own, limit_per_s, 1, float("-inf"), now_s, 0.0)
    assert 1 < len(own.expires_at_s) <= most
    received = server_limits.Grants()
    server_limits.add_grants(received, 1 << 62, 0.0)
    assert len(received.expires_at_s) <= most
