"""Bytes that the kernel has received and this process has not read."""

import asyncio
import fcntl
import struct
import termios

# The kernel returns sizes as a C int.
IOCTL_INT = struct.Struct("i")


def size_bytes(transport: asyncio.BaseTransport | None) -> int:
    """Return how many bytes wait in the kernel; 0 for a transport that is closing."""
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return 0
    packed = fcntl.ioctl(sock.fileno(), termios.FIONREAD, IOCTL_INT.pack(0))
    return IOCTL_INT.unpack(packed)[0]
