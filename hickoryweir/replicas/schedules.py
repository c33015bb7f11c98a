"""Schedule of a replica's snapshots."""

import zlib

SPREAD_STEPS_COUNT = 64


class SnapshotSchedule:
    """Counts entries and bytes since the last snapshot.

    The entry limit is offset by a hash of the replica's name, so that replicas do not
    take snapshots at the same time.

    Examples
    --------
    >>> schedule = SnapshotSchedule(10, 1000, "a")
    >>> schedule.is_due(5), schedule.is_due(20)
    (False, True)
    """

    def __init__(self, entries_count: int, size_bytes: int, name: str) -> None:
        step = zlib.crc32(name.encode()) % SPREAD_STEPS_COUNT
        spread = entries_count * step // (2 * SPREAD_STEPS_COUNT)
        self._max_entries_count = entries_count + spread
        self._max_size_bytes = size_bytes
        self._last_index = 0
        self._size_bytes = 0

    def record_applied(self, size_bytes: int) -> None:
        """Count applied entries of `size_bytes` in total."""
        self._size_bytes += size_bytes

    def is_due(self, applied_index: int) -> bool:
        """Return whether a snapshot is due."""
        entries_count = applied_index - self._last_index
        is_long = entries_count >= self._max_entries_count
        return is_long or self._size_bytes >= self._max_size_bytes

    def record_snapshot(self, index: int) -> None:
        """Reset the counts after a snapshot at `index`."""
        self._last_index = index
        self._size_bytes = 0
