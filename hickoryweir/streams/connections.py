"""A framed connection: each frame is a length and one encoded message.

Sent messages wait in a bounded queue that a writer task empties, several frames
in one write.  Whoever holds the connection receives.
"""

import asyncio
import contextlib
import dataclasses
import enum
import socket
import struct
import typing

from returns import result

from hickoryweir.streams import codec

MAX_FRAME_SIZE_BYTES = 8 * 1024 * 1024
MAX_QUEUED_MESSAGES_COUNT = 1024
MAX_WRITE_SIZE_BYTES = 256 * 1024
UNACKNOWLEDGED_TIMEOUT_MS = 3000
KEEP_ALIVE_IDLE_S = 5
KEEP_ALIVE_INTERVAL_S = 2
LENGTH = struct.Struct(">I")


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
        max_queued_count: int = MAX_QUEUED_MESSAGES_COUNT,
    ) -> None:
        self.peer = peer
        _detect_silence(writer)
        self._reader = reader
        self._writer = writer
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(max_queued_count)
        self._closed = False
        self._task = asyncio.get_running_loop().create_task(self._write_all())

    @property
    def is_closed(self) -> bool:
        """Return whether the connection can no longer be used."""
        return self._closed

    def offer(self, message: object) -> result.Result[None, StreamFailure]:
        """Queue a message if there is room; never waits."""
        if self._closed:
            return result.Failure(StreamFailure.CLOSED)
        frame = _make_frame(message)
        if frame is None:
            return result.Failure(StreamFailure.FRAME_TOO_LARGE)
        try:
            self._queue.put_nowait(frame)
        except asyncio.QueueFull:
            return result.Failure(StreamFailure.QUEUE_FULL)
        return result.Success(None)

    async def send(self, message: object) -> result.Result[None, StreamFailure]:
        """Queue a message, waiting for room."""
        if self._closed:
            return result.Failure(StreamFailure.CLOSED)
        frame = _make_frame(message)
        if frame is None:
            return result.Failure(StreamFailure.FRAME_TOO_LARGE)
        await self._queue.put(frame)
        if self._closed:
            return result.Failure(StreamFailure.CLOSED)
        return result.Success(None)

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
        if self._closed:
            return
        self._closed = True
        self._task.cancel()
        self._release_senders()
        with contextlib.suppress(Exception):
            self._writer.transport.abort()

    async def close(self) -> None:
        """Send what is queued, then close."""
        if not self._closed:
            await self._flush()
        self.abort()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _flush(self) -> None:
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(1.0):
                await self._queue.join()
                self._writer.close()
                await self._writer.wait_closed()

    def _release_senders(self) -> None:
        while not self._queue.empty():
            self._queue.get_nowait()
            self._queue.task_done()

    async def _write_all(self) -> None:
        try:
            while True:
                frames = await self._next_frames()
                self._writer.write(b"".join(frames))
                await self._writer.drain()
                for _ in frames:
                    self._queue.task_done()
        except (OSError, RuntimeError):
            self._closed = True
            self._release_senders()
            self._writer.transport.abort()

    async def _next_frames(self) -> list[bytes]:
        frames = [await self._queue.get()]
        size_bytes = len(frames[0])
        while size_bytes < MAX_WRITE_SIZE_BYTES and not self._queue.empty():
            frames.append(self._queue.get_nowait())
            size_bytes += len(frames[-1])
        return frames


def _detect_silence(writer: asyncio.StreamWriter) -> None:
    """Let the system end a connection whose other side has fallen silent."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


async def read_frame(
    reader: asyncio.StreamReader, max_size_bytes: int
) -> bytes | StreamFailure:
    """Return the body of the next frame, or why there is none."""
    try:
        (size_bytes,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if size_bytes > max_size_bytes:
            return StreamFailure.FRAME_TOO_LARGE
        return await reader.readexactly(size_bytes)
    except (OSError, EOFError):
        return StreamFailure.CLOSED


def _make_frame(message: object) -> bytes | None:
    data = codec.encode(message)
    if len(data) > MAX_FRAME_SIZE_BYTES:
        return None
    return LENGTH.pack(len(data)) + data


async def write_frame(writer: asyncio.StreamWriter, message: object) -> None:
    """Write one message before a :class:`Connection` exists."""
    data = codec.encode(message)
    writer.write(LENGTH.pack(len(data)) + data)
    await writer.drain()
