"""The port for clients, and the readiness port for the load balancer."""

import asyncio
import contextlib
import dataclasses
import functools
import itertools
from collections.abc import Awaitable, Callable, Iterator

import multidict
from aiohttp import http_exceptions, http_parser, web

from hickoryweir import (
    bounded_connections,
    clocks,
    early_listener,
    listening,
    parsing_turns,
    unacknowledged,
    unread,
)
from hickoryweir.forwarding import (
    contexts,
    errors,
    forwarder,
    held_bytes,
    lingering,
    open_requests,
    slow_readers,
    sockets,
)
from hickoryweir.forwarding_policy import held_bytes as held_bytes_policy
from hickoryweir.observability import logs
from hickoryweir.routes import model

# Used until a table is in force; clients reuse connections that were idle for less.
DEFAULT_IDLE_TIMEOUT_S = 15.0
# A line of a relayed request has the message of its router beside the client's fields.
HEADER_MARGIN_SIZE_BYTES = 16 * 1024
STOP_CHECK_INTERVAL_S = 0.05
# Time for the final responses at the end of a stop to reach the clients.
ANSWER_MARGIN_S = 0.25
# After a stall of the event loop, a handler takes several of its iterations to end.
MIN_ANSWER_CHECKS_COUNT = 5
# A sixth of the shortest header timeout.
HEAD_CHECK_INTERVAL_S = 0.5
# aiohttp stops reading a client once twice as much of a body waits for its reader.
BODY_READ_AHEAD_SIZE_BYTES = 32 * 1024
# Time for a refusal to reach a client that sends its body slowly.
LINGERING_S = 5.0
# Servers have to be told within half a second that a client has left.
LEFT_CHECK_INTERVAL_S = 0.05
# The response is written to the transport within one iteration of the event loop.
WRITE_MARGIN_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of a client's connection.

    Attributes
    ----------
    max_line_size_bytes : int
        Of a request line, and of a field.
    idle_timeout_s : float
        After the response to a request.
    """

    max_line_size_bytes: int
    idle_timeout_s: float


class ClientConnection(bounded_connections.BoundedConnection):
    """A client's connection that answers parse errors with plain error responses.

    Its limits are those in force when a request begins.

    Attributes
    ----------
    client_transport : asyncio.Transport or None
        Its transport until the last byte is sent or the connection is lost.
    served : open_requests.OpenRequest or None
        The request whose handler is running.
    has_ended_sending : bool
        Whether the client has ended its sending side.
    is_unframed : bool
        Whether the end of the connection is that of the response being written.
    is_held : bool
        Whether what follows the request that is served stays unread in the kernel.
    delivery : slow_readers.Delivery
        What the client has taken of what was written.
    """

    __slots__ = (
        "_close_check",
        "_get_limits",
        "_held_limits",
        "_hold_check",
        "_hold_end",
        "_holds_next",
        "_left_check",
        "_limits",
        "_lingering",
        "_lingering_close",
        "client_transport",
        "delivery",
        "has_ended_sending",
        "is_held",
        "is_unframed",
        "served",
    )

    def __init__(
        self,
        server: web.Server,
        turns: parsing_turns.ParsingTurns,
        get_limits: Callable[[], ConnectionLimits],
        held_limits: held_bytes_policy.Limits | None = None,
        read_turns: parsing_turns.ParsingTurns | None = None,
        lingering_closes: lingering.Lingering | None = None,
        **options,
    ) -> None:
        self._limits = get_limits()
        super().__init__(
            server,
            turns,
            keepalive_timeout=self._limits.idle_timeout_s,
            max_line_size=self._limits.max_line_size_bytes,
            max_field_size=self._limits.max_line_size_bytes,
            **options,
        )
        self._get_limits = get_limits
        self._lingering = lingering_closes
        self._lingering_close: lingering.Close | None = None
        self._close_check: asyncio.TimerHandle | None = None
        self._read_turns = read_turns
        self._held_limits = held_limits
        self.client_transport: asyncio.Transport | None = None
        self.served: open_requests.OpenRequest | None = None
        self.has_ended_sending = False
        self.is_unframed = False
        self.is_held = False
        self._holds_next = False
        self._hold_check: asyncio.TimerHandle | None = None
        self._hold_end: asyncio.TimerHandle | None = None
        self._left_check: asyncio.TimerHandle | None = None
        self.delivery = slow_readers.Delivery()

    @property
    def is_idle(self) -> bool:
        """Return whether no byte of another request has been received."""
        if self.served is not None or self._messages or self.head_started_s is not None:
            return False
        if self.has_unparsed:
            return False
        if not self.has_received:
            # Bytes that came during a stall of the event loop have not been read yet.
            return not self.has_unread
        # Without a waiter, aiohttp is starting a handler or writing a response.
        is_waiting = self._waiter is not None and not self._waiter.done()
        # A close with unread bytes would also discard the end of the last response.
        return is_waiting and not self.has_unread

    @property
    def is_awaiting_headers(self) -> bool:
        """Return whether only a part of a request's headers has been received."""
        is_waiting = self._waiter is not None and not self._waiter.done()
        return is_waiting and self.head_started_s is not None

    @property
    def unsent_size_bytes(self) -> int:
        """Return the size of what was written and not passed to the kernel yet."""
        if self.client_transport is None:
            return 0
        return self.client_transport.get_write_buffer_size()

    @property
    def pending_size_bytes(self) -> int:
        """Return the size of what was written and the client has not acknowledged."""
        if self.client_transport is None:
            return 0
        sent_size_bytes = unacknowledged.size_bytes(self.client_transport)
        return self.unsent_size_bytes + sent_size_bytes

    @property
    def is_lingering(self) -> bool:
        """Return whether the client may still send, after the last response."""
        return self._lingering_close is not None

    @property
    def queued_requests_count(self) -> int:
        """Return how many requests were read that no handler has started on."""
        return len(self._messages)

    @property
    def has_next(self) -> bool:
        """Return whether the client has sent more than the request that is served."""
        return bool(self._messages) or self.has_unparsed or self.has_unread

    @property
    def has_unread(self) -> bool:
        """Return whether the kernel has received bytes that were not read."""
        return unread.size_bytes(self.client_transport) > 0

    @property
    def queued_headers(self) -> list[multidict.CIMultiDictProxy]:
        """Return the headers of these requests, without malformed ones."""
        return [
            message.headers
            for message, _ in self._messages
            if isinstance(message, http_parser.RawRequestMessage)
        ]

    @property
    def _has_arrived(self) -> bool:
        """Return whether a byte of another request has arrived, for the idle time."""
        # The header timeout bounds the time of a head.
        return super()._has_arrived or self.head_started_s is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, which aiohttp forgets when it closes a connection."""
        self.client_transport = transport
        super().connection_made(transport)
        if self._held_limits is not None and self._held_limits.divides_accounts:
            slow_readers.limit_buffers(transport, self._held_limits)

    def eof_received(self) -> bool | None:
        """Record that the client has ended its sending side.

        It is taken for one that has left, unless its request goes on anyway.

        Returns
        -------
        bool or None
            Whether to keep the connection open for the response.
        """
        self.has_ended_sending = True
        if self.served is None or not open_requests.runs_to_its_end(self.served):
            return super().eof_received()
        self.close()
        return True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the transport."""
        self.client_transport = None
        if self._lingering_close is not None:
            self._close_check.cancel()
            self._lingering_close = None
            self._lingering.connections_count -= 1
        super().connection_lost(exc)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send the response, and linger if it is the connection's last one."""
        sent, is_reset = await super().finish_response(request, resp, start_time)
        if not is_reset:
            self.end_unframed()
        if not is_reset and not sent.keep_alive and request.content.is_eof():
            self.linger()
        return sent, is_reset

    def begin_unframed(self) -> None:
        """Mark a response that ends with its connection as truncated until it is whole.

        Whatever closes the connection before, also the end of the process, resets it.
        """
        if self.client_transport is not None:
            self.is_unframed = True
            sockets.reset_on_close(self.client_transport)

    def end_unframed(self) -> None:
        """Let a close deliver a whole response, once the kernel has all of it."""
        if self.is_unframed and self.client_transport and not self.unsent_size_bytes:
            self.is_unframed = False
            sockets.deliver_on_close(self.client_transport)

    def linger(self) -> bool:
        """End the sending side, and discard what is received until the client closes.

        Returns
        -------
        bool
            Whether it began; if not, the connection is as it was.
        """
        transport, shared = self.transport, self._lingering
        if shared is None or transport is None or transport.is_closing():
            return False
        is_full = shared.connections_count >= lingering.MAX_CONNECTIONS_COUNT
        if is_full or self.is_lingering or not transport.can_write_eof():
            return False
        shared.connections_count += 1
        # aiohttp then neither closes the transport nor parses what is received.
        self._force_close = True
        if self._waiter is not None:
            self._waiter.cancel()
        self._fail()
        self._messages.clear()
        self.head_started_s = None
        now_s = self._loop.time()
        self._lingering_close = lingering.Close(now_s, now_s, self.pending_size_bytes)
        self._schedule_close_check()
        transport.write_eof()
        if not transport.is_closing():
            transport.resume_reading()
        return True

    def data_received(self, data: bytes) -> None:
        """Parse what is received, or discard it after the last response."""
        super().data_received(data)
        if self._lingering_close is None:
            return
        self._lingering_close.discarded_size_bytes += len(data)
        size_bytes = self._lingering_close.discarded_size_bytes
        if size_bytes > lingering.MAX_DISCARDED_SIZE_BYTES:
            self.force_close()

    def _schedule_close_check(self) -> None:
        self._close_check = self._loop.call_later(
            lingering.CHECK_INTERVAL_S, self._check_close
        )

    def _check_close(self) -> None:
        pending, now_s = self.pending_size_bytes, self._loop.time()
        if lingering.is_over(self._lingering_close, pending, now_s):
            self.force_close()
        else:
            self._schedule_close_check()

    def hold_next(self, time_s: float | None = None) -> None:
        """Read no other request until the response to the one served has ended.

        If the connection ends before, the client knows that the next request was not
        read.

        Parameters
        ----------
        time_s : float, optional
            Time after which other requests are read again; none by default.
        """
        self._cancel_hold_end()
        if time_s is not None:
            self._hold_end = self._loop.call_later(time_s, self.release_next)
        self._holds_next = True
        self._hold()

    def _hold(self) -> None:
        """Pause reading once the request that is served has been received."""
        is_received = bool(self._messages) or not self._is_receiving_body()
        if self.is_held or self.served is None or not is_received:
            return
        self.is_held = True
        self._pause_transport_reading()
        self._schedule_hold_check()

    def release_next(self) -> None:
        """Read on after :meth:`hold_next`."""
        self._cancel_hold_end()
        self._holds_next = False
        if not self.is_held:
            return
        self.is_held = False
        self._hold_check.cancel()
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _cancel_hold_end(self) -> None:
        if self._hold_end is not None:
            self._hold_end.cancel()
            self._hold_end = None

    def _resume_transport_reading(self) -> None:
        """Resume reading, unless what follows is to stay unread."""
        if not self.is_held:
            super()._resume_transport_reading()

    def _schedule_hold_check(self) -> None:
        self._hold_check = self._loop.call_later(
            LEFT_CHECK_INTERVAL_S, self._check_left
        )

    def _check_left(self) -> None:
        """Read on if the client has left, which a paused transport does not report."""
        if self.client_transport is None:
            return
        if sockets.has_peer_left(self.client_transport):
            self.release_next()
            return
        self._schedule_hold_check()

    @contextlib.contextmanager
    def closing_if_left(self) -> Iterator[None]:
        """Close the connection if the client leaves while its body waits unread."""
        self._left_check = self._loop.call_later(
            LEFT_CHECK_INTERVAL_S, self._close_if_left
        )
        try:
            yield
        finally:
            self._left_check.cancel()

    def _close_if_left(self) -> None:
        if self.client_transport is None:
            return
        if sockets.has_peer_left(self.client_transport):
            self.client_transport.abort()
            return
        self._left_check = self._loop.call_later(
            LEFT_CHECK_INTERVAL_S, self._close_if_left
        )

    def is_past_idle_time(self, now_s: float) -> bool:
        """Return whether it has been idle after a response for its idle time."""
        return self.has_received and now_s >= self._idle_until_s and self.is_idle

    @property
    def _idle_until_s(self) -> float:
        """Return the loop time at which the idle time after a response ends."""
        return self._idle_since_s + self._limits.idle_timeout_s

    @property
    def _idle_since_s(self) -> float:
        """Return the loop time at which the last response ended."""
        # aiohttp adds the idle time with which the connection was opened.
        return self._next_keepalive_close_time - self._keepalive_timeout

    @property
    def has_fresh_response(self) -> bool:
        """Return whether the client may not have received its last response yet.

        A reset overtakes what is acknowledged on its way to the client, and may discard
        what the client has not read.
        """
        if self.pending_size_bytes:
            return True
        age_s = self._loop.time() - self._idle_since_s
        return self.has_received and age_s < lingering.ARRIVAL_TIME_S

    def _process_keepalive(self) -> None:
        """Wait on if the idle time has become longer since the connection was opened.

        One that has become shorter is found by :func:`_close_slow_clients`.
        """
        if self._loop.time() < self._idle_until_s:
            self._keepalive_handle = self._loop.call_at(
                self._idle_until_s, self._process_keepalive
            )
            return
        super()._process_keepalive()

    def _begin_head(self) -> None:
        limits = self._get_limits()
        if limits.max_line_size_bytes != self.max_line_size:
            self._use_max_line_size(limits.max_line_size_bytes)
        self._limits = limits

    def _receive_part(self, data: bytes) -> None:
        super()._receive_part(data)
        if self._holds_next:
            self._hold()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = web.HTTPInternalServerError.status_code,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the error response to a malformed request or an unexpected exception.

        Raises
        ------
        ConnectionError
            The response has started; aiohttp then closes the connection.
        """
        reason = errors.Reason.REQUEST_INVALID
        if isinstance(exc, http_exceptions.LineTooLong):
            reason = errors.Reason.HEADERS_TOO_LARGE
        elif not isinstance(exc, http_exceptions.HttpProcessingError):
            reason = errors.Reason.INTERNAL_ERROR
            logs.error(
                "unexpected exception in a request handler",
                logs.Fields(detail=repr(exc)),
            )
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already started")
        response = errors.make_response(reason, "")
        response.force_close()
        return response


Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
Serve = Callable[
    [contexts.Forwarder, web.BaseRequest, open_requests.OpenRequest],
    Awaitable[web.StreamResponse],
]


@dataclasses.dataclass(slots=True)
class RunningServer:
    """A listening server of a router.

    Attributes
    ----------
    make_connection : callable
        Makes the protocol of a connection.
    peers : str
        Who connects to its port, for the log.
    """

    router: contexts.Forwarder
    server: web.Server
    listener: asyncio.Server
    make_connection: Callable[[], ClientConnection]
    header_watcher: asyncio.Task
    peers: str


async def start(
    router: contexts.Forwarder,
    host: str,
    port: int,
    serve: Serve | None = None,
    peers: str = "clients",
) -> RunningServer:
    """Listen for clients, on the listener that was opened early if there is one.

    Parameters
    ----------
    router : contexts.Forwarder
        State of the router.
    host, port : str, int
        Address to listen on.
    serve : callable, optional
        ``serve(router, request, open_request)`` returns the response; that of a
        client's request by default.
    peers : str, optional
        Who connects to the port, for the log.

    Raises
    ------
    OSError
        The address is in use.
    """
    server = web.Server(_make_handler(router, serve), handler_cancellation=True)
    make_connection = _make_connection_factory(router, server)
    listener = await _listen(make_connection, host, port)
    header_watcher = asyncio.create_task(_close_slow_clients(router, server))
    return RunningServer(
        router, server, listener, make_connection, header_watcher, peers
    )


def _make_handler(router: contexts.Forwarder, serve: Serve | None) -> Handler:
    """Return the handler of all requests, which keeps record of the open ones."""
    loop = asyncio.get_running_loop()
    open_by_connection = router.open_requests

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        if connection.transport is None or connection.transport.is_closing():
            # The request was read in the loop iteration in which the server stopped;
            # if it were forwarded, its response could not be delivered.
            raise ConnectionError("the connection is closing")
        open_request = open_requests.OpenRequest()
        open_by_connection[connection] = open_request
        connection.served = open_request
        if router.is_draining:
            connection.hold_next()
        try:
            handle_request = serve or forwarder.serve
            response = await handle_request(router, request, open_request)
            if not request.content.is_eof() and request.content.exception() is None:
                # The rest of the body will not be forwarded.
                response.force_close()
                connection.discard_rest(LINGERING_S)
            return response
        finally:
            connection.served, open_request.is_handled = None, True
            connection.release_next()
            held_bytes.end_handling(open_request)
            if connection.head_started_s is not None:
                # The header timeout does not run while an earlier request is served.
                connection.head_started_s = loop.time()
            # aiohttp writes a plain response after the handler has returned.
            loop.call_later(
                WRITE_MARGIN_S,
                _request_finished,
                open_by_connection,
                connection,
                open_request,
            )

    return handle


def _make_connection_factory(
    router: contexts.Forwarder, server: web.Server
) -> Callable[[], ClientConnection]:
    """Return a function that makes connections, which read the limits in force."""
    loop = asyncio.get_running_loop()
    turns = parsing_turns.ParsingTurns()
    read_turns = parsing_turns.ParsingTurns(bounded_connections.READ_INTERVAL_S)
    discard_turns = parsing_turns.ParsingTurns(bounded_connections.DISCARD_INTERVAL_S)
    lingering_closes = lingering.Lingering()

    def make_connection() -> ClientConnection:
        return ClientConnection(
            server,
            turns,
            functools.partial(_limits_in_force, router),
            router.held_limits,
            read_turns,
            lingering_closes,
            discard_turns=discard_turns,
            loop=loop,
            access_log=None,
            auto_decompress=False,
            read_bufsize=BODY_READ_AHEAD_SIZE_BYTES,
            lingering_time=0,
        )

    return make_connection


def _limits_in_force(router: contexts.Forwarder) -> ConnectionLimits:
    """Return the limits of the table, or the defaults until there is one.

    The parser bounds single lines; :mod:`admission` checks the size of all fields.
    """
    table_limits, idle_timeout_s = model.Limits(), DEFAULT_IDLE_TIMEOUT_S
    if router.route_index is not None:
        table_limits = router.route_index.table.limits
        idle_timeout_s = table_limits.idle_timeout_s
    max_line_size_bytes = table_limits.max_header_size_bytes + HEADER_MARGIN_SIZE_BYTES
    return ConnectionLimits(max_line_size_bytes, idle_timeout_s)


async def _listen(
    make_connection: Callable[[], ClientConnection], host: str, port: int
) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    backlog = early_listener.BACKLOG_COUNT
    early = early_listener.take(host, port)
    if early is not None:
        return await loop.create_server(make_connection, sock=early, backlog=backlog)
    return await loop.create_server(make_connection, host, port, backlog=backlog)


async def _close_slow_clients(router: contexts.Forwarder, server: web.Server) -> None:
    """Close connections with slow headers, idle ones, and stalled ones.

    aiohttp closes idle connections only after their first request.
    """
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(HEAD_CHECK_INTERVAL_S)
        limits = model.Limits()
        if router.route_index is not None:
            limits = router.route_index.table.limits
        now_s = loop.time()
        for connection in list(server.connections):
            if _is_late(connection, limits, now_s):
                logs.info("request headers timed out", logs.Fields(reason="head"))
                connection.force_close()
            elif connection.is_past_idle_time(now_s):
                connection.force_close()
            elif slow_readers.is_stalled(router, connection, now_s):
                slow_readers.disconnect(router, connection)


def _is_late(connection: ClientConnection, limits: model.Limits, now_s: float) -> bool:
    if connection.is_awaiting_headers:
        is_late = now_s - connection.head_started_s > limits.header_timeout_s
    else:
        is_unused = not connection.has_received
        is_late = is_unused and now_s - connection.opened_s > limits.idle_timeout_s
    # After a stall of the event loop, what was received in time is read first.
    return is_late and not connection.has_unread


def _request_finished(
    open_by_connection: dict[ClientConnection, open_requests.OpenRequest],
    connection: ClientConnection,
    finished: open_requests.OpenRequest,
) -> None:
    if open_by_connection.get(connection) is not finished:
        return
    if connection.unsent_size_bytes:
        asyncio.get_running_loop().call_later(
            WRITE_MARGIN_S, _request_finished, open_by_connection, connection, finished
        )
        return
    connection.end_unframed()
    del open_by_connection[connection]


async def start_readiness(router: contexts.Forwarder, host: str, port: int) -> int:
    """Listen for readiness probes; respond with 200 while ready for clients, else 503.

    A router without a list of servers would refuse every request, so it is not ready.

    Returns
    -------
    int
        The port in use.
    """
    loop = asyncio.get_running_loop()

    async def handle(request: web.BaseRequest) -> web.Response:
        has_table = router.started.is_set() and router.route_index is not None
        is_ready = has_table and not router.is_draining
        return web.Response(status=200 if is_ready else 503)

    server = bounded_connections.BoundedServer(handle, access_log=None)
    listener = await loop.create_server(server, host, port)
    return listener.sockets[0].getsockname()[1]


def begin_stop(router: contexts.Forwarder, time_left_s: float) -> None:
    """Announce that the router answers its last requests within `time_left_s`."""
    was_draining, router.is_draining = router.is_draining, True
    now_s = clocks.boottime_s()
    router.stops_at_s = now_s + time_left_s - ANSWER_MARGIN_S
    if not was_draining:
        router.stop_began_s = now_s
        for connection in router.open_requests:
            connection.hold_next()


async def stop(
    running: RunningServer, time_left_s: float, signal_delay_s: float = 0.0
) -> None:
    """Close the port, and let its open requests end within `time_left_s`.

    A connection is closed once it has no request: at once if it is idle, else after the
    response.  What was read, even in part, is still received and answered; a request
    without a response by the end gets a final one from the router.  Requests that came
    in by another port are left alone.  aiohttp's own shutdown would keep idle
    connections open and read requests from them without answering, and its ``close`` of
    a connection discards the rest of a request.

    Parameters
    ----------
    running : RunningServer
        The server.
    time_left_s : float
        Time until the last connections are closed.
    signal_delay_s : float, optional
        For how long the signal to stop may have waited to be noticed.  The process may
        be killed by so much earlier, so requests without a response get theirs before,
        and the stop ends then.  Responses that have begun go on, since they can only be
        cut.
    """
    begin_stop(running.router, time_left_s - signal_delay_s)
    running.router.port_closed_s = clocks.boottime_s()
    opening = listening.close(running.listener, running.make_connection)
    phases = open_requests.count_phases(_open_requests(running))
    logs.info(f"port for {running.peers} closed", logs.Fields(detail=f"open: {phases}"))
    loop = asyncio.get_running_loop()
    end_s = loop.time() + time_left_s
    # Connections that were accepted before are in the server's list after this.
    await asyncio.gather(*opening)
    await asyncio.sleep(STOP_CHECK_INTERVAL_S)
    await _end_requests(running, end_s, signal_delay_s)
    running.header_watcher.cancel()
    if any(map(_is_unanswered, running.server.connections)):
        _log_aborted(running)
    _log_undelivered(running)
    for connection in list(running.server.connections):
        connection.force_close()


def _open_requests(running: RunningServer) -> list[open_requests.OpenRequest]:
    """Return the open requests that came in by a server's own port."""
    found = map(running.router.open_requests.get, running.server.connections)
    return [request for request in found if request is not None]


