"""Settings of one process: its addresses, zone, roles, keys and limits.

Settings are read from an INI file once, at start.  Values that all processes
share belong to the configuration (:mod:`hickoryweir.configuration.model`).
"""

import dataclasses
import enum
import pathlib
from typing import Annotated

import pydantic
from returns import result

from hickoryweir.configuration import fields, inifile, problems

SettingsError = problems.InvalidInput


class Role(enum.StrEnum):
    """Role of a process."""

    ROUTER = "router"
    REPLICA = "replica"


class Permission(enum.StrEnum):
    """Permission of an operator's key."""

    READ = "read"
    SUBMIT = "submit"
    STOP = "stop"


class LogLevel(enum.StrEnum):
    """Lowest severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


Roles = Annotated[
    tuple[Role, ...],
    pydantic.BeforeValidator(fields.split),
    pydantic.Field(min_length=1, description="router, or router and replica"),
]
Permissions = Annotated[
    tuple[Permission, ...],
    pydantic.BeforeValidator(fields.split),
    pydantic.Field(min_length=1, description="some of read, submit, stop"),
]
Level = Annotated[LogLevel, pydantic.Field(description="debug, info, warning or error")]


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """Identity and roles of this process.

    Processes connect only to processes with the same ``cluster_id``.
    """

    name: fields.Name
    availability_zone: fields.Name
    cluster_id: fields.Name
    roles: Roles


@dataclasses.dataclass(frozen=True, slots=True)
class Callers:
    """The callers' port and its limits."""

    host: fields.Host
    port: fields.Port
    plain_text: fields.Flag = False
    certificate_file: fields.File | None = None
    key_file: fields.File | None = None
    max_body_size_bytes: fields.Count = 4_194_304
    max_header_size_bytes: fields.Count = 16_384
    max_connections: fields.Count = 2_000
    body_timeout_s: fields.Seconds = 10.0
    write_timeout_s: fields.Seconds = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Operators:
    """The operators' port."""

    host: fields.Host
    port: fields.Port
    plain_text: fields.Flag = False
    certificate_file: fields.File | None = None
    key_file: fields.File | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """An operator with the digests of its keys and its permissions."""

    name: fields.Name
    key_sha256: fields.Digests
    permissions: Permissions


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """The port for connections from other processes of the system."""

    host: fields.Host
    port: fields.Port
    plain_text: fields.Flag = False
    certificate_file: fields.File | None = None
    key_file: fields.File | None = None
    authority_file: fields.File | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another process of the system."""

    name: fields.Name
    host: fields.Host
    port: fields.Port
    availability_zone: fields.Name
    roles: Roles


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """The replica's data folder.

    ``bootstrap`` allows an empty data folder to start a new cluster.
    """

    data_folder: fields.File | None = None
    bootstrap: fields.Flag = False


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The platform's list of live and leaving VMs; an empty URL means no list."""

    url: fields.OptionalUrl = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """The weight store; an empty URL means no store."""

    url: fields.OptionalUrl = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Logging:
    """Settings of the log."""

    level: Level = LogLevel.INFO


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Time limits of a graceful shutdown.

    ``balancer_lag_s`` is how long the balancer may still send new calls.
    """

    balancer_lag_s: fields.SecondsOrZero = 5.0
    limit_s: fields.Seconds = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one process."""

    file: pathlib.Path
    process: Process
    callers: Callers
    operators: Operators
    operator_keys: tuple[Operator, ...]
    peers: Peers
    other_processes: tuple[Peer, ...]
    replica: Replica
    platform: Platform
    weights: Weights
    logging: Logging
    drain: Drain


LAYOUT = inifile.Layout(
    single={
        "process": inifile.make_schema(Process),
        "callers": inifile.make_schema(Callers),
        "operators": inifile.make_schema(Operators),
        "peers": inifile.make_schema(Peers),
        "replica": inifile.make_schema(Replica),
        "platform": inifile.make_schema(Platform),
        "weights": inifile.make_schema(Weights),
        "logging": inifile.make_schema(Logging),
        "drain": inifile.make_schema(Drain),
    },
    named={
        "operator": inifile.make_schema(Operator),
        "peer": inifile.make_schema(Peer),
    },
)


def load(path: pathlib.Path | str) -> result.Result[Settings, SettingsError]:
    """Return the settings in a file, or every problem in it.

    Parameters
    ----------
    path : path
        The INI file; relative paths in it start from its folder.

    Returns
    -------
    Result of Settings or SettingsError
        Unknown sections and keys are problems too.
    """
    path = pathlib.Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = problems.Problem(str(path), "", "", str(error), "a readable file")
        return result.Failure(SettingsError((problem,)))
    return parse(text, path)


def parse(text: str, path: pathlib.Path) -> result.Result[Settings, SettingsError]:
    """Return the settings in a text, or every problem in it."""
    return inifile.load(text, str(path), LAYOUT).bind(
        lambda content: _assemble(content, path)
    )


def _assemble(content, path):
    values = Settings(
        file=path,
        operator_keys=content.named["operator"],
        other_processes=content.named["peer"],
        **content.single,
    )
    found = (*_check_replica(values), *_check_names(values), *_check_tls(values))
    if found:
        return result.Failure(SettingsError(found))
    return result.Success(values)


def _check_replica(values: Settings) -> tuple[problems.Problem, ...]:
    if Role.REPLICA not in values.process.roles or values.replica.data_folder:
        return ()
    return (
        problems.Problem(
            str(values.file),
            "replica",
            "data_folder",
            "missing key for a process with role replica",
            "a folder on a separate disk",
        ),
    )


def _check_names(values: Settings) -> tuple[problems.Problem, ...]:
    if values.process.name not in {peer.name for peer in values.other_processes}:
        return ()
    return (
        problems.Problem(
            str(values.file),
            f"peer {values.process.name}",
            "",
            "this process is listed as its own peer",
            "only the other processes",
        ),
    )


def _check_tls(values: Settings) -> tuple[problems.Problem, ...]:
    ports = {
        "callers": (values.callers, ("certificate_file", "key_file")),
        "operators": (values.operators, ("certificate_file", "key_file")),
        "peers": (values.peers, ("certificate_file", "key_file", "authority_file")),
    }
    return tuple(
        problems.Problem(
            str(values.file), title, key, "missing key", "a file, or plain_text = yes"
        )
        for title, (section, keys) in ports.items()
        if not section.plain_text
        for key in keys
        if getattr(section, key) is None
    )
