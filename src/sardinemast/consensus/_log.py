"""Log of one replica in memory."""

from sardinemast.consensus._messages import Configuration, LogEntry, Snapshot


class ReplicaLog:
    """Hold entries behind a snapshot without gaps."""

    def __init__(
        self,
        first: Configuration,
        snapshot: Snapshot | None,
        entries: tuple[LogEntry, ...],
    ) -> None:
        self.snapshot = snapshot or Snapshot(0, 0, first, b'')
        self._entries: list[LogEntry] = []
        # The configuration in force is asked for at every message, so it is
        # kept by the index from which it holds, not looked for in the log.
        self._configurations = [(0, self.snapshot.configuration)]
        # The terms and indexes up to here are the only facts known of
        # entries that a snapshot replaced.
        self._base_index = self.snapshot.last_index
        self._base_term = self.snapshot.last_term
        self._extend(entries)

    @property
    def configuration(self) -> Configuration:
        """Give the newest configuration, committed or not."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """Give the index of the newest configuration."""
        return self._configurations[-1][0]

    @property
    def base_index(self) -> int:
        """Give the index of the last entry that is no longer here."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Give the index of the newest entry, 0 when empty."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Give the term of the newest entry, 0 when empty."""
        return self.get_term(self.last_index) or 0

    def get_term(self, index: int) -> int | None:
        """Give the term at the index, or nothing where it is not known."""
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self.get_entry(index).term

    def get_entry(self, index: int) -> LogEntry:
        """Give the entry at the index."""
        return self._entries[index - self._base_index - 1]

    def get_range(
        self,
        first: int,
        count: int,
        batch_bytes: int,
    ) -> tuple[LogEntry, ...]:
        """Give entries from the first index on, as one message takes them.

        These are at most ``count``, and so many that their payloads stay
        below the bound, but at least one.
        """
        start = first - self._base_index - 1
        found: list[LogEntry] = []
        size = 0
        for entry in self._entries[start : start + count]:
            size += len(entry.payload)
            if found and size > batch_bytes:
                break
            found.append(entry)
        return tuple(found)

    def get_configuration_at(self, index: int) -> Configuration:
        """Give the configuration that held at the index."""
        return [one for place, one in self._configurations if place <= index][
            -1
        ]

    def put(self, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        """Add what is new, cutting what disagrees, and give what was added."""
        for position, entry in enumerate(entries):
            if entry.log_index <= self._base_index:
                continue
            if self.get_term(entry.log_index) != entry.term:
                fresh = entries[position:]
                self._cut_from(entry.log_index)
                self._extend(fresh)
                return fresh
        return ()

    def compact(self, snapshot: Snapshot, retained: int) -> None:
        """Drop entries up to the snapshot, but for the newest ones.

        The retained entries spare a follower that is a little behind the
        whole snapshot.
        """
        base_index = max(self._base_index, snapshot.last_index - retained)
        base_term = self.get_term(base_index) or 0
        del self._entries[: base_index - self._base_index]
        self._base_index = base_index
        self._base_term = base_term
        self.snapshot = snapshot

    def install(self, snapshot: Snapshot) -> None:
        """Take another replica's snapshot in place of what it covers."""
        if self.get_term(snapshot.last_index) == snapshot.last_term:
            self.compact(snapshot, 0)
            return
        self._entries.clear()
        self._base_index = snapshot.last_index
        self._base_term = snapshot.last_term
        self._configurations = [(0, snapshot.configuration)]
        self.snapshot = snapshot

    def get_behind_snapshot(self) -> tuple[LogEntry, ...]:
        """Give the entries that the snapshot does not cover."""
        skipped = self.snapshot.last_index - self._base_index
        return tuple(self._entries[skipped:])

    def _extend(self, entries: tuple[LogEntry, ...]) -> None:
        self._entries.extend(entries)
        self._configurations.extend(
            (entry.log_index, entry.configuration)
            for entry in entries
            if entry.configuration is not None
        )

    def _cut_from(self, index: int) -> None:
        del self._entries[index - self._base_index - 1 :]
        while self._configurations[-1][0] >= index:
            self._configurations.pop()
