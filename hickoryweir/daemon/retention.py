"""Sets the log's retention of idempotency keys from the configuration in force."""

import asyncio

from hickoryweir.claims import commands
from hickoryweir.daemon import components
from hickoryweir.replicas import state as replica_states

CHECK_INTERVAL_S = 1.0
PROPOSE_TIMEOUT_S = 2.0


async def run(process: components.Process) -> None:
    """Propose the configured retention while this process's replica leads."""
    while process.replica is not None:
        await asyncio.sleep(CHECK_INTERVAL_S)
        command = find_due_command(process)
        if command is not None:
            await process.log.propose(command, PROPOSE_TIMEOUT_S)


def find_due_command(process: components.Process) -> commands.SetRetention | None:
    """Return the command to propose, or None if this replica has none to propose."""
    if process.in_force is None:
        return None
    state = process.replica.state
    if state is None or state.role is not replica_states.Role.LEADER:
        return None
    limits = process.replica.machine.states["claims"].limits
    version = process.in_force.version
    retention_s = process.in_force.configuration.idempotency_retention_s
    if retention_s == limits.retention_s or version < limits.configuration_version:
        return None
    return commands.SetRetention(retention_s, version)
