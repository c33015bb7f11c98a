"""Accepts connections on the peer port of a process and connects to other hubs.

Handlers are registered by purpose and group.  The handler of an accepted connection
runs as a task; the connection is closed when the handler returns.
"""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import time
from collections.abc import Awaitable, Callable

from absl import logging
from returns import result

from hickoryweir.streams import codec, connections, handshake, liveness, tls

HANDSHAKE_TIMEOUT_S = 3.0
# Each connection that is opened meanwhile saves one that is refused.
EARLIER_VERSION_RETENTION_S = 10.0
MAX_HANDSHAKE_SIZE_BYTES = 4096
MAX_CONNECTIONS_COUNT = 4096

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


class Hub:
    """The listening port; created by :func:`make_hub`.

    Attributes
    ----------
    refusals : collections.Counter
        Number of refused handshakes by reason.
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
        self._host = host
        self._port = port
        self._files = files
        self._handlers: dict[tuple[str, str], Handler] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._population = liveness.Population()

    @property
    def port(self) -> int:
        """Return the port; once started, the one assigned by the system if it was 0."""
        return self._port

    def register(
        self, purpose: handshake.Purpose, handler: Handler, group: str = ""
    ) -> None:
        """Register the handler for connections of a purpose and group."""
        self._handlers[(purpose.value, group)] = handler

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
                    await self._refuse(writer, refusal)
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
        try:
            await self._handlers[(hello.purpose, hello.group)](connection)
        finally:
            await connection.close()

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
        served = frozenset(self._handlers)
        certificate_names = _peer_certificate_names(writer, self._files)
        return hello, handshake.check_hello(
            hello, self.identity, served, certificate_names
        )

    async def _refuse(
        self, writer: asyncio.StreamWriter, reason: handshake.RefusalReason
    ) -> None:
        self.refusals[reason] += 1
        logging.warning("connection refused in the handshake: %s", reason.value)
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
    try:
        async with asyncio.timeout(timeout_s):
            probes = not _is_earlier_version(address)
            outcome = await _open(identity, address, purpose, files, group, probes)
            if probes and _is_refused_as_malformed(outcome):
                outcome = await _open(identity, address, purpose, files, group, False)
                if isinstance(outcome, result.Success):
                    _remember_earlier_version(address)
    except TimeoutError:
        outcome = result.Failure(ConnectFailure(ConnectReason.TIMED_OUT))
    except (OSError, RuntimeError):
        # uvloop raises the latter for a connection that the peer has reset meanwhile.
        outcome = result.Failure(ConnectFailure(ConnectReason.UNREACHABLE))
    if isinstance(outcome, result.Failure):
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
