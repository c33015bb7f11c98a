"""Responses in a router whose VM has little memory, divided among no accounts."""

import asyncio
import contextlib
import dataclasses
import math

import pytest
from aiohttp import web

from hickoryweir.forwarding import exchange, headers, server_pool
from hickoryweir.forwarding.tests import sites
from hickoryweir.forwarding_policy import held_bytes
from hickoryweir.routes import model
from hickoryweir.routes.tests import tables

SMALL_VM_MB = 128.0
CLIENTS_COUNT = 100
ROUTES_COUNT = 40
BODY = b"x" * 4_000
TEXT_SIZE_BYTES = 20_000
LARGE_COUNT = 12
STALLED_COUNT = 40
LARGE = b"x" * exchange.MAX_BUFFERED_RESPONSE_SIZE_BYTES
TIMEOUT_S = 20.0
PIECE_SIZE_BYTES = 64 * 1024
# Two of the responses below fit together.
LITTLE_ROOM_SIZE_BYTES = 8_900_000
HELD_SIZE_BYTES = 3_800_000


def make_route(name, **changes):
    options = {
        "allows_anonymous": True,
        "timeout_s": TIMEOUT_S,
        "max_attempts_count": 1,
    }
    return tables.make_route(name, f"/{name}/", **(options | changes))


def begin_response(request):
    """Return a response without a length, which is sent in chunks."""
    given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
    return web.StreamResponse(headers=given)


@contextlib.asynccontextmanager
async def run_site(answer, routes, limits):
    async with sites.run_site(
        [answer], routes=routes, buffer_size_bytes=limits.socket_size_bytes
    ) as site:
        site.forwarder.held_limits = limits
        yield site


def send(site, path, number, **options):
    given = {headers.REQUEST_ID: f"r-{number}"}
    return asyncio.create_task(site.call(path=path, given=given, **options))


def read_size_bytes(site):
    """Return what the router has read of all responses."""
    return sum(
        request.held.response_size_bytes
        for request in site.forwarder.open_requests.values()
    )


def given_up_counts(site):
    """Return how many responses were given up, by bound."""
    (family,) = site.forwarder.metrics.given_up_responses.collect()
    return {
        sample.labels["bound"]: sample.value
        for sample in family.samples
        if sample.name.endswith("_total")
    }


@pytest.mark.parametrize("execution", list(model.Execution))
def test_light_load_on_a_small_vm_is_never_refused_for_memory(execution):
    """Guards against bounds that refuse what a router could serve without them."""
    is_stream = execution is model.Execution.RESUMABLE_STREAM
    routes = tuple(
        make_route(f"new-{number}", execution=execution, is_stream=is_stream)
        for number in range(ROUTES_COUNT)
    )
    most_open = 0

    async def main():
        release = asyncio.Event()

        async def answer(request, body):
            await release.wait()
            text = "data: " + "x" * TEXT_SIZE_BYTES + "\n\n"
            given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
            return web.Response(
                text=text, headers=given, content_type="text/event-stream"
            )

        limits = held_bytes.derive_vm_limits(SMALL_VM_MB)
        async with run_site(answer, routes, limits) as site:
            found = [
                send(site, f"/new-{number % ROUTES_COUNT}/x", number, data=BODY)
                for number in range(CLIENTS_COUNT)
            ]
            await sites.wait_until(lambda: len(site.backends[0].seen) == CLIENTS_COUNT)
            nonlocal most_open
            most_open = len(site.forwarder.open_requests)
            release.set()
            return await asyncio.gather(*found), given_up_counts(site)

    found, counts = asyncio.run(main())
    assert most_open == CLIENTS_COUNT
    assert {status for status, _, _ in found} == {200}
    assert all(len(body) > TEXT_SIZE_BYTES for _, _, body in found)
    assert not counts


@pytest.mark.parametrize("has_length", [True, False])
def test_large_responses_at_once_arrive_whole_in_a_small_vm(has_length):
    """Guards against sound responses that are given up or wait for each other."""

    async def answer(request, body):
        if has_length:
            given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
            return web.Response(body=LARGE, headers=given)
        response = begin_response(request)
        await response.prepare(request)
        for start in range(0, len(LARGE), PIECE_SIZE_BYTES):
            await response.write(LARGE[start : start + PIECE_SIZE_BYTES])
        return response

    most_size_bytes = 0

    async def main():
        limits = held_bytes.derive_vm_limits(SMALL_VM_MB)
        async with run_site(answer, (make_route("chat"),), limits) as site:
            found = [send(site, "/chat/x", number) for number in range(LARGE_COUNT)]

            async def watch():
                nonlocal most_size_bytes
                while True:
                    most_size_bytes = max(
                        most_size_bytes,
                        sum(
                            max(
                                request.held.reserved_size_bytes,
                                request.held.response_size_bytes,
                            )
                            for request in site.forwarder.open_requests.values()
                        ),
                    )
                    await asyncio.sleep(0.001)

            watching = asyncio.create_task(watch())
            try:
                return await asyncio.gather(*found), limits, given_up_counts(site)
            finally:
                watching.cancel()

    found, limits, counts = asyncio.run(main())
    assert [status for status, _, _ in found] == [200] * LARGE_COUNT
    assert all(body == LARGE for _, _, body in found)
    usual_size_bytes = LARGE_COUNT * held_bytes.USUAL_RESPONSE_SIZE_BYTES
    assert (
        len(LARGE) <= most_size_bytes < limits.responses_size_bytes + usual_size_bytes
    )
    assert not counts


