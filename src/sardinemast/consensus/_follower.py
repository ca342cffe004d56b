"""Receive entries and snapshots from the leader."""

from sardinemast.consensus._commit_tracker import CommitTracker
from sardinemast.consensus._events import Role
from sardinemast.consensus._messages import (
    AppendEntries,
    AppendReply,
    Member,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
)
from sardinemast.consensus._state import ReplicaState


class Follower:
    """Follow the leader of the current term."""

    def __init__(self, state: ReplicaState, commits: CommitTracker) -> None:
        self._state = state
        self._commits = commits
        # Last index and term of the snapshot whose chunks are buffered.
        self._incoming_snapshot = (0, 0)
        self._received = bytearray()

    def receive_append(
        self,
        message: AppendEntries,
        sender: Member,
        now_s: float,
    ) -> None:
        """Store entries, and reply up to which index the logs match."""
        if not self._accept_leader(message.term, sender, now_s):
            return
        match_index = self._store_entries(message)
        is_success = match_index is not None
        if match_index is None:
            match_index = min(
                self._state.log.last_index,
                message.previous_index - 1,
            )
        self._reply(sender, is_success, match_index, message.sent_at_s)

    def receive_chunk(
        self,
        message: SnapshotChunk,
        sender: Member,
        now_s: float,
    ) -> None:
        """Buffer a snapshot chunk, and install the snapshot after the last."""
        if not self._accept_leader(message.term, sender, now_s):
            return
        if message.last_index <= self._commits.commit_index:
            self._reply(sender, True, message.last_index, message.sent_at_s)
            return
        self._buffer_chunk(message)
        if message.is_last and self._incoming_snapshot == (0, 0):
            self._reply(sender, True, message.last_index, message.sent_at_s)
            return
        reply = SnapshotReply(
            self._state.term,
            message.last_index,
            len(self._received),
            message.sent_at_s,
        )
        self._state.send(sender, reply)

    def _buffer_chunk(self, message: SnapshotChunk) -> None:
        snapshot_id = (message.last_index, message.last_term)
        if self._incoming_snapshot != snapshot_id:
            self._incoming_snapshot = snapshot_id
            self._received.clear()
        if message.offset_bytes != len(self._received):
            return
        self._received.extend(message.chunk)
        if message.is_last:
            image = bytes(self._received)
            self._incoming_snapshot = (0, 0)
            self._received.clear()
            self._commits.install(
                Snapshot(*snapshot_id, message.configuration, image),
            )

    def _accept_leader(self, term: int, sender: Member, now_s: float) -> bool:
        state = self._state
        if term < state.term:
            self._reply(sender, is_success=False, match_index=0, sent_at_s=0)
            return False
        if state.role is not Role.follower:
            state.become_follower(now_s)
        state.leader = sender.name
        state.last_leader_contact_s = now_s
        state.reset_election_timer(now_s)
        return True

    def _reply(
        self,
        sender: Member,
        is_success: bool,
        match_index: int,
        sent_at_s: float,
    ) -> None:
        reply = AppendReply(
            self._state.term,
            is_success,
            match_index,
            sent_at_s,
        )
        self._state.send(sender, reply)

    def _store_entries(self, message: AppendEntries) -> int | None:
        state = self._state
        match_index = message.previous_index + len(message.entries)
        # Entries that a snapshot covers are committed, so that they match
        # the leader's.
        if message.previous_index < state.log.base_index:
            if match_index < state.log.base_index:
                return match_index
        elif (
            state.log.get_term(message.previous_index) != message.previous_term
        ):
            return None
        state.append(message.entries)
        self._commits.advance(min(message.commit_index, match_index))
        return match_index
