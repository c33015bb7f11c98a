"""Router process: feeds from the replicas, and the clients' port."""

import asyncio
import collections
import dataclasses
import functools
import random
import time
import uuid
from collections.abc import Awaitable, Callable

from returns import result

from hickoryweir import background, clocks
from hickoryweir.discovery import list_reader, listing, version_log
from hickoryweir.duties import usage_counts, usage_feed
from hickoryweir.engines import sessions
from hickoryweir.entry import (
    adapters,
    allocator,
    explain_app,
    metrics_port,
    settings,
)
from hickoryweir.feeds import (
    demand,
    evidence,
    losses,
    messages,
    subscriber,
    versions,
)
from hickoryweir.forwarding import (
    account_sharing,
    contexts,
    crashes,
    isolation,
    limits,
    notices,
    open_requests,
    probing,
    process_state,
    relay_pool,
    relay_port,
    relaying,
    resumption,
    router_load,
    server,
    server_pool,
    service_demand,
    sockets,
    speeds,
)
from hickoryweir.forwarding_policy import (
    first_table,
    relays,
    retry_budget,
    router_capacity,
)
from hickoryweir.observability import forwarding_metrics, logs, metrics
from hickoryweir.replicas import client, wire
from hickoryweir.routes import checks, matching, store

# A connection idle for less is rarely closed by the server while a request is sent.
AT_MOST_ONCE_MAX_IDLE_S = 3.0
# A log that elects a leader answers within about a second.
RECORD_RETRY_S = 0.1
FIRST_READ_TIMEOUT_S = 0.5
FIRST_READ_RETRY_S = 0.05
LIST_CHECK_INTERVAL_S = 0.25
# Same as publisher.LOADS_INTERVAL_S, at which the loads are summed.
LOADS_INTERVAL_S = 0.1
# Interval at which the leader decides on orders of servers.
DEMAND_INTERVAL_S = 0.25
# Collisions among a few thousand processes are negligible.
PROCESS_ID_BITS_COUNT = 60
# Same as publisher.SPEEDS_INTERVAL_S, at which the speeds are summed.
SPEEDS_INTERVAL_S = 0.2
# Same as publisher.WORK_INTERVAL_S, at which the work of accounts is summed.
WORK_INTERVAL_S = 0.2
# A replica that has begun to sum the loads needs those of all routers.
LOADS_REFRESH_INTERVAL_S = 1.0
# Two reads and the election of a new leader, within the 3 s notice of a server
# that leaves.
LIST_STALE_AFTER_S = 2.2
# A load balancer that checks once per second removes a router after two failures.
BALANCER_LAG_S = 2.6
CLOSE_MARGIN_S = 0.6
# With a short grace, open requests need more of it than the load balancer.
OPEN_PORT_SHARE = 0.5
# For what follows the close: the log is flushed, and the process ends.
EXIT_MARGIN_S = 0.2
# A signal that the event loop notices was sent after the tick before the last one.
TICK_INTERVAL_S = 0.05
USUAL_NOTICE_S = 2 * TICK_INTERVAL_S
# Within the margin of the close.
LAST_COUNTS_TIMEOUT_S = 0.2


def _make_budget(entry_settings: settings.EntrySettings) -> retry_budget.Settings:
    retries = entry_settings.retries
    return retry_budget.Settings(retries.ratio, retries.window_s, retries.extra_count)


def split_grace(grace_s: float) -> tuple[float, float]:
    """Return for how long a stopping router keeps its port open and then closed.

    Examples
    --------
    >>> [round(part_s, 3) for part_s in split_grace(8.0)]
    [2.6, 4.8]
    >>> [round(part_s, 3) for part_s in split_grace(3.0)]
    [1.2, 1.2]
    """
    time_left_s = max(0.0, grace_s - CLOSE_MARGIN_S)
    open_port_s = min(BALANCER_LAG_S, OPEN_PORT_SHARE * time_left_s)
    return open_port_s, time_left_s - open_port_s


def _stop_time_s(entry_settings: settings.EntrySettings) -> float:
    """Return for how long a stopping router lets its open requests go on."""
    return sum(split_grace(entry_settings.shutdown.grace_s)) - server.ANSWER_MARGIN_S


