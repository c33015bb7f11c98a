"""Scenarios in INI files: demand, bursts and faults on one deployment.

Sections are ``[scenario]``, ``[burst:NAME]`` and ``[fault:NAME]``.

Examples
--------
>>> "morning_burst" in packaged_names()
True
>>> load_packaged("morning_burst").deployment
'kitamori'
"""

import configparser
import enum
import importlib.resources
import pathlib

import pydantic


class FaultKind(enum.StrEnum):
    """Kind of an injected fault or planned stop."""

    STRAGGLER = "straggler"
    CRASH = "crash"
    ZONE_CUT = "zone_cut"
    POISON = "poison"
    PLANNED_STOP = "planned_stop"


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Burst(_Model):
    """Interval in which the demand of some classes is multiplied."""

    classes: tuple[str, ...]
    start_s: float
    end_s: float
    factor: float


class Fault(_Model):
    """A fault of backend servers or a zone's links, or a poison request."""

    kind: FaultKind
    at_s: float
    for_s: float = 0.0
    servers: tuple[str, ...] = ()
    zone: str = ""
    speed_factor: float = 0.2
    class_name: str = ""
    resends: int = 3


class Scenario(_Model):
    """Demand, bursts and faults on one deployment."""

    name: str
    deployment: str
    duration_s: float = 90.0
    routers: int = 6
    demand_factor: float = 1.0
    report_lag_s: float = 1.0
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = ()


_LIST_KEYS = frozenset({"classes", "servers"})


def parse(text: str) -> Scenario:
    """Return the scenario that an INI text describes.

    Raises
    ------
    pydantic.ValidationError
        If a value is wrong or a field is unknown.
    """
    parser = configparser.ConfigParser()
    parser.read_string(text)
    values: dict = dict(parser["scenario"])
    for kind in ("burst", "fault"):
        values[kind + "s"] = tuple(
            _parse_section(parser[name])
            for name in parser.sections()
            if name.startswith(kind + ":")
        )
    return Scenario.model_validate(values)


def _parse_section(section: configparser.SectionProxy) -> dict:
    return {
        key: tuple(value.replace(",", " ").split()) if key in _LIST_KEYS else value
        for key, value in section.items()
    }


def packaged_names() -> list[str]:
    """Return the names of the packaged scenarios."""
    folder = importlib.resources.files(__package__) / "scenarios"
    return sorted(
        pathlib.PurePath(item.name).stem
        for item in folder.iterdir()
        if item.name.endswith(".ini")
    )


def load_packaged(name: str) -> Scenario:
    """Return a packaged scenario by its name."""
    folder = importlib.resources.files(__package__) / "scenarios"
    return parse((folder / f"{name}.ini").read_text())


def load(name_or_path: str) -> Scenario:
    """Return a scenario from a file, or a packaged one by its name."""
    path = pathlib.Path(name_or_path)
    if path.suffix == ".ini":
        return parse(path.read_text())
    return load_packaged(name_or_path)
