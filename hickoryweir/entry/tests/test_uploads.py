"""Router processes beside clients that upload large bodies."""

import asyncio
import collections
import contextlib
import dataclasses
import functools
import json
import math
import pathlib
import signal
import sys
import tempfile
import time

import aiohttp
import pytest

from hickoryweir.entry.tests import test_flooding_servers as flooding
from hickoryweir.entry.tests import test_processes as processes
from hickoryweir.entry.tests import test_stops_beside_floods as stops
from hickoryweir.forwarding import headers
from hickoryweir.testing import processor_slots, uploads

CLIENTS_COUNT = 40
PATH = "/upload/x"
NOT_RUN_RESULTS = frozenset({"413", "503"})
# In the middle of the uploads.
STOP_AFTER_S = 2.0
# Form, time that the server waits, and whether the router is stopped in the middle.
ROWS = [
    ("1_mib-length", 0.0, False),
    ("1_mib-chunks", 0.0, False),
    ("1_mib-length", 1.0, False),
    ("1_mib-slow", 0.0, False),
    ("4_mib-length", 0.0, False),
    ("4_mib-chunks", 0.0, False),
    ("4_mib-chunks", 1.0, False),
    ("4_mib-slow", 0.0, False),
    ("1_mib-length", 0.0, True),
    ("4_mib-length", 0.0, True),
]
RUNNING_ROWS = [row for row in ROWS if not row[-1]]
SMALL_BODY = b"x" * 1_024
# Form, time after which the server reads a body, and whether the router is stopped.
SMALL_BODY_ROWS = [
    ("4_mib-chunks", 1.0, False),
    ("1_mib-chunks-slow", 0.0, True),
]
# How calls end once the port is closed.
CLOSED_OUTCOMES = {stops.NOT_CONNECTED, stops.CLOSED, "ClientOSError"}


@dataclasses.dataclass(frozen=True)
class Seen:
    """What one run shows.

    Attributes
    ----------
    peak : float
        Largest resident size of the router in MB.
    received_ids : collections.Counter
        How often the server received each upload.
    """

    undisturbed: flooding.Calls
    disturbed: flooding.Calls
    peak: float
    returncode: int | None
    outcomes: list[uploads.Outcome]
    received_ids: collections.Counter


def describe(seen):
    results = collections.Counter(outcome.result for outcome in seen.outcomes)
    calls = flooding.describe(seen.undisturbed, seen.disturbed, seen.peak)
    return f"{calls}, uploads {dict(results)}"


