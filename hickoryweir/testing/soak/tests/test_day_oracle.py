"""The oracle of days reports each kind of violation, and none in a sound day."""

import random

import pytest

from hickoryweir.testing.soak import (
    callers,
    day_oracle,
    faults,
    oracle,
    stop_oracle,
    stop_records,
)

REPLICAS = ["127.0.30.1", "127.0.30.2", "127.0.30.3"]
ROUTER = "127.0.31.1"
# Clients' times are relative to the end of the day, a stop's to its signal.
AFTER_S, SIGNAL_S, FINAL_S = 600.0, 20.0, 45.0


def make_target(signal_s, **options):
    return stop_records.Target(ROUTER, 80, signal_s, random.Random(1), {}, **options)


def make_record(requests=(), **changes):
    client = make_target(AFTER_S, requests=[request for request, _ in requests])
    client.attempts.update(
        {request.request_id: attempts for request, attempts in requests}
    )
    stop = make_target(SIGNAL_S, exit_s=7.9, exit_code=0)
    stop.attempts = client.attempts
    values = {
        "observations": callers.Observations(accepted=[(7, 30.0)]),
        "stops": [stop],
        "clients": [client],
        "replicas": REPLICAS,
        "final_s": FINAL_S,
        "final_version": 7,
        "final_reads": dict.fromkeys(REPLICAS, 7),
    }
    return day_oracle.Record(**(values | changes))


def make_request(number, sent_s, ended_s, **changes):
    """Return a request and its one run; times of the day."""
    values = {
        "sent_s": sent_s - AFTER_S,
        "last_byte_s": sent_s - AFTER_S,
        "ended_s": ended_s - AFTER_S,
        "end": "whole",
        "status": 200,
        "is_whole": True,
    }
    request = stop_records.Request(
        f"r{number}", day_oracle.KEPT, ROUTER, stop_records.Plan(), **values | changes
    )
    return request, [stop_records.Attempt("s0", sent_s, sent_s, ended_s)]


CLOSED = {"end": "closed", "status": 0, "is_whole": False}


def find_broken(*arguments, **changes):
    record = make_record(*arguments, **changes)
    return [item.promise for item in day_oracle.find_violations(record)]


def test_sound_day_is_no_violation():
    assert find_broken([make_request(n, 10.0 + n, 10.5 + n) for n in range(25)]) == []


def test_table_that_nobody_reads_after_the_final_fault_is_reported():
    unread = dict.fromkeys(REPLICAS)
    assert find_broken(final_reads=unread) == [day_oracle.UNREAD]
    assert find_broken(final_reads=unread | {REPLICAS[0]: 7}) == []


def test_acknowledged_table_that_is_lost_in_the_final_fault_is_reported():
    reads = dict.fromkeys(REPLICAS, 7) | {REPLICAS[1]: 6}
    assert find_broken(final_reads=reads) == [day_oracle.LOST]


def test_change_that_is_not_acknowledged_is_reported():
    assert find_broken(final_version=None) == [day_oracle.NOT_ACKNOWLEDGED]


def test_older_table_that_is_read_before_the_final_fault_is_reported():
    reading = callers.VersionReading(REPLICAS[0], 1, 31.0, 6)
    observations = callers.Observations(accepted=[(7, 30.0)], read_back=[reading])
    assert find_broken(observations=observations) == ["what is read is the newest"]


def make_readings(*readings):
    return callers.Observations(
        accepted=[(6, 10.0), (7, 30.0)],
        in_force=[
            callers.VersionReading(ROUTER, process_id, asked_s, version)
            for process_id, asked_s, version in readings
        ],
    )


def test_table_that_goes_back_in_one_life_of_a_router_is_reported():
    readings = (1, 30.5, 7), (1, 31.0, 6)
    assert find_broken(observations=make_readings(*readings)) == [
        "a table never goes back"
    ]
    readings = (1, 30.5, 7), (2, 31.0, 6)
    assert find_broken(observations=make_readings(*readings)) == []


