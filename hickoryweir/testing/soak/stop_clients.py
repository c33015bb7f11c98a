"""Clients of routers that are stopped: raw connections that go on using them.

Each function of `BEHAVIOURS` sends one or more requests to a router around the moments
of its stop and records how each of them ended.
"""

import asyncio
import contextlib
import dataclasses
import http
import json
import random
import socket
import zlib

from hickoryweir.testing import links
from hickoryweir.testing.soak import stop_backends, stop_records

LEAD_S = 2.0
CLIENT_END_S = stop_records.GRACE_S + 3.0
PLAIN_SIZE_MAX_BYTES = 4 * 1024 * 1024
SMALL_RECEIVE_BUFFER_BYTES = 4096
READ_SIZE_BYTES = 65_536
NO_ANSWER = "no answer in the protocol"
FEW_BYTES = 16
CONNECT_INTERVAL_S = 0.02
FEW_BYTES_PACE_S = 0.1
LATE_SHORT_COUNT = 5
# From the last byte of a response to the next request.
CROSSING_PAUSES_S = (0.0, 0.0005, 0.001)
COMPLETION_MARGIN_S = 0.3


class Connection:
    """A client's raw connection, which reads at its own pace."""

    def __init__(
        self,
        target,
        reader,
        writer,
        pace_s=0.0,
        halt_s=0.0,
        read_size_bytes=READ_SIZE_BYTES,
    ) -> None:
        self.target, self.reader, self.writer = target, reader, writer
        self.pace_s, self.halt_s = pace_s, halt_s
        self.read_size_bytes = read_size_bytes
        self._received = b""
        self.is_closing = False
        self._is_used = False

    async def send(self, behaviour, plan, kind="once", body_parts=(b"",), pause_s=0.0):
        """Send a request; the pause is between the parts of its body."""
        target = self.target
        number = f"{target.prefix}{len(target.requests)}"
        request_id = f"{target.seed}-{target.host}-{number}"
        request = stop_records.Request(request_id, behaviour, target.host, plan, kind)
        request.is_kept, self._is_used = self._is_used, True
        target.requests.append(request)
        # Identical bodies would be taken for resends of one request, which would then
        # be quarantined as poison when servers crash.
        parts = (request_id.encode() + body_parts[0], *body_parts[1:])
        size_bytes = sum(map(len, parts))
        request.sent_s = target.now_s()
        lines = (
            f"POST /{kind}/x HTTP/1.1",
            "Host: soak.example",
            f"{target.formats.request_id}: {request_id}",
            f"{stop_backends.PLAN_HEADER}: {json.dumps(dataclasses.asdict(plan))}",
            f"Content-Length: {size_bytes}\r\n\r\n",
        )
        try:
            self.writer.write("\r\n".join(lines).encode())
            for number, part in enumerate(parts):
                if number:
                    await asyncio.sleep(pause_s)
                self.writer.write(part)
                await self.writer.drain()
            request.last_byte_s = target.now_s()
        except OSError as error:
            request.end, request.ended_s = f"send {error!r}", target.now_s()
        return request

    async def receive(self, request: stop_records.Request) -> None:
        """Read one answer and record how it ended."""
        if request.end:
            return
        with self._record_end(request):
            await self._read_answer(request)
            request.is_whole, request.end = True, "whole"
            request.ended_s = self.target.now_s()

    async def receive_head(self, request: stop_records.Request) -> None:
        """Read the head of an answer ahead of its body."""
        with self._record_end(request):
            while b"\r\n\r\n" not in self._received:
                await self._more()
            head = self._received.partition(b"\r\n\r\n")[0].lower()
            self.is_closing = b"connection: close" in head

    @contextlib.contextmanager
    def _record_end(self, request: stop_records.Request):
        """Record how the connection ended ahead of the end of an answer."""
        try:
            yield
        except asyncio.IncompleteReadError:
            request.end = "closed"
        except ValueError:
            request.end = NO_ANSWER
        except OSError as error:
            request.end = type(error).__name__
        if request.end and not request.is_whole:
            request.ended_s = self.target.now_s()

    async def _read_answer(self, request: stop_records.Request) -> None:
        head = await self._take_until(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        request.status = int(lines[0].split()[1])
        given = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        self.is_closing = given.get("connection") == "close"
        if "content-length" in given:
            size_bytes = int(given["content-length"])
            if request.status == http.HTTPStatus.BAD_GATEWAY:
                request.reason = await self._read_reason(size_bytes)
            checksum = await self._take(size_bytes, request, 0)
        else:
            checksum = await self._take_chunks(request)
        if request.status == http.HTTPStatus.OK:
            request.is_correct = checksum == stop_records.expected_checksum(request)

    async def _read_reason(self, size_bytes: int) -> str:
        """Return the text of an error response without taking it."""
        while len(self._received) < size_bytes:
            await self._more()
        return self._received[:size_bytes].decode("latin-1").strip()

    async def _take_chunks(self, request: stop_records.Request) -> int:
        checksum = 0
        while size_bytes := int(await self._take_until(b"\r\n"), 16):
            checksum = await self._take(size_bytes, request, checksum)
            await self._take_until(b"\r\n")
        await self._take_until(b"\r\n")
        return checksum

    async def _more(self) -> None:
        if self.halt_s and self._received:
            await asyncio.sleep(self.halt_s)
            self.halt_s = 0.0
        await asyncio.sleep(self.pace_s)
        data = await self.reader.read(self.read_size_bytes)
        if not data:
            raise asyncio.IncompleteReadError(b"", None)
        self._received += data

    async def _take_until(self, end: bytes) -> bytes:
        while end not in self._received:
            await self._more()
        found, _, self._received = self._received.partition(end)
        return found

    async def _take(self, size_bytes: int, request, checksum: int) -> int:
        """Take bytes of a body; return the checksum continued over them."""
        while size_bytes:
            if not self._received:
                await self._more()
            taken = self._received[:size_bytes]
            self._received = self._received[len(taken) :]
            checksum = zlib.crc32(taken, checksum)
            request.received_bytes += len(taken)
            size_bytes -= len(taken)
        return checksum


@contextlib.asynccontextmanager
async def connect(target: stop_records.Target, is_slow=False, **options):
    """Connect to a router; yield nothing usable after it stopped listening."""
    sock = socket.socket()
    sock.setblocking(False)
    if is_slow:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
    loop = asyncio.get_running_loop()
    if target.link_port is None:
        await loop.sock_connect(sock, (target.host, target.port))
    else:
        await loop.sock_connect(sock, (links.HOST, target.link_port))
        if not await loop.sock_recv(sock, len(links.CONNECTED)):
            raise ConnectionRefusedError("the link has no connection to the router")
    reader, writer = await asyncio.open_connection(sock=sock, limit=READ_SIZE_BYTES)
    try:
        yield Connection(target, reader, writer, **options)
    finally:
        writer.transport.abort()


def draw_plan(generator: random.Random) -> stop_records.Plan:
    """Return a random plan; few requests last longer than the grace."""
    size_bytes = generator.choice((100, 5_000, 300_000, PLAIN_SIZE_MAX_BYTES - 1000))
    return stop_records.Plan(
        queue_s=generator.choice((0.0, 0.0, 0.0, generator.uniform(0.1, 12.0))),
        work_s=generator.choice(
            (0.1, generator.uniform(0.1, 3.0), generator.uniform(2.0, 12.0))
        ),
        silence_s=generator.choice((0.0, 0.0, generator.uniform(0.5, 4.0))),
        size_bytes=size_bytes,
        refuses=generator.random() < 0.1,
        breaks=generator.random() < 0.03,
    )


async def sleep_until(target: stop_records.Target, at_s: float) -> None:
    """Sleep until a time relative to the signal."""
    await asyncio.sleep(max(0.0, at_s - target.now_s()))


async def keep_using(target: stop_records.Target) -> None:
    """Send the next request on an open connection until it is closed."""
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, 0.0))
    while target.now_s() < stop_records.GRACE_S:
        try:
            async with connect(target) as connection:
                while True:
                    kind = generator.choice(("once", "stream"))
                    plan = draw_plan(generator)
                    plan.work_s = min(plan.work_s, 2.0)
                    request = await connection.send("keep", plan, kind)
                    await connection.receive(request)
                    if not request.is_whole or connection.is_closing:
                        break
                    await asyncio.sleep(generator.choice((0.0, 0.0, 0.3)))
        except OSError:
            await asyncio.sleep(0.1)


