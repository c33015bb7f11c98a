"""The daemon's access to the replicated log: state machines, replica and client.

The log drives two submachines: claims of non-idempotent calls, and operators'
changes.  Routers access both through a client of the replicas.
"""

from returns import result

from hickoryweir.claims import commands as claim_commands
from hickoryweir.claims import gateway, snapshots, verdicts
from hickoryweir.claims import machine as claims_machine
from hickoryweir.claims import queries as claim_queries
from hickoryweir.configuration import changes, queries, settings
from hickoryweir.configuration import commands as change_commands
from hickoryweir.replicas import client, machine, node, supervisor, wire
from hickoryweir.routers import node as router_node
from hickoryweir.routers import versions
from hickoryweir.streams import handshake, hub

CLAIM_COMMANDS = (
    claim_commands.Claim,
    claim_commands.RecordOutcome,
    claim_commands.SetRetention,
)
CHANGE_COMMANDS = (
    change_commands.SubmitChange,
    change_commands.StartStop,
    change_commands.CancelStop,
)


def to_published(current: queries.CurrentState) -> versions.Published | None:
    """Return the log's version as routers exchange it; None before any change."""
    if not current.configuration:
        return None
    return versions.Published(
        current.version,
        current.configuration_version,
        current.digest,
        change_commands.decompress(current.configuration),
        current.running_stops,
    )


def make_submachines() -> tuple[machine.Submachine, ...]:
    """Return the submachines of the log."""
    return (
        machine.Submachine(
            name="claims",
            command_types=CLAIM_COMMANDS,
            initial_state=claims_machine.initial_state,
            apply=claims_machine.apply,
            dump=snapshots.dump,
            load=snapshots.load,
            query_types=claim_queries.QUERY_TYPES,
            query=claim_queries.answer,
            freeze=snapshots.freeze,
        ),
        machine.Submachine(
            name="changes",
            command_types=CHANGE_COMMANDS,
            initial_state=changes.initial_state,
            apply=changes.apply,
            dump=changes.dump,
            load=changes.load,
            query_types=queries.QUERY_TYPES,
            query=queries.answer,
            version=lambda state: state.version,
        ),
    )


def make_identity(process_settings: settings.Settings) -> handshake.Identity:
    """Return the identity that this process presents to its peers."""
    process = process_settings.process
    return handshake.Identity(
        process.cluster_id, process.name, process.availability_zone
    )


def replica_addresses(
    process_settings: settings.Settings,
) -> tuple[wire.ReplicaAddress, ...]:
    """Return the addresses of all replicas, including this process if it is one."""
    addresses = [
        wire.ReplicaAddress(peer.name, peer.host, peer.port, peer.availability_zone)
        for peer in process_settings.other_processes
        if settings.Role.REPLICA in peer.roles
    ]
    if settings.Role.REPLICA in process_settings.process.roles:
        own = wire.ReplicaAddress(
            process_settings.process.name,
            process_settings.peers.host,
            process_settings.peers.port,
            process_settings.process.availability_zone,
        )
        addresses.append(own)
    return tuple(sorted(addresses, key=lambda address: address.name))


def make_supervisor(
    process_settings: settings.Settings, peer_hub: hub.Hub
) -> supervisor.Supervisor | None:
    """Return the supervisor of this process's replica; None without the role."""
    if settings.Role.REPLICA not in process_settings.process.roles:
        return None
    node_settings = node.NodeSettings(
        identity=make_identity(process_settings),
        data_folder=str(process_settings.replica.data_folder),
        replicas=replica_addresses(process_settings),
        bootstrap=process_settings.replica.bootstrap,
        files=router_node.make_tls_files(process_settings.peers),
    )
    return supervisor.Supervisor(
        lambda: node.make_node(node_settings, peer_hub, make_submachines())
    )


def make_client(process_settings: settings.Settings) -> client.Client:
    """Return a client of the replicas."""
    return client.make_client(
        make_identity(process_settings),
        replica_addresses(process_settings),
        router_node.make_tls_files(process_settings.peers),
    )


def make_propose(log: client.Client) -> gateway.Propose:
    """Return the function with which the claims gateway proposes commands."""

    async def propose(
        command: claim_commands.Command, timeout_s: float
    ) -> result.Result[verdicts.Verdict, verdicts.Unavailable]:
        proposed = await log.propose(command, timeout_s)
        return proposed.alt(
            lambda failure: verdicts.Unavailable(
                str(failure.reason), failure.may_commit, failure.retry_after_s
            )
        )

    return propose


async def read_published(
    log: client.Client, timeout_s: float
) -> result.Result[versions.Published | None, client.Unavailable]:
    """Return the log's version with a linearizable read."""
    answered = await log.read(queries.ReadCurrentState(), timeout_s)
    return answered.map(to_published)
