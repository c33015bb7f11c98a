"""Replicas whose disks refuse writes for a moment, one after another."""

import asyncio
import contextlib
import dataclasses
import errno
import itertools
import time

import pytest
from returns import result

from hickoryweir.entry import replica, settings
from hickoryweir.replicas import client, files, supervisor
from hickoryweir.replicas import state as states
from hickoryweir.routes import store
from hickoryweir.streams import hub
from hickoryweir.testing.demo import entry_vms

HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
START_TIMEOUT_S = 30.0
REFUSED_S = 0.8
# Within this time after the last fault changes are taken again.
RECOVERY_S = 5.0
PROPOSE_TIMEOUT_S = 0.9
PROPOSE_INTERVAL_S = 0.02
SETTINGS = """
[process]
role = replica
host = {host}
availability_zone = a
peer_port = {port}
seeds = 127.0.0.1:1, 127.0.0.2:1, 127.0.0.3:1

[replica]
data_folder = {folder}/{host}
bootstrap = yes
"""


def make_refusing_files(full_hosts):
    """Return file operations that refuse writes below the folders of `full_hosts`."""
    real = files.make_files()

    def check(path):
        if any(f"/{host}" in str(path) for host in full_hosts):
            raise OSError(errno.ENOSPC, "no space left on device", path)

    def create(path):
        check(path)
        return path, real.create(path)

    def append(handle, data):
        check(handle[0])
        real.append(handle[1], data)

    def overwrite(path, data):
        check(path)
        real.overwrite(path, data)

    return dataclasses.replace(
        real,
        create=create,
        reopen=lambda path, size_bytes: (path, real.reopen(path, size_bytes)),
        append=append,
        overwrite=overwrite,
        sync=lambda handle: real.sync(handle[1]),
        close=lambda handle: real.close(handle[1]),
    )


@dataclasses.dataclass(slots=True)
class Cluster:
    """Three supervised nodes on loopback sockets, and a client of their log."""

    supervisors: dict[str, supervisor.Supervisor]
    log: client.Client
    full_hosts: set[str]
    versions: itertools.count = dataclasses.field(default_factory=itertools.count)

    async def change(self):
        """Propose a change; return whether it was acknowledged."""
        command = store.make_command(next(self.versions), b"")
        outcome = await self.log.propose(command, PROPOSE_TIMEOUT_S)
        return isinstance(outcome, result.Success)

    async def change_until_acknowledged(self):
        """Propose changes until one is acknowledged."""
        is_acknowledged = False
        while not is_acknowledged:
            is_acknowledged = await self.change()

    async def keep_changing(self):
        """Propose changes until cancelled."""
        while True:
            await self.change()
            await asyncio.sleep(PROPOSE_INTERVAL_S)

    def is_heard_and_leads(self, host):
        """Return whether a replica leads, hears the others and is heard by them."""
        state = self.supervisors[host].node.state
        if state is None or state.role is not states.Role.LEADER:
            return False
        oldest_s = time.monotonic() - state.timing.election_timeout_s
        others = [
            item.node.state
            for other, item in self.supervisors.items()
            if other != host and item.node.state is not None
        ]
        return len(others) == len(HOSTS) - 1 and all(
            other.leader_id == state.member_id
            and state.progress[other.member_id].last_contact_s > oldest_s
            for other in others
        )

    async def let_each_lead(self):
        """Return once each replica in turn has led while it heard the others."""
        for host in HOSTS:
            while not self.is_heard_and_leads(host):
                state = self.supervisors[host].node.state
                if state is not None and state.role is not states.Role.LEADER:
                    # A transfer does not look for the leader, a change does.
                    await self.change()
                    await self.log.transfer(state.member_id, PROPOSE_TIMEOUT_S)
                await asyncio.sleep(PROPOSE_INTERVAL_S)


@contextlib.asynccontextmanager
async def run_cluster(folder, monkeypatch):
    full_hosts = set()
    refusing_files = make_refusing_files(full_hosts)
    monkeypatch.setattr(files, "make_files", lambda: refusing_files)
    port = entry_vms.free_port()
    supervisors, hubs, tasks = {}, [], []
    for host in HOSTS:
        text = SETTINGS.format(host=host, port=port, folder=folder)
        entry_settings = settings.parse(text, f"{host}.ini").unwrap()
        identity = settings.peer_identity(entry_settings)
        peer_hub = hub.make_hub(identity, host, port)
        await peer_hub.start()
        hubs.append(peer_hub)
        supervisors[host] = replica.make_supervisor(entry_settings, peer_hub)
        tasks.append(asyncio.create_task(supervisors[host].run()))
    log = client.make_client(identity, settings.seed_replicas(entry_settings))
    try:
        assert await log.wait_until_ready(START_TIMEOUT_S)
        yield Cluster(supervisors, log, full_hosts)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await log.close()
        for supervised in supervisors.values():
            await supervised.node.stop()
        for peer_hub in hubs:
            await peer_hub.close()


async def refuse_writes(cluster, hosts):
    """Let the disks of `hosts` refuse writes in turn while changes go on."""
    changing = asyncio.create_task(cluster.keep_changing())
    for host in hosts:
        cluster.full_hosts.add(host)
        await asyncio.sleep(REFUSED_S)
        cluster.full_hosts.discard(host)
    changing.cancel()


def test_replicas_whose_disks_refused_writes_in_turn_hear_each_other_again(
    tmp_path, monkeypatch
):
    async def main():
        async with run_cluster(tmp_path, monkeypatch) as cluster:
            first_node = cluster.supervisors[HOSTS[0]].node
            await refuse_writes(cluster, HOSTS)
            async with asyncio.timeout(RECOVERY_S):
                await cluster.change_until_acknowledged()
                await cluster.let_each_lead()
                await cluster.change_until_acknowledged()
            return cluster.supervisors[HOSTS[0]].node is not first_node

    assert asyncio.run(main())


@pytest.mark.parametrize("is_leader", [True, False])
def test_single_replica_whose_disk_refused_writes_hears_the_others_again(
    tmp_path, monkeypatch, is_leader
):
    async def main():
        async with run_cluster(tmp_path, monkeypatch) as cluster:
            await cluster.change_until_acknowledged()
            host = next(
                host for host in HOSTS if (host == cluster.log.leader_name) is is_leader
            )
            first_node = cluster.supervisors[host].node
            await refuse_writes(cluster, [host])
            async with asyncio.timeout(RECOVERY_S):
                await cluster.let_each_lead()
                await cluster.change_until_acknowledged()
            return cluster.supervisors[host].node is not first_node

    assert asyncio.run(main())