async def send_slowly(target: stop_records.Target) -> None:
    """Send a body in parts, around one of the moments of the stop."""
    generator = target.generator
    moment_s = generator.choice(
        (
            stop_records.SIGNAL_S,
            stop_records.LISTENER_CLOSE_S,
            stop_records.LISTENER_CLOSE_S,
        )
    )
    pause_s = generator.choice((0.01, 0.1, 0.5, 1.5))
    await sleep_until(target, moment_s - pause_s * generator.uniform(0.0, 3.0))
    async with connect(target) as connection:
        plan = stop_records.Plan(work_s=generator.choice((0.05, 1.0)))
        parts = (b"x" * generator.choice((10, 20_000)),) * 4
        request = await connection.send("slow body", plan, "once", parts, pause_s)
        await connection.receive(request)


async def upload(target: stop_records.Target) -> None:
    """Send prompts of usual sizes without a pause, until the listener is closed."""
    generator = target.generator
    await sleep_until(
        target, stop_records.LISTENER_CLOSE_S - generator.uniform(0.1, 1.0)
    )
    while target.now_s() < stop_records.LISTENER_CLOSE_S + 0.1:
        size_bytes = generator.choice((200, 20_000, 300_000))
        async with connect(target) as connection:
            request = await connection.send(
                "upload", stop_records.Plan(work_s=0.02), "once", (b"x" * size_bytes,)
            )
            await connection.receive(request)
        if not request.is_whole:
            return


