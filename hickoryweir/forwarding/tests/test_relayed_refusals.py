"""Late copies of refusals where one router sends a request through another."""

import asyncio
import contextlib

import multidict
import pytest

from hickoryweir.forwarding import errors, relay_messages, relay_pool, relaying
from hickoryweir.forwarding.tests import (
    late_copies,
    sites,
    test_late_refusals,
    test_relaying,
)
from hickoryweir.forwarding_policy import relays
from hickoryweir.streams import codec
from hickoryweir.testing import waiting

CALLS_COUNT = 3


@pytest.mark.parametrize("moment", [late_copies.Moment.HEAD, late_copies.Moment.READ])
@pytest.mark.parametrize("status", late_copies.NOT_RUN_STATUSES)
def test_copy_that_a_server_sends_to_a_relay_is_no_promise(status, moment):
    """Guards against a relay that passes on a promise that its server did not make."""
    respond = test_late_refusals.refuse_first(status)
    extras = test_late_refusals.repeat_refusal(moment, lambda refusal: refusal)

    async def main():
        async with (
            late_copies.run_server("s0", respond, extras) as server,
            test_relaying.run_pair([], (sites.at_most_once_route(),)) as pair,
        ):
            found = {}
            for name in ("first", *(f"n{number}" for number in range(CALLS_COUNT))):
                server.backend.server_id = f"s-{name}"
                for site in (pair.near, pair.far):
                    sites.list_servers(site.forwarder, [server.backend])
                test_relaying.cut_off(pair.near)
                found[name] = await test_late_refusals.call(pair.near, name)
            return found, server

    found, server = asyncio.run(main())
    late_copies.check_promises(found, [server])
    assert server.extras_count == 1
    assert list(found.values()) == [503, 502, 200, 200]


def make_reply(hop_id, reason):
    """Return a relay's refusal."""
    fields = multidict.CIMultiDict()
    relay_messages.write(fields, relay_messages.RelayReply(hop_id, reason, 0))
    field = f"{relay_messages.HEADER}: {fields[relay_messages.HEADER]}\r\n"
    return f"HTTP/1.1 503 X\r\n{field}Content-Length: 0\r\n\r\n".encode()


@pytest.mark.parametrize("reason", sorted(relaying.FINAL_REASONS))
@pytest.mark.parametrize("is_copied", [False, True])
def test_copy_of_a_relays_refusal_is_no_promise(is_copied, reason):
    """Guards against a refusal of a relay that counts for another request there."""
    sent, runs, writers = [], [], []

    async def handle(reader, writer):
        writers.append(writer)
        with contextlib.suppress(OSError, EOFError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                given = multidict.CIMultiDict(
                    line.split(": ", 1) for line in head.decode().split("\r\n")[1:-2]
                )
                message = relay_messages.read_request(given)
                if message is None:
                    status = codec.encode(relay_messages.RelayStatus(("app",), 0))
                    length = b"Content-Length: %d\r\n\r\n" % len(status)
                    writer.write(b"HTTP/1.1 200 OK\r\n" + length + status)
                elif not sent:
                    sent.append(make_reply(message.hop_id, reason))
                    writer.write(sent[0])
                elif is_copied:
                    runs.append(message.hop_id)
                    writer.write(sent[0])
                else:
                    writer.write(make_reply(message.hop_id, reason))

    async def main():
        listener = await asyncio.start_server(handle, sites.HOST, 0)
        async with (
            listener,
            late_copies.run_server("s0") as server,
            sites.run_site([], routes=(sites.at_most_once_route(),)) as site,
        ):
            sites.list_servers(site.forwarder, [server.backend])
            test_relaying.cut_off(site)
            pool = site.forwarder.relays
            pool.port = listener.sockets[0].getsockname()[1]
            relay_pool.update_named(pool, "replica", (relays.Router(sites.HOST, "a"),))
            # A call waits only 0.1 s for the state of a relay.
            relaying.ask_due(site.forwarder)
            await waiting.wait_until(lambda: not pool.tasks, sites.WAIT_S)
            names = ("first", "second")
            found = [await test_late_refusals.call(site, name) for name in names]
            for writer in writers:
                writer.close()
                await writer.wait_closed()
            return found

    status = errors.STATUSES[reason]
    expected = [status, 502 if is_copied else status]
    assert (asyncio.run(main()), len(runs)) == (expected, is_copied)
