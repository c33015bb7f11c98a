"""Refusals by processes that end before they have served."""

import contextlib
import re
import signal
import socket
import time

import pytest

from hickoryweir.entry.tests import test_stops_during_start as starts

PAUSE_S = 1.0
CONNECT_TIMEOUT_S = 10.0
CLIENTS_COUNT = 200
DESCRIPTORS_COUNT = 64
IMPORTS = "from hickoryweir.entry import main, own_formats\n"
PORT_OPENING = "early_listener.open_from(path)\n"
FEW_DESCRIPTORS = f"""
import resource
resource.setrlimit(resource.RLIMIT_NOFILE, ({DESCRIPTORS_COUNT}, {DESCRIPTORS_COUNT}))
"""
# Nobody reads from the pipe.
FULL_STANDARD_OUTPUT = """
os.set_blocking(1, False)
try:
    while True:
        os.write(1, bytes(4096))
except BlockingIOError:
    os.set_blocking(1, True)
print = lambda *arguments, **options: None
"""


def replace(old, new):
    assert old in starts.PROGRAM
    return starts.PROGRAM.replace(old, new)


def connect_when_open(address):
    end_s = time.monotonic() + CONNECT_TIMEOUT_S
    while True:
        try:
            return socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
        except ConnectionRefusedError:
            if time.monotonic() >= end_s:
                raise
            time.sleep(0.01)


@contextlib.contextmanager
def run_clients(folder, pause_s, program, count):
    """Yield a router with an open port and connections that have sent a request."""
    router, address = starts.start_router(folder, pause_s, program)
    with contextlib.ExitStack() as stack:
        stack.callback(router.wait)
        stack.callback(router.kill)
        connections = [stack.enter_context(connect_when_open(address))]
        for _ in range(count - 1):
            connection = socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
            connections.append(stack.enter_context(connection))
        for connection in connections:
            connection.sendall(starts.REQUEST)
        yield router, connections


def count_refused(connections):
    answers = [starts.receive(connection) for connection in connections]
    return sum(bool(re.match(rb"HTTP/1.1 503 ", answer)) for answer in answers)


@pytest.mark.parametrize("error", ["ImportError()", "KeyboardInterrupt()"])
def test_request_received_before_an_error_in_the_imports_is_refused(tmp_path, error):
    """Guards against a reset of connections that only the kernel has accepted."""
    program = replace(IMPORTS, f"raise {error}\n")
    with run_clients(tmp_path, PAUSE_S, program, 1) as (router, connections):
        assert count_refused(connections) == 1
        assert router.wait(CONNECT_TIMEOUT_S) != 0


def test_requests_beyond_the_descriptors_of_a_process_are_refused(tmp_path):
    """Guards against a reset of connections for which there is no descriptor."""
    program = replace(PORT_OPENING, FEW_DESCRIPTORS + PORT_OPENING)
    clients = run_clients(tmp_path, CONNECT_TIMEOUT_S, program, CLIENTS_COUNT)
    with clients as (router, connections):
        router.send_signal(signal.SIGTERM)
        assert count_refused(connections) == CLIENTS_COUNT
        assert router.wait(CONNECT_TIMEOUT_S) == 0


def test_second_stop_signal_does_not_end_the_refusals_of_a_failed_start(tmp_path):
    """Guards against refusals that are cut short by another signal."""
    clients = run_clients(tmp_path, PAUSE_S, starts.PROGRAM, CLIENTS_COUNT)
    with clients as (router, connections):
        (tmp_path / "router.ini").write_text("[process]\nrole = none\n")
        assert connections[0].recv(1, socket.MSG_PEEK)
        for number in (signal.SIGTERM, signal.SIGINT):
            router.send_signal(number)
        assert count_refused(connections) == CLIENTS_COUNT
        assert router.wait(CONNECT_TIMEOUT_S) != 0


def test_full_standard_output_does_not_hold_up_an_early_stop(tmp_path):
    """Guards against a handler that waits for the reader of its line."""
    program = replace(PORT_OPENING, FULL_STANDARD_OUTPUT + PORT_OPENING)
    with run_clients(tmp_path, CONNECT_TIMEOUT_S, program, 1) as (router, connections):
        router.send_signal(signal.SIGTERM)
        assert count_refused(connections) == 1
        assert router.wait(CONNECT_TIMEOUT_S / 2) == 0
