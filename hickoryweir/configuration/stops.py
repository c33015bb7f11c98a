"""Planned stops: what a stop covers, and which targets would lose all servers."""

import configparser
import dataclasses
from collections.abc import Iterable

from hickoryweir.configuration import commands, model
from hickoryweir.streams import codec


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A running planned stop."""

    kind: commands.SubjectKind
    name: str
    operator: str
    change_id: str
    version: int
    since_s: float


codec.register("cfg.running-stop", Stop)


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """The fields of a backend server that decide whether a stop covers it."""

    name: str
    availability_zone: str
    provider: str
    serves: frozenset[str]


def read_servers(text: str) -> tuple[Server, ...]:
    """Return the backend servers in a canonical configuration text.

    The log's state machine uses this instead of the full parser, so that its
    replies don't depend on the validation rules of a program version.  The result
    is empty for a text that can't be parsed.
    """
    parser = configparser.RawConfigParser(delimiters=("=",), default_section="\n")
    try:
        parser.read_string(text)
        return _extract_servers(parser)
    except (configparser.Error, KeyError):
        return ()


def _extract_servers(parser: configparser.RawConfigParser) -> tuple[Server, ...]:
    return tuple(
        Server(
            name=title.partition(" ")[2],
            availability_zone=parser[title]["availability_zone"],
            provider=parser[title]["provider"],
            serves=frozenset(
                f"{parser[title]['target']} {part.strip()}"
                for part in parser[title]["serves"].split(",")
            ),
        )
        for title in parser.sections()
        if title.startswith("backend-server ")
    )


def covers_server(stop: Stop, server: Server | model.BackendServer) -> bool:
    """Return whether a stop takes a backend server out of use."""
    subject = {
        commands.SubjectKind.BACKEND_SERVER: server.name,
        commands.SubjectKind.AVAILABILITY_ZONE: server.availability_zone,
        commands.SubjectKind.PROVIDER: server.provider,
    }
    return subject.get(stop.kind) == stop.name


def covers_process(stop: Stop, name: str, availability_zone: str) -> bool:
    """Return whether a stop takes an entry VM's process out of use."""
    if stop.kind is commands.SubjectKind.ENTRY_VM:
        return stop.name == name
    if stop.kind is commands.SubjectKind.AVAILABILITY_ZONE:
        return stop.name == availability_zone
    return False


def leaving_servers(
    configuration: model.Configuration, running: Iterable[Stop]
) -> frozenset[str]:
    """Return the names of backend servers that running stops cover.

    Parameters
    ----------
    configuration : model.Configuration
        Configuration in force.
    running : iterable of Stop
        Running stops.

    Returns
    -------
    frozenset of str
        Backend servers that get no new requests.
    """
    running = tuple(running)
    return frozenset(
        server.name
        for server in configuration.backend_servers
        if any(covers_server(stop, server) for stop in running)
    )


def unserved_targets(
    servers: Iterable[Server], running: Iterable[Stop], added: Stop
) -> tuple[str, ...]:
    """Return the models and services that `added` leaves without a server."""
    running = tuple(running)
    before: set[str] = set()
    after: set[str] = set()
    for server in servers:
        if any(covers_server(stop, server) for stop in running):
            continue
        before |= server.serves
        if not covers_server(added, server):
            after |= server.serves
    return tuple(sorted(before - after))


def remaining_voters(
    voters: Iterable[commands.Voter], running: Iterable[Stop]
) -> tuple[commands.Voter, ...]:
    """Return the replicas that no stop covers."""
    running = tuple(running)
    return tuple(
        voter
        for voter in voters
        if not any(
            covers_process(stop, voter.name, voter.availability_zone)
            for stop in running
        )
    )


def subject_exists(
    kind: commands.SubjectKind,
    name: str,
    servers: Iterable[Server],
    voters: Iterable[commands.Voter] = (),
) -> bool:
    """Return whether a stop's subject exists; any entry VM name is accepted."""
    if kind is commands.SubjectKind.ENTRY_VM:
        return True
    probe = Stop(kind, name, "", "", 0, 0.0)
    if any(covers_server(probe, server) for server in servers):
        return True
    return any(covers_process(probe, v.name, v.availability_zone) for v in voters)
