"""Ports that are closed while the process has no free file descriptor."""

import asyncio
import contextlib
import os
import resource

import pytest
import uvloop

from hickoryweir import graceful_stop, listening
from hickoryweir.tests import test_graceful_stop

LOOP_FACTORIES = [asyncio.new_event_loop, uvloop.new_event_loop]
DURATION_S = 0.2


@contextlib.contextmanager
def no_free_descriptor():
    """Let no further file descriptor be opened."""
    soft_count, hard_count = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.dup(0)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard_count))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft_count, hard_count))


@pytest.mark.parametrize("loop_factory", LOOP_FACTORIES)
def test_port_closes_without_a_free_descriptor(loop_factory):
    async def main():
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            asyncio.Protocol, test_graceful_stop.HOST, 0
        )
        address = listener.sockets[0].getsockname()
        with no_free_descriptor():
            opening = listening.close(listener, asyncio.Protocol)
        await asyncio.sleep(0)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)
        return opening

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        assert runner.run(main()) == []


@pytest.mark.parametrize("loop_factory", LOOP_FACTORIES)
def test_stop_without_a_free_descriptor_answers_open_requests(loop_factory):
    """Guards against a stop that fails and resets all connections."""

    async def main():
        runner, address = await test_graceful_stop.start(duration_s=DURATION_S)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(test_graceful_stop.REQUEST)
        await asyncio.sleep(DURATION_S / 2)
        with no_free_descriptor():
            await graceful_stop.stop(runner, test_graceful_stop.LIMIT_S)
        response = await reader.read()
        writer.close()
        return response

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        assert runner.run(main()).endswith(b"whole")
