"""Measure the router's overhead: ``python -m hickoryweir.measures.daemon``.

Three processes on loopback: a stand-in engine that answers immediately, one entry VM
(router and single replica) and this process as the caller.  The same calls are sent
alternately to the engine directly and through the router.  Concurrent streams then
show how many tokens per second one core of the router relays.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Annotated

import aiohttp
import cappa
import uvloop
from aiohttp import web
from returns import result

from hickoryweir.configuration import change_ids
from hickoryweir.operators import client, documents
from hickoryweir.testing.demo import entry_vms

CHUNK_COUNT = 100
WARM_UP_COUNT = 20
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ACCOUNT_KEY = "measure"
MODEL = "assistant"
ANSWERS_TEMPLATE = """\
[team]
name = measure
availability_zones = a
entry_vms = 1
callers_resend_within_hours = 1
weight_store_mb_per_s = 100

[request read]
purpose = measure
answered_by = model assistant
may_run_twice = yes
first_token_within_s = 5.0
between_tokens_within_s = 5.0
whole_answer_within_s = 60.0
gives_up_after_s = 120.0
met_for_percent = 90
never_below_percent = 50
usual_question_tokens = 10
usual_answer_tokens = 50
longest_answer_tokens = 100
retry = yes
race_a_second_copy = no

[model assistant]
version = 1
weights_size_mb = 1

[backend-server engine-1]
runs = model
serves = assistant
url = {url}
availability_zone = a
provider = p
calls_at_once = 1000
tokens_per_s = 1000
checks_order_numbers = yes

[account measure]
key_sha256 = 15016616827978628467453a373ae7ca8e5dee91c4cbe02816a3667a93e8abe2
requests = read
calls_per_s = 100000
tokens_per_s = 100000000
weight = 1
"""


@dataclasses.dataclass
class Measure:
    """Compare calls through the router with direct calls to an engine."""

    part: Annotated[str, cappa.Arg(long=True, help="Part to run: all or engine.")] = (
        "all"
    )
    port: Annotated[int, cappa.Arg(long=True, help="Port of the engine.")] = 0
    calls: Annotated[int, cappa.Arg(long=True, help="Sequential calls.")] = 500
    streams: Annotated[int, cappa.Arg(long=True, help="Concurrent streams.")] = 50
    rounds: Annotated[int, cappa.Arg(long=True, help="Rounds of streams.")] = 10
    token_interval_ms: Annotated[
        float, cappa.Arg(long=True, help="Time between tokens of a stream.")
    ] = 2.0


def make_event(request_id: str, delta: str, finish: str = "null") -> bytes:
    """Return one server-sent event of a streamed chat completion."""
    return (
        f'data: {{"id":"chatcmpl-{request_id}","object":"chat.completion.chunk",'
        f'"created":0,"model":"{MODEL}","choices":[{{"index":0,"delta":{{{delta}}},'
        f'"finish_reason":{finish}}}]}}\n\n'
    ).encode()


async def answer_chat(request: web.Request) -> web.StreamResponse:
    """Answer a chat completion, or stream one of :data:`CHUNK_COUNT` tokens."""
    body = json.loads(await request.read())
    request_id = request.headers.get("X-Request-Id", "direct")
    if not body.get("stream"):
        message = {"role": "assistant", "content": "ok"}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        usage = {"prompt_tokens": 1, "completion_tokens": 1, "total_tokens": 2}
        answer = {"id": f"chatcmpl-{request_id}", "choices": [choice], "usage": usage}
        return web.json_response(answer, headers={"X-Request-Id": request_id})
    headers = {"Content-Type": "text/event-stream", "X-Request-Id": request_id}
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    token = make_event(request_id, '"content":" word"')
    token_interval_s = request.app[TOKEN_INTERVAL_S]
    for _ in range(CHUNK_COUNT):
        await response.write(token)
        await asyncio.sleep(token_interval_s)
    await response.write(make_event(request_id, "", '"stop"') + b"data: [DONE]\n\n")
    await response.write_eof()
    return response


TOKEN_INTERVAL_S = web.AppKey("pause_s", float)


async def answer_load(request: web.Request) -> web.Response:
    """Answer with the load report of an idle engine."""
    report = {"running": 0, "waiting": 0, "cache_used_share": 0.0, "age_s": 0.0}
    return web.json_response(report)


async def answer_cache_events(request: web.Request) -> web.Response:
    """Answer with an empty list of cache events."""
    return web.json_response({"last_sequence": 0, "events": []})


def run_engine(port: int, token_interval_s: float) -> None:
    """Serve the stand-in engine until the process ends."""
    app = web.Application()
    app[TOKEN_INTERVAL_S] = token_interval_s
    app.router.add_post("/v1/chat/completions", answer_chat)
    app.router.add_get("/load", answer_load)
    app.router.add_get("/{number}/load", answer_load)
    app.router.add_get("/{number}/cache_events", answer_cache_events)
    app.router.add_get("/cache_events", answer_cache_events)
    loop = uvloop.new_event_loop()
    web.run_app(
        app,
        host=entry_vms.HOST,
        port=port,
        loop=loop,
        print=None,
        access_log=None,
        handle_signals=False,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Processor time and memory of a process."""

    processor_s: float
    resident_size_bytes: int


