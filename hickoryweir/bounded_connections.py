"""Connections of HTTP servers that bound what a client sends without end.

Empty lines, a head or the overhead of a body beyond a bound are an error, after which
nothing more is parsed.  ``docs/design/outside-bytes.md`` has the bounds.
"""

import asyncio

from aiohttp import http_exceptions, http_parser, streams, web, web_protocol

from hickoryweir import parsing_turns, unread

EMPTY_LINE = b"\r\n\r\n"
# The end of a body in chunks without trailers.
LAST_CHUNK = b"0\r\n\r\n"
# More than the pipelined requests that one segment usually has; the rest waits.
MAX_PARTS_COUNT = 64
# Bounds the time of one call of the parser.  aiohttp pauses a body beyond one chunk for
# each 16 bytes of its buffer; a part has fewer, so that it is seen to be costly first.
CHUNKED_PART_SIZE_BYTES = 8 * 1024
COSTLY_PART_SIZE_BYTES = 4 * 1024
# Of a part of a chunked body; below it, parsing costs more than the content does.
MIN_CONTENT_SHARE = 0.5
# Sizes and extensions of chunks, and trailers, beyond eight times the content.
MAX_OVERHEAD_SIZE_BYTES = 64 * 1024
MAX_OVERHEAD_FACTOR = 8
# A head or an end of a body beyond it is found by the next part.
MAX_SEARCHED_SIZE_BYTES = 64 * 1024
# Time for a refusal to reach a client that still sends its body.
LINGERING_S = 1.0
# Buffer of a body that never receives a byte.
LINGERING_SIZE_BYTES = 1
# The rest of a body that is discarded; also beyond what the largest body has.
MAX_DISCARDED_SIZE_BYTES = 8 * 1024 * 1024
# One connection is read in each interval, up to 256 KiB.
DISCARD_INTERVAL_S = 0.0025
# A client that has sent more than this of a body is read in turn with others.
UNPACED_BODY_SIZE_BYTES = 128 * 1024
# One connection is read in each interval, up to 256 KiB.
READ_INTERVAL_S = 0.001
# Until the idle time of a connection with unread bytes is checked again.
IDLE_CHECK_INTERVAL_S = 0.05
# Within it, a client sends the first byte on a connection that it has opened.
FIRST_BYTE_TIME_S = 0.25
# Of a line, in aiohttp.
DEFAULT_MAX_LINE_SIZE_BYTES = 8190
# Clients send one empty line between requests, if any (RFC 9112, section 2.2).
MAX_EMPTY_LINES_SIZE_BYTES = 1024
# Colons, spaces and ends of lines of the largest number of fields.
HEAD_MARGIN_SIZE_BYTES = 4 * 1024


