"""Planned stops of routers that have opened their port and do not serve yet."""

import contextlib
import re
import signal
import socket
import subprocess
import sys
import time

import pytest

from hickoryweir.entry.tests import test_processes as processes
from hickoryweir.testing.demo import entry_vms

GRACE_S = 4.0
# A request that is closed later than this after it was sent counts as lost.
LOSS_SLACK_S = 0.2
# The line after which the signal comes, and how much longer the imports take.
MOMENTS = [("listening", 1.0), ("listening", 2 * GRACE_S), ("importing", 0.0)]
PROGRAM = """
import os, pathlib, sys, time
from hickoryweir import early_listener, early_signals, process_exit
path = pathlib.Path(sys.argv[1])
early_signals.install_handlers()
early_listener.open_from(path)
print("listening", flush=True)
time.sleep(float(sys.argv[2]))
from hickoryweir.entry import main, own_formats
print("importing", flush=True)
process_exit.exit_at_once(main.serve(path, own_formats.make_adapters()))
"""
REQUEST = b"GET /none/ HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\r\n"


def start_router(folder, pause_s, program=PROGRAM):
    """Start a router that no replica answers; return its process and its address."""
    values = processes.make_values(entry_vms.free_port())
    path = folder / "router.ini"
    path.write_text(
        processes.SETTINGS.format(
            role="router", host=processes.ROUTER_HOST, folder=folder, **values
        )
    )
    command = [sys.executable, "-c", program, str(path), str(pause_s)]
    router = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    return router, (processes.ROUTER_HOST, values["port"])


def wait_for_line(router, text):
    for line in router.stdout:
        if text in line:
            return


def receive(connection):
    """Return all that a server sends until it closes or resets the connection."""
    received = b""
    with contextlib.suppress(ConnectionError):
        while part := connection.recv(4096):
            received += part
    return received


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize(("line", "pause_s"), MOMENTS)
def test_request_received_before_a_stop_during_the_start_is_answered(
    tmp_path, line, pause_s, number
):
    """Guards against a reset of connections that only the kernel has accepted."""
    router, address = start_router(tmp_path, pause_s)
    try:
        wait_for_line(router, "listening")
        with socket.create_connection(address, timeout=2 * GRACE_S) as connection:
            connection.sendall(REQUEST)
            if line == "listening":
                time.sleep(LOSS_SLACK_S)
            else:
                wait_for_line(router, line)
            stopped_s = time.monotonic()
            router.send_signal(number)
            answer = receive(connection)
        router.wait(2 * GRACE_S)
        assert re.match(rb"HTTP/1.1 503 ", answer), answer
        assert b"\r\nRetry-After: " in answer
        assert time.monotonic() - stopped_s < GRACE_S
        assert router.returncode == 0
    finally:
        router.kill()
        router.wait()
