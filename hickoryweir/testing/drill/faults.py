"""Injectors for the faults that users listed; each injects one and ends it."""

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

FAULT_DURATION_MIN_S = 1.0
FAULT_DURATION_MAX_S = 4.0
STRAGGLER_SPEED_FACTOR = 0.1
ANSWER_DELAY_S = 3.0


@dataclasses.dataclass(slots=True)
class FaultContext:
    """State shared by the fault injectors, and their records for the oracle.

    Attributes
    ----------
    windows : list of clusters.FaultWindow
        Intervals in which connection errors at an entry VM are expected.
    fault_names : list of str
        Names of the injected faults in order; concurrent ones are one entry.
    busy_vms : set of str
        Names of the entry VMs that a fault currently affects.
    configuration : model.Configuration or None
        Accounts and classes, used by the faults that send calls.
    is_only_fault : bool
        Whether no other fault is active; some bounds hold only then.
    violations : list of tuple of str
        Promise and detail of each violation that an injector detected itself.
    """

    cluster: clusters.Cluster
    generator: random.Random
    windows: list[clusters.FaultWindow]
    fault_names: list[str]
    busy_vms: set[str]
    configuration: model.Configuration | None = None
    is_only_fault: bool = True
    violations: list[tuple[str, str]] = dataclasses.field(default_factory=list)


Fault = Callable[[FaultContext], Awaitable[None]]


async def hold(context: FaultContext) -> None:
    """Wait for a random fault duration."""
    await asyncio.sleep(
        context.generator.uniform(FAULT_DURATION_MIN_S, FAULT_DURATION_MAX_S)
    )


@contextlib.contextmanager
def reserve_vm(context: FaultContext) -> Iterator[entry_vms.EntryVm | None]:
    """Reserve a random running entry VM without a fault; yield None if none is left."""
    names = sorted(context.cluster.running.keys() - context.busy_vms)
    if not names:
        yield None
        return
    name = context.generator.choice(names)
    context.busy_vms.add(name)
    try:
        yield next(vm for vm in context.cluster.vms if vm.name == name)
    finally:
        context.busy_vms.discard(name)


@contextlib.contextmanager
def record_fault_window(context: FaultContext, vm: entry_vms.EntryVm) -> Iterator[None]:
    """Record the interval in which callers may lose connections to an entry VM."""
    since_s = clusters.now_s()
    try:
        yield
    finally:
        window = clusters.FaultWindow(vm.callers_url, since_s, clusters.now_s())
        context.windows.append(window)


async def kill_entry_vm(context: FaultContext) -> None:
    """Kill an entry VM's process and restart it with its data folder."""
    with reserve_vm(context) as vm:
        if vm is None:
            return
        with record_fault_window(context, vm):
            clusters.kill(context.cluster, vm.name)
            await hold(context)
            clusters.restart(context.cluster, vm.name)


async def freeze_entry_vm(context: FaultContext) -> None:
    """Suspend an entry VM's process temporarily."""
    with reserve_vm(context) as vm:
        if vm is None:
            return
        with record_fault_window(context, vm):
            clusters.suspend(context.cluster, vm.name)
            await hold(context)
            clusters.resume(context.cluster, vm.name)


async def restart_entry_vm(context: FaultContext) -> None:
    """Shut an entry VM down gracefully and restart it."""
    with reserve_vm(context) as vm:
        if vm is None:
            return
        await clusters.stop_gracefully(context.cluster, vm.name)
        clusters.restart(context.cluster, vm.name)
        await clusters.wait_until_ready(context.cluster, vm)


def choose_zones(context: FaultContext) -> tuple[str, str]:
    """Return two distinct random availability zones."""
    zones = sorted({vm.availability_zone for vm in context.cluster.vms})
    first, second = context.generator.sample(zones, 2)
    return first, second


async def isolate_zone(context: FaultContext) -> None:
    """Partition one availability zone from all others."""
    zone, _ = choose_zones(context)
    others = {vm.availability_zone for vm in context.cluster.vms} - {zone}
    for enabled in (False, True):
        for other in others:
            links.set_relaying(context.cluster.links, zone, other, enabled)
            links.set_relaying(context.cluster.links, other, zone, enabled)
        if not enabled:
            await hold(context)


async def cut_one_way(context: FaultContext) -> None:
    """Block traffic from one availability zone to another, in that direction only."""
    first, second = choose_zones(context)
    links.set_relaying(context.cluster.links, first, second, enabled=False)
    await hold(context)
    links.set_relaying(context.cluster.links, first, second, enabled=True)


def choose_server(context: FaultContext, target: model.Target) -> stand_ins.StandIn:
    """Return a random stand-in with the given kind of target."""
    candidates = [
        each for each in context.cluster.servers if each.server.target is target
    ]
    return context.generator.choice(candidates)


async def crash_engine(context: FaultContext) -> None:
    """Crash an engine mid-stream and restart it."""
    stand_in = choose_server(context, model.Target.MODEL)
    await stand_in.running.crash()
    await hold(context)
    await stand_in.running.restart()


def engine_faults(stand_in: stand_ins.StandIn) -> stand_in_faults.EngineFaults:
    """Return the mutable fault settings of a stand-in engine."""
    return stand_in.running.runner.app[engine.ENGINE].active_faults


async def slow_engine(context: FaultContext) -> None:
    """Slow an engine down temporarily."""
    faults = engine_faults(choose_server(context, model.Target.MODEL))
    faults.speed_factor = STRAGGLER_SPEED_FACTOR
    await hold(context)
    faults.speed_factor = 1.0


async def cut_streams(context: FaultContext) -> None:
    """Truncate the next streams of an engine."""
    faults = engine_faults(choose_server(context, model.Target.MODEL))
    faults.cut_count = 3
    await hold(context)
    faults.cut_count = 0


async def cross_answers(context: FaultContext) -> None:
    """Label the next answers of an engine with another call's id."""
    faults = engine_faults(choose_server(context, model.Target.MODEL))
    faults.crossed_count = 2
    await hold(context)
    faults.crossed_count = 0


async def crash_service(context: FaultContext) -> None:
    """Crash a plain service after it has executed each of the next calls."""
    stand_in = choose_server(context, model.Target.SERVICE)
    stand_in.service.active_faults.crash_after_running_count = 2
    await hold(context)
    stand_in.service.active_faults.crash_after_running_count = 0


async def refuse_at_service(context: FaultContext) -> None:
    """Make a plain service refuse the next calls without executing them."""
    stand_in = choose_server(context, model.Target.SERVICE)
    stand_in.service.active_faults.refused_count = 5
    await hold(context)
    stand_in.service.active_faults.refused_count = 0


async def answer_late(context: FaultContext) -> None:
    """Delay the answers of a plain service temporarily."""
    stand_in = choose_server(context, model.Target.SERVICE)
    stand_in.service.active_faults.answer_delay_s = ANSWER_DELAY_S
    await hold(context)
    stand_in.service.active_faults.answer_delay_s = 0.0


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
