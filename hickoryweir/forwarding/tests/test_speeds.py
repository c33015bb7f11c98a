"""Real routers before servers that announce true, false, old or malformed speeds."""

import asyncio
import collections
import contextlib
import dataclasses
import random

import aiohttp
import pytest
from aiohttp import web

from hickoryweir import clocks
from hickoryweir.discovery import listing
from hickoryweir.feeds import speeds as speed_messages
from hickoryweir.forwarding import (
    headers,
    server,
    server_pool,
    server_selection,
    speeds,
)
from hickoryweir.forwarding.tests import sites
from hickoryweir.forwarding_policy import prefill_interference
from hickoryweir.observability import forwarding_metrics, logs
from hickoryweir.routes import matching, model
from hickoryweir.routes.tests import tables

SERVERS_COUNT = 4
ROUTERS_COUNT = 2
SLOTS_COUNT = 8
TOKENS_PER_EVENT_COUNT = 7
EVENTS_COUNT = 3
CALLS_COUNT = 120
SLOW_ID, SLOW_PERCENT = "s1", 400
PREFILL_TOKENS_PER_S = 100_000.0
STEP_S = 0.0005
# A quiet machine has fewer at once; without a bound a busy one would refuse some.
MAX_IN_FLIGHT_COUNT = 16
ROUTE = tables.make_route(
    allows_anonymous=True,
    is_stream=True,
    has_prompt=True,
    execution=model.Execution.AT_MOST_ONCE,
    # On a busy machine, some requests take more than 2 s.
    timeout_s=20.0,
    target_latency_s=2.0,
    target_gap_s=0.5,
)


def true_figure(percent):
    return f"1,0,{SLOTS_COUNT},{percent}"


def make_answer(server_id, percent, announce):
    """Return a server that prefills and generates at a percentage of its usual time."""

    async def answer(request, body):
        prompt = headers.parse_prompt(request.headers[headers.PROMPT])
        prefill_s = prompt.input_tokens_count / PREFILL_TOKENS_PER_S
        event_s = TOKENS_PER_EVENT_COUNT * STEP_S
        await asyncio.sleep(percent / 100 * (prefill_s + event_s))
        given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
        figure = announce(percent, server_id)
        if figure is not None:
            given[headers.LOAD] = figure
        response = web.StreamResponse(headers=given)
        await response.prepare(request)
        for number in range(EVENTS_COUNT):
            if number:
                await asyncio.sleep(percent / 100 * event_s)
            await response.write(b"id: %d\ndata: x\n\n" % number)
        return response

    return answer


@dataclasses.dataclass(slots=True)
class Site:
    """Several routers before the same servers."""

    forwarders: list
    ports: list
    backends: list
    session: aiohttp.ClientSession
    called_count: int = 0

    async def call(self, number, tokens_count=4_000):
        """Send a prompt that shares no part with others to one of the routers."""
        port = self.ports[number % len(self.ports)]
        given = {
            "Host": "site.example",
            headers.REQUEST_ID: f"r-{number}",
            headers.PROMPT: f"m;{tokens_count};5;p{number}:{tokens_count}",
        }
        url = f"http://{sites.HOST}:{port}/chat/x"
        async with self.session.post(url, headers=given) as response:
            return response.status, await response.read()

    async def call_all(self, count=CALLS_COUNT, interval_s=0.01):
        """Send new prompts one after another; return what each server got of them.

        Prompts that were sent before would go to the servers that have them cached.
        """
        before = self.counts()
        tasks, in_flight = [], asyncio.Semaphore(MAX_IN_FLIGHT_COUNT)
        for number in range(self.called_count, self.called_count + count):
            await in_flight.acquire()
            tasks.append(asyncio.create_task(self.call(number)))
            tasks[-1].add_done_callback(lambda _: in_flight.release())
            await asyncio.sleep(interval_s)
        self.called_count += count
        answers = await asyncio.gather(*tasks)
        assert {status for status, _ in answers} == {200}
        return self.counts() - before

    def counts(self):
        """Return how many requests each server got."""
        return collections.Counter(
            {item.server_id: len(item.seen) for item in self.backends}
        )


def exchange(forwarders):
    """Do what the replica does that sums the routers' speeds."""
    now_s = clocks.boottime_s()
    reports = []
    for forwarder in forwarders:
        known = speeds.own_speeds(forwarder)
        if known is not None:
            speeds.record_sent(forwarder, known)
            reports.append((known, now_s))
    if reports:
        total = speed_messages.sum_speeds(reports, now_s)
        for forwarder in forwarders:
            speeds.apply_total(forwarder, total)


async def exchange_repeatedly(forwarders):
    while True:
        await asyncio.sleep(0.1)
        exchange(forwarders)


