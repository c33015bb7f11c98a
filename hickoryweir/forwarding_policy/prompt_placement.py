"""Placement of requests by cache affinity and load.

A prompt consists of parts, of which the leading ones may be shared with other
prompts and cached at engines.  Placement handles four kinds of load:

- prompts that share long parts, so that few engines prefill each part;
- long prompts beside short ones and beside streams with short pause targets, which
  a long prefill delays, see :mod:`hickoryweir.forwarding_policy.prefill_interference`;
- hot parts, which spill over to further engines;
- many routers with delayed load reports, which would otherwise herd to the server
  that was idle a moment ago.

All routers rank the servers of a prompt by rendezvous hashing [1]_, so they agree
without messages.  A prompt considers only a few servers: those that hold its parts,
the first ones of its rendezvous order with bounded load [2]_, and one idle server
where all of these would refuse it.

References
----------
.. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates",
   IEEE/ACM Transactions on Networking 6(1), 1998 (rendezvous hashing).
.. [2] V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with bounded
   loads", SODA 2018.
.. [3] M. Mitzenmacher, "How useful is old information?", IEEE Transactions on
   Parallel and Distributed Systems 11(1), 2000 (few choices instead of the best).
"""

import dataclasses
import functools
import math

import xxhash

from hickoryweir.forwarding_policy import prefill_interference

