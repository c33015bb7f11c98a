"""Tests of streams while servers of two software versions serve side by side."""

import asyncio
import contextlib
import time

import aiohttp
import pytest

from hickoryweir.feeds import messages
from hickoryweir.forwarding import headers, resumption, server_pool
from hickoryweir.forwarding.tests import sites
from hickoryweir.forwarding_policy import stream_versions

EVENTS_COUNT = 5
STREAM_ID = "r-1"


def make_event(number, version):
    return b"id: %d\ndata: %b\n\n" % (number, version.encode())


def serving(version, broken_after=None):
    """Return a backend function whose events name its software version."""

    async def answer(request, body):
        given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
        response = aiohttp.web.StreamResponse(headers=given)
        await response.prepare(request)
        first = int(request.headers.get(headers.LAST_EVENT_ID, "0")) + 1
        for number in range(first, EVENTS_COUNT + 1):
            if broken_after is not None and number > broken_after:
                await asyncio.sleep(0.02)
                request.transport.abort()
                return response
            await response.write(make_event(number, version))
        await response.write_eof()
        return response

    return answer


@contextlib.asynccontextmanager
async def run_site(*servers):
    """Run a router with a backend server for each (version, broken_after)."""
    answers = [serving(*server) for server in servers]
    route, versions = sites.resumable_route(), [version for version, _ in servers]
    async with sites.run_site(answers, routes=(route,), versions=versions) as site:
        yield site


def list_versions(site, versions, backends=None):
    sites.list_servers(site.forwarder, backends or site.backends, versions=versions)


async def take_up(site, stream_id=STREAM_ID, after="2", request_id="r-2"):
    """Take a stream up as a client does; return status, headers and body."""
    given = {
        headers.REQUEST_ID: request_id,
        headers.LAST_EVENT_ID: after,
        headers.RESUMED_STREAM_ID: stream_id,
    }
    return await site.call(given=given)


def versions_in(body):
    """Return the software versions that wrote the events of a response."""
    return {line for line in body.split(b"\n") if line.startswith(b"data: ")}


async def begin(site, versions):
    """Begin the stream on the first server, then list all of them."""
    list_versions(site, versions[:1], site.backends[:1])
    await site.call()
    list_versions(site, versions)


def test_broken_stream_does_not_go_on_at_another_software_version():
    async def main():
        async with run_site(("v1", 2), ("v2", None), ("v2", None)) as site:
            list_versions(site, ["v1"], site.backends[:1])
            task = asyncio.create_task(site.call())
            await sites.wait_until(lambda: site.backends[0].seen)
            list_versions(site, ["v1", "v2", "v2"])
            with pytest.raises(aiohttp.ClientPayloadError):
                await task
            return [len(backend.seen) for backend in site.backends]

    assert asyncio.run(main()) == [1, 0, 0]


def test_broken_stream_goes_on_at_a_server_of_its_software_version():
    async def main():
        servers = ("v1", 2), *[("v2", None)] * 6, ("v1", None)
        async with run_site(*servers) as site:
            list_versions(site, ["v1"], site.backends[:1])
            task = asyncio.create_task(site.call())
            await sites.wait_until(lambda: site.backends[0].seen)
            list_versions(site, [version for version, _ in servers])
            return await task

    status, _, body = asyncio.run(main())
    assert (status, versions_in(body)) == (200, {b"data: v1"})


@pytest.mark.parametrize("versions", [["v1", "v2", "v2"], ["v2", "v1", "v1"]])
def test_stream_taken_up_at_the_same_router_goes_on_at_its_version(versions):
    async def main():
        async with run_site(*((version, None) for version in versions)) as site:
            await begin(site, versions)
            request_ids = [f"r-{number}" for number in range(2, 8)]
            return [await take_up(site, request_id=name) for name in request_ids]

    bodies = [body for _, _, body in asyncio.run(main())]
    assert {versions[0].encode()} == {
        line.removeprefix(b"data: ") for body in bodies for line in versions_in(body)
    }


