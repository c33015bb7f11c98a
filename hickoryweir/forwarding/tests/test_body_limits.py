"""Bodies of requests that a router holds where room is not divided among accounts."""

import asyncio
import contextlib
import dataclasses
import math
import socket
import struct

import pytest

from hickoryweir.forwarding import headers
from hickoryweir.forwarding.tests import sites
from hickoryweir.forwarding_policy import held_bytes
from hickoryweir.routes import matching
from hickoryweir.routes.tests import tables

BODY = b"x" * 500_000
FITTING_COUNT = 10
# As many bodies fit, each held twice.
FITTING_SIZE_BYTES = FITTING_COUNT * held_bytes.BODY_COPIES_COUNT * len(BODY)
CLIENTS_COUNT = 30
# Of the time of a request, in which its body may wait for room.
SHORT_WAIT_SHARE = 0.05
WAIT_S = 3.0
# More than a body that does not wait behind larger ones; the kernel receives it whole.
WAITING_SIZE_BYTES = 160_000
# Room for a few bodies of the largest size beside some that are read in part.
LARGEST_SIZE_BYTES = 900_000
MIXED_SIZE_BYTES = 6_000_000
# Bodies that block each other are refused after half the time of a request.
STALL_S = 8.0
# As many bodies may wait for it.
WAITING_COUNT = 12
# Within which a client that has left is noticed.
LEFT_S = 0.4
SMALL_BODY = b"x" * 1_000
# Parts of a small body come so far apart.
PART_PAUSE_S = 0.1
# More than two of them.
SMALL_WAIT_S = 1.0
PRIORITIES = {"urgent": 0, "later": 2}
ROUTES = tuple(
    dataclasses.replace(
        tables.make_route(name, f"/{name}/", allows_anonymous=True, timeout_s=20.0),
        priority=priority,
    )
    for name, priority in PRIORITIES.items()
)


def make_limits(bodies_size_bytes):
    """Return bounds with a part for the bodies of requests."""
    process_size_bytes = math.ceil(bodies_size_bytes / held_bytes.BODIES_SHARE)
    limits = held_bytes.derive_vm_limits(0.0)
    return dataclasses.replace(limits, process_size_bytes=process_size_bytes)


@contextlib.asynccontextmanager
async def run_site(bodies_size_bytes):
    """Run a router with a server that answers once it is released."""
    release = asyncio.Event()

    async def answer(request, body):
        await release.wait()
        return await sites.answering()(request, body)

    async with sites.run_site([answer], routes=ROUTES) as site:
        site.forwarder.held_limits = make_limits(bodies_size_bytes)
        yield site, release


async def chunks():
    """Yield a body whose length is not stated."""
    for start in range(0, len(BODY), 50_000):
        yield BODY[start : start + 50_000]
        await asyncio.sleep(0)


