"""Track the commit index and release committed entries for applying."""

from sardinemast.consensus._events import (
    ApplyEntry,
    RestoreSnapshot,
    SaveSnapshot,
    SnapshotTaken,
)
from sardinemast.consensus._messages import Snapshot
from sardinemast.consensus._state import ReplicaState


class CommitTracker:
    """Hold the commit index and the index of the last applied entry."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._applied_index = state.log.snapshot.last_index
        self.commit_index = self._applied_index

    def commit_by_majority(self, matches: dict[str, int]) -> None:
        """Commit what a majority of voters has synced, at the leader.

        ``matches`` gives the match index of each peer by its identity.
        """
        state = self._state
        own = {state.identity: state.log.last_index}
        majority_index = state.get_majority_value({**matches, **own})
        # Only entries of the current term are committed by counting replicas:
        # an entry of an earlier term can still be overwritten although a
        # majority holds it (Raft, section 5.4.2).
        if majority_index > self.commit_index:
            index = int(majority_index)
            if state.log.get_term(index) == state.term:
                self.advance(index)

    def advance(self, index: int) -> None:
        """Commit up to an index and output the newly committed entries."""
        self.commit_index = max(self.commit_index, index)
        while self._applied_index < self.commit_index:
            self._applied_index += 1
            entry = self._state.log.get_entry(self._applied_index)
            self._state.outputs.append(ApplyEntry(entry))

    def replace_by_snapshot(self, taken: SnapshotTaken) -> None:
        """Compact the log up to a snapshot taken by this replica."""
        log = self._state.log
        term = log.get_term(taken.log_index)
        is_newer = log.snapshot.last_index < taken.log_index
        if term is None or not is_newer or taken.log_index > self.commit_index:
            return
        snapshot = Snapshot(
            taken.log_index,
            term,
            log.get_configuration_at(taken.log_index),
            taken.image,
        )
        settings = self._state.settings
        log.compact(
            snapshot, settings.retained_entries, settings.retained_bytes
        )
        self._save(snapshot)

    def install(self, snapshot: Snapshot) -> None:
        """Install the leader's snapshot if it is ahead of this replica."""
        if snapshot.last_index <= self.commit_index:
            return
        self._state.log.install(snapshot)
        self._save(snapshot)
        self.commit_index = snapshot.last_index
        self._applied_index = snapshot.last_index
        self._state.outputs.append(RestoreSnapshot(snapshot))

    def _save(self, snapshot: Snapshot) -> None:
        entries = self._state.log.get_entries_after_snapshot()
        self._state.outputs.append(SaveSnapshot(snapshot, entries))
