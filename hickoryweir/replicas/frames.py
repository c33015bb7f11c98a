"""Checksummed frames in files; distinguishes torn writes from corruption.

A frame is a header (magic, length, sequence number, checksum of body, checksum of
header) and a body.  Checksums are salted per file, so bytes inside a body can't be
mistaken for a frame.  Each frame is synced before the next is written: only the last
frame of a file can be torn, and an invalid frame before a valid one is corruption.
"""

import dataclasses
import enum
import struct
import zlib

MAGIC = b"hWfR"
HEADER = struct.Struct("<4sIQII")
CHECKED_SIZE_BYTES = HEADER.size - 4


class Ending(enum.StrEnum):
    """State of the end of a file."""

    CLEAN = "clean"
    TORN = "torn"
    DAMAGED = "damaged"


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A valid frame; `end_offset` is where the next one begins."""

    sequence: int
    body: bytes
    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """The valid frames from the start of a scan, and what follows them."""

    frames: tuple[Frame, ...]
    ending: Ending
    end_offset: int


def make_frame(sequence: int, body: bytes, salt: int) -> bytes:
    """Return a frame as bytes.

    Examples
    --------
    >>> data = make_frame(7, b"abc", 1)
    >>> read_frame(data, 0, 1).body
    b'abc'
    >>> read_frame(data[:-1], 0, 1) is None
    True
    """
    body_checksum = zlib.crc32(body, salt)
    start = HEADER.pack(MAGIC, len(body), sequence, body_checksum, 0)
    checksum = zlib.crc32(start[:CHECKED_SIZE_BYTES], salt)
    return start[:CHECKED_SIZE_BYTES] + struct.pack("<I", checksum) + body


def read_frame(data: bytes, offset: int, salt: int) -> Frame | None:
    """Return the frame at `offset`, or None if it is not valid."""
    if len(data) - offset < HEADER.size:
        return None
    magic, length, sequence, body_checksum, checksum = HEADER.unpack_from(data, offset)
    checked = data[offset : offset + CHECKED_SIZE_BYTES]
    if magic != MAGIC or zlib.crc32(checked, salt) != checksum:
        return None
    start = offset + HEADER.size
    body = data[start : start + length]
    if len(body) < length or zlib.crc32(body, salt) != body_checksum:
        return None
    return Frame(sequence, body, start + length)


def scan(data: bytes, offset: int, salt: int) -> Scan:
    """Return the valid frames from `offset` on and the state of the end."""
    found = []
    while offset < len(data):
        frame = read_frame(data, offset, salt)
        if frame is None:
            ending = Ending.TORN
            if _has_frame_after(data, offset, salt):
                ending = Ending.DAMAGED
            return Scan(tuple(found), ending, offset)
        found.append(frame)
        offset = frame.end_offset
    return Scan(tuple(found), Ending.CLEAN, offset)


def _has_frame_after(data: bytes, offset: int, salt: int) -> bool:
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        if read_frame(data, position, salt) is not None:
            return True
        position = data.find(MAGIC, position + 1)
    return False
