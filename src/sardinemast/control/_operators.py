"""Operators' commands on their way from proposal to being in force."""

from typing import NamedTuple

from sardinemast.control._events import OperatorAnswer
from sardinemast.control._sessions import EntrySessions
from sardinemast.fleet import FleetState, Outcome


class _Proposed(NamedTuple):
    request_id: int
    term: int


class _Applied(NamedTuple):
    request_id: int
    log_index: int
    outcome: Outcome


class Answered(NamedTuple):
    """Pair an operator's request with its answer."""

    request_id: int
    answer: OperatorAnswer


class PendingCommands:
    """Hold what operators wait for."""

    def __init__(self) -> None:
        self._proposed: dict[int, _Proposed] = {}
        self._applied: list[_Applied] = []

    def note_proposal(self, request_id: int, index: int, term: int) -> None:
        """Note at which place of the log a command stands."""
        self._proposed[index] = _Proposed(request_id, term)

    def note_applied(self, index: int, term: int, outcome: Outcome) -> None:
        """Note the outcome of the command at the place, where it is ours."""
        proposed = self._proposed.pop(index, None)
        # Another leader's entry may stand at the index now; then what
        # became of the command is told by the resend, not guessed here.
        if proposed is not None and proposed.term == term:
            self._applied.append(
                _Applied(proposed.request_id, index, outcome),
            )

    def take_answers(
        self,
        state: FleetState,
        sessions: EntrySessions,
        now_s: float,
    ) -> list[Answered]:
        """Give the answers of all commands that are in force."""
        answers: list[Answered] = []
        waiting: list[_Applied] = []
        total = len(state.entries)
        for one in self._applied:
            ready = sessions.count_in_force(state, one.log_index, now_s)
            if ready < total:
                waiting.append(one)
                continue
            answer = OperatorAnswer(one.outcome, one.log_index, ready, total)
            answers.append(Answered(one.request_id, answer))
        self._applied = waiting
        return answers

    def give_up(self) -> list[int]:
        """Give the requests that lost their leader, and forget them."""
        lost = [
            *(one.request_id for one in self._proposed.values()),
            *(one.request_id for one in self._applied),
        ]
        self._proposed.clear()
        self._applied.clear()
        return lost
