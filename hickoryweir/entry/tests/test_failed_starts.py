"""Routers that have opened their port early and cannot start."""

import re
import socket

import pytest

from hickoryweir.entry import main
from hickoryweir.entry.tests import test_processes as processes
from hickoryweir.entry.tests import test_stops_during_start as starts

BODY_SIZE_BYTES = 300_000
UPLOAD = (
    b"POST /none/ HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n"
    b"Content-Length: %d\r\n\r\n" % BODY_SIZE_BYTES
) + b"x" * BODY_SIZE_BYTES
PAUSE_S = 1.0


def find_ready_port(folder):
    text = (folder / "router.ini").read_text()
    return int(re.search(r"readiness = .*:(\d+)", text)[1])


@pytest.mark.parametrize(
    "request_bytes", [starts.REQUEST, UPLOAD], ids=["plain", "upload"]
)
@pytest.mark.parametrize(
    "exit_code", [main.EXIT_INVALID_SETTINGS, main.EXIT_NOT_STARTED]
)
def test_request_received_before_a_failed_start_is_refused(
    tmp_path, exit_code, request_bytes
):
    """Guards against a reset of connections that only the kernel has accepted."""
    router, address = starts.start_router(tmp_path, PAUSE_S)
    ready_address = (processes.ROUTER_HOST, find_ready_port(tmp_path))
    try:
        starts.wait_for_line(router, "listening")
        with (
            socket.create_server(ready_address),
            socket.create_connection(address, timeout=10) as connection,
        ):
            if exit_code == main.EXIT_INVALID_SETTINGS:
                (tmp_path / "router.ini").write_text("[process]\nrole = none\n")
            connection.sendall(request_bytes)
            answer = starts.receive(connection)
            assert router.wait(10) == exit_code
        assert re.match(rb"HTTP/1.1 503 ", answer), answer
        assert b"\r\nRetry-After: " in answer
    finally:
        router.kill()
        router.wait()