@pytest.mark.parametrize(
    "stream_id",
    ["r-9", "", "x" * 5000, "r 1", "\u00e9"],
    ids=["unknown", "empty", "long", "space", "not ASCII"],
)
def test_stream_of_unknown_version_is_refused_while_two_versions_serve(stream_id):
    async def main():
        async with run_site(("v1", None), ("v2", None)) as site:
            found = await take_up(site, stream_id)
            return found, sum(len(backend.seen) for backend in site.backends)

    (status, answer_headers, _), seen_count = asyncio.run(main())
    assert (status, seen_count) == (503, 0)
    assert float(answer_headers["Retry-After"]) > 0.0


def test_stream_of_unknown_version_goes_on_while_one_version_serves():
    async def main():
        async with run_site(("v1", None), ("v1", None)) as site:
            return await take_up(site, "r-9")

    assert asyncio.run(main())[0] == 200


def test_streams_are_announced_only_while_two_versions_are_in_use():
    announced = []

    async def main():
        async with run_site(("v1", None), ("v2", None)) as site:
            site.forwarder.report_origin = lambda *origin: announced.append(origin)
            # As if the second version had not been listed yet.
            site.forwarder.known_streams.listed_at_s.clear()
            site.forwarder.listed_versions = frozenset()
            list_versions(site, ["v1"], site.backends[:1])
            await site.call()
            before = list(announced)
            list_versions(site, ["v1", "v2"])
            await site.call(given={headers.REQUEST_ID: "r-2"})
            return before

    assert asyncio.run(main()) == []
    versions = [version for _, version, _ in announced]
    keys = [key for *_, key in announced]
    assert versions[0] == "v1"
    assert keys == [stream_versions.stream_key("app", "", f"r-{n}") for n in (1, 2)]


def test_stream_that_another_router_began_goes_on_at_its_version():
    key = stream_versions.stream_key("app", "", "r-9")
    message, asked = messages.StreamOrigins("app", "v2", (key,)), []

    async def main():
        async with run_site(*[("v1", None)] * 4, ("v2", None)) as site:
            loop = asyncio.get_running_loop()

            def ask_origins(keys):
                asked.extend(keys)
                loop.call_later(0.05, resumption.apply_origins, site.forwarder, message)

            site.forwarder.ask_origins = ask_origins
            return await take_up(site, "r-9")

    status, _, body = asyncio.run(main())
    assert (status, versions_in(body), asked) == (200, {b"data: v2"}, [key])


def test_stream_is_refused_while_its_version_has_no_server_left():
    async def main():
        async with run_site(("v1", None), ("v2", None)) as site:
            await begin(site, ["v1", "v2"])
            list_versions(site, ["v2"], site.backends[1:])
            found = await take_up(site)
            return found, len(site.backends[1].seen)

    (status, answer_headers, body), seen_count = asyncio.run(main())
    assert (status, body, seen_count) == (503, b"version_unavailable\n", 0)
    assert float(answer_headers["Retry-After"]) > 0.0


@pytest.mark.parametrize("named", ["r-1", "r-2"])
def test_stream_taken_up_twice_goes_on_by_either_id(named):
    async def main():
        servers = ("v1", None), *[("v2", None)] * 4
        async with run_site(*servers) as site:
            await begin(site, [version for version, _ in servers])
            await take_up(site, "r-1", after="2", request_id="r-2")
            return await take_up(site, named, after="4", request_id="r-3")

    status, _, body = asyncio.run(main())
    assert (status, versions_in(body)) == (200, {b"data: v1"})