@contextlib.asynccontextmanager
async def run_server(wait_s, read_after_s=0.0):
    """Run the server of uploads; yield its port and what ends and reports it."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "hickoryweir.testing.uploads"),
        *("serve", flooding.HOST, str(wait_s), str(read_after_s)),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=2**24,
    )

    async def end():
        process.stdin.close()
        return collections.Counter(json.loads(await process.stdout.readline()))

    try:
        yield int(await process.stdout.readline()), end
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def start_clients(port, form, count, for_s):
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "hickoryweir.testing.uploads", "call"),
        *(processes.ROUTER_HOST, str(port), PATH, form, str(count), str(for_s)),
        stdout=asyncio.subprocess.PIPE,
    )


async def sample_peak_mb(router):
    """Return the largest resident size of a process, which may end."""
    peak = 0.0
    while router.returncode is None:
        with contextlib.suppress(OSError, TypeError):
            peak = flooding.peak_mb(router)
        await asyncio.sleep(0.02)
    return peak


async def measure(folder, form, wait_s, is_stopped):
    """Return what is seen of uploads, of small calls beside them and of the router."""
    async with (
        run_server(wait_s) as (server_port, end),
        flooding.run_router(folder, server_port) as (router, port),
        processor_slots.measure_alone(),
    ):
        undisturbed = await flooding.call_sound(port, flooding.UNDISTURBED_S)
        sampling = asyncio.create_task(sample_peak_mb(router))
        clients = await start_clients(port, form, CLIENTS_COUNT, flooding.DISTURBED_S)
        disturbed = flooding.Calls()
        if is_stopped:
            await asyncio.sleep(STOP_AFTER_S)
            router.send_signal(signal.SIGTERM)
            peak = await sampling
        else:
            disturbed = await flooding.call_sound(port, flooding.DISTURBED_S)
            peak = flooding.peak_mb(router) if router.returncode is None else math.inf
        stdout, _ = await clients.communicate()
        sampling.cancel()
        outcomes = [uploads.Outcome(**item) for item in json.loads(stdout)]
        received_ids = await end()
        returncode = router.returncode
    return Seen(undisturbed, disturbed, peak, returncode, outcomes, received_ids)


@functools.cache
def measure_once(form, wait_s, is_stopped):
    """Return what one run shows, which several tests judge."""
    with processor_slots.hold(), tempfile.TemporaryDirectory() as folder:
        return asyncio.run(measure(pathlib.Path(folder), form, wait_s, is_stopped))


@pytest.mark.timing
@pytest.mark.parametrize(("form", "wait_s", "is_stopped"), ROWS)
def test_router_lives_within_its_memory_beside_uploads(form, wait_s, is_stopped):
    """Guards against a router that is killed because of sound uploads."""
    seen = measure_once(form, wait_s, is_stopped)
    assert seen.returncode == (0 if is_stopped else None), describe(seen)
    assert not seen.disturbed.failures, describe(seen)
    assert seen.peak < flooding.MAX_MEMORY_SHARE * flooding.MEMORY_MB, describe(seen)


@pytest.mark.timing
@pytest.mark.parametrize(("form", "wait_s", "is_stopped"), ROWS)
def test_every_upload_is_answered(form, wait_s, is_stopped):
    """Guards against a response that is lost with its connection."""
    seen = measure_once(form, wait_s, is_stopped)
    allowed = {"200"} | NOT_RUN_RESULTS
    if is_stopped:
        # The port is closed for clients that come back.
        allowed |= {"ClientConnectorError"}
    results = collections.Counter(outcome.result for outcome in seen.outcomes)
    assert results["200"], describe(seen)
    assert results.keys() <= allowed, describe(seen)


@pytest.mark.timing
@pytest.mark.parametrize(("form", "wait_s", "is_stopped"), ROWS)
def test_refused_uploads_have_not_run(form, wait_s, is_stopped):
    """Guards against a refusal that is untrue or says no time to come back."""
    seen = measure_once(form, wait_s, is_stopped)
    refused = [
        outcome for outcome in seen.outcomes if outcome.result in NOT_RUN_RESULTS
    ]
    assert all(outcome.has_retry_after for outcome in refused), describe(seen)
    refused_ids = {outcome.request_id for outcome in refused}
    assert refused_ids.isdisjoint(seen.received_ids), describe(seen)
    assert max(seen.received_ids.values()) == 1, describe(seen)


@pytest.mark.timing
@pytest.mark.parametrize(("form", "wait_s", "is_stopped"), RUNNING_ROWS)
def test_small_calls_keep_their_rate_beside_uploads(form, wait_s, is_stopped):
    """Guards against a router that stands still because of sound uploads."""
    seen = measure_once(form, wait_s, is_stopped)
    flooding.check_rate(seen.undisturbed, seen.disturbed, seen.peak)


async def small_chunks():
    yield SMALL_BODY


async def call_with_small_bodies(port, for_s):
    """Post small bodies in chunks for a time, or until the port is closed.

    Returns the calls that began within the time, and how the others ended.
    """
    calls, end_s = flooding.Calls(), time.monotonic() + for_s
    url = f"http://{processes.ROUTER_HOST}:{port}/sound/x"

    async def run_client(session, number):
        while time.monotonic() < end_s:
            began_s = time.monotonic()
            sent = {
                "Host": "site.example",
                headers.REQUEST_ID: f"b-{number}-{began_s:.6f}",
            }
            try:
                async with session.post(
                    url, headers=sent, data=small_chunks()
                ) as response:
                    await response.read()
                if response.status == 200:
                    calls.durations_s.append(time.monotonic() - began_s)
                else:
                    calls.failures.append(str(response.status))
            except (aiohttp.ClientError, TimeoutError) as error:
                calls.failures.append(type(error).__name__)
                if type(error).__name__ == stops.NOT_CONNECTED:
                    return

    timeout = aiohttp.ClientTimeout(total=flooding.CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        numbers = range(flooding.SOUND_CLIENTS_COUNT)
        await asyncio.gather(*(run_client(session, number) for number in numbers))
    return calls


async def measure_small_bodies(folder, form, read_after_s, is_stopped):
    """Return what is seen of small bodies before and beside uploads, and of these.

    With a stop, the calls after it are returned too.
    """
    async with (
        run_server(0.0, read_after_s) as (server_port, end),
        flooding.run_router(folder, server_port) as (router, port),
        processor_slots.measure_alone(),
    ):
        undisturbed = await call_with_small_bodies(port, flooding.UNDISTURBED_S)
        sampling = asyncio.create_task(sample_peak_mb(router))
        clients = await start_clients(port, form, CLIENTS_COUNT, flooding.DISTURBED_S)
        for_s = STOP_AFTER_S if is_stopped else flooding.DISTURBED_S
        disturbed, after = await call_with_small_bodies(port, for_s), flooding.Calls()
        if is_stopped:
            router.send_signal(signal.SIGTERM)
            after = await call_with_small_bodies(port, flooding.DISTURBED_S)
            peak = await sampling
        else:
            peak = flooding.peak_mb(router) if router.returncode is None else math.inf
        stdout, _ = await clients.communicate()
        sampling.cancel()
        outcomes = [uploads.Outcome(**item) for item in json.loads(stdout)]
        received_ids = await end()
        returncode = router.returncode
    seen = Seen(undisturbed, disturbed, peak, returncode, outcomes, received_ids)
    return seen, for_s, after


@functools.cache
def measure_small_bodies_once(form, read_after_s, is_stopped):
    """Return what one run shows, which several tests judge."""
    with processor_slots.hold(), tempfile.TemporaryDirectory() as folder:
        return asyncio.run(
            measure_small_bodies(pathlib.Path(folder), form, read_after_s, is_stopped)
        )


@pytest.mark.timing
@pytest.mark.parametrize(("form", "read_after_s", "is_stopped"), SMALL_BODY_ROWS)
def test_small_bodies_do_not_wait_behind_uploads(form, read_after_s, is_stopped):
    """Guards against calls out of their time while uploads hold the room for bodies."""
    seen, for_s, after = measure_small_bodies_once(form, read_after_s, is_stopped)
    shown = f"{describe(seen)}; after the stop {after.failures}, {after.p99_s:.3f} s"
    alone = len(seen.undisturbed.durations_s) / flooding.UNDISTURBED_S
    served_count = len(seen.disturbed.durations_s)
    assert not seen.disturbed.failures, shown
    assert served_count >= flooding.MIN_SERVED_SHARE * alone * for_s, shown
    assert seen.disturbed.p99_s < flooding.MAX_P99_S, shown
    assert set(after.failures) <= CLOSED_OUTCOMES, shown
    assert not after.durations_s or after.p99_s < flooding.MAX_P99_S, shown


@pytest.mark.timing
@pytest.mark.parametrize(("form", "read_after_s", "is_stopped"), SMALL_BODY_ROWS)
def test_uploads_beside_small_bodies_are_answered(form, read_after_s, is_stopped):
    """Guards against room for small bodies that costs memory or uploads."""
    seen, _, _ = measure_small_bodies_once(form, read_after_s, is_stopped)
    results = collections.Counter(outcome.result for outcome in seen.outcomes)
    allowed = (
        {"200"} | NOT_RUN_RESULTS | ({stops.NOT_CONNECTED} if is_stopped else set())
    )
    assert seen.returncode == (0 if is_stopped else None), describe(seen)
    assert seen.peak < flooding.MAX_MEMORY_SHARE * flooding.MEMORY_MB, describe(seen)
    assert results["200"], describe(seen)
    assert results.keys() <= allowed, describe(seen)


@pytest.mark.parametrize("count", [1, 3])
@pytest.mark.parametrize("form", ["largest-length", "largest-slow"])
def test_largest_bodies_are_served(tmp_path, form, count):
    """Guards against a bound of the memory that costs bodies of the largest size."""

    async def main():
        async with (
            run_server(0.0) as (server_port, _),
            flooding.run_router(tmp_path, server_port) as (router, port),
        ):
            clients = await start_clients(port, form, count, 0.0)
            stdout, _ = await clients.communicate()
            return json.loads(stdout), flooding.peak_mb(router)

    outcomes, peak = asyncio.run(main())
    assert [outcome["result"] for outcome in outcomes] == ["200"] * count
    assert peak < flooding.MAX_MEMORY_SHARE * flooding.MEMORY_MB
