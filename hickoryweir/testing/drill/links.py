"""Links between entry VMs that can be cut, one way or both, and healed.

A cut link keeps its connections open and passes nothing on, as a silent network
partition does; what was sent meanwhile arrives after it is healed.
"""

import dataclasses

from hickoryweir.testing import proxies
from hickoryweir.testing.demo import entry_vms


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Link:
    """The way by which one entry VM opens connections to another."""

    source: entry_vms.EntryVm
    destination: entry_vms.EntryVm
    proxy: proxies.Proxy


async def open_link(
    source: entry_vms.EntryVm, destination: entry_vms.EntryVm, delay_s: float
) -> Link:
    """Open a link that listens on a port of its own."""
    proxy = await proxies.start_proxy(
        entry_vms.HOST, destination.peers_port, delay_s, entry_vms.HOST
    )
    return Link(source, destination, proxy)


def set_passing(
    links: tuple[Link, ...], source_zone: str, destination_zone: str, passing: bool
) -> None:
    """Let bytes from one availability zone to another pass, or not."""
    for link in links:
        ends = (link.source.availability_zone, link.destination.availability_zone)
        if ends == (source_zone, destination_zone):
            proxies.set_relaying(link.proxy.forward, passing)
        if ends == (destination_zone, source_zone):
            proxies.set_relaying(link.proxy.backward, passing)