class Router:
    """A router process and its components."""

    def __init__(
        self, entry_settings: settings.EntrySettings, site_adapters: adapters.Adapters
    ) -> None:
        self._settings = entry_settings
        self._adapters = site_adapters
        self._is_confirmed = False
        self._ticks_s: collections.deque[float] = collections.deque(maxlen=2)
        identity = settings.peer_identity(entry_settings)
        seeds = settings.seed_replicas(entry_settings)
        self._log = client.make_client(
            identity, seeds, None, get_members=self._followed_replicas
        )
        self._subscriber = subscriber.make_subscriber(
            identity, seeds, self._make_callbacks()
        )
        self._version_log = version_log.VersionLog(self._log)
        self._versions_listed = asyncio.Event()
        self._list_reader = list_reader.make_reader(self._list_share_per_s())
        self.forwarder = self._make_forwarder()
        given_up = self.forwarder.metrics.given_up_connections
        self._list_session = sessions.make_session(
            keeps_connections=True,
            on_given_up=functools.partial(metrics.record_given_up, given_up),
        )
        self._skipped_entries = listing.SkippedEntries(
            self.forwarder.metrics.skipped_entries.inc
        )
        self._usage_sender = self._make_usage_sender()

    def _make_callbacks(self) -> subscriber.Callbacks:
        return subscriber.Callbacks(
            on_table=self._apply_table,
            on_servers=self._apply_server_list,
            may_fetch=lambda: self._is_confirmed,
            on_lost=self._record_lost_requests,
            on_loads=self._apply_loads,
            on_origins=self._apply_origins,
            on_listed_versions=self._apply_listed_versions,
            on_evidence=self._apply_evidence,
            on_trial=self._allow_trial,
            on_limits=self._apply_limits,
            on_grants=self._apply_grants,
            on_completed=self._record_completed_requests,
            greet=self._make_greeting,
            on_relays=self._apply_relays,
            on_speeds=self._apply_speeds,
            on_work=self._apply_work,
        )

    def _make_forwarder(self) -> contexts.Forwarder:
        """Return the state of the forward path, with its sessions to servers."""
        entry_settings = self._settings
        held_limits = settings.held_limits(entry_settings)
        counters = forwarding_metrics.make_metrics()
        retryable_session, at_most_once_session = sockets.make_sessions(
            AT_MOST_ONCE_MAX_IDLE_S,
            self._max_idle_connections,
            held_limits.socket_size_bytes,
            functools.partial(metrics.record_given_up, counters.given_up_connections),
        )
        forwarder = contexts.Forwarder(
            settings=contexts.Settings(
                entry_settings.process.availability_zone,
                _make_budget(entry_settings),
                shares_capacity=entry_settings.features.has_pressure,
                bounds_memory=entry_settings.features.has_pressure,
            ),
            codec=self._adapters.codec,
            metrics=counters,
            retryable_session=retryable_session,
            at_most_once_session=at_most_once_session,
            generator=random.Random(),
            report_lost=self._subscriber.report_lost,
            report_completed=self._subscriber.report_completed,
            report_origin=self._subscriber.report_origin,
            ask_origins=self._subscriber.ask_origins,
            read_versions=self._version_log.read,
            report_limits=self._subscriber.send_to_all,
            held_limits=held_limits,
            memory_size_bytes=settings.memory_size_bytes(entry_settings),
            capacity=router_capacity.Capacity(settings.vm_limits(entry_settings)),
            stop_time_s=_stop_time_s(entry_settings),
        )
        evidence_sender = evidence.Sender(
            forwarder.suspect_parts, self._subscriber.send_to_all
        )
        forwarder.report_evidence = evidence_sender.add
        return forwarder

    def _make_usage_sender(self) -> usage_feed.Sender | None:
        """Return the sender of counts; None if no usage is to be reported."""
        duties = self._settings.duties
        if settings.Duty.USAGE_REPORTING not in duties.names:
            return None
        sender = usage_feed.Sender(
            settings.peer_identity(self._settings),
            usage_counts.make_state(uuid.uuid4().hex, duties.usage_window_s),
            lambda: self._subscriber.followed,
            lambda: self._subscriber.view.routers_count,
        )
        self.forwarder.count_began = sender.count
        return sender

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then drain."""
        if not allocator.return_freed_memory():
            logs.warning("freed memory is not returned to the system", logs.Fields())
        process = self._settings.process
        metrics = self.forwarder.metrics
        if process.metrics_port:
            answers = {
                explain_app.PATH: functools.partial(explain_app.answer, self.forwarder)
            }
            await metrics_port.start(
                metrics, process.host, process.metrics_port, answers
            )
        host, port = wire.split_address(self._settings.ports.readiness)
        await server.start_readiness(self.forwarder, host, port)
        host, port = wire.split_address(self._settings.ports.clients)
        running = await server.start(self.forwarder, host, port)
        relay_server = await self._start_relay_port()
        tasks = [
            asyncio.create_task(background.keep_running(name, work))
            for name, work in self._background_work().items()
        ]
        logs.info("serving", logs.Fields(detail=f"router at {host}:{port}"))
        await stop.wait()
        grace_end_s = clocks.boottime_s() + self._settings.shutdown.grace_s
        await self._drain(running, relay_server)
        await self._send_last_counts(grace_end_s)
        await self._close_before(grace_end_s - EXIT_MARGIN_S, tasks)

    async def _close_before(self, end_s: float, tasks: list[asyncio.Task]) -> None:
        """Close connections until a time; the end of the process closes the others."""
        closing = asyncio.create_task(self._end_tasks_and_close(tasks))
        left_s = max(0.0, end_s - clocks.boottime_s())
        await asyncio.wait({closing}, timeout=left_s)
        if not closing.done():
            logs.warning("not all connections closed in time", logs.Fields())
            return
        closing.result()

    async def _end_tasks_and_close(self, tasks: list[asyncio.Task]) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._close()

    def _background_work(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return by name what runs beside the requests until the process ends."""
        work = {
            "ticks": self._record_ticks,
            "feeds": self._subscriber.run,
            "first table": self._load_initial_table,
            "list of servers": self._monitor_list,
            "software versions": self._record_versions,
            "loads": self._send_loads,
            "speeds": self._send_speeds,
            "work of accounts": self._send_work,
            "probes": functools.partial(probing.run, self.forwarder),
            "relays": functools.partial(relaying.run, self.forwarder),
            "capacity": functools.partial(router_load.run, self.forwarder),
            "process state": functools.partial(process_state.run, self.forwarder),
        }
        if self._usage_sender is not None:
            work["usage"] = self._usage_sender.run
        if settings.Duty.AUTOSCALE in self._settings.duties.names:
            work["demand"] = self._send_demand
        return work

    def apply_settings(self, entry_settings: settings.EntrySettings) -> None:
        """Apply changed settings, see :mod:`hickoryweir.entry.reloading`."""
        self._settings = entry_settings
        seeds = settings.seed_replicas(entry_settings)
        self._log.add_replicas(seeds)
        self._subscriber.follow(seeds)
        budget = _make_budget(entry_settings)
        forwarder = self.forwarder
        forwarder.settings = dataclasses.replace(forwarder.settings, budget=budget)
        forwarder.stop_time_s = _stop_time_s(entry_settings)
        for service_budget in forwarder.budgets.values():
            retry_budget.update_settings(service_budget, budget)

    async def _start_relay_port(self) -> server.RunningServer | None:
        """Listen for other routers; a VM that runs a replica as well relays nothing."""
        process, forwarder = self._settings.process, self.forwarder
        forwarder.relays.own_host = forwarder.pool.own_host = process.host
        forwarder.relays.port = process.peer_port
        try:
            return await relay_port.start(forwarder, process.host, process.peer_port)
        except OSError as error:
            fields = logs.Fields(reason=str(error))
            logs.warning("requests of other routers are not relayed", fields)
            return None

    async def _drain(
        self, running: server.RunningServer, relay_server: server.RunningServer | None
    ) -> None:
        grace_s = self._settings.shutdown.grace_s
        count = len(running.server.connections)
        phases = open_requests.count_phases(self.forwarder.open_requests.values())
        delay_s = self._signal_delay_s()
        detail = (
            f"{count} connections, grace {grace_s:g} s, open: {phases}, "
            f"the signal waited for up to {delay_s:.3f} s"
        )
        logs.info("draining", logs.Fields(detail=detail))
        open_port_s, closed_port_s = split_grace(grace_s)
        end_s = clocks.boottime_s() + open_port_s + closed_port_s
        server.begin_stop(self.forwarder, open_port_s + closed_port_s - delay_s)
        await asyncio.sleep(open_port_s - delay_s)
        # A stall of the event loop shortens the rest, since the process is killed then.
        left_s = max(0.0, end_s - clocks.boottime_s())
        stops = [server.stop(running, left_s, delay_s)]
        if relay_server is not None:
            stops.append(server.stop(relay_server, left_s, delay_s))
        await asyncio.gather(*stops)
        logs.info("drained", logs.Fields())

    async def _record_ticks(self) -> None:
        while True:
            self._ticks_s.append(clocks.boottime_s())
            await asyncio.sleep(TICK_INTERVAL_S)

    def _signal_delay_s(self) -> float:
        """Return for how long a signal that is noticed now may have waited.

        A stall of the event loop, or of the process, may have begun before the signal.
        """
        if not self._ticks_s:
            return 0.0
        since_s = clocks.boottime_s() - self._ticks_s[0]
        return max(0.0, since_s - USUAL_NOTICE_S)

    async def _send_last_counts(self, grace_end_s: float) -> None:
        if self._usage_sender is None:
            return
        left_s = max(0.0, grace_end_s - clocks.boottime_s())
        await self._usage_sender.finish(min(LAST_COUNTS_TIMEOUT_S, left_s))

    async def _close(self) -> None:
        await self._log.close()
        for session in (
            self._list_session,
            self.forwarder.retryable_session,
            self.forwarder.at_most_once_session,
        ):
            await session.close()

    def _max_idle_connections(self, address: str) -> int:
        return contexts.max_idle_connections_count(self.forwarder, address)

    def _apply_table(self, version: int, content: bytes) -> bool:
        decoded = self._adapters.decode_table(content)
        if isinstance(decoded, result.Failure):
            fields = logs.Fields(version=version, reason=decoded.failure())
            logs.error("table in the replicated log can't be decoded", fields)
            return False
        table = decoded.unwrap()
        problems = checks.find_problems(table)
        if problems:
            fields = logs.Fields(version=version, reason=problems[0])
            logs.error("table in the replicated log is invalid", fields)
            return False
        resumption.apply_table(self.forwarder, matching.make_index(table))
        server_pool.update_services(
            self.forwarder.pool, [service.name for service in table.services]
        )
        self.forwarder.pool.memory_tokens_counts = {
            service.name: service.cache_tokens_count for service in table.services
        }
        self.forwarder.wait_bounds.clear()
        account_sharing.apply_table(self.forwarder)
        self.forwarder.sensitive_routes.clear()
        self._update_started()
        self.forwarder.metrics.table_version.set(table.version)
        routes_count = len(table.routes)
        fields = logs.Fields(version=version, detail=f"{routes_count} routes")
        logs.info("table in force", fields)
        return True

    def _apply_server_list(self, server_list: listing.ServerList) -> None:
        server_pool.update_servers(self.forwarder.pool, server_list)
        if resumption.apply_list(self.forwarder, server_list):
            self._send_listed_versions()
            self._versions_listed.set()
        self._update_started()
        fields = logs.Fields(detail=f"{len(server_list.servers)} servers")
        logs.info("list of servers taken", fields)

    async def _record_versions(self) -> None:
        """Let streams begin at listed versions once these are in the replicated log."""
        while True:
            await self._versions_listed.wait()
            self._versions_listed.clear()
            while listed := resumption.unrecorded_versions(self.forwarder):
                if await self._version_log.record(listed):
                    resumption.apply_recorded(self.forwarder, listed)
                else:
                    await asyncio.sleep(RECORD_RETRY_S)

    def _update_started(self) -> None:
        """Let requests in once there are a table and a list of servers."""
        forwarder = self.forwarder
        if forwarder.route_index is not None and forwarder.list_read_at_s:
            forwarder.started.set()

    def _record_lost_requests(self, message: messages.RequestsLost) -> None:
        counts, now_s = self.forwarder.crashes, clocks.boottime_s()
        if losses.record_lost(counts, message, now_s):
            detail = f"{len(message.fingerprints)} requests {message.age_s:.2f} s ago"
            fields = logs.Fields(backend_server=message.server_id, detail=detail)
            logs.info("lost requests reported", fields)

    def _record_completed_requests(self, message: messages.RequestsCompleted) -> None:
        counts, now_s = self.forwarder.crashes, clocks.boottime_s()
        if losses.record_completed(counts, message, now_s):
            detail = f"{len(message.fingerprints)} requests"
            logs.info("completed requests reported", logs.Fields(detail=detail))

    def _apply_origins(self, message: messages.StreamOrigins) -> None:
        resumption.apply_origins(self.forwarder, message)

    def _apply_listed_versions(self, message: messages.ListedVersions) -> None:
        resumption.apply_listed_versions(self.forwarder, message)

    def _send_listed_versions(self) -> None:
        for message in self._make_listed_versions():
            self._subscriber.send_to_all(message)

    def _make_listed_versions(self) -> list[messages.ListedVersions]:
        """Return the versions to tell the replicas; none while one serves."""
        resumption.refresh_versions(self.forwarder)
        message = versions.make_listed_versions(
            self.forwarder.known_streams, versions.ORIGINS_RETENTION_S
        )
        return [message] if message.versions else []

    def _apply_evidence(self, message: messages.CrashEvidence) -> None:
        crashes.apply_evidence(self.forwarder, message)

    def _allow_trial(self, message: messages.PartTrial) -> None:
        crashes.allow_trial(self.forwarder, message)

    def _apply_limits(self, message: messages.ServerLimits) -> None:
        limits.apply_limits(self.forwarder, message)

    def _apply_grants(self, message: messages.SendGrants) -> None:
        limits.apply_grants(self.forwarder, message)

    def _apply_relays(
        self, replica_address: str, message: messages.RelayRouters
    ) -> None:
        routers = tuple(
            relays.Router(router.host, router.availability_zone)
            for router in message.routers
        )
        relay_pool.update_named(self.forwarder.relays, replica_address, routers)

    def _followed_replicas(self) -> tuple[wire.ReplicaAddress, ...]:
        """Return the replicas that the feeds have named; all seeds may be gone."""
        return tuple(self._subscriber.followed.values())

    def _make_greeting(self) -> list:
        """Return what a replica that may have restarted has to know."""
        state, now_s = self.forwarder.suspect_parts, clocks.boottime_s()
        known = evidence.make_messages(state, evidence.greeting_keys(state), now_s)
        known += losses.make_messages(self.forwarder.crashes, now_s)
        known += limits.make_greeting(self.forwarder)
        listed = self._make_listed_versions()
        if listed:
            origins = resumption.own_origins(self.forwarder)
        else:
            origins = resumption.split_origins(self.forwarder)
        return [*known, *listed, *versions.make_stream_origins(origins)]

    def _apply_loads(self, total: messages.TotalLoads) -> None:
        now_s = time.monotonic()
        server_pool.update_loads(self.forwarder.pool, total.loads, now_s)
        server_pool.update_memory(self.forwarder.pool, total, now_s)
        server_pool.add_announced_parts(self.forwarder.pool, total.parts, now_s)

    async def _send_loads(self) -> None:
        """Send this router's loads for the other routers whenever they change."""
        sent: tuple[messages.ServerLoad, ...] = ()
        pool, reader, sent_at_s = self.forwarder.pool, None, float("-inf")
        while True:
            await asyncio.sleep(LOADS_INTERVAL_S)
            view = self._subscriber.view
            limits.add_own_shares(self.forwarder, view.leader_heard_at_s)
            now_s = time.monotonic()
            loads = server_pool.own_loads(pool, now_s)
            parts = server_pool.unannounced_parts(pool)
            is_due = now_s - sent_at_s >= LOADS_REFRESH_INTERVAL_S
            is_new_reader = self._subscriber.list_reader is not reader
            if loads == sent and not parts and not is_due and not is_new_reader:
                continue
            if self._subscriber.send_loads(messages.RouterLoads(loads, parts)):
                sent, sent_at_s = loads, now_s
                reader = self._subscriber.list_reader
                server_pool.record_loads_announced(pool, loads)
                server_pool.record_parts_announced(pool, now_s)

    async def _send_demand(self) -> None:
        """Send the leader this router's requests by service."""
        process_id = random.getrandbits(PROCESS_ID_BITS_COUNT)
        sent, sent_at_s, receiver = None, float("-inf"), None
        while True:
            await asyncio.sleep(DEMAND_INTERVAL_S)
            reader = self._subscriber.list_reader
            if reader is None:
                continue
            now_s = clocks.boottime_s()
            if reader is not receiver:
                receiver, sent = reader, None
            message = service_demand.make_message(self.forwarder, process_id)
            is_due = now_s - sent_at_s >= demand.SEND_MAX_INTERVAL_S
            if (message != sent or is_due) and self._subscriber.send_to_leader(message):
                sent, sent_at_s = message, now_s

    def _apply_speeds(self, total: messages.TotalSpeeds) -> None:
        speeds.apply_total(self.forwarder, total)

    async def _send_speeds(self) -> None:
        """Send this router's samples of servers' speed if servers announce theirs."""
        while True:
            await asyncio.sleep(SPEEDS_INTERVAL_S)
            known = speeds.own_speeds(self.forwarder)
            if known is not None and self._subscriber.send_to_leader(known):
                speeds.record_sent(self.forwarder, known)

    def _apply_work(self, total: messages.TotalWork) -> None:
        account_sharing.apply_sums(self.forwarder, total)

    async def _send_work(self) -> None:
        """Send the work of accounts here while any router is short of capacity."""
        while True:
            await asyncio.sleep(WORK_INTERVAL_S)
            report = account_sharing.make_report(self.forwarder)
            if report is not None:
                self._subscriber.send_to_leader(report)

    async def _load_initial_table(self) -> None:
        """Start with a table confirmed by a majority, so that no version goes back.

        Without a leader for long, the highest version of any reachable replica is used,
        see :mod:`hickoryweir.forwarding_policy.first_table`.
        """
        started_s = clocks.boottime_s()
        view = self._subscriber.view
        while not self._may_begin_unconfirmed(clocks.boottime_s() - started_s):
            if view.has_leader and await self._load_confirmed_table():
                logs.info("first table confirmed", logs.Fields())
                break
            await asyncio.sleep(FIRST_READ_RETRY_S)
        else:
            fields = logs.Fields(version=view.announced_version)
            logs.warning("first table not confirmed by a majority", fields)
        self._is_confirmed = True

    def _may_begin_unconfirmed(self, waited_s: float) -> bool:
        """Return whether to begin with a table that no majority has confirmed."""
        view = self._subscriber.view
        return view.announced_version > store.NO_VERSION and (
            first_table.may_be_unconfirmed(
                waited_s, self._subscriber.reached_count, view.replicas_count
            )
        )

    async def _load_confirmed_table(self) -> bool:
        """Apply the table confirmed by a majority; return whether there is one."""
        if not await self._log.wait_until_ready(FIRST_READ_TIMEOUT_S):
            return False
        outcome = await self._log.read(store.ReadTable(), FIRST_READ_TIMEOUT_S)
        stored = outcome.value_or(None)
        if not isinstance(stored, store.StoredTable) or not stored.compressed:
            return False
        self._subscriber.apply_table(stored)
        return True

    async def _monitor_list(self) -> None:
        """Track the list's age; read the list while the leader sends no updates."""
        started_s = clocks.boottime_s()
        while True:
            await asyncio.sleep(LIST_CHECK_INTERVAL_S)
            view = self._subscriber.view
            forwarder = self.forwarder
            forwarder.routers_count = view.routers_count
            forwarder.pool.routers_count = view.routers_count
            age_s = clocks.boottime_s() - started_s
            if view.servers is not None:
                forwarder.list_read_at_s = view.servers.read_at_s
                age_s = clocks.boottime_s() - view.servers.read_at_s
            forwarder.metrics.list_age_s.set(age_s)
            self._update_state()
            if age_s < LIST_STALE_AFTER_S:
                continue
            await self._read_list(age_s)
            pause_s = 2 * view.routers_count / self._settings.discovery.rate_per_s
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))

    def _update_state(self) -> None:
        """Update gauges, and remove state that has expired."""
        forwarder = self.forwarder
        notices.update_gauges(forwarder)
        speeds.remove_stale_rates(forwarder)
        speeds.update_gauges(forwarder)
        account_sharing.update_gauges(forwarder)
        isolation.update(forwarder)
        crashes.remove_expired(forwarder)

    def _list_share_per_s(self) -> float:
        """Return this router's share of the rate at which the list is read."""
        routers_count = max(1, self._subscriber.view.routers_count)
        return self._settings.discovery.rate_per_s / routers_count

    async def _read_list(self, age_s: float) -> None:
        """Read the server list, whose last copy has an age of `age_s`."""
        fields = logs.Fields(detail=f"age {age_s:.1f} s")
        logs.info("reading the list oneself", fields)
        source = self._adapters.make_source(self._settings.discovery.address)
        reader, view = self._list_reader, self._subscriber.view
        list_reader.set_rate(reader, self._list_share_per_s())
        outcome = await list_reader.read(
            reader, self._list_session, source, view.servers
        )
        if isinstance(outcome, result.Failure):
            fields = logs.Fields(reason=outcome.failure())
            logs.warning("reading the list of servers failed", fields)
            return
        self._skipped_entries.record(outcome.unwrap())
        self._subscriber.apply_list(outcome.unwrap())
