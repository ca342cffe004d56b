"""Run elections with pre-vote (Ongaro, 2014, sections 3.4 and 9.6)."""

from sardinemast.consensus._events import HardState, Role
from sardinemast.consensus._messages import Member, VoteReply, VoteRequest
from sardinemast.consensus._state import ReplicaState


class Elections:
    """Request, grant and count votes."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._votes: set[str] = set()
        self._is_pre_vote = False

    def tick(self, now_s: float) -> bool:
        """Start an election when due; return whether it is already won.

        A single voter wins without waiting for a reply.
        """
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
        """Grant or refuse a vote, and reply."""
        state = self._state
        is_granted = self._should_grant_vote(message, sender, now_s)
        if is_granted and not message.is_pre_vote:
            state.save_hard_state(HardState(state.term, sender.identity))
            state.reset_election_timer(now_s)
        term = message.term if is_granted else state.term
        state.send(sender, VoteReply(term, is_granted, message.is_pre_vote))

    def receive_reply(
        self,
        message: VoteReply,
        sender: Member,
        now_s: float,
    ) -> bool:
        """Count a vote, and return whether the election is won."""
        state = self._state
        requested_term = state.term + 1 if self._is_pre_vote else state.term
        if (
            state.role is not Role.candidate
            or not message.is_granted
            or message.is_pre_vote != self._is_pre_vote
            or message.term != requested_term
        ):
            return False
        self._votes.add(sender.identity)
        return self._check_won(now_s)

    def _start(self, now_s: float, *, is_pre_vote: bool) -> bool:
        state = self._state
        state.change_role(Role.candidate)
        state.leader = ''
        self._is_pre_vote = is_pre_vote
        self._votes = {state.identity}
        state.reset_election_timer(now_s)
        if not is_pre_vote:
            state.save_hard_state(HardState(state.term + 1, state.identity))
        request = VoteRequest(
            state.term + 1 if is_pre_vote else state.term,
            state.log.last_index,
            state.log.last_term,
            is_pre_vote,
        )
        for peer in state.get_peers():
            if peer.is_voter:
                state.send(peer, request)
        return self._check_won(now_s)

    def _check_won(self, now_s: float) -> bool:
        if not self._state.has_quorum(self._votes):
            return False
        return not self._is_pre_vote or self._start(now_s, is_pre_vote=False)

    def _should_grant_vote(
        self,
        message: VoteRequest,
        sender: Member,
        now_s: float,
    ) -> bool:
        # While a leader is live its lease may be valid, so that a vote could
        # elect a second leader that serves at the same time.
        state = self._state
        log = state.log
        is_log_current = (message.last_term, message.last_index) >= (
            log.last_term,
            log.last_index,
        )
        if message.term < state.term or not is_log_current:
            return False
        # A learner votes as well: the entry that makes it a voter may not have
        # arrived here, and the majority may depend on it. Only the candidate
        # decides, by its own configuration, whether the vote counts.
        if state.has_live_leader(now_s):
            return False
        return message.is_pre_vote or state.hard_state.voted_for in {
            '',
            sender.identity,
        }
