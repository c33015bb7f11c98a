"""A router process that all its parties take to its memory limit, and a planned stop.

Side by side: small calls, large responses, uploads, streams that are read slowly, and
clients and servers that send without end.
"""

import asyncio
import collections
import contextlib
import dataclasses
import functools
import json
import pathlib
import signal
import sys
import tempfile
import time

import aiohttp
import pytest
from aiohttp import web

from hickoryweir.entry.tests import test_flooding_servers as flooding
from hickoryweir.entry.tests import test_processes as processes
from hickoryweir.entry.tests import test_slow_readers as slow_readers
from hickoryweir.entry.tests import test_stops_beside_floods as stops
from hickoryweir.entry.tests import test_uploads
from hickoryweir.forwarding import headers
from hickoryweir.testing import processor_slots, uploads

LEAD_S = 5.0
UPLOAD_CLIENTS_COUNT = 20
LARGE_CLIENTS_COUNT = 8
SLOW_READERS_COUNT = 20
ENDLESS_CLIENTS_COUNT = 10
SLOW_READ_INTERVAL_S = 0.2
EVENT = b"data: " + b"x" * 16_000 + b"\n\n"
# More than the router buffers of a stream.
EVENTS_COUNT = 66
LARGE_STATUSES = {"200", "502", "503", "504"}
UPLOAD_STATUSES = {"200", "413", "503"}
UPLOAD_ROUTE = flooding.ROUTE.format(
    name="upload",
    service="{service}",
    execution="at_most_once",
    is_stream="no",
    timeout_s=flooding.LARGE_TIMEOUT_S,
)
EVENTS_ROUTE = flooding.ROUTE.format(
    name="events",
    service="sound",
    execution="at_most_once",
    is_stream="yes",
    timeout_s=flooding.LARGE_TIMEOUT_S,
)
TABLE = (
    flooding.TABLE.replace(
        UPLOAD_ROUTE.format(service="faulty"), UPLOAD_ROUTE.format(service="sound")
    )
    + EVENTS_ROUTE
)
# Form of the uploads, of the endless responses and of the endless requests.
ROWS = [
    ("1_mib-length", "events", "length"),
    ("4_mib-chunks", "length", "chunks"),
    ("4_mib-length", "one_event", "pipelined_bodies"),
]


@dataclasses.dataclass(frozen=True)
class Seen:
    """What one run shows.

    Attributes
    ----------
    returncode_before : int or None
        That of the router just before the stop; None if it ran.
    returncode : int or None
        That at the end of the grace; None if it still ran.
    lost : list
        Calls whose requests were read and had no answer.
    """

    peak: float
    returncode_before: int | None
    returncode: int | None
    small: collections.Counter
    large: collections.Counter
    uploads: collections.Counter
    streams: collections.Counter
    lost: list[str]


async def answer(request):
    """Answer uploads, streams and health checks, and the rest as beside floods."""
    if headers.REQUEST_ID not in request.headers:
        return web.Response()
    echoed = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
    if request.path.startswith("/upload/"):
        async for _ in request.content.iter_any():
            pass
        return web.Response(text="done", headers=echoed)
    if not request.path.startswith("/events/"):
        with contextlib.suppress(ConnectionError):
            return await flooding.answer(request)
        return web.Response()
    response = web.StreamResponse(headers=echoed)
    response.content_type = "text/event-stream"
    await response.prepare(request)
    with contextlib.suppress(ConnectionError):
        for _ in range(EVENTS_COUNT):
            await response.write(EVENT)
        await response.write_eof()
    return response


async def call_large_until_closed(port):
    """Ask for large responses from several clients until the port is closed."""
    calls = []
    timeout = aiohttp.ClientTimeout(total=2 * flooding.LARGE_TIMEOUT_S)

    async def run_client(session, number):
        framing = ("length", "chunks")[number % 2]
        url = f"http://{processes.ROUTER_HOST}:{port}/large/{framing}"
        count, outcome = 0, ""
        while outcome != stops.NOT_CONNECTED:
            call = stops.Call(f"l-{number}-{count}", time.monotonic())
            count += 1
            calls.append(call)
            sent = {"Host": "site.example", headers.REQUEST_ID: call.request_id}
            try:
                async with session.get(url, headers=sent) as response:
                    body = await response.read()
                outcome = str(response.status)
                if response.status == 200 and body != flooding.LARGE_BODY:
                    outcome = "truncated"
            except (aiohttp.ClientError, TimeoutError) as error:
                outcome = type(error).__name__
            call.outcome, call.ended_s = outcome, time.monotonic()

    async with aiohttp.ClientSession(timeout=timeout) as session:
        await asyncio.gather(
            *(run_client(session, number) for number in range(LARGE_CLIENTS_COUNT))
        )
    return calls


