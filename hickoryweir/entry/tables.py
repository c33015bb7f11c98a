"""Validates, replaces and reads routing tables through the replicated log."""

import dataclasses
import enum

from returns import result

from hickoryweir.observability import logs
from hickoryweir.replicas import client
from hickoryweir.routes import checks, model, store

# Operators try another replica after 1 s without a response.
LOG_TIMEOUT_S = 0.9
# Names in a table, which the reason may cite, have any length.
MAX_DETAIL_LENGTH = 500


class Reason(enum.StrEnum):
    """Reason why a table was not accepted or not read."""

    INVALID = "invalid"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A replacement or read of the table that was refused."""

    reason: Reason
    detail: str


class TableService:
    """Access to the routing table for the operators' port."""

    def __init__(self, log: client.Client, decode_table) -> None:
        self._log = log
        self._decode_table = decode_table

    async def replace(self, content: bytes) -> result.Result[int, Refused]:
        """Validate a table and store it in the log if its version is the highest.

        Returns
        -------
        Result of int or Refused
            The version in the log afterwards, which may be higher than the table's.
        """
        decoded = self._decode_table(content)
        if isinstance(decoded, result.Failure):
            return self._refuse(Reason.INVALID, decoded.failure())
        table: model.RoutingTable = decoded.unwrap()
        problems = checks.find_problems(table)
        if problems:
            return self._refuse(Reason.INVALID, problems[0])
        command = store.make_command(table.version, content)
        outcome = await self._log.propose(command, LOG_TIMEOUT_S)
        if isinstance(outcome, result.Failure):
            failure = outcome.failure()
            return self._refuse(Reason.UNAVAILABLE, failure.reason.value)
        held = outcome.unwrap().version
        fields = logs.Fields(version=table.version, detail=f"version held: {held}")
        logs.info("table accepted", fields)
        return result.Success(held)

    async def read(self) -> result.Result[bytes, Refused]:
        """Return the newest table's bytes, confirmed by a majority of replicas."""
        outcome = await self._log.read(store.ReadTable(), LOG_TIMEOUT_S)
        if isinstance(outcome, result.Failure):
            return self._refuse(Reason.UNAVAILABLE, outcome.failure().reason.value)
        stored: store.StoredTable = outcome.unwrap()
        if stored.version == store.NO_VERSION:
            return self._refuse(Reason.UNAVAILABLE, "no table yet")
        return result.Success(store.read_content(stored))

    def _refuse(self, reason: Reason, detail: str) -> result.Result:
        detail = detail[:MAX_DETAIL_LENGTH]
        fields = logs.Fields(reason=reason.value, detail=detail)
        logs.warning("table not taken or read", fields)
        return result.Failure(Refused(reason, detail))
