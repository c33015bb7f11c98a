"""A router's part in dividing short capacity between client accounts.

The decisions are in :mod:`hickoryweir.forwarding_policy.account_shares`.  While nothing
is short, or the table names fewer than two accounts, only the work is counted and no
decision changes.

Ages are on :func:`clocks.boottime_s`; draws are on the time of day, so that routers
whose clocks agree give a repeated request the same draw.
"""

import math
import time

from hickoryweir import clocks
from hickoryweir.feeds import account_work, messages
from hickoryweir.forwarding import contexts, server_pool
from hickoryweir.forwarding_policy import account_shares, prompt_admission

MIN_ACCOUNTS_COUNT = 2
# Shares change no faster than the sums arrive.
COMPUTE_INTERVAL_S = 0.1
ALL_ROUTERS = "all routers"
OWN_COUNTS = "own counts"
OLD_SUM = "old sum"
REST_LABEL = "rest"


def is_enabled(forwarder: contexts.Forwarder) -> bool:
    """Return whether the settings and the table have accounts that compete."""
    index = forwarder.route_index
    if index is None or not forwarder.settings.shares_capacity:
        return False
    return len(index.table.accounts) >= MIN_ACCOUNTS_COUNT


def decide(context: contexts.RequestContext) -> contexts.ShareVerdict:
    """Return whether a prompt is within its account's share.

    It is decided anew until the prompt is admitted or refused, since weights and shares
    may change while it waits for room at a server.
    """
    if context.share is None or context.work is None:
        context.share = _decide(context)
    return context.share


def _decide(context: contexts.RequestContext) -> contexts.ShareVerdict:
    forwarder, service_name = context.forwarder, context.service_name
    account = _account_name(context)
    if context.metadata.prompt is None or not is_enabled(forwarder):
        return contexts.ShareVerdict(account)
    now_s = clocks.boottime_s()
    shares, counted_at_s, source = _current_shares(forwarder, service_name, now_s)
    if not source:
        return contexts.ShareVerdict(account)
    position = account_shares.position(
        shares,
        account,
        context.route.priority,
        account_shares.draw_of(_draw_key(context), time.time()),
    )
    return contexts.ShareVerdict(
        account,
        position,
        account_shares.factor(position),
        account_shares.share_of(shares, account),
        shares.demands.get(account, account_shares.NO_DEMAND).total,
        now_s - counted_at_s,
        source,
    )


def _account_name(context: contexts.RequestContext) -> str:
    return account_shares.REST if context.account is None else context.account.name


def _draw_key(context: contexts.RequestContext) -> str:
    """Return a key that is equal when a caller repeats a request.

    The last part of a prompt belongs to one request alone, also where bodies are equal.
    """
    parts = context.metadata.prompt.parts
    part_id = parts[-1].part_id if parts else context.metadata.request_id
    return f"{context.fingerprint}\n{part_id}"


def _current_shares(
    forwarder: contexts.Forwarder, service_name: str, now_s: float
) -> tuple[account_shares.Shares, float, str]:
    """Return the shares in force, when their counts were taken, and their source.

    The source is empty while nothing is short.
    """
    sharing = forwarder.sharing
    ledger = sharing.ledgers.get(service_name)
    found = _usable_sum(sharing, service_name, now_s)
    is_own_short = ledger is not None and account_shares.is_short(ledger, now_s)
    if found is None and not is_own_short:
        sharing.shares.pop(service_name, None)
        sharing.corrections.pop(service_name, None)
        return account_shares.NO_SHARES, now_s, ""
    source = _source_of(found, now_s)
    known = sharing.shares.get(service_name)
    if (
        known is None
        or known.source != source
        or now_s - known.computed_s >= COMPUTE_INTERVAL_S
    ):
        if source == ALL_ROUTERS:
            known = _compute_from_sum(forwarder, service_name, found, now_s)
        else:
            own = ledger or account_shares.Ledger()
            blended = account_shares.blend(found, own, now_s)
            shares = _compute(forwarder, service_name, blended)
            known = contexts.SharesInForce(shares, now_s, blended.counted_at_s, source)
        sharing.shares[service_name] = known
    return known.shares, known.counted_at_s, known.source


