"""How long streams may be resumed, by the table in the replicated log."""

import math
from collections.abc import Callable

from returns import result

from hickoryweir.forwarding_policy import stream_versions
from hickoryweir.observability import logs
from hickoryweir.routes import model, store


class LifetimeReader:
    """Reads lifetimes of streams; the table is decoded when its version has changed.

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

    def lifetime_s(self, service_name: str) -> float:
        """Return for how long a service's streams may be resumed.

        Infinite while the table is not known.
        """
        stored = self._read_stored()
        if stored.version != self._version and stored.compressed:
            self._version = stored.version
            self._table = self._decode(stored)
        if self._table is None:
            return math.inf
        return stream_versions.lifetime_s(self._table.routes, service_name)

    def _decode(self, stored: store.StoredTable) -> model.RoutingTable | None:
        decoded = self._decode_table(store.read_content(stored))
        if isinstance(decoded, result.Failure):
            fields = logs.Fields(version=stored.version, reason=decoded.failure())
            logs.error("table in the replicated log can't be decoded", fields)
            return None
        return decoded.unwrap()
