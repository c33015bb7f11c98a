"""Measure how a new version propagates: ``python -m hickoryweir.measures.routers``.

In simulated time, shows how the time from the source to the last router, the bytes and
the processor time grow with the number of routers.  ``--sockets`` runs nodes over
loopback connections in this process instead, where the routers share one core and
each parses the configuration.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import gc
import hashlib
import pathlib
import statistics
import time

from returns import result

from hickoryweir.cli import tables
from hickoryweir.configuration import generator, render, settings
from hickoryweir.measures import routers_simulation
from hickoryweir.policy import events as policy_events
from hickoryweir.routers import (
    events,
    messages,
    node,
    topology,
    versions,
)
from hickoryweir.streams import handshake, hub

SAME_ZONE_DELAY_S = 0.0005
SAME_REGION_DELAY_S = 0.001
CROSS_REGION_DELAY_S = 0.030
ZONES_PER_REGION_COUNT = 3
SEED = 7
CHANGE_COUNT = 5
SETTLE_DURATION_S = 12.0
IDLE_DURATION_S = 20.0
CHANGE_DURATION_S = 5.0
HOST = "127.0.0.1"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Results for one number of routers."""

    routers: int
    zones: int
    median_ms: float
    worst_ms: float
    bytes_per_change: float
    busiest_bytes_per_change: float
    idle_bytes_per_s: float
    busiest_bytes_per_s: float
    busiest_core_percent: float


def make_members(
    router_count: int, zone_count: int, source_count: int
) -> tuple[topology.Member, ...]:
    """Return routers spread over zones; the first ones are sources."""
    members = []
    for number in range(router_count):
        zone = f"z{number % zone_count:02}"
        name = f"{zone}-{number // zone_count + 1:03}"
        members.append(topology.Member(name, zone, number < source_count))
    return tuple(members)


