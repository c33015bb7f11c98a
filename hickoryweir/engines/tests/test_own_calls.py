"""Responses without a valid status, or cut by a reset, to calls of the system's own."""

import asyncio
import contextlib
import json

import pytest
from returns import result

from hickoryweir.cli import exits, explain_commands
from hickoryweir.discovery import listing, own_list
from hickoryweir.duties import calls as duty_calls
from hickoryweir.duties.tests import test_calls as duties
from hickoryweir.engines import failures, orders, reads, reports, sessions
from hickoryweir.engines.tests import benches
from hickoryweir.forwarding.tests import early_ends, sites, test_invalid_statuses
from hickoryweir.observability import metrics
from hickoryweir.operators import client as operators_client
from hickoryweir.operators import documents
from hickoryweir.weights import client as weights_client

TIMEOUT_S = 2.0
INVALID = test_invalid_statuses.INVALID
RATE = b'{"rate_bytes_per_s": 1.0, "available_bytes": 1.0}'
LIST = b'{"servers": []}'
REFUSAL = json.dumps({"reason": "not_found", "message": "no such stop"}).encode()
ORDER = orders.Order("1", "e", 1, orders.OrderKind.CHANGE_ROLE, role="serve")


def ask(status, body, call):
    """Return what ``call(session, address)`` returns with such a response."""
    # Retries of the system's own get the same.
    responses = [test_invalid_statuses.make_response(status, body)] * 3

    async def main():
        async with (
            test_invalid_statuses.run_servers(1, responses) as (backend,),
            sessions.make_session(keeps_connections=True) as session,
        ):
            return await call(session, backend.address)

    return asyncio.run(main())


def named(status):
    return f"invalid status {int(status[:3])}"


@pytest.mark.parametrize("status", INVALID)
def test_document_is_not_read_and_shows_no_life(status):
    async def fetch(session, address):
        return await weights_client.fetch_rate(session, f"http://{address}", TIMEOUT_S)

    failure = ask(status, RATE, fetch).failure()
    assert failure == reads.ReadFailure(named(status), got_response=False)


@pytest.mark.parametrize(
    ("status", "is_alive"), [*((status, False) for status in INVALID), ("599 X", True)]
)
def test_service_lives_if_its_response_has_a_valid_status(status, is_alive):
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(test_invalid_statuses.make_response(status, b"{}"))
        writer.close()

    async def main():
        listener = await asyncio.start_server(handle, sites.HOST, 0)
        port = listener.sockets[0].getsockname()[1]
        async with listener, sessions.make_session() as session:
            watcher = reports.make_watcher(session, lambda message: None)
            server = benches.make_server(f"http://{sites.HOST}:{port}")
            return await reports.probe(watcher, server)

    assert asyncio.run(main()) is is_alive


@pytest.mark.parametrize("status", INVALID)
def test_order_is_neither_done_nor_refused(status):
    async def send(session, address):
        server = benches.make_server(f"http://{address}")
        return await orders.send(session, server, ORDER, lambda: True, TIMEOUT_S)

    failure = ask(status, b'{"order_id": "1"}', send).failure()
    assert failure.reason is orders.OrderFailureReason.UNKNOWN
    assert failure.message == named(status)


@pytest.mark.parametrize("status", INVALID)
def test_page_of_a_list_is_not_read(status):
    async def read(session, address):
        return await listing.read_all(session, own_list.make_source(address))

    assert ask(status, LIST, read).failure() == named(status)


@pytest.mark.parametrize("status", INVALID)
def test_duty_is_not_accepted_and_gives_up_its_token(status, caplog):
    holder = duties.Holder()
    addresses = []

    async def send(session, address):
        addresses.append(address)
        return await duties.send(address, holder)

    with caplog.at_level("INFO"):
        assert ask(status, b"", send) is duty_calls.Outcome.NO_RESPONSE
    assert holder.given_up == [duties.PERMISSION.token]
    details = [
        record.args[0].fields.detail
        for record in caplog.records
        if record.args and record.args[0].message == "duty call"
    ]
    assert details[0].endswith(f"{named(status)}, by {addresses[0]}")