async def read_slowly(port, number, stopped):
    """Ask for one stream, read it slowly until `stopped`; return the call."""
    loop = asyncio.get_running_loop()
    call = stops.Call(f"e-{number}", time.monotonic())
    sock = await slow_readers.open_slow_client(port)
    try:
        lines = (
            "GET /events/x HTTP/1.1",
            "Host: site.example",
            f"{headers.REQUEST_ID}: {call.request_id}",
        )
        await loop.sock_sendall(sock, "\r\n".join((*lines, "", "")).encode())
        received = await loop.sock_recv(sock, slow_readers.READ_SIZE_BYTES)
        call.outcome = received.split()[1].decode() if received else stops.CLOSED
        call.ended_s = time.monotonic()
        while received and not stopped.is_set():
            await asyncio.sleep(SLOW_READ_INTERVAL_S)
            received = await loop.sock_recv(sock, slow_readers.READ_SIZE_BYTES)
    except ConnectionError as error:
        # Only the head is judged; the stop ends a stream that is read so slowly.
        call.outcome = call.outcome or type(error).__name__
        call.ended_s = call.ended_s or time.monotonic()
    finally:
        sock.close()
    return call


async def start_endless_clients(port, form):
    arguments = (processes.ROUTER_HOST, str(port), form, str(ENDLESS_CLIENTS_COUNT))
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "hickoryweir.testing.client_floods", *arguments),
        str(LEAD_S + stops.GRACE_S),
    )


async def stop_and_wait(router):
    """Stop a router as the platform does; return its end within the grace."""
    router.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(stops.GRACE_S + stops.LOSS_SLACK_S):
            return await router.wait()
    except TimeoutError:
        router.kill()
        return None


def find_lost_uploads(outcomes, received_ids):
    """Describe the uploads without an answer that the router had begun to read."""
    return [
        f"{outcome.result} {outcome.duration_s:.2f} s"
        for outcome in outcomes
        if not outcome.result.isdecimal()
        and outcome.result != stops.NOT_CONNECTED
        and (
            outcome.request_id in received_ids
            or outcome.duration_s > stops.LOSS_SLACK_S
        )
    ]


def count_outcomes(calls):
    return collections.Counter(call.outcome for call in calls)


async def measure(folder, upload_form, response_form, request_form):
    """Return what is seen of all parties until the router has stopped."""
    received_ids = set()

    async def answer_and_record(request):
        received_ids.add(request.headers.get(headers.REQUEST_ID))
        return await answer(request)

    async with (
        flooding.run_floods() as ports,
        flooding.run_router(
            folder, ports[response_form], table=TABLE, answer_sound=answer_and_record
        ) as (router, port),
        processor_slots.measure_alone(),
    ):
        sampling = asyncio.create_task(test_uploads.sample_peak_mb(router))
        small = asyncio.create_task(stops.call_until_closed(port))
        large = asyncio.create_task(call_large_until_closed(port))
        stopped = asyncio.Event()
        streams = [
            asyncio.create_task(read_slowly(port, number, stopped))
            for number in range(SLOW_READERS_COUNT)
        ]
        uploading = await test_uploads.start_clients(
            port, upload_form, UPLOAD_CLIENTS_COUNT, LEAD_S + stops.GRACE_S
        )
        endless = [
            await flooding.start_flood_clients(port, path, ENDLESS_CLIENTS_COUNT, True)
            for path in ("/plain/x", "/stream/x")
        ]
        endless.append(await start_endless_clients(port, request_form))
        await asyncio.sleep(LEAD_S)
        returncode_before = router.returncode
        returncode = await stop_and_wait(router)
        stopped.set()
        stdout, _ = await uploading.communicate()
        for process in endless:
            await process.wait()
        outcomes = [uploads.Outcome(**item) for item in json.loads(stdout)]
        small, large, *streams = await asyncio.gather(small, large, *streams)
        lost = stops.find_lost([*small, *large, *streams], received_ids)
        return Seen(
            await sampling,
            returncode_before,
            returncode,
            count_outcomes(small),
            count_outcomes(large),
            collections.Counter(outcome.result for outcome in outcomes),
            count_outcomes(streams),
            lost + find_lost_uploads(outcomes, received_ids),
        )


@functools.cache
def measure_once(upload_form, response_form, request_form):
    """Return what one run shows, which several tests judge."""
    with processor_slots.hold(), tempfile.TemporaryDirectory() as folder:
        return asyncio.run(
            measure(pathlib.Path(folder), upload_form, response_form, request_form)
        )


@pytest.mark.timing
@pytest.mark.parametrize(("upload_form", "response_form", "request_form"), ROWS)
def test_router_at_its_limit_does_not_end_by_itself(
    upload_form, response_form, request_form
):
    """Guards against a router that is killed because of all its parties together."""
    seen = measure_once(upload_form, response_form, request_form)
    assert seen.returncode_before is None, seen
    assert seen.returncode == 0, seen
    assert seen.peak < flooding.MAX_MEMORY_SHARE * flooding.MEMORY_MB, seen


@pytest.mark.timing
@pytest.mark.parametrize(("upload_form", "response_form", "request_form"), ROWS)
def test_router_at_its_limit_answers_what_it_has_read(
    upload_form, response_form, request_form
):
    """Guards against requests that end unanswered where memory is short."""
    seen = measure_once(upload_form, response_form, request_form)
    closed = {stops.NOT_CONNECTED, stops.CLOSED, "ClientOSError"}
    assert not seen.lost, seen
    assert seen.small["200"], seen
    assert seen.large["200"], seen
    assert seen.uploads.keys() & UPLOAD_STATUSES, seen
    assert seen.streams["200"], seen
    assert seen.large.keys() <= LARGE_STATUSES | closed, seen
    assert seen.uploads.keys() <= UPLOAD_STATUSES | closed, seen
