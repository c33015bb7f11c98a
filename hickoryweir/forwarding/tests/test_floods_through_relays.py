"""Responses without end that come to a router through a relay."""

import asyncio
import contextlib

import aiohttp
import pytest

from hickoryweir.forwarding import relaying
from hickoryweir.forwarding.tests import (
    sites,
    test_endless_responses,
    test_relaying,
)
from hickoryweir.testing import waiting

ENDED = (502, "ClientPayloadError")
FLOODS_COUNT, CALLS_COUNT = 5, 3
HEALTH_CHECK = b"GET /health "


@contextlib.asynccontextmanager
async def run_flood(part):
    """Run a server that sends until it is closed; yield it and what it has sent.

    What it sends in response to health checks does not count.
    """
    sent = []

    async def handle(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(HEALTH_CHECK):
                await test_endless_responses.send_until_closed(
                    writer, *test_endless_responses.RESPONSES[part]
                )
                return
            number = len(sent)
            sent.append(None)
            sent[number] = await test_endless_responses.send_until_closed(
                writer, *test_endless_responses.RESPONSES[part]
            )

    listener = await asyncio.start_server(handle, sites.HOST, 0)
    address = f"{sites.HOST}:{listener.sockets[0].getsockname()[1]}"
    async with listener:
        yield sites.Backend("s0", address, listener, []), sent


async def wait_for_relay(site):
    """Wait until a router knows its relay; a call waits only 0.1 s for that."""
    relaying.ask_due(site.forwarder)
    await waiting.wait_until(lambda: not site.forwarder.relays.tasks, sites.WAIT_S)


def list_server(pair, backend):
    """Let both routers know one server, which only the relay reaches."""
    for site in (pair.near, pair.far):
        sites.list_servers(site.forwarder, [backend])
    test_relaying.cut_off(pair.near)


async def call(site, body=b""):
    """Return the status of a call, or how its response broke off, and its time."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    try:
        outcome, _, _ = await site.call(data=body)
    except aiohttp.ClientError as error:
        outcome = type(error).__name__
    return outcome, loop.time() - started_s


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("part", test_endless_responses.RESPONSES)
def test_response_without_end_is_given_up_through_a_relay(part, is_stream):
    """Guards against a relay, or the router before it, that a server fills or stops."""
    route = sites.at_most_once_route(is_stream=is_stream)

    async def main():
        async with (
            run_flood(part) as (backend, sent),
            test_relaying.run_pair([], (route,)) as pair,
        ):
            list_server(pair, backend)
            await wait_for_relay(pair.near)
            found = await call(pair.near)
            await waiting.wait_until(lambda: None not in sent, sites.WAIT_S)
            return found, sent

    (outcome, took_s), sent = asyncio.run(main())
    assert outcome in ENDED
    assert took_s < test_endless_responses.LIMIT_S
    assert len(sent) == 1
    assert sent[0] < test_endless_responses.MAX_SENT_SIZE_BYTES


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("part", test_endless_responses.RESPONSES)
def test_relay_is_used_after_responses_without_end(part, is_stream):
    """Guards against a relay that counts as faulty because of one of its servers."""
    route = sites.at_most_once_route(is_stream=is_stream)
    answer = sites.answering()
    if is_stream:

        async def answer(request, body):
            return await test_relaying.stream_events(request, 1, 0.0)

    async def main():
        sound = await sites.start_backend("s1", answer)
        async with (
            sound.listener,
            run_flood(part) as (backend, sent),
            test_relaying.run_pair([], (route,)) as pair,
        ):
            for number in range(FLOODS_COUNT):
                # Servers and equal requests that failed are avoided for a while.
                backend.server_id = f"flood-{number}"
                list_server(pair, backend)
                await wait_for_relay(pair.near)
                await call(pair.near, b"flood %d" % number)
            list_server(pair, sound)
            bodies = [b"call %d" % number for number in range(CALLS_COUNT)]
            return [(await call(pair.near, body))[0] for body in bodies], len(sent)

    assert asyncio.run(main()) == ([200] * CALLS_COUNT, FLOODS_COUNT)