@pytest.mark.parametrize("status", INVALID)
def test_operators_refusal_is_none(status):
    async def request(session, address):
        access = operators_client.Access((f"http://{address}",), "key")
        return await operators_client.request(
            access, "POST", "/stops", documents.StatusDocument, {}
        )

    failure = ask(status, REFUSAL, request).failure()
    assert isinstance(failure, operators_client.Unreachable)
    assert named(status) in failure.errors[0]


@pytest.mark.parametrize("status", INVALID)
def test_explanation_is_none(status):
    async def explain(session, address):
        return await explain_commands._ask(address, {})

    failure = ask(status, b"{}", explain).failure()
    assert failure.code is exits.ExitCode.UNREACHABLE
    assert named(status) in failure.line


def test_page_of_a_list_that_a_reset_may_have_cut_is_not_read():
    async def respond(sock):
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
        await asyncio.get_running_loop().sock_sendall(sock, head + LIST)
        await asyncio.sleep(0.1)
        early_ends.reset(sock)

    async def main():
        async with (
            early_ends.run_server([respond]) as backend,
            sessions.make_session() as session,
        ):
            source = own_list.make_source(backend.address)
            return await listing.read_all(session, source)

    found = asyncio.run(main())
    assert isinstance(found, result.Failure)
    assert found.failure() == "reset"


def count_and_log(caplog, start_server, body):
    """Return the counted reasons, and peer and detail of each log line."""
    counters = metrics.make_metrics()

    async def main():
        async with (
            start_server as started,
            sessions.make_session(
                on_given_up=lambda *given_up: metrics.record_given_up(
                    counters.given_up_connections, *given_up
                )
            ) as session,
        ):
            (backend,) = started if isinstance(started, list) else (started,)
            url = f"http://{backend.address}/"
            with contextlib.suppress(*failures.NETWORK_ERRORS):
                async with session.post(url, data=body) as response:
                    await response.read()
            return backend.address

    with caplog.at_level("INFO"):
        address = asyncio.run(main())
    reasons = {
        sample.labels["reason"]: sample.value
        for metric in counters.given_up_connections.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    }
    lines = [
        (record.args[0].fields.peer, record.args[0].fields.detail)
        for record in caplog.records
        if record.args and record.args[0].message == "connection to a server given up"
    ]
    return address, reasons, lines


@pytest.mark.parametrize("status", INVALID)
def test_invalid_status_is_counted_and_logged_with_its_server(status, caplog):
    responses = [test_invalid_statuses.make_response(status, b"")]
    server = test_invalid_statuses.run_servers(1, responses)
    address, reasons, lines = count_and_log(caplog, server, b"x")
    assert reasons == {"invalid status": 1.0}
    assert lines == [(address, named(status))]


def test_end_beside_a_request_is_counted_and_logged_with_its_server(caplog):
    end = early_ends.ENDS["reset_later"]
    server = early_ends.run_server([early_ends.respond(early_ends.HEAD, b"a", end)])
    address, reasons, lines = count_and_log(caplog, server, b"x" * 400_000)
    assert reasons == {"ended before its request was acknowledged": 1.0}
    assert lines == [(address, "ended before its request was acknowledged")]


def test_sound_end_beside_a_request_is_not_counted(caplog):
    end = early_ends.reads_on(0.0)
    server = early_ends.run_server([early_ends.respond(early_ends.HEAD, b"a", end)])
    _, reasons, lines = count_and_log(caplog, server, b"x" * 400_000)
    assert (reasons, lines) == ({}, [])


def test_servers_of_the_tests_answer_valid_statuses():
    """A check of the servers above: with a valid status all is read."""

    async def read(session, address):
        return await listing.read_all(session, own_list.make_source(address))

    assert isinstance(ask("200 OK", LIST, read), result.Success)