async def _end_requests(
    running: RunningServer, end_s: float, signal_delay_s: float
) -> None:
    """Wait for the responses, and give up in time what has none.

    Parameters
    ----------
    running : RunningServer
        The server, whose port is closed.
    end_s : float
        Loop time at which the last connections are closed.
    signal_delay_s : float
        See :func:`stop`.
    """
    loop = asyncio.get_running_loop()
    last_give_up_s = end_s - ANSWER_MARGIN_S
    for give_up_s in dict.fromkeys((last_give_up_s - signal_delay_s, last_give_up_s)):
        await _wait_until_closed(running, give_up_s - STOP_CHECK_INTERVAL_S)
        # Responses that arrived while the event loop was held up are read before that.
        await _wait_until_closed(running, give_up_s, 1)
        if _give_up_unanswered(running):
            # After a stall of the event loop, final responses still need their time.
            until_s = max(give_up_s, loop.time()) + ANSWER_MARGIN_S
            await _wait_until_closed(running, until_s, MIN_ANSWER_CHECKS_COUNT)
        has_begun = any(map(open_requests.has_begun, _open_requests(running)))
        if signal_delay_s and not has_begun:
            break
    else:
        await _wait_until_closed(running, end_s)


def _give_up_unanswered(running: RunningServer) -> bool:
    """Give up the requests without a response; return whether there are any."""
    found = _open_requests(running)
    unanswered = list(itertools.filterfalse(open_requests.has_begun, found))
    for request in unanswered:
        open_requests.give_up(request)
    return bool(unanswered)


