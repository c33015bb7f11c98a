"""Open connections between replicas that go silent while new ones work."""

import asyncio
import dataclasses
import enum
import shutil
import threading

import pytest
import uvloop
from returns import result

from hickoryweir.replicas import automation, client
from hickoryweir.replicas.tests import register, silent_links
from hickoryweir.streams import liveness
from hickoryweir.testing import proxies, waiting

# A leader and a committed command, since the silence began.
RECOVERY_S = 3.0
SERIES_INTERVAL_S = 0.5
PROPOSE_TIMEOUT_S = 1.0
ADMISSION_TIMEOUT_S = 20.0
HANG_S = 4.0
LOOPS = (
    pytest.param(asyncio.new_event_loop, id="asyncio"),
    pytest.param(uvloop.new_event_loop, id="uvloop"),
)


class Layout(enum.StrEnum):
    """Which directions of the open connections are silent."""

    ALL = "all"
    TOWARDS_LISTENER = "towards_listener"
    FROM_LISTENER = "from_listener"


DIRECTIONS = {
    Layout.ALL: (True, True),
    Layout.TOWARDS_LISTENER: (True, False),
    Layout.FROM_LISTENER: (False, True),
}


async def _commit(router, value):
    """Commit a command, however often it is refused."""
    command = register.Put("k", value)
    while True:
        outcome = await router.propose(command, PROPOSE_TIMEOUT_S)
        if isinstance(outcome, result.Success):
            return
        await asyncio.sleep(client.RETRY_INTERVAL_S)


