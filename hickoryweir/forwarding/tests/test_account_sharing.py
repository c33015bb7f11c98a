"""A router that divides short capacity between client accounts."""

import asyncio
import dataclasses
import math

from hickoryweir.feeds import account_work, messages
from hickoryweir.forwarding import account_sharing, contexts, headers, server_pool
from hickoryweir.forwarding.tests import sites
from hickoryweir.forwarding_policy import account_shares
from hickoryweir.observability import forwarding_metrics, logs
from hickoryweir.routes import matching, model
from hickoryweir.routes.tests import tables

ACCOUNTS = (
    model.ClientAccount("north", ("k-north",), None),
    model.ClientAccount("south", ("k-south",), None),
)
# Prompts may wait for a quarter of it: 0.5 s, or 22,500 tokens at 45,000 tokens/s.
TARGET_S = 2.0
# More than a prompt beyond its share may wait for, and less than others may.
BACKLOG_TOKENS_COUNT = 9_000


def make_route():
    return tables.make_route(
        allows_anonymous=True,
        has_prompt=True,
        target_latency_s=TARGET_S,
        timeout_s=8.0,
    )


def run(scenario, accounts=ACCOUNTS, shares_capacity=True):
    async def main():
        async with sites.run_site(
            [sites.answering()], routes=(make_route(),), accounts=accounts
        ) as site:
            site.forwarder.settings = dataclasses.replace(
                site.forwarder.settings, shares_capacity=shares_capacity
            )
            return await scenario(site)

    return asyncio.run(main())


def prompt_headers(key, number=0):
    given = {headers.PROMPT: f"m;1000;10;a:500,own{number}:500"}
    if key:
        given["Authorization"] = f"Bearer {key}"
    return given


def set_backlog(site, tokens_count):
    (view,) = site.forwarder.pool.servers.values()
    view.in_flight[0] = server_pool.InFlightRequest(tokens_count, 0.0)


def make_sums(offered, completed, age_s=0.0):
    """Return sums of all routers in which `north` offers much more than its share."""
    accounts = tuple(
        messages.AccountWork(name, (0, work, 0, 0), 0, 0)
        for name, work in offered.items()
    )
    work = messages.ServiceWork("app", True, completed, accounts)
    return messages.TotalWork((work,), age_s, 88)


FLOOD = make_sums({"north": 10_000_000, "south": 1_000}, 10_000)


async def call(site, key, number=0):
    status, answered, _ = await site.call(given=prompt_headers(key, number))
    return status, answered.get("Retry-After")


def test_account_beyond_its_share_is_refused_while_others_are_served():
    """Guards against an account whose load keeps others from being served."""

    async def scenario(site):
        set_backlog(site, BACKLOG_TOKENS_COUNT)
        account_sharing.apply_sums(site.forwarder, FLOOD)
        return [(await call(site, key))[0] for key in ("k-north", "k-south")]

    assert run(scenario) == [503, 200]


def test_nothing_changes_while_no_router_is_short():
    """Guards against refusals by shares while capacity suffices."""

    async def scenario(site):
        set_backlog(site, BACKLOG_TOKENS_COUNT)
        return [(await call(site, key))[0] for key in ("k-north", "k-south")]

    assert run(scenario) == [200, 200]


def test_one_account_has_all_the_room_and_the_same_retry_after_as_before():
    """Guards against shares in a table where no accounts compete."""

    async def scenario(site):
        account_sharing.apply_sums(site.forwarder, FLOOD)
        set_backlog(site, BACKLOG_TOKENS_COUNT)
        served = await call(site, "k-north")
        set_backlog(site, 10**6)
        refused = await call(site, "k-north", 1)
        return served[0], refused, site.forwarder.sharing.ledgers

    status, refused, ledgers = run(scenario, ACCOUNTS[:1])
    assert (status, refused, ledgers) == (200, (503, "3.00"), {})


def test_idle_server_takes_an_account_beyond_its_share():
    """Guards against capacity left unused for the sake of shares."""

    async def scenario(site):
        account_sharing.apply_sums(site.forwarder, FLOOD)
        return await call(site, "k-north")

    assert run(scenario)[0] == 200