async def call_steadily(target: stop_records.Target) -> None:
    """Send short streams on new connections until the listener is closed."""
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, 0.0))
    while target.now_s() < stop_records.LISTENER_CLOSE_S:
        async with connect(target) as connection:
            plan = stop_records.Plan(work_s=0.4)
            await connection.receive(await connection.send("steady", plan, "stream"))


async def pipeline(target: stop_records.Target) -> None:
    """Send a second request while the answer to the first one is running."""
    generator = target.generator
    start_s = generator.uniform(-LEAD_S, stop_records.LISTENER_CLOSE_S)
    await sleep_until(target, start_s)
    async with connect(target) as connection:
        plan = stop_records.Plan(work_s=generator.uniform(0.5, 6.0))
        first = await connection.send("first", plan, "stream")
        if generator.random() < 0.5:
            second = await connection.send(
                "pipelined at once", stop_records.Plan(), "once"
            )
            await connection.receive(first)
            await receive_next(connection, first, second)
            return
        await connection.receive_head(first)
        if first.end or connection.is_closing:
            await connection.receive(first)
            return
        await asyncio.sleep(generator.uniform(0.0, plan.work_s))
        second = await connection.send(
            "pipelined after head", stop_records.Plan(), "once"
        )
        await connection.receive(first)
        await receive_next(connection, first, second)


async def receive_next(connection, first, second) -> None:
    """Read the second answer, which doesn't come where the first one has no end."""
    second.before = first
    if first.is_whole:
        await connection.receive(second)
        return
    second.end, second.ended_s = first.end, connection.target.now_s()


async def read_slowly(target: stop_records.Target) -> None:
    """Read a large answer slowly, or halt in the middle of it."""
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, stop_records.LISTENER_CLOSE_S))
    pace_s = generator.choice((0.0, 0.02))
    halt_s = generator.choice((0.0, 1.0, 3.0))
    async with connect(target, True, pace_s=pace_s, halt_s=halt_s) as connection:
        size_bytes = generator.choice((60_000, 500_000, PLAIN_SIZE_MAX_BYTES - 1000))
        plan = stop_records.Plan(
            size_bytes=size_bytes, work_s=generator.uniform(0.05, 2.0)
        )
        kind = generator.choice(("once", "stream"))
        await connection.receive(await connection.send("slow reader", plan, kind))


