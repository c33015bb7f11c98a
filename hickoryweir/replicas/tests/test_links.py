"""Connections of replicas and clients to replicas."""

import asyncio

import pytest
from returns import result

from hickoryweir.replicas import client, links, messages
from hickoryweir.replicas.tests import register
from hickoryweir.streams import hub

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
