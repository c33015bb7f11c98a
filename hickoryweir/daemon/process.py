"""Creates, starts and stops the components of one daemon.

Each component is a task or a server with its own state; this module connects them.
Configurations come from the node of the peer routers, events for the policy core from
the tasks that track backend servers, and calls from the callers' HTTP server.
"""

import asyncio
import functools
import time
from collections.abc import Awaitable, Callable

from returns import result

from hickoryweir import background
from hickoryweir.callers import authentication, interface, server
from hickoryweir.claims import gateway, holders
from hickoryweir.configuration import model, queries, settings, stops
from hickoryweir.daemon import (
    attempts,
    backends,
    components,
    dispatcher,
    drain,
    driver,
    operators_interface,
    orders,
    policy_metrics,
    replicated_log,
    retention,
    status,
)
from hickoryweir.discovery import decisions, poller
from hickoryweir.engines import sessions
from hickoryweir.observability import logs, metrics
from hickoryweir.operators import app
from hickoryweir.operators import server as operators_server
from hickoryweir.outcomes import refusals
from hickoryweir.policy import events, inspection
from hickoryweir.policy import settings as policy_settings
from hickoryweir.routers import digests
from hickoryweir.routers import node as router_node
from hickoryweir.streams import hub

WATCH_TIMEOUT_S = 10.0
WATCH_RETRY_S = 0.2
GATEWAY_CLOSE_TIMEOUT_S = 5.0
MAX_DIGESTS_COUNT = 1_000
DIGEST_INTERVAL_S = 0.5
DIGEST_CHECK_INTERVAL_S = 0.05

LEAVING = decisions.VmState.LEAVING
EMPTY_CONFIGURATION = model.Configuration("", "", (), (), (), (), (), (), 0.0, 0.0)


def make_process(process_settings: settings.Settings) -> components.Process:
    """Return the components of a daemon, none of them started.

    Parameters
    ----------
    process_settings : settings.Settings
        Checked settings.

    Returns
    -------
    components.Process
        The components that :func:`start` starts.
    """
    counters = metrics.make_metrics()
    identity = replicated_log.make_identity(process_settings)
    files = router_node.make_tls_files(process_settings.peers)
    peer_hub = hub.make_hub(
        identity, process_settings.peers.host, process_settings.peers.port, files
    )
    log = replicated_log.make_client(process_settings)
    configurations: asyncio.Queue = asyncio.Queue()
    digests: asyncio.Queue = asyncio.Queue(MAX_DIGESTS_COUNT)
    core_settings = policy_settings.CoreSettings(
        process_settings.process.name,
        process_settings.process.availability_zone,
        routers_count=router_node.count_members(process_settings),
    )
    core_dispatcher = dispatcher.make_dispatcher(
        core_settings, EMPTY_CONFIGURATION, counters
    )
    policy_metrics.register_counters(core_dispatcher.core, counters)
    router = router_node.make_node(
        process_settings,
        peer_hub,
        lambda timeout_s: replicated_log.read_published(log, timeout_s),
        configurations,
        digests,
    )
    claims_gateway = gateway.make_gateway(
        replicated_log.make_propose(log),
        time.monotonic,
        holders.render(router.holder),
        is_gone=lambda text: router.is_gone(holders.parse(text)),
    )
    on_given_up = functools.partial(
        metrics.record_given_up, counters.given_up_connections
    )
    engine_session = sessions.make_session(
        keeps_connections=True, on_given_up=on_given_up
    )
    service_session = sessions.make_session(on_given_up=on_given_up)
    tracker = backends.make_tracker(core_dispatcher, engine_session)
    attempt_context = attempts.AttemptContext(
        find_server=tracker.servers.get,
        find_lookup_path=lambda name: tracker.lookup_paths.get(name, ""),
        engine_session=engine_session,
        service_session=service_session,
        gateway=claims_gateway,
        dispatcher=core_dispatcher,
        metrics=counters,
    )
    run_attempt = attempts.make_run_attempt(attempt_context)
    return components.Process(
        settings=process_settings,
        metrics=counters,
        drain=drain.Drain(),
        hub=peer_hub,
        supervisor=replicated_log.make_supervisor(process_settings, peer_hub),
        log=log,
        router=router,
        dispatcher=core_dispatcher,
        driver=driver.make_driver(core_dispatcher, run_attempt, counters),
        gateway=claims_gateway,
        sessions=(engine_session, service_session),
        backends=tracker,
        configurations=configurations,
        digests=digests,
    )


async def start(process_settings: settings.Settings) -> components.Process:
    """Start a daemon.

    Raises
    ------
    OSError
        If a port is in use or the data folder can't be opened.
    """
    process = make_process(process_settings)
    await process.hub.start()
    if process.replica is not None:
        started = await process.supervisor.start()
        if not isinstance(started, result.Success):
            raise OSError(f"data folder can't be opened: {started.failure()}")
    process.router.start()
    for name, work in _background_work(process).items():
        running = background.keep_running(name, work)
        process.tasks.append(asyncio.create_task(running))
    process.callers = await server.start(make_daemon_interface(process))
    operators_app = app.make_app(operators_interface.make_daemon_interface(process))
    process.operators = await operators_server.start(
        operators_app, process_settings.operators
    )
    return process


def _background_work(
    process: components.Process,
) -> dict[str, Callable[[], Awaitable[None]]]:
    """Return by name what runs until the process ends."""
    work = {
        "policy": functools.partial(dispatcher.run, process.dispatcher),
        "configurations": functools.partial(apply_configurations, process),
        "digests of others": functools.partial(forward_digests, process),
        "log": functools.partial(watch_log, process),
        "own digests": functools.partial(send_digests, process),
        "retention": functools.partial(retention.run, process),
    }
    if process.supervisor is not None:
        work["replica"] = process.supervisor.run
        work["orders"] = functools.partial(orders.run, process)
    if process.settings.platform.url:
        work["platform"] = functools.partial(watch_platform, process)
    return work


