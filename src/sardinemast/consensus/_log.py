"""Log of one replica in memory."""

from sardinemast.consensus._messages import LogEntry


class ReplicaLog:
    """Hold entries from index 1 without gaps."""

    def __init__(self, entries: tuple[LogEntry, ...]) -> None:
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Give the index of the newest entry, 0 when empty."""
        return len(self._entries)

    @property
    def last_term(self) -> int:
        """Give the term of the newest entry, 0 when empty."""
        return self.get_term(self.last_index) or 0

    def get_term(self, index: int) -> int | None:
        """Give the term at the index, or nothing past the end."""
        if index == 0:
            return 0
        if index > self.last_index:
            return None
        return self._entries[index - 1].term

    def get_entry(self, index: int) -> LogEntry:
        """Give the entry at the index."""
        return self._entries[index - 1]

    def get_range(self, first: int, count: int) -> tuple[LogEntry, ...]:
        """Give at most ``count`` entries from the first index on."""
        return tuple(self._entries[first - 1 : first - 1 + count])

    def put(self, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        """Add what is new, cutting what disagrees, and give what was added."""
        for position, entry in enumerate(entries):
            if self.get_term(entry.log_index) != entry.term:
                fresh = entries[position:]
                del self._entries[entry.log_index - 1 :]
                self._entries.extend(fresh)
                return fresh
        return ()
