"""State of a router's forwarding, and of one request in progress."""

import asyncio
import dataclasses
import math
import random
import time
from collections.abc import Awaitable, Callable, Mapping

import aiohttp
import multidict
from aiohttp import web

from hickoryweir import clocks
from hickoryweir.feeds import messages
from hickoryweir.forwarding import (
    header_codec,
    pauses,
    relay_messages,
    relay_pool,
    request_starts,
    server_pool,
    sockets,
    speed_state,
)
from hickoryweir.forwarding_policy import (
    account_shares,
    crash_counts,
    crashing_parts,
    held_bytes,
    prefill_interference,
    prompt_admission,
    prompt_placement,
    rejection_limits,
    retry_budget,
    router_capacity,
    router_shares,
    server_limits,
    server_room,
    stream_pacing,
    stream_versions,
)
from hickoryweir.observability import forwarding_metrics, latencies
from hickoryweir.routes import matching, model

# Clients choose the ids and the number of parts.
MAX_LOGGED_ID_LENGTH = 32
MAX_LOGGED_PARTS_COUNT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the forwarder.

    Attributes
    ----------
    availability_zone : str
        Zone of this router.
    long_prompt_share : float
        See :func:`.prompt_placement.choose_for_prompt`.
    shares_capacity : bool
        Whether client accounts get shares while capacity is short.
    bounds_memory : bool
        Whether requests of all routers keep within the memory of each server.
    """

    availability_zone: str
    budget: retry_budget.Settings
    long_prompt_share: float = 0.8
    shares_capacity: bool = False
    bounds_memory: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SharesInForce:
    """Shares at one service, with when and from whose counts they were computed."""

    shares: account_shares.Shares
    computed_s: float
    counted_at_s: float
    source: str


@dataclasses.dataclass(slots=True)
class Sharing:
    """What is known of the work of client accounts.

    Attributes
    ----------
    ledgers : dict
        This router's counts, by service.
    sums : dict
        Sums over all routers, by service.
    shares : dict
        The shares in force, by service.
    corrections : dict
        The last corrections of shares, with when they were computed, by service.
    metric_accounts : set of str
        Accounts that the metrics name, the first ones that offered work.
    """

    ledgers: dict[str, account_shares.Ledger] = dataclasses.field(default_factory=dict)
    sums: dict[str, account_shares.Sum] = dataclasses.field(default_factory=dict)
    shares: dict[str, SharesInForce] = dataclasses.field(default_factory=dict)
    corrections: dict[str, tuple[Mapping[str, float], float]] = dataclasses.field(
        default_factory=dict
    )
    metric_accounts: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class ShareVerdict:
    """Whether a request is within its account's share.

    Attributes
    ----------
    position : float
        Below 1 if the request is within the share.
    factor : float
        Share of the bound on the wait that it may use.
    share, demand : float
        Work that the account is due and that it offers, in tokens/s.
    age_s : float
        Age of the counts.
    source : str
        ``all routers``, ``own counts`` or ``old sum``; empty where nothing is short.
    """

    account: str
    position: float = 0.0
    factor: float = 1.0
    share: float = float("inf")
    demand: float = 0.0
    age_s: float = 0.0
    source: str = ""


@dataclasses.dataclass(slots=True)
class ServiceCounts:
    """Requests for a service since the process started, see :mod:`.service_demand`."""

    admitted_count: int = 0
    admitted_tokens_count: int = 0
    refused_count: int = 0
    refused_tokens_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UncheckedLoss:
    """A lost request whose server is being checked."""

    service_name: str
    fingerprint: int
    loss: crash_counts.Loss


@dataclasses.dataclass(slots=True)
class LossChecks:
    """Checks whether servers survived losses.

    Attributes
    ----------
    pending : dict
        Losses still to be decided, by the id of the server.
    tasks : set
        The checks that are running.
    decided : asyncio.Event
        Set, and replaced, with each decision.
    """

    pending: dict[str, list[UncheckedLoss]] = dataclasses.field(default_factory=dict)
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)
    decided: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event, compare=False
    )


@dataclasses.dataclass(slots=True)
class Forwarder:
    """State that all requests of a router share.

    Attributes
    ----------
    retryable_session, at_most_once_session : aiohttp.ClientSession
        Sessions for requests that may be retried and for those that may not.
    route_index : matching.RouteIndex or None
        Index of the table in force; None before the first table.
    pool : server_pool.Pool
        The backend servers.
    list_read_at_s : float
        When the list of servers was read, on :func:`clocks.boottime_s`.
    routers_count : int
        Routers that share the retry budget.
    is_draining : bool
        Whether the process is about to stop.
    stop_began_s, port_closed_s, stops_at_s : float or None
        While it stops, when the stop began, when its ports were closed, and when the
        last responses end, on :func:`clocks.boottime_s`.
    stop_time_s : float
        For how long open requests go on once the process has been told to stop.
    open_requests : dict
        The open request of each client connection that has one, as
        :class:`.open_requests.OpenRequest`.
    started : asyncio.Event
        Set once there are a table and a list of servers.
    budgets : dict
        Retry budgets by service.
    metrics : forwarding_metrics.ForwardingMetrics
        Metrics of this process.
    wait_bounds : dict
        Bounds on the wait of prompts, by service, for the table in force.
    sensitive_routes : dict
        Routes whose streams a long prefill makes late, by service, for the table in
        force.
    quiet_sets : dict
        Servers kept for such streams, by service.
    prefill_factors : dict
        Ratio of the measured to the predicted prefill time, by service.
    crashes : crash_counts.CrashCounts
        Requests that were lost, at this router and at the others.
    loss_checks : LossChecks
        Own losses whose servers are being checked.
    suspect_parts : crashing_parts.CrashingParts
        Parts of prompts that were in lost requests, at this router and at the others.
    known_streams : stream_versions.StreamVersions
        Software versions in use, and those at which streams began.
    listed_versions : frozenset
        The pairs of a service and a software version in the list in force.
    stream_lifetimes_s : dict
        For how long streams may be resumed, by service, for the table in force.
    report_origin : callable
        ``report_origin(service_name, software_version, key)`` tells the replicas
        where a stream began.
    ask_origins : callable
        ``ask_origins(keys)`` asks the replicas where streams began.
    read_versions : callable or None
        ``await read_versions()`` returns the versions that are recorded in the
        replicated log, None if it does not answer.  None for a router that serves
        alone, whose own list shows all versions.
    report_lost : callable
        ``report_lost(server_id, fingerprint, lost_s)`` reports to the other routers a
        request that was lost at the end of a server.
    report_completed : callable
        ``report_completed(fingerprint)`` reports that a lost request has completed.
    yielding : dict
        Requests that found no grant at a limited server, by service.
    report_limits : callable
        ``report_limits(message)`` tells the replicas what servers say of their limits.
    report_evidence : callable
        ``report_evidence(keys)`` reports what is known of parts to the other routers.
    relays : relay_pool.RelayPool
        The routers that may relay requests.
    count_began : callable
        ``count_began(account_name)`` counts a request that a server began.
    waiting : dict
        Requests that wait for room at servers, by service.
    demand : dict
        Counts of requests by service, from which servers are ordered.
    speeds : dict
        What is known of the speed of servers that announce it, by service.
    sharing : Sharing
        Work of client accounts, here and at all routers.
    request_sizes : dict
        Tokens that requests take in a server's memory, by service.
    held_limits : held_bytes.Limits or None
        Bounds on the bytes held for clients and servers; None without bounds.
    waiting_bodies : dict
        What tells a request that there is room for its body, by its record.
    bodies_check : asyncio.TimerHandle or None
        The next check for room for them; None while none waits.
    held_responses : held_bytes.Estimate
        Bytes held for responses, where room is not divided among accounts.
    memory_size_bytes : int
        Memory of the VM; 0 if it is not known.
    response_sizes_bytes : dict
        Expected size of plain responses, by route.
    reading : dict
        Responses that are being read, by :func:`id` of their requests, in the order in
        which they began; streams only while an event of theirs is large.
    capacity : router_capacity.Capacity
        Use of the VM's limits.
    received_size_bytes, sent_size_bytes : int
        Bytes of requests and responses that were received and sent, with their heads.
    shared_pace : stream_pacing.SharedBudget
        Work for the streams that are beyond their own budgets.
    starting : request_starts.RequestStarts
        Requests that arrived together and wait to start.
    """

    settings: Settings
    codec: header_codec.HeaderCodec
    retryable_session: aiohttp.ClientSession
    at_most_once_session: aiohttp.ClientSession
    generator: random.Random
    route_index: matching.RouteIndex | None = None
    pool: server_pool.Pool = dataclasses.field(default_factory=server_pool.Pool)
    list_read_at_s: float = 0.0
    routers_count: int = 1
    is_draining: bool = False
    stop_began_s: float | None = None
    port_closed_s: float | None = None
    stops_at_s: float | None = None
    stop_time_s: float = math.inf
    open_requests: dict = dataclasses.field(default_factory=dict)
    started: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    budgets: dict = dataclasses.field(default_factory=dict)
    metrics: forwarding_metrics.ForwardingMetrics = dataclasses.field(
        default_factory=forwarding_metrics.make_metrics
    )
    last_attempt_number: int = 0
    wait_bounds: dict[str, prompt_admission.WaitBounds] = dataclasses.field(
        default_factory=dict
    )
    sensitive_routes: dict[str, prefill_interference.SensitiveRoutes] = (
        dataclasses.field(default_factory=dict)
    )
    quiet_sets: dict[str, prefill_interference.QuietSet] = dataclasses.field(
        default_factory=dict
    )
    prefill_factors: dict[str, float] = dataclasses.field(default_factory=dict)
    crashes: crash_counts.CrashCounts = dataclasses.field(
        default_factory=crash_counts.CrashCounts
    )
    suspect_parts: crashing_parts.CrashingParts = dataclasses.field(
        default_factory=crashing_parts.CrashingParts
    )
    known_streams: stream_versions.StreamVersions = dataclasses.field(
        default_factory=stream_versions.StreamVersions
    )
    listed_versions: frozenset[tuple[str, str]] = frozenset()
    stream_lifetimes_s: dict[str, float] = dataclasses.field(default_factory=dict)
    report_origin: Callable[[str, str, int], None] = lambda service, version, key: None
    ask_origins: Callable[[tuple[int, ...]], None] = lambda keys: None
    read_versions: Callable[[], Awaitable[frozenset[tuple[str, str]] | None]] | None = (
        None
    )
    loss_checks: LossChecks = dataclasses.field(default_factory=LossChecks)
    report_lost: Callable[[str, int, float], None] = (
        lambda server_id, fingerprint, lost_s: None
    )
    report_completed: Callable[[int], None] = lambda fingerprint: None
    yielding: dict[str, server_limits.Yielding] = dataclasses.field(
        default_factory=dict
    )
    report_limits: Callable[[messages.ServerLimits], None] = lambda limits: None
    report_evidence: Callable[[list[crashing_parts.PartKey]], None] = lambda keys: None
    waiting: dict[str, rejection_limits.Waiting] = dataclasses.field(
        default_factory=dict
    )
    relays: relay_pool.RelayPool = dataclasses.field(
        default_factory=relay_pool.RelayPool
    )
    count_began: Callable[[str], None] = lambda account_name: None
    demand: dict[str, ServiceCounts] = dataclasses.field(default_factory=dict)
    speeds: dict[str, speed_state.ServiceSpeed] = dataclasses.field(
        default_factory=dict
    )
    sharing: Sharing = dataclasses.field(default_factory=Sharing)
    request_sizes: dict[str, server_room.Sizes] = dataclasses.field(
        default_factory=dict
    )
    held_limits: held_bytes.Limits | None = None
    waiting_bodies: dict[object, asyncio.Future[bool]] = dataclasses.field(
        default_factory=dict
    )
    bodies_check: asyncio.TimerHandle | None = None
    held_responses: held_bytes.Estimate = dataclasses.field(
        default_factory=held_bytes.Estimate
    )
    memory_size_bytes: int = 0
    response_sizes_bytes: dict[str, float] = dataclasses.field(default_factory=dict)
    reading: dict[int, held_bytes.Reading] = dataclasses.field(default_factory=dict)
    capacity: router_capacity.Capacity = dataclasses.field(
        default_factory=router_capacity.Capacity
    )
    received_size_bytes: int = 0
    sent_size_bytes: int = 0
    shared_pace: stream_pacing.SharedBudget = dataclasses.field(
        default_factory=stream_pacing.SharedBudget
    )
    starting: request_starts.RequestStarts = dataclasses.field(
        default_factory=request_starts.RequestStarts
    )


@dataclasses.dataclass(slots=True)
class RequestContext:
    """State of one client request.

    Attributes
    ----------
    fingerprint : int
        Hash of the request, equal whenever its caller resends it.
    started_s, deadline_s : float
        When the request arrived, and when its final response is due, on
        :func:`clocks.boottime_s`.
    admitted_s : float
        When it had been received and was to be forwarded, likewise.
    tried_server_ids : set of str
        Servers to which a byte was sent, or that could not be reached.
    sent_count : int
        Attempts of which a byte was sent.
    unsent_count : int
        Attempts for which no connection was established.
    needs_new_connection : bool
        Whether an attempt had no response in time, so that kept connections may be
        silent.
    has_response_head : bool
        Whether the current attempt has received the head of a response.
    events_began_s : float or None
        When the first event of the current attempt arrived, on the steady clock.
    has_progressed : bool
        Whether the current attempt shows that the prompt does not crash servers.
    may_have_run : bool
        Whether any attempt may have run.
    placement : prompt_placement.Placement or None
        Server of the current attempt, and the prefill that was expected there.
    stream_version : str or None
        Software version that the request's stream is bound to; None while any may
        begin it.
    attempt_version : str
        Software version of the current attempt's server when it was sent.
    own_requests_count : int
        Other requests of this router at that server when the attempt began.
    in_flight : server_pool.InFlightRequest or None
        The current attempt as it counts towards its server's load.
    stream_response : web.StreamResponse or None
        The response to the client once a stream has started.
    failed_response : web.Response or None
        The last response with a server error.
    last_event_id : str
        Id of the last event that the client has received.
    can_resume : bool
        Whether a stream that has started can be resumed after `last_event_id`.
    first_event_after_s : float or None
        Time from the request's arrival to the first event; None before it.
    event_pauses : pauses.Pauses
        Times between the events that the client has received.
    retry_after_s : float or None
        Value of ``Retry-After`` in a refusal because of overload.
    max_attempts_count : int
        Servers that the request may be sent to.
    relayed : relay_messages.RelayedRequest or None
        What the sender says of a request that this router relays.
    tried_relays : set of str
        Hosts of the routers that were asked to relay the request.
    uses_relay : bool
        Whether the current attempt goes through another router.
    is_counted : bool
        Whether the request was counted as one that a server began.
    share : ShareVerdict or None
        Whether it is within its account's share; None before that is decided.
    work : float or None
        Its work as it was counted for its account, in tokens; None before that.
    """

    forwarder: Forwarder
    client_request: web.BaseRequest
    metadata: header_codec.RequestMetadata
    route: model.Route
    service_name: str
    account: model.ClientAccount | None
    body: bytes
    fingerprint: int
    started_s: float
    deadline_s: float
    admitted_s: float = dataclasses.field(default_factory=clocks.boottime_s)
    tried_server_ids: set[str] = dataclasses.field(default_factory=set)
    placement: prompt_placement.Placement | None = None
    stream_version: str | None = None
    attempt_version: str = ""
    own_requests_count: int = 0
    in_flight: server_pool.InFlightRequest | None = None
    stream_response: web.StreamResponse | None = None
    failed_response: web.Response | None = None
    sent_count: int = 0
    unsent_count: int = 0
    needs_new_connection: bool = False
    has_response_head: bool = False
    events_began_s: float | None = None
    has_progressed: bool = False
    may_have_run: bool = False
    last_event_id: str = ""
    can_resume: bool = True
    first_event_after_s: float | None = None
    event_pauses: pauses.Pauses = dataclasses.field(default_factory=pauses.Pauses)
    retry_after_s: float | None = None
    max_attempts_count: int = 1
    relayed: relay_messages.RelayedRequest | None = None
    tried_relays: set[str] = dataclasses.field(default_factory=set)
    uses_relay: bool = False
    is_counted: bool = False
    share: ShareVerdict | None = None
    work: float | None = None

    @property
    def time_left_s(self) -> float:
        """Return the time until the final response is due."""
        return self.deadline_s - clocks.boottime_s()


def is_last_on_connection(forwarder: Forwarder, request: web.BaseRequest) -> bool:
    """Return whether to close the client's connection after a response.

    A router that stops closes connections, but first answers what their clients have
    sent.
    """
    if not forwarder.is_draining or request.protocol.has_next:
        return False
    # With unread bytes, the close would discard the end of the response.
    request.protocol.release_next()
    return True


def add_relay_reply(context: RequestContext, headers: multidict.CIMultiDict) -> None:
    """Tell the sender of a relayed request which server has responded."""
    if context.relayed is None:
        return
    reply = relay_messages.RelayReply(
        context.relayed.hop_id,
        "",
        context.sent_count,
        context.placement.server_id,
        context.attempt_version,
    )
    relay_messages.write(headers, reply)


def max_idle_connections_count(forwarder: Forwarder, address: str) -> int:
    """Return how many idle connections this router keeps to a server.

    All routers share the connections that the server accepts, by their traffic.
    """
    view = forwarder.pool.by_address.get(address)
    if view is None or forwarder.route_index is None:
        # The server has left the list and gets no more requests.
        return 0
    service = forwarder.route_index.services.get(view.listed.service_name)
    if service is None or not service.max_connections_count:
        return sockets.DEFAULT_MAX_IDLE_CONNECTIONS_COUNT
    share = router_shares.share_of(
        service.max_connections_count,
        forwarder.routers_count,
        router_shares.part(forwarder.pool.traffic),
    )
    return max(1, int(share))


def describe_parts(context: RequestContext) -> str:
    """Return the ids of the prompt's parts for a log line, without the last one."""
    prompt = context.metadata.prompt
    if prompt is None:
        return "no prompt parts"
    part_ids = [part.part_id[:MAX_LOGGED_ID_LENGTH] for part in prompt.parts[:-1]]
    return f"shared parts {' '.join(part_ids[:MAX_LOGGED_PARTS_COUNT]) or 'none'}"


