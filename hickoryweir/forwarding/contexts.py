"""What a router holds for forwarding, and one request on its way."""

import dataclasses
import random
import time
from collections.abc import Callable

import aiohttp
from aiohttp import web

from hickoryweir import clocks
from hickoryweir.forwarding import header_codec, server_pool, sockets
from hickoryweir.observability import forwarding_metrics, latencies
from hickoryweir.policy import (
    crash_counts,
    prompt_admission,
    prompt_placement,
    retry_budget,
)
from hickoryweir.routes import matching, model

# One for requests that may be sent again, one for those that may not.
SESSIONS_PER_ROUTER_COUNT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What the router is told at its start."""

    availability_zone: str
    budget: retry_budget.Settings
    long_prompt_share: float = 0.8


@dataclasses.dataclass(slots=True)
class Forwarder:
    """Everything that a router knows and owns for forwarding.

    Attributes
    ----------
    route_index : matching.RouteIndex or None
        The table in force.
    routers_count : int
        Routers that share the retry budget.
    is_draining : bool
        Whether the process is about to stop.
    metrics : forwarding_metrics.ForwardingMetrics
        What this process counts.
    waits : dict
        How long prompts may wait, by service, for the table in force.
    prefill_factors : dict
        How much longer than predicted a service's servers read.
    crashes : crash_counts.CrashCounts
        Requests that were lost, here and at other routers.
    report_lost : callable
        Tells the other routers of a server and the fingerprint of a request lost there.
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
    budgets: dict = dataclasses.field(default_factory=dict)
    metrics: forwarding_metrics.ForwardingMetrics = dataclasses.field(
        default_factory=forwarding_metrics.make_metrics
    )
    last_attempt_number: int = 0
    waits: dict[str, prompt_admission.Waits] = dataclasses.field(default_factory=dict)
    prefill_factors: dict[str, float] = dataclasses.field(default_factory=dict)
    crashes: crash_counts.CrashCounts = dataclasses.field(
        default_factory=crash_counts.CrashCounts
    )
    report_lost: Callable[[str, int], None] = lambda server_id, fingerprint: None


@dataclasses.dataclass(slots=True)
class RequestContext:
    """One request on its way.

    Attributes
    ----------
    fingerprint : int
        What the same request has in common whenever its caller sends it.
    started_s, deadline_s : float
        When it came, and when its final answer is due, on :func:`clocks.elapsed_s`.
    tried_server_ids : set of str
        Servers to which a byte was sent, or that could not be reached.
    sent_count : int
        Attempts that left this process.
    has_response_head : bool
        Whether the head of an answer has come in the present attempt.
    may_have_run : bool
        Whether any attempt can have run.
    placement : prompt_placement.Placement or None
        Where the present attempt goes, and what was expected of its reading.
    own_requests_count : int
        Other requests of this router at that server when the attempt began.
    in_flight : server_pool.InFlightRequest or None
        The present attempt as its server's load counts it.
    stream_response : web.StreamResponse or None
        A stream's answer once it has begun.
    failed_response : web.Response or None
        The last failure that a server answered with.
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
    tried_server_ids: set[str] = dataclasses.field(default_factory=set)
    placement: prompt_placement.Placement | None = None
    own_requests_count: int = 0
    in_flight: server_pool.InFlightRequest | None = None
    stream_response: web.StreamResponse | None = None
    failed_response: web.Response | None = None
    sent_count: int = 0
    unsent_count: int = 0
    has_response_head: bool = False
    may_have_run: bool = False
    last_event_id: str = ""
    retry_after_s: float | None = None

    @property
    def time_left_s(self) -> float:
        """Return the time until the final answer is due."""
        return self.deadline_s - clocks.elapsed_s()


def max_idle_connections_count(forwarder: Forwarder, address: str) -> int:
    """Return how many idle connections of one session to a server are kept.

    All routers share what the server takes, and a router has two sessions.
    """
    view = forwarder.pool.by_address.get(address)
    if view is None or forwarder.route_index is None:
        # It has left the list: nothing more is sent there.
        return 0
    service = forwarder.route_index.services.get(view.listed.service_name)
    if service is None or not service.max_connections_count:
        return sockets.DEFAULT_MAX_IDLE_CONNECTIONS_COUNT
    share = service.max_connections_count // forwarder.routers_count
    return max(1, share // SESSIONS_PER_ROUTER_COUNT)


def note_lost(context: RequestContext, server_id: str) -> None:
    """Note that a request was lost on a server, and tell the other routers."""
    forwarder = context.forwarder
    request = context.fingerprint
    crash_counts.note_loss(forwarder.crashes, request, server_id, clocks.elapsed_s())
    forwarder.report_lost(server_id, request)


def note_completed(context: RequestContext) -> None:
    """Note that a request ended well."""
    crash_counts.clear(context.forwarder.crashes, context.fingerprint)


def _update_prefill_factor(context: RequestContext) -> None:
    factors = context.forwarder.prefill_factors
    measured_s = time.monotonic() - context.in_flight.started_s
    placement = context.placement
    unread_count = placement.backlog_tokens_count + placement.unread_tokens_count
    predicted_s = prompt_admission.predict_wait_s(unread_count, 1.0)
    known = factors.get(context.service_name, 1.0)
    factors[context.service_name] = prompt_admission.learn_factor(
        known, predicted_s, measured_s
    )


def note_first_event(context: RequestContext) -> None:
    """Note that the first event of the present attempt has come."""
    if context.in_flight.has_first_event:
        return
    context.in_flight.has_first_event = True
    _update_prefill_factor(context)
    if context.stream_response is None:
        context.forwarder.metrics.latencies.record(
            context.route.name,
            latencies.Interval.FIRST_TOKEN,
            clocks.elapsed_s() - context.started_s,
        )
