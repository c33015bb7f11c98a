"""Relay of client requests to a leader that the client can't reach directly.

A network partition can separate single pairs of zones.  A replica in contact with the
leader relays requests to it over a connection of its own.
"""

import asyncio
import dataclasses

from hickoryweir.replicas import channels, messages, requests, wire
from hickoryweir.streams import handshake, tls

CONNECT_TIMEOUT_S = 0.5
RELAY_TIMEOUT_S = 5.0


class Relays:
    """Connections to leaders, each opened on first use."""

    def __init__(
        self, identity: handshake.Identity, files: tls.TlsFiles | None, group: str
    ) -> None:
        self._identity = identity
        self._files = files
        self._group = group
        self._channels: dict[str, channels.Channel] = {}
        self._tasks: set[asyncio.Task] = set()

    def forward(
        self, pending: requests.PendingRequest, leader: messages.Member
    ) -> None:
        """Forward a request to the leader and its response to the client."""
        task = asyncio.create_task(self._forward(pending, leader))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def on_leader_change(self, leader_id: str) -> None:
        """Fail the requests that are pending at former leaders."""
        for member_id, channel in self._channels.items():
            if member_id != leader_id:
                channel.fail_pending()

    async def close(self) -> None:
        """Close all connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*[item.close() for item in self._channels.values()])

    async def _forward(
        self, pending: requests.PendingRequest, leader: messages.Member
    ) -> None:
        channel = self._channel(leader)
        request = pending.request.request
        response = None
        may_commit = await channel.ensure_open()
        try:
            async with asyncio.timeout(RELAY_TIMEOUT_S):
                response = await channel.ask(request) if may_commit else None
        except TimeoutError:
            pass
        if response is None:
            lost = wire.NotServedReason.LEADERSHIP_LOST
            response = wire.NotServed(0, lost, "", True, may_commit)
        request_id = pending.request.request_id
        pending.connection.offer(dataclasses.replace(response, request_id=request_id))

    def _channel(self, leader: messages.Member) -> channels.Channel:
        channel = self._channels.get(leader.member_id)
        if channel is None:
            address = wire.address_of(leader)
            channel = channels.Channel(
                self._identity, address, self._files, self._group, CONNECT_TIMEOUT_S
            )
            self._channels[leader.member_id] = channel
        return channel