def read_usage(pid: int) -> Usage:
    """Return the processor time and resident memory of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    resident_pages = int(fields[21])
    return Usage(ticks / CLOCK_TICKS_PER_S, resident_pages * os.sysconf("SC_PAGESIZE"))


async def submit_configuration(vm: entry_vms.EntryVm, answers_text: str) -> None:
    """Submit the configuration and wait until it is in force."""
    access = client.Access((vm.operators_url,), entry_vms.OPERATOR_KEY)
    body = {
        "change_id": change_ids.make(time.time()),
        "answers": answers_text,
    }
    reply_type = documents.AcceptedDocument
    while True:
        outcome = await client.request(access, "POST", "/changes", reply_type, body)
        if isinstance(outcome, result.Success):
            return
        print(f"not accepted, retrying: {outcome.failure()}", file=sys.stderr)
        await asyncio.sleep(0.5)


async def call_once(session: aiohttp.ClientSession, url: str, stream: bool) -> int:
    """Send one call, read its answer and return the size in bytes."""
    body = {
        "model": MODEL,
        "stream": stream,
        "messages": [{"role": "user", "content": "hello"}],
    }
    headers = {"Authorization": f"Bearer {ACCOUNT_KEY}"}
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=headers
    ) as response:
        answer = await response.read()
        if response.status != 200:
            raise RuntimeError(answer.decode())
        return len(answer)


async def measure_calls(urls: tuple[str, str], count: int) -> tuple[list, list]:
    """Return the latencies of direct and routed calls, sent alternately."""
    times_s: tuple[list, list] = ([], [])
    async with aiohttp.ClientSession() as session:
        for number in range(count + WARM_UP_COUNT):
            for path_index, url in enumerate(urls):
                started_s = time.perf_counter()
                await call_once(session, url, stream=False)
                if number >= WARM_UP_COUNT:
                    times_s[path_index].append(time.perf_counter() - started_s)
    return times_s


async def measure_streams(url: str, streams: int, rounds: int, pid: int) -> None:
    """Print the tokens relayed per second and per second of processor time."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        before = read_usage(pid)
        started_s = time.perf_counter()

        async def send_streams() -> None:
            for _ in range(rounds):
                await call_once(session, url, stream=True)

        await asyncio.gather(*(send_streams() for _ in range(streams)))
        elapsed_s = time.perf_counter() - started_s
        after = read_usage(pid)
    tokens_count = streams * rounds * CHUNK_COUNT
    processor_s = after.processor_s - before.processor_s
    print(
        f"{streams} streams: {tokens_count / elapsed_s:,.0f} tokens/s relayed, "
        f"{tokens_count / processor_s:,.0f} tokens per processor second, "
        f"{processor_s / elapsed_s:.0%} of a core, "
        f"{after.resident_size_bytes / 2**20:.0f} MiB resident"
    )


def print_latency(name: str, times_s: list[float]) -> None:
    """Print the median and the 99th percentile."""
    ordered = sorted(times_s)
    p50_ms = statistics.median(ordered) * 1000
    p99_ms = ordered[int(len(ordered) * 0.99)] * 1000
    print(f"{name:24} p50 {p50_ms:7.3f} ms   p99 {p99_ms:7.3f} ms")


def start_engine(port: int, token_interval_ms: float) -> subprocess.Popen:
    """Start the stand-in engine in a separate process."""
    command = [sys.executable, "-m", "hickoryweir.measures.daemon", "--part", "engine"]
    interval_options = ["--token-interval-ms", str(token_interval_ms)]
    return subprocess.Popen([*command, "--port", str(port), *interval_options])


async def run(arguments: Measure) -> None:
    """Start the processes, measure, and stop them."""
    port = entry_vms.free_port()
    engine_url = f"http://{entry_vms.HOST}:{port}"
    engine = start_engine(port, arguments.token_interval_ms)
    with tempfile.TemporaryDirectory(prefix="hickoryweir-measure-") as folder:
        vms = entry_vms.make_entry_vms(("a",), pathlib.Path(folder), 0)
        entry_vms.write_settings(vms)
        running = entry_vms.start(vms[0])
        try:
            await submit_configuration(vms[0], ANSWERS_TEMPLATE.format(url=engine_url))
            urls = (engine_url, vms[0].callers_url)
            before = read_usage(running.process.pid)
            direct_s, routed_s = await measure_calls(urls, arguments.calls)
            after = read_usage(running.process.pid)
            print_latency("plain call, direct", direct_s)
            print_latency("plain call, routed", routed_s)
            added_s = statistics.median(routed_s) - statistics.median(direct_s)
            ratio = statistics.median(routed_s) / statistics.median(direct_s)
            print(f"added at p50: {added_s * 1000:.3f} ms, ratio {ratio:.2f}")
            calls_count = arguments.calls + WARM_UP_COUNT
            call_ms = (after.processor_s - before.processor_s) / calls_count * 1000
            print(f"processor time of the router: {call_ms:.2f} ms per plain call")
            pid = running.process.pid
            await measure_streams(
                vms[0].callers_url, arguments.streams, arguments.rounds, pid
            )
        finally:
            entry_vms.stop(running)
            engine.terminate()
            engine.wait()


def main() -> None:
    """Run from the command line."""
    arguments = cappa.parse(Measure)
    if arguments.part == "engine":
        run_engine(arguments.port, arguments.token_interval_ms / 1000)
        return
    uvloop.install()
    asyncio.run(run(arguments))


if __name__ == "__main__":
    main()
