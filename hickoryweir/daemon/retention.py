"""Keeps the log's retention of idempotency keys equal to the configuration's."""

import asyncio

from hickoryweir.claims import commands
from hickoryweir.daemon import parts
from hickoryweir.replicas import state as replica_states

INTERVAL_S = 1.0
PROPOSE_TIMEOUT_S = 2.0


async def run(process: parts.Process) -> None:
    """Propose the retention in force while this process's replica leads."""
    while process.replica is not None:
        await asyncio.sleep(INTERVAL_S)
        wanted_s = find_due(process)
        if wanted_s is not None:
            command = commands.SetRetention(wanted_s)
            await process.log.propose(command, PROPOSE_TIMEOUT_S)


def find_due(process: parts.Process) -> float | None:
    """Return the retention to propose, or None if none is due here."""
    if process.in_force is None:
        return None
    if process.replica.state.role is not replica_states.Role.LEADER:
        return None
    wanted_s = process.in_force.configuration.idempotency_retention_s
    held_s = process.replica.machine.states["claims"].limits.retention_s
    return wanted_s if wanted_s != held_s else None
