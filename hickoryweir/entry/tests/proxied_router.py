"""Runs a router that connects to each backend server through a proxy of its own.

Tests cut the router off from servers by its proxies, while other processes reach them::

    python -m hickoryweir.entry.tests.proxied_router SETTINGS.ini ADDRESSES.json
"""

import dataclasses
import json
import pathlib
import sys

from hickoryweir.discovery import listing
from hickoryweir.entry import main, own_formats
from hickoryweir.forwarding import server_pool

update_servers = server_pool.update_servers


def use_proxies(addresses: dict[str, str]) -> None:
    """Replace the addresses of servers in every list by those of proxies."""

    def update(pool: server_pool.Pool, found: listing.ServerList) -> None:
        servers = tuple(
            dataclasses.replace(server, address=addresses[server.address])
            for server in found.servers
        )
        update_servers(pool, dataclasses.replace(found, servers=servers))

    server_pool.update_servers = update


if __name__ == "__main__":
    use_proxies(json.loads(pathlib.Path(sys.argv[2]).read_text()))
    sys.exit(main.serve(pathlib.Path(sys.argv[1]), own_formats.make_adapters()))
