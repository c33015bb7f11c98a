"""Opens a router's port for clients before the slow imports of a process.

After a loss of power all routers of a zone start at once, and their imports take a
second on a small VM.  The kernel accepts connections meanwhile, which are served as
soon as the router runs, instead of refusing them.  This module imports nothing that
loads slowly.
"""

import configparser
import pathlib
import socket

from hickoryweir import early_signals

BACKLOG_COUNT = 1_024

_listeners: dict[tuple[str, int], socket.socket] = {}


def open_from(path: pathlib.Path) -> None:
    """Listen at the clients' address of a settings file.

    Without a valid address nothing is opened; the settings are checked later, and an
    address in use is reported when the router listens itself.
    """
    address = _read_address(path)
    if address is None:
        return
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(address)
        listener.listen(BACKLOG_COUNT)
    except OSError:
        listener.close()
        return
    listener.setblocking(False)
    # The end of the process would reset the connections that the kernel has accepted.
    early_signals.defer_stop()
    _listeners[address] = listener


def take(host: str, port: int) -> socket.socket | None:
    """Return the listener opened at an address and forget it; None if there is none."""
    return _listeners.pop((host, port), None)


def _read_address(path: pathlib.Path) -> tuple[str, int] | None:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text())
        text = parser.get("ports", "clients", fallback="")
    except (OSError, UnicodeDecodeError, configparser.Error):
        return None
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65_535:
        return None
    return host, int(port)
