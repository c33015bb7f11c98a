"""A client's connection to one replica, with answers matched to requests."""

import asyncio
import dataclasses
import itertools

from returns import result

from hickoryweir.replicas import wire
from hickoryweir.streams import connections, handshake, hub, tls


class Channel:
    """Connects when first used and again after a failure."""

    def __init__(
        self,
        identity: handshake.Identity,
        replica: wire.ReplicaAddress,
        files: tls.TlsFiles | None,
        group: str,
        connect_timeout_s: float,
    ) -> None:
        self.replica = replica
        self._identity = identity
        self._files = files
        self._group = group
        self._connect_timeout_s = connect_timeout_s
        self._connection: connections.Connection | None = None
        self._connecting: asyncio.Task | None = None
        self._reading: asyncio.Task | None = None
        self._request_ids = itertools.count(1)
        self._answers: dict[int, asyncio.Future] = {}

    async def ask(self, request: wire.Request) -> object | None:
        """Return the answer, or None if the replica is not reached or goes away.

        A cancelled caller only gives the answer up; the request may be served.
        """
        if not await self.ensure_open():
            return None
        request_id = next(self._request_ids)
        answer = asyncio.get_running_loop().create_future()
        self._answers[request_id] = answer
        numbered = dataclasses.replace(request, request_id=request_id)
        try:
            sent = self._connection.offer(numbered)
            if isinstance(sent, result.Failure):
                return None
            return await answer
        finally:
            self._answers.pop(request_id, None)

    async def ensure_open(self) -> bool:
        """Return whether there is a connection, after trying to open one."""
        if self._connection is not None and not self._connection.is_closed:
            return True
        if self._connecting is None:
            self._connecting = asyncio.create_task(self._connect())
        return await asyncio.shield(self._connecting)

    async def close(self) -> None:
        """Close the connection; all that waits is given up."""
        tasks = [task for task in (self._connecting, self._reading) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._connection is not None:
            await self._connection.close()

    async def _connect(self) -> bool:
        try:
            outcome = await hub.connect(
                self._identity,
                self.replica.host,
                self.replica.port,
                handshake.Purpose.CLIENT,
                self._files,
                self._connect_timeout_s,
                self._group,
            )
            self._connection = outcome.value_or(None)
            if self._connection is None:
                return False
            self._reading = asyncio.create_task(self._read(self._connection))
            return True
        finally:
            self._connecting = None

    async def _read(self, connection: connections.Connection) -> None:
        try:
            while True:
                message = (await connection.receive()).value_or(None)
                if message is None:
                    return
                answer = self._answers.get(getattr(message, "request_id", None))
                if answer is not None and not answer.done():
                    answer.set_result(message)
        finally:
            connection.abort()
            for answer in self._answers.values():
                if not answer.done():
                    answer.set_result(None)