async def slow_chunks():
    """Yield a body that is read in part, and the rest of it later."""
    yield bytes(held_bytes.USUAL_BODY_SIZE_BYTES + 1_000)
    await asyncio.sleep(1.0)
    yield bytes(LARGEST_SIZE_BYTES // 2)


async def small_chunks():
    """Yield a small body whose length is not stated, in parts."""
    for _ in range(2):
        yield SMALL_BODY
        await asyncio.sleep(PART_PAUSE_S)


def send(site, name, number, data=BODY):
    given = {headers.REQUEST_ID: f"{name}-{number}"}
    return asyncio.create_task(site.call(path=f"/{name}/x", given=given, data=data))


def use_largest_body(forwarder, max_body_size_bytes):
    """Bring a table with another size of the largest body into force."""
    table = forwarder.route_index.table
    limits = dataclasses.replace(table.limits, max_body_size_bytes=max_body_size_bytes)
    changed = dataclasses.replace(table, limits=limits)
    forwarder.route_index = matching.make_index(changed)


def held_size_bytes(site):
    return held_bytes.BODY_COPIES_COUNT * sum(
        request.held.body_size_bytes
        for request in site.forwarder.open_requests.values()
    )


def runs(site):
    return [
        request.headers.get(headers.REQUEST_ID) for request, _ in site.backends[0].seen
    ]


@pytest.fixture
def short_waits(monkeypatch):
    """Refuse bodies without room after a second."""
    monkeypatch.setattr(held_bytes, "BODY_WAIT_SHARE", SHORT_WAIT_SHARE)


@pytest.mark.usefixtures("short_waits")
@pytest.mark.parametrize("has_length", [True, False])
def test_bodies_beyond_the_bound_are_refused_and_not_run(has_length):
    """Guards against a router that is killed for the bodies of slow requests."""

    async def main():
        async with run_site(FITTING_SIZE_BYTES) as (site, release):
            found = []
            for number in range(CLIENTS_COUNT):
                data = BODY if has_length else chunks()
                found.append(send(site, "urgent", number, data))
                await asyncio.wait({found[-1]}, timeout=0.1)
            most_size_bytes = held_size_bytes(site)
            await asyncio.wait(found, timeout=WAIT_S)
            most_size_bytes = max(most_size_bytes, held_size_bytes(site))
            release.set()
            return await asyncio.gather(*found), most_size_bytes, runs(site)

    found, most_size_bytes, run_ids = asyncio.run(main())
    refused = {
        f"urgent-{number}": given
        for number, (status, given, _) in enumerate(found)
        if status == 503
    }
    assert len(refused) == CLIENTS_COUNT - FITTING_COUNT
    assert all(float(given["Retry-After"]) > 0.0 for given in refused.values())
    assert refused.keys().isdisjoint(run_ids)
    assert most_size_bytes <= FITTING_SIZE_BYTES


@pytest.mark.usefixtures("short_waits")
def test_urgent_body_is_not_refused_for_the_bytes_of_others():
    """Guards against paid work that is refused while summaries fill the bound."""
    bodies_size_bytes = math.ceil(FITTING_SIZE_BYTES / held_bytes.BODY_SHARES[0])

    async def main():
        async with run_site(bodies_size_bytes) as (site, release):
            later = [send(site, "later", number) for number in range(CLIENTS_COUNT)]
            await asyncio.wait(later, timeout=WAIT_S)
            urgent = [send(site, "urgent", number) for number in range(FITTING_COUNT)]
            await asyncio.wait(urgent, timeout=1.0)
            most_size_bytes = held_size_bytes(site)
            release.set()
            found = await asyncio.gather(*urgent), await asyncio.gather(*later)
            return *found, most_size_bytes

    urgent, later, most_size_bytes = asyncio.run(main())
    assert {status for status, _, _ in urgent} == {200}
    assert {status for status, _, _ in later} == {200, 503}
    assert most_size_bytes <= bodies_size_bytes


@pytest.mark.parametrize("has_length", [True, False])
def test_bodies_beyond_the_bound_wait_and_are_served_by_priority(has_length):
    """Guards against uploads that are refused and come back at once."""

    async def main():
        async with run_site(FITTING_SIZE_BYTES) as (site, release):
            found, most_size_bytes = [], 0
            for name in ("later", "urgent"):
                for number in range(FITTING_COUNT):
                    data = BODY if has_length else chunks()
                    found.append(send(site, name, number, data))
                await asyncio.wait(found, timeout=0.5)
            first_ids = runs(site)
            release.set()
            while not all(call.done() for call in found):
                most_size_bytes = max(most_size_bytes, held_size_bytes(site))
                await asyncio.sleep(0.001)
            return await asyncio.gather(*found), most_size_bytes, first_ids, runs(site)

    found, most_size_bytes, first_ids, run_ids = asyncio.run(main())
    assert {status for status, _, _ in found} == {200}
    assert len(run_ids) == len(set(run_ids)) == 2 * FITTING_COUNT
    assert most_size_bytes <= FITTING_SIZE_BYTES
    waited_ids = run_ids[len(first_ids) :]
    urgent_ids = [run_id for run_id in waited_ids if run_id.startswith("urgent")]
    assert waited_ids[: len(urgent_ids)] == urgent_ids


@pytest.mark.parametrize("is_reset", [False, True])
def test_body_that_waits_is_not_forwarded_after_its_client_has_left(is_reset):
    """Guards against clients that left: run later, and in the way of other bodies."""
    head = (
        "POST /urgent/x HTTP/1.1\r\nHost: site.example\r\n"
        f"{headers.REQUEST_ID}: left\r\n"
        f"Content-Length: {WAITING_SIZE_BYTES}\r\n\r\n"
    )

    async def main():
        async with run_site(FITTING_SIZE_BYTES) as (site, release):
            found = [send(site, "urgent", number) for number in range(FITTING_COUNT)]
            await asyncio.wait(found, timeout=0.5)
            _, writer = await asyncio.open_connection(sites.HOST, site.port)
            writer.write(head.encode() + b"x" * WAITING_SIZE_BYTES)
            await sites.wait_until(lambda: site.forwarder.waiting_bodies)
            await asyncio.sleep(0.1)
            if is_reset:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()
            await asyncio.sleep(LEFT_S)
            waiting_count = len(site.forwarder.waiting_bodies)
            release.set()
            statuses = {status for status, _, _ in await asyncio.gather(*found)}
            await asyncio.sleep(0.2)
            return waiting_count, statuses, runs(site)

    waiting_count, statuses, run_ids = asyncio.run(main())
    assert waiting_count == 0
    assert statuses == {200}
    assert "left" not in run_ids


def test_body_with_a_length_and_those_without_do_not_wait_for_each_other():
    """Guards against a large upload that stops all uploads until its time is over."""

    async def main():
        async with run_site(MIXED_SIZE_BYTES) as (site, release):
            release.set()
            use_largest_body(site.forwarder, LARGEST_SIZE_BYTES)
            found = []
            for number in range(WAITING_COUNT):
                data = slow_chunks()
                if number == WAITING_COUNT // 2:
                    data = bytes(LARGEST_SIZE_BYTES)
                found.append(send(site, "later", number, data))
                await asyncio.sleep(0.02)
            done, _ = await asyncio.wait(found, timeout=STALL_S)
            statuses = [call.result()[0] for call in done]
            for call in found:
                call.cancel()
            return statuses

    assert asyncio.run(main()) == [200] * WAITING_COUNT


def test_bodies_without_a_length_that_are_read_in_part_leave_room_for_one():
    """Guards against uploads that all wait for each other's room."""

    async def main():
        async with run_site(MIXED_SIZE_BYTES) as (site, release):
            release.set()
            use_largest_body(site.forwarder, LARGEST_SIZE_BYTES)
            found = []
            for number in range(CLIENTS_COUNT):
                found.append(send(site, "urgent", number, slow_chunks()))
            done, _ = await asyncio.wait(found, timeout=STALL_S)
            statuses = [call.result()[0] for call in done]
            for call in found:
                call.cancel()
            return statuses

    statuses = asyncio.run(main())
    assert len(statuses) == CLIENTS_COUNT
    assert statuses.count(200) >= CLIENTS_COUNT // 2


@pytest.mark.parametrize("has_length", [True, False])
@pytest.mark.parametrize("name", PRIORITIES)
def test_small_body_does_not_wait_while_uploads_hold_all_room(name, has_length):
    """Guards against small calls that wait for slow servers of uploads."""

    async def main():
        async with run_site(FITTING_SIZE_BYTES) as (site, release):
            uploads = [send(site, "urgent", number) for number in range(CLIENTS_COUNT)]
            await asyncio.wait(uploads, timeout=0.5)
            data = SMALL_BODY if has_length else small_chunks()
            small = send(site, name, "small", data)
            await asyncio.wait({small}, timeout=SMALL_WAIT_S)
            run_ids = runs(site)
            release.set()
            await asyncio.gather(small, *uploads)
            return run_ids

    assert f"{name}-small" in asyncio.run(main())
