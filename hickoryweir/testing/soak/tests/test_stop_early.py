"""Uploads whose server answers early, around stops of routers with little processor."""

import asyncio
import random

import pytest

from hickoryweir.testing.soak import (
    stop_backends,
    stop_early,
    stop_events,
    stop_records,
    stops,
)

SEED, ROUTERS_COUNT = 84001, 2


def make_target(early, status, finished_s=1.0, broke_off=False, ended_s=3.5):
    attempt = stop_records.Attempt("s0", 0.5, 0.5, finished_s, broke_off)
    target = stop_records.Target("h", 1, 0.0, random.Random(1), {"r-0": [attempt]})
    plan = stop_records.Plan(early=early)
    request = stop_records.Request("r-0", stop_early.BEHAVIOUR, "h", plan)
    request.status, request.is_whole, request.end = status, True, "whole"
    request.ended_s = ended_s
    target.requests.append(request)
    return target


def find(*arguments, **options):
    findings = stop_early.check([make_target(*arguments, **options)])
    return [finding.violation.promise for finding in findings]


@pytest.mark.parametrize("early", [stop_backends.WHOLE, stop_backends.LENGTH])
def test_sound_early_response_that_is_not_passed_on_is_found(early):
    assert find(early, 200) == []
    assert find(early, 502) == [stop_early.STAYS_WHOLE]


def test_early_response_of_a_server_that_broke_off_or_was_late_is_not_judged():
    assert find(stop_backends.WHOLE, 502, broke_off=True) == []
    assert find(stop_backends.WHOLE, 502, finished_s=6.0, ended_s=7.5) == []


def test_every_early_end_is_drawn():
    generator = random.Random(SEED)
    drawn = {stop_early.draw_plan(generator).early for _ in range(20)}
    assert drawn == set(stop_backends.EARLY_ENDS)


def test_limits_begin_before_each_stop_and_second_signals_follow_it():
    stopped = [
        stop_events.Event(3.0 * index, stop_events.TERMINATE, index)
        for index in range(8)
    ]
    events = stop_events.draw_limits(random.Random(SEED), stopped)
    limits = [event for event in events if event.kind == stop_events.LIMIT]
    assert [event.index for event in limits] == list(range(8))
    for event in events:
        from_s = event.at_s - stopped[event.index].at_s
        if event.kind == stop_events.LIMIT:
            assert from_s == -stop_events.LIMIT_LEAD_S
        else:
            assert 0.0 <= from_s <= stop_events.AGAIN_MAX_S
    assert {event.kind for event in events} >= {stop_events.TERMINATE_AGAIN}


def test_stops_beside_early_responses_and_limited_processors_break_no_promise():
    options = stops.Stops(
        seed=SEED, routers=ROUTERS_COUNT, clients=10, early=8, limits=True
    )
    assert asyncio.run(stops.run(options)) == []
