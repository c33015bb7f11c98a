"""Clients in the soak of planned stops that upload large bodies side by side.

They read while they send, and go on reading after a reset, so that a request counts as
unanswered only where no client could have read an answer.
"""

import asyncio
import collections
import contextlib
import dataclasses
import functools
import json
import random
import socket
import types

from hickoryweir.testing import floods, promises
from hickoryweir.testing.soak import (
    stop_backends,
    stop_clients,
    stop_oracle,
    stop_records,
    wire,
)

BEHAVIOUR = "large upload"
MIB = 1024 * 1024
# The largest bodies are just below the default limit.
SIZES_BYTES = (MIB, 4 * MIB - 1000)
WORK_S = (0.05, 1.0)
PAUSES_S = (0.0, 0.0, 0.1)
RETRY_S = 0.02
SEND_BUFFER_BYTES = 65_536
# More than the buffers of both ends hold: a router has read of a request of which so
# much was sent.
READ_BY_ROUTER_BYTES = 384 * 1024
# A router without delays has accepted connections that were opened before.
ACCEPTED_UNTIL_S = stop_records.LISTENER_CLOSE_S - stop_oracle.LOSS_SLACK_S
ANSWERED = "an upload that a router read of is answered"


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """How the clients of one router upload.

    Attributes
    ----------
    pause_s : float
        Pause between blocks, of a slow client.
    """

    size_bytes: int
    has_length: bool
    work_s: float
    pause_s: float


def draw_form(seed: int, host: str) -> Form:
    """Return how the clients of a router upload in the round of a seed."""
    generator = random.Random(f"{seed}-{host}-uploads")
    return Form(
        generator.choice(SIZES_BYTES),
        generator.random() < 0.5,
        generator.choice(WORK_S),
        generator.choice(PAUSES_S),
    )


async def upload_repeatedly(target: stop_records.Target) -> None:
    """Upload one body after another until the grace of the stop is over."""
    form = draw_form(target.seed, target.host)
    await stop_clients.sleep_until(target, -stop_clients.LEAD_S)
    while target.now_s() < stop_records.GRACE_S:
        with contextlib.suppress(ConnectionRefusedError):
            plan = stop_records.Plan(work_s=form.work_s)
            await upload(target, form, plan, BEHAVIOUR)
        await asyncio.sleep(RETRY_S)


