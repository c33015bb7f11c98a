"""Orders in rounds, over stand-in engines."""

import asyncio
import contextlib
import dataclasses
import time

from hickoryweir.configuration import model
from hickoryweir.engines import issuer, orders, orders_plan, sessions
from hickoryweir.engines.tests import benches, test_orders_plan
from hickoryweir.policy import events
from hickoryweir.testing import engine, running

QUICK = issuer.RoundSettings(
    interval_s=0.005,
    lease=orders_plan.LeaseSettings(lease_s=0.1, delivery_s=0.1),
)


class Fleet:
    """Stand-in engines, the configuration in force and the office."""

    def __init__(self, apps, servers, session):
        self.apps = apps
        self.session = session
        wanted = dataclasses.replace(test_orders_plan.WANTED, weights_size_bytes=1)
        self.configuration = dataclasses.replace(
            test_orders_plan.CONFIGURATION,
            models=(wanted,),
            backend_servers=servers,
            order_rate_bytes_per_s=1000.0,
        )
        self.office = orders_plan.Issuer(1, time.monotonic() - 100.0)
        self.ends = []

    def ports(self):
        """Return what the issuer asks."""
        return issuer.IssuerPorts(
            configuration=lambda: self.configuration,
            server_state=lambda _: events.ServerState.LIVE,
            current_issuer=lambda: self.office,
            record_result=lambda order, sent: self.ends.append((order, sent)),
        )

    def books(self):
        """Return the engines' order books."""
        return [app[engine.ENGINE].orders for app in self.apps]

    def loaded_count(self):
        """Return how many engines have all that is wanted."""
        wanted = test_orders_plan.WANTED
        return sum(
            book.models["assistant"].version == wanted.version
            and book.models["assistant"].adapters == list(wanted.adapters)
            for book in self.books()
        )


@contextlib.asynccontextmanager
async def fleet_of(count, *, checks_fencing=True):
    settings = dataclasses.replace(
        benches.SETTINGS, load_s=0.03, checks_fencing=checks_fencing
    )
    apps = [engine.make_app(settings) for _ in range(count)]
    served = [await running.start(app) for app in apps]
    servers = tuple(
        dataclasses.replace(
            benches.make_server(one.url, checks_fencing=checks_fencing),
            name=f"e{number}",
        )
        for number, one in enumerate(served)
    )
    session = sessions.make_session(keeps_connections=True)
    try:
        yield Fleet(apps, servers, session)
    finally:
        await session.close()
        for one in served:
            await one.stop()


@contextlib.asynccontextmanager
async def issuing(fleet):
    desk = issuer.make_state(fleet.session, fleet.ports(), QUICK)
    task = asyncio.create_task(issuer.run(desk))
    try:
        yield desk
    finally:
        task.cancel()


def loading_count(fleet):
    now_s = time.monotonic()
    return sum(now_s < book.loading_until_s for book in fleet.books())


def test_new_version_reaches_all_and_one_always_serves():
    async def test():
        async with fleet_of(3) as fleet, issuing(fleet):
            most_loading = 0
            while fleet.loaded_count() < 3:
                most_loading = max(most_loading, loading_count(fleet))
                await asyncio.sleep(0.001)
        assert 0 < most_loading < 3

    asyncio.run(test())


def test_lost_replies_are_made_good():
    async def test():
        async with fleet_of(2) as fleet:
            fleet.apps[0][engine.ENGINE].active_faults.lost_orders_count = 2
            async with issuing(fleet):
                await benches.wait_until(lambda: fleet.loaded_count() == 2)
            kinds = [order.kind for order in fleet.books()[0].history]
        assert kinds == [orders.OrderKind.LOAD_MODEL, orders.OrderKind.LOAD_ADAPTER]

    asyncio.run(test())


def test_without_the_office_nothing_is_sent():
    async def test():
        async with fleet_of(2) as fleet:
            fleet.office = None
            desk = issuer.make_state(fleet.session, fleet.ports(), QUICK)
            await issuer.run_round(desk)
            assert desk.in_hand == {}

    asyncio.run(test())


def test_new_office_starts_without_a_burst():
    async def test():
        async with fleet_of(2) as fleet:
            desk = issuer.make_state(fleet.session, fleet.ports(), QUICK)
            fleet.configuration = dataclasses.replace(
                fleet.configuration, order_rate_bytes_per_s=1e-9
            )
            available = []
            for fencing in (1, 2):
                fleet.office = orders_plan.Issuer(fencing, 0.0)
                await issuer.run_round(desk)
                available.append(desk.bucket.available_bytes)
                desk.bucket = dataclasses.replace(desk.bucket, available_bytes=9e9)
        assert max(available) < 1e-3

    asyncio.run(test())


def test_office_lost_between_plan_and_send_sends_nothing():
    async def test():
        async with fleet_of(2) as fleet:
            desk = issuer.make_state(fleet.session, fleet.ports(), QUICK)
            await issuer.run_round(desk)
            await asyncio.sleep(0.01)
            await issuer.run_round(desk)
            fleet.office = None
            await asyncio.gather(*desk.in_hand.values())
            ends = [sent.failure().reason for _, sent in fleet.ends]
            assert ends == [orders.OrderFailureReason.NOT_SENT]
            assert all(book.history == [] for book in fleet.books())

    asyncio.run(test())


def test_engines_that_ignore_fencing_get_orders_after_the_wait_only():
    async def test():
        async with fleet_of(2, checks_fencing=False) as fleet:
            fleet.office = orders_plan.Issuer(2, time.monotonic())
            stopped_s = orders_plan.old_issuer_stopped_at_s(fleet.office, QUICK.lease)
            async with issuing(fleet):
                await benches.wait_until(lambda: any(b.history for b in fleet.books()))
            assert time.monotonic() >= stopped_s

    asyncio.run(test())


def test_plain_services_get_no_orders():
    async def test():
        async with fleet_of(1) as fleet:
            service = dataclasses.replace(
                fleet.configuration.backend_servers[0], target=model.Target.SERVICE
            )
            fleet.configuration = dataclasses.replace(
                fleet.configuration, backend_servers=(service,)
            )
            desk = issuer.make_state(fleet.session, fleet.ports(), QUICK)
            await issuer.run_round(desk)
            assert desk.plan.due == ()

    asyncio.run(test())
