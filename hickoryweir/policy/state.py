"""Mutable state of a policy core: calls, attempts, backend servers, classes.

Only the functions of this package change these; the daemon owns one
:class:`Core` per router and passes it to :func:`hickoryweir.policy.core.handle`.
"""

import collections
import dataclasses
import random

from hickoryweir.configuration import model
from hickoryweir.outcomes import refusals
from hickoryweir.policy import events, lengths, settings


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a call at a backend server."""

    number: int
    server: str
    started_s: float
    priority: int
    hedge: bool = False
    tokens: int = 0
    first_token_s: float | None = None
    last_token_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """A call between its arrival and its final answer or refusal."""

    arrived: events.Arrived
    request_class: model.RequestClass
    arrived_s: float
    cost: float
    start_tag: float = 0.0
    queued: bool = False
    ran: refusals.Ran = refusals.Ran.NO
    resume_tokens: int = 0
    next_attempt: int = 1
    late: bool = False
    earliest_dispatch_s: float = 0.0
    retries: int = 0
    hedged: bool = False
    provider: str | None = None
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    avoided_servers: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Speed:
    """How fast a backend server is, and whether it is ejected for it."""

    between_tokens_s: float | None = None
    samples: int = 0
    slow_since_s: float | None = None
    ejected: bool = False
    probing: bool = False
    ejected_until_s: float = 0.0
    ejections: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Server:
    """What the core knows of one backend server."""

    backend: model.BackendServer
    state: events.ServerState = events.ServerState.LIVE
    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    top_calls: int = 0
    suspects: set[str] = dataclasses.field(default_factory=set)
    in_flight_history: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=64)
    )
    others_in_flight: float = 0.0
    others_measured_at_s: float = float("-inf")
    peers_running: int = 0
    peers_top: int = 0
    peers_suspects: int = 0
    peers_ejected: int = 0
    last_heard_s: float = 0.0
    last_report_s: float = 0.0
    report_interval_s: float = 0.0
    peers_updated_at_s: float = float("-inf")
    report: events.LoadReported | None = None
    down_until_s: float = 0.0
    failures_in_row: int = 0
    suspects_at_crash_count: int = 0
    last_progress_s: float = 0.0
    speed: Speed = dataclasses.field(default_factory=lambda: Speed())
    prefixes: collections.OrderedDict[int, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    cache_sequence: int | None = None


@dataclasses.dataclass(slots=True)
class ClassQueue:
    """Calls of one class that wait at this router."""

    request_class: model.RequestClass
    lengths: lengths.Lengths
    heap: list[tuple[float, int, str]] = dataclasses.field(default_factory=list)
    late_request_ids: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )
    length: int = 0
    cost: float = 0.0
    late_cost: float = 0.0
    virtual_time: float = 0.0
    finish_tags: dict[str, float] = dataclasses.field(default_factory=dict)
    credit: float = 0.0
    slot_cost_per_s: float = 0.0
    served_cost_per_s: float = 0.0
    served_updated_s: float = 0.0


@dataclasses.dataclass(slots=True)
class AccountUse:
    """Limits in use for one account."""

    account: model.Account
    calls: int = 0
    call_bucket: float = 0.0
    token_bucket: float = 0.0
    refilled_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Pool:
    """Backend servers that answer one model or service, and its classes by tier."""

    target: model.Target
    name: str
    class_names: tuple[str, ...] = ()
    members: tuple[str, ...] = ()
    subset: tuple[str, ...] = ()
    near: tuple[Server, ...] = ()
    far: tuple[Server, ...] = ()
    last_freed: Server | None = None
    last_heard_s: float = float("-inf")
    slot_cost_per_s: float = 1.0
    first_token_s: float = 0.2
    suspects: list[Call] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts of decisions since the core was made."""

    arrivals: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    refusals: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    retries: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    wasted_tokens: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    completions: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    output_tokens: int = 0
    dispatches: int = 0
    hedges: int = 0
    migrations: int = 0
    resumes: int = 0
    spills: int = 0
    affinity_hits: int = 0
    ejections: int = 0
    quarantines: int = 0


@dataclasses.dataclass(slots=True)
class Suspect:
    """A fingerprint that was in flight when a backend server crashed."""

    crashes: int
    seen_s: float
    tokens: int = 0


@dataclasses.dataclass(slots=True)
class Peer:
    """The last digest of another router."""

    digest: events.PeerDigestReceived
    received_s: float


@dataclasses.dataclass(slots=True)
class Attainment:
    """Share of a class's calls at one provider that met their targets."""

    value: float = 1.0
    samples: int = 0
    share_factor: float = 1.0
    changed_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Core:
    """The whole state of one router's policy."""

    settings: settings.CoreSettings
    configuration: model.Configuration
    version: int
    random: random.Random
    classes: dict[str, model.RequestClass] = dataclasses.field(default_factory=dict)
    queues: dict[str, ClassQueue] = dataclasses.field(default_factory=dict)
    pools: dict[tuple[model.Target, str], Pool] = dataclasses.field(
        default_factory=dict
    )
    servers: dict[str, Server] = dataclasses.field(default_factory=dict)
    accounts: dict[str, AccountUse] = dataclasses.field(default_factory=dict)
    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    deadlines: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    sequence: int = 0
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    peer_suspects: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    peer_placed: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    quarantined: dict[str, float] = dataclasses.field(default_factory=dict)
    running: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    prefix_servers: dict[int, Server] = dataclasses.field(default_factory=dict)
    retry_credit: float = 20.0
    hedge_credit: float = 3.0
    attainment: dict[tuple[str, str], Attainment] = dataclasses.field(
        default_factory=dict
    )
    counters: Counters = dataclasses.field(default_factory=Counters)


def pool_of(core: Core, request_class: model.RequestClass) -> Pool:
    """Return the pool that answers a class."""
    return core.pools[(request_class.target, request_class.target_name)]
