"""Streams that become late when their engine prefills long prompts.

Handles streams with short pause targets beside long prompts.  An engine prefills a
prompt in chunks, one in each step of its batch, and a stream's event takes several
steps.  During a long prefill every step of an event carries a chunk, so the pause
between two events of every stream at the engine approaches `pause_s`.  A stream whose
target is about as short is late whenever such a prefill runs beside it, however few
requests the engine has.  Such streams are kept at a share of the engines, the quiet
ones, which take other prompts only while these can't fill a whole pause.  The number of
quiet engines follows their load, since a large batch makes every step longer.

References
----------
.. [1] A. Agrawal et al., "Taming Throughput-Latency Tradeoff in LLM Inference with
   Sarathi-Serve", OSDI 2024 (chunked prefill and its effect on running streams).
"""

import dataclasses
import enum

from hickoryweir.routes import model

# Order of magnitude of current engines; sets the length of a step during prefill.
PREFILL_TOKENS_PER_S = 40_000.0
CHUNK_TOKENS_COUNT = 2_048
DECODE_STEP_S = 0.005
# A batch of many requests makes a step longer than estimated here.
PAUSE_MARGIN = 1.25
# Where rates are learned, streams with pause targets above this multiple of the
# shortest one are not kept at quiet servers.
SENSITIVE_TARGETS_RATIO = 1.5
# A single chunk lengthens one step of an event, which a sensitive stream can bear.
QUIET_RUN_TOKENS_COUNT = CHUNK_TOKENS_COUNT
# With more requests at once, the decode steps alone use up much of a short pause.
CROWDED_SLOTS_SHARE = 0.5
# Hysteresis: far below the upper limit, so that the number does not alternate.
SPARSE_SLOTS_SHARE = 0.12
# The loads must reflect the last change before the next one is decided.
RESIZE_INTERVAL_S = 0.3
QUIET_SHARE_MIN = 0.2
QUIET_SHARE_MAX = 0.35
# Where no stream is sensitive, the prefill of a longer prompt takes longer than a
# short prompt may wait for its first token.
LONG_PROMPT_TOKENS_COUNT = 3_500


class PromptKind(enum.StrEnum):
    """How a prompt is placed with regard to prefill beside it.

    `SENSITIVE` prompts have streams that a long prefill makes late, and `TOLERANT`
    ones are the others of the same service.  Where no stream is sensitive, prompts are
    `SHORT` or `LONG`.
    """

    SENSITIVE = "sensitive"
    TOLERANT = "tolerant"
    SHORT = "short"
    LONG = "long"


@dataclasses.dataclass(frozen=True, slots=True)
class SensitiveRoutes:
    """The routes of one service with sensitive streams, by name; possibly none."""

    names: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Speed of a service's servers at the usual slowness.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prompt tokens that a server prefills in a second.
    step_s : float
        Duration of a decode step without prefill.
    is_learned : bool
        Whether they were measured; otherwise they are the constants.
    """

    prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S
    step_s: float = DECODE_STEP_S
    is_learned: bool = False


DEFAULT_RATES = Rates()


def pause_s(tokens_per_event_count: int, rates: Rates = DEFAULT_RATES) -> float:
    """Return the pause between two events while every step carries a chunk.

    Examples
    --------
    >>> round(pause_s(4), 3)
    0.225
    """
    step_s = CHUNK_TOKENS_COUNT / rates.prefill_tokens_per_s + rates.step_s
    return tokens_per_event_count * step_s


def is_sensitive(
    route: model.Route, tokens_per_event_count: int, rates: Rates = DEFAULT_RATES
) -> bool:
    """Return whether a long prefill makes a route's streams late."""
    longest_s = PAUSE_MARGIN * pause_s(tokens_per_event_count, rates)
    return route.has_prompt and 0.0 < route.target_gap_s < longest_s


