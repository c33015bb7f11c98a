"""Runs a router that connects to each replica through a proxy of its own.

Tests cut the router off from the replicas by its proxies, while other processes and
clients reach all of them::

    python -m hickoryweir.entry.tests.linked_router SETTINGS.ini PORTS.json
"""

import json
import pathlib
import sys

from hickoryweir.entry import main, own_formats
from hickoryweir.streams import hub

connect = hub.connect


def use_proxies(ports: dict[str, int]) -> None:
    """Connect to the proxies instead of the hubs; `ports` has theirs by host."""

    async def connect_by_proxy(identity, host, port, *arguments):
        return await connect(identity, host, ports.get(host, port), *arguments)

    hub.connect = connect_by_proxy


if __name__ == "__main__":
    use_proxies(json.loads(pathlib.Path(sys.argv[2]).read_text()))
    sys.exit(main.serve(pathlib.Path(sys.argv[1]), own_formats.make_adapters()))
