"""Take entries and snapshots from the leader."""

from sardinemast.consensus._commit import Commits
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


class Following:
    """Follow the leader of the term."""

    def __init__(self, state: ReplicaState, commits: Commits) -> None:
        self._state = state
        self._commits = commits
        # Parts of one snapshot, which is known by its last entry.
        self._incoming = (0, 0)
        self._image = bytearray()

    def receive_append(
        self,
        message: AppendEntries,
        sender: Member,
        now_s: float,
    ) -> None:
        """Take entries, and answer how far the logs agree."""
        if not self._follow(message.term, sender, now_s):
            return
        match_index = self._take_entries(message)
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
        """Take a part of a snapshot, and install it with the last one."""
        if not self._follow(message.term, sender, now_s):
            return
        if message.last_index <= self._commits.commit_index:
            self._reply(sender, True, message.last_index, message.sent_at_s)
            return
        self._collect(message)
        if message.is_last and self._incoming == (0, 0):
            self._reply(sender, True, message.last_index, message.sent_at_s)
            return
        reply = SnapshotReply(
            self._state.term,
            message.last_index,
            len(self._image),
            message.sent_at_s,
        )
        self._state.send(sender, reply)

    def _collect(self, message: SnapshotChunk) -> None:
        head = (message.last_index, message.last_term)
        if self._incoming != head:
            self._incoming = head
            self._image.clear()
        if message.offset_bytes != len(self._image):
            return
        self._image.extend(message.chunk)
        if message.is_last:
            image = bytes(self._image)
            self._incoming = (0, 0)
            self._image.clear()
            self._commits.install(
                Snapshot(*head, message.configuration, image),
            )

    def _follow(self, term: int, sender: Member, now_s: float) -> bool:
        state = self._state
        if term < state.term:
            self._reply(sender, is_success=False, match_index=0, sent_at_s=0)
            return False
        if state.role is not Role.follower:
            state.become_follower(now_s)
        state.leader = sender.name
        state.heard_leader_s = now_s
        state.reset_election(now_s)
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

    def _take_entries(self, message: AppendEntries) -> int | None:
        state = self._state
        match_index = message.previous_index + len(message.entries)
        # What a snapshot covers is committed, and so the same everywhere.
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
