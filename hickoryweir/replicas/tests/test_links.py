"""Connections of replicas and clients to replicas."""

import asyncio

import pytest
from returns import result

from hickoryweir.replicas import client, links, messages
from hickoryweir.replicas.tests import register
from hickoryweir.streams import connections, hub

TIMEOUT_S = 5.0


# With uvloop, a connection that was reset meanwhile raises these.
ERRORS = (RuntimeError("the handler is closed"), AttributeError("setsockopt"))


@pytest.mark.parametrize("error", ERRORS)
def test_error_while_connecting_does_not_end_a_link(monkeypatch, error):
    async def main():
        attempts = []
        is_tried_again = asyncio.Event()

        async def connect(*arguments):
            attempts.append(arguments)
            if len(attempts) == 1:
                raise error
            is_tried_again.set()
            return result.Failure(hub.ConnectFailure(hub.ConnectReason.UNREACHABLE))

        monkeypatch.setattr(hub, "connect", connect)
        member = messages.Member("b~1", "127.0.0.1:1", "zone-b", True)
        maintained = links.Links(register.make_identity("a"), "", None, None)
        maintained.update(messages.Membership((member,)), "a~1")
        async with asyncio.timeout(TIMEOUT_S):
            await is_tried_again.wait()
        await maintained.close()

    asyncio.run(main())


@pytest.mark.parametrize("error", ERRORS)
def test_error_while_connecting_to_one_replica_fails_no_request(
    tmp_path, monkeypatch, error
):
    async def main():
        async with register.run_cluster(tmp_path) as (replicas, router):
            assert await router.wait_until_ready(register.START_TIMEOUT_S)
            connect = hub.connect
            broken = next(name for name in replicas if name != router.leader_name)
            broken_port = replicas[broken].address.port

            async def connect_or_raise(identity, host, port, *arguments):
                if port == broken_port:
                    raise error
                return await connect(identity, host, port, *arguments)

            monkeypatch.setattr(hub, "connect", connect_or_raise)
            addresses = tuple(item.address for item in replicas.values())
            other = client.make_client(register.make_identity("other"), addresses)
            outcome = await other.propose(register.Put("k", "v"), TIMEOUT_S)
            await other.close()
            monkeypatch.undo()
            return outcome.unwrap().value

    assert asyncio.run(main()) == "v"


class RecordingConnection:
    """A connection that records what is sent, and ends when it is told to."""

    def __init__(self, name, has_gone_silent=False):
        self.peer = connections.Peer(name, "a")
        self.has_gone_silent = has_gone_silent
        self.sent = []

    def offer(self, message):
        """Record a message."""
        self.sent.append(message)

    def abort(self):
        """End; nothing is left to do."""


def test_leader_that_new_connections_cannot_reach_gets_nothing_by_its_own_ones():
    async def handle(connection):
        pass

    async def main():
        found = links.Links(register.make_identity("b"), "", None, handle)
        before, after = RecordingConnection("a"), RecordingConnection("a")
        envelope = messages.Envelope("a~1", "b~1", 1, None)
        found.add_incoming("a~1", before)
        found.send(envelope)
        silent = RecordingConnection("a", has_gone_silent=True)
        await found._serve("a~1", silent)
        found.send(envelope)
        found.add_incoming("a~1", after)
        found.send(envelope)
        return len(before.sent), len(after.sent)

    assert asyncio.run(main()) == (1, 1)
