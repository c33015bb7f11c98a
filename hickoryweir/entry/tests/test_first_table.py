"""The first table of a router that starts while there is no leader."""

import asyncio
import contextlib

from hickoryweir.entry import own_formats, router, settings
from hickoryweir.feeds import messages
from hickoryweir.feeds.tests import test_following
from hickoryweir.forwarding_policy import first_table
from hickoryweir.replicas import wire
from hickoryweir.routes import store
from hickoryweir.testing import waiting

CUT_OFF_WAIT_S = 0.3
ELECTION_WAIT_S = 1.2
HEARTBEAT_INTERVAL_S = 0.1
TIMEOUT_S = 10.0
TABLE = b"[table]\nversion = 4\n"
SETTINGS = """
[process]
role = router
host = 127.0.0.1
availability_zone = a
peer_port = 0

[ports]

[replica]

[discovery]

[retries]

[shutdown]
"""
MEMBERS = tuple(wire.ReplicaAddress(name, "127.0.0.9", 1, "a") for name in "abc")


async def serve(connection):
    """Serve the table of a snapshot, as a replica that has no leader."""

    async def send_heartbeats():
        while True:
            connection.offer(messages.Heartbeat(4, False, 1, 0, 0.0, MEMBERS))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    sending = asyncio.create_task(send_heartbeats())
    try:
        while (message := (await connection.receive()).value_or(None)) is not None:
            if isinstance(message, messages.TableRequest):
                command = store.make_command(4, TABLE)
                connection.offer(messages.TableContent(4, command.compressed))
    finally:
        sending.cancel()


def measure_wait(monkeypatch, reached_count):
    """Return after which time a router takes the table if it reaches some replicas."""
    monkeypatch.setattr(first_table, "CUT_OFF_WAIT_S", CUT_OFF_WAIT_S)
    monkeypatch.setattr(first_table, "ELECTION_WAIT_S", ELECTION_WAIT_S)

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            addresses = [
                await stack.enter_async_context(
                    test_following.run_replica(
                        name, serve, cluster_id=settings.CLUSTER_ID
                    )
                )
                for name in "abc"[:reached_count]
            ]
            entry_settings = settings.parse(SETTINGS, "a.ini").unwrap()
            process = router.Router(entry_settings, own_formats.make_adapters())
            process._subscriber.follow(tuple(addresses))
            loading = asyncio.create_task(process._load_initial_table())
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            await waiting.wait_until(
                lambda: process.forwarder.route_index is not None, TIMEOUT_S
            )
            waited_s = loop.time() - started_s
            await loading
            for task in process._subscriber._tasks.values():
                task.cancel()
            await process._close()
            return waited_s

    return asyncio.run(main())


def test_router_that_reaches_a_majority_waits_for_the_election(monkeypatch):
    assert measure_wait(monkeypatch, 2) >= ELECTION_WAIT_S


def test_router_that_is_cut_off_from_the_majority_begins_sooner(monkeypatch):
    assert CUT_OFF_WAIT_S <= measure_wait(monkeypatch, 1) < ELECTION_WAIT_S
