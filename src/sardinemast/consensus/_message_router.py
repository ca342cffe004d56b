"""Check messages from other replicas and route them to their handlers."""

from functools import singledispatchmethod
from typing import NamedTuple

from sardinemast.consensus._bootstrap import Bootstrap
from sardinemast.consensus._elections import Elections
from sardinemast.consensus._events import (
    HardState,
    MessageReceived,
    ReplaceFolder,
)
from sardinemast.consensus._follower import Follower
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
from sardinemast.consensus._reconfiguration import Reconfiguration
from sardinemast.consensus._replication import Replication
from sardinemast.consensus._state import ReplicaState


class Components(NamedTuple):
    """Hold the components that handle messages."""

    elections: Elections
    follower: Follower
    replication: Replication
    bootstrap: Bootstrap
    reconfiguration: Reconfiguration


class MessageRouter:
    """Check recipient, sender and term of a message, and route it."""

    def __init__(self, state: ReplicaState, components: Components) -> None:
        self._state = state
        self._components = components

    def receive(self, event: MessageReceived, now_s: float) -> None:
        """Handle a message that is addressed to this folder."""
        # A folder that replaces a lost one must not answer messages to the
        # lost one: it does not hold what that had acknowledged.
        is_broadcast = isinstance(event.message, JoinRequest)
        is_addressed = event.route.recipient == self._get_address()
        if not (is_addressed or is_broadcast):
            return
        if self._route_membership_message(event, now_s):
            return
        sender = self._resolve_sender(event)
        if sender is None:
            return
        # While a leader is live, the vote is refused without adopting the
        # higher term. Otherwise this replica would refuse the next heartbeat,
        # and a healthy leader would step down.
        if isinstance(
            event.message, VoteRequest
        ) and self._state.has_live_leader(
            now_s,
        ):
            self._components.elections.receive_request(
                event.message, sender, now_s
            )
            return
        self._observe_term(event.message, now_s)
        self._route(event.message, sender, now_s)

    def _route_membership_message(
        self, event: MessageReceived, now_s: float
    ) -> bool:
        message = event.message
        if isinstance(message, JoinRequest):
            self._components.bootstrap.receive_join(event, message.may_found)
            self._components.reconfiguration.receive_join(event, now_s)
        elif isinstance(message, JoinHint):
            self._components.bootstrap.receive_hint(message)
        elif isinstance(message, FoundRequest):
            self._components.bootstrap.receive_request(
                event, message.configuration
            )
        elif isinstance(message, FoundReply):
            self._components.bootstrap.receive_reply(event)
        else:
            return False
        return True

    def _get_address(self) -> str:
        return '' if self._state.has_fixed_members else self._state.identity

    def _resolve_sender(self, event: MessageReceived) -> Member | None:
        configuration = self._state.log.configuration
        is_ours = event.route.cluster == configuration.cluster
        if not (is_ours or self._components.bootstrap.is_empty):
            return None
        identity = event.route.sender or event.sender
        member = configuration.find(identity)
        if member is None and isinstance(
            event.message,
            AppendEntries | SnapshotChunk | RetireRequest,
        ):
            # The leader may have been added by an entry not yet received.
            member = Member(identity, event.sender, is_voter=True)
            self._state.join_cluster(event.route.cluster)
        if member is None:
            self._components.reconfiguration.retire_non_member(event)
        elif is_ours:
            self._components.bootstrap.is_active = True
        return member

    def _observe_term(self, message: Message, now_s: float) -> None:
        # A pre-vote must not raise the receiver's term, or a replica that
        # returns after a network partition would depose a healthy leader.
        is_pre_vote_request = (
            isinstance(message, VoteRequest) and message.is_pre_vote
        )
        is_granted_pre_vote = isinstance(message, VoteReply) and (
            message.is_pre_vote and message.is_granted
        )
        term = getattr(message, 'term', 0)
        if (
            term > self._state.term
            and not is_pre_vote_request
            and not is_granted_pre_vote
        ):
            self._state.save_hard_state(HardState(term))
            self._state.become_follower(now_s)

    @singledispatchmethod
    def _route(self, message: Message, sender: Member, now_s: float) -> None:
        raise TypeError(message)

    @_route.register
    def _receive_vote_request(
        self,
        message: VoteRequest,
        sender: Member,
        now_s: float,
    ) -> None:
        self._components.elections.receive_request(message, sender, now_s)

    @_route.register
    def _receive_vote_reply(
        self,
        message: VoteReply,
        sender: Member,
        now_s: float,
    ) -> None:
        is_won = self._components.elections.receive_reply(
            message, sender, now_s
        )
        if is_won:
            self._components.replication.start_term(now_s)

    @_route.register
    def _receive_append(
        self,
        message: AppendEntries,
        sender: Member,
        now_s: float,
    ) -> None:
        self._components.follower.receive_append(message, sender, now_s)

    @_route.register
    def _receive_chunk(
        self,
        message: SnapshotChunk,
        sender: Member,
        now_s: float,
    ) -> None:
        self._components.follower.receive_chunk(message, sender, now_s)

    @_route.register
    def _receive_append_reply(
        self,
        message: AppendReply,
        sender: Member,
        now_s: float,
    ) -> None:
        self._components.replication.receive_reply(message, sender, now_s)

    @_route.register
    def _receive_snapshot_reply(
        self,
        message: SnapshotReply,
        sender: Member,
        now_s: float,
    ) -> None:
        self._components.replication.receive_snapshot_reply(
            message, sender, now_s
        )

    @_route.register
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
