"""Submits a configuration straight to the replicated log."""

import asyncio
import time
import uuid

from hickoryweir.configuration import commands
from hickoryweir.replicas import client, wire
from hickoryweir.streams import handshake
from hickoryweir.testing.demo import entry_vms

SUBMIT_TIMEOUT_S = 5.0
TRIES_COUNT = 100
TRY_INTERVAL_S = 0.2


async def submit(vms: tuple[entry_vms.EntryVm, ...], text: str) -> object:
    """Propose a configuration until the log has answered."""
    identity = handshake.Identity("demo", "operator", vms[0].availability_zone)
    addresses = tuple(
        wire.ReplicaAddress(
            vm.name, entry_vms.HOST, vm.peers_port, vm.availability_zone
        )
        for vm in vms
    )
    log = client.make_client(identity, addresses)
    change = commands.make_submit(uuid.uuid4().hex, "demo", time.time(), 0, "", text)
    reply = None
    for _ in range(TRIES_COUNT):
        reply = await log.propose(change, SUBMIT_TIMEOUT_S)
        if reply.value_or(None) is not None:
            break
        await asyncio.sleep(TRY_INTERVAL_S)
    await log.close()
    return reply
