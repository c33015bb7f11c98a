"""The faults of the backend servers around planned stops, as a client sees them."""

import asyncio
import contextlib
import random
import time

import pytest

from hickoryweir.testing import waiting
from hickoryweir.testing.soak import stop_backends, stop_clients, stop_records

FAULT_S = 0.3


async def send_during(fault):
    """Return a request sent during a fault, its attempts, and one sent afterwards."""
    attempts = {}
    backend = await stop_backends.start("s0", attempts)
    target = stop_records.Target(
        stop_backends.HOST, backend.port, time.monotonic(), random.Random(1), attempts
    )
    disturbing = asyncio.create_task(stop_backends.disturb(backend, fault, FAULT_S))
    await asyncio.sleep(0)
    during = None
    with contextlib.suppress(ConnectionRefusedError):
        during = await send(target)
    await disturbing
    after = await send(target)
    backend.listener.close()
    return during, attempts, after


async def send(target):
    async with stop_clients.connect(target) as connection:
        request = await connection.send("keep", stop_records.Plan(work_s=0.01))
        await connection.receive(request)
    return request


@pytest.mark.parametrize("fault", stop_backends.FAULTS)
def test_server_is_sound_again_after_its_fault(fault):
    _, _, after = asyncio.run(send_during(fault))
    assert (after.status, after.is_whole, after.is_correct) == (200, True, True)


def test_server_that_refuses_runs_nothing():
    during, attempts, _ = asyncio.run(send_during("refuse"))
    assert during.status == 503
    assert attempts[during.request_id][0].run_s is None


def test_silent_server_answers_after_its_silence():
    during, _, _ = asyncio.run(send_during("silent"))
    assert during.status == 200
    assert during.ended_s >= FAULT_S


def test_server_that_is_gone_refuses_connections():
    during, _, _ = asyncio.run(send_during("gone"))
    assert during is None


async def interrupt(fault):
    """Return the attempt at a server whose fault begins while it works."""
    attempts = {}
    backend = await stop_backends.start("s0", attempts)
    target = stop_records.Target(
        stop_backends.HOST, backend.port, time.monotonic(), random.Random(1), attempts
    )
    async with stop_clients.connect(target) as connection:
        request = await connection.send("keep", stop_records.Plan(work_s=5.0))
        await waiting.wait_until(lambda: request.request_id in attempts, 5.0)
        await stop_backends.disturb(backend, fault, 0.01)
        await connection.receive(request)
    backend.listener.close()
    return request, attempts[request.request_id][0]


def test_server_that_goes_away_breaks_off_its_requests():
    request, attempt = asyncio.run(interrupt("gone"))
    assert request.end == "ConnectionResetError" or request.end == "closed"
    assert attempt.broke_off
    assert attempt.finished_s is None