def test_empty_sum_ends_the_shares():
    """Guards against shares that stay in force when the shortage has ended."""

    async def scenario(site):
        set_backlog(site, BACKLOG_TOKENS_COUNT)
        account_sharing.apply_sums(site.forwarder, FLOOD)
        account_sharing.apply_sums(site.forwarder, messages.TotalWork((), 0.0, 88))
        return await call(site, "k-north")

    assert run(scenario)[0] == 200


def test_old_sum_counts_for_nothing_beside_many_own_requests(monkeypatch):
    """Guards against shares that keep to demands which have long changed."""
    # The counts of slow calls would decay before the last one.
    monkeypatch.setattr(account_shares, "TIME_CONSTANT_S", 60.0)

    async def scenario(site):
        set_backlog(site, BACKLOG_TOKENS_COUNT)
        old = dataclasses.replace(FLOOD, age_s=account_shares.SUM_STALE_AFTER_S)
        for number in range(12):
            await call(site, "k-south", number)
        account_sharing.apply_sums(site.forwarder, old)
        return await call(site, "k-north")

    assert run(scenario)[0] == 200


def test_old_sum_is_used_by_a_router_that_has_seen_nothing_else():
    """Guards against a restarted router that admits any account at once."""

    async def scenario(site):
        set_backlog(site, BACKLOG_TOKENS_COUNT)
        old = dataclasses.replace(FLOOD, age_s=account_shares.SUM_STALE_AFTER_S)
        account_sharing.apply_sums(site.forwarder, old)
        return await call(site, "k-north")

    assert run(scenario)[0] == 503


def test_sum_is_forgotten_in_time():
    """Guards against refusals by demands of a shortage long ago."""

    async def scenario(site):
        set_backlog(site, BACKLOG_TOKENS_COUNT)
        old = dataclasses.replace(FLOOD, age_s=account_shares.OLD_SUM_RETENTION_S)
        account_sharing.apply_sums(site.forwarder, old)
        return await call(site, "k-north")

    assert run(scenario)[0] == 200


def test_changed_weight_takes_effect_with_the_next_table(monkeypatch):
    """Guards against weights that reach a router only with the next sums."""
    # Draws differ with the time of day, and slow calls would outlive the sums.
    draw_of = account_shares.draw_of
    monkeypatch.setattr(account_shares, "draw_of", lambda key, _: draw_of(key, 0.0))
    monkeypatch.setattr(account_shares, "SUM_STALE_AFTER_S", math.inf)
    heavy = dataclasses.replace(ACCOUNTS[0], weight=1e6)
    sums = make_sums({"north": 1_000_000, "south": 1_000_000}, 1_200_000)

    async def count_served(site):
        return [(await call(site, "k-north", number))[0] for number in range(12)].count(
            200
        )

    async def scenario(site):
        set_backlog(site, BACKLOG_TOKENS_COUNT)
        account_sharing.apply_sums(site.forwarder, sums)
        before = await count_served(site)
        table = site.forwarder.route_index.table
        changed = dataclasses.replace(table, accounts=(heavy, ACCOUNTS[1]))
        site.forwarder.route_index = matching.make_index(changed)
        account_sharing.apply_table(site.forwarder)
        return before, await count_served(site)

    before, after = run(scenario)
    assert 0 < before < 12
    assert after == 12


def test_weight_that_changes_while_a_request_waits_takes_effect(monkeypatch):
    """Guards against a verdict that is kept from before the change."""
    heavy = dataclasses.replace(ACCOUNTS[0], weight=1e6)
    sums = make_sums({"north": 1_000_000, "south": 1_000_000}, 1_200_000)
    waiting = []
    monkeypatch.setattr(
        account_sharing, "record", lambda context, *given: waiting.append(context)
    )

    async def scenario(site):
        account_sharing.apply_sums(site.forwarder, sums)
        for number in range(12):
            await call(site, "k-north", number)
        before = [account_sharing.decide(context).factor for context in waiting]
        table = site.forwarder.route_index.table
        changed = dataclasses.replace(table, accounts=(heavy, ACCOUNTS[1]))
        site.forwarder.route_index = matching.make_index(changed)
        account_sharing.apply_table(site.forwarder)
        return before, [account_sharing.decide(context).factor for context in waiting]

    before, after = run(scenario)
    assert min(before) < 1.0
    assert set(after) == {1.0}