async def upload(
    target: stop_records.Target, form: Form, plan: stop_records.Plan, behaviour: str
) -> None:
    """Send one upload on a new connection and read its answer meanwhile."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        await loop.sock_connect(sock, (target.host, target.port))
        request_id = f"{target.seed}-{target.host}-{len(target.requests)}"
        request = stop_records.Request(request_id, behaviour, target.host, plan)
        request.sent_s = target.now_s()
        target.requests.append(request)
        reader = types.SimpleNamespace(read=functools.partial(loop.sock_recv, sock))
        connection = stop_clients.Connection(target, reader, None)
        sending = asyncio.create_task(_send(target, sock, request, form))
        try:
            await connection.receive(request)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)


async def _send(
    target: stop_records.Target,
    sock: socket.socket,
    request: stop_records.Request,
    form: Form,
) -> None:
    loop = asyncio.get_running_loop()
    # The answer, or the end of the connection, is what counts.
    with contextlib.suppress(OSError):
        await loop.sock_sendall(sock, make_head(request, form, target.formats))
        for block in make_blocks(request, form):
            await loop.sock_sendall(sock, block)
            request.sent_bytes += len(block)
            await asyncio.sleep(form.pause_s)
        request.last_byte_s = target.now_s()


def make_head(
    request: stop_records.Request, form: Form, formats: wire.Formats = wire.OWN
) -> bytes:
    """Return the head of an upload."""
    framing = "Transfer-Encoding: chunked"
    if form.has_length:
        framing = f"Content-Length: {form.size_bytes}"
    plan = json.dumps(dataclasses.asdict(request.plan))
    lines = (
        "POST /once/upload HTTP/1.1",
        "Host: soak.example",
        f"{formats.request_id}: {request.request_id}",
        f"{stop_backends.PLAN_HEADER}: {plan}",
        framing,
        "\r\n",
    )
    return "\r\n".join(lines).encode()


def make_blocks(request: stop_records.Request, form: Form):
    """Yield the body of an upload in blocks, as chunks where it has no length.

    It begins with the request's id, since requests with equal bodies count as one that
    is repeated.
    """
    begin = request.request_id.encode()
    left_bytes = form.size_bytes
    while left_bytes:
        block = begin.ljust(min(left_bytes, floods.BLOCK_SIZE_BYTES), b"x")
        left_bytes -= len(block)
        yield block if form.has_length else b"%x\r\n%s\r\n" % (len(block), block)
    if not form.has_length:
        yield b"0\r\n\r\n"


def check(targets: list[stop_records.Target]) -> list[stop_oracle.Finding]:
    """Check that each upload that a router read of got an answer.

    Routers are killed only after the grace of a stop.
    """
    findings = []
    for target in targets:
        for request in target.requests:
            if request.behaviour != BEHAVIOUR or not is_unanswered(request):
                continue
            is_read = was_read(target, request)
            if is_read or request.sent_s < ACCEPTED_UNTIL_S:
                end = f"{request.end} after {request.sent_bytes} bytes"
                detail = f"{end}, {stop_oracle.describe(target, request)}"
                violation = promises.Violation(ANSWERED, detail)
                lateness = find_lateness(request, is_read)
                findings.append(
                    stop_oracle.Finding(violation, target, request, lateness)
                )
    return findings


def find_lateness(
    request: stop_records.Request, is_read: bool
) -> stop_oracle.Lateness | None:
    """Return what a router that is not scheduled could be late with at an upload.

    It is to answer one that it has read of by the last sixth of the grace, and to read
    of another one at once.
    """
    from_s = stop_oracle.LATE_WORK_S if is_read else request.sent_s
    if request.ended_s <= from_s:
        return None
    return stop_oracle.Lateness(from_s, request.ended_s, stop_oracle.LOSS_SLACK_S)


def is_unanswered(request: stop_records.Request) -> bool:
    """Return whether a connection ended without an answer before a kill can end it."""
    is_over = bool(request.end) and request.ended_s <= stop_records.GRACE_S
    return is_over and not request.is_whole


def was_read(target: stop_records.Target, request: stop_records.Request) -> bool:
    """Return whether the router must have read of an upload."""
    is_passed_on = request.request_id in target.attempts
    return is_passed_on or request.sent_bytes >= READ_BY_ROUTER_BYTES


def count_ends(targets: list[stop_records.Target]) -> collections.Counter:
    """Return the uploads by status or end, and by the phase of the stop."""
    found = collections.Counter()
    for target in targets:
        form = draw_form(target.seed, target.host)
        framing = "by length" if form.has_length else "in chunks"
        kind = f"{form.size_bytes / MIB:.0f} MiB {framing}"
        for request in target.requests:
            if request.behaviour == BEHAVIOUR:
                found[
                    f"{kind}, {phase_of(request)}: {describe_end(target, request)}"
                ] += 1
    return found


def describe_end(target: stop_records.Target, request: stop_records.Request) -> str:
    """Return the status of an upload, or how it ended without an answer."""
    if request.is_whole:
        return str(request.status)
    known = "read" if was_read(target, request) else "not known to be read"
    return f"{request.end or 'open'}, {known}"


def phase_of(request: stop_records.Request) -> str:
    """Return when a request ended, relative to the stop."""
    if request.ended_s < stop_records.SIGNAL_S:
        return "before the signal"
    if request.ended_s < stop_records.LISTENER_CLOSE_S:
        return "before the port closes"
    if request.ended_s <= stop_records.GRACE_S:
        return "within the grace"
    return "after the grace"
