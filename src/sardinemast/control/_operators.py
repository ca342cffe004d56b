"""Operators' commands on their way from proposal to being in force."""

from typing import NamedTuple

from sardinemast.consensus import LogEntry, ProposalAccepted
from sardinemast.control._context import INTERNAL_REQUEST
from sardinemast.control._events import AnswerOperator, OperatorAnswer
from sardinemast.control._sessions import EntrySessions
from sardinemast.fleet import FleetState, Outcome


class _Applied(NamedTuple):
    request_id: int
    log_index: int
    outcome: Outcome


class PendingCommands:
    """Hold what operators wait for."""

    def __init__(self) -> None:
        self._proposed: dict[int, ProposalAccepted] = {}
        self._applied: list[_Applied] = []

    def note_proposal(self, accepted: ProposalAccepted) -> None:
        """Note at which place of the log an operator's command stands."""
        if accepted.proposal_id != INTERNAL_REQUEST:
            self._proposed[accepted.log_index] = accepted

    def note_applied(self, entry: LogEntry, outcome: Outcome) -> None:
        """Note the outcome of the command at the place, where it is ours."""
        proposed = self._proposed.pop(entry.log_index, None)
        # Another leader's entry may stand at the index now; then what
        # became of the command is told by the resend, not guessed here.
        if proposed is not None and proposed.term == entry.term:
            self._applied.append(
                _Applied(proposed.proposal_id, entry.log_index, outcome),
            )

    def take_answers(
        self,
        state: FleetState,
        sessions: EntrySessions,
        now_s: float,
    ) -> list[AnswerOperator]:
        """Give the answers of all commands that are in force."""
        answers: list[AnswerOperator] = []
        waiting: list[_Applied] = []
        total = len(state.entries)
        for one in self._applied:
            ready = sessions.count_in_force(state, one.log_index, now_s)
            if ready < total:
                waiting.append(one)
                continue
            answer = OperatorAnswer(one.outcome, one.log_index, ready, total)
            answers.append(AnswerOperator(one.request_id, answer))
        self._applied = waiting
        return answers

    def give_up(self) -> list[int]:
        """Give the requests that lost their leader, and forget them."""
        lost = [
            *(one.proposal_id for one in self._proposed.values()),
            *(one.request_id for one in self._applied),
        ]
        self._proposed.clear()
        self._applied.clear()
        return lost
