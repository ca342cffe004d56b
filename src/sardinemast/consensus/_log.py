"""Keep the log of one replica in memory."""

from sardinemast.consensus._messages import Configuration, LogEntry, Snapshot


class ReplicaLog:
    """Hold a snapshot and consecutive entries that reach beyond it."""

    def __init__(
        self,
        initial_configuration: Configuration,
        snapshot: Snapshot | None,
        entries: tuple[LogEntry, ...],
    ) -> None:
        self.snapshot = snapshot or Snapshot(0, 0, initial_configuration, b'')
        self._entries: list[LogEntry] = []
        # Each configuration with the index from which it holds. The newest is
        # read for every message, too often to search the log for it.
        self._configurations = [(0, self.snapshot.configuration)]
        # Index and term of the last entry that is no longer in memory.
        self._base_index = self.snapshot.last_index
        self._base_term = self.snapshot.last_term
        self._extend(entries)

    @property
    def configuration(self) -> Configuration:
        """Return the newest configuration, committed or not."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """Return the log index of the newest configuration."""
        return self._configurations[-1][0]

    @property
    def base_index(self) -> int:
        """Return the index of the last entry that is not in memory."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry, 0 if there is none."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry, 0 if there is none."""
        return self.get_term(self.last_index) or 0

    def get_term(self, index: int) -> int | None:
        """Return the term of the entry at an index, if known."""
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self.get_entry(index).term

    def get_entry(self, index: int) -> LogEntry:
        """Return the entry at an index."""
        return self._entries[index - self._base_index - 1]

    def get_range(
        self,
        first_index: int,
        count: int,
        batch_bytes: int,
    ) -> tuple[LogEntry, ...]:
        """Return the entries from an index on that fit into one message.

        These are at most ``count`` entries with at most ``batch_bytes`` of
        payload; the first entry is included whatever its size.
        """
        start = first_index - self._base_index - 1
        selected: list[LogEntry] = []
        size = 0
        for entry in self._entries[start : start + count]:
            size += len(entry.payload)
            if selected and size > batch_bytes:
                break
            selected.append(entry)
        return tuple(selected)

    def get_configuration_at(self, index: int) -> Configuration:
        """Return the configuration in force at an index."""
        return [
            configuration
            for start_index, configuration in self._configurations
            if start_index <= index
        ][-1]

    def merge(self, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        """Append new entries, truncating at a conflict; return those added."""
        for position, entry in enumerate(entries):
            if entry.log_index <= self._base_index:
                continue
            if self.get_term(entry.log_index) != entry.term:
                added = entries[position:]
                self._truncate_from(entry.log_index)
                self._extend(added)
                return added
        return ()

    def compact(
        self, snapshot: Snapshot, retained_count: int, retained_bytes: int
    ) -> None:
        """Drop entries that a snapshot covers, but retain the newest.

        A follower that lags a little catches up from the retained entries
        instead of the whole snapshot.
        """
        base_index = snapshot.last_index
        last_dropped = max(self._base_index, base_index - retained_count)
        while base_index > last_dropped:
            retained_bytes -= len(self.get_entry(base_index).payload)
            if retained_bytes < 0:
                break
            base_index -= 1
        base_term = self.get_term(base_index) or 0
        del self._entries[: base_index - self._base_index]
        self._base_index = base_index
        self._base_term = base_term
        self.snapshot = snapshot

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot, keeping matching later entries."""
        if self.get_term(snapshot.last_index) == snapshot.last_term:
            self.compact(snapshot, 0, 0)
            return
        self._entries.clear()
        self._base_index = snapshot.last_index
        self._base_term = snapshot.last_term
        self._configurations = [(0, snapshot.configuration)]
        self.snapshot = snapshot

    def get_entries_after_snapshot(self) -> tuple[LogEntry, ...]:
        """Return the entries that the snapshot does not cover."""
        skipped = self.snapshot.last_index - self._base_index
        return tuple(self._entries[skipped:])

    def _extend(self, entries: tuple[LogEntry, ...]) -> None:
        self._entries.extend(entries)
        self._configurations.extend(
            (entry.log_index, entry.configuration)
            for entry in entries
            if entry.configuration is not None
        )

    def _truncate_from(self, index: int) -> None:
        del self._entries[index - self._base_index - 1 :]
        while self._configurations[-1][0] >= index:
            self._configurations.pop()
