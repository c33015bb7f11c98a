"""Faults of the users' list, each a function that brings it about and mends it."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable, Iterator

from hickoryweir.configuration import model
from hickoryweir.testing import engine
from hickoryweir.testing import faults as stand_in_faults
from hickoryweir.testing.demo import entry_vms, stand_ins
from hickoryweir.testing.drill import cluster as clusters
from hickoryweir.testing.drill import links

HOLD_MIN_S = 1.0
HOLD_MAX_S = 4.0
STRAGGLER_SPEED = 0.1
LATE_ANSWER_S = 3.0


@dataclasses.dataclass(slots=True)
class Drawn:
    """What the faults of a drill need, and what they leave for the oracle.

    Attributes
    ----------
    windows : list of clusters.Window
        When connection errors at an entry VM were expected.
    names : list of str
        Faults in the order they were brought about.
    busy : set of str
        Entry VMs that a fault has now.
    configuration : model.Configuration or None
        Accounts and classes for faults that send calls.
    is_alone : bool
        Whether no other fault goes on; some bounds hold only then.
    found : list of tuple of str
        Promise and detail of what faults saw broken by themselves.
    """

    cluster: clusters.Cluster
    random: random.Random
    windows: list[clusters.Window]
    names: list[str]
    busy: set[str]
    configuration: model.Configuration | None = None
    is_alone: bool = True
    found: list[tuple[str, str]] = dataclasses.field(default_factory=list)


Fault = Callable[[Drawn], Awaitable[None]]


async def hold(drawn: Drawn) -> None:
    """Let a fault last for a drawn time."""
    await asyncio.sleep(drawn.random.uniform(HOLD_MIN_S, HOLD_MAX_S))


@contextlib.contextmanager
def taking_vm(drawn: Drawn) -> Iterator[entry_vms.EntryVm | None]:
    """Give an entry VM that runs and that no other fault has, or None."""
    names = sorted(drawn.cluster.running.keys() - drawn.busy)
    if not names:
        yield None
        return
    name = drawn.random.choice(names)
    drawn.busy.add(name)
    try:
        yield next(vm for vm in drawn.cluster.vms if vm.name == name)
    finally:
        drawn.busy.discard(name)


@contextlib.contextmanager
def expecting_errors(drawn: Drawn, vm: entry_vms.EntryVm) -> Iterator[None]:
    """Note the time in which callers may lose connections to an entry VM."""
    since_s = clusters.now_s()
    try:
        yield
    finally:
        window = clusters.Window(vm.callers_url, since_s, clusters.now_s())
        drawn.windows.append(window)


async def kill_entry_vm(drawn: Drawn) -> None:
    """Kill an entry VM's process and start it again on its folder."""
    with taking_vm(drawn) as vm:
        if vm is None:
            return
        with expecting_errors(drawn, vm):
            clusters.kill(drawn.cluster, vm.name)
            await hold(drawn)
            clusters.restart(drawn.cluster, vm.name)


async def freeze_entry_vm(drawn: Drawn) -> None:
    """Freeze an entry VM's process for a while."""
    with taking_vm(drawn) as vm:
        if vm is None:
            return
        with expecting_errors(drawn, vm):
            clusters.freeze(drawn.cluster, vm.name)
            await hold(drawn)
            clusters.thaw(drawn.cluster, vm.name)


async def restart_entry_vm(drawn: Drawn) -> None:
    """Shut an entry VM down gracefully and start it again."""
    with taking_vm(drawn) as vm:
        if vm is None:
            return
        await clusters.stop_gracefully(drawn.cluster, vm.name)
        clusters.restart(drawn.cluster, vm.name)
        await clusters.wait_until_ready(drawn.cluster, vm)


def draw_zones(drawn: Drawn) -> tuple[str, str]:
    """Return two different availability zones."""
    zones = sorted({vm.availability_zone for vm in drawn.cluster.vms})
    first, second = drawn.random.sample(zones, 2)
    return first, second


async def isolate_zone(drawn: Drawn) -> None:
    """Cut one availability zone off from all others."""
    zone, _ = draw_zones(drawn)
    others = {vm.availability_zone for vm in drawn.cluster.vms} - {zone}
    for passing in (False, True):
        for other in others:
            links.set_passing(drawn.cluster.links, zone, other, passing)
            links.set_passing(drawn.cluster.links, other, zone, passing)
        if not passing:
            await hold(drawn)


async def cut_one_way(drawn: Drawn) -> None:
    """Let nothing pass from one availability zone to another."""
    first, second = draw_zones(drawn)
    links.set_passing(drawn.cluster.links, first, second, passing=False)
    await hold(drawn)
    links.set_passing(drawn.cluster.links, first, second, passing=True)


def pick_server(drawn: Drawn, target: model.Target) -> stand_ins.StandIn:
    """Return a stand-in of a kind."""
    fitting = [each for each in drawn.cluster.servers if each.server.target is target]
    return drawn.random.choice(fitting)


async def crash_engine(drawn: Drawn) -> None:
    """Crash an engine mid-stream and bring it back."""
    picked = pick_server(drawn, model.Target.MODEL)
    await picked.running.crash()
    await hold(drawn)
    await picked.running.restart()


def engine_faults(picked: stand_ins.StandIn) -> stand_in_faults.EngineFaults:
    """Return the faults of a stand-in engine, to be changed in place."""
    return picked.running.runner.app[engine.ENGINE].active_faults


async def slow_engine(drawn: Drawn) -> None:
    """Make an engine a straggler for a while."""
    faults = engine_faults(pick_server(drawn, model.Target.MODEL))
    faults.speed_factor = STRAGGLER_SPEED
    await hold(drawn)
    faults.speed_factor = 1.0


async def cut_streams(drawn: Drawn) -> None:
    """Cut the next streams of an engine short."""
    faults = engine_faults(pick_server(drawn, model.Target.MODEL))
    faults.cut_count = 3
    await hold(drawn)
    faults.cut_count = 0


async def cross_answers(drawn: Drawn) -> None:
    """Give the next answers of an engine the id of another call."""
    faults = engine_faults(pick_server(drawn, model.Target.MODEL))
    faults.crossed_count = 2
    await hold(drawn)
    faults.crossed_count = 0


async def crash_service(drawn: Drawn) -> None:
    """Crash a plain service after it has run the next calls."""
    picked = pick_server(drawn, model.Target.SERVICE)
    picked.service.active_faults.crash_after_running_count = 2
    await hold(drawn)
    picked.service.active_faults.crash_after_running_count = 0


async def refuse_at_service(drawn: Drawn) -> None:
    """Let a plain service refuse the next calls before running."""
    picked = pick_server(drawn, model.Target.SERVICE)
    picked.service.active_faults.refused_count = 5
    await hold(drawn)
    picked.service.active_faults.refused_count = 0


async def answer_late(drawn: Drawn) -> None:
    """Let a plain service answer late for a while."""
    picked = pick_server(drawn, model.Target.SERVICE)
    picked.service.active_faults.answer_delay_s = LATE_ANSWER_S
    await hold(drawn)
    picked.service.active_faults.answer_delay_s = 0.0


FAULTS: tuple[Fault, ...] = (
    kill_entry_vm,
    freeze_entry_vm,
    restart_entry_vm,
    isolate_zone,
    cut_one_way,
    crash_engine,
    slow_engine,
    cut_streams,
    cross_answers,
    crash_service,
    refuse_at_service,
    answer_late,
)
