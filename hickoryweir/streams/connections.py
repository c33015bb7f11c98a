"""Framed connections: a frame is a length prefix and one encoded message.

Messages to send are queued in the write buffer of the transport, whose size is
bounded.  Messages are received by the owner of the connection.  Probes and replies of
:mod:`~hickoryweir.streams.liveness` are handled while it receives, and not returned.
"""

import asyncio
import contextlib
import dataclasses
import enum
import math
import struct
import typing

from absl import logging
from returns import result

from hickoryweir.observability import logs
from hickoryweir.streams import codec, keepalive, liveness

MAX_FRAME_SIZE_BYTES = 8 * 1024 * 1024
MAX_QUEUED_SIZE_BYTES = 16 * 1024 * 1024
CLOSE_TIMEOUT_S = 1.0
MAX_LOGGED_LENGTH = 200
READ_SIZE_BYTES = 256 * 1024
UNACKNOWLEDGED_TIMEOUT_MS = 3000
KEEP_ALIVE_IDLE_S = 5
KEEP_ALIVE_INTERVAL_S = 2
LENGTH_PREFIX = struct.Struct(">I")


class StreamFailure(enum.StrEnum):
    """Reason why a message could not be sent or received."""

    CLOSED = "closed"
    QUEUE_FULL = "queue_full"
    FRAME_TOO_LARGE = "frame_too_large"
    MALFORMED = "malformed"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """The process at the other end of a connection."""

    process_name: str
    availability_zone: str


