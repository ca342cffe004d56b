"""One replica of the log, without input or output.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote and a leader
lease that counts from the moment a heartbeat was sent.
"""

from functools import singledispatchmethod
from random import Random
from typing import NamedTuple

from sardinemast.consensus._events import (
    AppendToLog,
    ApplyEntry,
    CommandProposed,
    Event,
    HardState,
    MessageReceived,
    Output,
    ProposalAccepted,
    ProposalRejected,
    Role,
    RoleChanged,
    SaveHardState,
    SendMessage,
    Tick,
)
from sardinemast.consensus._log import ReplicaLog
from sardinemast.consensus._messages import (
    AppendEntries,
    AppendReply,
    LogEntry,
    Message,
    VoteReply,
    VoteRequest,
)


class ReplicaSettings(NamedTuple):
    """Name the replicas and set the times.

    ``lease_s`` is shorter than the shortest election timeout, so that a new
    leader cannot be elected while the old one still trusts its lease.
    """

    name: str
    voters: tuple[str, ...]
    heartbeat_s: float = 0.1
    election_timeout_s: float = 0.6
    lease_s: float = 0.5
    batch_entries: int = 512


class Replica:
    """Decide elections, replication and commit for one replica."""

    def __init__(
        self,
        settings: ReplicaSettings,
        hard_state: HardState,
        entries: tuple[LogEntry, ...],
        random: Random,
    ) -> None:
        self.settings = settings
        self.role = Role.follower
        self.leader = ''
        self.commit_index = 0
        self.log = ReplicaLog(entries)
        self._hard_state = hard_state
        self._random = random
        self._outputs: list[Output] = []
        self._applied_index = 0
        self._election_due_s: float | None = None
        self._heard_leader_s = float('-inf')
        self._heartbeat_due_s: float = 0
        self._votes: set[str] = set()
        self._is_pre_vote = False
        self._next_index: dict[str, int] = {}
        self._match_index: dict[str, int] = {}
        self._acknowledged_s: dict[str, float] = {}

    @property
    def term(self) -> int:
        """Give the current term."""
        return self._hard_state.term

    def step(self, event: Event, now_s: float) -> list[Output]:
        """Take an event and give the outputs, to be carried out in order."""
        self._outputs = []
        if self._election_due_s is None:
            self._reset_election(now_s)
        self._handle(event, now_s)
        return self._outputs

    def has_lease(self, now_s: float) -> bool:
        """Tell whether no other leader can have been elected yet."""
        if self.role is not Role.leader:
            return False
        return now_s < self._get_quorum_heard_s(now_s) + self.settings.lease_s

    @singledispatchmethod
    def _handle(self, event: Event, now_s: float) -> None:
        raise TypeError(event)

    @_handle.register
    def _handle_tick(self, event: Tick, now_s: float) -> None:
        if self.role is Role.leader:
            self._tick_leader(now_s)
        elif now_s >= (self._election_due_s or 0):
            self._start_election(now_s, is_pre_vote=True)

    @_handle.register
    def _handle_proposal(self, event: CommandProposed, now_s: float) -> None:
        if self.role is not Role.leader:
            self._outputs.append(
                ProposalRejected(event.proposal_id, self.leader)
            )
            return
        entry = self._append_own(event.payload)
        self._outputs.append(
            ProposalAccepted(event.proposal_id, entry.log_index, entry.term)
        )
        self._broadcast(now_s)
        self._advance_commit()

    @_handle.register
    def _handle_received(self, event: MessageReceived, now_s: float) -> None:
        if event.sender not in self._get_peers():
            return
        self._observe_term(event.message, now_s)
        self._receive(event.message, event.sender, now_s)

    def _observe_term(self, message: Message, now_s: float) -> None:
        # A pre-vote must not raise the term of those who hear it: a replica
        # that was cut off for an hour would depose a healthy leader when it
        # returns, and callers would see a needless pause.
        is_probe = isinstance(message, VoteRequest) and message.is_pre_vote
        is_probe_answer = isinstance(message, VoteReply) and (
            message.is_pre_vote and message.is_granted
        )
        if message.term > self.term and not is_probe and not is_probe_answer:
            self._save(HardState(message.term))
            self._become_follower(now_s)

    @singledispatchmethod
    def _receive(self, message: Message, sender: str, now_s: float) -> None:
        raise TypeError(message)

    @_receive.register
    def _receive_vote_request(
        self,
        message: VoteRequest,
        sender: str,
        now_s: float,
    ) -> None:
        is_granted = self._is_vote_due(message, sender, now_s)
        if is_granted and not message.is_pre_vote:
            self._save(HardState(self.term, sender))
            self._reset_election(now_s)
        term = message.term if is_granted else self.term
        self._send(sender, VoteReply(term, is_granted, message.is_pre_vote))

    def _is_vote_due(
        self,
        message: VoteRequest,
        sender: str,
        now_s: float,
    ) -> bool:
        # Whoever still hears a leader refuses to depose it, or a leader that
        # trusts its lease could be replaced while it serves.
        is_settled = (
            self.role is Role.leader
            or now_s < self._heard_leader_s + self.settings.election_timeout_s
        )
        is_newer_log = (message.last_term, message.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if message.term < self.term or not is_newer_log or is_settled:
            return False
        return message.is_pre_vote or self._hard_state.voted_for in {
            '',
            sender,
        }

    @_receive.register
    def _receive_vote_reply(
        self,
        message: VoteReply,
        sender: str,
        now_s: float,
    ) -> None:
        asked_term = self.term + 1 if self._is_pre_vote else self.term
        if (
            self.role is not Role.candidate
            or not message.is_granted
            or message.is_pre_vote != self._is_pre_vote
            or message.term != asked_term
        ):
            return
        self._votes.add(sender)
        self._count_votes(now_s)

    @_receive.register
    def _receive_append(
        self,
        message: AppendEntries,
        sender: str,
        now_s: float,
    ) -> None:
        if message.term < self.term:
            self._send(sender, AppendReply(self.term, False, 0, 0))
            return
        if self.role is not Role.follower:
            self._become_follower(now_s)
        self.leader = sender
        self._heard_leader_s = now_s
        self._reset_election(now_s)
        match_index = self._take_entries(message)
        is_success = match_index is not None
        self._send(
            sender,
            AppendReply(
                self.term,
                is_success,
                self.log.last_index if match_index is None else match_index,
                message.sent_at_s,
            ),
        )

    def _take_entries(self, message: AppendEntries) -> int | None:
        known_term = self.log.get_term(message.previous_index)
        if known_term != message.previous_term:
            return None
        fresh = self.log.put(message.entries)
        if fresh:
            self._outputs.append(AppendToLog(fresh))
        match_index = message.previous_index + len(message.entries)
        self._commit(min(message.commit_index, match_index))
        return match_index

    @_receive.register
    def _receive_append_reply(
        self,
        message: AppendReply,
        sender: str,
        now_s: float,
    ) -> None:
        if self.role is not Role.leader or message.term != self.term:
            return
        self._acknowledged_s[sender] = max(
            message.sent_at_s,
            self._acknowledged_s.get(sender, message.sent_at_s),
        )
        if not message.is_success:
            backed_off = min(
                self._next_index[sender] - 1,
                message.match_index + 1,
            )
            self._next_index[sender] = max(1, backed_off)
            self._replicate(sender, now_s)
            return
        self._match_index[sender] = max(
            self._match_index[sender],
            message.match_index,
        )
        self._next_index[sender] = max(
            self._next_index[sender],
            self._match_index[sender] + 1,
        )
        self._advance_commit()

    def _start_election(self, now_s: float, *, is_pre_vote: bool) -> None:
        self._become(Role.candidate)
        self.leader = ''
        self._is_pre_vote = is_pre_vote
        self._votes = {self.settings.name}
        self._reset_election(now_s)
        if not is_pre_vote:
            self._save(HardState(self.term + 1, self.settings.name))
        term = self.term + 1 if is_pre_vote else self.term
        for peer in self._get_peers():
            self._send(
                peer,
                VoteRequest(
                    term,
                    self.log.last_index,
                    self.log.last_term,
                    is_pre_vote,
                ),
            )
        self._count_votes(now_s)

    def _count_votes(self, now_s: float) -> None:
        if len(self._votes) < self._get_quorum_size():
            return
        if self._is_pre_vote:
            self._start_election(now_s, is_pre_vote=False)
        else:
            self._become_leader(now_s)

    def _become_leader(self, now_s: float) -> None:
        self._become(Role.leader)
        self.leader = self.settings.name
        following = self.log.last_index + 1
        self._next_index = dict.fromkeys(self._get_peers(), following)
        self._match_index = dict.fromkeys(self._get_peers(), 0)
        self._acknowledged_s = {}
        self._elected_s = now_s
        self._append_own(b'')
        self._broadcast(now_s)
        self._advance_commit()

    def _become_follower(self, now_s: float) -> None:
        self._become(Role.follower)
        self.leader = ''
        self._reset_election(now_s)

    def _become(self, role: Role) -> None:
        if role is not self.role:
            self.role = role
            self._outputs.append(RoleChanged(role, self.term))

    def _tick_leader(self, now_s: float) -> None:
        # A leader that hears no majority steps down by itself, or it would
        # go on answering operators from a state that has been replaced.
        timeout_s = self.settings.election_timeout_s
        quorum_heard_s = max(
            self._get_quorum_heard_s(now_s),
            self._elected_s,
        )
        if now_s >= quorum_heard_s + timeout_s:
            self._become_follower(now_s)
        elif now_s >= self._heartbeat_due_s:
            self._broadcast(now_s)

    def _broadcast(self, now_s: float) -> None:
        self._heartbeat_due_s = now_s + self.settings.heartbeat_s
        for peer in self._get_peers():
            self._replicate(peer, now_s)

    def _replicate(self, peer: str, now_s: float) -> None:
        first = self._next_index[peer]
        entries = self.log.get_range(first, self.settings.batch_entries)
        # The next index moves on at once, so that proposals in flight are
        # not sent again with every new one; a refusal moves it back.
        self._next_index[peer] = first + len(entries)
        self._send(
            peer,
            AppendEntries(
                self.term,
                first - 1,
                self.log.get_term(first - 1) or 0,
                entries,
                self.commit_index,
                now_s,
            ),
        )

    def _append_own(self, payload: bytes) -> LogEntry:
        entry = LogEntry(self.log.last_index + 1, self.term, payload)
        self.log.put((entry,))
        self._outputs.append(AppendToLog((entry,)))
        return entry

    def _advance_commit(self) -> None:
        indexes = sorted(
            [self.log.last_index, *self._match_index.values()],
            reverse=True,
        )
        candidate = indexes[self._get_quorum_size() - 1]
        # Only an entry of the own term is counted; an older one could still
        # be replaced after a majority held it (Raft, section 5.4.2).
        if self.log.get_term(candidate) == self.term:
            self._commit(candidate)

    def _commit(self, index: int) -> None:
        self.commit_index = max(self.commit_index, index)
        while self._applied_index < self.commit_index:
            self._applied_index += 1
            entry = self.log.get_entry(self._applied_index)
            self._outputs.append(ApplyEntry(entry))

    def _save(self, hard_state: HardState) -> None:
        self._hard_state = hard_state
        self._outputs.append(SaveHardState(hard_state))

    def _send(self, peer: str, message: Message) -> None:
        self._outputs.append(SendMessage(peer, message))

    def _reset_election(self, now_s: float) -> None:
        spread = 1 + self._random.random()
        self._election_due_s = now_s + self.settings.election_timeout_s * spread

    def _get_peers(self) -> list[str]:
        own = self.settings.name
        return [voter for voter in self.settings.voters if voter != own]

    def _get_quorum_size(self) -> int:
        return len(self.settings.voters) // 2 + 1

    def _get_quorum_heard_s(self, now_s: float) -> float:
        never = float('-inf')
        heard = sorted(
            [
                now_s,
                *(
                    self._acknowledged_s.get(peer, never)
                    for peer in self._get_peers()
                ),
            ],
            reverse=True,
        )
        return heard[self._get_quorum_size() - 1]
