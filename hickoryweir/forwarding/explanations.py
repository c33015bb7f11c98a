"""What a router says about where a request would go, see :mod:`.explaining`.

An explanation is sent as JSON; times that are unlimited or unknown are null.
"""

import dataclasses
import enum


class Verdict(enum.StrEnum):
    """What would become of the request."""

    SENT = "sent"
    RELAYED = "relayed"
    WAITS = "waits"
    REFUSED = "refused"


class LeftOut(enum.StrEnum):
    """Why a server is not considered."""

    NOT_READY = "not ready"
    OTHER_INCARNATION = "another incarnation responded"
    LEAVING = "leaving"
    PAUSED = "paused"
    RETURNING = "returning after a pause"
    LIMITED = "limited"
    LIMIT_YIELDED = "limited, left to more urgent requests"
    NO_SLOT = "no slot"
    OTHER_VERSION = "left for the software version"
    TRIED = "tried"
    UNREACHABLE = "unreachable"
    SUSPECT = "suspect"
    OUTLIER = "fails more often than others"
    NO_ROOM = "no room in memory"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The route of the request, with the services that it may go to."""

    name: str
    host: str
    path_prefix: str
    priority: int
    target_latency_s: float
    timeout_s: float
    services: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether the request would be admitted.

    Attributes
    ----------
    reason : str
        Reason in the refusal; empty unless it would be refused.
    retry_after_s : float or None
        Value of ``Retry-After`` in the refusal.
    predicted_wait_s, limit_s : float or None
        Predicted wait of a prompt at the chosen server, and the longest at which it is
        admitted.
    detail : str
        Further explanation, such as the router that would relay the request.
    """

    verdict: Verdict
    reason: str = ""
    retry_after_s: float | None = None
    predicted_wait_s: float | None = None
    limit_s: float | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Whether the request is within its account's share, see :class:`.ShareVerdict`."""

    account: str
    position: float
    factor: float
    share: float | None
    demand: float
    age_s: float
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A server that is considered.

    Attributes
    ----------
    cost_s : float or None
        Cost by which servers are compared; None for requests without prompt parts,
        which go to the server with the fewest requests, and for servers that are not
        compared because others come first for the prompt.
    announced_age_s : float or None
        Age of the slowness that the server announced to this router; None if it has
        announced none.
    """

    server_id: str
    availability_zone: str
    is_chosen: bool
    cost_s: float | None
    slowness: float
    requests_count: int
    slots_count: int
    is_full: bool
    backlog_tokens_count: int
    cached_tokens_count: int
    announced_age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class LeftOutServer:
    """A server that is not considered, and why."""

    server_id: str
    availability_zone: str
    reason: LeftOut
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Ages:
    """Ages of the inputs; None for what has not been received.

    Attributes
    ----------
    list_s : float or None
        Age of the list of servers.
    loads_s, memory_s : float or None
        Ages of the other routers' summed loads and memory, of the server of which they
        are oldest.
    """

    list_s: float | None
    loads_s: float | None
    memory_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go now, and why."""

    table_version: int
    route: Route
    service_name: str
    urgency: int
    admission: Admission
    share: Share | None
    servers: tuple[Server, ...]
    left_out: tuple[LeftOutServer, ...]
    ages: Ages
    chosen_server_id: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Why a question has no answer."""

    error: str
