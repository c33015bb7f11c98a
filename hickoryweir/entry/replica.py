"""Replica process: replicated log, feeds to the routers and operators' port."""

import asyncio
import dataclasses
import functools
import math
from collections.abc import Awaitable, Callable

from aiohttp import web

from hickoryweir import background, bounded_connections, graceful_stop
from hickoryweir.discovery import list_reader, version_log, version_record
from hickoryweir.duties import (
    calls,
    duty_metrics,
    ordered_servers,
    ordering,
    replica_duties,
)
from hickoryweir.duties import machine as duties_machine
from hickoryweir.engines import sessions
from hickoryweir.entry import (
    adapters,
    duty_settings,
    metrics_port,
    parts_app,
    replica_log,
    replica_metrics,
    settings,
    tables,
)
from hickoryweir.feeds import evidence_file, publisher
from hickoryweir.forwarding_policy import stream_versions
from hickoryweir.observability import forwarding_metrics, logs, metrics
from hickoryweir.replicas import (
    automation,
    client,
    files,
    messages,
    node,
    replacement,
    supervisor,
    wire,
)
from hickoryweir.routes import reading, store
from hickoryweir.streams import hub

# A table of 350 routes has about 10 kB; replaying 4 MiB takes well under 1 s.
SNAPSHOT_LOG_SIZE_BYTES = 4 * 1024 * 1024
SNAPSHOT_ENTRIES_COUNT = 500
# A replica that lags by more is sent the snapshot, which is a single table.
RETAINED_ENTRIES_COUNT = 50
# Longer than tables.LOG_TIMEOUT_S, which bounds each complete request.
OPERATORS_STOP_LIMIT_S = 1.5


def _make_node(entry_settings: settings.EntrySettings, peer_hub: hub.Hub) -> node.Node:
    replicas = settings.seed_replicas(entry_settings)
    names = {replica.name for replica in replicas}
    node_settings = node.NodeSettings(
        identity=settings.peer_identity(entry_settings),
        data_folder=entry_settings.replica.data_folder,
        replicas=replicas,
        bootstrap=entry_settings.replica.bootstrap
        and entry_settings.process.host in names,
        snapshot_entries_count=SNAPSHOT_ENTRIES_COUNT,
        snapshot_log_size_bytes=SNAPSHOT_LOG_SIZE_BYTES,
        keep_entries_count=RETAINED_ENTRIES_COUNT,
        detects_copies=entry_settings.replica.detects_copies,
        voters_wanted_count=2 * entry_settings.replica.tolerated_losses_count + 1,
    )
    # Present without duties as well, so that a replica whose settings name none yet, or
    # no longer, loads the snapshots of the others.
    submachines = (
        store.make_submachine(),
        duties_machine.make_submachine(),
        ordered_servers.make_submachine(),
        version_record.make_submachine(),
    )
    return node.make_node(node_settings, peer_hub, submachines)


def make_supervisor(
    entry_settings: settings.EntrySettings, peer_hub: hub.Hub
) -> supervisor.Supervisor:
    """Return the supervisor of this process's node, which is not started."""
    return supervisor.Supervisor(
        lambda: _make_node(entry_settings, peer_hub), _table_version
    )


def _table_version(replica: node.Node) -> int:
    return replica.machine.states["routing_table"].stored.version


def _make_log_status(replica: node.Node) -> publisher.LogStatus:
    state = replica.state
    stored = replica.machine.states["routing_table"].stored
    if state is None:
        return publisher.LogStatus(stored, False, False, ())
    is_leader = bool(state.leader_id) and state.leader_id == state.member_id
    return publisher.LogStatus(
        stored, is_leader, bool(state.leader_id), _member_addresses(replica)
    )


def _member_addresses(replica: node.Node) -> tuple[wire.ReplicaAddress, ...]:
    """Return the members that the log of this replica names."""
    if replica.state is None:
        return ()
    return tuple(wire.address_of(member) for member in replica.state.membership.members)


