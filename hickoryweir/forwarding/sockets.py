"""Client sessions for backend servers that detect and close dead connections."""

import asyncio
import socket
from collections.abc import Callable

import aiohttp

from hickoryweir.engines import framing, sessions
from hickoryweir.streams import keepalive

# Long enough for three lost packets in a row; after that the link counts as broken.
UNACKNOWLEDGED_TIMEOUT_MS = 1_500
# Probes detect a dead link within about 2 s while a response is awaited.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES_COUNT = 2
# Used where no limit is configured: the usual number of slots of a server.
DEFAULT_MAX_IDLE_CONNECTIONS_COUNT = 64


class ValidatingConnector(framing.ResponseConnector):
    """Limits idle connections, and closes those that received unsolicited bytes.

    aiohttp checks for such bytes when a connection is released, but not when it is
    reused, so that a late surplus response would be taken for the next one.

    Parameters
    ----------
    max_idle_connections_count : callable
        Returns how many idle connections to an address to keep.
    """

    def __init__(
        self, max_idle_connections_count: Callable[[str], int], **options
    ) -> None:
        super().__init__(**options)
        self._max_idle_connections_count = max_idle_connections_count

    def _release(self, key, protocol, *, should_close=False) -> None:
        limit = self._max_idle_connections_count(f"{key.host}:{key.port}")
        is_full = len(self._conns.get(key, ())) >= limit
        super()._release(key, protocol, should_close=should_close or is_full)

    async def _get(self, key, traces):
        for protocol, _ in tuple(self._conns.get(key, ())):
            if protocol.should_close:
                protocol.close()
        return await super()._get(key, traces)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Make a transport send a reset when it is closed."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, sessions.RESET_ON_CLOSE)


def make_socket(address_info) -> socket.socket:
    """Return a socket whose connection ends when the peer is silent."""
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    keepalive.configure(
        sock,
        unacknowledged_timeout_ms=UNACKNOWLEDGED_TIMEOUT_MS,
        idle_s=KEEP_ALIVE_IDLE_S,
        interval_s=KEEP_ALIVE_INTERVAL_S,
        probes_count=KEEP_ALIVE_PROBES_COUNT,
    )
    return sock


def make_session(
    keepalive_timeout_s: float,
    max_idle_connections_count: Callable[[str], int] = lambda address: (
        DEFAULT_MAX_IDLE_CONNECTIONS_COUNT
    ),
) -> aiohttp.ClientSession:
    """Return a session for backend servers; the caller closes it.

    Parameters
    ----------
    keepalive_timeout_s : float
        How long an idle connection is kept.
    max_idle_connections_count : callable, optional
        Returns how many idle connections to an address to keep.
    """
    connector = ValidatingConnector(
        max_idle_connections_count,
        limit=sessions.NO_LIMIT,
        keepalive_timeout=keepalive_timeout_s,
        socket_factory=make_socket,
    )
    return sessions.make_session(connector=connector)
