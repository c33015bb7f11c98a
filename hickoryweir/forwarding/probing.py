"""Background probes of servers that could not be reached, or that may not be."""

import asyncio
import re
import time

from hickoryweir import clocks
from hickoryweir.forwarding import contexts, server_pool, server_reachability
from hickoryweir.forwarding_policy import server_survival, unreachable_servers
from hickoryweir.observability import logs
from hickoryweir.replicas import wire

CHECK_INTERVAL_S = 0.05
# Bounds the connections that are opened at once when many servers are lost.
MAX_PROBES_COUNT = 16
DEFAULT_HEALTH_PATH = "/"
HEALTHY_STATUS_LINE = re.compile(rb"HTTP/1\.[01] 200 ")
# A proxy in front of a process that has ended answers with a status of 500 or more.
ALIVE_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [234]\d\d\b")


async def run(forwarder: contexts.Forwarder) -> None:
    """Probe servers until cancelled, and mark them reachable or unreachable."""
    running: dict[str, asyncio.Task] = {}
    try:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            running = {name: task for name, task in running.items() if not task.done()}
            for view, must_respond in _due(forwarder):
                server_id = view.listed.server_id
                if server_id in running or len(running) >= MAX_PROBES_COUNT:
                    continue
                probe = _probe(forwarder, view, must_respond)
                running[server_id] = asyncio.create_task(probe)
    finally:
        for task in running.values():
            task.cancel()
        await asyncio.gather(*running.values(), return_exceptions=True)


def _due(
    forwarder: contexts.Forwarder,
) -> list[tuple[server_pool.ServerView, bool]]:
    """Return the servers to probe, and whether each has to respond."""
    pool = forwarder.pool
    marked = server_reachability.due_probes(pool, time.monotonic())
    due = [(view, view.must_respond) for view in marked]
    if forwarder.open_requests:
        due += [(view, True) for view in server_reachability.servers_to_ask(pool)]
    if forwarder.open_requests or pool.failed_at_s > pool.reached_at_s:
        due += [(view, False) for view in server_reachability.servers_to_verify(pool)]
    return due


async def _probe(
    forwarder: contexts.Forwarder, view: server_pool.ServerView, must_respond: bool
) -> None:
    pool = forwarder.pool
    was_unreachable = view.is_unreachable
    if must_respond:
        view.asked_at_s = clocks.boottime_s()
    try:
        has_responded = await _connect(forwarder, view, must_respond)
    except (OSError, TimeoutError):
        if was_unreachable:
            server_reachability.record_failed_probe(
                view, time.monotonic(), forwarder.generator
            )
        else:
            record_unreachable(forwarder, view)
        return
    pool.reached_at_s = view.verified_at_s = clocks.boottime_s()
    if has_responded:
        server_reachability.record_heard(pool)
    elif must_respond and not was_unreachable:
        record_silent(forwarder, view)
    elif must_respond:
        server_reachability.record_failed_probe(
            view, time.monotonic(), forwarder.generator
        )
        return
    if was_unreachable:
        server_reachability.record_reachable(view)
        fields = logs.Fields(backend_server=view.listed.server_id)
        logs.info("server can be reached again", fields)


async def _connect(
    forwarder: contexts.Forwarder, view: server_pool.ServerView, must_respond: bool
) -> bool:
    """Connect to a server; return whether it has responded to a health check.

    Raises
    ------
    OSError, TimeoutError
        No connection was established.
    """
    host, port = wire.split_address(view.listed.address)
    async with asyncio.timeout(unreachable_servers.PROBE_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, port)
    try:
        return must_respond and await _check_health(forwarder, view, reader, writer)
    finally:
        writer.close()


async def _check_health(
    forwarder: contexts.Forwarder,
    view: server_pool.ServerView,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Return whether any byte of a response comes in time, whatever it says."""
    try:
        _write_health_check(forwarder, view, writer)
        async with asyncio.timeout(unreachable_servers.RESPONSE_TIMEOUT_S):
            return bool(await reader.read(1))
    except (OSError, TimeoutError):
        # The caller records that the server was silent.
        return False


def _write_health_check(
    forwarder: contexts.Forwarder,
    view: server_pool.ServerView,
    writer: asyncio.StreamWriter,
) -> None:
    route_index = forwarder.route_index
    services = {} if route_index is None else route_index.services
    service = services.get(view.listed.service_name)
    path = DEFAULT_HEALTH_PATH if service is None else service.health_path
    head = f"GET {path} HTTP/1.1\r\nHost: {view.listed.address}\r\n"
    writer.write(f"{head}Connection: close\r\n\r\n".encode())


async def has_slot(forwarder: contexts.Forwarder, view: server_pool.ServerView) -> bool:
    """Return whether a server passes a health check on a new connection in time.

    A health check waits for a slot, or is rejected, as a request does.
    """
    host, port = wire.split_address(view.listed.address)
    writer = None
    try:
        async with asyncio.timeout(unreachable_servers.RESPONSE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
            _write_health_check(forwarder, view, writer)
            return bool(HEALTHY_STATUS_LINE.match(await reader.readline()))
    except (OSError, TimeoutError, ValueError):
        # Without a whole status line the server has not said that it is healthy.
        return False
    finally:
        if writer is not None:
            writer.close()


async def ask_alive(
    forwarder: contexts.Forwarder, view: server_pool.ServerView, timeout_s: float
) -> server_survival.Answer:
    """Return what comes of a health check on a new connection."""
    host, port = wire.split_address(view.listed.address)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            _write_health_check(forwarder, view, writer)
            is_alive = bool(ALIVE_STATUS_LINE.match(await reader.readline()))
    except ConnectionRefusedError:
        return server_survival.Answer.REFUSED
    except (OSError, TimeoutError, ValueError):
        # Without a whole status line the server has not shown that it is alive.
        return server_survival.Answer.NONE
    finally:
        if writer is not None:
            writer.close()
    return server_survival.Answer.ALIVE if is_alive else server_survival.Answer.NONE


def record_silent(forwarder: contexts.Forwarder, view: server_pool.ServerView) -> None:
    """Record and log that a server accepted a connection, and sent nothing on it."""
    were_reached = not server_reachability.reaches_none(forwarder.pool)
    are_avoided = server_reachability.record_silent(
        forwarder.pool, view, time.monotonic()
    )
    if are_avoided and were_reached:
        fields = logs.Fields(
            backend_server=view.listed.server_id,
            detail="connections are accepted, and no server responds",
        )
        logs.warning("no server can be reached", fields)


def record_unreachable(
    forwarder: contexts.Forwarder, view: server_pool.ServerView
) -> None:
    """Record and log that no connection to a server could be established."""
    was_unreachable = view.is_unreachable
    zones = server_reachability.record_unreachable(
        forwarder.pool, view, forwarder.settings.availability_zone, time.monotonic()
    )
    if was_unreachable:
        return
    detail = f"avoids zones {', '.join(sorted(zones))}" if zones else None
    fields = logs.Fields(backend_server=view.listed.server_id, detail=detail)
    logs.warning("server can't be reached", fields)
