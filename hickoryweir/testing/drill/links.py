"""Links between entry VMs that can be cut, one way or both, and healed.

A cut link keeps its connections open and passes nothing on, as a silent network
partition does; what was sent meanwhile arrives after it is healed.
"""

import asyncio
import contextlib
import dataclasses

from hickoryweir.testing.demo import entry_vms

READ_SIZE_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True, eq=False)
class Link:
    """The way by which one entry VM opens connections to another.

    Attributes
    ----------
    forward, backward : asyncio.Event
        Set while bytes pass from source to destination, and back.
    """

    source: entry_vms.EntryVm
    destination: entry_vms.EntryVm
    delay_s: float
    forward: asyncio.Event
    backward: asyncio.Event
    server: asyncio.Server | None = None
    port: int = 0


async def open_link(
    source: entry_vms.EntryVm, destination: entry_vms.EntryVm, delay_s: float
) -> Link:
    """Open a link that listens on a port of its own."""
    link = Link(source, destination, delay_s, asyncio.Event(), asyncio.Event())
    link.forward.set()
    link.backward.set()
    link.server = await asyncio.start_server(
        lambda reader, writer: carry(link, reader, writer), entry_vms.HOST, 0
    )
    link.port = link.server.sockets[0].getsockname()[1]
    return link


async def carry(
    link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Carry one connection in both directions until either side ends."""
    tasks = []
    with contextlib.suppress(OSError, asyncio.CancelledError):
        far_reader, far_writer = await asyncio.open_connection(
            entry_vms.HOST, link.destination.peers_port
        )
        tasks = [
            asyncio.create_task(pump(link, link.forward, reader, far_writer)),
            asyncio.create_task(pump(link, link.backward, far_reader, writer)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        far_writer.transport.abort()
    for task in tasks:
        task.cancel()
    writer.transport.abort()


async def pump(
    link: Link,
    passing: asyncio.Event,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Carry bytes one way, late by the link's delay, while it passes."""
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_SIZE_BYTES):
            await passing.wait()
            if link.delay_s:
                await asyncio.sleep(link.delay_s)
            writer.write(data)
            await writer.drain()


def set_passing(
    links: tuple[Link, ...], source_zone: str, destination_zone: str, passing: bool
) -> None:
    """Let bytes from one availability zone to another pass, or not."""
    for link in links:
        ends = (link.source.availability_zone, link.destination.availability_zone)
        events = []
        if ends == (source_zone, destination_zone):
            events.append(link.forward)
        if ends == (destination_zone, source_zone):
            events.append(link.backward)
        for event in events:
            if passing:
                event.set()
            else:
                event.clear()