def test_late_table_is_reported_unless_the_run_shows_that_processes_waited():
    late_s = 30.0 + oracle.IN_FORCE_S + 0.4
    observations = make_readings((1, late_s, 6))
    broken = ["an acknowledged table is in force"]
    assert find_broken(observations=observations) == broken
    for host in ("", ROUTER, REPLICAS[0]):
        short, long = (
            [day_oracle.Delay(host, 31.0, 31.5, waited_s)] for waited_s in (0.2, 0.5)
        )
        assert find_broken(observations=observations, delays=short) == broken
        assert find_broken(observations=observations, delays=long) == []
    before = [day_oracle.Delay(ROUTER, 20.0, 25.0, 3.0)]
    assert find_broken(observations=observations, delays=before) == broken


def test_late_table_of_a_router_that_was_frozen_until_the_final_fault_is_no_violation():
    final = faults.InjectedFault("all killed", REPLICAS[0], FINAL_S, FINAL_S + 1.0)
    observations = callers.Observations(
        accepted=[(6, 10.0), (7, FINAL_S)],
        in_force=[callers.VersionReading(ROUTER, 1, FINAL_S + 3.0, 6)],
    )
    broken = ["an acknowledged table is in force"]
    for waited_s, expected in ((0.7, []), (0.5, broken)):
        delays = [
            day_oracle.Delay(ROUTER, at_s - 0.7, at_s, waited_s)
            for at_s in (FINAL_S - 0.7, FINAL_S)
        ]
        changes = {"injected": [final], "delays": delays}
        assert find_broken(observations=observations, **changes) == expected


def test_late_table_of_a_router_that_was_stopped_is_no_violation():
    stopped = faults.InjectedFault("stop", ROUTER, 28.0, 31.0)
    assert (
        find_broken(observations=make_readings((1, 33.0, 6)), injected=[stopped]) == []
    )


def test_fourth_kept_connection_closed_without_an_answer_is_reported():
    requests = [make_request(n, 10.0 + n, 11.0 + n, **CLOSED) for n in range(4)]
    assert find_broken(requests[:3]) == []
    assert find_broken(requests) == [day_oracle.KEPT_CLOSED]


@pytest.mark.parametrize("cause", ["final fault", "server", "not passed on", "first"])
def test_connections_closed_for_another_cause_are_no_violation(cause):
    at_s = FINAL_S if cause == "final fault" else 10.0
    requests = [make_request(n, at_s + n, at_s + 1 + n, **CLOSED) for n in range(4)]
    for request, attempts in requests:
        if cause == "server":
            attempts[0].broke_off = True
        elif cause == "not passed on":
            attempts.clear()
        elif cause == "first":
            request.behaviour = "first"
    assert find_broken(requests) == []


def test_single_request_of_the_day_that_a_planned_stop_cuts_off_is_reported():
    request, attempts = make_request(0, SIGNAL_S + 0.5, SIGNAL_S + 2.0, **CLOSED)
    assert find_broken([(request, attempts)]) == [stop_oracle.UNDELIVERED]
    attempts[0].finished_s = None
    assert find_broken([(request, attempts)]) == [stop_oracle.CUT_OFF]


@pytest.mark.parametrize("at_s", [SIGNAL_S + 1.0, SIGNAL_S - 15.0])
def test_untrue_answers_are_reported_beside_stops_and_away_from_them(at_s):
    twice, attempts = make_request(0, at_s, at_s + 1.0)
    assert find_broken([(twice, attempts * 2)]) == ["at most once"]
    refused = make_request(0, at_s, at_s + 1.0, status=429)
    assert find_broken([refused]) == ["not run is true"]
    wrong = make_request(0, at_s, at_s + 1.0, is_correct=False)
    assert find_broken([wrong]) == ["each caller gets its own whole answer"]


def test_processes_that_end_unclean_or_by_themselves_are_reported():
    codes = [(REPLICAS[0], 0), (REPLICAS[1], 1)]
    assert find_broken(exit_codes=codes) == [stop_oracle.ENDS_CLEAN]
    assert find_broken(ended=[(ROUTER, -6)]) == ["processes go on"]


def test_added_router_that_does_not_become_ready_is_reported():
    assert find_broken(unready=[ROUTER]) == [day_oracle.UNREADY]
