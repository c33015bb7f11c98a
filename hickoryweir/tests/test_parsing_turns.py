"""Turns of connections whose bytes are handled one after the other."""

import asyncio
import time

import pytest

from hickoryweir import parsing_turns

DURATION_S = 1.0
TURN_S = 0.004
CONNECTIONS_COUNT = 40
INTERVAL_S = 0.001


def spin():
    end_s = time.monotonic() + TURN_S
    while time.monotonic() < end_s:
        pass


async def count_turns(parse_part):
    """Return how many turns the parts of many connections get."""
    turns = parsing_turns.ParsingTurns(INTERVAL_S)
    counts = [0]

    def run_part():
        counts[0] += 1
        parse_part()
        return True

    for _ in range(CONNECTIONS_COUNT):
        parsing_turns.add(turns, run_part)
    await asyncio.sleep(DURATION_S)
    return counts[0]


def spin_later():
    asyncio.get_running_loop().call_soon(spin)


@pytest.mark.parametrize("parse_part", [spin, spin_later])
def test_long_turns_leave_most_of_the_time_to_others(parse_part):
    """Guards against turns at a fixed interval, whatever each of them takes."""
    count = asyncio.run(count_turns(parse_part))
    assert count * TURN_S <= (parsing_turns.MAX_SHARE + 0.05) * DURATION_S
    assert count >= DURATION_S / (2 * parsing_turns.MAX_PAUSE_S)


def test_turn_that_is_added_after_the_last_one_is_run():
    """Guards against connections that are not read any more."""

    async def main():
        turns, ran = parsing_turns.ParsingTurns(INTERVAL_S), asyncio.Event()

        def run_part():
            ran.set()
            return False

        for pause_s in (0.0, INTERVAL_S, 10 * INTERVAL_S):
            await asyncio.sleep(pause_s)
            ran.clear()
            parsing_turns.add(turns, run_part)
            await asyncio.wait_for(ran.wait(), DURATION_S)
        return turns.waiting

    assert not asyncio.run(main())
