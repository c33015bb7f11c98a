"""Detects how the body of a response ends.

A body with neither a length nor chunks ends with its connection, and aiohttp reports a
clean close and a reset alike.  The classes below tell the two apart.
"""

import enum
import functools
import socket

import aiohttp
from aiohttp import client_proto


class Framing(enum.StrEnum):
    """What marks the end of a response's body (RFC 9112, section 6.3)."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "end of connection"


def framing_of(response: aiohttp.ClientResponse) -> Framing:
    """Return what marks the end of a response's body."""
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return Framing.CHUNKS
    if "Content-Length" in response.headers:
        return Framing.LENGTH
    return Framing.CONNECTION


class ResetDetectingProtocol(client_proto.ResponseHandler):
    """Records whether the connection ended by a reset.

    If bytes and a reset arrive together, uvloop reads the bytes and reports a clean
    end of file; the socket's ``SO_ERROR`` still holds the error.

    Attributes
    ----------
    was_reset : bool
        Whether the server reset the connection.
    """

    was_reset = False

    def eof_received(self) -> None:
        """Check the socket for a reset."""
        sock = None
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
        if sock is not None and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.was_reset = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record a reset that the event loop reports."""
        self.was_reset = self.was_reset or exc is not None
        super().connection_lost(exc)


class ResetDetectingConnector(aiohttp.TCPConnector):
    """Connector whose connections record a reset."""

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._factory = functools.partial(ResetDetectingProtocol, loop=self._loop)


def protocol_of(response: aiohttp.ClientResponse) -> ResetDetectingProtocol | None:
    """Return the protocol of a response whose body is unread; None if it has ended."""
    connection = response.connection
    return None if connection is None else connection.protocol


def ended_by_reset(
    response: aiohttp.ClientResponse, protocol: ResetDetectingProtocol | None
) -> bool:
    """Return whether a body that ends with its connection was truncated by a reset."""
    if framing_of(response) is not Framing.CONNECTION:
        return False
    return protocol is not None and protocol.was_reset
