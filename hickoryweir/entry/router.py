"""A router process: feeds from the replicas, and the clients' port."""

import asyncio
import dataclasses
import random
import time

from returns import result

from hickoryweir import clocks
from hickoryweir.discovery import listing
from hickoryweir.engines import sessions
from hickoryweir.entry import adapters, metrics_port, replica, settings
from hickoryweir.feeds import messages, subscriber
from hickoryweir.forwarding import contexts, server, server_pool, sockets
from hickoryweir.observability import logs
from hickoryweir.policy import crash_counts, retry_budget
from hickoryweir.replicas import client, wire
from hickoryweir.routes import checks, matching, store

# Shorter than backend servers keep idle connections.
REPEATABLE_KEEPALIVE_S = 8.0
# A connection that was idle for less is hardly ever closed at the moment of a send.
SINGLE_KEEPALIVE_S = 3.0
FIRST_READ_TIMEOUT_S = 0.5
FIRST_READ_RETRY_S = 0.05
# A leader is elected within about a second; a cut-off zone serves without one.
UNCONFIRMED_AFTER_S = 5.0
LIST_CHECK_INTERVAL_S = 0.25
# As often as the routers' loads are added up.
LOADS_INTERVAL_S = 0.1
# Two readings and an election of a new reader; leaving servers allow three seconds.
LIST_STALE_AFTER_S = 2.2
# Two misses of a balancer that asks each second.
BALANCER_LAG_S = 2.6
CLOSE_MARGIN_S = 0.6


def _make_budget(given: settings.EntrySettings) -> retry_budget.Settings:
    retries = given.retries
    return retry_budget.Settings(retries.ratio, retries.window_s, retries.extra_count)