def test_least_urgent_response_is_given_up_for_an_urgent_one():
    """Guards against urgent responses that wait for less urgent ones in vain.

    Nor may the server be blamed for the room that others take.
    """
    routes = tuple(
        make_route(name, priority=priority)
        for priority, name in enumerate(("urgent", "usual", "later"))
    )

    async def main():
        async def answer(request, body):
            if request.path.startswith("/urgent/"):
                given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
                return web.Response(body=LARGE, headers=given)
            response = begin_response(request)
            await response.prepare(request)
            with contextlib.suppress(ConnectionError):
                await response.write(b"x" * HELD_SIZE_BYTES)
                await asyncio.sleep(TIMEOUT_S)
            return response

        size_bytes = math.ceil(LITTLE_ROOM_SIZE_BYTES / (1 - held_bytes.BODIES_SHARE))
        limits = dataclasses.replace(
            held_bytes.derive_vm_limits(0.0), process_size_bytes=size_bytes
        )
        async with run_site(answer, routes, limits) as site:
            held = [send(site, "/later/x", 0)]
            await sites.wait_until(lambda: read_size_bytes(site) == HELD_SIZE_BYTES)
            held.append(send(site, "/usual/x", 1))
            await sites.wait_until(lambda: read_size_bytes(site) == 2 * HELD_SIZE_BYTES)
            status, _, body = await send(site, "/urgent/x", 2)
            are_done = [task.done() for task in held]
            later_status, _, _ = await held[0]
            held[1].cancel()
            (view,) = site.forwarder.pool.by_service["app"]
            known_lost_at_s = server_pool.ServerView(view.listed).lost_at_s
            is_blamed = view.lost_at_s != known_lost_at_s
            found = status, len(body), later_status
            return found, are_done, given_up_counts(site), is_blamed

    found, are_done, counts, is_blamed = asyncio.run(main())
    assert found == (200, len(LARGE), 502)
    assert are_done == [True, False]
    assert counts == {"memory": 1}
    assert not is_blamed


def test_response_waits_for_no_room_of_servers_that_send_nothing():
    """Guards against room that is kept for bytes which a faulty server withholds."""
    routes = (make_route("stalled"), make_route("chat"))

    async def main():
        release = asyncio.Event()

        async def answer(request, body):
            given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
            if request.path.startswith("/chat/"):
                return web.Response(body=LARGE, headers=given)
            response = begin_response(request)
            response.content_length = len(LARGE)
            await response.prepare(request)
            with contextlib.suppress(ConnectionError):
                await response.write(LARGE[:100])
                await release.wait()
                await response.write(LARGE[100:])
            return response

        limits = held_bytes.derive_vm_limits(SMALL_VM_MB)
        async with run_site(answer, routes, limits) as site:
            stalled = [send(site, "/stalled/x", n) for n in range(LARGE_COUNT)]
            await sites.wait_until(lambda: read_size_bytes(site) > 0)
            sound = send(site, "/chat/x", LARGE_COUNT)
            await asyncio.wait([sound], timeout=TIMEOUT_S / 4)
            is_served = sound.done()
            # Nor is a response given up because its server was silent for a while.
            release.set()
            found = await asyncio.gather(sound, *stalled)
            return is_served, found, given_up_counts(site)

    is_served, found, counts = asyncio.run(main())
    assert is_served
    assert [status for status, _, _ in found] == [200] * (LARGE_COUNT + 1)
    assert all(body == LARGE for _, _, body in found)
    assert not counts


def test_silent_servers_get_no_room_in_turn_while_a_sound_response_waits():
    """Guards against a wait that grows with the number of silent servers."""
    routes = (make_route("stalled"), make_route("chat"))

    async def main():
        async def answer(request, body):
            given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
            if request.path.startswith("/chat/"):
                return web.Response(body=LARGE, headers=given)
            response = begin_response(request)
            response.content_length = len(LARGE)
            await response.prepare(request)
            await response.write(LARGE[:100])
            await asyncio.sleep(TIMEOUT_S)
            return response

        limits = held_bytes.derive_vm_limits(SMALL_VM_MB)
        async with run_site(answer, routes, limits) as site:
            stalled = [send(site, "/stalled/x", n) for n in range(STALLED_COUNT)]
            await sites.wait_until(lambda: len(site.forwarder.reading) == STALLED_COUNT)
            sound = send(site, "/chat/x", STALLED_COUNT)
            await asyncio.wait([sound], timeout=TIMEOUT_S / 4)
            is_served = sound.done()
            for call in (sound, *stalled):
                call.cancel()
            await asyncio.gather(sound, *stalled, return_exceptions=True)
            return is_served, given_up_counts(site)

    is_served, counts = asyncio.run(main())
    assert is_served
    assert not counts


def test_response_beyond_its_bound_is_not_read_and_counted():
    """Guards against memory that is kept for a response that will be given up."""
    routes = (make_route("chat"),)

    async def main():
        async def answer(request, body):
            given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
            return web.Response(body=LARGE + b"x", headers=given)

        limits = held_bytes.derive_vm_limits(SMALL_VM_MB)
        async with run_site(answer, routes, limits) as site:
            status, _, _ = await site.call()
            return status, given_up_counts(site), site.forwarder.reading

    status, counts, reading = asyncio.run(main())
    assert (status, counts, reading) == (502, {"stated length": 1}, {})
