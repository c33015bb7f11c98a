"""Opens a router's port for clients before the slow imports of a process.

After a loss of power all routers of a zone start at once, and their imports take a
second on a small VM.  The kernel accepts connections meanwhile, which are served as
soon as the router runs, instead of refusing them.  This module imports nothing that
loads slowly.
"""

import atexit
import configparser
import contextlib
import errno
import json
import os
import pathlib
import select
import socket
import time

from hickoryweir import early_signals

BACKLOG_COUNT = 1_024
# Time for the refusals to reach clients, and for the rest of what they send.
REFUSAL_TIMEOUT_S = 1.0
# The same where others wait for its descriptor.
SHORT_REFUSAL_TIMEOUT_S = 0.05
READ_INTERVAL_S = 0.01
NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE)
STANDARD_OUTPUT = 1
READ_SIZE_BYTES = 1_048_576
STOPPED_MESSAGE = "stopped while starting"
# Says that the request was not run, as the router's own refusals do.
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)

_listeners: dict[tuple[str, int], socket.socket] = {}


def open_from(path: pathlib.Path) -> None:
    """Listen at the clients' address of a settings file.

    Without a valid address nothing is opened; the settings are checked later, and an
    address in use is reported when the router listens itself.
    """
    address = _read_address(path)
    if address is None:
        return
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    # The end of the process would reset the connections that the kernel has accepted.
    early_signals.call_before_exit(_refuse_before_stop)
    atexit.register(_refuse_before_end)
    try:
        listener.bind(address)
        listener.listen(BACKLOG_COUNT)
    except OSError:
        listener.close()
        return
    _listeners[address] = listener


def take(host: str, port: int) -> socket.socket | None:
    """Return the listener opened at an address and forget it; None if there is none."""
    return _listeners.pop((host, port), None)


def _refuse_before_end() -> None:
    """Refuse what was received by a process that ends of an exception."""
    if _listeners:
        early_signals.ignore_stop()
        refuse_waiting()


def _refuse_before_stop() -> None:
    refused_count = refuse_waiting()
    # The log is not set up yet.
    line = {"message": STOPPED_MESSAGE, "detail": f"{refused_count} requests refused"}
    _write_without_waiting(json.dumps({"level": "INFO"} | line) + "\n")


def _write_without_waiting(text: str) -> None:
    """Write to the standard output if it takes bytes now; nobody may read it."""
    with contextlib.suppress(OSError):
        if select.select([], [STANDARD_OUTPUT], [], 0)[1]:
            os.write(STANDARD_OUTPUT, text.encode())


def refuse_waiting() -> int:
    """Close the listeners that nobody took, and refuse the requests received on them.

    For a process that ends before it has served; this blocks.

    Returns
    -------
    int
        How many requests were refused.
    """
    refused_count, end_s = 0, time.monotonic() + REFUSAL_TIMEOUT_S
    for listener in _listeners.values():
        with listener:
            refused_count += _refuse_queue(listener, end_s)
    _listeners.clear()
    return refused_count


def _refuse_queue(listener: socket.socket, end_s: float) -> int:
    """Refuse all requests in a queue until a monotonic time; return their number."""
    refused_count, is_short = 0, True
    # By connection, until when its client may send the rest and read the refusal.
    open_until_s: dict[socket.socket, float] = {}
    while is_short or open_until_s:
        now_s, accepted = time.monotonic(), []
        if is_short:
            accepted, is_short = _accept_waiting(listener)
        if not is_short:
            listener.close()
        # Others wait for the descriptors of these.
        until_s = now_s + SHORT_REFUSAL_TIMEOUT_S if is_short else end_s
        for connection in accepted:
            if _refuse(connection):
                refused_count += 1
                open_until_s[connection] = until_s
            else:
                connection.close()
        for connection, until_s in list(open_until_s.items()):
            # Unread bytes would discard the refusal.
            if _has_ended(connection) or now_s >= min(until_s, end_s):
                connection.close()
                del open_until_s[connection]
        if now_s >= end_s:
            break
        time.sleep(READ_INTERVAL_S)
    return refused_count


def _accept_waiting(listener: socket.socket) -> tuple[list[socket.socket], bool]:
    """Return the connections that wait, and whether descriptors ran out."""
    connections: list[socket.socket] = []
    while len(connections) < BACKLOG_COUNT:
        try:
            connections.append(listener.accept()[0])
        except OSError as error:
            return connections, error.errno in NO_DESCRIPTOR_ERRORS
    return connections, False


def _refuse(connection: socket.socket) -> bool:
    """Refuse the request on a connection; return whether one has begun."""
    connection.setblocking(False)
    try:
        if not connection.recv(1, socket.MSG_PEEK):
            return False
        connection.sendall(REFUSAL)
        connection.shutdown(socket.SHUT_WR)
    except OSError:
        # The client has left, or has sent nothing.
        return False
    return True


def _has_ended(connection: socket.socket) -> bool:
    """Read what has arrived; return whether the client has closed the connection."""
    try:
        return not connection.recv(READ_SIZE_BYTES)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _read_address(path: pathlib.Path) -> tuple[str, int] | None:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text())
        text = parser.get("ports", "clients", fallback="")
    except (OSError, UnicodeDecodeError, configparser.Error):
        return None
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65_535:
        return None
    return host, int(port)
