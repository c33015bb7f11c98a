"""Where a request goes: close to its cached prompt parts, bounded by load.

Answers these loads: prompts that share long parts, so that a part is read by few
engines; long prompts beside short ones, whose tokens wait while a long prompt is
read; hot parts, which spill over to the next engine; and many routers that see loads
late and would all turn to the server that was idle a moment ago.  All routers order
the servers of a prompt alike by rendezvous hashing, so they agree without messages,
and a prompt looks at few servers: those that hold its parts, the first of its order,
and an idle one more where all of these would refuse it.

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

# Prompts above this read for longer than a short request may wait for a token.
LONG_PROMPT_TOKENS_COUNT = 3_500
# Order of magnitude of the engines of today; only ratios of costs matter.
PREFILL_TOKENS_PER_S = 40_000.0
# Each request more in a batch makes every step a few hundredths slower.
REQUEST_COST_S = 0.005
# A long prompt beside short requests delays each of their tokens while it is read:
# a short one among long ones suffers itself, a long one makes all short ones suffer.
SHORT_SPILL_COST_S = 0.15
LONG_SPILL_COST_S = 1.0
# Shared parts that are read once more take capacity from all that wait: under load
# each second of reading delays about this many requests more.
REPEATED_PREFILL_WEIGHT = 2.0
# First servers of its order that a prompt looks at: two choices spread load well even
# when it is known late [3].
CHOICES_COUNT = 2
# Among so many an idle server is looked for; all of a small site, few of a large one.
MAX_CHOICES_COUNT = 8
# A server with less to read than a short prompt counts as idle.
IDLE_WAIT_S = 0.05
# A request at a full server waits for another one's end, or puts one back.
FULL_COST_S = 1.0
# Servers that cost the same are taken in the order that all routers agree on.
ORDER_COST_S = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may take a request.

    Attributes
    ----------
    requests_count : int
        Requests of all routers at it, as far as is known.
    backlog_tokens_count : int
        Prompt tokens that it has still to read for them.
    cached_tokens_count : int
        Tokens of this prompt that it is known to hold.
    is_full : bool
        Whether it runs as many requests as it can at once.
    is_suspect : bool
        Whether it failed just now.
    is_near : bool
        Whether it stands in the router's availability zone.
    """

    server_id: str
    requests_count: int
    backlog_tokens_count: int = 0
    cached_tokens_count: int = 0
    is_full: bool = False
    is_suspect: bool = False
    is_near: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A chosen server, the tokens that it will read of the prompt, and those before."""

    server_id: str
    uncached_tokens_count: int = 0
    backlog_tokens_count: int = 0


def rank(server_id: str, text: str) -> int:
    """Return the rendezvous weight of a server for a text; the highest is first."""
    return xxhash.xxh64_intdigest(f"{server_id}\n{text}".encode())


@functools.lru_cache(maxsize=4_096)
def _rank_for_length(server_id: str) -> int:
    """Return the weight that parts servers by prompt length, the same for all prompts.

    The bound is above the servers of any site; it only ends the growth by servers
    that have left.
    """
    return rank(server_id, "")


def choose_for_prompt(
    candidates: list[Candidate],
    affinity: str,
    prompt_tokens_count: int,
    shared_tokens_count: int,
    long_share: float,
    wait_max_s: float = math.inf,
) -> Placement | None:
    """Return the server where a prompt is read soonest.

    Parameters
    ----------
    candidates : list of Candidate
        Servers that may take it.
    affinity : str
        Id of the prompt part that it shares with others.
    prompt_tokens_count, shared_tokens_count : int
        Length of the prompt, and of the parts that it shares with others.
    long_share : float
        Share of the servers, in an order on which all routers agree, that long
        prompts go to; short ones prefer the rest.
    wait_max_s : float, optional
        Reading time of others above which the prompt would be refused at a server.
    """
    healthy = [item for item in candidates if not item.is_suspect] or candidates
    if not healthy:
        return None
    preferred_ids = _preferred_ids(healthy, prompt_tokens_count, long_share)
    ordered = _order(healthy, affinity, preferred_ids)
    is_long = prompt_tokens_count > LONG_PROMPT_TOKENS_COUNT
    spill_cost_s = LONG_SPILL_COST_S if is_long else SHORT_SPILL_COST_S
    positions = _choose_positions(ordered, len(preferred_ids), not is_long, wait_max_s)
    is_cached = any(item.cached_tokens_count for item in ordered)

    def uncached_count(position: int) -> int:
        return max(0, prompt_tokens_count - ordered[position].cached_tokens_count)

    def repeated_count(position: int) -> int:
        if position == 0 and not is_cached:
            # Some server must read it, and all routers choose this one.
            return 0
        own_count = prompt_tokens_count - shared_tokens_count
        return max(0, uncached_count(position) - own_count)

    def cost_s(position: int) -> float:
        item = ordered[position]
        spill_s = 0.0 if item.server_id in preferred_ids else spill_cost_s
        return (
            (FULL_COST_S if item.is_full else 0.0)
            + (uncached_count(position) + item.backlog_tokens_count)
            / PREFILL_TOKENS_PER_S
            + REPEATED_PREFILL_WEIGHT * repeated_count(position) / PREFILL_TOKENS_PER_S
            + REQUEST_COST_S * item.requests_count
            + ORDER_COST_S * position
            + spill_s
        )

    best = min(positions, key=cost_s)
    chosen = ordered[best]
    return Placement(
        chosen.server_id, uncached_count(best), chosen.backlog_tokens_count
    )


def _order(
    candidates: list[Candidate], affinity: str, preferred_ids: set[str]
) -> list[Candidate]:
    """Return the preferred servers, then the others, each by rendezvous weight."""
    return sorted(
        candidates,
        key=lambda item: (
            item.server_id not in preferred_ids,
            -rank(item.server_id, affinity),
        ),
    )


def _choose_positions(
    ordered: list[Candidate], preferred_count: int, is_short: bool, wait_max_s: float
) -> list[int]:
    """Return the positions that a prompt looks at.

    These are all servers that hold its parts and the first ones of its order; a short
    prompt also looks at one server of the long ones.  Where all of these would refuse
    it, the next idle one is added: a busy one would read the parts once more at the
    cost of the prompts that wait there.
    """
    holders = [
        position for position, item in enumerate(ordered) if item.cached_tokens_count
    ]
    count = min(CHOICES_COUNT, preferred_count)
    positions = {*holders, *range(count)}
    if is_short or not preferred_count:
        positions.update(range(preferred_count, len(ordered))[:1])
    if all(_is_overloaded(ordered[position], wait_max_s) for position in positions):
        further_positions = range(count, min(MAX_CHOICES_COUNT, len(ordered)))
        positions.update(
            [
                position
                for position in further_positions
                if not _is_overloaded(ordered[position], IDLE_WAIT_S)
            ][:1]
        )
    return sorted(positions)


def _is_overloaded(item: Candidate, wait_max_s: float) -> bool:
    wait_s = item.backlog_tokens_count / PREFILL_TOKENS_PER_S
    return item.is_full or wait_s > wait_max_s


def _preferred_ids(
    candidates: list[Candidate], prompt_tokens_count: int, long_share: float
) -> set[str]:
    ids = sorted((item.server_id for item in candidates), key=_rank_for_length)
    if len(ids) < 2:
        return set(ids)
    long_count = min(len(ids) - 1, max(1, round(len(ids) * long_share)))
    if prompt_tokens_count > LONG_PROMPT_TOKENS_COUNT:
        return set(ids[:long_count])
    return set(ids[long_count:])


def choose_least_loaded(candidates: list[Candidate], salt: str) -> Placement | None:
    """Return the least loaded server for a plain call, near ones first.

    `salt` breaks ties differently for each request, so that routers don't herd.
    """
    healthy = [item for item in candidates if not item.is_suspect] or candidates
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
