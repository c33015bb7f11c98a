"""Cluster of three replica processes on loopback, for measurements.

The other replicas, and clients in other zones, reach each replica through a proxy
that delays the traffic.
"""

import asyncio
import contextlib
import dataclasses
import functools
import os
import signal
import sys
import time

from hickoryweir.claims import commands, snapshots
from hickoryweir.claims import machine as claims_machine
from hickoryweir.replicas import client, machine, node, wire
from hickoryweir.streams import handshake, hub
from hickoryweir.testing.demo import entry_vms

CLUSTER_ID = "measurement"
HOST = "127.0.0.1"
NAMES = ("a", "b", "c")
START_TIMEOUT_S = 20.0
READ_SIZE_BYTES = 64 * 1024
POLLING_MARGIN_S = 0.002
MODULE = "hickoryweir.measures.replicas"
CLAIMS = machine.Submachine(
    "claims",
    (commands.Claim, commands.RecordOutcome),
    claims_machine.initial_state,
    claims_machine.apply,
    snapshots.dump,
    snapshots.load,
    freeze=snapshots.freeze,
)


async def run_delay_proxies(delay_s: float, text: str) -> None:
    """Run the delay proxies until the process is killed.

    Parameters
    ----------
    delay_s : float
        One-way delay.
    text : str
        Pairs of listening and target port, as ``5001=5002,5003=5004``.
    """
    servers = []
    for pair in text.split(","):
        port, target_port = (int(item) for item in pair.split("="))
        accept = functools.partial(_proxy_connection, target_port, delay_s)
        servers.append(await asyncio.start_server(accept, HOST, port))
    await asyncio.Event().wait()


async def _proxy_connection(target_port: int, delay_s: float, reader, writer) -> None:
    try:
        target_reader, target_writer = await asyncio.open_connection(HOST, target_port)
        await asyncio.gather(
            _forward(reader, target_writer, delay_s),
            _forward(target_reader, writer, delay_s),
        )
    except OSError:
        pass
    finally:
        writer.transport.abort()


async def _forward(reader, writer, delay_s: float) -> None:
    queue: asyncio.Queue = asyncio.Queue()
    sender = asyncio.create_task(_write_when_due(queue, writer))
    try:
        while data := await reader.read(READ_SIZE_BYTES):
            queue.put_nowait((time.monotonic() + delay_s, data))
    finally:
        sender.cancel()
        writer.transport.abort()


async def _write_when_due(queue: asyncio.Queue, writer) -> None:
    while True:
        due_s, data = await queue.get()
        # The event loop rounds timers to whole milliseconds, so the end is polled.
        while (remaining_s := due_s - time.monotonic()) > 0:  # noqa: ASYNC110
            await asyncio.sleep(max(0.0, remaining_s - POLLING_MARGIN_S))
        writer.write(data)


@dataclasses.dataclass(slots=True)
class Cluster:
    """Replica processes with their direct and their delayed (proxy) addresses."""

    processes: dict[str, asyncio.subprocess.Process]
    direct_addresses: dict[str, wire.ReplicaAddress]
    delayed_addresses: dict[str, wire.ReplicaAddress]

    def addresses(self, local_name: str = "") -> tuple[wire.ReplicaAddress, ...]:
        """Return the addresses for a client in the zone of `local_name`."""
        return tuple(
            self.direct_addresses[name]
            if name == local_name
            else self.delayed_addresses[name]
            for name in NAMES
        )

    def make_client(self, local_name: str = "") -> client.Client:
        """Return a client in the zone of `local_name`, or in a separate zone."""
        return make_client(self.addresses(local_name))

    def kill(self, name: str) -> None:
        """Kill one replica's process."""
        self.processes[name].send_signal(signal.SIGKILL)

    def suspend(self, name: str) -> None:
        """Suspend one replica's process; its connections stay open but silent."""
        self.processes[name].send_signal(signal.SIGSTOP)


@contextlib.asynccontextmanager
async def run_cluster(folder: str, delay_s: float):
    """Start a cluster, and stop it on exit."""
    direct, delayed = _make_addresses()
    text = ",".join(f"{item.name}={item.port}" for item in delayed.values())
    ports = ",".join(f"{delayed[name].port}={direct[name].port}" for name in NAMES)
    cluster = Cluster({}, direct, delayed)
    try:
        proxies = await start_process("delays", str(delay_s), ports)
        cluster.processes["delays"] = proxies
        for name in NAMES:
            path = os.path.join(folder, name)
            port = str(direct[name].port)
            replica = await start_process("replica", name, port, path, text)
            cluster.processes[name] = replica
        probe = cluster.make_client()
        if not await probe.wait_until_ready(START_TIMEOUT_S):
            codes = {name: item.returncode for name, item in cluster.processes.items()}
            raise TimeoutError(
                f"no leader within {START_TIMEOUT_S} s; process exit codes: {codes}"
            )
        await probe.close()
        yield cluster
    finally:
        for process in cluster.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()


def make_client(addresses: tuple[wire.ReplicaAddress, ...]) -> client.Client:
    """Return a client of the replicas."""
    identity = handshake.Identity(CLUSTER_ID, "measuring", "zone-m")
    return client.make_client(identity, addresses)


def parse_addresses(text: str) -> tuple[wire.ReplicaAddress, ...]:
    """Return the addresses in ``a=5001,b=5002``."""
    pairs = (pair.split("=") for pair in text.split(","))
    return tuple(
        wire.ReplicaAddress(name, HOST, int(port), f"zone-{name}")
        for name, port in pairs
    )


async def run_replica(name: str, port: int, folder: str, text: str) -> None:
    """Run one replica until the process is killed."""
    addresses = parse_addresses(text)
    identity = handshake.Identity(CLUSTER_ID, name, f"zone-{name}")
    peer_hub = hub.make_hub(identity, HOST, port)
    settings = node.NodeSettings(identity, folder, addresses, bootstrap=True)
    running = node.make_node(settings, peer_hub, (CLAIMS,))
    (await running.start()).unwrap()
    await peer_hub.start()
    await asyncio.Event().wait()


async def start_process(*arguments: str, **options) -> asyncio.subprocess.Process:
    """Start a subcommand of :data:`MODULE` as a process."""
    command = (sys.executable, "-m", MODULE, *arguments)
    return await asyncio.create_subprocess_exec(*command, **options)


def _make_addresses() -> tuple[dict, dict]:
    ports = [entry_vms.free_port() for _ in range(2 * len(NAMES))]
    addresses = [
        {
            name: wire.ReplicaAddress(name, HOST, port, f"zone-{name}")
            for name, port in zip(NAMES, group, strict=True)
        }
        for group in (ports[: len(NAMES)], ports[len(NAMES) :])
    ]
    return addresses[0], addresses[1]