def find_sensitive_routes(
    table: model.RoutingTable, service_name: str, rates: Rates = DEFAULT_RATES
) -> SensitiveRoutes:
    """Return the routes to a service whose streams a long prefill makes late.

    If all routes with prompts are sensitive, none is: there would be nothing to keep
    away from them.
    """
    tokens_per_event_count = max(
        (
            service.tokens_per_event_count
            for service in table.services
            if service.name == service_name
        ),
        default=0,
    )
    routes = [
        route
        for route in table.routes
        if route.has_prompt
        and any(item.service_name == service_name for item in route.destinations)
    ]
    sensitive = [
        route for route in routes if is_sensitive(route, tokens_per_event_count, rates)
    ]
    if rates.is_learned:
        # Prompts of streams with longer targets would harm those with the shortest.
        shortest_s = min((route.target_gap_s for route in sensitive), default=0.0)
        longest_s = SENSITIVE_TARGETS_RATIO * shortest_s
        sensitive = [route for route in sensitive if route.target_gap_s <= longest_s]
    names = frozenset(route.name for route in sensitive)
    return SensitiveRoutes(names if len(names) < len(routes) else frozenset())


def classify(
    routes: SensitiveRoutes, route_name: str, prompt_tokens_count: int
) -> PromptKind:
    """Return how a prompt of a route is placed.

    Examples
    --------
    >>> routes = SensitiveRoutes(frozenset({"chat"}))
    >>> classify(routes, "chat", 900), classify(routes, "digest", 900)
    (<PromptKind.SENSITIVE: 'sensitive'>, <PromptKind.TOLERANT: 'tolerant'>)
    >>> classify(SensitiveRoutes(frozenset()), "chat", 900)
    <PromptKind.SHORT: 'short'>
    """
    if routes.names:
        is_member = route_name in routes.names
        return PromptKind.SENSITIVE if is_member else PromptKind.TOLERANT
    if prompt_tokens_count > LONG_PROMPT_TOKENS_COUNT:
        return PromptKind.LONG
    return PromptKind.SHORT


def fits_between_events(backlog_tokens_count: int, uncached_tokens_count: int) -> bool:
    """Return whether a prefill ends before it fills a whole pause at a quiet server.

    Examples
    --------
    >>> fits_between_events(0, 1_800), fits_between_events(500, 1_800)
    (True, False)
    """
    return backlog_tokens_count + uncached_tokens_count <= QUIET_RUN_TOKENS_COUNT


@dataclasses.dataclass(frozen=True, slots=True)
class QuietSet:
    """Number of quiet servers of a service, and when it last changed."""

    servers_count: int = 0
    changed_s: float = float("-inf")


def resize_quiet_set(
    quiet: QuietSet,
    requests_counts: tuple[int, ...],
    slots_count: int,
    now_s: float,
    rates: Rates = DEFAULT_RATES,
) -> QuietSet:
    """Return the quiet set, larger or smaller by a server as its load requires.

    All routers receive the same sums of the loads, so their sets agree but for the
    delay of a report.

    Parameters
    ----------
    quiet : QuietSet
        The current set.
    requests_counts : tuple of int
        Requests at each server, in the order in which servers become quiet.
    slots_count : int
        Requests that a server runs at once; 0 if unknown, which keeps the least set.
    now_s : float
        Monotonic time.
    rates : Rates, optional
        Not used.

    Examples
    --------
    >>> counts = (40, 40) + 8 * (5,)
    >>> quiet = resize_quiet_set(QuietSet(), counts, 64, 0.0)
    >>> quiet.servers_count
    2
    >>> resize_quiet_set(quiet, counts, 64, 1.0).servers_count
    3
    >>> resize_quiet_set(QuietSet(3, 1.0), 10 * (5,), 64, 2.0).servers_count
    2
    """
    servers_count = len(requests_counts)
    least_count = max(1, round(QUIET_SHARE_MIN * servers_count))
    most_count = max(least_count, int(QUIET_SHARE_MAX * servers_count))
    count = min(max(quiet.servers_count, least_count), most_count)
    if count != quiet.servers_count:
        return QuietSet(count, now_s)
    if not servers_count or now_s - quiet.changed_s < RESIZE_INTERVAL_S:
        return quiet
    mean_count = sum(requests_counts[:count]) / count
    if mean_count > CROWDED_SLOTS_SHARE * slots_count > 0 and count < most_count:
        return QuietSet(count + 1, now_s)
    if mean_count < SPARSE_SLOTS_SHARE * slots_count and count > least_count:
        return QuietSet(count - 1, now_s)
    return quiet
