"""Simulated callers and an operator of the soak test, and their observations.

A caller keeps using the same router over one persistent connection until a request
fails, as clients with keep-alive connections do.
"""

import asyncio
import dataclasses
import random
import re
import time

import aiohttp

from hickoryweir.forwarding import headers
from hickoryweir.testing.soak import backends
from hickoryweir.testing.soak import cluster as clusters

CALL_TIMEOUT_S = 15.0
PAUSE_S = 0.05
TABLE_INTERVAL_S = 0.7
READ_INTERVAL_S = 0.5
OPERATOR_TIMEOUT_S = 3.0
CONNECTION_ERRORS = (aiohttp.ClientError, ConnectionError, TimeoutError)
KINDS = ("safe", "once", "stream")
TABLE = """[table]
version = {version}

[service app]
slots_count = 64

[route safe]
host = soak.example
path_prefix = /safe/
services = app
execution = idempotent
timeout_s = 8
max_attempts_count = 3
allows_anonymous = yes

[route once]
host = soak.example
path_prefix = /once/
services = app
execution = at_most_once
timeout_s = 8
allows_anonymous = yes

[route stream]
host = soak.example
path_prefix = /stream/
services = app
execution = resumable_stream
is_stream = yes
timeout_s = 10
max_attempts_count = 3
allows_anonymous = yes

[route v{version}]
host = soak.example
path_prefix = /v{version}/
services = app
execution = idempotent
timeout_s = 8
allows_anonymous = yes
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request and its outcome.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no complete answer was received.
    is_correct : bool
        Whether the answer is the only correct one for this request.
    error : str
        Class name of the error that prevented an answer; empty if there was none.
    """

    kind: str
    request_id: str
    router: str
    started_s: float
    ended_s: float
    status: int
    is_correct: bool = False
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class VersionReading:
    """A table version reported by a replica or a router, with the time of the query."""

    host: str
    process_id: int
    asked_s: float
    version: int


@dataclasses.dataclass(slots=True)
class Observations:
    """Observations of the callers and the operator.

    Attributes
    ----------
    accepted : list of tuple
        Versions and the times of their acknowledgement.
    acknowledged : asyncio.Event
        Set at each acknowledgement.
    read_back, in_force : list of VersionReading
        Versions read back from replicas, and those in force at routers.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    accepted: list[tuple[int, float]] = dataclasses.field(default_factory=list)
    acknowledged: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    read_back: list[VersionReading] = dataclasses.field(default_factory=list)
    in_force: list[VersionReading] = dataclasses.field(default_factory=list)


async def send_calls(
    name: str,
    cluster: clusters.Cluster,
    observations: Observations,
    generator: random.Random,
) -> None:
    """Send requests one after the other until cancelled."""
    number = 0
    while True:
        router = generator.choice(cluster.routers)
        async with make_session(CALL_TIMEOUT_S) as session:
            if not await clusters.is_ready(session, cluster, router):
                await asyncio.sleep(PAUSE_S)
                continue
            while True:
                number += 1
                kind = generator.choice(KINDS)
                call = await send(session, cluster, router, kind, f"{name}-{number}")
                observations.calls.append(call)
                if call.error:
                    break
                await asyncio.sleep(PAUSE_S)


def make_session(timeout_s: float) -> aiohttp.ClientSession:
    """Return a session that keeps one connection to each address."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit_per_host=1),
        timeout=aiohttp.ClientTimeout(total=timeout_s),
    )


