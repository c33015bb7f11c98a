"""Connects to backend servers, bounds their responses and detects how these end.

A body with neither a length nor chunks ends with its connection, and aiohttp reports a
clean close and a reset alike; :class:`ResponseProtocol` tells the two apart.  While the
request is still being written, a server that has closed resets the connection only when
more of it arrives, so such an end counts once that has not happened.

The bytes that carry no content are bounded, such as informational responses and chunk
extensions, which aiohttp reads without end.

A server may write an earlier response once more, late.  On a kept connection the copy
would be taken for the response to the next request, so :class:`ResponseProtocol` closes
a connection that receives bytes while no request is open on it, and
:class:`ResponseConnector` reuses none that has carried a request with the same id.
"""

import asyncio
import contextvars
import dataclasses
import enum
import functools
import http
import re
import select
import socket
import time
from collections.abc import Callable, Coroutine

import aiohappyeyeballs
import aiohttp
from aiohttp import client_proto, helpers, http_exceptions, http_parser

from hickoryweir import unacknowledged

# Several times the largest header section that aiohttp accepts.
MAX_OVERHEAD_SIZE_BYTES = 128 * 1024
# Largest parts in which received bytes are parsed, so that few of those behind the end
# of a response are: each of them may be a response, which takes far more memory.
HEAD_PART_SIZE_BYTES = 4 * 1024
BODY_PART_SIZE_BYTES = 16 * 1024
# Iterations of the event loop in which a connect that has ended is noticed.
STEPS_AFTER_TIMEOUT_COUNT = 5
# A connection remembers all ids that it carried, so this bounds their memory to 4 KiB.
MAX_REQUESTS_COUNT = 512
# A request that has waited for so long without a byte, when it is given up, shows that
# its connection may be silent.
SILENT_AFTER_S = 0.25
# Size of a hash in Python.
DIGEST_SIZE_BYTES = 8
# After a response without a length has ended before its request was acknowledged: until
# the response counts as whole, and until the request is waited for no longer.
EARLY_END_WAIT_S = 0.5
EARLY_END_MAX_S = 2.0
EARLY_END_CHECK_INTERVAL_S = 0.02
# Of final responses (RFC 9110, section 15); clients have no meaning for any other.
FIRST_FINAL_STATUS = 200
LAST_FINAL_STATUS = 599
# Id of the current request: empty if it has none and needs a new connection, None if it
# is a read that may use any connection.
sent_request_id: contextvars.ContextVar[str | None] = contextvars.ContextVar(
    "sent_request_id", default=None
)
# Target of the current request, which is sent as it is; None for that of its URL.
sent_target: contextvars.ContextVar[str | None] = contextvars.ContextVar(
    "sent_target", default=None
)

# How a response was truncated whose connection was reset after its end.
ENDED_EARLY = "ended before its request was acknowledged"
OnGivenUp = Callable[[str, str, str], None]
EMPTY_LINE = b"\r\n\r\n"
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}\b")


class Framing(enum.StrEnum):
    """What marks the end of a response's body (RFC 9112, section 6.3)."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "end of connection"


def framing_of(response: aiohttp.ClientResponse) -> Framing:
    """Return what marks the end of a response's body."""
    if helpers.must_be_empty_body(response.method, response.status):
        return Framing.NO_BODY
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return Framing.CHUNKS
    if "Content-Length" in response.headers:
        return Framing.LENGTH
    return Framing.CONNECTION


class End(enum.StrEnum):
    """How a response ended; all but `WHOLE` count as lost.

    `NO_ROOM` says nothing about the server.
    """

    WHOLE = "whole"
    NO_HEAD = "no valid head"
    CUT_IN_BODY = "cut in its body"
    CUT_IN_EVENT = "ends inside an event"
    CUT_BEFORE_EVENTS = "ends before its first event"
    MALFORMED = "malformed"
    TOO_LARGE = "beyond a bound"
    NO_ROOM = "no room"


class MalformedResponseError(aiohttp.ClientPayloadError):
    """A response that is being read is not valid HTTP."""