async def connect_at_edge(target: stop_records.Target) -> None:
    """Connect within milliseconds of a moment of the stop and send a request."""
    generator = target.generator
    moment_s = generator.choice(
        (
            stop_records.LISTENER_CLOSE_S,
            stop_records.LISTENER_CLOSE_S,
            stop_records.CONNECTIONS_CLOSE_S,
        )
    )
    await sleep_until(target, moment_s + generator.uniform(-0.02, 0.02))
    async with connect(target) as connection:
        await asyncio.sleep(generator.choice((0.0, 0.002, 0.01)))
        await connection.receive(
            await connection.send("edge", stop_records.Plan(), "once")
        )


async def wait_in_queue(target: stop_records.Target) -> None:
    """Send a stream that a backend server starts to run late."""
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, stop_records.LISTENER_CLOSE_S))
    async with connect(target) as connection:
        plan = stop_records.Plan(queue_s=generator.uniform(3.0, 12.0), work_s=1.0)
        await connection.receive(await connection.send("queued", plan, "stream"))


async def leave(target: stop_records.Target) -> None:
    """Close the connection before the answer."""
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, stop_records.LISTENER_CLOSE_S))
    async with connect(target) as connection:
        request = await connection.send(
            "leave", stop_records.Plan(work_s=6.0), "stream"
        )
        request.left = True
        await asyncio.sleep(generator.uniform(0.0, 3.0))
        request.end = request.end or "left"


async def read_few_bytes(target: stop_records.Target) -> None:
    """Read a short answer a few bytes at a time."""
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, stop_records.LISTENER_CLOSE_S))
    options = {"pace_s": FEW_BYTES_PACE_S, "read_size_bytes": FEW_BYTES}
    async with connect(target, True, **options) as connection:
        plan = stop_records.Plan(size_bytes=100)
        await connection.receive(await connection.send("few bytes", plan))


async def outlast(target: stop_records.Target) -> None:
    """Send a stream that lasts longer than the grace."""
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, 0.0))
    async with connect(target) as connection:
        plan = stop_records.Plan(work_s=2 * stop_records.GRACE_S)
        await connection.receive(await connection.send("outlast", plan, "stream"))


async def use_from_the_start(target: stop_records.Target) -> None:
    """Use a process from the moment its port opens until it closes connections."""
    generator = target.generator
    while target.now_s() < stop_records.LISTENER_CLOSE_S:
        try:
            async with connect(target) as connection:
                await asyncio.sleep(generator.choice((0.0, 0.0, 0.05, 0.3)))
                while True:
                    kind = generator.choice(("once", "stream"))
                    plan = stop_records.Plan(work_s=generator.choice((0.05, 1.0)))
                    request = await connection.send("start", plan, kind)
                    await connection.receive(request)
                    if not request.is_whole or connection.is_closing:
                        break
        except OSError:
            pass
        await asyncio.sleep(CONNECT_INTERVAL_S)


async def send_late(target: stop_records.Target) -> None:
    """Send a stream longer than the grace when one of before the signal has ended.

    The other requests of its route are short.
    """
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, -0.7))
    async with connect(target) as connection:
        for _ in range(LATE_SHORT_COUNT):
            short = await connection.send(
                "short", stop_records.Plan(work_s=0.05), "short"
            )
            await connection.receive(short)
            if not short.is_whole or connection.is_closing:
                return
        ends_s = generator.uniform(
            stop_records.LISTENER_CLOSE_S + 0.5, stop_records.GRACE_S - 2.5
        )
        first_plan = stop_records.Plan(work_s=ends_s - target.now_s())
        late_plan = stop_records.Plan(
            work_s=generator.uniform(1.0, 2.0) * stop_records.GRACE_S
        )
        first = await connection.send("before late", first_plan, "stream")
        if generator.random() < 0.5:
            await connection.receive(first)
            if first.is_whole and not connection.is_closing:
                await asyncio.sleep(generator.choice(CROSSING_PAUSES_S))
                late = await connection.send("late", late_plan, "short")
                await connection.receive(late)
            return
        await connection.receive_head(first)
        if first.end or connection.is_closing:
            await connection.receive(first)
            return
        await sleep_until(target, ends_s - generator.choice((0.001, 0.01, 0.1)))
        late = await connection.send("late pipelined", late_plan, "short")
        await connection.receive(first)
        await receive_next(connection, first, late)


