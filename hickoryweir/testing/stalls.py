"""Stalls of an event loop, and clients that use a port of it meanwhile."""

import asyncio
import contextlib
import socket
import threading
import time

# Longer than a request may have been with a process that closes its connection.
STALL_S = 0.5
RESPONSE_TIMEOUT_S = 10.0


class Client:
    """A client on a thread, which a stall of the event loop does not stop.

    Attributes
    ----------
    received : bytes
        What it has received, complete once the connection has ended.
    """

    def __init__(
        self, address: tuple[str, int], request: bytes, connects_early: bool
    ) -> None:
        self.received = b""
        self._address, self._request = address, request
        self._may_send = threading.Event()
        self._connection: socket.socket | None = None
        if connects_early:
            self._connect()
        self._thread = threading.Thread(target=self._call, daemon=True)
        self._thread.start()

    def _connect(self) -> None:
        self._connection = socket.create_connection(self._address, RESPONSE_TIMEOUT_S)

    def _call(self) -> None:
        self._may_send.wait(RESPONSE_TIMEOUT_S)
        if self._connection is None:
            self._connect()
        self._connection.sendall(self._request)
        with self._connection, contextlib.suppress(ConnectionError):
            while part := self._connection.recv(65_536):
                self.received += part

    def exchange(self, request: bytes, end: bytes) -> None:
        """Send another request on the connection, and receive up to an end."""
        self._connection.sendall(request)
        received = b""
        while not received.endswith(end):
            received += self._connection.recv(65_536)

    def send(self) -> None:
        """Send the request, on a new connection if there is none."""
        self._may_send.set()

    async def receive(self) -> bytes:
        """Return all that is received until the end of the connection."""
        await asyncio.to_thread(self._thread.join, RESPONSE_TIMEOUT_S)
        return self.received


@contextlib.contextmanager
def stall(client: Client):
    """Stall the running loop once after a poll, while a client sends its request.

    The loop's timers that fall due meanwhile come before its next poll.
    """
    loop = asyncio.get_running_loop()
    began, trigger = socket.socketpair()

    def run() -> None:
        loop.remove_reader(began)
        client.send()
        time.sleep(STALL_S)

    with began, trigger:
        loop.add_reader(began, run)
        trigger.send(b"x")
        yield
        loop.remove_reader(began)
