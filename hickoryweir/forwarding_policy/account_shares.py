"""Weighted max-min fair shares of client accounts while capacity is short.

Each router counts the work that each account offered, and how much of it was admitted.
The leading replica sums these counts over all routers.  From the sums, every router
computes the fair level: the work a second at which all demands, each cut off at the
level times the account's weight, add up to what the servers complete.

A request is given a position on its account's demand: the work of more urgent requests
of the account comes first, and within its own urgency a hash of the request decides.
Requests with a position below the level are within the share and are admitted up to
the longest bound; further ones are admitted only at servers with a shorter backlog.
This labels requests as core-stateless fair queueing does [1]_, with layers instead of
exact rates [2]_, and the backlogs of the servers play the part of the queue.  So no
rate has to be divided between routers, unused capacity is used by whoever asks first,
and only the ratio of the counts matters: the counts of a part of the routers, or of
one router alone, give the same shares if the accounts' callers reach all routers.

References
----------
.. [1] I. Stoica, S. Shenker, H. Zhang, "Core-stateless fair queueing", SIGCOMM 1998.
.. [2] Z. Cao, Z. Wang, E. Zegura, "Rainbow fair queueing", INFOCOM 2000.

Examples
--------
>>> ledger = Ledger()
>>> for account, work in (("a", 100.0), ("a", 900.0), ("b", 100.0)):
...     record(ledger, account, 0, work, work < 500.0, 5.0)
>>> record_completed(ledger, 200.0, 5.0)
>>> shares = compute(demands(ledger, 5.0), {}, capacity(ledger, 5.0))
>>> [round(factor(position(shares, "a", 0, draw)), 2) for draw in (0.01, 0.99)]
[1.0, 0.08]
>>> factor(position(shares, "b", 0, 0.5))
1.0
"""

import dataclasses
import math
import operator
from collections.abc import Iterable, Mapping

import xxhash

# Accounts that are counted one by one; all others share one entry.
MAX_ACCOUNTS_COUNT = 350
# Requests without an account, and accounts that are not counted one by one.
REST = ""
# Time constant of the counts: after 2 s, 6 % of a former demand are left.
TIME_CONSTANT_S = 0.7
# Route priorities that are counted apart; less urgent ones count as the last.
URGENCIES_COUNT = 4
# A step of an engine generates a token for each of some ten streams in the time in
# which it prefills some hundred tokens.
OUTPUT_TOKEN_WORK = 4.0
# Clients may allow much longer outputs than they get.
MAX_OUTPUT_TOKENS_COUNT = 1_024
# What is divided is the completed work times the first figure, less the second for each
# multiple of the least urgent prompts' bound that the backlogs take.  So a backlog that
# a surge has left is worked off within a second or two.
HEADROOM = 1.27
HEADROOM_PER_WAIT = 0.6
HEADROOM_MIN = 0.7
# Requests up to this multiple of the level have the whole bound, and beyond the second
# one the least.  Between them, the backlog settles where the admitted work fits, so an
# error of the level costs little.
FULL_POSITION = 0.9
LEAST_POSITION = 1.1
# Requests near the share leave the rest of the bound to those within it, so that noise
# of the backlogs does not refuse these.
SHARED_FACTOR = 0.7
# Left to requests just beyond the share, so that servers have work while reports of
# their backlog are on the way; 0.25 left 5 % of them idle for a second after a large
# account's end.  It falls further with the position, so that an account's urgent
# requests still come before its others.
LEAST_FACTOR = 0.45
# Sums of all routers are used for this long, then a router adds its own counts.
SUM_STALE_AFTER_S = 1.0
# An old sum loses weight with this time constant and is then forgotten.
OLD_SUM_TIME_CONSTANT_S = 3.0
OLD_SUM_RETENTION_S = 10.0
# A router with so many requests in its counts uses these alone once the sum is old.
# One in 1,404 routers has less than one, which says nothing about the accounts.
MEANINGFUL_REQUESTS_COUNT = 10.0
# Capacity counts as short once a wait exceeds this share of the least urgent prompts'
# bound, since after a surge the first refusal comes half a second later.
SHORT_WAIT_SHARE = 0.4
# Capacity counts as short for this long after a refusal or such a wait.
SHORT_FOR_S = 2.0
# A request that is repeated within this time has the same position again.
DRAW_PERIOD_S = 0.5
DRAW_BITS = 53
# Exponent of an account's excess by which its positions are corrected in a second, and
# the bounds of the corrections.
CORRECTION_PER_S = 1.0
CORRECTION_MIN = 0.5
CORRECTION_MAX = 2.0
# A request is told to come back only for a draw that is well within the share, and in
# the first part of the period, since clocks of routers differ.
PROMISE_SHARE = 0.65
PROMISE_PERIOD_SHARE = 0.6
# Tallies below this are removed when others need their place.
NEGLIGIBLE_WORK = 1.0
# The search looks at all tallies.
SEARCH_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Work of one account, in prompt tokens a second.

    Attributes
    ----------
    offered : tuple of float
        Offered work by urgency, the most urgent first; includes repeated requests.
    admitted, refused : float
        Admitted and refused parts of the offered work.
    """

    offered: tuple[float, ...]
    admitted: float
    refused: float

    @property
    def total(self) -> float:
        """Return the offered work of all urgencies."""
        return sum(self.offered)


NO_DEMAND = Demand((0.0,) * URGENCIES_COUNT, 0.0, 0.0)


@dataclasses.dataclass(slots=True)
class Tally:
    """Decaying counts of one account's work, in prompt tokens."""

    updated_s: float
    offered: list[float]
    admitted: float = 0.0
    refused: float = 0.0


