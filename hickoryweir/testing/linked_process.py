"""Runs a router or replica whose connections to replicas go through proxies.

The soak cuts the links between processes by the proxies::

    python -m hickoryweir.testing.linked_process SETTINGS.ini LINKS.json

The second file has the proxy's port by the replica's host.
"""

import json
import pathlib
import sys

from hickoryweir.entry import main, own_formats
from hickoryweir.streams import hub
from hickoryweir.testing import proxies

connect = hub.connect


def use_proxies(ports: dict[str, int]) -> None:
    """Connect to the proxies instead of the replicas."""

    async def connect_by_proxy(identity, host, port, *args, **options) -> hub.Connected:
        if host in ports:
            host, port = proxies.HOST, ports[host]
        return await connect(identity, host, port, *args, **options)

    hub.connect = connect_by_proxy


if __name__ == "__main__":
    use_proxies(json.loads(pathlib.Path(sys.argv[2]).read_text()))
    sys.exit(main.serve(pathlib.Path(sys.argv[1]), own_formats.make_adapters()))
