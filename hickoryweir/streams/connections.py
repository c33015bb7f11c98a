"""A framed connection: each frame is a length and one encoded message.

Sent messages wait in the transport's buffer, which is bounded in bytes.  Whoever
holds the connection receives.
"""

import asyncio
import contextlib
import dataclasses
import enum
import struct
import typing

from returns import result

from hickoryweir.streams import codec, keepalive

MAX_FRAME_SIZE_BYTES = 8 * 1024 * 1024
MAX_QUEUED_SIZE_BYTES = 16 * 1024 * 1024
CLOSE_TIMEOUT_S = 1.0
UNACKNOWLEDGED_TIMEOUT_MS = 3000
KEEP_ALIVE_IDLE_S = 5
KEEP_ALIVE_INTERVAL_S = 2
LENGTH_PREFIX = struct.Struct(">I")


class StreamFailure(enum.StrEnum):
    """Why nothing could be sent or received."""

    CLOSED = "closed"
    QUEUE_FULL = "queue_full"
    FRAME_TOO_LARGE = "frame_too_large"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """The process at the other end."""

    process_name: str
    availability_zone: str


class Connection:
    """One open connection; `receive` has one caller at a time."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: Peer,
        max_queued_size_bytes: int = MAX_QUEUED_SIZE_BYTES,
    ) -> None:
        self.peer = peer
        self._reader = reader
        self._writer = writer
        self._max_queued_size_bytes = max_queued_size_bytes
        self._closed = False
        keepalive.configure(
            writer.get_extra_info("socket"),
            unacknowledged_timeout_ms=UNACKNOWLEDGED_TIMEOUT_MS,
            idle_s=KEEP_ALIVE_IDLE_S,
            interval_s=KEEP_ALIVE_INTERVAL_S,
        )

    @property
    def is_closed(self) -> bool:
        """Return whether the connection can no longer be used."""
        return self._closed or self._writer.transport.is_closing()

    def offer(self, message: object) -> result.Result[None, StreamFailure]:
        """Queue a message if there is room; never waits."""
        if self.is_closed:
            return result.Failure(StreamFailure.CLOSED)
        frame = _make_frame(message)
        if frame is None:
            return result.Failure(StreamFailure.FRAME_TOO_LARGE)
        queued_size_bytes = self._writer.transport.get_write_buffer_size()
        if queued_size_bytes > self._max_queued_size_bytes:
            return result.Failure(StreamFailure.QUEUE_FULL)
        self._writer.write(frame)
        return result.Success(None)

    async def send(self, message: object) -> result.Result[None, StreamFailure]:
        """Queue a message, waiting while much is queued."""
        outcome = self.offer(message)
        while outcome == result.Failure(StreamFailure.QUEUE_FULL):
            await self._drain()
            outcome = self.offer(message)
        await self._drain()
        return outcome

    async def receive(self) -> result.Result[typing.Any, StreamFailure]:
        """Return the next message; a malformed one closes the connection."""
        frame = await read_frame(self._reader, MAX_FRAME_SIZE_BYTES)
        if not isinstance(frame, bytes):
            self.abort()
            return result.Failure(frame)
        message = codec.decode(frame)
        if isinstance(message, result.Success):
            return message
        self.abort()
        return result.Failure(StreamFailure.MALFORMED)

    def abort(self) -> None:
        """Close at once; what is queued is lost."""
        self._closed = True
        with contextlib.suppress(Exception):
            self._writer.transport.abort()

    async def close(self) -> None:
        """Send what is queued, then close."""
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
    """Return the body of the next frame, or why there is none."""
    try:
        (size_bytes,) = LENGTH_PREFIX.unpack(
            await reader.readexactly(LENGTH_PREFIX.size)
        )
        if size_bytes > max_size_bytes:
            return StreamFailure.FRAME_TOO_LARGE
        return await reader.readexactly(size_bytes)
    except (OSError, EOFError):
        return StreamFailure.CLOSED


def _make_frame(message: object) -> bytes | None:
    data = codec.encode(message)
    if len(data) > MAX_FRAME_SIZE_BYTES:
        return None
    return LENGTH_PREFIX.pack(len(data)) + data


async def write_frame(writer: asyncio.StreamWriter, message: object) -> None:
    """Write one message before a :class:`Connection` exists."""
    data = codec.encode(message)
    writer.write(LENGTH_PREFIX.pack(len(data)) + data)
    await writer.drain()
