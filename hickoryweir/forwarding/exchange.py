"""One attempt at one backend server.

The outcome of an attempt says whether the request may have run.  It has certainly not
run only if no connection was established or the server states that it did not run it.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import aiohttp
import multidict
import yarl

from hickoryweir.engines import event_stream, framing, sessions
from hickoryweir.forwarding import header_codec
from hickoryweir.forwarding_policy import kept_connections

# Closing the connection is cheaper than reading a larger response.
MAX_BUFFERED_RESPONSE_SIZE_BYTES = 4 * 1024 * 1024
# Many round trips; a lost packet is sent again only later, so waiting gains nothing.
CONNECT_TIMEOUT_S = 0.25
# A refusal's body is short and arrives with its head, so a longer wait gains nothing.
DRAIN_TIMEOUT_S = 0.05
# Opening a connection is cheaper than reading a refusal's body that is longer.
MAX_REFUSAL_SIZE_BYTES = 16 * 1024
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRequest:
    """A request to a backend server."""

    method: str
    address: str
    target: str
    headers: multidict.CIMultiDict
    body: bytes
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left this process."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The server states that it did not run the request."""

    status: int
    metadata: header_codec.ResponseMetadata


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent and no valid response to it came back.

    Attributes
    ----------
    is_connection_end : bool
        Whether the connection ended without a response.
    """

    reason: str
    is_connection_end: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The head of the response was received; its body is still unread.

    Attributes
    ----------
    max_read_size_bytes : int
        Largest number of bytes of the body to read at once; -1 for all.
    """

    response: aiohttp.ClientResponse
    protocol: framing.ResponseProtocol | None
    metadata: header_codec.ResponseMetadata
    max_read_size_bytes: int = -1


Outcome = NotSent | NotRun | Lost | Answered


async def send(
    session: aiohttp.ClientSession,
    request: BackendRequest,
    codec: header_codec.HeaderCodec,
    on_head: Callable[[int, header_codec.ResponseMetadata], None],
) -> Outcome:
    """Send a request and wait for the head of the response.

    Parameters
    ----------
    session : aiohttp.ClientSession
        See :func:`hickoryweir.engines.sessions.make_session`.
    request : BackendRequest
        The request.
    codec : header_codec.HeaderCodec
        Parses the head of the response.
    on_head : callable
        Called with the status and metadata of a response to this request, also if the
        caller is cancelled while the body of a refusal is read.
    """
    token = framing.sent_request_id.set(request.request_id)
    target_token = framing.sent_target.set(request.target)
    try:
        response = await session.request(
            request.method,
            yarl.URL(f"http://{request.address}{request.target}", encoded=True),
            headers=request.headers,
            data=request.body or None,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        return NotSent(type(error).__name__)
    except sessions.ConnectionLostError as error:
        return Lost(str(error), is_connection_end=True)
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Lost(framing.describe_error(error))
    finally:
        framing.sent_request_id.reset(token)
        framing.sent_target.reset(target_token)
    return await _classify_response(response, request, codec, on_head)


async def _classify_response(
    response: aiohttp.ClientResponse,
    request: BackendRequest,
    codec: header_codec.HeaderCodec,
    on_head: Callable[[int, header_codec.ResponseMetadata], None],
) -> Outcome:
    _record_idle_timeout(response)
    metadata = codec.parse_response(response.status, response.headers)
    if metadata.request_id != request.request_id:
        framing.close_connection(response)
        return Lost("response has the id of another request")
    if framing.has_second_status_line(response):
        framing.close_connection(response)
        return Lost("response begins with a part of another one")
    on_head(response.status, metadata)
    if metadata.is_not_run or metadata.is_misdirected:
        await _discard_body(response)
        return NotRun(response.status, metadata)
    return Answered(response, framing.protocol_of(response), metadata)


def _record_idle_timeout(response: aiohttp.ClientResponse) -> None:
    """Record for how long the server keeps the connection of a response."""
    protocol = framing.protocol_of(response)
    stated = response.headers.get("Keep-Alive", "")
    if protocol is not None and stated:
        protocol.idle_timeout_s = kept_connections.parse_idle_timeout(stated)


async def _discard_body(response: aiohttp.ClientResponse) -> None:
    """Read a refusal's body, so that its connection can be reused.

    The connection of one that is too long or too slow is closed.
    """
    size_bytes = 0
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            while chunk := await response.content.readany():
                size_bytes += len(chunk)
                if size_bytes > MAX_REFUSAL_SIZE_BYTES:
                    response.close()
                    return
    except (aiohttp.ClientError, sessions.ConnectionLostError, OSError, TimeoutError):
        # The refusal stays valid; only the connection can't be reused.
        response.close()


async def read_body(
    answered: Answered, read_next: Callable[[], Awaitable[bytes]] | None = None
) -> bytes:
    """Return the body of a response.

    Parameters
    ----------
    answered : Answered
        The response.
    read_next : callable, optional
        Returns the next bytes of the body; :func:`read_chunk` by default.

    Raises
    ------
    IncompleteResponseError
        It is not whole, or larger than `MAX_BUFFERED_RESPONSE_SIZE_BYTES`.
    """
    chunks, size_bytes = [], 0
    if stated_size_bytes(answered) > MAX_BUFFERED_RESPONSE_SIZE_BYTES:
        raise IncompleteResponseError(framing.End.TOO_LARGE, "stated length")
    while chunk := await (read_chunk(answered) if read_next is None else read_next()):
        chunks.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > MAX_BUFFERED_RESPONSE_SIZE_BYTES:
            raise IncompleteResponseError(framing.End.TOO_LARGE, "body")
    body = b"".join(chunks)
    if event_stream.is_truncated(answered.response.content_type, body):
        raise IncompleteResponseError(framing.End.CUT_IN_EVENT)
    return body


def stated_size_bytes(answered: Answered) -> int:
    """Return the length of a body that follows, by its head; 0 without one."""
    response = answered.response
    if framing.framing_of(response) is not framing.Framing.LENGTH:
        return 0
    return response.content_length or 0


class IncompleteResponseError(Exception):
    """A response is not whole.

    Attributes
    ----------
    end : framing.End
        How it ended instead.
    detail : str
        What shows it; of an end beyond a bound, which bound.
    """

    def __init__(self, end: framing.End, detail: str = "") -> None:
        super().__init__(f"{end}: {detail}" if detail else str(end))
        self.end = end
        self.detail = detail


async def read_chunk(answered: Answered, max_size_bytes: int = -1) -> bytes:
    """Return the next bytes of the body, empty at its end.

    Parameters
    ----------
    answered : Answered
        The response.
    max_size_bytes : int, optional
        Largest number of bytes to return; -1 for that of the response.

    Raises
    ------
    IncompleteResponseError
        The connection ended before the body did.
    """
    response = answered.response
    if max_size_bytes < 0:
        max_size_bytes = answered.max_read_size_bytes
    try:
        if max_size_bytes < 0:
            chunk = await response.content.readany()
        else:
            chunk = await response.content.read(max_size_bytes)
    except (aiohttp.ClientError, sessions.ConnectionLostError, OSError) as error:
        response.close()
        detail = type(error).__name__
        if isinstance(error, framing.OversizedResponseError):
            detail = "bytes without content"
        raise IncompleteResponseError(framing.end_of(error), detail) from error
    except asyncio.CancelledError:
        response.close()
        raise
    if not chunk and framing.ended_by_reset(response, answered.protocol):
        detail = framing.describe_reset(answered.protocol)
        raise IncompleteResponseError(framing.End.CUT_IN_BODY, detail)
    return chunk