# Order of magnitude of current engines; only the ratios of costs matter.
PREFILL_TOKENS_PER_S = prefill_interference.PREFILL_TOKENS_PER_S
# Each additional request in a batch slows every step by a few percent.
REQUEST_COST_S = 0.005
# Prefilling shared parts again takes capacity from all waiting requests: under load,
# each second of prefill delays about this many further requests.
REPEATED_PREFILL_WEIGHT = 4.0
# Servers at the head of its rendezvous order that a prompt considers: two choices
# balance load well even with delayed reports [3].
CHOICES_COUNT = 2
# Servers of the rendezvous order that are searched for an idle one: all servers of a
# small site, few of a large one.
MAX_CHOICES_COUNT = 8
# Prefilling a part again that is shorter than a chunk hardly delays other prompts.
SMALL_SHARED_TOKENS_COUNT = prefill_interference.CHUNK_TOKENS_COUNT
# A server whose backlog is shorter than the prefill of a short prompt counts as idle.
IDLE_WAIT_S = 0.05
# At a full server, a request waits for another one to end or preempts one.
FULL_COST_S = 2.5
# Each further request in a batch lengthens a decode step by about this much.
REQUEST_STEP_S = 0.00015
# Cost of an expected first event as late as its target.
FIRST_EVENT_WEIGHT_S = 1.0
# Width of the random variation of costs, which keeps routers with the same delayed
# reports from choosing the same server.
VARIATION_SHARE = 0.3
RANK_MAX = 2.0**64
# Cost of an expected pause as long as its target.
PAUSE_WEIGHT_S = 0.3
# Breaks ties between equal costs by the rendezvous order, the same at all routers.
ORDER_COST_S = 0.002
NO_SENSITIVE_ROUTES = prefill_interference.SensitiveRoutes(frozenset())
# Prompts of these kinds prefer the quiet servers.
QUIET_KINDS = frozenset(
    {
        prefill_interference.PromptKind.SENSITIVE,
        prefill_interference.PromptKind.SHORT,
    }
)
# Cost of a server that a prompt does not prefer.  A short prompt among long ones is
# only delayed itself, whereas a long prompt delays all short ones.  A sensitive stream
# beside long prompts is late, unless its server happens to be idle.  A tolerant prompt
# goes to a quiet server only where its prefill harms no stream.
SPILL_COSTS_S = {
    prefill_interference.PromptKind.SENSITIVE: 1.0,
    prefill_interference.PromptKind.TOLERANT: 0.15,
    prefill_interference.PromptKind.SHORT: 0.15,
    prefill_interference.PromptKind.LONG: 1.0,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that a request may be placed on.

    Attributes
    ----------
    requests_count : int
        Known requests of all routers at the server.
    backlog_tokens_count : int
        Prompt tokens of these requests that are not prefilled yet.
    cached_tokens_count : int
        Tokens of this prompt that the server is known to have cached.
    is_full : bool
        Whether the server runs as many requests as it can at once.
    is_suspect : bool
        Whether the server failed recently.
    is_near : bool
        Whether the server is in the router's availability zone.
    started_at_ms : int
        Start time in Unix milliseconds; 0 if unknown.
    slowness : float
        How long work takes there now, relative to the usual time.
    has_room : bool
        Whether the request fits into its memory.
    """

    server_id: str
    requests_count: int
    backlog_tokens_count: int = 0
    cached_tokens_count: int = 0
    is_full: bool = False
    is_suspect: bool = False
    is_near: bool = False
    started_at_ms: int = 0
    slowness: float = 1.0
    has_room: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class PauseTarget:
    """Targets of a prompt's stream.

    Attributes
    ----------
    target_gap_s : float
        Longest pause between two events; 0 if there is no target.
    tokens_per_event_count : int
        Decode steps between two events; 0 if unknown.
    target_latency_s : float
        Time to the first event; 0 if there is no target.
    """

    target_gap_s: float
    tokens_per_event_count: int
    target_latency_s: float = 0.0


NO_PAUSE_TARGET = PauseTarget(0.0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class ComparedServer:
    """A server that was considered and not chosen."""

    server_id: str
    slowness: float
    cost_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The chosen server for a request.

    Attributes
    ----------
    uncached_tokens_count : int
        Tokens of the prompt that the server must prefill.
    backlog_tokens_count : int
        Tokens of other prompts that the server prefills first.
    slowness : float
        Slowness of the server that was counted on.
    cost_s : float
        Cost by which it was chosen; 0 for a request without a prompt.
    compared : tuple of ComparedServer
        The other servers that were considered.
    """

    server_id: str
    uncached_tokens_count: int = 0
    backlog_tokens_count: int = 0
    slowness: float = 1.0
    cost_s: float = 0.0
    compared: tuple[ComparedServer, ...] = ()


def rank(server_id: str, text: str) -> int:
    """Return the rendezvous weight of a server for a key; the highest ranks first."""
    return xxhash.xxh64_intdigest(f"{server_id}\n{text}".encode())


@functools.lru_cache(maxsize=4_096)
def _rank_for_length(server_id: str) -> int:
    """Return the weight that divides servers by prompt length, equal for all prompts.

    The cache is larger than the number of servers of any site; the limit only evicts
    servers that have left.
    """
    return rank(server_id, "")


def choose_for_prompt(
    candidates: list[Candidate],
    affinity: str,
    prompt_tokens_count: int,
    shared_tokens_count: int,
    long_share: float,
    wait_max_s: float = math.inf,
    kind: prefill_interference.PromptKind | None = None,
    quiet_count: int | None = None,
    rates: prefill_interference.Rates = prefill_interference.DEFAULT_RATES,
    pauses: PauseTarget = NO_PAUSE_TARGET,
    salt: str = "",
) -> Placement | None:
    """Return the server with the lowest expected cost for a prompt.

    Parameters
    ----------
    candidates : list of Candidate
        Servers to choose from.
    affinity : str
        Id of the last prompt part that is shared with other prompts.
    prompt_tokens_count, shared_tokens_count : int
        Length of the prompt, and of the parts that it shares with other prompts.
    long_share : float
        Share of the servers that long or tolerant prompts prefer; short and sensitive
        ones prefer the rest, the quiet servers.  All routers divide the servers alike.
    wait_max_s : float, optional
        Prefill time of the backlog above which a server would refuse the prompt.
    kind : prefill_interference.PromptKind, optional
        How the prompt is placed; by default short or long.
    quiet_count : int, optional
        Number of quiet servers; by default those that `long_share` leaves.
    rates : prefill_interference.Rates, optional
        Rates of the service's servers at the usual speed.  Targets count only with
        learned ones.
    pauses : PauseTarget, optional
        Targets of the prompt's stream, for its pauses and its first event.
    salt : str, optional
        Differs for each request.  Where rates are learned it varies the costs, so that
        not all routers choose the same server on the same outdated reports.
    """
    if not any(item.has_room for item in candidates):
        return None
    healthy = [item for item in candidates if not item.is_suspect] or candidates
    if not any(item.has_room for item in healthy):
        healthy = candidates
    if kind is None:
        kind = prefill_interference.classify(
            NO_SENSITIVE_ROUTES, "", prompt_tokens_count
        )
    if quiet_count is None:
        quiet_count = _default_quiet_count(len(healthy), long_share)
    preferred_ids = _preferred_ids(healthy, kind, quiet_count)
    # All servers are divided, so that routers with other requests divide them alike.
    roomy = [item for item in healthy if item.has_room]
    choice = _Choice(
        tuple(_order(roomy, affinity, preferred_ids)),
        frozenset(preferred_ids),
        kind,
        prompt_tokens_count,
        shared_tokens_count,
        rates,
        pauses,
        salt,
    )
    positions = _choose_positions(choice, wait_max_s)
    allowed_positions = [
        position for position in positions if _is_allowed(choice, position)
    ]
    return _choose_cheapest(choice, allowed_positions or positions)


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    """A prompt and the servers in the order in which it prefers them."""

    ordered: tuple[Candidate, ...]
    preferred_ids: frozenset[str]
    kind: prefill_interference.PromptKind
    prompt_tokens_count: int
    shared_tokens_count: int
    rates: prefill_interference.Rates = prefill_interference.DEFAULT_RATES
    pauses: PauseTarget = NO_PAUSE_TARGET
    salt: str = ""


def _choose_cheapest(choice: _Choice, positions: list[int]) -> Placement:
    """Return the server with the lowest cost, and those it was compared with."""
    ordered = choice.ordered
    costs_s = {position: _cost_s(choice, position) for position in positions}
    best = min(costs_s, key=costs_s.get)
    chosen = ordered[best]
    return Placement(
        chosen.server_id,
        _uncached_count(choice, best),
        chosen.backlog_tokens_count,
        chosen.slowness,
        costs_s[best],
        tuple(
            ComparedServer(
                ordered[position].server_id, ordered[position].slowness, cost_s
            )
            for position, cost_s in costs_s.items()
            if position != best
        ),
    )


def _uncached_count(choice: _Choice, position: int) -> int:
    """Return the tokens of the prompt that a server would prefill."""
    cached_count = choice.ordered[position].cached_tokens_count
    return max(0, choice.prompt_tokens_count - cached_count)


def _repeated_count(choice: _Choice, position: int) -> int:
    """Return the tokens of shared parts that a server would prefill again."""
    is_cached = any(item.cached_tokens_count for item in choice.ordered)
    if position == 0 and not is_cached:
        # Some server must prefill the parts, and all routers choose this one.
        return 0
    own_count = choice.prompt_tokens_count - choice.shared_tokens_count
    return max(0, _uncached_count(choice, position) - own_count)


def _cost_s(choice: _Choice, position: int) -> float:
    """Return the expected cost of a server, as a time."""
    item = choice.ordered[position]
    spill_s = 0.0
    if item.server_id not in choice.preferred_ids:
        spill_s = SPILL_COSTS_S[choice.kind]
    rate = choice.rates.prefill_tokens_per_s
    prefill_count = _uncached_count(choice, position) + item.backlog_tokens_count
    repeated_count = _repeated_count(choice, position)
    return (
        (FULL_COST_S if item.is_full else 0.0)
        + _variation(choice, item)
        * item.slowness
        * (
            prefill_count / rate
            + REPEATED_PREFILL_WEIGHT * repeated_count / rate
            + REQUEST_COST_S * item.requests_count
        )
        + _pause_cost_s(choice, item)
        + _first_event_cost_s(choice, item, prefill_count)
        + ORDER_COST_S * position
        + spill_s
    )


def _variation(choice: _Choice, item: Candidate) -> float:
    """Return a factor near one that differs between requests."""
    if not choice.rates.is_learned or not choice.salt:
        return 1.0
    share = rank(item.server_id, choice.salt) / RANK_MAX
    return 1.0 + VARIATION_SHARE * (share - 0.5)


def _pause_cost_s(choice: _Choice, item: Candidate) -> float:
    """Return the cost of the pauses that a stream is expected to have at a server."""
    if not choice.rates.is_learned or not choice.pauses.target_gap_s:
        return 0.0
    step_s = choice.rates.step_s + REQUEST_STEP_S * item.requests_count
    pause_s = item.slowness * choice.pauses.tokens_per_event_count * step_s
    return PAUSE_WEIGHT_S * pause_s / choice.pauses.target_gap_s


def _first_event_cost_s(choice: _Choice, item: Candidate, prefill_count: int) -> float:
    """Return the cost of an expected first event that comes close to its target."""
    if not choice.rates.is_learned or not choice.pauses.target_latency_s:
        return 0.0
    first_s = item.slowness * prefill_count / choice.rates.prefill_tokens_per_s
    return FIRST_EVENT_WEIGHT_S * first_s / choice.pauses.target_latency_s


def _is_allowed(choice: _Choice, position: int) -> bool:
    """Return whether the prompt harms no sensitive stream at a server."""
    item = choice.ordered[position]
    if choice.kind is not prefill_interference.PromptKind.TOLERANT:
        return True
    if item.server_id in choice.preferred_ids:
        return True
    return prefill_interference.fits_between_events(
        item.backlog_tokens_count, _uncached_count(choice, position)
    )


def _order(
    candidates: list[Candidate], affinity: str, preferred_ids: set[str]
) -> list[Candidate]:
    """Return the preferred servers, then the others, each in rendezvous order."""
    return sorted(
        candidates,
        key=lambda item: (
            item.server_id not in preferred_ids,
            -rank(item.server_id, affinity),
        ),
    )


def _choose_positions(choice: _Choice, wait_max_s: float) -> list[int]:
    """Return the positions of the servers that a prompt considers.

    These are all servers that hold its parts and the first ones in rendezvous order; a
    prompt that may spill also considers one server that it does not prefer.  Where all
    of these would refuse the prompt, the least loaded one of the next servers that
    would not is added.  For a prompt with long shared parts it has to be idle, because
    a busy one would prefill the parts again and delay the prompts that wait there.
    """
    ordered, rates = choice.ordered, choice.rates
    preferred_count = sum(item.server_id in choice.preferred_ids for item in ordered)
    may_spill = choice.kind is not prefill_interference.PromptKind.LONG
    is_small = choice.shared_tokens_count <= SMALL_SHARED_TOKENS_COUNT
    further_wait_max_s = wait_max_s if is_small else IDLE_WAIT_S
    holders = [
        position for position, item in enumerate(ordered) if item.cached_tokens_count
    ]
    count = min(CHOICES_COUNT, preferred_count)
    positions = {*holders, *range(count)}
    if may_spill or not preferred_count:
        positions.update(range(preferred_count, len(ordered))[:1])
    if all(
        _is_overloaded(ordered[position], wait_max_s, rates) for position in positions
    ):
        further_positions = [
            position
            for position in range(count, min(MAX_CHOICES_COUNT, len(ordered)))
            if not _is_overloaded(ordered[position], further_wait_max_s, rates)
        ]
        if further_positions:
            least_loaded = min(
                further_positions,
                key=lambda position: ordered[position].backlog_tokens_count,
            )
            positions.add(least_loaded)
    return sorted(positions)


def _is_overloaded(
    item: Candidate, wait_max_s: float, rates: prefill_interference.Rates
) -> bool:
    wait_s = item.backlog_tokens_count / rates.prefill_tokens_per_s
    return item.is_full or wait_s > wait_max_s


def _default_quiet_count(servers_count: int, long_share: float) -> int:
    if servers_count < 2:
        return 0
    long_count = max(1, round(servers_count * long_share))
    return servers_count - min(servers_count - 1, long_count)


def order_for_quiet(candidates: list[Candidate]) -> list[Candidate]:
    """Return the servers in the order in which they become quiet ones.

    The servers that started first are the first, so that a new server does not take
    the place of one that runs sensitive streams.
    """
    return sorted(
        candidates,
        key=lambda item: (item.started_at_ms, -_rank_for_length(item.server_id)),
    )


def _preferred_ids(
    candidates: list[Candidate],
    kind: prefill_interference.PromptKind,
    quiet_count: int,
) -> set[str]:
    """Return the quiet servers, or the others, as the kind of prompt prefers."""
    ids = [item.server_id for item in order_for_quiet(candidates)]
    if len(ids) < 2:
        return set(ids)
    return set(ids[:quiet_count] if kind in QUIET_KINDS else ids[quiet_count:])


def choose_least_loaded(candidates: list[Candidate], salt: str) -> Placement | None:
    """Return the least loaded server for a request without a prompt.

    Ties go to servers of the router's availability zone, then to a random choice by
    `salt`, which differs for each request, so that routers don't herd to one server.
    """
    roomy = [item for item in candidates if item.has_room]
    healthy = [item for item in roomy if not item.is_suspect] or roomy
    if not healthy:
        return None
    best = min(
        healthy,
        key=lambda item: (
            item.requests_count,
            not item.is_near,
            rank(item.server_id, salt),
        ),
    )
    return Placement(best.server_id)
