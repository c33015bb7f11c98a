"""Read-only views of a core: peer digest, backend servers, queues, counters."""

import dataclasses
import enum

from hickoryweir.policy import admission, digests, events, lengths, load, state


class Use(enum.StrEnum):
    """Whether a backend server gets new calls, or the reason why not."""

    USED = "used"
    LEAVING = "leaving"
    GONE = "gone"
    CRASHED = "crashed"
    EJECTED = "ejected"
    FULL = "full"
    OUTSIDE_SUBSET = "outside_subset"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerView:
    """One backend server as this router sees it."""

    name: str
    availability_zone: str
    provider: str
    use: Use
    own_in_flight: int
    estimated_in_flight: float
    max_concurrency: int
    report_age_s: float | None
    between_tokens_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class QueueView:
    """One class's queue at this router."""

    class_name: str
    tier: int
    length: int
    oldest_wait_s: float
    expected_wait_s: float
    floor_credit: float
    expected_output_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """A counter's value with its labels."""

    name: str
    labels: tuple[tuple[str, str], ...]
    value: int


def digest(core: state.Core, now_s: float) -> events.PeerDigestReceived:
    """Return the digest of this router for its peers, bounded in size."""
    return digests.make(core, now_s)


def used_servers(core: state.Core) -> frozenset[str]:
    """Return the backend servers that this router may use."""
    return frozenset(name for pool in core.pools.values() for name in pool.subset)


def servers(core: state.Core, now_s: float) -> list[ServerView]:
    """Return the view of each backend server."""
    subset = used_servers(core)
    return [
        _server_view(server, name in subset, now_s)
        for name, server in sorted(core.servers.items())
    ]


def _server_view(server: state.Server, in_subset: bool, now_s: float) -> ServerView:
    backend = server.backend
    report = server.report
    return ServerView(
        backend.name,
        backend.availability_zone,
        backend.provider,
        use_of(server, in_subset, now_s),
        len(server.calls),
        load.occupancy(server, now_s),
        backend.max_concurrency,
        None if report is None else now_s - report.measured_at_s,
        server.speed.between_tokens_s,
    )


def use_of(server: state.Server, in_subset: bool, now_s: float) -> Use:
    """Return whether a backend server gets new calls, or the first reason why not."""
    if server.state is events.ServerState.GONE:
        return Use.GONE
    if server.state is events.ServerState.LEAVING:
        return Use.LEAVING
    if server.down_until_s > now_s:
        return Use.CRASHED
    if server.speed.ejected:
        return Use.EJECTED
    if not in_subset:
        return Use.OUTSIDE_SUBSET
    if load.occupancy(server, now_s) + 1 > server.backend.max_concurrency:
        return Use.FULL
    return Use.USED


def queue_views(core: state.Core, now_s: float) -> list[QueueView]:
    """Return the view of each class's queue."""
    oldest: dict[str, float] = {}
    for call in core.calls.values():
        if call.queued:
            name = call.request_class.name
            oldest[name] = min(oldest.get(name, now_s), call.arrived_s)
    return [
        _queue_view(core, queue, now_s - oldest.get(name, now_s), now_s)
        for name, queue in sorted(core.queues.items())
    ]


def _queue_view(
    core: state.Core, queue: state.ClassQueue, oldest_wait_s: float, now_s: float
) -> QueueView:
    request_class = queue.request_class
    pool = state.pool_of(core, request_class)
    return QueueView(
        request_class.name,
        request_class.tier,
        queue.length,
        oldest_wait_s,
        admission.expected_wait_s(core, pool, request_class.name, now_s),
        queue.credit,
        lengths.expected(queue.lengths),
    )


def counts(core: state.Core) -> list[Count]:
    """Return every counter of decisions."""
    counters = core.counters
    found = [
        Count(name, (), getattr(counters, name))
        for name in (
            "output_tokens",
            "dispatches",
            "hedges",
            "migrations",
            "resumes",
            "spills",
            "affinity_hits",
            "ejections",
            "quarantines",
        )
    ]
    found += [
        Count("refusals", (("reason", str(reason)), ("class", name)), value)
        for (reason, name), value in counters.refusals.items()
    ]
    found += [
        Count("retries", (("cause", str(cause)), ("class", name)), value)
        for (cause, name), value in counters.retries.items()
    ]
    found += [
        Count("wasted_tokens", (("cause", str(cause)),), value)
        for cause, value in counters.wasted_tokens.items()
    ]
    for name in ("arrivals", "completions"):
        found += [
            Count(name, (("class", label),), value)
            for label, value in getattr(counters, name).items()
        ]
    return found