async def _wait_until_closed(
    running: RunningServer, until_s: float, min_checks_count: int = 0
) -> None:
    """Close idle connections until none is left, or until a time of the event loop.

    Parameters
    ----------
    running : RunningServer
        The server.
    until_s : float
        Loop time of the end.
    min_checks_count : int, optional
        How often to wait for the next check at least, also after this time.
    """
    loop, checks_count = asyncio.get_running_loop(), 0
    while True:
        _close_idle_connections(running.server)
        # A closed connection stays in the list until its last byte is sent, and one
        # that lingers until it is delivered.
        if not running.server.connections:
            return
        if loop.time() >= until_s and checks_count >= min_checks_count:
            return
        await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        checks_count += 1


def _close_idle_connections(server: web.Server) -> None:
    for connection in list(server.connections):
        if not connection.is_idle or connection.is_new:
            continue
        if not connection.has_fresh_response or not connection.linger():
            connection.force_close()


def _is_unanswered(connection: ClientConnection) -> bool:
    """Return whether a close would discard a request or a part of a response."""
    return not connection.is_lingering or connection.unsent_size_bytes > 0


def _log_aborted(running: RunningServer) -> None:
    """Log each request whose connection the stop closes without a whole response."""
    now_s = clocks.boottime_s()
    aborted = {
        connection: running.router.open_requests.get(connection)
        for connection in running.server.connections
        if _is_unanswered(connection)
    }
    for connection, request in aborted.items():
        if request is not None:
            _log_aborted_request(running.router, connection, request, now_s)
        for headers in connection.queued_headers:
            metadata = running.router.codec.parse_request(headers)
            fields = logs.Fields(
                request_id=metadata.request_id, detail="queued behind another request"
            )
            logs.warning("request aborted by the stop", fields)
    unread_count = sum(
        unread.size_bytes(connection.client_transport) > 0 for connection in aborted
    )
    detail = f"{len(aborted)} connections closed, {unread_count} with unread bytes"
    fields = logs.Fields(detail=detail)
    logs.warning("stopped with open requests", fields)


