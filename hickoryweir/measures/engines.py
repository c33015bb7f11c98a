"""Measure how many streamed tokens one core reads through the engine client.

``python -m hickoryweir.measures.engines`` starts a stream server in a separate
process, opens many concurrent streams through :mod:`hickoryweir.engines.client`, and
prints tokens per second of processor time, and the latency of short calls over new
and kept-alive connections.  The server sends each token in its own TCP segment at
the pace of an engine, which is the worst case for the reader.
"""

import argparse
import asyncio
import cProfile
import dataclasses
import pstats
import statistics
import sys
import time

import aiohttp
import uvloop

from hickoryweir.configuration import model
from hickoryweir.engines import calls, client, sessions
from hickoryweir.testing import engine_calls, running

HOST = "127.0.0.1"
TIMEOUTS = calls.EngineTimeouts(connect_timeout_s=10.0, read_timeout_s=60.0)
BODY = b'{"model":"m","prompt":"p","stream":true}'
PROFILE_LINES_COUNT = 25


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Token count and times of one run."""

    tokens_count: int
    wall_s: float
    processor_s: float

    @property
    def tokens_per_core_s(self) -> float:
        """Tokens per second of processor time."""
        return self.tokens_count / self.processor_s


def make_server(port: int) -> model.BackendServer:
    """Return the stream server as a backend server."""
    return model.BackendServer(
        name="source",
        target=model.Target.MODEL,
        url=f"http://{HOST}:{port}",
        availability_zone="a",
        provider="p",
        serves=("m",),
        max_concurrency=10_000,
        tokens_per_s=50.0,
        checks_fencing=True,
    )


async def serve_streams(tokens_count: int, interval_s: float) -> None:
    """Serve streams of ``tokens_count`` paced tokens, and print the port."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(len(BODY))
                await write_stream(
                    writer, read_request_id(head), tokens_count, interval_s
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(handle, HOST, 0, backlog=running.BACKLOG)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


def read_request_id(head: bytes) -> str:
    """Return the request id in a request's header block."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-request-id":
            return value.strip().decode()
    return "none"


async def write_stream(
    writer: asyncio.StreamWriter, request_id: str, tokens_count: int, interval_s: float
) -> None:
    """Write the response of one stream."""
    call = engine_calls.make_call(request_id, engine_calls.Endpoint.CHAT, 0, BODY)
    call = dataclasses.replace(call, output_tokens=tokens_count)
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    next_token_s = time.monotonic()
    for index in range(tokens_count):
        event = engine_calls.token_events(call, index, index + 1)
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        if interval_s:
            next_token_s += interval_s
            await asyncio.sleep(max(0.0, next_token_s - time.monotonic()))
        await writer.drain()
    final_events = engine_calls.final_events(call)
    writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(final_events), final_events))
    await writer.drain()


async def read_stream(
    session: aiohttp.ClientSession, server: model.BackendServer, request_id: str
) -> int:
    """Read one stream to its end and return its tokens."""
    call = calls.EngineCall(request_id, "/v1/chat/completions", BODY, True, 0)
    stream = (await client.open_stream(session, server, call, TIMEOUTS)).unwrap()
    tokens_count = 0
    while True:
        chunk = (await stream.read()).unwrap()
        tokens_count += chunk.output_tokens
        if chunk.finished:
            await stream.close()
            return tokens_count


async def measure_streams(port: int, streams_count: int) -> Measurement:
    """Read a number of concurrent streams."""
    server = make_server(port)
    async with sessions.make_session() as session:
        wall_s, processor_s = time.perf_counter(), time.process_time()
        counts = await asyncio.gather(
            *(
                read_stream(session, server, f"r{number}")
                for number in range(streams_count)
            )
        )
        wall_s = time.perf_counter() - wall_s
        processor_s = time.process_time() - processor_s
    return Measurement(sum(counts), wall_s, processor_s)


async def measure_calls(
    port: int, calls_count: int, *, keeps_connections: bool
) -> list[float]:
    """Return the durations of short streams, read one after the other."""
    server = make_server(port)
    times_s = []
    async with sessions.make_session(keeps_connections=keeps_connections) as session:
        for number in range(calls_count):
            started_s = time.perf_counter()
            await read_stream(session, server, f"r{number}")
            times_s.append(time.perf_counter() - started_s)
    return times_s


async def start_stream_server(
    tokens_count: int, interval_s: float
) -> tuple[asyncio.subprocess.Process, int]:
    """Start a stream server and return its process and port."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "hickoryweir.measures.engines", "--source"),
        *("--tokens", str(tokens_count), "--interval-s", str(interval_s)),
        stdout=asyncio.subprocess.PIPE,
    )
    port_line = await process.stdout.readline()
    return process, int(port_line)


async def run_measurements(arguments: argparse.Namespace) -> None:
    """Run the measurements and print them."""
    process, port = await start_stream_server(arguments.tokens, arguments.interval_s)
    try:
        measurement = await measure_streams(port, arguments.streams)
    finally:
        process.terminate()
        await process.wait()
    print(
        f"{measurement.tokens_count} tokens in {measurement.wall_s:.2f} s, "
        f"{measurement.processor_s:.2f} s of processor time: "
        f"{measurement.tokens_per_core_s:.0f} tokens/s on one core"
    )
    process, port = await start_stream_server(2, 0.0)
    try:
        for keeps_connections in (False, True, False, True):
            times_s = await measure_calls(
                port, 500, keeps_connections=keeps_connections
            )
            kind = "kept-alive" if keeps_connections else "new"
            p99_s = statistics.quantiles(times_s, n=100)[98]
            print(
                f"{kind} connection: p50 {statistics.median(times_s) * 1e3:.3f} ms, "
                f"p99 {p99_s * 1e3:.3f} ms"
            )
    finally:
        process.terminate()
        await process.wait()


def main() -> None:
    """Run the stream server or the measurements."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--source", action="store_true", help="only serve streams")
    parser.add_argument("--streams", type=int, default=400)
    parser.add_argument("--tokens", type=int, default=250, help="tokens per stream")
    parser.add_argument("--interval-s", type=float, default=0.02)
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    uvloop.install()
    if arguments.source:
        asyncio.run(serve_streams(arguments.tokens, arguments.interval_s))
        return
    if not arguments.profile:
        asyncio.run(run_measurements(arguments))
        return
    profile = cProfile.Profile()
    profile.runcall(asyncio.run, run_measurements(arguments))
    pstats.Stats(profile).sort_stats("tottime").print_stats(PROFILE_LINES_COUNT)


if __name__ == "__main__":
    main()
