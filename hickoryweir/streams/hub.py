"""Accepts connections on the peer port of a process and connects to other hubs.

Handlers are registered by purpose and group.  The handler of an accepted connection
runs as a task; the connection is closed when the handler returns.

The component that registers a handler owns the :class:`Registration` and closes it
before it stops to serve, so that no connection is left to a component that has stopped.
"""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import math
import time
from collections.abc import Awaitable, Callable

from absl import logging
from returns import result

from hickoryweir.observability import logs
from hickoryweir.streams import codec, connections, handshake, liveness, tls

HANDSHAKE_TIMEOUT_S = 3.0
# Each connection that is opened meanwhile saves one that is refused.
EARLIER_VERSION_RETENTION_S = 10.0
MAX_HANDSHAKE_SIZE_BYTES = 4096
MAX_CONNECTIONS_COUNT = 4096

UNSERVED_REASONS = (
    handshake.RefusalReason.WRONG_PURPOSE,
    handshake.RefusalReason.WRONG_GROUP,
)
# For each reason and purpose; the other side tries again many times a second.
REFUSAL_LOG_INTERVAL_S = 1.0
MAX_LOGGED_LENGTH = 200
UNKNOWN_PURPOSE = "unknown"

Handler = Callable[[connections.Connection], Awaitable[None]]


class ConnectReason(enum.StrEnum):
    """Reason why a connection could not be opened."""

    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    REFUSED = "refused"
    WRONG_NAME = "wrong_name"


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectFailure:
    """Error of :func:`connect`; `refusal` is the reason that the other side sent."""

    reason: ConnectReason
    refusal: handshake.RefusalReason | None = None


Connected = result.Result[connections.Connection, ConnectFailure]

# Until when each address is taken for a process of a version that knows no probes.
_earlier_versions: dict[tuple[str, int], float] = {}


class Registration:
    """A registered handler and the connections it serves; closed by its owner."""

    def __init__(self, handler: Handler, remove: Callable[[], None]) -> None:
        self._handler = handler
        self._remove = remove
        self._is_closed = False
        self._served: dict[asyncio.Task, connections.Connection] = {}

    def close(self) -> None:
        """Remove the handler and abort its connections; later calls do nothing."""
        if self._is_closed:
            return
        self._is_closed = True
        self._remove()
        for task, connection in list(self._served.items()):
            connection.abort()
            if task is not asyncio.current_task():
                task.cancel()

    async def serve(self, connection: connections.Connection) -> None:
        """Run the handler for a connection in the current task, and close it."""
        task = asyncio.current_task()
        self._served[task] = connection
        try:
            await self._handler(connection)
        finally:
            del self._served[task]
            await connection.close()


