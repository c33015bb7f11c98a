"""The events of a round follow from its seed."""

import random
import signal
import subprocess
import sys

import pytest

from hickoryweir.testing.soak import stop_backends, stop_events


def draw(seed):
    return stop_events.draw(random.Random(seed), 3, 3, 3)


@pytest.mark.parametrize("seed", range(20))
def test_same_seed_draws_the_same_events(seed):
    events = draw(seed)
    assert events == draw(seed)
    assert events != draw(seed + 1)


@pytest.mark.parametrize("seed", range(20))
def test_each_router_gets_one_planned_stop_and_one_server_stays_sound(seed):
    events = draw(seed)
    stops = [item for item in events if item.kind == stop_events.TERMINATE]
    assert sorted(stop.index for stop in stops) == [0, 1, 2]
    assert stops[0].at_s == 0.0
    disturbed = {item.index for item in events if item.kind in stop_backends.FAULTS}
    assert len(disturbed) < 3


def test_seeds_draw_all_kinds_of_events():
    kinds = {event.kind for seed in range(20) for event in draw(seed)}
    assert kinds == {*stop_events.KINDS, *stop_backends.FAULTS}


def test_seeds_draw_pauses_and_stops_of_routers_that_start():
    stops = [item for item in draw(1) if item.kind == stop_events.TERMINATE]
    generator = random.Random(1)
    events = stop_events.draw_pauses(generator, stops)
    events += stop_events.draw_start_stops(generator, stops)
    kinds = {event.kind for event in events}
    assert kinds == {stop_events.PAUSE, stop_events.START_STOP}
    assert all(event.duration_s > 0.0 for event in events)


def test_second_signal_does_not_reach_the_successor():
    # An event holds for the process that got the first signal, which has ended here.
    process = subprocess.Popen([sys.executable, "-c", ""])
    process.wait()
    sent = []
    process.send_signal = sent.append
    event = stop_events.Event(1.0, stop_events.TERMINATE_AGAIN)
    stop_events.signal_router(None, event, process)
    assert sent == []
    process.poll = lambda: None
    stop_events.signal_router(None, event, process)
    assert sent == [signal.SIGTERM]