def make_daemon_interface(process: components.Process) -> interface.DaemonInterface:
    """Return the interface that the callers' HTTP server needs."""
    return interface.DaemonInterface(
        limits=process.settings.callers,
        in_force=lambda: process.in_force,
        not_ready=lambda: not_ready(process),
        run=lambda call, sink: driver.run(process.driver, call, sink),
        status=lambda: status.render(status.make_source(process)),
        metrics=process.metrics,
    )


def not_ready(process: components.Process) -> refusals.Refusal | None:
    """Return why the daemon is not ready for calls, or None if it is."""
    if process.drain.begun:
        return drain.REFUSAL
    if process.in_force is None or not process.router.ready.is_set():
        message = "no configuration is in force here yet"
        return refusals.make_refusal(refusals.Reason.NOT_READY, message, 1.0)
    return None


async def apply_configurations(process: components.Process) -> None:
    """Apply each newer configuration to all components of this daemon."""
    while True:
        in_force: router_node.InForce = await process.configurations.get()
        configuration = in_force.configuration
        directory = authentication.make_directory(configuration.accounts)
        process.in_force = interface.ConfigurationInForce(
            in_force.version, configuration, directory
        )
        event = events.ConfigurationChanged(configuration, in_force.version)
        dispatcher.post(process.dispatcher, event)
        backends.apply_configuration(
            process.backends, configuration, in_force.running_stops
        )
        process.metrics.configuration_version.set(in_force.version)
        if is_stopping(process, in_force.running_stops):
            process.stop_requested.set()
        logs.info("configuration in force", logs.Fields(version=in_force.version))
        await process.router.confirm(in_force.version)


async def watch_platform(process: components.Process) -> None:
    """Poll the platform's lists of VMs and handle each of them."""
    engine_session, _ = process.sessions
    await poller.run(
        engine_session,
        process.settings.platform.url,
        lambda listed: handle_vm_list(process, listed),
    )


def handle_vm_list(process: components.Process, listed: decisions.Listed) -> None:
    """Apply a list of VMs; request a shutdown if this entry VM is leaving."""
    backends.apply_observation(process.backends, listed)
    name = process.settings.process.name
    if any(vm.name == name and vm.state is LEAVING for vm in listed.vms):
        process.stop_requested.set()


def is_stopping(
    process: components.Process, running_stops: tuple[stops.Stop, ...]
) -> bool:
    """Return whether a planned stop covers this entry VM or its zone."""
    own = process.settings.process
    return any(
        stops.covers_process(stop, own.name, own.availability_zone)
        for stop in running_stops
    )


async def forward_digests(process: components.Process) -> None:
    """Forward the digests of other routers to the policy core."""
    while True:
        dispatcher.post(process.dispatcher, await process.digests.get())


async def send_digests(process: components.Process) -> None:
    """Send this router's digest to the others and watch the servers that it uses.

    A digest is sent at a fixed interval, and early when suspects or quarantines change.
    """
    sent_at_s = float("-inf")
    sent_suspects = None
    while True:
        await asyncio.sleep(DIGEST_CHECK_INTERVAL_S)
        digest = inspection.digest(process.dispatcher.core, time.monotonic())
        suspects = digests.suspicion(digest)
        is_due = time.monotonic() >= sent_at_s + DIGEST_INTERVAL_S
        if not is_due and suspects == sent_suspects:
            continue
        sent_at_s = time.monotonic()
        sent_suspects = suspects
        process.router.offer_digest(digest)
        names = inspection.used_servers(process.dispatcher.core)
        backends.watch_servers(process.backends, names)


async def watch_log(process: components.Process) -> None:
    """Offer committed versions to the router node, if this process has a replica."""
    if process.replica is None:
        return
    version = 0
    while True:
        query = queries.ReadCurrentState()
        watched = await process.log.watch(query, version, WATCH_TIMEOUT_S)
        if not isinstance(watched, result.Success):
            await asyncio.sleep(WATCH_RETRY_S)
            continue
        current = watched.unwrap()
        if current is not None:
            version = current.version
            process.router.offer_version(replicated_log.to_published(current))


async def drain_and_stop(process: components.Process) -> int:
    """Shut down gracefully and return the exit code."""
    steps = drain.Steps(
        stop_listening=process.callers.stop_listening,
        in_flight=lambda: process.driver.tasks | process.callers.open_requests,
        refuse_calls=lambda: driver.refuse_calls(
            process.driver, refusals.Reason.DRAINING, drain.MESSAGE
        ),
        stop=lambda: stop(process),
    )
    return await drain.run(process.drain, process.settings.drain, steps)


async def stop(process: components.Process) -> None:
    """Close all components; further calls do nothing."""
    if process.stopped:
        return
    process.stopped = True
    if process.callers is not None:
        await server.stop(process.callers)
    if process.operators is not None:
        await operators_server.stop(process.operators)
    await process.gateway.close(GATEWAY_CLOSE_TIMEOUT_S)
    await backends.stop(process.backends)
    for task in process.tasks:
        task.cancel()
    await asyncio.gather(*process.tasks, return_exceptions=True)
    await process.router.close()
    if process.replica is not None:
        await process.replica.stop()
    await process.log.close()
    await process.hub.close()
    for session in process.sessions:
        await session.close()
