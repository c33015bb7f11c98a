"""Which kept connections to backend servers carry another request."""

import asyncio
import contextlib

import aiohttp
import pytest

from hickoryweir.engines import framing
from hickoryweir.forwarding import exchange, headers, sockets
from hickoryweir.forwarding.tests import late_copies, sites, test_late_refusals

INTERIM = (
    b"HTTP/1.1 103 Early Hints\r\n"
    + late_copies.ID_NAME
    + b": r-first\r\n"
    + late_copies.NOT_RUN
    + b"\r\n"
)
MANY_COUNT = 20
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@contextlib.asynccontextmanager
async def run_site(respond=late_copies.run_all, extras=late_copies.no_extras):
    """Run a router whose route runs requests once, and one server."""
    async with (
        sites.run_site([], routes=(sites.at_most_once_route(),)) as site,
        late_copies.run_server("s0", respond, extras) as server,
    ):
        sites.list_servers(site.forwarder, [server.backend])
        yield site, server


def test_id_that_was_carried_long_ago_is_not_sent_there_again():
    """Guards against a copy for a request whose id comes again after many others."""
    last_count = MANY_COUNT + 1

    def extras(connection, moment):
        is_due = len(connection.sent) == last_count
        is_due = is_due and moment is late_copies.Moment.READ
        return connection.sent[0] if is_due else b""

    async def main():
        async with run_site(test_late_refusals.refuse_first(503), extras) as (
            site,
            server,
        ):
            await test_late_refusals.call(site, "first")
            for number in range(MANY_COUNT):
                await test_late_refusals.call(site, f"n{number}")
            return {
                "again": await test_late_refusals.call(
                    site, "again", request_id="r-first"
                )
            }, server

    found, server = asyncio.run(main())
    late_copies.check_promises(found, [server])
    assert found == {"again": 200}
    assert len(server.connections) == 2


def test_copy_for_a_request_without_an_id_is_no_promise():
    """Guards against responses that are told apart by ids where there are none."""

    def respond(name, request_id):
        response, is_run = test_late_refusals.refuse_first(400)(name, request_id)
        return late_copies.ID_FIELD.sub(b"", response), is_run

    async def call_without_id(site, name):
        url = f"http://{sites.HOST}:{site.port}/chat/{name}"
        async with site.client.post(url, headers={"Host": "site.example"}) as found:
            return found.status

    async def main():
        extras = test_late_refusals.repeat_refusal(
            late_copies.Moment.READ, lambda refusal: refusal
        )
        async with run_site(respond, extras) as (site, server):
            names = ("first", "second", "third")
            return {name: await call_without_id(site, name) for name in names}, server

    found, server = asyncio.run(main())
    late_copies.check_promises(found, [server])
    assert found == {"first": 503, "second": 200, "third": 200}


@pytest.mark.parametrize("size", [1, 9, 12, 17, 30, 60, 70])
def test_part_of_a_copy_behind_a_response_closes_the_connection(size):
    """Guards against the rest of the copy, which the next request would get."""
    copy = late_copies.refusal(503, b"r-first")
    left = [copy[size:]]

    def respond(name, request_id):
        response, is_run = late_copies.run_all(name, request_id)
        return (response + copy[:size] if name == "first" else response), is_run

    def extras(connection, moment):
        has_part = bool(connection.sent) and connection.sent[0].endswith(copy[:size])
        is_due = has_part and moment is late_copies.Moment.HEAD
        return left.pop() if is_due and left else b""

    async def main():
        async with run_site(respond, extras) as (site, server):
            names = ("first", "second", "third")
            return [await test_late_refusals.call(site, name) for name in names], len(
                server.connections
            )

    assert asyncio.run(main()) == ([200, 200, 200], 2)


@pytest.mark.parametrize("copy", [late_copies.refusal(421, b"r-first"), INTERIM])
def test_connection_with_unread_bytes_is_not_used_again(copy):
    """Guards against a busy event loop, which sees the bytes after the request."""

    async def main():
        async with run_site() as (site, server):
            assert await test_late_refusals.call(site, "first") == 200
            await asyncio.sleep(test_late_refusals.IDLE_S)
            server.connections[0].writer.write(copy)
            given = {"Host": "site.example", headers.REQUEST_ID: "r-second"}
            request = exchange.BackendRequest(
                "POST", server.backend.address, "/chat/second", given, b"x", "r-second"
            )
            session, codec = site.forwarder.at_most_once_session, site.forwarder.codec
            # Nothing is awaited between the server's write and the choice.
            outcome = await exchange.send(session, request, codec, lambda *head: None)
            await exchange.read_body(outcome)
            return type(outcome), len(server.connections)

    assert asyncio.run(main()) == (exchange.Answered, 2)


@pytest.mark.parametrize(
    ("moment", "connections_count"),
    [(late_copies.Moment.IDLE, 2), (late_copies.Moment.READ, 1)],
)
def test_interim_response_is_no_response(moment, connections_count):
    """Guards against a 1xx that counts, whatever it states."""
    left = [INTERIM]

    def extras(connection, now):
        is_due = now is moment and len(connection.sent) == 1
        return left.pop() if is_due and left else b""

    async def main():
        async with run_site(extras=extras) as (site, server):
            found = [await test_late_refusals.call(site, "first")]
            await asyncio.sleep(test_late_refusals.IDLE_S)
            found += [
                await test_late_refusals.call(site, "second"),
                await test_late_refusals.call(site, "third"),
            ]
            return found, server.runs, len(server.connections)

    expected = ["first", "second", "third"]
    assert asyncio.run(main()) == ([200] * 3, expected, connections_count)


