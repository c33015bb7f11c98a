"""Clients that connect before a router has finished its imports."""

import asyncio
import contextlib
import socket
import time
from concurrent import futures

import pytest

from hickoryweir import early_listener
from hickoryweir.forwarding import server
from hickoryweir.forwarding.tests import sites
from hickoryweir.routes.tests import tables
from hickoryweir.testing.demo import entry_vms

CLIENTS_COUNT = 4


def write_settings(folder, text):
    path = folder / "settings.ini"
    path.write_text(text)
    return path


def test_request_sent_before_the_router_serves_is_answered(tmp_path):
    port = entry_vms.free_port()
    path = write_settings(tmp_path, f"[ports]\nclients = {sites.HOST}:{port}\n")

    async def main():
        early_listener.open_from(path)
        reader, writer = await asyncio.open_connection(sites.HOST, port)
        writer.write(b"GET /none/ HTTP/1.1\r\nHost: site.example\r\n\r\n")
        forwarder = sites.make_forwarder((tables.make_route(),))
        forwarder.started.set()
        running = await server.start(forwarder, sites.HOST, port)
        status_line = await reader.readline()
        writer.close()
        await server.stop(running, 0.1)
        await forwarder.retryable_session.close()
        await forwarder.at_most_once_session.close()
        return status_line

    assert asyncio.run(main()).startswith(b"HTTP/1.1 404")


def test_listener_is_taken_once(tmp_path):
    port = entry_vms.free_port()
    path = write_settings(tmp_path, f"[ports]\nclients = {sites.HOST}:{port}\n")
    early_listener.open_from(path)
    listener = early_listener.take(sites.HOST, port)
    assert listener.getsockname() == (sites.HOST, port)
    listener.close()
    assert early_listener.take(sites.HOST, port) is None


@pytest.mark.parametrize(
    "text", ["", "[ports]\nclients =\n", "[ports]\nclients = nowhere\n", "no section"]
)
def test_settings_without_a_valid_address_open_nothing(tmp_path, text):
    early_listener.open_from(write_settings(tmp_path, text))
    assert early_listener._listeners == {}


def test_missing_settings_open_nothing(tmp_path):
    early_listener.open_from(tmp_path / "none.ini")
    assert early_listener._listeners == {}


def test_address_in_use_is_left_to_the_router(tmp_path):
    with socket.create_server((sites.HOST, 0)) as taken:
        port = taken.getsockname()[1]
        path = write_settings(tmp_path, f"[ports]\nclients = {sites.HOST}:{port}\n")
        early_listener.open_from(path)
        assert early_listener.take(sites.HOST, port) is None


def test_refusals_reach_all_clients_that_keep_their_connections_open(tmp_path):
    port = entry_vms.free_port()
    path = write_settings(tmp_path, f"[ports]\nclients = {sites.HOST}:{port}\n")
    early_listener.open_from(path)
    body = b"x" * 1_000_000
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
    with contextlib.ExitStack() as stack:
        clients = [
            stack.enter_context(socket.create_connection((sites.HOST, port)))
            for _ in range(CLIENTS_COUNT)
        ]
        for client in clients:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
        unused = stack.enter_context(socket.create_connection((sites.HOST, port)))
        threads = stack.enter_context(futures.ThreadPoolExecutor(CLIENTS_COUNT))
        sending = [threads.submit(each.sendall, head + body) for each in clients]
        time.sleep(0.1)
        assert early_listener.refuse_waiting() == CLIENTS_COUNT
        errors = [each.exception() for each in sending]
        received = [client.recv(65_536) for client in clients]
        assert unused.recv(65_536) == b""
    assert errors == [None] * CLIENTS_COUNT
    assert all(each.startswith(b"HTTP/1.1 503 ") for each in received)
