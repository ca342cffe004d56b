"""Replicate the leader's log and track what members acknowledge."""

from typing import NamedTuple

from sardinemast.consensus._commit_tracker import CommitTracker
from sardinemast.consensus._events import Role
from sardinemast.consensus._messages import (
    AppendEntries,
    AppendReply,
    Configuration,
    LogEntry,
    Member,
    SnapshotChunk,
    SnapshotReply,
)
from sardinemast.consensus._state import ReplicaState


class Progress(NamedTuple):
    """Track replication to one member.

    While the index up to which the logs match is unknown, the member is
    probed: ``next_index`` stays until a reply confirms it. Times are on the
    leader's clock; ``acknowledged_s`` is when the newest message that the
    member has answered was sent.
    """

    next_index: int
    match_index: int = 0
    acknowledged_s: float = float('-inf')
    is_probing: bool = False
    snapshot_index: int = 0
    sent_bytes: int = 0
    last_sent_s: float = float('-inf')


class Replication:
    """Send entries and snapshots as the leader, and maintain the lease."""

    def __init__(self, state: ReplicaState, commits: CommitTracker) -> None:
        self._state = state
        self._commits = commits
        self._heartbeat_due_s: float = 0
        self.elected_s: float = 0
        self.progress: dict[str, Progress] = {}

    def start_term(self, now_s: float) -> None:
        """Become the leader, and append an empty entry of the new term."""
        state = self._state
        state.change_role(Role.leader)
        state.leader = state.settings.name
        initial = Progress(state.log.last_index + 1)
        self.progress = {peer.identity: initial for peer in state.get_peers()}
        self.elected_s = now_s
        self.propose(((b'', None),), now_s)
        self.update_commit_index()

    def propose(
        self,
        payloads: tuple[tuple[bytes, Configuration | None], ...],
        now_s: float,
    ) -> int:
        """Append entries with one write; return the index of the first."""
        state = self._state
        first = state.log.last_index + 1
        state.append(
            tuple(
                LogEntry(first + offset, state.term, payload, configuration)
                for offset, (payload, configuration) in enumerate(payloads)
            ),
        )
        self._broadcast(now_s)
        return first

    def update_commit_index(self) -> None:
        """Commit the entries that a majority has synced."""
        matches = {
            identity: progress.match_index
            for identity, progress in self.progress.items()
        }
        self._commits.commit_by_majority(matches)

    def tick(self, now_s: float) -> None:
        """Send heartbeats, or step down if no majority answers."""
        # Without answers from a majority, another leader may have been elected
        # and this one would keep answering operators from stale state.
        timeout_s = self._state.settings.election_timeout_s
        contact_s = max(self.get_majority_contact_s(now_s), self.elected_s)
        if now_s >= contact_s + timeout_s:
            self._state.become_follower(now_s)
        elif now_s >= self._heartbeat_due_s:
            self._broadcast(now_s)

    def get_majority_contact_s(self, now_s: float) -> float:
        """Return when the newest message that a majority answered was sent."""
        contacts = {
            identity: progress.acknowledged_s
            for identity, progress in self.progress.items()
        }
        contacts[self._state.identity] = now_s
        return self._state.get_majority_value(contacts)

    def is_reachable(self, identity: str, now_s: float) -> bool:
        """Check whether a member answered within an election timeout."""
        timeout_s = self._state.settings.election_timeout_s
        return now_s < self.get_progress(identity).acknowledged_s + timeout_s

    def get_progress(self, identity: str) -> Progress:
        """Return the progress of a member, starting to track it if new."""
        next_index = self._state.log.last_index + 1
        return self.progress.setdefault(identity, Progress(next_index))

    def receive_reply(
        self,
        message: AppendReply,
        sender: Member,
        now_s: float,
    ) -> None:
        """Update the progress of a member, and send what it needs next."""
        if not self._record_contact(message, sender):
            return
        progress = self.get_progress(sender.identity)
        if message.is_success:
            match_index = max(progress.match_index, message.match_index)
            self.progress[sender.identity] = progress._replace(
                match_index=match_index,
                next_index=(
                    match_index + 1
                    if progress.is_probing
                    else max(progress.next_index, match_index + 1)
                ),
                is_probing=False,
                snapshot_index=0,
            )
            self.update_commit_index()
            self._send_next_batch(
                sender, now_s, was_probing=progress.is_probing
            )
            return
        # A late or repeated rejection is ignored. If each one were answered
        # with entries, the rejections in flight would multiply, and the probe
        # would never get back to the index at which the logs match.
        retry_index = max(progress.match_index, message.match_index) + 1
        if progress.is_probing and retry_index >= progress.next_index:
            return
        self.progress[sender.identity] = progress._replace(
            next_index=min(progress.next_index, retry_index),
            is_probing=True,
        )
        self._replicate(sender, now_s)

    def receive_snapshot_reply(
        self,
        message: SnapshotReply,
        sender: Member,
        now_s: float,
    ) -> None:
        """Send the next chunk of a snapshot."""
        if not self._record_contact(message, sender):
            return
        progress = self.get_progress(sender.identity)
        if message.last_index != progress.snapshot_index:
            return
        if message.received_bytes != progress.sent_bytes:
            self.progress[sender.identity] = progress._replace(
                sent_bytes=message.received_bytes,
            )
            self._replicate(sender, now_s)

    def _record_contact(
        self,
        message: AppendReply | SnapshotReply,
        sender: Member,
    ) -> bool:
        state = self._state
        if state.role is not Role.leader or message.term != state.term:
            return False
        progress = self.get_progress(sender.identity)
        self.progress[sender.identity] = progress._replace(
            acknowledged_s=max(message.sent_at_s, progress.acknowledged_s),
        )
        return True

    def _broadcast(self, now_s: float) -> None:
        self._heartbeat_due_s = now_s + self._state.settings.heartbeat_s
        for peer in self._state.get_peers():
            if self._is_send_due(peer, now_s):
                self._replicate(peer, now_s)

    def _is_send_due(self, peer: Member, now_s: float) -> bool:
        # Probes and snapshot chunks may be a megabyte, and stay the same until
        # they are answered. They are repeated once per heartbeat; repeating
        # them with each proposal, a hundred times per second, would fill the
        # links and the memory of both ends.
        progress = self.get_progress(peer.identity)
        needs_snapshot = progress.next_index <= self._state.log.base_index
        if not (progress.is_probing or needs_snapshot):
            return True
        return now_s >= progress.last_sent_s + self._state.settings.heartbeat_s

    def _send_next_batch(
        self,
        peer: Member,
        now_s: float,
        *,
        was_probing: bool,
    ) -> None:
        # A member that lags gets the next batch at once, or it would receive
        # no more than one batch per heartbeat.
        progress = self.get_progress(peer.identity)
        missing_count = self._state.log.last_index + 1 - progress.next_index
        if missing_count > 0 and (
            was_probing or self._has_none_in_flight(progress)
        ):
            self._replicate(peer, now_s)

    def _has_none_in_flight(self, progress: Progress) -> bool:
        return progress.next_index == progress.match_index + 1

    def _replicate(self, peer: Member, now_s: float) -> None:
        progress = self.get_progress(peer.identity)._replace(last_sent_s=now_s)
        self.progress[peer.identity] = progress
        log = self._state.log
        if progress.next_index <= log.base_index:
            self._send_chunk(peer, now_s)
            return
        entries = log.get_range(
            progress.next_index,
            self._state.settings.batch_entries,
            self._state.settings.batch_bytes,
        )
        # The next index advances before the reply, so that entries in flight
        # are not sent again; a rejection moves it back.
        if not progress.is_probing:
            self.progress[peer.identity] = progress._replace(
                next_index=progress.next_index + len(entries),
            )
        message = AppendEntries(
            self._state.term,
            progress.next_index - 1,
            log.get_term(progress.next_index - 1) or 0,
            entries,
            self._commits.commit_index,
            now_s,
        )
        self._state.send(peer, message)

    def _send_chunk(self, peer: Member, now_s: float) -> None:
        snapshot = self._state.log.snapshot
        progress = self.get_progress(peer.identity)
        if progress.snapshot_index != snapshot.last_index:
            progress = progress._replace(
                snapshot_index=snapshot.last_index,
                sent_bytes=0,
            )
            self.progress[peer.identity] = progress
        end = progress.sent_bytes + self._state.settings.chunk_bytes
        message = SnapshotChunk(
            self._state.term,
            snapshot.last_index,
            snapshot.last_term,
            snapshot.configuration,
            progress.sent_bytes,
            snapshot.image[progress.sent_bytes : end],
            end >= len(snapshot.image),
            now_s,
        )
        self._state.send(peer, message)
