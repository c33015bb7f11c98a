"""The replicated state machine: dispatches commands to submachines by type.

Every replica applies the same entries in the same order.  The time passed to a
submachine is the leader's wall-clock time in the entry, made monotonic here.

Examples
--------
>>> machine = make_machine(())
>>> dump(machine) == dump(make_machine(()))
True
"""

import dataclasses
import typing
from collections.abc import Callable

from hickoryweir.replicas import messages
from hickoryweir.streams import codec


@dataclasses.dataclass(frozen=True, slots=True)
class Submachine:
    """A part of the replicated state machine, as functions.

    Attributes
    ----------
    name : str
        Name in snapshots; must never change.
    command_types : tuple of type
        Registered message types that `apply` accepts.
    initial_state : callable
        ``initial_state()`` returns the state of an empty log.
    apply : callable
        ``apply(state, command, index, time_s)`` changes the state in place and
        returns a registered message; must be deterministic.
    dump, load : callable
        ``dump(state)`` returns bytes, ``load(data)`` the state.
    query_types : tuple of type, optional
        Registered message types that `query` accepts.
    query : callable, optional
        ``query(state, query, time_s)`` returns a registered message.
    version : callable, optional
        ``version(state)`` returns the version number that watches wait for.
    freeze : callable, optional
        ``freeze(state)`` returns a copy that later commands don't change, so that
        `dump` can run in another thread; it must be fast.
    is_initial : callable, optional
        ``is_initial(state)`` returns whether to leave the state out of snapshots, so
        that an older build without the submachine can load them until it is used.
    """

    name: str
    command_types: tuple[type, ...]
    initial_state: Callable[[], typing.Any]
    apply: Callable[[typing.Any, typing.Any, int, float], typing.Any]
    dump: Callable[[typing.Any], bytes]
    load: Callable[[bytes], typing.Any]
    query_types: tuple[type, ...] = ()
    query: Callable[[typing.Any, typing.Any, float], typing.Any] | None = None
    version: Callable[[typing.Any], int] | None = None
    freeze: Callable[[typing.Any], typing.Any] | None = None
    is_initial: Callable[[typing.Any], bool] = lambda state: False


@dataclasses.dataclass(frozen=True, slots=True)
class CommandUnknown:
    """Response to a command or query that no submachine accepts."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Dump:
    """A snapshot of all submachines."""

    time_s: float
    parts: tuple[tuple[str, bytes], ...]


codec.register("rm.unknown", CommandUnknown)
codec.register("rm.dump", Dump)


@dataclasses.dataclass(slots=True)
class Machine:
    """All submachines with their states."""

    submachines: dict[str, Submachine]
    names_by_type: dict[type, str]
    states: dict[str, typing.Any]
    time_s: float = 0.0


def make_machine(submachines: tuple[Submachine, ...]) -> Machine:
    """Return a machine in the state of an empty log."""
    names_by_type = {
        cls: submachine.name
        for submachine in submachines
        for cls in (*submachine.command_types, *submachine.query_types)
    }
    by_name = {submachine.name: submachine for submachine in submachines}
    states = {name: submachine.initial_state() for name, submachine in by_name.items()}
    return Machine(by_name, names_by_type, states)


def apply(machine: Machine, entry: messages.Entry) -> typing.Any:
    """Apply a committed command and return its response."""
    machine.time_s = max(machine.time_s, entry.time_s)
    decoded = codec.decode(entry.payload)
    command = decoded.value_or(None)
    if command is None:
        return CommandUnknown(decoded.failure().detail)
    name = machine.names_by_type.get(type(command))
    if name is None:
        return CommandUnknown(type(command).__name__)
    submachine = machine.submachines[name]
    state = machine.states[name]
    return submachine.apply(state, command, entry.index, machine.time_s)


def query(machine: Machine, message: typing.Any) -> typing.Any:
    """Answer a query from the applied state."""
    name = machine.names_by_type.get(type(message))
    if name is None or machine.submachines[name].query is None:
        return CommandUnknown(type(message).__name__)
    submachine = machine.submachines[name]
    return submachine.query(machine.states[name], message, machine.time_s)


def version_for(machine: Machine, message: typing.Any) -> int | None:
    """Return the version that a watch with this query waits for."""
    name = machine.names_by_type.get(type(message))
    if name is None or machine.submachines[name].version is None:
        return None
    return machine.submachines[name].version(machine.states[name])


def dump(machine: Machine) -> bytes:
    """Return the serialized state of all submachines."""
    return prepare_dump(machine)()


def prepare_dump(machine: Machine) -> Callable[[], bytes]:
    """Return a function that serializes the state as it is now.

    It may be called in another thread while further commands are applied.
    """
    time_s = machine.time_s
    parts = [
        (name, _prepare_part(machine.submachines[name], machine.states[name]))
        for name in sorted(machine.submachines)
        if not machine.submachines[name].is_initial(machine.states[name])
    ]

    def finish() -> bytes:
        return codec.encode(Dump(time_s, tuple((name, part()) for name, part in parts)))

    return finish


def _prepare_part(submachine: Submachine, state: typing.Any) -> Callable[[], bytes]:
    if submachine.freeze is None:
        data = submachine.dump(state)
        return lambda: data
    frozen = submachine.freeze(state)
    return lambda: submachine.dump(frozen)


def load(machine: Machine, data: bytes) -> None:
    """Replace the state of all submachines; empty `data` is the initial state.

    Raises
    ------
    ValueError
        If `data` is not a dump, or has a part of an unknown submachine.
    """
    found = Dump(0.0, ()) if not data else codec.decode(data).value_or(None)
    if not isinstance(found, Dump):
        raise ValueError("not a dump of the state machine")
    parts = dict(found.parts)
    unknown = parts.keys() - machine.submachines.keys()
    if unknown:
        raise ValueError(f"no submachine for {sorted(unknown)}")
    machine.time_s = found.time_s
    for name, submachine in machine.submachines.items():
        part = parts.get(name)
        machine.states[name] = (
            submachine.initial_state() if part is None else submachine.load(part)
        )
