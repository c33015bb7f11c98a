"""Random and mutated bytes on every port end no process."""

import asyncio
import contextlib
import random

import aiohttp

from hickoryweir.entry.tests import test_processes as processes
from hickoryweir.feeds import messages
from hickoryweir.forwarding import headers, relay_messages
from hickoryweir.replicas import wire
from hickoryweir.streams import connections, handshake
from hickoryweir.testing.demo import entry_vms

SEED = 47
CONNECTIONS_COUNT = 40
MAX_OPEN_COUNT = 10
OPEN_S = 0.1
# A byte that msgpack never uses.
UNDECODABLE_FRAME = connections.LENGTH_PREFIX.pack(1) + b"\xc1"
HTTP = (
    b"GET / HTTP/1.1\r\nHost: site.example\r\n\r\n",
    b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
    b"PUT /table HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n[table]\n\x00",
    b"POST /chat/1 HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    b"GET /chat/1 HTTP/1.1\r\nHost: site.example\r\n"
    + relay_messages.HEADER.encode()
    + b": kq5mdy5yZWxheWVk\r\n\r\n",
)


def make_bytes(generator, samples):
    """Return random bytes, or a sample with a few of its bytes changed."""
    if generator.random() < 0.2:
        return generator.randbytes(generator.randrange(1, 400))
    data = bytearray(generator.choice(samples))
    for _ in range(generator.randrange(4)):
        data[generator.randrange(len(data))] = generator.randrange(256)
    cut = generator.randrange(len(data)) if generator.random() < 0.2 else len(data)
    return bytes(data[:cut])


def peer_samples():
    """Return what processes send to the peer port, with every purpose."""
    identity = handshake.Identity("hickoryweir", "127.0.0.9", "a")
    sent = [
        messages.RouterLoads((messages.ServerLoad("s1", 2**63, 0),)),
        messages.UsageCounts("p", float("inf"), 1, ()),
        messages.TableRequest(),
        messages.TableContent(9, b"x"),
        messages.Heartbeat(
            9, True, 1, 1, -1.0, (wire.ReplicaAddress("x", "x", 1, "a"),)
        ),
    ]
    frames = [connections.make_frame(message) for message in sent]
    frames.append(UNDECODABLE_FRAME)
    hellos = [
        connections.make_frame(handshake.make_hello(identity, purpose, group))
        for purpose in handshake.Purpose
        for group in ("", "claims", "configuration")
    ]
    return [hello + frame for hello in hellos for frame in frames]


async def send_bytes(host, port, data):
    """Send bytes on a new connection, read what comes and break it off."""
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(data)
        with contextlib.suppress(TimeoutError, OSError):
            await asyncio.wait_for(reader.read(1 << 16), OPEN_S)
        writer.transport.abort()


async def send_all(host, port, samples, generator):
    """Send each sample and many changed ones to one port, a few at once."""
    limit = asyncio.Semaphore(MAX_OPEN_COUNT)

    async def send(data):
        async with limit:
            await send_bytes(host, port, data)

    changed = [make_bytes(generator, samples) for _ in range(CONNECTIONS_COUNT)]
    await asyncio.gather(*[send(data) for data in (*samples, *changed)])


def test_random_bytes_on_every_port_end_no_process(tmp_path, monkeypatch):
    """Guards against an error in a parser that ends a process or a port's task."""
    metrics_port = entry_vms.free_port()
    line = f"peer_port = {{peer_port}}\nmetrics_port = {metrics_port}"
    text = processes.SETTINGS.replace("peer_port = {peer_port}", line)
    monkeypatch.setattr(processes, "SETTINGS", text)
    generator = random.Random(SEED)

    async def main():
        async with (
            processes.run_processes(tmp_path) as (started, port, ready_port),
            aiohttp.ClientSession() as session,
        ):
            router, replica = processes.ROUTER_HOST, processes.HOSTS[0]

            async def put():
                table = processes.EXAMPLE.read_text()
                url = f"http://{replica}:{port}/table"
                async with session.put(url, data=table) as response:
                    return response.status

            async def get(url):
                sent = {"Host": "site.example", headers.REQUEST_ID: "r-1"}
                async with session.get(url, headers=sent) as response:
                    await response.read()
                    return response.status

            async def check():
                for host in (router, replica):
                    url = f"http://{host}:{metrics_port}/metrics"
                    await processes.wait_for_result(lambda url=url: get(url), 200)
                ready = f"http://{router}:{ready_port}/"
                await processes.wait_for_result(lambda: get(ready), 200)
                table = f"http://{replica}:{port}/table"
                await processes.wait_for_result(lambda: get(table), 200)
                call = f"http://{router}:{port}/balance/1"
                assert await get(call) < 500

            await processes.wait_for_result(put, 200)
            await check()
            peer_port = int(
                text_of(tmp_path / "router.ini").split("peer_port = ")[1].split()[0]
            )
            peer = peer_samples()
            for host, number, samples in (
                (router, port, HTTP),
                (router, ready_port, HTTP),
                (router, metrics_port, HTTP),
                (router, peer_port, HTTP),
                (replica, port, HTTP),
                (replica, metrics_port, HTTP),
                (replica, peer_port, peer),
            ):
                await send_all(host, number, samples, generator)
            await check()
            return {
                name: process.returncode
                for name, process in started.items()
                if process.returncode is not None
            }

    ended = asyncio.run(main())
    assert ended == {}
    log = text_of(tmp_path / f"replica-{processes.HOSTS[0]}.log")
    assert "connection refused in the handshake" in log
    assert "malformed message from" in log
    # What the hub logs of a handler that raised an unexpected error.
    assert "connection handler failed" not in log
    assert "never retrieved" not in log + text_of(tmp_path / "router.log")


def text_of(path):
    return path.read_text(errors="replace")
