"""Operators' commands on their way from proposal to being in force."""

from typing import NamedTuple

from sardinemast.consensus import LogEntry, ProposalAccepted
from sardinemast.control._context import INTERNAL_REQUEST
from sardinemast.control._events import AnswerOperator, OperatorAnswer
from sardinemast.control._sessions import EntrySessions
from sardinemast.fleet import FleetState, Outcome

# A lagging entry gets no lease after LAG_LIMIT_S and its last one ends after
# LEASE_S, so that by now all is in force, or this process has lost its term.
ANSWER_WITHIN_S = 5.0


class _Applied(NamedTuple):
    request_id: int
    log_index: int
    outcome: Outcome
    applied_s: float


class PendingCommands:
    """Hold what operators wait for."""

    def __init__(self) -> None:
        self._proposed: dict[int, ProposalAccepted] = {}
        self._applied: list[_Applied] = []

    def note_proposal(self, accepted: ProposalAccepted) -> None:
        """Note at which place of the log an operator's command stands."""
        if accepted.proposal_id != INTERNAL_REQUEST:
            self._proposed[accepted.log_index] = accepted

    @property
    def has_applied(self) -> bool:
        """Tell whether applied commands wait for their answers."""
        return bool(self._applied)

    def note_applied(
        self,
        entry: LogEntry,
        outcome: Outcome,
        now_s: float,
    ) -> None:
        """Note the outcome of the command at the place, where it is ours."""
        proposed = self._proposed.pop(entry.log_index, None)
        # Another leader's entry may stand at the index now; then what
        # became of the command is told by the resend, not guessed here.
        if proposed is not None and proposed.term == entry.term:
            self._applied.append(
                _Applied(
                    proposed.proposal_id,
                    entry.log_index,
                    outcome,
                    now_s,
                ),
            )

    def take_answers(
        self,
        state: FleetState,
        sessions: EntrySessions,
        now_s: float,
    ) -> list[AnswerOperator]:
        """Give the answers of all commands that need no more waiting."""
        answers: list[AnswerOperator] = []
        waiting: list[_Applied] = []
        for one in self._applied:
            answer = _count(one, state, sessions, now_s)
            is_over = now_s >= one.applied_s + ANSWER_WITHIN_S
            if _is_in_force(answer) or is_over or not one.outcome.is_accepted:
                answers.append(AnswerOperator(one.request_id, answer))
            else:
                waiting.append(one)
        self._applied = waiting
        return answers

    def give_up(
        self,
        state: FleetState,
        sessions: EntrySessions,
        now_s: float,
    ) -> list[AnswerOperator]:
        """Answer all that wait when this process leads no more.

        What is applied is accepted for good, and an entry that has it keeps
        it; so the count is true, if maybe too low. What is only proposed may
        still be accepted by the next leader, and nothing else may be said.
        """
        answers = [
            AnswerOperator(
                one.request_id,
                _count(one, state, sessions, now_s),
            )
            for one in self._applied
        ]
        unknown = OperatorAnswer(None, 0, 0, 0, is_unknown=True)
        answers.extend(
            AnswerOperator(one.proposal_id, unknown)
            for one in self._proposed.values()
        )
        self._proposed.clear()
        self._applied.clear()
        return answers


def _count(
    one: _Applied,
    state: FleetState,
    sessions: EntrySessions,
    now_s: float,
) -> OperatorAnswer:
    ready = sessions.count_in_force(state, one.log_index, now_s)
    return OperatorAnswer(
        one.outcome,
        one.log_index,
        ready,
        len(state.entries),
    )


def _is_in_force(answer: OperatorAnswer) -> bool:
    return answer.entries_in_force == answer.entries_total
