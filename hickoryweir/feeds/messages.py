"""Messages between a replica and the routers that follow it."""

import dataclasses

from hickoryweir.discovery import listing
from hickoryweir.replicas import wire
from hickoryweir.streams import codec


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a replica knows now.

    Attributes
    ----------
    table_version : int
        Version of the newest table that it has applied.
    has_leader : bool
        Whether it leads or hears a leader.
    routers_count : int
        Routers that follow it.
    list_id : int
        Number of the list of servers that it sent last; 0 if it reads none.
    list_age_s : float
        Seconds since that list was read, also if the reading brought nothing new.
    replicas : tuple of ReplicaAddress
        The members of the replicated log.
    """

    table_version: int
    has_leader: bool
    routers_count: int
    list_id: int
    list_age_s: float
    replicas: tuple[wire.ReplicaAddress, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TableRequest:
    """Asks a replica for the table that it has applied."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableContent:
    """The table that a replica has applied, compressed."""

    version: int
    compressed: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ServerListUpdate:
    """The list of servers, sent when it has changed and to each new follower."""

    list_id: int
    age_s: float
    servers: tuple[listing.BackendServer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestsLost:
    """Fingerprints of requests that were lost on a server; passed to all routers."""

    server_id: str
    fingerprints: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """What routers have at a backend server, and how it answered lately.

    Attributes
    ----------
    backlog_tokens_count : int
        Prompt tokens that it has still to read.
    answers_count, failures_count : int
        Answers of the last seconds, and failures among them, in tenths.
    """

    server_id: str
    requests_count: int
    backlog_tokens_count: int
    answers_count: int = 0
    failures_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerParts:
    """Shared prompt parts that a backend server was given to read."""

    server_id: str
    part_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RouterLoads:
    """What one router has at the servers; those without any are left out.

    Attributes
    ----------
    parts : tuple of ServerParts
        News since the last message, not the whole.
    """

    loads: tuple[ServerLoad, ...]
    parts: tuple[ServerParts, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TotalLoads:
    """What all routers together have at the servers, and their news of parts."""

    loads: tuple[ServerLoad, ...]
    parts: tuple[ServerParts, ...] = ()


for _tag, _cls in (
    ("fd.server_parts", ServerParts),
    ("fd.own_loads", RouterLoads),
    ("fd.all_loads", TotalLoads),
    ("fd.lost", RequestsLost),
    ("fd.beat", Heartbeat),
    ("fd.table_request", TableRequest),
    ("fd.table", TableContent),
    ("fd.servers", ServerListUpdate),
):
    codec.register(_tag, _cls)
