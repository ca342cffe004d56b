"""Decide when a replica takes its next snapshot."""

from sardinemast.consensus import LogEntry, Snapshot


class SnapshotSchedule:
    """Count what was applied since the last snapshot.

    A snapshot is due after a number of entries, or once the entries hold more
    bytes than ``max_bytes`` and than the last snapshot. So the log stays within
    a bound however large its entries are, and a large state isn't written
    again for each few entries.
    """

    def __init__(self, max_entries: int, max_bytes: int) -> None:
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._applied_bytes = 0

    def record_applied(self, entry: LogEntry) -> None:
        """Count an entry that was applied."""
        self._applied_bytes += len(entry.payload)

    def restart(self) -> None:
        """Begin anew after a snapshot was taken or restored."""
        self._applied_bytes = 0

    def is_due(self, log_index: int, last: Snapshot) -> bool:
        """Check whether to take a snapshot at an applied log index."""
        if log_index <= last.last_index:
            return False
        if log_index >= last.last_index + self._max_entries:
            return True
        return self._applied_bytes >= max(self._max_bytes, len(last.image))
