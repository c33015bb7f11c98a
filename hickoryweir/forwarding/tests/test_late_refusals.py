"""Backend servers that refuse a request, and write this refusal once more, late."""

import asyncio
import contextlib

import pytest

from hickoryweir.forwarding import headers
from hickoryweir.forwarding.tests import late_copies, sites

CALLS_COUNT = 6
IDLE_S = 3 * late_copies.PAUSE_S
SERVER_BODIES = {
    late_copies.Moment.BODY: b"x" * late_copies.LARGE_BODY_SIZE_BYTES,
}


def as_sent(refusal):
    return refusal


def without_id(refusal):
    return late_copies.ID_FIELD.sub(b"", refusal)


def with_foreign_id(refusal):
    field = b"\r\n" + late_copies.ID_NAME + b": r-foreign"
    return late_copies.ID_FIELD.sub(field, refusal)


CHANGES = [as_sent, without_id, with_foreign_id]


def refuse_first(status, more=late_copies.NOT_RUN):
    """Return the responses of a server that refuses the first request only."""

    def respond(name, request_id):
        if name == "first":
            return late_copies.refusal(status, request_id, more), False
        return late_copies.run_all(name, request_id)

    return respond


def repeat_refusal(moment, change):
    """Return what a server writes that repeats the refusal once on its connection."""

    def extras(connection, now):
        is_due = now is moment and len(connection.sent) == 1
        is_refusal = is_due and late_copies.REFUSED in connection.sent[0]
        return change(connection.sent[0]) if is_refusal else b""

    return extras


async def call(site, name, body=b"", request_id=None):
    """Return the status of the response to a request that has a name."""
    given = {headers.REQUEST_ID: request_id or f"r-{name}"}
    found = await site.call(path=f"/chat/{name}", given=given, data=body)
    return found[0]


@contextlib.asynccontextmanager
async def run_refused(server, others=()):
    """Run a router that has had a refusal of `server`, which is then listed anew."""
    async with sites.run_site([], routes=(sites.at_most_once_route(),)) as site:
        sites.list_servers(site.forwarder, [server.backend])
        first = await call(site, "first")
        # The copy between two requests has come by then.
        await asyncio.sleep(IDLE_S)
        # A new incarnation at the same address.
        server.backend.server_id += "-new"
        listed = [server.backend, *(other.backend for other in others)]
        sites.list_servers(site.forwarder, listed)
        yield site, first


def play(respond, extras, moment=None, has_other=False):
    """Call servers of which the first repeats a refusal; return what came of it."""

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            enter = stack.enter_async_context
            servers = [await enter(late_copies.run_server("s0", respond, extras))]
            if has_other:
                servers.append(await enter(late_copies.run_server("s1")))
            site, first = await enter(run_refused(servers[0], servers[1:]))
            found = {"first": first}
            for number in range(CALLS_COUNT):
                name = f"n{number}"
                found[name] = await call(site, name, SERVER_BODIES.get(moment, b""))
            return found, servers

    return asyncio.run(main())


@pytest.mark.parametrize("has_other", [False, True], ids=["alone", "with another"])
@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("moment", late_copies.Moment)
@pytest.mark.parametrize("status", late_copies.NOT_RUN_STATUSES)
def test_late_copy_of_a_refusal_is_no_promise(status, moment, change, has_other):
    """Guards against a copy that counts as "not run" for the next request."""
    extras = repeat_refusal(moment, change)
    found, servers = play(refuse_first(status), extras, moment, has_other)
    late_copies.check_promises(found, servers)
    assert servers[0].extras_count == 1
    assert set(found.values()) <= {200, 502, 503}
    assert list(found.values()).count(502) <= 1


@pytest.mark.parametrize("change", CHANGES)
def test_late_copy_of_a_misdirection_without_the_statement_is_no_promise(change):
    """Guards against a status that counts without any match of ids."""
    moment = late_copies.Moment.READ
    extras = repeat_refusal(moment, change)
    found, servers = play(refuse_first(421, b""), extras, moment)
    late_copies.check_promises(found, servers)
    assert servers[0].extras_count == 1


@pytest.mark.parametrize("status", late_copies.NOT_RUN_STATUSES)
def test_refusal_with_its_own_id_on_a_kept_connection_is_a_promise(status):
    """Guards against service that is lost on servers without a fault."""

    def respond(name, request_id):
        if name == "before":
            return late_copies.run_all(name, request_id)
        return late_copies.refusal(status, request_id), False

    async def main():
        async with (
            late_copies.run_server("s0", respond) as server,
            late_copies.run_server("s1") as other,
            sites.run_site([], routes=(sites.at_most_once_route(),)) as site,
        ):
            sites.list_servers(site.forwarder, [server.backend])
            found = [await call(site, "before"), await call(site, "refused")]
            sites.list_servers(site.forwarder, [server.backend, other.backend])
            for number in range(CALLS_COUNT):
                # The server is meant, whatever it said of an earlier request.
                site.forwarder.pool.servers["s0"].is_misdirected = False
                found.append(await call(site, f"n{number}"))
            return found, server, other

    found, server, other = asyncio.run(main())
    assert found == [200, 503] + [200] * CALLS_COUNT
    assert len(server.arrived) > 2
    assert (server.runs, len(server.connections)) == (["before"], 1)
    assert other.runs == [f"n{number}" for number in range(CALLS_COUNT)]


@pytest.mark.parametrize("status", late_copies.NOT_RUN_STATUSES)
def test_cut_copy_in_front_of_a_response_is_no_promise(status):
    """Guards against a head whose status is of a copy and whose id is the request's."""

    def respond(name, request_id):
        if name.startswith("first"):
            return late_copies.refusal(status, request_id), False
        return late_copies.run_all(name, request_id)

    def extras(connection, moment):
        is_due = len(connection.sent) == 1 and moment is late_copies.Moment.READ
        if not is_due or late_copies.REFUSED not in connection.sent[0]:
            return b""
        return connection.sent[0][: sizes[-1]]

    sizes = [0]

    async def main():
        async with (
            late_copies.run_server("s0", respond, extras) as server,
            sites.run_site([], routes=(sites.at_most_once_route(),)) as site,
        ):
            sites.list_servers(site.forwarder, [server.backend])
            found = {}
            for size in range(1, len(late_copies.refusal(status, b"r-first-000"))):
                sizes.append(size)
                site.forwarder.pool.servers["s0"].is_misdirected = False
                assert await call(site, f"first-{size:03}") in late_copies.PROMISES
                site.forwarder.pool.servers["s0"].is_misdirected = False
                found[f"n{size}"] = await call(site, f"n{size}")
            return found, server

    found, server = asyncio.run(main())
    late_copies.check_promises(found, [server])
    assert server.extras_count == len(found)
    assert set(found.values()) <= {200, 502}


@pytest.mark.parametrize("status", [408, 429, 503])
def test_response_without_the_statement_is_no_promise(status):
    """Guards against a status that promises more than the server has stated."""

    def respond(name, request_id):
        return late_copies.refusal(status, request_id, b""), True

    async def main():
        async with (
            late_copies.run_server("s0", respond) as server,
            late_copies.run_server("s1", respond) as other,
            sites.run_site([], routes=(sites.at_most_once_route(),)) as site,
        ):
            servers = [server, other]
            sites.list_servers(site.forwarder, [item.backend for item in servers])
            return {"n0": await call(site, "n0"), "n1": await call(site, "n1")}, servers

    found, servers = asyncio.run(main())
    late_copies.check_promises(found, servers)
    assert set(found.values()) == {502}
