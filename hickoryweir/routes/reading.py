"""Reads the routing table that the replicated log holds."""

from collections.abc import Callable

from returns import result

from hickoryweir.observability import logs
from hickoryweir.routes import model, store


class TableReader:
    """Decodes the table in the log whenever its version changes.

    Parameters
    ----------
    read_stored : callable
        Returns the table in the log.
    decode_table : callable
        Returns the decoded table, or an error message.
    """

    def __init__(
        self,
        read_stored: Callable[[], store.StoredTable],
        decode_table: Callable[[bytes], result.Result[model.RoutingTable, str]],
    ) -> None:
        self._read_stored = read_stored
        self._decode_table = decode_table
        self._version = store.NO_VERSION
        self._table: model.RoutingTable | None = None

    def read(self) -> model.RoutingTable | None:
        """Return the newest table that can be decoded; None if there is none."""
        stored = self._read_stored()
        if stored.version == self._version or not stored.compressed:
            return self._table
        self._version = stored.version
        decoded = self._decode_table(store.read_content(stored))
        if isinstance(decoded, result.Failure):
            fields = logs.Fields(version=stored.version, reason=decoded.failure())
            logs.error("table in the replicated log can't be decoded", fields)
        else:
            self._table = decoded.unwrap()
        return self._table

    def read_services(self) -> tuple[model.Service, ...]:
        """Return the services of the table."""
        table = self.read()
        return () if table is None else table.services