def _source_of(found: account_shares.Sum | None, now_s: float) -> str:
    """Return from whose counts shares are computed."""
    if found is None:
        return OWN_COUNTS
    is_stale = now_s - found.counted_at_s >= account_shares.SUM_STALE_AFTER_S
    return OLD_SUM if is_stale else ALL_ROUTERS


def _usable_sum(
    sharing: contexts.Sharing, service_name: str, now_s: float
) -> account_shares.Sum | None:
    """Return the last sum; delete it once its retention period has passed."""
    found = sharing.sums.get(service_name)
    if found is None:
        return None
    if now_s - found.counted_at_s >= account_shares.OLD_SUM_RETENTION_S:
        del sharing.sums[service_name]
        return None
    return found


def _compute(
    forwarder: contexts.Forwarder, service_name: str, found: account_shares.Sum
) -> account_shares.Shares:
    return account_shares.compute(
        found.demands,
        weights_of(forwarder),
        found.completed,
        _mean_wait_share(forwarder, service_name),
    )


def _compute_from_sum(
    forwarder: contexts.Forwarder,
    service_name: str,
    found: account_shares.Sum,
    now_s: float,
) -> contexts.SharesInForce:
    """Compute the shares from the sum of all routers."""
    sharing = forwarder.sharing
    shares = _compute(forwarder, service_name, found)
    corrections, at_s = sharing.corrections.get(service_name, ({}, now_s))
    shares = account_shares.correct(shares, corrections, now_s - at_s)
    sharing.corrections[service_name] = (shares.corrections, now_s)
    return contexts.SharesInForce(shares, now_s, found.counted_at_s, ALL_ROUTERS)


def _mean_wait_share(forwarder: contexts.Forwarder, service_name: str) -> float:
    """Return the mean wait at the servers, relative to the least urgent's bound."""
    bound_s, now_s = _least_urgent_bound_s(forwarder, service_name), time.monotonic()
    views = forwarder.pool.by_service.get(service_name)
    if not views or not bound_s:
        return 0.0
    backlogs = [server_pool.backlog_tokens_count(view, now_s) for view in views]
    wait_s = prompt_admission.predict_wait_s(
        sum(backlogs) / len(backlogs),
        forwarder.prefill_factors.get(service_name, 1.0),
    )
    return wait_s / bound_s


def _least_urgent_bound_s(forwarder: contexts.Forwarder, service_name: str) -> float:
    """Return the bound on the wait of the least urgent prompts; 0 without a bound."""
    bounds = forwarder.wait_bounds.get(service_name)
    if bounds is None:
        return 0.0
    return prompt_admission.limit_s(bounds, bounds.least_urgent)


def weights_of(forwarder: contexts.Forwarder) -> dict[str, float]:
    """Return the weights of the accounts of the table in force."""
    table = forwarder.route_index.table
    return {account.name: account.weight for account in table.accounts}


def record(context: contexts.RequestContext, is_admitted: bool, wait_s: float) -> None:
    """Count a prompt once it is admitted or refused, with the wait that it met."""
    forwarder = context.forwarder
    if context.work is not None or not is_enabled(forwarder):
        return
    account = _account_name(context)
    ledger = forwarder.sharing.ledgers.setdefault(
        context.service_name, account_shares.Ledger()
    )
    context.work = work = account_shares.work_of(
        context.placement.uncached_tokens_count,
        context.metadata.prompt.max_output_tokens_count,
    )
    now_s = clocks.boottime_s()
    account_shares.record(
        ledger, account, context.route.priority, work, is_admitted, now_s
    )
    bound_s = _least_urgent_bound_s(forwarder, context.service_name)
    if is_admitted and bound_s:
        account_shares.record_wait(ledger, wait_s, bound_s, now_s)
    verdict = "admitted" if is_admitted else "refused"
    label = _metric_label(forwarder.sharing, account)
    forwarder.metrics.account_work.labels(label, verdict).inc(work)


def _metric_label(sharing: contexts.Sharing, account: str) -> str:
    """Return the label of an account; those beyond a bounded number share one."""
    known = sharing.metric_accounts
    if account != account_shares.REST and (
        account in known or len(known) < account_shares.MAX_ACCOUNTS_COUNT
    ):
        known.add(account)
        return account
    return REST_LABEL


