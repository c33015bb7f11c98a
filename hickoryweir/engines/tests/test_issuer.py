"""Tests of the issuer's rounds with stand-in engines."""

import asyncio
import contextlib
import dataclasses
import time

from hickoryweir.configuration import model
from hickoryweir.engines import issuer, orders, orders_plan, sessions
from hickoryweir.engines.tests import benches, test_orders_plan
from hickoryweir.policy import events
from hickoryweir.testing import engine, running

FAST_SETTINGS = issuer.RoundSettings(
    interval_s=0.005,
    lease=orders_plan.LeaseSettings(lease_s=0.1, delivery_s=0.1),
)


class EngineFleet:
    """Stand-in engines, the active configuration and the issuer's lease."""

    def __init__(self, apps, servers, session):
        self.apps = apps
        self.session = session
        desired = dataclasses.replace(test_orders_plan.WANTED, weights_size_bytes=1)
        self.configuration = dataclasses.replace(
            test_orders_plan.CONFIGURATION,
            models=(desired,),
            backend_servers=servers,
            order_rate_bytes_per_s=1000.0,
        )
        self.issuer = orders_plan.Issuer(1, time.monotonic() - 100.0)
        self.results = []

    def callbacks(self):
        """Return the issuer's callbacks."""
        return issuer.IssuerCallbacks(
            configuration=lambda: self.configuration,
            server_state=lambda _: events.ServerState.LIVE,
            current_issuer=lambda: self.issuer,
            record_result=lambda order, outcome: self.results.append((order, outcome)),
        )

    def order_records(self):
        """Return each engine's record of orders."""
        return [app[engine.ENGINE].orders for app in self.apps]

    def loaded_count(self):
        """Return how many engines have loaded the configured model and adapters."""
        desired = test_orders_plan.WANTED
        return sum(
            record.models["assistant"].version == desired.version
            and record.models["assistant"].adapters == list(desired.adapters)
            for record in self.order_records()
        )


@contextlib.asynccontextmanager
async def engine_fleet(count, *, checks_fencing=True):
    settings = dataclasses.replace(
        benches.SETTINGS, load_s=0.03, checks_fencing=checks_fencing
    )
    apps = [engine.make_app(settings) for _ in range(count)]
    served = [await running.start(app) for app in apps]
    servers = tuple(
        dataclasses.replace(
            benches.make_server(server.url, checks_fencing=checks_fencing),
            name=f"e{number}",
        )
        for number, server in enumerate(served)
    )
    session = sessions.make_session(keeps_connections=True)
    try:
        yield EngineFleet(apps, servers, session)
    finally:
        await session.close()
        for server in served:
            await server.stop()


@contextlib.asynccontextmanager
async def running_issuer(fleet):
    state = issuer.make_state(fleet.session, fleet.callbacks(), FAST_SETTINGS)
    task = asyncio.create_task(issuer.run(state))
    try:
        yield state
    finally:
        task.cancel()


def loading_count(fleet):
    now_s = time.monotonic()
    return sum(now_s < record.loading_until_s for record in fleet.order_records())


def test_rolling_update_keeps_one_engine_serving():
    async def test():
        async with engine_fleet(3) as fleet, running_issuer(fleet):
            most_loading = 0
            while fleet.loaded_count() < 3:
                most_loading = max(most_loading, loading_count(fleet))
                await asyncio.sleep(0.001)
        assert 0 < most_loading < 3

    asyncio.run(test())


def test_orders_with_lost_responses_are_sent_again():
    async def test():
        async with engine_fleet(2) as fleet:
            fleet.apps[0][engine.ENGINE].active_faults.lost_orders_count = 2
            async with running_issuer(fleet):
                await benches.wait_until(lambda: fleet.loaded_count() == 2)
            kinds = [order.kind for order in fleet.order_records()[0].history]
        assert kinds == [orders.OrderKind.LOAD_MODEL, orders.OrderKind.LOAD_ADAPTER]

    asyncio.run(test())


def test_no_order_is_sent_without_a_lease():
    async def test():
        async with engine_fleet(2) as fleet:
            fleet.issuer = None
            state = issuer.make_state(fleet.session, fleet.callbacks(), FAST_SETTINGS)
            await issuer.run_round(state)
            assert state.order_tasks == {}

    asyncio.run(test())


def test_new_issuer_starts_with_an_empty_token_bucket():
    async def test():
        async with engine_fleet(2) as fleet:
            state = issuer.make_state(fleet.session, fleet.callbacks(), FAST_SETTINGS)
            fleet.configuration = dataclasses.replace(
                fleet.configuration, order_rate_bytes_per_s=1e-9
            )
            available = []
            for fencing in (1, 2):
                fleet.issuer = orders_plan.Issuer(fencing, 0.0)
                await issuer.run_round(state)
                available.append(state.bucket.available_bytes)
                state.bucket = dataclasses.replace(state.bucket, available_bytes=9e9)
        assert max(available) < 1e-3

    asyncio.run(test())


def test_lease_lost_between_plan_and_send_sends_nothing():
    async def test():
        async with engine_fleet(2) as fleet:
            state = issuer.make_state(fleet.session, fleet.callbacks(), FAST_SETTINGS)
            await issuer.run_round(state)
            await asyncio.sleep(0.01)
            await issuer.run_round(state)
            fleet.issuer = None
            await asyncio.gather(*state.order_tasks.values())
            results = [outcome.failure().reason for _, outcome in fleet.results]
            assert results == [orders.OrderFailureReason.NOT_SENT]
            assert all(record.history == [] for record in fleet.order_records())

    asyncio.run(test())


def test_engines_that_ignore_fencing_wait_for_the_previous_lease():
    async def test():
        async with engine_fleet(2, checks_fencing=False) as fleet:
            fleet.issuer = orders_plan.Issuer(2, time.monotonic())
            stopped_s = orders_plan.previous_issuer_stopped_at_s(
                fleet.issuer, FAST_SETTINGS.lease
            )
            async with running_issuer(fleet):
                await benches.wait_until(
                    lambda: any(record.history for record in fleet.order_records())
                )
            assert time.monotonic() >= stopped_s

    asyncio.run(test())


def test_services_get_no_orders():
    async def test():
        async with engine_fleet(1) as fleet:
            service = dataclasses.replace(
                fleet.configuration.backend_servers[0], target=model.Target.SERVICE
            )
            fleet.configuration = dataclasses.replace(
                fleet.configuration, backend_servers=(service,)
            )
            state = issuer.make_state(fleet.session, fleet.callbacks(), FAST_SETTINGS)
            await issuer.run_round(state)
            assert state.plan.due == ()

    asyncio.run(test())
