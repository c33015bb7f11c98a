"""Proxied links between entry VMs that can be blocked in one or both directions.

A blocked link keeps its connections open and forwards nothing, as in a network
partition without resets; bytes sent meanwhile are delivered once it is unblocked.
"""

import dataclasses

from hickoryweir.testing import proxies
from hickoryweir.testing.demo import entry_vms


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Link:
    """The proxy through which one entry VM connects to another."""

    source: entry_vms.EntryVm
    destination: entry_vms.EntryVm
    proxy: proxies.Proxy


async def open_link(
    source: entry_vms.EntryVm, destination: entry_vms.EntryVm, delay_s: float
) -> Link:
    """Open a link that listens on its own port."""
    proxy = await proxies.start_proxy(
        entry_vms.HOST, destination.peers_port, delay_s, entry_vms.HOST
    )
    return Link(source, destination, proxy)


def set_relaying(
    links: tuple[Link, ...], source_zone: str, destination_zone: str, enabled: bool
) -> None:
    """Forward or block bytes from one availability zone to another."""
    for link in links:
        ends = (link.source.availability_zone, link.destination.availability_zone)
        if ends == (source_zone, destination_zone):
            proxies.set_relaying(link.proxy.forward, enabled)
        if ends == (destination_zone, source_zone):
            proxies.set_relaying(link.proxy.backward, enabled)