def _log_undelivered(running: RunningServer) -> None:
    """Log how many whole responses are with the kernel and not with their clients.

    A reset, which answers what such a client sends, may discard them.
    """
    sizes_bytes = [
        connection.pending_size_bytes
        for connection in running.server.connections
        if not _is_unanswered(connection) and connection.pending_size_bytes > 0
    ]
    if sizes_bytes:
        detail = f"{len(sizes_bytes)} connections, {sum(sizes_bytes)} bytes"
        fields = logs.Fields(detail=detail)
        logs.warning("stopped before clients had acknowledged responses", fields)


def _log_aborted_request(
    router: contexts.Forwarder,
    connection: ClientConnection,
    request: open_requests.OpenRequest,
    now_s: float,
) -> None:
    context = request.context
    placement = None if context is None else context.placement
    fields = logs.Fields(
        request_id=request.request_id or None,
        class_name=None if context is None else context.route.name,
        backend_server=None if placement is None else placement.server_id,
        attempt=None if context is None else context.sent_count,
        duration_s=round(now_s - request.received_at_s, 4),
        detail=open_requests.describe(
            request,
            connection.unsent_size_bytes,
            connection.queued_requests_count,
            router.stop_began_s,
        ),
    )
    logs.warning("request aborted by the stop", fields)
