"""Bootstrap of a new cluster, safe against replicas whose disks come back empty.

A folder that is created with ``bootstrap`` set keeps the permission to bootstrap a
cluster.  A replica that has it and is empty bootstraps a cluster only if *every*
initial replica answers that its folder is empty too, and only if it is the first by
name of those that have the permission.  The member ids contain the incarnations from
those answers.  The bootstrapping replica stores the membership first and then sends it
to the others until there is a leader.  If any replica holds state or does not answer,
no cluster is created: an empty replica then waits to be admitted as a learner.

A folder never gains or loses the permission, so two replicas can regard themselves as
the first only if one of them has been replaced by an empty folder without it.
"""

import asyncio
from collections.abc import Callable

from hickoryweir.replicas import messages, wire
from hickoryweir.replicas import state as states
from hickoryweir.streams import handshake, hub, tls

ASK_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.2
BOOTSTRAP_INDEX = 1


async def bootstrap_cluster(
    identity: handshake.Identity,
    group: str,
    files: tls.TlsFiles | None,
    replicas: tuple[wire.ReplicaAddress, ...],
    get_state: Callable[[], states.State],
    submit: Callable[[states.Event], None],
) -> None:
    """Bootstrap the cluster if this replica is the one to do so.

    Parameters
    ----------
    identity, group, files
        Identity of this process, name of the log, and TLS.
    replicas : tuple of wire.ReplicaAddress
        The initial members.
    get_state : callable
        Returns the core's state.
    submit : callable
        Passes an event to the core.
    """
    ask = _make_ask(identity, group, files)
    while _is_empty(get_state()):
        membership = await _gather_members(ask, replicas, identity.process_name)
        if membership is not None and _is_empty(get_state()):
            submit(states.Bootstrapped(membership))
            await asyncio.sleep(0)
        await asyncio.sleep(RETRY_INTERVAL_S)
    while not _has_had_leader(get_state()):
        await _send_membership(ask, replicas, get_state())
        await asyncio.sleep(RETRY_INTERVAL_S)


def choose_members(
    replicas: tuple[wire.ReplicaAddress, ...],
    statuses: list[wire.Status | None],
    own_name: str,
) -> messages.Membership | None:
    """Return the membership that a replica should bootstrap, if any.

    Parameters
    ----------
    replicas : tuple of wire.ReplicaAddress
        The initial members.
    statuses : list of wire.Status or None
        Their answers in the same order; None if there was none.
    own_name : str
        Name of the replica that asked.
    """
    if not all(isinstance(status, wire.Status) for status in statuses):
        return None
    if not all(status.empty for status in statuses):
        return None
    permitted = [
        replica.name
        for replica, status in zip(replicas, statuses, strict=True)
        if status.may_bootstrap
    ]
    if min(permitted, default="") != own_name:
        return None
    members = [
        messages.Member(
            status.member_id, replica.address, status.availability_zone, True
        )
        for replica, status in zip(replicas, statuses, strict=True)
    ]
    ordered = sorted(members, key=lambda member: member.member_id)
    return messages.Membership(tuple(ordered))


def _is_empty(state: states.State) -> bool:
    return not state.memberships and state.log.last_index == 0


def _has_had_leader(state: states.State) -> bool:
    return bool(state.leader_id) or state.log.last_index > BOOTSTRAP_INDEX


async def _gather_members(ask, replicas, own_name: str) -> messages.Membership | None:
    """Return the members if they are empty, and still are when asked again.

    A former incarnation of one of them may have bootstrapped a cluster between the
    answers of the others and its own; it has ended before the second round.
    """
    request = wire.StatusRequest(0)
    membership = None
    for _ in range(2):
        previous = membership
        statuses = await asyncio.gather(
            *[ask(replica, handshake.Purpose.CLIENT, request) for replica in replicas]
        )
        membership = choose_members(replicas, statuses, own_name)
        if membership is None:
            return None
    return membership if membership == previous else None


async def _send_membership(ask, replicas, state: states.State) -> None:
    request = wire.BootstrapRequest(state.membership)
    own_name = messages.replica_name_of(state.member_id)
    await asyncio.gather(
        *[
            ask(replica, handshake.Purpose.REPLICA, request)
            for replica in replicas
            if replica.name != own_name
        ]
    )


def _make_ask(identity, group, files):
    async def ask(
        replica: wire.ReplicaAddress, purpose: handshake.Purpose, message: object
    ) -> object | None:
        outcome = await hub.connect(
            identity, replica.host, replica.port, purpose, files, ASK_TIMEOUT_S, group
        )
        connection = outcome.value_or(None)
        if connection is None:
            return None
        try:
            await connection.send(message)
            if purpose is handshake.Purpose.REPLICA:
                return None
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return (await connection.receive()).value_or(None)
        except TimeoutError:
            return None
        finally:
            await connection.close()

    return ask
