"""Blocked links forward nothing; unblocked ones deliver everything."""

import asyncio
import pathlib

from hickoryweir.testing.demo import entry_vms
from hickoryweir.testing.drill import links


def make_vm(name, zone, port):
    folder = pathlib.Path(name)
    return entry_vms.EntryVm(name, zone, 0, 0, port, folder)


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)


async def run_over_link(use):
    server = await asyncio.start_server(echo, entry_vms.HOST, 0)
    port = server.sockets[0].getsockname()[1]
    link = await links.open_link(make_vm("one", "a", 0), make_vm("two", "b", port), 0.0)
    reader, writer = await asyncio.open_connection(entry_vms.HOST, link.proxy.port)
    try:
        async with asyncio.timeout(20):
            return await use(link, reader, writer)
    finally:
        writer.transport.abort()
        link.proxy.server.close()
        server.close()


def test_bytes_pass_both_ways():
    async def use(link, reader, writer):
        writer.write(b"hello")
        return await reader.readexactly(5)

    assert asyncio.run(run_over_link(use)) == b"hello"


def test_a_blocked_link_holds_bytes_until_it_is_unblocked():
    async def use(link, reader, writer):
        links.set_relaying((link,), "b", "a", enabled=False)
        writer.write(b"hello")
        reading = asyncio.create_task(reader.readexactly(5))
        done, _ = await asyncio.wait({reading}, timeout=0.2)
        links.set_relaying((link,), "b", "a", enabled=True)
        return len(done), await reading

    assert asyncio.run(run_over_link(use)) == (0, b"hello")
