"""The duties of a replica process: holder, caller, usage reports and their status."""

import asyncio
import dataclasses
from collections.abc import Callable

from aiohttp import web

from hickoryweir import clocks
from hickoryweir.duties import (
    calls,
    duty_metrics,
    holder,
    permission,
    usage_feed,
    usage_plan,
    usage_reporter,
)
from hickoryweir.observability import logs
from hickoryweir.replicas import client, node
from hickoryweir.streams import handshake, hub

PATH = "/duties"
RESTART_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """What the duties need of their process.

    Attributes
    ----------
    name : str
        Name of this VM.
    address : str
        Address of the infrastructure's interface.
    get_node : callable
        Returns the replica's node.
    has_table : callable
        Returns whether the replica has applied a table.
    read_wall_s : callable
        Returns the time of day of this process.
    """

    name: str
    address: str
    call_format: calls.Format
    peer_hub: hub.Hub
    log: client.Client
    metrics: duty_metrics.DutyMetrics
    get_node: Callable[[], node.Node]
    has_table: Callable[[], bool]
    read_wall_s: Callable[[], float] = lambda: clocks.wall_s()


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the infrastructure, see :class:`hickoryweir.entry.settings.Duties`."""

    calls_per_s: float
    checks_fencing: bool
    lease_s: float
    usage: usage_plan.Settings | None


class ReplicaDuties:
    """The components of the duties on one replica, and their tasks.

    Attributes
    ----------
    holder : holder.Holder
        Claims the duties while this replica leads.
    caller : calls.Caller
        Makes the calls of all duties.
    reporter : usage_reporter.Reporter or None
        Decides and reports windows of usage; None if that is not among the duties.
    """

    def __init__(self, environment: Environment, limits: Limits) -> None:
        self._environment = environment
        self.holder = holder.make_holder(
            environment.name,
            permission.make_rules(limits.checks_fencing, limits.lease_s),
            environment.get_node,
            environment.log,
            environment.metrics,
        )
        self.caller = calls.Caller(
            environment.address,
            environment.call_format,
            holder.make_holding(self.holder),
            limits.calls_per_s,
            self._count_call,
        )
        self.reporter: usage_reporter.Reporter | None = None
        self._receiver: usage_feed.Receiver | None = None
        if limits.usage is not None:
            self._add_usage(limits.usage)

    def _add_usage(self, settings: usage_plan.Settings) -> None:
        environment = self._environment
        self.reporter = usage_reporter.Reporter(
            settings,
            self.holder,
            self.caller,
            environment.metrics,
            environment.has_table,
            clocks.boottime_s(),
        )
        self.holder.read_true_s = self._read_true_s
        self._receiver = usage_feed.Receiver(self.reporter, self._is_leader)
        environment.peer_hub.register(handshake.Purpose.USAGE, self._receiver.serve)

    def _read_true_s(self) -> float | None:
        return usage_reporter.true_s(self.reporter, clocks.boottime_s())

    def _is_leader(self) -> bool:
        # Not the role, which a replica still has when it wakes after a suspension.
        now_s = clocks.boottime_s()
        return permission.leadership(self.holder.state, now_s) is not None

    def _count_call(self, call: calls.Call, outcome: calls.Outcome) -> None:
        duty = "usage" if isinstance(call, calls.UsageReport) else "servers"
        self._environment.metrics.calls.labels(duty, outcome.value).inc()

    async def run(self) -> None:
        """Run until cancelled; an error restarts the tasks and leaves the log alone."""
        try:
            while True:
                try:
                    await self._run_tasks()
                except* Exception as group:
                    reason = "; ".join(repr(error) for error in group.exceptions)
                    logs.error("duties restart", logs.Fields(reason=reason))
                await asyncio.sleep(RESTART_AFTER_S)
        finally:
            await self.caller.close()

    async def _run_tasks(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(holder.run(self.holder))
            if self.reporter is not None:
                read_wall_s = self._environment.read_wall_s
                group.create_task(usage_reporter.decide(self.reporter, read_wall_s))
                group.create_task(usage_reporter.report(self.reporter))
                group.create_task(self._receiver.run())

    def add_routes(self, app: web.Application) -> None:
        """Add ``GET /duties`` to the operators' application of a replica."""

        async def show(request: web.Request) -> web.Response:
            return web.json_response(self.describe())

        app.router.add_get(PATH, show)

    def describe(self) -> dict:
        """Return holder, token and last windows as this replica knows them."""
        now_s = clocks.boottime_s()
        logged = holder.logged_state(self.holder)
        state = self.holder.state
        claim = state.claim
        described = {
            "holder": logged.holder_name,
            "token": logged.token,
            "own_token": claim.token if claim is not None else None,
            "may_call": permission.permission_at(state, now_s) is not None,
            "decided_windows": sorted(logged.windows)[-3:],
            "accepted_windows": sorted(logged.accepted)[-3:],
        }
        if self.reporter is not None:
            described |= {
                "routers_heard": len(self.reporter.sums.processes),
                "clocks_heard": len(self.reporter.clock.samples),
                "true_time_s": usage_reporter.true_s(self.reporter, now_s),
            }
        return described
