"""Operators' commands from proposal until they are in force."""

from typing import NamedTuple

from sardinemast.consensus import LogEntry, ProposalAccepted
from sardinemast.control._context import INTERNAL_REQUEST
from sardinemast.control._events import AnswerOperator, OperatorAnswer
from sardinemast.control._sessions import EntrySessions
from sardinemast.fleet import FleetState, Outcome

# An entry that lags gets no lease after LAG_LIMIT_S, and its last lease expires
# after LEASE_S. By then a change is in force, or this process no longer leads.
MAX_ANSWER_DELAY_S = 5.0


class _AppliedCommand(NamedTuple):
    request_id: int
    log_index: int
    outcome: Outcome
    applied_s: float


class PendingCommands:
    """Track operators' commands that are not yet answered."""

    def __init__(self) -> None:
        self._proposed: dict[int, ProposalAccepted] = {}
        self._applied: list[_AppliedCommand] = []

    def record_proposal(self, accepted: ProposalAccepted) -> None:
        """Record the log index of an operator's command."""
        if accepted.proposal_id != INTERNAL_REQUEST:
            self._proposed[accepted.log_index] = accepted

    @property
    def has_applied(self) -> bool:
        """Return whether applied commands wait for their answers."""
        return bool(self._applied)

    def handle_applied(
        self,
        entry: LogEntry,
        outcome: Outcome,
        now_s: float,
    ) -> None:
        """Record the outcome if this process proposed the entry."""
        proposed = self._proposed.pop(entry.log_index, None)
        # Another leader may have written a different entry at this index; the
        # operator then learns the outcome by sending the command again.
        if proposed is not None and proposed.term == entry.term:
            self._applied.append(
                _AppliedCommand(
                    proposed.proposal_id,
                    entry.log_index,
                    outcome,
                    now_s,
                ),
            )

    def pop_answers(
        self,
        state: FleetState,
        sessions: EntrySessions,
        now_s: float,
    ) -> list[AnswerOperator]:
        """Return answers of commands in force, rejected or timed out."""
        answers: list[AnswerOperator] = []
        waiting: list[_AppliedCommand] = []
        for one in self._applied:
            answer = _make_answer(one, state, sessions, now_s)
            is_timed_out = now_s >= one.applied_s + MAX_ANSWER_DELAY_S
            if (
                _is_in_force(answer)
                or is_timed_out
                or not one.outcome.is_accepted
            ):
                answers.append(AnswerOperator(one.request_id, answer))
            else:
                waiting.append(one)
        self._applied = waiting
        return answers

    def answer_on_step_down(
        self,
        state: FleetState,
        sessions: EntrySessions,
        now_s: float,
    ) -> list[AnswerOperator]:
        """Return answers to all waiting commands when leadership is lost.

        Applied commands are final, and their count of entries in force is a
        lower bound. The outcome of proposed commands is unknown, since the
        next leader may still commit them.
        """
        answers = [
            AnswerOperator(
                one.request_id,
                _make_answer(one, state, sessions, now_s),
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


def _make_answer(
    one: _AppliedCommand,
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