class InvalidStatusError(MalformedResponseError):
    """A response has an unknown status, or 101 without an upgrade."""


class OversizedResponseError(aiohttp.ClientPayloadError):
    """A response that is being read exceeds a bound."""


class NoRoomError(aiohttp.ClientPayloadError):
    """A response that is being read is given up for others."""


class UnaskedBytesError(aiohttp.ClientPayloadError):
    """Bytes came while no request was open on the connection."""


# Their texts say what was odd.
DESCRIBED_ERRORS = (
    MalformedResponseError,
    OversizedResponseError,
    NoRoomError,
    UnaskedBytesError,
)


def end_of(error: Exception) -> End:
    """Return how a body ended that could not be read further."""
    if isinstance(error, MalformedResponseError):
        return End.MALFORMED
    if isinstance(error, OversizedResponseError):
        return End.TOO_LARGE
    if isinstance(error, NoRoomError):
        return End.NO_ROOM
    return End.CUT_IN_BODY


def describe_error(error: Exception) -> str:
    """Return what was odd about a response, or the kind of another error.

    Examples
    --------
    >>> describe_error(InvalidStatusError("invalid status 600"))
    'invalid status 600'
    >>> describe_error(ConnectionResetError("by the peer"))
    'ConnectionResetError'
    """
    if isinstance(error, DESCRIBED_ERRORS):
        return str(error)
    return type(error).__name__


def ignore_given_up(address: str, reason: str, detail: str) -> None:
    """Tell nobody that a connection was closed because of what its server sent."""


