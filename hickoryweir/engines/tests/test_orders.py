"""Tests of orders to the stand-in engine."""

import asyncio

from returns import result

from hickoryweir.engines import orders
from hickoryweir.engines.tests import benches
from hickoryweir.testing import engine

TIMEOUT_S = 5.0


def make_order(fencing, version="2"):
    kind = orders.OrderKind.LOAD_MODEL
    order_id = f"{fencing}/{version}"
    return orders.Order(order_id, "e", fencing, kind, model="m", version=version)


async def send(bench, order, holds_lease=lambda: True):
    return await orders.send(
        bench.session, bench.server, order, holds_lease, timeout_s=TIMEOUT_S
    )


def run_with_engine(test, *, checks_fencing=True):
    async def main():
        settings = engine.EngineSettings(checks_fencing=checks_fencing, load_s=0.0)
        async with benches.engine_bench(settings) as bench:
            return await test(bench)

    return asyncio.run(main())


def test_executed_order_shows_in_the_health_report():
    async def test(bench):
        assert isinstance(await send(bench, make_order(1)), result.Success)
        health = await orders.fetch_health(bench.session, bench.server, TIMEOUT_S)
        versions = {found.name: found.version for found in health.unwrap().models}
        assert versions["m"] == "2"

    run_with_engine(test)


def test_stale_fencing_token_is_refused():
    async def test(bench):
        await send(bench, make_order(2))
        failure = (await send(bench, make_order(1, "1"))).failure()
        assert failure.reason is orders.OrderFailureReason.STALE_FENCING

    run_with_engine(test)


def test_engine_that_ignores_fencing_executes_a_stale_order():
    async def test(bench):
        await send(bench, make_order(2))
        assert isinstance(await send(bench, make_order(1, "1")), result.Success)

    run_with_engine(test, checks_fencing=False)


def test_order_with_lost_response_is_executed_once():
    async def test(bench):
        await bench.faults(lost_orders_count=1)
        lost = (await send(bench, make_order(1))).failure()
        again = await send(bench, make_order(1))
        assert lost.reason is orders.OrderFailureReason.UNKNOWN
        assert isinstance(again, result.Success)
        assert len(bench.app[engine.ENGINE].orders.history) == 1

    run_with_engine(test)


def test_issuer_without_lease_sends_nothing():
    async def test(bench):
        failure = (await send(bench, make_order(1), lambda: False)).failure()
        assert failure.reason is orders.OrderFailureReason.NOT_SENT
        assert bench.app[engine.ENGINE].orders.history == []

    run_with_engine(test)
