"""Sessions towards backend servers whose silent connections end by themselves."""

import functools
import socket
from collections.abc import Callable

import aiohttp
from aiohttp import client_proto

from hickoryweir.engines import sessions
from hickoryweir.streams import silence

# Unacknowledged bytes for this long mean a cut link: three lost packets in a row.
UNACKNOWLEDGED_TIMEOUT_MS = 1_500
# Probes find a dead link below an answer that is awaited, within about two seconds.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES_COUNT = 2
# Where no bound is known: as many as a server of today has slots.
DEFAULT_MAX_IDLE_CONNECTIONS_COUNT = 64


class ResetDetectingProtocol(client_proto.ResponseHandler):
    """Remembers whether the connection ended by a reset.

    When bytes and a reset are there at once, uvloop reads the bytes and reports a
    clean end; the socket still knows better.

    Attributes
    ----------
    was_reset : bool
        Whether the server reset the connection.
    """

    was_reset = False

    def eof_received(self) -> None:
        """Ask the socket whether this end is a reset."""
        sock = None
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
        if sock is not None and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.was_reset = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note a reset that the loop itself reports."""
        self.was_reset = self.was_reset or exc is not None
        super().connection_lost(exc)


class ValidatingConnector(aiohttp.TCPConnector):
    """Keeps few connections, and none on which bytes came that nobody asked for.

    aiohttp looks for such bytes when a connection is given back, but not when it is
    taken again, and a late surplus answer would then be taken for the next one.

    Parameters
    ----------
    max_idle_connections_count : callable
        Returns how many idle connections to an address are kept.
    """

    def __init__(
        self, max_idle_connections_count: Callable[[str], int], **options
    ) -> None:
        super().__init__(**options)
        self._max_idle_connections_count = max_idle_connections_count
        self._factory = functools.partial(ResetDetectingProtocol, loop=self._loop)

    def _release(self, key, protocol, *, should_close=False) -> None:
        limit = self._max_idle_connections_count(f"{key.host}:{key.port}")
        is_full = len(self._conns.get(key, ())) >= limit
        super()._release(key, protocol, should_close=should_close or is_full)

    async def _get(self, key, traces):
        for protocol, _ in tuple(self._conns.get(key, ())):
            if protocol.should_close:
                protocol.close()
        return await super()._get(key, traces)


def make_socket(address_info) -> socket.socket:
    """Return a socket that notices a silent peer."""
    family, kind, protocol, _, _ = address_info
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    silence.end_when_silent(
        made,
        unacknowledged_timeout_ms=UNACKNOWLEDGED_TIMEOUT_MS,
        idle_s=KEEP_ALIVE_IDLE_S,
        interval_s=KEEP_ALIVE_INTERVAL_S,
        probes_count=KEEP_ALIVE_PROBES_COUNT,
    )
    return made


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
        Returns how many idle connections to an address are kept.
    """
    connector = ValidatingConnector(
        max_idle_connections_count,
        limit=sessions.NO_LIMIT,
        keepalive_timeout=keepalive_timeout_s,
        socket_factory=make_socket,
    )
    return sessions.make_session(connector=connector)
