"""Software versions of streams, so that each is resumed at the version that began it.

Events of two software versions do not fit together.  Within one response a router
knows the version of its stream.  A client that takes a stream up at another router
names the request that brought the first event; nothing in that name tells the version.
So while more than one version of a service is in use, routers tell the replicas where
streams began and ask them for those they don't know, and a stream whose version stays
unknown is not resumed.

That a single version is in use is not seen in a router's own lists: a router that was
cut off or suspended does not know what other routers were told meanwhile.  So a version
is recorded in the replicated log before a stream begins at it, and a router reads the
record after the client has asked.

The load this answers: resumable streams during a roll-out, in which servers of two
versions serve side by side while routers and servers restart.
"""

import dataclasses
import enum
from collections.abc import Iterable

import xxhash

from hickoryweir.routes import model

# More than the resumable streams of a router's peers within their lifetime.
MAX_ORIGINS_COUNT = 50_000
# More than the software versions that a site uses within a day.
MAX_VERSIONS_COUNT = 256
# Longer than names that people choose; the replicated log keeps recorded ones.
MAX_PAIR_LENGTH = 512
# A stream lasts up to its route's timeout, and its client comes back for as long.
LIFETIME_TIMEOUTS_COUNT = 2.0
# Longer than the interval between two reads, also while the reader changes.
MAX_LIST_AGE_S = 3.0
# Without a log that records it, streams begin at a version that was listed for longer
# than MAX_LIST_AGE_S, so that the list of a router that resumes streams has it as well.
UNRECORDED_LISTED_S = 4.0


class Source(enum.StrEnum):
    """Where the knowledge of a stream's version came from."""

    OWN = "own stream"
    ANNOUNCED = "another router"
    RECORD = "the only version in use"


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The software version at which a stream began.

    Attributes
    ----------
    version : str or None
        None if two versions are known for the same stream.
    known_since_s, expires_at_s : float
        Times on :func:`hickoryweir.clocks.boottime_s`.
    """

    service_name: str
    version: str | None
    source: Source
    known_since_s: float
    expires_at_s: float


@dataclasses.dataclass(slots=True)
class StreamVersions:
    """What a process knows of versions in use and of the origins of streams.

    Attributes
    ----------
    origins : dict
        The :class:`Origin` of each stream by its key, oldest first.
    listed_at_s : dict
        When each version of each service was last in a list of servers.
    listed_since_s : dict
        Since when the versions in the list in force have been listed without a gap.
    recorded : frozenset
        Those of them that are recorded in the replicated log.
    """

    origins: dict[int, Origin] = dataclasses.field(default_factory=dict)
    listed_at_s: dict[tuple[str, str], float] = dataclasses.field(default_factory=dict)
    listed_since_s: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    recorded: frozenset[tuple[str, str]] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Resumption:
    """A stream may be resumed at one version."""

    version: str | None
    source: Source
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The version of a stream is not known, and several are or may be in use."""

    versions: tuple[str, ...]


def stream_key(service_name: str, account_name: str, stream_id: str) -> int:
    """Return the key of a stream; a client account reaches only its own streams.

    Examples
    --------
    >>> stream_key("app", "a", "r-1") == stream_key("app", "b", "r-1")
    False
    """
    # NUL occurs in none of the names.
    text = "\0".join((service_name, account_name, stream_id))
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogateescape"))


def record_listed(
    state: StreamVersions, listed: Iterable[tuple[str, str]], at_s: float
) -> None:
    """Record the (service, version) pairs of a list of servers."""
    for pair in listed:
        known_s = state.listed_at_s.pop(pair, at_s)
        state.listed_at_s[pair] = max(known_s, at_s)
    while len(state.listed_at_s) > MAX_VERSIONS_COUNT:
        del state.listed_at_s[min(state.listed_at_s, key=state.listed_at_s.get)]


def recordable(listed: Iterable[tuple[str, str]]) -> frozenset[tuple[str, str]]:
    """Return the versions whose names are short enough to be recorded.

    Examples
    --------
    >>> recordable([("app", "v1"), ("app", "v" * 1000)])
    frozenset({('app', 'v1')})
    """
    return frozenset(pair for pair in listed if sum(map(len, pair)) <= MAX_PAIR_LENGTH)


def replace_listed(
    state: StreamVersions,
    listed: frozenset[tuple[str, str]],
    at_s: float,
    earlier_at_s: float,
) -> None:
    """Replace the versions in the list in force; one that comes back is new.

    No stream begins at a version that can't be recorded.  All are new if too much time
    has passed since the earlier list was last read.
    """
    known = state.listed_since_s if at_s - earlier_at_s <= MAX_LIST_AGE_S else {}
    state.listed_since_s = {pair: known.get(pair, at_s) for pair in recordable(listed)}
    state.recorded &= listed


