"""The processes of a day, and the operator who changes their table."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import time

from hickoryweir.testing.soak import (
    callers,
    day_events,
    day_oracle,
    replicas,
    stop_events,
    stops,
)
from hickoryweir.testing.soak import cluster as clusters

REPEATS_COUNT = 5
RETRY_INTERVAL_S = 0.05
SAMPLE_INTERVAL_S = 0.25
NS_PER_S = 1e9
TABLE = (
    stops.TABLE
    + """
[route safe]
host = soak.example
path_prefix = /safe/
services = app
execution = idempotent
timeout_s = 30
max_attempts_count = 3
allows_anonymous = yes
"""
)


@dataclasses.dataclass(slots=True)
class Play:
    """The processes of a day and what is seen of them.

    Attributes
    ----------
    entries : list of dict
        The current list of backend servers.
    current : replicas.Round
        What an operator sees of the replicas.
    gone : list of Member
        Replicas that never return.
    slow_until_s : float
        When the latest slow disk is sound again, on the steady clock.
    version : int
        The newest version sent.
    """

    seed: int
    clients_count: int
    site: stops.Site
    entries: list[dict]
    current: replicas.Round
    record: day_oracle.Record
    began_s: float = 0.0
    gone: list[clusters.Member] = dataclasses.field(default_factory=list)
    slow_until_s: float = 0.0
    version: int = stops.FIRST_VERSION

    @property
    def cluster(self) -> clusters.Cluster:
        """Return the processes."""
        return self.site.cluster


async def sleep_until(play: Play, at_s: float) -> None:
    """Sleep until a time of the day."""
    await asyncio.sleep(max(0.0, play.began_s + at_s - time.monotonic()))


async def operate(play: Play, events: list[stop_events.Event]) -> None:
    """Change the table as drawn, and go on changing it until cancelled."""
    for event in events:
        await sleep_until(play, event.at_s)
        await change(play, event)
    generator = random.Random(f"{play.seed} operator")
    while True:
        index = generator.randrange(day_events.REPLICAS_COUNT)
        await change(play, stop_events.Event(0.0, day_events.CHANGE, index))
        await asyncio.sleep(RETRY_INTERVAL_S)


async def change(play: Play, event: stop_events.Event) -> None:
    """Send the next version, two at once, or one again whose response is lost."""
    play.version += 1
    if event.kind == day_events.RACE:
        play.version += 1
        older, newer = play.version - 1, play.version
        await asyncio.gather(
            put(play, event.index, older), put(play, event.index + 1, newer)
        )
        return
    if event.kind == day_events.REPEAT:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(event.duration_s):
                await put(play, event.index, play.version)
    for number in range(REPEATS_COUNT):
        if await put(play, event.index + number, play.version):
            return
        await asyncio.sleep(RETRY_INTERVAL_S)


async def put(play: Play, index: int, version: int) -> bool:
    """Send a version to a replica; record whether it is acknowledged, and return it."""
    running = play.cluster.replicas
    host = running[index % len(running)].host
    is_taken = await callers.put_table_to(
        play.current.session, play.cluster, version, host, TABLE
    )
    if is_taken:
        play.record.observations.accepted.append((version, time.monotonic()))
    return is_taken


async def watch(play: Play) -> None:
    """Record for how long processes and the soak itself wait, until cancelled."""
    former: dict[int, float] = {}
    at_s = time.monotonic()
    while True:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        began_s, at_s = at_s, time.monotonic()
        waits = {"": at_s - began_s - SAMPLE_INTERVAL_S}
        for member in (*play.cluster.replicas, *play.cluster.routers):
            if member.process is not None and member.process.poll() is None:
                process_id = member.process.pid
                total_s = read_waited_s(process_id)
                waits[member.host] = total_s - former.get(process_id, total_s)
                former[process_id] = total_s
        play.record.delays += [
            day_oracle.Delay(host, began_s, at_s, waited_s)
            for host, waited_s in waits.items()
        ]


def read_waited_s(process_id: int) -> float:
    """Return for how long a process has been ready to run without a processor."""
    text = pathlib.Path(f"/proc/{process_id}/schedstat").read_text()
    return int(text.split()[1]) / NS_PER_S
