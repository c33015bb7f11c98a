"""Client sessions for backend servers that detect and close dead connections."""

import asyncio
import contextvars
import functools
import math
import select
import socket
import struct
import time
from collections.abc import Callable

import aiohttp

from hickoryweir.engines import framing, sessions
from hickoryweir.forwarding_policy import kept_connections
from hickoryweir.streams import keepalive

# Long enough for three lost packets in a row; after that the link counts as broken.
UNACKNOWLEDGED_TIMEOUT_MS = 1_500
# Probes detect a dead link within about 2 s while a response is awaited.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES_COUNT = 2
# The default: unsent bytes are delivered (socket(7)).
DELIVER_ON_CLOSE = struct.pack("ii", 0, 0)
# Used where no limit is configured: the usual number of slots of a server.
DEFAULT_MAX_IDLE_CONNECTIONS_COUNT = 64
EXPIRY_INTERVAL_S = 0.5
# Busy servers let requests wait, so clients that leave earlier show nothing.
SILENT_AFTER_S = 1.0
# Idle time below that of any connection, so that a new one is opened.
NO_IDLE_S = -1.0
# Longest idle time of a connection that the current request may reuse.
max_reused_idle_s: contextvars.ContextVar[float] = contextvars.ContextVar(
    "max_reused_idle_s", default=math.inf
)


class KeepAliveConnector(framing.ResponseConnector):
    """Keeps idle connections to servers, for all sessions of a router.

    See :class:`.framing.ResponseConnector` for which of them is reused.

    Parameters
    ----------
    max_idle_connections_count : callable
        Returns how many idle connections to an address to keep.
    """

    def __init__(
        self, max_idle_connections_count: Callable[[str], int], **options
    ) -> None:
        super().__init__(
            limit=sessions.NO_LIMIT,
            keepalive_timeout=kept_connections.MAX_IDLE_S,
            silent_after_s=SILENT_AFTER_S,
            **options,
        )
        self._max_idle_connections_count = max_idle_connections_count
        self._expiry_handle: asyncio.TimerHandle | None = None

    def _release(self, key, protocol, *, should_close=False) -> None:
        super()._release(key, protocol, should_close=should_close)
        limit = self._max_idle_connections_count(f"{key.host}:{key.port}")
        kept = self._conns.get(key, ())
        while len(kept) > limit:
            oldest, _ = kept.popleft()
            oldest.close()
        if not kept:
            self._conns.pop(key, None)
        elif self._expiry_handle is None:
            self._schedule_expiry()

    def _choose(self, key) -> tuple[framing.ResponseProtocol, float] | None:
        now_s = time.monotonic()
        self._close_expired_of(key, now_s)
        chosen = super()._choose(key)
        if chosen is None or now_s - chosen[1] > max_reused_idle_s.get():
            return None
        return chosen

    def _schedule_expiry(self) -> None:
        self._expiry_handle = self._loop.call_later(
            EXPIRY_INTERVAL_S, self._close_expired
        )

    def _close_expired(self) -> None:
        """Close connections before their servers do."""
        self._expiry_handle, now_s = None, time.monotonic()
        for key in list(self._conns):
            self._close_expired_of(key, now_s)
        if self._conns and not self.closed:
            self._schedule_expiry()

    def _close_expired_of(self, key, now_s: float) -> None:
        kept = self._conns.get(key, ())
        for entry in tuple(kept):
            if _is_expired(*entry, now_s):
                kept.remove(entry)
                entry[0].close()
        if not kept:
            self._conns.pop(key, None)


def _is_expired(
    protocol: framing.ResponseProtocol, used_at_s: float, now_s: float
) -> bool:
    """Return whether the server may be about to close an idle connection."""
    max_kept_s = kept_connections.max_idle_s(protocol.idle_timeout_s)
    return now_s - used_at_s > max_kept_s


def _limit_idle_time(limit_s: float) -> aiohttp.ClientMiddlewareType:
    """Return a middleware that reuses connections idle for at most `limit_s`."""

    async def send(
        request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        token = max_reused_idle_s.set(min(limit_s, max_reused_idle_s.get()))
        try:
            return await handler(request)
        finally:
            max_reused_idle_s.reset(token)

    return send


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Make a transport send a reset when it is closed."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, sessions.RESET_ON_CLOSE)


def deliver_on_close(transport: asyncio.BaseTransport) -> None:
    """Undo :func:`reset_on_close`."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DELIVER_ON_CLOSE)


def has_peer_left(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed a connection, behind unread bytes as well."""
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return True
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def make_socket(address_info, buffer_size_bytes: int = 0) -> socket.socket:
    """Return a socket whose connection ends when the peer is silent.

    Parameters
    ----------
    address_info : tuple
        As :func:`socket.getaddrinfo` returns it.
    buffer_size_bytes : int, optional
        Size of the kernel's receive buffer; 0 leaves it to the kernel.
    """
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    if buffer_size_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_size_bytes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    keepalive.configure(
        sock,
        unacknowledged_timeout_ms=UNACKNOWLEDGED_TIMEOUT_MS,
        idle_s=KEEP_ALIVE_IDLE_S,
        interval_s=KEEP_ALIVE_INTERVAL_S,
        probes_count=KEEP_ALIVE_PROBES_COUNT,
    )
    return sock


def make_sessions(
    at_most_once_max_idle_s: float,
    max_idle_connections_count: Callable[[str], int] = lambda address: (
        DEFAULT_MAX_IDLE_CONNECTIONS_COUNT
    ),
    buffer_size_bytes: int = 0,
    on_given_up: framing.OnGivenUp = framing.ignore_given_up,
) -> tuple[aiohttp.ClientSession, aiohttp.ClientSession]:
    """Return sessions for requests that may be retried and for those that may not.

    They share their idle connections; the caller closes both.

    Parameters
    ----------
    at_most_once_max_idle_s : float
        Longest time for which a connection was idle that a request which may not be
        retried reuses.
    max_idle_connections_count : callable, optional
        Returns how many idle connections to an address to keep.
    buffer_size_bytes : int, optional
        Size of the kernel's receive buffer of a socket; 0 leaves it to the kernel.
    on_given_up : callable, optional
        See :class:`.framing.ResponseConnector`.
    """
    connector = KeepAliveConnector(
        max_idle_connections_count,
        on_given_up=on_given_up,
        socket_factory=functools.partial(
            make_socket, buffer_size_bytes=buffer_size_bytes
        ),
    )
    read_buffer_size_bytes = sessions.READ_BUFFER_SIZE_BYTES
    if buffer_size_bytes:
        # aiohttp pauses reading from a server once it has buffered twice this size.
        read_buffer_size_bytes = min(buffer_size_bytes, read_buffer_size_bytes) // 2
    retryable = sessions.make_session(
        connector=connector, read_buffer_size_bytes=read_buffer_size_bytes
    )
    at_most_once = sessions.make_session(
        connector=connector,
        owns_connector=False,
        middlewares=(_limit_idle_time(at_most_once_max_idle_s),),
        read_buffer_size_bytes=read_buffer_size_bytes,
    )
    return retryable, at_most_once