@pytest.mark.parametrize("moment", late_copies.Moment)
def test_copy_of_a_failure_is_no_response_to_the_next_request(moment):
    """Guards against the status of another request."""

    def respond(name, request_id):
        if name == "first":
            return late_copies.refusal(500, request_id, b""), True
        return late_copies.run_all(name, request_id)

    async def main():
        extras = test_late_refusals.repeat_refusal(moment, lambda failure: failure)
        async with run_site(respond, extras) as (site, server):
            await test_late_refusals.call(site, "first")
            await asyncio.sleep(test_late_refusals.IDLE_S)
            body = b"x" * late_copies.LARGE_BODY_SIZE_BYTES
            names = ("second", "third")
            return {
                name: await test_late_refusals.call(site, name, body) for name in names
            }, server

    found, server = asyncio.run(main())
    late_copies.check_promises(found, [server])
    is_idle = moment is late_copies.Moment.IDLE
    assert found == {"second": 200 if is_idle else 502, "third": 200}
    assert server.runs.count("third") == 1


def test_connection_is_closed_before_its_ids_need_too_much_memory(monkeypatch):
    """Guards against ids that are forgotten, or kept without a bound."""
    monkeypatch.setattr(framing, "MAX_REQUESTS_COUNT", 3)

    async def main():
        async with run_site() as (site, server):
            found = [
                await test_late_refusals.call(site, f"n{number}") for number in range(7)
            ]
            return found, [len(item.sent) for item in server.connections]

    assert asyncio.run(main()) == ([200] * 7, [3, 3, 1])


def test_refusal_amid_the_body_counts_and_ends_the_use_of_its_connection():
    """Guards against the rest of a body that a server takes for another request."""
    ports, rests = [], []

    async def handle(reader, writer):
        ports.append(writer.get_extra_info("peername")[1])
        head = await reader.readuntil(b"\r\n\r\n")
        request_id = late_copies.REQUEST_ID.search(head).group(1)
        length = int(late_copies.LENGTH.search(head).group(1))
        await asyncio.sleep(late_copies.PAUSE_S)
        writer.write(late_copies.refusal(503, request_id))
        await asyncio.sleep(late_copies.PAUSE_S)
        with contextlib.suppress(OSError, EOFError):
            await reader.readexactly(length)
            rests.append(await reader.read())
        writer.close()

    async def main():
        listener = await late_copies.listen(handle)
        address = f"{sites.HOST}:{listener.sockets[0].getsockname()[1]}"
        backend = sites.Backend("s0", address, listener, [])
        async with listener, sites.run_site([], (sites.at_most_once_route(),)) as site:
            sites.list_servers(site.forwarder, [backend])
            body = b"x" * late_copies.LARGE_BODY_SIZE_BYTES
            found = [
                await test_late_refusals.call(site, name, body)
                for name in ("first", "second")
            ]
            await asyncio.sleep(test_late_refusals.IDLE_S)
            return found

    assert asyncio.run(main()) == [503, 503]
    assert len(set(ports)) == 2
    assert not any(rests)


def test_bytes_before_the_first_request_end_a_connection():
    """Guards against a response that came before its request was written."""

    async def handle(reader, writer):
        writer.write(late_copies.refusal(503, b"r-first"))
        await reader.read()
        writer.close()

    async def main():
        loop = asyncio.get_running_loop()
        async with await asyncio.start_server(handle, sites.HOST, 0) as listener:
            port = listener.sockets[0].getsockname()[1]
            _, protocol = await loop.create_connection(
                lambda: framing.ResponseProtocol(loop), sites.HOST, port
            )
            await asyncio.sleep(test_late_refusals.IDLE_S)
            return protocol.is_connected(), type(protocol.exception())

    assert asyncio.run(main()) == (False, framing.UnaskedBytesError)


@pytest.mark.parametrize(
    ("sent", "reason", "detail"),
    [
        (WHOLE + b"x" * 100_000, "bytes after a whole response", ""),
        (WHOLE + WHOLE * 1_000, "bytes after a whole response", ""),
        (
            b"HTTP/1.1 103 Early Hints\r\n\r\n" * 10_000,
            "too many bytes without content",
            "",
        ),
        (
            b"HTTP/1.1 999 X\r\nContent-Length: 5\r\n\r\nwhole",
            "invalid status",
            "invalid status 999",
        ),
        (b"HTTP/1.1 999 X\r\n\r\nwhole", "invalid status", "invalid status 999"),
        (b"HTTP/1.1 OK\r\n\r\n", "malformed response", ""),
    ],
)
def test_connection_that_is_given_up_names_its_server_and_the_reason(
    sent, reason, detail
):
    """Guards against a server that floods routers without a trace."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            writer.write(sent)
            await writer.drain()
        writer.close()

    async def main():
        seen = []
        listener = await asyncio.start_server(handle, sites.HOST, 0)
        address = f"{sites.HOST}:{listener.sockets[0].getsockname()[1]}"
        retryable, at_most_once = sockets.make_sessions(
            1.0, on_given_up=lambda *given_up: seen.append(given_up)
        )
        async with listener, retryable, at_most_once:
            with contextlib.suppress(aiohttp.ClientError):
                async with retryable.get(f"http://{address}/") as response:
                    await response.read()
            return address, seen

    address, seen = asyncio.run(main())
    assert seen == [(address, reason, detail or reason)]
