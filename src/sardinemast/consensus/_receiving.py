"""Take messages of other replicas: who may send what to this folder."""

from functools import singledispatchmethod
from typing import NamedTuple

from sardinemast.consensus._bootstrap import Bootstrap
from sardinemast.consensus._elections import Elections
from sardinemast.consensus._events import (
    HardState,
    MessageReceived,
    ReplaceFolder,
)
from sardinemast.consensus._following import Following
from sardinemast.consensus._membership import Membership
from sardinemast.consensus._messages import (
    AppendEntries,
    AppendReply,
    FoundReply,
    FoundRequest,
    JoinHint,
    JoinRequest,
    Member,
    Message,
    RetireRequest,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from sardinemast.consensus._replication import Replication
from sardinemast.consensus._state import ReplicaState


class Parts(NamedTuple):
    """Hold what messages are handed on to."""

    elections: Elections
    following: Following
    replication: Replication
    founding: Bootstrap
    membership: Membership


class Receiving:
    """Check sender and term of a message, and hand it on."""

    def __init__(self, state: ReplicaState, parts: Parts) -> None:
        self._state = state
        self._parts = parts

    def receive(self, event: MessageReceived, now_s: float) -> None:
        """Take a message, where it is meant for this folder."""
        # What was meant for a folder that is lost must not be answered by
        # the one that took its place.
        is_for_anyone = isinstance(event.message, JoinRequest)
        is_for_us = event.route.recipient == self._get_address()
        if not (is_for_us or is_for_anyone):
            return
        if self._take_founding(event, now_s):
            return
        sender = self._identify(event)
        if sender is None:
            return
        # Whoever hears a leader refuses without taking over the term, or the
        # next heartbeat would be refused and a healthy leader step down.
        if isinstance(event.message, VoteRequest) and self._state.is_settled(
            now_s,
        ):
            self._parts.elections.receive_request(event.message, sender, now_s)
            return
        self._observe_term(event.message, now_s)
        self._receive(event.message, sender, now_s)

    def _take_founding(self, event: MessageReceived, now_s: float) -> bool:
        message = event.message
        if isinstance(message, JoinRequest):
            self._parts.founding.receive_join(event, message.may_found)
            self._parts.membership.receive_join(event, now_s)
        elif isinstance(message, JoinHint):
            self._parts.founding.receive_hint(message)
        elif isinstance(message, FoundRequest):
            self._parts.founding.receive_request(event, message.configuration)
        elif isinstance(message, FoundReply):
            self._parts.founding.receive_reply(event)
        else:
            return False
        return True

    def _get_address(self) -> str:
        return '' if self._state.has_fixed_members else self._state.identity

    def _identify(self, event: MessageReceived) -> Member | None:
        configuration = self._state.log.configuration
        is_ours = event.route.cluster == configuration.cluster
        if not (is_ours or self._parts.founding.is_empty):
            return None
        identity = event.route.sender or event.sender
        known = configuration.find(identity)
        if known is None and isinstance(
            event.message,
            AppendEntries | SnapshotChunk | RetireRequest,
        ):
            # A leader may have come in by an entry that is not here yet.
            known = Member(identity, event.sender, is_voter=True)
            self._state.join_cluster(event.route.cluster)
        if known is None:
            self._parts.membership.refuse(event)
        elif is_ours:
            self._parts.founding.is_active = True
        return known

    def _observe_term(self, message: Message, now_s: float) -> None:
        # A pre-vote must not raise the term of those who hear it: a replica
        # that was cut off for an hour would depose a healthy leader when it
        # returns, and callers would see a needless pause.
        is_probe = isinstance(message, VoteRequest) and message.is_pre_vote
        is_probe_answer = isinstance(message, VoteReply) and (
            message.is_pre_vote and message.is_granted
        )
        term = getattr(message, 'term', 0)
        if term > self._state.term and not is_probe and not is_probe_answer:
            self._state.save(HardState(term))
            self._state.become_follower(now_s)

    @singledispatchmethod
    def _receive(self, message: Message, sender: Member, now_s: float) -> None:
        raise TypeError(message)

    @_receive.register
    def _receive_vote_request(
        self,
        message: VoteRequest,
        sender: Member,
        now_s: float,
    ) -> None:
        self._parts.elections.receive_request(message, sender, now_s)

    @_receive.register
    def _receive_vote_reply(
        self,
        message: VoteReply,
        sender: Member,
        now_s: float,
    ) -> None:
        is_won = self._parts.elections.receive_reply(message, sender, now_s)
        if is_won:
            self._parts.replication.start_term(now_s)

    @_receive.register
    def _receive_append(
        self,
        message: AppendEntries,
        sender: Member,
        now_s: float,
    ) -> None:
        self._parts.following.receive_append(message, sender, now_s)

    @_receive.register
    def _receive_chunk(
        self,
        message: SnapshotChunk,
        sender: Member,
        now_s: float,
    ) -> None:
        self._parts.following.receive_chunk(message, sender, now_s)

    @_receive.register
    def _receive_append_reply(
        self,
        message: AppendReply,
        sender: Member,
        now_s: float,
    ) -> None:
        self._parts.replication.receive_reply(message, sender, now_s)

    @_receive.register
    def _receive_snapshot_reply(
        self,
        message: SnapshotReply,
        sender: Member,
        now_s: float,
    ) -> None:
        self._parts.replication.receive_snapshot_reply(message, sender, now_s)

    @_receive.register
    def _receive_retire(
        self,
        message: RetireRequest,
        sender: Member,
        now_s: float,
    ) -> None:
        if message.term == self._state.term:
            self._state.become_follower(now_s)
            self._state.outputs.append(ReplaceFolder())
            self._state.is_retired = True