class ResponseProtocol(client_proto.ResponseHandler):
    """Records a reset, and closes a connection whose bytes can't be told apart.

    If bytes and a reset arrive together, uvloop reads the bytes and reports a clean
    end of file; the socket's ``SO_ERROR`` still holds the error.

    Attributes
    ----------
    was_reset : bool
        Whether the server reset the connection.
    has_ended_early : bool
        Whether a body ended with its connection, not reset by then, before the server
        had acknowledged the whole request.
    idle_timeout_s : float or None
        Idle time after which the server closes the connection; None if unknown.
    carried_ids : bytearray
        Digests of the ids of all requests that the connection has carried; two that are
        equal by chance only open another connection.
    requests_count : int
        Requests that the connection has carried.
    sent_at_s : float
        When the last request began, on :func:`time.monotonic`.
    heard_at_s : float
        When the connection was established or last received a byte, likewise.
    """

    was_reset = False
    has_ended_early = False
    idle_timeout_s: float | None = None
    requests_count = 0
    sent_at_s = float("-inf")
    _overhead_size_bytes = 0
    _content_size_bytes = 0
    # Between the first byte of a request and the last one of its response.
    _is_open = False
    # The whole request was written.
    _is_written = False
    _is_given_up = False
    # Body of the response to the open request, and the length that its head states;
    # None before its head.
    _body: aiohttp.StreamReader | None = None
    _length_bytes: int | None = None
    # The end of the connection is that of the body.
    _is_unframed = False
    # Loop time of such an end before the request was acknowledged, and the server.
    _ended_early_at_s = 0.0
    _ended_address = ""
    # The end of what was parsed, which may begin an empty line.
    _last_bytes = b""

    def __init__(
        self, *args, on_given_up: OnGivenUp = ignore_given_up, **options
    ) -> None:
        super().__init__(*args, **options)
        self._on_given_up = on_given_up
        self.carried_ids = bytearray()
        self.heard_at_s = time.monotonic()

    def set_response_params(self, **options) -> None:
        """Begin to count for the next response on the connection."""
        self._overhead_size_bytes = self._content_size_bytes = 0
        super().set_response_params(**options)

    def begin_request(self) -> None:
        """Expect a response, since the request is written now."""
        self._is_open, self._is_written, self._body = True, False, None
        self._last_bytes = b""
        self.sent_at_s = time.monotonic()

    def is_silent(self, after_s: float) -> bool:
        """Return whether the open request has had no byte for `after_s` or longer."""
        return (
            self._is_open
            and self.heard_at_s < self.sent_at_s
            and time.monotonic() - self.sent_at_s >= after_s
        )

    @property
    def is_reading_paused(self) -> bool:
        """Whether the server is left unread because its buffers are full."""
        return self._reading_paused or self._buffer_paused

    def end_request(self) -> None:
        """Record that the whole request was written."""
        self._is_written = True

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Keep why the connection was given up, which also ends it."""
        if not isinstance(self.exception(), aiohttp.ClientPayloadError):
            super().set_exception(exc, *cause)

    def feed_data(self, message: tuple, size: int = 0) -> None:
        """Take the head of a response, unless one before it was not valid."""
        if self.exception() is not None:
            return
        head, body = message
        if not _is_valid_status(head.code):
            error = InvalidStatusError(f"invalid status {head.code}")
            self._give_up(error, "invalid status")
            return
        if self._body is None and not _is_interim(head.code):
            self._body, self._length_bytes = body, _stated_length(head)
            self._is_unframed = (
                not head.chunked and "Content-Length" not in head.headers
            )
            if not self._is_request_acknowledged():
                # The server may take the rest of the request for the next one.
                self.force_close()
        super().feed_data(message, size)

    def data_received(self, data: bytes) -> None:
        """Refuse bytes that nobody asked for, and bound those without content."""
        self.heard_at_s = time.monotonic()
        if data and not self._is_open:
            self._give_up(UnaskedBytesError("bytes while no request was open"))
            return
        begin = 0
        while len(data) - begin > (size_bytes := self._part_size_bytes(data, begin)):
            self._receive_part(data[begin : begin + size_bytes])
            begin += size_bytes
            if self.exception() is not None:
                return
            if not self._is_open:
                self._give_up(UnaskedBytesError("bytes after a whole response"))
                return
        self._receive_part(data[begin:])

    def _part_size_bytes(self, data: bytes, begin: int) -> int:
        """Return how many bytes to parse before looking for the response's end."""
        if self._body is None:
            head = self._last_bytes + data[begin : begin + HEAD_PART_SIZE_BYTES]
            found = head.find(EMPTY_LINE)
            if found < 0:
                return HEAD_PART_SIZE_BYTES
            return found + len(EMPTY_LINE) - len(self._last_bytes)
        if self._length_bytes is None:
            return BODY_PART_SIZE_BYTES
        left_bytes = self._length_bytes - self._body.total_bytes
        # Decoded content may be longer than the stated length.
        return left_bytes if left_bytes > 0 else BODY_PART_SIZE_BYTES

    def _receive_part(self, data: bytes) -> None:
        kept_count = len(EMPTY_LINE) - 1
        self._last_bytes = (self._last_bytes + data[-kept_count:])[-kept_count:]
        super().data_received(data)
        if self.exception() is not None:
            # aiohttp tells this to the next reader of a head, not to that of the body.
            self._give_up(MalformedResponseError("malformed response"))
            return
        if self._is_open and self._body is not None and self._body.is_eof():
            self._is_open = False
            if self._has_begun_another():
                self._give_up(UnaskedBytesError("bytes after a whole response"))
            return
        content_size_bytes = 0 if self._payload is None else self._payload.total_bytes
        if content_size_bytes != self._content_size_bytes:
            self._content_size_bytes = content_size_bytes
            self._overhead_size_bytes = 0
            return
        self._overhead_size_bytes += len(data)
        if self._overhead_size_bytes > MAX_OVERHEAD_SIZE_BYTES:
            self._give_up(OversizedResponseError("too many bytes without content"))

    def _has_begun_another(self) -> bool:
        """Return whether the parser holds a part of a response after a whole one."""
        if self._parser is None:
            return False
        try:
            return self._parser.feed_eof() is not None
        except http_exceptions.HttpProcessingError:
            return True

    def _give_up(self, error: aiohttp.ClientPayloadError, reason: str = "") -> None:
        """Fail the response that is being received, and close the connection.

        Parameters
        ----------
        error : aiohttp.ClientPayloadError
            What the reader of the response gets.
        reason : str, optional
            What is counted, if the text of the error has too many values for that.
        """
        if self._is_given_up:
            # Its parser fails as well.
            return
        self._is_given_up = True
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self._on_given_up(self._peer_address(), reason or str(error), str(error))
            self.transport.abort()

    def _peer_address(self) -> str:
        host, port, *_ = self.transport.get_extra_info("peername") or ("", 0)
        return f"{host}:{port}"

    def eof_received(self) -> bool | None:
        """Check the socket for a reset; return whether one may still follow."""
        super().eof_received()
        if self.transport is None or self._record_reset() or not self._is_cut_early():
            return None
        self.has_ended_early = True
        # No longer known once the connection is lost.
        self._ended_address = self._peer_address()
        if self.transport.get_extra_info("sslcontext") is not None:
            # An end closes connections with TLS, so that no reset would be seen.
            self.was_reset = True
            return None
        self._ended_early_at_s = self._loop.time()
        self._schedule_end_check()
        return True

    def _record_reset(self) -> bool:
        """Record a reset that only the socket shows; return whether there was one."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.was_reset = True
        return self.was_reset

    def _is_cut_early(self) -> bool:
        """Return whether the end of the body may come from a server that has closed."""
        is_open = self._is_open and self._body is not None and not self._body.is_eof()
        return is_open and self._is_unframed and not self._is_request_acknowledged()

    def _is_request_acknowledged(self) -> bool:
        """Return whether the server's kernel has acknowledged the whole request."""
        transport = self.transport
        if transport is None:
            return False
        is_sent = self._is_written and not transport.get_write_buffer_size()
        return is_sent and not unacknowledged.size_bytes(transport)

    def _schedule_end_check(self) -> None:
        self._loop.call_later(EARLY_END_CHECK_INTERVAL_S, self._check_end)

    def _check_end(self) -> None:
        """End the connection, and with it the body, once no reset is expected."""
        if self.transport is None or self.transport.is_closing():
            return
        since_s = self._loop.time() - self._ended_early_at_s
        is_over = since_s >= EARLY_END_WAIT_S and self._is_request_acknowledged()
        if self._record_reset() or is_over or since_s >= EARLY_END_MAX_S:
            self.transport.abort()
            return
        self._schedule_end_check()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record a reset that the event loop reports."""
        self.was_reset = self.was_reset or exc is not None
        if self.was_reset and self.has_ended_early:
            self._on_given_up(self._ended_address, ENDED_EARLY, ENDED_EARLY)
        super().connection_lost(exc)


def _stated_length(head: http_parser.RawResponseMessage) -> int | None:
    """Return the length of a body by the head of its response; None without one."""
    text = head.headers.get("Content-Length", "")
    return int(text) if text.isdecimal() and not head.chunked else None


def _is_valid_status(status: int) -> bool:
    """Return whether a response may have a status, as no request asks for an upgrade.

    Examples
    --------
    >>> list(filter(_is_valid_status, (0, 99, 100, 101, 199, 200, 599, 600)))
    [100, 199, 200, 599]
    """
    return _is_interim(status) or FIRST_FINAL_STATUS <= status <= LAST_FINAL_STATUS


def _is_interim(status: int) -> bool:
    """Return whether another response follows (RFC 9110, section 15.2)."""
    return 100 <= status <= 199 and status != http.HTTPStatus.SWITCHING_PROTOCOLS


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Stands for the URL of a request while its head is written.

    A URL drops an empty query.
    """

    raw_path_qs: str