def unrecorded(state: StreamVersions) -> frozenset[tuple[str, str]]:
    """Return the listed versions that are not known to be recorded."""
    return frozenset(state.listed_since_s) - state.recorded


def may_begin(
    state: StreamVersions, pair: tuple[str, str], now_s: float, list_age_s: float
) -> bool:
    """Return whether a stream may begin at a listed version.

    Examples
    --------
    >>> state = StreamVersions()
    >>> replace_listed(state, frozenset({("app", "v1"), ("app", "v2")}), 10.0, 9.0)
    >>> state.recorded = frozenset({("app", "v1")})
    >>> [may_begin(state, ("app", version), 11.0, 1.0) for version in ("v1", "v2")]
    [True, False]
    >>> may_begin(state, ("app", "v2"), 10.0 + UNRECORDED_LISTED_S, 1.0)
    True
    """
    if pair in state.recorded:
        return True
    since_s = state.listed_since_s.get(pair)
    if since_s is None or list_age_s > MAX_LIST_AGE_S:
        return False
    return now_s - since_s >= UNRECORDED_LISTED_S


def lifetime_s(routes: Iterable[model.Route], service_name: str) -> float:
    """Return for how long streams of a service may be resumed after their beginning."""
    timeouts_s = [
        route.timeout_s
        for route in routes
        if is_resumable(route)
        and any(item.service_name == service_name for item in route.destinations)
    ]
    return LIFETIME_TIMEOUTS_COUNT * max(timeouts_s, default=0.0)


def is_resumable(route: model.Route) -> bool:
    """Return whether streams of a route may be resumed."""
    return route.is_stream and route.execution is not model.Execution.AT_MOST_ONCE


def versions_in_use(
    state: StreamVersions, service_name: str, now_s: float, lifetime_s: float
) -> tuple[str, ...]:
    """Return the versions at which a stream that is still alive may have begun.

    Examples
    --------
    >>> state = StreamVersions()
    >>> record_listed(state, [("app", "v1"), ("app", "v2"), ("jobs", "v7")], 10.0)
    >>> record_listed(state, [("app", "v2")], 40.0)
    >>> versions_in_use(state, "app", 41.0, 35.0), versions_in_use(
    ...     state, "app", 41.0, 20.0
    ... )
    (('v1', 'v2'), ('v2',))
    """
    return tuple(
        sorted(
            version
            for (name, version), at_s in state.listed_at_s.items()
            if name == service_name and now_s - at_s <= lifetime_s
        )
    )


def record_origin(state: StreamVersions, key: int, origin: Origin) -> bool:
    """Store the version at which a stream began; return whether it is new.

    An id that began streams at two versions names neither of them.
    """
    _forget_expired(state, origin.known_since_s)
    known = state.origins.get(key)
    if known is not None and known.version in (origin.version, None):
        return False
    if known is not None:
        origin = dataclasses.replace(origin, version=None)
    state.origins[key] = origin
    while len(state.origins) > MAX_ORIGINS_COUNT:
        del state.origins[next(iter(state.origins))]
    return True


def _forget_expired(state: StreamVersions, now_s: float) -> None:
    while state.origins:
        oldest = next(iter(state.origins))
        if state.origins[oldest].expires_at_s > now_s:
            return
        del state.origins[oldest]


def decide(
    state: StreamVersions,
    service_name: str,
    key: int,
    now_s: float,
    lifetime_s: float,
    list_age_s: float,
    recorded: Iterable[tuple[str, str]] | None,
) -> Resumption | Unknown:
    """Decide at which version a client may resume a stream.

    Parameters
    ----------
    state : StreamVersions
        What this router knows.
    service_name : str
        Service of the request.
    key : int
        See :func:`stream_key`.
    now_s : float
        Time on :func:`hickoryweir.clocks.boottime_s`.
    lifetime_s : float
        How long a stream may be resumed after its beginning.
    list_age_s : float
        Age of the list of servers; an old one does not show that one version is in
        use.
    recorded : iterable or None
        The recorded versions, read after the client has asked; None if they could not
        be read, so that any version may be in use.

    Returns
    -------
    Resumption or Unknown
        With a single version in use, that one, also for a stream that is not known.
    """
    origin = state.origins.get(key)
    if origin is not None and origin.expires_at_s > now_s:
        if origin.version is not None:
            age_s = now_s - origin.known_since_s
            return Resumption(origin.version, origin.source, age_s)
        return Unknown(versions_in_use(state, service_name, now_s, lifetime_s))
    versions = versions_in_use(state, service_name, now_s, lifetime_s)
    if recorded is None or list_age_s > MAX_LIST_AGE_S:
        return Unknown(versions)
    named = {version for name, version in recorded if name == service_name}
    versions = tuple(sorted(named.union(versions)))
    if len(versions) != 1:
        return Unknown(versions)
    listed_at_s = state.listed_at_s.get((service_name, versions[0]), now_s)
    return Resumption(versions[0], Source.RECORD, now_s - listed_at_s)
