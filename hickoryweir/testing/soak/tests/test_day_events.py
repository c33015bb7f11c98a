"""The events of a day follow from its seed, within the losses allowed."""

import dataclasses
import itertools

import pytest

from hickoryweir.testing.soak import day_events, stop_events, stop_records

SEEDS = range(75001, 75041)
SPAN_S, ROUTERS_COUNT, SERVERS_COUNT = 36.0, 3, 4
MORE_ROUTERS_COUNT = 6


def draw(seed, span_s=SPAN_S, routers_count=ROUTERS_COUNT):
    return day_events.draw(seed, span_s, routers_count, SERVERS_COUNT)


@pytest.mark.parametrize("seed", SEEDS)
def test_same_seed_draws_the_same_day(seed):
    assert draw(seed) == draw(seed)
    assert draw(seed) != draw(seed + 1)


@pytest.mark.parametrize("seed", SEEDS)
def test_two_replicas_are_never_lost_at_once(seed):
    day = draw(seed)
    losses = [*day.losses, day.last_loss]
    for earlier, later in itertools.pairwise(losses):
        caught_up_s = day_events.CATCH_UP_S + earlier.duration_s
        assert later.at_s >= earlier.at_s + caught_up_s
    assert all(loss.index < day_events.REPLICAS_COUNT for loss in losses)


@pytest.mark.parametrize("routers_count", [ROUTERS_COUNT, MORE_ROUTERS_COUNT])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_router_is_never_stopped_twice_at_once(seed, routers_count):
    stops = draw(seed, routers_count=routers_count).stops
    for index in range(routers_count):
        times_s = [stop.at_s for stop in stops if stop.index == index]
        assert times_s
        assert all(
            later - earlier > stop_records.GRACE_S + day_events.LEAD_S
            for earlier, later in itertools.pairwise(times_s)
        )


@pytest.mark.parametrize("seed", SEEDS)
def test_a_backend_server_without_a_fault_is_left(seed):
    servers = draw(seed).servers
    for earlier, later in itertools.pairwise(servers):
        assert earlier.at_s + earlier.duration_s <= later.at_s


@pytest.mark.parametrize("seed", SEEDS)
def test_routers_are_added_in_the_middle_of_a_day(seed):
    additions = draw(seed).additions
    assert 1 <= len(additions) <= day_events.ADDED_MAX_COUNT
    for event in additions:
        assert SPAN_S / 4 <= event.at_s <= SPAN_S / 2
        stop_s = event.at_s + event.duration_s + day_events.START_S + day_events.LEAD_S
        assert stop_s + stop_records.GRACE_S <= SPAN_S


@pytest.mark.parametrize("seed", SEEDS)
def test_one_disk_at_a_time_is_slow_and_all_are_sound_at_the_last_loss(seed):
    ends_s = [0.0]
    for event in draw(seed).slow_disks:
        assert event.at_s >= ends_s[-1]
        assert event.index < day_events.REPLICAS_COUNT
        ends_s.append(event.at_s + event.duration_s)
    assert ends_s[-1] <= SPAN_S


@pytest.mark.parametrize("seed", SEEDS)
def test_more_routers_change_no_event_but_their_own(seed):
    few, more = draw(seed), draw(seed, routers_count=MORE_ROUTERS_COUNT)
    assert [stop for stop in more.stops if stop.index < ROUTERS_COUNT] == few.stops
    own = {"stops": few.stops, "reloads": few.reloads}
    assert dataclasses.replace(more, **own) == few


def test_days_have_every_kind_of_event():
    days = [draw(seed) for seed in SEEDS]
    assert {day.final.kind for day in days} == set(day_events.FINALS)
    assert {day.last_loss.kind for day in days} == set(day_events.LOSSES)
    for drawn, kinds in (
        ([day.losses for day in days], day_events.LOSSES),
        ([day.changes for day in days], day_events.CHANGES),
        ([day.servers for day in days], day_events.SERVER_FAULTS),
        ([day.stops for day in days], (stop_events.TERMINATE,)),
        ([day.reloads for day in days], (stop_events.RELOAD,)),
        ([day.slow_disks for day in days], day_events.SLOW_DISKS_S),
        ([day.additions for day in days], (day_events.ADD,)),
    ):
        assert {event.kind for events in drawn for event in events} == set(kinds)
