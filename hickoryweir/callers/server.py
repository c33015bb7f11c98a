"""The callers' HTTP server: TLS, header limits and a limit on connections."""

import asyncio
import dataclasses
import functools
import ssl
import time
import traceback
from collections.abc import Callable

from aiohttp import http_exceptions, web

from hickoryweir import (
    bounded_connections,
    graceful_stop,
    listening,
    parsing_turns,
    unread,
)
from hickoryweir.callers import app, errors, interface
from hickoryweir.configuration import settings
from hickoryweir.observability import logs, metrics
from hickoryweir.outcomes import refusals

BACKLOG_COUNT = 1_024
HEADER_CHECK_INTERVAL_S = 1.0
KEEPALIVE_TIMEOUT_S = 75.0
RELOAD_INTERVAL_S = 5.0
STOP_LIMIT_S = 5.0
# Connections that were refused and whose clients may still send.
MAX_LINGERING_COUNT = 256
NO_CLASS = ""


class RejectingProtocol(asyncio.Protocol):
    """Refuses a connection over the limit, and closes it once its client has.

    A connection that is closed while its client sends is reset, and the client may lose
    the refusal.  So what it sends is discarded, within bounds.

    Parameters
    ----------
    response : bytes
        The refusal.
    lingering : set of RejectingProtocol
        Connections that were refused and are open; shared by all of them.
    """

    def __init__(self, response: bytes, lingering: set["RejectingProtocol"]) -> None:
        self._response = response
        self._lingering = lingering
        self._transport: asyncio.Transport | None = None
        self._discarded_size_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the refusal."""
        self._transport = transport
        transport.write(self._response)
        if len(self._lingering) >= MAX_LINGERING_COUNT:
            transport.close()
            return
        self._lingering.add(self)
        if transport.can_write_eof():
            transport.write_eof()
        loop = asyncio.get_running_loop()
        loop.call_later(bounded_connections.LINGERING_S, transport.close)

    def data_received(self, data: bytes) -> None:
        """Discard what the client sends, up to a bound."""
        self._discarded_size_bytes += len(data)
        if self._discarded_size_bytes > bounded_connections.MAX_DISCARDED_SIZE_BYTES:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._lingering.discard(self)


def make_rejection_response(limit_count: int) -> bytes:
    """Return the bytes of the HTTP response to a connection over the limit."""
    reason = refusals.Reason.TOO_MANY_CONNECTIONS
    message = f"more than {limit_count} connections"
    body = errors.render(refusals.make_refusal(reason, message, 1.0))
    head = (
        "HTTP/1.1 503 Service Unavailable\r\n"
        "Content-Type: application/json\r\n"
        "Retry-After: 1\r\n"
        "Connection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class CallerConnection(bounded_connections.BoundedConnection):
    """A caller's connection that converts parse errors into typed refusals.

    Attributes
    ----------
    counters : metrics.Metrics
        Counters of refusals.
    opened_at_s : float
        Time of the connection on the monotonic clock.
    opening : set of CallerConnection
        Connections that the event loop has not connected yet; shared by all of them.
    headers_received : bool
        Whether the headers of a first request were received.
    """

    __slots__ = ("counters", "headers_received", "opened_at_s", "opening")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remove the connection from `opening`; the server counts it from now on."""
        self.opening.discard(self)
        super().connection_made(transport)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = web.HTTPInternalServerError.status_code,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a malformed request or an unexpected exception.

        Raises
        ------
        ConnectionError
            The response was started; aiohttp then closes the connection.
        """
        refusal = refuse_error(status, exc)
        self.counters.refusals.labels(NO_CLASS, refusal.reason).inc()
        fields = logs.Fields(reason=str(refusal.reason), detail=describe_error(exc))
        logs.warning("request not served", fields)
        if request.writer.output_size > 0:
            raise ConnectionError("the response was already started")
        response = errors.make_response(refusal, "")
        response.force_close()
        return response


def describe_error(error: BaseException | None) -> str:
    """Return an exception's type and location.

    Its message is left out, since it may contain a key or a body.
    """
    frames = traceback.extract_tb(error.__traceback__) if error else ()
    where = f" in {frames[-1].name}:{frames[-1].lineno}" if frames else ""
    return type(error).__name__ + where


def refuse_error(status: int, error: BaseException | None) -> refusals.Refusal:
    """Return the refusal for an error that aiohttp reports."""
    if isinstance(error, http_exceptions.LineTooLong):
        reason = refusals.Reason.HEADERS_TOO_LARGE
        return refusals.make_refusal(reason, "the headers are too large")
    if status < web.HTTPInternalServerError.status_code:
        reason = refusals.Reason.BODY_INVALID
        return refusals.make_refusal(reason, "the request is not valid HTTP")
    reason = refusals.Reason.INTERNAL_ERROR
    return refusals.make_refusal(reason, "internal error", ran=refusals.Ran.MAYBE)


def make_protocol_factory(
    server: web.Server, limits: settings.Callers, counters: metrics.Metrics
) -> Callable[[], asyncio.Protocol]:
    """Return a protocol factory that refuses connections over the limit.

    The event loop may create many protocols before it connects the first of them,
    so protocols that are not connected yet count too.  One whose TLS handshake
    fails counts until the handshake timeout.
    """
    loop = asyncio.get_running_loop()
    response = make_rejection_response(limits.max_connections)
    reason = refusals.Reason.TOO_MANY_CONNECTIONS
    opening: set[CallerConnection] = set()
    lingering: set[RejectingProtocol] = set()
    turns = parsing_turns.ParsingTurns()

    def make_protocol() -> asyncio.Protocol:
        if len(server.connections) + len(opening) >= limits.max_connections:
            counters.refusals.labels(NO_CLASS, reason).inc()
            return RejectingProtocol(response, lingering)
        connection = CallerConnection(
            server,
            turns,
            loop=loop,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            access_log=None,
            max_line_size=limits.max_header_size_bytes,
            max_field_size=limits.max_header_size_bytes,
        )
        connection.counters = counters
        connection.opened_at_s = time.monotonic()
        connection.headers_received = False
        connection.opening = opening
        opening.add(connection)
        loop.call_later(limits.body_timeout_s, opening.discard, connection)
        return connection

    return make_protocol


async def enforce_header_timeout(
    server: web.Server,
    limit_s: float,
    counters: metrics.Metrics,
) -> None:
    """Abort connections that don't complete the headers of a first request in time.

    Parameters
    ----------
    server : web.Server
        Server of the connections.
    limit_s : float
        Maximum time from the connection to the end of the first headers.
    counters : metrics.Metrics
        Counters of aborted connections.
    """
    reason = refusals.Reason.CLIENT_TOO_SLOW
    while True:
        await asyncio.sleep(HEADER_CHECK_INTERVAL_S)
        now_s = time.monotonic()
        for connection in list(server.connections):
            transport = connection.transport
            if connection.headers_received or transport is None:
                continue
            is_late = now_s - connection.opened_at_s >= limit_s
            # After a stall of the event loop, its headers may wait unread.
            if is_late and not unread.size_bytes(transport):
                counters.refusals.labels(NO_CLASS, reason).inc()
                transport.abort()


@dataclasses.dataclass(slots=True)
class RunningServer:
    """A running HTTP server for callers.

    Attributes
    ----------
    port : int
        TCP port that it listens on.
    stop_listening : callable
        Stops accepting connections, after those that the kernel has accepted.
    open_requests : set of asyncio.Task
        Tasks of the requests that are being received, handled or answered.
    """

    port: int
    runner: web.AppRunner
    listener: asyncio.Server
    stop_listening: Callable[[], object]
    open_requests: set[asyncio.Task]
    tasks: tuple[asyncio.Task, ...]


async def start(daemon: interface.DaemonInterface) -> RunningServer:
    """Start the callers' HTTP server.

    Parameters
    ----------
    daemon : interface.DaemonInterface
        Interface to the daemon; its limits contain the address and the TLS files.

    Returns
    -------
    RunningServer
        Argument of :func:`stop`.

    Raises
    ------
    OSError
        The address is in use or a TLS file can't be read.
    """
    limits = daemon.limits
    application = app.make_app(daemon)
    graceful_stop.track(application)
    runner = web.AppRunner(
        application,
        handler_cancellation=True,
        shutdown_timeout=graceful_stop.SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    factory = make_protocol_factory(runner.server, limits, daemon.metrics)
    context = None
    coroutines = [
        enforce_header_timeout(runner.server, limits.body_timeout_s, daemon.metrics)
    ]
    if not limits.plain_text:
        context = make_tls_context(limits.certificate_file, limits.key_file)
        coroutines.append(reload_on_change(context, limits, RELOAD_INTERVAL_S))
    listener = await asyncio.get_running_loop().create_server(
        factory,
        limits.host,
        limits.port,
        ssl=context,
        ssl_handshake_timeout=limits.body_timeout_s if context else None,
        backlog=BACKLOG_COUNT,
    )
    port = listener.sockets[0].getsockname()[1]
    tasks = tuple(asyncio.create_task(coroutine) for coroutine in coroutines)
    tracked = application[graceful_stop.OPEN_REQUESTS].tasks
    stop_listening = functools.partial(
        listening.close, listener, factory, context, limits.body_timeout_s
    )
    return RunningServer(port, runner, listener, stop_listening, tracked, tasks)


async def stop(running: RunningServer) -> None:
    """Let open requests end within `STOP_LIMIT_S` and close all connections."""
    running.stop_listening()
    for task in running.tasks:
        task.cancel()
    await graceful_stop.stop(running.runner, STOP_LIMIT_S)


def make_tls_context(certificate_file: object, key_file: object) -> ssl.SSLContext:
    """Return a TLS server context for a certificate and its key.

    Raises
    ------
    OSError
        A file can't be read; ``ssl.SSLError`` if key and certificate don't match.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate_file, key_file)
    return context


async def reload_on_change(
    context: ssl.SSLContext,
    limits: settings.Callers | settings.Operators,
    interval_s: float,
) -> None:
    """Reload certificate and key whenever either file changes."""
    files = (limits.certificate_file, limits.key_file)
    loaded_mtimes_ns = [file.stat().st_mtime_ns for file in files]
    while True:
        await asyncio.sleep(interval_s)
        try:
            mtimes_ns = [file.stat().st_mtime_ns for file in files]
            if mtimes_ns != loaded_mtimes_ns:
                context.load_cert_chain(*files)
                loaded_mtimes_ns = mtimes_ns
        except OSError:
            continue
