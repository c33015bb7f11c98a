"""Submachine of the replicated log: software versions at which streams may have begun.

A version is recorded before the first stream begins at it, and removed once no stream
that began at it can be alive.  So a read of the record that began after a client took
its stream up holds the version of that stream, whatever the reader knew before, and
also after the loss of all processes.

Examples
--------
>>> state = initial_state()
>>> pair = ServiceVersion("llm", "v1")
>>> found = apply(state, RecordVersions((pair,)), 4, 0.0)
>>> pairs_of(found)
frozenset({('llm', 'v1')})
>>> apply(state, RemoveVersions(found.versions), 5, 0.0).versions
()
"""

import dataclasses

from hickoryweir.replicas import machine
from hickoryweir.streams import codec

NAME = "served_versions"
# More than the versions of all services at one time; 29 kB with names of 18 characters.
MAX_VERSIONS_COUNT = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceVersion:
    """A software version of a service."""

    service_name: str
    software_version: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedVersion:
    """A recorded version, and the log index of the command that last recorded it."""

    pair: ServiceVersion
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordVersions:
    """Command that records versions, also those that are recorded already."""

    pairs: tuple[ServiceVersion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveVersions:
    """Command that removes versions, unless they were recorded again meanwhile."""

    versions: tuple[RecordedVersion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadVersions:
    """Query for the recorded versions."""


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRecord:
    """The recorded versions, those that were recorded last at the end."""

    versions: tuple[RecordedVersion, ...]


for _tag, _cls in (
    ("sv.pair", ServiceVersion),
    ("sv.recorded", RecordedVersion),
    ("sv.record", RecordVersions),
    ("sv.remove", RemoveVersions),
    ("sv.read", ReadVersions),
    ("sv.state", VersionRecord),
):
    codec.register(_tag, _cls)


@dataclasses.dataclass(slots=True)
class State:
    """State of the submachine: the index at which each version was recorded last."""

    indexes: dict[ServiceVersion, int] = dataclasses.field(default_factory=dict)


def initial_state() -> State:
    """Return the state before the first version."""
    return State()


def make_record(state: State) -> VersionRecord:
    """Return the recorded versions."""
    return VersionRecord(
        tuple(RecordedVersion(pair, index) for pair, index in state.indexes.items())
    )


def pairs_of(record: VersionRecord) -> frozenset[tuple[str, str]]:
    """Return the pairs of a service and a software version that are recorded."""
    return frozenset(
        (item.pair.service_name, item.pair.software_version) for item in record.versions
    )


def apply(
    state: State, command: RecordVersions | RemoveVersions, index: int, time_s: float
) -> VersionRecord:
    """Apply a command and return the versions that are recorded now."""
    if isinstance(command, RemoveVersions):
        for item in command.versions:
            if state.indexes.get(item.pair) == item.index:
                del state.indexes[item.pair]
        return make_record(state)
    for pair in command.pairs:
        state.indexes.pop(pair, None)
        state.indexes[pair] = index
    while len(state.indexes) > MAX_VERSIONS_COUNT:
        del state.indexes[next(iter(state.indexes))]
    return make_record(state)


def _load(data: bytes) -> State:
    record = codec.decode(data).unwrap()
    return State({item.pair: item.index for item in record.versions})


def make_submachine() -> machine.Submachine:
    """Return the submachine of served versions."""
    return machine.Submachine(
        name=NAME,
        command_types=(RecordVersions, RemoveVersions),
        initial_state=initial_state,
        apply=apply,
        dump=lambda state: codec.encode(make_record(state)),
        load=_load,
        query_types=(ReadVersions,),
        query=lambda state, query, time_s: make_record(state),
        is_initial=lambda state: not state.indexes,
    )
