"""Commit entries and give them out to be applied."""

from sardinemast.consensus._events import (
    ApplyEntry,
    RestoreSnapshot,
    SaveSnapshot,
    SnapshotTaken,
)
from sardinemast.consensus._messages import Snapshot
from sardinemast.consensus._state import ReplicaState


class Commits:
    """Hold how far the log is committed and applied."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._applied_index = state.log.snapshot.last_index
        self.commit_index = self._applied_index

    def count(self, matches: dict[str, int]) -> None:
        """Commit what a majority has synced, at the leader."""
        state = self._state
        own = {state.identity: state.log.last_index}
        agreed = state.get_agreed({**matches, **own})
        # Only an entry of the own term is counted; an older one could still
        # be replaced after a majority held it (Raft, section 5.4.2).
        if agreed > self.commit_index:
            index = int(agreed)
            if state.log.get_term(index) == state.term:
                self.advance(index)

    def advance(self, index: int) -> None:
        """Commit up to an index and give out what is new."""
        self.commit_index = max(self.commit_index, index)
        while self._applied_index < self.commit_index:
            self._applied_index += 1
            entry = self._state.log.get_entry(self._applied_index)
            self._state.outputs.append(ApplyEntry(entry))

    def take_snapshot(self, taken: SnapshotTaken) -> None:
        """Put the image of the applied state in place of its entries."""
        log = self._state.log
        term = log.get_term(taken.log_index)
        is_known = log.snapshot.last_index < taken.log_index
        if term is None or not is_known or taken.log_index > self.commit_index:
            return
        snapshot = Snapshot(
            taken.log_index,
            term,
            log.get_configuration_at(taken.log_index),
            taken.image,
        )
        log.compact(snapshot, self._state.settings.retained_entries)
        self._save(snapshot)

    def install(self, snapshot: Snapshot) -> None:
        """Take the leader's snapshot where it is ahead of this replica."""
        if snapshot.last_index <= self.commit_index:
            return
        self._state.log.install(snapshot)
        self._save(snapshot)
        self.commit_index = snapshot.last_index
        self._applied_index = snapshot.last_index
        self._state.outputs.append(RestoreSnapshot(snapshot))

    def _save(self, snapshot: Snapshot) -> None:
        entries = self._state.log.get_behind_snapshot()
        self._state.outputs.append(SaveSnapshot(snapshot, entries))
