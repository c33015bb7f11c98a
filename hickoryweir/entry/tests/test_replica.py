"""Restarts of a replica's node after disk failures, and a replica's stop."""

import asyncio
import dataclasses
import errno
import threading

import pytest

from hickoryweir import background
from hickoryweir.entry import own_formats, replica, settings
from hickoryweir.replicas import disk, messages, node, supervisor
from hickoryweir.replicas import state as states
from hickoryweir.streams import handshake, hub
from hickoryweir.testing import waiting
from hickoryweir.testing.demo import entry_vms

TIMEOUT_S = 10.0
HALF_REQUEST_DELAY_S = 0.3
# The platform kills a process that runs longer than this after SIGTERM.
GRACE_S = 8.0


def make_settings(folder):
    text = f"""
[process]
role = replica
host = 127.0.0.1
availability_zone = a
peer_port = 0
seeds = 127.0.0.1:1

[replica]
data_folder = {folder}
bootstrap = no
"""
    return settings.parse(text, "a.ini").unwrap()


async def wait_until(condition):
    await waiting.wait_until(condition, TIMEOUT_S)


# An event that can't be handled, for an error of the program in the core.
BROKEN_EVENT = states.Received(None)


@pytest.mark.parametrize("event", [states.StorageFailed(), BROKEN_EVENT])
def test_replica_reopens_after_a_failure_as_the_same_member(tmp_path, event):
    async def main():
        entry_settings = make_settings(tmp_path / "data")
        peer_hub = hub.make_hub(settings.peer_identity(entry_settings), "127.0.0.1", 0)
        await peer_hub.start()
        supervised = replica.make_supervisor(entry_settings, peer_hub)
        task = asyncio.create_task(supervised.run())
        await wait_until(lambda: supervised.node.state is not None)
        first = supervised.node
        first._queue.put_nowait(event)
        await wait_until(
            lambda: supervised.node is not first and supervised.node.state is not None
        )
        ids = first.state.member_id, supervised.node.state.member_id
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await supervised.node.stop()
        await peer_hub.close()
        return ids

    first_id, second_id = asyncio.run(main())
    assert first_id == second_id


async def try_to_connect(peer_hub, purpose):
    other = handshake.Identity(settings.CLUSTER_ID, "127.0.0.9", "a")
    outcome = await hub.connect(other, "127.0.0.1", peer_hub.port, purpose)
    connection = outcome.value_or(None)
    if connection is not None:
        connection.abort()
    return connection is not None


NODE_PURPOSES = (handshake.Purpose.REPLICA, handshake.Purpose.CLIENT)


@pytest.mark.parametrize("purpose", NODE_PURPOSES)
def test_node_whose_write_hangs_while_it_stops_accepts_no_connection(tmp_path, purpose):
    async def main():
        entry_settings = make_settings(tmp_path / "data")
        peer_hub = hub.make_hub(settings.peer_identity(entry_settings), "127.0.0.1", 0)
        await peer_hub.start()
        supervised = replica.make_supervisor(entry_settings, peer_hub)
        task = asyncio.create_task(supervised.run())
        await wait_until(lambda: supervised.node.state is not None)
        first = supervised.node
        disk_works = threading.Event()
        opened = first._disk.storage
        opened.files = dataclasses.replace(
            opened.files, sync=lambda handle: disk_works.wait()
        )
        member = messages.Member(first.state.member_id, "h:1", "a", True)
        first._queue.put_nowait(states.Bootstrapped(messages.Membership((member,))))
        before = await try_to_connect(peer_hub, purpose)
        first._queue.put_nowait(BROKEN_EVENT)
        await asyncio.sleep(2 * supervisor.FAILURE_CHECK_INTERVAL_S)
        meanwhile = await try_to_connect(peer_hub, purpose)
        disk_works.set()
        await wait_until(
            lambda: supervised.node is not first and supervised.node.state is not None
        )
        after = await try_to_connect(peer_hub, purpose)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await supervised.node.stop()
        await peer_hub.close()
        return before, meanwhile, after

    assert asyncio.run(main()) == (True, False, True)


@pytest.mark.parametrize("purpose", NODE_PURPOSES)
def test_node_whose_folder_cannot_be_opened_accepts_no_connection(tmp_path, purpose):
    blocked = tmp_path / "data"
    blocked.write_text("in the way")

    async def main():
        entry_settings = make_settings(blocked)
        peer_hub = hub.make_hub(settings.peer_identity(entry_settings), "127.0.0.1", 0)
        await peer_hub.start()
        supervised = replica.make_supervisor(entry_settings, peer_hub)
        before = await try_to_connect(peer_hub, purpose)
        task = asyncio.create_task(supervised.run())
        await wait_until(lambda: supervised.node.failure is not None)
        meanwhile = await try_to_connect(peer_hub, purpose)
        blocked.unlink()
        await wait_until(lambda: supervised.node.state is not None)
        after = await try_to_connect(peer_hub, purpose)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await supervised.node.stop()
        stopped = await try_to_connect(peer_hub, purpose)
        await peer_hub.close()
        return before, meanwhile, after, stopped

    assert asyncio.run(main()) == (False, False, True, False)