class Connection:
    """An open connection; `receive` must not be called concurrently.

    Raises
    ------
    ConnectionResetError
        The peer has reset it already.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: Peer,
        max_queued_size_bytes: int = MAX_QUEUED_SIZE_BYTES,
        liveness_state: liveness.State | None = None,
    ) -> None:
        self.peer = peer
        self._reader = reader
        self._writer = writer
        self._max_queued_size_bytes = max_queued_size_bytes
        self._closed = False
        self._received = bytearray()
        self._is_reading = False
        self._is_silent = False
        self._liveness = liveness_state
        self._timer: asyncio.TimerHandle | None = None
        sock = writer.get_extra_info("socket")
        # What uvloop returns for a transport that was closed meanwhile.
        if sock is None or sock.fileno() < 0:
            raise ConnectionResetError("the connection was reset in the handshake")
        keepalive.configure(
            sock,
            unacknowledged_timeout_ms=UNACKNOWLEDGED_TIMEOUT_MS,
            idle_s=KEEP_ALIVE_IDLE_S,
            interval_s=KEEP_ALIVE_INTERVAL_S,
        )
        if liveness_state is not None:
            liveness.begin(liveness_state)
            self._start_timer()

    @property
    def silent_s(self) -> float:
        """Return for about how long nothing has arrived; infinite without probes."""
        if self._liveness is None:
            return math.inf
        return liveness.silent_s(self._liveness)

    @property
    def has_gone_silent(self) -> bool:
        """Return whether the connection was ended because nothing arrived."""
        return self._is_silent

    @property
    def is_closed(self) -> bool:
        """Return whether the connection is closed or closing."""
        return self._closed or self._writer.transport.is_closing()

    def offer(self, message: object) -> result.Result[None, StreamFailure]:
        """Queue a message unless the queue is full; never blocks."""
        if self.is_closed:
            return result.Failure(StreamFailure.CLOSED)
        return self.offer_frame(make_frame(message))

    def offer_frame(self, frame: bytes | None) -> result.Result[None, StreamFailure]:
        """Queue a frame of :func:`make_frame`, which many connections may share."""
        if self.is_closed:
            return result.Failure(StreamFailure.CLOSED)
        if frame is None:
            return result.Failure(StreamFailure.FRAME_TOO_LARGE)
        queued_size_bytes = self._writer.transport.get_write_buffer_size()
        if queued_size_bytes > self._max_queued_size_bytes:
            return result.Failure(StreamFailure.QUEUE_FULL)
        if self._liveness is not None:
            liveness.record_sent(self._liveness, len(frame))
        self._writer.write(frame)
        return result.Success(None)

    async def send(self, message: object) -> result.Result[None, StreamFailure]:
        """Queue a message, waiting while the write buffer is full."""
        outcome = self.offer(message)
        while outcome == result.Failure(StreamFailure.QUEUE_FULL):
            await self._drain()
            outcome = self.offer(message)
        await self._drain()
        return outcome

    async def receive(self) -> result.Result[typing.Any, StreamFailure]:
        """Return the next message; close the connection if it is malformed."""
        while True:
            frame = await self._read_frame()
            if not isinstance(frame, bytes):
                if frame is StreamFailure.FRAME_TOO_LARGE:
                    self._log_malformed("frame too large")
                self.abort()
                return result.Failure(frame)
            message = codec.decode(frame)
            if isinstance(message, result.Failure):
                return self._refuse(message.failure(), len(frame))
            if not self._handle_probe(message.unwrap()):
                return message

    async def _read_frame(self) -> bytes | StreamFailure:
        """Return the body of the next frame, or the reason of the failure."""
        try:
            await self._read_until(LENGTH_PREFIX.size)
            (size_bytes,) = LENGTH_PREFIX.unpack_from(self._received)
            if size_bytes > MAX_FRAME_SIZE_BYTES:
                return StreamFailure.FRAME_TOO_LARGE
            end = LENGTH_PREFIX.size + size_bytes
            await self._read_until(end)
        except (OSError, EOFError):
            return StreamFailure.SILENT if self._is_silent else StreamFailure.CLOSED
        with memoryview(self._received) as view:
            frame = bytes(view[LENGTH_PREFIX.size : end])
        del self._received[:end]
        return frame

    async def _read_until(self, size_bytes: int) -> None:
        """Read until `size_bytes` have arrived that no frame was made of."""
        while len(self._received) < size_bytes:
            self._is_reading = True
            try:
                data = await self._reader.read(READ_SIZE_BYTES)
            finally:
                self._is_reading = False
            if not data:
                raise EOFError
            if self._liveness is not None:
                liveness.record_received(self._liveness)
            self._received += data

    def _refuse(
        self, failure: codec.DecodeFailure, size_bytes: int
    ) -> result.Result[typing.Any, StreamFailure]:
        detail = failure.detail[:MAX_LOGGED_LENGTH]
        self._log_malformed(f"{size_bytes} bytes, {failure.reason.value}: {detail}")
        self.abort()
        return result.Failure(StreamFailure.MALFORMED)

    def _handle_probe(self, message: object) -> bool:
        """Handle a probe or a reply; return whether `message` is one."""
        if isinstance(message, liveness.Probe):
            self._write(liveness.make_reply(self._liveness, message))
            return True
        if isinstance(message, liveness.Reply):
            if self._liveness is not None:
                liveness.record_reply(self._liveness, message)
            return True
        if self._liveness is not None:
            liveness.record_message(self._liveness)
        return False

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._liveness.interval_s, self._tick)

    def _tick(self) -> None:
        if self.is_closed:
            return
        # What the owner does not read yet is not missing.
        if self._is_reading:
            match liveness.tick(self._liveness):
                case liveness.Verdict.PROBE:
                    self._write(liveness.Probe(self._liveness.sequence))
                case liveness.Verdict.SILENT:
                    self._end_silent()
                    return
        self._start_timer()

    def _write(self, message: liveness.Probe | liveness.Reply) -> None:
        """Queue a message that is no part of what the owner sends."""
        if self.is_closed:
            return
        queued_size_bytes = self._writer.transport.get_write_buffer_size()
        if queued_size_bytes <= self._max_queued_size_bytes:
            self._writer.write(make_frame(message))

    def _end_silent(self) -> None:
        liveness.ended_counts[self._liveness.purpose.value] += 1
        side = "opened here" if self._liveness.is_connecting else "accepted"
        fields = logs.Fields(
            peer=self.peer.process_name[:MAX_LOGGED_LENGTH],
            reason=self._liveness.purpose.value,
            duration_s=round(self.silent_s, 3),
            detail=side,
        )
        logs.warning("connection ends because nothing arrives", fields)
        self._is_silent = True
        self.abort()

    def _log_malformed(self, detail: str) -> None:
        name = self.peer.process_name[:MAX_LOGGED_LENGTH]
        logging.warning("malformed message from %r: %s", name, detail)

    def end_sending(self) -> None:
        """Send queued messages and nothing after them; what arrives is still received.

        The peer's end of the connection then shows that it has received them.  With
        TLS, which can't end one direction alone, nothing more is received.
        """
        if self.is_closed:
            return
        self._closed = True
        if self._writer.can_write_eof():
            self._writer.write_eof()
        else:
            self._writer.close()

    def abort(self) -> None:
        """Close immediately and discard queued messages."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
            liveness.end(self._liveness)
        with contextlib.suppress(Exception):
            self._writer.transport.abort()

    async def close(self) -> None:
        """Send queued messages, then close, within :data:`CLOSE_TIMEOUT_S`."""
        if not self.is_closed:
            self._closed = True
            with contextlib.suppress(TimeoutError, OSError):
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    self._writer.close()
                    await self._writer.wait_closed()
        self.abort()

    async def _drain(self) -> None:
        with contextlib.suppress(OSError):
            await self._writer.drain()


async def read_frame(
    reader: asyncio.StreamReader, max_size_bytes: int
) -> bytes | StreamFailure:
    """Return the body of the next frame, or the reason of the failure."""
    try:
        (size_bytes,) = LENGTH_PREFIX.unpack(
            await reader.readexactly(LENGTH_PREFIX.size)
        )
        if size_bytes > max_size_bytes:
            return StreamFailure.FRAME_TOO_LARGE
        return await reader.readexactly(size_bytes)
    except (OSError, EOFError):
        return StreamFailure.CLOSED


def make_frame(message: object) -> bytes | None:
    """Return the frame of a message; None if it is too large."""
    data = codec.encode(message)
    if len(data) > MAX_FRAME_SIZE_BYTES:
        return None
    return LENGTH_PREFIX.pack(len(data)) + data


async def write_frame(writer: asyncio.StreamWriter, message: object) -> None:
    """Write one message of the handshake, without a :class:`Connection`."""
    data = codec.encode(message)
    writer.write(LENGTH_PREFIX.pack(len(data)) + data)
    await writer.drain()
