"""A planned stop beside servers that send without end, in one fixed round."""

import asyncio
import random
import signal
import subprocess
import sys

import pytest

from hickoryweir.testing import floods
from hickoryweir.testing.soak import (
    stop_delays,
    stop_events,
    stop_floods,
    stop_records,
    stops,
)

SEED, ROUTERS_COUNT, FLOODS_COUNT = 42, 1, 5


def draw():
    generator = random.Random(SEED)
    events = stop_events.draw(generator, ROUTERS_COUNT, 3, 3)
    return stop_floods.draw(generator, events, FLOODS_COUNT, 3)


def test_fixed_round_has_floods_of_bodies_heads_streams_and_kills():
    events = draw()
    forms = {event.form for event in events if isinstance(event, stop_floods.Flood)}
    assert forms == {"length", "head", "unframed", "comments", "events"}
    kinds = {event.kind for event in events}
    assert kinds >= {stop_floods.KILL_REPLICA, stop_floods.KILL_ROUTER}


def test_every_form_is_drawn():
    generator = random.Random(1)
    events = stop_floods.draw(
        generator, [stop_events.Event(0.0, stop_events.TERMINATE)], len(floods.FORMS), 3
    )
    drawn = [event.form for event in events if isinstance(event, stop_floods.Flood)]
    assert sorted(drawn) == sorted(floods.FORMS)


def test_planned_stop_beside_floods_keeps_to_the_memory_and_breaks_no_promise():
    """Guards against a router that is killed for its memory, with others' requests."""
    options = stops.Stops(
        seed=SEED,
        routers=ROUTERS_COUNT,
        clients=30,
        floods=FLOODS_COUNT,
    )
    assert asyncio.run(stops.run(options)) == []


def make_target(requests=()):
    target = stop_records.Target("h", 1, 0.0, random.Random(1), {})
    target.requests += requests
    return target


def make_steady(number, ended_s, status=200):
    request = stop_records.Request(f"r-{number}", "steady", "h", stop_records.Plan())
    request.last_byte_s, request.ended_s = 0.0, ended_s
    request.is_whole, request.status = True, status
    return request


def promises_of(findings):
    return [finding.violation.promise for finding in findings]


def test_steady_requests_that_are_late_or_rejected_are_found():
    served = [make_steady(number, 0.5) for number in range(8)]
    assert promises_of(stop_floods.check_answers([make_target(served)])) == []
    for spoiled in (make_steady(8, 2.5), make_steady(8, 0.5, 503)):
        target = make_target([*served, spoiled])
        found = promises_of(stop_floods.check_answers([target]))
        assert found == [stop_floods.ANSWERED]


@pytest.mark.parametrize(("delay_s", "is_found"), [(0.4, True), (0.6, False)])
def test_late_steady_request_is_excused_by_a_delay_as_long(delay_s, is_found):
    target = make_target([make_steady(0, 2.5)])
    target.gaps.append(stop_delays.Gap(1.0, 1.0 + delay_s, stop_delays.RUN_DELAY))
    assert bool(stop_floods.check_answers([target])) is is_found


def test_requests_that_a_server_delays_do_not_count():
    target = make_target([make_steady(0, 2.5)])
    target.attempts["r-0"] = [stop_records.Attempt("s0", 0.0, 0.0, 2.0)]
    assert stop_floods.check_answers([target]) == []


def test_routers_beyond_their_memory_and_ended_processes_are_found(tmp_path):
    cluster = stops.make_cluster(tmp_path, 1, "h:1")
    host = cluster.routers[0].host
    peaks_mb = {host: float(stop_floods.MEMORY_MB)}
    found = promises_of(stop_floods.check(cluster, [make_target()], peaks_mb))
    # No process of the cluster has been started.
    assert found == [stop_floods.WITHIN_MEMORY] + 4 * [stop_floods.GOES_ON]


def test_successor_is_killed_and_started_again_but_not_the_stopped_process(
    tmp_path, monkeypatch
):
    launched = []
    monkeypatch.setattr(stop_floods.clusters, "launch", launched.append)
    cluster = stops.make_cluster(tmp_path, 1, "h:1")
    (router,) = cluster.routers
    stopped, successor = (
        subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE)
        for _ in range(2)
    )
    event = stop_events.Event(8.5, stop_floods.KILL_ROUTER)
    with stopped, successor:
        router.process = stopped
        stop_floods.kill_successor(cluster, event, stopped)
        assert (stopped.poll(), launched) == (None, [])
        router.process = successor
        stop_floods.kill_successor(cluster, event, stopped)
        assert (successor.poll(), launched) == (-signal.SIGKILL, [router])