def _update_prefill_factor(context: RequestContext) -> None:
    if context.uses_relay:
        # The prefill was predicted, and is measured, at the relay.
        return
    factors = context.forwarder.prefill_factors
    measured_s = time.monotonic() - context.in_flight.started_s
    placement = context.placement
    prefill_tokens_count = (
        placement.backlog_tokens_count + placement.uncached_tokens_count
    )
    predicted_s = prompt_admission.predict_wait_s(prefill_tokens_count, 1.0)
    known = factors.get(context.service_name, 1.0)
    factors[context.service_name] = prompt_admission.learn_factor(
        known, predicted_s, measured_s
    )


def record_began(context: RequestContext) -> None:
    """Count a request that a server began, once, at the router that its client chose.

    A router that relays a request leaves it to the sender, which sees all attempts.
    """
    if context.is_counted or context.relayed is not None:
        return
    context.is_counted = True
    if context.account is not None:
        context.forwarder.count_began(context.account.name)


def _count_completed(context: RequestContext) -> None:
    ledger = context.forwarder.sharing.ledgers.get(context.service_name)
    if ledger is not None and context.work is not None:
        account_shares.record_completed(ledger, context.work, clocks.boottime_s())


def record_first_event(context: RequestContext) -> None:
    """Record the first event of the current attempt."""
    if context.in_flight.has_first_event:
        return
    context.in_flight.has_first_event = True
    _update_prefill_factor(context)
    _count_completed(context)
    if context.stream_response is None:
        context.first_event_after_s = clocks.boottime_s() - context.started_s
        context.forwarder.metrics.latencies.record(
            context.route.name,
            latencies.Interval.FIRST_TOKEN,
            context.first_event_after_s,
        )