def _known_addresses(
    replica: node.Node, peer_port: int
) -> tuple[wire.ReplicaAddress, ...]:
    """Return the members in the log, or what connects to a replica without any.

    Others still connect to a replica that lost its disk; its seeds may all be gone.
    """
    members = _member_addresses(replica)
    if members:
        return members
    return tuple(
        wire.ReplicaAddress(name, name, peer_port, "")
        for name, count in replica.incoming_counts.items()
        if count
    )


def _leader_name(replica: node.Node) -> str:
    if replica.state is None or not replica.state.leader_id:
        return ""
    return messages.replica_name_of(replica.state.leader_id)


def _summarize(replica: node.Node) -> replica_log.Summary | None:
    if replica.state is None:
        return None
    return replica_log.summarize(replica.state, _table_version(replica))


class Replica:
    """A replica process and its components."""

    def __init__(
        self, entry_settings: settings.EntrySettings, site_adapters: adapters.Adapters
    ) -> None:
        process = entry_settings.process
        identity = settings.peer_identity(entry_settings)
        self._settings = entry_settings
        self._adapters = site_adapters
        self._hub = hub.make_hub(identity, process.host, process.peer_port)
        self._supervisor = make_supervisor(entry_settings, self._hub)
        self._log = client.make_client(
            identity,
            settings.seed_replicas(entry_settings),
            is_leader_known=lambda: _make_log_status(self._supervisor.node).has_leader,
            get_members=lambda: _known_addresses(
                self._supervisor.node, process.peer_port
            ),
            get_leader_name=lambda: _leader_name(self._supervisor.node),
        )
        self._metrics = forwarding_metrics.make_metrics()
        given_up = self._metrics.given_up_connections
        self._session = sessions.make_session(
            keeps_connections=True,
            on_given_up=functools.partial(metrics.record_given_up, given_up),
        )
        self._publisher = publisher.make_publisher(
            self._hub,
            lambda: _make_log_status(self._supervisor.node),
            self._session,
            site_adapters.make_source(entry_settings.discovery.address),
            entry_settings.discovery.rate_per_s,
        )
        self._table = reading.TableReader(
            lambda: _make_log_status(self._supervisor.node).stored,
            site_adapters.decode_table,
        )
        self._publisher.version_recorder = version_log.Recorder(
            self._log,
            lambda: self._supervisor.node.machine.states[version_record.NAME],
            self._stream_lifetime_s,
        )
        self._evidence_file = evidence_file.EvidenceFile(
            files.make_files(), entry_settings.replica.data_folder, self._publisher
        )
        self._metrics.registry.register(
            replica_metrics.ReplicaCollector(lambda: self._supervisor.node, self._hub)
        )
        self._publisher.skipped_entries.count = self._metrics.skipped_entries.inc
        self._duties = self._make_duties()
        # None if the settings name no duties.
        self._caller: calls.Caller | None = None
        if self._duties is not None:
            self._caller = self._duties.caller

    def _make_duties(self) -> replica_duties.ReplicaDuties | None:
        """Return the duties that the settings name; None if there are none."""
        limits = duty_settings.make_limits(self._settings)
        if limits is None:
            return None
        environment = replica_duties.Environment(
            name=self._settings.process.host,
            address=self._settings.discovery.address,
            call_format=self._adapters.duty_format,
            peer_hub=self._hub,
            log=self._log,
            metrics=duty_metrics.make_metrics(self._metrics.registry),
            get_node=lambda: self._supervisor.node,
            has_table=self._has_table,
        )
        return replica_duties.ReplicaDuties(environment, limits)

    def _has_table(self) -> bool:
        stored = _make_log_status(self._supervisor.node).stored
        return stored.version > store.NO_VERSION

    def apply_settings(self, entry_settings: settings.EntrySettings) -> None:
        """Apply changed settings, see :mod:`hickoryweir.entry.reloading`."""
        self._settings = dataclasses.replace(
            self._settings, replica=entry_settings.replica
        )
        self._log.add_replicas(settings.seed_replicas(entry_settings))
        address = entry_settings.discovery.address
        self._publisher.source = self._adapters.make_source(address)
        rate_per_s = entry_settings.discovery.rate_per_s
        list_reader.set_rate(self._publisher.list_reader, rate_per_s)
        if self._caller is not None:
            self._caller.address = address

    async def run(self, stop: asyncio.Event) -> None:
        """Run until `stop` is set, then let requests end and transfer leadership.

        Raises
        ------
        OSError
            A port is already in use.
        """
        process = self._settings.process
        await self._hub.start()
        runner = await self._serve_operators()
        own_address = wire.ReplicaAddress(
            process.host, process.host, process.peer_port, process.availability_zone
        )
        tasks = [
            asyncio.create_task(background.keep_running(name, work))
            for name, work in self._background_work(own_address).items()
        ]
        logs.info("serving", logs.Fields(detail=f"replica at {own_address.address}"))
        try:
            await stop.wait()
        finally:
            logs.info("stopping", logs.Fields(detail="replica"))
            await graceful_stop.stop(runner, OPERATORS_STOP_LIMIT_S)
            await self._hand_over()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._publisher.close()
            await self._supervisor.node.stop()
            await self._close()

    async def _hand_over(self) -> None:
        """Let other replicas lead and vote in place of this one, which stops."""
        replica = self._supervisor.node
        await replica.transfer_leadership()
        if replica.state is not None:
            await replacement.hand_over_vote(
                self._log, replica.state, replica.settings.voters_wanted_count
            )

    def _background_work(
        self, own_address: wire.ReplicaAddress
    ) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return by name what runs until the process ends."""
        work = {
            "replicated log": self._supervisor.run,
            "feeds": self._publisher.run,
            "state lines": lambda: replica_log.log_changes(
                lambda: _summarize(self._supervisor.node)
            ),
            "file of evidence": self._evidence_file.run,
            "admission": lambda: automation.request_admission(
                self._log, own_address, lambda: self._supervisor.node.state
            ),
            "yielding": lambda: automation.yield_votes(
                self._log,
                lambda: self._supervisor.node.state,
                lambda: not self._settings.replica.is_in_fault_budget,
            ),
        }
        if self._duties is not None:
            work["duties"] = self._duties.run
        if self._has_duty(settings.Duty.AUTOSCALE):
            work["orders"] = self._make_ordering().run
        return work

    def _has_duty(self, duty: settings.Duty) -> bool:
        return self._caller is not None and duty in self._settings.duties.names

    def _stream_lifetime_s(self, service_name: str) -> float:
        """Return for how long streams may be resumed; infinite without a table."""
        table = self._table.read()
        if table is None:
            return math.inf
        return stream_versions.lifetime_s(table.routes, service_name)

    def _make_ordering(self) -> ordering.Ordering:
        return ordering.Ordering(
            self._caller,
            self._publisher,
            ordered_servers.LogRecorder(
                self._log,
                lambda: self._supervisor.node.machine.states[ordered_servers.NAME],
            ),
            self._table.read_services,
            self._metrics,
            self._settings.duties.checks_fencing,
        )

    async def _serve_operators(self) -> web.AppRunner:
        process = self._settings.process
        metrics = self._metrics
        metrics.table_version.set_function(
            lambda: _make_log_status(self._supervisor.node).stored.version
        )
        if process.metrics_port:
            await metrics_port.start(metrics, process.host, process.metrics_port)
        service = tables.TableService(
            self._log, self._adapters.decode_table, self._publisher.confirmations
        )
        app = self._adapters.make_operators_app(service)
        parts_app.add_routes(app, self._publisher)
        if self._duties is not None:
            self._duties.add_routes(app)
        graceful_stop.track(app)
        runner = bounded_connections.BoundedRunner(
            app,
            access_log=None,
            shutdown_timeout=graceful_stop.SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        host, port = wire.split_address(self._settings.ports.operators)
        await web.TCPSite(runner, host, port).start()
        return runner

    async def _close(self) -> None:
        try:
            await self._log.close()
        except OSError as error:
            # The process is shutting down and does not need the connection any more.
            logs.info(
                "error while closing the log client", logs.Fields(reason=str(error))
            )
        await self._hub.close()
        await self._session.close()
