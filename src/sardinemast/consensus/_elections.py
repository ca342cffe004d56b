"""Elections with pre-vote (Ongaro, 2014, sections 3.4 and 9.6)."""

from sardinemast.consensus._events import HardState, Role
from sardinemast.consensus._messages import Member, VoteReply, VoteRequest
from sardinemast.consensus._state import ReplicaState


class Elections:
    """Ask for votes, give them and count them."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._votes: set[str] = set()
        self._is_pre_vote = False

    def tick(self, now_s: float) -> bool:
        """Start an election when due; tell whether it is won at once."""
        state = self._state
        if now_s < state.election_due_s or not state.is_voter:
            return False
        return self._start(now_s, is_pre_vote=True)

    def receive_request(
        self,
        message: VoteRequest,
        sender: Member,
        now_s: float,
    ) -> None:
        """Answer a request for a vote."""
        state = self._state
        is_granted = self._is_vote_due(message, sender, now_s)
        if is_granted and not message.is_pre_vote:
            state.save(HardState(state.term, sender.identity))
            state.reset_election(now_s)
        term = message.term if is_granted else state.term
        state.send(sender, VoteReply(term, is_granted, message.is_pre_vote))

    def receive_reply(
        self,
        message: VoteReply,
        sender: Member,
        now_s: float,
    ) -> bool:
        """Count a vote, and tell whether the election is won."""
        state = self._state
        asked_term = state.term + 1 if self._is_pre_vote else state.term
        if (
            state.role is not Role.candidate
            or not message.is_granted
            or message.is_pre_vote != self._is_pre_vote
            or message.term != asked_term
        ):
            return False
        self._votes.add(sender.identity)
        return self._count(now_s)

    def _start(self, now_s: float, *, is_pre_vote: bool) -> bool:
        state = self._state
        state.become(Role.candidate)
        state.leader = ''
        self._is_pre_vote = is_pre_vote
        self._votes = {state.identity}
        state.reset_election(now_s)
        if not is_pre_vote:
            state.save(HardState(state.term + 1, state.identity))
        request = VoteRequest(
            state.term + 1 if is_pre_vote else state.term,
            state.log.last_index,
            state.log.last_term,
            is_pre_vote,
        )
        for peer in state.get_peers():
            if peer.is_voter:
                state.send(peer, request)
        return self._count(now_s)

    def _count(self, now_s: float) -> bool:
        if not self._state.has_quorum(self._votes):
            return False
        return not self._is_pre_vote or self._start(now_s, is_pre_vote=False)

    def _is_vote_due(
        self,
        message: VoteRequest,
        sender: Member,
        now_s: float,
    ) -> bool:
        # Whoever still hears a leader refuses to depose it, or a leader that
        # trusts its lease could be replaced while it serves.
        state = self._state
        log = state.log
        is_newer_log = (message.last_term, message.last_index) >= (
            log.last_term,
            log.last_index,
        )
        if message.term < state.term or not is_newer_log:
            return False
        if state.is_settled(now_s) or not state.is_voter:
            return False
        return message.is_pre_vote or state.hard_state.voted_for in {
            '',
            sender.identity,
        }