class BoundedConnection(web.RequestHandler):
    """A client's connection with bounds on what is parsed.

    Attributes
    ----------
    has_received : bool
        Whether any byte was received.
    head_started_s : float or None
        Loop time of the first byte of a head that is not complete, or of the end of the
        request before it if that is later; None between heads.
    opened_s : float
        Loop time of the connection.
    """

    __slots__ = (
        "_body_size_bytes",
        "_decompresses",
        "_discard_turns",
        "_discarded_size_bytes",
        "_empty_size_bytes",
        "_has_failed",
        "_head_size_bytes",
        "_is_discarding",
        "_last_bytes",
        "_last_length_bytes",
        "_last_payload",
        "_max_head_size_bytes",
        "_parsed_size_bytes",
        "_read_turns",
        "_turns",
        "_unparsed",
        "_waits_for_read",
        "_waits_for_turn",
        "has_received",
        "head_started_s",
        "opened_s",
    )

    def __init__(
        self,
        server: web.Server,
        turns: parsing_turns.ParsingTurns,
        discard_turns: parsing_turns.ParsingTurns | None = None,
        **options,
    ) -> None:
        super().__init__(server, **options)
        self._turns = turns
        self._discard_turns = turns if discard_turns is None else discard_turns
        self._decompresses = options.get("auto_decompress", True)
        max_line_size = options.get("max_line_size", DEFAULT_MAX_LINE_SIZE_BYTES)
        self._max_head_size_bytes = _max_head_size_bytes(max_line_size)
        self.has_received = False
        self.head_started_s: float | None = None
        self.opened_s = 0.0
        # Of the message that was parsed last: its body, and the length that it states.
        self._last_payload: streams.StreamReader | None = None
        self._last_length_bytes: int | None = None
        self._last_bytes = b""
        # What was received of the head, the body and the empty lines being read.
        self._head_size_bytes = 0
        self._body_size_bytes = 0
        self._empty_size_bytes = 0
        self._unparsed, self._parsed_size_bytes = b"", 0
        self._waits_for_turn = False
        self._waits_for_read = False
        self._read_turns: parsing_turns.ParsingTurns | None = None
        self._has_failed = False
        self._is_discarding = False
        self._discarded_size_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the time."""
        self.opened_s = self._loop.time()
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what was received; the handler is cancelled and reads no more.

        The connection and its last body refer to each other, so both may stay in memory
        until the next garbage collection.
        """
        self._release_received()
        super().connection_lost(exc)
        self._last_payload = None

    def _release_received(self) -> None:
        """Discard what was received of the last body and has not been read."""
        self._unparsed, self._parsed_size_bytes = b"", 0
        payload = self._last_payload
        if payload is not None and payload is not streams.EMPTY_PAYLOAD:
            # aiohttp reads nothing from a body whose request has ended.
            payload._buffer.clear()

    def discard_rest(self, lingering_s: float) -> None:
        """Discard the rest of the body that is received, after its response.

        A connection that is closed while its client sends is reset, and the client may
        lose a response that it has not read.  So it is read on, in turn with others,
        until the body or the client's connection ends, or up to a bound.

        Parameters
        ----------
        lingering_s : float
            Time after which the connection is closed.
        """
        received_size_bytes = self._body_size_bytes + self._unparsed_size_bytes
        self._discarded_size_bytes = received_size_bytes
        self._is_discarding = True
        self._release_received()
        self._lingering_time = lingering_s
        self._pause_transport_reading()
        parsing_turns.add(self._discard_turns, self._read_discarded)

    def _discard(self, data: bytes) -> None:
        """Count bytes that are not parsed; end the body after its last or too many."""
        self._pause_transport_reading()
        self._discarded_size_bytes += len(data)
        self._last_bytes = _join_ends(self._last_bytes, data, len(LAST_CHUNK))
        max_size_bytes = MAX_DISCARDED_SIZE_BYTES
        if self._last_length_bytes is not None:
            max_size_bytes = min(max_size_bytes, self._last_length_bytes)
            is_end = False
        else:
            is_end = self._last_bytes == LAST_CHUNK
        if self._discarded_size_bytes < max_size_bytes and not is_end:
            parsing_turns.add(self._discard_turns, self._read_discarded)
        elif self._is_receiving_body():
            self._last_payload.feed_eof()

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser, and leave the rest of a large body for a turn."""
        self._parse_received(data)
        is_large = self._body_size_bytes > UNPACED_BODY_SIZE_BYTES
        if not data or not is_large or self._read_turns is None:
            return
        if self._is_receiving_body() and not (
            self._is_discarding or self._waits_for_read
        ):
            self._waits_for_read = True
            self._pause_transport_reading()
            parsing_turns.add(self._read_turns, self._read_on)

    def _read_on(self) -> bool:
        """Read once, unless the body's reader or parser waits."""
        self._waits_for_read = False
        is_ready = not self._waits_for_turn and not self._is_parser_paused()
        if self.transport is not None and is_ready:
            self._resume_transport_reading()
        return False

    def _parse_received(self, data: bytes) -> None:
        """Pass bytes to the parser so that each part ends where a message may end.

        The parser does not tell whether it holds a part of a head.  Bytes that bring
        little content wait for their turn, and so do those after an error, which are
        discarded.
        """
        if self._has_failed:
            if data:
                # Unread bytes would reset the connection before its answers are read.
                self._pause_transport_reading()
                parsing_turns.add(self._discard_turns, self._read_discarded)
            return
        if self._is_discarding:
            if data:
                self._discard(data)
            return
        self._unparsed = self._unparsed[self._parsed_size_bytes :] + data
        self._parsed_size_bytes = 0
        if self._waits_for_turn:
            if data:
                self._pause_transport_reading()
            return
        for _ in range(MAX_PARTS_COUNT):
            is_costly = self._parse_part(CHUNKED_PART_SIZE_BYTES)
            if not self.has_unparsed or self._is_parser_paused():
                return
            if is_costly:
                break
        self._waits_for_turn = True
        self._pause_transport_reading()
        parsing_turns.add(self._turns, self._parse_in_turn)

    def _read_discarded(self) -> bool:
        """Read once what is not parsed; what is received adds the next turn."""
        if self.transport is not None:
            super()._resume_transport_reading()
        return False

    @property
    def _unparsed_size_bytes(self) -> int:
        return len(self._unparsed) - self._parsed_size_bytes

    @property
    def has_unparsed(self) -> bool:
        """Return whether bytes were received that have not been parsed."""
        return self._unparsed_size_bytes > 0

    @property
    def is_new(self) -> bool:
        """Return whether its first byte is still to be expected.

        A close would cross the request of the client that has just connected.
        """
        age_s = self._loop.time() - self.opened_s
        return not self.has_received and age_s < FIRST_BYTE_TIME_S

    @property
    def has_request(self) -> bool:
        """Return whether bytes of a request were received that no handler serves."""
        is_read = bool(self._messages) or self.head_started_s is not None
        return is_read or self.has_unparsed or unread.size_bytes(self.transport) > 0

    @property
    def _has_arrived(self) -> bool:
        """Return whether bytes have arrived that the idle time must not discard."""
        return self.has_unparsed or unread.size_bytes(self.transport) > 0

    def _process_keepalive(self) -> None:
        """Close the connection after its idle time, unless a request has arrived."""
        if self._has_arrived:
            # After a stall of the event loop, timers come before what was received.
            self._keepalive_handle = self._loop.call_later(
                IDLE_CHECK_INTERVAL_S, self._process_keepalive
            )
            return
        super()._process_keepalive()

    def _parse_in_turn(self) -> bool:
        """Parse one part; return whether another turn is needed."""
        self._parse_part(COSTLY_PART_SIZE_BYTES)
        is_open = self.transport is not None and not self._has_failed
        if is_open and self.has_unparsed and not self._is_parser_paused():
            return True
        self._waits_for_turn = False
        if is_open and not self._is_parser_paused():
            self._resume_transport_reading()
        return False

    def _resume_transport_reading(self) -> None:
        """Read on once all that was received before has been parsed."""
        if self._is_discarding or self._waits_for_read:
            return
        if not self.has_unparsed:
            super()._resume_transport_reading()
        elif not self._waits_for_turn:
            self._loop.call_soon(self._continue)

    def _continue(self) -> None:
        """Parse what was held while aiohttp took no bytes, then read on."""
        if self._waits_for_turn or self.transport is None:
            return
        self.data_received(b"")
        if not self.has_unparsed and not self._is_parser_paused():
            self._resume_transport_reading()

    def _is_parser_paused(self) -> bool:
        """Return whether aiohttp takes no bytes; it passes none when it resumes."""
        return self._buffer_paused or self._reading_paused

    def _parse_part(self, max_size_bytes: int) -> bool:
        """Pass one part to the parser; return whether it brought little content."""
        start, left = self._parsed_size_bytes, self._unparsed_size_bytes
        is_body = self._is_receiving_body()
        is_chunked = is_body and self._last_length_bytes is None
        searched_size_bytes = max_size_bytes if is_chunked else MAX_SEARCHED_SIZE_BYTES
        size_bytes = min(self._find_end(searched_size_bytes), left)
        payload = self._last_payload
        known_size_bytes = payload.total_bytes if is_body else 0
        part = self._unparsed[start : start + size_bytes]
        self._parsed_size_bytes += size_bytes
        if size_bytes == left:
            self._unparsed, self._parsed_size_bytes = b"", 0
        self._receive_part(part)
        if is_body:
            self._body_size_bytes += size_bytes
        if not is_chunked or self._has_failed:
            return False
        content_size_bytes = payload.total_bytes - known_size_bytes
        if not self._is_parser_paused() and not payload.is_eof():
            self._check_overhead(payload)
        return content_size_bytes < MIN_CONTENT_SHARE * size_bytes

    def _check_overhead(self, payload: streams.StreamReader) -> None:
        """End a body whose chunks are mostly sizes, extensions or trailers."""
        overhead_size_bytes = self._body_size_bytes - payload.total_bytes
        allowed_size_bytes = MAX_OVERHEAD_FACTOR * payload.total_bytes
        if overhead_size_bytes > MAX_OVERHEAD_SIZE_BYTES + allowed_size_bytes:
            self._fail()
            message = "the chunks of the body have too little content"
            payload.set_exception(http_exceptions.TransferEncodingError(message))
            # The response to a request whose body was not read closes nothing.
            self.close()

    def _find_end(self, max_size_bytes: int) -> int:
        """Return how many bytes to pass on so that no message ends before the last.

        A head or an end of a chunked body is searched for up to a size.
        """
        if self._is_receiving_body() and self._last_length_bytes is not None:
            return max(1, self._last_length_bytes - self._last_payload.total_bytes)
        data, start = self._unparsed, self._parsed_size_bytes
        if self.head_started_s is None and not self._is_receiving_body():
            searched = data[start : start + 2 * MAX_EMPTY_LINES_SIZE_BYTES]
            empty_size_bytes = len(searched) - len(searched.lstrip(b"\r\n"))
            if empty_size_bytes:
                return empty_size_bytes
        # Heads and chunked bodies end with an empty line, which may have begun before.
        known = self._last_bytes
        found = (known + data[start : start + len(EMPTY_LINE)]).find(EMPTY_LINE)
        if found >= 0:
            return found + len(EMPTY_LINE) - len(known)
        found = data.find(EMPTY_LINE, start, start + max_size_bytes)
        if found >= 0:
            return found + len(EMPTY_LINE) - start
        return max_size_bytes

    def _receive_part(self, data: bytes) -> None:
        """Record when a request's head begins and ends."""
        # aiohttp passes no bytes when it resumes reading, and clients may send empty
        # lines between requests.
        is_body = self._is_receiving_body()
        is_content = is_body or bool(data.strip(b"\r\n"))
        self.has_received = self.has_received or is_content
        is_head = is_content and not is_body
        if is_head and self.head_started_s is None:
            self.head_started_s = asyncio.get_running_loop().time()
            self._begin_head()
        if not is_body and self._exceeds_head(data):
            return
        known_count = self._request_count
        super().data_received(data)
        self._last_bytes = _join_ends(self._last_bytes, data, len(EMPTY_LINE) - 1)
        if self._request_count > known_count and self._messages:
            self.head_started_s = None
            earlier = self._last_payload
            message, self._last_payload = self._messages[-1]
            self._last_length_bytes = _content_length(message, self._decompresses)
            self._head_size_bytes = self._body_size_bytes = 0
            self._empty_size_bytes = 0
            if not isinstance(message, http_parser.RawRequestMessage):
                self._fail()
                self._messages[-1] = (message, self._make_lingering_body())
                if is_body and not earlier.is_eof():
                    # The error is in its trailers; its reader would wait for the rest.
                    earlier.set_exception(message.exc)

    def _begin_head(self) -> None:
        """Prepare for a head whose first bytes are parsed next."""

    def _use_max_line_size(self, max_line_size: int) -> None:
        """Parse a head that begins, and those after it, with a bound on lines.

        aiohttp's parser can't change its bounds.  Parts end where messages do, so that
        the parser in use holds nothing between them.
        """
        if self._upgraded:
            # What follows waits beside the parser until the upgrade is answered.
            return
        self.max_line_size = self.max_field_size = max_line_size
        self._max_head_size_bytes = _max_head_size_bytes(max_line_size)
        self._parser = http_parser.HttpRequestParser(
            self,
            self._loop,
            self._read_bufsize,
            max_line_size=max_line_size,
            max_field_size=max_line_size,
            max_headers=self.max_headers,
            payload_exception=web_protocol.RequestPayloadError,
            auto_decompress=self._decompresses,
            max_msg_queue_size=self._max_msg_queue_size,
        )

    def _exceeds_head(self, data: bytes) -> bool:
        """Count what was received of a head; end the connection beyond its bound."""
        if self.head_started_s is None:
            self._empty_size_bytes += len(data)
            if self._empty_size_bytes <= MAX_EMPTY_LINES_SIZE_BYTES:
                return False
            error = http_exceptions.BadHttpMessage("too many empty lines")
        else:
            self._head_size_bytes += len(data)
            if self._head_size_bytes <= self._max_head_size_bytes:
                return False
            size_bytes = self._max_head_size_bytes
            error = http_exceptions.LineTooLong(b"", size_bytes)
        self._fail()
        found = web_protocol._ErrInfo(status=400, exc=error, message=error.message)
        self._messages.append((found, self._make_lingering_body()))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        return True

    def _fail(self) -> None:
        """Discard all that follows; the error response closes the connection."""
        self._has_failed = True
        self._unparsed, self._parsed_size_bytes = b"", 0

    def _make_lingering_body(self) -> streams.StreamReader:
        """Return a body without an end, for which aiohttp waits after the response.

        What its client sends meanwhile is discarded, so that the response is read.
        """
        self._lingering_time = LINGERING_S
        return streams.StreamReader(self, LINGERING_SIZE_BYTES, loop=self._loop)

    def _is_receiving_body(self) -> bool:
        return self._last_payload is not None and not self._last_payload.is_eof()


