"""Replicas of a day that are lost, replaced or return, and its final fault."""

import asyncio
import random
import time

from hickoryweir.testing.soak import cluster as clusters
from hickoryweir.testing.soak import (
    day_clients,
    day_events,
    day_oracle,
    day_plays,
    faults,
    replicas,
    stop_events,
)

# A change is acknowledged within this time with one replica lost.
ACKNOWLEDGED_S = 12.0
RELAUNCH_MAX_S = 0.8


async def lose(play: day_plays.Play, event: stop_events.Event) -> None:
    """Lose a replica; return once as many as before count again.

    Beside a slow disk, a replica counts some time after that disk is sound.
    """
    cluster = play.cluster
    member = cluster.replicas[event.index]
    began_s = time.monotonic()
    if event.kind in day_events.SUCCESSIONS:
        await succeed(play, member)
        await asyncio.sleep(event.duration_s)
    cluster.replicas.remove(member)
    if event.kind in (day_events.REPLACE, day_events.RESTART):
        await clusters.stop(cluster, member)
    else:
        clusters.kill(member)
    if event.kind in day_events.SUCCESSIONS:
        play.gone.append(member)
        point_to_replicas(play)
    else:
        if event.kind == day_events.EMPTY:
            clusters.wipe(member)
        await asyncio.sleep(event.duration_s)
        clusters.write_settings(cluster, member)
        await launch(play, member)
        cluster.replicas.insert(event.index, member)
        await asyncio.sleep(day_events.CATCH_UP_S)
    sound_s = play.slow_until_s + day_events.CATCH_UP_S
    await asyncio.sleep(max(0.0, sound_s - time.monotonic()))
    ended_s = time.monotonic()
    play.record.injected.append(
        faults.InjectedFault(event.kind, member.host, began_s, ended_s)
    )


async def slow_disk(play: day_plays.Play, event: stop_events.Event) -> None:
    """Make the disk of a replica slow for a time, through its restarts too."""
    running = play.cluster.replicas
    member = running[event.index % len(running)]
    began_s = time.monotonic()
    play.slow_until_s = began_s + event.duration_s
    clusters.delay_syncs(member, day_events.SLOW_DISKS_S[event.kind])
    await asyncio.sleep(event.duration_s)
    clusters.delay_syncs(member, 0.0)
    play.record.injected.append(
        faults.InjectedFault(event.kind, member.host, began_s, time.monotonic())
    )


async def succeed(play: day_plays.Play, member: clusters.Member) -> None:
    """Start the successor of a replica in its zone; return once it counts."""
    cluster = play.cluster
    network = member.host.rpartition(".")[0]
    number = len(cluster.replicas) + len(play.gone) + 1
    host = f"{network}.{number}"
    successor = clusters.Member(
        "replica",
        host,
        member.folder.parent / host,
        zone=member.zone,
        entry=member.entry,
    )
    successor.has_slow_disk = member.has_slow_disk
    successor.folder.mkdir()
    clusters.write_settings(cluster, successor)
    await launch(play, successor)
    cluster.replicas.append(successor)
    play.record.replicas.append(host)
    await asyncio.sleep(day_events.CATCH_UP_S)


def point_to_replicas(play: day_plays.Play) -> None:
    """Name the replicas that count in all settings, for the next starts and SIGHUPs."""
    cluster = play.cluster
    cluster.values["seeds"] = ", ".join(
        f"{replica.host}:{cluster.port}" for replica in cluster.replicas
    )
    for member in (*cluster.replicas, *cluster.routers):
        clusters.write_settings(cluster, member)


async def launch(play: day_plays.Play, member: clusters.Member) -> None:
    """Start a replica; return once it listens."""
    clusters.launch(member)
    await replicas.wait_until_serving(play.current, member)


async def play_final(play: day_plays.Play, event: stop_events.Event) -> None:
    """Bring the final fault about right after an acknowledgement; read the table."""
    cluster, record = play.cluster, play.record
    replicas.record_ended(play.current)
    until_s = time.monotonic() + ACKNOWLEDGED_S
    play.version += 1
    index = event.index
    while not await day_plays.put(play, index, play.version):
        if time.monotonic() > until_s:
            return
        index += 1
    record.final_s = time.monotonic()
    record.final_version = play.version
    killed = list(cluster.replicas)
    if event.kind != day_events.FINAL_DISK:
        killed += cluster.routers
    for member in killed:
        member.process.kill()
    for member in killed:
        clusters.kill(member)
    if event.kind != day_events.FINAL_KILL:
        clusters.wipe(cluster.replicas[event.index])
    generator = random.Random(f"{play.seed} relaunch")
    delays_s = [generator.uniform(0.0, RELAUNCH_MAX_S) for _ in killed]
    await asyncio.gather(
        *(relaunch(play, *each) for each in zip(killed, delays_s, strict=True))
    )
    ended_s = time.monotonic()
    record.injected += [
        faults.InjectedFault(event.kind, member.host, record.final_s, ended_s)
        for member in killed
    ]
    until_s = ended_s + day_oracle.FINAL_READ_S
    await asyncio.gather(*(read(play, member, until_s) for member in cluster.replicas))
    await asyncio.sleep(day_clients.REST_S)
    replicas.record_ended(play.current)


async def relaunch(
    play: day_plays.Play, member: clusters.Member, delay_s: float
) -> None:
    """Start a killed process again after a time."""
    await asyncio.sleep(delay_s)
    clusters.write_settings(play.cluster, member)
    await launch(play, member)


async def read(play: day_plays.Play, replica: clusters.Member, until_s: float) -> None:
    """Read the table from a replica until it answers; record the version."""
    version = await replicas.read(play.current, replica, until_s)
    play.record.final_reads[replica.host] = version