@contextlib.asynccontextmanager
async def run_site(announce, percents=None):
    """Run routers and servers, of which one is slow unless `percents` says else."""
    if percents is None:
        percents = {SLOW_ID: SLOW_PERCENT}
    backends = []
    for number in range(SERVERS_COUNT):
        name = f"s{number}"
        answer = make_answer(name, percents.get(name, 100), announce)
        backends.append(await sites.start_backend(name, answer))
    service = dataclasses.replace(
        tables.make_service(),
        slots_count=SLOTS_COUNT,
        tokens_per_event_count=TOKENS_PER_EVENT_COUNT,
    )
    forwarders, running = [], []
    for number in range(ROUTERS_COUNT):
        forwarder = sites.make_forwarder((ROUTE,))
        forwarder.generator = random.Random(number)
        forwarder.route_index = matching.make_index(
            tables.make_table((ROUTE,), services=(service,))
        )
        sites.list_servers(forwarder, backends)
        forwarders.append(forwarder)
        running.append(await server.start(forwarder, sites.HOST, 0))
    ports = [item.listener.sockets[0].getsockname()[1] for item in running]
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    replica = asyncio.create_task(exchange_repeatedly(forwarders))
    try:
        yield Site(forwarders, ports, backends, session)
    finally:
        replica.cancel()
        await session.close()
        for item in running:
            await server.stop(item, 0.1)
        for backend in backends:
            backend.listener.close()
        for forwarder in forwarders:
            await forwarder.retryable_session.close()
            await forwarder.at_most_once_session.close()


def announce_truth(percent, server_id):
    return true_figure(percent)


def announce_nothing(percent, server_id):
    return None


def announce_load_only(percent, server_id):
    return f"1,0,{SLOTS_COUNT}"


def slow_view(forwarder):
    return forwarder.pool.servers[SLOW_ID]


def test_slow_server_gets_less_than_the_others_but_not_nothing():
    """Guards against placement that ignores an announced slowness or shuns a server."""

    async def main():
        async with run_site(announce_truth) as site:
            await site.call_all()
            return await site.call_all()

    counts = asyncio.run(main())
    others = [count for name, count in counts.items() if name != SLOW_ID]
    assert 0 < counts[SLOW_ID] < min(others)


def test_all_routers_learn_the_rate_and_the_speed_that_one_of_them_measures():
    """Guards against a router that knows only what its own requests show."""

    async def main():
        async with run_site(announce_truth) as site:
            for number in range(CALLS_COUNT):
                # All at the first router, one at a time.
                await site.call(ROUTERS_COUNT * number)
            exchange(site.forwarders)
            second = site.forwarders[1]
            now_s = clocks.boottime_s()
            return (
                slow_view(second).speed.announced.weight,
                speeds.slowness_of(second, slow_view(second), now_s),
                speeds.rates_of(second, "app"),
            )

    weight, _, rates = asyncio.run(main())
    assert weight == 0.0
    assert rates.is_learned
    assert rates.prefill_tokens_per_s > 1.5 * prefill_interference.PREFILL_TOKENS_PER_S


@pytest.mark.parametrize("announce", [announce_nothing, announce_load_only])
def test_without_announced_slowness_nothing_is_learned_or_sent(announce):
    """Guards against changes where servers announce no slowness."""

    async def main():
        async with run_site(announce) as site:
            await site.call_all(40)
            first = site.forwarders[0]
            return first.speeds, speeds.own_speeds(first), speeds.rates_of(first, "app")

    known, sent, rates = asyncio.run(main())
    assert known == {}
    assert sent is None
    assert rates == prefill_interference.DEFAULT_RATES


@pytest.mark.parametrize(
    "figure",
    ["", "x", "1,0", "1,0,8,0", "1,0,8,-5", "1,0,8,nan", "1,0,8,1e12", "9" * 5_000],
)
def test_malformed_or_absurd_figures_have_no_effect(figure):
    """Guards against an exception or a wrong placement because of one header."""

    def announce(percent, server_id):
        return figure if server_id == SLOW_ID else true_figure(percent)

    async def main():
        async with run_site(announce, {}) as site:
            counts = await site.call_all(60)
            forwarder = site.forwarders[0]
            return counts, slow_view(forwarder).speed.announced.weight

    counts, weight = asyncio.run(main())
    assert weight == 0.0
    assert counts[SLOW_ID] > 0


def test_measurements_correct_a_server_that_claims_to_be_fast():
    """Guards against trust in a figure that measurements contradict."""

    def announce(percent, server_id):
        return true_figure(50 if server_id == SLOW_ID else 100)

    async def main():
        async with run_site(announce) as site:
            await site.call_all()
            counts = await site.call_all()
            exchange(site.forwarders)
            now_s = clocks.boottime_s()
            first = site.forwarders[0]
            return counts, speeds.slowness_of(first, slow_view(first), now_s)

    counts, slowness = asyncio.run(main())
    assert slowness > 1.0
    assert counts[SLOW_ID] <= CALLS_COUNT / SERVERS_COUNT


