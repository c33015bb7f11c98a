"""Three replicas as processes of their own, for measurements on loopback.

Each replica is reached by the others and by clients of other zones through a
delaying task.
"""

import asyncio
import contextlib
import dataclasses
import os
import signal
import socket
import sys

from hickoryweir.claims import commands, snapshots
from hickoryweir.claims import machine as claims_machine
from hickoryweir.replicas import client, machine, node, wire
from hickoryweir.streams import handshake, hub

CLUSTER_ID = "measurement"
HOST = "127.0.0.1"
NAMES = ("a", "b", "c")
START_TIMEOUT_S = 20.0
READ_SIZE_BYTES = 64 * 1024
CLAIMS = machine.Submachine(
    "claims",
    (commands.Claim, commands.RecordOutcome),
    claims_machine.initial_state,
    claims_machine.apply,
    snapshots.dump,
    snapshots.load,
)


class Delay:
    """Stands before one replica; made by :func:`start_delay`."""

    def __init__(self, target_port: int, delay_s: float) -> None:
        self.port = 0
        self._target_port = target_port
        self._delay_s = delay_s
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a port of the system's choice."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """End all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            other = await asyncio.open_connection(HOST, self._target_port)
            forward = self._pass_on(reader, other[1])
            backward = self._pass_on(other[0], writer)
            await asyncio.gather(forward, backward)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _pass_on(self, reader, writer) -> None:
        loop = asyncio.get_running_loop()
        waiting: asyncio.Queue = asyncio.Queue()
        sender = asyncio.create_task(self._release(waiting, writer))
        try:
            while data := await reader.read(READ_SIZE_BYTES):
                waiting.put_nowait((loop.time() + self._delay_s, data))
        finally:
            sender.cancel()
            writer.transport.abort()

    async def _release(self, waiting: asyncio.Queue, writer) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, data = await waiting.get()
            left_s = due_s - loop.time()
            if left_s > 0:
                await asyncio.sleep(left_s)
            writer.write(data)


@dataclasses.dataclass(slots=True)
class Cluster:
    """Replicas as processes; `near` addresses are direct, `far` ones delayed."""

    processes: dict[str, asyncio.subprocess.Process]
    delays: dict[str, Delay]
    near: dict[str, wire.ReplicaAddress]
    far: dict[str, wire.ReplicaAddress]

    def make_client(self, near_name: str = "") -> client.Client:
        """Return a client in the zone of `near_name`, or in a zone of its own."""
        addresses = tuple(
            self.near[name] if name == near_name else self.far[name] for name in NAMES
        )
        identity = handshake.Identity(CLUSTER_ID, "measuring", "zone-m")
        return client.make_client(identity, addresses)

    def kill(self, name: str) -> None:
        """Kill one replica's process."""
        self.processes[name].send_signal(signal.SIGKILL)

    def silence(self, name: str) -> None:
        """Stop one replica's process; its connections stay open and say nothing."""
        self.processes[name].send_signal(signal.SIGSTOP)


@contextlib.asynccontextmanager
async def run_cluster(folder: str, delay_s: float):
    """Start a cluster and stop it in the end."""
    near, far, delays = {}, {}, {}
    for name in NAMES:
        port = _reserve_port()
        zone = f"zone-{name}"
        near[name] = wire.ReplicaAddress(name, HOST, port, zone)
        delays[name] = Delay(port, delay_s)
        await delays[name].start()
        far[name] = wire.ReplicaAddress(name, HOST, delays[name].port, zone)
    text = ",".join(f"{item.name}={item.port}" for item in far.values())
    cluster = Cluster({}, delays, near, far)
    try:
        for name in NAMES:
            cluster.processes[name] = await _start_process(
                name, near[name].port, os.path.join(folder, name), text
            )
        starting = cluster.make_client()
        if not await starting.wait_until_ready(START_TIMEOUT_S):
            raise TimeoutError("no leader")
        await starting.close()
        yield cluster
    finally:
        for process in cluster.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for delay in delays.values():
            await delay.close()


async def run_replica(name: str, port: int, folder: str, text: str) -> None:
    """Run one replica until the process is killed."""
    addresses = tuple(
        wire.ReplicaAddress(item[0], HOST, int(item[1]), f"zone-{item[0]}")
        for item in (pair.split("=") for pair in text.split(","))
    )
    identity = handshake.Identity(CLUSTER_ID, name, f"zone-{name}")
    peer_hub = hub.make_hub(identity, HOST, port)
    settings = node.NodeSettings(identity, folder, addresses, bootstrap=True)
    running = node.make_node(settings, peer_hub, (CLAIMS,))
    (await running.start()).unwrap()
    await peer_hub.start()
    await asyncio.Event().wait()


async def _start_process(
    name: str, port: int, folder: str, text: str
) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "hickoryweir.replicas.measure",
        "replica",
        name,
        str(port),
        folder,
        text,
    )


def _reserve_port() -> int:
    with socket.create_server((HOST, 0)) as server:
        return server.getsockname()[1]