async def send(
    session: aiohttp.ClientSession,
    cluster: clusters.Cluster,
    router: clusters.Member,
    kind: str,
    request_id: str,
) -> Call:
    """Send a request and check its answer."""
    started_s = time.monotonic()
    url = f"http://{router.host}:{cluster.port}/{kind}/x"
    sent_headers = {"Host": "soak.example", headers.REQUEST_ID: request_id}
    status, is_correct, error = 0, False, ""
    try:
        # Identical bodies would be taken for resends of one request, which would then
        # be quarantined as poison when servers crash.
        body = f"{request_id} ".encode() * 20
        async with session.post(url, headers=sent_headers, data=body) as reply:
            body = await reply.read()
            status = reply.status
            is_correct = status == 200 and body == expected_body(kind, request_id)
    except CONNECTION_ERRORS as caught:
        error = type(caught).__name__
    ended_s = time.monotonic()
    return Call(
        kind, request_id, router.host, started_s, ended_s, status, is_correct, error
    )


def expected_body(kind: str, request_id: str) -> bytes:
    """Return the only correct body of a complete answer."""
    if kind != "stream":
        return backends.make_body(request_id).encode()
    return b"".join(
        backends.make_event(request_id, number)
        for number in range(backends.EVENTS_COUNT)
    )


async def replace_tables(
    cluster: clusters.Cluster, observations: Observations, generator: random.Random
) -> None:
    """Replace the table repeatedly, retrying each version until acknowledged."""
    version = 1
    async with make_session(OPERATOR_TIMEOUT_S) as session:
        while True:
            if await put_table(session, cluster, version, generator):
                observations.accepted.append((version, time.monotonic()))
                observations.acknowledged.set()
                version += 1
                await asyncio.sleep(TABLE_INTERVAL_S)
            else:
                await asyncio.sleep(PAUSE_S)


async def put_table(
    session: aiohttp.ClientSession,
    cluster: clusters.Cluster,
    version: int,
    generator: random.Random,
) -> bool:
    """Send a table to a random replica; return whether it was acknowledged."""
    host = generator.choice(cluster.replicas).host
    return await put_table_to(session, cluster, version, host)


async def put_table_to(
    session: aiohttp.ClientSession,
    cluster: clusters.Cluster,
    version: int,
    host: str,
    table: str = TABLE,
) -> bool:
    """Send a table to a replica; return whether it was acknowledged."""
    formats = cluster.formats
    url = f"http://{host}:{cluster.port}{formats.put_path}"
    body = formats.make_table(table.format(version=version))
    try:
        async with session.request(formats.put_method, url, data=body) as reply:
            return reply.status == 200
    except CONNECTION_ERRORS:
        return False


async def poll_versions(cluster: clusters.Cluster, observations: Observations) -> None:
    """Poll the replicas' tables and the routers' versions until cancelled."""
    async with make_session(OPERATOR_TIMEOUT_S) as session:
        while True:
            await asyncio.gather(
                *(
                    read_replica(session, cluster, observations, each)
                    for each in cluster.replicas
                ),
                *(
                    read_router(session, cluster, observations, each)
                    for each in cluster.routers
                ),
            )
            await asyncio.sleep(READ_INTERVAL_S)


async def read_replica(
    session, cluster, observations: Observations, member: clusters.Member
) -> None:
    """Read the newest table from one replica."""
    formats = cluster.formats
    text = await _get(session, f"http://{member.host}:{cluster.port}{formats.get_path}")
    await _record_version(text, formats.version_pattern, member, observations.read_back)


async def read_router(
    session, cluster, observations: Observations, member: clusters.Member
) -> None:
    """Read the version in force at one router."""
    port = cluster.values["metrics_port"]
    text = await _get(session, f"http://{member.host}:{port}/metrics")
    await _record_version(
        text, r"table_version (\d+)(?:\.0)?$", member, observations.in_force
    )


async def _get(session, url):
    asked_s = time.monotonic()
    try:
        async with session.get(url) as reply:
            return asked_s, await reply.text() if reply.status == 200 else ""
    except CONNECTION_ERRORS:
        return asked_s, ""


async def _record_version(answer, pattern, member, readings) -> None:
    asked_s, text = answer
    match = re.search(pattern, text, re.MULTILINE)
    if match and member.process is not None:
        version = int(match.group(1))
        readings.append(
            VersionReading(member.host, member.process.pid, asked_s, version)
        )
