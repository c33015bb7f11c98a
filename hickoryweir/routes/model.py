"""The routing table: routes, services, limits and client accounts.

A table is replaced as a whole by one with a higher version and never edited.
"""

import dataclasses
import enum


class Execution(enum.StrEnum):
    """How often a request may run.

    A stream that can be resumed may run again from the last event that was passed
    on; `AT_MOST_ONCE` covers plain calls and streams that can't.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    RESUMABLE_STREAM = "resumable_stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service with its share of a route's requests."""

    service_name: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What is done with the requests of one host and path prefix.

    Attributes
    ----------
    path_prefix : str
        Begins and ends with a slash.
    is_stream : bool
        Whether answers are event streams.
    timeout_s : float
        Longest time that a request is kept waiting for the end of its answer.
    target_latency_s : float
        Time to the whole answer, or to a stream's first event, that is aimed at.
    target_gap_s : float
        Longest pause between events that is aimed at; 0 for plain calls.
    priority : int
        0 is the most urgent.
    max_attempts_count : int
        Backend servers to which one request may be sent.
    allows_anonymous : bool
        Whether a request needs no key of a client account.
    has_prompt : bool
        Whether requests describe a prompt whose parts backend servers cache.
    """

    name: str
    host: str
    path_prefix: str
    execution: Execution
    is_stream: bool
    timeout_s: float
    target_latency_s: float
    target_gap_s: float
    priority: int
    destinations: tuple[Destination, ...]
    max_attempts_count: int
    allows_anonymous: bool
    has_prompt: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of like backend servers.

    Attributes
    ----------
    max_connections_count : int
        Connections that one backend server takes from all routers together.
    slots_count : int
        Requests that a model engine runs at once; 0 for a plain service.
    cache_tokens_count : int
        Tokens of running requests and cached prompt parts that an engine holds.
    """

    name: str
    health_path: str
    max_connections_count: int
    slots_count: int
    cache_tokens_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send, and how long it may take or stay idle."""

    max_header_size_bytes: int = 16 * 1024
    max_body_size_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its keys; its priority goes before the route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingTable:
    """Everything that routers need to know to serve requests."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    accounts: tuple[ClientAccount, ...]
