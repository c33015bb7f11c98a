"""Connections to replicas that are closed while they are being opened."""

import asyncio

from hickoryweir.replicas import channels, wire
from hickoryweir.streams import handshake

CONNECT_TIMEOUT_S = 5.0


def test_request_completes_when_its_connection_is_closed_while_being_opened():
    async def main():
        accepted = asyncio.Event()

        async def accept_without_response(reader, writer):
            accepted.set()
            await reader.read()
            writer.transport.abort()

        server = await asyncio.start_server(accept_without_response, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        channel = channels.Channel(
            handshake.Identity("test", "client", "a"),
            wire.ReplicaAddress("replica", "127.0.0.1", port, "a"),
            None,
            "",
            CONNECT_TIMEOUT_S,
        )
        asking = asyncio.create_task(channel.ask(wire.StatusRequest(0)))
        await accepted.wait()
        await channel.close()
        outcomes = await asyncio.gather(asking, return_exceptions=True)
        server.close()
        return outcomes

    assert asyncio.run(main()) == [None]
