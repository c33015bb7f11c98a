"""Test bench: a stand-in server and a client session for it."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable

import aiohttp
from aiohttp import web

from hickoryweir.configuration import model
from hickoryweir.engines import calls, client, sessions
from hickoryweir.testing import engine, engine_model, running

TIMEOUTS = calls.EngineTimeouts(connect_timeout_s=2.0, read_timeout_s=5.0)
FAST_MODEL = engine_model.EngineModelSettings(
    decode_tokens_per_s=4000.0, prefill_tokens_per_s=1e6
)
SETTINGS = engine.EngineSettings(
    model_settings=FAST_MODEL, tick_s=0.002, report_lag_s=0.02, cache_event_lag_s=0.01
)


class Bench:
    """A running stand-in server and a client session."""

    def __init__(self, app: web.Application, served: running.RunningServer, session):
        self.app = app
        self.served = served
        self.session = session
        self.server = make_server(served.url)

    async def faults(self, **fields: object) -> None:
        """Inject faults into the server."""
        async with self.session.post(self.server.url + "/faults", json=fields) as got:
            assert got.status == 200

    async def open(self, call: calls.EngineCall) -> client.OpenResult:
        """Open a stream."""
        return await client.open_stream(self.session, self.server, call, TIMEOUTS)

    async def complete(self, call: calls.EngineCall) -> client.CompleteResult:
        """Send a non-streaming call."""
        return await client.complete(self.session, self.server, call, TIMEOUTS)


def make_server(url: str, *, checks_fencing: bool = True) -> model.BackendServer:
    return model.BackendServer(
        name="engine-1",
        target=model.Target.MODEL,
        url=url,
        availability_zone="a",
        provider="p",
        serves=("assistant",),
        max_concurrency=16,
        tokens_per_s=50.0,
        checks_fencing=checks_fencing,
    )


def make_call(
    request_id: str = "r1", *, stream: bool = True, **fields: object
) -> calls.EngineCall:
    resume = {
        name: fields.pop(name)
        for name in ("resume_tokens", "resume_text")
        if name in fields
    }
    body = {
        "model": "assistant",
        "messages": [{"role": "user", "content": "hello"}],
        "stream": stream,
        "stand_in_output_tokens": 12,
    } | fields
    raw = json.dumps(body).encode()
    path = "/v1/chat/completions"
    return calls.EngineCall(request_id, path, raw, stream, 1, **resume)


@contextlib.asynccontextmanager
async def engine_bench(
    settings: engine.EngineSettings = SETTINGS, *, keeps_connections: bool = False
) -> AsyncIterator[Bench]:
    async with app_bench(
        engine.make_app(settings), keeps_connections=keeps_connections
    ) as bench:
        yield bench


@contextlib.asynccontextmanager
async def app_bench(
    app: web.Application, *, keeps_connections: bool = False
) -> AsyncIterator[Bench]:
    served = await running.start(app)
    session: aiohttp.ClientSession = sessions.make_session(
        keeps_connections=keeps_connections
    )
    try:
        yield Bench(app, served, session)
    finally:
        await session.close()
        await served.stop()


async def read_all(stream: client.EngineStream) -> tuple[bytes, client.ReadResult]:
    """Read a stream to its end; return all data and the last result."""
    data = b""
    while True:
        end = await stream.read()
        chunk = end.value_or(None)
        data += chunk.data if chunk else b""
        if chunk is None or chunk.finished:
            await stream.close()
            return data, end


def text_of(data: bytes) -> str:
    """Return the text of a stream's events."""
    text = ""
    for event in data.split(b"\n\n"):
        if event and event != b"data: [DONE]":
            for choice in json.loads(event.removeprefix(b"data: "))["choices"]:
                text += choice["delta"].get("content", "")
    return text


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll until a condition holds."""
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.001)
