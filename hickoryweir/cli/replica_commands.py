"""Commands for the members of the replicated log.

They connect to the replicas with the settings and the certificate of an entry VM.
"""

import asyncio
import dataclasses
import importlib
import pathlib
from typing import Annotated

import cappa
from returns import result

from hickoryweir.cli import exits, files
from hickoryweir.configuration import settings
from hickoryweir.replicas import replacement, wire

STEP_TIMEOUT_S = 60.0


def _run_with_log(path: pathlib.Path, action) -> int:
    loaded = settings.load(path)
    if not isinstance(loaded, result.Success):
        return files.report(loaded.failure())
    return asyncio.run(_run(loaded.unwrap(), action))


async def _run(process_settings: settings.Settings, action) -> int:
    replicated_log = importlib.import_module("hickoryweir.daemon.replicated_log")
    log = replicated_log.make_client(process_settings)
    try:
        return await action(log)
    finally:
        await log.close()


async def _show_members(log) -> int:
    members = await replacement.members(log)
    for status in members:
        print(
            status.member.member_id,
            status.member.address,
            status.member.availability_zone,
            "voter" if status.member.voter else "learner",
            f"holds entries to {status.match_index}",
            "caught up"
            if status.caught_up
            else f"last contact {status.since_contact_s:.1f} s ago",
        )
    if not members:
        print("no leader responded")
        return exits.ExitCode.UNREACHABLE
    return exits.ExitCode.SUCCESS


def _run_members(command: "Members") -> int:
    return _run_with_log(command.settings, _show_members)


@cappa.command(invoke=_run_members, help="Show the replicas as their leader sees them.")
@dataclasses.dataclass
class Members:
    """Arguments of ``members``."""

    settings: Annotated[pathlib.Path, cappa.Arg(help="Settings file.")]


def _run_replace(command: "ReplaceReplica") -> int:
    host, port = wire.split_address(command.address)
    replica = wire.ReplicaAddress(command.name, host, port, "")

    async def action(log) -> int:
        outcome = await replacement.replace(
            log, command.lost_id, replica, STEP_TIMEOUT_S
        )
        if isinstance(outcome, result.Failure):
            print(f"not finished: {outcome.failure().reason.value}; run it again")
            return exits.ExitCode.UNREACHABLE
        if outcome.unwrap():
            print(f"refused: {outcome.unwrap()}")
            return exits.ExitCode.REFUSED
        print("replaced; the new replica is a voter")
        return exits.ExitCode.SUCCESS

    return _run_with_log(command.settings, action)


@cappa.command(
    name="replace-replica", invoke=_run_replace, help="Replace a lost replica."
)
@dataclasses.dataclass
class ReplaceReplica:
    """Arguments of ``replace-replica``."""

    settings: Annotated[pathlib.Path, cappa.Arg(help="Settings file.")]
    lost_id: Annotated[
        str, cappa.Arg(help="Member id of the lost replica; see members.")
    ]
    name: Annotated[str, cappa.Arg(help="Process name of the new replica.")]
    address: Annotated[
        str, cappa.Arg(help="HOST:PORT of the new replica for its peers.")
    ]