def test_stream_does_not_go_on_at_a_server_that_may_have_restarted_since_the_list():
    async def main():
        async with run_site(("v1", None), ("v1", None), ("v2", None)) as site:
            await begin(site, ["v1", "v1", "v2"])
            views = site.forwarder.pool.servers
            server_pool.record_failed_response(views["s0"], time.monotonic())
            names = [f"r-{number}" for number in range(2, 8)]
            taken_up = [await take_up(site, request_id=name) for name in names]
            server_pool.record_failed_response(views["s1"], time.monotonic())
            refused = await take_up(site, request_id="r-9")
            return taken_up, refused, len(site.backends[0].seen)

    taken_up, refused, seen_count = asyncio.run(main())
    assert {status for status, _, _ in taken_up} == {200}
    # The first server got the stream's beginning only.
    assert (refused[0], seen_count) == (503, 1)


def forget_changes(site):
    """Let the list be unchanged for longer than any stream lasts."""
    listed_at_s = site.forwarder.known_streams.listed_at_s
    for pair in listed_at_s:
        listed_at_s[pair] -= 1000.0


def test_versions_of_a_list_that_has_not_changed_for_long_are_still_in_use():
    async def main():
        async with run_site(("v1", None), ("v2", None)) as site:
            forget_changes(site)
            return await take_up(site, "r-9")

    assert asyncio.run(main())[0] == 503


def test_version_is_in_use_from_the_last_list_that_had_it():
    async def main():
        async with run_site(("v1", None), ("v2", None)) as site:
            forget_changes(site)
            list_versions(site, ["v2"], site.backends[1:])
            return await take_up(site, "r-9")

    assert asyncio.run(main())[0] == 503


def reading(*versions, after_s=0.0):
    """Return a function that reads a record with these versions, None without any."""

    async def read_versions():
        await asyncio.sleep(after_s)
        return frozenset(("app", version) for version in versions) or None

    return read_versions


@pytest.mark.parametrize(
    ("recorded", "status"), [(["v1"], 200), (["v1", "v2"], 503), ([], 503)]
)
def test_router_with_an_incomplete_list_resumes_only_what_the_record_proves(
    recorded, status
):
    async def main():
        async with run_site(("v1", None), ("v1", None)) as site:
            site.forwarder.read_versions = reading(*recorded, after_s=0.05)
            found = await take_up(site, "r-9")
            return found, sum(len(backend.seen) for backend in site.backends)

    (found, answer_headers, _), seen_count = asyncio.run(main())
    assert (found, seen_count) == (status, int(status == 200))
    assert status == 200 or float(answer_headers["Retry-After"]) > 0.0


def test_known_stream_is_resumed_while_the_record_cannot_be_read():
    async def main():
        async with run_site(("v1", None)) as site:
            site.forwarder.read_versions = reading()
            resumption.apply_recorded(site.forwarder, frozenset({("app", "v1")}))
            await site.call()
            return await take_up(site)

    assert asyncio.run(main())[0] == 200


def test_stream_does_not_begin_at_a_version_before_it_is_recorded():
    async def main():
        async with run_site(("v1", None), *[("v2", None)] * 4) as site:
            site.forwarder.read_versions = reading("v1")
            resumption.apply_recorded(site.forwarder, frozenset({("app", "v1")}))
            names = [f"r-{number}" for number in range(10, 16)]
            before = [await site.call(given={headers.REQUEST_ID: n}) for n in names]
            pairs = resumption.unrecorded_versions(site.forwarder)
            resumption.apply_recorded(site.forwarder, pairs)
            names = [f"r-{number}" for number in range(20, 40)]
            after = [await site.call(given={headers.REQUEST_ID: n}) for n in names]
            return before, after

    before, after = asyncio.run(main())
    assert {frozenset(versions_in(body)) for *_, body in before} == {
        frozenset({b"data: v1"})
    }
    assert {b"data: v2"} in [versions_in(body) for *_, body in after]


def test_requests_that_are_no_resumable_streams_need_no_recorded_version():
    async def main():
        routes = (sites.at_most_once_route(),)
        answers = [sites.answering()]
        async with sites.run_site(answers, routes=routes, versions=["v1"]) as site:
            site.forwarder.read_versions = reading()
            return await site.call()

    assert asyncio.run(main())[0] == 200