class TrackedRequest(aiohttp.ClientRequest):
    """Tells the connection when a request begins and ends, and keeps its target."""

    async def send(self, conn: object) -> aiohttp.ClientResponse:
        """Send the request."""
        protocol = conn.protocol
        protocol.requests_count += 1
        request_id = sent_request_id.get()
        if request_id:
            protocol.carried_ids += _digest(request_id)
        url, target = self.url, sent_target.get()
        if target is not None:
            self.url = Target(target)
        try:
            response = await super().send(conn)
        finally:
            self.url = url
        if self._writer is None:
            # Without a body it is written by now, and nothing was read meanwhile.
            protocol.begin_request()
            protocol.end_request()
        return response

    async def write_bytes(self, writer, conn, content_length=None) -> None:
        """Write the request with its body."""
        protocol = conn.protocol
        protocol.begin_request()
        await super().write_bytes(writer, conn, content_length)
        protocol.end_request()


class ResponseConnector(aiohttp.TCPConnector):
    """Connector whose connections use :class:`ResponseProtocol`.

    The connection that was used last is reused first.  One is not reused that has bytes
    which nobody asked for, or that has carried a request with the current request's id;
    a request without an id gets a new one.  A connect that is cancelled, or that times
    out, leaves other connections alone.

    Connections may go silent together, and TCP does not show it where a middlebox
    acknowledges.  When a request is given up that had no byte for `silent_after_s`, the
    idle connections to its server are closed that were not heard since it was sent.

    Parameters
    ----------
    silent_after_s : float, optional
        Time without a byte after which a request shows that connections are silent.
    on_given_up : callable, optional
        ``on_given_up(address, reason, detail)`` is called when a connection is closed
        because of what its server sent, or when its response ends early and is reset.
        The reasons are few, so that they can be counted.
    """

    def __init__(
        self,
        silent_after_s: float = SILENT_AFTER_S,
        on_given_up: OnGivenUp = ignore_given_up,
        **options,
    ) -> None:
        super().__init__(**options)
        self._silent_after_s = silent_after_s
        self._factory = functools.partial(
            ResponseProtocol, loop=self._loop, on_given_up=on_given_up
        )

    def _release(self, key, protocol, *, should_close=False) -> None:
        is_used_up = protocol.requests_count >= MAX_REQUESTS_COUNT
        if protocol.is_silent(self._silent_after_s):
            self._close_unheard_of(key, protocol.sent_at_s)
        super()._release(key, protocol, should_close=should_close or is_used_up)

    def close_unheard(self, since_s: float) -> None:
        """Close the idle connections to all servers that were not heard since then.

        Parameters
        ----------
        since_s : float
            Time on :func:`time.monotonic`.
        """
        for key in list(self._conns):
            self._close_unheard_of(key, since_s)

    def _close_unheard_of(self, key, since_s: float) -> None:
        kept = self._conns.get(key, ())
        for entry in tuple(kept):
            if entry[0].heard_at_s < since_s:
                kept.remove(entry)
                entry[0].close()
        if not kept:
            self._conns.pop(key, None)

    async def _get(self, key, traces):
        chosen = self._choose(key)
        if chosen is None:
            return None
        # aiohttp reuses the first connection of the queue.
        kept = self._conns[key]
        kept.remove(chosen)
        kept.appendleft(chosen)
        return await super()._get(key, traces)

    def _choose(self, key) -> tuple[ResponseProtocol, float] | None:
        """Return the idle connection to reuse; close those that can't be used."""
        request_id, chosen = sent_request_id.get(), None
        if request_id == "":
            # Nothing would tell the response from a late one.
            return None
        kept = self._conns.get(key, ())
        for entry in reversed(tuple(kept)):
            protocol = entry[0]
            if _may_carry(protocol, request_id):
                if _is_clean(protocol) and (key.is_ssl or not _has_unread(protocol)):
                    chosen = entry
                    break
                kept.remove(entry)
                protocol.close()
        if not kept:
            self._conns.pop(key, None)
        return chosen

    async def _wrap_create_connection(
        self,
        *args,
        addr_infos,
        req,
        timeout,
        client_error=aiohttp.ClientConnectorError,
        **kwargs,
    ):
        """Connect as aiohttp does, but cancel only what is safe to cancel."""
        if kwargs.get("ssl"):
            return await super()._wrap_create_connection(
                *args,
                addr_infos=addr_infos,
                req=req,
                timeout=timeout,
                client_error=client_error,
                **kwargs,
            )
        try:
            connecting = aiohappyeyeballs.start_connection(
                addr_infos=addr_infos,
                loop=self._loop,
                socket_factory=self._socket_factory,
            )
            sock = await _wait_for(connecting, timeout.sock_connect)
            return await self._make_transport(*args, sock=sock, **kwargs)
        except TimeoutError:
            raise
        except OSError as error:
            raise client_error(req.connection_key, error) from error

    async def _make_transport(self, *args, **kwargs):
        """Return a transport and protocol for a connected socket.

        This takes one iteration of the event loop.  It is not cancelled: uvloop would
        close the descriptor, which the socket object closes again when it is deleted,
        although it may belong to another connection by then.
        """
        making = asyncio.ensure_future(self._loop.create_connection(*args, **kwargs))
        try:
            return await asyncio.shield(making)
        except asyncio.CancelledError:
            making.add_done_callback(_close_unused)
            raise