def _join_ends(known: bytes, data: bytes, size_bytes: int) -> bytes:
    """Return the last bytes of what was received, without a copy of the rest."""
    return (known + data[-size_bytes:])[-size_bytes:]


def _max_head_size_bytes(max_line_size: int) -> int:
    # A request line and the fields of a head each fit into one line's limit.
    return 2 * max_line_size + HEAD_MARGIN_SIZE_BYTES


def _content_length(message: object, decompresses: bool) -> int | None:
    """Return the length that a parsed message states; None for chunks or an error."""
    if not isinstance(message, http_parser.RawRequestMessage) or message.chunked:
        return None
    if message.compression and decompresses:
        # The size of the body that is read is another one.
        return None
    text = message.headers.get("Content-Length", "")
    return int(text) if text.isdecimal() else None


class BoundedServer(web.Server):
    """A server whose connections have these bounds."""

    def __init__(self, handler, **options) -> None:
        super().__init__(handler, **{"lingering_time": LINGERING_S} | options)
        self._turns = parsing_turns.ParsingTurns()

    def __call__(self) -> BoundedConnection:
        """Return the protocol of a new connection."""
        return BoundedConnection(self, self._turns, loop=self._loop, **self._kwargs)


class BoundedRunner(web.AppRunner):
    """Runs an application on a server whose connections have these bounds."""

    __slots__ = ()

    async def _make_server(self) -> BoundedServer:
        made = await super()._make_server()
        return BoundedServer(
            made.request_handler,
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            loop=made._loop,
            **made._kwargs,
        )
