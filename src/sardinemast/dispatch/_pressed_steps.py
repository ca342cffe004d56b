"""Find the steps whose tasks have waited too long for capacity."""

from typing import NamedTuple

from sardinemast.dispatch._job_deadlines import get_deadlines
from sardinemast.dispatch._preemption import Demand, Rank, get_rank
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._step_priority import get_step_priority
from sardinemast.jobs import StepKey, StepState


class PressedStep(NamedTuple):
    """Hold a step whose waiting tasks may take the capacity of runs.

    Its job is late if its tasks do not start within ``slack_ms``, which is 0
    for a long-running step.
    """

    step: StepState
    pool: str
    rank: Rank
    demand: Demand
    slack_ms: float


class PressedSteps:
    """Track since when steps have waiting tasks."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._since_s: dict[StepKey, float] = {}

    def clear(self) -> None:
        """Discard the waits seen in the previous term."""
        self._since_s.clear()

    def list_pressed(self, now_s: float, now_ms: int) -> list[PressedStep]:
        """Return the steps that have waited long enough, most urgent first."""
        state = self._state
        self._since_s = {
            key: self._since_s.get(key, now_s)
            for key, step in state.jobs.ready.items()
            if step.waiting and self._is_eligible(step)
        }
        latest_s = now_s - state.settings.preemption.wait_s
        waiting = [
            state.jobs.ready[key]
            for key, since_s in self._since_s.items()
            if since_s <= latest_s
        ]
        waiting.sort(
            key=lambda step: get_step_priority(
                state.jobs.get_job(step), step, state.durations, now_ms
            ),
        )
        pressed = [self._make_pressed(step, now_ms) for step in waiting]
        # A job that is late in any case gains nothing.
        return [one for one in pressed if one.slack_ms >= 0]

    def _is_eligible(self, step: StepState) -> bool:
        # A gang needs several workers at once, and where a policy decides on
        # workers, freed capacity may not be used.
        spec = step.spec
        if spec.is_gang or spec.is_best_effort:
            return False
        return self._state.get_advice(step) is None

    def _get_slack_ms(self, step: StepState, now_ms: int) -> float:
        if step.spec.is_long_running:
            return 0
        durations = self._state.durations
        job = self._state.jobs.get_job(step)
        due_ms = get_deadlines(job, step.key.occurrence, durations).due_ms
        remaining_ms = durations.get_remaining_ms(job, step.key.step)
        return due_ms - now_ms - remaining_ms

    def _make_pressed(self, step: StepState, now_ms: int) -> PressedStep:
        queue = self._state.jobs.get_queue(step)
        spec = step.spec
        work = float('inf')
        if not spec.is_long_running:
            expected_ms = self._state.durations.get_expected_ms(
                queue.name, spec
            )
            work = expected_ms * spec.size.millicores
        return PressedStep(
            step,
            queue.pool,
            get_rank(queue.priority, spec),
            Demand(spec.reserved_size, work),
            self._get_slack_ms(step, now_ms),
        )