def test_folder_is_not_opened_again_while_a_write_of_the_failed_node_hangs(tmp_path):
    async def main():
        entry_settings = make_settings(tmp_path / "data")
        peer_hub = hub.make_hub(settings.peer_identity(entry_settings), "127.0.0.1", 0)
        await peer_hub.start()
        supervised = replica.make_supervisor(entry_settings, peer_hub)
        task = asyncio.create_task(supervised.run())
        await wait_until(lambda: supervised.node.state is not None)
        first = supervised.node
        disk_works = threading.Event()
        opened = first._disk.storage
        opened.files = dataclasses.replace(
            opened.files, sync=lambda handle: disk_works.wait()
        )
        member = messages.Member(first.state.member_id, "h:1", "a", True)
        first._queue.put_nowait(states.Bootstrapped(messages.Membership((member,))))
        first._queue.put_nowait(BROKEN_EVENT)
        await asyncio.sleep(disk.CLOSE_TIMEOUT_S + 2 * supervisor.REOPEN_INTERVAL_S)
        was_reopened = supervised.node is not first
        disk_works.set()
        await wait_until(
            lambda: supervised.node is not first and supervised.node.state is not None
        )
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await supervised.node.stop()
        await peer_hub.close()
        return was_reopened

    assert not asyncio.run(main())


@pytest.mark.parametrize("step", ["start", "stop"])
def test_node_that_ended_with_an_error_is_not_started_again(
    tmp_path, monkeypatch, step
):
    errors = [RuntimeError(step)]
    starts = []
    work, start = getattr(node.Node, step), node.Node.start

    async def fail_once(self, *args, **options):
        outcome = await work(self, *args, **options)
        if errors:
            raise errors.pop()
        return outcome

    async def record_start(self):
        starts.append(self)
        return await (fail_once(self) if step == "start" else start(self))

    monkeypatch.setattr(node.Node, step, fail_once)
    monkeypatch.setattr(node.Node, "start", record_start)

    async def main():
        entry_settings = make_settings(tmp_path / "data")
        peer_hub = hub.make_hub(settings.peer_identity(entry_settings), "127.0.0.1", 0)
        await peer_hub.start()
        supervised = replica.make_supervisor(entry_settings, peer_hub)
        first = supervised.node
        task = asyncio.create_task(background.keep_running("node", supervised.run))
        await wait_until(lambda: first.state is not None)
        first._queue.put_nowait(BROKEN_EVENT)
        await wait_until(lambda: len(starts) > 1 and supervised.node.state is not None)
        is_reachable = await try_to_connect(peer_hub, handshake.Purpose.REPLICA)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await supervised.node.stop()
        await peer_hub.close()
        return is_reachable

    assert asyncio.run(main())
    assert len(set(starts)) == len(starts)


def test_failed_close_of_the_data_folder_does_not_keep_the_replica_down(tmp_path):
    def refuse(handle):
        raise OSError(errno.EIO, "input/output error")

    async def main():
        entry_settings = make_settings(tmp_path / "data")
        peer_hub = hub.make_hub(settings.peer_identity(entry_settings), "127.0.0.1", 0)
        await peer_hub.start()
        supervised = replica.make_supervisor(entry_settings, peer_hub)
        task = asyncio.create_task(background.keep_running("node", supervised.run))
        await wait_until(lambda: supervised.node.state is not None)
        first = supervised.node
        opened = first._disk.storage
        opened.files = dataclasses.replace(opened.files, close=refuse)
        first._queue.put_nowait(BROKEN_EVENT)
        await wait_until(
            lambda: supervised.node is not first and supervised.node.state is not None
        )
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await supervised.node.stop()
        await peer_hub.close()

    asyncio.run(main())


def test_data_folder_that_cannot_be_opened_is_retried(tmp_path):
    blocked = tmp_path / "data"
    blocked.write_text("in the way")

    async def main():
        entry_settings = make_settings(blocked)
        peer_hub = hub.make_hub(settings.peer_identity(entry_settings), "127.0.0.1", 0)
        await peer_hub.start()
        supervised = replica.make_supervisor(entry_settings, peer_hub)
        task = asyncio.create_task(supervised.run())
        await wait_until(lambda: supervised.node.failure is not None)
        blocked.unlink()
        await wait_until(lambda: supervised.node.state is not None)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await supervised.node.stop()
        await peer_hub.close()

    asyncio.run(main())


def test_replica_stops_in_time_while_an_operator_sends_half_a_table(tmp_path):
    port = entry_vms.free_port()
    ports = settings.Ports(operators=f"127.0.0.1:{port}")
    entry_settings = dataclasses.replace(make_settings(tmp_path / "data"), ports=ports)
    half_request = b"PUT /table HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"

    async def main():
        stop = asyncio.Event()
        process = replica.Replica(entry_settings, own_formats.make_adapters())
        running = asyncio.create_task(process.run(stop))
        await asyncio.sleep(HALF_REQUEST_DELAY_S)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(half_request)
        await asyncio.sleep(HALF_REQUEST_DELAY_S)
        stop.set()
        async with asyncio.timeout(GRACE_S):
            await running
        writer.close()

    asyncio.run(main())


def test_replica_that_waits_for_its_disk_while_it_stops_feeds_no_router(
    tmp_path, monkeypatch
):
    stop_node = node.Node.stop
    disk_works = asyncio.Event()

    async def stop_late(self, *args, **options):
        await disk_works.wait()
        await stop_node(self, *args, **options)

    monkeypatch.setattr(node.Node, "stop", stop_late)
    port = entry_vms.free_port()
    ports = settings.Ports(operators=f"127.0.0.1:{port}")
    entry_settings = dataclasses.replace(make_settings(tmp_path / "data"), ports=ports)

    async def main():
        stop = asyncio.Event()
        process = replica.Replica(entry_settings, own_formats.make_adapters())
        running = asyncio.create_task(process.run(stop))
        await wait_until(lambda: process._supervisor.node.state is not None)
        before = await try_to_connect(process._hub, handshake.Purpose.FEED)
        stop.set()
        await asyncio.sleep(HALF_REQUEST_DELAY_S)
        meanwhile = await try_to_connect(process._hub, handshake.Purpose.FEED)
        disk_works.set()
        async with asyncio.timeout(GRACE_S):
            await running
        return before, meanwhile

    assert asyncio.run(main()) == (True, False)
