"""Outgoing connections to the other replicas, one task each.

Messages are dropped if there is no connection or its send queue is full; Raft sends
them again.
"""

import asyncio
from collections.abc import Awaitable, Callable

from hickoryweir.observability import logs
from hickoryweir.replicas import messages, wire
from hickoryweir.streams import connections, handshake, hub, tls

BACK_OFF_START_S = 0.05
BACK_OFF_MAX_S = 0.5
CONNECT_TIMEOUT_S = 1.0
MAX_LOGGED_LENGTH = 200

Handler = Callable[[connections.Connection], Awaitable[None]]


class Links:
    """Maintains a connection to each other member."""

    def __init__(
        self,
        identity: handshake.Identity,
        group: str,
        files: tls.TlsFiles | None,
        handler: Handler,
    ) -> None:
        self._identity = identity
        self._group = group
        self._files = files
        self._handler = handler
        self._addresses: dict[str, str] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._outgoing: dict[str, connections.Connection] = {}
        self._incoming: dict[str, connections.Connection] = {}
        self._unreachable_ids: set[str] = set()

    def update(self, membership: messages.Membership, own_id: str) -> None:
        """Connect to the members of `membership` and disconnect from others."""
        wanted = {
            member.member_id: member.address
            for member in membership.members
            if member.member_id != own_id
        }
        for member_id in list(self._tasks):
            if wanted.get(member_id) != self._addresses[member_id]:
                self._tasks.pop(member_id).cancel()
                del self._addresses[member_id]
        for member_id in wanted.keys() - self._tasks.keys():
            self._addresses[member_id] = wanted[member_id]
            task = asyncio.create_task(self._maintain(member_id, wanted[member_id]))
            self._tasks[member_id] = task

    def add_incoming(self, member_id: str, connection: connections.Connection) -> None:
        """Record an incoming connection, used while there is no outgoing one."""
        if self._incoming.get(member_id) is not connection:
            self._incoming[member_id] = connection
            self._unreachable_ids.discard(member_id)

    def remove_incoming(self, connection: connections.Connection) -> None:
        """Remove a closed incoming connection."""
        for member_id, known in list(self._incoming.items()):
            if known is connection:
                del self._incoming[member_id]

    def send(self, envelope: messages.Envelope) -> None:
        """Send a message, or drop it if there is no connection with a free queue.

        After the outgoing connection went silent, an incoming one from before that is
        not used: a leader that new connections can't reach would hear its followers by
        it and stay the leader, out of its clients' reach.
        """
        member_id = envelope.to_id
        connection = self._outgoing.get(member_id)
        if connection is None and member_id not in self._unreachable_ids:
            connection = self._incoming.get(member_id)
        if connection is not None:
            connection.offer(envelope)

    async def close(self) -> None:
        """Cancel all tasks."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _maintain(self, member_id: str, address: str) -> None:
        back_off_s = BACK_OFF_START_S
        while True:
            is_connected = False
            try:
                is_connected = await self._connect_and_serve(member_id, address)
            except Exception as error:
                # Nobody waits for this task; without it the member gets no messages.
                detail = repr(error)[:MAX_LOGGED_LENGTH]
                logs.error(
                    "link to a replica restarts",
                    logs.Fields(peer=member_id, reason=detail),
                )
            if is_connected:
                back_off_s = BACK_OFF_START_S
            await asyncio.sleep(back_off_s)
            back_off_s = min(2 * back_off_s, BACK_OFF_MAX_S)

    async def _connect_and_serve(self, member_id: str, address: str) -> bool:
        """Serve one connection until it ends; return whether there was one."""
        host, port = wire.split_address(address)
        outcome = await hub.connect(
            self._identity,
            host,
            port,
            handshake.Purpose.REPLICA,
            self._files,
            CONNECT_TIMEOUT_S,
            self._group,
        )
        connection = outcome.value_or(None)
        if connection is None:
            return False
        await self._serve(member_id, connection)
        return True

    async def _serve(self, member_id: str, connection: connections.Connection) -> None:
        wanted_name = messages.replica_name_of(member_id)
        try:
            if connection.peer.process_name == wanted_name:
                self._outgoing[member_id] = connection
                self._unreachable_ids.discard(member_id)
                await self._handler(connection)
        finally:
            self._outgoing.pop(member_id, None)
            if connection.has_gone_silent:
                self._unreachable_ids.add(member_id)
            connection.abort()
