"""The components of a running daemon, in one record."""

import asyncio
import dataclasses

import aiohttp

from hickoryweir.callers import interface, server
from hickoryweir.claims import gateway
from hickoryweir.configuration import settings
from hickoryweir.daemon import backends, dispatcher, drain, driver
from hickoryweir.engines import issuer
from hickoryweir.observability import metrics
from hickoryweir.operators import server as operators_server
from hickoryweir.replicas import client, leader_lease, node, supervisor
from hickoryweir.routers import node as router_node
from hickoryweir.streams import hub


@dataclasses.dataclass(slots=True, eq=False)
class Process:
    """The components of a running daemon and its state."""

    settings: settings.Settings
    metrics: metrics.Metrics
    drain: drain.Drain
    hub: hub.Hub
    supervisor: supervisor.Supervisor | None
    log: client.Client
    router: router_node.Node
    dispatcher: dispatcher.Dispatcher
    driver: driver.Driver
    gateway: gateway.Gateway
    sessions: tuple[aiohttp.ClientSession, ...]
    backends: backends.BackendTracker
    configurations: asyncio.Queue
    digests: asyncio.Queue
    in_force: interface.ConfigurationInForce | None = None
    order_lease: leader_lease.Lease = leader_lease.NO_LEASE
    order_issuer: issuer.IssuerState | None = None
    callers: server.RunningServer | None = None
    operators: operators_server.RunningServer | None = None
    stop_requested: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    tasks: list[asyncio.Task] = dataclasses.field(default_factory=list)
    stopped: bool = False

    @property
    def replica(self) -> node.Node | None:
        """Return the current node of this process's replica; None without one."""
        return None if self.supervisor is None else self.supervisor.node
