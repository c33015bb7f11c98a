"""Routing tables for operators: validated, replaced and read through the log."""

import dataclasses
import enum

from returns import result

from hickoryweir.observability import logs
from hickoryweir.replicas import client
from hickoryweir.routes import checks, model, store

# Operators ask another replica after a second without an answer.
ANSWER_TIMEOUT_S = 0.9


class Reason(enum.StrEnum):
    """Why a table was not taken or not read."""

    INVALID = "invalid"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A table that was not taken or can't be read now."""

    reason: Reason
    detail: str


class TableService:
    """Operators' access to the table; used by the operators' port."""

    def __init__(self, log: client.Client, decode_table) -> None:
        self._log = log
        self._decode_table = decode_table

    async def replace(self, content: bytes) -> result.Result[int, Refused]:
        """Validate a table and have it in the log if its version is the highest.

        Returns
        -------
        Result of int or Refused
            The version that is now held, which may be a higher one.
        """
        decoded = self._decode_table(content)
        if isinstance(decoded, result.Failure):
            return self._refuse(Reason.INVALID, decoded.failure())
        table: model.RoutingTable = decoded.unwrap()
        problems = checks.find_problems(table)
        if problems:
            return self._refuse(Reason.INVALID, problems[0])
        command = store.make_command(table.version, content)
        answer = await self._log.propose(command, ANSWER_TIMEOUT_S)
        if isinstance(answer, result.Failure):
            failure = answer.failure()
            return self._refuse(Reason.UNAVAILABLE, failure.reason.value)
        held = answer.unwrap().version
        fields = logs.Fields(version=table.version, detail=f"version held: {held}")
        logs.info("table accepted", fields)
        return result.Success(held)

    async def read(self) -> result.Result[bytes, Refused]:
        """Return the newest table's bytes, confirmed by a majority of replicas."""
        answer = await self._log.read(store.ReadTable(), ANSWER_TIMEOUT_S)
        if isinstance(answer, result.Failure):
            return self._refuse(Reason.UNAVAILABLE, answer.failure().reason.value)
        stored: store.StoredTable = answer.unwrap()
        if stored.version == store.NO_VERSION:
            return self._refuse(Reason.UNAVAILABLE, "no table yet")
        return result.Success(store.read_content(stored))

    def _refuse(self, reason: Reason, detail: str) -> result.Result:
        fields = logs.Fields(reason=reason.value, detail=detail)
        logs.warning("table not taken or read", fields)
        return result.Failure(Refused(reason, detail))
