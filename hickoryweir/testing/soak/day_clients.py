"""Clients of a whole day, which keep connections and go on using their router."""

import asyncio
import random

from hickoryweir.testing.soak import (
    day_oracle,
    stop_clients,
    stop_records,
)

KINDS = ("once", "safe", "stream")
FIRST = "first"
# The clients' own time of a signal, which no day reaches.
AFTER_S = 600.0
REST_S = 2.5
PAUSES_S = (0.0, 0.1, 0.5)
WORK_MAX_S = 1.5
SIZES_BYTES = (100, 5_000, 300_000)
RECONNECT_S = 0.1
ANSWER_TIMEOUT_S = 40.0


def make_target(play, router) -> stop_records.Target:
    """Return the view that a router's clients have of it through the day."""
    return stop_records.Target(
        router.host,
        play.cluster.port,
        play.began_s + AFTER_S,
        random.Random(f"{play.seed} {router.host} clients"),
        play.site.attempts,
        play.seed,
        prefix="day-",
        formats=play.cluster.formats,
    )


async def keep_calling(target: stop_records.Target, number: int) -> None:
    """Send requests on one connection after another until cancelled."""
    generator = random.Random(f"{target.seed} {target.host} {number}")
    while True:
        try:
            async with stop_clients.connect(target) as connection:
                await use(connection, generator)
        except OSError:
            pass
        await asyncio.sleep(RECONNECT_S)


async def use(connection: stop_clients.Connection, generator: random.Random) -> None:
    """Use a connection until it is closed."""
    behaviour = FIRST
    while not connection.is_closing:
        plan = stop_records.Plan(
            work_s=generator.uniform(0.02, WORK_MAX_S),
            size_bytes=generator.choice(SIZES_BYTES),
        )
        kind = generator.choice(KINDS)
        request = await connection.send(behaviour, plan, kind)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            await connection.receive(request)
        if not request.is_whole:
            return
        behaviour = day_oracle.KEPT
        await asyncio.sleep(generator.choice(PAUSES_S))