def retry_after_s(context: contexts.RequestContext, least_s: float) -> float:
    """Return the value of ``Retry-After``, spread so that callers don't return at once.

    A request beyond its account's share gets the time at which its draw will be within
    the share, or that of its next draw if no such time is near enough.

    Parameters
    ----------
    context : contexts.RequestContext
        The refused request.
    least_s : float
        Time after which servers are expected to have room.
    """
    forwarder = context.forwarder
    if not is_enabled(forwarder):
        return least_s
    key, left_s = _draw_key(context), context.time_left_s
    spread = account_shares.unit_of(f"{context.metadata.request_id}\n{key}")
    verdict = decide(context)
    if verdict.factor < 1.0:
        wall_s = time.time()
        shares, _, _ = _current_shares(
            forwarder, context.service_name, clocks.boottime_s()
        )
        promised_s = account_shares.promised_after_s(
            shares,
            verdict.account,
            context.route.priority,
            key,
            wall_s,
            prompt_admission.RETRY_MIN_S,
            prompt_admission.RETRY_SHARE_MAX * left_s,
            spread,
        )
        if promised_s is not None:
            return promised_s
        least_s = max(least_s, account_shares.next_draw_after_s(key, wall_s))
    return prompt_admission.spread_retry_after_s(least_s, spread, left_s)


def describe(context: contexts.RequestContext) -> str:
    """Return share, demand, age and verdict for a log line; empty without shares."""
    verdict = context.share
    if verdict is None or not verdict.source:
        return ""
    share = "all" if math.isinf(verdict.share) else f"{verdict.share:.0f}"
    side = "within" if verdict.factor == 1.0 else "beyond"
    return (
        f", account {verdict.account or REST_LABEL} offers {verdict.demand:.0f} "
        f"tokens/s, share {share}, position {verdict.position:.2f} {side} it, "
        f"{verdict.factor:.2f} of the bound, "
        f"{verdict.source} {verdict.age_s:.2f} s old"
    )


def apply_sums(forwarder: contexts.Forwarder, message: messages.TotalWork) -> None:
    """Store the demands summed over all routers."""
    sharing = forwarder.sharing
    counted_at_s = clocks.boottime_s() - max(0.0, message.age_s)
    # A service that the message lacks is not short any more.
    sharing.sums = {
        work.service_name: account_shares.Sum(
            account_work.read_demands(work),
            float(max(0, work.completed)),
            max(1, message.routers_count),
            counted_at_s,
        )
        for work in message.services
    }
    sharing.shares.clear()


def apply_table(forwarder: contexts.Forwarder) -> None:
    """Compute the shares anew, since the table may have other weights."""
    forwarder.sharing.shares.clear()


def make_report(forwarder: contexts.Forwarder) -> messages.RouterWork | None:
    """Return this router's counts; None if no router is short of capacity."""
    if not is_enabled(forwarder):
        return None
    sharing, now_s = forwarder.sharing, clocks.boottime_s()
    found = []
    for name, ledger in sharing.ledgers.items():
        is_short = account_shares.is_short(ledger, now_s)
        known = sharing.sums.get(name)
        is_short_elsewhere = (
            known is not None
            and now_s - known.counted_at_s < account_shares.SHORT_FOR_S
        )
        if is_short or is_short_elsewhere:
            demands = account_shares.demands(ledger, now_s)
            completed = account_shares.capacity(ledger, now_s)
            found.append(
                account_work.make_service_work(name, is_short, completed, demands)
            )
    return messages.RouterWork(tuple(found)) if found else None


def update_gauges(forwarder: contexts.Forwarder) -> None:
    """Show the shares in force; none while nothing is short."""
    gauges = forwarder.metrics.account_shares
    gauges.clear()
    if not is_enabled(forwarder):
        return
    for service_name in list(forwarder.sharing.ledgers):
        now_s = clocks.boottime_s()
        shares, _, source = _current_shares(forwarder, service_name, now_s)
        if not source or math.isinf(shares.level):
            continue
        for account in shares.demands:
            share = account_shares.share_of(shares, account)
            gauges.labels(service_name, account or REST_LABEL).set(share)
