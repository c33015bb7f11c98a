"""Planned stops of router processes that are paused around a moment of the stop."""

import asyncio
import re
import signal
import socket
import time

import pytest
from aiohttp import web

from hickoryweir.entry import router as routers
from hickoryweir.entry.tests import test_planned_stop as planned
from hickoryweir.entry.tests import test_processes as processes
from hickoryweir.entry.tests import test_stops_during_start as starts
from hickoryweir.forwarding import headers
from hickoryweir.testing import waiting

OPEN_PORT_S, _ = routers.split_grace(starts.GRACE_S)
# From the signal: the pause, which ends after the port would have been closed.
PAUSE_S, RESUME_S = OPEN_PORT_S - 0.5, OPEN_PORT_S + 0.5
# Longer than what is left of the grace when all connections are closed.
SIGNAL_PAUSE_S, SETTLED_S = 1.5, 0.5

# Longer than the part of the grace that is left for the end of the process.
DELAY_S = 1.2


def sleep_until(at_s):
    time.sleep(max(0.0, at_s - time.monotonic()))


@pytest.mark.parametrize("connects_early", [False, True])
def test_request_received_in_a_pause_before_the_port_closes_is_answered(
    tmp_path, connects_early
):
    """Guards against a reset of connections that wait in the queue of the port."""
    router, address = starts.start_router(tmp_path, 0.0)
    try:
        starts.wait_for_line(router, '"serving"')
        connection = socket.socket()
        connection.settimeout(2 * starts.GRACE_S)
        if connects_early:
            connection.connect(address)
        router.send_signal(signal.SIGTERM)
        stopped_s = time.monotonic()
        sleep_until(stopped_s + PAUSE_S)
        router.send_signal(signal.SIGSTOP)
        if not connects_early:
            connection.connect(address)
        with connection:
            connection.sendall(starts.REQUEST)
            sleep_until(stopped_s + RESUME_S)
            router.send_signal(signal.SIGCONT)
            answer = starts.receive(connection)
        assert router.wait(2 * starts.GRACE_S) == 0
        assert re.match(rb"HTTP/1.1 503 ", answer), answer
    finally:
        router.kill()
        router.wait()


class SlowSite(planned.Site):
    """A site whose server works for longer than any grace."""

    async def run_request(self, request):
        """Run a request at the server."""
        if request.headers.get(headers.REQUEST_ID) is None:
            return web.Response()
        self.runs["r-1"] += 1
        await asyncio.sleep(2 * planned.GRACE_S)
        return web.Response()


def test_call_is_answered_within_the_grace_if_a_pause_delays_the_signal(tmp_path):
    """Guards against a grace that begins when the event loop runs again."""

    async def main():
        site, loop = SlowSite(tmp_path), asyncio.get_running_loop()
        host = processes.ROUTER_HOST
        try:
            await site.start()
            url = f"http://{host}:{site.values['port']}/book/x"
            given = {"Host": "site.example", headers.REQUEST_ID: "r-1"}
            calling = asyncio.create_task(site.session.post(url, headers=given))
            await waiting.wait_until(lambda: site.runs["r-1"], planned.GRACE_S)
            router = site.processes[host]
            router.send_signal(signal.SIGSTOP)
            router.send_signal(signal.SIGTERM)
            stopped_s = loop.time()
            await asyncio.sleep(DELAY_S)
            router.send_signal(signal.SIGCONT)
            response = await calling
            return response.status, loop.time() - stopped_s
        finally:
            await site.close()

    status, answered_after_s = asyncio.run(main())
    assert status == 502
    assert answered_after_s < planned.GRACE_S


def test_grace_runs_from_a_signal_that_came_in_a_pause(tmp_path):
    """Guards against a process that is killed after the grace, with its responses."""
    router, address = starts.start_router(tmp_path, 0.0)
    try:
        starts.wait_for_line(router, '"serving"')
        time.sleep(SETTLED_S)
        with socket.create_connection(address) as connection:
            # The rest of the body never comes.
            head = starts.REQUEST.replace(b"GET", b"POST")[: -len(b"\r\n")]
            connection.sendall(head + b"Content-Length: 9\r\n\r\n")
            time.sleep(SETTLED_S)
            router.send_signal(signal.SIGSTOP)
            router.send_signal(signal.SIGTERM)
            stopped_s = time.monotonic()
            time.sleep(SIGNAL_PAUSE_S)
            router.send_signal(signal.SIGCONT)
            assert router.wait(2 * starts.GRACE_S) == 0
            took_s = time.monotonic() - stopped_s
        assert took_s < starts.GRACE_S
    finally:
        router.kill()
        router.wait()
