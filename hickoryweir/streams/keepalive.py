"""Socket options by which the system ends a connection whose other side is silent."""

import socket


def configure(
    sock: socket.socket,
    *,
    unacknowledged_timeout_ms: int,
    idle_s: int,
    interval_s: int,
    probes_count: int | None = None,
) -> None:
    """Set the options of one socket.

    Parameters
    ----------
    sock : socket.socket
        A TCP socket.
    unacknowledged_timeout_ms : int
        How long sent bytes may go without an acknowledgement.
    idle_s, interval_s : int
        When the first probe of an idle connection is sent, and the pause between
        probes.
    probes_count : int, optional
        Unanswered probes that end it; the system's own count by default.
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
