"""Mutable state of a policy core: calls, attempts, backend servers, classes.

Only functions of this package modify the state.  The daemon owns one :class:`Core`
per router and passes it to :func:`hickoryweir.policy.core.handle`.
"""

import collections
import dataclasses
import random

from hickoryweir.configuration import model
from hickoryweir.forwarding_policy import (
    rejection_limits,
    server_limits,
    server_notices,
)
from hickoryweir.outcomes import refusals
from hickoryweir.policy import crashing_prefixes, events, lengths, settings


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a call at a backend server.

    Attributes
    ----------
    tokens : int
        Output tokens of this attempt alone.
    """

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
    """A call between its arrival and its final answer or refusal.

    Attributes
    ----------
    cost : float
        Expected cost in output tokens, 1 for services.
    start_tag : float
        Start tag of start-time fair queueing.
    resume_tokens : int
        Output tokens of ended attempts, after which the next attempt continues.
    late : bool
        Whether the call is in its class's late queue.
    earliest_dispatch_s : float
        Time before which an isolated suspect is not dispatched.
    avoided_servers : set of str
        Backend servers at which an attempt failed.
    """

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
    """Measured speed of a backend server, and its ejection for slowness."""

    between_tokens_s: float | None = None
    samples: int = 0
    slow_since_s: float | None = None
    ejected: bool = False
    probing: bool = False
    ejected_until_s: float = 0.0
    ejections: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Server:
    """State of one backend server as known to the core.

    Attributes
    ----------
    top_calls : int
        Own calls that run with the top tier's priority.
    in_flight_history : deque of (float, int)
        Times with the number of own calls in flight from then on.
    others_in_flight, others_measured_at_s : float
        Calls of other routers by the last load report, and when it was measured.
    peers_running, peers_top, peers_suspects, peers_ejected : int
        Sums over the digests of the other routers.
    suspects_at_crash_count : int
        Isolated suspects of all routers on the server at its last crash.
    prefixes : OrderedDict
        Digests of the cached prefixes, least recently stored first.
    notices : server_notices.Notices
        What the server says of itself.
    grants : server_limits.Grants
        Calls that may be sent to it while it names a limit.
    rejection_limit : rejection_limits.RejectionLimit or None
        How many rejections a second it bears; None if it names no number.
    room : rejection_limits.Room
        What its rejections show of its room.
    """

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
    notices: server_notices.Notices = server_notices.NO_NOTICES
    grants: server_limits.Grants = dataclasses.field(
        default_factory=server_limits.Grants
    )
    rejection_limit: rejection_limits.RejectionLimit | None = None
    room: rejection_limits.Room = dataclasses.field(
        default_factory=rejection_limits.Room
    )


@dataclasses.dataclass(slots=True)
class ClassQueue:
    """Queue of one class at this router.

    Attributes
    ----------
    heap : list of (float, int, str)
        Start tag, sequence number and request id of calls that are not late.
    late_request_ids : deque of str
        Calls that can't meet their first-token target any more.
    cost, late_cost : float
        Cost of all queued calls, and of the late ones among them.
    virtual_time : float
        Virtual time of start-time fair queueing.
    finish_tags : dict
        Last finish tag of each account.
    credit : float
        Floor credit, in cost.
    slot_cost_per_s : float
        Service rate of one call, or 0 before the first answer.
    served_cost_per_s : float
        Moving average of the dispatched cost, as of ``served_updated_s``.
    """

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
    """Use of an account's limits."""

    account: model.Account
    calls: int = 0
    call_bucket: float = 0.0
    token_bucket: float = 0.0
    refilled_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Pool:
    """Backend servers of one model or service, and its classes by tier.

    Attributes
    ----------
    members : tuple of str
        All backend servers of the pool.
    subset : tuple of str
        Backend servers that this router uses.
    near, far : tuple of Server
        Servers of the subset in the router's availability zone, and in others.
    last_freed : Server or None
        Server at which an attempt ended last.
    slot_cost_per_s : float
        Service rate of one call.
    first_token_s : float
        Moving average of the time to the first token.
    suspects : list of Call
        Queued calls that need a server without other suspects.
    """

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
    """Counts of decisions since the core was created."""

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
    """Share of a class's calls at one provider that met their targets.

    ``share_factor`` reduces the provider's share of the class.
    """

    value: float = 1.0
    samples: int = 0
    share_factor: float = 1.0
    changed_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Core:
    """The complete policy state of one router.

    Attributes
    ----------
    deadlines : list of (float, str)
        Heap of deadlines with request ids.
    noticed : set of str
        Backend servers that have said something of themselves.
    peer_suspects, peer_placed : Counter
        Number of peers that report a fingerprint as suspect, or as running.
    running : Counter
        Own running attempts by fingerprint.
    prefix_servers : dict
        Server to which each prefix was last sent.
    retry_credit, hedge_credit : float
        Remaining retries and hedges.
    """

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
    noticed: set[str] = dataclasses.field(default_factory=set)
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
    prefixes: crashing_prefixes.Prefixes = dataclasses.field(
        default_factory=crashing_prefixes.Prefixes
    )
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
    """Return the pool that serves a class."""
    return core.pools[(request_class.target, request_class.target_name)]
