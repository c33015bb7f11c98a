"""Arguments of the commands that run a process."""

import dataclasses
import enum
import pathlib
from typing import Annotated

import cappa

from hickoryweir.cli import processes
from hickoryweir.configuration import fields

DEFAULT_SEED_COUNT = 5


def _run_serve(command: "Serve") -> int:
    return processes.serve(command.settings)


@cappa.command(invoke=_run_serve, help="Run the daemon of one entry VM.")
@dataclasses.dataclass
class Serve:
    """Arguments of ``serve``."""

    settings: Annotated[pathlib.Path, cappa.Arg(help="Settings file.")]


def _run_forward(command: "Forward") -> int:
    return processes.forward(command.settings)


@cappa.command(
    invoke=_run_forward,
    help="Run a router or replica that forwards opaque requests by routes.",
)
@dataclasses.dataclass
class Forward:
    """Arguments of ``forward``."""

    settings: Annotated[pathlib.Path, cappa.Arg(help="Settings file.")]


class StandInKind(enum.StrEnum):
    """What a stand-in process simulates."""

    ENGINE = "engine"
    SERVICE = "service"
    PLATFORM = "platform"
    WEIGHTS = "weights"


def _run_stand_in(command: "StandIn") -> int:
    serves = fields.split(command.serves)
    return processes.stand_in(
        command.kind.value, command.name, serves, command.host, command.port
    )


@cappa.command(
    name="stand-in",
    invoke=_run_stand_in,
    help="Run a simulated engine, service, platform or weight store.",
)
@dataclasses.dataclass
class StandIn:
    """Arguments of ``stand-in``."""

    kind: Annotated[StandInKind, cappa.Arg(help="What it simulates.")]
    port: Annotated[int, cappa.Arg(long=True, help="TCP port.")]
    host: Annotated[str, cappa.Arg(long=True, help="IP address.")] = "127.0.0.1"
    name: Annotated[str, cappa.Arg(long=True, help="Its name.")] = "stand-in"
    serves: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Comma-separated models of an engine, or VMs of the platform.",
        ),
    ] = "assistant"


def _run_load(command: "Load") -> int:
    return processes.load(
        tuple(command.scenario), tuple(command.policy), command.seeds, command.json
    )


@cappa.command(invoke=_run_load, help="Compare policies in simulated time.")
@dataclasses.dataclass
class Load:
    """Arguments of ``load``."""

    scenario: Annotated[
        list[str], cappa.Arg(long=True, help="Scenario or INI file; default: all.")
    ] = dataclasses.field(default_factory=list)
    policy: Annotated[list[str], cappa.Arg(long=True, help="Policy; default: all.")] = (
        dataclasses.field(default_factory=list)
    )
    seeds: Annotated[int, cappa.Arg(long=True, help="Number of seeds.")] = (
        DEFAULT_SEED_COUNT
    )
    json: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="JSON file for all results.")
    ] = None
