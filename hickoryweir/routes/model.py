"""The routing table: routes, services, limits and client accounts.

A table is replaced as a whole by one with a higher version and never edited.
"""

import dataclasses
import enum


class Execution(enum.StrEnum):
    """Whether a request may run more than once.

    A resumable stream may run again after the last event that was forwarded.
    `AT_MOST_ONCE` applies to plain calls and to streams that can't be resumed.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    RESUMABLE_STREAM = "resumable_stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service with its weight among a route's services."""

    service_name: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests for one host and path prefix are handled.

    Attributes
    ----------
    path_prefix : str
        Begins and ends with a slash.
    is_stream : bool
        Whether responses are event streams.
    timeout_s : float
        Longest time until the end of the response.
    target_latency_s : float
        Target time to the complete response, or to a stream's first event.
    target_gap_s : float
        Target for the longest pause between events; 0 for plain calls.
    priority : int
        0 is the most urgent.
    max_attempts_count : int
        Number of backend servers to which one request may be sent.
    allows_anonymous : bool
        Whether requests without a client account's key are accepted.
    has_prompt : bool
        Whether requests describe a prompt, whose parts backend servers cache.
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
class Scaling:
    """Bounds and prices of the number of a service's servers.

    Attributes
    ----------
    min_count, max_count : int
        Servers of both kinds together, in each availability zone.
    boot_s : float
        Time until a new server serves.
    spot_price : float or None
        Price of a server that may be reclaimed, as a share of the other kind's; None if
        there are none.
    zone_prices : tuple of (str, float)
        Price of a server for a second, by availability zone.
    """

    min_count: int
    max_count: int
    boot_s: float
    spot_price: float | None
    zone_prices: tuple[tuple[str, float], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable backend servers.

    Attributes
    ----------
    max_connections_count : int
        Connections that one backend server accepts from all routers together.
    slots_count : int
        Requests that a model engine runs at once; 0 for a plain service.
    cache_tokens_count : int
        Capacity of an engine for tokens of running requests and cached prompt parts.
    tokens_per_event_count : int
        Tokens in one event of an engine's streams; 0 if unknown.
    scaling : Scaling or None
        Bounds within which servers may be ordered; None if their number is fixed.
    """

    name: str
    health_path: str
    max_connections_count: int
    slots_count: int
    cache_tokens_count: int
    tokens_per_event_count: int = 0
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of requests, and timeouts of client connections."""

    max_header_size_bytes: int = 16 * 1024
    max_body_size_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its keys; its priority overrides the route's.

    Attributes
    ----------
    weight : float
        Its share of the capacity while that is short, relative to other accounts.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingTable:
    """The complete configuration of the routers' forwarding.

    Attributes
    ----------
    checks_keys : bool
        Whether requests need a key though there is no account, since the table has a
        list of accounts that is empty.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    accounts: tuple[ClientAccount, ...]
    checks_keys: bool = False
