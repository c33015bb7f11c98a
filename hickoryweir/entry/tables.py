"""Validates, replaces and reads routing tables through the replicated log."""

import dataclasses
import enum

from returns import result

from hickoryweir import clocks
from hickoryweir.feeds import confirmations
from hickoryweir.observability import logs
from hickoryweir.replicas import client
from hickoryweir.routes import checks, model, store

# Operators try another replica after 1 s without a response.
RESPONSE_TIMEOUT_S = 0.95
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
    """Access to the routing table for the operators' port.

    Parameters
    ----------
    log : client.Client
        The replicated log.
    decode_table : callable
        Decodes a table's bytes.
    in_force : confirmations.Confirmations
        What the routers that follow this replica have in force.
    """

    def __init__(
        self,
        log: client.Client,
        decode_table,
        in_force: confirmations.Confirmations,
    ) -> None:
        self._log = log
        self._decode_table = decode_table
        self._in_force = in_force

    async def replace(self, content: bytes) -> result.Result[int, Refused]:
        """Validate a table and store it in the log if its version is the highest.

        Returns once the routers have it in force.  If the log leaves them too little
        time for that until `RESPONSE_TIMEOUT_S`, the table is stored and the operator
        has to ask again; sent once more, it changes nothing.

        Returns
        -------
        Result of int or Refused
            The version in the log afterwards, which may be higher than the table's.
        """
        respond_until_s = clocks.boottime_s() + RESPONSE_TIMEOUT_S
        decoded = self._decode_table(content)
        if isinstance(decoded, result.Failure):
            return self._refuse(Reason.INVALID, decoded.failure())
        table: model.RoutingTable = decoded.unwrap()
        problems = checks.find_problems(table)
        if problems:
            return self._refuse(Reason.INVALID, problems[0])
        command = store.make_command(table.version, content)
        started_s = clocks.boottime_s()
        outcome = await self._log.propose(command, LOG_TIMEOUT_S)
        duration_s = round(clocks.boottime_s() - started_s, 3)
        fields = logs.Fields(
            peer=self._log.leader_name or None,
            version=table.version,
            duration_s=duration_s,
        )
        if isinstance(outcome, result.Failure):
            failure = outcome.failure()
            if failure.may_commit:
                # Without an answer, the table may be in force later.
                logs.warning("table may be taken without an answer", fields)
            return self._refuse(Reason.UNAVAILABLE, failure.reason.value, table.version)
        held = outcome.unwrap().version
        left_s = respond_until_s - clocks.boottime_s()
        waited = await self._in_force.wait(table.version, left_s)
        if not waited.is_conclusive:
            return self._refuse(
                Reason.UNAVAILABLE, "stored, not yet in force", table.version
            )
        in_force_count = self._in_force.count_in_force(table.version)
        detail = (
            f"version held: {held}, in force at {in_force_count} of "
            f"{self._in_force.routers_count} routers"
        )
        logs.info("table accepted", dataclasses.replace(fields, detail=detail))
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

    def _refuse(
        self, reason: Reason, detail: str, version: int | None = None
    ) -> result.Result:
        detail = detail[:MAX_DETAIL_LENGTH]
        fields = logs.Fields(reason=reason.value, detail=detail, version=version)
        logs.warning("table not taken or read", fields)
        return result.Failure(Refused(reason, detail))
