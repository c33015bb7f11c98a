"""A raw client checks the whole body of its answer, plain and in chunks."""

import asyncio
import random
import time

import pytest

from hickoryweir.testing.soak import stop_backends, stop_clients, stop_records


async def receive(plan, kind, corrupt):
    """Return a request answered by a backend server, or by one of another request."""
    attempts = {}
    backend = await stop_backends.start("s0", attempts)
    target = stop_records.Target(
        stop_backends.HOST, backend.port, time.monotonic(), random.Random(1), attempts
    )
    async with stop_clients.connect(target) as connection:
        # The backend server reads the id from the router's header.
        request = await connection.send("keep", plan, kind)
        if corrupt:
            request.request_id += "x"
        await connection.receive(request)
    backend.listener.close()
    return request


@pytest.mark.parametrize("kind", ["once", "stream"])
@pytest.mark.parametrize("corrupt", [False, True])
def test_body_of_another_request_is_found(kind, corrupt):
    plan = stop_records.Plan(work_s=0.01, size_bytes=300_000)
    request = asyncio.run(receive(plan, kind, corrupt))
    assert (request.status, request.is_whole) == (200, True)
    assert request.is_correct is not corrupt


def test_stream_that_a_server_resets_is_not_whole():
    plan = stop_records.Plan(work_s=0.01, breaks=True)
    request = asyncio.run(receive(plan, "stream", False))
    assert not request.is_whole and request.end
