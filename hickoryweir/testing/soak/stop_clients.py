"""Clients of routers that are stopped: raw connections that go on using them.

Each function of `BEHAVIOURS` sends one or more requests to a router around the moments
of its stop and records how each of them ended.
"""

import asyncio
import contextlib
import dataclasses
import json
import random
import socket
import time

from hickoryweir.forwarding import headers

GRACE_S = 8.0
# The signal, the close of the listener, and the end of open connections.
SIGNAL_S, LISTENER_CLOSE_S, CONNECTIONS_CLOSE_S = 0.0, 2.6, 7.4
LEAD_S = 2.0
CLIENT_END_S = GRACE_S + 3.0
PLAIN_SIZE_MAX_BYTES = 4 * 1024 * 1024
SMALL_RECEIVE_BUFFER_BYTES = 4096
READ_SIZE_BYTES = 65_536
PLAN_HEADER = "X-Plan"


@dataclasses.dataclass(slots=True)
class Plan:
    """What a backend server does with one request.

    Attributes
    ----------
    queue_s : float
        Time until the request starts to run; no byte is sent before.
    work_s : float
        Duration of the run; a stream sends its events over this time.
    silence_s : float
        Pause in the middle of a stream, which adds to its duration.
    refuses, breaks : bool
        Whether the server states that it did not run the request, or resets.
    """

    queue_s: float = 0.0
    work_s: float = 0.05
    silence_s: float = 0.0
    size_bytes: int = 100
    refuses: bool = False
    breaks: bool = False


