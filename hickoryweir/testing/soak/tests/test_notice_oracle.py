"""The oracle of servers in need reports each kind of violation, and none otherwise."""

import pytest

from hickoryweir.testing.soak import faults, notice_oracle, notice_servers

ROUTER = "127.0.6.1"
START_S = 100.0
KILL = faults.InjectedFault("kill", ROUTER, START_S, START_S + 40.0)


def arrive(fleet, at_s, server_id="s0", part_id=""):
    """Record a request that its client sent a moment before."""
    request_id = f"{ROUTER}-{len(fleet.arrivals)}"
    arrival = notice_servers.Arrival(server_id, at_s, request_id, part_id)
    fleet.arrivals.append(arrival)
    return notice_oracle.Call(request_id, part_id, at_s - 0.01, has_begun=True)


def broken(fleet, calls=(), injected=()):
    found = notice_oracle.find_violations(fleet, list(calls), list(injected))
    return [item.promise for item in found]


def crash(fleet, count):
    for number in range(count):
        fleet.crashes.append(("bad", START_S + number))


@pytest.mark.parametrize(
    ("later_count", "is_broken"), [(3, False), (4, True), (10, True)]
)
def test_crashing_part_that_goes_on_reaching_servers_is_reported(
    later_count, is_broken
):
    fleet = notice_servers.Fleet()
    crash(fleet, 5)
    for number in range(later_count):
        arrive(fleet, START_S + 7.5 + number, part_id="bad")
    expected = ["a crashing part reaches few servers"] if is_broken else []
    assert broken(fleet) == expected
    assert broken(fleet, injected=[KILL]) == []


def test_requests_soon_after_the_fifth_crash_or_with_sound_parts_are_allowed():
    fleet = notice_servers.Fleet()
    crash(fleet, 5)
    for number in range(20):
        arrive(fleet, START_S + 4.0 + 0.1 * number, part_id="bad")
        arrive(fleet, START_S + 20.0 + 0.1 * number)
    assert broken(fleet) == []


@pytest.mark.parametrize(("count", "is_broken"), [(11, False), (12, True)])
def test_more_requests_than_a_limit_allows_are_reported(count, is_broken):
    fleet = notice_servers.Fleet()
    fleet.limits.append(notice_servers.Notice("s0", "", START_S, limit_per_s=1.0))
    for number in range(count):
        arrive(fleet, START_S + 5.0 + 0.3 * number)
        arrive(fleet, START_S + 0.1)
    expected = ["a limit is kept"] if is_broken else []
    assert broken(fleet) == expected


def test_requests_after_the_end_of_a_limit_are_allowed():
    fleet = notice_servers.Fleet()
    until_s = START_S + 5.0
    fleet.limits.append(notice_servers.Notice("s0", "", START_S, until_s, 1.0))
    for number in range(50):
        arrive(fleet, START_S + 5.1 + 0.01 * number)
    assert broken(fleet) == []


@pytest.mark.parametrize(("count", "is_broken"), [(2, False), (3, True)])
def test_requests_during_a_pause_are_reported(count, is_broken):
    fleet = notice_servers.Fleet()
    until_s = START_S + 5.0
    fleet.pauses.append(notice_servers.Notice("s0", ROUTER, START_S, until_s))
    arrive(fleet, START_S + 0.4)
    arrive(fleet, START_S + 5.1)
    for number in range(count):
        arrive(fleet, START_S + 1.0 + number)
    expected = ["a pause is kept"] if is_broken else []
    assert broken(fleet) == expected


def test_new_request_at_a_server_that_had_said_it_leaves_is_reported():
    fleet = notice_servers.Fleet()
    fleet.leavings.append(notice_servers.Notice("s0", ROUTER, START_S))
    early = arrive(fleet, START_S + 2.9)
    assert broken(fleet, [early]) == []
    late = arrive(fleet, START_S + 3.1)
    assert broken(fleet, [early, late]) == ["a leaving server gets no new work"]
    assert broken(fleet, [early, late], [KILL]) == []


@pytest.mark.parametrize(("begun_share", "is_broken"), [(0.5, False), (0.4, True)])
def test_sound_requests_that_are_refused_beside_crashes_are_reported(
    begun_share, is_broken
):
    fleet = notice_servers.Fleet()
    crash(fleet, 3)
    calls = [
        notice_oracle.Call(f"{ROUTER}-{number}", "", at_s, has_begun)
        for number in range(100)
        for at_s, has_begun in (
            (START_S - 10.0, True),
            (START_S + 10.0, number < 100 * begun_share),
        )
    ]
    expected = ["sound requests are served beside crashes"] if is_broken else []
    assert broken(fleet, calls) == expected