def test_refusal_logs_account_share_demand_age_and_position(monkeypatch):
    """Guards against refusals that operators can't explain."""
    recorded = []
    monkeypatch.setattr(logs, "info", lambda *given: recorded.append(given))

    async def scenario(site):
        set_backlog(site, BACKLOG_TOKENS_COUNT)
        account_sharing.apply_sums(site.forwarder, FLOOD)
        return await call(site, "k-north")

    assert run(scenario)[0] == 503
    (detail,) = [
        fields.detail
        for message, fields in recorded
        if message == "request answered by the router"
    ]
    for part in (
        "account north offers 10000000 tokens/s",
        "share ",
        "beyond it",
        " of the bound, ",
        "all routers 0.0",
    ):
        assert part in detail


def test_work_is_counted_once_and_reported_while_capacity_is_short():
    """Guards against counts that are sent while no capacity is short."""

    async def scenario(site):
        before = account_sharing.make_report(site.forwarder)
        await call(site, "k-south")
        without_shortage = account_sharing.make_report(site.forwarder)
        set_backlog(site, 10**6)
        await call(site, "k-north", 1)
        return before, without_shortage, account_sharing.make_report(site.forwarder)

    before, without_shortage, report = run(scenario)
    assert (before, without_shortage) == (None, None)
    (work,) = report.services
    demands = account_work.read_demands(work)
    assert work.is_short
    assert set(demands) == {"north", "south"}
    assert demands["south"].refused == demands["north"].admitted == 0.0
    assert demands["south"].admitted > 0.0
    assert demands["north"].refused > 0.0


def test_requests_without_account_share_one_entry():
    """Guards against requests without an account that escape the shares."""

    async def scenario(site):
        set_backlog(site, 10**6)
        await call(site, "")
        return list(site.forwarder.sharing.ledgers["app"].tallies)

    assert run(scenario) == [account_shares.REST]


def test_metrics_show_the_shares_only_while_capacity_is_short():
    """Guards against gauges that show shares no longer in force."""

    async def scenario(site):
        forwarder = site.forwarder
        await call(site, "k-south")
        account_sharing.apply_sums(forwarder, FLOOD)
        account_sharing.update_gauges(forwarder)
        shown = forwarding_metrics.expose(forwarder.metrics).decode()
        gone = dataclasses.replace(FLOOD, age_s=account_shares.OLD_SUM_RETENTION_S)
        account_sharing.apply_sums(forwarder, gone)
        account_sharing.update_gauges(forwarder)
        return shown, forwarding_metrics.expose(forwarder.metrics).decode()

    shown, hidden = run(scenario)
    assert 'account_shares{account="north",service="app"}' in shown
    assert 'account_work_total{account="south",verdict="admitted"}' in shown
    assert "account_shares{" not in hidden


def test_retry_after_is_within_the_callers_time_and_differs_between_requests():
    """Guards against refused callers who all come back at the same time."""

    async def scenario(site):
        set_backlog(site, BACKLOG_TOKENS_COUNT)
        account_sharing.apply_sums(site.forwarder, FLOOD)
        return [await call(site, "k-north", number) for number in range(8)]

    found = run(scenario)
    times_s = [float(retry_after) for _, retry_after in found]
    assert {status for status, _ in found} == {503}
    assert len(set(times_s)) > 4
    assert max(times_s) <= 0.25 * 8.0


def test_accounts_in_metrics_are_bounded():
    """Guards against a time series for each of thousands of accounts."""
    many = tuple(
        model.ClientAccount(f"a{number}", (f"k{number}",), None)
        for number in range(2 * account_shares.MAX_ACCOUNTS_COUNT)
    )
    sharing = contexts.Sharing()
    labels = {account_sharing._metric_label(sharing, item.name) for item in many}
    assert len(labels) == account_shares.MAX_ACCOUNTS_COUNT + 1


def test_without_the_feature_accounts_are_not_told_apart():
    """Guards against a change for sites whose settings don't ask for shares."""

    async def scenario(site):
        account_sharing.apply_sums(site.forwarder, FLOOD)
        set_backlog(site, BACKLOG_TOKENS_COUNT)
        return [await call(site, key) for key in ("k-north", "k-south")]

    assert {status for status, _ in run(scenario, shares_capacity=False)} == {200}
