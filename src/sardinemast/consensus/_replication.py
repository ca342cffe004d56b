"""Replicate the leader's log, and count who has heard it."""

from typing import NamedTuple

from sardinemast.consensus._commit import Commits
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
    """Tell how far the leader has brought one member.

    While the place where the logs agree is not known, the member is probed:
    one message at a time, and ``next_index`` stays.
    """

    next_index: int
    match_index: int = 0
    acknowledged_s: float = float('-inf')
    is_probing: bool = False
    snapshot_index: int = 0
    sent_bytes: int = 0
    probed_s: float = float('-inf')


class Replication:
    """Lead: send entries and snapshots, and keep the lease."""

    def __init__(self, state: ReplicaState, commits: Commits) -> None:
        self._state = state
        self._commits = commits
        self._heartbeat_due_s: float = 0
        self.elected_s: float = 0
        self.progress: dict[str, Progress] = {}

    def start_term(self, now_s: float) -> None:
        """Lead from now on."""
        state = self._state
        state.become(Role.leader)
        state.leader = state.settings.name
        following = Progress(state.log.last_index + 1)
        self.progress = {peer.identity: following for peer in state.get_peers()}
        self.elected_s = now_s
        self.propose(((b'', None),), now_s)
        self.count()

    def propose(
        self,
        payloads: tuple[tuple[bytes, Configuration | None], ...],
        now_s: float,
    ) -> int:
        """Append entries by one write, and give the first one's index."""
        state = self._state
        first = state.log.last_index + 1
        state.append(
            tuple(
                LogEntry(first + place, state.term, payload, configuration)
                for place, (payload, configuration) in enumerate(payloads)
            ),
        )
        self._broadcast(now_s)
        return first

    def count(self) -> None:
        """Commit what a majority holds."""
        matches = {
            identity: one.match_index for identity, one in self.progress.items()
        }
        self._commits.count(matches)

    def tick(self, now_s: float) -> None:
        """Send heartbeats, or step down where no majority answers."""
        # A leader that hears no majority steps down by itself, or it would
        # go on answering operators from a state that has been replaced.
        timeout_s = self._state.settings.election_timeout_s
        heard_s = max(self.get_heard_s(now_s), self.elected_s)
        if now_s >= heard_s + timeout_s:
            self._state.become_follower(now_s)
        elif now_s >= self._heartbeat_due_s:
            self._broadcast(now_s)

    def get_heard_s(self, now_s: float) -> float:
        """Give since when a majority is known to follow."""
        heard = {
            identity: one.acknowledged_s
            for identity, one in self.progress.items()
        }
        heard[self._state.identity] = now_s
        return self._state.get_agreed(heard)

    def has_heard(self, identity: str, now_s: float) -> bool:
        """Tell whether a member has answered lately."""
        timeout_s = self._state.settings.election_timeout_s
        return now_s < self.get_progress(identity).acknowledged_s + timeout_s

    def get_progress(self, identity: str) -> Progress:
        """Give how far a member is."""
        following = self._state.log.last_index + 1
        return self.progress.setdefault(identity, Progress(following))

    def receive_reply(
        self,
        message: AppendReply,
        sender: Member,
        now_s: float,
    ) -> None:
        """Take note of what a member has synced."""
        if not self._note_heard(message, sender):
            return
        known = self.get_progress(sender.identity)
        if message.is_success:
            match_index = max(known.match_index, message.match_index)
            self.progress[sender.identity] = known._replace(
                match_index=match_index,
                next_index=(
                    match_index + 1
                    if known.is_probing
                    else max(known.next_index, match_index + 1)
                ),
                is_probing=False,
                snapshot_index=0,
            )
            self.count()
            self._send_more(sender, now_s, was_probing=known.is_probing)
            return
        # A refusal that comes late or twice must move nothing: answered with
        # entries each time, refusals in flight would keep each other alive,
        # and the member would never be brought back to where it agrees.
        refused_to = max(known.match_index, message.match_index) + 1
        if known.is_probing and refused_to >= known.next_index:
            return
        self.progress[sender.identity] = known._replace(
            next_index=min(known.next_index, refused_to),
            is_probing=True,
        )
        self._replicate(sender, now_s)

    def receive_snapshot_reply(
        self,
        message: SnapshotReply,
        sender: Member,
        now_s: float,
    ) -> None:
        """Send the next part of a snapshot."""
        if not self._note_heard(message, sender):
            return
        known = self.get_progress(sender.identity)
        if message.last_index != known.snapshot_index:
            return
        if message.received_bytes != known.sent_bytes:
            self.progress[sender.identity] = known._replace(
                sent_bytes=message.received_bytes,
            )
            self._replicate(sender, now_s)

    def _note_heard(
        self,
        message: AppendReply | SnapshotReply,
        sender: Member,
    ) -> bool:
        state = self._state
        if state.role is not Role.leader or message.term != state.term:
            return False
        known = self.get_progress(sender.identity)
        self.progress[sender.identity] = known._replace(
            acknowledged_s=max(message.sent_at_s, known.acknowledged_s),
        )
        return True

    def _broadcast(self, now_s: float) -> None:
        self._heartbeat_due_s = now_s + self._state.settings.heartbeat_s
        for peer in self._state.get_peers():
            if self._is_probe_due(peer, now_s):
                self._replicate(peer, now_s)

    def _is_probe_due(self, peer: Member, now_s: float) -> bool:
        # A probe and a part of a snapshot may be a megabyte, and are the same
        # until they are answered. Sent with each proposal, a hundred times a
        # second, they would fill the links and the memory of both ends.
        known = self.get_progress(peer.identity)
        has_snapshot = known.next_index <= self._state.log.base_index
        if not (known.is_probing or has_snapshot):
            return True
        return now_s >= known.probed_s + self._state.settings.heartbeat_s

    def _send_more(
        self,
        peer: Member,
        now_s: float,
        *,
        was_probing: bool,
    ) -> None:
        # One that is far behind gets the next batch at once; waiting for the
        # heartbeat would bring it one batch nearer each tenth of a second.
        known = self.get_progress(peer.identity)
        behind = self._state.log.last_index + 1 - known.next_index
        if behind > 0 and (was_probing or self._is_idle(known)):
            self._replicate(peer, now_s)

    def _is_idle(self, known: Progress) -> bool:
        return known.next_index == known.match_index + 1

    def _replicate(self, peer: Member, now_s: float) -> None:
        known = self.get_progress(peer.identity)._replace(probed_s=now_s)
        self.progress[peer.identity] = known
        log = self._state.log
        if known.next_index <= log.base_index:
            self._send_chunk(peer, now_s)
            return
        entries = log.get_range(
            known.next_index,
            self._state.settings.batch_entries,
            self._state.settings.batch_bytes,
        )
        # The next index moves on at once, so that proposals in flight are
        # not sent again with every new one; a refusal moves it back.
        if not known.is_probing:
            self.progress[peer.identity] = known._replace(
                next_index=known.next_index + len(entries),
            )
        message = AppendEntries(
            self._state.term,
            known.next_index - 1,
            log.get_term(known.next_index - 1) or 0,
            entries,
            self._commits.commit_index,
            now_s,
        )
        self._state.send(peer, message)

    def _send_chunk(self, peer: Member, now_s: float) -> None:
        snapshot = self._state.log.snapshot
        known = self.get_progress(peer.identity)
        if known.snapshot_index != snapshot.last_index:
            known = known._replace(
                snapshot_index=snapshot.last_index,
                sent_bytes=0,
            )
            self.progress[peer.identity] = known
        end = known.sent_bytes + self._state.settings.chunk_bytes
        message = SnapshotChunk(
            self._state.term,
            snapshot.last_index,
            snapshot.last_term,
            snapshot.configuration,
            known.sent_bytes,
            snapshot.image[known.sent_bytes : end],
            end >= len(snapshot.image),
            now_s,
        )
        self._state.send(peer, message)
