"""Background probes of the backend servers that could not be reached."""

import asyncio
import time

from hickoryweir import clocks
from hickoryweir.forwarding import contexts, server_pool
from hickoryweir.observability import logs
from hickoryweir.policy import unreachable_servers
from hickoryweir.replicas import wire

CHECK_INTERVAL_S = 0.05
# Bounds the connections that are opened at once when many servers are lost.
MAX_PROBES_COUNT = 16


async def run(forwarder: contexts.Forwarder) -> None:
    """Probe unreachable servers until cancelled, and mark them reachable again."""
    running: dict[str, asyncio.Task] = {}
    try:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            running = {name: task for name, task in running.items() if not task.done()}
            now_s = time.monotonic()
            for view in server_pool.due_probes(forwarder.pool, now_s):
                server_id = view.listed.server_id
                if server_id in running or len(running) >= MAX_PROBES_COUNT:
                    continue
                running[server_id] = asyncio.create_task(_probe(forwarder, view))
    finally:
        for task in running.values():
            task.cancel()
        await asyncio.gather(*running.values(), return_exceptions=True)


async def _probe(forwarder: contexts.Forwarder, view: server_pool.ServerView) -> None:
    host, port = wire.split_address(view.listed.address)
    try:
        async with asyncio.timeout(unreachable_servers.PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        server_pool.record_failed_probe(view, time.monotonic(), forwarder.generator)
        return
    writer.close()
    forwarder.pool.heard_at_s = clocks.boottime_s()
    server_pool.record_reachable(view)
    fields = logs.Fields(backend_server=view.listed.server_id)
    logs.info("server can be reached again", fields)