async def _wait_for(
    coroutine: Coroutine[None, None, socket.socket], timeout_s: float | None
) -> socket.socket:
    """Return a connected socket; a stall of the event loop is no timeout.

    Raises
    ------
    TimeoutError
        The connection is not established although its events were processed.
    """
    connecting = asyncio.ensure_future(coroutine)
    try:
        await asyncio.wait({connecting}, timeout=timeout_s)
        for _ in range(STEPS_AFTER_TIMEOUT_COUNT):
            if not connecting.done():
                await asyncio.sleep(0)
        if not connecting.done():
            raise TimeoutError
        return connecting.result()
    except (asyncio.CancelledError, TimeoutError):
        connecting.add_done_callback(_close_socket)
        connecting.cancel()
        raise


def _close_socket(connecting: asyncio.Future) -> None:
    """Close a socket whose connect was abandoned."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result().close()


def _close_unused(making: asyncio.Future) -> None:
    """Close a transport whose request was cancelled."""
    if not making.cancelled() and making.exception() is None:
        transport, _ = making.result()
        transport.abort()


def _digest(request_id: str) -> bytes:
    return hash(request_id).to_bytes(DIGEST_SIZE_BYTES, "little", signed=True)


def _may_carry(protocol: ResponseProtocol, request_id: str | None) -> bool:
    """Return whether a connection has carried no request with this id."""
    return request_id is None or _digest(request_id) not in protocol.carried_ids


def _is_clean(protocol: ResponseProtocol) -> bool:
    """Return whether an idle connection is open and has received nothing since."""
    return protocol.is_connected() and not protocol.should_close


def _has_unread(protocol: ResponseProtocol) -> bool:
    """Return whether the kernel has bytes, or the end, of an idle connection.

    The event loop may not have read them yet when it runs late.
    """
    sock = protocol.transport.get_extra_info("socket")
    if sock is None:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def protocol_of(response: aiohttp.ClientResponse) -> ResponseProtocol | None:
    """Return the protocol of a response, also after it has been released."""
    return response._protocol


def awaits_server(content: aiohttp.StreamReader) -> bool:
    """Return whether a body that is not being read grows if its server sends more.

    It does not once it is whole, has failed, or fills the buffers of its connection.
    """
    if content.is_eof() or content.exception() is not None:
        return False
    return not content._protocol.is_reading_paused


def has_second_status_line(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response's head is put together from those of two.

    A copy that is cut in its reason phrase or a field's value goes on with the status
    line of the next response; the status is then of the one, the id of the other.
    """
    reason = (response.reason or "").encode("utf-8", "replace")
    values = (reason, *(value for _, value in response.raw_headers))
    return any(STATUS_LINE.search(value) for value in values)


def close_connection(response: aiohttp.ClientResponse) -> None:
    """Close the connection of a response, also after it has been released."""
    response.close()
    protocol = protocol_of(response)
    if protocol is not None:
        protocol.close()


def ended_by_reset(
    response: aiohttp.ClientResponse, protocol: ResponseProtocol | None
) -> bool:
    """Return whether a body that ends with its connection was truncated by a reset."""
    if not isinstance(protocol, ResponseProtocol) or not protocol.was_reset:
        return False
    return framing_of(response) is Framing.CONNECTION


def describe_reset(protocol: ResponseProtocol) -> str:
    """Return how a body was cut, for the log."""
    return ENDED_EARLY if protocol.has_ended_early else "reset"
