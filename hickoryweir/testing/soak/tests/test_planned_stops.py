"""Planned stops of routers lose no answer and break no promise, in two fixed rounds.

Checks whose outcome depends on the moment are left out or count only if most stops
fail them, see ``docs/design/soak.md``.
"""

import asyncio

from hickoryweir.testing.soak import stops

SEED, ROUNDS_COUNT, ROUTERS_COUNT = 1, 2, 3


def test_planned_stops_break_no_promise():
    options = stops.Stops(
        seed=SEED,
        rounds=ROUNDS_COUNT,
        routers=ROUTERS_COUNT,
        clients=30,
        untimed=True,
    )
    assert asyncio.run(stops.run(options)) == []