class Hub:
    """The listening port; created by :func:`make_hub`.

    Attributes
    ----------
    refusals : collections.Counter
        Number of refused handshakes by reason.
    unserved_counts : collections.Counter
        Number of refused connections by purpose, for those that nothing serves now.
    """

    def __init__(
        self,
        identity: handshake.Identity,
        host: str,
        port: int,
        files: tls.TlsFiles | None,
    ) -> None:
        self.identity = identity
        self.refusals: collections.Counter = collections.Counter()
        self.unserved_counts: collections.Counter[str] = collections.Counter()
        self._log_refusal = _make_refusal_log()
        self._host = host
        self._port = port
        self._files = files
        self._registrations: dict[tuple[str, str], Registration] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._population = liveness.Population()

    @property
    def port(self) -> int:
        """Return the port; once started, the one assigned by the system if it was 0."""
        return self._port

    def register(
        self, purpose: handshake.Purpose, handler: Handler, group: str = ""
    ) -> Registration:
        """Register the handler for connections of a purpose and group.

        A former registration for them is closed.  Handshakes for which there is none
        are refused.
        """
        key = (purpose.value, group)
        former = self._registrations.get(key)
        if former is not None:
            former.close()
        registration = Registration(handler, lambda: self._registrations.pop(key))
        self._registrations[key] = registration
        return registration

    async def start(self) -> None:
        """Start listening.

        Raises
        ------
        OSError
            If the port can't be bound.
        """
        context = None if self._files is None else tls.make_server_context(self._files)
        self._server = await asyncio.start_server(
            self._accept, self._host, self._port, ssl=context
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except asyncio.CancelledError:
            pass
        except Exception:
            logging.exception("connection handler failed")
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                hello, refusal = await self._check_hello(reader, writer)
                if refusal is not None:
                    await self._refuse(writer, refusal, hello)
                    return
                await connections.write_frame(writer, self._make_welcome())
        except (TimeoutError, OSError):
            self.refusals[handshake.RefusalReason.TIMED_OUT] += 1
            return
        peer = connections.Peer(hello.process_name, hello.availability_zone)
        liveness_state = liveness.make_accepting(
            handshake.Purpose(hello.purpose), hello.probe_interval_ms, self._population
        )
        connection = connections.Connection(
            reader, writer, peer, liveness_state=liveness_state
        )
        registration = self._registrations.get((hello.purpose, hello.group))
        if registration is None:
            # It was closed while the handshake ended.
            self.unserved_counts[hello.purpose] += 1
            connection.abort()
            return
        await registration.serve(connection)

    async def _check_hello(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[handshake.Hello | None, handshake.RefusalReason | None]:
        frame = await connections.read_frame(reader, MAX_HANDSHAKE_SIZE_BYTES)
        if not isinstance(frame, bytes):
            return None, handshake.RefusalReason.MALFORMED
        hello = codec.decode(frame).value_or(None)
        if not isinstance(hello, handshake.Hello):
            return None, handshake.RefusalReason.MALFORMED
        if len(self._tasks) > MAX_CONNECTIONS_COUNT:
            return hello, handshake.RefusalReason.TOO_MANY_CONNECTIONS
        served = frozenset(self._registrations)
        certificate_names = _peer_certificate_names(writer, self._files)
        return hello, handshake.check_hello(
            hello, self.identity, served, certificate_names
        )

    async def _refuse(
        self,
        writer: asyncio.StreamWriter,
        reason: handshake.RefusalReason,
        hello: handshake.Hello | None,
    ) -> None:
        self.refusals[reason] += 1
        if reason in UNSERVED_REASONS:
            self.unserved_counts[_known_purpose(hello)] += 1
        self._log_refusal(reason, hello)
        with contextlib.suppress(OSError):
            await connections.write_frame(writer, handshake.Refused(reason))
            writer.close()
            await writer.wait_closed()

    def _make_welcome(self) -> handshake.Welcome:
        return handshake.Welcome(
            self.identity.process_name, self.identity.availability_zone
        )


def make_hub(
    identity: handshake.Identity,
    host: str,
    port: int,
    files: tls.TlsFiles | None = None,
) -> Hub:
    """Return a hub that has not started to listen.

    Parameters
    ----------
    identity : handshake.Identity
        Identity of this process.
    host : str
        IP address to listen on.
    port : int
        Port; 0 lets the system assign one.
    files : tls.TlsFiles, optional
        Mutual TLS if given, plain text otherwise.
    """
    return Hub(identity, host, port, files)


def _known_purpose(hello: handshake.Hello | None) -> str:
    """Return the purpose, or a fixed text for one that this version doesn't know."""
    is_known = hello is not None and hello.purpose in set(handshake.Purpose)
    return hello.purpose if is_known else UNKNOWN_PURPOSE


def _make_refusal_log() -> Callable[
    [handshake.RefusalReason, handshake.Hello | None], None
]:
    logged_at_s: dict[tuple[str, str], float] = {}
    unlogged_counts: collections.Counter[tuple[str, str]] = collections.Counter()

    def log(reason: handshake.RefusalReason, hello: handshake.Hello | None) -> None:
        key = (reason.value, _known_purpose(hello))
        now_s = time.monotonic()
        if now_s < logged_at_s.get(key, -math.inf) + REFUSAL_LOG_INTERVAL_S:
            unlogged_counts[key] += 1
            return
        logged_at_s[key] = now_s
        skipped_count = unlogged_counts.pop(key, 0)
        fields = logs.Fields(
            reason=reason.value,
            peer=None if hello is None else hello.process_name[:MAX_LOGGED_LENGTH],
            detail=f"purpose {key[1]}, {skipped_count} more since the last line",
        )
        logs.warning("connection refused in the handshake", fields)

    return log


async def connect(
    identity: handshake.Identity,
    host: str,
    port: int,
    purpose: handshake.Purpose,
    files: tls.TlsFiles | None = None,
    timeout_s: float = HANDSHAKE_TIMEOUT_S,
    group: str = "",
) -> Connected:
    """Open a connection to the hub of another process.

    Parameters
    ----------
    identity : handshake.Identity
        Identity of this process.
    host, port : str, int
        Address of the other hub.
    purpose : handshake.Purpose
        Purpose of the connection.
    files : tls.TlsFiles, optional
        Mutual TLS if given, plain text otherwise.
    timeout_s : float, optional
        Total time for connecting and the handshake.
    group : str, optional
        Replication group.

    Returns
    -------
    Result of Connection or ConnectFailure
        The connection, or the reason of the failure.
    """
    address = host, port
    probes = not _is_earlier_version(address)
    try:
        async with asyncio.timeout(timeout_s):
            outcome = await _open(identity, address, purpose, files, group, probes)
            if probes and _is_refused_as_malformed(outcome):
                # Before the second attempt, for which the time may not suffice.
                _remember_earlier_version(address)
                outcome = await _open(identity, address, purpose, files, group, False)
    except TimeoutError:
        outcome = result.Failure(ConnectFailure(ConnectReason.TIMED_OUT))
    except (OSError, RuntimeError):
        # uvloop raises the latter for a connection that the peer has reset meanwhile.
        outcome = result.Failure(ConnectFailure(ConnectReason.UNREACHABLE))
    if not probes and isinstance(outcome, result.Failure):
        # The process may be replaced by one of a later version.
        _earlier_versions.pop(address, None)
    return outcome


async def _open(
    identity: handshake.Identity,
    address: tuple[str, int],
    purpose: handshake.Purpose,
    files: tls.TlsFiles | None,
    group: str,
    probes: bool,
) -> Connected:
    """Open a connection, with probes or as earlier versions do."""
    interval_ms = liveness.LIMITS[purpose].interval_ms if probes else 0
    hello = handshake.make_hello(identity, purpose, group, interval_ms)
    context = None if files is None else tls.make_client_context(files)
    reader, writer = await asyncio.open_connection(*address, ssl=context)
    connection = None
    try:
        await connections.write_frame(writer, hello)
        outcome = await _read_welcome(reader, writer, files)
        if not isinstance(outcome, connections.Peer):
            return result.Failure(outcome)
        liveness_state = liveness.make_connecting(purpose) if probes else None
        connection = connections.Connection(
            reader, writer, outcome, liveness_state=liveness_state
        )
        return result.Success(connection)
    finally:
        if connection is None:
            writer.transport.abort()


def _is_refused_as_malformed(outcome: Connected) -> bool:
    malformed = handshake.RefusalReason.MALFORMED
    failed = isinstance(outcome, result.Failure)
    return failed and outcome.failure() == ConnectFailure(
        ConnectReason.REFUSED, malformed
    )


def _is_earlier_version(address: tuple[str, int]) -> bool:
    return _earlier_versions.get(address, 0.0) > time.monotonic()


def _remember_earlier_version(address: tuple[str, int]) -> None:
    now_s = time.monotonic()
    for known, until_s in list(_earlier_versions.items()):
        if until_s <= now_s:
            del _earlier_versions[known]
    _earlier_versions[address] = now_s + EARLIER_VERSION_RETENTION_S


async def _read_welcome(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    files: tls.TlsFiles | None,
) -> connections.Peer | ConnectFailure:
    frame = await connections.read_frame(reader, MAX_HANDSHAKE_SIZE_BYTES)
    if not isinstance(frame, bytes):
        return ConnectFailure(ConnectReason.UNREACHABLE)
    message = codec.decode(frame).value_or(None)
    if isinstance(message, handshake.Refused):
        return ConnectFailure(ConnectReason.REFUSED, message.reason)
    if not isinstance(message, handshake.Welcome):
        return ConnectFailure(ConnectReason.REFUSED, handshake.RefusalReason.MALFORMED)
    certificate_names = _peer_certificate_names(writer, files)
    if certificate_names is not None and message.process_name not in certificate_names:
        return ConnectFailure(ConnectReason.WRONG_NAME)
    return connections.Peer(message.process_name, message.availability_zone)


def _peer_certificate_names(
    writer: asyncio.StreamWriter, files: tls.TlsFiles | None
) -> frozenset[str] | None:
    if files is None:
        return None
    return tls.certificate_names(writer.get_extra_info("peercert") or {})
