"""Documents, orders and duty calls whose replies go on without end."""

import asyncio
import contextlib
import gc
import json
import sys
import time
import tracemalloc

import pytest
from returns import result

from hickoryweir.duties import calls
from hickoryweir.duties.tests import test_calls
from hickoryweir.engines import orders, reads, sessions
from hickoryweir.engines.tests import benches, test_orders
from hickoryweir.testing import floods

HOST = "127.0.0.1"
TIMEOUT_S = 2.0
# Beyond the timeout itself, on a machine with other work.
LATE_S = 0.5
# Sound calls of the process are answered within 0.2 s beside floods.
MAX_STALL_S = 0.2
TICK_S = 0.005
# What the reads of a connection take beside the part of a reply that is kept.
READ_BUFFERS_SIZE_BYTES = 1024 * 1024
FORMS = [name for name, form in floods.FORMS.items() if not form.is_stream]


async def read_document(port):
    async with sessions.make_session() as session:
        return await reads.read_bytes(session, f"http://{HOST}:{port}/", TIMEOUT_S)


async def send_order(port):
    server = benches.make_server(f"http://{HOST}:{port}")
    async with sessions.make_session() as session:
        return await orders.send(
            session, server, test_orders.make_order(1), lambda: True, TIMEOUT_S
        )


async def make_duty_call(port):
    return await test_calls.send(f"{HOST}:{port}", test_calls.Holder())


KINDS = {
    "document": (read_document, reads.MAX_DOCUMENT_SIZE_BYTES),
    "order": (send_order, orders.MAX_RESPONSE_SIZE_BYTES),
    "duty call": (make_duty_call, 0),
}


@contextlib.asynccontextmanager
async def run_floods():
    """Run the faulty servers; yield the port of each form."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "hickoryweir.testing.floods", "serve", HOST),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield json.loads(await process.stdout.readline())
    finally:
        process.kill()
        await process.wait()


@contextlib.contextmanager
def exempt_older_objects():
    """Keep the objects of other tests out of the garbage collections meanwhile."""
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


async def find_longest_stall(stalls_s):
    """Append the longest time between two turns of the loop so far, without end."""
    while True:
        began_s = time.monotonic()
        await asyncio.sleep(TICK_S)
        stalls_s.append(time.monotonic() - began_s - TICK_S)


async def measure(call, form):
    """Return the outcome of a call, its time, the longest stall and peak memory."""
    async with run_floods() as ports:
        stalls_s = []
        watching = asyncio.create_task(find_longest_stall(stalls_s))
        await asyncio.sleep(10 * TICK_S)
        tracemalloc.start()
        began_s = time.monotonic()
        outcome = await call(ports[form])
        took_s = time.monotonic() - began_s
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        watching.cancel()
        return outcome, took_s, max(stalls_s), peak_bytes


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("kind", KINDS)
def test_reply_without_end_costs_no_more_than_its_bound(kind, form):
    """Guards against a process that one reply of the infrastructure fills or stops."""
    call, limit_bytes = KINDS[kind]
    with exempt_older_objects():
        outcome, took_s, stall_s, peak_bytes = asyncio.run(measure(call, form))
    seen = f"{outcome}, {took_s:.2f} s, stall {stall_s:.3f} s, {peak_bytes} bytes"
    assert isinstance(outcome, result.Result | calls.Outcome), seen
    assert took_s < TIMEOUT_S + LATE_S, seen
    assert stall_s < MAX_STALL_S, seen
    assert peak_bytes < limit_bytes + READ_BUFFERS_SIZE_BYTES, seen