def one_way_delay_s(
    network: routers_simulation.Network, sender: str, receiver: str
) -> float:
    """Return the delay of a message from the zones and regions of both ends."""
    zones = [network.members[name].availability_zone for name in (sender, receiver)]
    if zones[0] == zones[1]:
        return SAME_ZONE_DELAY_S
    regions = {int(zone[1:]) // ZONES_PER_REGION_COUNT for zone in zones}
    return SAME_REGION_DELAY_S if len(regions) == 1 else CROSS_REGION_DELAY_S


def read_text(answers: pathlib.Path) -> str:
    """Return the canonical configuration text of an answers file."""
    text = answers.read_text(encoding="utf-8")
    return render.render(generator.generate_text(text, str(answers)).unwrap())


def make_published(text: str, version: int) -> versions.Published:
    """Return a version that differs from the previous one in one class."""
    text = text.replace(
        "attainment_target = 0.9\n", f"attainment_target = 0.{version}\n"
    )
    digest = hashlib.sha256(text.encode()).hexdigest()
    return versions.Published(version, version, digest, text, ())


def measure_virtual(
    text: str, router_count: int, zone_count: int, source_count: int
) -> Row:
    """Run changes in simulated time; return propagation times and costs.

    Parameters
    ----------
    text : str
        Canonical configuration text.
    router_count, zone_count, source_count : int
        Number of routers, of zones, and of routers that are sources.
    """
    members = make_members(router_count, zone_count, source_count)
    adopted_at_s: dict[str, float] = {}

    def observe(network, name, action):
        if isinstance(action, events.Adopt):
            adopted_at_s[name] = network.now_s

    network = routers_simulation.make_network(members, SEED, one_way_delay_s, observe)
    sources = [member.name for member in members if member.is_replica]
    routers_simulation.run(network, SETTLE_DURATION_S)
    _offer_all(network, sources, make_published(text, 1))
    for name in network.members:
        routers_simulation.offer(network, name, None, is_confirmed=True)
    routers_simulation.run(network, SETTLE_DURATION_S)
    idle_bytes_per_s, busiest_bytes_per_s, core_percent = _measure_idle(network)
    propagation_times_s = []
    network.sent_bytes_by_kind.clear()
    for version in range(2, CHANGE_COUNT + 2):
        adopted_at_s.clear()
        started_s = network.now_s
        _offer_all(network, sources, make_published(text, version))
        routers_simulation.run(network, CHANGE_DURATION_S)
        assert len(adopted_at_s) == router_count, "a router did not get the version"
        propagation_times_s.append(max(adopted_at_s.values()) - started_s)
    propagation_bytes = _propagation_bytes(network)
    return Row(
        router_count,
        zone_count,
        statistics.median(propagation_times_s) * 1000,
        max(propagation_times_s) * 1000,
        propagation_bytes.total() / CHANGE_COUNT / router_count,
        max(propagation_bytes.values()) / CHANGE_COUNT,
        idle_bytes_per_s,
        busiest_bytes_per_s,
        core_percent,
    )


def _offer_all(network, sources, published):
    for name in sources:
        routers_simulation.offer(network, name, published)


def _propagation_bytes(network):
    """Return the bytes that each router sent to propagate versions."""
    bytes_by_router: collections.Counter = collections.Counter()
    for (name, kind), size_bytes in network.sent_bytes_by_kind.items():
        if kind in (messages.Pull, messages.Update):
            bytes_by_router[name] += size_bytes
    return bytes_by_router


def _measure_idle(network):
    """Return mean and maximum bytes per second and maximum core share of routers."""
    network.sent_bytes.clear()
    network.processor_s.clear()
    gc.collect()
    # All routers share one heap: a GC pause would be charged to a single router.
    gc.freeze()
    digest_period_s = 0.5
    for _ in range(int(IDLE_DURATION_S / digest_period_s)):
        for name, member in network.members.items():
            digest = policy_events.PeerDigestReceived(
                name, member.availability_zone, (("engine", 1),) * 8, (), (), ()
            )
            routers_simulation.step(network, name, events.LocalDigest(digest))
        routers_simulation.run(network, digest_period_s)
    mean_bytes_per_s = (
        network.sent_bytes.total() / IDLE_DURATION_S / len(network.members)
    )
    busiest_bytes_per_s = max(network.sent_bytes.values()) / IDLE_DURATION_S
    gc.unfreeze()
    core_percent = 100 * max(network.processor_s.values()) / IDLE_DURATION_S
    return mean_bytes_per_s, busiest_bytes_per_s, core_percent


@contextlib.asynccontextmanager
async def _running_nodes(members):
    hubs = {}
    for member in members:
        identity = handshake.Identity("measure", member.name, member.availability_zone)
        hubs[member.name] = hub.make_hub(identity, HOST, 0)
        await hubs[member.name].start()
    nodes = {}
    for member in members:
        values = _make_settings(member, members, hubs)
        nodes[member.name] = node.make_node(
            values, hubs[member.name], _read_nothing, asyncio.Queue(), asyncio.Queue()
        )
        nodes[member.name].start()
    try:
        yield nodes
    finally:
        for name, running in nodes.items():
            await running.close()
            await hubs[name].close()


async def _wait_for_version(running: node.Node, version: int) -> None:
    applied_version = 0
    while applied_version < version:
        applied_version = (await running.configuration_queue.get()).version
        await running.confirm(applied_version)


async def _read_nothing(timeout_s):
    return result.Success(None)


def _make_settings(member, members, hubs):
    roles = {True: (settings.Role.ROUTER, settings.Role.REPLICA)}
    return settings.Settings(
        file=pathlib.Path("measure.ini"),
        process=settings.Process(
            member.name,
            member.availability_zone,
            "measure",
            roles.get(member.is_replica, (settings.Role.ROUTER,)),
        ),
        callers=settings.Callers(HOST, 0, plain_text=True),
        operators=settings.Operators(HOST, 0, plain_text=True),
        operator_keys=(),
        peers=settings.Peers(HOST, 0, plain_text=True),
        other_processes=tuple(
            settings.Peer(
                other.name,
                HOST,
                hubs[other.name].port,
                other.availability_zone,
                roles.get(other.is_replica, (settings.Role.ROUTER,)),
            )
            for other in members
            if other.name != member.name
        ),
        replica=settings.Replica(),
        platform=settings.Platform(),
        weights=settings.Weights(),
        logging=settings.Logging(),
        drain=settings.Drain(),
    )


async def measure_sockets(
    text: str, router_count: int, zone_count: int, source_count: int
) -> list[float]:
    """Return the propagation times of changes over real connections, in seconds."""
    members = make_members(router_count, zone_count, source_count)
    sources = [member.name for member in members if member.is_replica]
    propagation_times_s = []
    async with _running_nodes(members) as nodes:
        for version in range(1, CHANGE_COUNT + 2):
            await asyncio.sleep(1.0)
            started_s = time.monotonic()
            for name in sources:
                nodes[name].offer_version(make_published(text, version))
            await asyncio.gather(
                *(_wait_for_version(running, version) for running in nodes.values())
            )
            propagation_times_s.append(time.monotonic() - started_s)
    return propagation_times_s[1:]


def main() -> None:
    """Measure and print tables."""
    parser = argparse.ArgumentParser(prog="python -m hickoryweir.measures.routers")
    parser.add_argument("--routers", type=int, nargs="+", default=[9, 30, 100, 300])
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--sources", type=int, default=3)
    parser.add_argument("--sockets", action="store_true")
    parser.add_argument(
        "--answers",
        type=pathlib.Path,
        default=pathlib.Path("examples/kitamori/answers.ini"),
    )
    arguments = parser.parse_args()
    text = read_text(arguments.answers)
    if arguments.sockets:
        rows = []
        for count in arguments.routers:
            measurement = measure_sockets(
                text, count, arguments.zones, arguments.sources
            )
            propagation_times_ms = [
                1000 * propagation_time_s
                for propagation_time_s in asyncio.run(measurement)
            ]
            rows.append(
                (
                    count,
                    statistics.median(propagation_times_ms),
                    max(propagation_times_ms),
                )
            )
        print(tables.render(("routers", "median_ms", "worst_ms"), rows))
        return
    rows = [
        measure_virtual(text, count, arguments.zones, arguments.sources)
        for count in arguments.routers
    ]
    print(tables.render_records([dataclasses.asdict(row) for row in rows]))


if __name__ == "__main__":
    main()