async def _recover(replicas, router):
    """Return how long a command and the hearing of all replicas have taken."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    async with asyncio.timeout(5 * RECOVERY_S):
        await _commit(router, "after")
        committed_s = loop.time() - began_s
        await silent_links.wait_until_all_are_heard(replicas)
    return max(committed_s, loop.time() - began_s)


def _run(monkeypatch, folder, break_links, make_loop=asyncio.new_event_loop):
    """Return how long the recovery took after `break_links`."""

    async def scenario():
        with silent_links.link_by_proxies(monkeypatch) as mesh:
            async with register.run_cluster(folder, voters_wanted_count=3) as (
                replicas,
                router,
            ):
                await _commit(router, "before")
                await silent_links.wait_until_all_are_heard(replicas)
                await break_links(mesh, replicas, router)
                return await _recover(replicas, router)

    with asyncio.Runner(loop_factory=make_loop) as runner:
        return runner.run(scenario())


@pytest.mark.parametrize("make_loop", LOOPS)
@pytest.mark.parametrize("layout", Layout)
def test_replicas_elect_and_commit_after_all_open_links_went_silent(
    tmp_path, monkeypatch, layout, make_loop
):
    async def break_links(mesh, replicas, router):
        mesh.silence(set(replicas), *DIRECTIONS[layout])

    assert _run(monkeypatch, tmp_path, break_links, make_loop) < RECOVERY_S


@pytest.mark.parametrize("layout", Layout)
@pytest.mark.parametrize("is_leader", [True, False])
def test_one_silent_link_leaves_no_replica_deaf(
    tmp_path, monkeypatch, layout, is_leader
):
    async def break_links(mesh, replicas, router):
        others = [name for name in replicas if name != router.leader_name]
        sender = router.leader_name if is_leader else others[0]
        link = mesh.by_link[(sender, replicas[others[1]].address.port)]
        proxies.silence_open(link, *DIRECTIONS[layout])

    assert _run(monkeypatch, tmp_path, break_links) < RECOVERY_S


@pytest.mark.parametrize("layout", Layout)
def test_links_that_go_silent_in_series_leave_no_replica_deaf(
    tmp_path, monkeypatch, layout
):
    async def break_links(mesh, replicas, router):
        for link in list(mesh.by_link):
            if link[0] in replicas:
                proxies.silence_open(mesh.by_link[link], *DIRECTIONS[layout])
                await asyncio.sleep(SERIES_INTERVAL_S)

    assert _run(monkeypatch, tmp_path, break_links) < RECOVERY_S


@pytest.mark.parametrize("layout", Layout)
def test_silent_links_beside_a_killed_leader_leave_a_quorum(
    tmp_path, monkeypatch, layout
):
    async def break_links(mesh, replicas, router):
        mesh.silence(set(replicas), *DIRECTIONS[layout])
        await replicas.pop(router.leader_name).crash()

    assert _run(monkeypatch, tmp_path, break_links) < RECOVERY_S


@pytest.mark.parametrize("layout", Layout)
def test_silent_links_beside_an_emptied_replica_leave_a_quorum(
    tmp_path, monkeypatch, layout
):
    async def scenario():
        with silent_links.link_by_proxies(monkeypatch) as mesh:
            async with register.run_cluster(tmp_path, voters_wanted_count=3) as (
                replicas,
                router,
            ):
                await _commit(router, "before")
                await silent_links.wait_until_all_are_heard(replicas)
                mesh.silence(set(replicas), *DIRECTIONS[layout])
                name = router.leader_name
                emptied = await _start_emptied(replicas.pop(name))
                try:
                    recovery_s = await _recover(replicas, router)
                    await _admit(emptied, replicas)
                finally:
                    await emptied.stop()
                return recovery_s

    assert asyncio.run(scenario()) < RECOVERY_S


async def _start_emptied(running):
    await running.crash()
    shutil.rmtree(running.folder)
    address = running.address
    return await register.start_replica(
        address.name, address.port, running.folder, voters_wanted_count=3
    )


async def _admit(emptied, replicas):
    """Wait until the others have admitted a replica, and all hear each other."""
    addresses = tuple(item.address for item in replicas.values())
    identity = register.make_identity(emptied.address.name)
    log = client.make_client(identity, addresses)
    asking = asyncio.create_task(
        automation.request_admission(log, emptied.address, lambda: emptied.node.state)
    )
    state = emptied.node.state
    await waiting.wait_until(
        lambda: state.membership.find(state.member_id) is not None, ADMISSION_TIMEOUT_S
    )
    async with asyncio.timeout(RECOVERY_S):
        known = replicas | {emptied.address.name: emptied}
        await silent_links.wait_until_all_are_heard(known)
    asking.cancel()
    await asyncio.gather(asking, return_exceptions=True)
    await log.close()


def test_replica_whose_disk_hangs_keeps_its_links(tmp_path):
    is_released = threading.Event()

    async def scenario():
        async with register.run_cluster(tmp_path) as (replicas, router):
            await _commit(router, "before")
            name = next(name for name in replicas if name != router.leader_name)
            opened = replicas[name].node._disk.storage
            files = opened.files

            def sync(handle):
                is_released.wait(HANG_S)
                files.sync(handle)

            opened.files = dataclasses.replace(files, sync=sync)
            before = _links_of(replicas)
            ended_counts = liveness.ended_counts.copy()
            await _commit(router, "during")
            await asyncio.sleep(HANG_S)
            is_released.set()
            return before == _links_of(replicas), ended_counts == liveness.ended_counts

    assert asyncio.run(scenario()) == (True, True)


def _links_of(replicas):
    return [dict(item.node._links._outgoing) for item in replicas.values()]


@pytest.mark.parametrize("layout", Layout)
def test_client_whose_open_connections_went_silent_commits_in_time(
    tmp_path, monkeypatch, layout
):
    async def break_links(mesh, replicas, router):
        mesh.silence({"router"}, *DIRECTIONS[layout])

    assert _run(monkeypatch, tmp_path, break_links) < RECOVERY_S


@pytest.mark.parametrize("layout", Layout)
def test_follower_whose_relay_went_silent_relays_again_in_time(
    tmp_path, monkeypatch, layout
):
    async def scenario():
        with silent_links.link_by_proxies(monkeypatch) as mesh:
            async with register.run_cluster(tmp_path) as (replicas, router):
                port = replicas[router.leader_name].address.port
                proxy = mesh.by_link[("router", port)]
                proxy.server.close()
                proxies.reset_all(proxy)
                await _commit(router, "before")
                assert router.target_name != router.leader_name
                relay = mesh.by_link[(router.target_name, port)]
                proxies.silence_open(relay, *DIRECTIONS[layout])
                return await _recover(replicas, router)

    assert asyncio.run(scenario()) < RECOVERY_S
