"""Connections to replicas that are closed while they are being opened, or when idle."""

import asyncio

from hickoryweir.replicas import channels, client, reachability, wire
from hickoryweir.streams import handshake, hub

CONNECT_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 0.05
HOST = "127.0.0.1"


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


def test_idle_connections_of_many_clients_are_not_kept_and_probed(monkeypatch):
    monkeypatch.setattr(channels, "IDLE_TIMEOUT_S", IDLE_TIMEOUT_S)
    served = []

    async def answer(connection):
        served.append(connection)
        while (message := (await connection.receive()).value_or(None)) is not None:
            await asyncio.sleep(2 * IDLE_TIMEOUT_S)
            connection.offer(wire.ChangeAnswered(message.request_id, ""))

    async def main():
        server = hub.make_hub(handshake.Identity("test", "replica", "a"), HOST, 0)
        server.register(handshake.Purpose.CLIENT, answer)
        await server.start()
        channel = channels.Channel(
            handshake.Identity("test", "client", "a"),
            wire.ReplicaAddress("replica", HOST, server.port, "a"),
            None,
            "",
            CONNECT_TIMEOUT_S,
        )
        answers = []
        for _ in range(2):
            answers.append(await channel.ask(wire.StatusRequest(0)))
            await asyncio.sleep(4 * IDLE_TIMEOUT_S)
        are_closed = [connection.is_closed for connection in served]
        await channel.close()
        await server.close()
        return answers, are_closed

    answers, are_closed = asyncio.run(main())
    assert all(isinstance(answer, wire.ChangeAnswered) for answer in answers)
    assert are_closed == [True, True]


def test_refusals_without_a_quorum_do_not_hold_up_the_event_loop():
    async def main():
        replica = wire.ReplicaAddress("replica", HOST, 1, "a")
        log = client.make_client(handshake.Identity("test", "client", "a"), (replica,))
        log.reachability = reachability.Reachability.NO_QUORUM
        has_run = asyncio.Event()
        asyncio.get_running_loop().call_soon(has_run.set)
        outcome = await log.propose(wire.StatusRequest(0), CONNECT_TIMEOUT_S)
        was_run = has_run.is_set()
        await log.close()
        return outcome.failure().reason, was_run

    assert asyncio.run(main()) == (client.Reason.NO_QUORUM, True)