@dataclasses.dataclass(slots=True)
class BackendRecord:
    """What the backend servers saw of one request; times of the event loop."""

    received_s: list[float] = dataclasses.field(default_factory=list)
    run_s: float | None = None
    finished_s: float | None = None
    broke_off: bool = False


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a client; times are relative to the signal."""

    request_id: str
    behaviour: str
    router: str
    plan: Plan
    sent_s: float = 0.0
    last_byte_s: float | None = None
    status: int = 0
    is_whole: bool = False
    received_bytes: int = 0
    ended_s: float = 0.0
    end: str = ""
    left: bool = False


@dataclasses.dataclass(slots=True)
class Target:
    """A router about to be stopped, as its clients see it."""

    host: str
    port: int
    signal_s: float
    generator: random.Random
    records: dict[str, BackendRecord]
    requests: list[Request] = dataclasses.field(default_factory=list)

    def now_s(self) -> float:
        """Return the time since the signal."""
        return time.monotonic() - self.signal_s


class Connection:
    """A client's raw connection, which reads at its own pace."""

    def __init__(self, target, reader, writer, pace_s=0.0, halt_s=0.0) -> None:
        self.target, self.reader, self.writer = target, reader, writer
        self.pace_s, self.halt_s = pace_s, halt_s
        self._received = b""
        self.is_closing = False

    async def send(
        self, behaviour, plan, kind="once", body_parts=(b"{}",), pause_s=0.0
    ):
        """Send a request; the pause is between the parts of its body."""
        target = self.target
        request_id = f"{target.host}-{len(target.requests)}"
        request = Request(request_id, behaviour, target.host, plan)
        target.requests.append(request)
        size_bytes = sum(map(len, body_parts))
        request.sent_s = target.now_s()
        lines = (
            f"POST /{kind}/x HTTP/1.1",
            "Host: soak.example",
            f"{headers.REQUEST_ID}: {request_id}",
            f"{PLAN_HEADER}: {json.dumps(dataclasses.asdict(plan))}",
            f"Content-Length: {size_bytes}\r\n\r\n",
        )
        try:
            self.writer.write("\r\n".join(lines).encode())
            for number, part in enumerate(body_parts):
                if number:
                    await asyncio.sleep(pause_s)
                self.writer.write(part)
                await self.writer.drain()
            request.last_byte_s = target.now_s()
        except OSError as error:
            request.end, request.ended_s = f"send {error!r}", target.now_s()
        return request

    async def receive(self, request: Request) -> None:
        """Read one answer and record how it ended."""
        if request.end:
            return
        try:
            await self._read_answer(request)
            request.is_whole, request.end = True, "whole"
        except asyncio.IncompleteReadError:
            request.end = "closed"
        except OSError as error:
            request.end = type(error).__name__
        request.ended_s = self.target.now_s()

    async def receive_head(self, request: Request) -> None:
        """Read the head of an answer ahead of its body."""
        while b"\r\n\r\n" not in self._received:
            await self._more()
        head = self._received.partition(b"\r\n\r\n")[0].lower()
        self.is_closing = b"connection: close" in head

    async def _read_answer(self, request: Request) -> None:
        head = await self._take_until(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        request.status = int(lines[0].split()[1])
        given = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        self.is_closing = given.get("connection") == "close"
        if "content-length" in given:
            await self._take(int(given["content-length"]), request)
            return
        while size_bytes := int(await self._take_until(b"\r\n"), 16):
            await self._take(size_bytes + 2, request)
        await self._take_until(b"\r\n")

    async def _more(self) -> None:
        if self.halt_s and self._received:
            await asyncio.sleep(self.halt_s)
            self.halt_s = 0.0
        await asyncio.sleep(self.pace_s)
        data = await self.reader.read(READ_SIZE_BYTES)
        if not data:
            raise asyncio.IncompleteReadError(b"", None)
        self._received += data

    async def _take_until(self, end: bytes) -> bytes:
        while end not in self._received:
            await self._more()
        found, _, self._received = self._received.partition(end)
        return found

    async def _take(self, size_bytes: int, request: Request) -> None:
        while size_bytes:
            if not self._received:
                await self._more()
            taken = min(size_bytes, len(self._received))
            self._received = self._received[taken:]
            request.received_bytes += taken
            size_bytes -= taken


@contextlib.asynccontextmanager
async def connect(target: Target, is_slow=False, **options):
    """Connect to a router; yield nothing usable after it stopped listening."""
    sock = socket.socket()
    sock.setblocking(False)
    if is_slow:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
    await asyncio.get_running_loop().sock_connect(sock, (target.host, target.port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=READ_SIZE_BYTES)
    try:
        yield Connection(target, reader, writer, **options)
    finally:
        writer.transport.abort()


def draw_plan(generator: random.Random) -> Plan:
    """Return a random plan; few requests last longer than the grace."""
    size_bytes = generator.choice((100, 5_000, 300_000, PLAIN_SIZE_MAX_BYTES - 1000))
    return Plan(
        queue_s=generator.choice((0.0, 0.0, 0.0, generator.uniform(0.1, 12.0))),
        work_s=generator.choice(
            (0.1, generator.uniform(0.1, 3.0), generator.uniform(2.0, 12.0))
        ),
        silence_s=generator.choice((0.0, 0.0, generator.uniform(0.5, 4.0))),
        size_bytes=size_bytes,
        refuses=generator.random() < 0.1,
        breaks=generator.random() < 0.03,
    )


async def sleep_until(target: Target, at_s: float) -> None:
    """Sleep until a time relative to the signal."""
    await asyncio.sleep(max(0.0, at_s - target.now_s()))


async def keep_using(target: Target) -> None:
    """Send the next request on an open connection until it is closed."""
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, 0.0))
    while target.now_s() < GRACE_S:
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


async def send_slowly(target: Target) -> None:
    """Send a body in parts, around one of the moments of the stop."""
    generator = target.generator
    moment_s = generator.choice((SIGNAL_S, LISTENER_CLOSE_S, LISTENER_CLOSE_S))
    pause_s = generator.choice((0.01, 0.1, 0.5, 1.5))
    await sleep_until(target, moment_s - pause_s * generator.uniform(0.0, 3.0))
    async with connect(target) as connection:
        plan = Plan(work_s=generator.choice((0.05, 1.0)))
        parts = (b"x" * generator.choice((10, 20_000)),) * 4
        request = await connection.send("slow body", plan, "once", parts, pause_s)
        await connection.receive(request)