@dataclasses.dataclass(slots=True)
class Ledger:
    """A router's counts for one service.

    Attributes
    ----------
    tallies : dict
        Counts by account, at most `MAX_ACCOUNTS_COUNT` and one for the rest.
    completed : float
        Decaying count of the work of prompts that were prefilled.
    requests : float
        Decaying count of prompts that were admitted or refused.
    completed_at_s, requests_at_s : float
        Up to when these have decayed.
    short_at_s : float
        When a prompt was last refused, or met a backlog near its bound.
    searched_at_s : float
        When tallies were last searched for negligible ones.
    """

    tallies: dict[str, Tally] = dataclasses.field(default_factory=dict)
    completed: float = 0.0
    completed_at_s: float = -math.inf
    requests: float = 0.0
    requests_at_s: float = -math.inf
    short_at_s: float = -math.inf
    searched_at_s: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Fair shares of the accounts of one service.

    Attributes
    ----------
    level : float
        Work a second that an account with weight 1 gets; infinite if all fits.
    demands : mapping of str to Demand
        Demands by account that the level was computed from.
    weights : mapping of str to float
        Weights of the accounts of the table; others have weight 1.
    rest_weight : float
        Weight of all accounts that are not counted one by one, together.
    corrections : mapping of str to float
        Factor on the positions of accounts that get more or less than others.
    """

    level: float
    demands: Mapping[str, Demand]
    weights: Mapping[str, float]
    rest_weight: float = 1.0
    corrections: Mapping[str, float] = dataclasses.field(default_factory=dict)


NO_SHARES = Shares(math.inf, {}, {})


def work_of(uncached_tokens_count: int, max_output_tokens_count: int) -> float:
    """Return the work of a prompt.

    Examples
    --------
    >>> work_of(1_000, 100), work_of(0, 10**6)
    (1400.0, 4096.0)
    """
    output_count = min(max_output_tokens_count, MAX_OUTPUT_TOKENS_COUNT)
    return uncached_tokens_count + OUTPUT_TOKEN_WORK * output_count


def record(
    ledger: Ledger,
    account: str,
    priority: int,
    work: float,
    is_admitted: bool,
    now_s: float,
) -> None:
    """Count a prompt that was admitted or refused.

    Parameters
    ----------
    ledger : Ledger
        Counts of the service.
    account : str
        Name of the account; `REST` for a request without one.
    priority : int
        Priority of its route.
    work : float
        See :func:`work_of`.
    is_admitted : bool
        Whether it was admitted.
    now_s : float
        Current time.
    """
    tally = _find_tally(ledger, account, now_s)
    _decay(tally, now_s)
    tally.offered[min(priority, URGENCIES_COUNT - 1)] += work
    ledger.requests = 1.0 + requests_at(ledger, now_s)
    ledger.requests_at_s = max(now_s, ledger.requests_at_s)
    if is_admitted:
        tally.admitted += work
    else:
        tally.refused += work
        ledger.short_at_s = now_s


def record_wait(ledger: Ledger, wait_s: float, base_s: float, now_s: float) -> None:
    """Record that capacity is short if an admitted prompt's wait was long.

    Parameters
    ----------
    ledger : Ledger
        Counts of the service.
    wait_s : float
        Predicted wait of the prompt.
    base_s : float
        Bound on the wait of the least urgent prompts.
    now_s : float
        Current time.
    """
    if wait_s > SHORT_WAIT_SHARE * base_s:
        ledger.short_at_s = now_s


def requests_at(ledger: Ledger, now_s: float) -> float:
    """Return the decayed count of prompts that were admitted or refused."""
    return ledger.requests * remaining(now_s - ledger.requests_at_s)


def record_completed(ledger: Ledger, work: float, now_s: float) -> None:
    """Count a prompt that was prefilled."""
    ledger.completed = completed_at(ledger, now_s) + work
    ledger.completed_at_s = max(now_s, ledger.completed_at_s)


def completed_at(ledger: Ledger, now_s: float) -> float:
    """Return the decayed count of the work of prompts that were prefilled."""
    return ledger.completed * remaining(now_s - ledger.completed_at_s)


def remaining(age_s: float) -> float:
    """Return the share of a count that is left after a time.

    Examples
    --------
    >>> remaining(0.0), round(remaining(2.0), 2)
    (1.0, 0.06)
    """
    return math.exp(-max(0.0, age_s) / TIME_CONSTANT_S)


def capacity(ledger: Ledger, now_s: float) -> float:
    """Return the work a second that servers completed."""
    return completed_at(ledger, now_s) / TIME_CONSTANT_S


def _find_tally(ledger: Ledger, account: str, now_s: float) -> Tally:
    tallies = ledger.tallies
    if account not in tallies and account != REST:
        named_count = len(tallies) - (REST in tallies)
        if (
            named_count >= MAX_ACCOUNTS_COUNT
            and now_s - ledger.searched_at_s >= SEARCH_INTERVAL_S
        ):
            ledger.searched_at_s = now_s
            _remove_negligible(ledger, now_s)
            named_count = len(tallies) - (REST in tallies)
        if named_count >= MAX_ACCOUNTS_COUNT:
            account = REST
    return tallies.setdefault(account, Tally(now_s, [0.0] * URGENCIES_COUNT))


def _decay(tally: Tally, now_s: float) -> None:
    left = remaining(now_s - tally.updated_s)
    tally.offered = [left * work for work in tally.offered]
    tally.admitted *= left
    tally.refused *= left
    tally.updated_s = now_s


def _remove_negligible(ledger: Ledger, now_s: float) -> None:
    for account, tally in list(ledger.tallies.items()):
        _decay(tally, now_s)
        if sum(tally.offered) < NEGLIGIBLE_WORK:
            del ledger.tallies[account]


def demands(ledger: Ledger, now_s: float) -> dict[str, Demand]:
    """Return the demand of each account, without those that have none any more."""
    _remove_negligible(ledger, now_s)
    return {
        account: Demand(
            tuple(work / TIME_CONSTANT_S for work in tally.offered),
            tally.admitted / TIME_CONSTANT_S,
            tally.refused / TIME_CONSTANT_S,
        )
        for account, tally in ledger.tallies.items()
    }


def is_short(ledger: Ledger, now_s: float) -> bool:
    """Return whether capacity was short lately."""
    return now_s - ledger.short_at_s < SHORT_FOR_S


def merge(
    reports: Iterable[tuple[float, Mapping[str, Demand]]],
) -> dict[str, Demand]:
    """Return the sum of several routers' demands, for a bounded number of accounts.

    Accounts beyond `MAX_ACCOUNTS_COUNT` with the least demand are added to the rest.

    Parameters
    ----------
    reports : iterable of (float, mapping of str to Demand)
        Factor on each router's counts, such as :func:`remaining`, and its demands.

    Examples
    --------
    >>> first = {"a": Demand((1.0, 0.0, 0.0, 0.0), 1.0, 0.0)}
    >>> merge([(1.0, first), (1.0, first)])
    {'a': Demand(offered=(2.0, 0.0, 0.0, 0.0), admitted=2.0, refused=0.0)}
    """
    # Lists, since the leader sums tens of thousands of entries five times a second.
    sums: dict[str, list[float]] = {}
    for weight, report in reports:
        for account, demand in report.items():
            total = sums.get(account)
            if total is None:
                total = sums[account] = [0.0] * (URGENCIES_COUNT + 2)
            for urgency, work in enumerate(demand.offered):
                total[urgency] += weight * work
            total[-2] += weight * demand.admitted
            total[-1] += weight * demand.refused
    named = [account for account in sums if account != REST]
    if len(named) > MAX_ACCOUNTS_COUNT:
        named.sort(key=lambda account: (-sum(sums[account][:-2]), account))
        rest = sums.setdefault(REST, [0.0] * (URGENCIES_COUNT + 2))
        for account in named[MAX_ACCOUNTS_COUNT:]:
            rest[:] = map(operator.add, rest, sums.pop(account))
    return {
        account: Demand(tuple(total[:-2]), total[-2], total[-1])
        for account, total in sums.items()
    }


@dataclasses.dataclass(frozen=True, slots=True)
class Sum:
    """Demands and completed work summed over some routers.

    Attributes
    ----------
    demands : mapping of str to Demand
        Demands by account.
    completed : float
        Work a second that the servers completed.
    routers_count : int
        Routers whose counts are contained.
    counted_at_s : float
        When the counts were taken.
    """

    demands: Mapping[str, Demand]
    completed: float
    routers_count: int
    counted_at_s: float


def blend(old: Sum | None, ledger: Ledger, now_s: float) -> Sum:
    """Return a router's own counts with what an old sum still says.

    Parameters
    ----------
    old : Sum or None
        The last sum that the router has heard; None if there was none.
    ledger : Ledger
        Its own counts.
    now_s : float
        Current time.
    """
    own = Sum(demands(ledger, now_s), capacity(ledger, now_s), 1, now_s)
    if old is None or now_s - old.counted_at_s >= OLD_SUM_RETENTION_S:
        return own
    meaning = min(1.0, requests_at(ledger, now_s) / MEANINGFUL_REQUESTS_COUNT)
    own_factor = max(1.0, old.routers_count * meaning)
    decay = math.exp(-(now_s - old.counted_at_s) / OLD_SUM_TIME_CONSTANT_S)
    old_factor = decay * (1.0 - meaning)
    return Sum(
        merge([(own_factor, own.demands), (old_factor, old.demands)]),
        own_factor * own.completed + old_factor * old.completed,
        old.routers_count,
        old.counted_at_s,
    )


def compute(
    found: Mapping[str, Demand],
    weights: Mapping[str, float],
    completed: float,
    wait_share: float = 0.0,
) -> Shares:
    """Return the fair shares for the demands of all accounts.

    Parameters
    ----------
    found : mapping of str to Demand
        Demands by account.
    weights : mapping of str to float
        Weights of the accounts of the table; others have weight 1.
    completed : float
        Work a second that the servers complete.  While requests wait, this is what they
        can do; the admitted work is not, since a surge that is admitted raises it.
    wait_share : float, optional
        Mean wait at the servers, relative to the bound of the least urgent prompts.

    Examples
    --------
    >>> def demand(offered):
    ...     return Demand((offered, 0.0, 0.0, 0.0), 0.0, 0.0)
    >>> found = {"a": demand(900.0), "b": demand(100.0), "c": demand(500.0)}
    >>> round(compute(found, {}, 600.0, 0.25).level)
    286
    >>> round(compute(found, {"a": 2.0}, 600.0, 0.25).level)
    191
    >>> compute(found, {}, 1500.0).level
    inf
    """
    headroom = max(HEADROOM_MIN, HEADROOM - HEADROOM_PER_WAIT * wait_share)
    available = headroom * completed
    rest_weight = _rest_weight(found, weights)
    level = math.inf
    if 0.0 < available < sum(demand.total for demand in found.values()):
        weighted = [
            (rest_weight if name == REST else weights.get(name, 1.0), demand.total)
            for name, demand in found.items()
        ]
        level = fair_level(weighted, available)
    return Shares(level, found, weights, rest_weight)


def _rest_weight(found: Mapping[str, Demand], weights: Mapping[str, float]) -> float:
    """Return the weight of the rest: 1, or that of accounts beyond the bound."""
    if len(found) <= MAX_ACCOUNTS_COUNT:
        return 1.0
    others = sum(weight for name, weight in weights.items() if name not in found)
    return max(1.0, others)


def fair_level(weighted: Iterable[tuple[float, float]], available: float) -> float:
    """Return the level at which demands, cut off by weight, fill the available work.

    Parameters
    ----------
    weighted : iterable of (float, float)
        Weight and demand of each account.
    available : float
        Work to divide.

    Examples
    --------
    >>> fair_level([(1.0, 10.0), (1.0, 100.0), (2.0, 100.0)], 100.0)
    30.0
    >>> fair_level([(1.0, 10.0)], 20.0)
    inf
    """
    by_need = sorted(weighted, key=lambda item: item[1] / item[0])
    weight_left = sum(weight for weight, _ in by_need)
    for weight, demand in by_need:
        if demand / weight >= available / weight_left:
            return available / weight_left
        available -= demand
        weight_left -= weight
    return math.inf


def correct(shares: Shares, known: Mapping[str, float], elapsed_s: float) -> Shares:
    """Return shares with corrections between the accounts that are cut off.

    Accounts whose callers come back often, or when told, get more of what is admitted
    beyond the shares.  The corrections move their positions until all get the same
    multiple of their shares.

    Parameters
    ----------
    shares : Shares
        Shares without corrections.
    known : mapping of str to float
        The corrections so far.
    elapsed_s : float
        Time since those were computed.

    Examples
    --------
    >>> found = {"a": Demand((90.0, 0.0, 0.0, 0.0), 60.0, 30.0)}
    >>> found["b"] = Demand((90.0, 0.0, 0.0, 0.0), 40.0, 50.0)
    >>> corrected = correct(Shares(50.0, found, {}), {}, 0.2).corrections
    >>> {name: round(value, 2) for name, value in corrected.items()}
    {'a': 1.04, 'b': 0.96}
    """
    if math.isinf(shares.level):
        return shares
    cut = {
        account: demand.admitted / share_of(shares, account)
        for account, demand in shares.demands.items()
        if demand.total > share_of(shares, account) and demand.admitted > 0.0
    }
    if not cut:
        return shares
    mean = sum(cut.values()) / len(cut)
    gain = CORRECTION_PER_S * min(max(0.0, elapsed_s), 1.0)
    corrections = {
        account: min(
            max(known.get(account, 1.0) * (ratio / mean) ** gain, CORRECTION_MIN),
            CORRECTION_MAX,
        )
        for account, ratio in cut.items()
    }
    return dataclasses.replace(shares, corrections=corrections)


def promised_after_s(
    shares: Shares,
    account: str,
    priority: int,
    key: str,
    now_s: float,
    from_s: float,
    to_s: float,
    spread: float,
) -> float | None:
    """Return when a refused request will be within its account's share.

    Parameters
    ----------
    shares : Shares
        Shares of the service.
    account : str
        Name of the account; `REST` for a request without one.
    priority : int
        Priority of the request's route.
    key : str
        Key of its draws.
    now_s : float
        Current time of day.
    from_s, to_s : float
        The shortest and the longest time to promise.
    spread : float
        Number from 0 to 1 that spreads returns over a period.

    Returns
    -------
    float or None
        Seconds from now; None if that is not before `to_s`.
    """
    phase = unit_of(key)
    first = math.floor((now_s + from_s) / DRAW_PERIOD_S + phase) + 1
    last = math.floor((now_s + to_s) / DRAW_PERIOD_S + phase)
    for period in range(first, last + 1):
        draw = unit_of(f"{key}\n{period}")
        if position(shares, account, priority, draw) <= PROMISE_SHARE:
            begins_s = (period - phase) * DRAW_PERIOD_S - now_s
            after_s = begins_s + PROMISE_PERIOD_SHARE * DRAW_PERIOD_S * spread
            return after_s if after_s <= to_s else None
    return None


def share_of(shares: Shares, account: str) -> float:
    """Return the work a second that an account is due; infinite if all fits."""
    if account == REST:
        return shares.level * shares.rest_weight
    return shares.level * shares.weights.get(account, 1.0)


def position(shares: Shares, account: str, priority: int, draw: float) -> float:
    """Return where a request stands on its account's demand, relative to its share.

    Parameters
    ----------
    shares : Shares
        Shares of the service.
    account : str
        Name of the account; `REST` for a request without one.
    priority : int
        Priority of the request's route.
    draw : float
        Number from 0 to 1 of the request, see :func:`draw_of`.

    Returns
    -------
    float
        Below 1 if the request is within the account's share.
    """
    if math.isinf(shares.level):
        return 0.0
    name, weight = account, shares.weights.get(account, 1.0)
    if account == REST:
        weight = 1.0
    elif account not in shares.demands:
        if shares.rest_weight <= 1.0:
            # All accounts are counted one by one, and this one has offered nothing.
            return 0.0
        name, weight = REST, shares.rest_weight
    demand = shares.demands.get(name, NO_DEMAND)
    urgency = min(priority, URGENCIES_COUNT - 1)
    before = sum(demand.offered[:urgency])
    work = before + draw * demand.offered[urgency]
    ratio = work / (shares.level * weight)
    return ratio * shares.corrections.get(name, 1.0)


def factor(relative_position: float) -> float:
    """Return the share of the bound on the wait that a request may use.

    Parameters
    ----------
    relative_position : float
        Position of the request, see :func:`position`.

    Returns
    -------
    float
        1 for a request within the share, see :func:`.prompt_admission.limit_s`.

    Examples
    --------
    >>> [round(factor(at), 2) for at in (0.0, 0.9, 0.95, 1.0, 1.1, 2.2, 9.0)]
    [1.0, 1.0, 0.64, 0.58, 0.45, 0.23, 0.06]
    """
    if relative_position <= FULL_POSITION:
        return 1.0
    if relative_position >= LEAST_POSITION:
        return LEAST_FACTOR * LEAST_POSITION / relative_position
    slope = (SHARED_FACTOR - LEAST_FACTOR) / (LEAST_POSITION - FULL_POSITION)
    return SHARED_FACTOR - slope * (relative_position - FULL_POSITION)


def draw_of(key: str, now_s: float) -> float:
    """Return a number from 0 to 1 for a request, the same if it is repeated at once.

    Examples
    --------
    >>> draw_of("k", 7.0) == draw_of("k", 7.0), 0.0 <= draw_of("k", 7.0) < 1.0
    (True, True)
    >>> draw_of("k", 7.0) == draw_of("k", 7.0 + DRAW_PERIOD_S)
    False
    """
    period = math.floor(now_s / DRAW_PERIOD_S + unit_of(key))
    return unit_of(f"{key}\n{period}")


def next_draw_after_s(key: str, now_s: float) -> float:
    """Return the time after which a request gets another draw."""
    periods = now_s / DRAW_PERIOD_S + unit_of(key)
    return (math.floor(periods) + 1 - periods) * DRAW_PERIOD_S


def unit_of(text: str) -> float:
    """Return a number from 0 to 1 that is the same for equal texts."""
    return (xxhash.xxh64_intdigest(text.encode()) >> (64 - DRAW_BITS)) / (
        1 << DRAW_BITS
    )
