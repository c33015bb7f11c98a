"""A violation around a planned stop is shown with all that was seen of its request."""

import random

from hickoryweir.testing.soak import (
    stop_events,
    stop_oracle,
    stop_records,
    stop_timelines,
)


def test_time_line_has_client_server_events_logs_and_command(tmp_path):
    attempts = {"7-r-1": [stop_records.Attempt("s2", 101.5)]}
    target = stop_records.Target(
        "127.0.6.1", 1, 100.0, random.Random(1), attempts, seed=7
    )
    target.exit_s, target.exit_code = 7.5, 0
    request = stop_records.Request("7-r-1", "keep", "127.0.6.1", stop_records.Plan())
    request.sent_s, request.last_byte_s = 1.0, 1.25
    request.ended_s, request.end = 7.4, "closed"
    log = tmp_path / "router-0" / "log"
    log.parent.mkdir()
    log.write_text('{"request_id": "7-r-1"}\n{"request_id": "7-r-12"}\n')
    [finding] = stop_oracle.check_request(target, request)
    events = [stop_events.Event(2.5, "silent", 2, 0.5)]
    lines = stop_timelines.make_lines(finding, events, 98.0, [log], "--routers 3")
    assert lines[0].startswith(f"BROKEN: {stop_oracle.CUT_OFF}: 7-r-1")
    assert [line.strip() for line in lines[3:]] == [
        "0.500 event silent, number 2 for 0.500 s",
        "1.000 client sends",
        "1.250 client has sent the last byte",
        "1.500 server s2 received",
        "7.400 client: closed, status none",
        "7.500 exit of the process with 0",
        "no excuse: not scheduled for 0.000 s from 6.667 to 7.400 s, "
        "0.533 s needed: no delay",
        'log router-0: {"request_id": "7-r-1"}',
        "again: bin/soak stops --seed 7 --rounds 1 --routers 3",
    ]
