"""Bytes that the kernel has sent, or is to send, and the peer has not acknowledged."""

import asyncio
import fcntl
import struct
import termios

# The kernel returns sizes as a C int.
IOCTL_INT = struct.Struct("i")


def size_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes are in the kernel's send queue; 0 without a socket."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    packed = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, IOCTL_INT.pack(0))
    return IOCTL_INT.unpack(packed)[0]
