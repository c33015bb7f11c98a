"""All machines are lost while a stream is open, after a roll-out has ended."""

import asyncio
import contextlib
import os
import pathlib
import re
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stand_ins  # noqa: E402

# With TROUBLE=0 the case does the same without its disruption.
HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
SERVICE = "assistant-llm"
ROUTE = "digest"
ROUTERS_COUNT = 3
SLOTS_COUNT = 64
DEADLINE_MS = 10000
EVENTS_COUNT = 30
EVENT_INTERVAL_S = 0.18
# Of the sites: a server that leaves serves for so long after the list shows it.
DRAIN_S = 3.0
STREAM_LEAD_S = 1.0
LOST_AFTER_S = 3.6
DOWN_S = 1.0
RETRIES_COUNT = 4
RETRY_INTERVAL_S = 1.0
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


def make_run(record: stand_ins.Record):
    """Return how a model engine answers: events that name its software version."""

    async def run(engine, request, writer) -> None:
        echoed = request.headers["request-id"]
        first = int(request.headers.get("last-event-id", "0")) + 1
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {echoed}\r\n"
            f"Response-Seal: {echoed[:4]}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            "\r\n".encode()
        )
        for number in range(first, EVENTS_COUNT + 1):
            event = f"id: {number}\ndata: {engine.version}-{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if writer.transport.is_closing():
                record.write(f"server {engine.server_id}: dropped {echoed}")
                raise ConnectionError
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")

    return run


class Stream:
    """A client of a stream, which takes it up after a broken connection."""

    def __init__(self, record: stand_ins.Record, system: stand_ins.System) -> None:
        self.record, self.system = record, system
        self.events: list[tuple[int, str]] = []
        self.received = bytearray()
        self.is_whole = False
        self.statuses: list[int | None] = []

    async def run(self) -> None:
        """Send the request, and take the stream up at other routers."""
        started_s = self.record.now_s()
        for number in range(1 + RETRIES_COUNT):
            router = self.system.routers[number % ROUTERS_COUNT]
            left_ms = DEADLINE_MS - round(1000 * (self.record.now_s() - started_s))
            if left_ms <= 0:
                return
            with contextlib.suppress(
                OSError, EOFError, TimeoutError, asyncio.IncompleteReadError
            ):
                async with asyncio.timeout(left_ms / 1000):
                    await self._attempt(router, left_ms)
            if self.is_whole:
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _attempt(self, router: stand_ins.Member, left_ms: int) -> None:
        echoed, last = stand_ins.request_id(), ""
        if self.events:
            last = f"Last-Event-Id: {self.events[-1][0]}\r\n"
        self.received.clear()
        self.statuses.append(None)
        self.record.write(
            f"client: stream {echoed} to {router.host}, {last.strip() or 'from 1'}"
        )
        reader, writer = await asyncio.open_connection(router.host, self.system.port)
        stand_ins.open_writers.add(writer)
        try:
            writer.write(
                f"POST /{ROUTE}/2f HTTP/1.1\r\nHost: site.example\r\n"
                f"Request-Id: {echoed}\r\nDeadline-Ms: {left_ms}\r\n{last}"
                "Model: m\r\nToken-Counts: 1460,120\r\n"
                "Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
                "Authorization: Bearer key-1\r\nContent-Length: 2\r\n\r\nxx".encode()
            )
            response = await stand_ins.read_head(reader)
            self.statuses[-1] = response.status
            self.record.write(f"client: {echoed} -> {response.status}")
            if response.status == 200:
                await stand_ins.read_chunks(reader, self._take)
                self.is_whole = True
                self.record.write(f"client: {echoed} has ended as complete")
        finally:
            writer.transport.abort()
            self.record.write(f"client: {len(self.events)} events so far")

    def _take(self, chunk: bytes) -> None:
        self.received += chunk
        while found := EVENT.match(self.received):
            self.events.append((int(found[1]), found[2].decode()))
            del self.received[: found.end()]


async def play(record: stand_ins.Record, systems: list[stand_ins.System]) -> list[str]:
    """Replace all engines by those of another version, and kill all processes."""
    system = stand_ins.System(record, ROUTERS_COUNT)
    systems.append(system)
    await system.start()
    old = await start_engines(record, system, "v1", 0)
    system.platform.show(old)
    route = stand_ins.make_route(
        ROUTE,
        "streaming",
        SERVICE,
        timeoutMs=DEADLINE_MS,
        targetLatencyMs=2500,
        maxAttempts=2,
        sticky=True,
        resumable=True,
        targetGapMs=1200,
    )
    service = stand_ins.make_service(SERVICE) | {
        "engine": {"slots": SLOTS_COUNT, "kvCapacityTokens": 362292, "stride": 4}
    }
    await system.put(stand_ins.make_table(1, [route], [service]))
    for router in system.routers:
        await system.wait_until_ready(router)
    await asyncio.sleep(STREAM_LEAD_S)

    new = await start_engines(record, system, "v2", 3)
    for engine in old:
        engine.state = "draining"
    stream = Stream(record, system)
    streaming = asyncio.create_task(stream.run())
    system.platform.show([*old, *new])
    leaving = asyncio.create_task(leave(record, system, old, new))
    await asyncio.sleep(LOST_AFTER_S)
    if HAS_TROUBLE:
        await lose_processes(system)
    await streaming
    await leaving
    record.write(f"the client has: {' '.join(text for _, text in stream.events)}")
    return find_breaks(stream)


async def start_engines(record, system, version, first) -> list[stand_ins.Engine]:
    """Start three engines of a software version, one in each zone."""
    engines = []
    for number, zone in enumerate(("zone-a", "zone-b", "zone-c")):
        name = f"{version}-{zone[-1]}"
        engine = stand_ins.Engine(
            record, name, f"i-{name}", SERVICE, zone, make_run(record), version
        )
        engine.slots = SLOTS_COUNT
        engine.host = system.host_of_engine(first + number)
        await engine.start()
        engines.append(engine)
    return engines


async def leave(record, system, old, new) -> None:
    """Let the old engines serve for the drain time and until their requests end."""
    await asyncio.sleep(stand_ins.LIST_LAG_S + DRAIN_S)
    while any(engine.open_count for engine in old):  # noqa: ASYNC110
        await asyncio.sleep(stand_ins.POLL_INTERVAL_S)
    for engine in old:
        await engine.crash()
    record.write("the engines of v1 have left")
    system.platform.show(new)


async def lose_processes(system: stand_ins.System) -> None:
    """Kill all processes at the same moment, and start them again."""
    lost = [*system.replicas, *system.routers]
    if os.environ.get("ONLY_ROUTERS"):
        lost = system.routers
    for member in lost:
        system.send(member, signal.SIGKILL)
    for member in lost:
        member.process.wait()
    await asyncio.sleep(DOWN_S)
    for member in lost:
        system.launch(member)
    system.record.write("all processes are started again")


def find_breaks(stream: Stream) -> list[str]:
    """Return whether a whole stream was joined from two versions."""
    versions = sorted({text.partition("-")[0] for _, text in stream.events})
    numbers = [number for number, _ in stream.events]
    if numbers != sorted(set(numbers)):
        return [f"ORDER: events {numbers}"]
    if len(versions) > 1:
        first = next(n for n, text in stream.events if text.startswith("v2"))
        end = "ended as complete" if stream.is_whole else "was not ended"
        return [f"ORDER: a stream of v1 goes on with event {first} of v2, and {end}"]
    if not stream.events:
        raise stand_ins.NotRunError("the stream did not begin")
    return []


if __name__ == "__main__":
    stand_ins.run(__file__, play, HAS_TROUBLE)
