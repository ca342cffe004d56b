"""Stop runs so that waiting tasks of a higher rank find capacity.

A preemption is recorded in the log before its stops are sent, so that the
limit for each task holds across leaders. The capacity becomes free once the
ends of the stopped runs are recorded.
"""

from sardinemast.dispatch._disruptions import may_stop
from sardinemast.dispatch._preemption import Candidate
from sardinemast.dispatch._preemption_costs import (
    STOP_TIMEOUT_S,
    CheckpointTimes,
)
from sardinemast.dispatch._preemption_round import (
    Preemption,
    PreemptionRound,
)
from sardinemast.dispatch._pressed_steps import PressedSteps
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._worker_session import WorkerSession
from sardinemast.jobs import StepKey
from sardinemast.jobs.commands import PreemptedRun, PreemptRuns

_CHECK_INTERVAL_S = 0.1
# A proposal that is not recorded after this time is lost.
_RECORD_TIMEOUT_S = 3.0
_MS = 1000


class _OpenPreemption:
    """Hold a preemption, when its stops were sent and when its runs ended."""

    def __init__(self, preemption: Preemption, chosen_s: float) -> None:
        self.preemption = preemption
        self.chosen_s = chosen_s
        self.sent_s: float | None = None
        self.ended_s: float | None = None


class Preemptor:
    """Choose runs that give way to pressed steps, and stop them."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._pressed = PressedSteps(state)
        self._checkpoints = CheckpointTimes()
        self._open: list[_OpenPreemption] = []
        self._check_due_s = float('-inf')

    def start_term(self) -> None:
        """Discard the state of the previous term."""
        self._pressed.clear()
        self._checkpoints.clear()
        self._open.clear()
        self._check_due_s = float('-inf')

    def record_report(self, session: WorkerSession, now_s: float) -> None:
        """Record the checkpoints that a worker reports."""
        if self._state.settings.preemption.enabled:
            self._checkpoints.record_report(session, now_s)

    def tick(self, now_s: float, now_ms: int) -> None:
        """Repeat stops that are not resolved and choose further runs."""
        if not self._state.settings.preemption.enabled:
            return
        if now_s < self._check_due_s:
            return
        self._check_due_s = now_s + _CHECK_INTERVAL_S
        self._open = [one for one in self._open if self._is_open(one, now_s)]
        self._preempt(now_s, now_ms)
        self._state.held_workers = {
            one.preemption.worker: one.preemption.rank for one in self._open
        }

    def handle_applied(self, command: PreemptRuns, now_s: float) -> None:
        """Send the stops of preemptions that are now recorded."""
        recorded = set(command.runs)
        for one in self._open:
            is_recorded = recorded.issuperset(_list_runs(one.preemption))
            if one.sent_s is None and is_recorded:
                one.sent_s = now_s
                if self._is_waiting(one.preemption.step):
                    self._send_stops(one.preemption, now_s)

    def _preempt(self, now_s: float, now_ms: int) -> None:
        pressed_steps = self._pressed.list_pressed(now_s, now_ms)
        if not pressed_steps:
            return
        chosen = PreemptionRound(
            self._state,
            self._checkpoints,
            [one.preemption for one in self._open],
            now_s,
        ).choose(pressed_steps)
        if chosen:
            self._open.extend(_OpenPreemption(one, now_s) for one in chosen)
            runs = tuple(run for one in chosen for run in _list_runs(one))
            self._state.propose(PreemptRuns(runs))

    def _is_open(self, one: _OpenPreemption, now_s: float) -> bool:
        """Check whether a worker stays held, and repeat unresolved stops."""
        if one.sent_s is None:
            return now_s < one.chosen_s + _RECORD_TIMEOUT_S
        if not self._is_waiting(one.preemption.step):
            return False
        if any(map(self._is_running, one.preemption.victims)):
            self._repeat_stops(one.preemption, now_s)
            return now_s < one.sent_s + STOP_TIMEOUT_S
        # A plan uses the capacity before the next check.
        has_just_ended = one.ended_s is None
        one.ended_s = now_s
        return has_just_ended

    def _send_stops(self, preemption: Preemption, now_s: float) -> None:
        state = self._state
        session = state.sessions.get(preemption.worker)
        for victim in preemption.victims:
            step = state.jobs.find_step(victim.task)
            if session is None or step is None or not self._is_running(victim):
                continue
            # Another task of its step may have become unavailable since.
            if not may_stop(state, step, victim.task, now_s):
                continue
            state.log(
                'run.preempted',
                str(victim.task),
                run=victim.number,
                worker=preemption.worker,
                for_step=str(preemption.step),
                lost_core_ms=round(victim.lost_work / _MS),
            )
            state.stop_run(session, victim.task, victim.number, now_s)

    def _repeat_stops(self, preemption: Preemption, now_s: float) -> None:
        session = self._state.sessions.get(preemption.worker)
        for victim in preemption.victims:
            if session and session.find_stop(victim.task, victim.number):
                if self._is_running(victim):
                    self._state.stop_run(session, *victim[:2], now_s)

    def _is_running(self, victim: Candidate) -> bool:
        step = self._state.jobs.find_step(victim.task)
        run = step.running.get(victim.task.position) if step else None
        return run is not None and run.number == victim.number

    def _is_waiting(self, key: StepKey) -> bool:
        step = self._state.jobs.ready.get(key)
        return step is not None and bool(step.waiting)


def _list_runs(preemption: Preemption) -> list[PreemptedRun]:
    return [
        PreemptedRun(victim.task, victim.number)
        for victim in preemption.victims
    ]