def test_old_figure_has_no_weight():
    """Guards against a server that is avoided for a slowness of long ago."""

    def heard_at_s(forwarder):
        return slow_view(forwarder).announced_at_s

    async def main():
        async with run_site(announce_truth) as site:
            await site.call_all(60)
            router = max(site.forwarders, key=heard_at_s)
            view, fresh_s = slow_view(router), heard_at_s(router)
            return (
                speeds.slowness_of(router, view, fresh_s),
                speeds.slowness_of(router, view, fresh_s + 20.0),
            )

    fresh, old = asyncio.run(main())
    assert fresh > 1.2
    assert old == 1.0


def test_restarted_server_starts_without_the_old_slowness():
    """Guards against a new incarnation that inherits what its predecessor announced."""

    async def main():
        async with run_site(announce_truth) as site:
            await site.call_all(60)
            forwarder = site.forwarders[0]
            listed = tuple(
                dataclasses.replace(view.listed, started_at_ms=7)
                for view in forwarder.pool.servers.values()
            )
            found = listing.ServerList(listed, clocks.boottime_s())
            server_pool.update_servers(forwarder.pool, found)
            return speeds.slowness_of(
                forwarder, slow_view(forwarder), clocks.boottime_s()
            )

    assert asyncio.run(main()) == 1.0


def test_announced_requests_count_when_they_exceed_the_known_ones():
    """Guards against more requests than slots while another router's report is late."""

    def announce(percent, server_id):
        return f"{SLOTS_COUNT},3,{SLOTS_COUNT},100"

    async def main():
        async with run_site(announce) as site:
            await site.call(0)
            forwarder = site.forwarders[0]
            (view,) = (
                item
                for item in forwarder.pool.servers.values()
                if item.announced_requests_count
            )
            fresh = speeds.requests_count(view, 0)
            view.announced_at_s -= speeds.ANNOUNCED_REQUESTS_FRESH_S
            return fresh, speeds.requests_count(view, 0)

    assert asyncio.run(main()) == (SLOTS_COUNT + 3, 0)


def test_decision_lines_and_gauges_show_the_speeds(monkeypatch):
    """Guards against decisions that operators can't reconstruct."""
    lines = []
    monkeypatch.setattr(
        logs, "info", lambda text, fields=None: lines.append((text, fields))
    )

    async def main():
        async with run_site(announce_truth) as site:
            await site.call_all(40)
            forwarder = site.forwarders[0]
            speeds.update_gauges(forwarder)
            return forwarding_metrics.expose(forwarder.metrics).decode()

    text = asyncio.run(main())
    details = [fields.detail for name, fields in lines if name == "request sent"]
    assert "slowness" in details[-1]
    assert "cost" in details[-1]
    assert f'hickoryweir_server_slowness{{server="{SLOW_ID}"}}' in text


def test_default_rates_return_when_servers_announce_no_longer():
    """Guards against learned rates in force where servers announce no slowness."""

    async def main():
        async with run_site(announce_truth) as site:
            await site.call_all()
            forwarder = site.forwarders[0]
            before = speeds.rates_of(forwarder, "app")
            forwarder.speeds["app"].announced_at_s -= speeds.ANNOUNCED_WITHIN_S
            speeds.remove_stale_rates(forwarder)
            return before, forwarder.speeds["app"].rates

    before, after = asyncio.run(main())
    assert before.is_learned
    assert after == prefill_interference.DEFAULT_RATES


def test_refusals_follow_the_learned_rate():
    """Guards against prompts refused for a backlog that is prefilled in time."""

    async def main():
        async with run_site(announce_truth) as site:
            await site.call_all()
            forwarder = site.forwarders[0]
            learned = speeds.rates_of(forwarder, "app").prefill_tokens_per_s
            context = type(
                "Context", (), {"forwarder": forwarder, "service_name": "app"}
            )()
            return learned, server_selection._prefill_factor(context)

    learned, factor = asyncio.run(main())
    assert factor == pytest.approx(prefill_interference.PREFILL_TOKENS_PER_S / learned)


def test_only_servers_that_join_later_count_as_new():
    """Guards against a router that takes all servers for slow when it has started."""

    async def main():
        async with run_site(announce_truth) as site:
            forwarder = site.forwarders[0]
            sites.list_servers(forwarder, site.backends[:3])
            sites.list_servers(forwarder, site.backends)
            return [
                forwarder.pool.servers[item.server_id].usable_since_s
                for item in site.backends
            ]

    *first, last = asyncio.run(main())
    assert set(first) == {float("-inf")}
    assert last > 0.0