class Router:
    """The parts of a router process."""

    def __init__(
        self, given: settings.EntrySettings, given_adapters: adapters.Adapters
    ) -> None:
        self._given = given
        self._adapters = given_adapters
        self._is_confirmed = False
        identity = replica.make_identity(given)
        seeds = settings.seed_replicas(given)
        self._log = client.make_client(identity, seeds, None)
        callbacks = subscriber.Callbacks(
            self._take_table,
            self._take_servers,
            lambda: self._is_confirmed,
            self._take_lost,
            self._take_loads,
        )
        self._subscriber = subscriber.make_subscriber(identity, seeds, callbacks)
        self._list_session = sessions.make_session(keeps_connections=True)
        self.forwarder = contexts.Forwarder(
            settings=contexts.Settings(
                given.process.availability_zone, _make_budget(given)
            ),
            codec=given_adapters.codec,
            retryable_session=sockets.make_session(
                REPEATABLE_KEEPALIVE_S, self._kept_max_count
            ),
            at_most_once_session=sockets.make_session(
                SINGLE_KEEPALIVE_S, self._kept_max_count
            ),
            generator=random.Random(),
            report_lost=self._subscriber.report_lost,
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then drain."""
        process = self._given.process
        metrics = self.forwarder.metrics
        if process.metrics_port:
            await metrics_port.start(metrics, process.host, process.metrics_port)
        host, port = wire.split_address(self._given.ports.readiness)
        await server.start_readiness(self.forwarder, host, port)
        host, port = wire.split_address(self._given.ports.clients)
        running = await server.start(self.forwarder, host, port)
        tasks = [
            asyncio.create_task(self._subscriber.run()),
            asyncio.create_task(self._read_first_table()),
            asyncio.create_task(self._watch_list()),
            asyncio.create_task(self._tell_loads()),
        ]
        logs.info("serving", logs.Fields(detail=f"router at {host}:{port}"))
        await stop.wait()
        await self._drain(running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._close()

    def take_settings(self, given: settings.EntrySettings) -> None:
        """Put changed settings in force, see :mod:`hickoryweir.entry.reloading`."""
        self._given = given
        seeds = settings.seed_replicas(given)
        self._log.follow(seeds)
        self._subscriber.follow(seeds)
        budget = _make_budget(given)
        made = self.forwarder
        made.settings = dataclasses.replace(made.settings, budget=budget)
        for known in made.budgets.values():
            retry_budget.change(known, budget)

    async def _drain(self, running: server.RunningServer) -> None:
        grace_s = self._given.shutdown.grace_s
        count = len(running.server.connections)
        logs.info("draining", logs.Fields(detail=f"{count} connections"))
        self.forwarder.is_draining = True
        await asyncio.sleep(BALANCER_LAG_S)
        await server.stop(running, grace_s - BALANCER_LAG_S - CLOSE_MARGIN_S)
        logs.info("drained", logs.Fields())

    async def _close(self) -> None:
        await self._log.close()
        for session in (
            self._list_session,
            self.forwarder.retryable_session,
            self.forwarder.at_most_once_session,
        ):
            await session.close()

    def _kept_max_count(self, address: str) -> int:
        return contexts.max_idle_connections_count(self.forwarder, address)

    def _take_table(self, version: int, content: bytes) -> bool:
        decoded = self._adapters.decode_table(content)
        if isinstance(decoded, result.Failure):
            fields = logs.Fields(version=version, reason=decoded.failure())
            logs.error("a table in the log can't be read", fields)
            return False
        table = decoded.unwrap()
        problems = checks.find_problems(table)
        if problems:
            fields = logs.Fields(version=version, reason=problems[0])
            logs.error("a table in the log is invalid", fields)
            return False
        self.forwarder.route_index = matching.make_index(table)
        self.forwarder.waits.clear()
        self.forwarder.metrics.table_version.set(table.version)
        routes_count = len(table.routes)
        fields = logs.Fields(version=version, detail=f"{routes_count} routes")
        logs.info("table in force", fields)
        return True

    def _take_servers(self, found: listing.ServerList) -> None:
        server_pool.update_servers(self.forwarder.pool, found)
        fields = logs.Fields(detail=f"{len(found.servers)} servers")
        logs.info("list of servers taken", fields)

    def _take_lost(self, server_id: str, fingerprints: tuple[int, ...]) -> None:
        now_s = clocks.elapsed_s()
        for fingerprint in fingerprints:
            crash_counts.note_loss(
                self.forwarder.crashes, fingerprint, server_id, now_s
            )

    def _take_loads(self, told: messages.AllLoads) -> None:
        now_s = time.monotonic()
        server_pool.update_loads(self.forwarder.pool, told.loads, now_s)
        server_pool.add_announced_parts(self.forwarder.pool, told.parts, now_s)

    async def _tell_loads(self) -> None:
        """Tell the other routers what this one has at the servers, when it changes."""
        told: tuple[messages.ServerLoad, ...] = ()
        pool = self.forwarder.pool
        while True:
            await asyncio.sleep(LOADS_INTERVAL_S)
            now_s = time.monotonic()
            loads = server_pool.own_loads(pool, now_s)
            parts = server_pool.unannounced_parts(pool)
            if loads == told and not parts:
                continue
            if self._subscriber.send_loads(messages.OwnLoads(loads, parts)):
                told = loads
                server_pool.note_loads_announced(pool, loads)
                server_pool.note_parts_announced(pool, now_s)

    async def _read_first_table(self) -> None:
        """Begin with a table that a majority confirms, so that none goes back.

        Where no majority is reached, the highest version that any replica holds
        is served after a while: a zone that is cut off goes on.
        """
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + UNCONFIRMED_AFTER_S
        view = self._subscriber.view
        while loop.time() < give_up_s or view.offered_version < 0:
            if view.has_leader and await self._read_confirmed():
                break
            await asyncio.sleep(FIRST_READ_RETRY_S)
        self._is_confirmed = True

    async def _read_confirmed(self) -> bool:
        """Take the table that a majority confirms; return whether there is one."""
        if not await self._log.wait_until_ready(FIRST_READ_TIMEOUT_S):
            return False
        answer = await self._log.read(store.ReadTable(), FIRST_READ_TIMEOUT_S)
        stored = answer.value_or(None)
        if not isinstance(stored, store.StoredTable) or not stored.compressed:
            return False
        self._subscriber.take_table(stored)
        return True

    async def _watch_list(self) -> None:
        """Read the list of servers oneself while the reader for all is silent."""
        started_s = clocks.elapsed_s()
        while True:
            await asyncio.sleep(LIST_CHECK_INTERVAL_S)
            view = self._subscriber.view
            made = self.forwarder
            made.routers_count = view.routers_count
            age_s = clocks.elapsed_s() - started_s
            if view.servers is not None:
                made.list_read_at_s = view.servers.read_at_s
                age_s = clocks.elapsed_s() - view.servers.read_at_s
            made.metrics.list_age_s.set(age_s)
            if age_s < LIST_STALE_AFTER_S:
                continue
            logs.info(
                "reading the list oneself", logs.Fields(detail=f"age {age_s:.1f} s")
            )
            source = self._adapters.make_source(self._given.discovery.address)
            outcome = await listing.read_all(self._list_session, source)
            if isinstance(outcome, result.Success):
                self._subscriber.take_list(outcome.unwrap())
            pause_s = 2 * view.routers_count / self._given.discovery.rate_per_s
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
