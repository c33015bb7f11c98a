"""Statuses that are none, and early ends, where a router relays for another one."""

import asyncio
import contextlib

import aiohttp
import multidict
import pytest
import uvloop

from hickoryweir.forwarding import relay_messages, relay_pool, relaying
from hickoryweir.forwarding.tests import (
    early_ends,
    sites,
    test_early_ends,
    test_invalid_statuses,
    test_relaying,
)
from hickoryweir.forwarding_policy import relays
from hickoryweir.streams import codec
from hickoryweir.testing import waiting

UPLOAD = test_early_ends.UPLOADS["400_kb"]
EVENT = test_early_ends.EVENT
UNKNOWN = (502, b"outcome_unknown\n")


def run(main):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())


async def call(site, body):
    """Return status and body; the status is None if the response was broken off."""
    try:
        status, _, received = await site.call(data=body)
    except aiohttp.ClientPayloadError:
        return None, b""
    return status, received


def call_through_relay(route, run_server, body):
    """Return the result of a call whose server only the relay reaches."""

    async def main():
        async with (
            run_server as started,
            test_relaying.run_pair([], (route,)) as pair,
        ):
            backends = started if isinstance(started, list) else [started]
            for site in (pair.near, pair.far):
                sites.list_servers(site.forwarder, backends)
            test_relaying.cut_off(pair.near)
            return await call(pair.near, body), len(backends[0].seen)

    return run(main)


@pytest.mark.parametrize("body", [None, UPLOAD], ids=["empty", "upload"])
@pytest.mark.parametrize("status", test_invalid_statuses.INVALID)
def test_invalid_status_of_a_relays_server_is_an_unknown_outcome(status, body):
    responses = [test_invalid_statuses.make_response(status, b"no answer")]
    servers = test_invalid_statuses.run_servers(1, responses)
    found = call_through_relay(test_early_ends.ONCE, servers, body)
    assert found == (UNKNOWN, 1)


@pytest.mark.parametrize("end", early_ends.ENDS)
def test_part_of_a_response_to_a_relay_is_an_unknown_outcome(end):
    respond = early_ends.respond(early_ends.HEAD, EVENT, early_ends.ENDS[end])
    servers = early_ends.run_server([respond])
    found = call_through_relay(test_early_ends.ONCE, servers, UPLOAD)
    assert found == (UNKNOWN, 1)


@pytest.mark.parametrize("end", early_ends.ENDS)
def test_part_of_a_stream_to_a_relay_is_broken_off(end):
    respond = early_ends.respond(early_ends.HEAD, EVENT, early_ends.ENDS[end])
    servers = early_ends.run_server([respond])
    (status, _), _ = call_through_relay(test_early_ends.STREAM, servers, UPLOAD)
    assert status is None


def test_response_to_a_relay_of_a_server_that_reads_on_is_whole():
    respond = early_ends.respond(early_ends.HEAD, EVENT, early_ends.reads_on(0.0))
    servers = early_ends.run_server([respond])
    found = call_through_relay(test_early_ends.ONCE, servers, UPLOAD)
    assert found == ((200, EVENT), 1)


@contextlib.asynccontextmanager
async def run_relay(respond, status_line=b"HTTP/1.1 200 OK"):
    """Run a relay of which ``respond(sock, reply)`` writes the responses.

    Its state has the status line; `reply` is the field that names the hop.

    Yields
    ------
    tuple
        Its port, and the list of received heads of requests that are relayed.
    """
    loop, seen, tasks = asyncio.get_running_loop(), [], set()
    listener = early_ends.make_listener()

    async def handle(sock):
        with sock, contextlib.suppress(ConnectionError):
            head = b""
            while b"\r\n\r\n" not in head:
                head += await loop.sock_recv(sock, 1_024)
            lines = head.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
            given = multidict.CIMultiDict(line.split(": ", 1) for line in lines[1:])
            message = relay_messages.read_request(given)
            if message is None:
                state = codec.encode(relay_messages.RelayStatus(("app",), 0))
                length = b"\r\nContent-Length: %d\r\n\r\n" % len(state)
                await loop.sock_sendall(sock, status_line + length + state)
                await early_ends.discard(sock)
                return
            seen.append(head)
            fields = multidict.CIMultiDict()
            reply = relay_messages.RelayReply(message.hop_id, "", 1)
            relay_messages.write(fields, reply)
            ((name, value),) = fields.items()
            await respond(sock, f"{name}: {value}\r\n".encode())

    async def accept():
        while True:
            sock, _ = await loop.sock_accept(listener)
            task = asyncio.create_task(handle(sock))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    accepting = asyncio.create_task(accept())
    try:
        yield listener.getsockname()[1], seen
    finally:
        for task in (accepting, *tasks):
            task.cancel()
        await asyncio.gather(accepting, *tasks, return_exceptions=True)
        listener.close()


def call_relay(route, respond, body, **options):
    """Return the result of a call that only a relay can take, and the relayed count."""

    async def main():
        async with (
            run_relay(respond, **options) as (port, seen),
            sites.run_site([sites.answering()], routes=(route,)) as site,
        ):
            test_relaying.cut_off(site)
            pool = site.forwarder.relays
            pool.port = port
            relay_pool.update_named(pool, "replica", (relays.Router(sites.HOST, "a"),))
            relaying.ask_due(site.forwarder)
            await waiting.wait_until(lambda: not pool.tasks, sites.WAIT_S)
            return await call(site, body), len(seen)

    return run(main)


def responds(status, body, end, more=b""):
    """Return a function that answers as a relay does, then ends the connection."""

    async def respond(sock, reply):
        head = b"HTTP/1.1 %s\r\n" % status.encode() + reply + more
        await early_ends.respond(head, body, end)(sock)

    return respond


@pytest.mark.parametrize("body", [None, UPLOAD], ids=["empty", "upload"])
@pytest.mark.parametrize("status", test_invalid_statuses.INVALID)
def test_invalid_status_of_a_relay_is_an_unknown_outcome(status, body):
    more = b"Content-Length: %d\r\n" % len(EVENT)
    respond = responds(status, EVENT, early_ends.discard, more)
    found = call_relay(test_early_ends.ONCE, respond, body)
    assert found == (UNKNOWN, 1)


@pytest.mark.parametrize("end", early_ends.ENDS)
def test_part_of_a_response_of_a_relay_is_an_unknown_outcome(end):
    respond = responds("200 OK", EVENT, early_ends.ENDS[end])
    assert call_relay(test_early_ends.ONCE, respond, UPLOAD) == (UNKNOWN, 1)


@pytest.mark.parametrize("end", early_ends.ENDS)
def test_part_of_a_stream_of_a_relay_is_broken_off(end):
    respond = responds("200 OK", EVENT, early_ends.ENDS[end])
    (status, _), _ = call_relay(test_early_ends.STREAM, respond, UPLOAD)
    assert status is None


def test_response_of_a_relay_that_reads_on_is_whole():
    respond = responds("200 OK", EVENT, early_ends.reads_on(0.0))
    assert call_relay(test_early_ends.ONCE, respond, UPLOAD) == ((200, EVENT), 1)


@pytest.mark.parametrize("status", test_invalid_statuses.INVALID)
def test_state_of_a_relay_without_a_valid_status_is_not_used(status):
    respond = responds("200 OK", EVENT, early_ends.reads_on(0.0))
    (code, _), relayed_count = call_relay(
        test_early_ends.ONCE,
        respond,
        None,
        status_line=b"HTTP/1.1 " + status.encode(),
    )
    assert (code, relayed_count) == (503, 0)
