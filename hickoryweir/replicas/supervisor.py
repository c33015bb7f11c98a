"""Replaces a replica's node after a disk failure or an error of the program."""

import asyncio
from collections.abc import Callable

from returns import result

from hickoryweir.observability import logs
from hickoryweir.replicas import node, quorums, records
from hickoryweir.replicas import state as states

# A disk that hangs or is full usually stays so for seconds.
REOPEN_INTERVAL_S = 0.5
FAILURE_CHECK_INTERVAL_S = 0.2


class Supervisor:
    """Restarts the replica's node after a disk failure or an error of the program.

    After a failed write the content of the disk is unknown, so the node stops and
    recovers from its data folder as after a restart, retrying until the disk works.
    No node is started twice: what it has applied and its links belong to one run.

    Parameters
    ----------
    make_node : callable
        Returns a new node.
    find_version : callable, optional
        Returns the version that a node has applied, for the log.

    Attributes
    ----------
    node : node.Node
        The current node.
    """

    def __init__(
        self,
        make_node: Callable[[], node.Node],
        find_version: Callable[[node.Node], int | None] = lambda current: None,
    ) -> None:
        self._make_node = make_node
        self._find_version = find_version
        self._is_used = False
        self._is_open = False
        self.node = make_node()

    async def run(self) -> None:
        """Start the node, and replace it after each failure, until cancelled.

        May run again after an unexpected error.
        """
        while True:
            if not self._is_used:
                await self.start()
            await self._wait_for_failure()
            self._is_open = False
            await self.node.stop(disk_timeout_s=None)
            await asyncio.sleep(REOPEN_INTERVAL_S)
            self.node = self._make_node()
            self._is_used = False

    async def start(self) -> result.Result[None, records.StorageFailure]:
        """Start the node; `run` then goes on with it.

        For a process that ends if its data folder can't be opened at its start.
        """
        self._is_used = True
        started = await self.node.start()
        if isinstance(started, result.Success):
            self._is_open = True
            logs.info("data folder opened", self._describe_recovered())
        return started

    def _describe_recovered(self) -> logs.Fields:
        state = self.node.state
        snapshot_index = 0 if state.snapshot is None else state.snapshot.index
        detail = (
            f"term {state.term}, snapshot at {snapshot_index}, "
            f"log to {state.log.last_index}, member: {quorums.is_member(state)}"
        )
        version = self._find_version(self.node)
        return logs.Fields(peer=state.member_id, version=version, detail=detail)

    async def _wait_for_failure(self) -> None:
        while self._is_open:
            if self.node.state.role is states.Role.FAILED:
                logs.error("replica restarts after a failure", logs.Fields())
                return
            await asyncio.sleep(FAILURE_CHECK_INTERVAL_S)
