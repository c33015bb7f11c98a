"""What counts as an upload without an answer, and the bodies that are sent."""

import asyncio
import collections
import random

import pytest

from hickoryweir.testing import client_floods
from hickoryweir.testing.soak import (
    stop_delays,
    stop_events,
    stop_floods,
    stop_oracle,
    stop_records,
    stop_uploads,
    stops,
)


def make_request(end="ConnectionResetError", status=0, sent_bytes=stop_uploads.MIB):
    request = stop_records.Request(
        "r-1", stop_uploads.BEHAVIOUR, "h", stop_records.Plan()
    )
    request.end, request.status, request.sent_bytes = end, status, sent_bytes
    request.is_whole, request.ended_s = end == "whole", 1.0
    return request


def make_target(request):
    target = stop_records.Target("h", 1, 0.0, random.Random(1), {}, seed=1)
    target.requests.append(request)
    return target


def count(target):
    """Return how many findings count, beside the evidence of the run."""
    return len(stop_oracle.split(stop_uploads.check([target]))[0])


@pytest.mark.parametrize("end", ["ConnectionResetError", "closed"])
def test_upload_that_ends_without_an_answer_is_found(end):
    """Guards against refusals that a reset discards and nobody notices."""
    (finding,) = stop_uploads.check([make_target(make_request(end))])
    assert finding.violation.promise == stop_uploads.ANSWERED
    assert finding.violation.detail.startswith(end)
    assert finding.lateness is None


@pytest.mark.parametrize(
    "request_",
    [make_request("whole", 200), make_request("whole", 503), make_request("")],
)
def test_answered_and_open_uploads_are_no_violation(request_):
    assert stop_uploads.check([make_target(request_)]) == []


def test_upload_that_may_be_unread_depends_on_when_it_began():
    """Guards against blame for connections that no router has accepted."""
    request = make_request(sent_bytes=stop_uploads.READ_BY_ROUTER_BYTES - 1)
    target = make_target(request)
    assert count(target) == 1
    target.gaps.append(stop_delays.Gap(0.0, 0.79, stop_delays.RUN_DELAY))
    assert count(target) == 1
    target.gaps.append(stop_delays.Gap(0.79, 0.81, stop_delays.RUN_DELAY))
    assert count(target) == 0
    request.sent_s = stop_records.LISTENER_CLOSE_S
    assert stop_uploads.check([make_target(request)]) == []


def test_upload_that_was_passed_on_was_read():
    """Guards against small bodies that are taken for unread ones."""
    target = make_target(make_request(sent_bytes=1))
    target.attempts["r-1"] = [stop_records.Attempt("s0", 0.5)]
    assert len(stop_uploads.check([target])) == 1


def test_upload_that_ends_at_the_last_moment_is_excused_by_evidence_only():
    request = make_request()
    request.ended_s = stop_records.CONNECTIONS_CLOSE_S
    target = make_target(request)
    assert count(target) == 1
    target.gaps.append(stop_delays.Gap(6.6, 7.3, stop_delays.RUN_DELAY))
    assert count(target) == 0
    request.ended_s = stop_oracle.LATE_WORK_S - 0.1
    assert count(target) == 1
    request.ended_s = stop_records.GRACE_S + 0.1
    assert stop_uploads.check([make_target(request)]) == []


def test_ends_are_counted_by_form_phase_and_what_the_router_read():
    targets = [make_target(make_request()), make_target(make_request("whole", 503))]
    ends = [text.partition(", ")[2] for text in stop_uploads.count_ends(targets)]
    assert ends == [
        "before the port closes: ConnectionResetError, read",
        "before the port closes: 503",
    ]


def test_bodies_have_the_announced_size_in_both_framings():
    request = make_request()
    for size_bytes in stop_uploads.SIZES_BYTES:
        form = stop_uploads.Form(size_bytes, True, 0.0, 0.0)
        body = b"".join(stop_uploads.make_blocks(request, form))
        assert len(body) == size_bytes
        assert b"Content-Length: %d\r\n" % size_bytes in stop_uploads.make_head(
            request, form
        )
        chunked = stop_uploads.Form(size_bytes, False, 0.0, 0.0)
        chunks = b"".join(stop_uploads.make_blocks(request, chunked))
        assert dechunk(chunks) == body
        assert b"chunked" in stop_uploads.make_head(request, chunked)


def dechunk(data):
    body = b""
    while True:
        size, _, data = data.partition(b"\r\n")
        if size == b"0":
            assert data == b"\r\n"
            return body
        body, data = body + data[: int(size, 16)], data[int(size, 16) + 2 :]


def test_all_forms_of_uploads_are_drawn():
    drawn = collections.Counter(
        (form.size_bytes, form.has_length, form.work_s, bool(form.pause_s))
        for form in (stop_uploads.draw_form(seed, "h") for seed in range(200))
    )
    assert len(drawn) == 16


def test_every_form_of_senders_is_drawn():
    stop = stop_events.Event(0.0, stop_events.TERMINATE)
    drawn = stop_floods.draw_senders(random.Random(1), [stop], len(client_floods.FORMS))
    sent = [event for event in drawn if isinstance(event, stop_floods.Sending)]
    assert sorted(event.form for event in sent) == sorted(client_floods.FORMS)
    assert all(
        event.clients_count == stop_floods.WORK_CLIENTS_COUNT
        for event in sent
        if client_floods.FORMS[event.form].is_work
    )


@pytest.mark.parametrize(("senders_count", "uploads_count"), [(3, 0), (0, 40), (3, 40)])
def test_planned_stop_beside_clients_that_send_much_breaks_no_promise(
    senders_count, uploads_count
):
    """Guards against clients whose bodies end the router, with others' requests."""
    options = stops.Stops(
        seed=1,
        routers=1,
        clients=10,
        senders=senders_count,
        uploads=uploads_count,
    )
    found = [finding.violation for finding in asyncio.run(stops.run(options))]
    assert found == []
