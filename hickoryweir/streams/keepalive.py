"""TCP keep-alive and user timeout, which detect dead connections."""

import socket


def configure(
    sock: socket.socket,
    *,
    unacknowledged_timeout_ms: int,
    idle_s: int,
    interval_s: int,
    probes_count: int | None = None,
) -> None:
    """Make the system close the connection if the other side stops responding.

    Parameters
    ----------
    sock : socket.socket
        A TCP socket.
    unacknowledged_timeout_ms : int
        Time for which sent bytes may stay unacknowledged.
    idle_s, interval_s : int
        Idle time before the first keep-alive probe, and time between probes.
    probes_count : int, optional
        Number of unanswered probes that closes the connection; the system's default
        if None.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = {
        socket.TCP_USER_TIMEOUT: unacknowledged_timeout_ms,
        socket.TCP_KEEPIDLE: idle_s,
        socket.TCP_KEEPINTVL: interval_s,
    }
    if probes_count is not None:
        options[socket.TCP_KEEPCNT] = probes_count
    for option, value in options.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