async def upload(target: Target) -> None:
    """Send prompts of usual sizes without a pause, until the listener is closed."""
    generator = target.generator
    await sleep_until(target, LISTENER_CLOSE_S - generator.uniform(0.1, 1.0))
    while target.now_s() < LISTENER_CLOSE_S + 0.1:
        size_bytes = generator.choice((200, 20_000, 300_000))
        async with connect(target) as connection:
            request = await connection.send(
                "upload", Plan(work_s=0.02), "once", (b"x" * size_bytes,)
            )
            await connection.receive(request)
        if not request.is_whole:
            return


async def call_steadily(target: Target) -> None:
    """Send short streams on new connections until the listener is closed."""
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, 0.0))
    while target.now_s() < LISTENER_CLOSE_S:
        async with connect(target) as connection:
            plan = Plan(work_s=0.4)
            await connection.receive(await connection.send("steady", plan, "stream"))


async def pipeline(target: Target) -> None:
    """Send a second request while the answer to the first one is running."""
    generator = target.generator
    start_s = generator.uniform(-LEAD_S, LISTENER_CLOSE_S)
    await sleep_until(target, start_s)
    async with connect(target) as connection:
        plan = Plan(work_s=generator.uniform(0.5, 6.0))
        first = await connection.send("first", plan, "stream")
        if generator.random() < 0.5:
            second = await connection.send("pipelined at once", Plan(), "once")
            await connection.receive(first)
            await connection.receive(second)
            return
        await connection.receive_head(first)
        if connection.is_closing:
            await connection.receive(first)
            return
        await asyncio.sleep(generator.uniform(0.0, plan.work_s))
        second = await connection.send("pipelined after head", Plan(), "once")
        await connection.receive(first)
        await connection.receive(second)


async def read_slowly(target: Target) -> None:
    """Read a large answer slowly, or halt in the middle of it."""
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, LISTENER_CLOSE_S))
    pace_s = generator.choice((0.0, 0.02))
    halt_s = generator.choice((0.0, 1.0, 3.0))
    async with connect(target, True, pace_s=pace_s, halt_s=halt_s) as connection:
        size_bytes = generator.choice((60_000, 500_000, PLAIN_SIZE_MAX_BYTES - 1000))
        plan = Plan(size_bytes=size_bytes, work_s=generator.uniform(0.05, 2.0))
        kind = generator.choice(("once", "stream"))
        await connection.receive(await connection.send("slow reader", plan, kind))


async def connect_at_edge(target: Target) -> None:
    """Connect within milliseconds of a moment of the stop and send a request."""
    generator = target.generator
    moment_s = generator.choice(
        (LISTENER_CLOSE_S, LISTENER_CLOSE_S, CONNECTIONS_CLOSE_S)
    )
    await sleep_until(target, moment_s + generator.uniform(-0.02, 0.02))
    async with connect(target) as connection:
        await asyncio.sleep(generator.choice((0.0, 0.002, 0.01)))
        await connection.receive(await connection.send("edge", Plan(), "once"))


async def wait_in_queue(target: Target) -> None:
    """Send a stream that a backend server starts to run late."""
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, LISTENER_CLOSE_S))
    async with connect(target) as connection:
        plan = Plan(queue_s=generator.uniform(3.0, 12.0), work_s=1.0)
        await connection.receive(await connection.send("queued", plan, "stream"))


async def leave(target: Target) -> None:
    """Close the connection before the answer."""
    generator = target.generator
    await sleep_until(target, generator.uniform(-LEAD_S, LISTENER_CLOSE_S))
    async with connect(target) as connection:
        request = await connection.send("leave", Plan(work_s=6.0), "stream")
        request.left = True
        await asyncio.sleep(generator.uniform(0.0, 3.0))
        request.end = request.end or "left"


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
}
