"""Settings of a router or replica process: checked INI sections."""

import dataclasses
import enum
import pathlib
from typing import Annotated

import pydantic
from returns import result

from hickoryweir.configuration import fields, inifile, problems
from hickoryweir.replicas import wire


class Role(enum.StrEnum):
    """What the process does."""

    ROUTER = "router"
    REPLICA = "replica"


def _check_address(value: str) -> str:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdecimal():
        raise ValueError(f"is {value!r}")
    return value


Address = Annotated[
    str,
    pydantic.AfterValidator(_check_address),
    pydantic.Field(description="an IP number and a port, such as 10.0.1.4:8000"),
]
Addresses = Annotated[
    tuple[Address, ...],
    pydantic.BeforeValidator(fields.split),
    pydantic.Field(description="addresses separated by commas"),
]
OptionalText = Annotated[str, pydantic.Field(description="text, or nothing")]


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """Who this process is.

    Attributes
    ----------
    host : str
        Own IP number, which is also its name towards the other processes.
    peer_port : int
        Port between the system's processes, the same on all VMs.
    seeds : tuple of str
        Addresses whose hosts run replicas.
    """

    role: Role
    host: fields.Host
    availability_zone: OptionalText
    peer_port: fields.Port
    seeds: Addresses = ()
    metrics_port: fields.Port = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Addresses to listen on; empty ones are not served."""

    clients: OptionalText = ""
    readiness: OptionalText = ""
    operators: OptionalText = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """The replicated log on this VM.

    Attributes
    ----------
    data_folder : str
        Where it keeps its state.
    bootstrap : bool
        Whether an empty folder may found the log with the seeds.
    tolerated_losses_count : int
        Replicas that may be lost at once.
    detects_copies : bool
        Whether a folder that was copied is refused, by the inode number of a file;
        off where the disk renumbers files.
    """

    data_folder: OptionalText = ""
    bootstrap: fields.Flag = False
    tolerated_losses_count: fields.Count = 1
    detects_copies: fields.Flag = True


@dataclasses.dataclass(frozen=True, slots=True)
class Discovery:
    """Where the list of backend servers is, and how often all may read it."""

    address: OptionalText = ""
    rate_per_s: fields.Rate = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Retries:
    """Bound of second sends, for all routers together."""

    ratio: fields.RateOrZero = 0.2
    window_s: fields.Seconds = 10.0
    extra_count: fields.CountOrZero = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Shutdown:
    """How long open requests may go on after a signal to stop."""

    grace_s: fields.Seconds = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """All settings of one process."""

    process: Process
    ports: Ports
    replica: Replica
    discovery: Discovery
    retries: Retries
    shutdown: Shutdown


SECTIONS = {
    "process": Process,
    "ports": Ports,
    "replica": Replica,
    "discovery": Discovery,
    "retries": Retries,
    "shutdown": Shutdown,
}
LAYOUT = inifile.Layout(
    {title: inifile.make_schema(cls) for title, cls in SECTIONS.items()}, {}
)


def load(path: pathlib.Path) -> result.Result[EntrySettings, problems.InvalidInput]:
    """Return the checked settings in a file, or every problem in it."""
    try:
        text = path.read_text()
    except OSError as error:
        problem = problems.Problem(str(path), "", "", str(error), "a readable file")
        return result.Failure(problems.InvalidInput((problem,)))
    return parse(text, str(path))


def parse(text: str, file: str) -> result.Result[EntrySettings, problems.InvalidInput]:
    """Return the checked settings in a text.

    Examples
    --------
    >>> parse("[process]", "a.ini").failure().problems[0].message
    'missing key'
    """
    return inifile.load(text, file, LAYOUT).map(
        lambda content: EntrySettings(**content.single)
    )


def seed_replicas(entry_settings: EntrySettings) -> tuple[wire.ReplicaAddress, ...]:
    """Return where the seeds' replicas listen, sorted by name."""
    hosts = sorted({seed.rpartition(":")[0] for seed in entry_settings.process.seeds})
    port = entry_settings.process.peer_port
    return tuple(wire.ReplicaAddress(host, host, port, "") for host in hosts)
