"""Tests of the room in servers' memory, with many routers and old sums."""

import pytest

from hickoryweir.forwarding_policy import server_room
from hickoryweir.forwarding_policy.tests import room_simulation

SEEDS = (1, 2, 3)
A = room_simulation.Site()
B = room_simulation.Site(
    59, 70, 773_937, ((17_140, 145.0, 1.0), (9_240, 88.0, 0.6), (1_640, 71.0, 1.0))
)
C = room_simulation.Site(
    59, 45, 514_259, ((17_140, 82.0, 2.0), (9_240, 86.0, 1.2), (1_640, 94.0, 1.0))
)
FEW = room_simulation.Site(
    6, 4, 562_896, ((17_140, 20.0, 2.5), (9_240, 20.0, 1.2), (1_640, 20.0, 2.0))
)
SITES = {"a": A, "b": B, "c": C, "few": FEW}


def run(site, seed, prepare, until_s=8.0):
    simulation = room_simulation.Simulation(site, seed)
    simulation.start()
    prepare(simulation)
    simulation.run(until_s)
    return simulation.outcome


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", SITES)
def test_burst_on_one_part_fills_no_server_beyond_its_memory(name, seed):
    """Guards against all routers sending at once to the server that was empty."""

    def prepare(simulation):
        simulation.send_load(1.0, 2.0, 6.0)
        simulation.send_load(6.0, 3.0, 3.3, parts_count=1)

    outcome = run(SITES[name], seed, prepare)
    assert outcome.crashes_count == 0, outcome
    assert outcome.served_count > 0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", SITES)
def test_restart_of_half_of_the_routers_fills_no_server(name, seed):
    """Guards against routers that forget what they have sent."""

    def prepare(simulation):
        simulation.send_load(2.0, 2.0, 6.0)
        half = range(simulation.site.routers_count // 2)
        simulation.at(4.0, simulation.restart, half)

    outcome = run(SITES[name], seed, prepare)
    assert outcome.crashes_count == 0, outcome


@pytest.mark.parametrize("stop_s", [0.5, 0.9])
@pytest.mark.parametrize(
    ("name", "seed"), [("few", 1), ("few", 2), ("few", 3), ("a", 1)]
)
def test_burst_while_sums_are_late_fills_no_server(name, seed, stop_s):
    """Guards against routers that take the same room again before they hear of it."""

    def prepare(simulation):
        simulation.send_load(1.0, 2.0, 5.0)
        simulation.send_load(6.0, 3.0, 4.5, parts_count=1)
        for start_s in (3.0, 4.0):
            simulation.at(start_s, simulation.stop_sums, stop_s)

    outcome = run(SITES[name], seed, prepare, until_s=6.0)
    assert outcome.crashes_count == 0, outcome
    assert outcome.served_count > 0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", SITES)
def test_start_of_all_servers_under_load_fills_none(name, seed):
    """Guards against a flood of servers on which no router has a sum yet."""

    def prepare(simulation):
        simulation.send_load(2.0, 0.0, 4.0)

    outcome = run(SITES[name], seed, prepare)
    assert outcome.crashes_count == 0, outcome


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", SITES)
def test_no_request_is_refused_at_usual_load(name, seed):
    """Guards against a rule that keeps requests from servers with room."""

    def prepare(simulation):
        simulation.send_load(1.0, 2.0, 6.0)

    outcome = run(SITES[name], seed, prepare)
    assert outcome.refused_free_count == 0, outcome


@pytest.mark.parametrize("name", SITES)
def test_overload_fills_servers_and_no_more(name):
    """Guards against room that stays unused while requests are refused."""

    def prepare(simulation):
        simulation.send_load(8.0, 2.0, 6.0)

    outcome = run(SITES[name], 1, prepare)
    assert outcome.crashes_count == 0, outcome
    # Two large requests fewer than fit; some sites are too large to be overloaded.
    unused_share = 2 * 17_140 / SITES[name].capacity_tokens_count
    full_share = 1.0 - server_room.MARGIN_SHARE - unused_share
    assert outcome.refused_count == 0 or outcome.peak_share >= full_share, outcome


def test_request_larger_than_the_memory_is_never_sent():
    """Guards against a request that alone crashes a server."""
    known = server_room.Known(10_000, 0, 0, 0, 0.1)
    turns = server_room.Turns(1, 0, "r", 0.0, server_room.Sizes())
    assert not server_room.has_room(known, 10_001, turns, "s")
    stale = server_room.Known(10_000, 0, 0, 0, 5.0)
    assert not server_room.has_room(stale, 10_001, turns, "s")
