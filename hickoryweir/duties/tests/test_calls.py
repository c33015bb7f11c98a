"""Calls are sent only while permitted, and their outcomes are told apart."""

import asyncio
import contextlib

from aiohttp import web

from hickoryweir.duties import calls
from hickoryweir.engines import framing
from hickoryweir.entry import own_calls
from hickoryweir.testing import proxies

PERMISSION = calls.Permission("vm1", 7)
CALL = calls.UsageReport(3, (("a", 2),))


class Holder:
    """Holder whose permission ends after a number of checks."""

    def __init__(self, checks_count=1_000):
        self.checks_left_count = checks_count
        self.given_up = []

    def permission(self):
        """Return the permission while any checks are left."""
        self.checks_left_count -= 1
        is_permitted = self.checks_left_count >= 0 and not self.given_up
        return PERMISSION if is_permitted else None

    def give_up(self, token, reason):
        """Record that a token is not used again."""
        self.given_up.append(token)


@contextlib.asynccontextmanager
async def serving(handle):
    received = []

    async def serve(request):
        received.append((dict(request.headers), await request.json()))
        return await handle(request)

    app = web.Application()
    app.router.add_post("/{tail:.*}", serve)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = site._server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}", received
    finally:
        await runner.cleanup()


async def send(address, holder, call=CALL):
    caller = calls.Caller(
        address,
        own_calls.make_format(),
        calls.Holding(holder.permission, holder.give_up),
        10.0,
    )
    try:
        return await caller.send(call)
    finally:
        await caller.close()


def respond(status):
    async def handle(request):
        return web.Response(status=status)

    return handle


async def reset(request):
    request.transport.abort()
    return web.Response()


async def hang(request):
    await asyncio.sleep(30)


async def outcome(handle, holder):
    async with serving(handle) as (address, received):
        return await send(address, holder), received


def test_statuses_become_outcomes():
    # A 409 that counted as a mere failure would leave the token in use.
    expected = {
        200: calls.Outcome.ACCEPTED,
        409: calls.Outcome.REFUSED,
        429: calls.Outcome.OVER_RATE,
        500: calls.Outcome.FAILED,
    }
    found = {
        status: asyncio.run(outcome(respond(status), Holder()))[0]
        for status in expected
    }
    assert found == expected


def test_call_names_holder_and_token():
    # Guards against calls that the infrastructure can't tie to a token.
    _, received = asyncio.run(outcome(respond(200), Holder()))
    ((headers, document),) = received
    assert (headers["X-Holder"], headers["X-Holder-Token"]) == ("vm1", "7")
    assert document == {"window": 3, "requests": {"a": 2}}


def test_permission_that_ends_before_the_write_sends_nothing():
    # A check only when the call begins misses a freeze while the connection opens.
    holder = Holder(checks_count=2)
    found, received = asyncio.run(outcome(respond(200), holder))
    assert found is calls.Outcome.NOT_HOLDER
    assert received == []


def test_without_permission_nothing_is_sent():
    # Guards against calls by a replica that was never the holder.
    found, received = asyncio.run(outcome(respond(200), Holder(0)))
    assert found is calls.Outcome.NOT_HOLDER
    assert received == []


def test_lost_response_ends_the_token():
    # The call may be executed later; only a newer token lets newer calls replace it.
    holder = Holder()
    found, _ = asyncio.run(outcome(reset, holder))
    assert found is calls.Outcome.NO_RESPONSE
    assert holder.given_up == [7]


def test_refused_call_ends_the_token():
    # Requirement 4: after a 409 the token is not used for any call.
    async def run():
        holder = Holder()
        async with serving(respond(409)) as (address, received):
            found = [await send(address, holder) for _ in range(2)]
        return found, received

    found, received = asyncio.run(run())
    assert found == [calls.Outcome.REFUSED, calls.Outcome.NOT_HOLDER]
    assert len(received) == 1


def test_silent_infrastructure_times_out(monkeypatch):
    # Guards against a call that blocks all later ones, and is executed late.
    monkeypatch.setattr(calls, "CALL_TIMEOUT_S", 0.2)
    holder = Holder()
    found, _ = asyncio.run(outcome(hang, holder))
    assert found is calls.Outcome.NO_RESPONSE
    assert holder.given_up == [7]


def test_call_never_meets_a_silent_connection():
    """Guards against a token that is given up since an earlier connection is silent."""
    holder = Holder()

    async def run():
        async with (
            serving(respond(200)) as (address, received),
            proxies.run_proxy(address) as link,
        ):
            caller = calls.Caller(
                link.address,
                own_calls.make_format(),
                calls.Holding(holder.permission, holder.give_up),
                10.0,
            )
            found = []
            for _ in range(3):
                found.append(await caller.send(CALL))
                proxies.silence_open(link)
            await caller.close()
            return found, len(received)

    assert asyncio.run(run()) == ([calls.Outcome.ACCEPTED] * 3, 3)
    assert holder.given_up == []


def test_unreachable_infrastructure_keeps_the_token():
    # Nothing was sent, so that nothing can be executed later.
    holder = Holder()
    found = asyncio.run(send("127.0.0.1:1", holder))
    assert found is calls.Outcome.FAILED
    assert holder.given_up == []


def test_calls_keep_within_the_rate():
    # All VMs together make at most this many calls in any second.
    async def run():
        times = []

        async def handle(request):
            times.append(asyncio.get_running_loop().time())
            return web.Response()

        holder = Holder(10_000)
        async with serving(handle) as (address, _):
            caller = calls.Caller(
                address,
                own_calls.make_format(),
                calls.Holding(holder.permission, holder.give_up),
                20.0,
            )
            await asyncio.gather(*[caller.send(CALL) for _ in range(40)])
            await caller.close()
        return times

    times = asyncio.run(run())
    counts = [sum(0 <= later - time < 1 for later in times) for time in times]
    assert max(counts) <= 20
    assert len(times) == 40


def test_response_that_comes_before_its_call_is_no_outcome(monkeypatch):
    """Guards against a report that counts as accepted and was never received."""
    received = []

    async def answer_at_once(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        with contextlib.suppress(OSError):
            received.append(await reader.read())
        writer.close()

    async def make_late(*args, **options):
        made = await make_transport(*args, **options)
        await asyncio.sleep(0.05)
        return made

    make_transport = framing.ResponseConnector._make_transport
    monkeypatch.setattr(framing.ResponseConnector, "_make_transport", make_late)

    async def main():
        listener = await asyncio.start_server(answer_at_once, "127.0.0.1", 0)
        async with listener:
            port = listener.sockets[0].getsockname()[1]
            return await send(f"127.0.0.1:{port}", Holder())

    assert asyncio.run(main()) is calls.Outcome.FAILED
    assert received in ([], [b""])
