"""A key-value submachine and helpers that run replicas on loopback."""

import asyncio
import contextlib
import dataclasses

import msgpack

from hickoryweir.replicas import client, machine, node, wire
from hickoryweir.streams import codec, handshake, hub
from hickoryweir.testing.demo import entry_vms

CLUSTER_ID = "north"
HOST = "127.0.0.1"
START_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Sets a key."""

    key: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Get:
    """Reads a key."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """Response to both: the value and the number of puts so far."""

    value: str
    version: int


for _tag, _cls in (("t.put", Put), ("t.get", Get), ("t.value", Value)):
    codec.register(_tag, _cls)


@dataclasses.dataclass(slots=True)
class Register:
    """State of the submachine."""

    values: dict = dataclasses.field(default_factory=dict)
    version: int = 0


def apply(state, command, index, time_s):
    state.values[command.key] = command.value
    state.version += 1
    return Value(command.value, state.version)


def query(state, message, time_s):
    return Value(state.values.get(message.key, ""), state.version)


def dump(state):
    return msgpack.packb([state.version, state.values])


def load(data):
    version, values = msgpack.unpackb(data)
    return Register(values, version)


SUBMACHINE = machine.Submachine(
    "register",
    (Put,),
    Register,
    apply,
    dump,
    load,
    (Get,),
    query,
    lambda state: state.version,
)


@dataclasses.dataclass(slots=True)
class Running:
    """A running replica with its address and hub."""

    address: wire.ReplicaAddress
    hub: hub.Hub
    node: node.Node
    folder: str
    proxy: "StallingProxy | None" = None

    async def stop(self):
        """Stop gracefully, transferring leadership."""
        await self.node.stop()
        await self.hub.close()

    async def crash(self):
        """Stop without transferring leadership."""
        await self.hub.close()
        for task in self.node._tasks:
            task.cancel()
        await self.node._links.close()
        await self.node._disk.close()


def make_identity(name):
    return handshake.Identity(CLUSTER_ID, name, f"zone-{name}")


async def start_replica(name, port, folder, replicas=(), bootstrap=False, **options):
    identity = make_identity(name)
    peer_hub = hub.make_hub(identity, HOST, port)
    settings = node.NodeSettings(identity, folder, replicas, bootstrap, **options)
    running = node.make_node(settings, peer_hub, (SUBMACHINE,))
    (await running.start()).unwrap()
    await peer_hub.start()
    address = wire.ReplicaAddress(name, HOST, peer_hub.port, identity.availability_zone)
    return Running(address, peer_hub, running, folder)


class StallingProxy:
    """A TCP proxy in front of a replica; forwards no bytes while `open` is cleared."""

    def __init__(self, target_port):
        self.open = asyncio.Event()
        self.open.set()
        self.port = 0
        self._target_port = target_port
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen on an ephemeral port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.CancelledError):
            back_reader, back_writer = await asyncio.open_connection(
                HOST, self._target_port
            )
            await asyncio.gather(
                self._forward(reader, back_writer), self._forward(back_reader, writer)
            )
        writer.transport.abort()
        self._tasks.discard(asyncio.current_task())

    async def _forward(self, reader, writer):
        while data := await reader.read(65536):
            await self.open.wait()
            writer.write(data)
        writer.transport.abort()


def reserve_ports(count):
    return [entry_vms.free_port() for _ in range(count)]


@contextlib.asynccontextmanager
async def run_cluster(folder, names=("a", "b", "c"), proxied=False, **options):
    ports = dict(zip(names, reserve_ports(len(names)), strict=True))
    proxies = (
        {name: StallingProxy(port) for name, port in ports.items()} if proxied else {}
    )
    for proxy in proxies.values():
        await proxy.start()
    addresses = tuple(
        wire.ReplicaAddress(
            name, HOST, proxies[name].port if proxied else port, f"zone-{name}"
        )
        for name, port in ports.items()
    )
    replicas = {}
    for name, port in ports.items():
        path = str(folder / name)
        replicas[name] = await start_replica(
            name, port, path, addresses, True, **options
        )
        replicas[name].proxy = proxies.get(name)
    router = client.make_client(make_identity("router"), addresses)
    try:
        assert await router.wait_until_ready(START_TIMEOUT_S)
        yield replicas, router
    finally:
        await router.close()
        await asyncio.gather(
            *[item.stop() for item in replicas.values()], return_exceptions=True
        )
        await asyncio.gather(*[proxy.close() for proxy in proxies.values()])
