"""HTTP requests whose permission is checked right before the bytes are written.

A process may be frozen at any point between the decision to send and the write.  The
check is therefore part of the transport's `write`, with nothing that waits after it.
Connections are not reused, so that a response can be no late copy of another one, and
unsent bytes are discarded when a call is given up, so that the kernel sends nothing
later on behalf of it.
"""

import asyncio
import contextvars
from collections.abc import Callable

import aiohttp

from hickoryweir.engines import framing, sessions
from hickoryweir.forwarding import sockets


class NotPermittedError(ConnectionError):
    """The permission had ended when the bytes were to be written."""


class Check:
    """Check of the permission of one request, and whether the request was written.

    Parameters
    ----------
    is_permitted : callable
        Returns whether bytes may be written at this moment.

    Attributes
    ----------
    was_refused : bool
        Whether a write was refused.
    has_written : bool
        Whether any bytes were written.
    """

    def __init__(self, is_permitted: Callable[[], bool]) -> None:
        self._is_permitted = is_permitted
        self._transport: asyncio.Transport | None = None
        self.was_refused = False
        self.has_written = False

    def attach(self, transport: asyncio.Transport) -> "CheckedTransport":
        """Return a transport that checks each write."""
        self._transport = transport
        sockets.reset_on_close(transport)
        # uvloop otherwise keeps the bytes until the end of the loop's iteration.
        transport.set_write_buffer_limits(high=0)
        return CheckedTransport(transport, self)

    def require(self) -> None:
        """Raise NotPermittedError unless bytes may be written."""
        if not self._is_permitted():
            self.was_refused = True
            self.abort()
            raise NotPermittedError
        self.has_written = True

    def abort(self) -> None:
        """Discard what the kernel has not sent yet."""
        if self._transport is not None:
            self._transport.abort()


class CheckedTransport:
    """Transport that checks the permission before each write."""

    def __init__(self, transport: asyncio.Transport, check: Check) -> None:
        self._transport = transport
        self._check = check

    def write(self, data: bytes) -> None:
        """Write if permitted."""
        self._check.require()
        self._transport.write(data)

    def writelines(self, chunks: list[bytes]) -> None:
        """Write if permitted."""
        self._check.require()
        self._transport.write(b"".join(chunks))

    def __getattr__(self, name: str) -> object:
        """Return an attribute of the transport itself."""
        return getattr(self._transport, name)


_CHECK: contextvars.ContextVar[Check] = contextvars.ContextVar("check")


class CheckedRequest(framing.TrackedRequest):
    """Request that is written through a :class:`CheckedTransport`."""

    async def send(self, conn: object) -> aiohttp.ClientResponse:
        """Send the request."""
        if conn.protocol.transport is None:
            # It ended, or was closed since bytes came that nobody asked for.
            raise aiohttp.ClientConnectionResetError("closed before the request")
        conn.protocol.transport = _CHECK.get().attach(conn.protocol.transport)
        return await super().send(conn)


def make_session() -> aiohttp.ClientSession:
    """Return a session for checked requests; the caller closes it."""
    return aiohttp.ClientSession(
        connector=framing.ResponseConnector(
            limit=sessions.NO_LIMIT,
            force_close=True,
            socket_factory=sockets.make_socket,
        ),
        request_class=CheckedRequest,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None),
    )


async def post(
    session: aiohttp.ClientSession,
    url: str,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
    check: Check,
) -> int:
    """Send a request and return the status of its response.

    Raises
    ------
    aiohttp.ClientError, OSError
        No response; see `check` for whether any bytes were written.
    """
    _CHECK.set(check)
    async with session.post(
        url, headers=headers, data=body, allow_redirects=False
    ) as response:
        return response.status
