"""The routing table in the replicated log: the newest one, as it was sent.

The log keeps the bytes, compressed, and their version; whoever reads them decodes
them.  A table takes effect only if its version is above the one held, so the version
never goes back, whatever the order in which operators' tables arrive.
"""

import dataclasses
import zlib

from hickoryweir.replicas import machine
from hickoryweir.streams import codec

NO_VERSION = -1
# Tables repeat themselves, so the fastest level shrinks them about tenfold.
COMPRESSION_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceTable:
    """Puts a table in force if its version is the highest so far."""

    version: int
    compressed: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTable:
    """Asks for the newest table."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredTable:
    """A version with its bytes; `NO_VERSION` and no bytes before the first one."""

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
    """The submachine's state."""

    stored: StoredTable


def make_command(version: int, content: bytes) -> ReplaceTable:
    """Return the command that stores a table's bytes."""
    return ReplaceTable(version, zlib.compress(content, COMPRESSION_LEVEL))


def read_content(stored: StoredTable) -> bytes:
    """Return a table's bytes as they were sent."""
    return zlib.decompress(stored.compressed)


def initial_state() -> TableState:
    """Return the state before any table."""
    return TableState(StoredTable(NO_VERSION, b""))


def apply(
    state: TableState, command: ReplaceTable, index: int, time_s: float
) -> StoredTable:
    """Take a higher version and return a receipt of what is now held."""
    if command.version > state.stored.version:
        state.stored = StoredTable(command.version, command.compressed)
    return StoredTable(state.stored.version, b"")


def make_submachine() -> machine.Submachine:
    """Return the part of the state machine that holds the table."""
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