async def cross_the_close(target: stop_records.Target) -> None:
    """Send a request at the end of a stream, or after a pause, when the port closes.

    A router that stops keeps only the connections that were idle at the signal, or
    whose response had begun.  The request is sent within a millisecond of the last byte
    of the stream, or while that is on its way.
    """
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, -0.5))
    async with connect(target) as connection:
        for kind in ("once", "stream"):
            first = await connection.send("before cross", make_short_plan(target), kind)
            await connection.receive(first)
            if not first.is_whole or connection.is_closing:
                return
        ends_s = stop_records.LISTENER_CLOSE_S + generator.uniform(-0.1, 0.3)
        form = generator.choice(("idle", "after", "ahead"))
        if form == "idle":
            await sleep_until(target, ends_s)
        else:
            plan = stop_records.Plan(work_s=ends_s - target.now_s())
            first = await connection.send("before cross", plan, "stream")
            await connection.receive_head(first)
            if form == "after" or first.end or connection.is_closing:
                await connection.receive(first)
                if not first.is_whole or connection.is_closing:
                    return
            else:
                await wait_until_completed(target, first)
            await asyncio.sleep(generator.choice(CROSSING_PAUSES_S))
        kind = generator.choice(("once", "stream"))
        last = await connection.send(f"cross {form}", make_short_plan(target), kind)
        if form == "ahead":
            await connection.receive(first)
            await receive_next(connection, first, last)
        else:
            await connection.receive(last)


def make_short_plan(target: stop_records.Target) -> stop_records.Plan:
    """Return a plan of some milliseconds."""
    return stop_records.Plan(
        work_s=target.generator.uniform(0.005, 0.06),
        size_bytes=target.generator.choice((100, 5_000, 100_000)),
    )


async def wait_until_completed(target, request: stop_records.Request) -> None:
    """Wait until a server has completed the answer, or past its time."""
    until_s = target.now_s() + request.plan.work_s + COMPLETION_MARGIN_S
    while target.now_s() < until_s:
        attempts = target.attempts.get(request.request_id, [])
        if any(attempt.finished_s is not None for attempt in attempts):
            return
        await asyncio.sleep(CROSSING_PAUSES_S[-1])


async def end_sending(target: stop_records.Target) -> None:
    """End the sending side once the request is at its server, and read the answer."""
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, stop_records.LISTENER_CLOSE_S))
    async with connect(target) as connection:
        plan = stop_records.Plan(
            work_s=generator.uniform(0.1, 4.0),
            size_bytes=generator.choice((100, 5_000, 300_000)),
        )
        kind = generator.choice(("once", "once", "stream"))
        request = await connection.send("end sending", plan, kind)
        receiving = asyncio.create_task(connection.receive(request))
        while not receiving.done():
            attempts = target.attempts.get(request.request_id, [])
            if any(attempt.run_s is not None for attempt in attempts):
                await asyncio.sleep(generator.choice((0.0, 0.05, 1.0)))
                if not receiving.done() and not connection.is_closing:
                    request.has_ended_sending = True
                    with contextlib.suppress(OSError):
                        connection.writer.write_eof()
                break
            await asyncio.sleep(CROSSING_PAUSES_S[-1])
        await receiving


BEHAVIOURS = {
    "keep": keep_using,
    "body": send_slowly,
    "upload": upload,
    "steady": call_steadily,
    "pipeline": pipeline,
    "reader": read_slowly,
    "edge": connect_at_edge,
    "queue": wait_in_queue,
    "leave": leave,
    "few": read_few_bytes,
    "outlast": outlast,
    "late": send_late,
    "cross": cross_the_close,
    "half": end_sending,
}
