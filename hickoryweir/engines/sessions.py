"""HTTP client sessions towards backend servers.

A session here sends each request at most once.  aiohttp by itself sends an
idempotent method again when a kept connection drops; a middleware turns the
errors that make it do so into :class:`ConnectionLostError`.  Cookies are not
kept, so that nothing of one caller reaches another.
"""

import dataclasses

import aiohttp

NO_LIMIT = 0
KEEPALIVE_TIMEOUT_S = 15.0
READ_BUFFER_SIZE_BYTES = 64 * 1024


class ConnectionLostError(Exception):
    """The connection dropped after a byte of the request may have been written."""


@dataclasses.dataclass(slots=True)
class RequestTrace:
    """What a session notes about one request, given as ``trace_request_ctx``."""

    reuses_connection: bool = False


async def record_reuse(
    session: aiohttp.ClientSession, context: object, parameters: object
) -> None:
    """Note that a request goes over a kept connection."""
    trace = context.trace_request_ctx
    if trace is not None:
        trace.reuses_connection = True


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request and let a dropped connection end it."""
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
) -> aiohttp.ClientSession:
    """Return a session for backend servers; the caller closes it.

    Parameters
    ----------
    keeps_connections : bool, optional
        Whether a connection serves several requests, one after the other.
    connector : aiohttp.BaseConnector, optional
        Makes the connections instead; `keeps_connections` then has no effect.

    Returns
    -------
    aiohttp.ClientSession
        Without limits of its own; admission bounds the number of calls.
    """
    if connector is not None:
        pass
    elif keeps_connections:
        connector = aiohttp.TCPConnector(
            limit=NO_LIMIT, keepalive_timeout=KEEPALIVE_TIMEOUT_S
        )
    else:
        connector = aiohttp.TCPConnector(limit=NO_LIMIT, force_close=True)
    trace_config = aiohttp.TraceConfig()
    trace_config.on_connection_reuseconn.append(record_reuse)
    return aiohttp.ClientSession(
        connector=connector,
        trace_configs=[trace_config],
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(send_once,),
        auto_decompress=False,
        read_bufsize=READ_BUFFER_SIZE_BYTES,
        timeout=aiohttp.ClientTimeout(total=None),
    )
