"""HTTP client sessions for backend servers.

A session sends each request at most once.  By default, aiohttp retries idempotent
methods when a reused connection drops; a middleware converts the errors that cause
the retry to :class:`ConnectionLostError`.  Cookies are not stored, so that no
state of one client reaches another.
"""

import dataclasses
import struct

import aiohttp

from hickoryweir.engines import framing

NO_LIMIT = 0
KEEPALIVE_TIMEOUT_S = 15.0
READ_BUFFER_SIZE_BYTES = 64 * 1024
# A linger time of 0 s discards unsent bytes and sends a reset (socket(7)).
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ConnectionLostError(Exception):
    """The connection was lost after a byte of the request may have been written."""


@dataclasses.dataclass(slots=True)
class RequestTrace:
    """What a session records about one request, given as ``trace_request_ctx``."""

    reuses_connection: bool = False


async def record_reuse(
    session: aiohttp.ClientSession, context: object, parameters: object
) -> None:
    """Record that a request reuses a connection."""
    trace = context.trace_request_ctx
    if trace is not None:
        trace.reuses_connection = True


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request without a retry after a lost connection."""
    try:
        return await handler(request)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(type(error).__name__) from error


def make_session(
    *,
    keeps_connections: bool = False,
    connector: aiohttp.BaseConnector | None = None,
    owns_connector: bool = True,
    middlewares: tuple[aiohttp.ClientMiddlewareType, ...] = (),
    read_buffer_size_bytes: int = READ_BUFFER_SIZE_BYTES,
    on_given_up: framing.OnGivenUp = framing.ignore_given_up,
) -> aiohttp.ClientSession:
    """Return a session for backend servers, which the caller must close.

    Parameters
    ----------
    keeps_connections : bool, optional
        Whether connections are reused for later requests (HTTP keep-alive).
    connector : aiohttp.BaseConnector, optional
        Connector to use; `keeps_connections` then has no effect.
    owns_connector : bool, optional
        Whether closing the session closes the connector, which several may share.
    middlewares : tuple, optional
        Further middlewares, which run inside `send_once`.
    read_buffer_size_bytes : int, optional
        Half of the bytes of a response that may be received ahead of its reader.
    on_given_up : callable, optional
        See :class:`.framing.ResponseConnector`; a `connector` has its own.

    Returns
    -------
    aiohttp.ClientSession
        Session without a connection limit, since admission control bounds the number
        of calls.
    """
    if connector is not None:
        pass
    elif keeps_connections:
        connector = framing.ResponseConnector(
            limit=NO_LIMIT,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            on_given_up=on_given_up,
        )
    else:
        connector = framing.ResponseConnector(
            limit=NO_LIMIT, force_close=True, on_given_up=on_given_up
        )
    trace_config = aiohttp.TraceConfig()
    trace_config.on_connection_reuseconn.append(record_reuse)
    return aiohttp.ClientSession(
        connector=connector,
        request_class=framing.TrackedRequest,
        trace_configs=[trace_config],
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(send_once, *middlewares),
        connector_owner=owns_connector,
        auto_decompress=False,
        read_bufsize=read_buffer_size_bytes,
        timeout=aiohttp.ClientTimeout(total=None),
    )
