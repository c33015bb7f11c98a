"""Connections to other replicas."""

import asyncio

import pytest
from returns import result

from hickoryweir.replicas import links, messages
from hickoryweir.replicas.tests import register
from hickoryweir.streams import hub

TIMEOUT_S = 5.0


# uvloop raises RuntimeError for a write on a connection that was reset meanwhile.
@pytest.mark.parametrize("error", [RuntimeError("closed"), ValueError("unexpected")])
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
