"""Submachine of the replicated log that stores the newest routing table.

It stores a table's version and its bytes, compressed but not decoded.  A table is
stored only if its version is higher than the stored one, so that the version never
decreases, in whatever order tables arrive.
"""

import dataclasses
import zlib

from hickoryweir.replicas import machine
from hickoryweir.streams import codec

NO_VERSION = -1
# Tables are repetitive, so that even the fastest level gives a ratio of about 10.
COMPRESSION_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceTable:
    """Command that stores a table if its version is higher than the stored one."""

    version: int
    compressed: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTable:
    """Query for the newest table."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredTable:
    """The stored table; `NO_VERSION` and no bytes before the first one."""

    version: int
    compressed: bytes


for _tag, _cls in (
    ("rt.replace", ReplaceTable),
    ("rt.read", ReadTable),
    ("rt.stored", StoredTable),
):
    codec.register(_tag, _cls)


@dataclasses.dataclass(slots=True)
class TableState:
    """State of the submachine."""

    stored: StoredTable


def make_command(version: int, content: bytes) -> ReplaceTable:
    """Return the command that stores a table's bytes."""
    return ReplaceTable(version, zlib.compress(content, COMPRESSION_LEVEL))


def read_content(stored: StoredTable) -> bytes:
    """Return a table's bytes as they were sent."""
    return zlib.decompress(stored.compressed)


def initial_state() -> TableState:
    """Return the state before the first table."""
    return TableState(StoredTable(NO_VERSION, b""))


def apply(
    state: TableState, command: ReplaceTable, index: int, time_s: float
) -> StoredTable:
    """Apply a command; return the version that is now stored, without its bytes."""
    if command.version > state.stored.version:
        state.stored = StoredTable(command.version, command.compressed)
    return StoredTable(state.stored.version, b"")


def make_submachine() -> machine.Submachine:
    """Return the submachine that stores the table."""
    return machine.Submachine(
        name="routing_table",
        command_types=(ReplaceTable,),
        initial_state=initial_state,
        apply=apply,
        dump=lambda state: codec.encode(state.stored),
        load=lambda data: TableState(codec.decode(data).unwrap()),
        query_types=(ReadTable,),
        query=lambda state, query, time_s: state.stored,
        version=lambda state: state.stored.version,
    )
