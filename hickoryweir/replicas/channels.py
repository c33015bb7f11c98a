"""A client's connection to one replica; matches responses to requests by id."""

import asyncio
import dataclasses
import itertools
import time

from returns import result

from hickoryweir.observability import logs
from hickoryweir.replicas import wire
from hickoryweir.streams import connections, handshake, hub, tls

MAX_LOGGED_LENGTH = 200
# Each open connection is probed several times a second, and most clients ask rarely.
IDLE_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingResponse:
    """A request that waits for its response; `sent_s` is monotonic time."""

    response: asyncio.Future
    sent_s: float


class Channel:
    """Connects on first use, and again after a failure or when it was idle."""

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
        self._connect_task: asyncio.Task | None = None
        self._read_task: asyncio.Task | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._request_ids = itertools.count(1)
        self._pending: dict[int, PendingResponse] = {}

    async def ask(self, request: wire.Request) -> object | None:
        """Return the response, or None if the connection fails or is lost.

        Cancellation does not withdraw the request; it may still be served.
        """
        if not await self.ensure_open():
            return None
        self._cancel_idle_timer()
        request_id = next(self._request_ids)
        response = asyncio.get_running_loop().create_future()
        self._pending[request_id] = PendingResponse(response, time.monotonic())
        numbered = dataclasses.replace(request, request_id=request_id)
        try:
            sent = self._connection.offer(numbered)
            if isinstance(sent, result.Failure):
                return None
            return await response
        finally:
            self._pending.pop(request_id, None)
            self._start_idle_timer()

    async def ensure_open(self) -> bool:
        """Open a connection if there is none; return whether there is one."""
        if self._connection is not None and not self._connection.is_closed:
            return True
        if self._connect_task is None:
            self._connect_task = asyncio.create_task(self._connect())
        connecting = self._connect_task
        # Unlike a shield, this does not cancel the caller when the channel is closed.
        await asyncio.wait({connecting})
        return not connecting.cancelled() and connecting.result()

    def longest_wait_s(self) -> float:
        """Return how long the oldest pending request has waited; 0 if there is none."""
        oldest = next(iter(self._pending.values()), None)
        return 0.0 if oldest is None else time.monotonic() - oldest.sent_s

    def fail_pending(self) -> None:
        """Complete all pending requests with None."""
        for pending in self._pending.values():
            if not pending.response.done():
                pending.response.set_result(None)

    async def close(self) -> None:
        """Close the connection; pending requests complete with None."""
        self._cancel_idle_timer()
        tasks = [
            task for task in (self._connect_task, self._read_task) if task is not None
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._connection is not None:
            await self._connection.close()

    def _start_idle_timer(self) -> None:
        self._cancel_idle_timer()
        if not self._pending:
            loop = asyncio.get_running_loop()
            self._idle_timer = loop.call_later(IDLE_TIMEOUT_S, self._close_idle)

    def _cancel_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _close_idle(self) -> None:
        if self._connection is not None and not self._pending:
            self._connection.abort()

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
            self._read_task = asyncio.create_task(self._read(self._connection))
            return True
        except Exception as error:
            # All requests to all replicas wait for this attempt in a poll.
            fields = logs.Fields(
                peer=self.replica.name, reason=repr(error)[:MAX_LOGGED_LENGTH]
            )
            logs.error("connecting to a replica failed", fields)
            return False
        finally:
            self._connect_task = None

    async def _read(self, connection: connections.Connection) -> None:
        try:
            while True:
                message = (await connection.receive()).value_or(None)
                if message is None:
                    return
                pending = self._pending.get(getattr(message, "request_id", None))
                if pending is not None and not pending.response.done():
                    pending.response.set_result(message)
        finally:
            connection.abort()
            self.fail_pending()
